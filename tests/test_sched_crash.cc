#include "sched_crash_fixture.h"

extern "C" {
#include "codec.h"
}

// Guards against a task that crashes one worker after another.
TEST_F(SchedCrash, ATaskThatCrashesItsWorkersIsGivenUp)
{
	JoinAll(8, 8000);
	Fence();
	Add(Lasting("lasting", 8, 1000));
	SimulateCrashes(5000);
	crashing_jobs.insert("bad");
	Add(Graph("bad", 1, 1000));
	SimulateCrashes(60000);
	EXPECT_EQ("failed", StateOf("bad"));
	EXPECT_GE(StartsOf("bad"), 2u);
	EXPECT_LE(StartsOf("bad"), 5u);
	EXPECT_EQ("running", StateOf("lasting"));
	EXPECT_EQ(8u, RunningAnywhere());
}

// Guards against missing a crash that is proved only after the worker was
// forgotten.
TEST_F(SchedCrash, ALateNewIncarnationConfirmsTheCrash)
{
	restart_delay_ms = 9000;
	JoinAll(12, 8000);
	Fence();
	crashing_jobs.insert("bad");
	Add(Graph("bad", 1, 1000));
	SimulateCrashes(90000);
	EXPECT_EQ("failed", StateOf("bad"));
	EXPECT_LE(StartsOf("bad"), 5u);
}

// Guards against a task that crashes its worker before the worker can answer.
TEST_F(SchedCrash, ATaskThatCrashesBeforeTheAnswerIsGivenUp)
{
	answers_first = false;
	JoinAll(8, 8000);
	Fence();
	crashing_jobs.insert("bad");
	Add(Graph("bad", 1, 1000));
	SimulateCrashes(90000);
	EXPECT_EQ("failed", StateOf("bad"));
	EXPECT_LE(StartsOf("bad"), 5u);
}

// Guards against a crash count that restarts with each leader.
TEST_F(SchedCrash, TheCountOutlivesTheLeader)
{
	size_t len, starts;
	char *text;

	JoinAll(8, 8000);
	Fence();
	crashing_jobs.insert("bad");
	Add(Graph("bad", 1, 1000));
	SimulateCrashes(4000);
	ASSERT_EQ("running", StateOf("bad"));
	ASSERT_EQ(2u, StartsOf("bad"));
	text = codec_progress(sched_job_find(s, "bad"), &len);
	ASSERT_NE(nullptr, text);
	starts = StartsOf("bad");
	Restart();
	Add(Graph("bad", 1, 1000), true);
	ASSERT_EQ(0, codec_read_progress(sched_job_find(s, "bad"), text, len));
	free(text);
	sched_load_end(s, now);
	Fence();
	SimulateCrashes(30000);
	EXPECT_EQ("failed", StateOf("bad"));
	EXPECT_LE(starts + StartsOf("bad"), 5u);
}

// Guards against taking progress written by someone else for counted crashes.
TEST_F(SchedCrash, LossesOfAnotherTypeAreRejected)
{
	struct sched_job *job = Add(Graph("good", 1, 1000), true);

	for (const char *text :
	    { R"({"losses":[[0,0,0,1,50,1]]})", R"({"losses":{}})",
		R"({"losses":[[0,0,0,1,-5,1,1]]})", R"({"losses":[["a"]]})" })
		EXPECT_EQ(-1, codec_read_progress(job, text, strlen(text)))
		    << text;
	std::string beyond =
	    R"({"losses":[[7,0,0,1,50,1,1],[0,9,0,1,50,1,1]]})";
	EXPECT_EQ(0, codec_read_progress(job, beyond.data(), beyond.size()));
	EXPECT_EQ("queued", StateOf("good"));
}

// Guards against a gang with a member that crashes its worker.
TEST_F(SchedCrash, AGangWithSuchAMemberIsGivenUp)
{
	struct graph *g = Graph("bad", 3, 1000);

	g->steps[0].gang = true;
	JoinAll(8, 8000);
	Fence();
	crashing_jobs.insert("bad");
	Add(g);
	SimulateCrashes(60000);
	EXPECT_EQ("failed", StateOf("bad"));
	EXPECT_LE(StartsOf("bad"), 15u);
}

// Guards against a long-running task, which has no limit of failures.
TEST_F(SchedCrash, ALastingTaskThatCrashesItsWorkersIsGivenUp)
{
	JoinAll(8, 8000);
	Fence();
	crashing_jobs.insert("bad");
	Add(Lasting("bad", 1, 1000));
	SimulateCrashes(60000);
	EXPECT_EQ("failed", StateOf("bad"));
	EXPECT_LE(StartsOf("bad"), 5u);
}

TEST_F(SchedCrash, ASuspectStartsAlone)
{
	size_t first;

	JoinAll(4, 8000);
	Fence();
	Add(Lasting("lasting", 3, 6000));
	SimulateCrashes(5000);
	crashing_jobs.insert("bad");
	Add(Graph("bad", 1, 1000));
	SimulateCrashes(3000);
	ASSERT_EQ(1u, StartsOf("bad"));
	first = lost.size();
	SimulateCrashes(30000);
	ASSERT_EQ("failed", StateOf("bad"));
	for (size_t i = first; i < lost.size(); i++) {
		if (i > first &&
		    lost[i].order.worker == lost[first].order.worker)
			continue;
		EXPECT_STREQ("bad", lost[i].order.task.job) << i;
	}
}

// Guards against giving up jobs for crashes that happen whatever runs.
TEST_F(SchedCrash, UnrelatedCrashesBlameNoTask)
{
	unsigned draw = 1;

	JoinAll(24, 8000);
	Fence();
	Add(Lasting("lasting", 24, 2000));
	for (int i = 0; i < 60; i++) {
		std::string id = "short" + std::to_string(i);
		Add(Graph(id.c_str(), 6, 1000));
		run_ms[id] = 800;
		SimulateCrashes(1000);
		draw = draw * 1103515245 + 12345;
		Crash(AnyUp(draw >> 16));
	}
	SimulateCrashes(20000);
	EXPECT_EQ("running", StateOf("lasting"));
	for (int i = 0; i < 60; i++)
		EXPECT_EQ("completed",
		    StateOf(("short" + std::to_string(i)).c_str()));
	EXPECT_EQ(0u, s->counts.given_up);
}

// Guards against giving up a long task for a series of unrelated crashes.
TEST_F(SchedCrash, ALongTaskIsRetriedDespiteUnrelatedCrashes)
{
	struct graph *g = Graph("long", 1, 1000);
	unsigned draw = 1;

	JoinAll(8, 8000);
	Fence();
	g->steps[0].estimate_ms = 60000;
	Add(g);
	for (int i = 0; i < 60; i++) {
		SimulateCrashes(1500);
		draw = draw * 1103515245 + 12345;
		Crash(AnyUp(draw >> 16));
	}
	EXPECT_LE(5u, StartsOf("long"));
	EXPECT_EQ("running", StateOf("long"));
}

// Guards against taking unreachable workers for crashed ones.
TEST_F(SchedCrash, AnUnreachableWorkerIsNoCrash)
{
	JoinAll(8, 8000);
	Fence();
	Add(Graph("good", 1, 1000));
	for (int i = 0; i < 6; i++) {
		SimulateCrashes(100);
		ASSERT_FALSE(started.empty());
		std::string id = started.back().worker;
		sim[id].reachable = false;
		SimulateCrashes(9000);
		EXPECT_EQ("running", StateOf("good"));
		sim[id].reachable = true;
		sim[id].running.clear();
	}
	SimulateCrashes(1000);
	EXPECT_EQ("running", StateOf("good"));
	EXPECT_EQ(0u,
	    sched_job_find(s, "good")
		->occurrences[0]
		->steps[0]
		.tasks[0]
		.nlosses);
}

// Guards against blaming a task for a worker that left as announced.
TEST_F(SchedCrash, AnAnnouncedDepartureIsNoCrash)
{
	JoinAll(8, 8000);
	Fence();
	Add(Lasting("good", 1, 1000));
	for (int i = 0; i < 6; i++) {
		SimulateCrashes(100);
		ListAsDraining(started.back().worker.c_str(), 8000);
		Crash(started.back().worker);
		SimulateCrashes(10000);
		EXPECT_EQ("running", StateOf("good"));
	}
}

TEST_F(SchedCrash, WhatRanOnALostWorkerIsReported)
{
	JoinAll(1, 8000);
	Fence();
	Add(Lasting("lasting", 2, 1000));
	SimulateCrashes(5000);
	Crash(started[0].worker);
	SimulateCrashes(4000);
	ASSERT_EQ(2u, lost.size());
	EXPECT_EQ(LOSS_OTHER_INCARNATION, lost[0].cause);
	EXPECT_STREQ("lasting", lost[0].order.task.job);
	EXPECT_NEAR(5000, lost[0].ran_ms, 200);
	EXPECT_EQ(BLAME_NONE, lost[0].blame);
}

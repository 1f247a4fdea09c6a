#include "sched_fixture.h"

namespace {

// A job whose tasks take a second each, on three workers.
class Copy : public SchedSim {
      protected:
	void
	Start(bool copies, uint32_t count = 3)
	{
		struct graph *g = Graph("a", count, 1000);

		g->steps[0].copies = copies;
		run_ms["a"] = 1000;
		for (const char *id : { "w1", "w2", "w3" })
			Join(id, 4000);
		Simulate(300);
		job = Add(g);
		Simulate(100);
		ASSERT_EQ(started.size(), count);
	}

	// Index in started of the task's n-th start, or -1.
	int
	StartOf(uint32_t index, int n) const
	{
		for (size_t i = 0; i < started.size(); i++)
			if (started[i].task.index == index && n-- == 0)
				return static_cast<int>(i);
		return -1;
	}

	size_t
	Starts(uint32_t index) const
	{
		size_t n = 0;

		while (StartOf(index, static_cast<int>(n)) >= 0)
			n++;
		return n;
	}

	SimWorker &
	WorkerOf(uint32_t index)
	{
		return sim[started[static_cast<size_t>(StartOf(index, 0))]
			       .worker];
	}

	struct sched_job *job = nullptr;
};

} // namespace

// Guards against a job that waits for a lease when one of its workers is gone.
TEST_F(Copy, ARunOnASilentWorkerIsCopied)
{
	Start(true);
	WorkerOf(0).reachable = false;
	Simulate(3000);
	ASSERT_EQ(Starts(0), 2u);
	EXPECT_NE(started[static_cast<size_t>(StartOf(0, 0))].worker,
	    started[static_cast<size_t>(StartOf(0, 1))].worker);
	EXPECT_EQ(sched_job_visible_state(job), JOB_COMPLETED);
	EXPECT_EQ(s->counts.copies[STRAGGLER_SILENT], 1u);
	EXPECT_EQ(s->counts.copies_won, 1u);
}

// Guards against a second run of a task that allows none.
TEST_F(Copy, WithoutPermissionARunIsNeverCopied)
{
	Start(false);
	WorkerOf(0).reachable = false;
	Simulate(3000);
	EXPECT_EQ(Starts(0), 1u);
	EXPECT_EQ(sched_job_visible_state(job), JOB_RUNNING);
}

// Guards against a job that waits for a slow worker, and against a run that
// goes on after its copy has ended.
TEST_F(Copy, TheFirstEndCountsAndTheOtherRunIsStopped)
{
	Start(true);
	WorkerOf(0).slowdown = 8;
	Simulate(4000);
	ASSERT_EQ(Starts(0), 2u);
	EXPECT_EQ(sched_job_visible_state(job), JOB_COMPLETED);
	EXPECT_EQ(StopsOf(started[static_cast<size_t>(StartOf(0, 0))]), 1u);
	EXPECT_EQ(RunningAnywhere(), 0u);
	EXPECT_EQ(s->ncopies, 0u);
	EXPECT_EQ(s->nshort, 0u);
}

// Guards against a copy that goes on after the copied run has ended.
TEST_F(Copy, ACopyThatIsNotNeededIsStopped)
{
	Start(true);
	SimWorker &slow = WorkerOf(0);
	slow.slowdown = 8;
	for (int i = 0; i < 60 && Starts(0) < 2; i++)
		Simulate(50);
	ASSERT_EQ(Starts(0), 2u);
	slow.slowdown = 1;
	Simulate(600);
	EXPECT_EQ(sched_job_visible_state(job), JOB_COMPLETED);
	EXPECT_EQ(StopsOf(started[static_cast<size_t>(StartOf(0, 1))]), 1u);
	EXPECT_EQ(s->counts.copies_lost, 1u);
	EXPECT_EQ(RunningAnywhere(), 0u);
}

// Guards against a third run when a copy fails: the task is at work still.
TEST_F(Copy, AFailedCopyDoesNotQueueTheTask)
{
	Start(true);
	WorkerOf(0).slowdown = 8;
	for (int i = 0; i < 60 && Starts(0) < 2; i++)
		Simulate(50);
	ASSERT_EQ(Starts(0), 2u);
	SimWorker &at = sim[started[static_cast<size_t>(StartOf(0, 1))].worker];
	for (size_t i = 0; i < at.running.size(); i++)
		if (SameAttempt(at.running[i].order,
			started[static_cast<size_t>(StartOf(0, 1))]))
			EndRun(at, i, END_FAILED);
	Simulate(50);
	EXPECT_EQ(s->counts.failures, 1u);
	EXPECT_EQ(job->nwaiting, 0u);
	// The failure counts once, and one more copy is allowed.
	Simulate(10000);
	EXPECT_EQ(Starts(0), 3u);
	EXPECT_EQ(sched_job_visible_state(job), JOB_COMPLETED);
}

// Guards against a copy that runs on after its job was cancelled.
TEST_F(Copy, ACancelStopsBothRuns)
{
	Start(true);
	WorkerOf(0).slowdown = 8;
	for (int i = 0; i < 60 && Starts(0) < 2; i++)
		Simulate(50);
	ASSERT_EQ(Starts(0), 2u);
	sched_job_cancel(s, job, now);
	Simulate(500);
	EXPECT_EQ(RunningAnywhere(), 0u);
	Simulate(3000);
	EXPECT_EQ(Starts(0), 2u);
}

// Guards against a third run at a time while the start of a copy has no answer
// and is carried out later.
TEST_F(Copy, ACopyWhoseStartIsUnansweredIsStopped)
{
	Start(true, 1);
	for (const char *id : { "w1", "w2", "w3" })
		if (id != started[0].worker) {
			sim[id].start_answer = ANSWER_LOST;
			sim[id].start_delay_ms = 200;
		}
	WorkerOf(0).no_progress = true;
	for (int i = 0; i < 60; i++) {
		Simulate(50);
		EXPECT_LE(RunningAnywhere(), 2u);
	}
	ASSERT_GE(Starts(0), 2u);
	EXPECT_GE(StopsOf(started[1]), 1u);
}

// Guards against a leader that takes one of two runs for unneeded.
TEST_F(Copy, TheNextLeaderKeepsBothRuns)
{
	Start(true);
	WorkerOf(0).slowdown = 8;
	for (int i = 0; i < 60 && Starts(0) < 2; i++)
		Simulate(50);
	ASSERT_EQ(Starts(0), 2u);
	size_t before = started.size(), stops = stopped.size();
	size_t running = RunningAnywhere();
	DropPendingOrders();
	sched_close(s);
	options.term = 2;
	options.taken_ms = now;
	s = sched_open(&options);
	for (const char *id : { "w1", "w2", "w3" }) {
		Inherit(id, RECORD_IN_USE);
		AddWorker(id, 4000);
	}
	struct graph *g = Graph("a", 3, 1000);
	g->steps[0].copies = true;
	job = Add(g, true);
	for (uint32_t i = 1; i < 3; i++)
		sched_load_task(job, 0, 0, i, true);
	sched_load_end(s, now);
	Simulate(50);
	EXPECT_EQ(RunningAnywhere(), running);
	EXPECT_EQ(stopped.size(), stops);
	Simulate(3000);
	EXPECT_EQ(started.size(), before);
	EXPECT_EQ(sched_job_visible_state(job), JOB_COMPLETED);
}

// Guards against copies that take the room of work that waits for it.
TEST_F(Copy, NothingIsCopiedWhileShortTasksWaitForRoom)
{
	Start(true);
	WorkerOf(0).reachable = false;
	struct graph *g = Graph("b", 40, 1000);
	run_ms["b"] = 1000;
	Add(g);
	Simulate(1500);
	EXPECT_EQ(Starts(0), 1u + 1u); // b's task 0 is one of them
	EXPECT_EQ(s->counts.copies[STRAGGLER_SILENT], 0u);
}

// Guards against copies without end of a task that is slow everywhere.
TEST_F(Copy, ATaskIsCopiedTwiceAtMost)
{
	Start(true, 1);
	for (const char *id : { "w1", "w2", "w3" })
		sim[id].no_progress = true;
	Simulate(6000);
	EXPECT_EQ(s->counts.copies[STRAGGLER_STALLED], 2u);
}

// Guards against a stop of the run that is further on: its copy goes on.
TEST_F(Copy, ACopiedRunIsNotMovedOffADrainingWorker)
{
	Start(true);
	WorkerOf(0).slowdown = 20;
	for (int i = 0; i < 80 && Starts(0) < 2; i++)
		Simulate(50);
	ASSERT_EQ(Starts(0), 2u);
	ListAsDraining(
	    started[static_cast<size_t>(StartOf(0, 0))].worker.c_str(), 4000);
	Simulate(300);
	EXPECT_EQ(s->counts.leaving_moves, 0u);
	EXPECT_EQ(RunningAnywhere(), 2u);
}

// Guards against a copy that counts as lost and as won: it ended before its
// stop arrived, but after the copied run.
TEST_F(Copy, ACopyThatEndsSecondIsOnlyLost)
{
	Start(true);
	SimWorker &slow = WorkerOf(0);
	slow.slowdown = 8;
	for (int i = 0; i < 60 && Starts(0) < 2; i++)
		Simulate(50);
	ASSERT_EQ(Starts(0), 2u);
	sim[started[static_cast<size_t>(StartOf(0, 1))].worker].receives_stops =
	    false;
	slow.slowdown = 1;
	Simulate(2000);
	EXPECT_EQ(sched_job_visible_state(job), JOB_COMPLETED);
	EXPECT_EQ(RunningAnywhere(), 0u);
	EXPECT_EQ(s->counts.copies_lost, 1u);
	EXPECT_EQ(s->counts.copies_won, 0u);
}

// Guards against copies that take the room that a gang waits for.
TEST_F(Copy, NothingIsCopiedWhileAGangWaitsForRoom)
{
	Start(true);
	WorkerOf(0).reachable = false;
	struct graph *g = Graph("b", 40, 1000);
	g->steps[0].gang = true;
	Add(g);
	Simulate(1500);
	EXPECT_EQ(s->counts.copies[STRAGGLER_SILENT], 0u);
}

// Guards against copies of all runs after the leader was delayed, when the
// answers of the workers are not read yet.
TEST_F(Copy, ADelayOfTheLeaderIsNoSilenceOfWorkers)
{
	Start(true);
	run_ms["a"] = 10000;
	now += 50;
	sched_act(s, now);
	ASSERT_EQ(polled.size(), 3u);
	now += 1400;
	sched_act(s, now);
	EXPECT_EQ(started.size(), 3u);
	for (auto &o : started)
		Answer(sched_worker_find(s, o.worker.c_str()),
		    { { o.task, o.attempt, "", 50, 0 } });
	polled.clear();
	Simulate(500);
	EXPECT_EQ(started.size(), 3u);
	EXPECT_EQ(s->counts.copies[STRAGGLER_SILENT], 0u);
}

// Guards against copies beyond what the link accepts.
TEST_F(Copy, CopiesCountAgainstTheStartsThatTheLinkAllows)
{
	Start(true, 6);
	WorkerOf(0).reachable = false;
	for (int i = 0; i < 30; i++) {
		size_t before = started.size();
		s->starts_allowed = 1;
		Simulate(50);
		EXPECT_LE(started.size(), before + 1);
	}
	EXPECT_EQ(s->counts.copies[STRAGGLER_SILENT], 2u);
}

// Guards against passes that wait for the next event of a worker.
TEST_F(Copy, TheNextPassStaysDueBetweenPasses)
{
	Start(true);
	int64_t pass_ms = s->copy_pass_ms;
	now = pass_ms - 15;
	sched_act(s, now);
	ASSERT_EQ(s->copy_pass_ms, pass_ms);
	EXPECT_LE(s->next_ms, pass_ms);
}

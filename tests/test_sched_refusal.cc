#include "sched_fixture.h"

namespace {

constexpr int64_t kRunMs = 200;

// Four workers, of which the first may have less room than its entry tells.
class Refusal : public SchedSim {
      protected:
	void
	JoinFour()
	{
		for (auto *id : { "w1", "w2", "w3", "w4" })
			Join(id, 8000);
		Simulate(200);
	}

	// Adds a job of two short tasks each 100 ms.
	void
	SimulateShort(int64_t for_ms)
	{
		for (int64_t end = now + for_ms; now < end;) {
			std::string id = "short" + std::to_string(++jobs);
			run_ms[id] = kRunMs;
			Add(Graph(id.c_str(), 2, 2000));
			Simulate(100);
		}
	}

	size_t
	StartsOn(const char *worker) const
	{
		size_t n = 0;

		for (auto &o : started)
			n += o.worker == worker;
		return n;
	}

	size_t
	Waiting()
	{
		struct sched_load load;

		sched_measure(s, &load, now);
		return load.waiting;
	}

	int jobs = 0;
};

} // namespace

// Guards against a worker that refuses all and draws all work, as it looks
// empty.
TEST_F(Refusal, AWorkerWithoutRoomDoesntDrawAllTasks)
{
	JoinFour();
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	SimulateShort(10000);
	EXPECT_LE(StartsOn("w1"), 12u);
	EXPECT_LE(s->counts.refused_starts, 12u);
	Simulate(2 * kRunMs);
	EXPECT_EQ(Waiting(), 0u);
	EXPECT_EQ(RunningAnywhere(), 0u);
}

// Guards against a line for each refusal.
TEST_F(Refusal, TellsTheFirstRefusalAndTheEnd)
{
	JoinFour();
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	SimulateShort(3000);
	ASSERT_EQ(no_room.size(), 1u);
	EXPECT_EQ(no_room[0].worker, "w1");
	EXPECT_FALSE(no_room[0].over);
	EXPECT_EQ(no_room[0].refused, 1u);
	sim["w1"].start_answer = ANSWER_OK;
	SimulateShort(9000);
	ASSERT_EQ(no_room.size(), 2u);
	EXPECT_TRUE(no_room[1].over);
	EXPECT_EQ(no_room[1].refused, s->counts.refused_starts);
}

// Guards against starts beyond a room that is known to be full.
TEST_F(Refusal, WhatRunsThereIsReplacedAndNotMore)
{
	Join("w1", 8000);
	run_ms["a"] = 1000;
	Add(Graph("a", 2, 2000));
	Simulate(300);
	ASSERT_EQ(sim["w1"].running.size(), 2u);
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	Add(Graph("b", 4, 2000));
	Simulate(100);
	sim["w1"].start_answer = ANSWER_OK;
	size_t before = started.size();
	Simulate(300);
	EXPECT_EQ(started.size(), before);
	Simulate(1000);
	EXPECT_GE(started.size(), before + 2);
}

// Guards against room that nobody finds again once it has grown untold.
TEST_F(Refusal, RoomThatGrowsUntoldIsFoundByOneTask)
{
	Join("w1", 8000);
	Simulate(200);
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	Add(Graph("a", 4, 2000));
	Simulate(2000);
	EXPECT_EQ(RunningAnywhere(), 0u);
	// The first four at once, then one a pause.
	EXPECT_LE(started.size(), 6u);
	sim["w1"].start_answer = ANSWER_OK;
	Simulate(2500);
	EXPECT_EQ(RunningAnywhere(), 4u);
}

// Guards against trials at a fixed rate on a worker that stays without room.
TEST_F(Refusal, TrialsBecomeRare)
{
	Join("w1", 8000);
	Simulate(200);
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	Add(Graph("a", 1, 2000));
	Simulate(40000);
	EXPECT_LE(started.size(), 9u);
	EXPECT_GE(started.size(), 6u);
}

TEST_F(Refusal, AnEntryWithAnotherCapacityEndsThem)
{
	const struct resources small = { 2000, 64000, 0 };

	Join("w1", 8000);
	Simulate(200);
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	Add(Graph("a", 4, 2000));
	Simulate(50);
	sim["w1"].start_answer = ANSWER_OK;
	sched_worker_listed(
	    s, sched_worker_find(s, "w1"), &small, false, 0, now);
	Simulate(150);
	EXPECT_EQ(RunningAnywhere(), 1u);
	ASSERT_EQ(no_room.size(), 2u);
	EXPECT_TRUE(no_room[1].over);
}

// Guards against a refusal that says nothing of room being taken for one.
TEST_F(Refusal, AStartThatCameLateDoesntLimitRoom)
{
	Join("w1", 8000);
	Simulate(200);
	sim["w1"].start_answer = ANSWER_LATE;
	Add(Graph("a", 4, 2000));
	Simulate(50);
	sim["w1"].start_answer = ANSWER_OK;
	Simulate(150);
	EXPECT_EQ(RunningAnywhere(), 4u);
	EXPECT_TRUE(no_room.empty());
}

// Guards against capacity that is offered to long-running jobs and isn't there.
TEST_F(Refusal, RefusedRoomIsNoHeadroom)
{
	struct sched_headroom room;
	struct sched_queue *queue;

	Join("w1", 8000);
	run_ms["a"] = 100;
	Add(Graph("a", 1, 2000));
	Simulate(1000);
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	Add(Graph("b", 1, 2000));
	Simulate(200);
	queue = sched_job_find(s, "b")->queue;
	sched_measure_headroom(s, queue, &room, now);
	EXPECT_EQ(room.left, 0);
	EXPECT_TRUE(room.full);
}

// Guards against a gang that is sent to the same full worker again and again.
TEST_F(Refusal, AGangGoesElsewhere)
{
	struct graph *gang = Graph("gang", 3, 6000);

	JoinFour();
	gang->steps[0].gang = true;
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	Add(Graph("fill", 1, 8000));
	Simulate(100);
	Add(gang);
	Simulate(3000);
	EXPECT_LE(StartsOn("w1"), 3u);
	EXPECT_TRUE(sim["w1"].running.empty());
}

// Guards against the room of a worker's next incarnation being limited by a
// refusal of the former one.
TEST_F(Refusal, TheNextIncarnationHasItsOwnRoom)
{
	struct sched_worker *w = Join("w1", 8000);

	sim["w1"].started_ms = 1000;
	sched_worker_list_start(s, w, 1000, now);
	Simulate(200);
	sim["w1"].start_answer = ANSWER_NO_ROOM;
	Add(Graph("a", 2, 2000));
	Simulate(100);
	ASSERT_EQ(no_room.size(), 1u);
	sim["w1"].start_answer = ANSWER_OK;
	sim["w1"].started_ms = 2000;
	sched_worker_list_start(s, w, 2000, now);
	Simulate(400);
	EXPECT_EQ(RunningAnywhere(), 2u);
	ASSERT_EQ(no_room.size(), 2u);
	EXPECT_TRUE(no_room[1].over);
}

// Guards against a task that is sent to the worker again that called it late.
TEST_F(Refusal, ATaskThatCameLateGoesElsewhere)
{
	std::map<std::string, int> late;

	JoinFour();
	sim["w1"].start_answer = ANSWER_LATE;
	SimulateShort(5000);
	for (auto &o : started) {
		if (o.worker == "w1")
			late[std::string(o.task.job) + "." +
			    std::to_string(o.task.index)]++;
	}
	EXPECT_FALSE(late.empty());
	for (auto &[task, starts] : late)
		EXPECT_EQ(starts, 1) << task;
}

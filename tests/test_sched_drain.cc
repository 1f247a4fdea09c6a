#include "sched_fixture.h"

namespace {

// A worker that is listed as draining, on which nothing may be started.
class Drain : public SchedSim {
      protected:
	size_t
	StartsOn(const char *worker, size_t since = 0) const
	{
		size_t n = 0;

		for (size_t i = since; i < started.size(); i++)
			if (started[i].worker == worker)
				n++;
		return n;
	}

	// A task of 20 s runs on w1, which is then listed as leaving in 10 s;
	// w2 has this much room.
	void
	LongTaskOnALeavingWorker(bool checkpoints, int64_t elsewhere)
	{
		struct graph *g = Graph("a", 1, 1000);

		g->steps[0].checkpoints = checkpoints;
		g->steps[0].estimate_ms = 20000;
		run_ms["a"] = 20000;
		Join("w1", 4000);
		Simulate(300);
		Add(g);
		Simulate(500);
		ASSERT_EQ(StartsOn("w1"), 1u);
		if (elsewhere > 0)
			Join("w2", elsewhere);
		ListAsDraining("w1", 4000);
		left_ms = now + 10000;
	}

	int64_t left_ms = 0; // when w1 leaves
};

} // namespace

// One of two workers is listed as draining while it is idle.  Jobs that arrive
// then run only on the other one; those that find no room there wait and
// aren't started on a worker that is about to leave.
TEST_F(Drain, WorkGoesElsewhereOrWaits)
{
	Join("w1", 4000);
	Join("w2", 2000);
	Simulate(300);
	ListAsDraining("w1", 4000);
	Add(Graph("a", 3, 1000));
	Simulate(1000);
	EXPECT_EQ(StartsOn("w1"), 0u);
	EXPECT_EQ(StartsOn("w2"), 2u);
}

// Tasks wait for room when their worker is listed as draining; then its runs
// end and it is empty.  The tasks still wait until another worker joins, and
// all start there.
TEST_F(Drain, WorkThatWaitedIsNotStartedInTheRoomThatComesFree)
{
	Join("w1", 2000);
	Add(Graph("a", 4, 1000));
	run_ms["a"] = 1000;
	Simulate(500);
	ASSERT_EQ(StartsOn("w1"), 2u);
	ListAsDraining("w1", 2000);
	Simulate(2000);
	EXPECT_EQ(RunningAnywhere(), 0u);
	EXPECT_EQ(started.size(), 2u);
	Join("w2", 4000);
	Simulate(500);
	EXPECT_EQ(StartsOn("w1"), 2u);
	EXPECT_EQ(StartsOn("w2"), 2u);
}

// A gang of three would fit on two workers, of which one drains.  No member is
// started on either of them until a third worker has room for the others.
TEST_F(Drain, AGangTakesNoPlaceThere)
{
	struct graph *g = Graph("a", 3, 2000);

	g->steps[0].gang = true;
	Join("w1", 4000);
	Join("w2", 2000);
	Simulate(300);
	ListAsDraining("w1", 4000);
	Add(g);
	Simulate(1000);
	EXPECT_TRUE(started.empty());
	Join("w3", 4000);
	Simulate(500);
	EXPECT_EQ(StartsOn("w1"), 0u);
	EXPECT_EQ(StartsOn("w2"), 1u);
	EXPECT_EQ(StartsOn("w3"), 2u);
}

// A task fails on a worker that is listed as draining.  It is started again,
// but on the other worker, although that one has less room.
TEST_F(Drain, ATaskThatEndsThereStartsAgainElsewhere)
{
	Join("w1", 8000);
	Add(Graph("a", 1, 1000));
	Simulate(300);
	ASSERT_EQ(StartsOn("w1"), 1u);
	ListAsDraining("w1", 8000);
	Simulate(300);
	EndRun(sim["w1"], 0, END_FAILED);
	Simulate(1000);
	EXPECT_EQ(started.size(), 1u);
	Join("w2", 1000);
	Simulate(500);
	EXPECT_EQ(StartsOn("w1"), 1u);
	EXPECT_EQ(StartsOn("w2"), 1u);
}

// The drain ends, for example because a replacement is called off, and the
// worker is listed as before.  Work that waited starts there then, not sooner.
TEST_F(Drain, AWorkerThatNoLongerDrainsIsUsedAgain)
{
	const struct resources capacity = { 4000, 64000, 0 };

	Join("w1", 4000);
	Simulate(300);
	ListAsDraining("w1", 4000);
	Add(Graph("a", 1, 1000));
	Simulate(3000);
	EXPECT_TRUE(started.empty());
	sched_worker_listed(
	    s, sched_worker_find(s, "w1"), &capacity, false, 0, now);
	Simulate(500);
	EXPECT_EQ(StartsOn("w1"), 1u);
}

// Guards against a run that is lost with its worker, though a stop would have
// saved its work: it is stopped shortly before the departure.
TEST_F(Drain, AShortTaskTakesItsCheckpointElsewhere)
{
	LongTaskOnALeavingWorker(true, 4000);
	Simulate(left_ms - 1500 - now);
	EXPECT_TRUE(stopped.empty());
	Simulate(1000);
	EXPECT_EQ(stopped.size(), 1u);
	EXPECT_EQ(StartsOn("w2"), 1u);
	EXPECT_EQ(s->counts.leaving_moves, 1u);
	EXPECT_EQ(s->counts.failures, 0u);
}

// Guards against a stop that is put off: without checkpoints a later one loses
// more work.
TEST_F(Drain, AShortTaskWithoutCheckpointsStartsAnewAtOnce)
{
	LongTaskOnALeavingWorker(false, 4000);
	Simulate(500);
	EXPECT_EQ(stopped.size(), 1u);
	EXPECT_EQ(StartsOn("w2"), 1u);
}

// Guards against a stop after which the task finds no place.
TEST_F(Drain, AShortTaskStaysWhileNoWorkerHasRoom)
{
	LongTaskOnALeavingWorker(true, 500);
	Simulate(left_ms - now);
	EXPECT_TRUE(stopped.empty());
}

// Guards against moving what ends by itself before the worker leaves.
TEST_F(Drain, AShortTaskThatEndsInTimeStays)
{
	LongTaskOnALeavingWorker(true, 4000);
	run_ms["a"] = 4000;
	Simulate(left_ms - now);
	EXPECT_TRUE(stopped.empty());
	EXPECT_EQ(RunningAnywhere(), 0u);
	EXPECT_EQ(started.size(), 1u);
}

// A stop to a leaving worker is lost: it is sent again until the worker has
// left, and the task isn't started twice meanwhile.
TEST_F(Drain, ALostStopOfAShortTaskIsRepeated)
{
	LongTaskOnALeavingWorker(true, 4000);
	sim["w1"].receives_stops = false;
	Simulate(left_ms - 100 - now);
	EXPECT_GT(stopped.size(), 1u);
	EXPECT_EQ(StartsOn("w2"), 0u);
	sim["w1"].receives_stops = true;
	Simulate(1000);
	EXPECT_EQ(StartsOn("w2"), 1u);
}

// Guards against tasks that are lost with their worker because all others are
// slow.  Slow workers get no copies, but other tasks may start there.
TEST_F(Drain, AShortTaskMovesToASlowWorkerToo)
{
	LongTaskOnALeavingWorker(true, 4000);
	sched_worker_find(s, "w2")->inc.speed = 2;
	Simulate(left_ms - 500 - now);
	EXPECT_EQ(s->counts.leaving_moves, 1u);
	EXPECT_EQ(StartsOn("w2"), 1u);
}

// The same for a task that runs until its job is cancelled.
TEST_F(Drain, ALongRunningTaskMovesToASlowWorkerToo)
{
	struct graph *g = Graph("a", 1, 1000);

	g->steps[0].lasts = true;
	Join("w1", 4000);
	Simulate(300);
	Add(g);
	Simulate(500);
	ASSERT_EQ(StartsOn("w1"), 1u);
	Join("w2", 4000);
	Simulate(300);
	sched_worker_find(s, "w2")->inc.speed = 2;
	ListAsDraining("w1", 4000);
	Simulate(1000);
	EXPECT_EQ(StartsOn("w2"), 1u);
}

// A pass examines all workers for few runs.  Guards against passes that try the
// same runs again and again, while one behind them would find room.
TEST_F(Drain, AShortTaskIsNotHeldUpByOthersWithoutRoom)
{
	Join("w1", 40000);
	Simulate(300);
	for (int i = 0; i < 20; i++) {
		std::string id = "a" + std::to_string(i);
		struct graph *g = Graph(id.c_str(), 1, i < 19 ? 2000 : 500);

		g->steps[0].estimate_ms = 20000;
		run_ms[id] = 20000;
		Add(g);
		Simulate(50);
	}
	Simulate(200);
	ASSERT_EQ(StartsOn("w1"), 20u);
	Join("w2", 1000);
	Simulate(300);
	ListAsDraining("w1", 40000);
	Simulate(400);
	EXPECT_EQ(stopped.size(), 1u);
	EXPECT_EQ(StartsOn("w2"), 1u);
}

// Guards against stopping many runs for one free place: all but one would wait.
TEST_F(Drain, ShortTasksLeaveOnlyAsFarAsThereIsRoom)
{
	struct graph *g = Graph("a", 4, 1000);

	g->steps[0].estimate_ms = 20000;
	run_ms["a"] = 20000;
	Join("w1", 4000);
	Simulate(300);
	Add(g);
	Simulate(500);
	ASSERT_EQ(StartsOn("w1"), 4u);
	Join("w2", 2000);
	ListAsDraining("w1", 4000);
	Simulate(2000);
	EXPECT_GE(stopped.size(), 1u);
	EXPECT_EQ(StartsOn("w2"), stopped.size());
	EXPECT_EQ(RunningAnywhere(), 4u);
}

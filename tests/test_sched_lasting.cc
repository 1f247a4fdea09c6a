#include "sched_fixture.h"

namespace {

// Long-running serving tasks on three workers, with fillers and ordinary tasks
// beside them, and a fourth worker that they could move to.
class Lasting : public SchedSim {
      protected:
	void
	Fill()
	{
		struct graph *serving = Graph("serving", 3, 4000);
		struct graph *filler = Graph("filler", 24, 1000);

		for (const char *id : { "w1", "w2", "w3" })
			Join(id, 16000);
		serving->steps[0].lasts = true;
		serving->steps[0].per_worker = 1;
		serving->steps[0].may_be_away = 1;
		serving->steps[0].tail_target_ms = 50;
		strlcpy(serving->steps[0].image, "web", GRAPH_NAME_MAX);
		filler->steps[0].filler = true;
		strlcpy(filler->steps[0].image, "crunch", GRAPH_NAME_MAX);
		Add(serving);
		Simulate(500);
		ASSERT_EQ(RunningAnywhere(), 3u);
		Join("w4", 16000);
		Add(filler);
		run_ms["filler"] = 20000;
		AddBatch("batch");
	}

	void
	AddBatch(const std::string &id)
	{
		run_ms[id] = 500;
		Add(Graph(id.c_str(), 40, 2000));
	}

	// Number of stops of serving tasks on all workers except the given
	// one.
	size_t
	StopsOfServing(const char *but = "") const
	{
		size_t n = 0;

		for (auto &o : stopped)
			if (strcmp(o.task.job, "serving") == 0 &&
			    o.worker != but)
				n++;
		return n;
	}
};

} // namespace

// On one worker serving tasks are over their target for seconds, so that the
// fillers there are throttled; on another one tasks take six times as long; on
// the third they make no progress and are moved.  Neither lateness nor a
// suspect worker is a reason to stop a serving task: its users would find
// nobody until it has started elsewhere.
TEST_F(Lasting, NoFaultStopsARunningTask)
{
	Fill();
	sim["w2"].slowdown = 6;
	for (int round = 0; round < 10; round++) {
		AddBatch("batch" + std::to_string(round));
		sim["w1"].tail_ms = 400;
		sim["w2"].tail_ms = 30;
		sim["w3"].tail_ms = 30;
		sim["w3"].no_progress = true;
		Simulate(3000);
		sim["w1"].tail_ms = 30;
		sim["w3"].no_progress = false;
		Simulate(3000);
	}
	// Each of these faults took effect,
	EXPECT_FALSE(paced.empty());
	EXPECT_FALSE(stopped.empty());
	EXPECT_GT(s->counts.stalled, 0u);
	EXPECT_GT(sched_worker_find(s, "w2")->inc.speed, 1.3);
	// but no serving task was stopped.
	EXPECT_EQ(StopsOfServing(), 0u);
}

// A worker is repeatedly unreachable for less than a lease, then its answers
// to starts are lost, then it refuses starts as unhealthy.  Its serving task
// keeps running and gets no order to stop when the worker answers again.
TEST_F(Lasting, AWorkerOutOfReachForAWhileKeepsItsTask)
{
	Fill();
	for (int round = 0; round < 4; round++) {
		AddBatch("batch" + std::to_string(round));
		sim["w1"].reachable = false;
		Simulate(2000);
		sim["w1"].reachable = true;
		sim["w1"].start_answer = ANSWER_LOST;
		Simulate(1000);
		sim["w1"].start_answer = ANSWER_UNHEALTHY;
		Simulate(1000);
		sim["w1"].start_answer = ANSWER_OK;
		Simulate(1000);
	}
	EXPECT_FALSE(stopped.empty());
	EXPECT_GT(s->counts.refused_starts, 0u);
	EXPECT_EQ(StopsOfServing(), 0u);
}

// Three workers run a serving task each, and one of them drains.  Its task is
// moved while the worker still answers; the others stay where they are.
TEST_F(Lasting, OnlyTheTaskOfTheWorkerThatDrainsIsMoved)
{
	Fill();
	Simulate(1000);
	ListAsDraining("w1", 16000);
	Simulate(5000);
	EXPECT_GE(StopsOfServing(), 1u);
	EXPECT_EQ(StopsOfServing("w1"), 0u);
}

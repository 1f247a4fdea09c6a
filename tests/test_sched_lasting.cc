#include "sched_fixture.h"

namespace {

// Serving tasks that last on three workers, with a queue of fillers and of
// ordinary tasks beside them, and a fourth worker that they could move to.
class Lasting : public SchedPlay {
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
		Play(500);
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

	// Stops of a serving task on any worker, or on any but one.
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

// Serving tasks are over their target for seconds on one worker, so that the
// fillers there are held back; on another one tasks take six times as long,
// and on the third they stand still and are moved.  Neither lateness nor a
// worker under suspicion is a reason to end a serving task: its users would
// find nobody until it has started elsewhere.
TEST_F(Lasting, NoTroubleStopsATaskAtWork)
{
	Fill();
	at["w2"].slow = 6;
	for (int round = 0; round < 10; round++) {
		AddBatch("batch" + std::to_string(round));
		at["w1"].tail_ms = 400;
		at["w2"].tail_ms = 30;
		at["w3"].tail_ms = 30;
		at["w3"].still = true;
		Play(3000);
		at["w1"].tail_ms = 30;
		at["w3"].still = false;
		Play(3000);
	}
	// All of this took place:
	EXPECT_FALSE(paced.empty());
	EXPECT_FALSE(stopped.empty());
	EXPECT_GT(s->counts.stalled, 0u);
	EXPECT_GT(sched_worker_find(s, "w2")->speed, 1.3);
	// and yet:
	EXPECT_EQ(StopsOfServing(), 0u);
}

// A worker is out of reach for less than a lease, then its answers to starts
// are lost, then it refuses them as unhealthy, again and again.  Its serving
// task works on all the while and gets no order to stop when the worker answers
// again.
TEST_F(Lasting, AWorkerOutOfReachForAWhileKeepsItsTask)
{
	Fill();
	for (int round = 0; round < 4; round++) {
		AddBatch("batch" + std::to_string(round));
		at["w1"].reachable = false;
		Play(2000);
		at["w1"].reachable = true;
		at["w1"].to_start = ANSWER_LOST;
		Play(1000);
		at["w1"].to_start = ANSWER_UNHEALTHY;
		Play(1000);
		at["w1"].to_start = ANSWER_OK;
		Play(1000);
	}
	EXPECT_FALSE(stopped.empty());
	EXPECT_GT(s->counts.refused_starts, 0u);
	EXPECT_EQ(StopsOfServing(), 0u);
}

// Three workers hold a serving task each and one of them drains.  Its task is
// moved while it still answers; the others stay where they are.
TEST_F(Lasting, OnlyTheTaskOfTheWorkerThatDrainsIsMoved)
{
	Fill();
	Play(1000);
	ListAsDraining("w1", 16000);
	Play(5000);
	EXPECT_GE(StopsOfServing(), 1u);
	EXPECT_EQ(StopsOfServing("w1"), 0u);
}

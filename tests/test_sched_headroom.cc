#include "sched_fixture.h"

namespace {

// Two workers of eight processors, a queue of short jobs and a queue of
// long-running ones.
class SchedHeadroom : public SchedSim {
      protected:
	static constexpr int64_t kPiece = 3000, kRun = 500;

	struct graph *
	SetQueue(const char *queue, uint32_t priority, struct graph *g)
	{
		strlcpy(g->queue, queue, sizeof(g->queue));
		g->terms.priority = priority;
		return g;
	}

	// Adds a short job each kRun, with two tasks that claim kPiece each.
	void
	SimulateShort(int64_t for_ms, uint32_t priority)
	{
		for (int64_t end = now + for_ms; now < end;) {
			std::string id = "short" + std::to_string(++shorts);
			run_ms[id] = kRun;
			Add(SetQueue(
			    "short", priority, Graph(id.c_str(), 2, kPiece)));
			Simulate(kRun);
		}
	}

	void
	AddLongRunning(const char *id, uint32_t count, int64_t cpu)
	{
		struct graph *g = SetQueue("lasting", 1, Graph(id, count, cpu));

		g->steps[0].lasts = true;
		Add(g);
	}

	struct sched_headroom
	Measure()
	{
		struct sched_headroom room;
		struct queue_terms terms;

		memset(&terms, 0, sizeof(terms));
		strlcpy(terms.service, "s", sizeof(terms.service));
		terms.priority = 1;
		sched_measure_headroom(
		    s, sched_queue_get(s, "lasting", &terms), &room, now);
		return room;
	}

	int shorts = 0;
};

} // namespace

// Short work needs six processors all the time, so long-running jobs may take
// four of sixteen and no more.
TEST_F(SchedHeadroom, WhatShortWorkAsksForIsKept)
{
	Join("w1", 8000);
	Join("w2", 8000);
	SimulateShort(20000, 1);
	EXPECT_NEAR((double)Measure().need, 1.2 * 6000, 1500);
	EXPECT_FALSE(Measure().full);
	AddLongRunning("first", 1, 4000);
	SimulateShort(1000, 1);
	EXPECT_FALSE(Measure().full);
	AddLongRunning("second", 1, 5000);
	SimulateShort(1000, 1);
	EXPECT_TRUE(Measure().full);
}

// Short work that is less urgent than long-running jobs reserves nothing.
TEST_F(SchedHeadroom, LessUrgentWorkKeepsNothing)
{
	Join("w1", 8000);
	SimulateShort(5000, 2);
	AddLongRunning("first", 1, 4000);
	SimulateShort(1000, 2);
	EXPECT_EQ(Measure().need, 0);
	EXPECT_FALSE(Measure().full);
}

// Free processors in pieces smaller than a short task are of no use to it.
TEST_F(SchedHeadroom, SmallPiecesDontCount)
{
	Join("w1", 8000);
	Join("w2", 8000);
	AddLongRunning("first", 2, 6000);
	SimulateShort(2000, 1);
	EXPECT_EQ(Measure().left, 0);
	EXPECT_TRUE(Measure().full);
}

// Once no short work has arrived for a while, long-running jobs get the room.
TEST_F(SchedHeadroom, TheNeedDecaysWithTheLoad)
{
	Join("w1", 8000);
	Join("w2", 8000);
	AddLongRunning("first", 2, 4000);
	SimulateShort(10000, 1);
	ASSERT_TRUE(Measure().full);
	Simulate(40000);
	EXPECT_FALSE(Measure().full);
}

// Accepted jobs that don't run yet are placed first, so the room owed to them
// counts as used.
TEST_F(SchedHeadroom, RoomOwedToJobsThatWereTakenIsntFree)
{
	Join("w1", 8000);
	SimulateShort(5000, 1);
	AddLongRunning("first", 1, 20000);
	SimulateShort(500, 1);
	EXPECT_EQ(Measure().owed, 20000);
	EXPECT_TRUE(Measure().full);
}

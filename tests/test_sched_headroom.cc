#include "sched_fixture.h"

namespace {

// Two workers of eight processors; short jobs of one queue, and another queue
// whose jobs last.
class SchedHeadroom : public SchedPlay {
      protected:
	static constexpr int64_t kPiece = 3000, kRun = 500;

	struct graph *
	Of(const char *queue, uint32_t priority, struct graph *g)
	{
		strlcpy(g->queue, queue, sizeof(g->queue));
		g->terms.priority = priority;
		return g;
	}

	// A short job each kRun, of two tasks that claim kPiece each.
	void
	PlayShort(int64_t for_ms, uint32_t priority)
	{
		for (int64_t end = now + for_ms; now < end;) {
			std::string id = "short" + std::to_string(++shorts);
			run_ms[id] = kRun;
			Add(Of(
			    "short", priority, Graph(id.c_str(), 2, kPiece)));
			Play(kRun);
		}
	}

	void
	AddLasting(const char *id, uint32_t count, int64_t cpu)
	{
		struct graph *g = Of("lasting", 1, Graph(id, count, cpu));

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

// Six processors are asked for all the time, so that four of sixteen may go to
// jobs that last and no more.
TEST_F(SchedHeadroom, WhatShortWorkAsksForIsKept)
{
	Join("w1", 8000);
	Join("w2", 8000);
	PlayShort(20000, 1);
	EXPECT_NEAR((double)Measure().need, 1.2 * 6000, 1500);
	EXPECT_FALSE(Measure().full);
	AddLasting("first", 1, 4000);
	PlayShort(1000, 1);
	EXPECT_FALSE(Measure().full);
	AddLasting("second", 1, 5000);
	PlayShort(1000, 1);
	EXPECT_TRUE(Measure().full);
}

// Short work that is less urgent than what lasts keeps nothing from it.
TEST_F(SchedHeadroom, LessUrgentWorkKeepsNothing)
{
	Join("w1", 8000);
	PlayShort(5000, 2);
	AddLasting("first", 1, 4000);
	PlayShort(1000, 2);
	EXPECT_EQ(Measure().need, 0);
	EXPECT_FALSE(Measure().full);
}

// Free processors in pieces smaller than a short task are of no use to it.
TEST_F(SchedHeadroom, SmallPiecesDontCount)
{
	Join("w1", 8000);
	Join("w2", 8000);
	AddLasting("first", 2, 6000);
	PlayShort(2000, 1);
	EXPECT_EQ(Measure().left, 0);
	EXPECT_TRUE(Measure().full);
}

// Once no short work has come for a while, jobs that last get the room.
TEST_F(SchedHeadroom, TheNeedFadesWithTheLoad)
{
	Join("w1", 8000);
	Join("w2", 8000);
	AddLasting("first", 2, 4000);
	PlayShort(10000, 1);
	ASSERT_TRUE(Measure().full);
	Play(40000);
	EXPECT_FALSE(Measure().full);
}

// What was taken and isn't at work goes first: it is as good as used.
TEST_F(SchedHeadroom, RoomOwedToJobsThatWereTakenIsntFree)
{
	Join("w1", 8000);
	PlayShort(5000, 1);
	AddLasting("first", 1, 20000);
	PlayShort(500, 1);
	EXPECT_EQ(Measure().owed, 20000);
	EXPECT_TRUE(Measure().full);
}

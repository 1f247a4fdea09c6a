#include "sched_fixture.h"

namespace {

// A gang of three on three workers, of which the second one fails to start
// its member.
class Gang : public SchedPlay {
      protected:
	void
	StartOnThree()
	{
		struct graph *g = Graph("a", 3, 3000);

		g->steps[0].gang = true;
		Join("w1", 8000);
		Join("w2", 8000);
		Join("w3", 8000);
		Add(g);
	}

	// The same; a start on the second worker has this answer.  Play until
	// all three were sent.
	void
	StartOnThree(enum worker_answer second)
	{
		StartOnThree();
		at["w2"].to_start = second;
		for (int i = 0; i < 20 && started.empty(); i++)
			Play(50);
	}

	// What runs is the whole gang, under one attempt above the given one.
	void
	RunsWholeAbove(uint32_t attempt)
	{
		std::vector<uint32_t> attempts;

		for (auto &m : at)
			for (auto &r : m.second.running)
				attempts.push_back(r.order.attempt);
		ASSERT_EQ(attempts.size(), 3u);
		EXPECT_GT(attempts[0], attempt);
		EXPECT_EQ(attempts[1], attempts[0]);
		EXPECT_EQ(attempts[2], attempts[0]);
	}

	// Each start of an attempt comes with those of the other members.
	void
	WasStartedWholeEachTime()
	{
		std::map<uint32_t, size_t> members;

		for (auto &o : started)
			members[o.attempt]++;
		for (auto &m : members)
			EXPECT_EQ(m.second, 3u) << "attempt " << m.first;
	}

	// Those that run though the second one doesn't are told to stop.
	void
	OthersAreStopped(uint32_t attempt)
	{
		for (auto &o : started) {
			if (o.attempt != attempt || o.worker == "w2")
				continue;
			EXPECT_GE(StopsOf(o), 1u) << o.worker;
		}
	}
};

} // namespace

// One worker refuses its member of a gang, the other two begin theirs.  These
// would wait for the third in vain: they are told to stop at once, and when
// they have ended the gang starts again whole, under one higher attempt.
TEST_F(Gang, OneRefusedMemberStopsTheOthers)
{
	StartOnThree();
	for (int i = 0; i < 20 && started.empty(); i++) {
		at["w2"].to_start = ANSWER_NO_ROOM;
		Play(50);
	}
	ASSERT_EQ(started.size(), 3u);
	uint32_t first = started[0].attempt;
	at["w2"].to_start = ANSWER_OK;
	Play(100);
	OthersAreStopped(first);
	Play(2000);
	RunsWholeAbove(first);
	WasStartedWholeEachTime();
}

// The same, but the stop of one of the others is lost for a while.  There is
// room for the gang elsewhere, but nothing of the next attempt starts while a
// member of the former one runs: it would run in two places.
TEST_F(Gang, ItStartsAgainOnlyWhenAllMembersHaveEnded)
{
	StartOnThree();
	at["w2"].to_start = ANSWER_NO_ROOM;
	at["w3"].hears_stops = false;
	for (int i = 0; i < 20 && started.empty(); i++)
		Play(50);
	ASSERT_EQ(started.size(), 3u);
	uint32_t first = started[0].attempt;
	at["w2"].to_start = ANSWER_OK;
	Play(1500);
	EXPECT_EQ(started.size(), 3u);
	EXPECT_EQ(RunningAnywhere(), 1u);
	at["w3"].hears_stops = true;
	Play(1000);
	RunsWholeAbove(first);
	WasStartedWholeEachTime();
}

// A worker can't be reached at all, so its member surely didn't start.  The
// others are stopped, and the gang runs on the two workers that are left.
TEST_F(Gang, AMemberThatWasNeverSentStopsTheOthers)
{
	StartOnThree(ANSWER_NOT_SENT);
	ASSERT_EQ(started.size(), 3u);
	uint32_t first = started[0].attempt;
	at["w2"].reachable = false;
	Play(100);
	OthersAreStopped(first);
	Play(1000);
	RunsWholeAbove(first);
	EXPECT_TRUE(at["w2"].running.empty());
}

// The start of one member gets no answer and isn't carried out; the other two
// run.  The lost one is settled by a stop, since it might begin late.  The
// others wait for it in vain, so they are stopped as well, and the gang starts
// again whole, under one higher attempt.
TEST_F(Gang, OneLostMemberStopsTheOthers)
{
	StartOnThree(ANSWER_LOST);
	ASSERT_EQ(started.size(), 3u);
	uint32_t first = started[0].attempt;
	at["w2"].to_start = ANSWER_OK;
	Play(1000);
	OthersAreStopped(first);
	Play(2000);
	RunsWholeAbove(first);
	WasStartedWholeEachTime();
}

// Three members have saved at different points when one of them breaks off and
// the gang ends.  The next attempt resumes from one of these points, the same
// for all members, as the work of each is only worth something with that of
// the others.
TEST_F(Gang, AllMembersResumeFromTheSamePoint)
{
	StartOnThree();
	Play(500);
	ASSERT_EQ(started.size(), 3u);
	for (size_t i = 0; i < 3; i++) {
		Order o = started[i];
		poll_finished end = End(1, o, END_BROKEN);
		std::string point = "point-" + std::to_string(i);

		end.checkpoint = point.c_str();
		at[o.worker].running.clear();
		Answer(sched_worker_find(s, o.worker.c_str()), {}, { end });
	}
	sched_act(s, now += 10);
	ASSERT_EQ(started.size(), 6u);
	EXPECT_NE(resumed_from[3], "");
	EXPECT_EQ(resumed_from[4], resumed_from[3]);
	EXPECT_EQ(resumed_from[5], resumed_from[3]);
}

#include "sched_fixture.h"

namespace {

// A gang of three on three workers, of which the second one fails to start its
// member.
class Gang : public SchedSim {
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

	// As above, but starts on the second worker get this answer.  Returns
	// once all three starts were sent.
	void
	StartOnThree(enum worker_answer second)
	{
		StartOnThree();
		sim["w2"].start_answer = second;
		for (int i = 0; i < 20 && started.empty(); i++)
			Simulate(50);
	}

	// Verifies that the whole gang runs, under one attempt above the given
	// one.
	void
	ExpectWholeGangAbove(uint32_t attempt)
	{
		std::vector<uint32_t> attempts;

		for (auto &m : sim)
			for (auto &r : m.second.running)
				attempts.push_back(r.order.attempt);
		ASSERT_EQ(attempts.size(), 3u);
		EXPECT_GT(attempts[0], attempt);
		EXPECT_EQ(attempts[1], attempts[0]);
		EXPECT_EQ(attempts[2], attempts[0]);
	}

	// Verifies that each attempt started all members.
	void
	ExpectAttemptsStartedWhole()
	{
		std::map<uint32_t, size_t> members;

		for (auto &o : started)
			members[o.attempt]++;
		for (auto &m : members)
			EXPECT_EQ(m.second, 3u) << "attempt " << m.first;
	}

	// Verifies that the members on the other workers were told to stop.
	void
	ExpectOthersStopped(uint32_t attempt)
	{
		for (auto &o : started) {
			if (o.attempt != attempt || o.worker == "w2")
				continue;
			EXPECT_GE(StopsOf(o), 1u) << o.worker;
		}
	}
};

} // namespace

// One worker refuses its member of a gang while the other two start theirs.
// These would wait for the third in vain: they are told to stop at once, and
// when they have ended the whole gang starts again under one higher attempt.
TEST_F(Gang, OneRefusedMemberStopsTheOthers)
{
	StartOnThree();
	for (int i = 0; i < 20 && started.empty(); i++) {
		sim["w2"].start_answer = ANSWER_NO_ROOM;
		Simulate(50);
	}
	ASSERT_EQ(started.size(), 3u);
	uint32_t first = started[0].attempt;
	sim["w2"].start_answer = ANSWER_OK;
	Simulate(100);
	ExpectOthersStopped(first);
	Simulate(2000);
	ExpectWholeGangAbove(first);
	ExpectAttemptsStartedWhole();
}

// As above, but the stop of one of the others is lost for a while.  There is
// room for the gang elsewhere, but nothing of the next attempt starts while a
// member of the former one runs: it would run in two places.
TEST_F(Gang, ItStartsAgainOnlyWhenAllMembersHaveEnded)
{
	StartOnThree();
	sim["w2"].start_answer = ANSWER_NO_ROOM;
	sim["w3"].receives_stops = false;
	for (int i = 0; i < 20 && started.empty(); i++)
		Simulate(50);
	ASSERT_EQ(started.size(), 3u);
	uint32_t first = started[0].attempt;
	sim["w2"].start_answer = ANSWER_OK;
	Simulate(1500);
	EXPECT_EQ(started.size(), 3u);
	EXPECT_EQ(RunningAnywhere(), 1u);
	sim["w3"].receives_stops = true;
	Simulate(1000);
	ExpectWholeGangAbove(first);
	ExpectAttemptsStartedWhole();
}

// A worker is unreachable, so its member certainly didn't start.  The others
// are stopped, and the gang runs on the two workers that are left.
TEST_F(Gang, AMemberThatWasNeverSentStopsTheOthers)
{
	StartOnThree(ANSWER_NOT_SENT);
	ASSERT_EQ(started.size(), 3u);
	uint32_t first = started[0].attempt;
	sim["w2"].reachable = false;
	Simulate(100);
	ExpectOthersStopped(first);
	Simulate(1000);
	ExpectWholeGangAbove(first);
	EXPECT_TRUE(sim["w2"].running.empty());
}

// The start of one member gets no answer and isn't carried out, while the
// other two run.  As the lost start may still be carried out late, a stop
// resolves it.  The others would wait for it in vain, so they are stopped as
// well, and the whole gang starts again under one higher attempt.
TEST_F(Gang, OneLostMemberStopsTheOthers)
{
	StartOnThree(ANSWER_LOST);
	ASSERT_EQ(started.size(), 3u);
	uint32_t first = started[0].attempt;
	sim["w2"].start_answer = ANSWER_OK;
	Simulate(1000);
	ExpectOthersStopped(first);
	Simulate(2000);
	ExpectWholeGangAbove(first);
	ExpectAttemptsStartedWhole();
}

// Three members have saved different checkpoints when they break off and the
// gang ends.  The next attempt resumes all members from the same one of these
// checkpoints, since the progress of a member is of use only together with
// that of the others.
TEST_F(Gang, AllMembersResumeFromTheSamePoint)
{
	StartOnThree();
	Simulate(500);
	ASSERT_EQ(started.size(), 3u);
	for (size_t i = 0; i < 3; i++) {
		Order o = started[i];
		poll_finished end = End(1, o, END_BROKEN);
		std::string point = "point-" + std::to_string(i);

		end.checkpoint = point.c_str();
		sim[o.worker].running.clear();
		Answer(sched_worker_find(s, o.worker.c_str()), {}, { end });
	}
	sched_act(s, now += 10);
	ASSERT_EQ(started.size(), 6u);
	EXPECT_NE(resumed_from[3], "");
	EXPECT_EQ(resumed_from[4], resumed_from[3]);
	EXPECT_EQ(resumed_from[5], resumed_from[3]);
}

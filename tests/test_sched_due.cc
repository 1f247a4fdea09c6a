#include "sched_fixture.h"

namespace {

// A job that is repeated each second, from two seconds on.  Its due times are
// of the wall clock, which tells another time than the clock of the leader.
class Due : public SchedPlay {
      protected:
	static const int64_t WALL_AHEAD_MS = 1700000000000;

	Due()
	{
		first_ms = now + 2000;
	}

	struct graph *
	Repeated(uint32_t repeats)
	{
		struct graph *g = Graph("a", 1, 1000);

		g->repeats = repeats;
		g->every_ms = 1000;
		g->first_due_ms = first_ms + WALL_AHEAD_MS;
		return g;
	}

	void
	Lead(uint64_t term)
	{
		sched_close(s);
		options.term = term;
		options.taken_ms = now;
		options.wall_offset_ms = -WALL_AHEAD_MS;
		s = sched_open(&options);
	}

	// One leader and one worker; each time runs for so long.
	void
	Begin(uint32_t repeats, int64_t runs_ms)
	{
		Lead(1);
		Join("w1", 8000);
		Add(Repeated(repeats));
		run_ms["a"] = runs_ms;
	}

	// Another entry leads.  It reads of the job what was saved: the
	// occurrences that are done.  Workers keep what runs there.
	struct sched_job *
	TakeOver(uint64_t term, uint32_t repeats, uint32_t ndone)
	{
		struct sched_job *job;

		Lead(term);
		Inherit("w1", RECORD_IN_USE);
		Join("w1", 8000);
		job = Add(Repeated(repeats), true);
		for (uint32_t i = 0; i < ndone; i++)
			sched_load_occurrence_done(job, i);
		sched_load_end(s, now);
		return job;
	}

	// Each occurrence started once, in order, and at its time.
	void
	StartedInTime(uint32_t n)
	{
		ASSERT_EQ(started.size(), n);
		for (uint32_t i = 0; i < n; i++) {
			EXPECT_EQ(started[i].task.occurrence, i);
			EXPECT_GE(start_times[i], first_ms + 1000 * i);
			EXPECT_LE(start_times[i], first_ms + 1000 * i + 200);
		}
	}

	int64_t first_ms;
};

} // namespace

// A job is to run four times, a second apart.  Each time starts when it is due
// and not before, though there is room all the while and the one before it has
// ended early; the job is complete after the fourth.
TEST_F(Due, OccurrencesStartAtTheirTimes)
{
	Lead(1);
	Join("w1", 8000);
	struct sched_job *job = Add(Repeated(4));
	run_ms["a"] = 300;
	Play(1900);
	EXPECT_TRUE(started.empty());
	for (uint32_t i = 1; i <= 4; i++) {
		Play(1000);
		StartedInTime(i);
	}
	EXPECT_EQ(job->state, JOB_COMPLETED);
}

// A time is longer than the interval: the next one starts at its own time all
// the same, and doesn't wait for the former one.
TEST_F(Due, ALongOccurrenceDelaysNoOther)
{
	Begin(3, 2500);
	Play(5000);
	StartedInTime(3);
}

// The leader is replaced after the first time has ended, and again while the
// second one runs.  No occurrence starts early because its times are read anew,
// none is left out, and the one that runs isn't started again.
TEST_F(Due, OccurrencesKeepTheirTimesOverChangesOfTheLeader)
{
	Begin(4, 400);
	Play(2600);
	StartedInTime(1);
	TakeOver(2, 4, 1);
	Play(300);
	StartedInTime(1);
	Play(300);
	StartedInTime(2);
	ASSERT_EQ(RunningAnywhere(), 1u);
	struct sched_job *job = TakeOver(3, 4, 1);
	Play(700);
	StartedInTime(2);
	EXPECT_EQ(job->occurrences_done, 2u);
	Play(1500);
	StartedInTime(4);
	Play(1000);
	StartedInTime(4);
	EXPECT_EQ(job->state, JOB_COMPLETED);
}

// A new leader takes over before the first time is due, when its worker lists
// nothing.  It waits for the first time as the one before it did.
TEST_F(Due, ALeaderThatComesBeforeTheFirstTimeWaitsForIt)
{
	Begin(2, 400);
	Play(1000);
	TakeOver(2, 2, 0);
	Play(900);
	EXPECT_TRUE(started.empty());
	Play(2000);
	StartedInTime(2);
}

// The end of the first time was saved, but the leader was replaced before the
// worker was told so: the worker tells the next leader of it again.  That end
// counts once, so the last time is still run and the job isn't complete before.
TEST_F(Due, AnEndToldAgainToTheNextLeaderCountsOnce)
{
	Begin(3, 400);
	Play(2600);
	StartedInTime(1);
	at["w1"].ended.push_back({ 1, started[0], END_DONE });
	struct sched_job *job = TakeOver(2, 3, 1);
	Play(200);
	EXPECT_EQ(job->occurrences_done, 1u);
	Play(1400);
	EXPECT_NE(job->state, JOB_COMPLETED);
	Play(1000);
	StartedInTime(3);
	EXPECT_EQ(job->state, JOB_COMPLETED);
}

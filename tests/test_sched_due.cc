#include "sched_fixture.h"

namespace {

// A job that is repeated each second, beginning in two seconds.  Its due times
// are of the wall clock, which differs from the leader's clock.
class Due : public SchedSim {
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

	// Starts one leader and one worker; each occurrence runs for runs_ms.
	void
	Begin(uint32_t repeats, int64_t runs_ms)
	{
		Lead(1);
		Join("w1", 8000);
		Add(Repeated(repeats));
		run_ms["a"] = runs_ms;
	}

	// Another entry becomes the leader.  It loads what was saved of the
	// job: the completed occurrences.  Workers keep their runs.
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

	// Verifies that each occurrence started once, in order and on time.
	void
	ExpectStartedInTime(uint32_t n)
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

// A job is to run four times, a second apart.  Each occurrence starts when it
// is due and not before, although there is room all the while and the previous
// occurrence has ended early.  The job is complete after the fourth.
TEST_F(Due, OccurrencesStartAtTheirTimes)
{
	Lead(1);
	Join("w1", 8000);
	struct sched_job *job = Add(Repeated(4));
	run_ms["a"] = 300;
	Simulate(1900);
	EXPECT_TRUE(started.empty());
	for (uint32_t i = 1; i <= 4; i++) {
		Simulate(1000);
		ExpectStartedInTime(i);
	}
	EXPECT_EQ(job->state, JOB_COMPLETED);
}

// An occurrence takes longer than the interval: the next one starts on time
// nevertheless, and doesn't wait for the previous one.
TEST_F(Due, ALongOccurrenceDelaysNoOther)
{
	Begin(3, 2500);
	Simulate(5000);
	ExpectStartedInTime(3);
}

// The leader is replaced after the first occurrence has ended, and again while
// the second one runs.  No occurrence starts early because the due times are
// loaded again, none is skipped, and the one that runs isn't started again.
TEST_F(Due, OccurrencesKeepTheirTimesOverChangesOfTheLeader)
{
	Begin(4, 400);
	Simulate(2600);
	ExpectStartedInTime(1);
	TakeOver(2, 4, 1);
	Simulate(300);
	ExpectStartedInTime(1);
	Simulate(300);
	ExpectStartedInTime(2);
	ASSERT_EQ(RunningAnywhere(), 1u);
	struct sched_job *job = TakeOver(3, 4, 1);
	Simulate(700);
	ExpectStartedInTime(2);
	EXPECT_EQ(job->occurrences_done, 2u);
	Simulate(1500);
	ExpectStartedInTime(4);
	Simulate(1000);
	ExpectStartedInTime(4);
	EXPECT_EQ(job->state, JOB_COMPLETED);
}

// A new leader takes over before the first occurrence is due, when its worker
// lists nothing.  It waits for the due time like the previous leader.
TEST_F(Due, ALeaderThatComesBeforeTheFirstTimeWaitsForIt)
{
	Begin(2, 400);
	Simulate(1000);
	TakeOver(2, 2, 0);
	Simulate(900);
	EXPECT_TRUE(started.empty());
	Simulate(2000);
	ExpectStartedInTime(2);
}

// The end of the first occurrence was saved, but the leader was replaced
// before it acknowledged the end, so the worker reports it again to the next
// leader. The end counts once: the last occurrence still runs, and the job
// isn't complete before.
TEST_F(Due, AnEndToldAgainToTheNextLeaderCountsOnce)
{
	Begin(3, 400);
	Simulate(2600);
	ExpectStartedInTime(1);
	sim["w1"].ended.push_back({ 1, started[0], END_DONE });
	struct sched_job *job = TakeOver(2, 3, 1);
	Simulate(200);
	EXPECT_EQ(job->occurrences_done, 1u);
	Simulate(1400);
	EXPECT_NE(job->state, JOB_COMPLETED);
	Simulate(1000);
	ExpectStartedInTime(3);
	EXPECT_EQ(job->state, JOB_COMPLETED);
}

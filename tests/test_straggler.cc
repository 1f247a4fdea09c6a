#include <gtest/gtest.h>

extern "C" {
#include "straggler.h"
}

namespace {

// A run of which half is done after a second; others of its step take two.
struct straggler_run
Usual()
{
	struct straggler_run run = {};

	run.age_ms = 1000;
	run.percent = 50;
	run.percent_gained = 50;
	run.gained_ms = 1000;
	run.mean_length_ms = 2000;
	return run;
}

} // namespace

TEST(Straggler, AUsualRunGetsNoCopy)
{
	struct straggler_run run = Usual();

	EXPECT_EQ(straggler_remaining_ms(&run), 1000);
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_NONE);
}

// Guards against a job that waits for a worker that is five times slower.
TEST(Straggler, ASlowRunGetsACopy)
{
	struct straggler_run run = Usual();

	run.percent = run.percent_gained = 10;
	EXPECT_EQ(straggler_remaining_ms(&run), 9000);
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_SLOW);
}

// Guards against copies that end no earlier than the run itself.
TEST(Straggler, ACopyHasToEndMuchEarlier)
{
	struct straggler_run run = Usual();

	run.gained_ms = 3150; // and as much remains: 1.5 times 2,100
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_NONE);
	run.gained_ms = 3200;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_SLOW);
}

// Guards against copies by an estimate alone, which is often far off.
TEST(Straggler, WithoutEndedRunsNoneIsSlow)
{
	struct straggler_run run = Usual();

	run.percent = run.percent_gained = 10;
	run.mean_length_ms = 0;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_NONE);
}

// Guards against waiting for the first percents of a very slow run.
TEST(Straggler, ARunThatGainsNothingIsSlowAfterSomeLengths)
{
	struct straggler_run run = Usual();

	run.percent = run.percent_gained = 1;
	run.age_ms = 5999;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_NONE);
	run.age_ms = 6000;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_SLOW);
}

TEST(Straggler, ASilentWorkerAndAStalledRunAreTold)
{
	struct straggler_run run = Usual();

	run.idle_ms = 700;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_STALLED);
	run.overdue_ms = 300;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_SILENT);
}

// Guards against copies of healthy long runs, which gain a percent in seconds.
TEST(Straggler, ALongRunMayGainNothingForLonger)
{
	struct straggler_run run = Usual();

	run.estimate_ms = 120000;
	run.idle_ms = 6699;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_NONE);
	run.idle_ms = 6700;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_STALLED);
}

// Guards against copies of runs that couldn't be listed yet.
TEST(Straggler, AYoungRunGetsNoCopy)
{
	struct straggler_run run = Usual();

	run.age_ms = 299;
	run.overdue_ms = 1000;
	EXPECT_EQ(straggler_judge(&run), STRAGGLER_NONE);
}

// Guards against copies that take the room of the work that they are for.
TEST(Straggler, CopiesAreASmallShareOfTheRuns)
{
	EXPECT_EQ(straggler_copies_max(0), 2u);
	EXPECT_EQ(straggler_copies_max(1000), 30u);
}

#include <cstdint>

#include <gtest/gtest.h>

extern "C" {
#include "leave.h"
}

namespace {

// A run that gained 20 % in 2 s and is at 40 %: 6 s remain.
struct leave_run
MakeRun(bool checkpoints)
{
	struct leave_run run = {};

	run.checkpoints = checkpoints;
	run.percent = 40;
	run.percent_gained = 20;
	run.gained_ms = 2000;
	run.estimate_ms = 1000;
	run.pace = 100;
	return run;
}

} // namespace

TEST(Leave, TheRestFollowsFromTheProgress)
{
	struct leave_run run = MakeRun(true);

	EXPECT_EQ(leave_remaining_ms(&run), 6000);
}

// Guards against a run that resumed at 90 % being taken for a fast one.
TEST(Leave, WithoutProgressTheEstimateCounts)
{
	struct leave_run run = MakeRun(true);

	run.percent_gained = 0;
	run.gained_ms = 0;
	run.percent = 90;
	EXPECT_EQ(leave_remaining_ms(&run), 100);
	run.pace = 50;
	EXPECT_EQ(leave_remaining_ms(&run), 200);
}

TEST(Leave, AThrottledRunNeverEnds)
{
	struct leave_run run = MakeRun(true);

	run.pace = 0;
	EXPECT_EQ(leave_remaining_ms(&run), INT64_MAX);
	EXPECT_EQ(leave_decide(&run, 1000), LEAVE_NOW);
}

// Guards against a restart of work that would have ended in time.
TEST(Leave, ARunThatEndsInTimeStays)
{
	struct leave_run run = MakeRun(true);

	EXPECT_EQ(leave_decide(&run, 6300), LEAVE_NOT);
	EXPECT_NE(leave_decide(&run, 6299), LEAVE_NOT);
}

// Guards against a stop that leaves room unused until the worker leaves, and
// against one that comes too late.
TEST(Leave, ARunWithCheckpointsLeavesLate)
{
	struct leave_run run = MakeRun(true);

	EXPECT_EQ(leave_decide(&run, 5000), LEAVE_LATER);
	EXPECT_EQ(leave_decide(&run, 1200), LEAVE_NOW);
	EXPECT_EQ(leave_decide(&run, 0), LEAVE_NOW);
}

// Guards against a move without checkpoints that loses more than it saves.
TEST(Leave, ARunWithoutCheckpointsLeavesEarlyOrNotAtAll)
{
	struct leave_run run = MakeRun(false);

	EXPECT_EQ(leave_decide(&run, 5000), LEAVE_NOT);
	run.percent = 24;
	EXPECT_EQ(leave_decide(&run, 5000), LEAVE_NOW);
}

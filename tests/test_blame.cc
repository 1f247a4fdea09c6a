#include <gtest/gtest.h>

extern "C" {
#include "blame.h"
}

// The rate of 50 workers, observed for this time with this many crashes per
// second.
static struct blame_rate
ObservedRate(int seconds, double crashes_per_s)
{
	struct blame_rate rate = { 0, 0, 0 };
	double due = 0;

	for (int i = 0; i <= seconds; i++) {
		blame_update_rate(&rate, 50, 1000 + 1000 * i);
		for (due += crashes_per_s; due >= 1; due--)
			blame_add_crash(&rate);
	}
	return rate;
}

TEST(Blame, NothingWithoutACrash)
{
	struct blame_rate rate = ObservedRate(60, 0);

	EXPECT_EQ(BLAME_NONE, blame_assess(&rate, 0, 0));
}

TEST(Blame, OneCrashProvesNothing)
{
	struct blame_rate rate = ObservedRate(600, 0);

	EXPECT_EQ(BLAME_SUSPECT, blame_assess(&rate, 1, 50));
}

TEST(Blame, CrashesSoonAfterStartsAreTheTasks)
{
	struct blame_rate low = ObservedRate(60, 0.01),
			  high = ObservedRate(60, 1);

	EXPECT_EQ(BLAME_CERTAIN, blame_assess(&low, 2, 100));
	EXPECT_EQ(BLAME_CERTAIN, blame_assess(&high, 3, 150));
	EXPECT_EQ(BLAME_CERTAIN, blame_assess(&high, 5, 5 * 1400));
}

TEST(Blame, FrequentUnrelatedCrashesBlameNoTask)
{
	struct blame_rate high = ObservedRate(60, 1);

	// With 50 workers and one crash a second, each worker runs for 50 s
	// between two crashes.
	EXPECT_EQ(BLAME_NONE, blame_assess(&high, 1, 50000));
	EXPECT_EQ(BLAME_NONE, blame_assess(&high, 5, 250000));
	EXPECT_EQ(BLAME_NONE, blame_assess(&high, 8, 200000));
	EXPECT_NE(BLAME_CERTAIN, blame_assess(&high, 2, 1600));
}

TEST(Blame, ATasksOwnCrashesDontExcuseIt)
{
	struct blame_rate rate = ObservedRate(60, 0);

	for (int i = 0; i < 3; i++)
		blame_add_crash(&rate);
	EXPECT_EQ(BLAME_CERTAIN, blame_assess(&rate, 3, 3000));
}

TEST(Blame, OldCrashesDecay)
{
	struct blame_rate rate = ObservedRate(60, 5);

	EXPECT_NE(BLAME_CERTAIN, blame_assess(&rate, 2, 1000));
	for (int i = 1; i <= 300; i++)
		blame_update_rate(&rate, 50, 61000 + 1000 * i);
	EXPECT_EQ(BLAME_CERTAIN, blame_assess(&rate, 2, 1000));
}

TEST(Blame, ARefutedCrashIsRemoved)
{
	struct blame_rate rate = ObservedRate(60, 0), before = rate;

	blame_add_crash(&rate);
	blame_remove_crash(&rate);
	EXPECT_EQ(before.crashes, rate.crashes);
	blame_remove_crash(&rate);
	EXPECT_EQ(0, rate.crashes);
}

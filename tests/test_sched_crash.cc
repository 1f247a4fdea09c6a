#include "sched_crash_fixture.h"

// Guards against a task that takes one worker after the other down.
TEST_F(SchedCrash, ATaskThatCrashesItsWorkersIsGivenUp)
{
	JoinAll(8, 8000);
	Fence();
	Add(Lasting("lasting", 8, 1000));
	PlayCrashes(5000);
	crashers.insert("bad");
	Add(Graph("bad", 1, 1000));
	PlayCrashes(60000);
	EXPECT_EQ("failed", StateOf("bad"));
	EXPECT_GE(StartsOf("bad"), 2u);
	EXPECT_LE(StartsOf("bad"), 5u);
	EXPECT_EQ("running", StateOf("lasting"));
	EXPECT_EQ(8u, RunningAnywhere());
}

TEST_F(SchedCrash, WhatRanOnALostWorkerIsReported)
{
	JoinAll(1, 8000);
	Fence();
	Add(Lasting("lasting", 2, 1000));
	PlayCrashes(5000);
	Crash(started[0].worker);
	PlayCrashes(4000);
	ASSERT_EQ(2u, lost.size());
	EXPECT_EQ(LOSS_OTHER_LIFE, lost[0].cause);
	EXPECT_STREQ("lasting", lost[0].order.task.job);
	EXPECT_NEAR(5000, lost[0].ran_ms, 200);
}

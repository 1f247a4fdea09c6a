#include "sched_crash_fixture.h"

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

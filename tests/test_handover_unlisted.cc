#include "handover_fixture.h"

// Guards against the usual lease where the list has lost the entry of a worker
// that restarted: it has carried out a start that the last leader sent to its
// former incarnation, and was cut off before it answered anyone.
TEST_F(Handover, ARestartThatNothingTellsAllowsTheLongestLease)
{
	lease_max_ms = 2 * kLeaseMs;
	workers["first"].started_ms = 1000;
	RunOnFirst(1);
	AddWorker("second");
	Pass(1000);
	Close();
	workers["first"].started_ms++;
	workers["first"].token = 0;
	workers["first"].lease = Worker::Clock(clock_now_ms()) + lease_max_ms;
	MakeUnreachable("first");
	Open();
	Pass(2 * lease_max_ms);
	EXPECT_EQ(workers["second"].runs.size(), 1u);
	EXPECT_EQ(duplicate_runs, 0);
}

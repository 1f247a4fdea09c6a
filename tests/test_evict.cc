#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "evict.h"
}

namespace {

class Evict : public ::testing::Test {
      public:
	void
	SetUp() override
	{
		evict_options_default(&o);
		o.tail_weight = 4;
		l = learn_open(nullptr);
		w = learn_worker_open(l);
		s.kind = learn_kind(l, "custodio");
		learn_mark_service(l, s.kind);
		s.target_p99_ms = 20;
		s.capacity_cpu_millis = 32000;
		s.used_cpu_millis = 12000;
		quiet = learn_kind(l, "v/quiet");
		noisy = learn_kind(l, "v/noisy");
		train();
	}

	void
	TearDown() override
	{
		learn_worker_close(w);
		learn_close(l);
	}

	/* Train the model: noisy slows the service, and quiet does not. */
	void
	train()
	{
		for (int i = 0; i < 60; i++, t += 20000) {
			learn_tenant_start(w, 1, noisy, 8000, t);
			learn_service_p99(w, s.kind, 30, t + 10000, 10000);
			learn_tenant_end(w, 1, t + 10000);
			learn_tenant_start(w, 2, quiet, 8000, t + 10000);
			learn_service_p99(w, s.kind, 10, t + 20000, 10000);
			learn_tenant_end(w, 2, t + 20000);
		}
	}

	evict_task
	task(int kind, int64_t unsaved_ms = 60000)
	{
		evict_task e = {};
		e.kind = kind;
		e.cpu_millis = 8000;
		e.unsaved_ms = unsaved_ms;
		e.run_ms = 600000;
		e.percent = 100;
		return e;
	}

	/* Record one more delayed measurement, then decide on it. */
	evict_result
	after(double p99_ms)
	{
		t += 10000;
		evict_measured(&o, &s, p99_ms, t - 5000);
		return decide();
	}

	evict_result
	decide()
	{
		return evict_decide(&o, &s, w, tasks.data(), tasks.size(), t);
	}

	/*
	 * Repeat up to n times; returns the first action, or the last result
	 * without one.
	 */
	evict_result
	after_many(double p99_ms, int n)
	{
		evict_result r = {};
		for (int i = 0; i < n; i++)
			if ((r = after(p99_ms)).action != EVICT_NOTHING)
				break;
		return r;
	}

	struct evict_options o;
	struct learn *l;
	struct learn_worker *w;
	struct evict_service s = {};
	std::vector<evict_task> tasks;
	int quiet, noisy;
	int64_t t = 1000;
};

/*
 * The target is missed permanently.  The likeliest cause is throttled twice and
 * then checkpointed; a task that cannot be checkpointed is stopped.  Each step
 * waits for a measurement that can show the effect of the previous one.
 */
TEST_F(Evict, ThrottlesThenCheckpointsThenStopsTheLikeliestCause)
{
	tasks = { task(quiet), task(noisy), task(quiet) };
	const struct {
		evict_action action;
		int percent;
	} steps[] = {
		{ EVICT_THROTTLE, 50 },
		{ EVICT_THROTTLE, 20 },
		{ EVICT_CHECKPOINT, 0 },
		{ EVICT_STOP, 0 },
	};
	for (auto &step : steps) {
		evict_result r = after_many(60, 8);
		ASSERT_EQ(r.action, step.action);
		EXPECT_EQ(r.index, 1);
		EXPECT_EQ(r.percent, step.percent);
		if (step.action == EVICT_CHECKPOINT)
			tasks[1].no_checkpoint = 1;
		else
			tasks[1].percent = step.percent;
		EXPECT_EQ(decide().reason, EVICT_SETTLING);
		if (step.action == EVICT_STOP)
			break;
	}
}

TEST_F(Evict, AMeasurementMadeBeforeTheActionIsNoReasonForAnother)
{
	tasks = { task(noisy), task(noisy) };
	ASSERT_EQ(after_many(60, 8).action, EVICT_THROTTLE);
	int64_t acted = t;
	for (int64_t m = s.measured_ms + 1; m < acted + o.settle_ms; m += 500) {
		evict_measured(&o, &s, 90, m);
		EXPECT_EQ(decide().reason, EVICT_SETTLING);
	}
	evict_measured(&o, &s, 90, acted + o.settle_ms);
	EXPECT_EQ(decide().action, EVICT_THROTTLE);
}

TEST_F(Evict, OccasionalMissesChangeNothing)
{
	tasks = { task(noisy) };
	for (int i = 0; i < 50; i++) {
		double p99 = i % 3 == 0 ? 25 : 15;
		EXPECT_EQ(after(p99).action, EVICT_NOTHING);
	}
}

TEST_F(Evict, TheSameReportTwiceCountsOnce)
{
	tasks = { task(noisy) };
	evict_measured(&o, &s, 25, 5000);
	double pressure = s.pressure;
	evict_measured(&o, &s, 25, 5000);
	evict_measured(&o, &s, 25, 4000);
	EXPECT_EQ(s.pressure, pressure);
}

TEST_F(Evict, ReleasesStepByStepOnlyAfterLongEnoughOnTarget)
{
	tasks = { task(noisy) };
	tasks[0].percent = 20;
	tasks[0].cpu_millis = 1600;
	EXPECT_EQ(after(10).action, EVICT_NOTHING);
	EXPECT_EQ(after(10).action, EVICT_NOTHING);
	evict_result r = after(10);
	EXPECT_EQ(r.action, EVICT_RELEASE);
	EXPECT_EQ(r.percent, 50);
	EXPECT_EQ(after(10).action, EVICT_NOTHING);
	tasks[0].percent = 50;
	r = after_many(10, 6);
	EXPECT_EQ(r.action, EVICT_RELEASE);
	EXPECT_EQ(r.percent, 100);
}

TEST_F(Evict, NothingIsReleasedBeyondTheRoomThatIsLeft)
{
	tasks = { task(noisy) };
	tasks[0].percent = 50;
	s.used_cpu_millis = 32000 - 7999;
	EXPECT_EQ(after_many(10, 10).action, EVICT_NOTHING);
	s.used_cpu_millis = 32000 - 8000;
	EXPECT_EQ(after_many(10, 10).action, EVICT_RELEASE);
}

TEST_F(Evict, AnUnknownCapacityHoldsBackNoRelease)
{
	tasks = { task(noisy) };
	tasks[0].percent = 50;
	s.capacity_cpu_millis = s.used_cpu_millis = 0;
	EXPECT_EQ(after_many(10, 10).action, EVICT_RELEASE);
}

/*
 * Guards against a task being evicted again and again, the worst case for its
 * users.  At its limit it stays, whatever the latency of the service; it can
 * still be throttled.
 */
TEST_F(Evict, ATaskAtItsLimitIsThrottledButNeverEvictedAgain)
{
	tasks = { task(noisy) };
	tasks[0].evictions = 3;
	EXPECT_EQ(after_many(200, 8).action, EVICT_THROTTLE);
	tasks[0].percent = 20;
	for (int i = 0; i < 20; i++) {
		evict_result r = after(200);
		EXPECT_EQ(r.action, EVICT_NOTHING);
	}
	EXPECT_EQ(decide().reason, EVICT_PROTECTED);
	tasks[0].max_evictions = 4;
	o.tail_weight = 100;
	EXPECT_EQ(after_many(200, 8).action, EVICT_CHECKPOINT);
}

TEST_F(Evict, AmongEqualCausesTheOneThatLosesLeastGoes)
{
	tasks = { task(noisy, 500000), task(noisy, 1000), task(noisy, 300000) };
	for (auto &e : tasks) {
		e.percent = 20;
		e.no_checkpoint = 1;
	}
	evict_result r = after_many(80, 8);
	EXPECT_EQ(r.action, EVICT_STOP);
	EXPECT_EQ(r.index, 1);
	tasks[1].evictions = 2;
	tasks[1].unsaved_ms = 299000;
	r = after_many(80, 8);
	EXPECT_EQ(r.index, 2);
}

TEST_F(Evict, WeightsDecideBetweenTailAndEvictions)
{
	tasks = { task(noisy) };
	tasks[0].percent = 20;
	EXPECT_EQ(after_many(30, 8).action, EVICT_CHECKPOINT);
	o.tail_weight = 1;
	o.eviction_weight = 10;
	EXPECT_EQ(after_many(30, 8).action, EVICT_NOTHING);
	EXPECT_EQ(decide().reason, EVICT_COST_TOO_HIGH);
}

TEST_F(Evict, AVmThatFewCallsReachIsDefendedLess)
{
	tasks = { task(noisy) };
	s.calls_share = 0.1;
	EXPECT_EQ(after_many(30, 8).action, EVICT_NOTHING);
	s.calls_share = 1;
	EXPECT_EQ(after_many(30, 8).action, EVICT_THROTTLE);
}

TEST_F(Evict, ASlowVmWithoutACauseIsNotMadeWorse)
{
	tasks = { task(quiet) };
	tasks[0].cpu_millis = 100;
	EXPECT_EQ(after_many(60, 8).reason, EVICT_NO_LIKELY_CAUSE);
	tasks.clear();
	EXPECT_EQ(after_many(60, 8).reason, EVICT_NO_TASKS);
	s.target_p99_ms = 0;
	EXPECT_EQ(after_many(60, 8).reason, EVICT_ON_TARGET);
}

/*
 * Jobs use more than they declared: the VM's CPUs are overcommitted, and a task
 * is throttled at once.
 */
TEST_F(Evict, AVmOverItsProcessorsThrottlesTheTaskThatTakesMost)
{
	tasks = { task(quiet), task(quiet), task(noisy) };
	tasks[1].cpu_millis = 16000;
	s.used_cpu_millis = 36000;
	evict_result r = decide();
	EXPECT_EQ(r.action, EVICT_THROTTLE);
	EXPECT_EQ(r.reason, EVICT_CPU_OVERCOMMIT);
	EXPECT_EQ(r.index, 1);
	EXPECT_EQ(r.percent, 75);
	tasks[1].percent = 10;
	EXPECT_NE(decide().index, 1);
}

TEST(EvictText, NamesEveryActionAndReason)
{
	for (int a = EVICT_NOTHING; a <= EVICT_STOP; a++)
		EXPECT_STRNE(evict_action_text((evict_action)a), "?");
	for (int r = EVICT_ON_TARGET; r <= EVICT_TARGET_HELD; r++)
		EXPECT_STRNE(evict_reason_text((evict_reason)r), "?");
}

} // namespace

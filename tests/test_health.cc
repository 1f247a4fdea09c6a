#include <gtest/gtest.h>

extern "C" {
#include "health.h"
}

namespace {

const resources largest = { 32000, 125000, 2 };

class Health : public ::testing::Test {
      public:
	void
	SetUp() override
	{
		health_options_default(&o);
	}

	void
	fail(health_worker *w, uint64_t worker, health_job *j, uint64_t job,
	    int64_t at)
	{
		health_failure(&o, w, worker, j, job, at, 0);
	}

	struct health_options o;
};

/*
 * A worker fails every task at once.  It always has room, so without backoff
 * the whole queue would be sent to it and fail.
 */
TEST_F(Health, AWorkerThatFailsEverythingIsBackedOffThenProbed)
{
	health_worker w = {};
	health_job jobs[8] = {};
	int64_t t = 1000;
	for (uint64_t i = 0; i < 3; i++) {
		EXPECT_EQ(health_state(&w, t), HEALTH_OK);
		fail(&w, 1, &jobs[i], i, t);
	}
	EXPECT_EQ(health_state(&w, t), HEALTH_BACKED_OFF);
	for (int64_t wait = o.backoff_min_ms, i = 3; i < 6; wait *= 2, i++) {
		EXPECT_EQ(health_state(&w, t + wait - 1), HEALTH_BACKED_OFF);
		t += wait;
		EXPECT_EQ(health_state(&w, t), HEALTH_PROBE_DUE);
		health_probe_sent(&w);
		EXPECT_EQ(health_state(&w, t), HEALTH_PROBING);
		fail(&w, 1, &jobs[i], (uint64_t)i, t);
	}
	t += o.backoff_max_ms;
	health_probe_sent(&w);
	health_probe_dropped(&w);
	EXPECT_EQ(health_state(&w, t), HEALTH_PROBE_DUE);
	health_success(&w, &jobs[0]);
	EXPECT_EQ(health_state(&w, t), HEALTH_OK);
}

TEST_F(Health, TheWaitIsBoundedAndSpread)
{
	health_worker w = {};
	health_job j = {};
	j.successes = 1;
	for (int i = 0; i < 40; i++)
		health_failure(&o, &w, 1, &j, 1, 0, UINT32_MAX);
	EXPECT_EQ(w.backoff_ms, o.backoff_max_ms);
	EXPECT_GT(w.retry_ms, o.backoff_max_ms);
	EXPECT_LE(w.retry_ms, o.backoff_max_ms * 5 / 4);
}

/*
 * A job fails on every worker.  If each of its failures counted against the
 * worker, good workers would be backed off one after the other, and the job
 * would never be given up.
 */
TEST_F(Health, AJobThatFailsEverywhereIsReportedAndBacksOffNoWorker)
{
	health_worker w[10] = {};
	health_job j = {};
	const resources size = { 1000, 1000, 0 };
	for (uint64_t i = 0; i < 40; i++) {
		bool gone = i >= 4;
		EXPECT_EQ(health_evaluate(&o, &j, &size, &largest),
		    gone ? HEALTH_FAILS_EVERYWHERE : HEALTH_MAY_RUN);
		fail(&w[i % 10], i % 10 + 1, &j, 7, (int64_t)i);
	}
	for (auto &x : w)
		EXPECT_EQ(health_state(&x, 100), HEALTH_OK);
}

TEST_F(Health, AJobThatOnceSucceededIsNotGivenUp)
{
	health_worker w[8] = {};
	health_job j = {};
	const resources size = { 1000, 1000, 0 };
	health_success(&w[0], &j);
	for (uint64_t i = 0; i < 8; i++)
		fail(&w[i], i + 1, &j, 7, 0);
	EXPECT_EQ(health_evaluate(&o, &j, &size, &largest), HEALTH_MAY_RUN);
}

TEST_F(Health, OneWorkerFailingAJobManyTimesCountsOnceForTheJob)
{
	health_worker w = {};
	health_job j = {};
	const resources size = { 1000, 1000, 0 };
	for (int i = 0; i < 20; i++)
		fail(&w, 1, &j, 7, 0);
	EXPECT_EQ(j.failed_on, 1);
	EXPECT_EQ(health_evaluate(&o, &j, &size, &largest), HEALTH_MAY_RUN);
}

TEST_F(Health, AWorkerThatFailsEverythingSaysNothingAboutAJob)
{
	health_worker bad = {};
	health_job jobs[4] = {};
	for (uint64_t i = 0; i < 4; i++)
		fail(&bad, 1, &jobs[i], i, 0);
	EXPECT_EQ(jobs[3].failed_on, 0);
}

TEST_F(Health, AJobLargerThanAnyVmInOneDimensionIsReported)
{
	const struct {
		resources size;
		health_verdict want;
	} rows[] = {
		{ largest, HEALTH_MAY_RUN },
		{ { 32001, 1, 0 }, HEALTH_TOO_LARGE },
		{ { 1, 125001, 0 }, HEALTH_TOO_LARGE },
		{ { 1, 1, 3 }, HEALTH_TOO_LARGE },
	};
	health_job j = {};
	for (auto &row : rows)
		EXPECT_EQ(
		    health_evaluate(&o, &j, &row.size, &largest), row.want);
}

TEST_F(Health, AProbeOfAFailingJobIsInconclusiveAndTheNextWaits)
{
	health_worker w = {}, good[2] = {};
	health_job jobs[3] = {}, suspect = {};
	for (uint64_t i = 0; i < 3; i++)
		fail(&w, 1, &jobs[i], i, 0);
	fail(&good[0], 2, &suspect, 9, 0);
	fail(&good[1], 3, &suspect, 9, 0);
	int64_t t = w.retry_ms;
	health_probe_sent(&w);
	fail(&w, 1, &suspect, 9, t);
	EXPECT_EQ(health_state(&w, t), HEALTH_BACKED_OFF);
	EXPECT_EQ(w.backoff_ms, o.backoff_min_ms);
}

} // namespace

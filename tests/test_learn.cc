#include <gtest/gtest.h>

#include <cmath>
#include <string>

extern "C" {
#include "learn.h"
}

namespace {

const int64_t minute = 60000;

class Learn : public ::testing::Test {
      public:
	void
	SetUp() override
	{
		l = learn_open(nullptr);
		w = learn_worker_open(l);
		service = learn_kind(l, "custodio");
		learn_mark_service(l, service);
		quiet = learn_kind(l, "v/quiet");
		noisy = learn_kind(l, "v/noisy");
		learn_tenant_start(w, 1, service, 6000, 1);
	}

	void
	TearDown() override
	{
		learn_worker_close(w);
		learn_close(l);
	}

	double
	pair(int cause, int64_t now, double *sd = nullptr)
	{
		return learn_pair(l, service, cause, now, sd);
	}

	struct learn *l;
	struct learn_worker *w;
	int service, quiet, noisy;
};

TEST_F(Learn, KindsAreNumberedByNameAndTheLastOnesShareOne)
{
	EXPECT_EQ(learn_kind(l, "v/noisy"), noisy);
	EXPECT_STREQ(learn_kind_name(l, noisy), "v/noisy");
	for (int i = 0; i < 2 * LEARN_KINDS_MAX; i++)
		learn_kind(l, ("k" + std::to_string(i)).c_str());
	EXPECT_EQ(learn_kind(l, "one too many"), LEARN_KIND_OTHER);
	EXPECT_EQ(learn_kind(l, "v/quiet"), quiet);
}

TEST_F(Learn, JobsThatDifferByANumberAreOneKind)
{
	const char *rows[][2] = { { "survey-1041", "v/survey" },
		{ "survey-1042", "v/survey" }, { "survey", "v/survey" },
		{ "rebuild_7.2", "v/rebuild" }, { "42", "v/4" } };
	char buf[LEARN_KIND_NAME_MAX];
	for (auto &row : rows) {
		learn_job_kind_name("v", row[0], buf, sizeof(buf));
		EXPECT_STREQ(buf, row[1]);
	}
	learn_job_kind_name("v", "survey-1", buf, 6);
	EXPECT_STREQ(buf, "v/sur");
}

/*
 * The measurement of a time window arrives after its noisy task has left and a
 * quiet one has started.  If the tasks present on arrival were blamed, the
 * quiet one would be evicted, and the noisy one placed beside a service again.
 */
TEST_F(Learn, BlamesThoseWhoSharedTheWindowNotThoseWhoAreThereNow)
{
	double before = pair(quiet, 1);
	int64_t t = minute;
	for (int i = 0; i < 40; i++, t += minute) {
		learn_service_p99(w, service, 10, t, 10000);
		learn_tenant_start(w, 100, noisy, 8000, t);
		learn_tenant_end(w, 100, t + 20000);
		learn_tenant_start(w, 200, quiet, 8000, t + 20000);
		/* Covers t+10000 to t+20000 and arrives at t+30000. */
		learn_service_p99(w, service, 20, t + 20000, 10000);
		learn_tenant_end(w, 200, t + 35000);
	}
	EXPECT_NEAR(pair(noisy, t), log(2) / 8, 0.02);
	EXPECT_LE(pair(quiet, t), before);
}

TEST_F(Learn, TellsTwoNeighboursApartByTheirComingAndGoing)
{
	double quiet_sd, noisy_sd;
	int64_t t = minute;
	learn_service_p99(w, service, 10, t, 10000);
	for (int i = 1; i < 160; i++) {
		bool q = i & 1, n = i & 2;
		t += minute;
		if (q)
			learn_tenant_start(w, 100, quiet, 8000, t);
		if (n)
			learn_tenant_start(w, 200, noisy, 8000, t);
		learn_service_p99(w, service, n ? 20 : 10, t + 10000, 10000);
		learn_tenant_end(w, 100, t + 10000);
		learn_tenant_end(w, 200, t + 10000);
	}
	EXPECT_LT(pair(quiet, t, &quiet_sd), 0.015);
	EXPECT_NEAR(pair(noisy, t, &noisy_sd), log(2) / 8, 0.025);
	EXPECT_LT(noisy_sd, 0.04);
}

TEST_F(Learn, EvidenceDecaysBackToThePrior)
{
	double sd_first, sd, sd_late, first, late;
	int64_t t = minute;
	first = pair(noisy, t, &sd_first);
	learn_service_p99(w, service, 10, t, 10000);
	learn_tenant_start(w, 200, noisy, 8000, t);
	for (int i = 0; i < 40; i++, t += 10000)
		learn_service_p99(w, service, 25, t + 10000, 10000);
	EXPECT_GT(pair(noisy, t, &sd), 3 * first);
	EXPECT_LT(sd, sd_first / 2);
	late = pair(noisy, t + 20 * 30 * minute, &sd_late);
	EXPECT_NEAR(late, first, 0.001);
	EXPECT_NEAR(sd_late, sd_first, 0.001);
}

TEST_F(Learn, OneOutlierHasLittleEffect)
{
	int64_t t = minute;
	learn_service_p99(w, service, 10, t, 10000);
	learn_tenant_start(w, 200, quiet, 2000, t);
	learn_service_p99(w, service, 1e6, t + 10000, 10000);
	EXPECT_LT(pair(quiet, t), 0.2);
}

TEST_F(Learn, PastTenantsStayBoundedAndThePresentOnesAreKept)
{
	for (uint64_t i = 0; i < 1000; i++) {
		learn_tenant_start(w, 10 + i, quiet, 1000, (int64_t)i * 10);
		learn_tenant_end(w, 10 + i, (int64_t)i * 10 + 5);
	}
	EXPECT_EQ(learn_tenant_count(w), 1u);
	EXPECT_EQ(learn_cpu_millis(w), 6000);
	learn_tenant_start(w, 5000, noisy, 3000, 20000);
	learn_tenant_used(w, 5000, 4000);
	EXPECT_EQ(learn_tenant_cpu(w, 5000), 4000);
	EXPECT_EQ(learn_cpu_millis(w), 10000);
}

TEST_F(Learn, ImpactGrowsWithWhatIsLearntAndReportsUnknownPairs)
{
	struct learn_impact a, b;
	int64_t t = minute;
	learn_impact_of(w, noisy, 4000, t, &a);
	EXPECT_EQ(a.unknown, 1);
	learn_service_p99(w, service, 10, t, 10000);
	learn_tenant_start(w, 200, noisy, 8000, t);
	for (int i = 0; i < 40; i++, t += 10000)
		learn_service_p99(w, service, 25, t + 10000, 10000);
	learn_tenant_end(w, 200, t);
	learn_impact_of(w, noisy, 4000, t, &b);
	EXPECT_GT(b.services, 2 * a.services);
	EXPECT_EQ(b.unknown, 0);
}

/*
 * A noisy task starts on a VM whose latency was learnt without it.  Calls sent
 * there before the next measurements would be slow for their callers.
 */
TEST_F(Learn, LatencyIsExpectedHigherAsSoonAsANoisyTaskStarts)
{
	int64_t t = minute;
	for (int i = 0; i < 40; i++, t += 20000) {
		learn_service_p99(w, service, 10, t, 10000);
		learn_tenant_start(w, 200, noisy, 8000, t);
		learn_service_p99(w, service, 25, t + 10000, 10000);
		learn_tenant_end(w, 200, t + 10000);
	}
	t += minute;
	for (int i = 0; i < 20; i++)
		learn_call_latency(w, service, 5, t);
	EXPECT_NEAR(learn_latency_ms(w, service, 1, t), 5, 0.1);
	learn_tenant_start(w, 201, noisy, 8000, t);
	EXPECT_GT(learn_latency_ms(w, service, 1, t), 10);
}

TEST_F(Learn, AnOldLatencyDecaysToThatOfTheService)
{
	struct learn_worker *other = learn_worker_open(l);
	int64_t t = minute;
	for (int i = 0; i < 20; i++)
		learn_call_latency(w, service, 50, t);
	EXPECT_GT(learn_latency_ms(w, service, 1, t), 45);
	t += 10 * minute;
	for (int i = 0; i < 40; i++)
		learn_call_latency(other, service, 5, t);
	EXPECT_LT(learn_latency_ms(w, service, 1, t), 6);
	learn_worker_close(other);
}

struct use_row {
	const char *name;
	int measured; /* of the job itself */
	int of_kind; /* of other jobs of its kind */
	double cpu, memory; /* used / declared */
	int reclaim;
	int64_t want_cpu, want_memory;
};

TEST(LearnSizes, ReservesWhatIsDeclaredOrLearnt)
{
	const use_row rows[] = {
		{ "nothing known", 0, 0, 1, 1, 1, 4000, 8000 },
		{ "once is not enough", 1, 0, 3, 3, 1, 4000, 8000 },
		{ "as declared within the spread", 5, 0, 1.02, 0.93, 1, 4000,
		    8000 },
		{ "uses more", 5, 0, 2, 3, 0, 8000, 24000 },
		{ "never over 4 times", 5, 0, 9, 9, 0, 16000, 32000 },
		{ "never over a VM", 5, 0, 1, 30, 0, 4000, 32000 },
		{ "uses less, kept", 5, 0, 0.5, 0.5, 0, 4000, 8000 },
		{ "uses less, reclaimed", 5, 0, 0.5, 0.5, 1, 2000, 8000 },
		{ "not below a quarter", 5, 0, 0.1, 0.1, 1, 1000, 8000 },
		{ "kind uses more", 0, 9, 2, 2, 1, 8000, 16000 },
		{ "kind uses less", 0, 9, 0.5, 0.5, 1, 4000, 8000 },
	};
	const resources declared = { 4000, 8000, 1 };
	const resources largest = { 26000, 100000, 4 };
	for (auto &row : rows) {
		struct learn *l = learn_open(nullptr);
		struct learn_job job = {}, other = {};
		resources used = { (int64_t)(4000 * row.cpu),
			(int64_t)(8000 * row.memory), 1 };
		resources got;
		for (int i = 0; i < row.measured; i++)
			learn_usage(l, &job, 1, &declared, &used);
		for (int i = 0; i < row.of_kind; i++)
			learn_usage(l, &other, 1, &declared, &used);
		learn_reserve(
		    l, &job, 1, &declared, &largest, row.reclaim, &got);
		EXPECT_EQ(got.cpu_millis, row.want_cpu) << row.name;
		EXPECT_EQ(got.memory_mib, row.want_memory) << row.name;
		EXPECT_EQ(got.accelerators, 1) << row.name;
		learn_close(l);
	}
}

TEST(LearnSizes, KeepsRoomForASpread)
{
	struct learn *l = learn_open(nullptr);
	struct learn_job job = {};
	const resources declared = { 4000, 8000, 0 };
	resources got;
	for (int i = 0; i < 20; i++) {
		resources used = { i & 1 ? 1000 : 3000, 8000, 0 };
		learn_usage(l, &job, 1, &declared, &used);
	}
	learn_reserve(l, &job, 1, &declared, nullptr, 1, &got);
	EXPECT_GE(got.cpu_millis, 3000);
	learn_close(l);
}

/*
 * The service slows down when an unknown kind joins one that is known to be
 * harmless.  Blaming both equally would evict the known one too.
 */
TEST_F(Learn, ANewcomerIsBlamedBeforeAKnownNeighbour)
{
	int64_t t = minute;
	for (int i = 0; i < 40; i++, t += 20000) {
		learn_service_p99(w, service, 10, t, 10000);
		learn_tenant_start(w, 100, quiet, 8000, t);
		learn_service_p99(w, service, 10, t + 10000, 10000);
		learn_tenant_end(w, 100, t + 10000);
	}
	learn_tenant_start(w, 100, quiet, 8000, t);
	learn_tenant_start(w, 200, noisy, 8000, t);
	for (int i = 0; i < 6; i++, t += 10000)
		learn_service_p99(w, service, 20, t + 10000, 10000);
	EXPECT_GT(pair(noisy, t), 4 * pair(quiet, t));
}

/*
 * One job declares its run time correctly, another of the same kind a quarter
 * of it, and its tasks happen to run beside a noisy kind.  If their longer run
 * time were attributed to that neighbour, it would be avoided without reason.
 */
TEST_F(Learn, AWrongRunTimeIsNotBlamedOnNeighbours)
{
	struct learn_job good = {}, wrong = {};
	int task = learn_kind(l, "v/task");
	int64_t t = minute;
	double before = learn_pair(l, task, noisy, t, nullptr);
	for (uint64_t i = 0; i < 30; i++, t += 2 * minute) {
		learn_task_time(w, &good, 7, task, minute, minute, t);
		learn_tenant_start(w, 500, noisy, 4000, t);
		learn_tenant_end(w, 500, t + minute);
		learn_task_time(
		    w, &wrong, 7, task, minute, minute / 4, t + minute);
	}
	EXPECT_LT(learn_pair(l, task, noisy, t, nullptr), 2 * before);
}

} // namespace

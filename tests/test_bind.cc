#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "bind.h"
}

namespace {

const int64_t now = 1000000;

class Bind : public ::testing::Test {
      public:
	void
	SetUp() override
	{
		bind_options_default(&o);
		l = learn_open(nullptr);
		service = learn_kind(l, "custodio");
		learn_mark_service(l, service);
		kind = learn_kind(l, "v/rebuild");
		task.reserve = { 4000, 8000, 0 };
		task.kind = kind;
	}

	void
	TearDown() override
	{
		clear();
		learn_close(l);
	}

	void
	clear()
	{
		for (auto &w : workers)
			learn_worker_close(w.learnt);
		workers.clear();
	}

	void
	add(int n)
	{
		for (int i = 0; i < n; i++) {
			bind_worker w = {};
			w.capacity = { 32000, 125000, 2 };
			w.reserved = { 6000, 16000, 0 };
			w.id = workers.size() + 1;
			w.rack = (int)workers.size() % 3;
			w.data_center = w.rack;
			w.learnt = learn_worker_open(l);
			learn_tenant_start(w.learnt, 1, service, 6000, 1);
			workers.push_back(w);
		}
	}

	bind_result
	bind(uint64_t random = 1, bind_fits_cb fits = nullptr,
	    bind_domain_count_cb domain = nullptr)
	{
		std::vector<bind_worker *> all;
		for (auto &w : workers)
			all.push_back(&w);
		return bind_pick(&o, &task, all.data(), all.size(), fits,
		    domain, this, random * 0x9e3779b97f4a7c15u, now);
	}

	/* Train the model: the kind slows the service. */
	void
	train(learn_worker *w)
	{
		int64_t t = now - 900000;
		learn_service_p99(w, service, 10, t, 10000);
		learn_tenant_start(w, 9, kind, 8000, t);
		for (int i = 0; i < 40; i++, t += 10000)
			learn_service_p99(w, service, 25, t + 10000, 10000);
		learn_tenant_end(w, 9, t);
	}

	struct bind_options o;
	struct learn *l;
	int service, kind;
	struct bind_task task = {};
	std::vector<bind_worker> workers;
};

/* Fill one dimension of the only worker exactly, and by one unit more. */
TEST_F(Bind, FitsInEveryDimensionOrNotAtAll)
{
	const struct {
		resources left, need;
		bind_reason want;
	} rows[] = {
		{ { 4000, 8000, 1 }, { 4000, 8000, 1 }, BIND_ONLY_FIT },
		{ { 3999, 8000, 1 }, { 4000, 8000, 1 }, BIND_NO_FIT },
		{ { 4000, 7999, 1 }, { 4000, 8000, 1 }, BIND_NO_FIT },
		{ { 4000, 8000, 0 }, { 4000, 8000, 1 }, BIND_NO_FIT },
		{ { 9000, 9000, 2 }, { 32001, 1, 0 }, BIND_TOO_LARGE },
		{ { 9000, 9000, 2 }, { 1, 125001, 0 }, BIND_TOO_LARGE },
		{ { 9000, 9000, 2 }, { 1, 1, 3 }, BIND_TOO_LARGE },
	};
	EXPECT_EQ(bind().reason, BIND_NONE);
	add(1);
	o.headroom = 0;
	for (auto &row : rows) {
		workers[0].reserved = { 32000 - row.left.cpu_millis,
			125000 - row.left.memory_mib,
			2 - row.left.accelerators };
		task.reserve = row.need;
		EXPECT_EQ(bind().reason, row.want);
		EXPECT_EQ(bind().index, row.want == BIND_ONLY_FIT ? 0 : -1);
	}
}

TEST_F(Bind, HeadroomIsForUrgentAndResumedTasks)
{
	add(1);
	workers[0].tasks = 1;
	workers[0].reserved.cpu_millis = 28000;
	EXPECT_EQ(bind().reason, BIND_NO_FIT);
	task.urgent = 1;
	EXPECT_EQ(bind().index, 0);
	task.urgent = 0;
	task.resumed = 1;
	EXPECT_EQ(bind().index, 0);
}

TEST_F(Bind, TheCallersCheckOfRoomIsFinal)
{
	add(6);
	bind_fits_cb third = [](void *, size_t i, const resources *) {
		return (int)(i == 3);
	};
	for (uint64_t r = 0; r < 20; r++)
		EXPECT_EQ(bind(r, third).index, 3);
}

/* Each row makes every worker except 0 worse in one respect. */
TEST_F(Bind, TakesTheBestAndSaysWhy)
{
	const struct {
		const char *name;
		void (*worsen)(Bind *, bind_worker *);
		bind_reason reason;
	} rows[] = {
		{ "service under pressure",
		    [](Bind *, bind_worker *w) { w->pressure = 0.9; },
		    BIND_LEAST_INTERFERENCE },
		{ "it failed there",
		    [](Bind *b, bind_worker *w) { b->task.avoid = w->id; },
		    BIND_LEAST_INTERFERENCE },
		{ "fuller",
		    [](Bind *, bind_worker *w) {
			    w->reserved.cpu_millis += 12000;
			    w->reserved.memory_mib += 46875;
		    },
		    BIND_MOST_ROOM },
	};
	for (auto &row : rows) {
		clear();
		task.avoid = 0;
		add(2);
		row.worsen(this, &workers[1]);
		for (uint64_t r = 0; r < 8; r++) {
			EXPECT_EQ(bind(r).index, 0) << row.name;
			EXPECT_EQ(bind(r).reason, row.reason) << row.name;
		}
	}
}

TEST_F(Bind, AKindKnownToDisturbGoesWhereNoServiceIs)
{
	add(3);
	train(workers[0].learnt);
	learn_tenant_end(workers[2].learnt, 1, now - 1);
	for (uint64_t r = 0; r < 8; r++) {
		EXPECT_EQ(bind(r).index, 2);
		EXPECT_EQ(bind(r).reason, BIND_LEAST_INTERFERENCE);
	}
}

TEST_F(Bind, UnknownPairsAreExploredWithoutPressure)
{
	int other = learn_kind(l, "v/other");
	add(2);
	o.explore = 1;
	/*
	 * The effect of the kind is known on the service, but not on the other
	 * kind.
	 */
	train(workers[0].learnt);
	learn_tenant_start(workers[1].learnt, 5, other, 100, now - 1);
	EXPECT_EQ(bind().reason, BIND_EXPLORE);
	EXPECT_EQ(bind().index, 1);
	task.urgent = 1;
	EXPECT_NE(bind().reason, BIND_EXPLORE);
}

TEST_F(Bind, SpreadsAJobOverItsFailureDomains)
{
	add(9);
	bind_domain_count_cb held = [](void *, int domain) {
		return domain == 1 ? 0 : 4;
	};
	for (auto spread : { BIND_SPREAD_RACK, BIND_SPREAD_DATA_CENTER }) {
		task.spread = spread;
		for (uint64_t r = 0; r < 8; r++) {
			bind_result b = bind(r, nullptr, held);
			EXPECT_EQ(b.index % 3, 1);
		}
	}
	task.spread = BIND_SPREAD_NONE;
	int elsewhere = 0;
	for (uint64_t r = 0; r < 40; r++)
		elsewhere += bind(r, nullptr, held).index % 3 != 1;
	EXPECT_GT(elsewhere, 0);
}

/*
 * A worker that fails every task is always empty.  While it is backed off it
 * must get no task, then one ordinary task as a probe, and never an urgent or a
 * resumed task.
 */
TEST_F(Bind, AFailingWorkerGetsOneOrdinaryTaskAsAProbe)
{
	add(2);
	workers[1].reserved.cpu_millis = 24000;
	workers[0].health.retry_ms = now + 1;
	EXPECT_EQ(bind().index, 1);
	workers[0].health.retry_ms = now;
	EXPECT_EQ(bind().index, 0);
	EXPECT_EQ(bind().reason, BIND_PROBE);
	task.urgent = 1;
	EXPECT_EQ(bind().index, 1);
	task.urgent = 0;
	task.resumed = 1;
	EXPECT_EQ(bind().index, 1);
	task.resumed = 0;
	health_probe_sent(&workers[0].health);
	EXPECT_EQ(bind().index, 1);
	workers[1].draining = 1;
	EXPECT_EQ(bind().reason, BIND_ALL_FAILING);
}

/*
 * A new job declares a quarter of what it uses.  If all its tasks started with
 * that reservation, their VMs would carry four times too much until the first
 * delayed measurement.
 */
TEST_F(Bind, ANewJobStartsWithAFewTasksUntilItIsMeasured)
{
	const struct {
		int running, measured, urgent, resumed;
		bool waits;
	} rows[] = {
		{ 0, 0, 0, 0, false },
		{ 1, 0, 0, 0, false },
		{ 2, 0, 0, 0, true },
		{ 9, 1, 0, 0, true },
		{ 9, 2, 0, 0, false },
		{ 9, 0, 1, 0, false },
		{ 9, 0, 0, 1, false },
	};
	add(1);
	for (auto &row : rows) {
		task.job_running = row.running;
		task.job_measured = row.measured;
		task.urgent = row.urgent;
		task.resumed = row.resumed;
		EXPECT_EQ(bind().reason == BIND_JOB_NOT_MEASURED, row.waits);
		EXPECT_EQ(bind().index < 0, row.waits);
	}
}

TEST_F(Bind, LooksAtNoMoreThanABoundInALargeFullFleet)
{
	int asked = 0;
	add(590);
	o.examine_max = 64;
	bind_fits_cb never = [](void *ctx, size_t, const resources *) {
		(*static_cast<int *>(ctx))++;
		return 0;
	};
	std::vector<bind_worker *> all;
	for (auto &w : workers)
		all.push_back(&w);
	bind_result r = bind_pick(&o, &task, all.data(), all.size(), never,
	    nullptr, &asked, 12345, now);
	EXPECT_EQ(r.reason, BIND_NO_FIT);
	EXPECT_EQ(asked, 64);
}

TEST_F(Bind, WorkIsBoundAheadWhereTheQueueIsShortest)
{
	add(4);
	task.run_ms = 10000;
	std::vector<bind_worker *> all;
	for (auto &w : workers)
		all.push_back(&w);
	workers[0].work_ms = 100000;
	workers[1].draining = 1;
	workers[2].health.retry_ms = now + 1;
	for (int i = 0; i < 3; i++) {
		bind_result r = bind_ahead(
		    &o, &task, all.data(), all.size(), (uint64_t)i, now);
		EXPECT_EQ(r.index, 3);
		EXPECT_EQ(r.reason, BIND_AHEAD);
	}
	EXPECT_EQ(workers[3].work_ms, 3 * 40000);
	EXPECT_EQ(bind_ahead(&o, &task, all.data(), 4, 1, now).index, 0);
	/* 200 s of one processor are 6.25 s of 32 processors. */
	workers[0].work_ms = workers[3].work_ms = 200000;
	o.ahead_ms = 6251;
	EXPECT_EQ(bind_ahead(&o, &task, all.data(), 4, 1, now).index % 3, 0);
	o.ahead_ms = 6250;
	workers[0].work_ms = workers[3].work_ms = 200000;
	EXPECT_EQ(
	    bind_ahead(&o, &task, all.data(), 4, 1, now).reason, BIND_NO_FIT);
	o.ahead_ms = 0;
	task.reserve.cpu_millis = 32001;
	EXPECT_EQ(
	    bind_ahead(&o, &task, all.data(), 4, 1, now).reason, BIND_NO_FIT);
}

/*
 * Compares every pair of resumed, urgent and accepted_ms against the documented
 * order.
 */
TEST(BindOrder, EvictedFirstThenUrgentThenOldest)
{
	std::vector<struct bind_task> sorted;
	for (int resumed = 1; resumed >= 0; resumed--)
		for (int urgent = 1; urgent >= 0; urgent--)
			for (int at = 1; at <= 3; at++) {
				struct bind_task t = {};
				t.resumed = resumed;
				t.urgent = urgent;
				t.accepted_ms = at;
				sorted.push_back(t);
			}
	for (size_t i = 0; i < sorted.size(); i++)
		for (size_t j = 0; j < sorted.size(); j++) {
			int c = bind_order(&sorted[i], &sorted[j]);
			EXPECT_EQ(c < 0, i < j);
			EXPECT_EQ(c == 0, i == j);
		}
}

} // namespace

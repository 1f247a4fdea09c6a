#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "choose.h"
#include "sample.h"
}

namespace {

const int64_t now = 1000000;

/* Identical endpoints with credits, and a service known to core/learn. */
class Choose : public ::testing::Test {
      public:
	void
	SetUp() override
	{
		choose_options_default(&o);
		l = learn_open(nullptr);
		kind = learn_kind(l, "custodio");
		learn_mark_service(l, kind);
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
		for (auto &e : endpoints)
			learn_worker_close(e.learnt);
		endpoints.clear();
	}

	void
	add(int n)
	{
		choose_endpoint e = {};
		e.credits = e.slots = 8;
		for (int i = 0; i < n; i++) {
			e.learnt = learn_worker_open(l);
			endpoints.push_back(e);
		}
	}

	choose_result
	pick(uint64_t random = 1, int exclude = -1, int64_t at = now)
	{
		std::vector<choose_endpoint *> all;
		for (auto &e : endpoints)
			all.push_back(&e);
		return choose(
		    &o, all.data(), all.size(), kind, 0, exclude, random, at);
	}

	/* Counts how often each endpoint is chosen. */
	std::vector<int>
	tally(int draws, int64_t at = now)
	{
		std::vector<int> n(endpoints.size());
		for (int i = 0; i < draws; i++) {
			uint64_t r = 0x9e3779b97f4a7c15u * (uint64_t)(i + 1);
			n[(size_t)pick(r, -1, at).index]++;
		}
		return n;
	}

	struct choose_options o;
	struct learn *l;
	int kind;
	std::vector<choose_endpoint> endpoints;
};

TEST(Sample, GivesEachIndexOnceForEverySizeAndDraw)
{
	for (size_t n = 0; n < 40; n++) {
		for (uint64_t r = 0; r < 50; r++) {
			struct sample s;
			std::vector<int> seen(n + 1);
			size_t i;
			sample_start(&s, n, r * 0x9e3779b97f4a7c15u);
			while ((i = sample_next(&s)) < n)
				seen[i]++;
			for (i = 0; i < n; i++)
				ASSERT_EQ(seen[i], 1) << n << " " << r;
		}
	}
}

/* Each row makes endpoint 1 worse than endpoint 0 in one respect. */
TEST_F(Choose, PrefersTheBetterOfTwoAndSaysWhy)
{
	struct {
		const char *name;
		void (*worsen)(Choose *, choose_endpoint *);
		choose_reason reason;
	} rows[] = {
		{ "far",
		    [](Choose *, choose_endpoint *e) { e->data_center = 1; },
		    CHOOSE_NEAREST },
		{ "busy",
		    [](Choose *, choose_endpoint *e) { e->in_flight = 6; },
		    CHOOSE_FEWEST_IN_FLIGHT },
		{ "failing",
		    [](Choose *, choose_endpoint *e) { choose_failed(e, now); },
		    CHOOSE_LOWEST_LATENCY },
		{ "slow",
		    [](Choose *c, choose_endpoint *e) {
			    for (int i = 0; i < 20; i++)
				    choose_latency(
					&c->o, e, c->kind, 0, 40, now);
		    },
		    CHOOSE_LOWEST_LATENCY },
	};
	for (auto &row : rows) {
		clear();
		add(2);
		for (int i = 0; i < 20; i++)
			choose_latency(&o, &endpoints[0], kind, 0, 10, now);
		row.worsen(this, &endpoints[1]);
		for (uint64_t r = 0; r < 8; r++) {
			choose_result c = pick(r);
			EXPECT_EQ(c.index, 0) << row.name;
			EXPECT_EQ(c.reason, row.reason) << row.name;
			EXPECT_LT(c.expected_ms, c.runner_up_ms) << row.name;
		}
	}
}

TEST_F(Choose, GivesNothingWhenNothingMayBeUsed)
{
	EXPECT_EQ(pick().reason, CHOOSE_NONE);
	add(3);
	for (auto &e : endpoints)
		e.credits = 0;
	EXPECT_EQ(pick().reason, CHOOSE_NO_CREDIT);
	endpoints[1].credits = 1;
	EXPECT_EQ(pick().reason, CHOOSE_ONLY_CANDIDATE);
	EXPECT_EQ(pick().index, 1);
	EXPECT_EQ(pick(1, 1).reason, CHOOSE_NO_CREDIT);
	endpoints[1].draining = 1;
	EXPECT_EQ(pick().reason, CHOOSE_ALL_LEAVING);
	EXPECT_EQ(pick().index, -1);
}

/*
 * An endpoint that fails every call at once has none in flight, so it looks
 * idle and would attract calls, which all fail.  After failures it must get no
 * calls for a time, and then be tried again.
 */
TEST_F(Choose, AFailingEndpointIsAvoidedAndTriedAgain)
{
	add(4);
	for (int i = 0; i < 3; i++)
		choose_failed(&endpoints[2], now);
	EXPECT_EQ(tally(200)[2], 0);
	EXPECT_GT(tally(200, now + o.failing_ms)[2], 0);
	choose_failed(&endpoints[2], now + o.failing_ms);
	EXPECT_EQ(tally(200, now + o.failing_ms + 1)[2], 0);
	choose_answered(&endpoints[2]);
	EXPECT_GT(tally(200, now + o.failing_ms + 1)[2], 0);
}

TEST_F(Choose, SpreadsCallsOverEqualEndpointsOfALargeFleet)
{
	add(590);
	std::vector<int> n = tally(5900);
	int most = 0, used = 0;
	for (int x : n) {
		most = x > most ? x : most;
		used += x > 0;
	}
	EXPECT_LT(most, 60);
	EXPECT_GT(used, 500);
}

TEST_F(Choose, ARemoteLatencyIsLearntWithoutTheNetworkDelay)
{
	add(1);
	endpoints[0].data_center = 1;
	for (int i = 0; i < 20; i++)
		choose_latency(&o, &endpoints[0], kind, 0, 13, now);
	EXPECT_NEAR(
	    learn_latency_ms(endpoints[0].learnt, kind, 1, now), 10, 0.01);
	EXPECT_NEAR(pick().expected_ms, 13, 0.01);
}

TEST(ChooseText, NamesEveryReason)
{
	for (int r = CHOOSE_ONLY_CANDIDATE; r <= CHOOSE_NONE; r++)
		EXPECT_STRNE(choose_reason_text((choose_reason)r), "?");
}

} // namespace

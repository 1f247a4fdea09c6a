#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "lagoonload/check.h"
#include "lagoonload/plan.h"
#include "lagoonload/tally.h"
}

namespace {

std::string
answer(const char *id, const char *body, size_t size)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "{\"request\":\"%s\",\"size\":%zu,\"hash\":\"%016llx\"}", id, size,
	    (unsigned long long)check_hash(body, strlen(body)));
	return text;
}

struct AnswerRow {
	const char *what;
	std::string answer;
	check_result expected;
};

/*
 * A caller may get a late response, the response of another request or a
 * truncated one.  The load tool must detect each of them; otherwise a passed
 * run proves nothing.
 */
TEST(Check, OnlyTheAnswerToTheOwnRequestIsRight)
{
	const std::string whole = answer("i-1", "body", 4);
	const AnswerRow rows[] = {
		{ "right", whole, CHECK_RIGHT },
		{ "padded", whole + "   ", CHECK_RIGHT },
		{ "cut", whole.substr(0, whole.size() / 2), CHECK_BROKEN },
		{ "empty", "", CHECK_BROKEN },
		{ "field missing", "{\"request\":\"i-1\"}", CHECK_BROKEN },
		{ "another id", answer("i-2", "body", 4), CHECK_OTHER_REQUEST },
		{ "another body", answer("i-1", "bod!", 4), CHECK_OTHER_BODY },
		{ "another size", answer("i-1", "body", 5), CHECK_OTHER_BODY },
	};
	check_expected expected = { "i-1", 4, check_hash("body", 4) };
	for (const AnswerRow &row : rows)
		EXPECT_EQ(row.expected,
		    check_answer(
			&expected, row.answer.data(), row.answer.size()))
		    << row.what;
}

std::string
line(int number, const char *id, const char *worker, bool last)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "{\"request\":\"%s\",\"line\":%d,\"worker\":\"%s\","
	    "\"hash\":\"%016llx\",\"last\":%s}\n",
	    id, number, worker, (unsigned long long)check_hash("body", 4),
	    last ? "true" : "false");
	return text;
}

struct WatchRow {
	const char *what;
	std::string data;
	check_result expected;
	bool complete;
	uint64_t moves;
	bool reopen;
};

TEST(Check, AWatchIsWholeOnlyWithEveryLine)
{
	const std::string one = line(1, "w-1", "w1", false);
	const std::string two = line(2, "w-1", "w1", false);
	const std::string last = line(3, "w-1", "w1", true);
	const std::string reopen = "{\"lagoonpin-watch\":\"reopen\"}\n";
	const WatchRow rows[] = {
		{ "whole", one + two + last, CHECK_RIGHT, true, 0, false },
		{ "no end", one + two, CHECK_RIGHT, false, 0, false },
		{ "half a line", one + two.substr(0, 9), CHECK_RIGHT, false, 0,
		    false },
		{ "line lost", one + last, CHECK_BROKEN, true, 0, false },
		{ "moved", one + line(1, "w-1", "w2", true), CHECK_RIGHT, true,
		    1, false },
		{ "crossed", one + line(2, "w-2", "w1", false),
		    CHECK_OTHER_REQUEST, false, 0, false },
		{ "reopen", one + reopen, CHECK_RIGHT, false, 0, true },
		{ "more after it", reopen + one, CHECK_BROKEN, false, 0, true },
		{ "rubbish", "{\"a\n", CHECK_BROKEN, false, 0, false },
		{ "endless line", std::string(2000, 'x'), CHECK_BROKEN, false,
		    0, false },
	};
	check_expected expected = { "w-1", 4, check_hash("body", 4) };
	for (const WatchRow &row : rows) {
		check_watch w = {};
		for (char c : row.data)
			check_watch_data(&w, &expected, &c, 1);
		EXPECT_EQ(row.expected, w.result) << row.what;
		EXPECT_EQ(row.complete, w.complete) << row.what;
		EXPECT_EQ(row.moves, w.moves) << row.what;
		EXPECT_EQ(row.reopen, w.reopen) << row.what;
	}
}

plan_options
options()
{
	plan_options o = {};
	o.seed = 7;
	o.rate_per_s = 1000;
	o.poisson = true;
	o.services = "custodio:3,cover-inspect:1";
	o.non_idempotent_percent = 20;
	o.watch_percent = 10;
	o.urgent_percent = 30;
	o.nentries = 3;
	o.body_bytes = 100;
	return o;
}

TEST(Plan, TheSameSeedGivesTheSamePlan)
{
	plan_options o = options();
	struct plan *a = plan_open(&o), *b = plan_open(&o);
	plan_request ra, rb;
	for (int i = 0; i < 1000; i++) {
		plan_next(a, &ra);
		if (i % 3 == 0)
			plan_target(
			    a, false); /* repeats do not change the plan */
		plan_next(b, &rb);
		ASSERT_EQ(ra.at_us, rb.at_us);
		ASSERT_EQ(ra.kind, rb.kind);
		ASSERT_STREQ(ra.service, rb.service);
	}
	plan_close(a);
	plan_close(b);
}

TEST(Plan, RateAndSharesAreAsAsked)
{
	plan_options o = options();
	o.ndirect = 2;
	struct plan *p = plan_open(&o);
	plan_request r;
	int kinds[PLAN_NKINDS] = {}, covers = 0, urgent = 0, direct = 0;
	const int n = 20000;
	for (int i = 0; i < n; i++) {
		plan_next(p, &r);
		kinds[r.kind]++;
		covers += std::string(r.service) == "cover-inspect";
		urgent += r.urgent;
		direct += r.direct;
	}
	EXPECT_NEAR(20e6, (double)r.at_us, 0.6e6);
	EXPECT_NEAR(0.1, (double)kinds[PLAN_WATCH] / n, 0.01);
	EXPECT_NEAR(0.2, (double)kinds[PLAN_NON_IDEMPOTENT] / n, 0.01);
	EXPECT_NEAR(0.25, (double)covers / n, 0.01);
	EXPECT_NEAR(0.3, (double)urgent / n, 0.01);
	EXPECT_EQ(n / 2, direct);
	plan_close(p);
}

TEST(Plan, TheBalancerChoosesAsAsked)
{
	plan_options o = options();
	const int n = 9000;
	const double first_share[] = { 1.0 / 3, 1.0 / 3, 0.5 };
	for (int balance = PLAN_RANDOM; balance <= PLAN_SKEWED; balance++) {
		o.balance = (plan_balance)balance;
		struct plan *p = plan_open(&o);
		int first = 0;
		for (int i = 0; i < n; i++)
			first += plan_target(p, false) == 0;
		EXPECT_NEAR(first_share[balance], (double)first / n, 0.02);
		plan_close(p);
	}
}

TEST(Plan, ServicesThatCannotBeReadAreRefused)
{
	for (const char *bad : { "", ",", "a:0", "a:x", ":1", "a,,b" }) {
		plan_options o = options();
		o.services = bad;
		EXPECT_EQ(nullptr, plan_open(&o)) << bad;
	}
}

TEST(Tally, QuantilesAreWithinTwoPercent)
{
	struct tally *t = tally_open();
	for (int i = 1; i <= 10000; i++)
		tally_latency(t, false, i / 100.0);
	EXPECT_NEAR(50, tally_quantile(t, false, 0.5), 1);
	EXPECT_NEAR(99, tally_quantile(t, false, 0.99), 2);
	EXPECT_DOUBLE_EQ(100, tally_quantile(t, false, 1));
	EXPECT_DOUBLE_EQ(0, tally_quantile(t, true, 0.99));
	tally_close(t);
}

TEST(Tally, EveryFaultFailsTheRun)
{
	for (int fault = 0; fault < TALLY_NFAULTS; fault++) {
		struct tally *t = tally_open();
		EXPECT_EQ(0u, tally_faults(t));
		tally_fault(t, (enum tally_fault)fault, "i-1");
		EXPECT_EQ(1u, tally_faults(t));
		tally_close(t);
	}
}

} // namespace

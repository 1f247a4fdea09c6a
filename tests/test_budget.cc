#include <gtest/gtest.h>

extern "C" {
#include "budget.h"
}

namespace {

int
grants(budget *b, budget_kind kind, int tries, int64_t now_ms)
{
	int n = 0;
	for (int i = 0; i < tries; i++)
		n += budget_take(b, kind, true, now_ms) == BUDGET_GRANTED;
	return n;
}

TEST(Budget, RetriesAreAFractionOfRecentSuccesses)
{
	budget b;
	budget_init(&b, 10, 5, 2);
	EXPECT_EQ(grants(&b, BUDGET_RETRY, 50, 500), 2);
	for (int i = 0; i < 200; i++)
		budget_success(&b, 1000 + i);
	EXPECT_EQ(grants(&b, BUDGET_RETRY, 50, 1500), 20);
	EXPECT_EQ(grants(&b, BUDGET_HEDGE, 50, 1500), 10);
	EXPECT_EQ(b.counts[BUDGET_RETRY][BUDGET_SPENT], 48U + 30U);
}

/*
 * An endpoint fails for a minute.  Earlier successes expire, so that only the
 * reserve is left and retries do not overload the endpoints that still answer.
 */
TEST(Budget, OldSuccessesAreForgotten)
{
	budget b;
	budget_init(&b, 10, 0, 2);
	for (int i = 0; i < 1000; i++)
		budget_success(&b, 1000);
	EXPECT_EQ(grants(&b, BUDGET_RETRY, 1000, 10999), 102);
	EXPECT_EQ(grants(&b, BUDGET_RETRY, 1000, 11000), 0);
	EXPECT_EQ(grants(&b, BUDGET_RETRY, 1000, 21000), 2);
}

TEST(Budget, OnlyIdempotentCallsAndOnlyIfSwitchedOn)
{
	budget b;
	budget_init(&b, 10, 0, 5);
	EXPECT_EQ(
	    budget_take(&b, BUDGET_RETRY, false, 0), BUDGET_NOT_IDEMPOTENT);
	EXPECT_EQ(budget_take(&b, BUDGET_HEDGE, true, 0), BUDGET_OFF);
	EXPECT_STREQ(budget_verdict_name(BUDGET_SPENT), "budget_spent");
}

} // namespace

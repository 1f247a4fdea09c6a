#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "outcome.h"
}

namespace {

TEST(Outcome, ReasonsHaveDistinctNamesAndStatuses)
{
	std::set<std::string> names;
	outcome_facts f = {};
	for (int r = 0; r < OUTCOME_NREASONS; r++) {
		auto reason = static_cast<outcome_reason>(r);
		ASSERT_NE(outcome_reason_name(reason), nullptr) << r;
		EXPECT_TRUE(names.insert(outcome_reason_name(reason)).second);
		outcome_answer a = outcome_derive(&f, reason, 0);
		EXPECT_GE(a.status, 400) << outcome_reason_name(reason);
		EXPECT_GE(a.retry_after_s, a.status == 429 ? 1 : 0);
	}
}

/*
 * All histories of up to three attempts, each with one of the four ends or
 * still open: "not-run" is reported only if no byte can have reached an
 * endpoint that did not refuse, and only then may a non-idempotent call be sent
 * again.
 */
TEST(Outcome, EveryHistoryOfThreeAttempts)
{
	constexpr int OPEN = 4, NEVER = 5, WAYS = 6;
	for (int h = 0; h < WAYS * WAYS * WAYS * 2; h++) {
		outcome_facts f = {};
		bool unknown = false, complete = false;
		int rest = h / 2;
		f.idempotent = h % 2 == 1;
		for (int i = 0; i < 3; i++, rest /= WAYS) {
			int way = rest % WAYS;
			if (way == NEVER)
				continue;
			outcome_sent(&f);
			unknown |=
			    way == OPEN || way == OUTCOME_ATTEMPT_UNKNOWN;
			complete |= way == OUTCOME_ATTEMPT_COMPLETE;
			if (way != OPEN)
				outcome_ended(
				    &f, static_cast<outcome_attempt>(way));
		}
		outcome_answer a =
		    outcome_derive(&f, OUTCOME_DEADLINE_PASSED, 1);
		EXPECT_EQ(a.outcome,
		    complete	? OUTCOME_ANSWERED :
			unknown ? OUTCOME_UNKNOWN :
				  OUTCOME_NOT_RUN);
		EXPECT_EQ(a.status, complete ? 0 : unknown ? 504 : 503);
		EXPECT_EQ(a.retry_after_s, complete || unknown ? 0 : 1);
		EXPECT_EQ(outcome_may_send(&f),
		    !complete && (f.idempotent || !unknown));
	}
}

TEST(Outcome, ForeignClaimIsUnknownAndNeverSent)
{
	outcome_facts f = {};
	f.foreign_claim = true;
	outcome_answer a = outcome_derive(&f, OUTCOME_ALREADY_CLAIMED, 0);
	EXPECT_EQ(a.outcome, OUTCOME_UNKNOWN);
	EXPECT_EQ(a.status, 409);
	EXPECT_FALSE(outcome_may_send(&f));
}

/*
 * A caller sends a payout, gets no outcome, and repeats it; the repeat is
 * refused here. "not-run" would be understood as the outcome of the payout,
 * which may have run.
 */
TEST(Outcome, RepeatedIsNeverNotRunButMayBeSent)
{
	outcome_facts f = {};
	f.repeated = true;
	outcome_answer a = outcome_derive(&f, OUTCOME_STORE_UNAVAILABLE, 2000);
	EXPECT_EQ(a.outcome, OUTCOME_UNKNOWN);
	EXPECT_EQ(a.status, 502);
	EXPECT_EQ(a.retry_after_s, 2);
	EXPECT_TRUE(outcome_may_send(&f));
	EXPECT_FALSE(outcome_may_have_run(&f));
}

TEST(Outcome, RetryAfterIsWholeSecondsWithinBounds)
{
	outcome_facts f = {};
	const int64_t cases[][2] = { { -5, 1 }, { 0, 1 }, { 1, 1 }, { 1000, 1 },
		{ 1001, 2 }, { INT64_MAX, 60 } };
	for (auto &c : cases)
		EXPECT_EQ(
		    outcome_derive(&f, OUTCOME_QUEUE_FULL, c[0]).retry_after_s,
		    c[1]);
	EXPECT_EQ(
	    outcome_derive(&f, OUTCOME_BAD_DEADLINE, 5000).retry_after_s, 0);
}

TEST(Outcome, RefusalsByHeader)
{
	EXPECT_EQ(outcome_refusal_reason("fenced"), OUTCOME_ENDPOINT_FENCED);
	EXPECT_EQ(outcome_refusal_reason("full"), OUTCOME_ENDPOINT_FULL);
	EXPECT_EQ(outcome_refusal_reason("leaving"), OUTCOME_ENDPOINT_LEAVING);
	EXPECT_STREQ(outcome_name(OUTCOME_NOT_RUN), "not-run");
}

} // namespace

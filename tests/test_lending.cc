#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "lending.h"
}

namespace {

bool
Serves(const struct credit_worker *row, const char *service, void *)
{
	return std::string(row->worker) != "w4" && service[0] == 's';
}

class Lending : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		struct credit_options o = { "e1", 1, nullptr, nullptr };
		table = credit_open(&o);
		for (int i = 0; i < 6; i++)
			credit_issue(table, ("w" + std::to_string(i)).c_str(),
			    "r1", 1, { 8, 64 }, { 0, 0 });
		credit_set_draining(table, "w5", true);
	}
	void
	TearDown() override
	{
		credit_close(table);
	}
	size_t
	Grant(int slots, int connections, unsigned int turn, size_t max)
	{
		const struct lending_request request = { "s", { "e2", 1 },
			{ slots, connections } };

		sum = { 0, 0 };
		size_t n = lending_grant(
		    table, Serves, nullptr, &request, turn, out, max);
		for (size_t i = 0; i < n; i++) {
			sum.slots += out[i].amount.slots;
			sum.connections += out[i].amount.connections;
			EXPECT_STRNE("w4", out[i].worker);
			EXPECT_STRNE("w5", out[i].worker);
		}
		return n;
	}

	struct credit_table *table = nullptr;
	struct credit_transfer out[8];
	struct credit_amount sum;
};

TEST_F(Lending, GrantsAShareOfEachWorkerInTurn)
{
	EXPECT_EQ(3u, Grant(3, 3, 2, 8));
	EXPECT_STREQ("w2", out[0].worker);
	EXPECT_STREQ("w3", out[1].worker);
	EXPECT_STREQ("w0", out[2].worker);
	EXPECT_EQ(3, sum.slots);
	EXPECT_EQ(0u, Grant(5, 5, 0, 0));
	EXPECT_GT(Grant(0, 9, 0, 8), 0u); // watches take connections only
	EXPECT_EQ(0, sum.slots);
	EXPECT_EQ(9, sum.connections);
	EXPECT_EQ(4u, Grant(1000, 1000, 0, 8));
	EXPECT_EQ(29, sum.slots);
	EXPECT_EQ(29, sum.connections);
	EXPECT_EQ(0u, Grant(1, 1, 0, 8));
	EXPECT_EQ(
	    8, credit_spare(table).slots); // of w4, which does not serve it
}

TEST(LendingOffer, IsInProportionOrHalfOfWhatIsSpare)
{
	EXPECT_EQ(0, lending_fair_share({ 10, 0 }, { 0, 0 }));
	EXPECT_EQ(10, lending_fair_share({ 10, 0 }, { 0, 1 }));
	EXPECT_EQ(8, lending_fair_share({ 88, 10 }, { 0, 1 }));
	EXPECT_EQ(0, lending_fair_share({ 10, 10 }, { 10, 5 }));
	EXPECT_EQ(20, lending_offer({ 60, 20 }, { 20, 20 }, 40, 30));
	EXPECT_EQ(5, lending_offer({ 60, 55 }, { 60, 50 }, 10, 30)); // half
	EXPECT_EQ(3, lending_offer({ 60, 55 }, { 60, 50 }, 10, 3));
	EXPECT_EQ(0, lending_offer({ 60, 60 }, { 20, 60 }, 0, 30));
	EXPECT_EQ(52, lending_needed(40, 1000)); // a backlog counts partially
	EXPECT_EQ(42, lending_needed(40, 2));
	// More credits arrived than were requested.  A negative need cannot be
	// encoded in the message: the peer refused the message with the credits
	// in it.
	EXPECT_EQ(5, lending_needed(5, -9));
	EXPECT_FALSE(lending_worthwhile(3, 60));
	EXPECT_TRUE(lending_worthwhile(4, 60));
	EXPECT_TRUE(lending_worthwhile(1, 0));
	EXPECT_FALSE(lending_worthwhile(0, 0));
	EXPECT_EQ(0, lending_estimate({ 60, 60 }, 10, { 20, 20 }));
	EXPECT_EQ(
	    2, lending_estimate({ 60, 60 }, 1000, { 20, 20 })); // stale report
	EXPECT_EQ(0, lending_estimate({ 0, 0 }, 1000, { 20, 20 }));
	EXPECT_EQ(20, lending_estimate({ 60, 20 }, 1000, { 20, 20 }));
}

TEST_F(Lending, ReturnsHalfOfTheIdleCreditsButKeepsAMinimum)
{
	struct credit_amount back =
	    lending_return({ 20, 100 }, { 25, 110 }, { 30, 200 });

	EXPECT_EQ(10, back.slots);
	EXPECT_EQ(50, back.connections);
	EXPECT_EQ(0, lending_return({ 4, 4 }, { 4, 4 }, { 4, 8 }).slots);
	EXPECT_EQ(1, lending_return({ 5, 60 }, { 5, 60 }, { 5, 60 }).slots);
	// No slot is kept without a connection.
	back = lending_return({ 2, 6 }, { 6, 6 }, { 90, 90 });
	EXPECT_EQ(1, back.slots);
	EXPECT_EQ(1, back.connections);
}

TEST(LendingRate, AllowsABurstThenASteadyRate)
{
	struct lending_rate rate;

	lending_rate_init(&rate, 2, 100, 1000);
	EXPECT_TRUE(lending_rate_take(&rate, 1000));
	EXPECT_TRUE(lending_rate_take(&rate, 1000));
	EXPECT_FALSE(lending_rate_take(&rate, 1099));
	EXPECT_TRUE(lending_rate_take(&rate, 1100));
	EXPECT_FALSE(lending_rate_take(&rate, 1150));
	EXPECT_TRUE(lending_rate_take(&rate, 9000));
	EXPECT_TRUE(lending_rate_take(&rate, 9000));
	EXPECT_FALSE(lending_rate_take(&rate, 9000));
}

} // namespace

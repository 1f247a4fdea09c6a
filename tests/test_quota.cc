#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "quota.h"
}

namespace {

struct Quota : testing::Test {
	quota_options o = { 1000 };
	quota *q = quota_open(&o);

	~Quota() override
	{
		quota_close(q);
	}

	int
	take(const char *team, int tries, int64_t now_ms)
	{
		int n = 0;
		for (int i = 0; i < tries; i++)
			n += quota_take(q, team, now_ms) == 0;
		return n;
	}
};

TEST_F(Quota, RateAndBurst)
{
	quota_set(q, "broker", 10, 0);
	EXPECT_EQ(take("broker", 100, 0), 10);
	EXPECT_EQ(quota_take(q, "broker", 0), 101);
	EXPECT_EQ(take("broker", 100, 250), 2);
	EXPECT_EQ(take("broker", 100, 1000000000), 10);
	EXPECT_EQ(take("no_record", 1000, 0), 1000);
}

/*
 * 360 teams on nine entries: no share is rounded to zero, and the entries
 * together allow the rate.
 */
TEST_F(Quota, SharesOfManyTeams)
{
	quota_set_entries(q, 9, 0);
	for (int i = 0; i < 360; i++)
		quota_set(q, ("team" + std::to_string(i)).c_str(), i + 1, 0);
	EXPECT_EQ(take("team0", 5, 0), 1);
	int n = 0;
	for (int64_t t = 0; t <= 90000; t += 100)
		n += take("team0", 5, t);
	EXPECT_EQ(n, 10);
	EXPECT_EQ(take("team359", 1000, 0), 40);
}

TEST_F(Quota, ChangesKeepWhatIsLeft)
{
	quota_set(q, "a", 10, 0);
	EXPECT_EQ(take("a", 100, 0), 10);
	quota_set(q, "a", 20, 0);
	EXPECT_EQ(take("a", 100, 0), 0);
	EXPECT_EQ(take("a", 100, 500), 10);
	quota_set(q, "a", 0, 500);
	EXPECT_EQ(take("a", 100, 500), 100);
}

} // namespace

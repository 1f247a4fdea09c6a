#include <gtest/gtest.h>

extern "C" {
#include "confsync.h"
}

namespace {

constexpr int64_t kNow = 1000000;

class ConfSync : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		confsync_init(&sync);
	}

	struct confsync sync;
};

} // namespace

TEST_F(ConfSync, TheAgeCountsFromTheLastConfirmation)
{
	EXPECT_EQ(confsync_age_ms(&sync, kNow), -1);
	confsync_applied(&sync, 3);
	EXPECT_EQ(confsync_age_ms(&sync, kNow), -1);
	confsync_confirmed(&sync, CONFSYNC_STORE, kNow);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 700), 700);
}

// Guards against an answer that was sent long ago making knowledge younger.
TEST_F(ConfSync, AnEarlierConfirmationChangesNothing)
{
	confsync_confirmed(&sync, CONFSYNC_STORE, kNow);
	confsync_confirmed(&sync, CONFSYNC_STORE, kNow - 500);
	EXPECT_EQ(confsync_age_ms(&sync, kNow), 0);
}

TEST_F(ConfSync, IsBehindUntilItHasThePeersVersion)
{
	confsync_applied(&sync, 3);
	confsync_peer_reported(&sync, 3, kNow);
	EXPECT_FALSE(confsync_is_behind(&sync));
	confsync_peer_reported(&sync, 5, kNow + 10);
	confsync_peer_reported(&sync, 6, kNow + 20);
	EXPECT_TRUE(confsync_is_behind(&sync));
	EXPECT_EQ(sync.behind_ms, kNow + 10);
	confsync_applied(&sync, 5);
	EXPECT_TRUE(confsync_is_behind(&sync));
	confsync_applied(&sync, 6);
	EXPECT_FALSE(confsync_is_behind(&sync));
	EXPECT_EQ(sync.behind_ms, 0);
}

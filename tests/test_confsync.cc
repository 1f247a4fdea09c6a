#include <gtest/gtest.h>

extern "C" {
#include "confsync.h"
#include "node_int.h"
}

namespace {

constexpr int64_t kNow = 1000000;
// The users' shortest bound on a change of the configuration.
constexpr int64_t kApplyMs = 2000;

class ConfSync : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		confsync_init(&sync);
	}

	// The store answers a read that began at that time.
	void
	Read(int64_t at_ms, bool usable = true)
	{
		confsync_read_begin(&sync, at_ms);
		confsync_read_done(&sync, usable);
	}

	bool
	MemberReads(int64_t now_ms) const
	{
		return confsync_read_due(&sync, false, true, now_ms);
	}

	struct confsync sync;
};

} // namespace

TEST_F(ConfSync, TheAgeCountsFromTheStartOfTheRead)
{
	EXPECT_EQ(confsync_age_ms(&sync, kNow), -1);
	confsync_applied(&sync, 3);
	EXPECT_EQ(confsync_age_ms(&sync, kNow), -1);
	Read(kNow);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 700), 700);
	EXPECT_TRUE(confsync_is_fresh(&sync, 700, kNow + 700));
	EXPECT_FALSE(confsync_is_fresh(&sync, 699, kNow + 700));
}

// Guards against an answer that was sent long ago making knowledge younger.
TEST_F(ConfSync, AnEarlierConfirmationChangesNothing)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	confsync_peer_confirmed(&sync, 3, kNow - 500);
	EXPECT_EQ(confsync_age_ms(&sync, kNow), 0);
	EXPECT_EQ(sync.confirmed.by, CONFIRMED_BY_STORE);
}

// Guards against a peer with another version confirming ours.
TEST_F(ConfSync, OnlyAPeerOfTheSameVersionConfirms)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	confsync_peer_confirmed(&sync, 2, kNow + 400);
	confsync_peer_confirmed(&sync, 4, kNow + 400);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 400), 400);
	confsync_peer_confirmed(&sync, 3, kNow + 400);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 400), 0);
	EXPECT_EQ(sync.confirmed.by, CONFIRMED_BY_PEER);
}

// Guards against a series of versions, each confirmed before it was in force,
// making an entry that the store rejects refuse its callers.
TEST_F(ConfSync, AConfirmationThatPrecedesItsVersionCounts)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	confsync_peer_confirmed(&sync, 4, kNow + 400);
	confsync_peer_confirmed(&sync, 4, kNow + 300);
	confsync_peer_confirmed(&sync, 3, kNow + 200);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 500), 300);
	confsync_applied(&sync, 4);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 500), 100);
	EXPECT_EQ(sync.confirmed.by, CONFIRMED_BY_PEER);
}

// Guards against a confirmation of a later version making an older one, which
// took effect in between, look new.
TEST_F(ConfSync, AnEarlyConfirmationCountsForItsVersionOnly)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	confsync_peer_confirmed(&sync, 5, kNow + 400);
	confsync_peer_confirmed(&sync, 4, kNow + 450);
	confsync_applied(&sync, 4);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 500), 500);
	confsync_applied(&sync, 5);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 500), 100);
}

// Guards against a version that can't be used making the older one look new.
TEST_F(ConfSync, AReadOfAnUnusableVersionConfirmsNothing)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	Read(kNow + 500, false);
	EXPECT_EQ(confsync_age_ms(&sync, kNow + 500), 500);
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

TEST_F(ConfSync, AMemberReadsOnlyWhatNobodyConfirms)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	for (int64_t past = 0; past <= 10000; past += 500) {
		confsync_peer_confirmed(&sync, 3, kNow + past - 900);
		EXPECT_FALSE(MemberReads(kNow + past));
	}
}

// Guards against members that trust a leader which learns nothing itself.
TEST_F(ConfSync, AMemberReadsWhenTheLeaderLearnsNothing)
{
	confsync_applied(&sync, 3);
	Read(kNow - 5000);
	confsync_peer_confirmed(&sync, 3, kNow);
	EXPECT_FALSE(MemberReads(kNow + CONFSYNC_CONFIRM_MAX_MS - 1));
	confsync_peer_confirmed(&sync, 3, kNow);
	EXPECT_TRUE(MemberReads(kNow + CONFSYNC_CONFIRM_MAX_MS));
	EXPECT_LT(CONFSYNC_CONFIRM_MAX_MS, kApplyMs);
}

// What a leader confirms has to last until its next confirmation, or each
// member would read besides.
TEST_F(ConfSync, TheLeadersReadsSufficeForItsMembers)
{
	EXPECT_LE(CONFSYNC_READ_INTERVAL_MS + HELLO_MS + HEARTBEAT_MS,
	    CONFSYNC_CONFIRM_MAX_MS);
}

TEST_F(ConfSync, ALeaderReadsAllTheTime)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	int64_t next_ms = kNow + CONFSYNC_READ_INTERVAL_MS;
	EXPECT_FALSE(confsync_read_due(&sync, true, true, next_ms - 1));
	EXPECT_TRUE(confsync_read_due(&sync, true, true, next_ms));
}

TEST_F(ConfSync, AFailedWatchIsFollowedByARead)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	EXPECT_FALSE(MemberReads(kNow));
	confsync_want_read(&sync);
	EXPECT_TRUE(MemberReads(kNow));
}

TEST_F(ConfSync, AsksOnceTheStoreHasHadItsTime)
{
	confsync_applied(&sync, 3);
	Read(kNow);
	confsync_peer_reported(&sync, 4, kNow);
	EXPECT_FALSE(confsync_ask_due(&sync, kNow + CONFSYNC_ASK_DELAY_MS - 1));
	EXPECT_TRUE(confsync_ask_due(&sync, kNow + CONFSYNC_ASK_DELAY_MS));
	confsync_read_failed(&sync);
	EXPECT_TRUE(confsync_ask_due(&sync, kNow));
	confsync_applied(&sync, 4);
	EXPECT_FALSE(confsync_ask_due(&sync, kNow + 10000));
}

// Guards against a flood of requests to peers that don't answer them.
TEST_F(ConfSync, AsksLessAndLessOftenWithoutAnAnswer)
{
	int asked = 0;

	confsync_peer_reported(&sync, 4, kNow);
	confsync_read_failed(&sync);
	for (int64_t past = 0; past < 60000; past += 20) {
		if (!confsync_ask_due(&sync, kNow + past))
			continue;
		confsync_ask_begin(&sync, kNow + past);
		asked++;
	}
	EXPECT_GT(asked, 20);
	EXPECT_LT(asked, 40);
}

// Guards against reading and asking without end for what can't be used here.
TEST_F(ConfSync, AVersionThatTheStoreDoesNotGiveUsIsGivenUp)
{
	confsync_applied(&sync, 3);
	confsync_peer_reported(&sync, 4, kNow);
	Read(kNow);
	EXPECT_TRUE(confsync_is_behind(&sync)); // it may be older than 4
	Read(kNow + 1, false);
	EXPECT_FALSE(confsync_is_behind(&sync));
	confsync_peer_reported(&sync, 5, kNow + 100);
	EXPECT_TRUE(confsync_is_behind(&sync));
	confsync_refused(&sync, 5);
	EXPECT_FALSE(confsync_is_behind(&sync));
}

// Guards against a bound that no step exceeds, but their sum does.
TEST_F(ConfSync, TheStepsFromOneEntryToAllAddUpToLessThanTheBound)
{
	EXPECT_LT(confsync_spread_max_ms(HELLO_MS, HEARTBEAT_MS), kApplyMs);
}

// Guards against steps that add up to more than the users' bound on a closing.
TEST(ConfsyncLearn, TheLeaderLearnsOfAClosingInTime)
{
	constexpr int64_t kHelloMs = 500, kCallMs = 1000, kOrderMs = 200;

	EXPECT_LE(confsync_learn_max_ms(kHelloMs, kCallMs) + kOrderMs, 5000);
}

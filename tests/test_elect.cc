#include <cstring>

#include <gtest/gtest.h>

extern "C" {
#include "elect.h"
}

namespace {

class Elect : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		actions = { OnAsk, OnRead, OnTake, OnChanged };
		memset(&options, 0, sizeof(options));
		options.self = "me";
		options.address = "127.0.0.1:1";
		options.incarnation = 11;
		options.actions = &actions;
		options.ctx = this;
		elect_init(&e, &options, now);
	}

	struct elect_record
	Record(const char *id, uint64_t its_term, int64_t its_revision,
	    int64_t pulse)
	{
		struct elect_record r;

		memset(&r, 0, sizeof(r));
		r.found = true;
		strlcpy(r.leader.id, id, sizeof(r.leader.id));
		r.leader.term = its_term;
		r.leader.revision = its_revision;
		r.leader.incarnation = 99;
		r.pulse_revision = pulse;
		return r;
	}

	// Follow "other" in term 3, with so many members besides.
	void
	Follow(uint32_t members, uint32_t rank = 0)
	{
		struct elect_record r = Record("other", 3, 30, 300);

		elect_tick(&e, now);
		elect_read(&e, &r, now);
		Beat(members, true, rank);
		asks = reads = takes = 0;
	}

	void
	Beat(uint32_t members, bool store, uint32_t rank = 0)
	{
		struct elect_leader l = Record("other", 3, 30, 0).leader;

		elect_heartbeat(&e, &l, store, rank, members, now);
	}

	void
	Pass(int64_t ms)
	{
		for (int64_t end = now + ms; now < end;) {
			now += 20;
			elect_tick(&e, now);
		}
	}

	// Reads under way give the record, or fail; all members agree.
	void
	AnswerAsks(const struct elect_record *record)
	{
		if (reads > reads_answered) {
			reads_answered = reads;
			elect_read(&e, record, now);
		}
		for (int i = 0; i < 3 && e.role == ELECT_PRECANDIDATE; i++)
			elect_vote(&e, 3, true, false);
		elect_tick(&e, now);
	}

	// The leader beats on and says that it has lost the store.
	void
	BeatWithoutStore(int64_t for_ms, const struct elect_record *record)
	{
		for (int64_t past = 0; past < for_ms; past += kBeat) {
			Beat(3, false, 2);
			Pass(kBeat);
			AnswerAsks(record);
		}
	}

	static Elect *
	Self(void *ctx)
	{
		return static_cast<Elect *>(ctx);
	}
	static void
	OnAsk(struct elect *, void *ctx)
	{
		Self(ctx)->asks++;
	}
	static void
	OnRead(struct elect *, void *ctx)
	{
		Self(ctx)->reads++;
	}
	static void
	OnTake(struct elect *, uint64_t next, int64_t replaced, void *ctx)
	{
		Self(ctx)->takes++;
		Self(ctx)->term = next;
		Self(ctx)->revision = replaced;
	}
	static void
	OnChanged(struct elect *, void *)
	{
	}

	static constexpr int64_t kBeat = 150;
	struct elect_actions actions;
	struct elect_options options;
	struct elect e;
	int64_t now = 50000, revision = -1;
	uint64_t term = 0;
	int asks = 0, reads = 0, takes = 0, reads_answered = 0;
};

} // namespace

TEST_F(Elect, TheFirstEntryTakesTheLeadAtOnce)
{
	struct elect_record none;

	memset(&none, 0, sizeof(none));
	elect_tick(&e, now);
	EXPECT_EQ(reads, 1);
	elect_read(&e, &none, now);
	Pass(20);
	EXPECT_EQ(takes, 1);
	EXPECT_EQ(term, 1u);
	EXPECT_EQ(revision, 0);
	elect_write_done(&e, ELECT_WRITE_DONE, 40, now);
	EXPECT_EQ(e.role, ELECT_LEADER);
	EXPECT_EQ(e.leader.revision, 40);
}

TEST_F(Elect, ALeaderThatBeatsIsLeftAlone)
{
	Follow(7);
	for (int i = 0; i < 100; i++) {
		Pass(140);
		Beat(7, true);
	}
	EXPECT_EQ(asks, 0);
	EXPECT_EQ(takes, 0);
}

// The leader is killed: its members hear nothing, most of them say so, and
// the first in the order takes over within a second.
TEST_F(Elect, SilenceHeardByMostEndsATerm)
{
	struct elect_record r = Record("other", 3, 30, 300);
	int64_t begin = now;

	Follow(7);
	Pass(700);
	ASSERT_EQ(asks, 1);
	for (int i = 0; i < 4; i++)
		elect_vote(&e, 3, true, false);
	elect_read(&e, &r, now);
	Pass(40);
	EXPECT_EQ(takes, 1);
	EXPECT_EQ(term, 4u);
	EXPECT_EQ(revision, 30);
	EXPECT_LT(now - begin, 1000);
}

// This entry is cut off from the leader alone: the others deny, and the
// leader's pulse in the store goes on.  It must not depose it.
TEST_F(Elect, OneThatIsCutOffDeposesNobody)
{
	int64_t pulse = 300;

	Follow(7);
	for (int i = 0; i < 200; i++) {
		Pass(60);
		if (e.role != ELECT_PRECANDIDATE)
			continue;
		struct elect_record r = Record("other", 3, 30, pulse++);
		elect_read(&e, &r, now);
		if (i % 2 == 0)
			elect_vote(&e, 3, false, false);
	}
	EXPECT_GT(asks, 5);
	EXPECT_EQ(takes, 0);
}

// Most members died with the leader, so nobody can agree: the pulse that
// stands still is enough.
TEST_F(Elect, APulseThatStandsStillEndsATerm)
{
	int64_t begin = now;

	Follow(7);
	while (takes == 0 && now < begin + 10000) {
		Pass(60);
		if (e.role == ELECT_PRECANDIDATE) {
			struct elect_record r = Record("other", 3, 30, 300);
			elect_read(&e, &r, now);
		}
	}
	EXPECT_EQ(takes, 1);
	EXPECT_LT(now - begin, 3500);
}

// The leader lost the store but beats on.  A member that reaches the store
// and whose peers heard the same takes over, so that ends can be saved.
TEST_F(Elect, ALeaderWithoutTheStoreIsReplaced)
{
	struct elect_record r = Record("other", 3, 30, 300);

	Follow(7);
	for (int i = 0; i < 5 && asks == 0; i++) {
		Pass(140);
		Beat(7, false);
	}
	ASSERT_EQ(asks, 1);
	elect_read(&e, &r, now);
	for (int i = 0; i < 4; i++)
		elect_vote(&e, 3, true, false);
	Pass(40);
	EXPECT_EQ(takes, 1);
}

// The store is down for all: no read succeeds, and the leader goes on.
TEST_F(Elect, WithoutTheStoreNobodyTakesOver)
{
	Follow(7);
	for (int i = 0; i < 50; i++) {
		Pass(140);
		Beat(7, false);
		if (e.role == ELECT_PRECANDIDATE) {
			elect_vote(&e, 3, true, false);
			elect_read(&e, nullptr, now);
		}
	}
	EXPECT_GT(asks, 0);
	EXPECT_EQ(takes, 0);
}

TEST_F(Elect, ItsOwnFormerLifeIsReplacedAtOnce)
{
	struct elect_record r = Record("me", 3, 30, 300);

	elect_tick(&e, now);
	elect_read(&e, &r, now);
	Pass(40);
	elect_read(&e, &r, now);
	Pass(40);
	EXPECT_EQ(takes, 1);
	EXPECT_EQ(term, 4u);
}

// The answer of a take is lost, but it was done: the record read back names
// this life, which then leads that term.
TEST_F(Elect, ATakeWithoutAnswerIsReadBack)
{
	struct elect_record none, r = Record("me", 1, 40, 0);

	memset(&none, 0, sizeof(none));
	r.leader.incarnation = 11;
	elect_tick(&e, now);
	elect_read(&e, &none, now);
	Pass(20);
	ASSERT_EQ(takes, 1);
	elect_write_done(&e, ELECT_WRITE_UNKNOWN, 0, now);
	Pass(400);
	elect_read(&e, &r, now);
	Pass(300);
	elect_read(&e, &r, now);
	Pass(200);
	EXPECT_EQ(takes, 2);
	EXPECT_EQ(term, 2u);
	EXPECT_EQ(revision, 40);
}

TEST_F(Elect, AnEarlierTermIsNoLeader)
{
	struct elect_leader old = Record("old", 2, 20, 0).leader;

	Follow(7);
	EXPECT_FALSE(elect_heartbeat(&e, &old, true, 0, 7, now));
	EXPECT_STREQ(e.leader.id, "other");
}

TEST_F(Elect, MembersAgreeOnlyInSilence)
{
	Follow(7);
	EXPECT_FALSE(elect_grants_vote(&e, 3, now));
	EXPECT_FALSE(elect_grants_vote(&e, 2, now + 5000));
	EXPECT_TRUE(elect_grants_vote(&e, 3, now + 400));
	EXPECT_TRUE(elect_grants_vote(&e, 4, now));
}

TEST_F(Elect, ALeaderThatLeavesIsFollowedAtOnce)
{
	struct elect_record r = Record("other", 3, 30, 300);

	Follow(7);
	elect_resigned(&e, 3, false, now);
	Pass(20);
	ASSERT_EQ(e.role, ELECT_PRECANDIDATE);
	elect_read(&e, &r, now);
	Pass(20);
	EXPECT_EQ(takes, 1);
}

// A leader is replaced, and its follower resigns within a moment.  The first
// one may not know yet and still renew leases: the third must go on counting
// with it, unless the one that resigns knew that nobody acts any more.
TEST_F(Elect, AResignationSaysWhetherEarlierLeadersAct)
{
	for (bool alone : { false, true }) {
		struct elect_record r = Record("other", 3, 30, 300);

		SetUp();
		Follow(7);
		Pass(200);
		elect_resigned(&e, 3, alone, now);
		Pass(20);
		elect_read(&e, &r, now);
		Pass(20);
		ASSERT_GT(takes, 0);
		elect_write_done(&e, ELECT_WRITE_DONE, 41, now);
		EXPECT_EQ(e.no_former_leader, alone);
	}
}

// The answer to our own take was lost, and we take again from ourselves: the
// leader before that may still act.
TEST_F(Elect, OurOwnFormerLifeSaysNothingOfEarlierLeaders)
{
	struct elect_record r = Record("me", 4, 40, 300);

	Follow(7);
	Pass(700);
	elect_read(&e, &r, now);
	Pass(20);
	elect_read(&e, &r, now);
	Pass(200);
	ASSERT_GT(takes, 0);
	EXPECT_EQ(term, 5u);
	elect_write_done(&e, ELECT_WRITE_DONE, 41, now);
	EXPECT_FALSE(e.no_former_leader);
}

// Callers wait twice as long for their jobs after an outage of the store, until
// the end of the day: one of the weakest entries leads.  The leader and all
// others lose the store for two seconds.  As it comes back all that had asked
// for the lead take it in the same moment, before the leader's word that it has
// the store again, and the first to write wins, whatever its rank.
TEST_F(Elect, AnOutageThatHitsAllDeposesNobody)
{
	constexpr int64_t kOutage = 2200;
	struct elect_record r = Record("other", 3, 30, 301);

	Follow(3, 2);
	BeatWithoutStore(kOutage, nullptr);
	Pass(20);
	AnswerAsks(&r);
	Pass(kBeat - 20);
	AnswerAsks(&r);
	Beat(3, true, 2);
	Pass(1000);
	EXPECT_EQ(takes, 0);
}

// The same, but the leader doesn't get the store back: it is replaced.
TEST_F(Elect, ALeaderThatStaysWithoutTheStoreIsReplacedAfterAnOutage)
{
	constexpr int64_t kOutage = 2200;
	struct elect_record r = Record("other", 3, 30, 301);

	Follow(3, 2);
	BeatWithoutStore(kOutage, nullptr);
	BeatWithoutStore(1500, &r);
	EXPECT_EQ(takes, 1);
}

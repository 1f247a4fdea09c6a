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
		actions = { OnRequestVotes, OnReadRecord, OnWriteRecord,
			OnChanged };
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

	// Follow "other" in term 3, with the given number of members.
	void
	Follow(uint32_t members, uint32_t rank = 0)
	{
		struct elect_record r = Record("other", 3, 30, 300);

		elect_tick(&e, now);
		elect_read(&e, &r, now);
		Heartbeat(members, true, rank);
		vote_requests = reads = writes = 0;
	}

	void
	Heartbeat(uint32_t members, bool store, uint32_t rank = 0)
	{
		struct elect_leader l = Record("other", 3, 30, 0).leader;

		elect_heartbeat(&e, &l, store, rank, members, now);
	}

	void
	Advance(int64_t ms)
	{
		for (int64_t end = now + ms; now < end;) {
			now += 20;
			elect_tick(&e, now);
		}
	}

	// Answer reads in flight with the record, or fail them if it is null;
	// all members grant their votes.
	void
	AnswerRequests(const struct elect_record *record)
	{
		if (reads > reads_answered) {
			reads_answered = reads;
			elect_read(&e, record, now);
		}
		for (int i = 0; i < 3 && e.role == ELECT_PRECANDIDATE; i++)
			elect_vote(&e, 3, true, false);
		elect_tick(&e, now);
	}

	// The leader keeps sending heartbeats, which report that it has lost
	// the store.
	void
	HeartbeatsWithoutStore(
	    int64_t for_ms, const struct elect_record *record)
	{
		for (int64_t past = 0; past < for_ms; past += kHeartbeatMs) {
			Heartbeat(3, false, 2);
			Advance(kHeartbeatMs);
			AnswerRequests(record);
		}
	}

	static Elect *
	Self(void *ctx)
	{
		return static_cast<Elect *>(ctx);
	}
	static void
	OnRequestVotes(struct elect *, void *ctx)
	{
		Self(ctx)->vote_requests++;
	}
	static void
	OnReadRecord(struct elect *, void *ctx)
	{
		Self(ctx)->reads++;
	}
	static void
	OnWriteRecord(
	    struct elect *, uint64_t next, int64_t replaced, void *ctx)
	{
		Self(ctx)->writes++;
		Self(ctx)->term = next;
		Self(ctx)->revision = replaced;
	}
	static void
	OnChanged(struct elect *, void *)
	{
	}

	static constexpr int64_t kHeartbeatMs = 150;
	struct elect_actions actions;
	struct elect_options options;
	struct elect e;
	int64_t now = 50000, revision = -1;
	uint64_t term = 0;
	int vote_requests = 0, reads = 0, writes = 0, reads_answered = 0;
};

} // namespace

TEST_F(Elect, TheFirstEntryTakesTheLeadAtOnce)
{
	struct elect_record none;

	memset(&none, 0, sizeof(none));
	elect_tick(&e, now);
	EXPECT_EQ(reads, 1);
	elect_read(&e, &none, now);
	Advance(20);
	EXPECT_EQ(writes, 1);
	EXPECT_EQ(term, 1u);
	EXPECT_EQ(revision, 0);
	elect_write_done(&e, ELECT_WRITE_DONE, 40, now);
	EXPECT_EQ(e.role, ELECT_LEADER);
	EXPECT_EQ(e.leader.revision, 40);
}

TEST_F(Elect, ALeaderThatSendsHeartbeatsIsNotReplaced)
{
	Follow(7);
	for (int i = 0; i < 100; i++) {
		Advance(140);
		Heartbeat(7, true);
	}
	EXPECT_EQ(vote_requests, 0);
	EXPECT_EQ(writes, 0);
}

// The leader is killed.  More than half of the members miss its heartbeats, and
// the first in the order of succession takes over within a second.
TEST_F(Elect, SilenceHeardByMostEndsATerm)
{
	struct elect_record r = Record("other", 3, 30, 300);
	int64_t begin = now;

	Follow(7);
	Advance(700);
	ASSERT_EQ(vote_requests, 1);
	for (int i = 0; i < 4; i++)
		elect_vote(&e, 3, true, false);
	elect_read(&e, &r, now);
	Advance(40);
	EXPECT_EQ(writes, 1);
	EXPECT_EQ(term, 4u);
	EXPECT_EQ(revision, 30);
	EXPECT_LT(now - begin, 1000);
}

// This entry is partitioned from the leader alone: the others deny their votes,
// and the heartbeat key in the store keeps changing.  It must not depose the
// leader.
TEST_F(Elect, APartitionedMemberDeposesNobody)
{
	int64_t pulse = 300;

	Follow(7);
	for (int i = 0; i < 200; i++) {
		Advance(60);
		if (e.role != ELECT_PRECANDIDATE)
			continue;
		struct elect_record r = Record("other", 3, 30, pulse++);
		elect_read(&e, &r, now);
		if (i % 2 == 0)
			elect_vote(&e, 3, false, false);
	}
	EXPECT_GT(vote_requests, 5);
	EXPECT_EQ(writes, 0);
}

// Most members died with the leader, so there are no votes to grant: a
// heartbeat key that has stopped changing is sufficient.
TEST_F(Elect, AHeartbeatKeyThatStopsChangingEndsATerm)
{
	int64_t begin = now;

	Follow(7);
	while (writes == 0 && now < begin + 10000) {
		Advance(60);
		if (e.role == ELECT_PRECANDIDATE) {
			struct elect_record r = Record("other", 3, 30, 300);
			elect_read(&e, &r, now);
		}
	}
	EXPECT_EQ(writes, 1);
	EXPECT_LT(now - begin, 3500);
}

// The leader has lost the store but keeps sending heartbeats.  A member that
// reaches the store, and whose peers heard the same, takes over, so that ends
// of tasks can be saved.
TEST_F(Elect, ALeaderWithoutTheStoreIsReplaced)
{
	struct elect_record r = Record("other", 3, 30, 300);

	Follow(7);
	for (int i = 0; i < 5 && vote_requests == 0; i++) {
		Advance(140);
		Heartbeat(7, false);
	}
	ASSERT_EQ(vote_requests, 1);
	elect_read(&e, &r, now);
	for (int i = 0; i < 4; i++)
		elect_vote(&e, 3, true, false);
	Advance(40);
	EXPECT_EQ(writes, 1);
}

// The store is unavailable to all entries: no read succeeds, and the leader
// stays.
TEST_F(Elect, WithoutTheStoreNobodyTakesOver)
{
	Follow(7);
	for (int i = 0; i < 50; i++) {
		Advance(140);
		Heartbeat(7, false);
		if (e.role == ELECT_PRECANDIDATE) {
			elect_vote(&e, 3, true, false);
			elect_read(&e, nullptr, now);
		}
	}
	EXPECT_GT(vote_requests, 0);
	EXPECT_EQ(writes, 0);
}

TEST_F(Elect, ItsOwnFormerIncarnationIsReplacedAtOnce)
{
	struct elect_record r = Record("me", 3, 30, 300);

	elect_tick(&e, now);
	elect_read(&e, &r, now);
	Advance(40);
	elect_read(&e, &r, now);
	Advance(40);
	EXPECT_EQ(writes, 1);
	EXPECT_EQ(term, 4u);
}

// The write of the leader record takes effect but gets no answer.  The record
// read back names this incarnation, which then leads a later term.
TEST_F(Elect, AWriteWithoutAnswerIsReadBack)
{
	struct elect_record none, r = Record("me", 1, 40, 0);

	memset(&none, 0, sizeof(none));
	r.leader.incarnation = 11;
	elect_tick(&e, now);
	elect_read(&e, &none, now);
	Advance(20);
	ASSERT_EQ(writes, 1);
	elect_write_done(&e, ELECT_WRITE_UNKNOWN, 0, now);
	Advance(400);
	elect_read(&e, &r, now);
	Advance(300);
	elect_read(&e, &r, now);
	Advance(200);
	EXPECT_EQ(writes, 2);
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
	Advance(20);
	ASSERT_EQ(e.role, ELECT_PRECANDIDATE);
	elect_read(&e, &r, now);
	Advance(20);
	EXPECT_EQ(writes, 1);
}

// A leader is replaced, and its successor resigns shortly after.  The first
// leader may not know yet and still renew leases: the third must assume that it
// is active, unless the second one knew that no earlier leader was.
TEST_F(Elect, AResignationSaysWhetherEarlierLeadersAct)
{
	for (bool alone : { false, true }) {
		struct elect_record r = Record("other", 3, 30, 300);

		SetUp();
		Follow(7);
		Advance(200);
		elect_resigned(&e, 3, alone, now);
		Advance(20);
		elect_read(&e, &r, now);
		Advance(20);
		ASSERT_GT(writes, 0);
		elect_write_done(&e, ELECT_WRITE_DONE, 41, now);
		EXPECT_EQ(e.no_former_leader, alone);
	}
}

// The write of our own leader record got no answer, and we replace the record
// ourselves: the leader before that may still be active.
TEST_F(Elect, OurOwnFormerIncarnationSaysNothingOfEarlierLeaders)
{
	struct elect_record r = Record("me", 4, 40, 300);

	Follow(7);
	Advance(700);
	elect_read(&e, &r, now);
	Advance(20);
	elect_read(&e, &r, now);
	Advance(200);
	ASSERT_GT(writes, 0);
	EXPECT_EQ(term, 5u);
	elect_write_done(&e, ELECT_WRITE_DONE, 41, now);
	EXPECT_FALSE(e.no_former_leader);
}

// Guards against one of the weakest entries becoming the leader in an outage of
// the store, after which callers wait twice as long for their jobs until the
// end of the day.  The leader and all members lose the store for two seconds.
// When it returns, all members that requested votes write the leader record at
// the same moment, before the leader reports that it has the store again, and
// the first write wins regardless of rank.
TEST_F(Elect, AnOutageThatHitsAllDeposesNobody)
{
	constexpr int64_t kOutage = 2200;
	struct elect_record r = Record("other", 3, 30, 301);

	Follow(3, 2);
	HeartbeatsWithoutStore(kOutage, nullptr);
	Advance(20);
	AnswerRequests(&r);
	Advance(kHeartbeatMs - 20);
	AnswerRequests(&r);
	Heartbeat(3, true, 2);
	Advance(1000);
	EXPECT_EQ(writes, 0);
}

// As before, but the leader does not regain the store: it is replaced.
TEST_F(Elect, ALeaderThatStaysWithoutTheStoreIsReplacedAfterAnOutage)
{
	constexpr int64_t kOutage = 2200;
	struct elect_record r = Record("other", 3, 30, 301);

	Follow(3, 2);
	HeartbeatsWithoutStore(kOutage, nullptr);
	HeartbeatsWithoutStore(1500, &r);
	EXPECT_EQ(writes, 1);
}

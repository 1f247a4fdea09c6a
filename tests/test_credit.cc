#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "credit.h"
}

namespace {

class Credit : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		struct credit_options o = { "e1", 7, nullptr, nullptr };
		table = credit_open(&o);
		o.self = "e2";
		o.incarnation = 9;
		peer = credit_open(&o);
	}
	void
	TearDown() override
	{
		credit_close(table);
		credit_close(peer);
	}
	enum credit_error
	Issue(uint64_t epoch, int used_slots)
	{
		return credit_issue(table, "w1", "r1", epoch, { 8, 64 },
		    { used_slots, used_slots });
	}
	const struct credit_worker *
	Row()
	{
		return credit_find(table, "w1");
	}
	enum credit_error
	Receive(uint64_t incarnation, uint64_t sequence, uint64_t receiver,
	    const struct credit_transfer &t)
	{
		struct credit_origin o = { "e1", incarnation, sequence,
			receiver };
		return credit_receive(peer, &o, &t, 1, &stale);
	}

	const struct credit_peer to = { "e2", 9 };
	struct credit_table *table = nullptr, *peer = nullptr;
	size_t stale = 0;
};

TEST_F(Credit, IssuesOnceAnEpochWhatTheFenceLeaves)
{
	EXPECT_EQ(CREDIT_ERR_INVALID, Issue(0, 0));
	EXPECT_EQ(CREDIT_OK, Issue(3, 5));
	EXPECT_EQ(3, Row()->spare.slots);
	EXPECT_EQ(59, Row()->spare.connections);
	EXPECT_EQ(CREDIT_ERR_ISSUED, Issue(3, 5));
	EXPECT_EQ(CREDIT_ERR_OLD_EPOCH, Issue(2, 0));
	EXPECT_EQ(3, credit_spare(table).slots);
	EXPECT_EQ(
	    CREDIT_OK, Issue(4, 9)); // more than its capacity: none is issued
	EXPECT_EQ(0, Row()->spare.slots);
}

// Five old calls ran at the fence.  The endpoint then reports its total use,
// which includes new calls; only the credits of calls that the total proves to
// have ended may be issued.
TEST_F(Credit, ReportsFreeWhatRanAtTheFence)
{
	struct credit_usage usage = { { 4, 4 }, false, { 0, 0 } };

	Issue(3, 5);
	EXPECT_EQ(CREDIT_OK, credit_report(table, "w1", 3, &usage));
	EXPECT_EQ(4, Row()->spare.slots);
	usage.used.slots = 8; // an older report arrives late: no credit is lost
	credit_report(table, "w1", 3, &usage);
	EXPECT_EQ(4, Row()->spare.slots);
	usage.has_older = true; // all eight are new calls
	credit_report(table, "w1", 3, &usage);
	EXPECT_EQ(8, Row()->spare.slots);
	EXPECT_EQ(CREDIT_ERR_OLD_EPOCH, credit_report(table, "w1", 2, &usage));
}

TEST_F(Credit, TakesBothKindsAndReleases)
{
	uint64_t epoch = 0;

	EXPECT_EQ(CREDIT_ERR_UNKNOWN_WORKER,
	    credit_take(table, "w1", CREDIT_CALL, &epoch));
	Issue(3, 7);
	EXPECT_EQ(CREDIT_OK, credit_take(table, "w1", CREDIT_CALL, &epoch));
	EXPECT_EQ(3u, epoch);
	EXPECT_EQ(
	    CREDIT_ERR_EMPTY, credit_take(table, "w1", CREDIT_CALL, &epoch));
	EXPECT_EQ(CREDIT_OK, credit_take(table, "w1", CREDIT_WATCH, &epoch));
	credit_release(table, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	EXPECT_EQ(1, Row()->spare.slots);
	EXPECT_EQ(CREDIT_ERR_INVALID,
	    credit_release(table, "w1", 3, CREDIT_CALL, CREDIT_ENDED));
	credit_set_draining(table, "w1", true);
	EXPECT_EQ(0, credit_spare(table).slots);
	EXPECT_EQ(
	    CREDIT_ERR_LEAVING, credit_take(table, "w1", CREDIT_WATCH, &epoch));
	EXPECT_FALSE(credit_forget(table, "w1"));
	credit_release(table, "w1", 3, CREDIT_WATCH, CREDIT_ENDED);
	EXPECT_TRUE(credit_forget(table, "w1"));
	EXPECT_EQ(0, credit_spare(table).slots);
}

// A caller's deadline passes while the endpoint still runs the call.  The
// credit is not free again until the fence of the next epoch has counted the
// running calls.
TEST_F(Credit, AbandonedCreditsAreLostUntilTheNextEpoch)
{
	uint64_t epoch = 0;

	Issue(3, 0);
	credit_take(table, "w1", CREDIT_CALL, &epoch);
	credit_release(table, "w1", 3, CREDIT_CALL, CREDIT_ABANDONED);
	EXPECT_EQ(7, Row()->spare.slots);
	EXPECT_EQ(1, credit_lost(table, "r1"));
	Issue(4, 0);
	EXPECT_EQ(8, Row()->spare.slots);
	EXPECT_EQ(0, credit_lost(table, "r1"));
}

TEST_F(Credit, OldUsesEndWithoutNewCredits)
{
	uint64_t epoch = 0;

	Issue(3, 0);
	credit_take(table, "w1", CREDIT_CALL, &epoch);
	Issue(4, 1);
	EXPECT_EQ(1, Row()->older.slots);
	credit_release(table, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	EXPECT_EQ(0, Row()->older.slots);
	EXPECT_EQ(7, Row()->spare.slots);
}

// A shard was handed over.  The endpoint refuses the calls in flight on the
// former owner's credits one after the other; each refusal ends a call.  If
// that freed its credit, the next call would be refused as well, until the
// credits of the new owner arrive.
TEST_F(Credit, FencedCreditsStayVoidWhenTheirCallsEnd)
{
	struct credit_transfer t;
	uint64_t epoch = 0;

	Issue(3, 0);
	credit_take(table, "w1", CREDIT_CALL, &epoch);
	credit_take(table, "w1", CREDIT_CALL, &epoch);
	credit_give(table, "w1", &to, { 1, 1 }, &t);
	credit_fenced(table, "w1", 4);
	credit_release(table, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	EXPECT_EQ(0, Row()->spare.slots);
	credit_give_cancel(table, "e2", &t);
	EXPECT_EQ(0, Row()->spare.slots);
	Issue(4, 1);
	EXPECT_EQ(7, Row()->spare.slots);
	credit_release(table, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	EXPECT_EQ(7, Row()->spare.slots);
}

TEST_F(Credit, TransfersApplyOnceAndOnlyToTheirReceiver)
{
	struct credit_transfer t;

	Issue(3, 0);
	EXPECT_EQ(
	    CREDIT_ERR_EMPTY, credit_give(table, "w1", &to, { 9, 9 }, &t));
	ASSERT_EQ(CREDIT_OK, credit_give(table, "w1", &to, { 3, 3 }, &t));
	EXPECT_EQ(5, Row()->spare.slots);
	EXPECT_EQ(CREDIT_ERR_NOT_FOR_US, Receive(7, 10, 8, t));
	EXPECT_EQ(CREDIT_OK, Receive(7, 10, 9, t));
	EXPECT_EQ(CREDIT_ERR_DUPLICATE, Receive(7, 10, 9, t));
	EXPECT_EQ(CREDIT_OK, Receive(7, 9, 9, t)); // reordered
	EXPECT_EQ(CREDIT_ERR_DUPLICATE, Receive(7, 9, 9, t));
	EXPECT_EQ(CREDIT_OK, Receive(7, 200, 9, t));
	EXPECT_EQ(CREDIT_ERR_TOO_OLD, Receive(7, 11, 9, t));
	EXPECT_EQ(CREDIT_OK, Receive(8, 1, 9, t)); // e1 has restarted
	EXPECT_EQ(CREDIT_ERR_OLD_INCARNATION, Receive(7, 201, 9, t));
	EXPECT_EQ(12, credit_find(peer, "w1")->spare.slots);
	t.epoch = 2;
	EXPECT_EQ(CREDIT_OK, Receive(8, 2, 9, t));
	EXPECT_EQ(1u, stale);
	t.epoch = 4; // credits of a new owner void those of the former
	EXPECT_EQ(CREDIT_OK, Receive(8, 3, 9, t));
	EXPECT_EQ(3, credit_find(peer, "w1")->spare.slots);
	credit_fenced(peer, "w1", 5);
	EXPECT_EQ(0, credit_find(peer, "w1")->spare.slots);
}

bool
IsDead(const char *peer, uint64_t incarnation, void *ctx)
{
	return std::string(peer) == "e2" &&
	    incarnation < *static_cast<uint64_t *>(ctx);
}

// A shard was handed over, and its former owner does not know the new epoch.
// The endpoint refuses its call, which then releases its credit.  If that
// credit were used again, every later call here would be refused too.
TEST_F(Credit, ARefusedEpochGivesNoCreditBack)
{
	uint64_t epoch;

	Issue(3, 0);
	credit_issue(table, "w2", "r1", 3, { 8, 64 }, { 0, 0 });
	credit_issue(table, "w3", "r2", 3, { 8, 64 }, { 0, 0 });
	ASSERT_EQ(CREDIT_OK, credit_take(table, "w1", CREDIT_CALL, &epoch));
	credit_fenced(table, "w1", 4);
	EXPECT_EQ(CREDIT_OK,
	    credit_release(table, "w1", 3, CREDIT_CALL, CREDIT_ENDED));
	EXPECT_EQ(0, Row()->spare.slots);
	EXPECT_EQ(0, credit_find(table, "w2")->spare.slots) << "same shard";
	EXPECT_EQ(8, credit_find(table, "w3")->spare.slots) << "another shard";
	EXPECT_EQ(8, credit_spare(table).slots);
	EXPECT_EQ(CREDIT_OK, Issue(4, 0));
	EXPECT_EQ(8, Row()->spare.slots);
}

TEST_F(Credit, UnsentTransfersAreCancelledAndDeadPeersCounted)
{
	struct credit_transfer t;
	uint64_t alive = 10;

	Issue(3, 0);
	credit_give(table, "w1", &to, { 3, 3 }, &t);
	credit_give_cancel(table, "e2", &t);
	EXPECT_EQ(8, Row()->spare.slots);
	EXPECT_EQ(0, credit_expire_peers(table, IsDead, &alive));
	credit_give(table, "w1", &to, { 3, 3 }, &t);
	credit_abandoned(table, "e2", "w1", 3, { 1, 1 });
	EXPECT_EQ(2, credit_expire_peers(table, IsDead, &alive));
	EXPECT_EQ(3, credit_lost(table, "r1"));
	credit_give(table, "w1", &to, { 1, 1 }, &t);
	struct credit_peer restarted = { "e2", 10 };
	credit_give(table, "w1", &restarted, { 1, 1 }, &t);
	EXPECT_EQ(0, credit_expire_peers(table, IsDead, &alive));
	EXPECT_EQ(4, credit_lost(table, "r1"));
	Issue(4, 0); // a transfer of the former epoch can't be cancelled
	credit_give_cancel(table, "e2", &t);
	EXPECT_EQ(8, Row()->spare.slots);
}

// A message with credits was refused or dropped from a queue.  No peer is dead,
// so no grant expires, but the holding reports of the borrowers no longer add
// up.
TEST_F(Credit, HoldingReportsShowUnaccountedCredits)
{
	struct credit_transfer t;
	uint64_t epoch = 0;

	Issue(3, 1);
	credit_take(table, "w1", CREDIT_CALL, &epoch);
	EXPECT_EQ(0, credit_unaccounted(table, "r1", 1000, 500));
	credit_give(table, "w1", &to, { 4, 4 }, &t);
	EXPECT_EQ(4, credit_unaccounted(table, "r1", 1000, 500)); // in transit
	credit_set_holding(table, "e2", "r1", 3, 3, 1000);
	credit_set_holding(table, "e3", "r2", 3, 1, 1000); // of another shard
	EXPECT_EQ(1, credit_unaccounted(table, "r1", 1400, 500));
	credit_set_holding(table, "e2", "r1", 3, 4, 1400);
	EXPECT_EQ(0, credit_unaccounted(table, "r1", 1400, 500));
	credit_set_holding(table, "e2", "r1", 2, 4, 1400); // of an older epoch
	EXPECT_EQ(4, credit_unaccounted(table, "r1", 1400, 500));
	credit_set_holding(table, "e2", "r1", 3, 4, 1400);
	EXPECT_EQ(4, credit_unaccounted(table, "r1", 1901, 500)); // too old
}

void
NoteIdle(const struct credit_worker *, struct credit_amount a, void *ctx)
{
	static_cast<std::vector<int> *>(ctx)->push_back(a.slots);
}

TEST_F(Credit, IdleIsTheMinimumOfTheSpareCredits)
{
	std::vector<int> idle;
	uint64_t epoch = 0;

	Issue(3, 0);
	credit_idle(
	    table, NoteIdle, &idle); // nothing known before the first issue
	EXPECT_TRUE(idle.empty());
	credit_take(table, "w1", CREDIT_CALL, &epoch);
	credit_take(table, "w1", CREDIT_CALL, &epoch);
	credit_release(table, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	credit_idle(table, NoteIdle, &idle);
	credit_idle(table, NoteIdle, &idle);
	EXPECT_EQ((std::vector<int>{ 6, 7 }), idle);
}

} // namespace

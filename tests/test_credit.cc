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
		book = credit_open(&o);
		o.self = "e2";
		o.incarnation = 9;
		peer = credit_open(&o);
	}
	void
	TearDown() override
	{
		credit_close(book);
		credit_close(peer);
	}
	enum credit_error
	Mint(uint64_t epoch, int used_slots)
	{
		return credit_issue(book, "w1", "r1", epoch, { 8, 64 },
		    { used_slots, used_slots });
	}
	const struct credit_worker *
	Row()
	{
		return credit_find(book, "w1");
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
	struct credit_table *book = nullptr, *peer = nullptr;
	size_t stale = 0;
};

TEST_F(Credit, MintsOnceAnEpochWhatTheFenceLeaves)
{
	EXPECT_EQ(CREDIT_ERR_INVALID, Mint(0, 0));
	EXPECT_EQ(CREDIT_OK, Mint(3, 5));
	EXPECT_EQ(3, Row()->spare.slots);
	EXPECT_EQ(59, Row()->spare.connections);
	EXPECT_EQ(CREDIT_ERR_ISSUED, Mint(3, 5));
	EXPECT_EQ(CREDIT_ERR_OLD_EPOCH, Mint(2, 0));
	EXPECT_EQ(3, credit_spare(book).slots);
	EXPECT_EQ(CREDIT_OK, Mint(4, 9)); // more than its capacity: nothing
	EXPECT_EQ(0, Row()->spare.slots);
}

// At the fence 5 old calls ran.  The endpoint then reports its total, in which
// new calls count as well; only what the total proves may be minted.
TEST_F(Credit, ReportsFreeWhatRanAtTheFence)
{
	struct credit_usage usage = { { 4, 4 }, false, { 0, 0 } };

	Mint(3, 5);
	EXPECT_EQ(CREDIT_OK, credit_report(book, "w1", 3, &usage));
	EXPECT_EQ(4, Row()->spare.slots);
	usage.used.slots = 8; // an older report comes late: nothing is lost
	credit_report(book, "w1", 3, &usage);
	EXPECT_EQ(4, Row()->spare.slots);
	usage.has_older = true; // all eight are new calls
	credit_report(book, "w1", 3, &usage);
	EXPECT_EQ(8, Row()->spare.slots);
	EXPECT_EQ(CREDIT_ERR_OLD_EPOCH, credit_report(book, "w1", 2, &usage));
}

TEST_F(Credit, TakesBothKindsAndReleases)
{
	uint64_t epoch = 0;

	EXPECT_EQ(CREDIT_ERR_UNKNOWN_WORKER,
	    credit_take(book, "w1", CREDIT_CALL, &epoch));
	Mint(3, 7);
	EXPECT_EQ(CREDIT_OK, credit_take(book, "w1", CREDIT_CALL, &epoch));
	EXPECT_EQ(3u, epoch);
	EXPECT_EQ(
	    CREDIT_ERR_EMPTY, credit_take(book, "w1", CREDIT_CALL, &epoch));
	EXPECT_EQ(CREDIT_OK, credit_take(book, "w1", CREDIT_WATCH, &epoch));
	credit_release(book, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	EXPECT_EQ(1, Row()->spare.slots);
	EXPECT_EQ(CREDIT_ERR_INVALID,
	    credit_release(book, "w1", 3, CREDIT_CALL, CREDIT_ENDED));
	credit_leaving(book, "w1", true);
	EXPECT_EQ(0, credit_spare(book).slots);
	EXPECT_EQ(
	    CREDIT_ERR_LEAVING, credit_take(book, "w1", CREDIT_WATCH, &epoch));
	EXPECT_FALSE(credit_forget(book, "w1"));
	credit_release(book, "w1", 3, CREDIT_WATCH, CREDIT_ENDED);
	EXPECT_TRUE(credit_forget(book, "w1"));
	EXPECT_EQ(0, credit_spare(book).slots);
}

// A caller's deadline passes while the endpoint still works.  The credit isn't
// free again until the next epoch's fence has counted what runs.
TEST_F(Credit, AbandonedCreditsAreLostUntilTheNextEpoch)
{
	uint64_t epoch = 0;

	Mint(3, 0);
	credit_take(book, "w1", CREDIT_CALL, &epoch);
	credit_release(book, "w1", 3, CREDIT_CALL, CREDIT_ABANDONED);
	EXPECT_EQ(7, Row()->spare.slots);
	EXPECT_EQ(1, credit_lost(book, "r1"));
	Mint(4, 0);
	EXPECT_EQ(8, Row()->spare.slots);
	EXPECT_EQ(0, credit_lost(book, "r1"));
}

TEST_F(Credit, OldUsesEndWithoutNewCredits)
{
	uint64_t epoch = 0;

	Mint(3, 0);
	credit_take(book, "w1", CREDIT_CALL, &epoch);
	Mint(4, 1);
	EXPECT_EQ(1, Row()->older.slots);
	credit_release(book, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	EXPECT_EQ(0, Row()->older.slots);
	EXPECT_EQ(7, Row()->spare.slots);
}

// A shard changed hands.  The endpoint refuses the calls that are under way on
// the former owner's credits one after the other; each refusal is the end of a
// call.  If that freed its credit, the next call would be refused as well, and
// so on until the new owner's credits come.
TEST_F(Credit, FencedCreditsStayVoidWhenTheirCallsEnd)
{
	struct credit_transfer t;
	uint64_t epoch = 0;

	Mint(3, 0);
	credit_take(book, "w1", CREDIT_CALL, &epoch);
	credit_take(book, "w1", CREDIT_CALL, &epoch);
	credit_give(book, "w1", &to, { 1, 1 }, &t);
	credit_fenced(book, "w1", 4);
	credit_release(book, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	EXPECT_EQ(0, Row()->spare.slots);
	credit_give_cancel(book, "e2", &t);
	EXPECT_EQ(0, Row()->spare.slots);
	Mint(4, 1);
	EXPECT_EQ(7, Row()->spare.slots);
	credit_release(book, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	EXPECT_EQ(7, Row()->spare.slots);
}

TEST_F(Credit, GiftsMoveOnceAndOnlyAsMeant)
{
	struct credit_transfer t;

	Mint(3, 0);
	EXPECT_EQ(CREDIT_ERR_EMPTY, credit_give(book, "w1", &to, { 9, 9 }, &t));
	ASSERT_EQ(CREDIT_OK, credit_give(book, "w1", &to, { 3, 3 }, &t));
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
	t.epoch = 4; // a new owner's credits void those of the former
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

// A shard was handed over; its former owner doesn't know the new epoch.  The
// endpoint refuses its call, which then gives its credit back.  Were that one
// used again, every later call here would be refused too, for good.
TEST_F(Credit, ARefusedEpochGivesNoCreditBack)
{
	uint64_t epoch;

	Mint(3, 0);
	credit_issue(book, "w2", "r1", 3, { 8, 64 }, { 0, 0 });
	credit_issue(book, "w3", "r2", 3, { 8, 64 }, { 0, 0 });
	ASSERT_EQ(CREDIT_OK, credit_take(book, "w1", CREDIT_CALL, &epoch));
	credit_fenced(book, "w1", 4);
	EXPECT_EQ(CREDIT_OK,
	    credit_release(book, "w1", 3, CREDIT_CALL, CREDIT_ENDED));
	EXPECT_EQ(0, Row()->spare.slots);
	EXPECT_EQ(0, credit_find(book, "w2")->spare.slots) << "same shard";
	EXPECT_EQ(8, credit_find(book, "w3")->spare.slots) << "another shard";
	EXPECT_EQ(8, credit_spare(book).slots);
	EXPECT_EQ(CREDIT_OK, Mint(4, 0));
	EXPECT_EQ(8, Row()->spare.slots);
}

TEST_F(Credit, UnsentGiftsComeBackAndDeadPeersAreCounted)
{
	struct credit_transfer t;
	uint64_t alive = 10;

	Mint(3, 0);
	credit_give(book, "w1", &to, { 3, 3 }, &t);
	credit_give_cancel(book, "e2", &t);
	EXPECT_EQ(8, Row()->spare.slots);
	EXPECT_EQ(0, credit_expire_peers(book, IsDead, &alive));
	credit_give(book, "w1", &to, { 3, 3 }, &t);
	credit_abandoned(book, "e2", "w1", 3, { 1, 1 });
	EXPECT_EQ(2, credit_expire_peers(book, IsDead, &alive));
	EXPECT_EQ(3, credit_lost(book, "r1"));
	credit_give(book, "w1", &to, { 1, 1 }, &t);
	struct credit_peer restarted = { "e2", 10 };
	credit_give(book, "w1", &restarted, { 1, 1 }, &t);
	EXPECT_EQ(0, credit_expire_peers(book, IsDead, &alive));
	EXPECT_EQ(4, credit_lost(book, "r1"));
	Mint(4, 0); // a gift of the former epoch can't be taken back
	credit_give_cancel(book, "e2", &t);
	EXPECT_EQ(8, Row()->spare.slots);
}

// A message with credits was refused or fell out of a queue.  Nobody is dead,
// so no grant tells; but what the borrowers state doesn't add up any more.
TEST_F(Credit, StatementsShowWhatWentMissing)
{
	struct credit_transfer t;
	uint64_t epoch = 0;

	Mint(3, 1);
	credit_take(book, "w1", CREDIT_CALL, &epoch);
	EXPECT_EQ(0, credit_unaccounted(book, "r1", 1000, 500));
	credit_give(book, "w1", &to, { 4, 4 }, &t);
	EXPECT_EQ(4, credit_unaccounted(book, "r1", 1000, 500)); // on its way
	credit_set_holding(book, "e2", "r1", 3, 3, 1000);
	credit_set_holding(book, "e3", "r2", 3, 1, 1000); // of another shard
	EXPECT_EQ(1, credit_unaccounted(book, "r1", 1400, 500));
	credit_set_holding(book, "e2", "r1", 3, 4, 1400);
	EXPECT_EQ(0, credit_unaccounted(book, "r1", 1400, 500));
	credit_set_holding(book, "e2", "r1", 2, 4, 1400); // of an older epoch
	EXPECT_EQ(4, credit_unaccounted(book, "r1", 1400, 500));
	credit_set_holding(book, "e2", "r1", 3, 4, 1400);
	EXPECT_EQ(4, credit_unaccounted(book, "r1", 1901, 500)); // too old
}

void
NoteIdle(const struct credit_worker *, struct credit_amount a, void *ctx)
{
	static_cast<std::vector<int> *>(ctx)->push_back(a.slots);
}

TEST_F(Credit, IdleIsWhatLaySpareAllTheTime)
{
	std::vector<int> idle;
	uint64_t epoch = 0;

	Mint(3, 0);
	credit_idle(book, NoteIdle, &idle); // nothing known before the mint
	EXPECT_TRUE(idle.empty());
	credit_take(book, "w1", CREDIT_CALL, &epoch);
	credit_take(book, "w1", CREDIT_CALL, &epoch);
	credit_release(book, "w1", 3, CREDIT_CALL, CREDIT_ENDED);
	credit_idle(book, NoteIdle, &idle);
	credit_idle(book, NoteIdle, &idle);
	EXPECT_EQ((std::vector<int>{ 6, 7 }), idle);
}

} // namespace

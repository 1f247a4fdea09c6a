#include <gtest/gtest.h>

extern "C" {
#include "listsync.h"
}

namespace {

constexpr int64_t kNow = 1000000;
constexpr int64_t kStepMs = 20;
// The users' interval of workers' reports, and their shortest bound on a
// change of the list.
constexpr int64_t kReportMs = 1100, kApplyMs = 4000;
constexpr int64_t kReportMaxMs = kReportMs + kReportMs / 5;

class ListSync : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		struct listsync_options options = { kReportMs, kApplyMs };

		listsync_init(&sync, &options);
		listsync_loaded(&sync, kNow, kNow - 60000, kNow);
	}

	bool
	Due(enum listsync_kind kind)
	{
		enum listsync_kind due;

		return listsync_due(&sync, &due, now) && due == kind;
	}

	struct listsync_call
	Begin(enum listsync_kind kind)
	{
		struct listsync_call call;

		listsync_begin(&sync, kind, &call, now);
		return call;
	}

	void
	Answer(const struct listsync_call &call)
	{
		if (listsync_use(&sync, &call))
			listsync_end(&sync, &call, LISTSYNC_COMPLETE, now);
		else
			listsync_end(&sync, &call, LISTSYNC_OUTDATED, now);
	}

	// Makes the calls that are due for this time.  They are answered after
	// answer_ms; a negative one: never.
	void
	Pass(int64_t for_ms, int64_t answer_ms)
	{
		struct listsync_call call;
		enum listsync_kind kind;

		for (int64_t end = now + for_ms; now < end; now += kStepMs) {
			while (!open.empty() && open.front().first <= now) {
				Answer(open.front().second);
				open.erase(open.begin());
			}
			if (!listsync_due(&sync, &kind, now))
				continue;
			listsync_begin(&sync, kind, &call, now);
			calls++;
			if (answer_ms < 0)
				hanging.push_back(call);
			else
				open.emplace_back(now + answer_ms +
					(kind == LISTSYNC_WATCH ?
						LISTSYNC_WATCH_MS :
						0),
				    call);
		}
	}

	int64_t now = kNow;
	int calls = 0;
	std::vector<std::pair<int64_t, struct listsync_call>> open;
	std::vector<struct listsync_call> hanging;
	struct listsync sync;
};

} // namespace

TEST_F(ListSync, ACompleteCallProvesWhatWorkersCouldReportBeforeIt)
{
	EXPECT_EQ(listsync_age_ms(&sync, now), kReportMaxMs + LISTSYNC_GAP_MS);
	now += 500;
	Answer(Begin(LISTSYNC_WATCH));
	EXPECT_EQ(listsync_age_ms(&sync, now), kReportMaxMs + LISTSYNC_GAP_MS);
	EXPECT_TRUE(listsync_is_fresh(&sync, now));
}

TEST_F(ListSync, NothingIsKnownBeforeTheFirstAnswer)
{
	struct listsync_options options = { kReportMs, kApplyMs };

	listsync_init(&sync, &options);
	EXPECT_EQ(listsync_age_ms(&sync, now), -1);
	EXPECT_FALSE(listsync_is_fresh(&sync, now));
}

TEST_F(ListSync, StaysFreshWhileTheStoreAnswers)
{
	for (int64_t answer_ms : { 0, 4, 300 }) {
		for (int i = 0; i < 200; i++) {
			Pass(100, answer_ms);
			EXPECT_TRUE(listsync_is_fresh(&sync, now));
		}
	}
}

// Guards against an age that passes the users' bound in a system at rest.
TEST_F(ListSync, TheAgeInServiceIsBelowTheUsersBound)
{
	const int64_t bound_ms = kApplyMs - 200;

	EXPECT_LE(listsync_age_max_ms(kReportMs, 300), bound_ms);
	EXPECT_LE(listsync_age_max_ms(1000, 300), bound_ms);
}

// Guards against a leader that learns nothing while its watch hangs.
TEST_F(ListSync, AReadIsMadeBesideAWatchThatHangs)
{
	Begin(LISTSYNC_WATCH);
	now += LISTSYNC_WATCH_MS + LISTSYNC_OVERDUE_MS - 1;
	EXPECT_FALSE(Due(LISTSYNC_READ));
	now++;
	ASSERT_TRUE(Due(LISTSYNC_READ));
	Answer(Begin(LISTSYNC_READ));
	EXPECT_EQ(listsync_age_ms(&sync, now), kReportMaxMs + LISTSYNC_GAP_MS);
	EXPECT_TRUE(Due(LISTSYNC_WATCH));
}

// Guards against the old state of a worker replacing a newer one.
TEST_F(ListSync, AnAnswerThatALaterCallHasOvertakenIsNotUsed)
{
	struct listsync_call watch = Begin(LISTSYNC_WATCH);
	now += LISTSYNC_WATCH_MS + LISTSYNC_OVERDUE_MS;
	struct listsync_call read = Begin(LISTSYNC_READ);

	ASSERT_TRUE(listsync_use(&sync, &read));
	EXPECT_FALSE(listsync_use(&sync, &watch));
	EXPECT_TRUE(listsync_use(&sync, &read));
}

// Guards against calls without a bound on a store that is silent.
TEST_F(ListSync, CallsWithoutAnAnswerAreBounded)
{
	Pass(20000, -1);
	EXPECT_EQ(calls, LISTSYNC_CALLS_MAX);
	for (auto &call : hanging)
		listsync_end(&sync, &call, LISTSYNC_FAILED, now);
	hanging.clear();
	EXPECT_TRUE(Due(LISTSYNC_READ));
}

// Guards against reads that slow each other down on a slow link until none is
// answered.
TEST_F(ListSync, NoReadIsMadeBesideOneThatIsAsSlowAsTheLast)
{
	listsync_want_read(&sync);
	now += LISTSYNC_RETRY_MS;
	struct listsync_call read = Begin(LISTSYNC_READ);
	now += 800;
	listsync_end(&sync, &read, LISTSYNC_COMPLETE, now);
	listsync_want_read(&sync);
	read = Begin(LISTSYNC_READ);
	now += 990;
	EXPECT_FALSE(Due(LISTSYNC_READ));
	now += 10;
	EXPECT_TRUE(Due(LISTSYNC_READ));
}

// Guards against a flood of reads where each watch fails at once.
TEST_F(ListSync, ReadsKeepAnInterval)
{
	int reads = 0;

	for (int i = 0; i < 1000; i++, now += 10) {
		enum listsync_kind kind;
		if (!listsync_due(&sync, &kind, now))
			continue;
		reads += kind == LISTSYNC_READ;
		struct listsync_call call = Begin(kind);
		if (kind == LISTSYNC_READ)
			Answer(call);
		else
			listsync_end(&sync, &call, LISTSYNC_HISTORY_LOST, now);
	}
	EXPECT_LE(reads, 10000 / LISTSYNC_RETRY_MS + 1);
	EXPECT_TRUE(listsync_is_fresh(&sync, now));
}

// Guards against starts on rooms that shrank while the store was away.
TEST_F(ListSync, GrowsOldWhileTheStoreIsAway)
{
	Pass(2000, 4);
	int64_t away_ms = now;

	Pass(kApplyMs, -1);
	EXPECT_FALSE(listsync_is_fresh(&sync, now));
	EXPECT_GT(listsync_age_ms(&sync, now), now - away_ms);
}

// Guards against a list that is taken for new as soon as the store is back,
// before the workers have reached it.
TEST_F(ListSync, IsFreshOnceWorkersHadTimeToReport)
{
	Pass(2000, 4);
	Pass(6000, -1);
	for (auto &call : hanging)
		listsync_end(&sync, &call, LISTSYNC_FAILED, now);
	Pass(kReportMaxMs + LISTSYNC_HUNG_MS - 100, 4);
	EXPECT_FALSE(listsync_is_fresh(&sync, now));
	Pass(800, 4);
	EXPECT_TRUE(listsync_is_fresh(&sync, now));
}

// Guards against a wait for workers whose calls failed at once, as ours did.
TEST_F(ListSync, IsFreshSoonerIfNoCallHung)
{
	Pass(2000, 4);
	for (int64_t end = now + 6000; now < end; now += LISTSYNC_RETRY_MS) {
		struct listsync_call call = Begin(LISTSYNC_READ);
		listsync_end(&sync, &call, LISTSYNC_FAILED, now + 4);
	}
	Pass(kReportMaxMs - 100, 4);
	EXPECT_FALSE(listsync_is_fresh(&sync, now));
	Pass(800, 4);
	EXPECT_TRUE(listsync_is_fresh(&sync, now));
}

// Guards against a next leader that starts tasks by a list that it reads right
// after the store is back.
TEST_F(ListSync, ANextLeaderGivesWorkersTimeToReport)
{
	struct listsync_options options = { kReportMs, kApplyMs };

	listsync_init(&sync, &options);
	listsync_loaded(&sync, now, now - 200, now);
	EXPECT_FALSE(listsync_is_fresh(&sync, now));
	Pass(kReportMaxMs + LISTSYNC_HUNG_MS - 300, 4);
	EXPECT_FALSE(listsync_is_fresh(&sync, now));
	Pass(800, 4);
	EXPECT_TRUE(listsync_is_fresh(&sync, now));
}

// Guards against entries that a failing store keeps workers from rewriting,
// while some calls of the leader get through.
TEST_F(ListSync, AFailedReadProvesThatWorkersMayHaveFailedToo)
{
	Pass(3000, 4);
	int64_t known_ms = sync.known.at_ms;

	listsync_want_read(&sync);
	for (int i = 0; i < 8; i++) {
		now += LISTSYNC_RETRY_MS;
		struct listsync_call read = Begin(LISTSYNC_READ);
		if (i % 2 == 0)
			listsync_end(&sync, &read, LISTSYNC_FAILED, now);
		else
			Answer(read);
	}
	EXPECT_EQ(sync.known.at_ms, known_ms);
}

// Guards against a list of which only the first page is new.
TEST_F(ListSync, AReadThatFailsAfterItsFirstPageIsMadeAgain)
{
	now += LISTSYNC_RETRY_MS;
	struct listsync_call read = Begin(LISTSYNC_READ);

	ASSERT_TRUE(listsync_use(&sync, &read));
	listsync_continue(&sync, &read, now);
	listsync_end(&sync, &read, LISTSYNC_FAILED, now);
	EXPECT_EQ(sync.away_ms, read.begun_ms);
	now += LISTSYNC_RETRY_MS;
	EXPECT_TRUE(Due(LISTSYNC_READ));
}

// Guards against changes that a failed watch has lost.
TEST_F(ListSync, AFailedWatchIsFollowedByARead)
{
	struct listsync_call watch = Begin(LISTSYNC_WATCH);

	listsync_end(&sync, &watch, LISTSYNC_FAILED, now);
	now += 20;
	EXPECT_TRUE(Due(LISTSYNC_READ));
}

// Guards against a watch that confirms a list with a gap.
TEST_F(ListSync, AWatchProvesNothingWhileAReadIsWanted)
{
	int64_t known_ms = sync.known.at_ms;
	struct listsync_call watch = Begin(LISTSYNC_WATCH);

	listsync_want_read(&sync);
	now += 1000;
	Answer(watch);
	EXPECT_EQ(sync.known.at_ms, known_ms);
}

// Guards against a leader that never starts anything where the bound is
// shorter than what the store and the workers need.
TEST_F(ListSync, AShortBoundStopsNothingWhileTheStoreAnswers)
{
	struct listsync_options options = { kReportMs, 500 };

	listsync_init(&sync, &options);
	listsync_loaded(&sync, now, 0, now);
	Pass(5000, 300);
	EXPECT_TRUE(listsync_is_fresh(&sync, now));
}

TEST(ListsyncEntry, TheUsersBoundCountsUnlessEntriesComeLater)
{
	struct listsync_options options = { kReportMs, kApplyMs };

	EXPECT_EQ(listsync_entry_max_ms(&options), kApplyMs - 200);
	options.apply_ms = 500;
	EXPECT_EQ(listsync_entry_max_ms(&options),
	    kReportMs + kReportMs / 5 + LISTSYNC_WATCH_MS +
		LISTSYNC_OVERDUE_MS + LISTSYNC_RETRY_MS + 300);
}

#include "handover_fixture.h"

// The worker of a lasting task ends without a sign.  One leader all the while:
// the task is back once the worker's lease is surely over.
TEST_F(Handover, ALastingTaskIsBackAfterItsLease)
{
	int64_t away;

	RunOnFirst(2);
	AddWorker("second");
	Pass(1000);
	WorkerGone("first");
	away = PassUntilRunning(2, 2 * kAwayMax);
	EXPECT_LT(away, kLease + 1500);
	EXPECT_EQ(doubles, 0);
}

// Callers of a lasting task find nobody for ten seconds and more, with half
// of the room free.  Its worker leaves; before the worker's lease is surely
// over, the leader is replaced, as entries are restarted one after the other.
// Each new leader can't know when the lease was last renewed and counted it
// from its own beginning.  Seen in the logs: all that waited started together,
// two seconds and a lease into the last term, under "unsettled" workers that
// hadn't answered it once.
TEST_F(Handover, ALastingTaskIsBackThoughLeadersFollowEachOther)
{
	int64_t away;

	RunOnFirst(2);
	ASSERT_EQ(accepted, 1);
	ASSERT_EQ(workers["first"].runs.size(), 2u);
	AddWorker("second");
	Pass(1000);
	WorkerGone("first");
	away = PassUntilRunning(2, 2 * kAwayMax, [this](int64_t past) {
		if (past > 0 && past % 2000 == 0)
			Restart();
	});
	EXPECT_LT(away, kAwayMax);
	EXPECT_EQ(doubles, 0);
}

// All entries lose power at once, so that nobody is left who heard what the
// leader had learnt of fillers.  The next leader finds it in the store; without
// it serving tasks are late for seconds while it learns anew.
TEST_F(Handover, WhatWasLearntOutlastsAllEntries)
{
	RunOnFirst(1);
	Pass(1000);
	ASSERT_EQ(items.count("lp/learnt"), 1u);
	Put("lp/learnt", "[[\"web\",\"rebuild\",4.5],[\"web\"],7]");
	Restart();
	Pass(4000);
	EXPECT_EQ(items["lp/learnt"].value, "[[\"web\",\"rebuild\",4.5]]");
}

// A record of another writer, or one that can't be read, teaches nothing and
// holds nobody up.
TEST_F(Handover, ARecordOfWhatWasLearntThatCantBeReadIsPassedOver)
{
	RunOnFirst(1);
	Pass(1000);
	Put("lp/learnt", "1");
	Restart();
	Pass(4000);
	EXPECT_EQ(items["lp/learnt"].value, "[]");
	EXPECT_EQ(Running(), 1u);
}

// Callers see their job go on after a restart of all entries, though another
// writer has put entries of its own under our keys meanwhile: a job that can't
// be read, one with another job's name, progress that says what nobody said,
// rows of the record that name no worker.  Each was taken for ours, or ended
// the process that read it.
TEST_F(Handover, EntriesOfOtherWritersEndNoTakeover)
{
	RunOnFirst(2);
	ASSERT_EQ(Running(), 2u);
	std::string record = items["lp/workers"].value;
	ASSERT_EQ(record.front(), '[');
	Close();
	Put("lp/workers",
	    "[7,[1,2],[\"x\"],[\"\",\"\"],[\"y\",\"z\",-1,[[\"j\"]],-5]," +
		record.substr(1));
	Put("lp/j/foreign", "{\"id\":\"foreign\",\"steps\":7}");
	Put("lp/j/other", items["lp/j/job"].value);
	Put("lp/j/empty", "");
	Put("lp/p/foreign", "[]");
	Put("lp/p/job", "{\"done\":[[0,0,1.5]],\"steps\":[[0,0]]}");
	Put("lp/e/foreign", "{\"state\":7}");
	Put("w/foreign", "not a worker");
	Open();
	Pass(4000);
	EXPECT_EQ(Running(), 2u);
	EXPECT_EQ(doubles, 0);
	EXPECT_LT(longest_away, 1000);
	EXPECT_EQ(workers["foreign"].runs.size(), 0u);
}

// The record of workers itself can't be read.  A worker that only it named may
// run tasks until its lease is over, so these wait that long and no longer.
TEST_F(Handover, AnUnreadableRecordHoldsTasksForALease)
{
	int64_t away;

	RunOnFirst(2);
	Pass(1000);
	CutOff("first");
	Close();
	Put("lp/workers", "{");
	AddWorker("second");
	Open();
	for (away = 0; away < 2 * kAwayMax && workers["second"].runs.size() < 2;
	     away += kStep)
		Step();
	EXPECT_EQ(doubles, 0);
	EXPECT_GE(away, kLease);
	EXPECT_LT(away, kAwayMax);
}

// The record of the leader can't be read: another writer has replaced it.  The
// entries that start next still find one to lead them.
TEST_F(Handover, AnUnreadableLeaderIsReplaced)
{
	RunOnFirst(2);
	Close();
	Put("lp/leader", "\xff\xfe");
	Open();
	Pass(8000);
	EXPECT_EQ(Running(), 2u);
	EXPECT_EQ(doubles, 0);
	EXPECT_NE(items["lp/leader"].value.find("\"term\""), std::string::npos);
}

// The same, but the worker was only cut off and runs the tasks until its
// lease is over: nothing may be started elsewhere before.
TEST_F(Handover, NothingRunsTwiceThoughLeadersFollowEachOther)
{
	RunOnFirst(2);
	ASSERT_EQ(workers["first"].runs.size(), 2u);
	AddWorker("second");
	Pass(1000);
	CutOff("first");
	for (int64_t past = 0;
	     past < 2 * kAwayMax && workers["second"].runs.size() < 2;
	     past += kStep) {
		if (past > 0 && past % 1500 == 0)
			Restart();
		Step();
	}
	EXPECT_EQ(workers["second"].runs.size(), 2u);
	EXPECT_EQ(doubles, 0);
}

// The store is down, and callers of lasting tasks still find them: while all
// entries follow the leader none can have replaced it, and it renews leases.
TEST_F(Handover, AnOutageOfTheStoreEndsNoLeases)
{
	AddWorker("first");
	Open();
	Pass(1500);
	Open("e2");
	Pass(1500);
	Submit("job", 2);
	Pass(1000);
	ASSERT_EQ(Running(), 2u);
	store_down = true;
	Pass(2 * kLease);
	EXPECT_EQ(Running(), 2u);
}

// The store is down for the leader, and one entry is heard no more.  That one
// may have the store and lead by now; it takes leases of workers that it can't
// reach for over in time.  A leader that went on renewing them would let tasks
// run twice, and callers get two answers of one task.
TEST_F(Handover, ALeaderThatMayBeReplacedRenewsNothing)
{
	struct node *lost;

	AddWorker("first");
	Open();
	Pass(1500);
	Open("e2");
	lost = Open("e3");
	Pass(1500);
	Submit("job", 2);
	Pass(1000);
	ASSERT_EQ(Running(), 2u);
	store_down = true;
	Pass(1500);
	ASSERT_EQ(Running(), 2u);
	Kill(lost);
	Pass(2000 + kLease * 103 / 100);
	EXPECT_EQ(Running(), 0u);
}

// Callers of lasting tasks find nobody for ten seconds and more.  Workers are
// replaced one after the other, and so are the entries.  Each new leader finds
// some worker that has just left; it can't tell what ran there, and held every
// task back that no worker listed, also those whose own worker had lapsed.
// Seen in the logs: worker_lapsed for the task's worker, and its start only
// once "unsettled" fell to 0, eight seconds later.
TEST_F(Handover, LastingTasksAreBackWhileWorkersKeepLeaving)
{
	int entries = 3;

	turn_ms = kStep / 4;
	Open("e1");
	Pass(1500);
	Open("e2");
	Open("e3");
	FillWorkers();
	Pass(2000);
	ReplaceWorkers([&](int64_t past) {
		if (past % 2000 == 0) {
			CloseLeft();
			Open(("e" + std::to_string(++entries)).c_str());
		}
		if (past % 2000 == 1000)
			Leave();
	});
	EXPECT_LT(longest_away, kAwayMax);
	EXPECT_EQ(Running(), kWorkers);
	EXPECT_EQ(doubles, 0);
	EXPECT_EQ(starts_draining, 0);
}

// The same, but the leaders are killed one after the other: the next one must
// reckon with what the last may still do, and each time nobody leads for most
// of a second.  The tasks come back all the same.
TEST_F(Handover, LastingTasksComeBackThoughLeadersAreKilled)
{
	constexpr int64_t kFormer = 1600, kNobody = 750, kKills = 5;

	Open();
	Pass(1500);
	FillWorkers();
	ReplaceWorkers([&](int64_t past) {
		if (past % 2000 == 1000)
			Restart();
	});
	EXPECT_LT(
	    longest_away, kFormer + kLease * 103 / 100 + kKills * kNobody);
	EXPECT_EQ(Running(), kWorkers);
	EXPECT_EQ(doubles, 0);
	EXPECT_EQ(starts_draining, 0);
}

// An entry that can't hear the new leader stores a job and tells the former
// one, which starts it on a worker that only the new one can't reach.  The new
// leader finds the job in the store long after that; it must still wait for
// that worker, or the caller's task runs twice.
TEST_F(Handover, AJobStoredWhileAFormerLeaderMayActWaits)
{
	std::string text;
	int64_t began;

	RunOnFirst(1);
	ASSERT_EQ(accepted, 1);
	text = items["lp/j/job"].value;
	CutOff("first");
	began = clock_now_ms();
	Restart();
	AddWorker("second");
	Pass(900);
	// The other entry's job, alike but for its name.
	text.replace(text.find(":\"job\"") + 2, 3, "two");
	Put("lp/j/two", text);
	while (workers["second"].runs.count("two.0") == 0 &&
	    clock_now_ms() < began + 2 * kAwayMax)
		Step();
	EXPECT_GE(clock_now_ms(), began + kLease);
	EXPECT_LT(clock_now_ms(), began + 2 * kAwayMax);
}

// Rows of the record that an earlier leader left, and another that knew no
// such rows didn't write again, may be out of date: they hold for nobody.
TEST_F(Handover, RowsOfAnEarlierTermArentTrusted)
{
	int64_t began;

	RunOnFirst(1);
	ASSERT_EQ(workers["first"].runs.size(), 1u);
	AddWorker("second");
	Pass(1000);
	Close();
	CutOff("first");
	Put("lp/workers", "[[\"first\",\"\",0,[],0],[\"second\",\"\"]]");
	began = clock_now_ms();
	Open();
	while (workers["second"].runs.empty() &&
	    clock_now_ms() < began + 2 * kAwayMax)
		Step();
	EXPECT_GE(clock_now_ms(), began + kLease - 1500);
	EXPECT_EQ(doubles, 0);
}

// The same rows of the last leader hold: the task starts at once.
TEST_F(Handover, RowsOfTheLastTermAreTrusted)
{
	RunOnFirst(1);
	AddWorker("second");
	Pass(1000);
	Close();
	WorkerGone("first");
	Put("lp/workers",
	    "[[\"first\",\"\",1,[[\"job\",0,0,0]],300],"
	    "[\"second\",\"\"]]");
	Open();
	Pass(1500);
	EXPECT_EQ(workers["second"].runs.size(), 1u);
}

// Callers of a lasting task find nobody for over eight seconds, with a worker
// free for it.  Its worker says four seconds ahead when it leaves, but there is
// no room to move the task to until then.  The leader is killed as the worker
// goes, so that the next one can't know when the lease was last renewed: it
// waited for a former leader, a whole lease and a margin, 6.9 s, though nothing
// ran there any more.  Seen in the record of workers: no time left for a worker
// that was known to leave.
TEST_F(Handover, ATaskIsBackSoonAfterADepartureThatWasAnnounced)
{
	constexpr int64_t kNotice = 4000, kNobody = 1000;

	Open();
	Pass(1500);
	FillWorkers();
	Drain("w0", kNotice);
	Pass(kNotice);
	WorkerGone("w0");
	AddWorker("new");
	Pass(200);
	Close();
	Pass(kNobody);
	Open();
	PassUntilRunning(kWorkers, 2 * kAwayMax);
	EXPECT_EQ(Running(), kWorkers);
	EXPECT_LT(longest_away, kAwayCounts);
	EXPECT_EQ(doubles, 0);
}

// The same without a change of the leader.  The worker stays for seconds longer
// than it said; its task works on all the while.
TEST_F(Handover, AWorkerThatStaysLongerThanItSaidKeepsItsTask)
{
	constexpr int64_t kNotice = 4000, kLonger = 6000;

	Open();
	Pass(1500);
	FillWorkers();
	Drain("w0", kNotice);
	Pass(kNotice + kLonger);
	EXPECT_EQ(Running(), kWorkers);
	EXPECT_LT(longest_away, kStep);
	WorkerGone("w0");
	AddWorker("new");
	PassUntilRunning(kWorkers, 2 * kAwayMax);
	EXPECT_LT(longest_away, kLease);
	EXPECT_EQ(doubles, 0);
}

// Callers wait twice as long for their jobs until the end of the day.  A weak
// entry leads, as the strong ones were away or slower when the lead was free,
// and its processor and link can't follow what workers tell.  It hands over
// once a stronger one has been heard for a while.
TEST_F(Handover, AWeakLeaderHandsOverToAStrongerMember)
{
	AddWorker("first");
	Open("weak", 0.12);
	Pass(1500);
	Submit("job", 2);
	Pass(1000);
	ASSERT_EQ(Running(), 2u);
	ASSERT_NE(items["lp/leader"].value.find("weak"), std::string::npos);
	Open("strong", 0.5);
	Pass(6000);
	EXPECT_NE(items["lp/leader"].value.find("strong"), std::string::npos);
	EXPECT_EQ(Running(), 2u);
	EXPECT_LT(longest_away, kStep);
	EXPECT_EQ(doubles, 0);
}

// One that is hardly stronger is no reason for a change.
TEST_F(Handover, ALeaderStaysBesideOneThatIsHardlyStronger)
{
	AddWorker("first");
	Open("one", 0.24);
	Pass(1500);
	Submit("job", 1);
	Open("other", 0.25);
	Pass(6000);
	EXPECT_NE(items["lp/leader"].value.find("one"), std::string::npos);
	EXPECT_EQ(Running(), 1u);
}

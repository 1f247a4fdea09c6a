#include "handover_fixture.h"

namespace {

constexpr int64_t kTaskMs = 1000, kTaskCpu = 2000, kShrunkCpu = 3000;
// More than both workers can run in any of these tests.
constexpr uint32_t kTasks = 400;

// Three entries, and workers that always have tasks waiting for room.
class WorkerList : public Handover {
      protected:
	void
	Begin()
	{
		AddWorker("a");
		AddWorker("b");
		Open("e1");
		Pass(1500);
		Open("e2");
		Open("e3");
		Pass(3000);
		Submit("job", kTasks, kTaskCpu, kTaskMs);
		Pass(550);
		ASSERT_EQ(Running(), 4 * workers.size());
	}

	size_t
	DoneAnywhere() const
	{
		size_t n = 0;

		for (auto &[id, worker] : workers)
			n += worker.last_end;
		return n;
	}

	// The store is away while one room shrinks; then it is back.
	void
	ShrinkWhileAway(bool &away, int64_t away_ms)
	{
		Begin();
		away = true;
		Pass(200);
		SetCpu("a", kShrunkCpu);
		Pass(away_ms - 200);
		away = false;
	}

	// Tasks are started again within this time, on the room that is left.
	void
	ExpectStartsAgain(int64_t within_ms)
	{
		Pass(within_ms);
		size_t before = DoneAnywhere();
		Pass(3000);
		EXPECT_GE(DoneAnywhere(), before + 8);
		EXPECT_LT(DoneAnywhere(), kTasks);
		EXPECT_EQ(starts_over_room, 0);
		EXPECT_EQ(duplicate_runs, 0);
	}
};

class WorkerListAway : public WorkerList,
		       public ::testing::WithParamInterface<int64_t> {};

// Workers tell when they wrote their entries.
class WorkerEntries : public WorkerList {
      protected:
	void
	SetUp() override
	{
		entries_tell_time = true;
		WorkerList::SetUp();
	}
};

class WorkerEntriesAway : public WorkerEntries,
			  public ::testing::WithParamInterface<int64_t> {};

} // namespace

// Guards against a leader that learns of no change while a watch hangs.
TEST_F(WorkerList, ARoomThatShrinksWhileAWatchHangsIsKnownInTime)
{
	Begin();
	clients["e1"].watch_hangs = true;
	Pass(300);
	SetCpu("a", kShrunkCpu);
	Pass(4000);
	ExpectStartsAgain(0);
	ExpectStartsAgain(2000);
}

// Guards against starts by a list that the store can't bring up to date.
TEST_P(WorkerListAway, NothingStartsOnRoomThatShrankWhileTheStoreIsSilent)
{
	ShrinkWhileAway(store_silent, GetParam());
	ExpectStartsAgain(3500);
}

TEST_P(WorkerListAway, NothingStartsOnRoomThatShrankWhileTheStoreIsDown)
{
	ShrinkWhileAway(store_down, GetParam());
	ExpectStartsAgain(3500);
}

INSTANTIATE_TEST_SUITE_P(
    Ms, WorkerListAway, ::testing::Values(1000, 2000, 4000, 9000, 20000));

// Guards against starts by an entry that its worker couldn't replace, though
// the store answers all reads.
TEST_F(WorkerEntries, ARoomThatShrinksWhileTheWorkersWritesAreLost)
{
	Begin();
	workers["a"].reports_to_lose = 6;
	SetCpu("a", kShrunkCpu);
	Pass(9000);
	EXPECT_EQ(starts_over_room, 0);
	ExpectStartsAgain(1000);
}

TEST_F(WorkerEntries, OtherWorkersAreUsedWhileOneCantWrite)
{
	Begin();
	workers["a"].reports_to_lose = 20;
	Pass(6000);
	size_t before = workers["b"].last_end;
	Pass(5000);
	EXPECT_GE(workers["b"].last_end, before + 12);
	EXPECT_TRUE(workers["a"].runs.empty());
}

TEST_P(WorkerEntriesAway, NothingStartsOnRoomThatShrankWhileTheStoreIsSilent)
{
	ShrinkWhileAway(store_silent, GetParam());
	ExpectStartsAgain(2000);
}

TEST_P(WorkerEntriesAway, NothingStartsOnRoomThatShrankWhileTheStoreIsDown)
{
	ShrinkWhileAway(store_down, GetParam());
	ExpectStartsAgain(2000);
}

TEST_F(WorkerEntries, WorkGoesOnThroughAnOutageShorterThanTheBound)
{
	Begin();
	store_down = true;
	Pass(2000);
	store_down = false;
	size_t before = DoneAnywhere();
	Pass(2000);
	EXPECT_GE(DoneAnywhere(), before + 14);
}

INSTANTIATE_TEST_SUITE_P(Ms, WorkerEntriesAway, ::testing::Values(9000));

// Guards against a list that is taken for new when the store is back, but
// wasn't brought up to date by the workers yet.
TEST_F(WorkerList, RoomThatShrinksAndGrowsWhileTheStoreIsAway)
{
	Begin();
	store_down = true;
	Pass(200);
	SetCpu("a", kShrunkCpu);
	Pass(1000);
	SetCpu("a", kWorkerCpu);
	Pass(1000);
	SetCpu("a", 0);
	Pass(4000);
	store_down = false;
	Pass(200);
	SetCpu("a", kShrunkCpu);
	ExpectStartsAgain(3500);
}

// Guards against a next leader that takes a list for new that it has just read.
TEST_F(WorkerList, ANextLeaderKnowsNoMoreThanTheWorkersCouldReport)
{
	Begin();
	store_silent = true;
	Pass(200);
	SetCpu("a", kShrunkCpu);
	Pass(5000);
	Kill(nodes.front());
	Pass(1000);
	store_silent = false;
	ExpectStartsAgain(9000);
}

// Guards against a leader that starts by its old list, or nothing, while the
// store rejects it and serves the others.
TEST_F(WorkerList, ARejectedLeaderIsReplacedBeforeItsListIsOld)
{
	Begin();
	clients["e1"].rejected = true;
	Pass(200);
	SetCpu("a", kShrunkCpu);
	ExpectStartsAgain(4000);
	ExpectStartsAgain(2000);
}

// Guards against a leader that goes on to lead, and starts nothing, as its
// writes are answered and its reads are not.
TEST_F(WorkerList, ALeaderWhoseReadsHangHandsOver)
{
	Begin();
	clients["e1"].reads_hang = true;
	Pass(200);
	SetCpu("a", kShrunkCpu);
	ExpectStartsAgain(6000);
}

// Guards against work that waits though its worker refuses by itself.
TEST_F(WorkerList, WorkersThatGuardTheirRoomAreUsedWhileTheStoreIsAway)
{
	AddWorker("guards");
	workers["guards"].guards_room = true;
	Begin();
	store_down = true;
	Pass(200);
	SetCpu("a", kShrunkCpu);
	SetCpu("guards", kShrunkCpu);
	Pass(4000);
	size_t before = workers["guards"].last_end;
	Pass(6000);
	EXPECT_GE(workers["guards"].last_end, before + 3);
	store_down = false;
	ExpectStartsAgain(3500);
}

// Guards against leases that lapse, and ends that are lost, as nothing starts.
TEST_F(WorkerList, WhatRunsGoesOnWhileNothingStarts)
{
	AddWorker("a");
	Open("e1");
	Pass(1500);
	Open("e2");
	Open("e3");
	Pass(3000);
	Submit("lasting", 2);
	Pass(1000);
	ASSERT_EQ(Running(), 2u);
	store_down = true;
	Pass(12000);
	EXPECT_EQ(Running(), 2u);
	EXPECT_LT(longest_absence_ms, 1000);
	store_down = false;
	Pass(3000);
	EXPECT_EQ(Running(), 2u);
}

#include "handover_fixture.h"

namespace {

constexpr int64_t kTaskMs = 500, kTaskCpu = 2000;
constexpr uint32_t kTasks = 600;

// Entries and two workers, of which one is in a data centre that is closed.
class ClosedDataCenter : public Handover {
      protected:
	void
	SetUp() override
	{
		closure_apply_ms = 5000;
		Handover::SetUp();
	}

	void
	Begin()
	{
		workers["there"].data_center = "there";
		AddWorker("here");
		AddWorker("there");
		Open("e1");
		Pass(1500);
		Open("e2");
		Open("e3");
		Pass(2000);
		Submit("job", kTasks, kTaskCpu, kTaskMs);
		Pass(550);
		ASSERT_EQ(workers["there"].runs.size(), 4u);
	}

	// Starts on a worker within this time.
	uint64_t
	DoneOn(const std::string &id, int64_t within_ms)
	{
		uint64_t before = workers[id].last_end;

		Pass(within_ms);
		return workers[id].last_end - before;
	}
};

} // namespace

// Guards against a closing that only a watch would tell.
TEST_F(ClosedDataCenter, ClosedAndOpenedWhileTheWatchHangs)
{
	Begin();
	clients["e1"].watch_hangs = true;
	CloseDataCenter("there");
	Pass(2000);
	EXPECT_EQ(DoneOn("there", 1500), 0u);
	EXPECT_GE(DoneOn("here", 1500), 8u);
	OpenDataCenter("there");
	Pass(2000);
	EXPECT_GE(DoneOn("there", 1500), 8u);
	EXPECT_EQ(starts_closed, 0);
}

// Guards against a next leader that knows less than the one before.
TEST_F(ClosedDataCenter, TheLeaderIsKilledAMomentAfterTheClosing)
{
	Begin();
	CloseDataCenter("there");
	Pass(100);
	Kill(nodes.front());
	Pass(6000);
	EXPECT_EQ(DoneOn("there", 1500), 0u);
	EXPECT_GE(DoneOn("here", 1500), 8u);
	EXPECT_EQ(starts_closed, 0);
}

// Guards against a leader that knows nothing new, as the store rejects it.
TEST_F(ClosedDataCenter, TheStoreRejectsTheLeader)
{
	Begin();
	clients["e1"].rejected = true;
	Pass(500);
	CloseDataCenter("there");
	Pass(5000);
	EXPECT_EQ(DoneOn("there", 1500), 0u);
	EXPECT_GE(DoneOn("here", 1500), 8u);
	EXPECT_EQ(starts_closed, 0);
}

// Guards against starts while no entry can know what was closed since.
TEST_F(ClosedDataCenter, NothingStartsOnceAllEntriesKnowTooLittle)
{
	Begin();
	for (auto &[id, client] : clients)
		client.rejected = true;
	Pass(500);
	CloseDataCenter("there");
	Pass(7000);
	EXPECT_EQ(starts_closed, 0);
	for (auto &[id, client] : clients)
		client.rejected = false;
	Pass(5000);
	EXPECT_GE(DoneOn("here", 1500), 8u);
	EXPECT_EQ(DoneOn("there", 500), 0u);
	EXPECT_EQ(starts_closed, 0);
}

// Guards against a closing that is on a later page of a read.
TEST_F(ClosedDataCenter, ReadsOfSeveralPagesTellAll)
{
	Begin();
	page = 1;
	CloseDataCenter("a-third");
	CloseDataCenter("there");
	Pass(2000);
	EXPECT_EQ(DoneOn("there", 1500), 0u);
	EXPECT_GE(DoneOn("here", 1500), 8u);
	OpenDataCenter("there");
	Pass(2000);
	EXPECT_GE(DoneOn("there", 1500), 8u);
}

// Guards against entries that start anew by what they knew before.
TEST_F(ClosedDataCenter, AllEntriesRestart)
{
	Begin();
	CloseDataCenter("there");
	Pass(1000);
	Close();
	Pass(1000);
	Open("e1");
	Pass(6000);
	EXPECT_EQ(DoneOn("there", 1500), 0u);
	EXPECT_GE(DoneOn("here", 1500), 8u);
	EXPECT_EQ(starts_closed, 0);
}

// Guards against jobs that are taken and wait for a data centre to open.
TEST_F(ClosedDataCenter, WhereAllAreClosedJobsAreRefusedAtOnce)
{
	Begin();
	int accepted_before = accepted;
	CloseDataCenter("here");
	CloseDataCenter("there");
	Pass(1500);
	Submit("late", 1, kTaskCpu, kTaskMs);
	Pass(200);
	EXPECT_EQ(refused, 1);
	EXPECT_GT(retry_after_ms, 0);
	EXPECT_EQ(accepted, accepted_before);
	OpenDataCenter("here");
	Pass(1500);
	Submit("later", 1, kTaskCpu, kTaskMs);
	Pass(500);
	EXPECT_EQ(accepted, accepted_before + 1);
}

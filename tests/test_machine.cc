#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "platform/stand/machine.h"
}

namespace {

constexpr int64_t kLeaseMs = 6000;
constexpr int64_t kStopMs = 200;
constexpr int64_t kNow = 100000;
const char *const kTask = "5c0e7a21d94b36f8.0.1.17";
const char *const kPayload = "100 64 50;2000 512 1500";

// The stand-in for workers implements the platform's worker protocol: leases,
// fencing tokens and numbered ends ensure that a task never runs twice.
class Machine : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		struct witness_options witness = {};
		struct machine_options options = {};

		witness.tasks_max = 100;
		witness_ = witness_open(&witness);
		options.id = "worker-1";
		options.cpu_millis = 5000;
		options.memory_mib = 1024;
		options.lease_max_ms = kLeaseMs;
		options.stop_ms = kStopMs;
		options.witness = witness_;
		machine_ = machine_open(&options);
	}

	void
	TearDown() override
	{
		machine_close(machine_);
		witness_close(witness_);
	}

	enum machine_answer
	Start(int64_t now_ms, int64_t attempt = 1, uint64_t token = 1,
	    const char *task = kTask, const char *payload = kPayload,
	    const char *checkpoint = "", int64_t deadline_ms = 0)
	{
		struct machine_start_order order = {};

		order.task = task;
		order.attempt = attempt;
		order.payload = payload;
		order.checkpoint = checkpoint;
		order.deadline_ms =
		    deadline_ms != 0 ? deadline_ms : now_ms + 5000;
		order.token = token;
		return machine_start(machine_, &order, now_ms);
	}

	enum machine_answer
	Hold(int64_t now_ms, uint64_t acknowledged = 0, int64_t deadline_ms = 0,
	    uint64_t token = 1)
	{
		struct machine_hold_order order = {};

		order.token = token;
		order.acknowledged = acknowledged;
		order.deadline_ms = deadline_ms;
		return machine_hold(machine_, &order, now_ms);
	}

	static void
	AddEnd(const struct machine_end *end, void *ctx)
	{
		static_cast<std::vector<std::string> *>(ctx)->push_back(
		    std::to_string(end->number) + " " + end->how + " " +
		    std::to_string(end->saved_ms));
	}

	std::vector<std::string>
	Ends(int64_t now_ms)
	{
		std::vector<std::string> ends;

		machine_step(machine_, now_ms);
		machine_foreach_end(machine_, 500, AddEnd, &ends);
		return ends;
	}

	struct witness *witness_ = nullptr;
	struct machine *machine_ = nullptr;
};

using Rows = std::vector<std::string>;

} // namespace

TEST_F(Machine, AnEndIsToldUntilItIsAcknowledged)
{
	EXPECT_EQ(Start(kNow), MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 1499), Rows());
	EXPECT_EQ(Ends(kNow + 1500), Rows{ "1 done 1000" });
	EXPECT_EQ(Hold(kNow + 1600), MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 1600), Rows{ "1 done 1000" });
	EXPECT_EQ(Hold(kNow + 1700, 1), MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 1700), Rows());
	EXPECT_EQ(machine_last_unacked_end(machine_), 0u);
}

TEST_F(Machine, AStartThatIsThereAlreadyIsAnsweredAgain)
{
	EXPECT_EQ(Start(kNow), MACHINE_OK);
	EXPECT_EQ(Start(kNow + 10), MACHINE_OK);
	struct witness_totals totals;
	witness_count(witness_, &totals);
	EXPECT_EQ(totals.starts, 1u);
}

// Guards against a repeat that is allowed being reported, or one that isn't
// being missed: an end that was lost in a crash allows one.
TEST_F(Machine, AnEndLostInACrashMayBeRepeatedOnce)
{
	struct witness_totals totals;

	EXPECT_EQ(Start(kNow), MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 1500), Rows{ "1 done 1000" });
	EXPECT_EQ(machine_restart(machine_), 1u);
	for (size_t again = 0; again < 2; again++) {
		int64_t now = kNow + 2000 + 2000 * static_cast<int64_t>(again);
		EXPECT_EQ(
		    Start(now, 2 + static_cast<int64_t>(again)), MACHINE_OK);
		EXPECT_EQ(Ends(now + 1500).size(), 1 + again);
		witness_count(witness_, &totals);
		EXPECT_EQ(totals.done, 1 + again);
		EXPECT_EQ(totals.done_again, again);
	}
}

TEST_F(Machine, ALowerTokenDoesNothing)
{
	EXPECT_EQ(Hold(kNow, 0, 0, 7), MACHINE_OK);
	EXPECT_EQ(Start(kNow, 1, 6), MACHINE_FENCED);
	EXPECT_EQ(Hold(kNow, 0, kNow + 5000, 6), MACHINE_FENCED);
	EXPECT_EQ(machine_stop(machine_, kTask, 1, 6, kNow), MACHINE_FENCED);
	EXPECT_EQ(Start(kNow, 1, 7), MACHINE_OK);
}

TEST_F(Machine, AllThatRunsEndsWithTheLease)
{
	EXPECT_EQ(Start(kNow, 1, 1, "a.0.0.0", "100 64 0"), MACHINE_OK);
	EXPECT_EQ(Hold(kNow + 1000, 0, kNow + 5500), MACHINE_OK);
	// A lease is never shortened, and is limited to lease_max_ms.
	EXPECT_EQ(Hold(kNow + 1000, 0, kNow + 2000), MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 5499), Rows());
	EXPECT_EQ(Ends(kNow + 5500), Rows{ "1 lapsed 5000" });
	EXPECT_EQ(
	    Start(kNow + 6000, 2, 1, "a.0.0.0", "100 64 0", "", kNow + 60000),
	    MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 6000 + kLeaseMs).size(), 2u);
}

TEST_F(Machine, AStartIsRefusedLateOrOldOrWithoutRoom)
{
	EXPECT_EQ(Start(kNow, 1, 1, kTask, kPayload, "", kNow), MACHINE_LATE);
	EXPECT_EQ(machine_stop(machine_, kTask, 3, 1, kNow), MACHINE_OK);
	EXPECT_EQ(Start(kNow, 3), MACHINE_OLD);
	EXPECT_EQ(Start(kNow, 4), MACHINE_OK);
	EXPECT_EQ(Start(kNow, 5), MACHINE_OLD);
	EXPECT_EQ(Start(kNow, 1, 1, "a.0.0.0", "3001 64 50"), MACHINE_NO_ROOM);
	EXPECT_EQ(Start(kNow, 1, 1, "a.0.0.0", "3000 513 50"), MACHINE_NO_ROOM);
	EXPECT_EQ(Start(kNow, 1, 1, "a.0.1.0", "3000 512 50"), MACHINE_BAD);
	EXPECT_EQ(Start(kNow, 1, 1, "a.0.0.0", "3000 512 50"), MACHINE_OK);
}

TEST_F(Machine, AStopTakesItsTimeAndGivesTheRoomBack)
{
	EXPECT_EQ(Start(kNow), MACHINE_OK);
	EXPECT_EQ(machine_stop(machine_, kTask, 1, 1, kNow + 1100), MACHINE_OK);
	EXPECT_EQ(
	    Start(kNow + 1200, 1, 1, "a.0.0.0", "3001 64 50"), MACHINE_NO_ROOM);
	EXPECT_EQ(Ends(kNow + 1100 + kStopMs), Rows{ "1 stopped 1000" });
	EXPECT_EQ(
	    Start(kNow + 1400, 1, 1, "a.0.0.0", "3001 64 50"), MACHINE_OK);
	EXPECT_EQ(Start(kNow + 1400, 1), MACHINE_OLD);
}

TEST_F(Machine, ATaskResumesFromItsCheckpoint)
{
	EXPECT_EQ(Start(kNow, 1, 1, kTask, kPayload, "1000"), MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 499), Rows());
	EXPECT_EQ(Ends(kNow + 500), Rows{ "1 done 1000" });
}

TEST_F(Machine, ATaskWorksAtItsPace)
{
	EXPECT_EQ(Start(kNow), MACHINE_OK);
	EXPECT_EQ(
	    machine_pace(machine_, kTask, 1, 0, 1, kNow + 500), MACHINE_OK);
	EXPECT_EQ(Hold(kNow + 2000, 0, kNow + 7000), MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 2000), Rows());
	EXPECT_EQ(
	    machine_pace(machine_, kTask, 1, 50, 1, kNow + 2000), MACHINE_OK);
	EXPECT_EQ(Ends(kNow + 3999), Rows());
	EXPECT_EQ(Ends(kNow + 4000).size(), 1u);
}

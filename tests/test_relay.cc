#include <gtest/gtest.h>

#include <cstring>

extern "C" {
#include "relay.h"
#include "clock.h"
#include "node_int.h"
}

namespace {

constexpr int64_t kNow = 1000000;

int lost;

void
OnDone(const struct worker_result *result, void *)
{
	if (result->answer == ANSWER_LOST)
		lost++;
}

void
OnLate(const char *, const struct poll_result *, void *)
{
}

// A leader with one member that relays its orders.
class OrderRelay : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		clock_pause(kNow);
		lost = 0;
		TAILQ_INIT(&node_.members);
		node_.elect.leader.term = 7;
		strlcpy(member_.id, "entry-2", sizeof(member_.id));
		member_.power = 1;
		member_.can_relay = true;
		member_.heard_ms = kNow;
		relay_writer_init(&member_.orders);
		TAILQ_INSERT_TAIL(&node_.members, &member_, link);
		strlcpy(worker_.id, "worker-1", sizeof(worker_.id));
		strlcpy(
		    worker_.address, "127.0.0.1:7000", sizeof(worker_.address));
		Open();
	}

	void
	TearDown() override
	{
		relay_close(relay_);
		relay_writer_free(&member_.orders);
		clock_resume();
	}

	void
	Open()
	{
		relay_ = relay_open(&node_, OnLate, nullptr);
		relay_enable(relay_, true);
		relay_worker_ops(relay_, &ops_);
	}

	void
	Poll()
	{
		struct worker_poll order = {};

		order.worker = &worker_;
		order.term = node_.elect.leader.term;
		ops_.poll(ops_.self, &order, OnDone, nullptr);
	}

	struct node node_ = {};
	struct member member_ = {};
	struct sched_worker worker_ = {};
	struct worker_ops ops_ = {};
	struct order_relay *relay_ = nullptr;
};

} // namespace

TEST_F(OrderRelay, BatchedOrdersAreCountedUntilTheyAreSent)
{
	EXPECT_EQ(relay_pending_bytes(relay_), 0);
	Poll();
	double one = relay_pending_bytes(relay_);
	EXPECT_GT(one, FRAME_BYTES);
	Poll();
	EXPECT_GT(relay_pending_bytes(relay_), one);
	// The second order shares the message of the first.
	EXPECT_LT(relay_pending_bytes(relay_), 2 * one);
}

// Guards against a caller's task running twice: a start is batched in one term
// of this entry and sent with the orders of its next term, so that a worker
// accepts it as an order of that term, while the task was given to another
// worker in the meantime.  Batched orders are dropped when the term ends, and
// reported to the scheduler as lost.
TEST_F(OrderRelay, OrdersBatchedInOneTermAreNotSentInTheNext)
{
	Poll();
	EXPECT_EQ(member_.orders.n, 1u);
	relay_close(relay_);
	EXPECT_EQ(lost, 1);
	node_.elect.leader.term++;
	Open();
	EXPECT_EQ(member_.orders.n, 0u);
	EXPECT_EQ(relay_pending_bytes(relay_), 0);
}

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

// A leader with one member that carries its orders.
class Carry : public ::testing::Test {
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
		relay_close(carry_);
		relay_writer_free(&member_.orders);
		clock_resume();
	}

	void
	Open()
	{
		carry_ = relay_open(&node_, OnLate, nullptr);
		relay_enable(carry_, true);
		relay_worker_ops(carry_, &ops_);
	}

	void
	Look()
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
	struct order_relay *carry_ = nullptr;
};

} // namespace

TEST_F(Carry, GatheredOrdersAreCountedUntilTheyAreSent)
{
	EXPECT_EQ(relay_pending_bytes(carry_), 0);
	Look();
	double one = relay_pending_bytes(carry_);
	EXPECT_GT(one, FRAME_BYTES);
	Look();
	EXPECT_GT(relay_pending_bytes(carry_), one);
	// The second shares the message of the first.
	EXPECT_LT(relay_pending_bytes(carry_), 2 * one);
}

// A caller's task would run twice: a start that was gathered in one term of
// this entry goes out with the orders of its next term, and a worker takes it
// for an order of that, while the task was given to another worker meanwhile.
// What was gathered ends with the term, and is lost for the scheduler.
TEST_F(Carry, OrdersGatheredInOneTermAreNotSentInTheNext)
{
	Look();
	EXPECT_EQ(member_.orders.n, 1u);
	relay_close(carry_);
	EXPECT_EQ(lost, 1);
	node_.elect.leader.term++;
	Open();
	EXPECT_EQ(member_.orders.n, 0u);
	EXPECT_EQ(relay_pending_bytes(carry_), 0);
}

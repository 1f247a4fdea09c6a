#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

extern "C" {
#include "outbox.h"
}

namespace {

constexpr double kRate = 250000; // bytes per second: 2 Mbit/s
constexpr double kShare = 0.9; // of the link that the pacer may use
constexpr int kMembers = 17;
constexpr double kMessageBytes = 130; // headers and the sender
constexpr double kPollBytes = 60;
constexpr double kStartBytes = 150;
constexpr double kHeartbeatBytes = 280;
constexpr int kHeartbeatMs = 150;
constexpr int kPollsPerSecond = 420;

// A leader that sends orders for starts and polls through its members, and
// heartbeats, over a link that transmits a fixed number of bytes per
// millisecond and queues the rest.
class LeaderLink {
      public:
	explicit LeaderLink(double starts_per_s) : starts_per_s_(starts_per_s)
	{
		pacer_init(&pacer_, kShare * kRate, 100, 0);
		outbox_init(&outbox_, &pacer_);
	}

	void
	Run(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end; now_++)
			Step();
	}

	double
	StartsPerSecond() const
	{
		return starts_ * 1000.0 / now_;
	}
	double
	MessagesPerSecond() const
	{
		return messages_ * 1000.0 / now_;
	}
	double
	MaxQueuedMs() const
	{
		return max_queued_bytes_ / (kRate / 1000);
	}
	int64_t
	LongestBatchedMs() const
	{
		return longest_batched_ms_;
	}

      private:
	void
	Send(double bytes)
	{
		pacer_consume(&pacer_, bytes, now_);
		queued_bytes_ += bytes;
		if (queued_bytes_ > max_queued_bytes_)
			max_queued_bytes_ = queued_bytes_;
	}

	void
	Order(double bytes)
	{
		if (BatchedBytes() == 0)
			batched_since_ms_ = now_;
		orders_[next_member_++ % kMembers] += bytes;
	}

	double
	BatchedBytes() const
	{
		double bytes = 0;

		for (double orders : orders_)
			bytes += orders > 0 ? orders + kMessageBytes : 0;
		return bytes;
	}

	void
	Flush()
	{
		for (double &orders : orders_) {
			if (orders == 0)
				continue;
			Send(orders + kMessageBytes);
			orders = 0;
			messages_++;
		}
		outbox_flushed(&outbox_, now_);
	}

	void
	Step()
	{
		queued_bytes_ = queued_bytes_ > kRate / 1000 ?
		    queued_bytes_ - kRate / 1000 :
		    0;
		if (now_ % kHeartbeatMs == 0) {
			for (int i = 0; i < kMembers; i++)
				Send(kHeartbeatBytes);
		}
		polls_due_ += kPollsPerSecond / 1000.0;
		waiting_ += starts_per_s_ / 1000;
		uint32_t allowed =
		    outbox_start_budget(&outbox_, BatchedBytes(), now_);
		for (; polls_due_ >= 1; polls_due_--)
			Order(kPollBytes);
		for (; waiting_ >= 1 && allowed > 0; allowed--, waiting_--) {
			Order(kStartBytes);
			starts_++;
		}
		if (BatchedBytes() == 0)
			return;
		if (now_ - batched_since_ms_ > longest_batched_ms_)
			longest_batched_ms_ = now_ - batched_since_ms_;
		if (now_ >= outbox_flush_ms(&outbox_))
			Flush();
	}

	struct pacer pacer_;
	struct outbox outbox_;
	std::vector<double> orders_ = std::vector<double>(kMembers, 0.0);
	int64_t now_ = 0;
	int64_t batched_since_ms_ = 0, longest_batched_ms_ = 0;
	double starts_per_s_, waiting_ = 0, polls_due_ = 0;
	double queued_bytes_ = 0, max_queued_bytes_ = 0;
	int starts_ = 0, messages_ = 0, next_member_ = 0;
};

double
StartsAt(double starts_per_s)
{
	LeaderLink link(starts_per_s);

	link.Run(20000);
	return link.StartsPerSecond();
}

// The capacity of a link of 2 Mbit/s, measured under heavy overload.
double
LinkCapacity()
{
	return StartsAt(5000);
}

} // namespace

// Jobs arrive faster than the leader's link can transmit their orders: the
// throughput must stay at the capacity of the link.  A leader whose throughput
// falls with the load would keep a backlog, such as after a power loss, until
// the end of the day.
TEST(Outbox, AnOverloadedLinkRunsAtItsCapacity)
{
	double most = LinkCapacity();

	for (double load : { 0.5, 1.0, 2.0, 4.0 }) {
		double expected = load < 1 ? load * most : most;

		EXPECT_GE(StartsAt(load * most), 0.8 * expected) << load;
	}
}

// While starts wait for the link, headers of messages with one order each took
// a third of it.  Orders are delayed so that they share messages.
TEST(Outbox, OrdersShareMessagesWhileTheLinkIsFull)
{
	LeaderLink link(2 * LinkCapacity());

	link.Run(20000);
	EXPECT_LE(link.MessagesPerSecond(), kMembers * 1000.0 / 50);
	EXPECT_GE(link.StartsPerSecond(), 600);
}

// Members depose a leader that they do not hear for 600 ms: the queue on the
// link ahead of a heartbeat must take far less time, whatever the load.
TEST(Outbox, HeartbeatsAreDelayedLittleAtAnyLoad)
{
	for (double load : { 0.5, 1.0, 2.0, 4.0 }) {
		LeaderLink link(load * LinkCapacity());

		link.Run(20000);
		EXPECT_LE(link.MaxQueuedMs(), 300) << load;
	}
}

// On an idle link batching must add no delay; on a full one only a small part
// of the time that tasks wait anyway.
TEST(Outbox, OrdersAreSentAtOnceOnAnIdleLink)
{
	LeaderLink idle(100), full(5000);

	idle.Run(20000);
	full.Run(20000);
	EXPECT_EQ(idle.LongestBatchedMs(), 0);
	EXPECT_LE(full.LongestBatchedMs(), 100);
}

// Batched bytes count as sent: if each step had the full budget, the starts of
// one second would be ordered at once.
TEST(Outbox, BatchedOrdersCountAgainstTheBudget)
{
	struct outbox outbox;
	struct pacer pacer;

	pacer_init(&pacer, kRate, 100, 0);
	outbox_init(&outbox, &pacer);
	uint32_t empty = outbox_start_budget(&outbox, 0, 0);
	EXPECT_FALSE(outbox.full);
	EXPECT_LT(outbox_start_budget(&outbox, 25000, 0), empty);
	outbox_start_budget(&outbox, 25001, 0);
	EXPECT_TRUE(outbox.full);
	EXPECT_EQ(outbox_start_budget(&outbox, 75001, 0), 0u);
}

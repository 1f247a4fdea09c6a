#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

extern "C" {
#include "outbox.h"
}

namespace {

constexpr double kRate = 250000; // bytes a second: 2 Mbit/s
constexpr double kShare = 0.9; // of the link, that is planned with
constexpr int kMembers = 17;
constexpr double kMessageBytes = 130; // headers, and who sends it
constexpr double kLookBytes = 60;
constexpr double kStartBytes = 150;
constexpr double kBeatBytes = 280;
constexpr int kBeatMs = 150;
constexpr int kLooksPerSecond = 420;

// A leader that orders starts and looks through its members, with beats beside
// them, over a link that sends so many bytes a millisecond and queues the rest.
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
	MostQueuedMs() const
	{
		return most_queued_ / (kRate / 1000);
	}
	int64_t
	LongestGathered() const
	{
		return longest_gathered_;
	}

      private:
	void
	Send(double bytes)
	{
		pacer_consume(&pacer_, bytes, now_);
		queued_ += bytes;
		if (queued_ > most_queued_)
			most_queued_ = queued_;
	}

	void
	Order(double bytes)
	{
		if (Gathered() == 0)
			gathered_since_ = now_;
		orders_[next_member_++ % kMembers] += bytes;
	}

	double
	Gathered() const
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
		queued_ = queued_ > kRate / 1000 ? queued_ - kRate / 1000 : 0;
		if (now_ % kBeatMs == 0) {
			for (int i = 0; i < kMembers; i++)
				Send(kBeatBytes);
		}
		looks_due_ += kLooksPerSecond / 1000.0;
		waiting_ += starts_per_s_ / 1000;
		uint32_t allowed =
		    outbox_start_budget(&outbox_, Gathered(), now_);
		for (; looks_due_ >= 1; looks_due_--)
			Order(kLookBytes);
		for (; waiting_ >= 1 && allowed > 0; allowed--, waiting_--) {
			Order(kStartBytes);
			starts_++;
		}
		if (Gathered() == 0)
			return;
		if (now_ - gathered_since_ > longest_gathered_)
			longest_gathered_ = now_ - gathered_since_;
		if (now_ >= outbox_flush_ms(&outbox_))
			Flush();
	}

	struct pacer pacer_;
	struct outbox outbox_;
	std::vector<double> orders_ = std::vector<double>(kMembers, 0.0);
	int64_t now_ = 0;
	int64_t gathered_since_ = 0, longest_gathered_ = 0;
	double starts_per_s_, waiting_ = 0, looks_due_ = 0;
	double queued_ = 0, most_queued_ = 0;
	int starts_ = 0, messages_ = 0, next_member_ = 0;
};

double
StartsAt(double starts_per_s)
{
	LeaderLink link(starts_per_s);

	link.Run(20000);
	return link.StartsPerSecond();
}

// What a link of 2 Mbit/s bears is found by offering it far too much.
double
MostStarts()
{
	return StartsAt(5000);
}

} // namespace

// Jobs come faster than the leader's link takes their orders: callers get what
// it bears, not less.  A leader that does less the more it is asked for would
// leave a backlog, such as after a loss of power, to the end of the day.
TEST(Outbox, AnOverloadedLinkServesAsMuchAsItBears)
{
	double most = MostStarts();

	for (double load : { 0.5, 1.0, 2.0, 4.0 }) {
		double expected = load < 1 ? load * most : most;

		EXPECT_GE(StartsAt(load * most), 0.8 * expected) << load;
	}
}

// While starts wait for the link, headers of messages with one order each took
// a third of it.  Orders that wait at least a moment share messages.
TEST(Outbox, OrdersShareMessagesWhileTheLinkIsFull)
{
	LeaderLink link(2 * MostStarts());

	link.Run(20000);
	EXPECT_LE(link.MessagesPerSecond(), kMembers * 1000.0 / 50);
	EXPECT_GE(link.StartsPerSecond(), 600);
}

// Members depose a leader that they don't hear for 600 ms: what is queued on
// the link before a beat must take far less, however much waits for it.
TEST(Outbox, BeatsWaitBehindLittleAtAnyLoad)
{
	for (double load : { 0.5, 1.0, 2.0, 4.0 }) {
		LeaderLink link(load * MostStarts());

		link.Run(20000);
		EXPECT_LE(link.MostQueuedMs(), 300) << load;
	}
}

// A caller of a calm system must not pay for gathering; of a full one no more
// than a small part of what its tasks wait anyway.
TEST(Outbox, OrdersGoAtOnceOnACalmLink)
{
	LeaderLink calm(100), full(5000);

	calm.Run(20000);
	full.Run(20000);
	EXPECT_EQ(calm.LongestGathered(), 0);
	EXPECT_LE(full.LongestGathered(), 100);
}

// Bytes that were gathered count as sent: with the same budget anew in each
// step, one second's starts would be ordered in a moment.
TEST(Outbox, GatheredOrdersCountAgainstTheBudget)
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

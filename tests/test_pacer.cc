#include <gtest/gtest.h>

extern "C" {
#include "pacer.h"
}

namespace {

constexpr double kRate = 250000; // bytes per second: 2 Mbit/s

} // namespace

// A leader offers its link a multiple of its capacity.  What waits for the
// token bucket is sent at the rate of the link, and never more than one burst
// above it.
TEST(Pacer, SendsAtTheRateOfTheLink)
{
	for (double load : { 0.5, 1.0, 2.0, 4.0 }) {
		struct pacer p;
		double offered = 0, sent = 0, most = 0;

		pacer_init(&p, kRate, 100, 0);
		for (int64_t now_ms = 0; now_ms < 10000; now_ms++) {
			offered += load * kRate / 1000;
			while (
			    offered >= 250 && pacer_available(&p, now_ms) > 0) {
				pacer_consume(&p, 250, now_ms);
				offered -= 250;
				sent += 250;
			}
			double queued = sent - kRate / 1000 * (double)now_ms;
			most = queued > most ? queued : most;
		}
		double capacity = 10 * kRate * (load < 1 ? load : 1);
		EXPECT_GE(sent, 0.98 * capacity) << load;
		EXPECT_LE(most, kRate * 0.1 + 500) << load;
	}
}

// Heartbeats and answers are sent regardless of the tokens in the bucket; other
// traffic compensates for them.
TEST(Pacer, TrafficThatCannotWaitMakesTheBucketNegative)
{
	struct pacer p;

	pacer_init(&p, kRate, 100, 1000);
	pacer_consume(&p, 75000, 1000);
	EXPECT_LT(pacer_available(&p, 1000), 0);
	EXPECT_EQ(pacer_wait_ms(&p, 1000), 201);
	EXPECT_LT(pacer_available(&p, 1199), 0);
	EXPECT_EQ(pacer_wait_ms(&p, 1201), 0);
	EXPECT_LE(pacer_available(&p, 100000), 25000);
}

TEST(Pacer, NoTokensAreAddedWithoutElapsedTime)
{
	struct pacer p;

	pacer_init(&p, kRate, 100, 1000);
	pacer_consume(&p, 25000, 1000);
	EXPECT_EQ(pacer_available(&p, 1000), 0);
	EXPECT_EQ(pacer_available(&p, 900), 0);
}

// Tests of the clock, the logger and the counters.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "clock.h"
#include "counter.h"
#include "log.h"
}

namespace {

std::string
metrics()
{
	size_t len;
	char *text = counter_text(&len);
	std::string result(text, len);

	free(text);
	return result;
}

TEST(ClockTest, StandsStillWhilePaused)
{
	clock_pause(1000);
	EXPECT_EQ(1000, clock_now_ms());
	clock_advance(250);
	EXPECT_EQ(1250, clock_now_ms());
	clock_resume();
	EXPECT_GT(clock_now_ms(), 0);
}

TEST(LogTest, OneLineOfPairsForAnEvent)
{
	char quoted[16];

	log_set_identity("entry", "e 1");
	testing::internal::CaptureStderr();
	log_warn("task_lost", "task=%s attempt=%d", "j1/0", 2);
	log_debug("not_shown", "a=%d", 1);
	std::string text = testing::internal::GetCapturedStderr();
	EXPECT_NE(std::string::npos,
	    text.find("level=warn event=task_lost entry=\"e 1\" "
		      "task=j1/0 attempt=2\n"));
	EXPECT_EQ(std::string::npos, text.find("not_shown"));
	// Untrusted values cannot end the line or forge a pair.
	EXPECT_STREQ(
	    "\"a\\\"b?c\"", log_quote("a\"b\nc", quoted, sizeof(quoted)));
	EXPECT_STREQ(
	    "\"0123456789\"", log_quote("0123456789012345", quoted, 14));
}

TEST(LogTest, ParsesLevels)
{
	enum log_level level;

	EXPECT_EQ(0, log_parse_level("debug", &level));
	EXPECT_EQ(LOG_LEVEL_DEBUG, level);
	EXPECT_EQ(-1, log_parse_level("loud", &level));
}

TEST(CounterTest, OneSeriesForNameAndLabels)
{
	counter_reset();
	counter_inc_reason("lagoonpin_x", "full");
	counter_inc_reason("lagoonpin_x", "full");
	counter_inc_reason("lagoonpin_x", "late");
	counter_set(counter_get("lagoonpin_y", ""), 7);
	EXPECT_EQ(
	    2u, counter_value(counter_get("lagoonpin_x", "reason=\"full\"")));
	std::string text = metrics();
	EXPECT_NE(
	    std::string::npos, text.find("lagoonpin_x{reason=\"full\"} 2\n"));
	EXPECT_NE(
	    std::string::npos, text.find("lagoonpin_x{reason=\"late\"} 1\n"));
	EXPECT_NE(std::string::npos, text.find("lagoonpin_y 7\n"));
}

TEST(CounterTest, LatencyBucketsAreCumulative)
{
	struct latency *l;

	counter_reset();
	l = latency_get("lagoonpin_call_ms", "custodio");
	latency_observe(l, 0.2);
	latency_observe(l, 4);
	latency_observe(l, 60000);
	std::string text = metrics();
	EXPECT_NE(std::string::npos, text.find("le=\"0.5\"} 1\n"));
	EXPECT_NE(std::string::npos, text.find("le=\"5\"} 2\n"));
	EXPECT_NE(std::string::npos, text.find("le=\"+Inf\"} 3\n"));
	EXPECT_NE(std::string::npos,
	    text.find("lagoonpin_call_ms_count{service=\"custodio\"} 3\n"));
	counter_reset();
}

} // namespace

#include <gtest/gtest.h>

extern "C" {
#include "echo.h"
}

namespace {

// The peer's clock is far ahead of ours.
constexpr int64_t kNow = 1000000, kPeerAhead = 70000000, kOpened = kNow - 5000;

} // namespace

TEST(Echo, TellsWhenAMessageWasSentAtTheEarliest)
{
	struct echo ours = {}, peers = {};
	struct echo_row row;
	int64_t sent_ms = 0;

	row = echo_send(&ours, kNow);
	EXPECT_FALSE(
	    echo_receive(&peers, &row, 0, kNow + 40 + kPeerAhead, &sent_ms));
	row = echo_send(&peers, kNow + 140 + kPeerAhead);
	EXPECT_TRUE(echo_receive(&ours, &row, kOpened, kNow + 150, &sent_ms));
	// It was sent at 140; the 40 of our message's way aren't known.
	EXPECT_EQ(sent_ms, kNow + 100);
}

// Guards against a message that was held up being taken for a new one.
TEST(Echo, AMessageThatCameLateStaysOld)
{
	struct echo ours = {}, peers = { kNow, kNow + kPeerAhead };
	struct echo_row row = echo_send(&peers, kNow + 100 + kPeerAhead);
	int64_t sent_ms = 0;

	EXPECT_TRUE(echo_receive(&ours, &row, kOpened, kNow + 9000, &sent_ms));
	EXPECT_EQ(sent_ms, kNow + 100);
}

// Guards against times of a former process, or of another one, being used.
TEST(Echo, ATimeThatWeCannotHaveSentTellsNothing)
{
	struct echo ours = {};
	int64_t sent_ms = 0;
	struct echo_row rows[] = { { 1, 0, 0 }, { 1, kOpened - 1, 100 },
		{ 1, kNow + 1, 0 }, { 1, kNow - 50, 51 }, { 1, kNow, -1 } };

	for (auto &row : rows)
		EXPECT_FALSE(
		    echo_receive(&ours, &row, kOpened, kNow, &sent_ms));
}

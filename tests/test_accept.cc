#include <unistd.h>

#include <cstring>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "node.h"
#include "node_int.h"
}

namespace {

// An entry with a store whose answers the test supplies, from the event loop.
class Accept : public ::testing::Test {
      protected:
	struct Call {
		kv_done *done;
		void *ctx;
	};

	void
	SetUp() override
	{
		struct node_options options;
		enum node_error error;

		clock_pause(1000000);
		uv_loop_init(&loop);
		memset(&options, 0, sizeof(options));
		options.loop = &loop;
		options.id = "e1";
		options.ip = "127.0.0.1";
		/* Below the ephemeral ports. */
		options.port = 11000 + getpid() % 9000;
		options.data_center = "here";
		options.power = 1;
		options.lease_max_ms = 5000;
		options.keep_ms = 1000;
		options.harm_ms = 4000;
		options.config_apply_ms = 2000;
		options.kv = { this, Get, Range, Watch, Txn, AnsweredMs,
			FailedMs, WaitingMs };
		options.platform = { this, "c/", "w/", Config, Closure,
			WorkerEntry, WorkerId };
		/* The port may be in use by another program. */
		for (int i = 0; i < 20 && node == nullptr; i++) {
			options.port++;
			node = node_open(&options, &error);
		}
		ASSERT_NE(node, nullptr) << node_strerror(error);
	}

	void
	TearDown() override
	{
		// Requests in flight are answered after the entry is closed.
		node_close(node);
		while (!reads.empty())
			AnswerRead();
		while (!writes.empty())
			AnswerWrite(KV_UNAVAILABLE);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		clock_resume();
	}

	void
	Submit(const char *id, int64_t wait_ms)
	{
		struct graph *g = graph_new(1);

		strlcpy(g->id, id, sizeof(g->id));
		strlcpy(g->queue, "q", sizeof(g->queue));
		g->payload = strdup("p");
		g->steps[0].count = 1;
		node_submit(node, g, clock_now_ms() + wait_ms, Replied, this);
	}

	// Run the entry's timers for that long.
	void
	Advance(int64_t ms)
	{
		clock_advance(ms);
		uv_update_time(&loop);
		for (int i = 0; i < 4; i++) {
			uv_sleep(21);
			uv_run(&loop, UV_RUN_NOWAIT);
		}
	}

	void
	AnswerWrite(
	    enum kv_error error, const std::vector<struct kv_item> &items = {})
	{
		ASSERT_FALSE(writes.empty());
		Call call = writes.front();
		writes.pop_front();
		struct kv_result result;
		memset(&result, 0, sizeof(result));
		result.error = error;
		result.items = items.data();
		result.nitems = items.size();
		result.revision = 9;
		call.done(&result, call.ctx);
	}

	void
	AnswerRead(enum kv_error error = KV_UNAVAILABLE,
	    const std::vector<struct kv_item> &items = {})
	{
		Call call = reads.front();
		reads.pop_front();
		struct kv_result result;
		memset(&result, 0, sizeof(result));
		result.error = error;
		result.items = items.data();
		result.nitems = items.size();
		call.done(&result, call.ctx);
	}

	static Accept *
	Self(void *ctx)
	{
		return static_cast<Accept *>(ctx);
	}
	static void
	Get(void *self, const char *, kv_done *done, void *ctx)
	{
		Self(self)->reads.push_back({ done, ctx });
	}
	static void
	Range(void *self, const char *, const char *, kv_done *done, void *ctx)
	{
		Self(self)->reads.push_back({ done, ctx });
	}
	static void
	Watch(void *self, const char *, int64_t, int64_t, kv_done *done,
	    void *ctx)
	{
		Self(self)->reads.push_back({ done, ctx });
	}
	static void
	Txn(void *self, const struct kv_txn *txn, kv_done *done, void *ctx)
	{
		Self(self)->compares = txn->ncompares;
		Self(self)->writes.push_back({ done, ctx });
	}
	static int64_t
	AnsweredMs(void *self)
	{
		return Self(self)->answered_ms;
	}
	static int64_t
	FailedMs(void *self)
	{
		return Self(self)->failed_ms;
	}
	static int64_t
	WaitingMs(void *self)
	{
		return Self(self)->waiting_ms;
	}
	static enum config_reading
	Config(void *, const char *, const char *, size_t,
	    const struct entry_config **)
	{
		return CONFIG_OTHER;
	}
	static const char *
	Closure(void *, const char *)
	{
		return nullptr;
	}
	static bool
	WorkerEntry(
	    void *, const char *, const char *, size_t, struct worker_info *)
	{
		return false;
	}
	static const char *
	WorkerId(void *, const char *)
	{
		return nullptr;
	}
	static void
	Replied(const struct node_reply *reply, void *ctx)
	{
		Self(ctx)->replies.push_back(*reply);
	}

	static struct kv_item
	Record(const char *key, const char *text)
	{
		return { key, text, strlen(text), 5 };
	}

	uv_loop_t loop;
	struct node *node = nullptr;
	std::deque<Call> reads, writes;
	std::vector<struct node_reply> replies;
	size_t compares = 0;
	int64_t answered_ms = 1, failed_ms = 0, waiting_ms = 0;
};

} // namespace

TEST_F(Accept, IsToldOnlyOnceTheStoreHasTheJob)
{
	Submit("a", 3000);
	ASSERT_EQ(writes.size(), 1u);
	EXPECT_EQ(compares, 2u); // neither submitted nor ended before
	EXPECT_TRUE(replies.empty());
	AnswerWrite(KV_OK);
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_ACCEPTED);
}

// The caller repeats a job that another entry has stored: it is accepted as the
// same job.
TEST_F(Accept, ARepeatFindsWhatIsStored)
{
	struct kv_item item = { "lp/j/a", "{}", 2, 5 };

	Submit("a", 3000);
	AnswerWrite(KV_CONFLICT, { item });
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_ACCEPTED);
}

// Every write certainly failed: the caller is told that its job was not
// accepted, and when to retry.
TEST_F(Accept, CertainFailureIsARefusal)
{
	Submit("a", 1000);
	for (int i = 0; i < 20 && replies.empty(); i++) {
		if (!writes.empty())
			AnswerWrite(KV_UNAVAILABLE);
		Advance(100);
	}
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NOT_DONE);
	EXPECT_GT(replies[0].retry_after_ms, 0);
}

// One write got no answer and may yet take effect.  Whatever the results of
// later writes, the caller must not be told that its job was not accepted.
TEST_F(Accept, AWriteWithoutAnswerIsNeverARefusal)
{
	Submit("a", 1000);
	AnswerWrite(KV_UNKNOWN);
	for (int i = 0; i < 20 && replies.empty(); i++) {
		if (!writes.empty())
			AnswerWrite(KV_UNAVAILABLE);
		Advance(100);
	}
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NO_ANSWER);
}

// The write without an answer took effect: the retry finds its record.
TEST_F(Accept, AWriteWithoutAnswerIsFoundByItsRetry)
{
	struct kv_item item = { "lp/j/a", "{}", 2, 5 };

	Submit("a", 3000);
	AnswerWrite(KV_UNKNOWN);
	Advance(20);
	AnswerWrite(KV_CONFLICT, { item });
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_ACCEPTED);
}

// The store is known to be unavailable: the caller is refused at once.
TEST_F(Accept, AnOutageIsToldAtOnce)
{
	failed_ms = clock_now_ms();
	Submit("a", 3000);
	EXPECT_TRUE(writes.empty());
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NOT_DONE);
}

// Guards against each new job waiting for its own failure while the store is
// silent.
TEST_F(Accept, ASilentStoreIsToldBeforeAnyCallFails)
{
	waiting_ms = clock_now_ms() - 500;
	answered_ms = waiting_ms - 10;
	Submit("a", 3000);
	EXPECT_TRUE(writes.empty());
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NOT_DONE);
	EXPECT_GT(replies[0].retry_after_ms, 0);
}

// Guards against refusals because the store lost a single answer.
TEST_F(Accept, AStoreThatAnswersOtherCallsIsUsed)
{
	waiting_ms = clock_now_ms() - 500;
	answered_ms = waiting_ms + 10;
	Submit("a", 3000);
	EXPECT_EQ(writes.size(), 1u);
	EXPECT_TRUE(replies.empty());
}

// Guards against refusals because the store is slow.
TEST_F(Accept, ASlowStoreIsUsed)
{
	waiting_ms = clock_now_ms() - 300;
	answered_ms = waiting_ms - 10;
	Submit("a", 3000);
	EXPECT_EQ(writes.size(), 1u);
}

// Guards against an answer after the caller's deadline while the write of its
// job hangs.
TEST_F(Accept, TheDeadlineOfAJobInAHangingWriteIsKept)
{
	Submit("a", 1000);
	ASSERT_EQ(writes.size(), 1u);
	Advance(800);
	EXPECT_TRUE(replies.empty());
	Advance(100);
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NO_ANSWER);
	// The write ends later: the caller isn't answered again, and nothing is
	// written once more.
	AnswerWrite(KV_UNKNOWN);
	Advance(100);
	EXPECT_EQ(replies.size(), 1u);
	EXPECT_TRUE(writes.empty());
}

// Guards against a stored job that the leader doesn't hear of, as its caller
// had been answered before the write ended.
TEST_F(Accept, AJobWhoseWriteEndsAfterItsDeadlineIsStored)
{
	Submit("a", 1000);
	Advance(900);
	ASSERT_EQ(replies.size(), 1u);
	AnswerWrite(KV_OK);
	EXPECT_EQ(replies.size(), 1u);
	EXPECT_FALSE(TAILQ_EMPTY(&node->leader_requests));
}

// Guards against an answer after the caller's deadline while the store is read
// for a job without room.  An earlier request may have stored it, so the caller
// isn't told that it won't run.
TEST_F(Accept, TheDeadlineOfAJobWithoutRoomIsKept)
{
	json_decref(node->shut);
	node->shut = json_pack("[s]", "q");
	node->full_ms = clock_now_ms();
	Submit("a", 1000);
	EXPECT_TRUE(writes.empty());
	Advance(800);
	EXPECT_TRUE(replies.empty());
	Advance(100);
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NO_ANSWER);
	// The read fails later: nothing is written for a caller that is gone.
	while (!reads.empty())
		AnswerRead();
	Advance(100);
	EXPECT_EQ(replies.size(), 1u);
	EXPECT_TRUE(writes.empty());
}

TEST_F(Accept, StateWithoutAnybodyToAskIsNoAnswer)
{
	node_state(node, "a", clock_now_ms() + 500, Replied, this);
	for (int i = 0; i < 20 && replies.empty(); i++) {
		while (!reads.empty())
			AnswerRead();
		Advance(100);
	}
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NO_ANSWER);
}

// Guards against a cancelled job that is told to be accepted: its write finds
// the tombstone, which also holds off the earlier write without an answer.
TEST_F(Accept, ATombstoneIsARefusal)
{
	struct kv_item tombstone =
	    Record("lp/e/a", "{\"state\":\"tombstone\",\"ended_ms\":7}");

	Submit("a", 3000);
	AnswerWrite(KV_UNKNOWN);
	Advance(20);
	AnswerWrite(KV_CONFLICT, { tombstone });
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NOT_DONE);
	EXPECT_STREQ(replies[0].reason, "cancelled");
}

// The same for a job without room, which is only looked up.
TEST_F(Accept, ATombstoneOfAJobWithoutRoomIsARefusal)
{
	struct kv_item tombstone =
	    Record("lp/e/a", "{\"state\":\"tombstone\"}");

	json_decref(node->shut);
	node->shut = json_pack("[s]", "q");
	node->full_ms = clock_now_ms();
	Submit("a", 3000);
	while (reads.size() > 1)
		AnswerRead();
	ASSERT_EQ(reads.size(), 1u);
	AnswerRead(KV_OK);
	ASSERT_FALSE(reads.empty());
	AnswerRead(KV_OK, { tombstone });
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NOT_DONE);
	EXPECT_STREQ(replies[0].reason, "cancelled");
	EXPECT_TRUE(writes.empty());
}

// Guards against a job that is told to be accepted since another writer's item
// has the key of its end.
TEST_F(Accept, AnUnreadableEndIsNoAcceptance)
{
	struct kv_item item = Record("lp/e/a", "{}");

	Submit("a", 3000);
	AnswerWrite(KV_CONFLICT, { item });
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_NOT_DONE);
}

// The job ended under an earlier request.
TEST_F(Accept, ARepeatFindsTheEnd)
{
	struct kv_item item = Record("lp/e/a", "{\"state\":\"failed\"}");

	Submit("a", 3000);
	AnswerWrite(KV_CONFLICT, { item });
	ASSERT_EQ(replies.size(), 1u);
	EXPECT_EQ(replies[0].outcome, NODE_ACCEPTED);
}

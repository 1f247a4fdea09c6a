#include "handover_fixture.h"

extern "C" {
#include "codec.h"
#include "lead_int.h"
}

namespace {

constexpr uint32_t kMarksMax = 8192; // absent marks that a leader keeps

// Cancels of jobs that the store doesn't have.  The writes of the second entry
// that create jobs are carried out late.
class Tombstone : public Handover {
      protected:
	void
	OpenTwo()
	{
		AddWorker("w1");
		leader = Open("e1");
		Pass(1500);
		other = Open("e2");
		Pass(1500);
		ASSERT_NE(leader->lead, nullptr);
		clients["e2"].creates_late = true;
	}

	// The caller gives up on a job whose write got no answer.
	void
	SubmitInVain(const std::string &id = "job")
	{
		SubmitAt(other, id, 2, 1000, 500);
		Pass(3000);
		ASSERT_EQ(TakeReply().outcome, NODE_NO_ANSWER);
		ASSERT_FALSE(late_creates.empty());
	}

	struct node_reply
	TakeReply()
	{
		struct node_reply reply = {};

		EXPECT_EQ(replies.size(), 1u);
		if (!replies.empty())
			reply = replies.back();
		replies.clear();
		return reply;
	}

	struct node_reply
	Cancel(struct node *node, const std::string &id = "job")
	{
		node_cancel(
		    node, id.c_str(), clock_now_ms() + 3000, Replied, this);
		return Answer();
	}

	struct node_reply
	State(struct node *node, const std::string &id = "job")
	{
		node_state(
		    node, id.c_str(), clock_now_ms() + 3000, Replied, this);
		return Answer();
	}

	struct node_reply
	Answer()
	{
		for (int i = 0; i < 60 && replies.empty(); i++)
			Step();
		return TakeReply();
	}

	struct node *leader = nullptr, *other = nullptr;
};

} // namespace

// Guards against a job that is created and runs after its cancel was answered.
TEST_F(Tombstone, ALateWriteCreatesNoCancelledJob)
{
	OpenTwo();
	SubmitInVain();
	EXPECT_EQ(Cancel(leader).outcome, NODE_UNKNOWN_JOB);
	CarryOutCreates();
	Pass(3000);
	EXPECT_EQ(items.count("lp/j/job"), 0u);
	EXPECT_EQ(Running(), 0u);
	EXPECT_TRUE(tasks_done.empty());
}

// The same, where the write reaches the store only under the next leader.
TEST_F(Tombstone, ALateWriteCreatesNoCancelledJobUnderTheNextLeader)
{
	OpenTwo();
	SubmitInVain();
	EXPECT_EQ(Cancel(other).outcome, NODE_UNKNOWN_JOB);
	Restart();
	Pass(1500);
	CarryOutCreates();
	Pass(3000);
	EXPECT_EQ(items.count("lp/j/job"), 0u);
	EXPECT_EQ(Running(), 0u);
	EXPECT_EQ(State(nodes.front()).outcome, NODE_UNKNOWN_JOB);
}

// Guards against a cancel that misses a job which is created as it is looked
// up.
TEST_F(Tombstone, AJobCreatedDuringItsCancelIsCancelled)
{
	for (int steps = 1; steps <= 4; steps++) {
		std::string id = "job" + std::to_string(steps);

		if (steps == 1)
			OpenTwo();
		SubmitInVain(id);
		node_cancel(
		    leader, id.c_str(), clock_now_ms() + 3000, Replied, this);
		for (int i = 0; i < steps; i++)
			Step();
		CarryOutCreates();
		enum node_outcome outcome = Answer().outcome;
		Pass(2000);
		EXPECT_EQ(items.count("lp/j/" + id), 0u) << steps;
		struct node_reply state = State(leader, id);
		if (outcome == NODE_UNKNOWN_JOB)
			EXPECT_EQ(state.outcome, NODE_UNKNOWN_JOB) << steps;
		else
			EXPECT_EQ(state.state, JOB_CANCELLED) << steps;
		EXPECT_EQ(Running(), 0u) << steps;
	}
}

// Guards against a job that nobody submitted and that is shown as it was
// cancelled: by the leader, from the store, and by the next leader.
TEST_F(Tombstone, AnUnusedIdIsNotShown)
{
	OpenTwo();
	EXPECT_EQ(Cancel(leader).outcome, NODE_UNKNOWN_JOB);
	EXPECT_EQ(Cancel(leader).outcome, NODE_UNKNOWN_JOB);
	EXPECT_EQ(State(leader).outcome, NODE_UNKNOWN_JOB);
	Kill(leader);
	EXPECT_EQ(State(other).outcome, NODE_UNKNOWN_JOB);
	Pass(3000);
	ASSERT_NE(other->lead, nullptr);
	EXPECT_EQ(State(other).outcome, NODE_UNKNOWN_JOB);
	EXPECT_EQ(Cancel(other).outcome, NODE_UNKNOWN_JOB);
}

// Guards against a submission that is told to be accepted after its cancel, and
// is never run.
TEST_F(Tombstone, ASubmissionAfterItsCancelIsRefused)
{
	OpenTwo();
	EXPECT_EQ(Cancel(leader).outcome, NODE_UNKNOWN_JOB);
	SubmitAt(leader, "job", 2, 1000, 500);
	struct node_reply reply = Answer();
	EXPECT_EQ(reply.outcome, NODE_NOT_DONE);
	EXPECT_EQ(reply.retry_after_ms, keep_ms);
	EXPECT_EQ(State(leader).outcome, NODE_UNKNOWN_JOB);
	EXPECT_EQ(Running(), 0u);
}

// Guards against a cancel that is answered before the store has the tombstone.
TEST_F(Tombstone, ACancelWaitsForTheStore)
{
	OpenTwo();
	SubmitInVain();
	node_cancel(leader, "job", clock_now_ms() + 3000, Replied, this);
	Step();
	Step();
	store_down = true;
	Pass(1000);
	EXPECT_TRUE(replies.empty());
	store_down = false;
	EXPECT_EQ(Answer().outcome, NODE_UNKNOWN_JOB);
	CarryOutCreates();
	EXPECT_EQ(items.count("lp/j/job"), 0u);
}

// Guards against tombstones that nobody removes.
TEST_F(Tombstone, TheyAreRemovedAfterTheKeepTime)
{
	constexpr int kCancels = 60; // two writes that remove records

	keep_ms = 5000;
	OpenTwo();
	for (int i = 0; i < kCancels; i++)
		node_cancel(leader, std::to_string(i).c_str(),
		    clock_now_ms() + 3000, Replied, this);
	Pass(1500);
	EXPECT_EQ(replies.size(), static_cast<size_t>(kCancels));
	EXPECT_EQ(items.count("lp/e/0"), 1u);
	EXPECT_EQ(
	    leader->lead->sched->nabsent, static_cast<uint32_t>(kCancels));
	Pass(keep_ms);
	EXPECT_EQ(items.count("lp/e/0"), 0u);
	EXPECT_EQ(leader->lead->sched->nabsent, 0u);
}

// Guards against tombstones in any number.
TEST_F(Tombstone, TooManyAreRefusedUntilSomeExpire)
{
	keep_ms = 5000;
	OpenTwo();
	for (uint32_t i = 0; i < kMarksMax; i++)
		sched_job_add_absent(leader->lead->sched,
		    std::to_string(i).c_str(), clock_now_ms());
	struct node_reply reply = Cancel(leader);
	EXPECT_EQ(reply.outcome, NODE_NOT_DONE);
	EXPECT_GT(reply.retry_after_ms, 0);
	Pass(keep_ms + 2000);
	EXPECT_EQ(Cancel(leader).outcome, NODE_UNKNOWN_JOB);
}

TEST(TombstoneRecord, IsNoEnd)
{
	enum sched_job_state state = JOB_QUEUED;
	size_t len;
	char *text = codec_tombstone(1234, &len);

	ASSERT_NE(text, nullptr);
	EXPECT_EQ(codec_read_ended(text, len, &state), ENDED_TOMBSTONE);
	EXPECT_EQ(state, JOB_QUEUED);
	EXPECT_EQ(codec_read_ended_ms(text, len), 1234);
	free(text);
	EXPECT_EQ(codec_read_ended("{\"state\":\"queued\"}", 18, &state),
	    ENDED_INVALID);
	EXPECT_EQ(codec_read_ended("{}", 2, &state), ENDED_INVALID);
}

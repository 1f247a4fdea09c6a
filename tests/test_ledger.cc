#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "ledger.h"
}

namespace {

/* One entry, and workers whose answers the test supplies. */
class Ledger : public testing::Test {
      protected:
	struct ledger *l = nullptr;
	int64_t now = 1000;
	std::vector<std::string> sent;
	int lost = -1;

	static Ledger *
	of(void *ctx)
	{
		return static_cast<Ledger *>(ctx);
	}
	static std::string
	id(struct ledger_task *t)
	{
		char buf[LEDGER_TASK_ID_MAX];
		ledger_task_id(t, buf, sizeof(buf));
		return buf + std::string(".") + std::to_string(t->r.attempt);
	}
	static void
	on_write(struct ledger *, void *ctx)
	{
		of(ctx)->sent.push_back("write");
	}
	static void
	on_read(struct ledger *, void *ctx)
	{
		of(ctx)->sent.push_back("read");
	}
	static void
	on_fence(struct ledger *, struct ledger_worker *w, void *c)
	{
		of(c)->sent.push_back("fence " + std::string(w->id));
	}
	static void
	on_renew(struct ledger *, struct ledger_worker *w, void *c)
	{
		std::string s = "renew " + std::string(w->id);
		struct ledger_ack *ack;
		TAILQ_FOREACH (ack, &w->acks, link)
			if (ack->sent)
				s += " acks " + std::string(ack->task);
		of(c)->sent.push_back(s);
	}
	static void
	on_start(struct ledger *, struct ledger_task *t, void *c)
	{
		of(c)->sent.push_back("start " + id(t));
	}
	static void
	on_stop(struct ledger *, struct ledger_task *t, void *c)
	{
		of(c)->sent.push_back("stop " + id(t));
	}
	static void
	on_checkpoint(struct ledger *, struct ledger_task *t, void *c)
	{
		of(c)->sent.push_back("checkpoint " + id(t));
	}
	static void
	on_stray(struct ledger *, struct ledger_worker *, const char *task,
	    uint32_t attempt, void *c)
	{
		of(c)->sent.push_back("stray " + std::string(task) + "." +
		    std::to_string(attempt));
	}
	static void
	on_lost(struct ledger *, enum ledger_lost reason, void *c)
	{
		of(c)->lost = reason;
	}

	void
	SetUp() override
	{
		static const struct ledger_actions actions = { on_write,
			on_read, on_fence, on_renew, on_start, on_stop,
			on_checkpoint, on_stray, ledger_pick_first_fit, nullptr,
			nullptr, on_lost };
		struct ledger_options opt = {};
		struct resources two = { 2, 2, 0 };
		struct ledger_head head = {};

		opt.shard = "dc.r";
		opt.self = "e1";
		opt.lease_ms = 100;
		opt.margin_ms = 10;
		opt.hold_ms = 10000;
		opt.confirm_ms = 1000;
		opt.call_timeout_ms = 50;
		opt.renew_ms = 30;
		opt.retry_ms = 20;
		opt.ahead = 2;
		opt.lost_after = 2;
		opt.max_failures = 2;
		opt.max_no_room = 2;
		opt.actions = &actions;
		opt.ctx = this;
		l = ledger_open(&opt);
		ASSERT_NE(l, nullptr);
		ledger_worker_set(l, "w0", &two, now);
		ledger_acquire(l, &head, 0, 0, now);
		step();
		commit();
		fence_ok("w0");
		sent.clear();
	}
	void
	TearDown() override
	{
		ledger_close(l);
	}
	void
	step()
	{
		ledger_step(l, now);
	}
	void
	commit()
	{
		ledger_begin_write(l, now);
		ledger_write_done(l, l->revision + 1, now, now);
		step();
	}
	void
	fence_ok(const char *worker)
	{
		ledger_fence_answered(l, ledger_worker_find(l, worker), nullptr,
		    0, nullptr, 0, now);
		step();
	}
	void
	accept(int n, const char *job = "j", bool urgent = false)
	{
		struct task_record r = {};
		strlcpy(r.job, job, sizeof(r.job));
		r.urgent = urgent;
		r.size = { 1, 1, 0 };
		for (int i = 0; i < n; i++, r.index++)
			ASSERT_EQ(ledger_accept(l, &r), LEDGER_OK);
		step();
	}
	bool
	was_sent(const std::string &what)
	{
		for (auto &s : sent)
			if (s == what)
				return true;
		return false;
	}
	struct ledger_worker *
	w0()
	{
		return ledger_worker_find(l, "w0");
	}
	enum task_state
	state(uint32_t i)
	{
		struct ledger_task *t = ledger_find(l, "j", i);
		return t == nullptr ? TASK_DONE : ledger_task_state(t);
	}
};

TEST_F(Ledger, WritesFirstThenStarts)
{
	accept(1);
	EXPECT_TRUE(was_sent("write"));
	EXPECT_FALSE(was_sent("start j/0.1"));
	commit();
	EXPECT_TRUE(was_sent("start j/0.1"));
	ledger_start_answered(l, "j/0", 1, RESULT_OK, now);
	EXPECT_EQ(state(0), TASK_RUNNING);
}

/*
 * The store becomes unavailable with a write in flight.  Tasks whose bind was
 * confirmed before still start when room becomes free, finishes are not
 * acknowledged, and nothing new is bound.  After hold_ms without confirmation
 * from the store, all calls to workers stop.
 */
TEST_F(Ledger, ContinuesBoundWorkWhileTheStoreIsUnavailable)
{
	struct ledger_report done = { "j/0", 1, OUTCOME_DONE };
	struct ledger_report runs = { "j/1", 1, OUTCOME_DONE };

	accept(4); /* two run, two are bound without room */
	commit();
	ledger_start_answered(l, "j/0", 1, RESULT_OK, now);
	ledger_start_answered(l, "j/1", 1, RESULT_OK, now);
	EXPECT_FALSE(was_sent("start j/2.1"));
	ledger_renew_answered(l, w0(), &runs, 1, &done, 1, now);
	step();
	EXPECT_TRUE(was_sent("start j/2.1"));
	ledger_begin_write(l, now);
	ledger_write_unknown(l, now);
	sent.clear();
	accept(0);
	now += 100;
	step();
	EXPECT_TRUE(was_sent("renew w0")); /* the finish isn't acknowledged */
	ledger_read_done(l, nullptr, 0, now, now);
	now += 10000;
	sent.clear();
	step();
	for (auto &s : sent)
		EXPECT_EQ(s, "read");
}

/*
 * A write gets no answer: the record is read back, and shows here that the
 * write took effect.
 */
TEST_F(Ledger, ReadsBackAWriteWithoutAnAnswer)
{
	struct ledger_head head = {};

	accept(1);
	uint64_t change = ledger_begin_write(l, now);
	ledger_write_unknown(l, now);
	sent.clear();
	step();
	EXPECT_TRUE(was_sent("read"));
	strlcpy(head.owner, "e1", sizeof(head.owner));
	head.epoch = l->epoch;
	head.change = change;
	ledger_read_done(l, &head, l->revision + 5, now, now);
	step();
	EXPECT_TRUE(was_sent("start j/0.1"));
	EXPECT_FALSE(was_sent("write"));
}

TEST_F(Ledger, DropsEverythingForAnotherOwner)
{
	struct ledger_head head = {};

	accept(1);
	ledger_begin_write(l, now);
	ledger_write_unknown(l, now);
	step();
	strlcpy(head.owner, "e2", sizeof(head.owner));
	head.epoch = l->epoch + 1;
	sent.clear();
	ledger_read_done(l, &head, l->revision + 1, now, now);
	now += 100000;
	step();
	EXPECT_EQ(lost, LOST_OWNER);
	EXPECT_TRUE(sent.empty());
}

/*
 * A worker has seen a higher epoch: the entry sends nothing before it has read
 * the record.
 */
TEST_F(Ledger, StopsAtOnceWhenFenced)
{
	accept(1);
	commit();
	ledger_fenced(l, l->epoch + 3, now);
	sent.clear();
	now += 1000;
	step();
	EXPECT_EQ(sent, std::vector<std::string>({ "read" }));
	ledger_read_done(l, nullptr, 0, now, now);
	EXPECT_EQ(lost, -1);
	now += 100;
	step();
	struct ledger_head head = {};
	ledger_read_done(l, &head, l->revision, now, now);
	EXPECT_EQ(lost, LOST_FENCED);
}

/*
 * A finish that is reported repeatedly counts once, one of an older attempt is
 * ignored, and it is acknowledged only after the write.
 */
TEST_F(Ledger, CountsAFinishOnceAndAcknowledgesItWhenWritten)
{
	struct ledger_report done = { "j/0", 1, OUTCOME_DONE };
	struct ledger_report old = { "j/0", 0, OUTCOME_DONE };

	accept(1);
	commit();
	ledger_start_answered(l, "j/0", 1, RESULT_OK, now);
	ledger_renew_answered(l, w0(), nullptr, 0, &old, 1, now);
	EXPECT_EQ(state(0), TASK_RUNNING);
	now += 30;
	step();
	ledger_renew_answered(l, w0(), nullptr, 0, &done, 1, now);
	now += 30;
	sent.clear();
	step();
	EXPECT_TRUE(was_sent("renew w0"));
	ledger_renew_answered(l, w0(), nullptr, 0, &done, 1, now);
	EXPECT_EQ(TAILQ_FIRST(&l->jobs)->done, 1U);
	commit();
	now += 30;
	step();
	EXPECT_TRUE(was_sent("renew w0 acks j/0"));
	EXPECT_EQ(ledger_find(l, "j", 0), nullptr);
}

/*
 * One ledger step after a job with many tasks is cancelled sends all stops; one
 * fence round frees the resources.
 */
TEST_F(Ledger, CancelsABurstInOnePass)
{
	accept(40);
	commit();
	ledger_start_answered(l, "j/0", 1, RESULT_OK, now);
	ledger_start_answered(l, "j/1", 1, RESULT_OK, now);
	sent.clear();
	EXPECT_EQ(ledger_cancel_job(l, "j"), 40U);
	EXPECT_EQ(ledger_cancel_job(l, "j"), 0U);
	step();
	EXPECT_TRUE(was_sent("stop j/0.1"));
	EXPECT_TRUE(was_sent("stop j/1.1"));
	ledger_stop_answered(l, "j/0", 1, RESULT_OK, now);
	ledger_stop_answered(l, "j/1", 1, RESULT_OK, now);
	EXPECT_EQ(w0()->room.used.cpu_millis, 2);
	step();
	fence_ok("w0");
	EXPECT_EQ(w0()->room.used.cpu_millis, 0);
	commit();
	EXPECT_EQ(l->ntasks, 0U);
}

/*
 * A task evicted with a checkpoint is bound again as the next attempt, with the
 * token of the first answer.
 */
TEST_F(Ledger, ResumesFromItsCheckpoint)
{
	accept(1);
	commit();
	ledger_start_answered(l, "j/0", 1, RESULT_OK, now);
	struct ledger_task *t = ledger_find(l, "j", 0);
	EXPECT_EQ(ledger_evict(l, t, WANT_CHECKPOINT, "test"), LEDGER_OK);
	step();
	ledger_checkpoint_answered(l, "j/0", 1, RESULT_OK, "c7", 5, now);
	ledger_checkpoint_answered(l, "j/0", 1, RESULT_OK, "c8", 5, now);
	step();
	EXPECT_STREQ(t->r.checkpoint, "c7");
	EXPECT_EQ(t->r.evictions, 1U);
	EXPECT_FALSE(was_sent("start j/0.2"));
	commit();
	EXPECT_TRUE(was_sent("start j/0.2"));
}

/*
 * Resources freed on a full worker go to the urgent task, which starts before
 * tasks that were bound ahead there.
 */
TEST_F(Ledger, FreedRoomGoesToAnUrgentTaskFirst)
{
	accept(4);
	commit();
	ledger_start_answered(l, "j/0", 1, RESULT_OK, now);
	ledger_start_answered(l, "j/1", 1, RESULT_OK, now);
	accept(1, "u", true);
	commit();
	EXPECT_EQ(ledger_find(l, "u", 0)->worker, nullptr);
	ledger_find(l, "u", 0)->waits_since_ms = now;
	ledger_evict(l, ledger_find(l, "j", 0), WANT_CHECKPOINT, "test");
	step();
	ledger_checkpoint_answered(l, "j/0", 1, RESULT_OK, "c", 5, now);
	step();
	commit();
	EXPECT_TRUE(was_sent("start u/0.1"));
	EXPECT_FALSE(was_sent("start j/2.1"));
	EXPECT_EQ(w0()->room.used.cpu_millis, 2);
}

/* 100 tasks that are too large for the worker do not delay the next job. */
TEST_F(Ledger, AJobThatFitsNowhereKeepsNoOtherWaiting)
{
	struct task_record r = {};

	strlcpy(r.job, "large", sizeof(r.job));
	r.size = { 9, 9, 0 };
	for (; r.index < 100; r.index++)
		ASSERT_EQ(ledger_accept(l, &r), LEDGER_OK);
	accept(1);
	EXPECT_EQ(state(0), TASK_BOUND);
	EXPECT_STREQ(ledger_find(l, "large", 99)->reason, "too_large");
	EXPECT_NE(ledger_find(l, "large", 99)->waits_since_ms, 0);
}

/*
 * Two tasks run and two wait for room on a full worker when another worker
 * joins.  Tasks that wait are rebound there, the last one first, and start once
 * the new bind is committed.  Running tasks are not rebound, and none is while
 * the store is unavailable.
 */
TEST_F(Ledger, BindsElsewhereWhatWaitsForRoom)
{
	struct resources one = { 1, 1, 0 };

	accept(4);
	commit();
	ledger_worker_set(l, "w1", &one, now);
	step();
	ledger_set_store_available(l, false);
	fence_ok("w1");
	EXPECT_EQ(w0()->waiting, 2U);
	ledger_set_store_available(l, true);
	now += 20;
	step();
	EXPECT_EQ(w0()->waiting, 1U);
	EXPECT_STREQ(ledger_find(l, "j", 3)->r.worker, "w1");
	EXPECT_FALSE(was_sent("start j/3.2"));
	commit();
	EXPECT_TRUE(was_sent("start j/3.2"));
	struct ledger_worker *w1 = ledger_worker_find(l, "w1");
	EXPECT_EQ(
	    ledger_rebind(l, ledger_find(l, "j", 2), w1), LEDGER_ERR_ROOM);
	EXPECT_EQ(
	    ledger_rebind(l, ledger_find(l, "j", 0), w1), LEDGER_ERR_STATE);
}

/*
 * Tasks of an unreachable worker are not rebound before their leases have
 * surely expired.
 */
TEST_F(Ledger, WaitsForTheLeaseOfALostWorker)
{
	struct resources two = { 2, 2, 0 };

	accept(1);
	commit();
	ledger_start_answered(l, "j/0", 1, RESULT_OK, now);
	ledger_worker_set(l, "w1", &two, now);
	step();
	fence_ok("w1");
	ledger_renew_failed(l, w0(), now);
	now += 30;
	step();
	ledger_renew_failed(l, w0(), now);
	/* Last renewal + call timeout + 3 leases + margin. */
	now += 50 + 3 * 100 + 10 - 1;
	step();
	EXPECT_EQ(state(0), TASK_RUNNING);
	now += 1;
	step();
	EXPECT_STREQ(ledger_find(l, "j", 0)->r.worker, "w1");
	commit();
	EXPECT_TRUE(was_sent("start j/0.2"));
}

TEST_F(Ledger, GivesUpATaskThatFailsTooOften)
{
	accept(1);
	for (uint32_t attempt = 1; attempt <= 2; attempt++) {
		struct ledger_report bad = { "j/0", attempt, OUTCOME_FAILED };
		commit();
		ledger_start_answered(l, "j/0", attempt, RESULT_OK, now);
		ledger_renew_answered(l, w0(), nullptr, 0, &bad, 1, now);
		now += 100;
		step();
	}
	EXPECT_EQ(state(0), TASK_FAILED);
}

/*
 * On a hand-over, the record is written without an owner before anything else
 * is sent.
 */
TEST_F(Ledger, HandsOver)
{
	accept(1);
	commit();
	ledger_release(l, now);
	sent.clear();
	now += 100;
	step();
	EXPECT_EQ(sent, std::vector<std::string>({ "write" }));
	ledger_begin_write(l, now);
	EXPECT_STREQ(ledger_owner(l), "");
	EXPECT_TRUE(l->settled);
	ledger_write_done(l, l->revision + 1, now, now);
	EXPECT_EQ(lost, LOST_RELEASED);
}

} // namespace

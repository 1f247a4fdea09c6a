#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "workstand/usage.h"
#include "workstand/witness.h"
#include "workstand/worker.h"
}

namespace {

struct Written {
	std::string task;
	int64_t progress_ms;
};

class WorkerTest : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		witness_options wo = { 100, 100 };
		witness = witness_open(&wo);
		a = open("w1", false);
		b = open("w2", false);
	}

	void
	TearDown() override
	{
		worker_close(a);
		worker_close(b);
		witness_close(witness);
	}

	struct worker *
	open(const char *id, bool accept_over)
	{
		worker_options o = {};
		o.id = id;
		o.capacity = { 4000, 1000, 1, 2, 3 };
		o.accept_over = accept_over;
		o.witness = witness;
		o.on_changed = [](struct worker *, const char *, void *) {};
		o.on_checkpointed = [](struct worker *, const char *task,
					int64_t, int64_t ms, void *ctx) {
			((WorkerTest *)ctx)->written.push_back({ task, ms });
		};
		o.ctx = this;
		return worker_open(&o);
	}

	worker_start
	task(const char *id, int64_t attempt, int64_t epoch = 1)
	{
		worker_start s = {};
		s.ref = { "dc.r1", epoch, id, attempt };
		s.lease_ms = 1000;
		s.cpu_millis = 1000;
		s.memory_mib = 100;
		s.checkpoint = "";
		s.run_ms = 500;
		return s;
	}

	worker_error
	start(struct worker *w, const char *id, int64_t attempt, int64_t now_ms)
	{
		worker_start s = task(id, attempt);
		return worker_start_task(w, &s, now_ms);
	}

	std::vector<std::string>
	ends(struct worker *w)
	{
		std::vector<std::string> list;
		worker_each_end(
		    w, "dc.r1",
		    [](const worker_task *t, void *ctx) {
			    ((std::vector<std::string> *)ctx)
				->push_back(std::string(t->task) + ":" +
				    worker_outcome_name(t->outcome));
		    },
		    &list);
		return list;
	}

	witness_totals
	totals()
	{
		witness_totals t;
		witness_count(witness, &t);
		return t;
	}

	struct witness *witness;
	struct worker *a, *b;
	std::vector<Written> written;
};

/*
 * A former owner resumes after a pause and sends messages decided before it.
 * The new owner has fenced the worker meanwhile.  Every message of the former
 * owner must be refused because of its lower epoch.
 */
TEST_F(WorkerTest, EveryMessageAtALowerEpochIsRefused)
{
	ASSERT_EQ(WORKER_OK, start(a, "j/0", 1, 0));
	ASSERT_EQ(WORKER_OK, worker_fence(a, "dc.r1", 2));
	worker_start late = task("j/1", 1);
	worker_task_ref ref = task("j/0", 1).ref;
	EXPECT_EQ(WORKER_ERR_FENCED, worker_start_task(a, &late, 1));
	EXPECT_EQ(WORKER_ERR_FENCED, worker_stop(a, &ref, 1));
	EXPECT_EQ(WORKER_ERR_FENCED, worker_checkpoint(a, &ref, 1));
	EXPECT_EQ(WORKER_ERR_FENCED, worker_throttle(a, &ref, 50, 1));
	EXPECT_EQ(WORKER_ERR_FENCED, worker_renew(a, "dc.r1", 1, 1000, 1));
	EXPECT_EQ(
	    WORKER_ERR_FENCED, worker_call_begin(a, "dc.r1", 1, false, 1));
	EXPECT_EQ(6u, worker_get_record(a)->refused[WORKER_ERR_FENCED]);
	EXPECT_EQ(2, worker_epoch(a, "dc.r1"));
	EXPECT_EQ(WORKER_OK, worker_fence(a, "dc.r2", 1)) << "another shard";
}

/*
 * The start of an attempt arrives after its stop.  It must not run, since the
 * owner may have started the next attempt on another worker.
 */
TEST_F(WorkerTest, AnAttemptOnceEndedNeverStarts)
{
	worker_task_ref never = task("j/0", 3).ref;
	ASSERT_EQ(WORKER_OK, worker_stop(a, &never, 0));
	EXPECT_EQ(WORKER_ERR_STALE, start(a, "j/0", 3, 1));
	EXPECT_EQ(WORKER_ERR_STALE, start(a, "j/0", 2, 1));
	EXPECT_EQ(WORKER_OK, start(a, "j/0", 4, 1));
	EXPECT_EQ(WORKER_OK, start(a, "j/0", 4, 2)) << "repeated start";
	EXPECT_EQ(1u, totals().starts);
	worker_tick(a, 600);
	EXPECT_EQ(WORKER_ERR_STALE, start(a, "j/0", 4, 700)) << "finished";
	EXPECT_EQ(1u, totals().starts);
}

TEST_F(WorkerTest, AnEndIsReportedUntilItIsAcknowledged)
{
	start(a, "j/0", 1, 0);
	worker_tick(a, 499);
	EXPECT_FALSE(worker_has_end(a, "dc.r1"));
	worker_tick(a, 501);
	EXPECT_EQ(std::vector<std::string>{ "j/0:done" }, ends(a));
	worker_ack(a, "j/0", 2);
	EXPECT_TRUE(worker_has_end(a, "dc.r1"))
	    << "acknowledgement of another attempt";
	worker_ack(a, "j/0", 1);
	EXPECT_FALSE(worker_has_end(a, "dc.r1"));
	EXPECT_EQ(0, worker_used(a)->cpu_millis);
}

/*
 * The owner has failed and the lease is not renewed.  The task must end when
 * its lease expires, even if it would complete at the same time, since a new
 * owner relies on that.  A later renewal does not resume it.
 */
TEST_F(WorkerTest, ALeaseThatRanOutEndsTheTask)
{
	worker_start s = task("j/0", 1);
	s.run_ms = 1000;
	worker_start_task(a, &s, 0);
	EXPECT_EQ(WORKER_OK, worker_renew(a, "dc.r1", 1, 1000, 1000));
	EXPECT_EQ(std::vector<std::string>{ "j/0:lease_expired" }, ends(a));
	EXPECT_EQ(1u, worker_get_record(a)->leases_expired);
}

TEST_F(WorkerTest, RenewingKeepsTheTaskAlive)
{
	worker_start s = task("j/0", 1);
	s.run_ms = 5000;
	worker_start_task(a, &s, 0);
	for (int64_t t = 900; t < 5000; t += 900)
		worker_renew(a, "dc.r1", 1, 1000, t);
	worker_tick(a, 5000);
	EXPECT_EQ(std::vector<std::string>{ "j/0:done" }, ends(a));
}

/*
 * The response to a checkpoint request is lost and the owner repeats it.  The
 * task has already stopped; its token must be returned again, or its work
 * would be lost.
 */
TEST_F(WorkerTest, ACheckpointIsAnsweredAgainAndResumes)
{
	worker_start s = task("j/0", 1);
	s.checkpoint_ms = 100;
	worker_start_task(a, &s, 0);
	ASSERT_EQ(WORKER_OK, worker_checkpoint(a, &s.ref, 200));
	EXPECT_TRUE(written.empty());
	worker_tick(a, 300);
	ASSERT_EQ(1u, written.size());
	EXPECT_EQ(300, written[0].progress_ms);
	ASSERT_EQ(WORKER_OK, worker_checkpoint(a, &s.ref, 400));
	ASSERT_EQ(2u, written.size());
	EXPECT_EQ(300, written[1].progress_ms);
	worker_start again = task("j/0", 2);
	again.checkpoint = "p300";
	ASSERT_EQ(WORKER_OK, worker_start_task(b, &again, 400));
	worker_tick(b, 599);
	EXPECT_FALSE(worker_has_end(b, "dc.r1"));
	worker_tick(b, 600);
	EXPECT_TRUE(worker_has_end(b, "dc.r1"));
	EXPECT_EQ(0u, totals().two_places);
}

TEST_F(WorkerTest, AThrottledTaskTakesLonger)
{
	worker_start s = task("j/0", 1);
	s.lease_ms = 5000;
	worker_start_task(a, &s, 0);
	worker_throttle(a, &s.ref, 25, 100);
	worker_throttle(a, &s.ref, 100, 900);
	worker_tick(a, 1099);
	EXPECT_FALSE(worker_has_end(a, "dc.r1")) << "100 + 800/4 + 199 ms";
	worker_tick(a, 1100);
	EXPECT_EQ(std::vector<std::string>{ "j/0:done" }, ends(a));
}

TEST_F(WorkerTest, NoiseSlowsCallsDown)
{
	EXPECT_DOUBLE_EQ(1, worker_slowdown(a));
	worker_start s = task("j/0", 1);
	s.noise = 2;
	worker_start_task(a, &s, 0);
	EXPECT_DOUBLE_EQ(3, worker_slowdown(a));
	worker_throttle(a, &s.ref, 50, 1);
	EXPECT_DOUBLE_EQ(2, worker_slowdown(a));
	s = task("j/1", 1);
	s.cpu_used_millis = 7500;
	worker_start_task(a, &s, 1);
	EXPECT_DOUBLE_EQ(4, worker_slowdown(a)) << "8 of 4 cores requested";
}

struct RoomRow {
	const char *what;
	int64_t cpu_millis, memory_mib, accelerators;
	worker_error expected;
};

/* A start beyond the capacity is refused and counted. */
TEST_F(WorkerTest, RoomIsKeptAndWhatWasAskedIsRecorded)
{
	const RoomRow rows[] = {
		{ "all fits", 4000, 1000, 1, WORKER_OK },
		{ "processors", 4001, 1, 0, WORKER_ERR_NO_ROOM },
		{ "memory", 1, 1001, 0, WORKER_ERR_NO_ROOM },
		{ "accelerators", 1, 1, 2, WORKER_ERR_NO_ROOM },
	};
	for (const RoomRow &row : rows) {
		for (bool accept_over : { false, true }) {
			struct worker *w = open("w3", accept_over);
			worker_start s = task("j/9", 1);
			s.cpu_millis = row.cpu_millis;
			s.memory_mib = row.memory_mib;
			s.accelerators = row.accelerators;
			EXPECT_EQ(accept_over ? WORKER_OK : row.expected,
			    worker_start_task(w, &s, 0))
			    << row.what;
			EXPECT_EQ(row.expected == WORKER_OK ? 0u : 1u,
			    worker_get_record(w)->over_capacity_starts)
			    << row.what;
			EXPECT_EQ(accept_over || row.expected == WORKER_OK ?
				row.cpu_millis :
				0,
			    worker_get_record(w)->most_used.cpu_millis);
			worker_close(w);
		}
	}
}

TEST_F(WorkerTest, ACallTakesASlotAndAWatchOnlyAConnection)
{
	EXPECT_EQ(WORKER_OK, worker_call_begin(a, "dc.r1", 1, false, 0));
	EXPECT_EQ(WORKER_OK, worker_call_begin(a, "dc.r1", 1, false, 0));
	EXPECT_EQ(WORKER_ERR_FULL, worker_call_begin(a, "dc.r1", 1, false, 0));
	EXPECT_EQ(WORKER_OK, worker_call_begin(a, "dc.r1", 1, true, 0));
	EXPECT_EQ(WORKER_ERR_FULL, worker_call_begin(a, "dc.r1", 1, true, 0));
	worker_call_end(a, "dc.r1", 1, false);
	EXPECT_EQ(WORKER_OK, worker_call_begin(a, "dc.r1", 1, true, 0));
	EXPECT_EQ(2, worker_get_record(a)->most_used.slots);
	EXPECT_EQ(3, worker_get_record(a)->most_used.connections);
	EXPECT_EQ(2u, worker_get_record(a)->over_capacity_calls);
}

/*
 * A new owner fences a worker under load and may issue credits only for free
 * slots.  Calls of lower epochs are counted separately, so that it learns of
 * each of their slots that becomes free while new calls use others.
 */
TEST_F(WorkerTest, CallsOfLowerEpochsAreCountedApart)
{
	worker_call_begin(a, "dc.r1", 1, false, 0);
	worker_call_begin(a, "dc.r1", 1, true, 0);
	EXPECT_EQ(0, worker_older_calls(a, "dc.r1").connections);
	worker_fence(a, "dc.r1", 2);
	EXPECT_EQ(1, worker_older_calls(a, "dc.r1").slots);
	EXPECT_EQ(2, worker_older_calls(a, "dc.r1").connections);
	worker_call_begin(a, "dc.r1", 2, false, 0);
	worker_call_end(a, "dc.r1", 1, false);
	EXPECT_EQ(0, worker_older_calls(a, "dc.r1").slots);
	EXPECT_EQ(1, worker_used(a)->slots);
	worker_call_end(a, "dc.r1", 2, false);
	EXPECT_EQ(0, worker_used(a)->slots);
	EXPECT_EQ(1, worker_older_calls(a, "dc.r1").connections);
	EXPECT_EQ(0, worker_older_calls(a, "dc.r9").connections);
}

TEST_F(WorkerTest, WorkSentToALeavingWorkerIsCountedWithItsAge)
{
	worker_leave(a, true, false, 100);
	EXPECT_EQ(WORKER_OK, start(a, "j/0", 1, 150));
	EXPECT_EQ(50, worker_get_record(a)->last_while_leaving_ms);
	worker_leave(a, true, true, 200);
	EXPECT_EQ(
	    WORKER_ERR_LEAVING, worker_call_begin(a, "dc.r1", 1, false, 400));
	EXPECT_EQ(300, worker_get_record(a)->last_while_leaving_ms);
	EXPECT_EQ(1u, worker_get_record(a)->calls_while_leaving);
	EXPECT_EQ(1u, worker_get_record(a)->starts_while_leaving);
}

/*
 * Two entries act as owner of a task and start it on two workers.  Neither
 * worker can detect this; the witness of the process does.
 */
TEST_F(WorkerTest, TheWitnessSeesATaskInTwoPlaces)
{
	start(a, "j/0", 1, 0);
	EXPECT_EQ(0u, totals().two_places);
	start(b, "j/0", 2, 0);
	EXPECT_EQ(1u, totals().two_places);
	worker_tick(a, 600);
	worker_tick(b, 600);
	EXPECT_EQ(1u, totals().done_again);
}

TEST_F(WorkerTest, ASecondAttemptBesideARunningOneIsRefusedAndRecorded)
{
	start(a, "j/0", 1, 0);
	EXPECT_EQ(WORKER_ERR_NO_ROOM, start(a, "j/0", 2, 0));
	EXPECT_EQ(1u, worker_get_record(a)->two_attempts);
}

TEST_F(WorkerTest, TheWitnessCountsRunsOfEachRequest)
{
	witness_request_ran(witness, "i-1", false);
	witness_request_ran(witness, "i-1", false);
	witness_request_ran(witness, "n-1", false);
	EXPECT_EQ(0u, totals().non_idempotent_again);
	witness_request_ran(witness, "n-1", false);
	witness_request_ran(witness, "x", true);
	witness_request_ran(witness, "x", true);
	EXPECT_EQ(2u, totals().non_idempotent_again);
	EXPECT_EQ(3u, totals().ran_again);
	EXPECT_EQ(2u, witness_request_runs(witness, "i-1"));
	EXPECT_EQ(0u, witness_request_runs(witness, "i-2"));
}

TEST(Usage, AWindowShowsOnlyAfterTheLag)
{
	struct usage *u = usage_open(100, 1000);
	std::vector<usage_window> seen;
	usage_visit *visit = [](const usage_window *w, void *ctx) {
		((std::vector<usage_window> *)ctx)->push_back(*w);
	};
	for (int i = 1; i <= 100; i++)
		usage_call(u, "custodio", i, 0);
	usage_call(u, "custodio", 500, 150);
	usage_each(u, 1099, visit, &seen);
	EXPECT_TRUE(seen.empty());
	usage_each(u, 1100, visit, &seen);
	ASSERT_EQ(1u, seen.size());
	EXPECT_EQ(100u, seen[0].calls);
	EXPECT_NEAR(99, seen[0].p99_ms, 0.5);
	seen.clear();
	usage_each(u, 1250, visit, &seen);
	ASSERT_EQ(1u, seen.size());
	EXPECT_EQ(1u, seen[0].calls);
	usage_close(u);
}

} // namespace

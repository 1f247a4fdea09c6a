#include <algorithm>

#include "sched_fixture.h"

/*
 * What the worker record tells the next leader of a worker on which nothing is
 * started any more: a task that isn't named there is started again, unless the
 * store says that it is done.
 */
class SchedInherit : public Sched {
      protected:
	// A worker that drains and runs the only task of a job.
	void
	RunOnDrainingWorker()
	{
		worker = AddWorker("w1", 8000);
		Fence();
		job = Add(Graph("job", 1, 1000));
		sched_act(s, now);
		ASSERT_EQ(started.size(), 1u);
		ConfirmStarts();
		now += 100;
		Answer(worker, RunningRows());
		const struct resources capacity = { 8000, 64000, 0 };
		sched_worker_listed(
		    s, worker, &capacity, true, now + 10000, now);
		sched_act(s, now);
		ASSERT_EQ(worker->record_wanted, RECORD_CLOSED);
		ASSERT_TRUE(Names(started[0].task));
	}

	// The record that a leader would write now names the task.
	bool
	Names(const struct task_name &task) const
	{
		std::vector<task_name> names;

		if (!sched_worker_each_task(
			worker,
			[](const struct task_name *name, void *ctx) {
				static_cast<std::vector<task_name> *>(ctx)
				    ->push_back(*name);
			},
			&names))
			return true; // any task may run there
		return std::any_of(
		    names.begin(), names.end(), [&](const task_name &name) {
			    return strcmp(name.job, task.job) == 0 &&
				name.step == task.step &&
				name.index == task.index;
		    });
	}

	void
	Save()
	{
		struct sched_job *dirty;

		while ((dirty = sched_next_dirty(s)) != nullptr)
			sched_saved(s, dirty, dirty->change, now);
		now += 10;
		sched_act(s, now);
	}

	struct sched_worker *worker = nullptr;
	struct sched_job *job = nullptr;
};

// Guards against a task that is done and is run again: the leader ends after it
// has recorded the worker as empty and before it has saved the end.
TEST_F(SchedInherit, ATaskIsNamedUntilItsEndIsSaved)
{
	for (enum run_end how : { END_DONE, END_FAILED }) {
		RunOnDrainingWorker();
		now += 100;
		Answer(worker, {}, { End(1, started[0], how) });
		sched_act(s, now);
		EXPECT_TRUE(Names(started[0].task));
		EXPECT_FALSE(worker->record_empty);
		Save();
		EXPECT_FALSE(Names(started[0].task));
		EXPECT_TRUE(worker->record_empty);
		TearDown();
		started.clear();
		polled.clear();
		SetUp();
	}
}

// The same, where the end comes with the answer to a poll that was given up.
TEST_F(SchedInherit, ATaskIsNamedUntilItsLateEndIsSaved)
{
	RunOnDrainingWorker();
	const struct poll_finished end = End(1, started[0], END_DONE);
	struct poll_result late = { 0, now, nullptr, 0, &end, 1 };
	sched_late_ends_reported(s, worker, &late, now);
	sched_act(s, now);
	EXPECT_TRUE(Names(started[0].task));
	EXPECT_FALSE(worker->record_empty);
	now += 100;
	Answer(worker, {}, { end });
	Save();
	EXPECT_FALSE(Names(started[0].task));
}

// The same, behind an end whose job this leader doesn't know yet.
TEST_F(SchedInherit, ATaskIsNamedBehindAnEndOfAnUnknownJob)
{
	Order other;

	RunOnDrainingWorker();
	other = started[0];
	strlcpy(other.task.job, "other", sizeof(other.task.job));
	now += 100;
	Answer(worker, {},
	    { End(1, other, END_DONE), End(2, started[0], END_DONE) });
	Save();
	EXPECT_TRUE(Names(started[0].task));
	EXPECT_TRUE(Names(other.task));
	EXPECT_FALSE(worker->record_empty);
	sched_job_add_absent(s, "other", now);
	now += 200;
	Answer(worker, {},
	    { End(1, other, END_DONE), End(2, started[0], END_DONE) });
	Save();
	EXPECT_FALSE(Names(started[0].task));
	EXPECT_TRUE(worker->record_empty);
}

// Guards against a lease that counts as over while an end there isn't saved.
TEST_F(SchedInherit, TheLeaseIsRecordedUntilTheEndIsSaved)
{
	RunOnDrainingWorker();
	now += 100;
	Answer(worker, {}, { End(1, started[0], END_DONE) });
	EXPECT_GT(sched_worker_lease_left_ms(s, worker, now), 0);
	Save();
	EXPECT_EQ(sched_worker_lease_left_ms(s, worker, now), 0);
}

// What the record tells of the start of a worker that may restart under its id.
class SchedInheritStart : public Sched {
      protected:
	static constexpr int64_t kStart = 1000, kLater = 2000;

	// The last leader recorded a worker in use with one of its starts; the
	// list tells another.
	struct sched_worker *
	InheritStart(int64_t recorded, int64_t listed)
	{
		struct sched_worker *w =
		    Inherit("w", RECORD_IN_USE, 0, nullptr, recorded);

		if (listed != 0)
			sched_worker_list_start(s, w, listed, now);
		return w;
	}

	// A task of an earlier leader that the worker lists.
	static poll_running
	FormerRun()
	{
		poll_running row = { {}, 1, "", 100, 0 };

		strlcpy(row.task.job, "job", sizeof(row.task.job));
		return row;
	}

	// The worker answers the poll that is due.
	void
	AnswerPoll(struct sched_worker *w, int64_t started_ms, bool runs = true)
	{
		std::vector<poll_running> rows;

		if (runs)
			rows.push_back(FormerRun());
		sched_act(s, now);
		Answer(w, rows, {}, started_ms);
		ASSERT_EQ(w->inc.heard_ms, now);
		ASSERT_EQ(w->inc.started_ms, started_ms);
	}

	void
	ExpectUsualLease(struct sched_worker *w, int64_t since)
	{
		EXPECT_LT(now + sched_worker_lease_left_ms(s, w, now),
		    since + options.lease_max_ms);
	}

	void
	ExpectLongestLease(struct sched_worker *w, int64_t since)
	{
		EXPECT_GE(now + sched_worker_lease_left_ms(s, w, now),
		    since + options.lease_max_ms);
	}
};

// Guards against a lease of the recorded incarnation that is taken for that of
// the one that answers.
TEST_F(SchedInheritStart, AnAnswerOfAnotherIncarnationAllowsTheLongestLease)
{
	for (int64_t recorded :
	    { kStart, (int64_t)0, (int64_t)SCHED_START_UNKNOWN }) {
		struct sched_worker *w = InheritStart(recorded, kLater);
		AnswerPoll(w, kLater);
		ExpectLongestLease(w, now);
		TearDown();
		SetUp();
	}
	struct sched_worker *w = InheritStart(kLater, kLater);
	AnswerPoll(w, kLater);
	ExpectUsualLease(w, now);
}

// The same, where the worker is silent and the list tells the restart.
TEST_F(SchedInheritStart, AListedRestartAllowsTheLongestLease)
{
	const int64_t former = options.taken_ms + options.former_ms;

	ExpectLongestLease(InheritStart(kStart, kLater), former);
	TearDown();
	SetUp();
	ExpectLongestLease(InheritStart(SCHED_START_UNKNOWN, 0), former);
	TearDown();
	SetUp();
	ExpectUsualLease(InheritStart(kStart, kStart), former);
	TearDown();
	SetUp();
	ExpectUsualLease(InheritStart(kStart, 0), former);
}

// Guards against an expiring row of the former incarnation that ends the wait
// for the next one.
TEST_F(SchedInheritStart, AnExpiringRowOfAnotherIncarnationBoundsNothing)
{
	constexpr int64_t kLeftMs = 300;
	struct sched_worker *w =
	    Inherit("w", RECORD_EXPIRING, kLeftMs, nullptr, kStart);

	EXPECT_EQ(sched_worker_lease_left_ms(s, w, now), kLeftMs);
	sched_worker_list_start(s, w, kLater, now);
	ExpectLongestLease(w, now);
	AnswerPoll(w, kLater);
	ExpectLongestLease(w, now);
}

// Guards against a record that bounds the lease of a restarted worker by the
// usual one, and against one that never does so again.
TEST_F(SchedInheritStart, ARestartIsRecordedUntilItsLeasesAreUsual)
{
	struct sched_worker *w = sched_worker_get(s, "w");

	sched_worker_list_start(s, w, kStart, now);
	AddWorker("w", 8000);
	EXPECT_EQ(sched_worker_record_start(s, w, now), kStart);
	AnswerPoll(w, kStart);
	EXPECT_EQ(sched_worker_record_start(s, w, now), kStart);
	now += 100;
	AnswerPoll(w, kLater);
	EXPECT_EQ(sched_worker_record_start(s, w, now), SCHED_START_UNKNOWN);
	sched_worker_recording(s, w, now);
	now += 2 * options.lease_max_ms;
	AnswerPoll(w, kLater);
	EXPECT_EQ(sched_worker_record_start(s, w, now), kLater);
}

// Guards against a row that is written again as it was inherited, although the
// list has told a restart: the next leader may find no entry of the worker.
TEST_F(SchedInheritStart, AListedRestartIsRecordedUnheard)
{
	struct sched_worker *w = InheritStart(kStart, kLater);

	EXPECT_EQ(sched_worker_record_start(s, w, now), SCHED_START_UNKNOWN);
}

// Guards against records written for each start where workers grant less than
// the time that a start is valid.
TEST_F(SchedInheritStart, AStartDoesntChangeTheRecordedStart)
{
	s->opt.lease_max_ms = s->opt.lease_ms = 2000;
	struct sched_worker *w = sched_worker_get(s, "w");
	sched_worker_list_start(s, w, kStart, now);
	AddWorker("w", 8000);
	sched_act(s, now);
	Answer(w, {}, {}, kStart);
	ASSERT_EQ(sched_worker_record_start(s, w, now), kStart);
	Add(Graph("a", 1, 1000));
	now += 10;
	sched_act(s, now);
	ASSERT_EQ(started.size(), 1u);
	EXPECT_EQ(sched_worker_record_start(s, w, now), kStart);
}

// Guards against starts on a restarted worker while the store still tells that
// its leases are usual ones.
TEST_F(SchedInheritStart, NothingStartsBeforeTheRestartIsRecorded)
{
	struct sched_worker *w = sched_worker_get(s, "w");

	sched_worker_list_start(s, w, kStart, now);
	AddWorker("w", 8000);
	AnswerPoll(w, kStart, false);
	store_slow = true;
	now += 100;
	sched_worker_list_start(s, w, kLater, now);
	AnswerPoll(w, kLater, false);
	Add(Graph("a", 1, 1000));
	now += 100;
	sched_act(s, now);
	EXPECT_EQ(started.size(), 0u);
	store_slow = false;
	sched_worker_recording(s, w, now);
	sched_worker_recorded(w, RECORD_IN_USE);
	s->place_wanted = true;
	sched_act(s, now + 100);
	EXPECT_EQ(started.size(), 1u);
}

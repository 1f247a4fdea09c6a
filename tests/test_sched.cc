#include "sched_fixture.h"

// A worker's answer arrives after its poll timed out, and the worker is silent
// from then on.  The worker has reported the end and may assume that it was
// noted.  Once the lease is over, the completed task must not be started
// again; the task that was running must be.
TEST_F(Sched, EndsOfALateAnswerCount)
{
	struct sched_worker *w = AddWorker("w", 4000);
	poll_finished done;
	struct poll_result late = { 0, 0, nullptr, 0, &done, 1 };

	Add(Graph("a", 2, 1000));
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 2u);
	sched_poll_answered(s, w, ANSWER_LOST, nullptr, now);
	done = End(1, started[0], END_DONE);
	sched_late_ends_reported(s, w, &late, now);
	AddWorker("other", 4000);
	OnlyOtherAnswers(9000);
	ASSERT_EQ(started.size(), 3u);
	EXPECT_EQ(started[2].task.index, started[1].task.index);
}

// A worker answers its polls, but its task makes no progress, so its job would
// never end.  The task is stopped there and started on another worker.
TEST_F(Sched, ATaskWithoutProgressIsMoved)
{
	struct sched_worker *w = AddWorker("w", 2000);
	size_t before;

	Add(Graph("a", 1, 1000));
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 1u);
	AddWorker("other", 1000);
	sched_act(s, now);
	Answer(sched_worker_find(s, "other"));
	for (int64_t end = now + 2000; now < end; now += 250) {
		Answer(
		    w, { { started[0].task, started[0].attempt, "", 40, 0 } });
		sched_act(s, now);
	}
	ASSERT_EQ(stopped.size(), 1u);
	EXPECT_LT(now, 10000 + 4000);
	before = started.size();
	sched_stop_answered(s, w, w->inc.serial, &stopped[0].task,
	    stopped[0].attempt, ANSWER_OK, now, now);
	Answer(w, {}, { End(1, started[0], END_STOPPED) });
	sched_act(s, now += 10);
	ASSERT_EQ(started.size(), before + 1);
	EXPECT_EQ(started.back().worker, "other");
}

// A filler was throttled by a former leader, or by an order that was carried
// out late, while this leader assumes full pace.  Its job would never end.
// The leader repeats the order to run at full pace, and moves the task only if
// that doesn't help.
TEST_F(Sched, AFillerWithoutProgressIsToldToRunAtFullPace)
{
	struct sched_worker *w = AddWorker("w", 8000);
	struct graph *filler = Graph("b", 1, 1000);
	int percent = 10;

	filler->steps[0].filler = true;
	Add(filler);
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 1u);
	for (int64_t end = now + 3000; now < end; now += 250) {
		if (!paced.empty())
			percent += 8;
		Answer(w,
		    { { started[0].task, started[0].attempt, "", percent,
			800 } });
		sched_act(s, now);
		if (!paced.empty())
			sched_pace_answered(s, w, &paced[0].first.task,
			    paced[0].first.attempt, ANSWER_OK, now);
	}
	ASSERT_EQ(paced.size(), 1u);
	EXPECT_EQ(paced[0].second, 100);
	EXPECT_TRUE(stopped.empty());
}

// As above, but the worker hangs and the order has no effect, so the task is
// moved.
TEST_F(Sched, AFillerThatStaysWithoutProgressIsMoved)
{
	struct sched_worker *w = AddWorker("w", 8000);
	struct graph *filler = Graph("b", 1, 1000);

	size_t answered = 0;

	filler->steps[0].filler = true;
	Add(filler);
	Fence();
	ConfirmStarts();
	for (int64_t end = now + 4000; now < end; now += 250) {
		Answer(
		    w, { { started[0].task, started[0].attempt, "", 10, 0 } });
		sched_act(s, now);
		for (; answered < paced.size(); answered++)
			sched_pace_answered(s, w, &paced[0].first.task,
			    paced[0].first.attempt, ANSWER_OK, now);
	}
	EXPECT_EQ(paced.size(), 1u);
	EXPECT_EQ(stopped.size(), 1u);
}

TEST_F(Sched, NothingStartsOnAWorkerBeforeItHasAnswered)
{
	struct sched_worker *w = AddWorker("w", 4000);

	Add(Graph("a", 1, 1000));
	sched_act(s, now);
	EXPECT_TRUE(started.empty());
	Answer(w);
	sched_act(s, now += 10);
	EXPECT_EQ(started.size(), 1u);
}

TEST_F(Sched, CapacityIsNeverPassed)
{
	AddWorker("w", 4000);
	Add(Graph("a", 5, 1500));
	Fence();
	EXPECT_EQ(started.size(), 2u);
}

// Guards against starts on a worker whose capacity fell below what its tasks
// use.
TEST_F(Sched, ARoomThatShrinksTakesNothingUntilItFits)
{
	const struct resources small = { 2500, 64000, 0 };
	const struct resources large = { 6000, 64000, 0 };
	struct sched_worker *w = AddWorker("w", 4000);

	Add(Graph("a", 4, 1500));
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 2u);
	sched_worker_listed(s, w, &small, false, 0, now += 10);
	Answer(w, RunningRows());
	sched_act(s, now += 60);
	EXPECT_EQ(started.size(), 2u);
	Answer(w, { { started[1].task, started[1].attempt, "", 50, 0 } },
	    { End(1, started[0], END_DONE) });
	sched_act(s, now += 60);
	EXPECT_EQ(started.size(), 2u);
	sched_worker_listed(s, w, &large, false, 0, now += 10);
	sched_act(s, now += 60);
	EXPECT_EQ(started.size(), 4u);
}

// Guards against a gang placed by the former capacity of a worker, also while
// a stop is in progress.
TEST_F(Sched, AShrunkRoomHoldsForGangsAndWhileAStopLasts)
{
	const struct resources small = { 3000, 64000, 0 };
	struct sched_worker *w = AddWorker("w", 6000);
	struct sched_job *job = Add(Graph("a", 1, 3000));
	struct graph *gang = Graph("b", 2, 1500);

	gang->steps[0].gang = true;
	Fence();
	ConfirmStarts();
	sched_job_cancel(s, job, now);
	sched_act(s, now += 10);
	ASSERT_EQ(stopped.size(), 1u);
	sched_stop_answered(s, w, w->inc.serial, &started[0].task,
	    started[0].attempt, ANSWER_OK, now, now);
	sched_worker_listed(s, w, &small, false, 0, now += 10);
	Add(gang);
	sched_act(s, now += 60);
	EXPECT_EQ(started.size(), 1u);
	Answer(w, {}, { End(1, started[0], END_STOPPED) });
	sched_act(s, now += 60);
	EXPECT_EQ(started.size(), 3u);
}

TEST_F(Sched, RoomComesBackWithTheListedEndOnly)
{
	struct sched_worker *w = AddWorker("w", 2000);
	struct sched_job *job = Add(Graph("a", 1, 2000));

	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 1u);
	Order first = started[0];
	sched_job_cancel(s, job, now);
	Add(Graph("b", 1, 2000));
	now += 10;
	sched_act(s, now);
	ASSERT_EQ(stopped.size(), 1u);
	sched_stop_answered(s, w, w->inc.serial, &first.task, first.attempt,
	    ANSWER_OK, now, now);
	now += 50;
	sched_act(s, now);
	EXPECT_EQ(started.size(), 1u);
	now += 10;
	Answer(w, {}, { End(1, first, END_STOPPED) });
	now += 10;
	sched_act(s, now);
	EXPECT_EQ(started.size(), 2u);
}

// After a takeover, the first answer of a worker names an unknown job, so its
// list can't be applied completely.  The former leader may just have renewed
// the lease there: no task of the former leader's jobs starts before that
// lease has expired.
TEST_F(Sched, FirstAnswerMayHoldAFormerLeadersLease)
{
	struct sched_worker *half, *other;
	int64_t begin = now;
	Order foreign;

	Inherit("half", RECORD_IN_USE);
	half = AddWorker("half", 4000);
	other = AddWorker("other", 4000);
	Add(Graph("a", 1, 1000), true);
	sched_load_end(s, now);
	sched_act(s, now);
	memset(&foreign.task, 0, sizeof(foreign.task));
	strlcpy(foreign.task.job, "not-known", sizeof(foreign.task.job));
	foreign.attempt = 1;
	Answer(other);
	Answer(half, {}, { End(1, foreign, END_DONE) });
	EXPECT_EQ(unknown, std::vector<std::string>{ "not-known" });
	while (started.empty() && now < begin + 20000) {
		now += 50;
		sched_act(s, now);
		for (auto &id : std::vector<std::string>(polled)) {
			if (id == "other")
				Answer(other);
			else
				sched_poll_answered(
				    s, half, ANSWER_LOST, nullptr, now);
		}
		polled.clear();
	}
	EXPECT_GE(now, begin + options.lease_ms);
	EXPECT_LT(now, begin + 20000);
}

// Leaders are replaced one after another while a worker is silent.  The record
// says that its lease expires in a second.  Tasks that may run there wait for
// this time, not for a whole lease counted from the beginning of this term.
TEST_F(Sched, AnExpiringLeaseIsWaitedForNoLongerThanItLasts)
{
	struct sched_worker *silent = Inherit("silent", RECORD_EXPIRING, 1000);
	int64_t begin = now;

	AddWorker("other", 4000);
	Add(Graph("a", 1, 1000), true);
	sched_load_end(s, now);
	OnlyOtherAnswers(950);
	EXPECT_TRUE(started.empty());
	EXPECT_GT(sched_worker_lease_left_ms(s, silent, now), 0);
	OnlyOtherAnswers(200);
	EXPECT_EQ(started.size(), 1u);
	EXPECT_LT(now, begin + options.lease_ms);
}

// A worker was silent and answers again.  As long as the store may say that
// its lease is expiring, a next leader relies on that: the lease isn't
// renewed, and nothing is started there.
TEST_F(Sched, NoLeaseIsRenewedThatTheRecordMayDeclareExpiring)
{
	struct sched_worker *w = AddWorker("w", 4000);

	Fence();
	for (int i = 0; i < 3; i++) {
		sched_poll_answered(s, w, ANSWER_LOST, nullptr, now);
		now += 400;
		sched_act(s, now);
	}
	EXPECT_EQ(w->record_may, RECORD_BIT(RECORD_EXPIRING));
	EXPECT_EQ(renewed, 0);
	store_slow = true;
	Answer(w);
	now += 10;
	sched_act(s, now);
	EXPECT_EQ(w->record_wanted, RECORD_IN_USE);
	sched_worker_recording(s, w, now);
	Add(Graph("a", 1, 1000));
	Answer(w);
	now += 1000;
	sched_act(s, now);
	EXPECT_EQ(renewed, 0);
	EXPECT_TRUE(started.empty());
	sched_worker_recorded(w, RECORD_IN_USE);
	Answer(w);
	now += 1000;
	sched_act(s, now);
	EXPECT_GT(renewed, 0);
	EXPECT_EQ(started.size(), 1u);
}

// Workers leave one after another while leaders are replaced.  Each task waits
// only for the worker that it may run on: with a common wait, no task would
// start as long as workers keep leaving.
TEST_F(Sched, EachTaskWaitsForItsOwnWorkerOnly)
{
	std::vector<task_name> first = { { "a", 0, 0, 0 } };
	std::vector<task_name> second = { { "a", 0, 0, 1 } };

	Inherit("gone", RECORD_EXPIRING, 500, &first);
	Inherit("just-gone", RECORD_EXPIRING, 4000, &second);
	AddWorker("other", 4000);
	Add(Graph("a", 3, 1000), true);
	sched_load_end(s, now);
	OnlyOtherAnswers(450);
	ASSERT_EQ(started.size(), 1u);
	EXPECT_EQ(started[0].task.index, 2u);
	OnlyOtherAnswers(200);
	ASSERT_EQ(started.size(), 2u);
	EXPECT_EQ(started[1].task.index, 0u);
	OnlyOtherAnswers(3000);
	EXPECT_EQ(started.size(), 2u);
	OnlyOtherAnswers(600);
	EXPECT_EQ(started.size(), 3u);
}

// A run of a cancelled job is being stopped while its worker drains.  The end
// of the job isn't saved yet, so a next leader would take the job for open:
// the run must still be named in the record.
TEST_F(Sched, ARunThatNobodyNeedsIsNamedInTheRecord)
{
	struct sched_worker *w = AddWorker("w", 4000);
	const struct resources capacity = { 4000, 64000, 0 };
	struct sched_job *job = Add(Graph("a", 1, 1000));
	size_t n = 0;
	Order o;

	Fence();
	ASSERT_EQ(started.size(), 1u);
	o = started[0];
	ConfirmStarts();
	sched_job_cancel(s, job, now);
	Answer(w, {}, { End(1, o, END_STOPPED) });
	// Once it is saved, the end doesn't name the task any more.
	ASSERT_EQ(sched_next_dirty(s), job);
	sched_saved(s, job, job->change, now);
	now += 10;
	sched_act(s, now);
	// A later attempt of the task, ordered by a former leader.
	Answer(w, { { o.task, o.attempt + 1, "", 10, 0 } });
	sched_worker_listed(s, w, &capacity, true, now + 4000, now);
	now += 10;
	sched_act(s, now);
	EXPECT_TRUE(sched_worker_each_task(
	    w,
	    [](const struct task_name *, void *ctx) {
		    ++*static_cast<size_t *>(ctx);
	    },
	    &n));
	EXPECT_EQ(n, 1u);
	EXPECT_GT(sched_worker_lease_left_ms(s, w, now), 0);
}

// The first answer of a worker with an expiring lease arrives late, and the
// next one at once.  This must not shorten the computed lease.
TEST_F(Sched, ALateFirstAnswerShortensNoLease)
{
	struct sched_worker *w = Inherit("w", RECORD_EXPIRING, 4000);
	struct poll_result first = { 0, now, nullptr, 0, nullptr, 0 };
	int64_t lapses = now + 4000;

	store_slow = true;
	AddWorker("w", 4000);
	Add(Graph("unknown", 1, 1000), true);
	sched_act(s, now);
	// Its list can't be applied completely, so the worker remains
	// unfenced.
	Order foreign;
	memset(&foreign.task, 0, sizeof(foreign.task));
	strlcpy(foreign.task.job, "not-known", sizeof(foreign.task.job));
	foreign.attempt = 1;
	poll_finished end = End(1, foreign, END_DONE);
	first.finished = &end;
	first.nfinished = 1;
	now += 800;
	sched_poll_answered(s, w, ANSWER_OK, &first, now);
	now += 100;
	sched_act(s, now);
	first.clock_ms = now;
	sched_poll_answered(s, w, ANSWER_OK, &first, now);
	EXPECT_GE(now + sched_worker_lease_left_ms(s, w, now), lapses);
}

// The tasks that may run on a draining worker are recorded before it leaves,
// and its lease is still renewed.
TEST_F(Sched, ADrainingWorkerIsClosedAndStillRenewed)
{
	struct sched_worker *w = AddWorker("w", 4000);
	const struct resources capacity = { 4000, 64000, 0 };
	std::vector<std::string> names;

	Add(Graph("a", 2, 1000));
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 2u);
	sched_worker_listed(s, w, &capacity, true, now + 4000, now);
	sched_act(s, now);
	EXPECT_EQ(w->record_may, RECORD_BIT(RECORD_CLOSED));
	EXPECT_TRUE(sched_worker_each_task(
	    w,
	    [](const struct task_name *task, void *ctx) {
		    static_cast<std::vector<std::string> *>(ctx)->push_back(
			task->job);
	    },
	    &names));
	EXPECT_EQ(names.size(), 2u);
	renewed = 0;
	Answer(w,
	    { { started[0].task, started[0].attempt, "", 10, 0 },
		{ started[1].task, started[1].attempt, "", 10, 0 } });
	now += 1000;
	sched_act(s, now);
	EXPECT_GT(renewed, now);
}

// Long-running tasks run on a draining worker.  After its departure their
// callers would find nobody for the time of a lease.  So they are stopped
// while the worker still answers and started elsewhere, at most may_be_away at
// a time.
TEST_F(Sched, LastingTasksMoveBeforeTheirWorkerLeaves)
{
	struct sched_worker *w = AddWorker("w", 4000);
	const struct resources capacity = { 4000, 64000, 0 };
	struct graph *g = Graph("a", 4, 1000);

	g->steps[0].lasts = true;
	g->steps[0].may_be_away = 2;
	Add(g);
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 4u);
	Answer(w, RunningRows());
	AddWorker("other", 16000);
	sched_act(s, now);
	Answer(sched_worker_find(s, "other"));
	sched_worker_listed(s, w, &capacity, true, now + 4000, now);
	now += 100;
	sched_act(s, now);
	ASSERT_EQ(stopped.size(), 2u);
	now += 100;
	sched_act(s, now);
	ASSERT_EQ(stopped.size(), 2u);
	// Their ends are listed, so they start elsewhere.
	for (auto &o : std::vector<Order>(stopped))
		sched_stop_answered(s, w, w->inc.serial, &o.task, o.attempt,
		    ANSWER_OK, now, now);
	Answer(w, {},
	    { End(1, stopped[0], END_STOPPED),
		End(2, stopped[1], END_STOPPED) });
	now += 100;
	sched_act(s, now);
	ASSERT_EQ(started.size(), 6u);
	EXPECT_EQ(started[4].worker, "other");
	// The worker leaves soon: the other tasks move regardless of how many
	// are away.
	now += 2500;
	sched_act(s, now);
	EXPECT_EQ(stopped.size(), 4u);
}

// Without room elsewhere, a long-running task stays until its worker leaves.
TEST_F(Sched, LastingTasksStayWithoutRoomElsewhere)
{
	struct sched_worker *w = AddWorker("w", 4000);
	const struct resources capacity = { 4000, 64000, 0 };
	struct graph *g = Graph("a", 2, 2000);

	g->steps[0].lasts = true;
	Add(g);
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 2u);
	Answer(w, RunningRows());
	AddWorker("other", 1000);
	sched_act(s, now);
	Answer(sched_worker_find(s, "other"));
	sched_worker_listed(s, w, &capacity, true, now + 4000, now);
	for (int i = 0; i < 40; i++) {
		now += 100;
		sched_act(s, now);
	}
	EXPECT_TRUE(stopped.empty());
}

// A worker that no earlier leader has used never answers.  None of their tasks
// can run there, so tasks of earlier terms don't wait for it.
TEST_F(Sched, AnUnusedWorkerDelaysNoTask)
{
	Inherit("other", RECORD_IN_USE);
	AddWorker("other", 4000);
	AddWorker("new", 4000);
	Add(Graph("a", 1, 1000), true);
	sched_load_end(s, now);
	OnlyOtherAnswers(500);
	EXPECT_EQ(started.size(), 1u);
}

// The last leader, unaware that it was replaced, may be told of a job and
// start it on a worker that only the new leader can't reach.  A job that is
// stored in this period waits until that worker's lease has surely expired; a
// later job doesn't.
TEST_F(Sched, AJobThatTheLastLeaderMayHaveStartedWaits)
{
	Inherit("silent", RECORD_IN_USE);
	AddWorker("other", 8000);
	sched_load_end(s, now);
	sched_job_add(s, Graph("early", 1, 1000), now, ORIGIN_OVERLAP, now);
	OnlyOtherAnswers(options.former_ms);
	EXPECT_TRUE(started.empty());
	Add(Graph("later", 1, 1000));
	OnlyOtherAnswers(200);
	ASSERT_EQ(started.size(), 1u);
	EXPECT_STREQ(started[0].task.job, "later");
	OnlyOtherAnswers(options.lease_ms + 400);
	EXPECT_EQ(started.size(), 2u);
}

// A worker's clock is slow by 2 % and the leader leads for a long time.  A
// lease whose end on that clock is later than a whole lease from now would
// outlast what a next leader waits for, and a task would run twice.
TEST_F(Sched, ALeaseIsNoLongerOnASlowClock)
{
	struct sched_worker *w = AddWorker("w", 4000);
	int64_t begin = now;

	while (now < begin + 200000) {
		sched_act(s, now);
		int64_t clock = now * 98 / 100;
		struct poll_result result = { 0, clock, nullptr, 0, nullptr,
			0 };
		EXPECT_LE(renewed, clock + options.lease_ms);
		now += 1000;
		result.clock_ms = now * 98 / 100;
		sched_poll_answered(s, w, ANSWER_OK, &result, now);
	}
	EXPECT_GT(renewed, now * 98 / 100 + options.lease_ms - 1500);
}

// A task fails on two workers; their lists arrive in reverse order, and the
// first failure is reported again.  Each attempt counts once.
TEST_F(Sched, FailuresCountOnceInAnyOrder)
{
	struct sched_worker *w = AddWorker("w", 4000);
	struct sched_job *job = Add(Graph("a", 1, 1000), true);
	Order o;

	sched_load_failure(job, 0, 0, 0, 5);
	sched_load_end(s, now);
	memset(&o.task, 0, sizeof(o.task));
	strlcpy(o.task.job, "a", sizeof(o.task.job));
	sched_act(s, now);
	Order fifth = o, fourth = o;
	fifth.attempt = 5;
	fourth.attempt = 4;
	Answer(
	    w, {}, { End(1, fifth, END_FAILED), End(2, fourth, END_FAILED) });
	EXPECT_EQ(job->state, JOB_RUNNING);
	now += 100;
	sched_act(s, now);
	ASSERT_EQ(started.size(), 1u);
	ConfirmStarts();
	Answer(w, {}, { End(3, started[0], END_FAILED) });
	EXPECT_EQ(job->state, JOB_FAILED);
}

TEST_F(Sched, AttemptsRiseOverTerms)
{
	AddWorker("w", 4000);
	Add(Graph("a", 1, 1000));
	Fence();
	uint32_t first = started[0].attempt;
	sched_close(s);
	options.term = 2;
	started.clear();
	s = sched_open(&options);
	AddWorker("w", 4000);
	Add(Graph("a", 1, 1000));
	Fence();
	EXPECT_EQ(first, 1u);
	EXPECT_GT(started[0].attempt, first + 1000);
}

TEST_F(Sched, AHigherTermAtAWorkerEndsTheLead)
{
	struct sched_worker *w = AddWorker("w", 4000);

	sched_act(s, now);
	sched_poll_answered(s, w, ANSWER_FENCED, nullptr, now);
	EXPECT_TRUE(deposed);
	Add(Graph("a", 1, 1000));
	sched_act(s, now);
	EXPECT_TRUE(started.empty());
}

TEST_F(Sched, StepsWaitForThoseTheyDependOn)
{
	struct sched_worker *w = AddWorker("w", 8000);
	struct graph *g = graph_new(2);

	strlcpy(g->id, "a", sizeof(g->id));
	strlcpy(g->queue, "q", sizeof(g->queue));
	strlcpy(g->terms.service, "s", sizeof(g->terms.service));
	g->terms.max_attempts = 1;
	g->payload = strdup("");
	for (int i = 0; i < 2; i++) {
		g->steps[i].count = 2;
		g->steps[i].size = { 1000, 1, 0 };
	}
	g->steps[1].after = static_cast<uint32_t *>(calloc(1, 4));
	g->steps[1].nafter = 1;
	Add(g);
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 2u);
	Answer(w, {}, { End(1, started[0], END_DONE) });
	sched_act(s, now += 10);
	EXPECT_EQ(started.size(), 2u);
	Answer(w, {}, { End(2, started[1], END_DONE) });
	sched_act(s, now += 10);
	EXPECT_EQ(started.size(), 4u);
}

TEST_F(Sched, PerWorkerLimitAndLabels)
{
	struct graph *g = Graph("a", 4, 100);

	AddWorker("w1", 8000, "big");
	AddWorker("w2", 8000, "big");
	AddWorker("w3", 8000, "small");
	strlcpy(g->steps[0].label, "big", sizeof(g->steps[0].label));
	g->steps[0].per_worker = 1;
	Add(g);
	Fence();
	ASSERT_EQ(started.size(), 2u);
	EXPECT_NE(started[0].worker, started[1].worker);
	EXPECT_NE(started[0].worker, "w3");
	EXPECT_NE(started[1].worker, "w3");
}

TEST_F(Sched, GangsStartWholeOrNotAtAll)
{
	struct graph *g = Graph("a", 3, 3000);

	g->steps[0].gang = true;
	AddWorker("w1", 4000);
	AddWorker("w2", 4000);
	Add(g);
	Fence();
	EXPECT_TRUE(started.empty());
	AddWorker("w3", 4000);
	now += 100;
	Fence();
	ASSERT_EQ(started.size(), 3u);
	EXPECT_EQ(started[0].attempt, started[2].attempt);
}

TEST_F(Sched, ALastingTaskIsStartedAgainHoweverItEnds)
{
	struct sched_worker *w = AddWorker("w", 4000);
	struct graph *g = Graph("a", 1, 1000);

	g->steps[0].lasts = true;
	struct sched_job *job = Add(g);
	uint64_t number = 1;
	Fence();
	for (enum run_end how : { END_DONE, END_FAILED, END_FAILED, END_FAILED,
		 END_FAILED, END_LAPSED }) {
		ConfirmStarts();
		size_t before = started.size();
		Answer(w, {}, { End(number++, started.back(), how) });
		sched_saved(s, job, job->change, now);
		for (int i = 0; i < 100 && started.size() == before; i++) {
			sched_act(s, now += 100);
			for (auto &id : std::vector<std::string>(polled)) {
				(void)id;
				Answer(w);
			}
			polled.clear();
		}
		ASSERT_EQ(started.size(), before + 1);
	}
	EXPECT_EQ(job->state, JOB_RUNNING);
}

// A job may be reported as complete only once the store has saved it.
// Otherwise the next leader, which doesn't know, would report it as running
// again.
TEST_F(Sched, AnEndIsShownOnlyOnceItIsSaved)
{
	struct sched_worker *w = AddWorker("w", 4000);
	struct sched_job *job = Add(Graph("a", 1, 1000));

	Fence();
	ConfirmStarts();
	Answer(w, {}, { End(1, started[0], END_DONE) });
	EXPECT_EQ(job->state, JOB_COMPLETED);
	EXPECT_EQ(sched_job_visible_state(job), JOB_RUNNING);
	sched_act(s, now += 10);
	EXPECT_EQ(w->inc.acknowledged, 0u);
	sched_saved(s, job, job->change, now);
	sched_act(s, now += 10);
	EXPECT_EQ(sched_job_visible_state(job), JOB_COMPLETED);
	EXPECT_EQ(w->inc.acknowledged, 1u);
}

// Fillers run beside a serving task that is over its target.  The likely cause
// is throttled within a second, and all fillers before the target is missed
// for harm_ms.
TEST_F(Sched, FillersAreHeldBackWhileAServingTaskIsLate)
{
	struct sched_worker *w = AddWorker("w", 32000);
	struct graph *serving = Graph("a", 1, 8000);
	struct graph *filler = Graph("b", 2, 1000);

	serving->steps[0].lasts = true;
	serving->steps[0].tail_target_ms = 50;
	strlcpy(serving->steps[0].image, "web", GRAPH_NAME_MAX);
	filler->steps[0].filler = true;
	strlcpy(filler->steps[0].image, "crunch", GRAPH_NAME_MAX);
	Add(serving);
	Add(filler);
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 3u);
	int64_t begin = now;
	std::map<uint32_t, int> pace = { { 0, 100 }, { 1, 100 } };
	while (pace[0] + pace[1] > 0 && now < begin + 4000) {
		std::vector<poll_running> rows;
		for (auto &o : started)
			rows.push_back({ o.task, o.attempt, "", 100, 200 });
		now += 250;
		Answer(w, rows);
		sched_act(s, now);
		for (auto &p : paced) {
			sched_pace_answered(s, w, &p.first.task,
			    p.first.attempt, ANSWER_OK, now);
			pace[p.first.task.index] = p.second;
		}
		paced.clear();
	}
	EXPECT_EQ(pace[0], 0);
	EXPECT_EQ(pace[1], 0);
	EXPECT_LT(now, begin + options.harm_ms - 1000);
}

// A worker rejects an order as bad, for example because a permission is
// missing.  The task is retried, but not in a busy loop over all workers.
TEST_F(Sched, ARejectedOrderIsRetriedAfterADelay)
{
	struct sched_worker *w = AddWorker("w", 4000);

	Add(Graph("a", 1, 1000));
	Fence();
	ASSERT_EQ(started.size(), 1u);
	sched_start_answered(s, w, &started[0].task, started[0].attempt,
	    ANSWER_REFUSED, now, now);
	for (int i = 0; i < 40; i++)
		sched_act(s, now += 10);
	EXPECT_EQ(started.size(), 1u);
	for (int i = 0; i < 40; i++)
		sched_act(s, now += 10);
	EXPECT_EQ(started.size(), 2u);
}

// A worker lists the end of an unknown job, then the end of a known one, and
// leaves before it can be polled again.  The second end has been reported: its
// task isn't started again once the worker's lease has expired.
TEST_F(Sched, EndsBehindAnUnknownJobsCount)
{
	struct sched_worker *w = AddWorker("w", 4000);
	Order foreign;

	Add(Graph("a", 2, 1000));
	Fence();
	ConfirmStarts();
	ASSERT_EQ(started.size(), 2u);
	memset(&foreign.task, 0, sizeof(foreign.task));
	strlcpy(foreign.task.job, "not-known", sizeof(foreign.task.job));
	foreign.attempt = 1;
	Answer(
	    w, {}, { End(1, foreign, END_DONE), End(2, started[0], END_DONE) });
	AddWorker("other", 4000);
	sched_worker_unlisted(s, w, now);
	OnlyOtherAnswers(9000);
	ASSERT_EQ(started.size(), 3u);
	EXPECT_EQ(started[2].task.index, started[1].task.index);
}

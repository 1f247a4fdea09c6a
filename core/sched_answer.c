#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/* What workers answer: to starts, stops, paces and looks. */

/* A worker that refuses work isn't asked for so long, in milliseconds. */
#define UNHEALTHY_MS 1000
/* A list of ends this long may have been cut: others are told later. */
#define FINISHED_PAGE 500
/* Runs that nobody needs are being stopped: look again after so long. */
#define STRAY_LOOK_MS 100
/* A refused start is tried elsewhere after so long. */
#define REFUSED_RETRY_MS 20
/* One that the worker called bad is likely to be called so again. */
#define BAD_RETRY_MS 500

static void
depose(struct sched *s)
{
	if (s->deposed)
		return;
	s->deposed = true;
	s->opt.actions->deposed(s, s->opt.ctx);
}

/* false: the lead or that life of the worker is over, and so is the order. */
static bool
is_current(struct sched *s, struct sched_worker *worker,
    enum worker_answer answer, int64_t clock_ms, int64_t now_ms)
{
	/* The clock that it tells isn't this life's. */
	if (answer == ANSWER_OTHER_INCARNATION) {
		worker_incarnation_ended(s, worker, now_ms);
		return false;
	}
	if (answer != ANSWER_LOST && answer != ANSWER_NOT_SENT && clock_ms > 0)
		worker_note_answer(s, worker, clock_ms, now_ms);
	if (answer == ANSWER_FENCED) {
		depose(s);
		return false;
	}
	return true;
}

/* A gang runs whole or not at all: one that doesn't start ends the others. */
static void
stop_gang(struct sched *s, struct sched_step *step)
{
	uint32_t i;

	if (!step->spec->gang || step->tasks == NULL)
		return;
	for (i = 0; i < step->spec->count; i++)
		run_stop_others(s, &step->tasks[i], NULL);
}

/* Settle a run that surely never started, and try the task elsewhere. */
static void
start_failed(
    struct sched *s, struct sched_run *run, int64_t retry_ms, int64_t now_ms)
{
	struct sched_task *task;

	task = run->task;
	s->counts.refused_starts++;
	run_settle(s, run);
	run_requeue(s, task, now_ms + retry_ms, now_ms);
	stop_gang(s, task->step);
}

static void
start_lost(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	run->state = RUN_UNCONFIRMED;
	run->answered_ms = now_ms;
	worker_call_failed(s, run->worker, now_ms);
	/*
	 * The order may be carried out late, after newer ones.  A stop that is
	 * answered makes the worker refuse that attempt from then on.
	 */
	run_want_stop(s, run);
	/* The others would wait for it in vain. */
	stop_gang(s, run->task->step);
}

void
sched_start_answered(struct sched *s, struct sched_worker *worker,
    const struct task_name *name, uint32_t attempt, enum worker_answer answer,
    int64_t clock_ms, int64_t now_ms)
{
	struct sched_run *run;

	if (!is_current(s, worker, answer, clock_ms, now_ms))
		return;
	run = run_find(worker, name, attempt);
	if (run == NULL || run->state != RUN_STARTING)
		return;
	switch (answer) {
	case ANSWER_OK:
		run->state = RUN_RUNNING;
		run->answered_ms = now_ms;
		run->begun_ms = now_ms;
		run->percent_ms = now_ms;
		job_mark_begun(task_job(run->task));
		break;
	case ANSWER_LOST:
		start_lost(s, run, now_ms);
		break;
	case ANSWER_NOT_SENT:
		worker_call_failed(s, worker, now_ms);
		start_failed(s, run, 0, now_ms);
		break;
	case ANSWER_UNHEALTHY:
		worker->probe_ms = now_ms + UNHEALTHY_MS;
		start_failed(s, run, 0, now_ms);
		break;
	case ANSWER_REFUSED:
		start_failed(s, run, BAD_RETRY_MS, now_ms);
		break;
	default:
		start_failed(s, run, REFUSED_RETRY_MS, now_ms);
		break;
	}
}

void
sched_stop_answered(struct sched *s, struct sched_worker *worker,
    const struct task_name *name, uint32_t attempt, enum worker_answer answer,
    int64_t clock_ms, int64_t now_ms)
{
	struct sched_run *run;

	if (!is_current(s, worker, answer, clock_ms, now_ms))
		return;
	if ((run = run_find(worker, name, attempt)) == NULL)
		return;
	run->stop_pending = false;
	if (answer == ANSWER_OK) {
		/* Room comes back with its end, or a look without it. */
		run->state = RUN_STOPPING;
		run->answered_ms = now_ms;
		worker->next_poll_ms = now_ms;
	}
	worker_schedule(s, worker);
}

void
sched_pace_answered(struct sched *s, struct sched_worker *worker,
    const struct task_name *name, uint32_t attempt, enum worker_answer answer,
    int64_t now_ms)
{
	struct sched_run *run;

	if (answer == ANSWER_FENCED) {
		depose(s);
		return;
	}
	if ((run = run_find(worker, name, attempt)) == NULL)
		return;
	run->pace_pending = false;
	if (answer != ANSWER_OK)
		run->pace = PACE_UNKNOWN;
	run->paced_ms = now_ms;
}

/* The end of a run, told for the first time. */
static void
apply_end(struct sched *s, struct sched_worker *worker,
    const struct poll_finished *end, struct sched_task *task, int64_t now_ms)
{
	struct sched_run *run;
	bool lasts;

	lasts = task->step->spec->lasts;
	run = run_find(worker, &end->task, end->attempt);
	task_set_checkpoint(task, end->checkpoint);
	if (end->how == END_DONE && !lasts)
		health_task_done(worker, run, now_ms);
	if (end->how == END_FAILED)
		health_task_failed(worker, task_job(task), now_ms);
	if (run != NULL) {
		loss_survived(task, run, now_ms);
		run_settle(s, run);
	}
	if (end->how == END_DONE && !lasts)
		task_done(s, task, now_ms);
	else if (end->how == END_FAILED) {
		task->avoid = worker->serial;
		task_failed(s, task, end->attempt, now_ms);
	} else if (task->checkpoint != NULL && !task_job(task)->in_ended)
		job_mark_dirty(s, task_job(task));
	if (task->state == SCHED_DONE)
		run_stop_others(s, task, NULL);
	else
		run_requeue(s, task, now_ms, now_ms);
}

/* One end of a gang that is done stands for all of its tasks. */
static void
gang_done(struct sched *s, struct sched_step *step, int64_t now_ms)
{
	struct sched_job *job;
	uint32_t i;

	job = step->occurrence->job;
	for (i = 0; i < step->spec->count && !job->in_ended; i++)
		task_done(s, &step->tasks[i], now_ms);
}

/* An end that is dealt with; acknowledged once its job is saved. */
static bool
keep_end(struct sched *s, struct sched_worker *worker, uint64_t number,
    struct sched_job *job)
{
	struct sched_end *end;

	if ((end = calloc(1, sizeof(*end))) == NULL)
		return false;
	worker->processed = number;
	end->number = number;
	/* The mark that there is no such job may go before this end does. */
	end->job = job->absent ? NULL : job;
	end->change = job->change;
	if (STAILQ_EMPTY(&worker->ends))
		LIST_INSERT_HEAD(&s->unsaved, worker, unsaved_link);
	STAILQ_INSERT_TAIL(&worker->ends, end, link);
	return true;
}

/*
 * false: it must be told again, and so must those after it.  These count all
 * the same, since the worker may be gone before it is asked again; to note an
 * end twice changes nothing.  keep: all before it are dealt with.
 */
static bool
note_end(struct sched *s, struct sched_worker *worker,
    const struct poll_finished *finished, bool keep, int64_t now_ms)
{
	struct sched_task *task;
	struct sched_job *job;

	if (finished->number <= worker->processed)
		return true;
	job = sched_job_find(s, finished->task.job);
	if (job == NULL) {
		s->opt.actions->unknown(s, finished->task.job, s->opt.ctx);
		return false;
	}
	task = job_task(s, &finished->task);
	if (task != NULL) {
		apply_end(s, worker, finished, task, now_ms);
		if (finished->how == END_DONE && task->step->spec->gang)
			gang_done(s, task->step, now_ms);
	}
	return keep && keep_end(s, worker, finished->number, job);
}

static struct sched_run *
adopt(struct sched *s, struct sched_worker *worker, struct sched_task *task,
    uint32_t attempt, int64_t now_ms)
{
	struct sched_run *run;

	if ((run = run_new(s, task, worker, attempt, now_ms)) == NULL)
		return NULL;
	run->state = RUN_RUNNING;
	run->adopted = true;
	run->begun_ms = now_ms;
	run->answered_ms = now_ms;
	return run;
}

/*
 * A run of a job that we don't know: a former leader started it after we had
 * read the jobs.  Stopped at once, it would be told apart from a lost one too
 * late; the task would run twice when its job becomes known.
 */
static void
keep_stray(struct sched_worker *worker, const struct poll_running *row)
{
	struct sched_stray *stray;

	if ((stray = calloc(1, sizeof(*stray))) == NULL)
		abort(); /* forgotten, it would be started a second time */
	stray->task = row->task;
	stray->attempt = row->attempt;
	SLIST_INSERT_HEAD(&worker->strays, stray, link);
}

void
adopt_strays(struct sched *s, struct sched_job *job, int64_t now_ms)
{
	struct sched_stray *stray;
	struct sched_worker *worker;
	struct sched_task *task;

	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		SLIST_FOREACH (stray, &worker->strays, link) {
			if (strcmp(stray->task.job, job->id) != 0 ||
			    (task = job_task(s, &stray->task)) == NULL)
				continue;
			adopt(s, worker, task, stray->attempt, now_ms);
			job_mark_begun(job);
		}
	}
}

/* A run that isn't ours: a former leader's, or one to be stopped. */
static struct sched_run *
take_over_run(struct sched *s, struct sched_worker *worker,
    const struct poll_running *row, int64_t now_ms)
{
	struct sched_task *task;

	if (sched_job_find(s, row->task.job) == NULL) {
		keep_stray(worker, row);
		s->opt.actions->unknown(s, row->task.job, s->opt.ctx);
		return NULL;
	}
	task = job_task(s, &row->task);
	if (task != NULL && task->state != SCHED_DONE &&
	    !task_job(task)->in_ended)
		return adopt(s, worker, task, row->attempt, now_ms);
	/* A next leader may know less of its job: the record must name it. */
	keep_stray(worker, row);
	worker->unneeded++;
	s->counts.stops++;
	s->opt.actions->stop(s, worker, &row->task, row->attempt, s->opt.ctx);
	return NULL;
}

static void
note_running(struct sched *s, struct sched_worker *worker,
    const struct poll_running *row, int64_t now_ms)
{
	struct sched_run *run;

	run = run_find(worker, &row->task, row->attempt);
	if (run == NULL &&
	    (run = take_over_run(s, worker, row, now_ms)) == NULL)
		return;
	if (run->state == RUN_STARTING || run->state == RUN_UNCONFIRMED) {
		run->state = RUN_RUNNING;
		if (run->begun_ms == 0)
			run->begun_ms = now_ms;
	}
	run->listed_ms = now_ms;
	job_mark_begun(task_job(run->task));
	task_set_checkpoint(run->task, row->checkpoint);
	if (row->percent != run->percent) {
		run->percent = row->percent;
		run->percent_ms = now_ms;
	}
	run->measurement = row->measurement;
	run->measurement_ms = now_ms;
}

/*
 * Runs that the worker lists neither as running nor as ended, though their
 * start or stop was answered before it made the list: they aren't there.
 */
static void
drop_unlisted(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run, *next;
	struct sched_task *task;

	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, by_worker);
		if (run->listed_ms == now_ms ||
		    run->answered_ms >= worker->poll_sent_ms)
			continue;
		if (run->state == RUN_RUNNING)
			run_want_stop(s, run);
		if (run->state != RUN_STOPPING)
			continue;
		task = run->task;
		run_settle(s, run);
		run_requeue(s, task, now_ms, now_ms);
	}
}

void
sched_late_ends_reported(struct sched *s, struct sched_worker *worker,
    const struct poll_result *result, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < result->nfinished; i++)
		note_end(s, worker, &result->finished[i], false, now_ms);
	worker_schedule(s, worker);
}

void
sched_poll_answered(struct sched *s, struct sched_worker *worker,
    enum worker_answer answer, const struct poll_result *result, int64_t now_ms)
{
	bool complete;
	size_t i;

	worker->poll_pending = false;
	worker_schedule(s, worker);
	switch (answer) {
	case ANSWER_OK:
		break;
	case ANSWER_FENCED:
		depose(s);
		return;
	case ANSWER_OTHER_INCARNATION:
		worker_incarnation_ended(s, worker, now_ms);
		return;
	default:
		worker_call_failed(s, worker, now_ms);
		return;
	}
	worker_note_answer(s, worker, result->clock_ms, now_ms);
	worker->next_poll_ms = now_ms;
	worker->unneeded = 0;
	worker_drop_strays(worker);
	complete = true;
	for (i = 0; i < result->nfinished; i++)
		complete =
		    note_end(s, worker, &result->finished[i], complete, now_ms);
	for (i = 0; i < result->nrunning; i++)
		note_running(s, worker, &result->running[i], now_ms);
	if (complete && result->nfinished < FINISHED_PAGE) {
		/* Only now all is known that a former leader left there. */
		if (!worker->fenced)
			s->place_wanted = true;
		worker->fenced = true;
		drop_unlisted(s, worker, now_ms);
	}
	share_update(s, worker, now_ms);
	if (!complete || worker->unneeded > 0 || !SLIST_EMPTY(&worker->strays))
		worker->next_poll_ms = now_ms + STRAY_LOOK_MS;
}

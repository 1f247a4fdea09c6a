#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/* Answers of workers to start, stop, pace and poll requests. */

/* A worker that refused a start as unhealthy gets none for this long. */
#define UNHEALTHY_BACKOFF_MS 1000
/* A list of ends this long may be truncated; later polls return the rest. */
#define FINISHED_PAGE_SIZE 500
/* Poll interval while runs that are not needed are being stopped. */
#define STRAY_POLL_MS 100
/* Delay before a refused start is retried on another worker. */
#define REFUSED_RETRY_MS 20
/* Longer, as a start rejected as invalid is likely to be rejected again. */
#define INVALID_RETRY_MS 500

static void
step_down(struct sched *s)
{
	if (s->deposed)
		return;
	s->deposed = true;
	s->opt.actions->deposed(s, s->opt.ctx);
}

/*
 * Handles what all answers to orders have in common; incarnation is the serial
 * of the one that the order was sent to.  Returns false if this leader was
 * replaced or the incarnation of the worker is over; the answer is then not
 * to be handled any further.
 */
static bool
accept_answer(struct sched *s, struct sched_worker *worker,
    uint32_t incarnation, enum worker_answer answer, int64_t clock_ms,
    int64_t now_ms)
{
	bool present;

	present = incarnation == worker->inc.serial;
	/* The clock in the answer is that of another incarnation. */
	if (answer == ANSWER_OTHER_INCARNATION) {
		if (present)
			worker_incarnation_ended(s, worker, now_ms);
		return false;
	}
	/*
	 * Where incarnations share an id, the answer to an order doesn't say
	 * which of them gave it, so its clock may be that of the next one.
	 */
	if (present && worker->inc.started_ms == 0 && answer != ANSWER_LOST &&
	    answer != ANSWER_NOT_SENT && clock_ms > 0)
		worker_note_answer(s, worker, clock_ms, now_ms);
	if (answer == ANSWER_FENCED) {
		step_down(s);
		return false;
	}
	return true;
}

/* Settles a run that surely did not start and queues its task again. */
static void
start_failed(
    struct sched *s, struct sched_run *run, int64_t retry_ms, int64_t now_ms)
{
	struct sched_task *task;

	task = run->task;
	s->counts.refused_starts++;
	run_settle(s, run);
	run_requeue(s, task, now_ms + retry_ms, now_ms);
	run_stop_gang(s, task->step);
}

/* The worker has less room than the list of workers tells. */
static void
start_without_room(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	struct sched_worker *worker;
	bool present, trial;

	worker = run->worker;
	present = run->incarnation == worker->inc.serial;
	trial = run->trial;
	start_failed(s, run, REFUSED_RETRY_MS, now_ms);
	if (present)
		refusal_no_room(s, worker, trial, now_ms);
}

/* A lost start says nothing of an incarnation that came after it. */
static void
start_call_failed(struct sched *s, const struct sched_run *run, int64_t now_ms)
{
	if (run->incarnation == run->worker->inc.serial)
		worker_call_failed(s, run->worker, now_ms);
}

static void
start_unconfirmed(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	run->state = RUN_UNCONFIRMED;
	run->answered_ms = now_ms;
	start_call_failed(s, run, now_ms);
	/*
	 * The start request may still be carried out, even after newer ones.
	 * Once a stop is answered the worker refuses that attempt.
	 */
	run_request_stop(s, run, STOP_UNCONFIRMED);
	/* The other tasks of the gang would wait for this one in vain. */
	run_stop_gang(s, run->task->step);
}

void
sched_start_answered(struct sched *s, struct sched_worker *worker,
    const struct task_name *name, uint32_t attempt, enum worker_answer answer,
    int64_t clock_ms, int64_t now_ms)
{
	struct sched_run *run;

	run = run_find(worker, name, attempt);
	if (!accept_answer(s, worker, run != NULL ? run->incarnation : 0,
		answer, clock_ms, now_ms) &&
	    answer != ANSWER_OTHER_INCARNATION)
		return;
	/* The end of the present incarnation has settled the run. */
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
		refusal_start_taken(s, run);
		break;
	case ANSWER_LOST:
		start_unconfirmed(s, run, now_ms);
		break;
	case ANSWER_NOT_SENT:
		start_call_failed(s, run, now_ms);
		start_failed(s, run, 0, now_ms);
		break;
	case ANSWER_UNHEALTHY:
		worker->inc.probe_ms = now_ms + UNHEALTHY_BACKOFF_MS;
		start_failed(s, run, 0, now_ms);
		break;
	case ANSWER_REFUSED:
		start_failed(s, run, INVALID_RETRY_MS, now_ms);
		break;
	case ANSWER_NO_ROOM:
		start_without_room(s, run, now_ms);
		break;
	case ANSWER_OLD:
	case ANSWER_LATE:
		run->task->avoid = worker->inc.serial;
		start_failed(s, run, REFUSED_RETRY_MS, now_ms);
		break;
	default:
		start_failed(s, run, REFUSED_RETRY_MS, now_ms);
		break;
	}
}

void
sched_stop_answered(struct sched *s, struct sched_worker *worker,
    uint32_t incarnation, const struct task_name *name, uint32_t attempt,
    enum worker_answer answer, int64_t clock_ms, int64_t now_ms)
{
	struct sched_run *run;

	if (!accept_answer(s, worker, incarnation, answer, clock_ms, now_ms))
		return;
	if ((run = run_find(worker, name, attempt)) == NULL)
		return;
	/* The present incarnation may not know of the stop; it is sent again.
	 */
	if (incarnation != worker->inc.serial)
		return;
	run->stop_pending = false;
	if (answer == ANSWER_OK) {
		/*
		 * The reservation is released with the end of the run, or with
		 * a poll that no longer lists it.
		 */
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
		step_down(s);
		return;
	}
	if ((run = run_find(worker, name, attempt)) == NULL)
		return;
	run->pace_pending = false;
	if (answer != ANSWER_OK)
		run->pace = PACE_UNKNOWN;
	run->paced_ms = now_ms;
}

/*
 * Applies the end of a run that is reported for the first time; present: by the
 * present incarnation of the worker.
 */
static void
apply_end(struct sched *s, struct sched_worker *worker,
    const struct poll_finished *end, struct sched_task *task, bool present,
    int64_t now_ms)
{
	struct sched_run *run;
	int64_t retry_ms;
	bool lasts;

	retry_ms = 0;
	lasts = task->step->spec->lasts;
	run = run_find(worker, &end->task, end->attempt);
	loss_refuted(s, task, end->attempt, worker->id);
	task_set_checkpoint(task, end->checkpoint);
	if (present && end->how == END_DONE && !lasts)
		health_task_done(worker, task, run, now_ms);
	if (run != NULL && end->how == END_DONE && !lasts) {
		copy_run_ended(run, now_ms);
		copy_count_winner(s, task, run);
	}
	if (present && end->how == END_FAILED)
		health_task_failed(s, worker, task, now_ms);
	if (run != NULL) {
		loss_survived(task, run, now_ms);
		run_settle(s, run);
	}
	if (end->how == END_DONE && !lasts)
		task_done(s, task, now_ms);
	else if (end->how == END_FAILED) {
		if (present)
			task->avoid = worker->inc.serial;
		retry_ms = health_retry_ms(task);
		task_failed(s, task, end->attempt, now_ms);
	} else if (task->checkpoint != NULL && !task_job(task)->in_ended)
		job_mark_dirty(s, task_job(task));
	if (task->state == SCHED_DONE)
		run_stop_others(s, task, NULL, STOP_DONE);
	else
		run_requeue(s, task, now_ms + retry_ms, now_ms);
}

/* The end of one task of a gang completes all of its tasks. */
static void
complete_gang(struct sched *s, struct sched_step *step, int64_t now_ms)
{
	struct sched_job *job;
	uint32_t i;

	job = step->occurrence->job;
	for (i = 0; i < step->spec->count && !job->in_ended; i++)
		task_done(s, &step->tasks[i], now_ms);
}

/*
 * Queues the acknowledgement of a processed end; it is sent once the job is
 * saved.  Returns false if memory is short.
 */
static bool
queue_acknowledgement(struct sched *s, struct sched_worker *worker,
    const struct poll_finished *finished, struct sched_job *job)
{
	struct sched_end *end;

	if ((end = calloc(1, sizeof(*end))) == NULL)
		return false;
	worker->inc.processed = finished->number;
	end->number = finished->number;
	end->task = finished->task;
	/*
	 * The entry that marks a job as absent may be removed before this end
	 * is acknowledged.
	 */
	end->job = job->absent ? NULL : job;
	end->change = job->change;
	if (STAILQ_EMPTY(&worker->inc.ends))
		LIST_INSERT_HEAD(&s->unsaved, worker, unsaved_link);
	STAILQ_INSERT_TAIL(&worker->inc.ends, end, link);
	return true;
}

/* Returns the job of the end; NULL: it isn't known and is looked up. */
static struct sched_job *
apply_listed_end(struct sched *s, struct sched_worker *worker,
    const struct poll_finished *finished, bool present, int64_t now_ms)
{
	struct sched_task *task;
	struct sched_job *job;

	job = sched_job_find(s, finished->task.job);
	if (job == NULL) {
		s->opt.actions->unknown(s, finished->task.job, s->opt.ctx);
		return NULL;
	}
	task = job_task(s, &finished->task);
	if (task == NULL)
		return job;
	apply_end(s, worker, finished, task, present, now_ms);
	if (finished->how == END_DONE && task->step->spec->gang)
		complete_gang(s, task->step, now_ms);
	return job;
}

/*
 * Processes an end from a poll.  Returns false if the worker has to report it
 * and all later ones again.  Later ones are applied nevertheless, as the worker
 * may be gone before the next poll; applying an end twice changes nothing.
 * acknowledge: all earlier ends were processed, so this one may be
 * acknowledged.
 */
static bool
process_end(struct sched *s, struct sched_worker *worker,
    const struct poll_finished *finished, bool acknowledge, int64_t now_ms)
{
	struct sched_job *job;

	if (finished->number <= worker->inc.processed)
		return true;
	job = apply_listed_end(s, worker, finished, true, now_ms);
	if (job != NULL && acknowledge &&
	    queue_acknowledgement(s, worker, finished, job))
		return true;
	worker->inc.more_ends = true;
	return false;
}

static struct sched_run *
adopt_run(struct sched *s, struct sched_worker *worker, struct sched_task *task,
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
 * Records a run that the worker lists and that has no struct sched_run.  If its
 * job is unknown, a former leader started it after this leader had read the
 * jobs.  It is not stopped until the job is looked up: a run that was stopped
 * could not be told from a lost one in time, and the task would run twice once
 * its job becomes known.
 */
static void
add_stray(struct sched_worker *worker, const struct poll_running *row)
{
	struct sched_stray *stray;

	if ((stray = calloc(1, sizeof(*stray))) == NULL)
		abort(); /* a run not recorded would be started twice */
	stray->task = row->task;
	stray->attempt = row->attempt;
	SLIST_INSERT_HEAD(&worker->inc.strays, stray, link);
}

void
adopt_strays(struct sched *s, struct sched_job *job, int64_t now_ms)
{
	struct sched_stray *stray;
	struct sched_worker *worker;
	struct sched_task *task;

	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		SLIST_FOREACH (stray, &worker->inc.strays, link) {
			if (strcmp(stray->task.job, job->id) != 0 ||
			    (task = job_task(s, &stray->task)) == NULL)
				continue;
			adopt_run(s, worker, task, stray->attempt, now_ms);
			job_mark_begun(job);
		}
	}
}

/*
 * Handles a listed run that this leader did not start: adopts it, stops it if
 * it is not needed, or looks its job up if that is unknown.
 */
static struct sched_run *
adopt_or_stop(struct sched *s, struct sched_worker *worker,
    const struct poll_running *row, int64_t now_ms)
{
	struct sched_task *task;

	if (sched_job_find(s, row->task.job) == NULL) {
		add_stray(worker, row);
		s->opt.actions->unknown(s, row->task.job, s->opt.ctx);
		return NULL;
	}
	task = job_task(s, &row->task);
	if (task != NULL && task->state != SCHED_DONE &&
	    !task_job(task)->in_ended)
		return adopt_run(s, worker, task, row->attempt, now_ms);
	/*
	 * The next leader may know less of the job, so the worker record has
	 * to name this run.
	 */
	add_stray(worker, row);
	worker->inc.unneeded++;
	s->counts.stops++;
	s->opt.actions->stop(
	    s, worker, &row->task, row->attempt, STOP_UNNEEDED, s->opt.ctx);
	return NULL;
}

static void
process_running(struct sched *s, struct sched_worker *worker,
    const struct poll_running *row, int64_t now_ms)
{
	struct sched_run *run;

	run = run_find(worker, &row->task, row->attempt);
	if (run == NULL &&
	    (run = adopt_or_stop(s, worker, row, now_ms)) == NULL)
		return;
	if (run->state == RUN_STARTING || run->state == RUN_UNCONFIRMED) {
		run->state = RUN_RUNNING;
		if (run->begun_ms == 0)
			run->begun_ms = now_ms;
	}
	if (run->listed_ms == 0) {
		run->first_percent = row->percent;
		run->first_percent_ms = now_ms;
	}
	loss_refuted(s, run->task, run->attempt, worker->id);
	run->listed_ms = now_ms;
	run->incarnation = worker->inc.serial;
	run->over_ms = 0;
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
 * A run that was started for a former incarnation, and that the present one
 * hasn't: it was lost with the former one, or its start is refused from now on.
 */
static bool
is_over_with_former(const struct sched_run *run)
{
	return run->incarnation != run->worker->inc.serial &&
	    (run->state == RUN_RUNNING || run->state == RUN_STOPPING);
}

/*
 * Settles runs that do not exist at the worker: it lists them neither as
 * running nor as ended, although their start or stop was answered before it
 * made the list.
 */
static void
settle_unlisted(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run, *next;
	struct sched_task *task;

	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, by_worker);
		if (run->listed_ms == now_ms ||
		    run->answered_ms >= worker->poll_sent_ms)
			continue;
		if (is_over_with_former(run)) {
			run_lost(s, run, LOSS_OTHER_INCARNATION, now_ms);
			continue;
		}
		if (run->state == RUN_RUNNING)
			run_request_stop(s, run, STOP_UNLISTED);
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
	const struct poll_finished *end;
	size_t i;

	for (i = 0; i < result->nfinished; i++) {
		end = &result->finished[i];
		/* The numbers of another incarnation are not this one's. */
		if (result->started_ms == worker->inc.started_ms)
			process_end(s, worker, end, false, now_ms);
		else
			apply_listed_end(s, worker, end, false, now_ms);
	}
	worker_schedule(s, worker);
}

/*
 * Handles what all answers to polls have in common.  Returns false if there is
 * no list of the incarnation that the poll was sent to.
 */
static bool
accept_poll(struct sched *s, struct sched_worker *worker,
    enum worker_answer answer, int64_t now_ms)
{
	bool present;

	present = worker->poll_incarnation == worker->inc.serial;
	switch (answer) {
	case ANSWER_OK:
		return present;
	case ANSWER_FENCED:
		step_down(s);
		return false;
	case ANSWER_OTHER_INCARNATION:
		if (present)
			worker_incarnation_ended(s, worker, now_ms);
		return false;
	default:
		if (present)
			worker_call_failed(s, worker, now_ms);
		return false;
	}
}

void
sched_poll_answered(struct sched *s, struct sched_worker *worker,
    enum worker_answer answer, const struct poll_result *result, int64_t now_ms)
{
	bool complete;
	size_t i;

	worker->poll_pending = false;
	worker_schedule(s, worker);
	if (!accept_poll(s, worker, answer, now_ms)) {
		/* Its runs may be those of another incarnation. */
		if (answer == ANSWER_OK)
			sched_late_ends_reported(s, worker, result, now_ms);
		return;
	}
	incarnation_answered(s, worker, result->started_ms, now_ms);
	worker_note_answer(s, worker, result->clock_ms, now_ms);
	worker->next_poll_ms = now_ms;
	worker->inc.unneeded = 0;
	incarnation_drop_strays(worker);
	complete = true;
	worker->inc.more_ends = result->nfinished >= FINISHED_PAGE_SIZE;
	for (i = 0; i < result->nfinished; i++)
		complete = process_end(
		    s, worker, &result->finished[i], complete, now_ms);
	for (i = 0; i < result->nrunning; i++)
		process_running(s, worker, &result->running[i], now_ms);
	if (!worker->inc.more_ends) {
		/*
		 * The list is complete, so all runs left there by former
		 * leaders are known.
		 */
		if (!worker->inc.fenced)
			s->place_wanted = true;
		worker->inc.fenced = true;
		settle_unlisted(s, worker, now_ms);
	}
	share_update(s, worker, now_ms);
	if (!complete || worker->inc.unneeded > 0 ||
	    !SLIST_EMPTY(&worker->inc.strays))
		worker->next_poll_ms = now_ms + STRAY_POLL_MS;
}

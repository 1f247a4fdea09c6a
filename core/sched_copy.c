#include "sched_int.h"

/*
 * Starts copies of runs, where their step allows it; straggler.c decides which
 * runs get one.  The first end as done counts: once it is listed, the other run
 * is stopped.
 */

#define PASS_INTERVAL_MS 50
/* Copies of a task in a term: one that is slow everywhere gets no more. */
#define COPIES_OF_TASK_MAX 2
/* Failed searches for a worker in one pass: each examines all workers. */
#define MISSES_MAX 4
/* Ended runs of the step from which on their mean length is used. */
#define ENDED_MIN 2

bool
copy_is_allowed(const struct graph_step *spec)
{
	return spec->copies && !spec->gang && !spec->lasts && !spec->filler;
}

void
copy_run_ended(const struct sched_run *run, int64_t now_ms)
{
	struct sched_step *step;

	step = run->task->step;
	if (run->begun_ms == 0 || run->adopted)
		return;
	step->nended++;
	step->ended_ms += now_ms - run->begun_ms;
}

void
copy_count_winner(
    struct sched *s, const struct sched_task *task, const struct sched_run *won)
{
	const struct sched_run *run;

	/* Another run has ended before, or the job has. */
	if (task->state == SCHED_DONE || task_job(task)->in_ended)
		return;
	if (won->copy != STRAGGLER_NONE)
		s->counts.copies_won++;
	TAILQ_FOREACH (run, &task->runs, by_task) {
		if (run != won && run->copy != STRAGGLER_NONE)
			s->counts.copies_lost++;
	}
}

/*
 * How long an answer of the worker is overdue.  The delay of this pass,
 * late_ms, is subtracted, as answers that came meanwhile may not be read yet.
 */
static int64_t
overdue_ms(const struct sched_worker *worker, int64_t late_ms, int64_t now_ms)
{
	int64_t due_ms;

	if (worker->inc.misses > 0)
		due_ms = worker->inc.silent_ms;
	else if (worker->poll_pending)
		due_ms = worker->poll_sent_ms + worker->poll_wait_ms;
	else
		return 0;
	return now_ms - late_ms > due_ms ? now_ms - late_ms - due_ms : 0;
}

static void
describe(const struct sched_run *run, struct straggler_run *out,
    int64_t late_ms, int64_t now_ms)
{
	const struct sched_step *step;

	step = run->task->step;
	out->age_ms = now_ms - run->sent_ms;
	out->overdue_ms = overdue_ms(run->worker, late_ms, now_ms);
	out->idle_ms = run->listed_ms - run->percent_ms;
	out->percent = run->percent;
	out->percent_gained = run->percent - run->first_percent;
	out->gained_ms = run->percent_ms - run->first_percent_ms;
	out->estimate_ms = step->spec->estimate_ms;
	out->mean_length_ms =
	    step->nended >= ENDED_MIN ? step->ended_ms / step->nended : 0;
}

/*
 * A run that is being stopped for want of an answer or of progress may hold
 * its task until its worker's lease has expired.
 */
static bool
may_hold_task(const struct sched_run *run)
{
	return !run->stop_wanted || run->stop_reason == STOP_UNCONFIRMED ||
	    run->stop_reason == STOP_STALLED;
}

static bool
may_be_copied(const struct sched *s, const struct sched_run *run)
{
	const struct sched_task *task;

	task = run->task;
	return !run->held && task->state == SCHED_ACTIVE &&
	    !task_job(task)->in_ended && TAILQ_FIRST(&task->runs) == run &&
	    TAILQ_NEXT(run, by_task) == NULL && may_hold_task(run) &&
	    task->copies < COPIES_OF_TASK_MAX &&
	    !loss_is_suspect_without(s, task, run->attempt) &&
	    !inherit_blocks(s, task);
}

/* false: no worker has room for the copy, or there is no memory. */
static bool
copy_run(
    struct sched *s, struct sched_run *run, int64_t late_ms, int64_t now_ms)
{
	struct straggler_run description;
	enum straggler_reason reason;

	describe(run, &description, late_ms, now_ms);
	reason = straggler_judge(&description);
	if (reason == STRAGGLER_NONE)
		return true;
	if (!place_copy(s, run->task, reason, now_ms))
		return false;
	s->starts_allowed--;
	run->task->copies++;
	s->counts.copies[reason]++;
	return true;
}

void
copy_stragglers(struct sched *s, int64_t now_ms)
{
	struct sched_run *run, *next;
	uint32_t misses, most;
	int64_t late_ms;

	if (s->frozen || TAILQ_EMPTY(&s->copyable))
		return;
	if (now_ms < s->copy_pass_ms) {
		sched_due(s, s->copy_pass_ms);
		return;
	}
	late_ms = now_ms - s->copy_pass_ms;
	s->copy_pass_ms = now_ms + PASS_INTERVAL_MS;
	sched_due(s, s->copy_pass_ms);
	if (s->short_task_waits)
		return;
	misses = 0;
	most = straggler_copies_max(s->nshort);
	for (run = TAILQ_FIRST(&s->copyable); run != NULL; run = next) {
		next = TAILQ_NEXT(run, by_copies);
		if (s->ncopies >= most || misses == MISSES_MAX ||
		    s->starts_allowed == 0)
			return;
		if (may_be_copied(s, run) && !copy_run(s, run, late_ms, now_ms))
			misses++;
	}
}

#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/*
 * Tasks lost with their workers, and the blame for the crashes.
 *
 * A task that crashes each worker that starts it reports no failure: it would
 * be restarted forever, and all other tasks of the worker would be lost each
 * time.  A suspect task is started where the fewest runs would be lost, and
 * isolated for a while.  If the blame is certain, its job fails.  Before the
 * crash of the worker is confirmed (sched_crash.c), a loss may delay a task,
 * but fails no job.
 *
 * A crash is confirmed seconds after it.  If losses were recorded only then,
 * leaders that end within that time would start such a task without limit, as
 * none would know of the runs of those before.  So a loss is recorded with the
 * incarnation of its worker as soon as that is silent, and saved before the
 * task starts again (sched_start.c); whoever leads when the next incarnation
 * answers confirms it.
 */

/* Lower bound of the run time of a lost run: an answer takes about as long. */
#define LOSS_MIN_MS 50
/* Losses kept per task, the latest. */
#define LOSSES_MAX 8
/*
 * A job fails only after this many confirmed crashes while the task was known
 * to run, or this many confirmed crashes at all.
 */
#define RUNNING_CRASHES_MIN 2
#define CRASHES_MIN 4
/*
 * Consecutive losses, each this soon after the start was sent.  The task may
 * itself be the cause of the crash rate, so from SOON_LOSSES_MIN on all crashes
 * are taken for chance, and from SOON_LOSSES_MAX on the rate is not looked at.
 */
#define SOON_LOSSES_MIN 3
#define SOON_LOSSES_MAX 5
#define SOON_MS 3000
/*
 * Consecutive calls without an answer from which on a worker may be down; for
 * runs that began less than FIRST_CALL_MS ago, the first.
 */
#define SILENT_CALLS 2
#define FIRST_CALL_MS 500
/* Delay of the next start, for the last crash to be confirmed. */
#define RETRY_DELAY_MS 2000
/* Bounds of the isolation of a suspect, twice the longest time to a loss. */
#define ISOLATION_MIN_MS 300
#define ISOLATION_MAX_MS 2000

static bool
is_soon(const struct task_loss *loss)
{
	return loss->ran_ms <= SOON_MS;
}

/* Length of the last row of losses that came soon, and its known run time. */
static uint32_t
last_soon_losses(const struct sched_task *task, int64_t *known_ms)
{
	const struct task_loss *loss;
	uint32_t n;

	*known_ms = 0;
	for (n = 0; n < task->nlosses; n++) {
		loss = &task->losses[task->nlosses - 1 - n];
		if (!is_soon(loss))
			break;
		*known_ms += loss->known_ms;
	}
	return n;
}

static enum blame
blame_of(const struct sched *s, const struct sched_task *task)
{
	int64_t known_ms;
	uint32_t soon;

	soon = last_soon_losses(task, &known_ms);
	if (soon >= SOON_LOSSES_MAX ||
	    (soon >= SOON_LOSSES_MIN &&
		blame_is_certain_at_full_rate(&s->crash_rate, soon, known_ms)))
		return BLAME_CERTAIN;
	return blame_assess(
	    &s->crash_rate, task->nlosses, task->losses_ms + task->survived_ms);
}

static uint32_t
count_running_crashes(const struct sched_task *task)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < task->nlosses; i++) {
		if (task->losses[i].crashed && task->losses[i].begun)
			n++;
	}
	return n;
}

static uint32_t
count_crashes(const struct sched_task *task)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < task->nlosses; i++) {
		if (task->losses[i].crashed)
			n++;
	}
	return n;
}

static bool
is_confirmed(const struct sched_task *task)
{
	return count_running_crashes(task) >= RUNNING_CRASHES_MIN ||
	    count_crashes(task) >= CRASHES_MIN;
}

static struct task_loss *
find_loss(const struct sched_task *task, uint32_t attempt)
{
	uint32_t i;

	for (i = 0; i < task->nlosses; i++) {
		if (task->losses[i].attempt == attempt)
			return &task->losses[i];
	}
	return NULL;
}

bool
sched_run_may_be_lost(const struct sched_run *run)
{
	return find_loss(run->task, run->attempt) != NULL;
}

/* The run time of a removed loss counts as survived. */
static void
remove_loss(struct sched_task *task, struct task_loss *loss)
{
	size_t after;

	task->losses_ms -= loss->ran_ms;
	task->survived_ms += loss->ran_ms;
	after = (size_t)(&task->losses[--task->nlosses] - loss);
	memmove(loss, loss + 1, after * sizeof(*loss));
}

static void
add_loss(struct sched_task *task, const struct task_loss *loss)
{
	struct task_loss *losses, *known;

	if ((known = find_loss(task, loss->attempt)) != NULL) {
		known->crashed = known->crashed || loss->crashed;
		known->begun = known->begun || loss->begun;
		if (!known->crashed)
			known->on = loss->on;
		else
			memset(&known->on, 0, sizeof(known->on));
		return;
	}
	if (task->nlosses == LOSSES_MAX)
		remove_loss(task, &task->losses[0]);
	losses = reallocarray(task->losses, task->nlosses + 1, sizeof(*losses));
	/* Without memory it isn't counted, as after a change of leaders. */
	if (losses == NULL)
		return;
	task->losses = losses;
	losses[task->nlosses++] = *loss;
	task->losses_ms += loss->ran_ms;
}

static void
report(struct sched *s, const struct sched_task *task,
    const struct task_loss *loss, const char *worker, enum sched_loss cause)
{
	struct sched_lost lost;

	lost.task = task;
	lost.worker = worker;
	lost.attempt = loss->attempt;
	lost.cause = cause;
	lost.ran_ms = loss->ran_ms;
	lost.crashes = task->nlosses;
	lost.sure = count_running_crashes(task);
	lost.blame = blame_of(s, task);
	s->opt.actions->lost(s, &lost, s->opt.ctx);
}

static bool
is_open(const struct sched_task *task)
{
	return task->state != SCHED_DONE && !task_job(task)->in_ended;
}

void
sched_job_save_losses(struct sched *s, struct sched_job *job)
{
	job_save_soon(s, job);
	job->losses_change = job->change;
}

/* Fail or save the job after a change of the task's losses. */
static void
evaluate(struct sched *s, struct sched_task *task, const struct task_loss *loss,
    enum sched_loss cause, int64_t now_ms)
{
	if (cause != LOSS_SILENT && blame_of(s, task) == BLAME_CERTAIN &&
	    is_confirmed(task)) {
		s->counts.given_up++;
		job_fail(s, task_job(task), now_ms);
		return;
	}
	/* The loss of a long run without blame isn't worth a write. */
	if (blame_of(s, task) == BLAME_NONE && !is_soon(loss))
		return;
	sched_job_save_losses(s, task_job(task));
}

/* Maximum time from the start being sent to the loss. */
static int64_t
time_to_loss(const struct sched_run *run, int64_t now_ms)
{
	const struct sched_worker *worker;
	int64_t over_ms, ran_ms;

	worker = run->worker;
	over_ms = worker->inc.misses > 0 ? worker->inc.silent_ms : now_ms;
	if (run->over_ms != 0)
		over_ms = run->over_ms;
	ran_ms = over_ms - run->sent_ms;
	return ran_ms > LOSS_MIN_MS ? ran_ms : LOSS_MIN_MS;
}

/* Minimum of the same, as far as is known. */
static int64_t
known_time(const struct sched_run *run, int64_t ran_ms)
{
	const struct sched_worker *worker;
	int64_t known_ms;

	worker = run->worker;
	if (worker->inc.misses == 0 || run->over_ms != 0)
		return ran_ms;
	known_ms = worker->inc.up_ms - run->sent_ms;
	if (known_ms > ran_ms)
		return ran_ms;
	return known_ms > LOSS_MIN_MS ? known_ms : LOSS_MIN_MS;
}

void
sched_loss_set_worker(struct task_loss *loss, const struct sched_worker *worker)
{
	strlcpy(loss->on.worker, worker->id, sizeof(loss->on.worker));
	strlcpy(loss->on.address, worker->address, sizeof(loss->on.address));
	loss->on.started_ms = worker->inc.started_ms;
}

void
loss_record(struct sched *s, struct sched_run *run, enum sched_loss cause,
    int64_t now_ms)
{
	struct sched_task *task;
	struct task_loss loss, *known;

	task = run->task;
	if (!is_open(task) || run->held)
		return;
	memset(&loss, 0, sizeof(loss));
	loss.attempt = run->attempt;
	loss.ran_ms = time_to_loss(run, now_ms);
	loss.known_ms = known_time(run, loss.ran_ms);
	loss.crashed = cause != LOSS_LAPSED && cause != LOSS_SILENT;
	loss.begun = run->begun_ms != 0;
	if (!loss.crashed)
		sched_loss_set_worker(&loss, run->worker);
	/* The run time of one that a former leader started isn't known. */
	if (!run->adopted && !run->worker->inc.leaving) {
		add_loss(task, &loss);
		report(s, task, &loss, run->worker->id, cause);
		evaluate(s, task, &loss, cause, now_ms);
		return;
	}
	/* It left as announced, which may be known only after its silence. */
	if ((known = find_loss(task, run->attempt)) != NULL) {
		remove_loss(task, known);
		job_save_soon(s, task_job(task));
	}
	report(s, task, &loss, run->worker->id, cause);
}

/*
 * Whether a possible loss is worth a write: a task that crashes its workers
 * seconds after its start is found by a leader that lasts longer than that.
 */
static bool
is_young(const struct sched_run *run, int64_t now_ms)
{
	int64_t age_ms;

	age_ms =
	    run->worker->inc.misses < SILENT_CALLS ? FIRST_CALL_MS : SOON_MS;
	return !run->adopted && !run->held && run->over_ms == 0 &&
	    !sched_run_may_be_lost(run) &&
	    run->incarnation == run->worker->inc.serial &&
	    time_to_loss(run, now_ms) <= age_ms;
}

void
loss_worker_silent(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;

	if (worker->inc.misses == worker->inc.noted_misses ||
	    worker->inc.noted_misses >= SILENT_CALLS || worker->inc.leaving ||
	    s->most_silent)
		return;
	worker->inc.noted_misses = worker->inc.misses;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (is_young(run, now_ms))
			loss_record(s, run, LOSS_SILENT, now_ms);
	}
}

void
loss_refuted(struct sched *s, struct sched_task *task, uint32_t attempt,
    const char *worker)
{
	struct task_loss *loss, copy;

	if (!is_open(task) || (loss = find_loss(task, attempt)) == NULL)
		return;
	copy = *loss;
	remove_loss(task, loss);
	report(s, task, &copy, worker, LOSS_REFUTED);
	job_mark_dirty(s, task_job(task));
}

void
loss_resolve(struct sched *s, const struct task_name *name, uint32_t attempt,
    const char *worker, enum sched_loss cause, int64_t now_ms)
{
	struct sched_task *task;
	struct task_loss *loss, copy;

	task = job_task(s, name);
	if (task == NULL || !is_open(task) ||
	    (loss = find_loss(task, attempt)) == NULL)
		return;
	if (cause == LOSS_REFUTED) {
		loss_refuted(s, task, attempt, worker);
		return;
	}
	loss->crashed = true;
	memset(&loss->on, 0, sizeof(loss->on));
	copy = *loss;
	report(s, task, &copy, worker, cause);
	evaluate(s, task, &copy, cause, now_ms);
}

void
loss_survived(
    struct sched_task *task, const struct sched_run *run, int64_t now_ms)
{
	if (run->begun_ms != 0)
		task->survived_ms += now_ms - run->begun_ms;
}

void
sched_load_loss(struct sched_job *job, const struct task_name *name,
    const struct task_loss *loss)
{
	struct sched_task *task;

	task = job_loaded_task(job, name->occurrence, name->step, name->index);
	if (task != NULL)
		add_loss(task, loss);
}

void
sched_load_lost_with(struct sched_job *job, const struct task_name *name,
    uint32_t attempt, const struct incarnation_name *on, int64_t placed_wall_ms)
{
	struct sched_task *task;
	struct task_loss *loss;

	task = job_loaded_task(job, name->occurrence, name->step, name->index);
	if (task == NULL || (loss = find_loss(task, attempt)) == NULL ||
	    loss->crashed)
		return;
	loss->on = *on;
	loss->placed_wall_ms = placed_wall_ms;
}

void
loss_load_end(struct sched_task *task, int64_t wall_offset_ms, int64_t now_ms)
{
	struct task_loss *loss;
	uint32_t i;

	for (i = 0; i < task->nlosses; i++) {
		loss = &task->losses[i];
		if (loss->placed_wall_ms == 0)
			continue;
		task->losses_ms -= loss->ran_ms;
		loss->ran_ms = now_ms - wall_offset_ms - loss->placed_wall_ms;
		if (loss->ran_ms < LOSS_MIN_MS)
			loss->ran_ms = LOSS_MIN_MS;
		loss->known_ms = LOSS_MIN_MS;
		task->losses_ms += loss->ran_ms;
		loss->placed_wall_ms = 0;
	}
}

bool
sched_job_has_unsaved_losses(const struct sched_job *job)
{
	return !job->in_ended && job->graph != NULL &&
	    job->saved < job->losses_change;
}

bool
loss_is_suspect(const struct sched *s, const struct sched_task *task)
{
	return task->nlosses > 0 && blame_of(s, task) != BLAME_NONE;
}

bool
loss_is_suspect_without(
    const struct sched *s, const struct sched_task *task, uint32_t attempt)
{
	if (task->nlosses == 1 && task->losses[0].attempt == attempt)
		return false;
	return loss_is_suspect(s, task);
}

int64_t
loss_isolation_ms(const struct sched_task *task)
{
	int64_t isolation_ms;
	uint32_t i;

	isolation_ms = ISOLATION_MIN_MS;
	for (i = 0; i < task->nlosses; i++) {
		if (isolation_ms < 2 * task->losses[i].ran_ms)
			isolation_ms = 2 * task->losses[i].ran_ms;
	}
	return isolation_ms < ISOLATION_MAX_MS ? isolation_ms :
						 ISOLATION_MAX_MS;
}

int64_t
loss_retry_at_ms(
    const struct sched *s, const struct sched_task *task, int64_t now_ms)
{
	if (task->nlosses < RUNNING_CRASHES_MIN ||
	    blame_of(s, task) != BLAME_CERTAIN)
		return now_ms;
	return now_ms + RETRY_DELAY_MS;
}

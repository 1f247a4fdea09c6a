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
 * This many consecutive losses, each this soon after the start was sent, make
 * the blame certain at any crash rate: the task may be the cause of the rate.
 */
#define SOON_LOSSES 4
#define SOON_MS 3000
/* Delay of the next start, for the last crash to be confirmed or saved. */
#define RETRY_DELAY_MS 2000
/* Bounds of the isolation of a suspect, twice the longest time to a loss. */
#define ISOLATION_MIN_MS 300
#define ISOLATION_MAX_MS 2000

static bool
is_soon(const struct task_loss *loss)
{
	return loss->ran_ms <= SOON_MS;
}

static bool
is_repeated_soon(const struct sched_task *task)
{
	uint32_t i;

	if (task->nlosses < SOON_LOSSES)
		return false;
	for (i = task->nlosses - SOON_LOSSES; i < task->nlosses; i++) {
		if (!is_soon(&task->losses[i]))
			return false;
	}
	return true;
}

static enum blame
blame_of(const struct sched *s, const struct sched_task *task)
{
	if (is_repeated_soon(task))
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
find_loss(struct sched_task *task, uint32_t attempt)
{
	uint32_t i;

	for (i = 0; i < task->nlosses; i++) {
		if (task->losses[i].attempt == attempt)
			return &task->losses[i];
	}
	return NULL;
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
	struct task_loss *losses;

	if (find_loss(task, loss->attempt) != NULL)
		return;
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

/* Fail or save the job after a change of the task's losses. */
static void
evaluate(struct sched *s, struct sched_task *task, const struct task_loss *loss,
    int64_t now_ms)
{
	enum blame blame;

	blame = blame_of(s, task);
	if (blame == BLAME_CERTAIN && is_confirmed(task)) {
		s->counts.given_up++;
		job_fail(s, task_job(task), now_ms);
		return;
	}
	/* The loss of a long run without blame isn't worth a write. */
	if (blame != BLAME_NONE || is_soon(loss)) {
		job_mark_dirty(s, task_job(task));
		task->losses_change = task_job(task)->change;
	}
}

/* Maximum time from the start being sent to the loss. */
static int64_t
time_to_loss(const struct sched_run *run, int64_t now_ms)
{
	const struct sched_worker *worker;
	int64_t over_ms;

	worker = run->worker;
	over_ms = worker->inc.misses > 0 ? worker->inc.silent_ms : now_ms;
	if (run->over_ms != 0)
		over_ms = run->over_ms;
	return over_ms - run->sent_ms > LOSS_MIN_MS ? over_ms - run->sent_ms :
						      LOSS_MIN_MS;
}

void
loss_record(struct sched *s, struct sched_run *run, enum sched_loss cause,
    int64_t now_ms)
{
	struct task_loss loss;
	bool counts;

	if (!is_open(run->task))
		return;
	loss.attempt = run->attempt;
	loss.ran_ms = time_to_loss(run, now_ms);
	loss.crashed = cause != LOSS_LAPSED;
	loss.begun = run->begun_ms != 0;
	/* The run time of one that a former leader started isn't known. */
	counts = !run->adopted && !run->worker->inc.leaving;
	if (counts)
		add_loss(run->task, &loss);
	report(s, run->task, &loss, run->worker->id, cause);
	if (counts)
		evaluate(s, run->task, &loss, now_ms);
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
	loss->crashed = cause == LOSS_CONFIRMED;
	copy = *loss;
	if (cause == LOSS_REFUTED)
		remove_loss(task, loss);
	report(s, task, &copy, worker, cause);
	evaluate(s, task, &copy, now_ms);
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

bool
loss_is_suspect(const struct sched *s, const struct sched_task *task)
{
	return task->nlosses > 0 && blame_of(s, task) != BLAME_NONE;
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

/*
 * If the task started before its last loss is saved, each change of leaders
 * could lose one from the count.  If the store is unavailable, the wait ends
 * after RETRY_DELAY_MS.
 */
bool
loss_awaits_save(const struct sched_task *task, int64_t now_ms)
{
	return task->nlosses >= RUNNING_CRASHES_MIN &&
	    task_job(task)->saved < task->losses_change &&
	    now_ms - task->since_ms < RETRY_DELAY_MS;
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

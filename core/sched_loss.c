#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/*
 * Tasks that went down with their workers, and those to blame for it.
 *
 * A task that crashes each worker that starts it reports no failure: it would
 * be started for ever, and all that runs beside it would go down each time.  A
 * suspect starts alone, where the least is lost; one that is found guilty is
 * given up with its job.
 * Until the crash of its worker is sure (sched_crash.c) a loss may hold a task
 * back for a while, and ends no job.
 */

/* A run that went down sooner may have: answers take their time. */
#define LOSS_MIN_MS 50
/* Kept of each task, the latest. */
#define LOSSES_MAX 8
/*
 * A job is given up only after so many crashes while the task surely ran, or
 * so many that came with its starts.
 */
#define SURE_MIN 2
#define CRASHED_MIN 4
/*
 * A task that went down so often in a row, each time so soon after its order,
 * is given up whatever the rate of crashes: it may be the reason for the rate.
 */
#define ROW_MOST 4
#define ROW_SOON_MS 3000
/* The next start waits so long for the proof of the last crash. */
#define HOLD_MS 2000
/* A suspect stays alone for twice the time after which it went down. */
#define ALONE_MIN_MS 300
#define ALONE_MAX_MS 2000

/* It may be one of a row. */
static bool
is_soon(const struct task_loss *loss)
{
	return loss->ran_ms <= ROW_SOON_MS;
}

static bool
is_row(const struct sched_task *task)
{
	uint32_t i;

	if (task->nlosses < ROW_MOST)
		return false;
	for (i = task->nlosses - ROW_MOST; i < task->nlosses; i++) {
		if (!is_soon(&task->losses[i]))
			return false;
	}
	return true;
}

static enum blame
blame_of(const struct sched *s, const struct sched_task *task)
{
	if (is_row(task))
		return BLAME_CERTAIN;
	return blame_assess(
	    &s->crash_rate, task->nlosses, task->losses_ms + task->survived_ms);
}

static uint32_t
count_sure(const struct sched_task *task)
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
count_crashed(const struct sched_task *task)
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
is_proved(const struct sched_task *task)
{
	return count_sure(task) >= SURE_MIN ||
	    count_crashed(task) >= CRASHED_MIN;
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

/* What is forgotten of a loss speaks for the task from then on. */
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
	/* Without memory it goes uncounted, as with a leader that ended. */
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
	lost.sure = count_sure(task);
	lost.blame = blame_of(s, task);
	s->opt.actions->lost(s, &lost, s->opt.ctx);
}

static bool
is_open(const struct sched_task *task)
{
	return task->state != SCHED_DONE && !task_job(task)->in_ended;
}

/* What is known of its losses has changed. */
static void
judge(struct sched *s, struct sched_task *task, const struct task_loss *loss,
    int64_t now_ms)
{
	enum blame blame;

	blame = blame_of(s, task);
	if (blame == BLAME_CERTAIN && is_proved(task)) {
		s->counts.given_up++;
		job_fail(s, task_job(task), now_ms);
		return;
	}
	/* A long run that speaks for nothing isn't worth a write. */
	if (blame != BLAME_NONE || is_soon(loss)) {
		job_mark_dirty(s, task_job(task));
		task->losses_change = task_job(task)->change;
	}
}

/* At most so long after it was ordered. */
static int64_t
lost_after(const struct sched_run *run, int64_t now_ms)
{
	const struct sched_worker *worker;
	int64_t over_ms;

	worker = run->worker;
	over_ms = worker->misses > 0 ? worker->silent_ms : now_ms;
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
	loss.ran_ms = lost_after(run, now_ms);
	loss.crashed = cause != LOSS_LAPSED;
	loss.begun = run->begun_ms != 0;
	/* How long a former leader's start ran there isn't known. */
	counts = !run->adopted && !run->worker->draining;
	if (counts)
		add_loss(run->task, &loss);
	report(s, run->task, &loss, run->worker->id, cause);
	if (counts)
		judge(s, run->task, &loss, now_ms);
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
	judge(s, task, &copy, now_ms);
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
	int64_t alone_ms;
	uint32_t i;

	alone_ms = ALONE_MIN_MS;
	for (i = 0; i < task->nlosses; i++) {
		if (alone_ms < 2 * task->losses[i].ran_ms)
			alone_ms = 2 * task->losses[i].ran_ms;
	}
	return alone_ms < ALONE_MAX_MS ? alone_ms : ALONE_MAX_MS;
}

/*
 * With a start before its last loss is saved a next leader would count one
 * less, with each change of leaders.  Without the store it waits no longer
 * than for the proof of a crash.
 */
bool
loss_awaits_save(const struct sched_task *task, int64_t now_ms)
{
	return task->nlosses >= SURE_MIN &&
	    task_job(task)->saved < task->losses_change &&
	    now_ms - task->since_ms < HOLD_MS;
}

int64_t
loss_retry_at_ms(
    const struct sched *s, const struct sched_task *task, int64_t now_ms)
{
	if (task->nlosses < SURE_MIN || blame_of(s, task) != BLAME_CERTAIN)
		return now_ms;
	return now_ms + HOLD_MS;
}

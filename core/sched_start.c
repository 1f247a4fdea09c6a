#include "sched_int.h"

/*
 * Sending of starts.
 *
 * The start of a task that was lost with a worker before is held until the
 * store has it.  A worker that the task crashes is silent a few milliseconds
 * after its start; a leader that ends in this time would leave no trace of the
 * run, and leaders that end again and again would start the task without limit.
 * The next leader finds the run in the job's progress and learns from the
 * worker's next answer whether it crashed.
 */

/* Time after which the worker refuses a start. */
#define START_TIMEOUT_MS 2500
/*
 * While the store is unavailable, the start of a task that isn't suspected of
 * crashing workers is held for this long at most.
 */
#define HOLD_MAX_MS 2000

static void
send_start(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	struct sched_worker *worker;

	worker = run->worker;
	run->sent_ms = now_ms;
	run->percent_ms = now_ms;
	run->deadline_worker_ms =
	    worker_clock(worker, now_ms) + START_TIMEOUT_MS;
	if (run->deadline_worker_ms > worker->inc.granted_ms)
		worker->inc.granted_ms = run->deadline_worker_ms;
	s->counts.starts++;
	health_task_placed(worker, run->task, now_ms);
	if (loss_is_suspect(s, run->task))
		worker->inc.isolated_until_ms =
		    now_ms + loss_isolation_ms(run->task);
	if (run->task->step->spec->filler)
		share_update_usage(s, worker, now_ms);
	s->opt.actions->start(s, run, s->opt.ctx);
}

static void
hold(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	struct sched_job *job;

	job = task_job(run->task);
	run->held = true;
	run->held_ms = now_ms;
	job_save_soon(s, job);
	run->held_change = job->change;
	TAILQ_INSERT_TAIL(&s->held, run, by_held);
}

/* A gang starts whole, so all of its starts are held if one of them is. */
static bool
any_task(const struct sched *s, const struct sched_task *task,
    bool (*holds)(const struct sched *, const struct sched_task *))
{
	const struct sched_step *step;
	uint32_t i;

	step = task->step;
	if (!step->spec->gang)
		return holds(s, task);
	for (i = 0; i < step->spec->count; i++) {
		if (holds(s, &step->tasks[i]))
			return true;
	}
	return false;
}

static bool
was_lost(const struct sched *s, const struct sched_task *task)
{
	(void)s;
	return task->nlosses > 0;
}

void
start_run(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	if (any_task(s, run->task, was_lost))
		hold(s, run, now_ms);
	else
		send_start(s, run, now_ms);
}

void
start_unhold(struct sched *s, struct sched_run *run)
{
	if (run->held)
		TAILQ_REMOVE(&s->held, run, by_held);
	run->held = false;
}

/* Nothing was sent: the task may start elsewhere at once. */
static void
withdraw(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	struct sched_task *task;

	task = run->task;
	run_settle(s, run);
	run_requeue(s, task, now_ms, now_ms);
	run_stop_gang(s, task->step);
}

static bool
is_saved(const struct sched *s, const struct sched_run *run, int64_t now_ms)
{
	if (task_job(run->task)->saved >= run->held_change)
		return true;
	return now_ms - run->held_ms >= HOLD_MAX_MS &&
	    !any_task(s, run->task, loss_is_suspect);
}

/* The worker's capacity may have shrunk since the run was placed. */
static bool
has_room(const struct sched_worker *worker)
{
	struct resources left;

	room_get_free(&worker->room, &left);
	return left.cpu_millis >= 0 && left.memory_mib >= 0 &&
	    left.accelerators >= 0;
}

/* What held when the run was placed must hold when its start is sent. */
static bool
is_possible(const struct sched *s, const struct sched_run *run, int64_t now_ms)
{
	return !run->stop_wanted && !s->frozen &&
	    run->incarnation == run->worker->inc.serial &&
	    worker_startable(s, run->worker, now_ms) && has_room(run->worker) &&
	    !inherit_blocks(s, run->task);
}

void
start_held(struct sched *s, int64_t now_ms)
{
	struct sched_run *run, *next;

	for (run = TAILQ_FIRST(&s->held); run != NULL; run = next) {
		next = TAILQ_NEXT(run, by_held);
		if (!is_possible(s, run, now_ms))
			withdraw(s, run, now_ms);
		else if (is_saved(s, run, now_ms)) {
			start_unhold(s, run);
			send_start(s, run, now_ms);
		}
	}
}

#include "sched_int.h"

/*
 * Whether a failure is the fault of the worker or of the task.
 *
 * A worker that fails every task looks idle and attracts work.  One where tasks
 * of FAILED_JOBS_MAX jobs failed with no success in between gets no tasks for a
 * while, then one at a time until one succeeds.  Consecutive failures of one
 * job count once at each worker, so a job that fails everywhere does not block
 * workers by itself.  The pause begins at PROBE_FIRST_MS and doubles with each
 * failure of a further job, up to PROBE_MAX_SHIFT times.
 *
 * A step whose tasks failed on SUSPECT_WORKERS workers in a row is suspect: its
 * further failures say nothing of a worker.  Nor do more of them on the same
 * worker.  Such failures don't count against the worker, and such tasks don't
 * take the place of the one that is tried after a pause.  Otherwise two jobs
 * whose tasks can never succeed would take that place on all workers for good,
 * as tasks of long-running jobs are placed first.  So each step counts against
 * SUSPECT_WORKERS workers at most until one of its tasks succeeds.
 *
 * A task that ends has succeeded when it is done.  A long-running one has when
 * it was at work for HEALTHY_RUN_MS; one that fails before that again and again
 * is started after a delay that doubles.
 */
#define FAILED_JOBS_MAX 2
#define PROBE_FIRST_MS 1500
#define PROBE_MAX_SHIFT 2
#define SUSPECT_WORKERS 3
#define HEALTHY_RUN_MS 2000
/* After the second failure in a row. */
#define RETRY_FIRST_MS 125
/* Callers expect a long-running task to be back within some seconds. */
#define RETRY_MAX_MS 2000
/*
 * A run is stalled if its progress did not advance by one percent for STALL_MS
 * plus this share of its declared run time.  Its worker hangs, or it is a
 * filler that was throttled by a former leader or by a pace order carried out
 * late.  Workers are up to 8 times slower than declared and list their runs
 * each second, so a running task progresses by at least one percent in that
 * time.
 */
#define STALL_MS 1200
#define STALL_RUN_SHARE 0.2
/* Weights of a new measurement in the exponential moving averages. */
#define WORKER_SPEED_WEIGHT 0.25
#define QUEUE_RATIO_WEIGHT 0.02
/* Shorter runs are ignored, as they say little about the speed. */
#define SPEED_MIN_MS 100

static void
update_speed(
    struct sched_worker *worker, const struct sched_run *run, int64_t now_ms)
{
	const struct graph_step *spec;
	struct sched_queue *queue;
	double ratio;

	spec = run->task->step->spec;
	if (run->begun_ms == 0 || spec->filler || spec->estimate_ms <= 0 ||
	    now_ms - run->begun_ms < SPEED_MIN_MS)
		return;
	queue = task_job(run->task)->queue;
	ratio = (double)(now_ms - run->begun_ms) / (double)spec->estimate_ms;
	queue->run_ratio += QUEUE_RATIO_WEIGHT * (ratio - queue->run_ratio);
	worker->inc.speed += WORKER_SPEED_WEIGHT *
	    (ratio / queue->run_ratio - worker->inc.speed);
}

static void
worker_succeeded(struct sched_worker *worker)
{
	worker->inc.failed_row = 0;
	worker->inc.failed_job = NULL;
	worker->inc.probe_ms = 0;
}

static void
task_succeeded(struct sched_task *task)
{
	static const struct step_failures none;

	task->failed_row = 0;
	task->step->failing = none;
}

void
health_task_done(struct sched_worker *worker, struct sched_task *task,
    const struct sched_run *run, int64_t now_ms)
{
	worker_succeeded(worker);
	task_succeeded(task);
	if (run != NULL)
		update_speed(worker, run, now_ms);
}

static bool
failed_here_last(
    const struct sched_step *step, const struct sched_worker *worker)
{
	return step->failing.workers > 0 &&
	    step->failing.last == worker->inc.serial;
}

/* Whether a failure of the task on the worker is a sign that it is at fault. */
static bool
tells_of_worker(
    const struct sched_worker *worker, const struct sched_task *task)
{
	return task->step->failing.workers < SUSPECT_WORKERS &&
	    !failed_here_last(task->step, worker);
}

static void
note_failure(
    struct sched *s, struct sched_task *task, const struct sched_worker *worker)
{
	struct sched_step *step;

	step = task->step;
	task->failed_row++;
	if (failed_here_last(step, worker))
		return;
	step->failing.last = worker->inc.serial;
	if (++step->failing.workers == SUSPECT_WORKERS)
		s->counts.suspects++;
}

static void
count_failure(struct sched *s, struct sched_worker *worker,
    const struct sched_job *job, int64_t now_ms)
{
	uint32_t shift;

	if (worker->inc.failed_job == job)
		return;
	worker->inc.failed_job = job;
	worker->inc.failed_row++;
	if (worker->inc.failed_row < FAILED_JOBS_MAX)
		return;
	shift = worker->inc.failed_row - FAILED_JOBS_MAX;
	if (shift > PROBE_MAX_SHIFT)
		shift = PROBE_MAX_SHIFT;
	worker->inc.probe_ms = now_ms + (PROBE_FIRST_MS << shift);
	s->counts.rests++;
}

void
health_task_failed(struct sched *s, struct sched_worker *worker,
    struct sched_task *task, int64_t now_ms)
{
	if (tells_of_worker(worker, task))
		count_failure(s, worker, task_job(task), now_ms);
	note_failure(s, task, worker);
}

/* Pauses further starts on a worker under probe after one was placed. */
void
health_task_placed(
    struct sched_worker *worker, const struct sched_task *task, int64_t now_ms)
{
	if (worker->inc.failed_row >= FAILED_JOBS_MAX &&
	    tells_of_worker(worker, task))
		worker->inc.probe_ms = now_ms + PROBE_FIRST_MS;
}

int64_t
health_retry_ms(const struct sched_task *task)
{
	int64_t delay_ms;
	uint32_t i;

	if (!task->step->spec->lasts || task->failed_row < 2)
		return 0;
	delay_ms = RETRY_FIRST_MS;
	for (i = 2; i < task->failed_row && delay_ms < RETRY_MAX_MS; i++)
		delay_ms *= 2;
	return delay_ms < RETRY_MAX_MS ? delay_ms : RETRY_MAX_MS;
}

/* A long-running task has been at work for long enough to count as success. */
static bool
runs_well(const struct sched_run *run)
{
	return run->task->step->spec->lasts && !run->healthy &&
	    run->state == RUN_RUNNING && run->percent == 100 &&
	    run->begun_ms != 0 &&
	    run->listed_ms - run->begun_ms >= HEALTHY_RUN_MS;
}

static void
note_healthy(struct sched_worker *worker, struct sched_run *run)
{
	run->healthy = true;
	worker_succeeded(worker);
	task_succeeded(run->task);
}

/*
 * The worker has kept listing the run without progress.  Long-running tasks
 * report no progress, and members of a gang may wait for each other.
 */
static bool
is_stalled(const struct sched_run *run, int64_t now_ms)
{
	const struct graph_step *spec;
	int64_t stall_ms, since_ms;

	spec = run->task->step->spec;
	if (run->state != RUN_RUNNING || run->stop_wanted || spec->lasts ||
	    spec->gang || run->pace_pending || run->pace == 0)
		return false;
	stall_ms =
	    STALL_MS + (int64_t)(STALL_RUN_SHARE * (double)spec->estimate_ms);
	since_ms =
	    run->paced_ms > run->percent_ms ? run->paced_ms : run->percent_ms;
	return run->listed_ms - since_ms >= stall_ms &&
	    now_ms - run->listed_ms < STALL_MS;
}

void
health_check_progress(
    struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;

	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (runs_well(run))
			note_healthy(worker, run);
		if (!is_stalled(run, now_ms))
			continue;
		s->counts.stalled++;
		if (run->task->step->spec->filler &&
		    run->paced_ms <= run->percent_ms) {
			share_resend_pace(s, run, now_ms);
			continue;
		}
		run->task->avoid = worker->inc.serial;
		health_task_failed(s, worker, run->task, now_ms);
		run_request_stop(s, run, STOP_STALLED);
	}
}

#include "sched_int.h"

/*
 * A worker that fails every task looks idle and attracts work.  One where tasks
 * of FAILED_JOBS_MAX jobs failed with no success in between gets no tasks for a
 * while, then one at a time until one succeeds.  Consecutive failures of one
 * job count once at each worker, so a job that fails everywhere does not block
 * workers by itself.  The pause begins at PROBE_FIRST_MS and doubles with each
 * failure of a further job, up to PROBE_MAX_SHIFT times.
 */
#define FAILED_JOBS_MAX 2
#define PROBE_FIRST_MS 1500
#define PROBE_MAX_SHIFT 2
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

void
health_task_done(
    struct sched_worker *worker, const struct sched_run *run, int64_t now_ms)
{
	worker->inc.failed_row = 0;
	worker->inc.failed_job = NULL;
	worker->inc.probe_ms = 0;
	if (run != NULL)
		update_speed(worker, run, now_ms);
}

void
health_task_failed(
    struct sched_worker *worker, const struct sched_job *job, int64_t now_ms)
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
}

/* Pauses further starts on a worker under probe after one was placed. */
void
health_task_placed(struct sched_worker *worker, int64_t now_ms)
{
	if (worker->inc.failed_row >= FAILED_JOBS_MAX)
		worker->inc.probe_ms = now_ms + PROBE_FIRST_MS;
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
		if (!is_stalled(run, now_ms))
			continue;
		s->counts.stalled++;
		if (run->task->step->spec->filler &&
		    run->paced_ms <= run->percent_ms) {
			share_resend_pace(s, run, now_ms);
			continue;
		}
		run->task->avoid = worker->inc.serial;
		health_task_failed(worker, task_job(run->task), now_ms);
		run_request_stop(s, run, STOP_STALLED);
	}
}

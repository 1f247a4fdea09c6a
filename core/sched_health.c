#include "sched_int.h"

/*
 * Workers that fail what they start look idle and attract work.  One where
 * tasks of two jobs failed with no success in between gets nothing for a
 * while, then one task at a time until one succeeds.  A job that fails
 * everywhere counts once at each worker, so it discredits none alone.
 */
#define FAILED_ROW 2
#define PROBE_FIRST_MS 1500
#define PROBE_MAX_SHIFT 2
/*
 * A run without a percent of progress for so long, and for this share of its
 * declared run time, stands still: its worker hangs, or it is a filler that a
 * former leader, or an order carried out late, has paced down.  Workers are
 * up to 8 times slower than declared and list what runs each second, so a
 * task that works moves by a percent or more in that time.
 */
#define STILL_MS 1200
#define STILL_SHARE 0.2
/* Weight of a new measurement in the learnt figures. */
#define WORKER_WEIGHT 0.25
#define QUEUE_WEIGHT 0.02
/* Runs shorter than this say little about speed, in milliseconds. */
#define SPEED_MIN_MS 100

static void
learn_speed(
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
	queue->run_ratio += QUEUE_WEIGHT * (ratio - queue->run_ratio);
	worker->speed +=
	    WORKER_WEIGHT * (ratio / queue->run_ratio - worker->speed);
}

void
health_task_done(
    struct sched_worker *worker, const struct sched_run *run, int64_t now_ms)
{
	worker->failed_row = 0;
	worker->failed_job = NULL;
	worker->probe_ms = 0;
	if (run != NULL)
		learn_speed(worker, run, now_ms);
}

void
health_task_failed(
    struct sched_worker *worker, const struct sched_job *job, int64_t now_ms)
{
	uint32_t shift;

	if (worker->failed_job == job)
		return;
	worker->failed_job = job;
	worker->failed_row++;
	if (worker->failed_row < FAILED_ROW)
		return;
	shift = worker->failed_row - FAILED_ROW;
	if (shift > PROBE_MAX_SHIFT)
		shift = PROBE_MAX_SHIFT;
	worker->probe_ms = now_ms + (PROBE_FIRST_MS << shift);
}

/* A task was placed on a worker under suspicion: wait for its end. */
void
health_task_placed(struct sched_worker *worker, int64_t now_ms)
{
	if (worker->failed_row >= FAILED_ROW)
		worker->probe_ms = now_ms + PROBE_FIRST_MS;
}

/*
 * Its worker has listed the run again and again without progress.  A task
 * that lasts has no progress to show, and members of a gang may wait for the
 * others.
 */
static bool
stands_still(const struct sched_run *run, int64_t now_ms)
{
	const struct graph_step *spec;
	int64_t still_ms, since_ms;

	spec = run->task->step->spec;
	if (run->state != RUN_RUNNING || run->stop_wanted || spec->lasts ||
	    spec->gang || run->pace_pending || run->pace == 0)
		return false;
	still_ms =
	    STILL_MS + (int64_t)(STILL_SHARE * (double)spec->estimate_ms);
	since_ms =
	    run->paced_ms > run->percent_ms ? run->paced_ms : run->percent_ms;
	return run->listed_ms - since_ms >= still_ms &&
	    now_ms - run->listed_ms < STILL_MS;
}

void
health_check_progress(
    struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;

	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!stands_still(run, now_ms))
			continue;
		s->counts.stalled++;
		if (run->task->step->spec->filler &&
		    run->paced_ms <= run->percent_ms) {
			share_resend_pace(s, run, now_ms);
			continue;
		}
		run->task->avoid = worker->serial;
		health_task_failed(worker, task_job(run->task), now_ms);
		run_want_stop(s, run);
	}
}

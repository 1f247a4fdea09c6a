#include "sched_int.h"

/*
 * Moves long-running tasks off draining workers.  A worker announces its
 * departure some seconds ahead and ends its tasks when it leaves.  A task that
 * stays is unavailable until its lease has certainly expired, 5.3 s and more; a
 * task that is stopped and restarted elsewhere while the worker still answers
 * is unavailable for the stop and its startup only.  With 48 workers replaced
 * one each 0.7 s and the entries restarted each 2 s, in four runs of 80 s, this
 * raised the share served in the worst seconds from 0.78-0.83 to
 * 0.85-0.95.
 */

/* With less time left, tasks move even beyond may_be_away of their step. */
#define URGENT_MS 2000
/*
 * Share of the free processors that moved tasks may need in total.  The free
 * processors are fragmented, and a task that is stopped without a worker to
 * start on is unavailable for longer than one that stays.
 */
#define FREE_SHARE 0.5
/* Moves started in one pass; each examines all workers. */
#define MOVES_MAX 4
#define PASS_INTERVAL_MS 50

struct drain_pass {
	struct sched *s;
	int64_t now_ms;
	int64_t free_cpu; /* of usable workers, in thousandths */
	int64_t moving_cpu; /* of tasks being moved */
	uint32_t moves;
};

static bool
can_move(const struct sched_run *run)
{
	return run->task->step->spec->lasts && run->state == RUN_RUNNING &&
	    !run->stop_wanted;
}

static bool
is_draining(const struct sched_worker *worker)
{
	return worker->draining && worker->listed && worker->inc.fenced &&
	    worker->inc.misses == 0;
}

static bool
is_available(const struct sched_task *task)
{
	const struct sched_run *run;

	TAILQ_FOREACH (run, &task->runs, by_task) {
		if (run->state == RUN_RUNNING && !run->stop_wanted &&
		    run->percent == 100)
			return true;
	}
	return false;
}

/* Whether no further task of the step may become unavailable. */
static bool
at_unavailable_limit(const struct sched_step *step)
{
	uint32_t unavailable, i;

	unavailable = 0;
	for (i = 0; i < step->spec->count; i++) {
		if (!is_available(&step->tasks[i]))
			unavailable++;
	}
	return unavailable > 0 && unavailable >= step->spec->may_be_away;
}

static void
measure(struct drain_pass *p)
{
	struct sched_worker *worker;
	const struct sched_run *run;
	struct resources left;

	RB_FOREACH (worker, sched_worker_tree, &p->s->workers) {
		room_get_free(&worker->room, &left);
		if (worker_startable(p->s, worker, p->now_ms) &&
		    left.cpu_millis > 0)
			p->free_cpu += left.cpu_millis;
		TAILQ_FOREACH (run, &worker->runs, by_worker) {
			if (run->task->step->spec->lasts && run->stop_wanted)
				p->moving_cpu +=
				    run->task->step->spec->size.cpu_millis;
		}
	}
}

/* Whether the run should move now: the step allows it and a worker is free. */
static bool
should_move(struct drain_pass *p, const struct sched_run *run, bool urgent)
{
	int64_t needed;

	if (!can_move(run) ||
	    (!urgent && at_unavailable_limit(run->task->step)))
		return false;
	needed = p->moving_cpu + run->task->step->spec->size.cpu_millis;
	return (double)needed <= FREE_SHARE * (double)p->free_cpu &&
	    place_has_room(p->s, run->task, p->now_ms);
}

static void
move_runs(struct drain_pass *p, struct sched_worker *worker)
{
	struct sched_run *run;
	bool urgent;

	urgent =
	    worker->leaves_ms != 0 && worker->leaves_ms - p->now_ms < URGENT_MS;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (p->moves == MOVES_MAX)
			return;
		if (!should_move(p, run, urgent))
			continue;
		run_request_stop(p->s, run, STOP_DRAINING);
		p->s->counts.moves++;
		p->moving_cpu += run->task->step->spec->size.cpu_millis;
		p->moves++;
	}
}

static bool
has_movable_runs(struct sched *s)
{
	struct sched_worker *worker;
	const struct sched_run *run;

	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (!is_draining(worker))
			continue;
		TAILQ_FOREACH (run, &worker->runs, by_worker) {
			if (can_move(run))
				return true;
		}
	}
	return false;
}

void
drain_move_tasks(struct sched *s, int64_t now_ms)
{
	struct sched_worker *worker;
	struct drain_pass p = { s, now_ms, 0, 0, 0 };

	if (s->frozen || now_ms < s->drain_pass_ms)
		return;
	s->drain_pass_ms = now_ms + PASS_INTERVAL_MS;
	if (!has_movable_runs(s))
		return;
	sched_due(s, s->drain_pass_ms);
	measure(&p);
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (is_draining(worker))
			move_runs(&p, worker);
	}
}

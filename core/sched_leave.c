#include "leave.h"
#include "sched_int.h"

/* Moves short tasks off draining workers; leave.c decides which and when. */

/* Moves in one pass; each examines all workers. */
#define MOVES_MAX 8
#define PASS_INTERVAL_MS 50

/* A task that has another run isn't moved: that one goes on. */
static bool
can_leave(const struct sched_run *run)
{
	const struct graph_step *spec;

	spec = run->task->step->spec;
	return !spec->lasts && !spec->gang && run->state == RUN_RUNNING &&
	    !run->stop_wanted && run->listed_ms != 0 &&
	    TAILQ_FIRST(&run->task->runs) == run &&
	    TAILQ_NEXT(run, by_task) == NULL;
}

/* It still answers, so that a stop can be carried out. */
static bool
is_reachable(const struct sched_worker *worker)
{
	return worker->listed && worker->inc.fenced && worker->inc.misses == 0;
}

static void
describe(const struct sched_run *run, struct leave_run *out)
{
	const struct graph_step *spec;

	spec = run->task->step->spec;
	out->checkpoints = spec->checkpoints;
	out->percent = run->percent;
	out->percent_gained = run->percent - run->first_percent;
	out->gained_ms = run->percent_ms - run->first_percent_ms;
	out->estimate_ms = (int64_t)((double)spec->estimate_ms *
	    task_job(run->task)->queue->run_ratio);
	out->pace = run->pace == PACE_UNKNOWN ? 100 : run->pace;
}

/* Returns the number of moves. */
static uint32_t
move_runs(
    struct sched *s, struct sched_worker *worker, uint32_t most, int64_t now_ms)
{
	struct leave_run description;
	struct sched_run *run;
	uint32_t moves;

	moves = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (moves == most)
			break;
		if (!can_leave(run))
			continue;
		describe(run, &description);
		if (leave_decide(&description, worker->leaves_ms - now_ms) !=
			LEAVE_NOW ||
		    !place_has_room(s, run->task, now_ms))
			continue;
		run_request_stop(s, run, STOP_LEAVING);
		s->counts.leaving_moves++;
		moves++;
	}
	return moves;
}

void
leave_move_tasks(struct sched *s, int64_t now_ms)
{
	struct sched_worker *worker;
	uint32_t moves;

	if (s->frozen || now_ms < s->leave_pass_ms)
		return;
	s->leave_pass_ms = now_ms + PASS_INTERVAL_MS;
	moves = 0;
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (!worker->draining || worker->leaves_ms == 0 ||
		    TAILQ_EMPTY(&worker->runs) || !is_reachable(worker))
			continue;
		sched_due(s, s->leave_pass_ms);
		moves += move_runs(s, worker, MOVES_MAX - moves, now_ms);
	}
}

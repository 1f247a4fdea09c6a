#include "leave.h"
#include "sched_int.h"

/* Moves short tasks off draining workers; leave.c decides which and when. */

/* Moves in one pass; each search for a worker examines all of them. */
#define MOVES_MAX 8
/* Steps without a worker in one pass; each search examines all workers too. */
#define MISSES_MAX 8
#define PASS_INTERVAL_MS 50
/*
 * Share of the free processors that the tasks being moved may need in total.
 * They hold no room until they start, so each finds the same worker free.
 */
#define FREE_SHARE 0.5

struct leave_pass {
	struct sched *s;
	int64_t now_ms;
	uint32_t moves;
	uint32_t seen; /* runs that should leave, examined in this pass */
	const struct sched_step *missed[MISSES_MAX]; /* no worker has room */
	size_t nmissed;
	bool measured; /* the next two are set */
	int64_t free_cpu; /* of usable workers, in thousandths */
	int64_t moving_cpu; /* reserved by tasks that are being moved */
};

static void
add_moving(struct leave_pass *p, const struct sched_worker *worker)
{
	const struct sched_run *run;

	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (run->stop_wanted && run->stop_reason == STOP_LEAVING &&
		    !run->task->step->spec->filler)
			p->moving_cpu += run->task->step->spec->size.cpu_millis;
	}
}

static void
measure(struct leave_pass *p)
{
	struct sched_worker *worker;
	struct resources left;

	p->measured = true;
	RB_FOREACH (worker, sched_worker_tree, &p->s->workers) {
		if (worker->draining) {
			add_moving(p, worker);
			continue;
		}
		room_get_free(&worker->room, &left);
		if (left.cpu_millis > 0 &&
		    worker_startable(p->s, worker, p->now_ms))
			p->free_cpu += left.cpu_millis;
	}
}

/* Fillers reserve no processors. */
static bool
fits_in_total(struct leave_pass *p, const struct graph_step *spec)
{
	if (spec->filler)
		return true;
	if (!p->measured)
		measure(p);
	return (double)(p->moving_cpu + spec->size.cpu_millis) <=
	    FREE_SHARE * (double)p->free_cpu;
}

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

static bool
should_leave(const struct sched_run *run, int64_t now_ms)
{
	struct leave_run description;

	if (!can_leave(run))
		return false;
	describe(run, &description);
	return leave_decide(&description, run->worker->leaves_ms - now_ms) ==
	    LEAVE_NOW;
}

/* Tasks of a step are alike: where one finds no worker, none does. */
static bool
has_room(struct leave_pass *p, const struct sched_task *task)
{
	size_t i;

	for (i = 0; i < p->nmissed; i++) {
		if (p->missed[i] == task->step)
			return false;
	}
	if (fits_in_total(p, task->step->spec) &&
	    place_has_room(p->s, task, p->now_ms))
		return true;
	p->missed[p->nmissed++] = task->step;
	return false;
}

/* Returns false if the pass ends; the next one goes on from there. */
static bool
move_runs(struct leave_pass *p, struct sched_worker *worker)
{
	struct sched_run *run;

	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!should_leave(run, p->now_ms))
			continue;
		if (p->moves == MOVES_MAX || p->nmissed == MISSES_MAX)
			return false;
		if (p->seen++ < p->s->leave_skip || !has_room(p, run->task))
			continue;
		run_request_stop(p->s, run, STOP_LEAVING);
		p->s->counts.leaving_moves++;
		if (!run->task->step->spec->filler)
			p->moving_cpu += run->task->step->spec->size.cpu_millis;
		p->moves++;
	}
	return true;
}

void
leave_move_tasks(struct sched *s, int64_t now_ms)
{
	struct leave_pass p = { .s = s, .now_ms = now_ms };
	struct sched_worker *worker;
	bool complete;

	if (s->frozen || now_ms < s->leave_pass_ms)
		return;
	s->leave_pass_ms = now_ms + PASS_INTERVAL_MS;
	complete = true;
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (!worker->draining || worker->leaves_ms == 0 ||
		    TAILQ_EMPTY(&worker->runs) || !is_reachable(worker))
			continue;
		sched_due(s, s->leave_pass_ms);
		if (!(complete = move_runs(&p, worker)))
			break;
	}
	/* Runs that are being stopped aren't seen by the next pass. */
	s->leave_skip = complete ? 0 : p.seen - p.moves;
}

#include "sched_int.h"

/*
 * Tasks that last on workers that leave.  A worker says so some seconds ahead
 * and ends what runs there when it goes.  Left there, a task would be away
 * until its lease has surely lapsed, 5.3 s and more; stopped and started
 * elsewhere while the worker still answers, it is away for the stop and its
 * startup.  Where 48 workers were replaced one each 0.7 s while the entries
 * were restarted each 2 s, four plays of 80 s, this raised what was served of
 * the worst seconds from 0.78-0.83 to 0.85-0.95.
 */

/* With less time left all of its tasks move, however many are away then. */
#define HURRY_MS 2000
/*
 * Stops under way and wanted may claim this share of the free processors,
 * which lie in pieces: a task stopped without a place to go to would be away
 * longer than one that stays until the end.
 */
#define FREE_SHARE 0.5
/* Moves begun in one pass, each of which looks at all workers. */
#define MOVES_MAX 4
#define PASS_EVERY_MS 50

struct leaving {
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
is_leaving(const struct sched_worker *worker)
{
	return worker->draining && worker->listed && worker->fenced &&
	    worker->misses == 0;
}

static bool
at_work(const struct sched_task *task)
{
	const struct sched_run *run;

	TAILQ_FOREACH (run, &task->runs, by_task) {
		if (run->state == RUN_RUNNING && !run->stop_wanted &&
		    run->percent == 100)
			return true;
	}
	return false;
}

/* As many of the step are away as may be at a time. */
static bool
is_thin(const struct sched_step *step)
{
	uint32_t away, i;

	away = 0;
	for (i = 0; i < step->spec->count; i++) {
		if (!at_work(&step->tasks[i]))
			away++;
	}
	return away > 0 && away >= step->spec->may_be_away;
}

static void
measure(struct leaving *l)
{
	struct sched_worker *worker;
	const struct sched_run *run;
	const struct room *room;

	RB_FOREACH (worker, sched_worker_tree, &l->s->workers) {
		room = &worker->room;
		if (worker_usable(worker, l->now_ms) &&
		    room->capacity.cpu_millis > room->used.cpu_millis)
			l->free_cpu +=
			    room->capacity.cpu_millis - room->used.cpu_millis;
		TAILQ_FOREACH (run, &worker->runs, by_worker) {
			if (run->task->step->spec->lasts && run->stop_wanted)
				l->moving_cpu +=
				    run->task->step->spec->size.cpu_millis;
		}
	}
}

/* Now, and there is a place to go to. */
static bool
should_move(struct leaving *l, const struct sched_run *run, bool hurry)
{
	int64_t claimed;

	if (!can_move(run) || (!hurry && is_thin(run->task->step)))
		return false;
	claimed = l->moving_cpu + run->task->step->spec->size.cpu_millis;
	return (double)claimed <= FREE_SHARE * (double)l->free_cpu &&
	    place_has_room(l->s, run->task, l->now_ms);
}

static void
move_from(struct leaving *l, struct sched_worker *worker)
{
	struct sched_run *run;
	bool hurry;

	hurry =
	    worker->leaves_ms != 0 && worker->leaves_ms - l->now_ms < HURRY_MS;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (l->moves == MOVES_MAX)
			return;
		if (!should_move(l, run, hurry))
			continue;
		run_want_stop(l->s, run);
		l->s->counts.moves++;
		l->moving_cpu += run->task->step->spec->size.cpu_millis;
		l->moves++;
	}
}

static bool
anything_to_move(struct sched *s)
{
	struct sched_worker *worker;
	const struct sched_run *run;

	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (!is_leaving(worker))
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
	struct leaving l = { s, now_ms, 0, 0, 0 };

	if (s->frozen || now_ms < s->drain_pass_ms)
		return;
	s->drain_pass_ms = now_ms + PASS_EVERY_MS;
	if (!anything_to_move(s))
		return;
	sched_due(s, s->drain_pass_ms);
	measure(&l);
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (is_leaving(worker))
			move_from(&l, worker);
	}
}

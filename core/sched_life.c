#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/*
 * Lives of a worker.  A worker that restarts may keep its id; it then tells
 * another start.  Starts are times of day, and clocks are stepped, so a later
 * start need not be a larger number.  Which life is the present one follows
 * from the order of calls: only one poll is under way at a time, so a start
 * that its answer tells is at least as late as that of the answer before.
 */

void
life_init(struct sched *s, struct sched_worker *worker)
{
	memset(&worker->life, 0, sizeof(worker->life));
	worker->life.serial = s->next_serial++;
	worker->life.speed = 1;
	STAILQ_INIT(&worker->life.ends);
	SLIST_INIT(&worker->life.strays);
}

void
life_drop_strays(struct sched_worker *worker)
{
	struct sched_stray *stray;

	while ((stray = SLIST_FIRST(&worker->life.strays)) != NULL) {
		SLIST_REMOVE_HEAD(&worker->life.strays, link);
		free(stray);
	}
}

void
life_clear(struct sched_worker *worker)
{
	struct sched_end *end;

	life_drop_strays(worker);
	if (!STAILQ_EMPTY(&worker->life.ends))
		LIST_REMOVE(worker, unsaved_link);
	while ((end = STAILQ_FIRST(&worker->life.ends)) != NULL) {
		STAILQ_REMOVE_HEAD(&worker->life.ends, link);
		free(end);
	}
}

/* Only the life that listed a run can have had it. */
static bool
was_listed(const struct sched_run *run)
{
	return run->adopted || run->listed_ms != 0;
}

/*
 * Keeps a run whose start may reach the next life, or has reached it.  A stop
 * that the former life answered doesn't keep the next one from starting it.
 */
static void
keep_run(struct sched_run *run, int64_t over_ms)
{
	if (run->over_ms == 0)
		run->over_ms = over_ms;
	run->stop_pending = false;
	run->stop_at_ms = 0;
	if (run->state == RUN_STOPPING)
		run->state = RUN_UNCONFIRMED;
}

/* Settles the runs that were lost with the former life. */
static void
lose_listed_runs(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run, *next;
	enum sched_loss cause;
	int64_t over_ms;

	over_ms = worker->life.misses > 0 ? worker->life.silent_ms : now_ms;
	cause = crash_worker_lost(s, worker, LOSS_OTHER_INCARNATION, now_ms);
	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, by_worker);
		if (was_listed(run))
			run_lost(s, run, cause, now_ms);
		else
			keep_run(run, over_ms);
	}
	crash_life_ended(s, worker, now_ms);
}

void
life_replace(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	bool former_orders;

	s->counts.restarts++;
	if (!worker->life.dead)
		lose_listed_runs(s, worker, now_ms);
	former_orders =
	    worker->poll_deadline_ms != 0 || !TAILQ_EMPTY(&worker->runs);
	inherit_forget(worker);
	life_clear(worker);
	life_init(s, worker);
	worker->life.former_orders = former_orders;
	worker->next_poll_ms = now_ms;
	worker_schedule(s, worker);
	s->place_wanted = true;
}

void
life_answered(struct sched *s, struct sched_worker *worker, int64_t born_ms,
    int64_t now_ms)
{
	if (worker->life.heard_ms != 0 && worker->life.born_ms != born_ms)
		life_replace(s, worker, now_ms);
	worker->life.born_ms = born_ms;
	if (worker->poll_guarded)
		worker->life.doubted = false;
}

bool
life_is_proven(const struct sched_worker *worker)
{
	return worker->life.misses == 0 && !worker->life.doubted;
}

bool
life_is_listed(const struct sched_worker *worker)
{
	return worker->listed_born_ms == 0 || worker->life.born_ms == 0 ||
	    worker->listed_born_ms == worker->life.born_ms;
}

void
sched_worker_list_life(struct sched *s, struct sched_worker *worker,
    int64_t born_ms, int64_t now_ms)
{
	if (worker->listed_born_ms == born_ms)
		return;
	worker->listed_born_ms = born_ms;
	worker->draining = false; /* the entry tells anew whether it leaves */
	if (worker->life.dead)
		life_replace(s, worker, now_ms);
	else if (worker->life.born_ms != born_ms) {
		worker->life.doubted = true;
		worker->next_poll_ms = now_ms;
		worker_schedule(s, worker);
	}
}

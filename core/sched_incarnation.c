#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/*
 * Incarnations of a worker.  A worker that restarts may keep its id; it then
 * tells another start.  Starts are times of day, and clocks are stepped, so a
 * later start need not be a larger number.  Which incarnation is the present
 * one follows from the order of calls: only one poll is under way at a time, so
 * a start that its answer tells is at least as late as that of the answer
 * before.
 */

void
incarnation_init(struct sched *s, struct sched_worker *worker)
{
	refusal_over(s, worker);
	memset(&worker->inc, 0, sizeof(worker->inc));
	worker->inc.serial = s->next_serial++;
	worker->inc.speed = 1;
	STAILQ_INIT(&worker->inc.ends);
	SLIST_INIT(&worker->inc.strays);
}

void
incarnation_drop_strays(struct sched_worker *worker)
{
	struct sched_stray *stray;

	while ((stray = SLIST_FIRST(&worker->inc.strays)) != NULL) {
		SLIST_REMOVE_HEAD(&worker->inc.strays, link);
		free(stray);
	}
}

void
incarnation_clear(struct sched_worker *worker)
{
	struct sched_end *end;

	incarnation_drop_strays(worker);
	if (!STAILQ_EMPTY(&worker->inc.ends))
		LIST_REMOVE(worker, unsaved_link);
	while ((end = STAILQ_FIRST(&worker->inc.ends)) != NULL) {
		STAILQ_REMOVE_HEAD(&worker->inc.ends, link);
		free(end);
	}
}

/* Only the incarnation that listed a run can have had it. */
static bool
was_listed(const struct sched_run *run)
{
	return run->adopted || run->listed_ms != 0;
}

/*
 * Keeps a run whose start may reach the next incarnation, or has reached it.  A
 * stop that the former incarnation answered doesn't keep the next one from
 * starting it.
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

/* Settles the runs that were lost with the former incarnation. */
static void
lose_listed_runs(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run, *next;
	enum sched_loss cause;
	int64_t over_ms;

	over_ms = worker->inc.misses > 0 ? worker->inc.silent_ms : now_ms;
	cause = crash_worker_lost(s, worker, LOSS_OTHER_INCARNATION, now_ms);
	for (run = TAILQ_FIRST(&worker->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, by_worker);
		if (was_listed(run))
			run_lost(s, run, cause, now_ms);
		else
			keep_run(run, over_ms);
	}
	crash_incarnation_ended(s, worker, now_ms);
}

void
incarnation_replace(
    struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	s->counts.restarts++;
	if (!worker->inc.dead)
		lose_listed_runs(s, worker, now_ms);
	inherit_forget(worker);
	incarnation_clear(worker);
	incarnation_init(s, worker);
	worker->inc.former_orders = true;
	worker->next_poll_ms = now_ms;
	worker_schedule(s, worker);
	s->place_wanted = true;
}

void
incarnation_answered(struct sched *s, struct sched_worker *worker,
    int64_t started_ms, int64_t now_ms)
{
	if (worker->inc.heard_ms != 0 && worker->inc.started_ms != started_ms)
		incarnation_replace(s, worker, now_ms);
	worker->inc.started_ms = started_ms;
	if (worker->poll_guarded)
		worker->inc.doubted_ms = 0;
}

bool
incarnation_is_proven(const struct sched_worker *worker)
{
	return worker->inc.misses == 0 && worker->inc.doubted_ms == 0;
}

bool
incarnation_is_listed(const struct sched_worker *worker)
{
	return worker->listed_start_ms == 0 || worker->inc.started_ms == 0 ||
	    worker->listed_start_ms == worker->inc.started_ms;
}

void
sched_worker_list_start(struct sched *s, struct sched_worker *worker,
    int64_t started_ms, int64_t now_ms)
{
	if (worker->listed_start_ms == started_ms)
		return;
	worker->listed_start_ms = started_ms;
	worker->draining = false; /* the entry tells anew whether it leaves */
	if (worker->inc.dead)
		incarnation_replace(s, worker, now_ms);
	else if (worker->inc.started_ms != started_ms) {
		worker->inc.doubted_ms = now_ms;
		worker->next_poll_ms = now_ms;
		worker_schedule(s, worker);
	}
}

#include <string.h>

#include "sched_int.h"

/* Whether tasks may be started on a worker, and why not. */

/* A next leader counts no shorter lease than this incarnation may hold. */
static bool
is_start_recorded(const struct sched_worker *worker)
{
	return worker->stored_start_ms == worker->inc.started_ms ||
	    worker->stored_start_ms == SCHED_START_UNKNOWN;
}

static bool
is_recorded(const struct sched_worker *worker)
{
	return worker->record_may == RECORD_BIT(RECORD_IN_USE) &&
	    worker->record_wanted == RECORD_IN_USE && is_start_recorded(worker);
}

/* All that runs there is known. */
static bool
is_accounted(const struct sched_worker *worker)
{
	return worker->inc.fenced && worker->inc.unneeded == 0 &&
	    SLIST_EMPTY(&worker->inc.strays);
}

enum worker_bar
worker_bar(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	if (!worker->listed || worker->inc.dead)
		return BAR_GONE;
	if (worker->draining)
		return BAR_DRAINING;
	if (worker->closed)
		return BAR_CLOSED;
	if (worker->inc.misses > 0)
		return BAR_SILENT;
	if (!is_recorded(worker))
		return BAR_UNRECORDED;
	if (!is_accounted(worker))
		return BAR_RUNS_UNKNOWN;
	if (!incarnation_is_listed(worker))
		return BAR_RESTARTED;
	if (worker->inc.probe_ms > now_ms)
		return BAR_FAILING;
	if (s->closures_unknown)
		return BAR_CLOSURES_UNKNOWN;
	return worker_room_known(s, worker, now_ms) ? BAR_NONE :
						      BAR_ROOM_UNKNOWN;
}

bool
worker_startable(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	return worker_bar(s, worker, now_ms) == BAR_NONE;
}

bool
worker_usable(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	enum worker_bar bar;

	bar = worker_bar(s, worker, now_ms);
	return bar == BAR_NONE || bar == BAR_CLOSURES_UNKNOWN ||
	    bar == BAR_ROOM_UNKNOWN;
}

void
sched_set_closures(struct sched *s, const struct closure_set *set)
{
	struct sched_worker *worker;

	s->closed = *set;
	RB_FOREACH (worker, sched_worker_tree, &s->workers)
		worker->closed = closure_set_has(set, worker->data_center);
	s->place_wanted = true;
	sched_due(s, 0);
}

void
sched_count_data_center(
    const struct sched *s, const char *name, uint32_t *workers, uint32_t *runs)
{
	struct sched_worker *worker;

	*workers = 0;
	*runs = 0;
	RB_FOREACH (worker, sched_worker_tree,
	    (struct sched_worker_tree *)&s->workers) {
		if (strcmp(worker->data_center, name) != 0)
			continue;
		*workers += worker->listed;
		*runs += (uint32_t)sched_worker_nruns(worker);
	}
}

bool
sched_all_closed(const struct sched *s, const char *service)
{
	struct sched_worker *worker;
	bool any_closed;

	any_closed = false;
	RB_FOREACH (worker, sched_worker_tree,
	    (struct sched_worker_tree *)&s->workers) {
		if (!worker->listed || strcmp(worker->service, service) != 0)
			continue;
		if (!worker->closed)
			return false;
		any_closed = true;
	}
	return any_closed;
}

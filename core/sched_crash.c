#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/*
 * Crashes of workers: their rate, and whether a silent worker has crashed.
 *
 * A silent worker need not have crashed: it may be cut off from the network and
 * still run.  A crash is certain once another incarnation answers or is listed
 * at its address.  So an incarnation whose leases expired is kept for a while,
 * with its runs.
 */

/* A worker that is restarted at its address is listed within this time. */
#define INCARNATION_KEEP_MS 30000
#define RATE_UPDATE_MS 500

struct lost_run {
	struct task_name task;
	uint32_t attempt;
};

/*
 * An incarnation of a worker whose leases expired.  Whether it crashed is not
 * known.
 */
struct sched_lost_incarnation {
	LIST_ENTRY(sched_lost_incarnation) link;
	char id[SCHED_WORKER_ID_MAX];
	int64_t started_ms;
	char address[SCHED_ADDRESS_MAX];
	uint32_t serial;
	int64_t at_ms;
	size_t nruns;
	struct lost_run runs[];
};

static void
add_incarnation(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *inc;
	const struct sched_run *run;
	size_t n;

	n = sched_worker_nruns(worker);
	inc = calloc(1, sizeof(*inc) + n * sizeof(inc->runs[0]));
	if (inc == NULL)
		return;
	strlcpy(inc->id, worker->id, sizeof(inc->id));
	inc->started_ms = worker->inc.started_ms;
	strlcpy(inc->address, worker->address, sizeof(inc->address));
	inc->serial = worker->inc.serial;
	inc->at_ms = now_ms;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		sched_task_name(run->task, &inc->runs[inc->nruns].task);
		inc->runs[inc->nruns++].attempt = run->attempt;
	}
	LIST_INSERT_HEAD(&s->lost_incarnations, inc, link);
}

/* Another incarnation has been listed at the address of the worker. */
static bool
is_replaced(struct sched *s, const struct sched_worker *worker)
{
	struct sched_worker *other;

	RB_FOREACH (other, sched_worker_tree, &s->workers) {
		if (other->inc.serial > worker->inc.serial && other->listed &&
		    worker->address[0] != '\0' &&
		    strcmp(other->address, worker->address) == 0)
			return true;
	}
	return false;
}

static void
free_incarnation(struct sched_lost_incarnation *inc)
{
	LIST_REMOVE(inc, link);
	free(inc);
}

/* The worker was up and had not announced that it leaves. */
static bool
left_unannounced(const struct sched_worker *worker)
{
	return worker->inc.fenced && !worker->inc.leaving;
}

void
crash_idle_worker_lost(struct sched *s, const struct sched_worker *worker)
{
	if (left_unannounced(worker) && !worker->inc.dead &&
	    !worker->inc.lapsed)
		blame_add_crash(&s->crash_rate);
}

enum sched_loss
crash_worker_lost(struct sched *s, struct sched_worker *worker,
    enum sched_loss cause, int64_t now_ms)
{
	if (left_unannounced(worker) && !worker->inc.lapsed) {
		blame_add_crash(&s->crash_rate);
		if (cause == LOSS_LAPSED && is_replaced(s, worker))
			cause = LOSS_CONFIRMED;
		else if (cause == LOSS_LAPSED)
			add_incarnation(s, worker, now_ms);
	}
	return cause;
}

static void
resolve_incarnation(struct sched *s, struct sched_lost_incarnation *inc,
    enum sched_loss cause, int64_t now_ms)
{
	size_t i;

	if (cause == LOSS_REFUTED)
		blame_remove_crash(&s->crash_rate);
	for (i = 0; i < inc->nruns; i++)
		loss_resolve(s, &inc->runs[i].task, inc->runs[i].attempt,
		    inc->id, cause, now_ms);
	free_incarnation(inc);
}

void
crash_incarnation_answered(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *inc, *next;

	for (inc = LIST_FIRST(&s->lost_incarnations); inc != NULL; inc = next) {
		next = LIST_NEXT(inc, link);
		if (strcmp(inc->id, worker->id) == 0)
			resolve_incarnation(s, inc,
			    inc->started_ms == worker->inc.started_ms ?
				LOSS_REFUTED :
				LOSS_CONFIRMED,
			    now_ms);
	}
}

void
crash_incarnation_ended(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *inc, *next;

	for (inc = LIST_FIRST(&s->lost_incarnations); inc != NULL; inc = next) {
		next = LIST_NEXT(inc, link);
		if (inc->serial == worker->inc.serial)
			resolve_incarnation(s, inc, LOSS_CONFIRMED, now_ms);
	}
}

/* The worker is listed again: it was cut off, and has not crashed. */
static bool
is_same_incarnation(
    const struct sched_lost_incarnation *inc, const struct sched_worker *worker)
{
	return strcmp(inc->id, worker->id) == 0 &&
	    inc->started_ms == worker->listed_start_ms;
}

void
crash_worker_listed(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *inc, *next;

	for (inc = LIST_FIRST(&s->lost_incarnations); inc != NULL; inc = next) {
		next = LIST_NEXT(inc, link);
		if (worker->inc.serial > inc->serial &&
		    !is_same_incarnation(inc, worker) &&
		    strcmp(inc->address, worker->address) == 0 &&
		    inc->address[0] != '\0')
			resolve_incarnation(s, inc, LOSS_CONFIRMED, now_ms);
	}
}

static uint32_t
count_live(struct sched *s)
{
	struct sched_worker *worker;
	uint32_t n;

	n = 0;
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (worker->listed && worker->inc.fenced && !worker->inc.dead &&
		    !worker->inc.lapsed)
			n++;
	}
	return n;
}

void
crash_update_rate(struct sched *s, int64_t now_ms)
{
	struct sched_lost_incarnation *inc, *next;

	if (s->crash_rate.at_ms != 0 &&
	    now_ms - s->crash_rate.at_ms < RATE_UPDATE_MS)
		return;
	blame_update_rate(&s->crash_rate, count_live(s), now_ms);
	for (inc = LIST_FIRST(&s->lost_incarnations); inc != NULL; inc = next) {
		next = LIST_NEXT(inc, link);
		if (now_ms - inc->at_ms > INCARNATION_KEEP_MS)
			free_incarnation(inc);
	}
}

void
crash_free(struct sched *s)
{
	while (!LIST_EMPTY(&s->lost_incarnations))
		free_incarnation(LIST_FIRST(&s->lost_incarnations));
}

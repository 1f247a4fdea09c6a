#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/*
 * Workers that crash: how often they do, and whether one that went silent has.
 *
 * That a worker is silent proves no crash: it may be cut off and run on.  A
 * crash is sure when another life answers or is listed at its address.  So a
 * life that lapsed is kept for a while with what ran there.
 */

/* A worker that comes back at its address does so within this time. */
#define LIFE_KEEP_MS 30000
#define WATCH_EVERY_MS 500

struct lost_run {
	struct task_name task;
	uint32_t attempt;
};

/* A life of a worker that lapsed; whether it crashed isn't known. */
struct sched_lost_incarnation {
	LIST_ENTRY(sched_lost_incarnation) link;
	char id[SCHED_WORKER_ID_MAX];
	char address[SCHED_ADDRESS_MAX];
	uint32_t serial;
	int64_t at_ms;
	size_t nruns;
	struct lost_run runs[];
};

static void
keep_life(struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *life;
	const struct sched_run *run;
	size_t n;

	n = sched_worker_nruns(worker);
	life = calloc(1, sizeof(*life) + n * sizeof(life->runs[0]));
	if (life == NULL)
		return;
	strlcpy(life->id, worker->id, sizeof(life->id));
	strlcpy(life->address, worker->address, sizeof(life->address));
	life->serial = worker->serial;
	life->at_ms = now_ms;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		sched_task_name(run->task, &life->runs[life->nruns].task);
		life->runs[life->nruns++].attempt = run->attempt;
	}
	LIST_INSERT_HEAD(&s->lost_incarnations, life, link);
}

/* Another life has been listed at the address of one that lapses. */
static bool
is_followed(struct sched *s, const struct sched_worker *worker)
{
	struct sched_worker *other;

	RB_FOREACH (other, sched_worker_tree, &s->workers) {
		if (other->serial > worker->serial && other->listed &&
		    worker->address[0] != '\0' &&
		    strcmp(other->address, worker->address) == 0)
			return true;
	}
	return false;
}

static void
drop_life(struct sched_lost_incarnation *life)
{
	LIST_REMOVE(life, link);
	free(life);
}

/* It was up and hadn't said that it leaves. */
static bool
went_unannounced(const struct sched_worker *worker)
{
	return worker->fenced && !worker->draining;
}

void
crash_idle_worker_lost(struct sched *s, const struct sched_worker *worker)
{
	if (went_unannounced(worker) && !worker->dead && !worker->lapsed)
		blame_add_crash(&s->crash_rate);
}

void
crash_worker_lost(struct sched *s, struct sched_worker *worker,
    enum sched_loss cause, int64_t now_ms)
{
	struct sched_run *run;

	if (went_unannounced(worker) && !worker->lapsed) {
		blame_add_crash(&s->crash_rate);
		if (cause == LOSS_LAPSED && is_followed(s, worker))
			cause = LOSS_CONFIRMED;
		else if (cause == LOSS_LAPSED)
			keep_life(s, worker, now_ms);
	}
	TAILQ_FOREACH (run, &worker->runs, by_worker)
		loss_record(s, run, cause, now_ms);
}

static void
settle_life(struct sched *s, struct sched_lost_incarnation *life,
    enum sched_loss cause, int64_t now_ms)
{
	size_t i;

	if (cause == LOSS_REFUTED)
		blame_remove_crash(&s->crash_rate);
	for (i = 0; i < life->nruns; i++)
		loss_resolve(s, &life->runs[i].task, life->runs[i].attempt,
		    life->id, cause, now_ms);
	drop_life(life);
}

void
crash_resolve(struct sched *s, const struct sched_worker *worker,
    enum sched_loss cause, int64_t now_ms)
{
	struct sched_lost_incarnation *life, *next;

	for (life = LIST_FIRST(&s->lost_incarnations); life != NULL;
	     life = next) {
		next = LIST_NEXT(life, link);
		if (strcmp(life->id, worker->id) == 0)
			settle_life(s, life, cause, now_ms);
	}
}

void
crash_worker_listed(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *life, *next;

	for (life = LIST_FIRST(&s->lost_incarnations); life != NULL;
	     life = next) {
		next = LIST_NEXT(life, link);
		if (worker->serial > life->serial &&
		    strcmp(life->address, worker->address) == 0 &&
		    life->address[0] != '\0')
			settle_life(s, life, LOSS_CONFIRMED, now_ms);
	}
}

static uint32_t
count_up(struct sched *s)
{
	struct sched_worker *worker;
	uint32_t n;

	n = 0;
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (worker->listed && worker->fenced && !worker->dead &&
		    !worker->lapsed)
			n++;
	}
	return n;
}

void
crash_update_rate(struct sched *s, int64_t now_ms)
{
	struct sched_lost_incarnation *life, *next;

	if (s->crash_rate.at_ms != 0 &&
	    now_ms - s->crash_rate.at_ms < WATCH_EVERY_MS)
		return;
	blame_update_rate(&s->crash_rate, count_up(s), now_ms);
	for (life = LIST_FIRST(&s->lost_incarnations); life != NULL;
	     life = next) {
		next = LIST_NEXT(life, link);
		if (now_ms - life->at_ms > LIFE_KEEP_MS)
			drop_life(life);
	}
}

void
crash_free(struct sched *s)
{
	while (!LIST_EMPTY(&s->lost_incarnations))
		drop_life(LIST_FIRST(&s->lost_incarnations));
}

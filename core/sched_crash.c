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

/* An incarnation of a worker of which isn't known whether it crashed. */
struct sched_lost_incarnation {
	LIST_ENTRY(sched_lost_incarnation) link;
	struct incarnation_name name;
	bool inherited; /* a former leader recorded the losses */
	uint32_t serial; /* unless inherited */
	int64_t at_ms; /* when its leases expired, or when it was loaded */
	size_t nruns;
	struct lost_run *runs;
};

static struct sched_lost_incarnation *
incarnation_new(
    struct sched *s, const struct incarnation_name *name, int64_t now_ms)
{
	struct sched_lost_incarnation *inc;

	if ((inc = calloc(1, sizeof(*inc))) == NULL)
		return NULL;
	inc->name = *name;
	inc->at_ms = now_ms;
	LIST_INSERT_HEAD(&s->lost_incarnations, inc, link);
	return inc;
}

/* Without memory the loss stays unconfirmed. */
static void
add_run(struct sched_lost_incarnation *inc, const struct sched_task *task,
    uint32_t attempt)
{
	struct lost_run *runs;

	runs = reallocarray(inc->runs, inc->nruns + 1, sizeof(*runs));
	if (runs == NULL)
		return;
	inc->runs = runs;
	sched_task_name(task, &runs[inc->nruns].task);
	runs[inc->nruns++].attempt = attempt;
}

static void
add_incarnation(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *inc;
	const struct sched_run *run;
	struct incarnation_name name;

	strlcpy(name.worker, worker->id, sizeof(name.worker));
	strlcpy(name.address, worker->address, sizeof(name.address));
	name.started_ms = worker->inc.started_ms;
	if ((inc = incarnation_new(s, &name, now_ms)) == NULL)
		return;
	inc->serial = worker->inc.serial;
	TAILQ_FOREACH (run, &worker->runs, by_worker)
		add_run(inc, run->task, run->attempt);
}

static struct sched_lost_incarnation *
find_inherited(struct sched *s, const struct incarnation_name *name)
{
	struct sched_lost_incarnation *inc;

	LIST_FOREACH (inc, &s->lost_incarnations, link) {
		if (inc->inherited &&
		    inc->name.started_ms == name->started_ms &&
		    strcmp(inc->name.worker, name->worker) == 0)
			return inc;
	}
	return NULL;
}

struct loading {
	struct sched *sched;
	int64_t now_ms;
};

static void
load_task(struct loading *l, struct sched_task *task)
{
	struct sched_lost_incarnation *inc;
	const struct task_loss *loss;
	uint32_t i;

	loss_load_end(task, l->sched->opt.wall_offset_ms, l->now_ms);
	for (i = 0; i < task->nlosses; i++) {
		loss = &task->losses[i];
		if (loss->on.worker[0] == '\0')
			continue;
		inc = find_inherited(l->sched, &loss->on);
		if (inc == NULL)
			inc = incarnation_new(l->sched, &loss->on, l->now_ms);
		if (inc == NULL)
			continue;
		inc->inherited = true;
		add_run(inc, task, loss->attempt);
	}
}

static void
load_step(struct sched_step *step, void *ctx)
{
	uint32_t i;

	for (i = 0; step->tasks != NULL && i < step->spec->count; i++)
		load_task(ctx, &step->tasks[i]);
}

void
crash_load(struct sched *s, int64_t now_ms)
{
	struct loading loading = { s, now_ms };
	struct sched_job *job;

	TAILQ_FOREACH (job, &s->open, link)
		sched_job_each_step(job, load_step, &loading);
}

void
sched_load_crash_rate(
    struct sched *s, const struct blame_rate *rate, int64_t now_ms)
{
	s->crash_rate = *rate;
	s->crash_rate.at_ms = now_ms;
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
	free(inc->runs);
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

	if (cause == LOSS_REFUTED && !inc->inherited)
		blame_remove_crash(&s->crash_rate);
	if (cause == LOSS_CONFIRMED && inc->inherited)
		blame_add_crash(&s->crash_rate);
	for (i = 0; i < inc->nruns; i++)
		loss_resolve(s, &inc->runs[i].task, inc->runs[i].attempt,
		    inc->name.worker, cause, now_ms);
	free_incarnation(inc);
}

static bool
was_at_address_of(
    const struct sched_lost_incarnation *inc, const struct sched_worker *worker)
{
	return inc->name.address[0] != '\0' &&
	    strcmp(inc->name.address, worker->address) == 0;
}

void
crash_incarnation_answered(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *inc, *next;

	for (inc = LIST_FIRST(&s->lost_incarnations); inc != NULL; inc = next) {
		next = LIST_NEXT(inc, link);
		if (strcmp(inc->name.worker, worker->id) == 0)
			resolve_incarnation(s, inc,
			    inc->name.started_ms == worker->inc.started_ms ?
				LOSS_REFUTED :
				LOSS_CONFIRMED,
			    now_ms);
		else if (inc->inherited && was_at_address_of(inc, worker))
			resolve_incarnation(s, inc, LOSS_CONFIRMED, now_ms);
	}
}

static bool
is_of_worker(
    const struct sched_lost_incarnation *inc, const struct sched_worker *worker)
{
	if (inc->inherited)
		return strcmp(inc->name.worker, worker->id) == 0;
	return inc->serial == worker->inc.serial;
}

void
crash_incarnation_ended(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *inc, *next;

	for (inc = LIST_FIRST(&s->lost_incarnations); inc != NULL; inc = next) {
		next = LIST_NEXT(inc, link);
		if (is_of_worker(inc, worker))
			resolve_incarnation(s, inc, LOSS_CONFIRMED, now_ms);
	}
}

/* The worker is listed again: it was cut off, and has not crashed. */
static bool
is_same_incarnation(
    const struct sched_lost_incarnation *inc, const struct sched_worker *worker)
{
	return strcmp(inc->name.worker, worker->id) == 0 &&
	    inc->name.started_ms == worker->listed_start_ms;
}

/*
 * Entries of the list may be older than the losses that a former leader
 * recorded, so only an answer tells what became of those.
 */
void
crash_worker_listed(
    struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	struct sched_lost_incarnation *inc, *next;

	for (inc = LIST_FIRST(&s->lost_incarnations); inc != NULL; inc = next) {
		next = LIST_NEXT(inc, link);
		if (!inc->inherited && worker->inc.serial > inc->serial &&
		    !is_same_incarnation(inc, worker) &&
		    was_at_address_of(inc, worker))
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

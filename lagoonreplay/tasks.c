#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

/* The tasks of a trace: accepted, bound, getting on, failing, done. */

#define MISSES_MAX 40 /* tasks that fit nowhere, before a step gives up */
#define KNOWN_GAIN 0.9

static void give_up_jobs(struct world *);
static double true_cpus(const struct vm *);
static double rate_of(const struct world *, const struct task *, double);
static void step_vm(struct world *, struct vm *);
static void finish(struct world *, struct task *);
static void failed(struct world *, struct task *);
static void out_of_memory(struct world *, struct vm *);
static void start_ahead(struct world *, struct vm *);
static int before(const struct task *, const struct task *);
static void sort_waiting(struct world *);

void
tasks_accept(struct world *w)
{
	struct job *j;
	int k;

	while (w->next_job < w->trace->njobs &&
	    w->jobs[w->next_job].trace->at_ms <= w->now_ms) {
		j = &w->jobs[w->next_job++];
		j->accepted = true;
		for (k = 0; k < j->trace->tasks; k++) {
			j->tasks[k].waiting_ms = w->now_ms;
			TAILQ_INSERT_TAIL(&w->waiting, &j->tasks[k], link);
		}
	}
}

void
tasks_cancel(struct world *w)
{
	struct task *t;
	struct job *j;
	int i, k;

	for (i = 0; i < w->next_job; i++) {
		j = &w->jobs[i];
		if (j->cancelled || j->trace->cancel_ms > w->now_ms ||
		    w->store_away)
			continue;
		j->cancelled = true;
		for (k = 0; k < j->trace->tasks; k++) {
			t = &j->tasks[k];
			if (t->vm != NULL)
				world_leave(w, t, TASK_CANCELLED);
			else if (t->state == TASK_WAITING) {
				TAILQ_REMOVE(&w->waiting, t, link);
				t->state = TASK_CANCELLED;
			}
		}
	}
}

static double
true_cpus(const struct vm *vm)
{
	const struct task *t;
	double cpus;

	cpus = 0;
	TAILQ_FOREACH (t, &vm->tasks, link) {
		if (t->state == TASK_RUNNING)
			cpus += (double)t->job->trace->truth.cpu_millis / 1000 *
			    t->percent / 100;
	}
	return cpus;
}

/* How fast a task gets on: 1 is undisturbed. */
static double
rate_of(const struct world *w, const struct task *t, double crowded)
{
	const struct trace_kind *victim;
	const struct task *other;
	double slow;

	victim = &w->trace->kinds[t->job->trace->kind];
	slow = 1;
	TAILQ_FOREACH (other, &t->vm->tasks, link) {
		if (other != t && other->state == TASK_RUNNING)
			slow += victim->by[other->job->trace->kind] *
			    (double)other->job->trace->truth.cpu_millis / 1000 *
			    other->percent / 100;
	}
	return t->percent / 100.0 / slow / crowded;
}

static void
finish(struct world *w, struct task *t)
{
	double elapsed_ms, share;
	struct vm *vm;

	vm = t->vm;
	t->done = 1;
	health_success(&vm->bind.health, &t->job->health);
	share = 1 - t->saved;
	elapsed_ms = (double)(w->now_ms - t->started_ms) - t->throttled_ms;
	if (w->policy->learns && share > 0.5)
		learn_task_time(vm->learnt, &t->job->learnt, t->tenant,
		    t->job->kind, (int64_t)elapsed_ms,
		    (int64_t)(share * (double)t->job->trace->declared_run_ms),
		    w->now_ms);
	world_leave(w, t, TASK_DONE);
}

static void
failed(struct world *w, struct task *t)
{
	struct vm *vm;

	vm = t->vm;
	w->tally.failures++;
	t->failures++;
	health_failure(&w->health, &vm->bind.health, vm->bind.id,
	    &t->job->health, t->job->hash, w->now_ms,
	    (uint32_t)world_random(w));
	t->done = t->saved;
	world_leave(w, t, TASK_WAITING);
	if (t->failures < WORLD_ATTEMPTS)
		return;
	TAILQ_REMOVE(&w->waiting, t, link);
	t->state = TASK_GIVEN_UP;
}

/* A VM whose memory is overdrawn kills the task that came last. */
static void
out_of_memory(struct world *w, struct vm *vm)
{
	struct task *t, *last;
	int64_t used;

	for (;;) {
		used = w->trace->head.service_sizes.memory_mib;
		last = NULL;
		TAILQ_FOREACH (t, &vm->tasks, link) {
			used += t->job->trace->truth.memory_mib;
			last = t;
		}
		if (last == NULL || used <= vm->trace->capacity.memory_mib)
			return;
		w->tally.out_of_memory++;
		world_lose_work(w, last);
		last->done = last->saved;
		world_leave(w, last, TASK_WAITING);
	}
}

static void
step_vm(struct world *w, struct vm *vm)
{
	const struct trace_kind *service;
	struct task *t, *next;
	double cpus, has, crowded, slow, rate;

	out_of_memory(w, vm);
	service = &w->trace->kinds[0];
	cpus = true_cpus(vm);
	has = (double)(vm->trace->capacity.cpu_millis -
		  w->trace->head.service_sizes.cpu_millis) /
	    1000;
	crowded = cpus > has ? cpus / has : 1;
	w->tally.over_vm_s += cpus > has ? WORLD_STEP_MS / 1000.0 : 0;
	slow = 1;
	for (t = TAILQ_FIRST(&vm->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, link);
		if (t->until_ms != 0 && w->now_ms >= t->until_ms) {
			if (t->state == TASK_CHECKPOINTING)
				world_leave(w, t, TASK_WAITING);
			else
				failed(w, t);
			continue;
		}
		if (t->state != TASK_RUNNING)
			continue;
		slow += service->by[t->job->trace->kind] *
		    (double)t->job->trace->truth.cpu_millis / 1000 *
		    t->percent / 100;
		if (t->until_ms != 0)
			continue;
		rate = rate_of(w, t, crowded);
		t->done += rate * WORLD_STEP_MS / (double)t->job->trace->run_ms;
		t->throttled_ms += WORLD_STEP_MS * (1 - t->percent / 100.0);
		if (t->done >= 1)
			finish(w, t);
	}
	vm->slowdown = slow * crowded * crowded;
}

void
tasks_step(struct world *w)
{
	int i;

	for (i = 0; i < w->trace->nworkers; i++) {
		if (!w->vms[i].lost)
			step_vm(w, &w->vms[i]);
		if (w->store_away && !w->vms[i].lost)
			start_ahead(w, &w->vms[i]);
	}
	give_up_jobs(w);
}

/* Jobs that can never run are told so and cost no more attempts. */
static void
give_up_jobs(struct world *w)
{
	struct task *t;
	struct job *j;
	int i, k;

	for (i = 0; i < w->next_job; i++) {
		j = &w->jobs[i];
		if (!w->policy->learns || j->cancelled ||
		    health_evaluate(&w->health, &j->health, &j->trace->declared,
			&w->largest) == HEALTH_MAY_RUN)
			continue;
		j->cancelled = true;
		for (k = 0; k < j->trace->tasks; k++) {
			t = &j->tasks[k];
			if (t->vm != NULL)
				world_leave(w, t, TASK_GIVEN_UP);
			else if (t->state == TASK_WAITING) {
				TAILQ_REMOVE(&w->waiting, t, link);
				t->state = TASK_GIVEN_UP;
			}
		}
	}
}

static int
before(const struct task *a, const struct task *b)
{
	struct bind_task x, y;

	memset(&x, 0, sizeof(x));
	memset(&y, 0, sizeof(y));
	x.resumed = a->resumed;
	x.urgent = a->job->trace->urgent;
	x.accepted_ms = a->job->trace->at_ms;
	y.resumed = b->resumed;
	y.urgent = b->job->trace->urgent;
	y.accepted_ms = b->job->trace->at_ms;
	return bind_order(&x, &y) < 0;
}

/* Few tasks change places between steps, so insertion is enough. */
static void
sort_waiting(struct world *w)
{
	struct task_list sorted;
	struct task *t, *at;

	TAILQ_INIT(&sorted);
	while ((t = TAILQ_FIRST(&w->waiting)) != NULL) {
		TAILQ_REMOVE(&w->waiting, t, link);
		for (at = TAILQ_LAST(&sorted, task_list);
		     at != NULL && before(t, at);
		     at = TAILQ_PREV(at, task_list, link))
			continue;
		if (at == NULL)
			TAILQ_INSERT_HEAD(&sorted, t, link);
		else
			TAILQ_INSERT_AFTER(&sorted, at, t, link);
	}
	TAILQ_CONCAT(&w->waiting, &sorted, link);
}

void
tasks_bind(struct world *w)
{
	struct task *t, *next;
	int misses, vm;

	if (w->store_away)
		return;
	sort_waiting(w);
	misses = 0;
	for (t = TAILQ_FIRST(&w->waiting); t != NULL && misses < MISSES_MAX;
	     t = next) {
		next = TAILQ_NEXT(t, link);
		if (t->job->missed_ms == w->now_ms)
			continue;
		t->reserved = t->job->trace->declared;
		if ((vm = w->policy->worker(w, t)) < 0) {
			t->job->missed_ms = w->now_ms;
			misses++;
			continue;
		}
		TAILQ_REMOVE(&w->waiting, t, link);
		world_start_task(w, t, vm);
	}
}

/*
 * Before the store went away some waiting tasks were bound to each worker,
 * startable only there: the next in line.
 */
void
tasks_bind_ahead(struct world *w)
{
	struct task *t, *next;
	struct vm *vm;
	int i, left, index;

	left = w->trace->nworkers * w->trace->head.ahead;
	i = 0;
	for (t = TAILQ_FIRST(&w->waiting); t != NULL && left > 0; t = next) {
		next = TAILQ_NEXT(t, link);
		if (t->job->trace->declared.cpu_millis > w->largest.cpu_millis)
			continue;
		index = w->policy->ahead != NULL ? w->policy->ahead(w, t) :
						   i++ % w->trace->nworkers;
		if (index < 0)
			continue;
		vm = &w->vms[index];
		TAILQ_REMOVE(&w->waiting, t, link);
		TAILQ_INSERT_TAIL(&vm->ahead, t, link);
		left--;
	}
}

void
tasks_unbind_ahead(struct world *w)
{
	struct task *t;
	int i;

	for (i = 0; i < w->trace->nworkers; i++) {
		while ((t = TAILQ_FIRST(&w->vms[i].ahead)) != NULL) {
			TAILQ_REMOVE(&w->vms[i].ahead, t, link);
			TAILQ_INSERT_TAIL(&w->waiting, t, link);
		}
	}
}

static void
start_ahead(struct world *w, struct vm *vm)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&vm->ahead); t != NULL; t = next) {
		next = TAILQ_NEXT(t, link);
		t->reserved = t->job->trace->declared;
		if (w->policy->learns)
			learn_reserve(w->learn, &t->job->learnt, t->job->kind,
			    &t->job->trace->declared, &w->largest,
			    w->reclaim_cpu, &t->reserved);
		if (!world_fits(w, vm, &t->reserved))
			continue;
		TAILQ_REMOVE(&vm->ahead, t, link);
		world_start_task(w, t, vm->index);
	}
}

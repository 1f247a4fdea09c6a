#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "world.h"

#define WAITS_MAX_S 1800
#define USAGE_MS 10000 /* between measurements of what tasks use */

static int open_vms(struct world *);
static int open_jobs(struct world *);
static struct learn_worker *learnt_by(struct world *, int, struct vm *);
static void close_endpoints(struct world *);
static int open_endpoints(struct world *);
static void set_options(struct world *);
static void note_wait(struct world *, const struct task *);
static void tally_waits(struct world *);
static void tally_tasks(struct world *);

static void
set_options(struct world *w)
{
	const struct trace_head *h;

	h = &w->trace->head;
	choose_options_default(&w->choose);
	w->choose.one_way_ms = h->one_way_ms;
	w->choose.fallback_ms = h->base_ms;
	bind_options_default(&w->bind);
	w->bind.tail_weight = h->tail_weight;
	w->bind.throughput_weight = h->throughput_weight;
	w->bind.eviction_weight = h->eviction_weight;
	evict_options_default(&w->evict);
	w->evict.tail_weight = h->tail_weight;
	w->evict.throughput_weight = h->throughput_weight;
	w->evict.eviction_weight = h->eviction_weight;
	w->evict.settle_ms = h->window_ms;
	health_options_default(&w->health);
	w->reclaim_cpu = true;
}

static int
open_vms(struct world *w)
{
	const struct trace_worker *t;
	struct vm *vm;
	int i;

	w->vms = calloc((size_t)w->trace->nworkers, sizeof(*w->vms));
	if (w->vms == NULL)
		return -1;
	for (i = 0; i < w->trace->nworkers; i++) {
		t = &w->trace->workers[i];
		vm = &w->vms[i];
		vm->trace = t;
		vm->index = i;
		vm->slowdown = 1;
		TAILQ_INIT(&vm->tasks);
		TAILQ_INIT(&vm->ahead);
		vm->bind.capacity = t->capacity;
		vm->bind.reserved = w->trace->head.service_sizes;
		vm->bind.rack = t->rack;
		vm->bind.data_center = t->data_center;
		vm->bind.id = XXH64(t->id, strlen(t->id), 0);
		vm->service.kind = w->service_kind;
		vm->service.target_p99_ms = w->trace->head.target_p99_ms;
		if ((vm->learnt = learn_worker_open(w->learn)) == NULL)
			return -1;
		vm->bind.learnt = vm->learnt;
		learn_tenant_start(vm->learnt, 1, w->service_kind,
		    w->trace->head.service_sizes.cpu_millis, 0);
		if (t->capacity.cpu_millis > w->largest.cpu_millis)
			w->largest.cpu_millis = t->capacity.cpu_millis;
		if (t->capacity.memory_mib > w->largest.memory_mib)
			w->largest.memory_mib = t->capacity.memory_mib;
		if (t->capacity.accelerators > w->largest.accelerators)
			w->largest.accelerators = t->capacity.accelerators;
	}
	w->largest.cpu_millis -= w->trace->head.service_sizes.cpu_millis;
	w->largest.memory_mib -= w->trace->head.service_sizes.memory_mib;
	return 0;
}

static int
open_jobs(struct world *w)
{
	struct job *j;
	int i, k;

	w->jobs = calloc((size_t)w->trace->njobs + 1, sizeof(*w->jobs));
	if (w->jobs == NULL)
		return -1;
	for (i = 0; i < w->trace->njobs; i++) {
		j = &w->jobs[i];
		j->trace = &w->trace->jobs[i];
		j->hash = XXH64(j->trace->id, strlen(j->trace->id), 1);
		j->kind =
		    learn_kind(w->learn, w->trace->kinds[j->trace->kind].name);
		j->tasks = calloc((size_t)j->trace->tasks, sizeof(*j->tasks));
		if (j->tasks == NULL)
			return -1;
		for (k = 0; k < j->trace->tasks; k++) {
			j->tasks[k].job = j;
			j->tasks[k].percent = 100;
			j->tasks[k].last_vm = -1;
		}
	}
	return 0;
}

static struct learn_worker *
learnt_by(struct world *w, int entry, struct vm *vm)
{
	if (vm->trace->rack % w->trace->head.entries == entry)
		return vm->learnt;
	return learn_worker_open(w->entry_learn[entry]);
}

static int
open_endpoints(struct world *w)
{
	struct choose_endpoint *e;
	size_t n;
	int entry, vm;

	n = (size_t)w->trace->head.entries * (size_t)w->trace->nworkers;
	/* An array of pointers, as choose() takes it. */
	/* NOLINTNEXTLINE(bugprone-sizeof-expression) */
	w->endpoints = calloc(n, sizeof(*w->endpoints));
	/* NOLINTNEXTLINE(bugprone-sizeof-expression) */
	w->entry_learn = calloc(n, sizeof(*w->entry_learn));
	if (w->endpoints == NULL || w->entry_learn == NULL)
		return -1;
	for (entry = 0; entry < w->trace->head.entries; entry++) {
		if ((w->entry_learn[entry] = learn_open(NULL)) == NULL)
			return -1;
		(void)learn_kind(
		    w->entry_learn[entry], w->trace->kinds[0].name);
		for (vm = 0; vm < w->trace->nworkers; vm++) {
			if ((e = calloc(1, sizeof(*e))) == NULL)
				return -1;
			e->data_center = w->vms[vm].trace->data_center;
			e->credits = e->slots = w->vms[vm].trace->slots;
			e->learnt = learnt_by(w, entry, &w->vms[vm]);
			if (e->learnt == NULL)
				return -1;
			w->endpoints[entry * w->trace->nworkers + vm] = e;
		}
	}
	return 0;
}

struct world *
world_open(
    const struct trace *t, const struct policy *policy, unsigned long seed)
{
	struct world *w;

	if ((w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	w->trace = t;
	w->policy = policy;
	TAILQ_INIT(&w->waiting);
	w->nature = gsl_rng_alloc(gsl_rng_taus2);
	w->choices = gsl_rng_alloc(gsl_rng_taus2);
	w->waits = gsl_histogram_alloc(WAITS_MAX_S);
	if (w->nature == NULL || w->choices == NULL || w->waits == NULL)
		goto fail;
	gsl_histogram_set_ranges_uniform(w->waits, 0, WAITS_MAX_S);
	gsl_rng_set(w->nature, seed);
	gsl_rng_set(w->choices, seed + 7919);
	if ((w->learn = learn_open(NULL)) == NULL)
		goto fail;
	w->service_kind = learn_kind(w->learn, t->kinds[0].name);
	learn_mark_service(w->learn, w->service_kind);
	set_options(w);
	if (open_vms(w) == -1 || open_jobs(w) == -1 || open_endpoints(w) == -1)
		goto fail;
	if (policy->tune != NULL)
		policy->tune(w);
	return w;

fail:
	world_close(w);
	return NULL;
}

static void
close_endpoints(struct world *w)
{
	struct choose_endpoint *e;
	int entry, n, vm;

	n = w->trace->nworkers;
	for (entry = 0; entry < w->trace->head.entries; entry++) {
		for (vm = 0; vm < n; vm++) {
			if ((e = w->endpoints[entry * n + vm]) == NULL)
				continue;
			if (e->learnt != w->vms[vm].learnt)
				learn_worker_close(e->learnt);
			free(e);
		}
		learn_close(w->entry_learn[entry]);
	}
}

void
world_close(struct world *w)
{
	int i;

	if (w->endpoints != NULL && w->entry_learn != NULL)
		close_endpoints(w);
	for (i = 0; w->vms != NULL && i < w->trace->nworkers; i++)
		learn_worker_close(w->vms[i].learnt);
	for (i = 0; w->jobs != NULL && i < w->trace->njobs; i++)
		free(w->jobs[i].tasks);
	free(w->endpoints);
	free(w->entry_learn);
	free(w->vms);
	free(w->jobs);
	free(w->reports);
	free(w->ends);
	free(w->latencies);
	learn_close(w->learn);
	if (w->waits != NULL)
		gsl_histogram_free(w->waits);
	if (w->nature != NULL)
		gsl_rng_free(w->nature);
	if (w->choices != NULL)
		gsl_rng_free(w->choices);
	free(w);
}

uint64_t
world_random(struct world *w)
{
	return (uint64_t)gsl_rng_get(w->choices) << 32 |
	    gsl_rng_get(w->choices);
}

bool
world_fits(
    const struct world *w, const struct vm *vm, const struct resources *more)
{
	const struct resources *has, *used;

	(void)w;
	has = &vm->bind.capacity;
	used = &vm->bind.reserved;
	return used->cpu_millis + more->cpu_millis <= has->cpu_millis &&
	    used->memory_mib + more->memory_mib <= has->memory_mib &&
	    used->accelerators + more->accelerators <= has->accelerators;
}

/* The longest wait of an urgent task, an outage of the store left out. */
static void
note_wait(struct world *w, const struct task *t)
{
	int64_t since_ms;

	since_ms =
	    t->waiting_ms > w->store_back_ms ? t->waiting_ms : w->store_back_ms;
	if (w->store_back_ms == 0 && !w->store_away)
		gsl_histogram_increment(
		    w->waits, (double)(w->now_ms - since_ms) / 1000);
	if ((double)(w->now_ms - since_ms) > w->tally.urgent_wait_ms)
		w->tally.urgent_wait_ms = (double)(w->now_ms - since_ms);
}

/* Start a task whose reserved size the policy has set. */
void
world_start_task(struct world *w, struct task *t, int vm_index)
{
	struct vm *vm;

	vm = &w->vms[vm_index];
	t->vm = vm;
	t->state = TASK_RUNNING;
	t->tenant = ++w->attempts + 1;
	t->percent = 100;
	t->started_ms = w->now_ms;
	t->throttled_ms = 0;
	t->done = t->saved;
	t->until_ms = 0;
	if (vm->fails || vm->lost || t->job->trace->fails)
		t->until_ms = w->now_ms + WORLD_FAIL_MS;
	if (t->job->trace->urgent)
		note_wait(w, t);
	TAILQ_INSERT_TAIL(&vm->tasks, t, link);
	vm->bind.reserved.cpu_millis += t->reserved.cpu_millis;
	vm->bind.reserved.memory_mib += t->reserved.memory_mib;
	vm->bind.reserved.accelerators += t->reserved.accelerators;
	vm->bind.tasks++;
	t->job->running++;
	learn_tenant_start(vm->learnt, t->tenant, t->job->kind,
	    t->reserved.cpu_millis, w->now_ms);
}

/* A task leaves its VM; one that waits again goes to the queue. */
void
world_leave(struct world *w, struct task *t, enum task_state state)
{
	struct vm *vm;

	vm = t->vm;
	TAILQ_REMOVE(&vm->tasks, t, link);
	vm->bind.reserved.cpu_millis -= t->reserved.cpu_millis;
	vm->bind.reserved.memory_mib -= t->reserved.memory_mib;
	vm->bind.reserved.accelerators -= t->reserved.accelerators;
	vm->bind.tasks--;
	t->job->running--;
	learn_tenant_end(vm->learnt, t->tenant, w->now_ms);
	t->vm = NULL;
	t->state = state;
	t->until_ms = 0;
	if (state != TASK_WAITING)
		return;
	t->last_vm = vm->index;
	t->waiting_ms = w->now_ms;
	TAILQ_INSERT_TAIL(&w->waiting, t, link);
}

/* Checkpoint a task, or stop it and lose what it did since its last one. */
void
world_lose_work(struct world *w, const struct task *t)
{
	w->tally.lost_hours +=
	    trace_core_hours(t->job->trace, t->done - t->saved);
}

void
world_evict(struct world *w, struct task *t, bool lose)
{
	w->tally.evictions++;
	t->evictions++;
	t->resumed = true;
	if (t->evictions > w->tally.task_evictions)
		w->tally.task_evictions = t->evictions;
	if (lose) {
		world_lose_work(w, t);
		world_leave(w, t, TASK_WAITING);
		return;
	}
	t->saved = t->done;
	t->state = TASK_CHECKPOINTING;
	t->until_ms = w->now_ms + WORLD_CHECKPOINT_MS;
}

void
world_grow(struct world *w, struct task *t, const struct resources *to)
{
	(void)w;
	if (to->cpu_millis > t->reserved.cpu_millis) {
		t->vm->bind.reserved.cpu_millis +=
		    to->cpu_millis - t->reserved.cpu_millis;
		t->reserved.cpu_millis = to->cpu_millis;
	}
	if (to->memory_mib > t->reserved.memory_mib) {
		t->vm->bind.reserved.memory_mib +=
		    to->memory_mib - t->reserved.memory_mib;
		t->reserved.memory_mib = to->memory_mib;
	}
}

void
world_throttle(struct world *w, struct task *t, int percent)
{
	int64_t cpu;

	w->tally.throttles += percent < t->percent;
	cpu = learn_tenant_cpu(t->vm->learnt, t->tenant) * percent / t->percent;
	t->percent = percent;
	learn_tenant_used(t->vm->learnt, t->tenant, cpu);
}

static void
tally_waits(struct world *w)
{
	double all, below;
	size_t i;

	all = gsl_histogram_sum(w->waits);
	below = 0;
	for (i = 0; i < WAITS_MAX_S; i++) {
		below += gsl_histogram_get(w->waits, i);
		if (below >= 0.99 * all)
			break;
	}
	w->tally.urgent_p99_ms = (double)i * 1000;
}

static void
tally_tasks(struct world *w)
{
	const struct job *j;
	double hours;
	int i, k;

	for (i = 0; i < w->trace->njobs; i++) {
		j = &w->jobs[i];
		hours = trace_core_hours(j->trace, 1);
		for (k = 0; k < j->trace->tasks; k++) {
			w->tally.done += j->tasks[k].state == TASK_DONE;
			w->tally.given_up += j->tasks[k].state == TASK_GIVEN_UP;
			if (j->tasks[k].state != TASK_CANCELLED)
				w->tally.core_hours += hours * j->tasks[k].done;
		}
	}
}

void
world_run(struct world *w)
{
	const struct trace_head *h;

	h = &w->trace->head;
	for (w->now_ms = WORLD_STEP_MS; w->now_ms <= h->duration_ms;
	     w->now_ms += WORLD_STEP_MS) {
		faults_step(w);
		tasks_cancel(w);
		tasks_accept(w);
		tasks_step(w);
		measure_deliver(w);
		tasks_bind(w);
		calls_step(w);
		if (w->now_ms % h->window_ms == 0)
			measure_window(w);
		if (w->now_ms % USAGE_MS == 0)
			measure_usage(w);
	}
	calls_tally(w);
	tally_waits(w);
	tally_tasks(w);
}

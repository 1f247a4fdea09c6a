#include "policies.h"

/*
 * Plain schedulers to compare with.  They see what ours sees, and use the
 * sizes that jobs declare.  All evict by a threshold: when a measurement
 * misses the target, or shows a VM beyond its processors, the largest task
 * there is checkpointed, once for each lag of the measurements.
 */

static struct choose_endpoint *endpoint_at(struct world *, int, int);
static void evict_largest(struct world *, struct vm *);
static int64_t min64(int64_t, int64_t);
static int usable(const struct choose_endpoint *);
static int worker_usable(struct world *, int, const struct task *);

static struct choose_endpoint *
endpoint_at(struct world *w, int entry, int vm)
{
	return w->endpoints[entry * w->trace->nworkers + vm];
}

static int64_t
min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int
usable(const struct choose_endpoint *e)
{
	return e->credits > 0 && !e->draining;
}

static int
worker_usable(struct world *w, int vm, const struct task *t)
{
	return !w->vms[vm].bind.draining &&
	    world_fits(w, &w->vms[vm], &t->reserved);
}

int
round_robin_endpoint(struct world *w, int entry)
{
	int i, vm;

	for (i = 0; i < w->trace->nworkers; i++) {
		vm = w->turn++ % w->trace->nworkers;
		if (usable(endpoint_at(w, entry, vm)))
			return vm;
	}
	return -1;
}

int
round_robin_worker(struct world *w, struct task *t)
{
	int i, vm;

	for (i = 0; i < w->trace->nworkers; i++) {
		vm = w->turn++ % w->trace->nworkers;
		if (worker_usable(w, vm, t))
			return vm;
	}
	return -1;
}

int
least_loaded_endpoint(struct world *w, int entry)
{
	const struct choose_endpoint *e;
	int best, start, i, vm;

	best = -1;
	start = (int)(world_random(w) % (uint64_t)w->trace->nworkers);
	for (i = 0; i < w->trace->nworkers; i++) {
		vm = (start + i) % w->trace->nworkers;
		e = endpoint_at(w, entry, vm);
		if (usable(e) &&
		    (best < 0 ||
			e->credits > endpoint_at(w, entry, best)->credits))
			best = vm;
	}
	return best;
}

int
least_loaded_worker(struct world *w, struct task *t)
{
	int best, vm;

	best = -1;
	for (vm = 0; vm < w->trace->nworkers; vm++) {
		if (worker_usable(w, vm, t) &&
		    (best < 0 ||
			w->vms[vm].bind.reserved.cpu_millis <
			    w->vms[best].bind.reserved.cpu_millis))
			best = vm;
	}
	return best;
}

int
declared_endpoint(struct world *w, int entry)
{
	uint64_t random;
	int a, b, n;

	n = w->trace->nworkers;
	random = world_random(w);
	a = (int)((random & UINT32_MAX) % (uint64_t)n);
	b = (int)((random >> 32) % (uint64_t)n);
	if (!usable(endpoint_at(w, entry, a)))
		a = b;
	if (!usable(endpoint_at(w, entry, a)))
		return round_robin_endpoint(w, entry);
	if (usable(endpoint_at(w, entry, b)) &&
	    endpoint_at(w, entry, b)->credits >
		endpoint_at(w, entry, a)->credits)
		return b;
	return a;
}

/* As if every job might use four times what it declares. */
int
cautious_worker(struct world *w, struct task *t)
{
	t->reserved.cpu_millis =
	    min64(4 * t->reserved.cpu_millis, w->largest.cpu_millis);
	t->reserved.memory_mib =
	    min64(4 * t->reserved.memory_mib, w->largest.memory_mib);
	return least_loaded_worker(w, t);
}

int
declared_worker(struct world *w, struct task *t)
{
	int best, vm;

	best = -1;
	for (vm = 0; vm < w->trace->nworkers; vm++) {
		if (worker_usable(w, vm, t) &&
		    (best < 0 ||
			w->vms[vm].bind.reserved.cpu_millis >
			    w->vms[best].bind.reserved.cpu_millis))
			best = vm;
	}
	return best;
}

void
threshold_protect(
    struct world *w, struct vm *vm, double p99_ms, int64_t measured_ms)
{
	if (p99_ms <= vm->service.target_p99_ms ||
	    (vm->service.last_action_ms != 0 &&
		measured_ms < vm->service.last_action_ms))
		return;
	evict_largest(w, vm);
}

void
threshold_used(struct world *w, struct vm *vm)
{
	if (learn_cpu_millis(vm->learnt) <= vm->trace->capacity.cpu_millis ||
	    (vm->service.last_action_ms != 0 &&
		w->now_ms - vm->service.last_action_ms < w->trace->head.lag_ms))
		return;
	evict_largest(w, vm);
}

static void
evict_largest(struct world *w, struct vm *vm)
{
	struct task *t, *largest;

	if (w->store_away)
		return;
	largest = NULL;
	TAILQ_FOREACH (t, &vm->tasks, link) {
		if (t->state == TASK_RUNNING &&
		    (largest == NULL ||
			t->reserved.cpu_millis > largest->reserved.cpu_millis))
			largest = t;
	}
	if (largest == NULL)
		return;
	vm->service.last_action_ms = w->now_ms;
	world_evict(w, largest, false);
}

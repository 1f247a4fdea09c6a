#include <string.h>

#include "policies.h"

#define WORKERS_MAX 512

/* The decisions of core, called the way the daemon calls them. */

static int vm_fits(void *, size_t, const struct resources *);
static void count_work(struct world *);
static size_t list_tasks(struct vm *, struct evict_task *, struct task **);
static void carry_out(
    struct world *, struct task *, const struct evict_result *);

int
ours_endpoint(struct world *w, int entry)
{
	struct choose_result r;
	size_t n;

	n = (size_t)w->trace->nworkers;
	r = choose(&w->choose, &w->endpoints[(size_t)entry * n], n,
	    w->service_kind, entry % w->trace->ndata_centers, -1,
	    world_random(w), w->now_ms);
	return r.index;
}

static int
vm_fits(void *ctx, size_t index, const struct resources *more)
{
	struct world *w;

	w = ctx;
	return world_fits(w, &w->vms[index], more);
}

int
ours_worker(struct world *w, struct task *t)
{
	struct bind_worker *workers[WORKERS_MAX];
	struct bind_result r;
	struct bind_task b;
	int i, n;

	n = w->trace->nworkers < WORKERS_MAX ? w->trace->nworkers : WORKERS_MAX;
	for (i = 0; i < n; i++)
		workers[i] = &w->vms[i].bind;
	learn_reserve(w->learn, &t->job->learnt, t->job->kind,
	    &t->job->trace->declared, &w->largest, w->reclaim_cpu,
	    &t->reserved);
	memset(&b, 0, sizeof(b));
	b.reserve = t->reserved;
	b.kind = t->job->kind;
	b.urgent = t->job->trace->urgent;
	b.resumed = t->resumed;
	b.job_running = t->job->running;
	b.job_measured = (int)t->job->learnt.cpu.count;
	b.run_ms = t->job->trace->declared_run_ms;
	if (t->last_vm >= 0)
		b.avoid = w->vms[t->last_vm].bind.id;
	r = bind_pick(&w->bind, &b, workers, (size_t)n, vm_fits, NULL, w,
	    world_random(w), w->now_ms);
	if (r.reason == BIND_PROBE)
		health_probe_sent(&w->vms[r.index].bind.health);
	return r.index;
}

/* What is left of the running tasks, before work is bound ahead. */
static void
count_work(struct world *w)
{
	const struct task *t;
	struct vm *vm;
	int64_t left_ms;
	int i;

	for (i = 0; i < w->trace->nworkers; i++) {
		vm = &w->vms[i];
		vm->bind.work_ms = 0;
		TAILQ_FOREACH (t, &vm->tasks, link) {
			left_ms = learn_run_ms(&t->job->learnt,
				      t->job->trace->declared_run_ms) -
			    (w->now_ms - t->started_ms);
			if (left_ms > 0)
				vm->bind.work_ms +=
				    left_ms * t->reserved.cpu_millis / 1000;
		}
	}
	w->work_counted_ms = w->now_ms;
}

int
ours_ahead(struct world *w, struct task *t)
{
	struct bind_worker *workers[WORKERS_MAX];
	struct bind_task b;
	int i, n;

	if (w->work_counted_ms != w->now_ms)
		count_work(w);
	n = w->trace->nworkers < WORKERS_MAX ? w->trace->nworkers : WORKERS_MAX;
	for (i = 0; i < n; i++)
		workers[i] = &w->vms[i].bind;
	memset(&b, 0, sizeof(b));
	learn_reserve(w->learn, &t->job->learnt, t->job->kind,
	    &t->job->trace->declared, &w->largest, w->reclaim_cpu, &b.reserve);
	b.run_ms =
	    learn_run_ms(&t->job->learnt, t->job->trace->declared_run_ms);
	return bind_ahead(
	    &w->bind, &b, workers, (size_t)n, world_random(w), w->now_ms)
	    .index;
}

static size_t
list_tasks(struct vm *vm, struct evict_task *list, struct task **tasks)
{
	struct task *t;
	double run_ms;
	size_t n;

	n = 0;
	TAILQ_FOREACH (t, &vm->tasks, link) {
		if (t->state != TASK_RUNNING || n == WORLD_VM_TASKS)
			continue;
		run_ms = (double)t->job->trace->declared_run_ms;
		memset(&list[n], 0, sizeof(list[n]));
		list[n].tenant = t->tenant;
		list[n].kind = t->job->kind;
		list[n].cpu_millis = learn_tenant_cpu(vm->learnt, t->tenant);
		list[n].unsaved_ms = (int64_t)((t->done - t->saved) * run_ms);
		list[n].run_ms = t->job->trace->declared_run_ms;
		list[n].evictions = t->evictions;
		list[n].max_evictions = t->job->trace->max_evictions;
		list[n].percent = t->percent;
		list[n].urgent = t->job->trace->urgent;
		tasks[n++] = t;
	}
	return n;
}

static void
carry_out(struct world *w, struct task *t, const struct evict_result *r)
{
	switch (r->action) {
	case EVICT_THROTTLE:
	case EVICT_RELEASE:
		world_throttle(w, t, r->percent);
		break;
	case EVICT_CHECKPOINT:
	case EVICT_STOP:
		/* An eviction is written first, so it needs the store. */
		if (!w->store_away)
			world_evict(w, t, r->action == EVICT_STOP);
		break;
	case EVICT_NOTHING:
		break;
	}
}

void
ours_protect(struct world *w, struct vm *vm, double p99_ms, int64_t measured_ms)
{
	evict_measured(&w->evict, &vm->service, p99_ms, measured_ms);
	ours_decide(w, vm);
}

/* The service there may be slow, or the VM over what it has. */
void
ours_decide(struct world *w, struct vm *vm)
{
	struct evict_task list[WORLD_VM_TASKS];
	struct task *tasks[WORLD_VM_TASKS];
	struct evict_result r;
	size_t n;

	vm->service.capacity_cpu_millis = vm->trace->capacity.cpu_millis;
	vm->service.used_cpu_millis = learn_cpu_millis(vm->learnt);
	vm->bind.pressure = vm->service.pressure;
	n = list_tasks(vm, list, tasks);
	r = evict_decide(
	    &w->evict, &vm->service, vm->learnt, list, n, w->now_ms);
	if (r.index >= 0)
		carry_out(w, tasks[r.index], &r);
}

#include <stddef.h>

#include "world.h"

/* The faults of a trace, and when the list of VMs tells of them. */

static bool hits(const struct trace_event *, const struct vm *);
static void lose_vm(struct world *, struct vm *);
static void lost_vms(struct world *, const struct trace_event *);
static void list_vm(struct world *, struct vm *, bool);

static bool
hits(const struct trace_event *e, const struct vm *vm)
{
	if (e->fault == TRACE_RACK_LOST)
		return vm->trace->rack == e->target;
	return vm->index == e->target;
}

/* What ran there is lost; the work since the last checkpoint with it. */
static void
lose_vm(struct world *w, struct vm *vm)
{
	struct task *t;

	while ((t = TAILQ_FIRST(&vm->tasks)) != NULL) {
		world_lose_work(w, t);
		t->done = t->saved;
		world_leave(w, t, TASK_WAITING);
	}
}

/* What the policies are told of a VM. */
static void
list_vm(struct world *w, struct vm *vm, bool leaving)
{
	int i;

	vm->bind.draining = leaving;
	for (i = 0; i < w->trace->head.entries; i++)
		w->endpoints[i * w->trace->nworkers + vm->index]->draining =
		    leaving;
	if (leaving)
		lose_vm(w, vm);
}

static void
lost_vms(struct world *w, const struct trace_event *e)
{
	struct vm *vm;
	int i;

	for (i = 0; i < w->trace->nworkers; i++) {
		vm = &w->vms[i];
		if (!hits(e, vm))
			continue;
		if (w->now_ms == e->from_ms)
			vm->lost = true;
		if (w->now_ms == e->until_ms) {
			vm->lost = false;
			list_vm(w, vm, false);
		}
		if (w->now_ms == e->from_ms + w->trace->head.list_lag_ms &&
		    w->now_ms < e->until_ms)
			list_vm(w, vm, true);
	}
}

void
faults_step(struct world *w)
{
	const struct trace_event *e;
	bool on;
	int i;

	for (i = 0; i < w->trace->nevents; i++) {
		e = &w->trace->events[i];
		on = w->now_ms >= e->from_ms && w->now_ms < e->until_ms;
		if (e->fault == TRACE_WORKER_FAILS)
			w->vms[e->target].fails = on;
		else if (e->fault != TRACE_STORE_AWAY)
			lost_vms(w, e);
		else if (w->now_ms == e->from_ms) {
			tasks_bind_ahead(w);
			w->store_away = true;
		} else if (w->now_ms == e->until_ms) {
			w->store_away = false;
			w->store_back_ms = w->now_ms;
			tasks_unbind_ahead(w);
		}
	}
}

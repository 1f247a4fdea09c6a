#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>

#include "world.h"

/* Measurements, and their arrival after the lag of the trace. */

#define CALLS_MIN 20 /* in a window, for a p99 that says anything */
#define USE_NOISE 0.05 /* of measured sizes, either way */

static void push_report(struct world *, const struct report *);
static void deliver_use(struct world *, const struct report *);
static void deliver_p99(struct world *, const struct report *);

static void
push_report(struct world *w, const struct report *r)
{
	struct report *grown;

	if (w->nreports == w->reports_size) {
		w->reports_size =
		    w->reports_size == 0 ? 4096 : 2 * w->reports_size;
		grown = reallocarray(
		    w->reports, (size_t)w->reports_size, sizeof(*w->reports));
		if (grown == NULL)
			abort();
		w->reports = grown;
	}
	w->reports[w->nreports++] = *r;
}

void
measure_window(struct world *w)
{
	struct report r;
	struct vm *vm;
	int i, n, all;

	all = 0;
	for (i = 0; i < w->trace->nworkers; i++)
		all += w->vms[i].window_calls;
	for (i = 0; i < w->trace->nworkers; i++) {
		vm = &w->vms[i];
		n = vm->window_calls;
		vm->window_calls = 0;
		if (n < CALLS_MIN || vm->lost)
			continue;
		calls_sort(vm->window, (size_t)n);
		memset(&r, 0, sizeof(r));
		r.measured_ms = w->now_ms;
		r.due_ms = w->now_ms + w->trace->head.lag_ms;
		r.vm = i;
		r.calls_share = (double)n * w->trace->nworkers / all;
		r.p99_ms = vm->window[n * 99 / 100];
		push_report(w, &r);
	}
}

void
measure_usage(struct world *w)
{
	const struct resources *truth;
	struct report r;
	struct task *t;
	double noise;
	int i;

	for (i = 0; i < w->trace->nworkers; i++) {
		if (w->vms[i].lost)
			continue;
		TAILQ_FOREACH (t, &w->vms[i].tasks, link) {
			noise =
			    1 + gsl_ran_flat(w->choices, -USE_NOISE, USE_NOISE);
			if (t->state != TASK_RUNNING || t->percent < 100 ||
			    t->until_ms != 0)
				continue;
			truth = &t->job->trace->truth;
			memset(&r, 0, sizeof(r));
			r.measured_ms = w->now_ms;
			r.due_ms = w->now_ms + w->trace->head.lag_ms;
			r.vm = i;
			r.task = t;
			r.tenant = t->tenant;
			r.used.cpu_millis =
			    (int64_t)((double)truth->cpu_millis * noise);
			r.used.memory_mib =
			    (int64_t)((double)truth->memory_mib * noise);
			push_report(w, &r);
		}
	}
}

static void
deliver_use(struct world *w, const struct report *r)
{
	struct resources reserve;
	struct task *t;

	t = r->task;
	if (w->policy->learns)
		learn_usage(w->learn, &t->job->learnt, t->job->kind,
		    &t->job->trace->declared, &r->used);
	if (t->vm == NULL || t->tenant != r->tenant)
		return;
	if (t->percent == 100)
		learn_tenant_used(t->vm->learnt, t->tenant, r->used.cpu_millis);
	if (w->policy->learns) {
		learn_reserve(w->learn, &t->job->learnt, t->job->kind,
		    &t->job->trace->declared, &w->largest, w->reclaim_cpu,
		    &reserve);
		world_grow(w, t, &reserve);
	}
	if (w->policy->used != NULL)
		w->policy->used(w, t->vm);
}

static void
deliver_p99(struct world *w, const struct report *r)
{
	struct vm *vm;

	vm = &w->vms[r->vm];
	if (w->policy->learns)
		learn_service_p99(vm->learnt, w->service_kind, r->p99_ms,
		    r->measured_ms, w->trace->head.window_ms);
	vm->service.calls_share = r->calls_share;
	if (w->policy->protect != NULL)
		w->policy->protect(w, vm, r->p99_ms, r->measured_ms);
}

void
measure_deliver(struct world *w)
{
	const struct report *r;

	while (w->reports_at < w->nreports &&
	    w->reports[w->reports_at].due_ms <= w->now_ms) {
		r = &w->reports[w->reports_at++];
		if (r->task != NULL)
			deliver_use(w, r);
		else
			deliver_p99(w, r);
	}
	if (w->reports_at == w->nreports)
		w->reports_at = w->nreports = 0;
}

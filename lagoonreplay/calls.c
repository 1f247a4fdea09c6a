#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>

#include "world.h"

/* Calls: drawn, sent where the policy says, and ended. */

#define BUSY_SHARE 0.6 /* what a full endpoint adds to a call */
#define RETRY_MS 100 /* until a caller whose call was not run comes back */

static double rate_at(const struct trace *, int64_t);
static void push_end(struct world *, const struct call_end *);
static struct call_end pop_end(struct world *);
static void end_calls(struct world *, double);
static void keep_latency(struct world *, double);
static void send_call(struct world *, double);
static int by_value(const void *, const void *);

static double
rate_at(const struct trace *t, int64_t now_ms)
{
	double per_s;
	int i;

	per_s = 0;
	for (i = 0; i < t->nloads; i++) {
		if (t->loads[i].from_ms <= now_ms)
			per_s = t->loads[i].per_s;
	}
	return per_s;
}

/* The calls in flight are a heap, the next to end first. */
static void
push_end(struct world *w, const struct call_end *e)
{
	struct call_end *grown;
	int i, up;

	if (w->nends == w->ends_size) {
		w->ends_size = w->ends_size == 0 ? 256 : 2 * w->ends_size;
		grown = reallocarray(
		    w->ends, (size_t)w->ends_size, sizeof(*w->ends));
		if (grown == NULL)
			abort();
		w->ends = grown;
	}
	for (i = w->nends++; i > 0; i = up) {
		up = (i - 1) / 2;
		if (w->ends[up].end_ms <= e->end_ms)
			break;
		w->ends[i] = w->ends[up];
	}
	w->ends[i] = *e;
}

static struct call_end
pop_end(struct world *w)
{
	struct call_end first, last;
	int i, down;

	first = w->ends[0];
	last = w->ends[--w->nends];
	for (i = 0; (down = 2 * i + 1) < w->nends; i = down) {
		if (down + 1 < w->nends &&
		    w->ends[down + 1].end_ms < w->ends[down].end_ms)
			down++;
		if (last.end_ms <= w->ends[down].end_ms)
			break;
		w->ends[i] = w->ends[down];
	}
	w->ends[i] = last;
	return first;
}

static void
keep_latency(struct world *w, double ms)
{
	float *grown;

	if (w->nlatencies == w->latencies_size) {
		w->latencies_size =
		    w->latencies_size == 0 ? 65536 : 2 * w->latencies_size;
		grown = reallocarray(w->latencies, (size_t)w->latencies_size,
		    sizeof(*w->latencies));
		if (grown == NULL)
			abort();
		w->latencies = grown;
	}
	w->latencies[w->nlatencies++] = (float)ms;
}

static void
end_calls(struct world *w, double until_ms)
{
	struct choose_endpoint *e;
	struct call_end end;
	struct vm *vm;
	int i, n;

	n = w->trace->nworkers;
	while (w->nends > 0 && w->ends[0].end_ms <= until_ms) {
		end = pop_end(w);
		vm = &w->vms[end.vm];
		vm->in_flight--;
		for (i = 0; i < w->trace->head.entries; i++)
			w->endpoints[i * n + end.vm]->credits++;
		e = w->endpoints[end.entry * n + end.vm];
		e->in_flight--;
		keep_latency(w, end.ms);
		if (end.worker_ms < 0) {
			w->tally.lost_calls++;
			choose_failed(e, (int64_t)end.end_ms);
			continue;
		}
		choose_answered(e);
		if (w->policy->learns)
			choose_latency(&w->choose, e, w->service_kind,
			    end.entry % w->trace->ndata_centers, end.ms,
			    (int64_t)end.end_ms);
		if (vm->window_calls < WORLD_WINDOW_CALLS)
			vm->window[vm->window_calls++] = (float)end.worker_ms;
	}
}

static void
send_call(struct world *w, double at_ms)
{
	const struct trace_head *h;
	struct call_end end;
	struct vm *vm;
	double noise;
	int i, n;

	h = &w->trace->head;
	n = w->trace->nworkers;
	noise = gsl_ran_lognormal(w->nature, 0, h->sigma);
	end.entry =
	    (int)gsl_rng_uniform_int(w->nature, (unsigned long)h->entries);
	w->tally.calls++;
	if ((end.vm = w->policy->endpoint(w, end.entry)) < 0) {
		w->tally.no_credit++;
		keep_latency(w, RETRY_MS + h->base_ms);
		return;
	}
	vm = &w->vms[end.vm];
	end.worker_ms = h->base_ms * noise * vm->slowdown *
	    (1 + BUSY_SHARE * vm->in_flight / vm->trace->slots);
	end.ms = end.worker_ms;
	if (vm->trace->data_center != end.entry % w->trace->ndata_centers)
		end.ms += 2 * h->one_way_ms;
	if (vm->lost || end.ms > (double)h->deadline_ms) {
		end.ms = (double)h->deadline_ms;
		end.worker_ms = -1;
	}
	end.end_ms = at_ms + end.ms;
	vm->in_flight++;
	for (i = 0; i < h->entries; i++)
		w->endpoints[i * n + end.vm]->credits--;
	w->endpoints[end.entry * n + end.vm]->in_flight++;
	push_end(w, &end);
}

void
calls_step(struct world *w)
{
	double at_ms, end_ms, per_ms;

	at_ms = (double)(w->now_ms - WORLD_STEP_MS);
	end_ms = (double)w->now_ms;
	per_ms = rate_at(w->trace, w->now_ms - WORLD_STEP_MS) / 1000;
	while (per_ms > 0) {
		at_ms += gsl_ran_exponential(w->nature, 1 / per_ms);
		if (at_ms >= end_ms)
			break;
		end_calls(w, at_ms);
		send_call(w, at_ms);
	}
	end_calls(w, end_ms);
}

static int
by_value(const void *a, const void *b)
{
	float x, y;

	x = *(const float *)a;
	y = *(const float *)b;
	return (x > y) - (x < y);
}

void
calls_sort(float *ms, size_t n)
{
	qsort(ms, n, sizeof(*ms), by_value);
}

void
calls_tally(struct world *w)
{
	if (w->nlatencies == 0)
		return;
	calls_sort(w->latencies, (size_t)w->nlatencies);
	w->tally.p50_ms = w->latencies[w->nlatencies / 2];
	w->tally.p99_ms = w->latencies[w->nlatencies * 99 / 100];
}

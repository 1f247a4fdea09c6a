#include <math.h>
#include <string.h>

#include "choose.h"
#include "sample.h"

#define BUSY_SHARE 0.5 /* latency that a full endpoint adds, as a share */
#define FAILURE_FACTOR 4 /* expected latency grows so for each failure */
#define FAILURES_MAX 6
#define EQUAL_MS 0.001
#define LEAST_MS 0.01 /* learnt of a call nearer than its data centre */

/* The terms of one candidate's expected latency, in milliseconds. */
struct parts {
	int index;
	double distance_ms;
	double latency_ms;
	double busy_ms;
	double total_ms;
};

static void weigh(const struct choose_options *, const struct choose_endpoint *,
    int, int, int64_t, struct parts *);
static enum choose_reason why(const struct parts *, const struct parts *);
static struct choose_result nothing(size_t, int);

void
choose_options_default(struct choose_options *o)
{
	memset(o, 0, sizeof(*o));
	o->candidates = 24;
	o->examine_max = 64;
	o->one_way_ms = 1.5;
	o->fallback_ms = 10;
	o->failing_ms = 10000;
}

static void
weigh(const struct choose_options *o, const struct choose_endpoint *e, int kind,
    int data_center, int64_t now_ms, struct parts *p)
{
	int failures;

	p->distance_ms = e->data_center == data_center ? 0 : 2 * o->one_way_ms;
	p->latency_ms = o->fallback_ms;
	if (e->learnt != NULL)
		p->latency_ms =
		    learn_latency_ms(e->learnt, kind, o->fallback_ms, now_ms);
	/*
	 * An endpoint that fails at once has few calls in flight and would
	 * attract more; its failures raise what is expected of it until they
	 * are old enough for another try.
	 */
	if (e->failures > 0 && now_ms - e->failed_ms < o->failing_ms) {
		failures =
		    e->failures < FAILURES_MAX ? e->failures : FAILURES_MAX;
		p->latency_ms *= pow(FAILURE_FACTOR, failures);
	}
	p->busy_ms = p->latency_ms * BUSY_SHARE * e->in_flight /
	    (e->slots > 0 ? e->slots : 1);
	p->total_ms = p->distance_ms + p->latency_ms + p->busy_ms;
}

static enum choose_reason
why(const struct parts *best, const struct parts *next)
{
	double near, fast, idle;

	near = next->distance_ms - best->distance_ms;
	fast = next->latency_ms - best->latency_ms;
	idle = next->busy_ms - best->busy_ms;
	if (next->total_ms - best->total_ms < EQUAL_MS)
		return CHOOSE_EQUAL;
	if (near >= fast && near >= idle)
		return CHOOSE_NEAREST;
	return fast >= idle ? CHOOSE_LOWEST_LATENCY : CHOOSE_FEWEST_IN_FLIGHT;
}

static struct choose_result
nothing(size_t n, int leaving)
{
	struct choose_result r;

	memset(&r, 0, sizeof(r));
	r.index = -1;
	r.reason = CHOOSE_NO_CREDIT;
	if (leaving)
		r.reason = CHOOSE_ALL_LEAVING;
	if (n == 0)
		r.reason = CHOOSE_NONE;
	return r;
}

struct choose_result
choose(const struct choose_options *o, struct choose_endpoint *const *e,
    size_t n, int kind, int data_center, int exclude, uint64_t random,
    int64_t now_ms)
{
	struct choose_result r;
	struct parts p, best, next;
	struct sample s;
	size_t i;
	int found, leaving, looked;

	found = leaving = looked = 0;
	memset(&best, 0, sizeof(best));
	best.index = -1;
	best.total_ms = INFINITY;
	next = best;
	sample_start(&s, n, random);
	while (
	    found < o->candidates && (found == 0 || looked < o->examine_max)) {
		if ((i = sample_next(&s)) == n)
			break;
		looked++;
		if (e[i]->credits <= 0 || (int)i == exclude)
			continue;
		if (e[i]->leaving) {
			leaving = 1;
			continue;
		}
		found++;
		weigh(o, e[i], kind, data_center, now_ms, &p);
		p.index = (int)i;
		if (p.total_ms < best.total_ms) {
			next = best;
			best = p;
		} else if (p.total_ms < next.total_ms)
			next = p;
	}
	if (best.index < 0)
		return nothing(n, leaving);
	r.index = best.index;
	r.expected_ms = best.total_ms;
	r.runner_up_ms = found > 1 ? next.total_ms : 0;
	r.reason = found > 1 ? why(&best, &next) : CHOOSE_ONLY_CANDIDATE;
	return r;
}

void
choose_answered(struct choose_endpoint *e)
{
	e->failures = 0;
}

void
choose_latency(const struct choose_options *o, struct choose_endpoint *e,
    int kind, int data_center, double ms, int64_t now_ms)
{
	if (e->learnt == NULL)
		return;
	if (e->data_center != data_center)
		ms -= 2 * o->one_way_ms;
	learn_call_latency(e->learnt, kind, fmax(ms, LEAST_MS), now_ms);
}

void
choose_failed(struct choose_endpoint *e, int64_t now_ms)
{
	if (e->failures < FAILURES_MAX)
		e->failures++;
	e->failed_ms = now_ms;
}

const char *
choose_reason_text(enum choose_reason r)
{
	switch (r) {
	case CHOOSE_ONLY_CANDIDATE:
		return "only_candidate";
	case CHOOSE_NEAREST:
		return "nearest";
	case CHOOSE_LOWEST_LATENCY:
		return "lowest_latency";
	case CHOOSE_FEWEST_IN_FLIGHT:
		return "fewest_in_flight";
	case CHOOSE_EQUAL:
		return "equal";
	case CHOOSE_NO_CREDIT:
		return "no_credit";
	case CHOOSE_ALL_LEAVING:
		return "all_leaving";
	case CHOOSE_NONE:
		return "no_endpoint";
	}
	return "?";
}

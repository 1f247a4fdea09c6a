#include <math.h>
#include <string.h>

#include "choose.h"
#include "sample.h"

#define LOAD_SHARE 0.5 /* added to the latency at full load */
#define FAILURE_FACTOR 4 /* of expected latency, per failure */
#define FAILURES_MAX 6
#define EQUAL_LATENCY_MS 0.001
#define LATENCY_MIN_MS 0.01 /* if the network delay exceeds the duration */

/* The components of one candidate's expected latency. */
struct latency {
	int index;
	double network_ms;
	double service_ms;
	double load_ms;
	double total_ms;
};

static void estimate(const struct choose_options *,
    const struct choose_endpoint *, int, int, int64_t, struct latency *);
static enum choose_reason main_reason(
    const struct latency *, const struct latency *);
static struct choose_result no_endpoint(size_t, int);

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
estimate(const struct choose_options *o, const struct choose_endpoint *e,
    int kind, int data_center, int64_t now_ms, struct latency *l)
{
	int failures;

	l->network_ms = e->data_center == data_center ? 0 : 2 * o->one_way_ms;
	l->service_ms = o->fallback_ms;
	if (e->learnt != NULL)
		l->service_ms =
		    learn_latency_ms(e->learnt, kind, o->fallback_ms, now_ms);
	/*
	 * An endpoint that fails fast has few calls in flight and would attract
	 * more.  Its failures therefore raise the expected latency for
	 * failing_ms, after which it is tried again.
	 */
	if (e->failures > 0 && now_ms - e->failed_ms < o->failing_ms) {
		failures =
		    e->failures < FAILURES_MAX ? e->failures : FAILURES_MAX;
		l->service_ms *= pow(FAILURE_FACTOR, failures);
	}
	l->load_ms = l->service_ms * LOAD_SHARE * e->in_flight /
	    (e->slots > 0 ? e->slots : 1);
	l->total_ms = l->network_ms + l->service_ms + l->load_ms;
}

static enum choose_reason
main_reason(const struct latency *best, const struct latency *next)
{
	double network, service, load;

	network = next->network_ms - best->network_ms;
	service = next->service_ms - best->service_ms;
	load = next->load_ms - best->load_ms;
	if (next->total_ms - best->total_ms < EQUAL_LATENCY_MS)
		return CHOOSE_EQUAL;
	if (network >= service && network >= load)
		return CHOOSE_NEAREST;
	return service >= load ? CHOOSE_LOWEST_LATENCY :
				 CHOOSE_FEWEST_IN_FLIGHT;
}

static struct choose_result
no_endpoint(size_t n, int draining)
{
	struct choose_result r;

	memset(&r, 0, sizeof(r));
	r.index = -1;
	r.reason = CHOOSE_NO_CREDIT;
	if (draining)
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
	struct latency l, best, next;
	struct sample s;
	size_t i;
	int found, draining, examined;

	found = draining = examined = 0;
	memset(&best, 0, sizeof(best));
	best.index = -1;
	best.total_ms = INFINITY;
	next = best;
	sample_start(&s, n, random);
	while (found < o->candidates &&
	    (found == 0 || examined < o->examine_max)) {
		if ((i = sample_next(&s)) == n)
			break;
		examined++;
		if (e[i]->credits <= 0 || (int)i == exclude)
			continue;
		if (e[i]->draining) {
			draining = 1;
			continue;
		}
		found++;
		estimate(o, e[i], kind, data_center, now_ms, &l);
		l.index = (int)i;
		if (l.total_ms < best.total_ms) {
			next = best;
			best = l;
		} else if (l.total_ms < next.total_ms)
			next = l;
	}
	if (best.index < 0)
		return no_endpoint(n, draining);
	r.index = best.index;
	r.expected_ms = best.total_ms;
	r.runner_up_ms = found > 1 ? next.total_ms : 0;
	r.reason =
	    found > 1 ? main_reason(&best, &next) : CHOOSE_ONLY_CANDIDATE;
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
	learn_call_latency(e->learnt, kind, fmax(ms, LATENCY_MIN_MS), now_ms);
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

#include <math.h>
#include <string.h>

#include "learnimpl.h"

/* The latency of calls, by worker and for a service as a whole. */

#define EVIDENCE_MAX 32 /* calls; more would make a mean slow to follow */
#define EVIDENCE_OTHERS 2 /* calls that the service as a whole counts for */

static void observe(struct learn_mean *, double, double, int64_t, int64_t);

struct learn_service *
learn_service_get(struct learn_worker *w, int kind)
{
	struct learn_service *s;
	int i;

	for (i = 0; i < w->nservices; i++) {
		if (w->services[i].kind == kind)
			return &w->services[i];
	}
	if (w->nservices == LEARN_SERVICES_MAX)
		return NULL;
	s = &w->services[w->nservices++];
	memset(s, 0, sizeof(*s));
	s->kind = kind;
	return s;
}

static void
observe(struct learn_mean *m, double ms, double slowdown, int64_t now_ms,
    int64_t half_life_ms)
{
	m->evidence *= learn_decay(now_ms - m->at_ms, half_life_ms);
	m->evidence = fmin(m->evidence + 1, EVIDENCE_MAX);
	m->ms += (ms - m->ms) / m->evidence;
	m->slowdown += (slowdown - m->slowdown) / m->evidence;
	m->at_ms = now_ms;
}

void
learn_call_latency(struct learn_worker *w, int kind, double ms, int64_t now_ms)
{
	struct learn_service *s;
	struct learn *l;
	double slowdown;

	if (ms <= 0 || (s = learn_service_get(w, kind)) == NULL)
		return;
	l = w->learn;
	slowdown = log(learn_slowdown(w, kind, 0, now_ms));
	observe(&s->latency, ms, slowdown, now_ms, l->o.latency_half_life_ms);
	observe(&l->kinds[kind].latency, ms, slowdown, now_ms,
	    l->o.latency_half_life_ms);
}

double
learn_latency_ms(
    struct learn_worker *w, int kind, double fallback_ms, int64_t now_ms)
{
	const struct learn_mean *all;
	struct learn_service *s;
	double evidence, slowdown, expected, own;

	all = &w->learn->kinds[kind].latency;
	slowdown = log(learn_slowdown(w, kind, 0, now_ms));
	expected = all->evidence > 0 ? all->ms * exp(slowdown - all->slowdown) :
				       fallback_ms * exp(slowdown);
	if ((s = learn_service_get(w, kind)) == NULL ||
	    s->latency.evidence <= 0)
		return expected;
	evidence = s->latency.evidence *
	    learn_decay(
		now_ms - s->latency.at_ms, w->learn->o.latency_half_life_ms);
	own = s->latency.ms * exp(slowdown - s->latency.slowdown);
	return (own * evidence + expected * EVIDENCE_OTHERS) /
	    (evidence + EVIDENCE_OTHERS);
}

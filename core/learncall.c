#include <math.h>
#include <string.h>

#include "learnimpl.h"

/* Latency of calls, per worker and for a service as a whole. */

#define EVIDENCE_MAX_CALLS 32 /* more would make the mean react slowly */
#define SERVICE_EVIDENCE_CALLS 2 /* weight of the whole service's mean */

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
	m->evidence = fmin(m->evidence + 1, EVIDENCE_MAX_CALLS);
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
	const struct learn_mean *service;
	struct learn_service *s;
	double evidence, slowdown, expected, worker;

	service = &w->learn->kinds[kind].latency;
	slowdown = log(learn_slowdown(w, kind, 0, now_ms));
	expected = service->evidence > 0 ?
	    service->ms * exp(slowdown - service->slowdown) :
	    fallback_ms * exp(slowdown);
	if ((s = learn_service_get(w, kind)) == NULL ||
	    s->latency.evidence <= 0)
		return expected;
	evidence = s->latency.evidence *
	    learn_decay(
		now_ms - s->latency.at_ms, w->learn->o.latency_half_life_ms);
	worker = s->latency.ms * exp(slowdown - s->latency.slowdown);
	return (worker * evidence + expected * SERVICE_EVIDENCE_CALLS) /
	    (evidence + SERVICE_EVIDENCE_CALLS);
}

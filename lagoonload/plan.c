#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

#include "plan.h"

#define US_PER_S 1e6
#define SKEW 0.5

struct service {
	char name[PLAN_NAME_SIZE];
	double share;
};

struct plan {
	struct plan_options options;
	gsl_rng *arrivals;
	gsl_rng *choices; /* apart, so that repeats don't shift the arrivals */
	struct service services[PLAN_SERVICES_MAX];
	size_t nservices;
	double share_sum;
	double at_us;
	uint64_t number;
	size_t turn;
};

static int parse_services(struct plan *);
static const char *choose_service(struct plan *);
static enum plan_kind choose_kind(struct plan *);
static bool percent(struct plan *, int);

static const char *const kind_names[PLAN_NKINDS] = { "idempotent",
	"non_idempotent", "watch" };

struct plan *
plan_open(const struct plan_options *options)
{
	struct plan *p;

	if ((p = calloc(1, sizeof(*p))) == NULL)
		return NULL;
	p->options = *options;
	p->arrivals = gsl_rng_alloc(gsl_rng_taus);
	p->choices = gsl_rng_alloc(gsl_rng_taus);
	if (p->arrivals == NULL || p->choices == NULL ||
	    parse_services(p) == -1)
		goto fail;
	gsl_rng_set(p->arrivals, options->seed);
	gsl_rng_set(p->choices, options->seed + 1);
	return p;

fail:
	plan_close(p);
	return NULL;
}

void
plan_close(struct plan *p)
{
	if (p == NULL)
		return;
	if (p->arrivals != NULL)
		gsl_rng_free(p->arrivals);
	if (p->choices != NULL)
		gsl_rng_free(p->choices);
	free(p);
}

static int
parse_services(struct plan *p)
{
	struct service *s;
	const char *at, *colon;
	size_t len, name_len;

	for (at = p->options.services; *at != '\0'; at += len) {
		if (*at == ',')
			at++;
		len = strcspn(at, ",");
		name_len = strcspn(at, ":,");
		if (p->nservices == PLAN_SERVICES_MAX || name_len == 0 ||
		    name_len >= PLAN_NAME_SIZE)
			return -1;
		s = &p->services[p->nservices++];
		memcpy(s->name, at, name_len);
		colon = name_len < len ? at + name_len + 1 : "1";
		s->share = strtod(colon, NULL);
		if (!(s->share > 0))
			return -1;
		p->share_sum += s->share;
	}
	return p->nservices == 0 ? -1 : 0;
}

static bool
percent(struct plan *p, int percent_of)
{
	return gsl_rng_uniform(p->arrivals) * 100 < percent_of;
}

static const char *
choose_service(struct plan *p)
{
	double at;
	size_t i;

	at = gsl_rng_uniform(p->arrivals) * p->share_sum;
	for (i = 0; i + 1 < p->nservices; i++) {
		at -= p->services[i].share;
		if (at < 0)
			break;
	}
	return p->services[i].name;
}

static enum plan_kind
choose_kind(struct plan *p)
{
	double at;

	at = gsl_rng_uniform(p->arrivals) * 100;
	if (at < p->options.watch_percent)
		return PLAN_WATCH;
	if (at < p->options.watch_percent + p->options.non_idempotent_percent)
		return PLAN_NON_IDEMPOTENT;
	return PLAN_IDEMPOTENT;
}

void
plan_next(struct plan *p, struct plan_request *request)
{
	double gap_us;

	gap_us = US_PER_S / p->options.rate_per_s;
	if (p->options.poisson)
		gap_us = gsl_ran_exponential(p->arrivals, gap_us);
	p->at_us += gap_us;
	request->number = ++p->number;
	request->at_us = (int64_t)p->at_us;
	request->kind = choose_kind(p);
	request->service = choose_service(p);
	request->urgent = percent(p, p->options.urgent_percent);
	request->body_bytes = 1 +
	    (size_t)(gsl_rng_uniform(p->arrivals) * 2 *
		(double)p->options.body_bytes);
	request->direct = p->options.ndirect > 0 &&
	    (p->options.nentries == 0 || p->number % 2 == 0);
}

size_t
plan_target(struct plan *p, bool direct)
{
	size_t n;

	n = direct ? p->options.ndirect : p->options.nentries;
	if (n <= 1)
		return 0;
	switch (direct ? PLAN_ROUND_ROBIN : p->options.balance) {
	case PLAN_ROUND_ROBIN:
		return p->turn++ % n;
	case PLAN_SKEWED:
		if (gsl_rng_uniform(p->choices) < SKEW)
			return 0;
		return 1 + gsl_rng_uniform_int(p->choices, n - 1);
	default:
		return gsl_rng_uniform_int(p->choices, n);
	}
}

const char *
plan_kind_name(enum plan_kind kind)
{
	return kind_names[kind];
}

#include <string.h>

#include "policies.h"

static void at_least_declared(struct world *);
static void no_interference(struct world *);
static void no_slow_start(struct world *);
static const struct policy *find_in(
    const struct policy *, size_t, const char *);

/* The larger of what is declared and learnt, for processors as well. */
static void
at_least_declared(struct world *w)
{
	w->reclaim_cpu = false;
}

/* Tasks are bound for room alone. */
static void
no_interference(struct world *w)
{
	w->bind.tail_weight = 0;
	w->bind.throughput_weight = 0;
	w->bind.explore = 0;
}

static void
no_slow_start(struct world *w)
{
	w->bind.unmeasured_max = 0;
}

const struct policy policies[] = {
	{ "lagoonpin", "the modules of core", true, ours_endpoint, ours_worker,
	    ours_protect, ours_decide, ours_ahead, NULL },
	{ "round-robin", "the next endpoint and the next worker that fits",
	    false, round_robin_endpoint, round_robin_worker, threshold_protect,
	    threshold_used, NULL, NULL },
	{ "least-loaded", "fewest calls in flight; most room as declared",
	    false, least_loaded_endpoint, least_loaded_worker,
	    threshold_protect, threshold_used, NULL, NULL },
	{ "declared", "best fit by declared sizes; the freer of two endpoints",
	    false, declared_endpoint, declared_worker, threshold_protect,
	    threshold_used, NULL, NULL },
	{ "declared-x4", "least-loaded, for four times the declared sizes",
	    false, least_loaded_endpoint, cautious_worker, threshold_protect,
	    threshold_used, NULL, NULL },
	{ "least-loaded-unprotected", "least-loaded, and never evicts", false,
	    least_loaded_endpoint, least_loaded_worker, NULL, NULL, NULL,
	    NULL },
};
const size_t npolicies = sizeof(policies) / sizeof(policies[0]);

/* Ours without one part each, to see what the part is worth. */
const struct policy variants[] = {
	{ "no-reclaim", "never reserves less than declared", true,
	    ours_endpoint, ours_worker, ours_protect, ours_decide, ours_ahead,
	    at_least_declared },
	{ "no-slow-start", "all tasks of a new job at once", true,
	    ours_endpoint, ours_worker, ours_protect, ours_decide, ours_ahead,
	    no_slow_start },
	{ "no-interference", "binds for room alone", true, ours_endpoint,
	    ours_worker, ours_protect, ours_decide, ours_ahead,
	    no_interference },
	{ "no-protection", "neither throttles nor evicts for a service", true,
	    ours_endpoint, ours_worker, NULL, ours_decide, ours_ahead, NULL },
	{ "plain-endpoints", "calls to the least loaded endpoint", true,
	    least_loaded_endpoint, ours_worker, ours_protect, ours_decide,
	    ours_ahead, NULL },
	{ "plain-workers", "tasks to the worker with most room as declared",
	    true, ours_endpoint, least_loaded_worker, ours_protect, ours_decide,
	    ours_ahead, NULL },
};
const size_t nvariants = sizeof(variants) / sizeof(variants[0]);

static const struct policy *
find_in(const struct policy *p, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(p[i].name, name) == 0)
			return &p[i];
	}
	return NULL;
}

const struct policy *
policy_find(const char *name)
{
	const struct policy *p;

	if ((p = find_in(policies, npolicies, name)) == NULL)
		p = find_in(variants, nvariants, name);
	return p;
}

#include "batch.h"
#include "record.h"

static void scale(double *, int64_t, int64_t);

/* The decisions' own weights hold for the policy's defaults. */
static void
scale(double *weight, int64_t set, int64_t def)
{
	if (def > 0)
		*weight *= (double)set / (double)def;
}

void
weights_scale(const struct record_policy *policy, double *tail,
    double *throughput, double *eviction)
{
	struct record_policy def;

	record_policy_default(&def);
	scale(tail, policy->tail_weight, def.tail_weight);
	scale(throughput, policy->throughput_weight, def.throughput_weight);
	scale(eviction, policy->eviction_weight, def.eviction_weight);
}

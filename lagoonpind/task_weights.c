#include "batch.h"
#include "record.h"

static void scale_weight(double *, int64_t, int64_t);

/* Scales a weight by the policy's value relative to its default. */
static void
scale_weight(double *weight, int64_t set, int64_t def)
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
	scale_weight(tail, policy->tail_weight, def.tail_weight);
	scale_weight(
	    throughput, policy->throughput_weight, def.throughput_weight);
	scale_weight(eviction, policy->eviction_weight, def.eviction_weight);
}

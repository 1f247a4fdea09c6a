#include <math.h>
#include <stddef.h>

#include "blame.h"

/* Time constant of the decay of the rate. */
#define RATE_DECAY_MS 30000.0
/*
 * Prior of the rate, added to the observed crashes and time: a fleet without
 * crashes so far may still have some.
 */
#define PRIOR_CRASHES 0.5
#define PRIOR_WORKER_MS 100000.0
/* A task is suspect below this probability of its crashes by chance. */
#define SUSPECT_CHANCE 0.003

/*
 * Probability by chance below which blame is certain, by the number of crashes.
 * Fewer tasks see more crashes, so a higher threshold still keeps false
 * positives out.  A single crash is no evidence.
 */
static const double certain_chance[] = { 0, 0, 1e-7, 1e-7, 1e-6, 1e-5 };
/* The same where all crashes are taken for chance; the last for more. */
static const double certain_chance_of_all[] = { 0, 0, 0, 1e-6, 1e-5 };
#define CERTAIN_OF_ALL_MAX \
	(sizeof(certain_chance_of_all) / sizeof(certain_chance_of_all[0]) - 1)
#define CERTAIN_CRASHES_MAX \
	(sizeof(certain_chance) / sizeof(certain_chance[0]) - 1)

void
blame_update_rate(struct blame_rate *rate, uint32_t workers, int64_t now_ms)
{
	double kept, span_ms;

	if (rate->at_ms != 0) {
		span_ms = (double)(now_ms - rate->at_ms);
		kept = exp(-span_ms / RATE_DECAY_MS);
		rate->crashes *= kept;
		rate->worker_ms *= kept;
		rate->worker_ms += workers * span_ms;
	}
	rate->at_ms = now_ms;
}

void
blame_add_crash(struct blame_rate *rate)
{
	rate->crashes++;
}

void
blame_remove_crash(struct blame_rate *rate)
{
	rate->crashes = fmax(rate->crashes - 1, 0);
}

/* Upper bound of the probability of this many crashes or more (Poisson). */
static double
chance_bound(uint32_t crashes, double expected)
{
	double chance;
	uint32_t i;

	chance = 1;
	for (i = 1; i <= crashes; i++)
		chance *= expected / i;
	return chance;
}

bool
blame_is_certain_at_full_rate(
    const struct blame_rate *rate, uint32_t crashes, int64_t exposed_ms)
{
	double expected;
	size_t most;

	most = crashes < CERTAIN_OF_ALL_MAX ? crashes : CERTAIN_OF_ALL_MAX;
	expected = (rate->crashes + PRIOR_CRASHES) /
	    (rate->worker_ms + PRIOR_WORKER_MS) * (double)exposed_ms;
	return chance_bound(crashes, expected) < certain_chance_of_all[most];
}

enum blame
blame_assess(
    const struct blame_rate *rate, uint32_t crashes, int64_t exposed_ms)
{
	double chance, others;
	size_t most;

	if (crashes == 0)
		return BLAME_NONE;
	/* Its own crashes would raise the rate that excuses them. */
	others = fmax(rate->crashes - crashes, 0);
	/* A rate that has just risen is underestimated: add one deviation. */
	others += sqrt(others) + PRIOR_CRASHES;
	chance = chance_bound(crashes,
	    others / (rate->worker_ms + PRIOR_WORKER_MS) * (double)exposed_ms);
	most = crashes < CERTAIN_CRASHES_MAX ? crashes : CERTAIN_CRASHES_MAX;
	if (chance < certain_chance[most])
		return BLAME_CERTAIN;
	return chance < SUSPECT_CHANCE ? BLAME_SUSPECT : BLAME_NONE;
}

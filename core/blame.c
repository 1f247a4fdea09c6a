#include <math.h>
#include <stddef.h>

#include "blame.h"

/* The rate is that of about so long. */
#define SPAN_MS 30000.0
/*
 * Taken as seen before anything was: half a crash in so many milliseconds of
 * one worker.  A fleet that never crashed yet isn't one that never does.
 */
#define PRIOR_CRASHES 0.5
#define PRIOR_WORKER_MS 100000.0
/* Less probable by chance than this: hardly by chance. */
#define SUSPECT_CHANCE 0.003

/*
 * Surely not by chance, by the number of crashes.  The more there are the
 * fewer tasks get so far, and the less evidence is needed to be wrong about
 * none of them.  One crash alone proves nothing.
 */
static const double guilty_chance[] = { 0, 0, 1e-7, 1e-7, 1e-6, 1e-5 };
#define GUILTY_MOST (sizeof(guilty_chance) / sizeof(guilty_chance[0]) - 1)

void
blame_update_rate(struct blame_rate *rate, uint32_t workers, int64_t now_ms)
{
	double kept, span_ms;

	if (rate->at_ms != 0) {
		span_ms = (double)(now_ms - rate->at_ms);
		kept = exp(-span_ms / SPAN_MS);
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

/* Of so many crashes or more where this many are expected, from above. */
static double
chance_of(uint32_t crashes, double expected)
{
	double chance;
	uint32_t i;

	chance = 1;
	for (i = 1; i <= crashes; i++)
		chance *= expected / i;
	return chance;
}

enum blame
blame_assess(
    const struct blame_rate *rate, uint32_t crashes, int64_t exposed_ms)
{
	double chance, others;
	size_t most;

	if (crashes == 0)
		return BLAME_NONE;
	/* Its own would speak for it. */
	others = fmax(rate->crashes - crashes, 0);
	/* A rate that has just risen is higher than what was seen of it. */
	others += sqrt(others) + PRIOR_CRASHES;
	chance = chance_of(crashes,
	    others / (rate->worker_ms + PRIOR_WORKER_MS) * (double)exposed_ms);
	most = crashes < GUILTY_MOST ? crashes : GUILTY_MOST;
	if (chance < guilty_chance[most])
		return BLAME_CERTAIN;
	return chance < SUSPECT_CHANCE ? BLAME_SUSPECT : BLAME_NONE;
}

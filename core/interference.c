#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "graph.h"
#include "interference.h"

/*
 * The shortest tail as a share of the target, while none was seen, and as a
 * share of the short tails seen, since the load is never 0 when one is seen.
 */
#define SHORTEST_OF_TARGET 0.2
#define SHORTEST_OF_SEEN 0.8
#define SHORTEST_MAX_OF_TARGET 0.5
/*
 * Quantile of the tails that is taken as the short ones.  Listed tails are
 * noisy: the minimum would be far too short, and the effects computed from it
 * too small.
 */
#define SHORTEST_QUANTILE 0.03
/* Relative step of the quantile estimate with each tail. */
#define SHORTEST_STEP 0.01
/* Loads are capped here: a tail over 25 times the shortest is merely long. */
#define LOAD_MAX 0.96
/*
 * Prior and bounds of the load.  Recorded loads ranged from 0.2 to 0.7 within
 * 14 s and changed by at most 0.1 in a second.
 */
#define LOAD_PRIOR 0.45
#define LOAD_PRIOR_VARIANCE (0.15 * 0.15)
#define LOAD_DRIFT_VARIANCE_PER_S 0.0032
#define LOAD_VARIANCE_MAX (0.2 * 0.2)
#define LOAD_LOW 0.15
#define LOAD_HIGH 0.75
/* Relative standard deviation of listed tails. */
#define TAIL_ERROR 0.07
/* Minimum standard deviation of the load computed from a tail. */
#define LOAD_ERROR 0.015
/*
 * Prior of a pair's effect.  Three recorded runs showed effects of 0 to 0.8 for
 * compatible pairs and of 1.5 to 4 for others.
 */
#define EFFECT_PRIOR 1.0
#define EFFECT_PRIOR_VARIANCE 4.0
#define EFFECT_DRIFT_VARIANCE 0.0005 /* with each tail */
#define EFFECT_MAX 12.0
/* A correction leaves at least this share of a variance. */
#define SHRINK_MIN 0.05
/* Effects with a larger variance aren't passed to the next leader. */
#define EXPORT_VARIANCE_MAX 1.0
/* Variance that the next leader assumes for the effects it receives. */
#define IMPORT_VARIANCE 0.25

struct pair {
	bool known; /* else mean and variance are the prior's */
	double mean;
	double variance;
};

struct interference {
	char names[INTERFERENCE_IMAGES_MAX][GRAPH_NAME_MAX];
	/* Tail without load; 0: unknown. */
	double shortest_ms[INTERFERENCE_IMAGES_MAX];
	int n;
	struct pair pairs[INTERFERENCE_IMAGES_MAX][INTERFERENCE_IMAGES_MAX];
};

struct interference *
interference_new(void)
{
	return calloc(1, sizeof(struct interference));
}

void
interference_free(struct interference *p)
{
	free(p);
}

int
interference_image(struct interference *p, const char *name)
{
	int i;

	for (i = 0; i < p->n; i++) {
		if (strcmp(p->names[i], name) == 0)
			return i;
	}
	if (p->n == INTERFERENCE_IMAGES_MAX)
		return IMAGE_NONE;
	strlcpy(p->names[p->n], name, sizeof(p->names[0]));
	return p->n++;
}

/* Return the pair for an update, set to the prior if it isn't known. */
static struct pair *
get_pair(struct interference *p, int serving, int filler)
{
	struct pair *pair;

	pair = &p->pairs[serving][filler];
	if (!pair->known) {
		pair->known = true;
		pair->mean = EFFECT_PRIOR;
		pair->variance = EFFECT_PRIOR_VARIANCE;
	}
	return pair;
}

double
interference_effect(const struct interference *p, int serving, int filler)
{
	const struct pair *pair;

	if (serving == IMAGE_NONE || filler == IMAGE_NONE)
		return EFFECT_PRIOR;
	pair = &p->pairs[serving][filler];
	return pair->known ? pair->mean : EFFECT_PRIOR;
}

static double
clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

static double
shortest(const struct interference *p, int serving, double target_ms)
{
	if (serving == IMAGE_NONE || p->shortest_ms[serving] <= 0)
		return SHORTEST_OF_TARGET * target_ms;
	return clamp(
	    p->shortest_ms[serving], 0, SHORTEST_MAX_OF_TARGET * target_ms);
}

/* Stochastic estimate of the quantile SHORTEST_QUANTILE of the tails. */
static void
update_shortest(
    struct interference *p, int serving, double tail_ms, double target_ms)
{
	double *seen_ms, base_ms;

	seen_ms = &p->shortest_ms[serving];
	base_ms = SHORTEST_OF_SEEN * tail_ms;
	if (*seen_ms <= 0)
		*seen_ms = SHORTEST_OF_TARGET * target_ms;
	if (base_ms < *seen_ms)
		*seen_ms -= SHORTEST_STEP * (1 - SHORTEST_QUANTILE) * *seen_ms;
	else
		*seen_ms += SHORTEST_STEP * SHORTEST_QUANTILE * *seen_ms;
}

double
interference_load_limit(
    const struct interference *p, int serving, double target_ms)
{
	return 1 - shortest(p, serving, target_ms) / target_ms;
}

double
load_estimate_value(const struct load_estimate *load)
{
	return load->at_ms == 0 ? LOAD_PRIOR : load->load;
}

/* Grow the variance by what may have changed since the last tail. */
static void
drift(struct load_estimate *load, int64_t now_ms)
{
	double seconds;

	if (load->at_ms == 0) {
		load->load = LOAD_PRIOR;
		load->variance = LOAD_PRIOR_VARIANCE;
	} else {
		seconds = (double)(now_ms - load->at_ms) / 1000;
		load->variance += LOAD_DRIFT_VARIANCE_PER_S * seconds;
	}
	if (load->variance > LOAD_VARIANCE_MAX)
		load->variance = LOAD_VARIANCE_MAX;
	load->at_ms = now_ms;
}

/* Variance of a load computed from a tail, whose error is proportional. */
static double
tail_variance(double load)
{
	double deviation;

	deviation = TAIL_ERROR * (1 - load);
	return deviation * deviation + LOAD_ERROR * LOAD_ERROR;
}

/* The variance after a correction that explains this share of it. */
static double
shrink(double variance, double used)
{
	return variance * clamp(1 - used, SHRINK_MIN, 1);
}

static void
correct_effects(struct interference *p, int serving, double load,
    const struct filler_usage *usages, size_t n, double error, double sum)
{
	struct pair *pair;
	double slope, gain;
	size_t i;

	for (i = 0; i < n; i++) {
		if (usages[i].filler == IMAGE_NONE)
			continue;
		pair = get_pair(p, serving, usages[i].filler);
		slope = load * usages[i].share;
		gain = pair->variance * slope / sum;
		pair->mean = clamp(pair->mean + gain * error, 0, EFFECT_MAX);
		pair->variance = shrink(pair->variance, gain * slope) +
		    EFFECT_DRIFT_VARIANCE;
	}
}

void
interference_update(struct interference *p, int serving,
    struct load_estimate *load, const struct filler_usage *usages, size_t n,
    double tail_ms, double target_ms, int64_t now_ms)
{
	double base_ms, error, expected, factor, gain, slope, sum, before, seen;
	size_t i;

	if (serving == IMAGE_NONE || tail_ms <= 0)
		return;
	update_shortest(p, serving, tail_ms, target_ms);
	base_ms = shortest(p, serving, target_ms);
	seen = clamp(1 - base_ms / tail_ms, 0, LOAD_MAX);
	drift(load, now_ms);
	before = load->load;
	factor = 1;
	sum = tail_variance(seen);
	for (i = 0; i < n; i++) {
		slope = before * usages[i].share;
		factor += interference_effect(p, serving, usages[i].filler) *
		    usages[i].share;
		if (usages[i].filler != IMAGE_NONE)
			sum += slope * slope *
			    get_pair(p, serving, usages[i].filler)->variance;
	}
	sum += load->variance * factor * factor;
	expected = clamp(before * factor, 0, LOAD_MAX);
	error = seen - expected;
	gain = load->variance * factor / sum;
	load->load = clamp(before + gain * error, LOAD_LOW, LOAD_HIGH);
	load->variance = shrink(load->variance, gain * factor);
	correct_effects(p, serving, before, usages, n, error, sum);
}

void
interference_foreach(
    const struct interference *p, interference_pair_cb *cb, void *ctx)
{
	const struct pair *pair;
	int i, j;

	for (i = 0; i < p->n; i++) {
		for (j = 0; j < p->n; j++) {
			pair = &p->pairs[i][j];
			if (pair->known &&
			    pair->variance <= EXPORT_VARIANCE_MAX)
				cb(p->names[i], p->names[j], pair->mean, ctx);
		}
	}
}

void
interference_set_effect(struct interference *p, const char *serving,
    const char *filler, double effect)
{
	struct pair *pair;
	int i, j;

	i = interference_image(p, serving);
	j = interference_image(p, filler);
	if (i == IMAGE_NONE || j == IMAGE_NONE || !isfinite(effect))
		return;
	pair = get_pair(p, i, j);
	pair->mean = clamp(effect, 0, EFFECT_MAX);
	pair->variance = IMPORT_VARIANCE;
}

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "graph.h"
#include "interference.h"

/*
 * The shortest tail as a share of the target, before any was seen; and as a
 * share of the short ones seen, since the load is never 0.
 */
#define SHORTEST_OF_TARGET 0.2
#define SHORTEST_OF_SEEN 0.8
#define SHORTEST_MAX_OF_TARGET 0.5
/*
 * Listed tails are rough: so many of them are shorter than the short ones
 * truly are.  The least ever seen is far too short, and effects that are
 * reckoned from it come out too small.
 */
#define SHORTEST_SHARE 0.03
/* The estimate moves by this share of itself with each tail. */
#define SHORTEST_STEP 0.01
/* A tail of over 25 times the shortest says no more than that it is long. */
#define LOAD_MAX 0.96
/*
 * Of a load nothing is known of.  Loads of 0.2 to 0.7 were seen over 14 s, at
 * most 0.1 of change in a second.
 */
#define LOAD_FIRST 0.45
#define LOAD_FIRST_VARIANCE (0.15 * 0.15)
#define LOAD_DRIFT_VARIANCE_PER_S 0.0032
#define LOAD_VARIANCE_MAX (0.2 * 0.2)
#define LOAD_LOW 0.15
#define LOAD_HIGH 0.75
/* Listed tails are off by this share of them, one standard deviation, */
#define TAIL_ERROR 0.07
/* and what they say of the load by no less than this. */
#define LOAD_ERROR 0.015
/*
 * Of a pair nothing is known of.  Effects of 0 to 0.8 for pairs that bear each
 * other and of 1.5 to 4 for others were learnt on three recorded runs.
 */
#define EFFECT_FIRST 1.0
#define EFFECT_FIRST_VARIANCE 4.0
#define EFFECT_DRIFT_VARIANCE 0.0005 /* with each tail */
#define EFFECT_MAX 12.0
/* No correction makes a variance less than so much of what it was. */
#define SHRINK_MIN 0.05
/* Effects less sure than this aren't worth handing on, */
#define TELL_VARIANCE 1.0
/* and the next leader takes them for so sure. */
#define TOLD_VARIANCE 0.25

struct pair {
	bool known; /* else mean and variance are those of any pair */
	double mean;
	double variance;
};

struct interference {
	char names[INTERFERENCE_IMAGES_MAX][GRAPH_NAME_MAX];
	double shortest_ms[INTERFERENCE_IMAGES_MAX]; /* tail without load; 0:
							unknown */
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

/* The pair to be corrected. */
static struct pair *
pair_of(struct interference *p, int serving, int filler)
{
	struct pair *pair;

	pair = &p->pairs[serving][filler];
	if (!pair->known) {
		pair->known = true;
		pair->mean = EFFECT_FIRST;
		pair->variance = EFFECT_FIRST_VARIANCE;
	}
	return pair;
}

double
interference_effect(const struct interference *p, int serving, int filler)
{
	const struct pair *pair;

	if (serving == IMAGE_NONE || filler == IMAGE_NONE)
		return EFFECT_FIRST;
	pair = &p->pairs[serving][filler];
	return pair->known ? pair->mean : EFFECT_FIRST;
}

static double
within(double value, double low, double high)
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
	return within(
	    p->shortest_ms[serving], 0, SHORTEST_MAX_OF_TARGET * target_ms);
}

/* Follow the length that a small share of the tails is below. */
static void
see_shortest(
    struct interference *p, int serving, double tail_ms, double target_ms)
{
	double *seen_ms, base_ms;

	seen_ms = &p->shortest_ms[serving];
	base_ms = SHORTEST_OF_SEEN * tail_ms;
	if (*seen_ms <= 0)
		*seen_ms = SHORTEST_OF_TARGET * target_ms;
	if (base_ms < *seen_ms)
		*seen_ms -= SHORTEST_STEP * (1 - SHORTEST_SHARE) * *seen_ms;
	else
		*seen_ms += SHORTEST_STEP * SHORTEST_SHARE * *seen_ms;
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
	return load->at_ms == 0 ? LOAD_FIRST : load->load;
}

/* What may have changed since the last tail. */
static void
drift(struct load_estimate *load, int64_t now_ms)
{
	double seconds;

	if (load->at_ms == 0) {
		load->load = LOAD_FIRST;
		load->variance = LOAD_FIRST_VARIANCE;
	} else {
		seconds = (double)(now_ms - load->at_ms) / 1000;
		load->variance += LOAD_DRIFT_VARIANCE_PER_S * seconds;
	}
	if (load->variance > LOAD_VARIANCE_MAX)
		load->variance = LOAD_VARIANCE_MAX;
	load->at_ms = now_ms;
}

/* Of what a tail says of the load: tails are rough in proportion. */
static double
tail_variance(double load)
{
	double rough;

	rough = TAIL_ERROR * (1 - load);
	return rough * rough + LOAD_ERROR * LOAD_ERROR;
}

/* A variance after a correction that used this share of it. */
static double
shrink(double variance, double used)
{
	return variance * within(1 - used, SHRINK_MIN, 1);
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
		pair = pair_of(p, serving, usages[i].filler);
		slope = load * usages[i].share;
		gain = pair->variance * slope / sum;
		pair->mean = within(pair->mean + gain * error, 0, EFFECT_MAX);
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
	see_shortest(p, serving, tail_ms, target_ms);
	base_ms = shortest(p, serving, target_ms);
	seen = within(1 - base_ms / tail_ms, 0, LOAD_MAX);
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
			    pair_of(p, serving, usages[i].filler)->variance;
	}
	sum += load->variance * factor * factor;
	expected = within(before * factor, 0, LOAD_MAX);
	error = seen - expected;
	gain = load->variance * factor / sum;
	load->load = within(before + gain * error, LOAD_LOW, LOAD_HIGH);
	load->variance = shrink(load->variance, gain * factor);
	correct_effects(p, serving, before, usages, n, error, sum);
}

void
interference_foreach(
    const struct interference *p, interference_pair_cb *tell, void *ctx)
{
	const struct pair *pair;
	int i, j;

	for (i = 0; i < p->n; i++) {
		for (j = 0; j < p->n; j++) {
			pair = &p->pairs[i][j];
			if (pair->known && pair->variance <= TELL_VARIANCE)
				tell(p->names[i], p->names[j], pair->mean, ctx);
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
	pair = pair_of(p, i, j);
	pair->mean = within(effect, 0, EFFECT_MAX);
	pair->variance = TOLD_VARIANCE;
}

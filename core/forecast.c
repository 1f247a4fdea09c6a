#include <math.h>
#include <string.h>

#include "forecast.h"

/* Periods that are tried: from the shortest on, each longer by this factor. */
#define PERIOD_MIN_MS 4000.0
#define PERIOD_FACTOR 1.1
/* A period is tried on samples that span at least this share of it. */
#define SPAN_TO_SEARCH 0.9
/* A cycle of known period is fitted once the samples span this share of it. */
#define SPAN_TO_FIT 0.4
/* Samples of a step between two searches for the period. */
#define SEARCH_SAMPLES 8
/* Decay of the sums of misfits with each new one; about 330 of them count. */
#define MISFIT_KEPT 0.997
/* Misfits that are needed before a period is used. */
#define MISFITS_MIN 10.0
/* A fit that leaves more than this share of the variance is rejected. */
#define MISFIT_MAX 0.6
/*
 * Ratio of the variance of a sample's error to that of an amplitude: with few
 * samples the amplitude is drawn towards 0.
 */
#define RIDGE 0.07
/* Share of the newest sample's deviation from the cycle that is kept. */
#define DEVIATION_KEPT 0.5
/* Weights of a new sample in the level and in the slope of the trend. */
#define LEVEL_WEIGHT 0.5
#define SLOPE_WEIGHT 0.15
/* A trend is extrapolated no further than this. */
#define TREND_MAX_MS 1000.0
/* Weight of a new error. */
#define ERROR_WEIGHT 0.1
/* Errors needed before a method other than the last value is used. */
#define ERRORS_MIN 5
/* A method's mean square error must be below this share of the last value's. */
#define BETTER_SHARE 0.81
/* After a longer time without updates a step's samples are discarded. */
#define GAP_MAX_MS INT64_C(2000)
/* A smaller pivot makes a system of equations singular. */
#define SINGULAR 1e-9
/* Interval at which the highest load within a span is looked for. */
#define SCAN_MS 100

/* A cycle whose angle is 0 at the newest sample. */
struct fit {
	double mean, cosine, sine;
	double misfit; /* share of the samples' variance that is left */
};

/* The k-th newest sample. */
static double
sample_at(const struct forecast *f, uint32_t k)
{
	return f
	    ->samples[(f->next + FORECAST_SAMPLES - 1 - k) % FORECAST_SAMPLES];
}

static double
span_ms(const struct forecast *f)
{
	return f->n < 2 ? 0 : (double)((f->n - 1) * FORECAST_SAMPLE_MS);
}

/* Solves a symmetric system by elimination; false: it is singular. */
static bool
solve(double a[3][3], double b[3], double x[3])
{
	double factor;
	int i, j, k;

	for (i = 0; i < 3; i++) {
		if (fabs(a[i][i]) < SINGULAR)
			return false;
		for (j = i + 1; j < 3; j++) {
			factor = a[j][i] / a[i][i];
			for (k = i; k < 3; k++)
				a[j][k] -= factor * a[i][k];
			b[j] -= factor * b[i];
		}
	}
	for (i = 2; i >= 0; i--) {
		x[i] = b[i];
		for (k = i + 1; k < 3; k++)
			x[i] -= a[i][k] * x[k];
		x[i] /= a[i][i];
	}
	return true;
}

/* Sums of the normal equations of a least squares fit. */
struct normal {
	double a[3][3];
	double b[3];
	double squares; /* of the samples */
};

static void
sum_normal(const struct forecast *f, double period_ms, struct normal *sums)
{
	double base[3], turn_cosine, turn_sine, cosine, value;
	uint32_t k;
	int i, j;

	memset(sums, 0, sizeof(*sums));
	turn_cosine = cos(2 * M_PI * FORECAST_SAMPLE_MS / period_ms);
	turn_sine = -sin(2 * M_PI * FORECAST_SAMPLE_MS / period_ms);
	base[0] = 1;
	base[1] = 1;
	base[2] = 0;
	for (k = 0; k < f->n; k++) {
		value = sample_at(f, k);
		sums->squares += value * value;
		for (i = 0; i < 3; i++) {
			sums->b[i] += base[i] * value;
			for (j = 0; j < 3; j++)
				sums->a[i][j] += base[i] * base[j];
		}
		cosine = base[1] * turn_cosine - base[2] * turn_sine;
		base[2] = base[1] * turn_sine + base[2] * turn_cosine;
		base[1] = cosine;
	}
}

static bool
fit_cycle(const struct forecast *f, double period_ms, struct fit *fit)
{
	struct normal sums, work;
	double x[3], left, variance;
	int i, j;

	sum_normal(f, period_ms, &sums);
	work = sums;
	work.a[1][1] += RIDGE;
	work.a[2][2] += RIDGE;
	if (!solve(work.a, work.b, x))
		return false;
	left = sums.squares;
	for (i = 0; i < 3; i++) {
		left -= 2 * x[i] * sums.b[i];
		for (j = 0; j < 3; j++)
			left += x[i] * x[j] * sums.a[i][j];
	}
	variance = sums.squares - sums.b[0] * sums.b[0] / f->n;
	fit->mean = x[0];
	fit->cosine = x[1];
	fit->sine = x[2];
	fit->misfit = variance > 0 ? left / variance : 1;
	return true;
}

static double
tried_period_ms(int i)
{
	return PERIOD_MIN_MS * pow(PERIOD_FACTOR, i);
}

/* Adds the misfit of each period that the samples of one step can show. */
static void
search_period(const struct forecast *f, struct forecast_cycle *cycle)
{
	struct fit fit;
	double period_ms;
	int i;

	for (i = 0; i < FORECAST_PERIODS; i++) {
		period_ms = tried_period_ms(i);
		if (span_ms(f) < SPAN_TO_SEARCH * period_ms ||
		    !fit_cycle(f, period_ms, &fit))
			return;
		cycle->misfit[i] = cycle->misfit[i] * MISFIT_KEPT + fit.misfit;
		cycle->weight[i] = cycle->weight[i] * MISFIT_KEPT + 1;
	}
}

static bool
is_tried(const struct forecast_cycle *cycle, int i)
{
	return i >= 0 && i < FORECAST_PERIODS &&
	    cycle->weight[i] >= MISFITS_MIN;
}

static double
mean_misfit(const struct forecast_cycle *cycle, int i)
{
	return cycle->misfit[i] / cycle->weight[i];
}

/* The minimum of a parabola through the misfits of a period and neighbours. */
static double
interpolate_period_ms(const struct forecast_cycle *cycle, int i)
{
	double before, after, at, curve;

	if (!is_tried(cycle, i - 1) || !is_tried(cycle, i + 1))
		return tried_period_ms(i);
	before = mean_misfit(cycle, i - 1);
	after = mean_misfit(cycle, i + 1);
	at = mean_misfit(cycle, i);
	curve = before - 2 * at + after;
	if (curve <= 0)
		return tried_period_ms(i);
	return tried_period_ms(i) *
	    pow(PERIOD_FACTOR, (before - after) / (2 * curve));
}

double
forecast_period_ms(const struct forecast_cycle *cycle)
{
	double least;
	int i, best;

	best = -1;
	least = MISFIT_MAX;
	for (i = 0; i < FORECAST_PERIODS; i++) {
		if (is_tried(cycle, i) && mean_misfit(cycle, i) < least) {
			least = mean_misfit(cycle, i);
			best = i;
		}
	}
	/*
	 * The longest period tried so far also fits any slow change, so it is
	 * not used.  An inherited period is used until all periods were tried
	 * and none fits.
	 */
	if (best < 0)
		return is_tried(cycle, FORECAST_PERIODS - 1) ?
		    0 :
		    cycle->inherited_ms;
	if (!is_tried(cycle, best + 1))
		return cycle->inherited_ms;
	return interpolate_period_ms(cycle, best);
}

void
forecast_set_period(struct forecast_cycle *cycle, double period_ms)
{
	if (isfinite(period_ms) && period_ms >= PERIOD_MIN_MS &&
	    period_ms <= tried_period_ms(FORECAST_PERIODS - 1))
		cycle->inherited_ms = period_ms;
}

/* Load by one method, this long after the newest sample. */
static double
value_by(const struct forecast *f, enum forecast_method method, double ahead_ms)
{
	double angle;

	switch (method) {
	case FORECAST_TREND:
		return f->level + f->slope * fmin(ahead_ms, TREND_MAX_MS);
	case FORECAST_CYCLE:
		angle = 2 * M_PI * ahead_ms / f->period_ms;
		return f->mean + f->cosine * cos(angle) + f->sine * sin(angle) +
		    DEVIATION_KEPT * (sample_at(f, 0) - f->mean - f->cosine);
	default:
		return sample_at(f, 0);
	}
}

static bool
is_fitted(const struct forecast *f, enum forecast_method method)
{
	return method != FORECAST_CYCLE || f->period_ms > 0;
}

/* Updates each method's error by what it forecast two samples ago. */
static void
measure_errors(struct forecast *f, double load)
{
	double error;
	int i;

	if (f->n < 3)
		return;
	for (i = 0; i < FORECAST_METHODS; i++) {
		error = load - f->expected[i][0];
		error *= error;
		if (f->nerrors == 0)
			f->error[i] = (float)error;
		else
			f->error[i] +=
			    (float)ERROR_WEIGHT * ((float)error - f->error[i]);
	}
	f->nerrors++;
}

/*
 * Stores each method's forecast of the next sample but one; a cycle that isn't
 * fitted yet forecasts the last value.
 */
static void
note_expected(struct forecast *f)
{
	enum forecast_method method;
	int i;

	for (i = 0; i < FORECAST_METHODS; i++) {
		method = is_fitted(f, (enum forecast_method)i) ?
		    (enum forecast_method)i :
		    FORECAST_LAST;
		f->expected[i][0] = f->expected[i][1];
		f->expected[i][1] =
		    (float)value_by(f, method, 2.0 * FORECAST_SAMPLE_MS);
	}
}

static void
update_trend(struct forecast *f, double load)
{
	double before;

	if (f->n == 0) {
		f->level = load;
		f->slope = 0;
		return;
	}
	before = f->level;
	f->level += f->slope * FORECAST_SAMPLE_MS;
	f->level += LEVEL_WEIGHT * (load - f->level);
	f->slope += SLOPE_WEIGHT *
	    ((f->level - before) / FORECAST_SAMPLE_MS - f->slope);
}

static void
update_cycle(struct forecast *f, const struct forecast_cycle *cycle)
{
	struct fit fit;
	double period_ms;

	f->period_ms = 0;
	period_ms = forecast_period_ms(cycle);
	if (period_ms <= 0 || span_ms(f) < SPAN_TO_FIT * period_ms ||
	    !fit_cycle(f, period_ms, &fit))
		return;
	f->period_ms = period_ms;
	f->mean = fit.mean;
	f->cosine = fit.cosine;
	f->sine = fit.sine;
}

static void
add_sample(struct forecast *f, struct forecast_cycle *cycle, double load)
{
	measure_errors(f, load);
	update_trend(f, load);
	f->samples[f->next] = (float)load;
	f->next = (f->next + 1) % FORECAST_SAMPLES;
	if (f->n < FORECAST_SAMPLES)
		f->n++;
	f->sampled_ms += FORECAST_SAMPLE_MS;
	if (++f->unsearched >= SEARCH_SAMPLES) {
		f->unsearched = 0;
		search_period(f, cycle);
	}
	update_cycle(f, cycle);
	note_expected(f);
}

void
forecast_update(struct forecast *f, struct forecast_cycle *cycle, double load,
    int64_t now_ms)
{
	double at, before;
	int64_t span;

	if (f->n == 0 || now_ms - f->last_ms > GAP_MAX_MS) {
		memset(f, 0, sizeof(*f));
		f->sampled_ms = now_ms - FORECAST_SAMPLE_MS;
		f->last = load;
		f->last_ms = now_ms;
		add_sample(f, cycle, load);
		return;
	}
	before = f->last;
	span = now_ms - f->last_ms;
	/* Samples lie on a grid, between two updates. */
	while (f->sampled_ms + FORECAST_SAMPLE_MS <= now_ms) {
		at = span <= 0 ?
		    1 :
		    (double)(f->sampled_ms + FORECAST_SAMPLE_MS - f->last_ms) /
			(double)span;
		add_sample(f, cycle, before + (load - before) * fmax(at, 0));
	}
	f->last = load;
	f->last_ms = now_ms;
}

enum forecast_method
forecast_best(const struct forecast *f)
{
	enum forecast_method best;
	int i;

	best = FORECAST_LAST;
	if (f->nerrors < ERRORS_MIN)
		return best;
	for (i = 0; i < FORECAST_METHODS; i++) {
		if (is_fitted(f, (enum forecast_method)i) &&
		    f->error[i] < BETTER_SHARE * f->error[FORECAST_LAST] &&
		    f->error[i] < f->error[best])
			best = (enum forecast_method)i;
	}
	return best;
}

double
forecast_error(const struct forecast *f, enum forecast_method method)
{
	return f->nerrors < ERRORS_MIN ? 0 : sqrt((double)f->error[method]);
}

static double
clamp_load(double load)
{
	return fmin(fmax(load, 0), 1);
}

double
forecast_at(const struct forecast *f, int64_t at_ms)
{
	enum forecast_method method;

	method = forecast_best(f);
	/* The latest load is newer than the newest sample. */
	if (method == FORECAST_LAST || at_ms - f->last_ms > GAP_MAX_MS * 2)
		return clamp_load(f->last);
	return clamp_load(value_by(f, method, (double)(at_ms - f->sampled_ms)));
}

double
forecast_highest(const struct forecast *f, int64_t from_ms, int64_t until_ms)
{
	double highest;
	int64_t at_ms;

	highest = forecast_at(f, until_ms);
	for (at_ms = from_ms; at_ms < until_ms; at_ms += SCAN_MS)
		highest = fmax(highest, forecast_at(f, at_ms));
	return highest;
}

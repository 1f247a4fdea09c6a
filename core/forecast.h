#ifndef FORECAST_H
#define FORECAST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Short-term forecast of the load of a step's serving tasks.
 *
 * Orders to fillers take effect a few hundred milliseconds after the tail
 * latencies that caused them, and a filler that was placed stays for seconds,
 * while the loads of serving tasks rise and fall within seconds.  Three methods
 * compete: the last value, its trend, and a cycle (mean, sine and cosine)
 * fitted to the last samples.  Each one's error is measured, and a method is
 * used only where it was clearly better than the last value.
 *
 * The cycles of all steps share one period (struct forecast_cycle); their
 * phases and amplitudes differ.
 */

#define FORECAST_SAMPLES 64
#define FORECAST_SAMPLE_MS INT64_C(300)
#define FORECAST_PERIODS 18 /* tried; the samples span 0.9 of the longest */

enum forecast_method {
	FORECAST_LAST,
	FORECAST_TREND,
	FORECAST_CYCLE,
	FORECAST_METHODS
};

/* The period that the cycles of all steps share; zeroed: nothing is known. */
struct forecast_cycle {
	double misfit[FORECAST_PERIODS]; /* decayed sums over the steps */
	double weight[FORECAST_PERIODS]; /* of these sums */
	double inherited_ms; /* found by the former leader; 0: none */
};

/* The forecast of one step; zeroed: nothing is known. */
struct forecast {
	float samples[FORECAST_SAMPLES]; /* a ring, FORECAST_SAMPLE_MS apart */
	uint32_t n; /* samples held */
	uint32_t next; /* where the next one goes */
	int64_t sampled_ms; /* time of the newest */
	double last; /* the latest load */
	int64_t last_ms;
	double level; /* of the trend, at sampled_ms */
	double slope; /* per ms */
	double mean, cosine, sine; /* of the cycle, from sampled_ms on */
	double period_ms; /* of the cycle; 0: it isn't fitted */
	float expected[FORECAST_METHODS][2]; /* forecasts of the next samples */
	float error[FORECAST_METHODS]; /* decayed mean square */
	uint32_t nerrors;
	uint32_t unsearched; /* samples since the last search for the period */
};

/* Takes the estimated load, between 0 and 1, at this time. */
void forecast_update(
    struct forecast *, struct forecast_cycle *, double load, int64_t now_ms);
/* The load expected at that time, not before the last update. */
double forecast_at(const struct forecast *, int64_t at_ms);
/* The highest load expected between two times. */
double forecast_highest(
    const struct forecast *, int64_t from_ms, int64_t until_ms);
enum forecast_method forecast_best(const struct forecast *);
/* Root mean square error of the method, two samples ahead; 0: not known. */
double forecast_error(const struct forecast *, enum forecast_method);

/* The period with the smallest mean misfit; 0: none was found. */
double forecast_period_ms(const struct forecast_cycle *);
/* A former leader has found this period. */
void forecast_set_period(struct forecast_cycle *, double period_ms);

#endif /* FORECAST_H */

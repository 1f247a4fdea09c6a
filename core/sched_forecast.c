#include <math.h>
#include <stdlib.h>

#include "sched_int.h"

/*
 * Forecasts of the loads of serving steps.  A step's tasks serve the same
 * users, so one forecast serves all of them.
 */

/*
 * An order to a filler takes effect this long after the list of runs that
 * caused it: the delivery to the worker, and the interval of frequent polls.
 */
#define SOON_MS 200
/* A pace isn't raised if it would have to be lowered within this time. */
#define RAISE_MS 500
/* Fillers run for some seconds; forecasts further ahead err too much. */
#define PLACE_MS 2000
/* After this time without tail latencies the last load is used. */
#define SILENT_MS 2000
/* Forecasts are cached for this time: many runs of a step need them at once. */
#define CACHE_MS 100

static const int64_t horizon_ms[LOAD_HORIZONS] = { SOON_MS, RAISE_MS,
	PLACE_MS };

void
forecast_step_update(struct sched *s, struct sched_step *step, int64_t now_ms)
{
	if (step->forecast == NULL)
		step->forecast = calloc(1, sizeof(*step->forecast));
	/* Without memory the last value is used. */
	if (step->forecast == NULL)
		return;
	forecast_update(&step->forecast->forecast, &s->cycle,
	    load_estimate_value(&step->load), now_ms);
}

static void
compute(struct step_forecast *forecast, int64_t now_ms)
{
	int i;

	forecast->cached_ms = now_ms;
	if (now_ms - forecast->forecast.last_ms > SILENT_MS) {
		for (i = 0; i < LOAD_HORIZONS; i++)
			forecast->highest[i] = forecast->forecast.last;
		return;
	}
	forecast->highest[LOAD_SOON] =
	    forecast_at(&forecast->forecast, now_ms + horizon_ms[LOAD_SOON]);
	for (i = LOAD_SOON + 1; i < LOAD_HORIZONS; i++)
		forecast->highest[i] = forecast_highest(
		    &forecast->forecast, now_ms, now_ms + horizon_ms[i]);
}

double
forecast_step_load(
    struct sched_step *step, enum load_horizon horizon, int64_t now_ms)
{
	struct step_forecast *forecast;

	if ((forecast = step->forecast) == NULL)
		return load_estimate_value(&step->load);
	if (forecast->cached_ms == 0 ||
	    now_ms - forecast->cached_ms >= CACHE_MS)
		compute(forecast, now_ms);
	return forecast->highest[horizon];
}

void
forecast_step_free(struct sched_step *step)
{
	free(step->forecast);
	step->forecast = NULL;
}

void
forecast_measure(struct sched *s, struct sched_load *load)
{
	struct sched_worker *worker;
	const struct forecast *forecast;
	const struct sched_run *run;
	double used, last, error;
	uint32_t n;

	used = last = 0;
	n = 0;
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		TAILQ_FOREACH (run, &worker->runs, by_worker) {
			if (run->task->step->forecast == NULL)
				continue;
			forecast = &run->task->step->forecast->forecast;
			error = forecast_error(forecast, FORECAST_LAST);
			last += error * error;
			error =
			    forecast_error(forecast, forecast_best(forecast));
			used += error * error;
			n++;
		}
	}
	load->forecast_error = n > 0 ? sqrt(used / n) : 0;
	load->last_error = n > 0 ? sqrt(last / n) : 0;
}

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "pulse.h"

/* Decayed sums over some 30 s, so far more than any fleet reaches. */
#define CRASHES_MAX 1e6
#define WORKER_MS_MAX 1e12

void
pulse_text(const struct blame_rate *rate, char *text, size_t size)
{
	snprintf(text, size, "{\"crashes\":%.3f,\"worker_ms\":%.0f}",
	    rate->crashes, rate->worker_ms);
}

static bool
read_sum(const json_t *value, double max, double *sum)
{
	if (!json_is_number(value))
		return false;
	*sum = json_number_value(value);
	return isfinite(*sum) && *sum >= 0 && *sum <= max;
}

enum pulse_error
pulse_read(const char *text, size_t len, struct blame_rate *rate)
{
	enum pulse_error error;
	json_t *value;

	memset(rate, 0, sizeof(*rate));
	value = json_loadb(text, len, JSON_DECODE_ANY, NULL);
	if (json_is_integer(value))
		error = PULSE_NO_RATE;
	else if (read_sum(json_object_get(value, "crashes"), CRASHES_MAX,
		     &rate->crashes) &&
	    read_sum(json_object_get(value, "worker_ms"), WORKER_MS_MAX,
		&rate->worker_ms))
		error = PULSE_OK;
	else
		error = PULSE_ERR_INVALID;
	json_decref(value);
	return error;
}

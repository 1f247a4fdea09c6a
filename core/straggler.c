#include <stddef.h>

#include "straggler.h"

/* Younger runs may not have been listed yet. */
#define AGE_MIN_MS 300
/* Answers take some tens of milliseconds, so a link's delay is shorter. */
#define SILENT_MS 300
/*
 * A run is stalled after this time and this share of its declared length
 * without a gain: on a worker that is five times slower it gains a percent in a
 * twentieth of the length.
 */
#define STALLED_MS 700
#define STALLED_SHARE 0.05
/* Time until a copy runs. */
#define START_MS 100
/* The run must still take this many times as long as a copy would. */
#define GAIN_FACTOR 1.5
/* Smaller gains say little about the speed of a run. */
#define GAIN_MIN_PERCENT 5
/* A run without such a gain is slow after this many times the mean length. */
#define SLOW_LENGTHS 3
/* Limit on copies, as a share of the runs, but at least so many. */
#define COPIES_SHARE 0.03
#define COPIES_MIN 2

int64_t
straggler_remaining_ms(const struct straggler_run *run)
{
	if (run->percent_gained >= GAIN_MIN_PERCENT)
		return run->gained_ms * (100 - run->percent) /
		    run->percent_gained;
	if (run->mean_length_ms > 0 &&
	    run->age_ms >= SLOW_LENGTHS * run->mean_length_ms)
		return run->age_ms;
	return -1;
}

static int64_t
stalled_ms(const struct straggler_run *run)
{
	return STALLED_MS + (int64_t)(STALLED_SHARE * (double)run->estimate_ms);
}

static bool
is_slow(const struct straggler_run *run)
{
	int64_t remaining_ms;

	remaining_ms = straggler_remaining_ms(run);
	return run->mean_length_ms > 0 && remaining_ms >= 0 &&
	    (double)remaining_ms >
	    GAIN_FACTOR * (double)(run->mean_length_ms + START_MS);
}

enum straggler_reason
straggler_judge(const struct straggler_run *run)
{
	if (run->age_ms < AGE_MIN_MS)
		return STRAGGLER_NONE;
	if (run->overdue_ms >= SILENT_MS)
		return STRAGGLER_SILENT;
	if (run->idle_ms >= stalled_ms(run))
		return STRAGGLER_STALLED;
	return is_slow(run) ? STRAGGLER_SLOW : STRAGGLER_NONE;
}

const char *
straggler_reason_name(enum straggler_reason reason)
{
	static const char *const names[STRAGGLER_REASONS] = { "none", "silent",
		"stalled", "slow" };

	return names[reason];
}

uint32_t
straggler_copies_max(uint32_t runs)
{
	uint32_t most;

	most = (uint32_t)(COPIES_SHARE * runs);
	return most > COPIES_MIN ? most : COPIES_MIN;
}

#include "leave.h"

/* A run that ends less than this before the departure may be lost. */
#define SPARE_MS 300
/*
 * Time for a stop and for the list of runs that tells its end and checkpoint,
 * including one repetition of either.
 */
#define STOP_MS 1200
/* Smaller gains say little about the speed of a run. */
#define GAIN_MIN_PERCENT 5
/* A run without checkpoints stays from this progress on: a stop loses it. */
#define GIVE_UP_PERCENT 25

int64_t
leave_remaining_ms(const struct leave_run *run)
{
	int64_t whole_ms;

	if (run->pace <= 0)
		return INT64_MAX;
	if (run->percent_gained >= GAIN_MIN_PERCENT)
		whole_ms = run->gained_ms * 100 / run->percent_gained;
	else
		whole_ms = run->estimate_ms * 100 / run->pace;
	return whole_ms * (100 - run->percent) / 100;
}

enum leave_decision
leave_decide(const struct leave_run *run, int64_t left_ms)
{
	int64_t remaining_ms;

	remaining_ms = leave_remaining_ms(run);
	if (remaining_ms <= left_ms - SPARE_MS)
		return LEAVE_NOT;
	if (!run->checkpoints)
		return run->percent < GIVE_UP_PERCENT ? LEAVE_NOW : LEAVE_NOT;
	return left_ms <= STOP_MS ? LEAVE_NOW : LEAVE_LATER;
}

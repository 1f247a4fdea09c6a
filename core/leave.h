#ifndef LEAVE_H
#define LEAVE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides when a short task is moved off a draining worker.  Runs that are left
 * when the worker leaves are lost.  A run that is stopped before resumes
 * elsewhere, from the checkpoint that the stop produces if its step has them.
 */

/* A run of a short task on a draining worker. */
struct leave_run {
	bool checkpoints; /* a stop produces a checkpoint */
	int percent; /* progress */
	int percent_gained; /* progress made during gained_ms */
	int64_t gained_ms;
	int64_t estimate_ms; /* of the whole task */
	int pace; /* speed limit in percent */
};

enum leave_decision {
	LEAVE_NOT, /* it ends in time, or would lose more by a move */
	LEAVE_LATER, /* a stop later loses less */
	LEAVE_NOW
};

/* Time that the run still takes at its present pace; INT64_MAX: for ever. */
int64_t leave_remaining_ms(const struct leave_run *);
/* left_ms: until the worker leaves. */
enum leave_decision leave_decide(const struct leave_run *, int64_t left_ms);

#endif /* LEAVE_H */

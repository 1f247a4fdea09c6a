#ifndef STRAGGLER_H
#define STRAGGLER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides which runs get a copy on another worker, where their step allows it.
 * The first run to end as done counts.  A job waits for the last of its tasks,
 * so one run on a slow or silent worker delays it by many times its length.
 */

enum straggler_reason {
	STRAGGLER_NONE,
	STRAGGLER_SILENT, /* its worker doesn't answer */
	STRAGGLER_STALLED, /* it makes no progress */
	STRAGGLER_SLOW, /* a copy would end much earlier */
	STRAGGLER_REASONS
};

/* A run; times in milliseconds. */
struct straggler_run {
	int64_t age_ms; /* since its start was sent */
	int64_t overdue_ms; /* its worker's answer is overdue by this; or 0 */
	int64_t idle_ms; /* it was listed without progress for so long */
	int percent; /* progress */
	int percent_gained; /* progress made during gained_ms */
	int64_t gained_ms;
	int64_t
	    mean_length_ms; /* mean length of ended runs of its step; 0: none */
	int64_t estimate_ms; /* declared length */
};

/* Why the run should get a copy. */
enum straggler_reason straggler_judge(const struct straggler_run *);
/* Estimate of the time that the run still takes; -1: not known. */
int64_t straggler_remaining_ms(const struct straggler_run *);
const char *straggler_reason_name(enum straggler_reason);

/* Limit on the copies at a time, given the number of runs of short tasks. */
uint32_t straggler_copies_max(uint32_t runs);

#endif /* STRAGGLER_H */

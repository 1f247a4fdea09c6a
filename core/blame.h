#ifndef BLAME_H
#define BLAME_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether a task causes the crashes of the workers that run it.
 *
 * Workers also crash for other reasons, and all of their tasks are lost with
 * them.  The crash rate of the fleet gives the number of crashes that a task is
 * expected to see by chance in its total run time.  If it saw many more, the
 * task is the likely cause.  A task that runs for hours is thus not blamed for
 * the crashes of a bad day, and one that crashes each worker soon after its
 * start is detected after a few crashes.
 */

/* Recent crash rate of workers. */
struct blame_rate {
	double crashes;
	double worker_ms; /* observed time, workers times milliseconds */
	int64_t at_ms; /* both are decayed to this time; 0: no data yet */
};

enum blame {
	BLAME_NONE, /* consistent with chance */
	BLAME_SUSPECT, /* improbable by chance */
	BLAME_CERTAIN /* practically impossible by chance */
};

/* Decay the rate and add the time since the last call for these workers. */
void blame_update_rate(struct blame_rate *, uint32_t workers, int64_t now_ms);
void blame_add_crash(struct blame_rate *);
/* A worker that was counted as crashed has answered again. */
void blame_remove_crash(struct blame_rate *);
/* Assess a task by the crashes it saw within its total run time. */
enum blame blame_assess(
    const struct blame_rate *, uint32_t crashes, int64_t exposed_ms);
/*
 * Whether the task is to blame even if none of its own crashes is left out of
 * the rate: where few workers are up, they may be most of it.
 */
bool blame_is_certain_at_full_rate(
    const struct blame_rate *, uint32_t crashes, int64_t exposed_ms);

#endif /* BLAME_H */

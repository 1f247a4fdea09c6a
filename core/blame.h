#ifndef BLAME_H
#define BLAME_H

#include <stdint.h>

/*
 * Whether a task is to blame for the crashes of the workers under it.
 *
 * Workers crash now and then whatever runs there, and take all of it along.  A
 * task that ran on them for some time in all sees a number of crashes by
 * chance that follows from their rate in the fleet.  Seen with less time, the
 * crashes are the task's doing.  So a task that lasts for hours isn't blamed
 * for the crashes of a bad day, and one that takes each worker down soon after
 * its start is found after a few.
 */

/* How often workers crash, of late. */
struct blame_rate {
	double crashes;
	double worker_ms; /* workers times milliseconds watched */
	int64_t at_ms; /* both are faded to this time; 0: not watched yet */
};

enum blame {
	BLAME_NONE, /* by chance, as far as one can tell */
	BLAME_SUSPECT, /* hardly by chance */
	BLAME_CERTAIN /* surely not by chance */
};

/* So many workers are up, since the last call. */
void blame_update_rate(struct blame_rate *, uint32_t workers, int64_t now_ms);
void blame_add_crash(struct blame_rate *);
/* One that was taken for crashed is up after all. */
void blame_remove_crash(struct blame_rate *);
/* Of a task that saw so many crashes, having run for so long in all. */
enum blame blame_assess(
    const struct blame_rate *, uint32_t crashes, int64_t exposed_ms);

#endif /* BLAME_H */

#include "sched_int.h"

/*
 * Whether the room that a worker's entry tells is still the worker's.  Workers
 * shrink, and a store that loses writes may keep an old entry for seconds while
 * it answers every read: tasks were started on workers that had lost the room
 * for them, which slowed down all that ran there.  So an entry that tells when
 * its worker wrote it, on the worker's clock, is used up to a certain age.
 * Other entries are as old as the list of workers.
 */

int64_t
sched_entry_age_ms(const struct sched_worker *worker, int64_t now_ms)
{
	int64_t before_ms, age_ms, read_ms;

	if (worker->entry_clock_ms == 0 || worker->inc.heard_ms == 0)
		return -1;
	/* From the entry to the last answer, on our clock. */
	before_ms = worker->inc.clock_ms - worker->entry_clock_ms;
	if (before_ms > 0)
		before_ms = (int64_t)((double)before_ms * CLOCK_SLOW_FACTOR);
	age_ms = before_ms + now_ms - worker->inc.heard_ms;
	read_ms = now_ms - worker->entry_read_ms;
	return age_ms > read_ms ? age_ms : read_ms;
}

bool
worker_room_known(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	int64_t age_ms;

	if (worker->guards_room)
		return true;
	age_ms = sched_entry_age_ms(worker, now_ms);
	if (age_ms < 0)
		return !s->rooms_unknown;
	return age_ms <= s->opt.entry_max_ms;
}

void
sched_worker_entry_written(
    struct sched_worker *worker, int64_t clock_ms, int64_t now_ms)
{
	if (clock_ms == worker->entry_clock_ms)
		return;
	worker->entry_clock_ms = clock_ms;
	worker->entry_read_ms = now_ms;
}

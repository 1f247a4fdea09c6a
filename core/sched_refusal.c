#include <string.h>

#include "sched_int.h"

/*
 * Starts refused for want of room.  A worker that has shrunk looks empty until
 * the list of workers tells its capacity: tasks would be sent to it again and
 * again, hundreds of times a second, while others have room.  So a refusal
 * limits the room to what is reserved there.  The limit ends when the list
 * tells another capacity.  As the room may grow without that, one task is also
 * tried after a pause, which doubles with each trial that is refused.
 */
#define PAUSE_FIRST_MS INT64_C(500)
#define PAUSE_MAX_MS INT64_C(8000)

static void
begin_pause(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_refusals *refusals;

	refusals = &worker->inc.refusals;
	refusals->pause_ms *= 2;
	if (refusals->pause_ms < PAUSE_FIRST_MS)
		refusals->pause_ms = PAUSE_FIRST_MS;
	if (refusals->pause_ms > PAUSE_MAX_MS)
		refusals->pause_ms = PAUSE_MAX_MS;
	refusals->trial_ms = now_ms + refusals->pause_ms;
	refusals->trial_due = false;
	sched_due(s, refusals->trial_ms);
}

void
refusal_no_room(
    struct sched *s, struct sched_worker *worker, bool trial, int64_t now_ms)
{
	struct sched_refusals *refusals;
	bool first;

	refusals = &worker->inc.refusals;
	first = refusals->count++ == 0;
	room_limit(&worker->room);
	/* Starts sent before the first refusal don't prolong the pause. */
	if (first || trial)
		begin_pause(s, worker, now_ms);
	if (!first)
		return;
	refusals->since_ms = now_ms;
	s->opt.actions->no_room(s, worker, false, s->opt.ctx);
}

void
refusal_over(struct sched *s, struct sched_worker *worker)
{
	if (worker->inc.refusals.count == 0)
		return;
	s->opt.actions->no_room(s, worker, true, s->opt.ctx);
	memset(&worker->inc.refusals, 0, sizeof(worker->inc.refusals));
	room_lift_limit(&worker->room);
	s->place_wanted = true;
}

void
refusal_update(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_refusals *refusals;

	refusals = &worker->inc.refusals;
	if (refusals->count == 0 || refusals->trial_due)
		return;
	if (now_ms < refusals->trial_ms) {
		sched_due(s, refusals->trial_ms);
		return;
	}
	refusals->trial_due = true;
	room_lift_limit(&worker->room);
	s->place_wanted = true;
}

void
refusal_task_placed(struct sched_run *run, int64_t now_ms)
{
	struct sched_refusals *refusals;
	struct sched_worker *worker;

	worker = run->worker;
	refusals = &worker->inc.refusals;
	if (!refusals->trial_due)
		return;
	run->trial = true;
	refusals->trial_due = false;
	refusals->trial_ms = now_ms + refusals->pause_ms;
	room_limit(&worker->room);
}

void
refusal_start_taken(struct sched *s, const struct sched_run *run)
{
	if (run->trial && run->incarnation == run->worker->inc.serial)
		refusal_over(s, run->worker);
}

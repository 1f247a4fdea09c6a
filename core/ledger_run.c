#include <string.h>

#include "ledger_int.h"

/* Sends what is due: writes, binds, starts, stops, fences and renewals. */

#define BIND_MISSES_MAX 64 /* failed binds per step */
#define UNPLACED_JOBS_MAX 8 /* remembered per step */
#define REBINDS_MAX 64 /* per step */
#define REBIND_MISSES_MAX 8 /* failed rebinds per step */
#define URGENT_FIRST_MS 10000 /* how long room is kept for an urgent task */

/* Ring of ordinary tasks, one per job, that found no worker in this step. */
struct unplaced_jobs {
	const struct ledger_task *tasks[UNPLACED_JOBS_MAX];
	size_t next;
};

static bool is_ordinary(const struct ledger_task *);
static const char *unplaced_reason(
    const struct unplaced_jobs *, const struct ledger_task *);
static void add_unplaced(struct unplaced_jobs *, const struct ledger_task *);
static void step_store(struct ledger *, int64_t);
static void step_worker(struct ledger *, struct ledger_worker *, int64_t);
static void step_draining(struct ledger *, struct ledger_worker *);
static void step_leases(struct ledger *, struct ledger_worker *, int64_t);
static void step_fence(struct ledger *, struct ledger_worker *, int64_t);
static void step_starts(struct ledger *, struct ledger_worker *, int64_t);
static void step_stops(struct ledger *, struct ledger_worker *, int64_t);
static void step_renew(struct ledger *, struct ledger_worker *, int64_t);
static void step_binds(struct ledger *, int64_t);
static void step_rebinds(struct ledger *, int64_t);
static bool has_room(const struct ledger *);
static struct ledger_worker *longest_queue(struct ledger *);
static bool try_rebind(struct ledger *, struct ledger_task *, int64_t);
static bool attempt_is_over(const struct ledger *, const struct ledger_worker *,
    const struct ledger_task *, int64_t);
static bool keeps_room_for_urgent(const struct ledger *, int64_t);
static bool start_due(
    const struct ledger *, const struct ledger_task *, int64_t);
static void send_start(struct ledger *, struct ledger_task *, int64_t);

void
ledger_step(struct ledger *l, int64_t now_ms)
{
	struct ledger_worker *w;

	if (l->phase == LEDGER_LOST || l->phase == LEDGER_RELEASED)
		return;
	if (ledger_may_send(l, now_ms)) {
		TAILQ_FOREACH (w, &l->workers, link)
			step_worker(l, w, now_ms);
		step_binds(l, now_ms);
	}
	step_store(l, now_ms);
}

static void
step_store(struct ledger *l, int64_t now_ms)
{
	bool confirm;

	if (l->reading)
		return;
	if (l->write == WRITE_IDLE && !l->higher_epoch_seen &&
	    l->change > l->committed && now_ms >= l->write_at_ms) {
		l->write = WRITE_WANTED;
		l->opt.actions->write(l, l->opt.ctx);
		return;
	}
	confirm = l->write == WRITE_IDLE &&
	    (l->higher_epoch_seen ||
		now_ms >= l->confirmed_ms + l->opt.confirm_ms);
	if ((confirm || l->write == WRITE_UNKNOWN) && now_ms >= l->read_at_ms) {
		l->reading = true;
		l->opt.actions->read_back(l, l->opt.ctx);
	}
}

static void
step_worker(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	step_leases(l, w, now_ms);
	if (w->gone)
		return;
	step_fence(l, w, now_ms);
	if (!w->fenced || w->lost)
		return;
	if (w->draining)
		step_draining(l, w);
	step_stops(l, w, now_ms);
	step_starts(l, w, now_ms);
	step_renew(l, w, now_ms);
}

static void
step_draining(struct ledger *l, struct ledger_worker *w)
{
	struct ledger_task *t;

	TAILQ_FOREACH (t, &w->tasks, link) {
		if (t->want == WANT_RUN)
			(void)ledger_evict(l, t, WANT_CHECKPOINT, "vm_leaving");
	}
}

/*
 * Whether the attempt has certainly ended although its worker didn't report
 * it.  Releasing its room and binding the task again any earlier could run it
 * twice.
 */
static bool
attempt_is_over(const struct ledger *l, const struct ledger_worker *w,
    const struct ledger_task *t, int64_t now_ms)
{
	int64_t lease_ms, last_ms;

	if (w->gone &&
	    now_ms >= w->gone_ms + l->opt.lease_ms + l->opt.margin_ms)
		return true;
	/*
	 * A worker that was paused may find up to lost_after renewals in its
	 * socket buffers when it resumes.  None revives an expired lease, but
	 * each one that is in time extends the lease by another lease_ms.
	 */
	lease_ms = l->opt.lease_ms * (1 + (int64_t)l->opt.lost_after) +
	    l->opt.margin_ms;
	if (!w->fenced) {
		/* A former owner may renew leases for another hold_ms. */
		last_ms = l->taken_ms + l->opt.call_timeout_ms;
		if (!l->settled)
			last_ms += l->opt.hold_ms;
		return now_ms >= last_ms + lease_ms;
	}
	if (!w->lost)
		return false;
	last_ms = w->lease_sent_ms + l->opt.call_timeout_ms;
	if (w->heard_ms > last_ms)
		last_ms = w->heard_ms;
	/*
	 * An unanswered start may sit in the socket buffers of a paused worker
	 * and run when the worker resumes, unlike a renewal, which can't revive
	 * an expired lease.  Only a longer wait or an answer from the worker
	 * rules that out.
	 */
	if (t->run == RUN_MAYBE)
		last_ms += l->opt.hold_ms;
	return now_ms >= last_ms + lease_ms;
}

static void
step_leases(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	struct ledger_task *t, *next;

	if (w->fenced && !w->lost && !w->gone)
		return;
	TAILQ_FOREACH_SAFE(t, &w->tasks, link, next)
	{
		if (t->run == RUN_NO && t->call == CALL_NONE) {
			/* Keep it startable while the store is unavailable. */
			if (!l->store_unavailable && w->fenced)
				ledger_unbind(l, t, "worker_lost");
			continue;
		}
		if (!attempt_is_over(l, w, t, now_ms))
			continue;
		if (l->opt.actions->outcome != NULL)
			l->opt.actions->outcome(
			    l, t, w, OUTCOME_INTERRUPTED, l->opt.ctx);
		ledger_unbind(l, t, "lease_over");
	}
}

static void
step_fence(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	struct ledger_task *t;

	if (w->fence_call || now_ms < w->fence_at_ms)
		return;
	if (w->fenced && !w->fence_wanted && !w->lost)
		return;
	w->fence_call = true;
	w->fence_wanted = false;
	TAILQ_FOREACH (t, &w->tasks, link)
		t->fence_covers = t->run != RUN_MAYBE && t->call == CALL_NONE;
	l->opt.actions->fence(l, w, l->opt.ctx);
}

static bool
start_due(const struct ledger *l, const struct ledger_task *t, int64_t now_ms)
{
	if (t->want != WANT_RUN || t->call != CALL_NONE)
		return false;
	if (t->run != RUN_NO && t->run != RUN_MAYBE)
		return false;
	/*
	 * Commit the bind before sending the start: the next owner wouldn't
	 * know of an uncommitted bind and could start the task elsewhere.
	 */
	return ledger_is_committed(l, t) && now_ms >= t->retry_at_ms;
}

static void
send_start(struct ledger *l, struct ledger_task *t, int64_t now_ms)
{
	t->repeat = t->run == RUN_MAYBE;
	t->run = RUN_MAYBE;
	t->call = CALL_START;
	t->fence_covers = false;
	t->worker->lease_sent_ms = now_ms;
	l->opt.actions->start(l, t, l->opt.ctx);
}

/*
 * Whether free room is kept for a pending urgent task instead of going to
 * tasks bound without room.  Limited in time, as the urgent task may not fit
 * on any worker of this shard.
 */
static bool
keeps_room_for_urgent(const struct ledger *l, int64_t now_ms)
{
	const struct ledger_task *t;

	t = TAILQ_FIRST(&l->pending);
	return t != NULL && t->r.urgent && l->write != WRITE_UNKNOWN &&
	    !l->store_unavailable && now_ms >= t->retry_at_ms &&
	    now_ms - t->waits_since_ms < URGENT_FIRST_MS;
}

static void
step_starts(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	struct ledger_task *t;
	bool full;

	/* Reserve in order, so that small tasks don't starve a large one. */
	full = keeps_room_for_urgent(l, now_ms);
	TAILQ_FOREACH (t, &w->tasks, link) {
		if (!t->reserved && t->run != RUN_UNFENCED) {
			full = full ||
			    room_reserve(&w->room, &t->r.size) != ROOM_OK;
			if (full)
				continue;
			t->reserved = true;
			w->waiting--;
		}
		if (start_due(l, t, now_ms))
			send_start(l, t, now_ms);
	}
}

static void
step_stops(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	struct ledger_task *t, *next;

	TAILQ_FOREACH_SAFE(t, &w->tasks, link, next)
	{
		if (t->run == RUN_STOPPED && !t->fence_covers)
			w->fence_wanted = true;
		if (t->want == WANT_RUN || t->call != CALL_NONE ||
		    now_ms < t->retry_at_ms)
			continue;
		if (t->run == RUN_NO) {
			ledger_unbind(l, t, t->reason);
		} else if (t->run == RUN_YES && t->want == WANT_CHECKPOINT) {
			t->call = CALL_CHECKPOINT;
			t->fence_covers = false;
			l->opt.actions->checkpoint(l, t, l->opt.ctx);
		} else if (t->run == RUN_YES || t->run == RUN_MAYBE) {
			t->call = CALL_STOP;
			t->fence_covers = false;
			l->opt.actions->stop(l, t, l->opt.ctx);
		}
	}
	step_fence(l, w, now_ms);
}

static void
step_renew(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	struct ledger_ack *ack;
	bool ready;

	ready = false;
	TAILQ_FOREACH (ack, &w->acks, link) {
		if (ack->changed_at <= l->committed)
			ready = true;
	}
	if (w->renew_call || (now_ms < w->renew_at_ms && !ready))
		return;
	TAILQ_FOREACH (ack, &w->acks, link)
		ack->sent = ack->changed_at <= l->committed;
	w->renew_call = true;
	w->renew_sent_ms = now_ms;
	w->lease_sent_ms = now_ms;
	l->opt.actions->renew(l, w, l->opt.ctx);
}

/* Neither urgent nor evicted nor failed: equivalent within its job. */
static bool
is_ordinary(const struct ledger_task *t)
{
	return !t->r.urgent && t->r.evictions == 0 && t->r.failures == 0;
}

/*
 * Why an equivalent task of the same job found no worker in this step, or
 * NULL.  Trying the whole job would use up the failed binds allowed per step,
 * and jobs further back in the queue would never be tried.
 */
static const char *
unplaced_reason(
    const struct unplaced_jobs *unplaced, const struct ledger_task *t)
{
	size_t i;

	for (i = 0; i < UNPLACED_JOBS_MAX && is_ordinary(t); i++) {
		if (unplaced->tasks[i] != NULL &&
		    strcmp(unplaced->tasks[i]->r.job, t->r.job) == 0)
			return unplaced->tasks[i]->reason;
	}
	return NULL;
}

static void
add_unplaced(struct unplaced_jobs *unplaced, const struct ledger_task *t)
{
	if (is_ordinary(t))
		unplaced->tasks[unplaced->next++ % UNPLACED_JOBS_MAX] = t;
}

static void
step_binds(struct ledger *l, int64_t now_ms)
{
	struct unplaced_jobs unplaced = { 0 };
	struct ledger_worker *w;
	struct ledger_task *t, *next;
	const char *reason;
	int misses;

	/* Don't bind while the store is unavailable. */
	if (l->write == WRITE_UNKNOWN || l->store_unavailable)
		return;
	/* A task that found no room finds none until something changes. */
	if (l->change == l->bind_change && now_ms < l->bind_at_ms)
		return;
	misses = 0;
	TAILQ_FOREACH_SAFE(t, &l->pending, link, next)
	{
		if (now_ms < t->retry_at_ms)
			continue;
		if ((reason = unplaced_reason(&unplaced, t)) != NULL) {
			t->reason = reason;
			if (t->waits_since_ms == 0)
				t->waits_since_ms = now_ms;
			continue;
		}
		w = l->opt.actions->pick_worker(l, t, now_ms, l->opt.ctx);
		if (w == NULL || ledger_bind(l, t, w) != LEDGER_OK) {
			add_unplaced(&unplaced, t);
			if (++misses >= BIND_MISSES_MAX)
				break;
		}
	}
	step_rebinds(l, now_ms);
	l->bind_change = l->change;
	l->bind_at_ms = now_ms + l->opt.retry_ms;
}

static bool
has_room(const struct ledger *l)
{
	const struct ledger_worker *w;

	TAILQ_FOREACH (w, &l->workers, link) {
		if (ledger_worker_usable(w) && w->waiting == 0 &&
		    w->room.used.cpu_millis < w->room.capacity.cpu_millis)
			return true;
	}
	return false;
}

static struct ledger_worker *
longest_queue(struct ledger *l)
{
	struct ledger_worker *w, *longest;

	longest = NULL;
	TAILQ_FOREACH (w, &l->workers, link) {
		if (w->waiting > 0 &&
		    (longest == NULL || w->waiting > longest->waiting))
			longest = w;
	}
	return longest;
}

static bool
try_rebind(struct ledger *l, struct ledger_task *t, int64_t now_ms)
{
	struct ledger_worker *w;
	struct resources size;
	const char *reason;

	size = t->r.size;
	reason = t->reason;
	w = l->opt.actions->pick_worker(l, t, now_ms, l->opt.ctx);
	if (w != NULL && ledger_rebind(l, t, w) == LEDGER_OK)
		return true;
	t->r.size = size;
	t->reason = reason;
	return false;
}

/*
 * Rebind tasks that wait for room on one worker while another worker has room.
 * Takes the last task of the longest queue, as it would start last.
 */
static void
step_rebinds(struct ledger *l, int64_t now_ms)
{
	struct ledger_worker *from;
	struct ledger_task *t, *previous;
	int misses, moved;

	misses = 0;
	for (moved = 0; moved < REBINDS_MAX; moved++) {
		if (keeps_room_for_urgent(l, now_ms) || !has_room(l) ||
		    (from = longest_queue(l)) == NULL)
			return;
		TAILQ_FOREACH_REVERSE_SAFE(
		    t, &from->tasks, ledger_tasks, link, previous)
		{
			if (t->reserved || t->run != RUN_NO ||
			    !ledger_is_committed(l, t))
				continue;
			if (try_rebind(l, t, now_ms))
				break;
			if (++misses >= REBIND_MISSES_MAX)
				return;
		}
		if (t == NULL)
			return;
	}
}

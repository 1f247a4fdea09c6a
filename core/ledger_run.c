#include <string.h>

#include "ledger_int.h"

/* What is due now: writes, binds, starts, stops, fences, renewals. */

#define BIND_MISSES_MAX 64 /* tasks tried in vain in one step */
#define MISSED_JOBS 8 /* remembered in one step */
#define REBINDS_MAX 64 /* tasks bound elsewhere in one step */
#define REBIND_MISSES_MAX 8
#define URGENT_FIRST_MS 10000 /* room is kept for an urgent task so long */

/* Tasks of jobs that found no worker in this step; a ring. */
struct missed_jobs {
	const struct ledger_task *tasks[MISSED_JOBS];
	size_t next;
};

static bool is_plain(const struct ledger_task *);
static const char *missed_reason(
    const struct missed_jobs *, const struct ledger_task *);
static void note_missed(struct missed_jobs *, const struct ledger_task *);
static void step_store(struct ledger *, int64_t);
static void step_worker(struct ledger *, struct ledger_worker *, int64_t);
static void step_leaving(struct ledger *, struct ledger_worker *);
static void step_leases(struct ledger *, struct ledger_worker *, int64_t);
static void step_fence(struct ledger *, struct ledger_worker *, int64_t);
static void step_starts(struct ledger *, struct ledger_worker *, int64_t);
static void step_stops(struct ledger *, struct ledger_worker *, int64_t);
static void step_renew(struct ledger *, struct ledger_worker *, int64_t);
static void step_binds(struct ledger *, int64_t);
static void step_rebinds(struct ledger *, int64_t);
static bool any_room(const struct ledger *);
static struct ledger_worker *longest_queue(struct ledger *);
static bool rebind(struct ledger *, struct ledger_task *, int64_t);
static bool is_over(const struct ledger *, const struct ledger_worker *,
    const struct ledger_task *, int64_t);
static bool urgent_first(const struct ledger *, int64_t);
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
	if (l->write == WRITE_IDLE && !l->doubt && l->change > l->committed &&
	    now_ms >= l->write_at_ms) {
		l->write = WRITE_WANTED;
		l->opt.actions->write(l, l->opt.ctx);
		return;
	}
	confirm = l->write == WRITE_IDLE &&
	    (l->doubt || now_ms >= l->confirmed_ms + l->opt.confirm_ms);
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
	if (w->leaving)
		step_leaving(l, w);
	step_stops(l, w, now_ms);
	step_starts(l, w, now_ms);
	step_renew(l, w, now_ms);
}

static void
step_leaving(struct ledger *l, struct ledger_worker *w)
{
	struct ledger_task *t;

	TAILQ_FOREACH (t, &w->tasks, link) {
		if (t->want == WANT_RUN)
			(void)ledger_evict(l, t, WANT_CHECKPOINT, "vm_leaving");
	}
}

/*
 * The attempt is certainly over though its worker doesn't say so.  Room is
 * given back and the task bound again only then: otherwise it runs twice.
 */
static bool
is_over(const struct ledger *l, const struct ledger_worker *w,
    const struct ledger_task *t, int64_t now_ms)
{
	int64_t lease_ms, last_ms;

	if (w->gone &&
	    now_ms >= w->gone_ms + l->opt.lease_ms + l->opt.margin_ms)
		return true;
	/*
	 * A worker that paused may find up to lost_after renewals in its
	 * buffers when it wakes.  None revives a lapsed lease, but each that
	 * comes in time makes it last for another lease_ms.
	 */
	lease_ms = l->opt.lease_ms * (1 + (int64_t)l->opt.lost_after) +
	    l->opt.margin_ms;
	if (!w->fenced) {
		/* A former owner may go on renewing for hold_ms. */
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
	 * A start without an answer may wait in the buffers of a paused
	 * worker and run when it wakes, unlike a renewal, which can't revive
	 * a lapsed lease.  Only a long wait or the worker settles it.
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
			/* During an outage of the store it stays startable. */
			if (!l->store_away && w->fenced)
				ledger_unbind(l, t, "worker_lost");
			continue;
		}
		if (!is_over(l, w, t, now_ms))
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
	 * Write first, then start: a start whose bind isn't in the store
	 * could be repeated elsewhere by the next owner.
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
 * Room that becomes free is for an urgent task that waits, not for those
 * bound ahead; but not for ever, as it may fit nowhere here.
 */
static bool
urgent_first(const struct ledger *l, int64_t now_ms)
{
	const struct ledger_task *t;

	t = TAILQ_FIRST(&l->pending);
	return t != NULL && t->r.urgent && l->write != WRITE_UNKNOWN &&
	    !l->store_away && now_ms >= t->retry_at_ms &&
	    now_ms - t->waits_since_ms < URGENT_FIRST_MS;
}

static void
step_starts(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	struct ledger_task *t;
	bool full;

	/* Those that wait get room in order; a large one isn't passed by. */
	full = urgent_first(l, now_ms);
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

/* Neither urgent nor evicted nor failed: as good as others of its job. */
static bool
is_plain(const struct ledger_task *t)
{
	return !t->r.urgent && t->r.evictions == 0 && t->r.failures == 0;
}

/*
 * Where one task of a job found no room the others find none.  Trying them
 * would use up the tries of this step, and jobs behind would never have one.
 */
static const char *
missed_reason(const struct missed_jobs *missed, const struct ledger_task *t)
{
	size_t i;

	for (i = 0; i < MISSED_JOBS && is_plain(t); i++) {
		if (missed->tasks[i] != NULL &&
		    strcmp(missed->tasks[i]->r.job, t->r.job) == 0)
			return missed->tasks[i]->reason;
	}
	return NULL;
}

static void
note_missed(struct missed_jobs *missed, const struct ledger_task *t)
{
	if (is_plain(t))
		missed->tasks[missed->next++ % MISSED_JOBS] = t;
}

static void
step_binds(struct ledger *l, int64_t now_ms)
{
	struct missed_jobs missed = { 0 };
	struct ledger_worker *w;
	struct ledger_task *t, *next;
	const char *reason;
	int misses;

	/* Nothing new is bound while the store doesn't answer. */
	if (l->write == WRITE_UNKNOWN || l->store_away)
		return;
	/* What found no room finds none until something has changed. */
	if (l->change == l->bind_change && now_ms < l->bind_at_ms)
		return;
	misses = 0;
	TAILQ_FOREACH_SAFE(t, &l->pending, link, next)
	{
		if (now_ms < t->retry_at_ms)
			continue;
		if ((reason = missed_reason(&missed, t)) != NULL) {
			t->reason = reason;
			if (t->waits_since_ms == 0)
				t->waits_since_ms = now_ms;
			continue;
		}
		w = l->opt.actions->pick_worker(l, t, now_ms, l->opt.ctx);
		if (w == NULL || ledger_bind(l, t, w) != LEDGER_OK) {
			note_missed(&missed, t);
			if (++misses >= BIND_MISSES_MAX)
				break;
		}
	}
	step_rebinds(l, now_ms);
	l->bind_change = l->change;
	l->bind_at_ms = now_ms + l->opt.retry_ms;
}

static bool
any_room(const struct ledger *l)
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
rebind(struct ledger *l, struct ledger_task *t, int64_t now_ms)
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
 * Work bound early must not wait at one worker while another has nothing to
 * do.  The last of the longest queue goes, as it would start last.
 */
static void
step_rebinds(struct ledger *l, int64_t now_ms)
{
	struct ledger_worker *from;
	struct ledger_task *t, *previous;
	int misses, moved;

	misses = 0;
	for (moved = 0; moved < REBINDS_MAX; moved++) {
		if (urgent_first(l, now_ms) || !any_room(l) ||
		    (from = longest_queue(l)) == NULL)
			return;
		TAILQ_FOREACH_REVERSE_SAFE(
		    t, &from->tasks, ledger_tasks, link, previous)
		{
			if (t->reserved || t->run != RUN_NO ||
			    !ledger_is_committed(l, t))
				continue;
			if (rebind(l, t, now_ms))
				break;
			if (++misses >= REBIND_MISSES_MAX)
				return;
		}
		if (t == NULL)
			return;
	}
}

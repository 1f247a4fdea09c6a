#include <string.h>

#include "ledger_int.h"

/* State changes of one task: bind, unbind, evict, move, end. */

static enum ledger_error reserve_place(
    struct ledger *, struct ledger_task *, struct ledger_worker *);
static void assign_worker(
    struct ledger *, struct ledger_task *, struct ledger_worker *);

static enum ledger_error
reserve_place(struct ledger *l, struct ledger_task *t, struct ledger_worker *w)
{
	enum room_error error;

	/*
	 * Tasks that already wait for room on this worker go first, or they
	 * might never fit.  An urgent task goes before them, and never waits
	 * for room on a particular worker.
	 */
	if (w->waiting == 0 || t->r.urgent) {
		if (room_reserve(&w->room, &t->r.size) == ROOM_OK) {
			t->reserved = true;
			return LEDGER_OK;
		}
	}
	if (t->r.urgent)
		return LEDGER_ERR_ROOM;
	error = room_check(&w->room, &t->r.size);
	if (error == ROOM_ERR_TOO_LARGE || error == ROOM_ERR_RANGE)
		return LEDGER_ERR_ROOM;
	if (w->waiting >= l->opt.ahead)
		return LEDGER_ERR_ROOM;
	w->waiting++;
	t->reserved = false;
	return LEDGER_OK;
}

static void
assign_worker(struct ledger *l, struct ledger_task *t, struct ledger_worker *w)
{
	TAILQ_INSERT_TAIL(&w->tasks, t, link);
	t->worker = w;
	t->r.state = TASK_BOUND;
	t->r.attempt++;
	strlcpy(t->r.worker, w->id, sizeof(t->r.worker));
	t->run = RUN_NO;
	t->want = WANT_RUN;
	t->fence_covers = false;
	t->repeat = false;
	t->no_room = 0;
	t->retry_at_ms = 0;
	ledger_changed(l, t);
}

enum ledger_error
ledger_bind(struct ledger *l, struct ledger_task *t, struct ledger_worker *w)
{
	enum ledger_error error;

	if (l->phase != LEDGER_OWNED || t->r.state != TASK_PENDING)
		return LEDGER_ERR_STATE;
	if (!ledger_worker_usable(w))
		return LEDGER_ERR_WORKER;
	if ((error = reserve_place(l, t, w)) != LEDGER_OK)
		return error;
	TAILQ_REMOVE(&l->pending, t, link);
	assign_worker(l, t, w);
	t->reason = t->reserved ? "bound" : "bound_ahead";
	return LEDGER_OK;
}

enum ledger_error
ledger_rebind(struct ledger *l, struct ledger_task *t, struct ledger_worker *w)
{
	/*
	 * A start that was sent may take effect at any time, and the task
	 * would run on two workers.  If none was sent, the former worker knows
	 * of no attempt of this owner.
	 */
	if (l->phase != LEDGER_OWNED || t->worker == NULL || t->worker == w ||
	    t->run != RUN_NO || t->call != CALL_NONE || t->reserved ||
	    t->want != WANT_RUN || !ledger_is_committed(l, t))
		return LEDGER_ERR_STATE;
	if (!ledger_worker_usable(w))
		return LEDGER_ERR_WORKER;
	if (w->waiting > 0 || room_reserve(&w->room, &t->r.size) != ROOM_OK)
		return LEDGER_ERR_ROOM;
	ledger_release_room(t);
	TAILQ_REMOVE(&t->worker->tasks, t, link);
	t->reserved = true;
	assign_worker(l, t, w);
	t->reason = "bound_where_room_was_free";
	return LEDGER_OK;
}

void
ledger_release_room(struct ledger_task *t)
{
	if (t->worker == NULL)
		return;
	if (t->reserved)
		(void)room_release(&t->worker->room, &t->r.size);
	else if (t->worker->waiting > 0)
		t->worker->waiting--;
	t->reserved = false;
}

void
ledger_unbind(struct ledger *l, struct ledger_task *t, const char *reason)
{
	if (t->r.cancel) {
		ledger_end_task(l, t, TASK_CANCELLED, "cancelled");
		return;
	}
	ledger_release_room(t);
	TAILQ_REMOVE(&t->worker->tasks, t, link);
	strlcpy(t->r.last_worker, t->r.worker, sizeof(t->r.last_worker));
	t->r.worker[0] = '\0';
	t->r.state = TASK_PENDING;
	t->run = RUN_NO;
	t->call = CALL_NONE;
	t->want = WANT_RUN;
	t->retry_at_ms = 0;
	t->waits_since_ms = 0;
	t->reason = reason;
	ledger_insert_pending(l, t);
	ledger_changed(l, t);
}

void
ledger_end_task(struct ledger *l, struct ledger_task *t, enum task_state state,
    const char *reason)
{
	struct ledger_job *job;

	if (t->worker != NULL) {
		ledger_release_room(t);
		TAILQ_REMOVE(&t->worker->tasks, t, link);
		strlcpy(
		    t->r.last_worker, t->r.worker, sizeof(t->r.last_worker));
		t->worker = NULL;
	} else
		TAILQ_REMOVE(&l->pending, t, link);
	TAILQ_INSERT_TAIL(&l->ended, t, link);
	t->r.state = state;
	t->r.worker[0] = '\0';
	t->run = RUN_NO;
	t->call = CALL_NONE;
	t->reason = reason;
	l->ntasks--;
	ledger_changed(l, t);
	if ((job = ledger_job_get(l, t->r.job)) == NULL)
		return;
	job->open--;
	job->done += state == TASK_DONE;
	job->failed += state == TASK_FAILED;
	job->cancelled += state == TASK_CANCELLED;
	job->changed_at = l->change;
}

enum ledger_error
ledger_evict(struct ledger *l, struct ledger_task *t, enum task_want want,
    const char *reason)
{
	if (l->phase != LEDGER_OWNED || t->worker == NULL ||
	    t->run == RUN_UNFENCED)
		return LEDGER_ERR_STATE;
	if (t->want >= want)
		return LEDGER_OK;
	t->want = want;
	t->reason = reason;
	t->retry_at_ms = 0;
	return LEDGER_OK;
}

enum ledger_error
ledger_move(struct ledger *l, struct ledger_task *t, const char *to_shard)
{
	if (l->phase != LEDGER_OWNED || t->r.state != TASK_PENDING)
		return LEDGER_ERR_STATE;
	if (strlcpy(t->moved_to, to_shard, sizeof(t->moved_to)) >=
	    sizeof(t->moved_to))
		return LEDGER_ERR_ID;
	t->r.moves++;
	ledger_end_task(l, t, TASK_MOVED, "moved");
	return LEDGER_OK;
}

enum ledger_error
ledger_give_up(struct ledger *l, struct ledger_task *t, const char *reason)
{
	if (l->phase != LEDGER_OWNED || t->r.state != TASK_PENDING)
		return LEDGER_ERR_STATE;
	ledger_end_task(l, t, TASK_FAILED, reason);
	return LEDGER_OK;
}

enum task_state
ledger_task_state(const struct ledger_task *t)
{
	if (t->worker == NULL)
		return t->r.state;
	if (t->want != WANT_RUN)
		return TASK_EVICTING;
	return t->run == RUN_YES ? TASK_RUNNING : TASK_BOUND;
}

struct ledger_worker *
ledger_pick_first_fit(
    struct ledger *l, struct ledger_task *t, int64_t now_ms, void *ctx)
{
	struct ledger_worker *w, *ahead;
	enum room_error error;

	(void)now_ms;
	(void)ctx;
	ahead = NULL;
	t->reason = "no_worker";
	TAILQ_FOREACH (w, &l->workers, link) {
		if (!ledger_worker_usable(w))
			continue;
		error = room_check(&w->room, &t->r.size);
		if (error == ROOM_OK && (w->waiting == 0 || t->r.urgent))
			return w;
		if (error == ROOM_ERR_TOO_LARGE || error == ROOM_ERR_RANGE) {
			t->reason = "too_large";
			continue;
		}
		t->reason = "no_room";
		if (!t->r.urgent && w->waiting < l->opt.ahead && ahead == NULL)
			ahead = w;
	}
	return ahead;
}

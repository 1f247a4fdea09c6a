#include <stdlib.h>
#include <string.h>

#include "ledger_int.h"

/* Handles the answers of workers to calls. */

#define BACKOFF_SHIFT_MAX 6

static struct ledger_task *find_attempt(
    struct ledger *, const char *, uint32_t, enum task_call);
static void note_answer(struct ledger_worker *, int64_t);
static void note_no_answer(struct ledger *, struct ledger_worker *);
static void end_attempt(
    struct ledger *, struct ledger_task *, enum task_outcome, int64_t);
static void apply_finish(struct ledger *, struct ledger_worker *,
    const struct ledger_report *, int64_t);
static void add_ack(
    struct ledger *, struct ledger_worker *, const struct ledger_report *);
static void free_sent_acks(struct ledger_worker *);
static void start_refused(struct ledger *, struct ledger_task *, int64_t);
static bool is_listed(
    const struct ledger_report *, size_t, const struct ledger_task *);
static void note_running(struct ledger_task *, int64_t);
static void stop_strays(struct ledger *, struct ledger_worker *,
    const struct ledger_report *, size_t, int64_t);
static void apply_fence(struct ledger *, struct ledger_task *, bool, int64_t);

/*
 * Find the task that an answer belongs to.  NULL if it isn't about the current
 * attempt and the call in flight.
 */
static struct ledger_task *
find_attempt(
    struct ledger *l, const char *task, uint32_t attempt, enum task_call call)
{
	struct ledger_task *t;

	if (l->phase == LEDGER_LOST || l->phase == LEDGER_RELEASED)
		return NULL;
	if ((t = ledger_find_id(l, task)) == NULL || t->worker == NULL)
		return NULL;
	if (t->r.attempt != attempt || t->call != call)
		return NULL;
	return t;
}

static void
note_answer(struct ledger_worker *w, int64_t now_ms)
{
	w->heard_ms = now_ms;
	w->unanswered_calls = 0;
}

static void
note_no_answer(struct ledger *l, struct ledger_worker *w)
{
	if (++w->unanswered_calls >= l->opt.lost_after)
		w->lost = true;
}

static void
start_refused(struct ledger *l, struct ledger_task *t, int64_t now_ms)
{
	t->retry_at_ms = now_ms + l->opt.retry_ms;
	t->reason = "worker_has_no_room";
	/* An earlier, unanswered start may still reach the worker. */
	if (t->repeat)
		return;
	t->run = RUN_NO;
	if (++t->no_room >= l->opt.max_no_room) {
		ledger_unbind(l, t, "worker_has_no_room");
		t->retry_at_ms = now_ms + l->opt.retry_ms;
	}
}

void
ledger_start_answered(struct ledger *l, const char *task, uint32_t attempt,
    enum call_result result, int64_t now_ms)
{
	struct ledger_task *t;

	if ((t = find_attempt(l, task, attempt, CALL_START)) == NULL)
		return;
	t->call = CALL_NONE;
	if (result == RESULT_NOT_READY) {
		if (!t->repeat && t->run == RUN_MAYBE)
			t->run = RUN_NO;
		t->retry_at_ms = now_ms + l->opt.retry_ms;
		return;
	}
	if (result == RESULT_NO_ANSWER || result == RESULT_NOT_SENT) {
		note_no_answer(l, t->worker);
		if (t->run == RUN_YES)
			return;
		t->retry_at_ms = now_ms + l->opt.retry_ms;
		if (result == RESULT_NOT_SENT && !t->repeat)
			t->run = RUN_NO;
		return;
	}
	note_answer(t->worker, now_ms);
	if (result == RESULT_OK) {
		note_running(t, now_ms);
	} else if (result == RESULT_STALE) {
		/* Stopped or finished: the next fence tells which. */
		t->run = RUN_STOPPED;
		t->fence_covers = false;
	} else if (t->run != RUN_YES)
		start_refused(l, t, now_ms);
}

void
ledger_stop_answered(struct ledger *l, const char *task, uint32_t attempt,
    enum call_result result, int64_t now_ms)
{
	struct ledger_task *t;

	if ((t = find_attempt(l, task, attempt, CALL_STOP)) == NULL)
		return;
	t->call = CALL_NONE;
	if (result == RESULT_NO_ANSWER || result == RESULT_NOT_SENT) {
		note_no_answer(l, t->worker);
		t->retry_at_ms = now_ms + l->opt.retry_ms;
		return;
	}
	note_answer(t->worker, now_ms);
	if (result != RESULT_OK && result != RESULT_STALE) {
		t->retry_at_ms = now_ms + l->opt.retry_ms;
		return;
	}
	/*
	 * It may have finished just before the stop.  Fence the worker for its
	 * list of finished attempts before running the task again, which would
	 * otherwise repeat completed work.
	 */
	t->run = RUN_STOPPED;
	t->fence_covers = false;
}

void
ledger_checkpoint_answered(struct ledger *l, const char *task, uint32_t attempt,
    enum call_result result, const char *token, int64_t progress_ms,
    int64_t now_ms)
{
	struct ledger_task *t;

	t = find_attempt(l, task, attempt, CALL_CHECKPOINT);
	if (t == NULL)
		return;
	t->call = CALL_NONE;
	if (result == RESULT_NO_ANSWER || result == RESULT_NOT_SENT) {
		note_no_answer(l, t->worker);
		t->retry_at_ms = now_ms + l->opt.retry_ms;
		return;
	}
	note_answer(t->worker, now_ms);
	if (result != RESULT_OK) {
		/* Not checkpointable, or ended: stop it to find out. */
		t->want = WANT_STOP;
		return;
	}
	strlcpy(t->r.checkpoint, token, sizeof(t->r.checkpoint));
	t->progress_ms = progress_ms;
	t->r.evictions++;
	ledger_unbind(l, t, t->reason);
}

static void
end_attempt(struct ledger *l, struct ledger_task *t, enum task_outcome outcome,
    int64_t now_ms)
{
	uint32_t shift;

	if (l->opt.actions->outcome != NULL)
		l->opt.actions->outcome(l, t, t->worker, outcome, l->opt.ctx);
	if (outcome == OUTCOME_DONE) {
		ledger_end_task(l, t, TASK_DONE, "done");
		return;
	}
	if (outcome == OUTCOME_INTERRUPTED) {
		ledger_unbind(l, t, "interrupted");
		return;
	}
	t->r.failures++;
	if (t->r.failures >= l->opt.max_failures && !t->r.cancel) {
		ledger_end_task(l, t, TASK_FAILED, "failed_too_often");
		return;
	}
	shift = t->r.failures > BACKOFF_SHIFT_MAX ? BACKOFF_SHIFT_MAX :
						    t->r.failures - 1;
	ledger_unbind(l, t, "failed");
	t->retry_at_ms = now_ms + (l->opt.retry_ms << shift);
}

/* Record one acknowledgement per finish, however often it is reported. */
static void
add_ack(struct ledger *l, struct ledger_worker *w,
    const struct ledger_report *report)
{
	struct ledger_ack *ack;

	TAILQ_FOREACH (ack, &w->acks, link) {
		if (ack->attempt == report->attempt &&
		    strcmp(ack->task, report->task) == 0)
			return;
	}
	if ((ack = calloc(1, sizeof(*ack))) == NULL)
		return; /* the worker reports the finish again */
	strlcpy(ack->task, report->task, sizeof(ack->task));
	ack->attempt = report->attempt;
	/* Acknowledge once the store has confirmed this change. */
	ack->changed_at = l->change;
	TAILQ_INSERT_TAIL(&w->acks, ack, link);
}

/* Free the acknowledgements that the worker has received. */
static void
free_sent_acks(struct ledger_worker *w)
{
	struct ledger_acks all;
	struct ledger_ack *ack;

	TAILQ_INIT(&all);
	TAILQ_CONCAT(&all, &w->acks, link);
	while ((ack = TAILQ_FIRST(&all)) != NULL) {
		TAILQ_REMOVE(&all, ack, link);
		if (ack->sent)
			free(ack);
		else
			TAILQ_INSERT_TAIL(&w->acks, ack, link);
	}
}

static void
apply_finish(struct ledger *l, struct ledger_worker *w,
    const struct ledger_report *report, int64_t now_ms)
{
	struct ledger_task *t;

	t = ledger_find_id(l, report->task);
	if (t != NULL && t->worker == w && t->r.attempt == report->attempt)
		end_attempt(l, t, report->outcome, now_ms);
	add_ack(l, w, report);
}

static bool
is_listed(
    const struct ledger_report *reports, size_t n, const struct ledger_task *t)
{
	char id[LEDGER_TASK_ID_MAX];
	size_t i;

	ledger_task_id(t, id, sizeof(id));
	for (i = 0; i < n; i++) {
		if (reports[i].attempt == t->r.attempt &&
		    strcmp(reports[i].task, id) == 0)
			return true;
	}
	return false;
}

/*
 * Note that the attempt runs.  Its resources are in use, so they are counted
 * even beyond the capacity of the worker.
 */
static void
note_running(struct ledger_task *t, int64_t now_ms)
{
	if (t->run != RUN_YES)
		t->running_since_ms = now_ms;
	t->run = RUN_YES;
	if (t->reserved)
		return;
	if (room_adopt(&t->worker->room, &t->r.size) == ROOM_OK) {
		t->reserved = true;
		t->worker->waiting--;
	}
}

static void
stop_strays(struct ledger *l, struct ledger_worker *w,
    const struct ledger_report *running, size_t n, int64_t now_ms)
{
	struct ledger_task *t;
	size_t i;

	if (!ledger_may_send(l, now_ms))
		return;
	for (i = 0; i < n; i++) {
		t = ledger_find_id(l, running[i].task);
		if (t != NULL && t->worker == w &&
		    t->r.attempt == running[i].attempt)
			continue;
		l->opt.actions->stop_stray(
		    l, w, running[i].task, running[i].attempt, l->opt.ctx);
	}
}

static void
apply_fence(struct ledger *l, struct ledger_task *t, bool runs, int64_t now_ms)
{
	if (!t->fence_covers && t->run != RUN_UNFENCED) {
		if (runs && t->run == RUN_MAYBE)
			note_running(t, now_ms);
		return;
	}
	if (runs) {
		note_running(t, now_ms);
	} else if (t->run == RUN_STOPPED) {
		if (t->want == WANT_STOP)
			t->r.evictions++;
		ledger_unbind(
		    l, t, t->want == WANT_RUN ? "interrupted" : t->reason);
	} else {
		/* Not on the worker: the attempt may be started again. */
		t->run = RUN_NO;
		t->retry_at_ms = 0;
	}
}

void
ledger_fence_answered(struct ledger *l, struct ledger_worker *w,
    const struct ledger_report *running, size_t nrunning,
    const struct ledger_report *finished, size_t nfinished, int64_t now_ms)
{
	struct ledger_task *t, *next;
	size_t i;

	if (!w->fence_call || l->phase != LEDGER_OWNED)
		return;
	w->fence_call = false;
	w->fenced = true;
	w->lost = false;
	l->bind_at_ms = 0;
	note_answer(w, now_ms);
	for (i = 0; i < nfinished; i++)
		apply_finish(l, w, &finished[i], now_ms);
	TAILQ_FOREACH_SAFE(t, &w->tasks, link, next)
	{
		apply_fence(l, t, is_listed(running, nrunning, t), now_ms);
		t->fence_covers = false;
	}
	stop_strays(l, w, running, nrunning, now_ms);
}

void
ledger_fence_failed(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	if (!w->fence_call)
		return;
	w->fence_call = false;
	w->fence_wanted = true;
	w->fence_at_ms = now_ms + l->opt.retry_ms;
	note_no_answer(l, w);
}

void
ledger_renew_answered(struct ledger *l, struct ledger_worker *w,
    const struct ledger_report *running, size_t nrunning,
    const struct ledger_report *finished, size_t nfinished, int64_t now_ms)
{
	struct ledger_task *t, *next;
	size_t i;

	if (!w->renew_call || l->phase != LEDGER_OWNED)
		return;
	w->renew_call = false;
	w->renew_at_ms = now_ms + l->opt.renew_ms;
	note_answer(w, now_ms);
	free_sent_acks(w);
	for (i = 0; i < nfinished; i++)
		apply_finish(l, w, &finished[i], now_ms);
	TAILQ_FOREACH_SAFE(t, &w->tasks, link, next)
	{
		if (is_listed(running, nrunning, t)) {
			if (t->run == RUN_MAYBE)
				note_running(t, now_ms);
		} else if (t->run == RUN_YES && t->call == CALL_NONE &&
		    t->running_since_ms < w->renew_sent_ms) {
			/* It is missing: fence again for an exact list. */
			w->fence_wanted = true;
		}
	}
	/* Acknowledge soon: the worker repeats its reports until then. */
	if (!TAILQ_EMPTY(&w->acks))
		w->renew_at_ms = now_ms + l->opt.retry_ms;
	stop_strays(l, w, running, nrunning, now_ms);
}

void
ledger_renew_failed(struct ledger *l, struct ledger_worker *w, int64_t now_ms)
{
	if (!w->renew_call)
		return;
	w->renew_call = false;
	w->renew_at_ms = now_ms + l->opt.retry_ms;
	note_no_answer(l, w);
}

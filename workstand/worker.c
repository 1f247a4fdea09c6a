#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "state.h"
#include "witness.h"

static struct shard_epoch *add_epoch(struct worker *, const char *);
static struct task_slot *slot_of(struct worker *, const char *);
static struct task *find_task(struct worker *, const char *);
static struct task *find_attempt(
    struct worker *, const struct worker_task_ref *);
static struct task *add_task(struct worker *, const char *);
static void drop_end(struct worker *, struct task *);
static enum worker_error refuse(struct worker *, enum worker_error);
static enum worker_error check_start(
    struct worker *, const struct worker_start *, int64_t now_ms);
static void run_attempt(struct worker *, struct task *,
    const struct worker_start *, int64_t now_ms);
static void view_task(const struct task *, struct worker_task *);

static const char *const error_names[WORKER_NERRORS] = { "ok", "fenced",
	"no_room", "stale_attempt", "unknown_task", "full", "leaving",
	"memory" };
static const char *const outcome_names[] = { "done", "failed",
	"lease_expired" };

static struct task_slot *
slot_of(struct worker *w, const char *id)
{
	return &w->tasks[XXH64(id, strlen(id), 0) % TASK_SLOTS];
}

struct worker *
worker_open(const struct worker_options *options)
{
	struct worker *w;

	if ((w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	w->options = *options;
	w->record.last_while_leaving_ms = -1;
	SLIST_INIT(&w->epochs);
	TAILQ_INIT(&w->running);
	TAILQ_INIT(&w->ends);
	return w;
}

void
worker_close(struct worker *w)
{
	struct shard_epoch *e;
	struct task *t;
	size_t slot;

	if (w == NULL)
		return;
	for (slot = 0; slot < TASK_SLOTS; slot++) {
		while ((t = SLIST_FIRST(&w->tasks[slot])) != NULL) {
			SLIST_REMOVE_HEAD(&w->tasks[slot], link);
			free(t->id);
			free(t);
		}
	}
	while ((e = SLIST_FIRST(&w->epochs)) != NULL) {
		SLIST_REMOVE_HEAD(&w->epochs, link);
		free(e->shard);
		free(e);
	}
	free(w);
}

const char *
worker_id(const struct worker *w)
{
	return w->options.id;
}

static enum worker_error
refuse(struct worker *w, enum worker_error error)
{
	w->record.refused[error]++;
	return error;
}

struct shard_epoch *
epoch_find(struct worker *w, const char *shard)
{
	struct shard_epoch *e;

	SLIST_FOREACH (e, &w->epochs, link) {
		if (strcmp(e->shard, shard) == 0)
			return e;
	}
	return NULL;
}

static struct shard_epoch *
add_epoch(struct worker *w, const char *shard)
{
	struct shard_epoch *e;

	if ((e = calloc(1, sizeof(*e))) == NULL)
		return NULL;
	if ((e->shard = strdup(shard)) == NULL) {
		free(e);
		return NULL;
	}
	SLIST_INSERT_HEAD(&w->epochs, e, link);
	return e;
}

enum worker_error
worker_fence(struct worker *w, const char *shard, int64_t epoch)
{
	struct shard_epoch *e;

	if ((e = epoch_find(w, shard)) == NULL &&
	    (e = add_epoch(w, shard)) == NULL)
		return refuse(w, WORKER_ERR_MEMORY);
	if (epoch < e->epoch)
		return refuse(w, WORKER_ERR_FENCED);
	if (epoch > e->epoch) {
		e->older.slots += e->calls.slots;
		e->older.connections += e->calls.connections;
		memset(&e->calls, 0, sizeof(e->calls));
		e->epoch = epoch;
		w->options.on_changed(w, e->shard, w->options.ctx);
	}
	return WORKER_OK;
}

int64_t
worker_epoch(struct worker *w, const char *shard)
{
	struct shard_epoch *e;

	e = epoch_find(w, shard);
	return e == NULL ? 0 : e->epoch;
}

static struct task *
find_task(struct worker *w, const char *id)
{
	struct task *t;

	SLIST_FOREACH (t, slot_of(w, id), link) {
		if (strcmp(t->id, id) == 0)
			return t;
	}
	return NULL;
}

static struct task *
find_attempt(struct worker *w, const struct worker_task_ref *ref)
{
	struct task *t;

	t = find_task(w, ref->task);
	return t == NULL || t->attempt != ref->attempt ? NULL : t;
}

static struct task *
add_task(struct worker *w, const char *id)
{
	struct task *t;

	if ((t = calloc(1, sizeof(*t))) == NULL)
		return NULL;
	if ((t->id = strdup(id)) == NULL) {
		free(t);
		return NULL;
	}
	t->state = TASK_ENDED;
	SLIST_INSERT_HEAD(slot_of(w, id), t, link);
	return t;
}

static void
drop_end(struct worker *w, struct task *t)
{
	if (!t->end_waits)
		return;
	TAILQ_REMOVE(&w->ends, t, end);
	t->end_waits = false;
}

static enum worker_error
check_start(struct worker *w, const struct worker_start *start, int64_t now_ms)
{
	struct task *t;

	t = find_task(w, start->ref.task);
	if (t != NULL && start->ref.attempt <= t->attempt)
		return WORKER_ERR_STALE;
	if (room_leaving(w, &w->record.starts_while_leaving, now_ms))
		return WORKER_ERR_LEAVING;
	if (t != NULL &&
	    (t->state == TASK_RUNNING || t->state == TASK_CHECKPOINTING)) {
		/* The owner must have an old attempt stopped first. */
		w->record.two_attempts++;
		return WORKER_ERR_NO_ROOM;
	}
	if (room_fits(w, start))
		return WORKER_OK;
	w->record.over_capacity_starts++;
	return w->options.accept_over ? WORKER_OK : WORKER_ERR_NO_ROOM;
}

static void
run_attempt(struct worker *w, struct task *t, const struct worker_start *start,
    int64_t now_ms)
{
	struct task *other;
	const char *token;

	TAILQ_FOREACH (other, &w->running, running)
		task_run(w, other, now_ms);
	drop_end(w, t);
	t->shard = epoch_find(w, start->ref.shard)->shard;
	t->attempt = start->ref.attempt;
	t->state = TASK_RUNNING;
	t->start = *start;
	if (t->start.cpu_used_millis == 0)
		t->start.cpu_used_millis = start->cpu_millis;
	if (t->start.memory_used_mib == 0)
		t->start.memory_used_mib = start->memory_mib;
	t->started_ms = now_ms;
	t->updated_ms = now_ms;
	t->lease_until_ms = now_ms + start->lease_ms;
	t->percent = 100;
	token = start->checkpoint;
	t->progress_ms =
	    token != NULL && token[0] == 'p' ? strtod(token + 1, NULL) : 0;
	TAILQ_INSERT_TAIL(&w->running, t, running);
	room_take(w, start);
	witness_task_started(
	    w->options.witness, t->id, t->attempt, w->options.id, now_ms);
}

enum worker_error
worker_start_task(
    struct worker *w, const struct worker_start *start, int64_t now_ms)
{
	enum worker_error error;
	struct task *t;

	error = worker_fence(w, start->ref.shard, start->ref.epoch);
	if (error != WORKER_OK)
		return error;
	t = find_attempt(w, &start->ref);
	if (t != NULL &&
	    (t->state == TASK_RUNNING || t->state == TASK_CHECKPOINTING))
		return WORKER_OK;
	if ((error = check_start(w, start, now_ms)) != WORKER_OK)
		return refuse(w, error);
	if ((t = find_task(w, start->ref.task)) == NULL &&
	    (t = add_task(w, start->ref.task)) == NULL)
		return refuse(w, WORKER_ERR_MEMORY);
	run_attempt(w, t, start, now_ms);
	return WORKER_OK;
}

enum worker_error
worker_stop(struct worker *w, const struct worker_task_ref *ref, int64_t now_ms)
{
	enum worker_error error;
	struct task *t;

	if ((error = worker_fence(w, ref->shard, ref->epoch)) != WORKER_OK)
		return error;
	if ((t = find_task(w, ref->task)) == NULL &&
	    (t = add_task(w, ref->task)) == NULL)
		return refuse(w, WORKER_ERR_MEMORY);
	if (ref->attempt < t->attempt)
		return WORKER_OK;
	/* An attempt up to this one that runs here ends with it. */
	if (t->state == TASK_RUNNING || t->state == TASK_CHECKPOINTING)
		task_end(w, t, TASK_ENDED, false, now_ms);
	if (ref->attempt > t->attempt) {
		drop_end(w, t);
		t->attempt = ref->attempt;
		t->state = TASK_ENDED;
	}
	return WORKER_OK;
}

enum worker_error
worker_checkpoint(
    struct worker *w, const struct worker_task_ref *ref, int64_t now_ms)
{
	enum worker_error error;
	struct task *t;

	if ((error = worker_fence(w, ref->shard, ref->epoch)) != WORKER_OK)
		return error;
	if ((t = find_attempt(w, ref)) == NULL || t->state == TASK_ENDED)
		return refuse(w, WORKER_ERR_UNKNOWN);
	if (t->state == TASK_CHECKPOINTED) {
		/* The first answer was lost: the token must not be. */
		w->options.on_checkpointed(w, t->id, t->attempt,
		    (int64_t)t->progress_ms, w->options.ctx);
		return WORKER_OK;
	}
	if (t->state == TASK_RUNNING) {
		t->state = TASK_CHECKPOINTING;
		t->checkpoint_due_ms = now_ms + t->start.checkpoint_ms;
		worker_tick(w, now_ms);
	}
	return WORKER_OK;
}

enum worker_error
worker_throttle(struct worker *w, const struct worker_task_ref *ref,
    int percent, int64_t now_ms)
{
	enum worker_error error;
	struct task *t, *other;

	if ((error = worker_fence(w, ref->shard, ref->epoch)) != WORKER_OK)
		return error;
	if ((t = find_attempt(w, ref)) == NULL || t->state != TASK_RUNNING)
		return refuse(w, WORKER_ERR_UNKNOWN);
	TAILQ_FOREACH (other, &w->running, running)
		task_run(w, other, now_ms);
	t->percent = percent;
	return WORKER_OK;
}

enum worker_error
worker_renew(struct worker *w, const char *shard, int64_t epoch,
    int64_t lease_ms, int64_t now_ms)
{
	enum worker_error error;
	struct task *t;

	if ((error = worker_fence(w, shard, epoch)) != WORKER_OK)
		return error;
	/* A lease that ran out before this message isn't revived by it. */
	worker_tick(w, now_ms);
	TAILQ_FOREACH (t, &w->running, running) {
		if (strcmp(t->shard, shard) == 0)
			t->lease_until_ms = now_ms + lease_ms;
	}
	return WORKER_OK;
}

void
worker_ack(struct worker *w, const char *task, int64_t attempt)
{
	struct task *t;

	t = find_task(w, task);
	if (t != NULL && t->attempt == attempt)
		drop_end(w, t);
}

static void
view_task(const struct task *t, struct worker_task *view)
{
	memset(view, 0, sizeof(*view));
	view->task = t->id;
	view->attempt = t->attempt;
	view->started_ms = t->started_ms;
	view->cpu_used_millis = t->start.cpu_used_millis * t->percent / 100;
	view->memory_used_mib = t->start.memory_used_mib;
	view->outcome = t->outcome;
}

void
worker_each_running(
    struct worker *w, const char *shard, worker_task_visit *visit, void *ctx)
{
	struct worker_task view;
	struct task *t;

	TAILQ_FOREACH (t, &w->running, running) {
		if (strcmp(t->shard, shard) != 0)
			continue;
		view_task(t, &view);
		visit(&view, ctx);
	}
}

void
worker_each_end(
    struct worker *w, const char *shard, worker_task_visit *visit, void *ctx)
{
	struct worker_task view;
	struct task *t;

	TAILQ_FOREACH (t, &w->ends, end) {
		if (strcmp(t->shard, shard) != 0)
			continue;
		view_task(t, &view);
		visit(&view, ctx);
	}
}

bool
worker_has_end(struct worker *w, const char *shard)
{
	struct task *t;

	TAILQ_FOREACH (t, &w->ends, end) {
		if (strcmp(t->shard, shard) == 0)
			return true;
	}
	return false;
}

const char *
worker_strerror(enum worker_error error)
{
	return error_names[error];
}

const char *
worker_outcome_name(enum worker_outcome outcome)
{
	return outcome_names[outcome];
}

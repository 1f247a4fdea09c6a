#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "witness.h"

#define SLOTS 16384

struct task_entry {
	SLIST_ENTRY(task_entry) link;
	char *task;
	struct witness_start *starts;
	size_t nstarts;
	size_t running;
	size_t most_running;
	size_t done;
	size_t ends_lost; /* it may be done again that often */
};

struct request_entry {
	SLIST_ENTRY(request_entry) link;
	char *id;
	uint64_t runs;
};

SLIST_HEAD(task_entries, task_entry);
SLIST_HEAD(request_entries, request_entry);

struct witness {
	struct witness_options options;
	struct witness_totals totals;
	struct task_entries tasks[SLOTS];
	struct request_entries requests[SLOTS];
};

static size_t slot_of(const char *);
static struct task_entry *find_task(struct witness *, const char *);
static struct task_entry *add_task(struct witness *, const char *);
static struct request_entry *find_request(struct witness *, const char *);
static struct request_entry *add_request(struct witness *, const char *);
static void add_start(
    struct task_entry *, int64_t attempt, const char *worker, int64_t now_ms);

static size_t
slot_of(const char *key)
{
	return (size_t)(XXH64(key, strlen(key), 0) % SLOTS);
}

struct witness *
witness_open(const struct witness_options *options)
{
	struct witness *w;

	if ((w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	w->options = *options;
	return w;
}

void
witness_close(struct witness *w)
{
	struct request_entry *r;
	struct task_entry *t;
	size_t slot;

	if (w == NULL)
		return;
	for (slot = 0; slot < SLOTS; slot++) {
		while ((t = SLIST_FIRST(&w->tasks[slot])) != NULL) {
			SLIST_REMOVE_HEAD(&w->tasks[slot], link);
			free(t->task);
			free(t->starts);
			free(t);
		}
		while ((r = SLIST_FIRST(&w->requests[slot])) != NULL) {
			SLIST_REMOVE_HEAD(&w->requests[slot], link);
			free(r->id);
			free(r);
		}
	}
	free(w);
}

static struct task_entry *
find_task(struct witness *w, const char *task)
{
	struct task_entry *t;

	SLIST_FOREACH (t, &w->tasks[slot_of(task)], link) {
		if (strcmp(t->task, task) == 0)
			return t;
	}
	return NULL;
}

static struct task_entry *
add_task(struct witness *w, const char *task)
{
	struct task_entry *t;

	if (w->totals.tasks >= w->options.tasks_max)
		return NULL;
	if ((t = calloc(1, sizeof(*t))) == NULL)
		return NULL;
	if ((t->task = strdup(task)) == NULL) {
		free(t);
		return NULL;
	}
	SLIST_INSERT_HEAD(&w->tasks[slot_of(task)], t, link);
	w->totals.tasks++;
	return t;
}

static void
add_start(
    struct task_entry *t, int64_t attempt, const char *worker, int64_t now_ms)
{
	struct witness_start *grown;

	grown = reallocarray(t->starts, t->nstarts + 1, sizeof(*grown));
	if (grown == NULL)
		return;
	t->starts = grown;
	t->starts[t->nstarts].attempt = attempt;
	t->starts[t->nstarts].worker = worker;
	t->starts[t->nstarts].at_ms = now_ms;
	t->nstarts++;
}

void
witness_task_started(struct witness *w, const char *task, int64_t attempt,
    const char *worker, int64_t now_ms)
{
	struct task_entry *t;

	w->totals.starts++;
	if ((t = find_task(w, task)) == NULL &&
	    (t = add_task(w, task)) == NULL) {
		w->totals.not_kept++;
		return;
	}
	if (t->running > 0)
		w->totals.two_places++;
	t->running++;
	if (t->running > t->most_running)
		t->most_running = t->running;
	add_start(t, attempt, worker, now_ms);
}

void
witness_task_ended(struct witness *w, const char *task, bool done)
{
	struct task_entry *t;

	t = find_task(w, task);
	if (t != NULL && t->running > 0)
		t->running--;
	if (!done)
		return;
	if (t != NULL && t->ends_lost > 0) {
		t->ends_lost--;
		return;
	}
	w->totals.done++;
	if (t == NULL)
		return;
	if (t->done > 0)
		w->totals.done_again++;
	t->done++;
}

void
witness_end_lost(struct witness *w, const char *task)
{
	struct task_entry *t;

	if ((t = find_task(w, task)) != NULL)
		t->ends_lost++;
}

static struct request_entry *
find_request(struct witness *w, const char *id)
{
	struct request_entry *r;

	SLIST_FOREACH (r, &w->requests[slot_of(id)], link) {
		if (strcmp(r->id, id) == 0)
			return r;
	}
	return NULL;
}

static struct request_entry *
add_request(struct witness *w, const char *id)
{
	struct request_entry *r;

	if (w->totals.requests >= w->options.requests_max)
		return NULL;
	if ((r = calloc(1, sizeof(*r))) == NULL)
		return NULL;
	if ((r->id = strdup(id)) == NULL) {
		free(r);
		return NULL;
	}
	SLIST_INSERT_HEAD(&w->requests[slot_of(id)], r, link);
	w->totals.requests++;
	return r;
}

void
witness_request_ran(struct witness *w, const char *id, bool non_idempotent)
{
	struct request_entry *r;

	w->totals.calls++;
	if ((r = find_request(w, id)) == NULL &&
	    (r = add_request(w, id)) == NULL) {
		w->totals.not_kept++;
		return;
	}
	if (r->runs++ == 0)
		return;
	w->totals.ran_again++;
	if (non_idempotent || strncmp(id, "n-", 2) == 0)
		w->totals.non_idempotent_again++;
}

uint64_t
witness_request_runs(struct witness *w, const char *id)
{
	struct request_entry *r;

	r = find_request(w, id);
	return r == NULL ? 0 : r->runs;
}

void
witness_count(const struct witness *w, struct witness_totals *totals)
{
	*totals = w->totals;
}

void
witness_each_task(struct witness *w, witness_task_visit *visit, void *ctx)
{
	struct witness_task view;
	struct task_entry *t;
	size_t slot;

	for (slot = 0; slot < SLOTS; slot++) {
		SLIST_FOREACH (t, &w->tasks[slot], link) {
			view.task = t->task;
			view.running = t->running;
			view.most_running = t->most_running;
			view.done = t->done;
			view.starts = t->starts;
			view.nstarts = t->nstarts;
			visit(&view, ctx);
		}
	}
}

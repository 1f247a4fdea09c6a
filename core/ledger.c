#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ledger_int.h"

static struct ledger_task *task_new(const struct task_record *);
static enum ledger_error task_add(struct ledger *, struct ledger_task *);
static bool valid_id(const char *);
static void worker_free(struct ledger_worker *);
static void job_free(struct ledger *, struct ledger_job *);
static size_t cancel_task(struct ledger *, struct ledger_task *);

RB_GENERATE(ledger_tree, ledger_task, by_id, ledger_task_cmp)

int
ledger_task_cmp(struct ledger_task *a, struct ledger_task *b)
{
	int order;

	if ((order = strcmp(a->r.job, b->r.job)) != 0)
		return order;
	if (a->r.index != b->r.index)
		return a->r.index < b->r.index ? -1 : 1;
	return 0;
}

static bool
valid_id(const char *id)
{
	size_t len;

	len = strlen(id);
	return len > 0 && len < LEDGER_ID_MAX;
}

struct ledger *
ledger_open(const struct ledger_options *opt)
{
	struct ledger *l;

	if (opt->shard[0] == '\0' || strlen(opt->shard) >= LEDGER_SHARD_MAX ||
	    !valid_id(opt->self))
		return NULL;
	if ((l = calloc(1, sizeof(*l))) == NULL)
		return NULL;
	l->opt = *opt;
	strlcpy(l->shard, opt->shard, sizeof(l->shard));
	strlcpy(l->self, opt->self, sizeof(l->self));
	l->phase = LEDGER_ACQUIRING;
	RB_INIT(&l->tree);
	TAILQ_INIT(&l->pending);
	TAILQ_INIT(&l->ended);
	TAILQ_INIT(&l->jobs);
	TAILQ_INIT(&l->items);
	TAILQ_INIT(&l->workers);
	return l;
}

static void
worker_free(struct ledger_worker *w)
{
	struct ledger_ack *ack;

	while ((ack = TAILQ_FIRST(&w->acks)) != NULL) {
		TAILQ_REMOVE(&w->acks, ack, link);
		free(ack);
	}
	free(w);
}

void
ledger_close(struct ledger *l)
{
	struct ledger_task *t, *next;
	struct ledger_worker *w;
	struct ledger_item *item;
	struct ledger_job *job;

	if (l == NULL)
		return;
	RB_FOREACH_SAFE(t, ledger_tree, &l->tree, next)
	{
		RB_REMOVE(ledger_tree, &l->tree, t);
		free(t);
	}
	while ((w = TAILQ_FIRST(&l->workers)) != NULL) {
		TAILQ_REMOVE(&l->workers, w, link);
		worker_free(w);
	}
	while ((item = TAILQ_FIRST(&l->items)) != NULL) {
		TAILQ_REMOVE(&l->items, item, link);
		free(item->name);
		free(item);
	}
	while ((job = TAILQ_FIRST(&l->jobs)) != NULL) {
		TAILQ_REMOVE(&l->jobs, job, link);
		free(job);
	}
	free(l);
}

void
ledger_changed(struct ledger *l, struct ledger_task *t)
{
	t->changed_at = ++l->change;
}

bool
ledger_is_committed(const struct ledger *l, const struct ledger_task *t)
{
	return t->changed_at <= l->committed;
}

struct ledger_job *
ledger_job_get(struct ledger *l, const char *id)
{
	struct ledger_job *job;

	TAILQ_FOREACH (job, &l->jobs, link) {
		if (job->removed_at == 0 && strcmp(job->id, id) == 0)
			return job;
	}
	if ((job = calloc(1, sizeof(*job))) == NULL)
		return NULL;
	strlcpy(job->id, id, sizeof(job->id));
	TAILQ_INSERT_TAIL(&l->jobs, job, link);
	return job;
}

static void
job_free(struct ledger *l, struct ledger_job *job)
{
	TAILQ_REMOVE(&l->jobs, job, link);
	free(job);
}

static struct ledger_task *
task_new(const struct task_record *r)
{
	struct ledger_task *t;

	if ((t = calloc(1, sizeof(*t))) == NULL)
		return NULL;
	t->r = *r;
	t->reason = "accepted";
	return t;
}

static enum ledger_error
task_add(struct ledger *l, struct ledger_task *t)
{
	struct ledger_job *job;

	if (!valid_id(t->r.job))
		return LEDGER_ERR_ID;
	if (RB_FIND(ledger_tree, &l->tree, t) != NULL)
		return LEDGER_ERR_DUPLICATE;
	if ((job = ledger_job_get(l, t->r.job)) == NULL)
		return LEDGER_ERR_MEMORY;
	job->open++;
	RB_INSERT(ledger_tree, &l->tree, t);
	l->ntasks++;
	return LEDGER_OK;
}

enum ledger_error
ledger_load_task(struct ledger *l, const struct task_record *r)
{
	struct ledger_worker *w;
	struct ledger_task *t;
	enum ledger_error error;

	if ((t = task_new(r)) == NULL)
		return LEDGER_ERR_MEMORY;
	if ((error = task_add(l, t)) != LEDGER_OK) {
		free(t);
		return error;
	}
	if (r->worker[0] == '\0') {
		t->r.state = TASK_PENDING;
		ledger_insert_pending(l, t);
		return LEDGER_OK;
	}
	/* The VM list may lag behind the record: add the worker anyway. */
	if ((w = ledger_worker_find(l, r->worker)) == NULL)
		w = ledger_worker_set(
		    l, r->worker, &(struct resources){ 0, 0, 0 }, 0);
	if (w == NULL)
		return LEDGER_ERR_MEMORY;
	t->r.state = TASK_BOUND;
	t->run = RUN_UNFENCED;
	t->want = r->cancel ? WANT_STOP : WANT_RUN;
	t->reason = "waits_for_fence";
	t->worker = w;
	w->waiting++;
	TAILQ_INSERT_TAIL(&w->tasks, t, link);
	return LEDGER_OK;
}

enum ledger_error
ledger_load_job(struct ledger *l, const struct ledger_job *counts)
{
	struct ledger_job *job;

	if (!valid_id(counts->id))
		return LEDGER_ERR_ID;
	if ((job = ledger_job_get(l, counts->id)) == NULL)
		return LEDGER_ERR_MEMORY;
	job->done = counts->done;
	job->failed = counts->failed;
	job->cancelled = counts->cancelled;
	return LEDGER_OK;
}

struct ledger_worker *
ledger_worker_find(struct ledger *l, const char *id)
{
	struct ledger_worker *w;

	TAILQ_FOREACH (w, &l->workers, link) {
		if (strcmp(w->id, id) == 0)
			return w;
	}
	return NULL;
}

struct ledger_worker *
ledger_worker_set(struct ledger *l, const char *id,
    const struct resources *capacity, int64_t now_ms)
{
	struct ledger_worker *w;

	l->bind_at_ms = 0;
	if ((w = ledger_worker_find(l, id)) != NULL) {
		room_set_capacity(&w->room, capacity);
		w->gone = false;
		return w;
	}
	if (!valid_id(id) || (w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	strlcpy(w->id, id, sizeof(w->id));
	room_init(&w->room, capacity);
	w->heard_ms = now_ms;
	TAILQ_INIT(&w->tasks);
	TAILQ_INIT(&w->acks);
	TAILQ_INSERT_TAIL(&l->workers, w, link);
	return w;
}

void
ledger_worker_set_draining(struct ledger_worker *w, bool draining)
{
	w->draining = draining;
}

void
ledger_worker_gone(struct ledger_worker *w, int64_t now_ms)
{
	if (w->gone)
		return;
	w->gone = true;
	w->gone_ms = now_ms;
}

bool
ledger_worker_usable(const struct ledger_worker *w)
{
	return w->fenced && !w->draining && !w->gone && !w->lost;
}

struct ledger_task *
ledger_find(struct ledger *l, const char *job, uint32_t index)
{
	struct ledger_task key;

	if (strlcpy(key.r.job, job, sizeof(key.r.job)) >= sizeof(key.r.job))
		return NULL;
	key.r.index = index;
	return RB_FIND(ledger_tree, &l->tree, &key);
}

struct ledger_task *
ledger_find_id(struct ledger *l, const char *task)
{
	char job[LEDGER_ID_MAX];
	const char *slash, *error;
	uint32_t index;
	size_t len;

	if ((slash = strrchr(task, '/')) == NULL)
		return NULL;
	len = (size_t)(slash - task);
	if (len == 0 || len >= sizeof(job))
		return NULL;
	memcpy(job, task, len);
	job[len] = '\0';
	index = (uint32_t)strtonum(slash + 1, 0, UINT32_MAX, &error);
	return error == NULL ? ledger_find(l, job, index) : NULL;
}

void
ledger_task_id(const struct ledger_task *t, char *buf, size_t size)
{
	snprintf(buf, size, "%s/%u", t->r.job, t->r.index);
}

void
ledger_insert_pending(struct ledger *l, struct ledger_task *t)
{
	struct ledger_task *other;

	t->worker = NULL;
	if (!t->r.urgent) {
		TAILQ_INSERT_TAIL(&l->pending, t, link);
		return;
	}
	TAILQ_FOREACH (other, &l->pending, link) {
		if (!other->r.urgent) {
			TAILQ_INSERT_BEFORE(other, t, link);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&l->pending, t, link);
}

enum ledger_error
ledger_accept_item(struct ledger *l, const char *name, int64_t revision,
    uint32_t remaining_first, uint32_t remaining_count)
{
	struct ledger_item *item;

	if (l->phase != LEDGER_OWNED)
		return LEDGER_ERR_STATE;
	TAILQ_FOREACH (item, &l->items, link) {
		if (strcmp(item->name, name) == 0)
			return LEDGER_ERR_DUPLICATE;
	}
	if ((item = calloc(1, sizeof(*item))) == NULL)
		return LEDGER_ERR_MEMORY;
	if ((item->name = strdup(name)) == NULL) {
		free(item);
		return LEDGER_ERR_MEMORY;
	}
	item->revision = revision;
	item->remaining_first = remaining_first;
	item->remaining_count = remaining_count;
	item->changed_at = ++l->change;
	TAILQ_INSERT_TAIL(&l->items, item, link);
	return LEDGER_OK;
}

enum ledger_error
ledger_accept(struct ledger *l, const struct task_record *r)
{
	struct ledger_task *t;
	enum ledger_error error;

	if (l->phase != LEDGER_OWNED)
		return LEDGER_ERR_STATE;
	if ((t = task_new(r)) == NULL)
		return LEDGER_ERR_MEMORY;
	t->r.state = TASK_PENDING;
	t->r.worker[0] = '\0';
	if ((error = task_add(l, t)) != LEDGER_OK) {
		free(t);
		return error;
	}
	ledger_insert_pending(l, t);
	ledger_changed(l, t);
	return LEDGER_OK;
}

static size_t
cancel_task(struct ledger *l, struct ledger_task *t)
{
	if (t->r.cancel || t->r.state >= TASK_DONE)
		return 0;
	if (t->worker == NULL) {
		ledger_end_task(l, t, TASK_CANCELLED, "cancelled");
		return 1;
	}
	t->r.cancel = true;
	t->want = WANT_STOP;
	t->reason = "cancelled";
	ledger_changed(l, t);
	return 1;
}

size_t
ledger_cancel_job(struct ledger *l, const char *job)
{
	struct ledger_task key, *t;
	size_t n;

	if (l->phase != LEDGER_OWNED)
		return 0;
	if (strlcpy(key.r.job, job, sizeof(key.r.job)) >= sizeof(key.r.job))
		return 0;
	key.r.index = 0;
	n = 0;
	for (t = RB_NFIND(ledger_tree, &l->tree, &key);
	     t != NULL && strcmp(t->r.job, job) == 0;
	     t = RB_NEXT(ledger_tree, &l->tree, t))
		n += cancel_task(l, t);
	return n;
}

void
ledger_sweep(struct ledger *l)
{
	struct ledger_task *t, *next_t;
	struct ledger_item *item, *next_item;
	struct ledger_job *job, *next_job;

	TAILQ_FOREACH_SAFE(t, &l->ended, link, next_t)
	{
		if (!ledger_is_committed(l, t))
			continue;
		if (l->opt.actions->ended != NULL)
			l->opt.actions->ended(l, t, l->opt.ctx);
		TAILQ_REMOVE(&l->ended, t, link);
		RB_REMOVE(ledger_tree, &l->tree, t);
		free(t);
	}
	TAILQ_FOREACH_SAFE(item, &l->items, link, next_item)
	{
		if (item->changed_at > l->committed)
			continue;
		TAILQ_REMOVE(&l->items, item, link);
		free(item->name);
		free(item);
	}
	TAILQ_FOREACH_SAFE(job, &l->jobs, link, next_job)
	{
		if (job->removed_at != 0 && job->removed_at <= l->committed)
			job_free(l, job);
	}
}

const char *
task_state_name(enum task_state state)
{
	static const char *const names[] = { "pending", "bound", "running",
		"evicting", "done", "failed", "cancelled", "moved" };

	return names[state];
}

const char *
ledger_strerror(enum ledger_error error)
{
	static const char *const texts[] = { "ok", "out of memory",
		"identifier is empty or too long", "already exists",
		"not allowed in this state", "worker accepts no tasks",
		"no room on the worker" };

	return texts[error];
}

const char *
ledger_lost_name(enum ledger_lost reason)
{
	static const char *const names[] = { "conflict", "other_owner",
		"fenced", "released", "retake" };

	return names[reason];
}

#include <string.h>

#include "batch.h"
#include "counter.h"

/* Chooses a worker for a task with core/bind. */

#define WORKERS_MAX 2048 /* per shard */
#define WORK_REFRESH_MS 250 /* summing a worker's tasks is expensive */

struct bind_view {
	struct ledger *ledger;
	bool urgent;
	struct ledger_worker *workers[WORKERS_MAX];
	struct bind_worker *views[WORKERS_MAX];
	size_t n;
};

static void add_worker(struct bind_view *, struct ledger_worker *);
static int fits(void *, size_t, const struct resources *);
static struct ledger_worker *pick_ahead(struct bind_view *, struct batch *,
    const struct bind_task *, const struct bind_options *, int64_t);
static void update_work(struct batch *, const struct ledger_worker *, int64_t);
static struct ledger_worker *record_pick(
    struct bind_view *, const struct ledger_task *, struct bind_result);
static void set_reservation(struct bind_view *, struct batch *,
    struct ledger_task *, const struct batch_job *);
static void resources_max(struct resources *, const struct resources *);
static const char *wait_reason(
    struct bind_view *, const struct ledger_task *, enum bind_reason);
static void set_options(struct batch *, struct bind_options *);

static void
add_worker(struct bind_view *view, struct ledger_worker *w)
{
	struct batch_worker *bw;
	struct bind_worker *b;
	double pressure;
	size_t i;

	bw = w->data;
	if (bw == NULL || !ledger_worker_usable(w) || view->n == WORKERS_MAX)
		return;
	b = &bw->bind;
	b->capacity = w->room.capacity;
	b->reserved = w->room.used;
	b->draining = w->draining;
	b->tasks = TAILQ_EMPTY(&w->tasks) ? 0 : 1;
	pressure = 0;
	for (i = 0; i < bw->nservices; i++) {
		if (bw->services[i].state.pressure > pressure)
			pressure = bw->services[i].state.pressure;
	}
	b->pressure = pressure;
	view->workers[view->n] = w;
	view->views[view->n] = b;
	view->n++;
}

static int
fits(void *ctx, size_t index, const struct resources *size)
{
	struct bind_view *view;
	struct ledger_worker *w;

	view = ctx;
	w = view->workers[index];
	return (w->waiting == 0 || view->urgent) &&
	    room_check(&w->room, size) == ROOM_OK;
}

/*
 * Chooses a worker on which the task waits for room: the one that is expected
 * to run out of work first.
 */
static struct ledger_worker *
pick_ahead(struct bind_view *view, struct batch *b,
    const struct bind_task *task, const struct bind_options *options,
    int64_t now_ms)
{
	struct ledger_worker *w;
	struct bind_result result;
	enum room_error error;
	size_t i, n;

	n = 0;
	for (i = 0; i < view->n; i++) {
		w = view->workers[i];
		error = room_check(&w->room, &task->reserve);
		if (error == ROOM_ERR_TOO_LARGE || error == ROOM_ERR_RANGE ||
		    w->waiting >= view->ledger->opt.ahead ||
		    health_state(&view->views[i]->health, now_ms) != HEALTH_OK)
			continue;
		update_work(b, w, now_ms);
		view->workers[n] = w;
		view->views[n++] = view->views[i];
	}
	view->n = n;
	result =
	    bind_ahead(options, task, view->views, n, batch_random(b), now_ms);
	return result.index < 0 ? NULL : view->workers[result.index];
}

/*
 * Sums the remaining work of the tasks bound to the worker: milliseconds of
 * run time times CPUs (cpu_millis / 1000).
 */
static void
update_work(struct batch *b, const struct ledger_worker *w, int64_t now_ms)
{
	const struct batch_job *job;
	const struct ledger_task *t;
	struct batch_worker *bw;
	int64_t left_ms;

	bw = w->data;
	if (bw->work_at_ms != 0 && now_ms < bw->work_at_ms + WORK_REFRESH_MS)
		return;
	bw->work_at_ms = now_ms;
	bw->bind.work_ms = 0;
	TAILQ_FOREACH (t, &w->tasks, link) {
		job = record_find(b, t->r.job);
		left_ms = job == NULL ? t->r.run_ms :
					learn_run_ms(&job->learn, t->r.run_ms);
		if (t->run == RUN_YES)
			left_ms -= now_ms - t->running_since_ms;
		if (left_ms > 0)
			bw->bind.work_ms +=
			    left_ms * t->r.size.cpu_millis / 1000;
	}
}

/*
 * Reserves the learned size, since declared sizes are often far off.  The bind
 * writes it to the record, so that the next owner reserves the same.
 */
static void
set_reservation(struct bind_view *view, struct batch *b, struct ledger_task *t,
    const struct batch_job *job)
{
	const struct resources *declared;
	struct resources largest;
	size_t i;

	declared = &job->job.size;
	largest = *declared;
	for (i = 0; i < view->n; i++)
		resources_max(&largest, &view->workers[i]->room.capacity);
	/* Cap the learned size: the task must still fit some worker. */
	learn_reserve(b->learn, &job->learn, job->kind, declared, &largest, 0,
	    &t->r.size);
}

static void
resources_max(struct resources *r, const struct resources *other)
{
	if (other->cpu_millis > r->cpu_millis)
		r->cpu_millis = other->cpu_millis;
	if (other->memory_mib > r->memory_mib)
		r->memory_mib = other->memory_mib;
	if (other->accelerators > r->accelerators)
		r->accelerators = other->accelerators;
}

static const char *
wait_reason(struct bind_view *view, const struct ledger_task *t,
    enum bind_reason reason)
{
	size_t i;

	if (view->n == 0)
		return "no_worker";
	if (reason == BIND_ALL_FAILING)
		return "workers_failing";
	for (i = 0; i < view->n; i++) {
		if (room_check(&view->workers[i]->room, &t->r.size) !=
		    ROOM_ERR_TOO_LARGE)
			return "no_room";
	}
	return "too_large";
}

static void
set_options(struct batch *b, struct bind_options *o)
{
	const struct record_policy *policy;

	bind_options_default(o);
	o->ahead_ms = b->entry->opt.ahead_ms;
	policy = conf_policy(entry_conf(b->entry));
	weights_scale(policy, &o->tail_weight, &o->throughput_weight,
	    &o->eviction_weight);
}

static struct ledger_worker *
record_pick(struct bind_view *view, const struct ledger_task *t,
    struct bind_result result)
{
	if (result.reason == BIND_PROBE)
		health_probe_sent(&view->views[result.index]->health);
	counter_inc_reason("lagoonpin_binds",
	    t->worker == NULL ? bind_reason_text(result.reason) : "moved");
	return view->workers[result.index];
}

struct ledger_worker *
pick_worker(struct ledger *l, struct ledger_task *t, int64_t now_ms, void *ctx)
{
	static struct bind_view view;
	struct bind_options options;
	struct bind_task task = { 0 };
	enum quota_verdict quota;
	struct bind_result result;
	struct ledger_worker *w;
	struct batch_shard *s;
	struct batch_job *job;

	s = ctx;
	if (t->waits_since_ms == 0)
		t->waits_since_ms = now_ms;
	job = record_get(s->batch, t->r.job, now_ms);
	if (job == NULL || job->phase != RECORD_READY) {
		t->reason = "waits_for_job_record";
		return NULL;
	}
	view.ledger = l;
	view.urgent = t->r.urgent;
	view.n = 0;
	TAILQ_FOREACH (w, &l->workers, link)
		add_worker(&view, w);
	set_reservation(&view, s->batch, t, job);
	task.reserve = t->r.size;
	/* A bound task is already counted in the quota. */
	quota = t->worker != NULL ? QUOTA_OK : quota_check(s, job, &t->r.size);
	if (quota != QUOTA_OK) {
		t->reason =
		    quota == QUOTA_FULL ? "team_quota" : "team_quota_elsewhere";
		counter_inc_reason("lagoonpin_bind_waits", t->reason);
		return NULL;
	}
	task.kind = job->kind;
	task.urgent = t->r.urgent;
	task.resumed = t->r.evictions > 0;
	if (t->r.failures > 0 && t->r.last_worker[0] != '\0' && view.n > 1)
		task.avoid = batch_worker_hash(t->r.last_worker);
	if (t->worker != NULL)
		task.avoid = batch_worker_hash(t->worker->id);
	task.run_ms = learn_run_ms(&job->learn, t->r.run_ms);
	task.job_measured = (int)job->learn.cpu.count;
	task.accepted_ms = t->waits_since_ms;
	set_options(s->batch, &options);
	result = bind_pick(&options, &task, view.views, view.n, fits, NULL,
	    &view, batch_random(s->batch), now_ms);
	if (result.index >= 0)
		return record_pick(&view, t, result);
	if (t->worker != NULL)
		return NULL;
	t->reason = wait_reason(&view, t, result.reason);
	if (t->r.urgent || strcmp(t->reason, "no_room") != 0) {
		counter_inc_reason("lagoonpin_bind_waits", t->reason);
		return NULL;
	}
	w = pick_ahead(&view, s->batch, &task, &options, now_ms);
	counter_inc_reason(
	    w == NULL ? "lagoonpin_bind_waits" : "lagoonpin_binds",
	    w == NULL ? "no_room" : "ahead");
	return w;
}

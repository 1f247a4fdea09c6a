#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "counter.h"
#include "log.h"

/*
 * Protects services from tasks that slow them down, makes room for urgent
 * tasks, moves tasks that wait too long to other shards and fails tasks that
 * can never run.
 */

#define TASKS_MAX 128 /* candidates on one worker */
#define THROTTLE_TIMEOUT_MS 4000
#define URGENT_WAIT_MS 500 /* before a normal task is displaced */
#define MOVE_WAIT_MS 10000 /* doubles with each move */
#define MOVE_SHIFT_MAX 6
#define MOVES_PER_WRITE 20

static struct batch_service *service_get(struct batch_worker *, const char *);
static size_t view_tasks(struct batch_shard *, struct ledger_worker *,
    struct evict_task *, struct ledger_task **, int64_t);
static double calls_share(struct ledger *, const struct batch_service *);
static int throttle_percent(struct batch_worker *, const char *);
static void set_throttle(struct batch_worker *, const char *, uint32_t, int);
static void note_throttle(struct batch_worker *, const char *, uint32_t, int);
static void apply_action(struct batch_shard *, struct ledger_worker *,
    struct ledger_task *, const struct evict_result *);
static void set_options(struct batch_shard *, struct evict_options *);
static size_t count_evicting(struct ledger *);
static void displace_for_urgent(struct batch_shard *, int64_t);
static void displace(struct batch_shard *, const struct ledger_task *, int64_t);
static bool frees_enough(
    const struct ledger_task *, const struct ledger_task *);
static bool exceeds_all_vms(struct batch_shard *, const struct ledger_task *);
static bool has_large_enough_vm(
    const struct fleet_shard *, const struct resources *);
static int64_t move_wait_ms(const struct ledger_task *);
static bool move_to_shard(struct batch_shard *, struct ledger_task *);
static bool give_up(struct batch_shard *, struct ledger_task *);

static struct batch_service *
service_get(struct batch_worker *w, const char *name)
{
	struct batch_service *service;
	size_t i;

	for (i = 0; i < w->nservices; i++) {
		if (strcmp(w->services[i].name, name) == 0)
			return &w->services[i];
	}
	if (w->nservices == BATCH_SERVICES_MAX)
		return NULL;
	service = &w->services[w->nservices++];
	strlcpy(service->name, name, sizeof(service->name));
	return service;
}

void
evict_note_calls(struct batch_worker *w, const char *name, int64_t calls)
{
	struct batch_service *service;

	if ((service = service_get(w, name)) != NULL && calls >= 0)
		service->calls = calls;
}

/*
 * The calls of the service on this worker, relative to their mean over the
 * shard's workers that run the service; 0: unknown.
 */
static double
calls_share(struct ledger *l, const struct batch_service *service)
{
	const struct batch_worker *bw;
	const struct ledger_worker *w;
	double sum;
	size_t i, n;

	sum = 0;
	n = 0;
	TAILQ_FOREACH (w, &l->workers, link) {
		if ((bw = w->data) == NULL || !ledger_worker_usable(w))
			continue;
		for (i = 0; i < bw->nservices; i++) {
			if (strcmp(bw->services[i].name, service->name) != 0)
				continue;
			sum += (double)bw->services[i].calls;
			n++;
		}
	}
	return sum > 0 ? (double)service->calls * (double)n / sum : 0;
}

static int
throttle_percent(struct batch_worker *w, const char *task)
{
	struct batch_throttle *t;

	TAILQ_FOREACH (t, &w->throttles, link) {
		if (strcmp(t->task, task) == 0)
			return t->percent;
	}
	return 100;
}

void
evict_forget_throttles(struct batch_worker *w, const char *task)
{
	struct batch_throttle *t, *next;

	TAILQ_FOREACH_SAFE(t, &w->throttles, link, next)
	{
		if (strcmp(t->task, task) != 0)
			continue;
		TAILQ_REMOVE(&w->throttles, t, link);
		free(t);
	}
}

static void
set_throttle(
    struct batch_worker *w, const char *task, uint32_t attempt, int percent)
{
	struct batch_throttle *t;

	evict_forget_throttles(w, task);
	if (percent >= 100 || (t = calloc(1, sizeof(*t))) == NULL)
		return;
	strlcpy(t->task, task, sizeof(t->task));
	t->attempt = attempt;
	t->percent = percent;
	TAILQ_INSERT_TAIL(&w->throttles, t, link);
}

/* Estimates the throttled CPU use until the next measurement. */
static void
note_throttle(
    struct batch_worker *w, const char *task, uint32_t attempt, int percent)
{
	uint64_t tenant;
	int64_t cpu_millis;

	tenant = task_tenant(task, attempt);
	cpu_millis = learn_tenant_cpu(w->learn, tenant) * percent /
	    throttle_percent(w, task);
	learn_tenant_used(w->learn, tenant, cpu_millis);
	set_throttle(w, task, attempt, percent);
}

static size_t
view_tasks(struct batch_shard *s, struct ledger_worker *w,
    struct evict_task *views, struct ledger_task **tasks, int64_t now_ms)
{
	char id[LEDGER_TASK_ID_MAX];
	struct batch_worker *bw;
	struct evict_task *view;
	struct ledger_task *t;
	struct batch_job *job;
	size_t n;

	bw = w->data;
	n = 0;
	TAILQ_FOREACH (t, &w->tasks, link) {
		if (t->run != RUN_YES || t->want != WANT_RUN || n == TASKS_MAX)
			continue;
		job = record_find(s->batch, t->r.job);
		if (job == NULL || job->phase != RECORD_READY)
			continue;
		ledger_task_id(t, id, sizeof(id));
		view = &views[n];
		memset(view, 0, sizeof(*view));
		view->tenant = task_tenant(id, t->r.attempt);
		view->kind = job->kind;
		view->cpu_millis = learn_tenant_cpu(bw->learn, view->tenant);
		view->unsaved_ms = now_ms - t->running_since_ms;
		view->run_ms = learn_run_ms(&job->learn, t->r.run_ms);
		view->evictions = (int)t->r.evictions;
		if (job->job.max_evictions > 0)
			view->max_evictions = (int)job->job.max_evictions;
		view->percent = throttle_percent(bw, id);
		view->urgent = t->r.urgent;
		tasks[n++] = t;
	}
	return n;
}

static void
set_options(struct batch_shard *s, struct evict_options *o)
{
	const struct record_policy *policy;

	evict_options_default(o);
	policy = conf_policy(entry_conf(s->batch->entry));
	weights_scale(policy, &o->tail_weight, &o->throughput_weight,
	    &o->eviction_weight);
	if (policy->protect_after > 0)
		o->max_evictions = (int)policy->protect_after;
}

static void
apply_action(struct batch_shard *s, struct ledger_worker *w,
    struct ledger_task *t, const struct evict_result *result)
{
	char id[LEDGER_TASK_ID_MAX];

	ledger_task_id(t, id, sizeof(id));
	counter_inc_reason(
	    "lagoonpin_protections", evict_action_text(result->action));
	log_info("protect",
	    "action=%s job=%s task=%u attempt=%u worker=%s shard=%s epoch=%llu "
	    "percent=%d reason=\"%s\"",
	    evict_action_text(result->action), t->r.job, t->r.index,
	    t->r.attempt, w->id, s->name, (unsigned long long)s->ledger->epoch,
	    result->percent, evict_reason_text(result->reason));
	switch (result->action) {
	case EVICT_THROTTLE:
	case EVICT_RELEASE:
		note_throttle(w->data, id, t->r.attempt, result->percent);
		call_worker(s, WORKER_THROTTLE, w, id, t->r.attempt,
		    json_pack("{s:i}", "percent", result->percent),
		    THROTTLE_TIMEOUT_MS);
		break;
	case EVICT_CHECKPOINT:
		(void)ledger_evict(
		    s->ledger, t, WANT_CHECKPOINT, "protects_service");
		break;
	case EVICT_STOP:
		(void)ledger_evict(s->ledger, t, WANT_STOP, "protects_service");
		break;
	case EVICT_NOTHING:
		break;
	}
}

void
evict_on_measurement(struct batch_shard *s, struct ledger_worker *w,
    const char *name, double p99_ms, int64_t measured_ms, int64_t now_ms)
{
	struct evict_task views[TASKS_MAX];
	struct ledger_task *tasks[TASKS_MAX];
	const struct record_service *record;
	struct evict_options options;
	struct evict_result result;
	struct batch_service *service;
	struct batch_worker *bw;
	int64_t hold_off_ms;
	size_t n;

	bw = w->data;
	if ((service = service_get(bw, name)) == NULL ||
	    !ledger_may_send(s->ledger, now_ms))
		return;
	set_options(s, &options);
	record = conf_service(entry_conf(s->batch->entry), name);
	service->state.kind = learn_kind(s->batch->learn, name);
	learn_mark_service(s->batch->learn, service->state.kind);
	service->state.calls_share = calls_share(s->ledger, service);
	service->state.capacity_cpu_millis = w->room.capacity.cpu_millis;
	service->state.used_cpu_millis = learn_cpu_millis(bw->learn);
	service->state.target_p99_ms =
	    record == NULL ? 0 : (double)record->target_p99_ms;
	evict_measured(&options, &service->state, p99_ms, measured_ms);
	n = view_tasks(s, w, views, tasks, now_ms);
	result = evict_decide(
	    &options, &service->state, bw->learn, views, n, now_ms);
	if (result.action == EVICT_NOTHING || result.index < 0) {
		counter_inc_reason("lagoonpin_protect_waits",
		    evict_reason_text(result.reason));
		return;
	}
	if (result.action == EVICT_CHECKPOINT || result.action == EVICT_STOP) {
		/* Keep load peaks from evicting all tasks of a VM in turn. */
		hold_off_ms =
		    conf_policy(entry_conf(s->batch->entry))->hold_off_ms;
		if (bw->evicted_ms != 0 &&
		    now_ms - bw->evicted_ms < hold_off_ms) {
			counter_inc_reason(
			    "lagoonpin_protect_waits", "hold_off");
			return;
		}
		bw->evicted_ms = now_ms;
	}
	apply_action(s, w, tasks[result.index], &result);
}

/* Counts the tasks being evicted; each makes room for a waiting task. */
static size_t
count_evicting(struct ledger *l)
{
	struct ledger_worker *w;
	struct ledger_task *t;
	size_t n;

	n = 0;
	TAILQ_FOREACH (w, &l->workers, link) {
		TAILQ_FOREACH (t, &w->tasks, link)
			n += t->want != WANT_RUN;
	}
	return n;
}

/* Whether the urgent task would fit on the victim's worker without it. */
static bool
frees_enough(const struct ledger_task *urgent, const struct ledger_task *victim)
{
	struct room room;

	room = victim->worker->room;
	if (room_release(&room, &victim->r.size) != ROOM_OK)
		return false;
	return room_check(&room, &urgent->r.size) == ROOM_OK;
}

/*
 * Checkpoints a normal task to make room for the urgent one: of those that
 * free enough room, the one that started last, as it loses the least work.
 */
static void
displace(
    struct batch_shard *s, const struct ledger_task *urgent, int64_t now_ms)
{
	struct evict_options options;
	struct ledger_task *t, *best;
	struct ledger_worker *w;

	set_options(s, &options);
	best = NULL;
	TAILQ_FOREACH (w, &s->ledger->workers, link) {
		if (!ledger_worker_usable(w))
			continue;
		TAILQ_FOREACH (t, &w->tasks, link) {
			if (t->r.urgent || t->run != RUN_YES ||
			    t->want != WANT_RUN ||
			    t->r.evictions >= (uint32_t)options.max_evictions ||
			    !frees_enough(urgent, t))
				continue;
			if (best == NULL ||
			    t->running_since_ms > best->running_since_ms)
				best = t;
		}
	}
	if (best == NULL) {
		counter_inc_reason("lagoonpin_displacements", "no_victim");
		return;
	}
	counter_inc_reason("lagoonpin_displacements", "urgent");
	log_info("task_displaced",
	    "job=%s task=%u attempt=%u worker=%s shard=%s epoch=%llu for=%s/%u "
	    "waited_ms=%lld",
	    best->r.job, best->r.index, best->r.attempt, best->r.worker,
	    s->name, (unsigned long long)s->ledger->epoch, urgent->r.job,
	    urgent->r.index, (long long)(now_ms - urgent->waits_since_ms));
	(void)ledger_evict(s->ledger, best, WANT_CHECKPOINT, "urgent_waits");
}

static void
displace_for_urgent(struct batch_shard *s, int64_t now_ms)
{
	struct ledger_task *t;
	size_t evicting;

	t = TAILQ_FIRST(&s->ledger->pending);
	if (t == NULL || !t->r.urgent)
		return;
	evicting = count_evicting(s->ledger);
	TAILQ_FOREACH (t, &s->ledger->pending, link) {
		if (!t->r.urgent)
			break;
		if (t->waits_since_ms == 0 ||
		    now_ms - t->waits_since_ms < URGENT_WAIT_MS ||
		    strcmp(t->reason, "no_room") != 0)
			continue;
		if (evicting > 0)
			evicting--;
		else
			displace(s, t, now_ms);
	}
}

static bool
exceeds_all_vms(struct batch_shard *s, const struct ledger_task *t)
{
	struct vm_list *vms;
	struct vm *v;

	vms = fleet_vms(s->batch->entry->fleet);
	TAILQ_FOREACH (v, vms, link) {
		if (v->info.kind == VM_WORKER && v->info.state != VM_GONE &&
		    t->r.size.cpu_millis <= v->info.cpu_millis &&
		    t->r.size.memory_mib <= v->info.memory_mib &&
		    t->r.size.accelerators <= v->info.accelerators)
			return false;
	}
	return !TAILQ_EMPTY(vms);
}

/* Whether the shard has a live VM that is large enough. */
static bool
has_large_enough_vm(
    const struct fleet_shard *rack, const struct resources *size)
{
	const struct vm *v;

	TAILQ_FOREACH (v, &rack->workers, shard_link) {
		if (v->info.state == VM_LIVE &&
		    size->cpu_millis <= v->info.cpu_millis &&
		    size->memory_mib <= v->info.memory_mib &&
		    size->accelerators <= v->info.accelerators)
			return true;
	}
	return false;
}

/* Moves the task to a random other shard where its team may run it. */
static bool
move_to_shard(struct batch_shard *s, struct ledger_task *t)
{
	const char *shards[BATCH_SHARDS_MAX], *chosen;
	const struct batch_job *job;
	const struct fleet_shard *rack;
	size_t i, n;
	uint64_t seen;

	job = record_find(s->batch, t->r.job);
	if (job == NULL || job->phase != RECORD_READY)
		return false;
	chosen = NULL;
	seen = 0;
	n = quota_shards(s->batch, job->job.team, shards, BATCH_SHARDS_MAX);
	for (i = 0; i < n; i++) {
		rack = fleet_find_shard(s->batch->entry->fleet, shards[i]);
		if (strcmp(shards[i], s->name) != 0 &&
		    has_large_enough_vm(rack, &t->r.size) &&
		    batch_random(s->batch) % ++seen == 0)
			chosen = shards[i];
	}
	if (chosen == NULL)
		return false;
	log_info("task_moved",
	    "job=%s task=%u attempt=%u shard=%s epoch=%llu "
	    "to=%s reason=%s",
	    t->r.job, t->r.index, t->r.attempt, s->name,
	    (unsigned long long)s->ledger->epoch, chosen, t->reason);
	counter_inc_reason("lagoonpin_task_moves", t->reason);
	return ledger_move(s->ledger, t, chosen) == LEDGER_OK;
}

/* How long a task waits here before it moves to another shard. */
static int64_t
move_wait_ms(const struct ledger_task *t)
{
	uint32_t shift;

	if (t->r.moves == 0 && strcmp(t->reason, "team_quota_elsewhere") == 0)
		return 0;
	shift = t->r.moves > MOVE_SHIFT_MAX ? MOVE_SHIFT_MAX : t->r.moves;
	return (int64_t)MOVE_WAIT_MS << shift;
}

static bool
give_up(struct batch_shard *s, struct ledger_task *t)
{
	struct health_options options;
	struct batch_job *job;
	const char *reason;

	reason = NULL;
	job = record_find(s->batch, t->r.job);
	if (strcmp(t->reason, "too_large") == 0 && exceeds_all_vms(s, t))
		reason = "larger_than_any_vm";
	if (reason == NULL && job != NULL && job->phase == RECORD_READY) {
		health_options_default(&options);
		if (health_evaluate(&options, &job->health, &t->r.size,
			&t->r.size) == HEALTH_FAILS_EVERYWHERE)
			reason = "fails_everywhere";
	}
	if (reason == NULL)
		return false;
	log_warn("task_given_up",
	    "job=%s task=%u attempt=%u shard=%s epoch=%llu reason=%s", t->r.job,
	    t->r.index, t->r.attempt, s->name,
	    (unsigned long long)s->ledger->epoch, reason);
	counter_inc_reason("lagoonpin_tasks_given_up", reason);
	return ledger_give_up(s->ledger, t, reason) == LEDGER_OK;
}

void
evict_tick(struct batch_shard *s, int64_t now_ms)
{
	struct ledger_task *t, *next;
	int64_t waited_ms;
	int moves;

	if (s->ledger == NULL || s->lost || s->ledger->store_unavailable ||
	    !ledger_may_send(s->ledger, now_ms))
		return;
	moves = 0;
	TAILQ_FOREACH (t, &s->ledger->ended, link)
		moves += t->r.state == TASK_MOVED;
	displace_for_urgent(s, now_ms);
	TAILQ_FOREACH_SAFE(t, &s->ledger->pending, link, next)
	{
		if (t->waits_since_ms == 0 || give_up(s, t))
			continue;
		waited_ms = now_ms - t->waits_since_ms;
		if (moves < MOVES_PER_WRITE && waited_ms >= move_wait_ms(t) &&
		    strcmp(t->reason, "failed") != 0 && move_to_shard(s, t))
			moves++;
	}
}

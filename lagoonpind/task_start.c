#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "counter.h"
#include "log.h"

/* Starts, stops and checkpoints tasks on their workers. */

#define TASK_TIMEOUT_MS 4000
#define CHECKPOINT_TIMEOUT_MS 30000

static void log_task(
    const char *, struct batch_shard *, const struct ledger_task *);
static json_t *start_body(
    struct batch_shard *, const struct ledger_task *, const struct batch_job *);
static void on_started(struct batch_shard *, const struct worker_call *,
    enum call_result, int64_t);
static void on_checkpointed(struct batch_shard *, const struct worker_call *,
    enum call_result, const json_t *, int64_t);

static void
log_task(const char *event, struct batch_shard *s, const struct ledger_task *t)
{
	log_info(event,
	    "job=%s task=%u attempt=%u worker=%s shard=%s epoch=%llu reason=%s",
	    t->r.job, t->r.index, t->r.attempt, t->r.worker, s->name,
	    (unsigned long long)s->ledger->epoch, t->reason);
}

static json_t *
start_body(struct batch_shard *s, const struct ledger_task *t,
    const struct batch_job *job)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:o, s:s}", "lease_ms",
	    (json_int_t)s->batch->entry->opt.lease_ms, "cpu_millis",
	    (json_int_t)t->r.size.cpu_millis, "memory_mib",
	    (json_int_t)t->r.size.memory_mib, "accelerators",
	    (json_int_t)t->r.size.accelerators, "payload",
	    json_loads(job->job.payload, 0, NULL), "checkpoint",
	    t->r.checkpoint);
}

void
start_task(struct ledger *l, struct ledger_task *t, void *ctx)
{
	char id[LEDGER_TASK_ID_MAX];
	struct batch_shard *s;
	struct batch_job *job;

	(void)l;
	s = ctx;
	ledger_task_id(t, id, sizeof(id));
	job = record_get(s->batch, t->r.job, t->worker->lease_sent_ms);
	if (job == NULL || job->phase != RECORD_READY) {
		counter_inc_reason("lagoonpin_start_waits", "job_record");
		call_not_ready(s, WORKER_START, t->worker, id, t->r.attempt);
		return;
	}
	log_task("task_start", s, t);
	call_worker(s, WORKER_START, t->worker, id, t->r.attempt,
	    start_body(s, t, job), TASK_TIMEOUT_MS);
}

void
stop_task(struct ledger *l, struct ledger_task *t, void *ctx)
{
	char id[LEDGER_TASK_ID_MAX];

	(void)l;
	ledger_task_id(t, id, sizeof(id));
	log_task("task_stop", ctx, t);
	call_worker(ctx, WORKER_STOP, t->worker, id, t->r.attempt,
	    json_object(), TASK_TIMEOUT_MS);
}

void
checkpoint_task(struct ledger *l, struct ledger_task *t, void *ctx)
{
	char id[LEDGER_TASK_ID_MAX];

	(void)l;
	ledger_task_id(t, id, sizeof(id));
	log_task("task_checkpoint", ctx, t);
	counter_inc_reason("lagoonpin_evictions", t->reason);
	call_worker(ctx, WORKER_CHECKPOINT, t->worker, id, t->r.attempt,
	    json_object(), CHECKPOINT_TIMEOUT_MS);
}

void
stop_stray(struct ledger *l, struct ledger_worker *w, const char *task,
    uint32_t attempt, void *ctx)
{
	struct batch_shard *s;

	s = ctx;
	counter_inc("lagoonpin_tasks_stray", "");
	log_warn("task_stray",
	    "task=%s attempt=%u worker=%s shard=%s epoch=%llu", task, attempt,
	    w->id, s->name, (unsigned long long)l->epoch);
	call_worker(s, WORKER_STOP_STRAY, w, task, attempt, json_object(),
	    TASK_TIMEOUT_MS);
}

static void
on_started(struct batch_shard *s, const struct worker_call *c,
    enum call_result result, int64_t now_ms)
{
	struct batch_worker *w;
	struct ledger_task *t;
	struct batch_job *job;

	ledger_start_answered(s->ledger, c->task, c->attempt, result, now_ms);
	if (result != RESULT_OK)
		return;
	t = ledger_find_id(s->ledger, c->task);
	if (t == NULL || t->worker == NULL || t->r.attempt != c->attempt)
		return;
	counter_inc("lagoonpin_tasks_started", "");
	w = t->worker->data;
	job = record_find(s->batch, t->r.job);
	if (w != NULL && job != NULL)
		learn_tenant_start(w->learn, task_tenant(c->task, c->attempt),
		    job->kind, t->r.size.cpu_millis, now_ms);
}

static void
on_checkpointed(struct batch_shard *s, const struct worker_call *c,
    enum call_result result, const json_t *body, int64_t now_ms)
{
	const char *token;

	token = json_string_value(json_object_get(body, "checkpoint"));
	if (result == RESULT_OK &&
	    (token == NULL || strlen(token) >= LEDGER_CHECKPOINT_MAX)) {
		/* The task has stopped; without a token it restarts. */
		counter_inc_reason("lagoonpin_checkpoints_lost", "bad_token");
		token = "";
	}
	ledger_checkpoint_answered(s->ledger, c->task, c->attempt, result,
	    token == NULL ? "" : token,
	    json_integer_value(json_object_get(body, "progress_ms")), now_ms);
	if (result == RESULT_OK)
		finish_attempt(s, c->worker, c->task, c->attempt, now_ms);
}

void
start_answered(struct batch_shard *s, const struct worker_call *c,
    enum call_result result, json_t *body, int64_t now_ms)
{
	switch (c->kind) {
	case WORKER_START:
		on_started(s, c, result, now_ms);
		break;
	case WORKER_STOP:
		ledger_stop_answered(
		    s->ledger, c->task, c->attempt, result, now_ms);
		if (result == RESULT_OK)
			finish_attempt(
			    s, c->worker, c->task, c->attempt, now_ms);
		break;
	case WORKER_CHECKPOINT:
		on_checkpointed(s, c, result, body, now_ms);
		break;
	default:
		break;
	}
}

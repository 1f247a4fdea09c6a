#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "counter.h"
#include "log.h"

/* Fences workers, renews their leases and processes their reports. */

#define FENCE_TIMEOUT_MS 3000
#define RENEW_TIMEOUT_MS 4000 /* plus the worker's wait */
#define MISSED_TARGET_WAIT_MS 1000 /* while a service misses its target */
#define SERVICE_WINDOW_MS 2000 /* a worker's measuring window of a service */

struct report_list {
	struct ledger_report *reports;
	size_t n;
};

static int64_t renew_wait_ms(
    struct batch_shard *, const struct ledger_worker *);
static struct report_list parse_reports(const json_t *, const char *);
static enum task_outcome parse_outcome(const json_t *);
static void record_usage(
    struct batch_shard *, struct batch_worker *, const json_t *, int64_t);
static void record_services(
    struct batch_shard *, struct ledger_worker *, const json_t *, int64_t);
static struct credit_amount parse_used(const json_t *);
static void parse_older(const json_t *, struct credit_usage *);
static void on_fenced(
    struct batch_shard *, struct ledger_worker *, const json_t *, int64_t);
static void on_renewed(
    struct batch_shard *, struct ledger_worker *, const json_t *, int64_t);

void
fence_worker(struct ledger *l, struct ledger_worker *w, void *ctx)
{
	(void)l;
	call_worker(
	    ctx, WORKER_FENCE, w, "", 0, json_object(), FENCE_TIMEOUT_MS);
}

/*
 * How long the worker may hold a renewal.  Its response carries measurements:
 * where a service misses its target, a shorter wait shows sooner whether the
 * last action helped.
 */
static int64_t
renew_wait_ms(struct batch_shard *s, const struct ledger_worker *w)
{
	const struct batch_worker *bw;
	int64_t wait_ms;
	size_t i;

	wait_ms = s->batch->entry->opt.renew_ms;
	bw = w->data;
	for (i = 0; bw != NULL && i < bw->nservices; i++) {
		if (bw->services[i].state.pressure > 0 &&
		    bw->services[i].state.target_p99_ms > 0 &&
		    bw->services[i].state.excess > 1 &&
		    wait_ms > MISSED_TARGET_WAIT_MS)
			wait_ms = MISSED_TARGET_WAIT_MS;
	}
	return wait_ms;
}

void
renew_worker(struct ledger *l, struct ledger_worker *w, void *ctx)
{
	struct batch_shard *s;
	struct ledger_ack *ack;
	json_t *body, *acks;
	int64_t wait_ms;

	s = ctx;
	wait_ms = renew_wait_ms(s, w);
	acks = json_array();
	TAILQ_FOREACH (ack, &w->acks, link) {
		if (!ack->sent)
			continue;
		json_array_append_new(acks,
		    json_pack("{s:s, s:I}", "task", ack->task, "attempt",
			(json_int_t)ack->attempt));
	}
	body = json_pack("{s:I, s:I, s:o}", "lease_ms",
	    (json_int_t)l->opt.lease_ms, "wait_ms", (json_int_t)wait_ms,
	    "acked", acks);
	call_worker(
	    s, WORKER_RENEW, w, "", 0, body, wait_ms + RENEW_TIMEOUT_MS);
}

static enum task_outcome
parse_outcome(const json_t *o)
{
	const char *outcome;

	outcome = json_string_value(json_object_get(o, "outcome"));
	if (outcome != NULL && strcmp(outcome, "done") == 0)
		return OUTCOME_DONE;
	if (outcome != NULL && strcmp(outcome, "failed") == 0)
		return OUTCOME_FAILED;
	return OUTCOME_INTERRUPTED;
}

/* Parses a list of attempts; its strings point into the JSON. */
static struct report_list
parse_reports(const json_t *body, const char *name)
{
	struct report_list list = { NULL, 0 };
	const json_t *array, *o;
	const char *task;
	size_t i, n;

	array = json_object_get(body, name);
	n = json_array_size(array);
	if (n == 0 || (list.reports = calloc(n, sizeof(*list.reports))) == NULL)
		return list;
	for (i = 0; i < n; i++) {
		o = json_array_get(array, i);
		task = json_string_value(json_object_get(o, "task"));
		if (task == NULL)
			continue;
		list.reports[list.n].task = task;
		list.reports[list.n].attempt =
		    (uint32_t)json_integer_value(json_object_get(o, "attempt"));
		list.reports[list.n].outcome = parse_outcome(o);
		list.n++;
	}
	return list;
}

static struct credit_amount
parse_used(const json_t *body)
{
	struct credit_amount used;

	used.slots =
	    (int)json_integer_value(json_object_get(body, "slots_used"));
	used.connections =
	    (int)json_integer_value(json_object_get(body, "connections_used"));
	return used;
}

/*
 * Parses the use by calls of lower epochs, which a worker may count separately.
 * With the total alone, the slots of calls that ran at the fence are recovered
 * only when the endpoint is idle for a moment, which hardly happens under load.
 */
static void
parse_older(const json_t *body, struct credit_usage *usage)
{
	const json_t *slots, *connections;

	slots = json_object_get(body, "older_slots_used");
	connections = json_object_get(body, "older_connections_used");
	if (!json_is_integer(slots) || !json_is_integer(connections))
		return;
	usage->has_older = true;
	usage->older.slots = (int)json_integer_value(slots);
	usage->older.connections = (int)json_integer_value(connections);
}

static void
on_fenced(struct batch_shard *s, struct ledger_worker *w, const json_t *body,
    int64_t now_ms)
{
	struct report_list running, finished;
	bool first;

	first = !w->fenced;
	running = parse_reports(body, "tasks");
	finished = parse_reports(body, "finished");
	ledger_fence_answered(s->ledger, w, running.reports, running.n,
	    finished.reports, finished.n, now_ms);
	free(running.reports);
	free(finished.reports);
	if (!first)
		return;
	counter_inc("lagoonpin_workers_fenced", "");
	log_info("worker_fenced",
	    "worker=%s shard=%s epoch=%llu running=%zu finished=%zu", w->id,
	    s->name, (unsigned long long)s->ledger->epoch, running.n,
	    finished.n);
	lend_issue(s->batch->entry, w->id, s->ledger->epoch, parse_used(body));
}

static void
record_usage(struct batch_shard *s, struct batch_worker *bw, const json_t *body,
    int64_t now_ms)
{
	struct resources used;
	struct ledger_task *t;
	struct batch_job *job;
	const json_t *o;
	const char *task;
	size_t i;

	(void)now_ms;
	json_array_foreach(json_object_get(body, "usage"), i, o)
	{
		task = json_string_value(json_object_get(o, "task"));
		if (task == NULL ||
		    (t = ledger_find_id(s->ledger, task)) == NULL ||
		    t->worker == NULL || t->worker->data != bw)
			continue;
		if ((job = record_find(s->batch, t->r.job)) == NULL ||
		    job->phase != RECORD_READY)
			continue;
		used = job->job.size;
		used.cpu_millis =
		    json_integer_value(json_object_get(o, "cpu_millis"));
		used.memory_mib =
		    json_integer_value(json_object_get(o, "memory_mib"));
		learn_usage(s->batch->learn, &job->learn, job->kind,
		    &job->job.size, &used);
		learn_tenant_used(bw->learn, task_tenant(task, t->r.attempt),
		    used.cpu_millis);
	}
}

static void
record_services(struct batch_shard *s, struct ledger_worker *w,
    const json_t *body, int64_t now_ms)
{
	struct batch_worker *bw;
	const json_t *o;
	const char *name;
	int64_t measured_ms, calls;
	double p99_ms;
	size_t i;

	bw = w->data;
	json_array_foreach(json_object_get(body, "services"), i, o)
	{
		name = json_string_value(json_object_get(o, "service"));
		if (name == NULL)
			continue;
		calls = json_integer_value(json_object_get(o, "calls"));
		evict_note_calls(bw, name, calls);
		if (calls == 0)
			continue;
		p99_ms = json_number_value(json_object_get(o, "p99_ms"));
		measured_ms = now_ms -
		    json_integer_value(json_object_get(o, "measured_ms_ago"));
		learn_service_p99(bw->learn, learn_kind(s->batch->learn, name),
		    p99_ms, measured_ms, SERVICE_WINDOW_MS);
		evict_on_measurement(s, w, name, p99_ms, measured_ms, now_ms);
	}
}

static void
on_renewed(struct batch_shard *s, struct ledger_worker *w, const json_t *body,
    int64_t now_ms)
{
	struct credit_usage usage = { 0 };
	struct report_list running, finished;

	running = parse_reports(body, "tasks");
	finished = parse_reports(body, "finished");
	if (w->data != NULL) {
		record_usage(s, w->data, body, now_ms);
		record_services(s, w, body, now_ms);
	}
	ledger_renew_answered(s->ledger, w, running.reports, running.n,
	    finished.reports, finished.n, now_ms);
	free(running.reports);
	free(finished.reports);
	usage.used = parse_used(body);
	parse_older(body, &usage);
	lend_report(s->batch->entry, w->id, s->ledger->epoch, &usage);
}

void
watch_answered(struct batch_shard *s, const struct worker_call *c,
    enum call_result result, json_t *body, int64_t now_ms)
{
	struct ledger_worker *w;
	bool lost;

	if ((w = ledger_worker_find(s->ledger, c->worker)) == NULL)
		return;
	if (result == RESULT_OK) {
		if (c->kind == WORKER_FENCE)
			on_fenced(s, w, body, now_ms);
		else
			on_renewed(s, w, body, now_ms);
		return;
	}
	lost = w->lost;
	if (c->kind == WORKER_FENCE)
		ledger_fence_failed(s->ledger, w, now_ms);
	else
		ledger_renew_failed(s->ledger, w, now_ms);
	if (w->lost && !lost) {
		counter_inc("lagoonpin_workers_lost", "");
		log_warn("worker_lost", "worker=%s shard=%s epoch=%llu", w->id,
		    s->name, (unsigned long long)s->ledger->epoch);
	}
}

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "clock.h"

/* Lists and explains shards, workers and tasks for the operators' API. */

#define RETRY_AFTER_S 5
#define EXPLAIN_MAX 1000 /* tasks of a job in one response */

struct task_query {
	struct pending_request request;
	char job[LEDGER_ID_MAX]; /* "" for all */
};

static json_t *shard_json(struct batch *, struct fleet_shard *);
static void list_shards(struct entry *, struct httpd_request *);
static void list_workers(struct entry *, struct httpd_request *);
static json_t *worker_json(struct batch *, const struct vm *);
static void list_tasks(struct entry *, struct httpd_request *);
static void on_ledgers(const struct store_range_result *, void *);
static void add_record(
    json_t *, const char *, const struct ledger_doc *, const char *);
static void add_owned(json_t *, struct batch_shard *, const char *);
static json_t *explain_task(struct batch_shard *, const struct ledger_task *);

bool
state_http(struct entry *e, struct httpd_request *r)
{
	const char *path;

	if (strcmp(httpd_method(r), "GET") != 0)
		return false;
	path = httpd_path(r);
	if (strcmp(path, "/v1/shards") == 0)
		list_shards(e, r);
	else if (strcmp(path, "/v1/workers") == 0)
		list_workers(e, r);
	else if (strcmp(path, "/v1/tasks") == 0)
		list_tasks(e, r);
	else
		return false;
	return true;
}

static json_t *
shard_json(struct batch *b, struct fleet_shard *rack)
{
	const struct member_shard *hint;
	struct batch_shard *s;
	const char *owner;
	uint64_t epoch;
	json_t *o;

	owner = "";
	epoch = 0;
	s = batch_shard_find(b, rack->name);
	hint = member_shard_owner(mesh_members(b->entry), rack->name);
	if (s != NULL && s->ledger != NULL &&
	    s->ledger->phase == LEDGER_OWNED) {
		owner = b->entry->opt.id;
		epoch = s->ledger->epoch;
	} else if (hint != NULL) {
		owner = hint->owner;
		epoch = hint->epoch;
	}
	o = json_pack("{s:s, s:s, s:I, s:I}", "shard", rack->name, "owner",
	    owner, "epoch", (json_int_t)epoch, "workers",
	    (json_int_t)rack->nworkers);
	if (s != NULL && s->ledger != NULL)
		json_object_set_new(
		    o, "tasks", json_integer((json_int_t)s->ledger->ntasks));
	return o;
}

static void
list_shards(struct entry *e, struct httpd_request *r)
{
	struct fleet_shard *rack;
	json_t *list;

	list = json_array();
	TAILQ_FOREACH (rack, fleet_racks(e->fleet), link)
		json_array_append_new(list, shard_json(e->batch, rack));
	reply_json(r, 200, json_pack("{s:o}", "shards", list));
}

static json_t *
worker_json(struct batch *b, const struct vm *v)
{
	struct ledger_worker *w;
	struct batch_shard *s;
	json_t *o;

	o = json_pack("{s:s, s:s, s:s, s:I, s:I, s:I}", "id", v->info.id,
	    "state", vm_state_name(v->info.state), "shard",
	    v->shard == NULL ? "" : v->shard->name, "cpu_millis",
	    (json_int_t)v->info.cpu_millis, "memory_mib",
	    (json_int_t)v->info.memory_mib, "accelerators",
	    (json_int_t)v->info.accelerators);
	s = v->shard == NULL ? NULL : batch_shard_find(b, v->shard->name);
	if (s == NULL || s->ledger == NULL ||
	    (w = ledger_worker_find(s->ledger, v->info.id)) == NULL)
		return o;
	json_object_set_new(
	    o, "cpu_reserved", json_integer(w->room.used.cpu_millis));
	json_object_set_new(
	    o, "memory_reserved", json_integer(w->room.used.memory_mib));
	json_object_set_new(o, "fenced", json_boolean(w->fenced));
	json_object_set_new(o, "lost", json_boolean(w->lost));
	json_object_set_new(o, "waiting", json_integer(w->waiting));
	return o;
}

static void
list_workers(struct entry *e, struct httpd_request *r)
{
	json_t *list;
	struct vm *v;

	list = json_array();
	TAILQ_FOREACH (v, fleet_vms(e->fleet), link) {
		if (v->info.kind == VM_WORKER)
			json_array_append_new(list, worker_json(e->batch, v));
	}
	reply_json(r, 200, json_pack("{s:o}", "workers", list));
}

static void
list_tasks(struct entry *e, struct httpd_request *r)
{
	struct store_range_request range = { 0 };
	struct task_query *q;
	const char *query;

	if ((q = calloc(1, sizeof(*q))) == NULL)
		goto fail;
	query = httpd_query(r);
	if (strncmp(query, "job=", 4) == 0)
		strlcpy(q->job, query + 4, sizeof(q->job));
	range.key = BATCH_LEDGER_PREFIX;
	range.prefix = true;
	range.serializable = true;
	if (store_range(e->store, &range, on_ledgers, q) != STORE_OK)
		goto fail;
	request_begin(e->batch, &q->request, r);
	httpd_on_disconnect(r, request_gone, &q->request);
	return;

fail:
	free(q);
	reply_retry(r, 503, "store_away", "cannot read tasks from the store",
	    RETRY_AFTER_S);
}

static void
add_record(json_t *list, const char *shard, const struct ledger_doc *doc,
    const char *job)
{
	const struct task_record *t;
	size_t i;

	for (i = 0; i < doc->ntasks; i++) {
		t = &doc->tasks[i];
		if (job[0] != '\0' && strcmp(t->job, job) != 0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:I, s:I, s:s, s:s, s:s, s:I}", "job",
			t->job, "task", (json_int_t)t->index, "attempt",
			(json_int_t)t->attempt, "state",
			task_state_name(t->state), "worker", t->worker, "shard",
			shard, "evictions", (json_int_t)t->evictions));
	}
}

/* Lists an owned ledger, which has more detail than its record. */
static void
add_owned(json_t *list, struct batch_shard *s, const char *job)
{
	struct ledger_task *t;

	RB_FOREACH (t, ledger_tree, &s->ledger->tree) {
		if (job[0] != '\0' && strcmp(t->r.job, job) != 0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:I, s:I, s:s, s:s, s:s, s:I, s:s}", "job",
			t->r.job, "task", (json_int_t)t->r.index, "attempt",
			(json_int_t)t->r.attempt, "state",
			task_state_name(ledger_task_state(t)), "worker",
			t->r.worker, "shard", s->name, "evictions",
			(json_int_t)t->r.evictions, "reason", t->reason));
	}
}

static void
on_ledgers(const struct store_range_result *result, void *ctx)
{
	struct httpd_request *r;
	struct ledger_fault fault;
	struct ledger_doc doc;
	struct batch_shard *s;
	struct task_query *q;
	const char *shard;
	struct batch *b;
	json_t *list;
	size_t i;

	q = ctx;
	r = q->request.http;
	b = q->request.batch;
	if (b != NULL)
		request_end(&q->request);
	if (r == NULL || b == NULL) {
		free(q);
		return;
	}
	list = json_array();
	for (i = 0; i < result->nkvs; i++) {
		shard = result->kvs[i].key + strlen(BATCH_LEDGER_PREFIX);
		s = batch_shard_find(b, shard);
		if ((s != NULL && s->ledger != NULL) ||
		    ledger_json_parse(result->kvs[i].value, result->kvs[i].len,
			&doc, &fault) != LEDGER_JSON_OK)
			continue;
		add_record(list, shard, &doc, q->job);
		ledger_doc_free(&doc);
	}
	TAILQ_FOREACH (s, &b->shards, link) {
		if (s->ledger != NULL)
			add_owned(list, s, q->job);
	}
	/* Without the store only the shards of this entry are listed. */
	reply_json(r, 200,
	    json_pack("{s:o, s:b}", "tasks", list, "complete",
		result->error == STORE_OK));
	free(q);
}

static json_t *
explain_task(struct batch_shard *s, const struct ledger_task *t)
{
	return json_pack(
	    "{s:I, s:s, s:s, s:I, s:I, s:s, s:s, s:s, s:I, s:I, s:I, s:s}",
	    "at_ms", (json_int_t)clock_wall_ms(), "what",
	    task_state_name(ledger_task_state(t)), "job", t->r.job, "task",
	    (json_int_t)t->r.index, "attempt", (json_int_t)t->r.attempt,
	    "worker", t->r.worker, "last_worker", t->r.last_worker, "shard",
	    s->name, "evictions", (json_int_t)t->r.evictions, "failures",
	    (json_int_t)t->r.failures, "moves", (json_int_t)t->r.moves,
	    "reason", t->reason);
}

bool
state_explain(
    struct entry *e, struct httpd_request *r, const char *kind, const char *id)
{
	struct batch_shard *s;
	struct ledger_task *t;
	json_t *list;
	bool is_task;

	is_task = strcmp(kind, "task") == 0;
	if (!is_task && strcmp(kind, "job") != 0)
		return false;
	list = json_array();
	TAILQ_FOREACH (s, &e->batch->shards, link) {
		if (s->ledger == NULL)
			continue;
		if (is_task) {
			t = ledger_find_id(s->ledger, id);
			if (t != NULL)
				json_array_append_new(list, explain_task(s, t));
			continue;
		}
		RB_FOREACH (t, ledger_tree, &s->ledger->tree) {
			if (strcmp(t->r.job, id) == 0 &&
			    json_array_size(list) < EXPLAIN_MAX)
				json_array_append_new(list, explain_task(s, t));
		}
	}
	if (json_array_size(list) == 0) {
		json_decref(list);
		reply_error(r, 404, "not_here", "id",
		    "not in a shard owned by this entry; see /v1/tasks for "
		    "its shard");
		return true;
	}
	reply_json(r, 200, json_pack("{s:o}", "explain", list));
	return true;
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"

/* Lists and shows jobs for the operators' API. */

#define JOBS_PATH "/v1/jobs/"
#define CANCEL_PATH "/v1/jobs/cancel"
#define RETRY_AFTER_S 5

struct job_list {
	struct pending_request request;
	char team[JOB_NAME_SIZE]; /* "" for all */
};

struct job_show {
	struct pending_request request;
	char id[LEDGER_ID_MAX];
};

static void list_jobs(struct entry *, struct httpd_request *);
static void on_list(const struct store_range_result *, void *);
static void add_job(json_t *, const struct store_kv *, const struct job_list *);
static void show_job(struct entry *, struct httpd_request *, const char *);
static void on_show(const struct store_txn_result *, void *);
static json_t *count_job(const struct job_show *,
    const struct store_op_result *, const struct store_op_result *, uint32_t);
static void count_ledger(
    json_t *, const struct store_kv *, const char *, int64_t *);
static void add_count(json_t *, const char *, int64_t);

bool
job_http(struct entry *e, struct httpd_request *r)
{
	const char *path, *method;

	path = httpd_path(r);
	method = httpd_method(r);
	if (strcmp(path, "/v1/jobs") == 0 && strcmp(method, "GET") == 0) {
		list_jobs(e, r);
		return true;
	}
	if (strcmp(path, CANCEL_PATH) == 0 && strcmp(method, "POST") == 0) {
		cancel_http(e, r, NULL);
		return true;
	}
	if (strncmp(path, JOBS_PATH, strlen(JOBS_PATH)) != 0)
		return false;
	path += strlen(JOBS_PATH);
	if (!record_name_ok(path) || strlen(path) >= LEDGER_ID_MAX) {
		reply_error(r, 400, "bad_name", "id", "invalid job id");
		return true;
	}
	if (strcmp(method, "GET") == 0)
		show_job(e, r, path);
	else if (strcmp(method, "DELETE") == 0)
		cancel_http(e, r, path);
	else
		reply_error(r, 405, "bad_method", NULL, "use GET or DELETE");
	return true;
}

static void
list_jobs(struct entry *e, struct httpd_request *r)
{
	struct store_range_request range = { 0 };
	struct job_list *list;
	const char *query;

	if ((list = calloc(1, sizeof(*list))) == NULL)
		goto fail;
	query = httpd_query(r);
	if (strncmp(query, "team=", 5) == 0)
		strlcpy(list->team, query + 5, sizeof(list->team));
	range.key = BATCH_JOB_PREFIX;
	range.prefix = true;
	if (store_range(e->store, &range, on_list, list) != STORE_OK)
		goto fail;
	request_begin(e->batch, &list->request, r);
	httpd_on_disconnect(r, request_gone, &list->request);
	return;

fail:
	free(list);
	reply_retry(r, 503, "store_away", "cannot read jobs from the store",
	    RETRY_AFTER_S);
}

static void
add_job(json_t *jobs, const struct store_kv *kv, const struct job_list *list)
{
	struct job_fault fault;
	struct job job;
	const char *id;

	id = kv->key + strlen(BATCH_JOB_PREFIX);
	if (strchr(id, '/') != NULL)
		return; /* a summary or a cancellation mark */
	if (job_parse(kv->value, kv->len, &job, &fault) != JOB_OK)
		return;
	if (list->team[0] == '\0' || strcmp(list->team, job.team) == 0)
		json_array_append_new(jobs,
		    json_pack("{s:s, s:s, s:s, s:I, s:i}", "id", job.id, "team",
			job.team, "priority", job.urgent ? "urgent" : "normal",
			"tasks", (json_int_t)job.tasks, "schema", job.schema));
	job_free(&job);
}

static void
on_list(const struct store_range_result *result, void *ctx)
{
	struct httpd_request *r;
	struct job_list *list;
	json_t *jobs;
	size_t i;

	list = ctx;
	r = list->request.http;
	if (list->request.batch != NULL)
		request_end(&list->request);
	if (r != NULL && result->error != STORE_OK) {
		reply_retry(r, 503, "store_away",
		    "cannot read jobs from the store", RETRY_AFTER_S);
	} else if (r != NULL) {
		jobs = json_array();
		for (i = 0; i < result->nkvs; i++)
			add_job(jobs, &result->kvs[i], list);
		reply_json(r, 200, json_pack("{s:o}", "jobs", jobs));
	}
	free(list);
}

static void
show_job(struct entry *e, struct httpd_request *r, const char *id)
{
	char key[BATCH_KEY_MAX], below[BATCH_KEY_MAX];
	struct store_txn_request txn = { 0 };
	struct store_op ops[3] = { { 0 } };
	struct job_show *show;

	if ((show = calloc(1, sizeof(*show))) == NULL)
		goto fail;
	strlcpy(show->id, id, sizeof(show->id));
	snprintf(key, sizeof(key), BATCH_JOB_PREFIX "%s", id);
	snprintf(below, sizeof(below), BATCH_JOB_PREFIX "%s/", id);
	ops[0].kind = STORE_GET;
	ops[0].key = key;
	ops[1].kind = STORE_GET_PREFIX;
	ops[1].key = below;
	ops[2].kind = STORE_GET_PREFIX;
	ops[2].key = BATCH_LEDGER_PREFIX;
	txn.success = ops;
	txn.nsuccess = 3;
	if (store_txn(e->store, &txn, on_show, show) != STORE_OK)
		goto fail;
	request_begin(e->batch, &show->request, r);
	httpd_on_disconnect(r, request_gone, &show->request);
	return;

fail:
	free(show);
	reply_retry(r, 503, "store_away", "cannot read the job from the store",
	    RETRY_AFTER_S);
}

static void
add_count(json_t *counts, const char *name, int64_t n)
{
	json_object_set_new(counts, name,
	    json_integer(
		json_integer_value(json_object_get(counts, name)) + n));
}

static void
count_ledger(
    json_t *counts, const struct store_kv *kv, const char *id, int64_t *known)
{
	struct ledger_fault fault;
	struct ledger_doc doc;
	size_t i;

	if (ledger_json_parse(kv->value, kv->len, &doc, &fault) !=
	    LEDGER_JSON_OK)
		return;
	for (i = 0; i < doc.ntasks; i++) {
		if (strcmp(doc.tasks[i].job, id) != 0)
			continue;
		add_count(counts, task_state_name(doc.tasks[i].state), 1);
		*known += 1;
	}
	for (i = 0; i < doc.njobs; i++) {
		if (strcmp(doc.jobs[i].id, id) != 0)
			continue;
		add_count(counts, "done", doc.jobs[i].done);
		add_count(counts, "failed", doc.jobs[i].failed);
		add_count(counts, "cancelled", doc.jobs[i].cancelled);
		*known += (int64_t)doc.jobs[i].done + doc.jobs[i].failed +
		    doc.jobs[i].cancelled;
	}
	ledger_doc_free(&doc);
}

/*
 * Counts tasks by state: ended ones from summaries, others from ledgers.  The
 * remainder still waits in inboxes.
 */
static json_t *
count_job(const struct job_show *show, const struct store_op_result *summaries,
    const struct store_op_result *ledgers, uint32_t tasks)
{
	static const char *const ends[] = { "done", "failed", "cancelled" };
	json_t *counts, *part;
	int64_t known, n;
	size_t i, k;

	counts = json_object();
	known = 0;
	for (i = 0; i < summaries->nkvs; i++) {
		part = json_loadb(
		    summaries->kvs[i].value, summaries->kvs[i].len, 0, NULL);
		for (k = 0; k < sizeof(ends) / sizeof(ends[0]); k++) {
			n = json_integer_value(json_object_get(part, ends[k]));
			add_count(counts, ends[k], n);
			known += n;
		}
		json_decref(part);
	}
	for (i = 0; i < ledgers->nkvs; i++)
		count_ledger(counts, &ledgers->kvs[i], show->id, &known);
	if (known < (int64_t)tasks)
		add_count(counts, "waiting", (int64_t)tasks - known);
	return counts;
}

/* The state of the job, derived from the counts of its tasks. */
static const char *
job_state(const json_t *counts, uint32_t tasks)
{
	json_int_t done, failed, cancelled, waiting;

	done = json_integer_value(json_object_get(counts, "done"));
	failed = json_integer_value(json_object_get(counts, "failed"));
	cancelled = json_integer_value(json_object_get(counts, "cancelled"));
	waiting = json_integer_value(json_object_get(counts, "waiting")) +
	    json_integer_value(json_object_get(counts, "pending"));
	if (done + failed + cancelled < (json_int_t)tasks)
		return waiting == (json_int_t)tasks ? "waiting" : "running";
	if (failed > 0)
		return "failed";
	return cancelled > 0 ? "cancelled" : "done";
}

static void
on_show(const struct store_txn_result *result, void *ctx)
{
	struct httpd_request *r;
	struct job_fault fault;
	struct job_show *show;
	const struct store_kv *kv;
	json_t *counts;
	struct job job;

	show = ctx;
	r = show->request.http;
	if (show->request.batch != NULL)
		request_end(&show->request);
	if (r == NULL)
		goto out;
	if (result->error != STORE_OK || result->nops != 3) {
		reply_retry(r, 503, "store_away",
		    "cannot read the job from the store", RETRY_AFTER_S);
		goto out;
	}
	if (result->ops[0].nkvs == 0) {
		reply_error(r, 404, "unknown_job", "id", "no such job");
		goto out;
	}
	kv = &result->ops[0].kvs[0];
	if (job_parse(kv->value, kv->len, &job, &fault) != JOB_OK) {
		reply_error(r, 500, "bad_record", fault.field,
		    "cannot parse the job record");
		goto out;
	}
	counts = count_job(show, &result->ops[1], &result->ops[2], job.tasks);
	reply_json(r, 200,
	    json_pack("{s:s, s:s, s:o, s:o}", "id", show->id, "state",
		job_state(counts, job.tasks), "job",
		json_loadb(kv->value, kv->len, 0, NULL), "tasks", counts));
	job_free(&job);
out:
	free(show);
}

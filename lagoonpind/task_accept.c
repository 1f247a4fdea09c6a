#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/*
 * Accepts jobs.  One transaction writes the job record and an inbox item for
 * each shard, and fails if the job exists or was cancelled before it did.  The
 * operator gets the response after it is committed.  Submitting a job is
 * idempotent: the same record is accepted again, a different record with the
 * same id is refused.
 */

#define SHARDS_MAX 64 /* initial shards of one job */
#define TRIES_MAX 3
#define RETRY_AFTER_S 5

/* Keys that must not exist, in the order in which they are read back. */
enum sent_key {
	SENT_RECORD, /* of the job */
	SENT_MARK, /* of its cancellation */
	SENT_KEYS
};

struct accept {
	struct pending_request request;
	struct job job;
	char *text; /* the job record as it is stored */
	size_t nitems;
	char *keys[SHARDS_MAX];
	char *items[SHARDS_MAX];
	int tries;
};

static bool refuse_job(
    struct httpd_request *, const char *, const char *, const char *);
static bool fits_fleet(struct entry *, const struct job *, const char **);
static bool fits_team(struct entry *, const struct job *, const char **);
static size_t pick_shards(struct batch *, const struct job *, const char **);
static int make_inbox_items(struct batch *, struct accept *);
static void send_job(struct batch *, struct accept *);
static int refused_status(
    const struct accept *, const struct store_txn_result *);
static void on_sent(const struct store_txn_result *, void *);
static void finish(struct accept *, int);
static void accept_free(struct accept *);

bool
accept_http(struct entry *e, struct httpd_request *r)
{
	struct job_fault fault;
	enum job_error error;
	struct accept *a;
	const char *body, *field;
	size_t len;

	if (strcmp(httpd_path(r), "/v1/jobs") != 0 ||
	    strcmp(httpd_method(r), "POST") != 0)
		return false;
	if (e->phase != ENTRY_RUNNING) {
		counter_inc_reason("lagoonpin_jobs_refused", "draining");
		reply_retry(
		    r, 503, "draining", "this entry is shutting down", 1);
		return true;
	}
	if (!store_reachable(e->store, clock_now_ms())) {
		/* A certain refusal is better than an unknown outcome. */
		counter_inc_reason("lagoonpin_jobs_refused", "store_away");
		reply_retry(r, 503, "store_away",
		    "not accepted: the key-value store is unavailable",
		    RETRY_AFTER_S);
		return true;
	}
	if ((a = calloc(1, sizeof(*a))) == NULL)
		return refuse_job(r, "out_of_memory", NULL, "out of memory");
	body = httpd_body(r, &len);
	error = job_parse(body, len, &a->job, &fault);
	if (error != JOB_OK) {
		free(a);
		return refuse_job(r, job_strerror(error),
		    fault.field[0] == '\0' ? NULL : fault.field,
		    "invalid job record");
	}
	if (!fits_fleet(e, &a->job, &field)) {
		accept_free(a);
		return refuse_job(r, "larger_than_any_vm", field,
		    "a task of this size fits on no VM");
	}
	if (!fits_team(e, &a->job, &field)) {
		accept_free(a);
		return refuse_job(r, "over_team_limit", field,
		    "one task exceeds the limit of its team");
	}
	if ((a->text = job_text(&a->job)) == NULL ||
	    make_inbox_items(e->batch, a) == -1) {
		accept_free(a);
		counter_inc_reason("lagoonpin_jobs_refused", "no_workers");
		reply_retry(r, 503, "no_workers",
		    "no shard with workers is known yet", RETRY_AFTER_S);
		return true;
	}
	request_begin(e->batch, &a->request, r);
	httpd_on_disconnect(r, request_gone, &a->request);
	send_job(e->batch, a);
	return true;
}

static bool
refuse_job(struct httpd_request *r, const char *error, const char *field,
    const char *message)
{
	counter_inc_reason("lagoonpin_jobs_refused", error);
	reply_error(r, 400, error, field, message);
	return true;
}

/*
 * Whether each resource of the task is within that of the largest worker VM;
 * true while no worker VM is known.
 */
static bool
fits_fleet(struct entry *e, const struct job *job, const char **field)
{
	struct resources largest = { 0, 0, 0 };
	struct vm *v;
	bool known;

	known = false;
	TAILQ_FOREACH (v, fleet_vms(e->fleet), link) {
		if (v->info.kind != VM_WORKER || v->info.state == VM_GONE)
			continue;
		known = true;
		if (v->info.cpu_millis > largest.cpu_millis)
			largest.cpu_millis = v->info.cpu_millis;
		if (v->info.memory_mib > largest.memory_mib)
			largest.memory_mib = v->info.memory_mib;
		if (v->info.accelerators > largest.accelerators)
			largest.accelerators = v->info.accelerators;
	}
	*field = "cpu_millis";
	if (known && job->size.cpu_millis > largest.cpu_millis)
		return false;
	*field = "memory_mib";
	if (known && job->size.memory_mib > largest.memory_mib)
		return false;
	*field = "accelerators";
	return !known || job->size.accelerators <= largest.accelerators;
}

static bool
fits_team(struct entry *e, const struct job *job, const char **field)
{
	const struct record_team *limit;

	if ((limit = conf_team(entry_conf(e), job->team)) == NULL)
		return true;
	*field = "cpu_millis";
	if (limit->cpu_millis != RECORD_NO_LIMIT &&
	    job->size.cpu_millis > limit->cpu_millis)
		return false;
	*field = "memory_mib";
	if (limit->memory_mib != RECORD_NO_LIMIT &&
	    job->size.memory_mib > limit->memory_mib)
		return false;
	*field = "team";
	return limit->tasks != 0;
}

/*
 * Picks the shards that get the job's tasks: a random sample of those where
 * the team may run tasks, at most one per task.  A task that finds no room
 * there moves to another shard later.
 */
static size_t
pick_shards(struct batch *b, const struct job *job, const char **picks)
{
	const char *all[BATCH_SHARDS_MAX], *swap;
	size_t n, max, i, at;

	n = quota_shards(b, job->team, all, BATCH_SHARDS_MAX);
	max = job->tasks < SHARDS_MAX ? job->tasks : SHARDS_MAX;
	if (max > n)
		max = n;
	for (i = 0; i < max; i++) {
		at = i + (size_t)(batch_random(b) % (n - i));
		swap = all[at];
		all[at] = all[i];
		all[i] = swap;
		picks[i] = swap;
	}
	return max;
}

static int
make_inbox_items(struct batch *b, struct accept *a)
{
	const char *picks[SHARDS_MAX];
	char name[BATCH_KEY_MAX], key[BATCH_KEY_MAX];
	struct inbox_item item = { 0 };
	uint32_t first;
	size_t i, n;

	if ((n = pick_shards(b, &a->job, picks)) == 0)
		return -1;
	item.kind = INBOX_JOB;
	strlcpy(item.job, a->job.id, sizeof(item.job));
	snprintf(name, sizeof(name), "job-%s", a->job.id);
	first = 0;
	for (i = 0; i < n; i++) {
		item.first = first;
		item.count = (uint32_t)((a->job.tasks - first) / (n - i));
		first += item.count;
		inbox_key(picks[i], name, key, sizeof(key));
		a->keys[i] = strdup(key);
		a->items[i] = inbox_item_text(&item);
		a->nitems++;
		if (a->keys[i] == NULL || a->items[i] == NULL)
			return -1;
	}
	return 0;
}

static void
send_job(struct batch *b, struct accept *a)
{
	struct store_op ops[SHARDS_MAX + 1] = { { 0 } };
	struct store_compare compares[SENT_KEYS] = { { 0 } };
	struct store_txn_request txn = { 0 };
	struct store_op gets[SENT_KEYS] = { { 0 } };
	char keys[SENT_KEYS][BATCH_KEY_MAX];
	size_t i;

	snprintf(
	    keys[SENT_RECORD], BATCH_KEY_MAX, BATCH_JOB_PREFIX "%s", a->job.id);
	snprintf(keys[SENT_MARK], BATCH_KEY_MAX,
	    BATCH_JOB_PREFIX "%s/cancelled", a->job.id);
	for (i = 0; i < SENT_KEYS; i++) {
		compares[i].key = keys[i];
		compares[i].target = STORE_MOD_REVISION;
		compares[i].relation = STORE_EQUAL;
		gets[i].kind = STORE_GET;
		gets[i].key = keys[i];
	}
	ops[0].kind = STORE_PUT;
	ops[0].key = keys[SENT_RECORD];
	ops[0].value = a->text;
	ops[0].len = strlen(a->text);
	for (i = 0; i < a->nitems; i++) {
		ops[i + 1].kind = STORE_PUT;
		ops[i + 1].key = a->keys[i];
		ops[i + 1].value = a->items[i];
		ops[i + 1].len = strlen(a->items[i]);
	}
	txn.compares = compares;
	txn.ncompares = SENT_KEYS;
	txn.success = ops;
	txn.nsuccess = a->nitems + 1;
	txn.failure = gets;
	txn.nfailure = SENT_KEYS;
	a->tries++;
	if (store_txn(b->entry->store, &txn, on_sent, a) != STORE_OK)
		finish(a, 503);
}

/* The status for a job that wasn't written, as one of its keys exists. */
static int
refused_status(const struct accept *a, const struct store_txn_result *result)
{
	const struct store_kv *record;

	if (result->nops != SENT_KEYS)
		return 409;
	if (result->ops[SENT_RECORD].nkvs == 0)
		return result->ops[SENT_MARK].nkvs > 0 ? 410 : 409;
	record = &result->ops[SENT_RECORD].kvs[0];
	return record->len == strlen(a->text) &&
		memcmp(record->value, a->text, record->len) == 0 ?
	    202 :
	    409;
}

static void
on_sent(const struct store_txn_result *result, void *ctx)
{
	struct accept *a;

	a = ctx;
	if (a->request.batch == NULL) {
		accept_free(a);
		return;
	}
	if (result->error == STORE_ERR_UNKNOWN && a->tries < TRIES_MAX) {
		/* Safe to repeat: it creates the record only if absent. */
		counter_inc_reason("lagoonpin_job_retries", "lost_answer");
		send_job(a->request.batch, a);
		return;
	}
	if (result->error == STORE_ERR_UNKNOWN)
		finish(a, 504);
	else if (result->error != STORE_OK)
		finish(a, 503);
	else
		finish(a, result->succeeded ? 202 : refused_status(a, result));
}

/* Replies with the status, counts it and ends the request. */
static void
finish(struct accept *a, int status)
{
	struct httpd_request *r;

	r = a->request.http;
	if (status == 202) {
		counter_inc("lagoonpin_jobs_accepted", "");
		log_info("job_accepted", "job=%s team=%s tasks=%u shards=%zu",
		    a->job.id, a->job.team, a->job.tasks, a->nitems);
	} else
		counter_inc_reason("lagoonpin_jobs_refused",
		    status == 409     ? "exists" :
			status == 410 ? "cancelled" :
			status == 504 ? "unknown" :
					"store_away");
	if (r != NULL && status == 202)
		reply_json(r, 202,
		    json_pack("{s:s, s:s, s:I}", "id", a->job.id, "outcome",
			"accepted", "tasks", (json_int_t)a->job.tasks));
	else if (r != NULL && status == 409)
		reply_error(r, 409, "job_exists", "id",
		    "another job with this id exists");
	else if (r != NULL && status == 410)
		reply_error(r, 410, "job_cancelled", "id",
		    "the job was cancelled before it was submitted");
	else if (r != NULL && status == 504)
		reply_retry(r, 504, "unknown",
		    "no response from the store, outcome unknown; submit "
		    "the same job again",
		    RETRY_AFTER_S);
	else if (r != NULL)
		reply_retry(r, 503, "store_away",
		    "not accepted: the key-value store is unavailable",
		    RETRY_AFTER_S);
	request_end(&a->request);
	accept_free(a);
}

static void
accept_free(struct accept *a)
{
	size_t i;

	for (i = 0; i < a->nitems; i++) {
		free(a->keys[i]);
		free(a->items[i]);
	}
	free(a->text);
	job_free(&a->job);
	free(a);
}

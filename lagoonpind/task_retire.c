#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/*
 * Deletes the records of jobs that ended long ago, so that the store doesn't
 * fill up.  One entry does so, the preferred owner of the key prefix; two at
 * once are harmless, as they delete the same keys.  A job has ended when the
 * summaries of its shards account for all its tasks: then none is left in a
 * ledger or an inbox.
 */

#define RETIRE_INTERVAL_MS 600000 /* between rounds */
#define RETENTION_MS 86400000 /* after the end of a job; wall clock */
#define RETIRE_JOBS_MAX 24 /* jobs in one transaction */

struct retire {
	struct pending_request request;
};

static void on_jobs(const struct store_range_result *, void *);
static size_t job_keys_end(const struct store_range_result *, size_t);
static bool has_ended(
    const struct store_range_result *, size_t, size_t, int64_t);
static void delete_jobs(struct batch *, const struct store_kv *const *, size_t);
static void on_deleted(const struct store_txn_result *, void *);

void
retire_tick(struct batch *b, int64_t now_ms)
{
	struct store_range_request range = { 0 };
	const char *ids[BATCH_LIVE_MAX];
	struct retire *r;
	size_t at, n;

	if (now_ms < b->next_retire_ms || b->entry->phase != ENTRY_RUNNING)
		return;
	b->next_retire_ms = now_ms + RETIRE_INTERVAL_MS;
	n = own_live_entries(b, ids, BATCH_LIVE_MAX, now_ms);
	at = shard_preferred_owner(BATCH_JOB_PREFIX, ids, n);
	if (at == n || strcmp(ids[at], b->entry->opt.id) != 0)
		return;
	if ((r = calloc(1, sizeof(*r))) == NULL)
		return;
	range.key = BATCH_JOB_PREFIX;
	range.prefix = true;
	range.serializable = true;
	if (store_range(b->entry->store, &range, on_jobs, r) != STORE_OK) {
		free(r);
		return;
	}
	request_begin(b, &r->request, NULL);
}

/* The end of the keys of the job at i: those below it follow it in order. */
static size_t
job_keys_end(const struct store_range_result *result, size_t i)
{
	const char *key;
	size_t len, end;

	key = result->kvs[i].key;
	len = strlen(key);
	for (end = i + 1; end < result->nkvs; end++) {
		if (strncmp(result->kvs[end].key, key, len) != 0 ||
		    result->kvs[end].key[len] != '/')
			break;
	}
	return end;
}

static bool
has_ended(const struct store_range_result *result, size_t i, size_t end,
    int64_t before_ms)
{
	int64_t tasks, ended_ms, part_ms;
	json_t *o;

	o = json_loadb(result->kvs[i].value, result->kvs[i].len, 0, NULL);
	tasks = 1;
	if (json_object_get(o, "tasks") != NULL)
		tasks = json_integer_value(json_object_get(o, "tasks"));
	json_decref(o);
	ended_ms = 0;
	for (i++; i < end; i++) {
		o = json_loadb(
		    result->kvs[i].value, result->kvs[i].len, 0, NULL);
		tasks -= json_integer_value(json_object_get(o, "done"));
		tasks -= json_integer_value(json_object_get(o, "failed"));
		tasks -= json_integer_value(json_object_get(o, "cancelled"));
		part_ms = json_integer_value(json_object_get(o, "ended_ms"));
		if (part_ms > ended_ms)
			ended_ms = part_ms;
		json_decref(o);
	}
	return tasks == 0 && ended_ms < before_ms;
}

static void
on_jobs(const struct store_range_result *result, void *ctx)
{
	const struct store_kv *ended[RETIRE_JOBS_MAX];
	struct retire *r;
	struct batch *b;
	int64_t before_ms;
	size_t i, end, n;

	r = ctx;
	if ((b = r->request.batch) != NULL)
		request_end(&r->request);
	free(r);
	if (b == NULL || result->error != STORE_OK)
		return;
	before_ms = clock_wall_ms() - RETENTION_MS;
	n = 0;
	for (i = 0; i < result->nkvs && n < RETIRE_JOBS_MAX; i = end) {
		end = job_keys_end(result, i);
		if (strchr(result->kvs[i].key + strlen(BATCH_JOB_PREFIX),
			'/') == NULL &&
		    has_ended(result, i, end, before_ms))
			ended[n++] = &result->kvs[i];
	}
	if (n > 0)
		delete_jobs(b, ended, n);
	/* There may be more: run again on the next tick. */
	if (n == RETIRE_JOBS_MAX)
		b->next_retire_ms = 0;
}

/* Deletes the jobs, provided that none of their records has changed. */
static void
delete_jobs(struct batch *b, const struct store_kv *const *jobs, size_t n)
{
	char below[RETIRE_JOBS_MAX][BATCH_KEY_MAX];
	struct store_compare compares[RETIRE_JOBS_MAX] = { { 0 } };
	struct store_op ops[2 * RETIRE_JOBS_MAX] = { { 0 } };
	struct store_txn_request txn = { 0 };
	size_t i;

	for (i = 0; i < n; i++) {
		snprintf(below[i], BATCH_KEY_MAX, "%s/", jobs[i]->key);
		compares[i].key = jobs[i]->key;
		compares[i].target = STORE_MOD_REVISION;
		compares[i].relation = STORE_EQUAL;
		compares[i].number = jobs[i]->mod_revision;
		ops[2 * i].kind = STORE_DELETE;
		ops[2 * i].key = jobs[i]->key;
		ops[2 * i + 1].kind = STORE_DELETE_PREFIX;
		ops[2 * i + 1].key = below[i];
	}
	txn.compares = compares;
	txn.ncompares = n;
	txn.success = ops;
	txn.nsuccess = 2 * n;
	if (store_txn(b->entry->store, &txn, on_deleted, NULL) != STORE_OK)
		return;
	log_info("jobs_retired", "jobs=%zu", n);
	counter_add(counter_get("lagoonpin_jobs_retired", ""), n);
}

/* A later round finds again what wasn't deleted. */
static void
on_deleted(const struct store_txn_result *result, void *ctx)
{
	(void)ctx;
	if (result->error != STORE_OK || !result->succeeded)
		counter_inc_reason(
		    "lagoonpin_retire_failures", store_strerror(result->error));
}

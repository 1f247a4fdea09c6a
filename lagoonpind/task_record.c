#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/* Caches job records: reads them in batches, keeps those in use. */

#define READ_MAX 40 /* jobs in one read; two keys per job */
#define RETRY_MS 1000
#define MISSING_RETRY_MS 10000
#define SWEEP_MS 60000
#define IDLE_MS 600000 /* until an unused record is dropped */

struct records_read {
	struct pending_request request;
	size_t n;
	char ids[READ_MAX][LEDGER_ID_MAX];
};

static void read_queued(struct batch *, int64_t);
static size_t pick_queued(struct batch *, struct records_read *, int64_t);
static void on_records(const struct store_txn_result *, void *);
static void set_record(struct batch *, struct batch_job *,
    const struct store_op_result *, const struct store_op_result *);
static bool parse_record(
    struct batch *, struct batch_job *, const struct store_kv *);
static bool in_use(struct batch *, const char *);
static void drop_idle(struct batch *, int64_t);
static void free_record(struct batch_job *);

struct batch_job *
record_find(struct batch *b, const char *id)
{
	struct batch_job *job;
	uint64_t hash;

	hash = XXH64(id, strlen(id), 0);
	SLIST_FOREACH (job, &b->jobs[hash % BATCH_JOB_BUCKETS], link) {
		if (job->hash == hash && strcmp(job->id, id) == 0)
			return job;
	}
	return NULL;
}

struct batch_job *
record_get(struct batch *b, const char *id, int64_t now_ms)
{
	struct batch_job *job;

	if ((job = record_find(b, id)) == NULL) {
		if ((job = calloc(1, sizeof(*job))) == NULL)
			return NULL;
		strlcpy(job->id, id, sizeof(job->id));
		job->hash = XXH64(id, strlen(id), 0);
		job->phase = RECORD_LOADING;
		SLIST_INSERT_HEAD(
		    &b->jobs[job->hash % BATCH_JOB_BUCKETS], job, link);
	}
	job->used_ms = now_ms;
	if (job->phase != RECORD_READY && now_ms >= job->retry_ms)
		job->queued = true;
	return job;
}

static size_t
pick_queued(struct batch *b, struct records_read *r, int64_t now_ms)
{
	struct batch_job *job;
	size_t i;

	r->n = 0;
	for (i = 0; i < BATCH_JOB_BUCKETS; i++) {
		SLIST_FOREACH (job, &b->jobs[i], link) {
			if (!job->queued || r->n == READ_MAX)
				continue;
			job->queued = false;
			job->retry_ms = now_ms + RETRY_MS;
			strlcpy(r->ids[r->n++], job->id, sizeof(r->ids[0]));
		}
	}
	return r->n;
}

static void
read_queued(struct batch *b, int64_t now_ms)
{
	char keys[2 * READ_MAX][BATCH_KEY_MAX];
	struct store_txn_request txn = { 0 };
	struct store_op ops[2 * READ_MAX] = { { 0 } };
	struct records_read *r;
	size_t i;

	if ((r = calloc(1, sizeof(*r))) == NULL)
		return;
	if (pick_queued(b, r, now_ms) == 0) {
		free(r);
		return;
	}
	for (i = 0; i < r->n; i++) {
		snprintf(keys[2 * i], BATCH_KEY_MAX, BATCH_JOB_PREFIX "%s",
		    r->ids[i]);
		snprintf(keys[2 * i + 1], BATCH_KEY_MAX,
		    BATCH_JOB_PREFIX "%s/cancelled", r->ids[i]);
		ops[2 * i].kind = ops[2 * i + 1].kind = STORE_GET;
		ops[2 * i].key = keys[2 * i];
		ops[2 * i + 1].key = keys[2 * i + 1];
	}
	txn.success = ops;
	txn.nsuccess = 2 * r->n;
	if (store_txn(b->entry->store, &txn, on_records, r) != STORE_OK) {
		free(r);
		return;
	}
	request_begin(b, &r->request, NULL);
	b->records_reading = true;
}

static bool
parse_record(struct batch *b, struct batch_job *job, const struct store_kv *kv)
{
	char kind[LEARN_KIND_NAME_MAX];
	struct job_fault fault;
	enum job_error error;

	error = job_parse(kv->value, kv->len, &job->job, &fault);
	if (error != JOB_OK) {
		counter_inc_reason(
		    "lagoonpin_job_records_refused", job_strerror(error));
		log_error("job_record_refused", "job=%s error=%s field=%s",
		    job->id, job_strerror(error), fault.field);
		return false;
	}
	learn_job_kind_name(job->job.team, job->id, kind, sizeof(kind));
	job->kind = learn_kind(b->learn, kind);
	return true;
}

static void
set_record(struct batch *b, struct batch_job *job,
    const struct store_op_result *record,
    const struct store_op_result *cancelled)
{
	if (job->phase == RECORD_READY)
		return;
	if (cancelled->nkvs > 0)
		job->cancelled = true;
	if (record->nkvs == 0 || !parse_record(b, job, &record->kvs[0])) {
		job->phase = RECORD_MISSING;
		job->retry_ms = clock_now_ms() + MISSING_RETRY_MS;
		return;
	}
	job->phase = RECORD_READY;
}

static void
on_records(const struct store_txn_result *result, void *ctx)
{
	struct records_read *r;
	struct batch_job *job;
	struct batch *b;
	size_t i;

	r = ctx;
	if ((b = r->request.batch) == NULL)
		goto out;
	request_end(&r->request);
	b->records_reading = false;
	if (result->error != STORE_OK || result->nops != 2 * r->n) {
		counter_inc_reason("lagoonpin_job_reads_failed",
		    store_strerror(result->error));
		goto out;
	}
	for (i = 0; i < r->n; i++) {
		if ((job = record_find(b, r->ids[i])) != NULL)
			set_record(b, job, &result->ops[2 * i],
			    &result->ops[2 * i + 1]);
	}
out:
	free(r);
}

static bool
in_use(struct batch *b, const char *id)
{
	struct batch_shard *s;
	struct ledger_job *job;

	TAILQ_FOREACH (s, &b->shards, link) {
		if (s->ledger == NULL)
			continue;
		TAILQ_FOREACH (job, &s->ledger->jobs, link) {
			if (strcmp(job->id, id) == 0)
				return true;
		}
	}
	return false;
}

static void
free_record(struct batch_job *job)
{
	job_free(&job->job);
	free(job);
}

static void
drop_idle(struct batch *b, int64_t now_ms)
{
	struct batch_job *job, *next;
	size_t i;

	for (i = 0; i < BATCH_JOB_BUCKETS; i++) {
		SLIST_FOREACH_SAFE(job, &b->jobs[i], link, next)
		{
			if (now_ms - job->used_ms < IDLE_MS ||
			    in_use(b, job->id))
				continue;
			SLIST_REMOVE(&b->jobs[i], job, batch_job, link);
			free_record(job);
		}
	}
}

void
record_tick(struct batch *b, int64_t now_ms)
{
	if (now_ms - b->last_sweep_ms >= SWEEP_MS) {
		b->last_sweep_ms = now_ms;
		drop_idle(b, now_ms);
	}
	if (!b->records_reading)
		read_queued(b, now_ms);
}

void
record_close(struct batch *b)
{
	struct batch_job *job;
	size_t i;

	for (i = 0; i < BATCH_JOB_BUCKETS; i++) {
		while ((job = SLIST_FIRST(&b->jobs[i])) != NULL) {
			SLIST_REMOVE_HEAD(&b->jobs[i], link);
			free_record(job);
		}
	}
}

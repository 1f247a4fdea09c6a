#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "counter.h"
#include "log.h"

/*
 * Cancels jobs, by their ids or by their team, in chunks.  One transaction per
 * chunk marks its jobs as cancelled and writes an inbox item to every shard.
 *
 * A job that doesn't exist is marked as well: the write that creates it may
 * have got no answer and be carried out later, and it requires that there is no
 * mark (task_accept.c).  Such a mark is under a lease, as nobody else removes
 * it.
 */

#define CANCEL_MAX 1000 /* jobs in one request */
#define CANCEL_CHUNK 48 /* jobs in one transaction */
#define SHARDS_MAX 128 /* inbox items in one transaction */
#define RETRY_AFTER_S 5
/* Of marks without a job; a late write takes seconds. */
#define UNKNOWN_MARK_TTL_S 3600

struct cancel {
	struct pending_request request;
	char team[JOB_NAME_SIZE]; /* cancel all jobs of this team, or "" */
	char (*ids)[LEDGER_ID_MAX];
	bool *found;
	size_t n;
	size_t at; /* start of the current chunk */
	bool writing; /* the chunk's write, after its read */
	int64_t lease; /* of marks without a job; 0: none yet */
};

static bool cancel_body(struct cancel *, struct httpd_request *);
static bool cancel_ids(struct cancel *, const json_t *);
static void read_team_jobs(struct cancel *);
static void on_team(const struct store_range_result *, void *);
static bool is_of_team(const struct store_kv *, const char *);
static size_t chunk_size(const struct cancel *);
static void cancel_read(struct cancel *);
static bool any_unknown(const struct cancel *);
static void grant_lease(struct cancel *);
static void on_lease(const struct store_lease_result *, void *);
static size_t add_marks(
    const struct cancel *, struct store_op *, char (*)[BATCH_KEY_MAX]);
static size_t add_compares(
    const struct cancel *, struct store_compare *, char (*)[BATCH_KEY_MAX]);
static void cancel_write(struct cancel *);
static void on_cancel(const struct store_txn_result *, void *);
static void cancel_finish(struct cancel *, bool);
static void cancel_free(struct cancel *);

void
cancel_http(struct entry *e, struct httpd_request *r, const char *id)
{
	struct cancel *c;

	if ((c = calloc(1, sizeof(*c))) == NULL) {
		reply_error(r, 500, "out_of_memory", NULL, "out of memory");
		return;
	}
	if (id == NULL && !cancel_body(c, r)) {
		counter_inc_reason("lagoonpin_cancels_refused", "bad_body");
		cancel_free(c);
		reply_error(r, 400, "bad_value", "ids",
		    "expected up to 1000 job ids or a team");
		return;
	}
	if (id != NULL && (c->ids = calloc(1, sizeof(*c->ids))) != NULL) {
		strlcpy(c->ids[0], id, sizeof(c->ids[0]));
		c->n = 1;
	}
	if ((c->found = calloc(CANCEL_MAX, sizeof(*c->found))) == NULL ||
	    c->ids == NULL) {
		cancel_free(c);
		reply_error(r, 500, "out_of_memory", NULL, "out of memory");
		return;
	}
	request_begin(e->batch, &c->request, r);
	httpd_on_disconnect(r, request_gone, &c->request);
	if (c->team[0] != '\0')
		read_team_jobs(c);
	else
		cancel_read(c);
}

static bool
cancel_body(struct cancel *c, struct httpd_request *r)
{
	const char *body, *team;
	json_t *root;
	size_t len;
	bool ok;

	body = httpd_body(r, &len);
	root = json_loadb(body, len, 0, NULL);
	team = json_string_value(json_object_get(root, "team"));
	if (team == NULL)
		ok = cancel_ids(c, json_object_get(root, "ids"));
	else
		ok = record_name_ok(team) &&
		    strlcpy(c->team, team, sizeof(c->team)) < sizeof(c->team) &&
		    (c->ids = calloc(CANCEL_MAX, sizeof(*c->ids))) != NULL;
	json_decref(root);
	return ok;
}

static bool
cancel_ids(struct cancel *c, const json_t *list)
{
	const char *id;
	size_t n;
	bool ok;

	n = json_array_size(list);
	ok = n > 0 && n <= CANCEL_MAX &&
	    (c->ids = calloc(n, sizeof(*c->ids))) != NULL;
	for (; ok && c->n < n; c->n++) {
		id = json_string_value(json_array_get(list, c->n));
		ok = id != NULL && record_name_ok(id) &&
		    strlcpy(c->ids[c->n], id, LEDGER_ID_MAX) < LEDGER_ID_MAX;
	}
	return ok;
}

static void
read_team_jobs(struct cancel *c)
{
	struct store_range_request range = { 0 };

	range.key = BATCH_JOB_PREFIX;
	range.prefix = true;
	if (store_range(c->request.batch->entry->store, &range, on_team, c) !=
	    STORE_OK)
		cancel_finish(c, false);
}

static bool
is_of_team(const struct store_kv *kv, const char *team)
{
	struct job_fault fault;
	struct job job;
	bool same;

	if (strchr(kv->key + strlen(BATCH_JOB_PREFIX), '/') != NULL ||
	    job_parse(kv->value, kv->len, &job, &fault) != JOB_OK)
		return false;
	same = strcmp(job.team, team) == 0;
	job_free(&job);
	return same;
}

/* Skips cancelled jobs, so that a repeated request cancels the next ones. */
static void
on_team(const struct store_range_result *result, void *ctx)
{
	const struct store_kv *kv;
	char marked[BATCH_KEY_MAX];
	struct cancel *c;
	size_t i;

	c = ctx;
	if (c->request.batch == NULL) {
		cancel_free(c);
		return;
	}
	for (i = 0; i < result->nkvs && c->n < CANCEL_MAX; i++) {
		kv = &result->kvs[i];
		snprintf(marked, sizeof(marked), "%s/cancelled", kv->key);
		if (!is_of_team(kv, c->team) ||
		    (i + 1 < result->nkvs &&
			strcmp(result->kvs[i + 1].key, marked) == 0))
			continue;
		strlcpy(c->ids[c->n++], kv->key + strlen(BATCH_JOB_PREFIX),
		    LEDGER_ID_MAX);
	}
	if (result->error != STORE_OK)
		cancel_finish(c, false);
	else if (c->n == 0)
		cancel_finish(c, true);
	else
		cancel_read(c);
}

static size_t
chunk_size(const struct cancel *c)
{
	return c->n - c->at < CANCEL_CHUNK ? c->n - c->at : CANCEL_CHUNK;
}

/* First step of a chunk: read which of the jobs exist. */
static void
cancel_read(struct cancel *c)
{
	char keys[CANCEL_CHUNK][BATCH_KEY_MAX];
	struct store_op ops[CANCEL_CHUNK] = { { 0 } };
	struct store_txn_request txn = { 0 };
	size_t i, n;

	n = chunk_size(c);
	for (i = 0; i < n; i++) {
		snprintf(keys[i], BATCH_KEY_MAX, BATCH_JOB_PREFIX "%s",
		    c->ids[c->at + i]);
		ops[i].kind = STORE_GET;
		ops[i].key = keys[i];
	}
	txn.success = ops;
	txn.nsuccess = n;
	c->writing = false;
	if (store_txn(c->request.batch->entry->store, &txn, on_cancel, c) !=
	    STORE_OK)
		cancel_finish(c, false);
}

static bool
any_unknown(const struct cancel *c)
{
	size_t i;

	for (i = c->at; i < c->at + chunk_size(c); i++) {
		if (!c->found[i])
			return true;
	}
	return false;
}

static void
grant_lease(struct cancel *c)
{
	if (store_lease_grant(c->request.batch->entry->store,
		UNKNOWN_MARK_TTL_S, on_lease, c) != STORE_OK)
		cancel_finish(c, false);
}

static void
on_lease(const struct store_lease_result *result, void *ctx)
{
	struct cancel *c;

	c = ctx;
	if (c->request.batch == NULL) {
		cancel_free(c);
		return;
	}
	if (result->error != STORE_OK) {
		cancel_finish(c, false);
		return;
	}
	c->lease = result->lease;
	cancel_write(c);
}

static size_t
add_marks(
    const struct cancel *c, struct store_op *ops, char (*keys)[BATCH_KEY_MAX])
{
	size_t i, n;

	n = chunk_size(c);
	for (i = 0; i < n; i++) {
		snprintf(keys[i], BATCH_KEY_MAX,
		    BATCH_JOB_PREFIX "%s/cancelled", c->ids[c->at + i]);
		ops[i].kind = STORE_PUT;
		ops[i].key = keys[i];
		ops[i].value = "{}";
		ops[i].len = 2;
		ops[i].lease = c->found[c->at + i] ? 0 : c->lease;
	}
	return n;
}

/* The jobs that were not found still don't exist. */
static size_t
add_compares(const struct cancel *c, struct store_compare *compares,
    char (*keys)[BATCH_KEY_MAX])
{
	size_t i, n;

	n = 0;
	for (i = c->at; i < c->at + chunk_size(c); i++) {
		if (c->found[i])
			continue;
		snprintf(
		    keys[n], BATCH_KEY_MAX, BATCH_JOB_PREFIX "%s", c->ids[i]);
		compares[n].key = keys[n];
		compares[n].target = STORE_MOD_REVISION;
		compares[n].relation = STORE_EQUAL;
		n++;
	}
	return n;
}

/*
 * Second step of a chunk: mark the jobs, which also reaches tasks that are
 * moving between shards, and write to the inbox of every shard.  It is one
 * transaction so that a burst of cancellations frees its room in one round.
 */
static void
cancel_write(struct cancel *c)
{
	static char keys[CANCEL_CHUNK + SHARDS_MAX][BATCH_KEY_MAX];
	static char compared[CANCEL_CHUNK][BATCH_KEY_MAX];
	struct store_compare compares[CANCEL_CHUNK] = { { 0 } };
	struct store_op ops[CANCEL_CHUNK + SHARDS_MAX] = { { 0 } };
	char ids[CANCEL_CHUNK][LEDGER_ID_MAX];
	struct store_txn_request txn = { 0 };
	struct inbox_item item = { 0 };
	struct fleet_shard *rack;
	char name[BATCH_KEY_MAX], *text;
	struct batch *b;
	size_t i, n;

	b = c->request.batch;
	for (i = c->at; i < c->at + chunk_size(c); i++) {
		if (c->found[i])
			strlcpy(ids[item.njobs++], c->ids[i], LEDGER_ID_MAX);
	}
	n = add_marks(c, ops, keys);
	item.kind = INBOX_CANCEL;
	item.jobs = ids;
	text = inbox_item_text(&item);
	batch_item_name(b, name, sizeof(name));
	TAILQ_FOREACH (rack, fleet_racks(b->entry->fleet), link) {
		if (n == CANCEL_CHUNK + SHARDS_MAX || text == NULL ||
		    item.njobs == 0)
			break;
		inbox_key(rack->name, name, keys[n], BATCH_KEY_MAX);
		ops[n].kind = STORE_PUT;
		ops[n].key = keys[n];
		ops[n].value = text;
		ops[n].len = strlen(text);
		n++;
	}
	txn.compares = compares;
	txn.ncompares = add_compares(c, compares, compared);
	txn.success = ops;
	txn.nsuccess = n;
	c->writing = true;
	if (text == NULL ||
	    store_txn(b->entry->store, &txn, on_cancel, c) != STORE_OK)
		cancel_finish(c, false);
	free(text);
}

static void
on_cancel(const struct store_txn_result *result, void *ctx)
{
	struct cancel *c;
	size_t i;

	c = ctx;
	if (c->request.batch == NULL) {
		cancel_free(c);
		return;
	}
	if (result->error == STORE_ERR_UNKNOWN && c->writing) {
		/* Safe to repeat: marks and items may be written twice. */
		counter_inc_reason("lagoonpin_cancel_retries", "lost_answer");
		cancel_write(c);
		return;
	}
	if (result->error != STORE_OK) {
		cancel_finish(c, false);
		return;
	}
	if (!c->writing) {
		for (i = 0; i < result->nops; i++)
			c->found[c->at + i] = result->ops[i].nkvs > 0;
		if (c->lease == 0 && any_unknown(c))
			grant_lease(c);
		else
			cancel_write(c);
		return;
	}
	if (!result->succeeded) {
		/* A job was created in between. */
		counter_inc_reason("lagoonpin_cancel_retries", "created");
		cancel_read(c);
		return;
	}
	c->at += chunk_size(c);
	if (c->at < c->n)
		cancel_read(c);
	else
		cancel_finish(c, true);
}

static void
cancel_finish(struct cancel *c, bool written)
{
	struct httpd_request *r;
	json_t *jobs;
	size_t i;

	r = c->request.http;
	jobs = json_array();
	for (i = 0; i < c->n; i++)
		json_array_append_new(jobs,
		    json_pack("{s:s, s:s}", "id", c->ids[i], "state",
			i >= c->at	? "not_cancelled" :
			    c->found[i] ? "cancelling" :
					  "unknown"));
	log_info("jobs_cancel", "jobs=%zu written=%d", c->at, (int)written);
	if (r != NULL && !written)
		reply_retry(r, 503, "store_away",
		    "not all jobs were cancelled: the key-value store is "
		    "unavailable",
		    RETRY_AFTER_S);
	else if (r != NULL && c->team[0] == '\0' && c->n == 1 && !c->found[0])
		reply_error(r, 404, "unknown_job", "id", "no such job");
	else if (r != NULL)
		reply_json(r, 202, json_pack("{s:O}", "jobs", jobs));
	if (!written)
		counter_inc_reason("lagoonpin_cancels_refused", "store_away");
	json_decref(jobs);
	request_end(&c->request);
	cancel_free(c);
}

static void
cancel_free(struct cancel *c)
{
	free(c->ids);
	free(c->found);
	free(c);
}

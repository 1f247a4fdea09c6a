#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/*
 * The inboxes of shards.  Only the owner of a shard reads its inbox, and only
 * after the store has confirmed the takeover: from then on nobody else deletes
 * items, so the read returns exactly those that no ledger has accepted.  The
 * watch may lag behind this read.  Its older revisions are ignored: otherwise
 * a task that ended long ago would be accepted again.
 */

#define TASKS_OPEN_MAX 2000 /* per shard; more wait in the inbox */
#define ITEMS_PER_WRITE 24

struct inbox_read {
	struct pending_request request;
	char shard[LEDGER_SHARD_MAX];
	uint64_t epoch;
};

static void on_reload_begin(void *);
static void on_put(const struct store_kv *, void *);
static void on_delete(const char *, int64_t, void *);
static void on_reload_end(int64_t, void *);
static struct batch_shard *shard_from_key(struct batch *, const char *);
static struct inbox_entry *entry_find(struct batch_shard *, const char *);
static void entry_put(struct batch_shard *, const struct store_kv *);
static void entry_free(struct batch_shard *, struct inbox_entry *);
static void mark_cancelled(struct batch *, const struct inbox_item *);
static void read_inbox(struct batch_shard *);
static void on_inbox(const struct store_range_result *, void *);
static bool accept_entry(struct batch_shard *, struct inbox_entry *, int64_t);
static bool accept_job(struct batch_shard *, struct inbox_entry *, int64_t);
static bool accept_task(struct batch_shard *, struct inbox_entry *, int64_t);
static bool accept_cancel(struct batch_shard *, struct inbox_entry *);
static uint32_t accept_tasks(
    struct batch_shard *, const struct batch_job *, uint32_t, uint32_t);

const char *
inbox_key(const char *shard, const char *item, char *buf, size_t size)
{
	snprintf(buf, size, BATCH_INBOX_PREFIX "%s/%s", shard, item);
	return buf;
}

void
inbox_open(struct batch *b)
{
	b->watch.prefix = BATCH_INBOX_PREFIX;
	b->watch.reload_begin = on_reload_begin;
	b->watch.on_put = on_put;
	b->watch.on_delete = on_delete;
	b->watch.reload_end = on_reload_end;
	b->watch.ctx = b;
	watch_register(b->entry, &b->watch);
}

static struct batch_shard *
shard_from_key(struct batch *b, const char *key)
{
	char name[LEDGER_SHARD_MAX];
	const char *slash;
	size_t len;

	key += strlen(BATCH_INBOX_PREFIX);
	if ((slash = strchr(key, '/')) == NULL)
		return NULL;
	len = (size_t)(slash - key);
	if (len == 0 || len >= sizeof(name))
		return NULL;
	memcpy(name, key, len);
	name[len] = '\0';
	return batch_shard_find(b, name);
}

static struct inbox_entry *
entry_find(struct batch_shard *s, const char *key)
{
	struct inbox_entry *entry;

	TAILQ_FOREACH (entry, &s->items, link) {
		if (strcmp(entry->key, key) == 0)
			return entry;
	}
	return NULL;
}

static void
entry_free(struct batch_shard *s, struct inbox_entry *entry)
{
	TAILQ_REMOVE(&s->items, entry, link);
	inbox_item_free(&entry->item);
	free(entry->key);
	free(entry);
}

void
inbox_clear(struct batch_shard *s)
{
	while (!TAILQ_EMPTY(&s->items))
		entry_free(s, TAILQ_FIRST(&s->items));
	s->inbox = INBOX_UNREAD;
}

static void
entry_put(struct batch_shard *s, const struct store_kv *kv)
{
	struct inbox_entry *entry;
	struct ledger_fault fault;
	struct inbox_item item;
	enum ledger_json_error error;

	entry = entry_find(s, kv->key);
	if (entry != NULL) {
		entry->listed = true;
		if (kv->mod_revision <= entry->revision)
			return;
	}
	error = inbox_item_parse(kv->value, kv->len, &item, &fault);
	if (error != LEDGER_JSON_OK) {
		counter_inc_reason(
		    "lagoonpin_inbox_refused", ledger_json_strerror(error));
		log_error("inbox_item_refused", "key=%s error=%s field=%s",
		    kv->key, ledger_json_strerror(error), fault.field);
		return;
	}
	if (entry == NULL) {
		if ((entry = calloc(1, sizeof(*entry))) == NULL)
			goto fail;
		if ((entry->key = strdup(kv->key)) == NULL) {
			free(entry);
			goto fail;
		}
		TAILQ_INSERT_TAIL(&s->items, entry, link);
	} else
		inbox_item_free(&entry->item);
	entry->item = item;
	entry->revision = kv->mod_revision;
	entry->listed = true;
	return;

fail:
	inbox_item_free(&item);
	log_error("inbox_item_lost", "key=%s reason=no_memory", kv->key);
	/* Read the whole inbox again later. */
	s->inbox = INBOX_UNREAD;
}

/*
 * Marks cached jobs as cancelled.  Every entry does so, whichever shards it
 * owns: a task that moves between shards would otherwise miss the cancellation.
 */
static void
mark_cancelled(struct batch *b, const struct inbox_item *item)
{
	struct batch_job *job;
	size_t i;

	for (i = 0; i < item->njobs; i++) {
		if ((job = record_find(b, item->jobs[i])) != NULL)
			job->cancelled = true;
	}
}

static void
on_put(const struct store_kv *kv, void *ctx)
{
	struct inbox_item item;
	struct ledger_fault fault;
	struct batch_shard *s;

	if (inbox_item_parse(kv->value, kv->len, &item, &fault) ==
	    LEDGER_JSON_OK) {
		mark_cancelled(ctx, &item);
		inbox_item_free(&item);
	}
	s = shard_from_key(ctx, kv->key);
	if (s == NULL || s->ledger == NULL || s->inbox == INBOX_UNREAD)
		return;
	if (s->inbox == INBOX_READY && kv->mod_revision <= s->inbox_revision)
		return;
	entry_put(s, kv);
}

static void
on_delete(const char *key, int64_t revision, void *ctx)
{
	struct inbox_entry *entry;
	struct batch_shard *s;

	s = shard_from_key(ctx, key);
	if (s == NULL || (entry = entry_find(s, key)) == NULL)
		return;
	if (entry->revision < revision)
		entry_free(s, entry);
}

static void
on_reload_begin(void *ctx)
{
	struct inbox_entry *entry;
	struct batch_shard *s;
	struct batch *b;

	b = ctx;
	TAILQ_FOREACH (s, &b->shards, link) {
		TAILQ_FOREACH (entry, &s->items, link)
			entry->listed = false;
	}
}

static void
on_reload_end(int64_t revision, void *ctx)
{
	struct inbox_entry *entry, *next;
	struct batch_shard *s;
	struct batch *b;

	b = ctx;
	TAILQ_FOREACH (s, &b->shards, link) {
		TAILQ_FOREACH_SAFE(entry, &s->items, link, next)
		{
			if (!entry->listed && entry->revision <= revision &&
			    revision > s->inbox_revision)
				entry_free(s, entry);
		}
	}
}

static void
read_inbox(struct batch_shard *s)
{
	struct store_range_request request = { 0 };
	char key[BATCH_KEY_MAX];
	struct inbox_read *r;

	if ((r = calloc(1, sizeof(*r))) == NULL)
		return;
	strlcpy(r->shard, s->name, sizeof(r->shard));
	r->epoch = s->ledger->epoch;
	request.key = inbox_key(s->name, "", key, sizeof(key));
	request.prefix = true;
	if (store_range(s->batch->entry->store, &request, on_inbox, r) !=
	    STORE_OK) {
		free(r);
		return;
	}
	request_begin(s->batch, &r->request, NULL);
	s->inbox = INBOX_READING;
}

static void
on_inbox(const struct store_range_result *result, void *ctx)
{
	struct inbox_entry *entry, *next;
	struct batch_shard *s;
	struct inbox_read *r;
	size_t i;

	r = ctx;
	s = NULL;
	if (r->request.batch != NULL) {
		s = batch_shard_find(r->request.batch, r->shard);
		request_end(&r->request);
	}
	if (s == NULL || s->ledger == NULL || s->ledger->epoch != r->epoch ||
	    s->inbox != INBOX_READING)
		goto out;
	if (result->error != STORE_OK) {
		counter_inc_reason("lagoonpin_inbox_reads_failed",
		    store_strerror(result->error));
		s->inbox = INBOX_UNREAD;
		goto out;
	}
	s->inbox = INBOX_READY;
	s->inbox_revision = result->revision;
	TAILQ_FOREACH (entry, &s->items, link)
		entry->listed = false;
	for (i = 0; i < result->nkvs; i++)
		entry_put(s, &result->kvs[i]);
	/* Drop items that the watch added and that are deleted since. */
	TAILQ_FOREACH_SAFE(entry, &s->items, link, next)
	{
		if (!entry->listed && entry->revision <= result->revision)
			entry_free(s, entry);
	}
out:
	free(r);
}

static uint32_t
accept_tasks(struct batch_shard *s, const struct batch_job *job, uint32_t first,
    uint32_t count)
{
	struct task_record r = { 0 };
	uint32_t i;

	strlcpy(r.job, job->id, sizeof(r.job));
	r.urgent = job->job.urgent;
	r.size = job->job.size;
	r.run_ms = job->job.run_ms;
	for (i = 0; i < count; i++) {
		r.index = first + i;
		if (ledger_accept(s->ledger, &r) != LEDGER_OK)
			break;
	}
	return i;
}

static bool
accept_job(struct batch_shard *s, struct inbox_entry *entry, int64_t now_ms)
{
	const struct inbox_item *item;
	struct batch_job *job;
	uint32_t n;

	item = &entry->item;
	job = record_get(s->batch, item->job, now_ms);
	if (job == NULL || job->phase == RECORD_LOADING)
		return false;
	if (job->phase == RECORD_MISSING) {
		/* Not expected: one transaction writes record and item. */
		counter_inc_reason("lagoonpin_inbox_refused", "no_job_record");
		log_error("inbox_item_without_job", "job=%s shard=%s",
		    item->job, s->name);
		return false;
	}
	if (s->ledger->ntasks >= TASKS_OPEN_MAX) {
		counter_inc_reason("lagoonpin_inbox_waits", "ledger_full");
		return false;
	}
	n = (uint32_t)(TASKS_OPEN_MAX - s->ledger->ntasks);
	if (n > item->count)
		n = item->count;
	n = accept_tasks(s, job, item->first, n);
	if (n == 0 && item->count != 0)
		return false;
	log_info("tasks_accepted",
	    "job=%s first=%u count=%u shard=%s epoch=%llu", item->job,
	    item->first, n, s->name, (unsigned long long)s->ledger->epoch);
	counter_add(counter_get("lagoonpin_tasks_accepted", ""), n);
	(void)ledger_accept_item(s->ledger, entry->key, entry->revision,
	    item->first + n, item->count - n);
	if (job->cancelled)
		(void)ledger_cancel_job(s->ledger, item->job);
	return true;
}

static bool
accept_task(struct batch_shard *s, struct inbox_entry *entry, int64_t now_ms)
{
	const struct task_record *r;
	struct batch_job *job;

	r = &entry->item.task;
	job = record_get(s->batch, r->job, now_ms);
	if (job == NULL || job->phase == RECORD_LOADING)
		return false;
	/* It moved away and back before the store confirmed the move. */
	if (ledger_find(s->ledger, r->job, r->index) != NULL)
		return false;
	if (ledger_accept(s->ledger, r) != LEDGER_OK)
		return false;
	log_info("task_moved_in",
	    "job=%s task=%u attempt=%u shard=%s epoch=%llu", r->job, r->index,
	    r->attempt, s->name, (unsigned long long)s->ledger->epoch);
	(void)ledger_accept_item(s->ledger, entry->key, entry->revision, 0, 0);
	if (job->cancelled)
		(void)ledger_cancel_job(s->ledger, r->job);
	return true;
}

static bool
accept_cancel(struct batch_shard *s, struct inbox_entry *entry)
{
	struct inbox_item *item;
	size_t i, n;

	item = &entry->item;
	mark_cancelled(s->batch, item);
	n = 0;
	for (i = 0; i < item->njobs; i++)
		n += ledger_cancel_job(s->ledger, item->jobs[i]);
	log_info("tasks_cancelled", "jobs=%zu tasks=%zu shard=%s epoch=%llu",
	    item->njobs, n, s->name, (unsigned long long)s->ledger->epoch);
	counter_add(counter_get("lagoonpin_tasks_cancel_asked", ""), n);
	(void)ledger_accept_item(s->ledger, entry->key, entry->revision, 0, 0);
	return true;
}

static bool
accept_entry(struct batch_shard *s, struct inbox_entry *entry, int64_t now_ms)
{
	switch (entry->item.kind) {
	case INBOX_JOB:
		return accept_job(s, entry, now_ms);
	case INBOX_TASK:
		return accept_task(s, entry, now_ms);
	case INBOX_CANCEL:
		return accept_cancel(s, entry);
	}
	return false;
}

void
inbox_tick(struct batch_shard *s, int64_t now_ms)
{
	struct inbox_entry *entry;
	struct ledger_item *waiting;
	int n;

	if (s->ledger == NULL || s->lost || !ledger_may_send(s->ledger, now_ms))
		return;
	if (s->inbox == INBOX_UNREAD) {
		read_inbox(s);
		return;
	}
	/* Accept nothing while the outcome of a write is unknown. */
	if (s->inbox != INBOX_READY || s->ledger->store_unavailable ||
	    s->ledger->write == WRITE_UNKNOWN)
		return;
	n = 0;
	TAILQ_FOREACH (waiting, &s->ledger->items, link)
		n++;
	TAILQ_FOREACH (entry, &s->items, link) {
		if (n >= ITEMS_PER_WRITE)
			break;
		if (entry->accepted_revision == entry->revision)
			continue;
		if (!accept_entry(s, entry, now_ms))
			continue;
		entry->accepted_revision = entry->revision;
		n++;
	}
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/* Writes ledgers through the commit loop, and reads them back. */

#define OPS_MAX 96

struct ledger_put {
	struct batch_shard *shard;
	uint64_t write; /* value of shard->writes when it was sent */
};

struct ledger_read {
	struct pending_request request;
	char shard[LEDGER_SHARD_MAX];
	uint64_t epoch;
	int64_t sent_ms;
};

/* Operations on other keys, in the transaction of the ledger write. */
struct op_list {
	struct store_op ops[OPS_MAX];
	char *keys[OPS_MAX];
	char *values[OPS_MAX];
	size_t n;
	bool failed;
};

static char *ledger_value(struct ledger *);
static void add_op(
    struct op_list *, enum store_op_kind, const char *key, char *value);
static void free_ops(struct op_list *);
static void add_items(struct ledger *, struct op_list *);
static void add_moves(struct ledger *, struct op_list *);
static void add_summaries(struct ledger *, struct op_list *);
static void on_written(const struct commit_result *, void *);
static void on_read(const struct store_range_result *, void *);

static char *
ledger_value(struct ledger *l)
{
	struct ledger_head head = { 0 };
	struct ledger_text *text;
	struct ledger_task *t;
	struct ledger_job *job;

	strlcpy(head.owner, ledger_owner(l), sizeof(head.owner));
	head.epoch = l->epoch;
	head.change = l->written;
	head.settled = l->phase == LEDGER_RELEASING && l->settled;
	if ((text = ledger_text_open(&head)) == NULL)
		return NULL;
	RB_FOREACH (t, ledger_tree, &l->tree) {
		if (ledger_task_in_record(t))
			ledger_text_task(text, &t->r);
	}
	TAILQ_FOREACH (job, &l->jobs, link) {
		if (job->removed_at == 0)
			ledger_text_job(text, job);
	}
	return ledger_text_close(text);
}

/* Adds an operation; takes ownership of the value. */
static void
add_op(
    struct op_list *list, enum store_op_kind kind, const char *key, char *value)
{
	struct store_op *op;

	if (list->n == OPS_MAX || (kind == STORE_PUT && value == NULL)) {
		free(value);
		list->failed = true;
		return;
	}
	op = &list->ops[list->n];
	memset(op, 0, sizeof(*op));
	if ((list->keys[list->n] = strdup(key)) == NULL)
		list->failed = true;
	list->values[list->n] = value;
	op->kind = kind;
	op->key = list->keys[list->n];
	op->value = value;
	op->len = value == NULL ? 0 : strlen(value);
	list->n++;
}

static void
free_ops(struct op_list *list)
{
	size_t i;

	for (i = 0; i < list->n; i++) {
		free(list->keys[i]);
		free(list->values[i]);
	}
	free(list);
}

/* Deletes or reduces the inbox items whose tasks this write accepts. */
static void
add_items(struct ledger *l, struct op_list *list)
{
	struct inbox_item reduced = { 0 };
	struct inbox_entry *entry;
	struct batch_shard *s;
	struct ledger_item *item;

	s = l->data;
	TAILQ_FOREACH (item, &l->items, link) {
		if (item->remaining_count == 0) {
			add_op(list, STORE_DELETE, item->name, NULL);
			continue;
		}
		TAILQ_FOREACH (entry, &s->items, link) {
			if (strcmp(entry->key, item->name) == 0)
				break;
		}
		if (entry == NULL) {
			list->failed = true;
			return;
		}
		reduced = entry->item;
		reduced.first = item->remaining_first;
		reduced.count = item->remaining_count;
		add_op(list, STORE_PUT, item->name, inbox_item_text(&reduced));
	}
}

static void
add_moves(struct ledger *l, struct op_list *list)
{
	struct inbox_item item = { 0 };
	char name[BATCH_KEY_MAX], key[BATCH_KEY_MAX];
	struct ledger_task *t;

	TAILQ_FOREACH (t, &l->ended, link) {
		if (t->r.state != TASK_MOVED)
			continue;
		item.kind = INBOX_TASK;
		item.task = t->r;
		item.task.state = TASK_PENDING;
		/* The name is fixed, so a repeated write moves it once. */
		snprintf(name, sizeof(name), "move-%s.%u-%u", t->r.job,
		    t->r.index, t->r.moves);
		inbox_key(t->moved_to, name, key, sizeof(key));
		add_op(list, STORE_PUT, key, inbox_item_text(&item));
	}
}

/* Adds the summaries of jobs of which no task is left in this shard. */
static void
add_summaries(struct ledger *l, struct op_list *list)
{
	char key[BATCH_KEY_MAX];
	struct ledger_job *job;
	json_t *o;

	TAILQ_FOREACH (job, &l->jobs, link) {
		if (job->removed_at == 0 ||
		    job->done + job->failed + job->cancelled == 0)
			continue;
		snprintf(key, sizeof(key),
		    BATCH_JOB_PREFIX "%s/part/%s.%llu.%llu", job->id, l->shard,
		    (unsigned long long)l->epoch,
		    (unsigned long long)job->removed_at);
		o = json_pack("{s:I, s:I, s:I, s:I}", "done",
		    (json_int_t)job->done, "failed", (json_int_t)job->failed,
		    "cancelled", (json_int_t)job->cancelled, "ended_ms",
		    (json_int_t)clock_wall_ms());
		add_op(list, STORE_PUT, key, json_dumps(o, JSON_COMPACT));
		json_decref(o);
	}
}

void
write_ledger(struct ledger *l, void *ctx)
{
	struct commit_request put = { 0 };
	char key[BATCH_KEY_MAX];
	struct batch_shard *s;
	struct op_list *list;
	struct ledger_put *p;
	char *value;
	int64_t now_ms;

	s = ctx;
	now_ms = clock_now_ms();
	snprintf(key, sizeof(key), BATCH_LEDGER_PREFIX "%s", s->name);
	(void)ledger_begin_write(l, now_ms);
	p = calloc(1, sizeof(*p));
	list = calloc(1, sizeof(*list));
	value = ledger_value(l);
	if (p == NULL || list == NULL || value == NULL)
		goto fail;
	add_items(l, list);
	add_moves(l, list);
	add_summaries(l, list);
	if (list->failed)
		goto fail;
	p->shard = s;
	p->write = ++s->writes;
	s->write_sent_ms = now_ms;
	put.key = key;
	put.expected = l->revision;
	put.value = value;
	put.len = strlen(value);
	put.also = list->ops;
	put.nalso = list->n;
	put.done = on_written;
	put.ctx = p;
	if (commit_loop_put(s->batch->commit, &put) != STORE_OK)
		goto fail;
	counter_set(counter_get("lagoonpin_ledger_bytes", ""), put.len);
	free(value);
	free_ops(list);
	return;

fail:
	counter_inc_reason("lagoonpin_ledger_writes", "not_queued");
	log_error("ledger_not_written", "shard=%s epoch=%llu reason=not_queued",
	    s->name, (unsigned long long)l->epoch);
	free(value);
	free(p);
	if (list != NULL)
		free_ops(list);
	ledger_write_not_sent(l, now_ms);
}

static void
on_written(const struct commit_result *result, void *ctx)
{
	static const char *const outcomes[] = { "written", "conflict",
		"not_written", "unknown" };
	struct batch_shard *s;
	struct ledger_put *p;
	int64_t now_ms;
	bool current;

	p = ctx;
	s = p->shard;
	current = p->write == s->writes && s->ledger != NULL;
	free(p);
	counter_inc_reason(
	    "lagoonpin_ledger_writes", outcomes[result->outcome]);
	if (!current || s->batch->entry->phase == ENTRY_CLOSING)
		return;
	now_ms = clock_now_ms();
	switch (result->outcome) {
	case COMMIT_WRITTEN:
		ledger_write_done(
		    s->ledger, result->mod_revision, s->write_sent_ms, now_ms);
		break;
	case COMMIT_CONFLICT:
		log_warn("ledger_conflict", "shard=%s epoch=%llu", s->name,
		    (unsigned long long)s->ledger->epoch);
		ledger_write_refused(s->ledger);
		break;
	case COMMIT_NOT_WRITTEN:
		log_warn("ledger_not_written", "shard=%s epoch=%llu reason=%s",
		    s->name, (unsigned long long)s->ledger->epoch,
		    store_strerror(result->error));
		ledger_write_not_sent(s->ledger, now_ms);
		break;
	case COMMIT_UNKNOWN:
		ledger_write_unknown(s->ledger, now_ms);
		break;
	}
	batch_step(s, now_ms);
}

void
read_ledger(struct ledger *l, void *ctx)
{
	struct store_range_request request = { 0 };
	char key[BATCH_KEY_MAX];
	struct batch_shard *s;
	struct ledger_read *r;

	s = ctx;
	if ((r = calloc(1, sizeof(*r))) == NULL)
		goto fail;
	strlcpy(r->shard, s->name, sizeof(r->shard));
	r->epoch = l->epoch;
	r->sent_ms = clock_now_ms();
	snprintf(key, sizeof(key), BATCH_LEDGER_PREFIX "%s", s->name);
	request.key = key;
	if (store_range(s->batch->entry->store, &request, on_read, r) !=
	    STORE_OK)
		goto fail;
	request_begin(s->batch, &r->request, NULL);
	return;

fail:
	free(r);
	ledger_read_done(l, NULL, 0, 0, clock_now_ms());
}

static void
on_read(const struct store_range_result *result, void *ctx)
{
	struct ledger_head *head;
	struct ledger_fault fault;
	struct ledger_doc doc;
	struct batch_shard *s;
	struct ledger_read *r;
	int64_t revision, now_ms;

	r = ctx;
	s = NULL;
	if (r->request.batch != NULL) {
		s = batch_shard_find(r->request.batch, r->shard);
		request_end(&r->request);
	}
	if (s == NULL || s->ledger == NULL || s->ledger->epoch != r->epoch) {
		free(r);
		return;
	}
	memset(&doc, 0, sizeof(doc));
	head = NULL;
	revision = 0;
	if (result->error == STORE_OK) {
		head = &doc.head;
		if (result->nkvs > 0) {
			revision = result->kvs[0].mod_revision;
			if (ledger_json_parse(result->kvs[0].value,
				result->kvs[0].len, &doc,
				&fault) != LEDGER_JSON_OK)
				head = NULL;
		}
	} else
		counter_inc_reason("lagoonpin_ledger_reads_failed",
		    store_strerror(result->error));
	now_ms = clock_now_ms();
	ledger_read_done(s->ledger, head, revision, r->sent_ms, now_ms);
	ledger_doc_free(&doc);
	free(r);
	batch_step(s, now_ms);
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "operators.h"

/*
 * A change of an operator's record: reads the stored record, then runs one
 * transaction that compares its revision with the one that the operator
 * expects, writes the new record and stores the replaced one as history.
 */

/* Time limit for retries of a write with unknown outcome. */
#define DEADLINE_MS 8000
#define READ_MS 2000 /* for the read that precedes the write */
#define RETRY_MS 200
#define BY_SIZE 128

struct change {
	LIST_ENTRY(change) link;
	struct operators *operators;
	struct httpd_request *request; /* NULL: the client has disconnected */
	enum record_kind kind;
	char name[RECORD_NAME_SIZE];
	char key[RECORD_KEY_SIZE];
	char history_key[RECORD_KEY_SIZE];
	char by[BY_SIZE]; /* identifies this change in its history record */
	int64_t expected_revision;
	char *text; /* NULL: delete */
	char *history;
	bool waiting; /* a store request is in flight */
	bool outcome_unknown; /* an earlier write may have been applied */
	int64_t deadline_ms;
	int64_t retry_at_ms;
};

static void free_change(struct change *);
static bool closing(const struct change *);
static void on_disconnect(struct httpd_request *, void *);
static void refuse_store(struct change *, enum store_error);
static void refuse_conflict(struct change *, const struct store_kv *);
static void accept_change(struct change *, int64_t);
static void on_read(const struct store_range_result *, void *);
static char *make_history(const struct change *, const struct store_kv *);
static void write_change(struct change *);
static void on_written(const struct store_txn_result *, void *);
static void finish_change(struct change *, const struct store_txn_result *);
static bool is_own_history(const struct change *, const struct store_kv *);

static void
free_change(struct change *c)
{
	LIST_REMOVE(c, link);
	free(c->text);
	free(c->history);
	free(c);
}

static bool
closing(const struct change *c)
{
	return c->operators->entry->phase == ENTRY_CLOSING;
}

static void
on_disconnect(struct httpd_request *r, void *ctx)
{
	struct change *c;

	(void)r;
	c = ctx;
	c->request = NULL;
}

/* Either nothing was stored, or the outcome of the write is unknown. */
static void
refuse_store(struct change *c, enum store_error error)
{
	const char *reason;

	reason = c->outcome_unknown ? "outcome_unknown" : store_strerror(error);
	counter_inc_reason("lagoonpin_operator_refused", reason);
	log_warn(
	    "change_refused", "key=%s reason=%s by=%s", c->key, reason, c->by);
	if (c->request != NULL && c->outcome_unknown)
		reply_error(c->request, 504, "outcome_unknown", NULL,
		    "no response from the store; read the record before "
		    "trying again");
	else if (c->request != NULL)
		reply_retry(c->request, 503, "store_unavailable",
		    "nothing was stored", 2);
	free_change(c);
}

static void
refuse_conflict(struct change *c, const struct store_kv *current_kv)
{
	struct record record;
	json_t *body, *current;

	counter_inc_reason("lagoonpin_operator_refused", "conflict");
	log_info("change_refused", "key=%s reason=conflict seen=%lld by=%s",
	    c->key, (long long)c->expected_revision, c->by);
	if (c->request != NULL) {
		current = NULL;
		if (current_kv != NULL &&
		    record_parse(c->kind, current_kv->value, current_kv->len,
			&record, NULL) == RECORD_OK)
			current = operators_record(
			    &record, current_kv->mod_revision, 0, NULL);
		body = json_pack("{s:s, s:s, s:I, s:o}", "error", "conflict",
		    "message", "the record isn't at the expected revision",
		    "revision",
		    (json_int_t)(current_kv == NULL ? 0 :
						      current_kv->mod_revision),
		    "current", current == NULL ? json_null() : current);
		reply_json(c->request, 409, body);
	}
	free_change(c);
}

static void
accept_change(struct change *c, int64_t revision)
{
	counter_inc_reason("lagoonpin_operator_accepted",
	    c->text == NULL		  ? "delete" :
		c->expected_revision == 0 ? "create" :
					    "set");
	log_info("change_accepted", "key=%s seen=%lld revision=%lld by=%s",
	    c->key, (long long)c->expected_revision, (long long)revision,
	    c->by);
	if (c->request != NULL)
		reply_json(c->request, 200,
		    json_pack("{s:I}", "revision", (json_int_t)revision));
	free_change(c);
}

void
change_start(struct operators *o, struct httpd_request *r,
    const struct change_request *wanted)
{
	struct store_range_request range = { .deadline_ms = READ_MS };
	struct change *c;

	if ((c = calloc(1, sizeof(*c))) == NULL) {
		reply_error(r, 500, "out_of_memory", NULL, "nothing stored");
		return;
	}
	LIST_INSERT_HEAD(&o->changes, c, link);
	c->operators = o;
	c->kind = wanted->kind;
	c->expected_revision = wanted->expected_revision;
	c->deadline_ms = clock_now_ms() + DEADLINE_MS;
	strlcpy(c->name, wanted->name, sizeof(c->name));
	record_key(wanted->kind, wanted->name, c->key, sizeof(c->key));
	snprintf(c->by, sizeof(c->by), "%s-%llx-%llu", o->entry->opt.id,
	    (unsigned long long)o->entry->incarnation,
	    (unsigned long long)++o->nchanges);
	if (wanted->record != NULL &&
	    record_text(wanted->record, 0, &c->text, NULL) != RECORD_OK)
		goto fail;
	range.key = c->key;
	if (store_range(o->entry->store, &range, on_read, c) != STORE_OK)
		goto fail;
	c->request = r;
	c->waiting = true;
	httpd_on_disconnect(r, on_disconnect, c);
	return;

fail:
	free_change(c);
	reply_error(r, 500, "out_of_memory", NULL, "nothing stored");
}

static void
on_read(const struct store_range_result *r, void *ctx)
{
	const struct store_kv *current_kv;
	struct change *c;

	c = ctx;
	c->waiting = false;
	if (closing(c)) {
		free_change(c);
		return;
	}
	if (r->error != STORE_OK) {
		refuse_store(c, r->error);
		return;
	}
	current_kv = r->nkvs > 0 ? &r->kvs[0] : NULL;
	if ((current_kv == NULL ? 0 : current_kv->mod_revision) !=
	    c->expected_revision) {
		refuse_conflict(c, current_kv);
		return;
	}
	operators_history_key(c->kind, c->name,
	    current_kv == NULL ? 0 : current_kv->version, c->history_key,
	    sizeof(c->history_key));
	if ((c->history = make_history(c, current_kv)) == NULL) {
		refuse_store(c, STORE_ERR_MEMORY);
		return;
	}
	write_change(c);
}

/* Returns the replaced record with the identifier of the change, as JSON. */
static char *
make_history(const struct change *c, const struct store_kv *current_kv)
{
	json_t *old, *history;
	char *text;

	old = current_kv == NULL ?
	    NULL :
	    json_loadb(current_kv->value, current_kv->len, 0, NULL);
	history = json_pack("{s:I, s:s, s:I, s:s, s:o}", "revision",
	    (json_int_t)c->expected_revision, "change",
	    c->text == NULL		  ? "delete" :
		c->expected_revision == 0 ? "create" :
					    "set",
	    "wall_ms", (json_int_t)clock_wall_ms(), "by", c->by, "record",
	    old == NULL ? json_null() : old);
	text = json_dumps(history, JSON_COMPACT);
	json_decref(history);
	return text;
}

static void
write_change(struct change *c)
{
	struct store_compare compare = { .key = c->key,
		.target = STORE_MOD_REVISION,
		.relation = STORE_EQUAL,
		.number = c->expected_revision };
	struct store_op success[2] = {
		{ .kind = c->text == NULL ? STORE_DELETE : STORE_PUT,
		    .key = c->key,
		    .value = c->text,
		    .len = c->text == NULL ? 0 : strlen(c->text) },
		{ .kind = STORE_PUT,
		    .key = c->history_key,
		    .value = c->history,
		    .len = strlen(c->history) },
	};
	struct store_op failure[2] = {
		{ .kind = STORE_GET, .key = c->key },
		{ .kind = STORE_GET, .key = c->history_key },
	};
	struct store_txn_request txn = { .compares = &compare,
		.ncompares = 1,
		.success = success,
		.nsuccess = 2,
		.failure = failure,
		.nfailure = 2 };

	if (store_txn(c->operators->entry->store, &txn, on_written, c) !=
	    STORE_OK) {
		refuse_store(c, STORE_ERR_MEMORY);
		return;
	}
	c->waiting = true;
}

/*
 * A write without a response may have been applied, or may still be.  The same
 * transaction is sent again: if it succeeds, the first one can no longer apply;
 * if it fails, its failure branch reads whether the history record carries the
 * identifier of this change.  Without this check a change reported as refused
 * could be in force.
 */
static void
on_written(const struct store_txn_result *r, void *ctx)
{
	struct change *c;

	c = ctx;
	c->waiting = false;
	if (closing(c)) {
		free_change(c);
		return;
	}
	if (r->error == STORE_OK) {
		finish_change(c, r);
		return;
	}
	if (r->error == STORE_ERR_UNKNOWN)
		c->outcome_unknown = true;
	if (!c->outcome_unknown || clock_now_ms() >= c->deadline_ms) {
		refuse_store(c, r->error);
		return;
	}
	counter_inc_reason(
	    "lagoonpin_operator_retries", store_strerror(r->error));
	c->retry_at_ms = clock_now_ms() + RETRY_MS;
}

static void
finish_change(struct change *c, const struct store_txn_result *r)
{
	const struct store_kv *current_kv, *stored_history;

	if (r->succeeded) {
		accept_change(c, r->revision);
		return;
	}
	current_kv = r->nops > 0 && r->ops[0].nkvs > 0 ? r->ops[0].kvs : NULL;
	stored_history =
	    r->nops > 1 && r->ops[1].nkvs > 0 ? r->ops[1].kvs : NULL;
	if (stored_history != NULL && is_own_history(c, stored_history))
		accept_change(c, stored_history->mod_revision);
	else
		refuse_conflict(c, current_kv);
}

static bool
is_own_history(const struct change *c, const struct store_kv *stored_history)
{
	const char *by;
	json_t *history;
	bool own;

	if ((history = json_loadb(
		 stored_history->value, stored_history->len, 0, NULL)) == NULL)
		return false;
	by = json_string_value(json_object_get(history, "by"));
	own = by != NULL && strcmp(by, c->by) == 0;
	json_decref(history);
	return own;
}

void
change_tick(struct operators *o, int64_t now_ms)
{
	struct change *c, *next;

	for (c = LIST_FIRST(&o->changes); c != NULL; c = next) {
		next = LIST_NEXT(c, link);
		if (!c->waiting && now_ms >= c->retry_at_ms)
			write_change(c);
	}
}

void
change_close(struct operators *o)
{
	struct change *c, *next;

	for (c = LIST_FIRST(&o->changes); c != NULL; c = next) {
		next = LIST_NEXT(c, link);
		c->request = NULL;
		if (!c->waiting)
			free_change(c);
	}
}

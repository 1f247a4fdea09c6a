#include <stdlib.h>
#include <string.h>

#include "commit_int.h"
#include "counter.h"

#define READ_BACK_MS 100
#define READ_BACK_MAX_MS 2000
#define MAX_OPS 100
#define MAX_BYTES (1024UL * 1024)
#define MAX_QUEUED 10000

static int compare_keys(const struct commit_key *, const struct commit_key *);
static struct commit_key *find_key(const struct commit *, const char *);
static struct commit_key *find_or_add_key(struct commit *, const char *);
static bool send_puts(struct commit *);
static bool send_read_back(struct commit *);
static void send_txn(struct commit *, const struct store_txn_request *);
static void answer_puts(
    struct commit *, const struct store_txn_result *, int64_t);
static void answer_read_back(
    struct commit *, const struct store_txn_result *, int64_t);
static const struct store_kv *first_kv(const struct store_op_result *);
static void fail_put(
    struct commit *, struct commit_key *, enum store_error, bool, int64_t);
static void mark_unresolved(struct commit *, struct commit_key *, int64_t);
static void increase_read_back_wait(struct commit *);
static void resolve_put(
    struct commit *, struct commit_key *, const struct store_kv *);
static void finish_written(struct commit *, struct commit_key *, int64_t);
static void move_key(struct commit_key *, struct commit_key_list *);
static void finish_put(
    struct commit *, struct commit_key *, const struct commit_result *);
static bool is_refusal(enum store_error);
static void free_if_closed(struct commit *);

static const char *const outcome_labels[] = { "outcome=\"written\"",
	"outcome=\"conflict\"", "outcome=\"not_written\"",
	"outcome=\"unknown\"" };

RB_PROTOTYPE(commit_keys, commit_key, node, compare_keys)
RB_GENERATE(commit_keys, commit_key, node, compare_keys)

static int
compare_keys(const struct commit_key *a, const struct commit_key *b)
{
	return strcmp(a->name, b->name);
}

struct commit *
commit_open(const struct commit_options *options)
{
	struct commit *c;

	if ((c = calloc(1, sizeof(*c))) == NULL)
		return NULL;
	c->options = *options;
	if (c->options.read_back_ms <= 0)
		c->options.read_back_ms = READ_BACK_MS;
	if (c->options.read_back_max_ms <= 0)
		c->options.read_back_max_ms = READ_BACK_MAX_MS;
	if (c->options.max_ops == 0)
		c->options.max_ops = MAX_OPS;
	if (c->options.max_bytes == 0)
		c->options.max_bytes = MAX_BYTES;
	if (c->options.max_queued == 0)
		c->options.max_queued = MAX_QUEUED;
	RB_INIT(&c->keys);
	TAILQ_INIT(&c->ready);
	TAILQ_INIT(&c->sent);
	TAILQ_INIT(&c->unresolved);
	c->next_send_ms = INT64_MIN;
	return c;
}

void
commit_close(struct commit *c)
{
	struct commit_result result;
	struct commit_key *key;

	if (c == NULL || c->closing)
		return;
	c->closing = true;
	c->busy++;
	if (c->in_flight == IN_FLIGHT_PUTS) {
		TAILQ_FOREACH (key, &c->sent, link)
			STAILQ_FIRST(&key->items)->outcome_unknown = true;
	}
	memset(&result, 0, sizeof(result));
	while ((key = RB_MIN(commit_keys, &c->keys)) != NULL) {
		result.outcome = COMMIT_NOT_WRITTEN;
		result.error = STORE_ERR_CANCELLED;
		if (STAILQ_FIRST(&key->items)->outcome_unknown)
			result.outcome = COMMIT_UNKNOWN;
		finish_put(c, key, &result);
	}
	c->busy--;
	free_if_closed(c);
}

static void
free_if_closed(struct commit *c)
{
	if (c->closing && c->busy == 0 && c->in_flight == IN_FLIGHT_NONE)
		free(c);
}

static struct commit_key *
find_key(const struct commit *c, const char *name)
{
	struct commit_key probe;

	probe.name = (char *)name;
	return RB_FIND(commit_keys, (struct commit_keys *)&c->keys, &probe);
}

static struct commit_key *
find_or_add_key(struct commit *c, const char *name)
{
	struct commit_key *key;

	if ((key = find_key(c, name)) != NULL)
		return key;
	if ((key = calloc(1, sizeof(*key))) == NULL)
		return NULL;
	if ((key->name = strdup(name)) == NULL) {
		free(key);
		return NULL;
	}
	STAILQ_INIT(&key->items);
	RB_INSERT(commit_keys, &c->keys, key);
	TAILQ_INSERT_TAIL(&c->ready, key, link);
	key->list = &c->ready;
	return key;
}

enum store_error
commit_put(struct commit *c, const struct commit_request *put, int64_t now_ms)
{
	struct commit_item *item;
	struct commit_key *key;

	if (c->closing)
		return STORE_ERR_CANCELLED;
	if (1 + put->nalso > c->options.max_ops)
		return STORE_ERR_REFUSED;
	if (c->pending >= c->options.max_queued)
		return STORE_ERR_BUDGET;
	if ((item = commit_item_new(put)) == NULL)
		return STORE_ERR_MEMORY;
	if ((key = find_or_add_key(c, put->key)) == NULL) {
		commit_item_free(item);
		return STORE_ERR_MEMORY;
	}
	STAILQ_INSERT_TAIL(&key->items, item, link);
	c->pending++;
	if (c->next_send_ms < now_ms)
		c->next_send_ms = now_ms;
	return STORE_OK;
}

bool
commit_is_pending(const struct commit *c, const char *name)
{
	return find_key(c, name) != NULL;
}

size_t
commit_pending(const struct commit *c)
{
	return c->pending;
}

int64_t
commit_due_ms(const struct commit *c)
{
	int64_t due_ms;

	due_ms = INT64_MAX;
	if (c->closing || c->in_flight != IN_FLIGHT_NONE)
		return due_ms;
	if (!TAILQ_EMPTY(&c->unresolved))
		due_ms = c->read_back_due_ms;
	if (!TAILQ_EMPTY(&c->ready) && c->next_send_ms < due_ms)
		due_ms = c->next_send_ms;
	/* The minimum interval applies to reading back too. */
	return due_ms < c->next_send_ms ? c->next_send_ms : due_ms;
}

void
commit_tick(struct commit *c, int64_t now_ms)
{
	bool sent;

	if (commit_due_ms(c) > now_ms)
		return;
	c->busy++;
	c->next_send_ms = now_ms + c->options.commit_ms;
	if (!TAILQ_EMPTY(&c->unresolved) && c->read_back_due_ms <= now_ms) {
		c->read_back_due_ms = now_ms + c->read_back_wait_ms;
		sent = send_read_back(c);
	} else
		sent = send_puts(c);
	if (sent)
		counter_inc("lagoonpin_commit_transactions", "");
	c->busy--;
	free_if_closed(c);
}

static bool
send_puts(struct commit *c)
{
	struct store_txn_request txn;
	struct commit_key *key, *next;
	struct commit_batch batch;

	if (commit_batch_open(
		&batch, c->options.max_ops, c->options.max_bytes) == -1)
		return false;
	for (key = TAILQ_FIRST(&c->ready); key != NULL; key = next) {
		next = TAILQ_NEXT(key, link);
		if (!commit_batch_put(&batch, key))
			continue;
		move_key(key, &c->sent);
		if (batch.nsuccess == batch.max_ops ||
		    STAILQ_FIRST(&key->items)->exclusive)
			break;
	}
	memset(&txn, 0, sizeof(txn));
	txn.compares = batch.compares;
	txn.ncompares = batch.nkeys;
	txn.success = batch.success;
	txn.nsuccess = batch.nsuccess;
	txn.failure = batch.failure;
	txn.nfailure = batch.nkeys;
	c->in_flight = IN_FLIGHT_PUTS;
	send_txn(c, &txn);
	commit_batch_close(&batch);
	return true;
}

static bool
send_read_back(struct commit *c)
{
	struct store_txn_request txn;
	struct commit_batch batch;
	struct commit_key *key;

	if (commit_batch_open(
		&batch, c->options.max_ops, c->options.max_bytes) == -1)
		return false;
	while ((key = TAILQ_FIRST(&c->unresolved)) != NULL) {
		if (!commit_batch_get(&batch, key))
			break;
		move_key(key, &c->sent);
	}
	memset(&txn, 0, sizeof(txn));
	txn.success = batch.success;
	txn.nsuccess = batch.nsuccess;
	c->in_flight = IN_FLIGHT_READ_BACK;
	send_txn(c, &txn);
	commit_batch_close(&batch);
	return true;
}

static void
send_txn(struct commit *c, const struct store_txn_request *txn)
{
	struct store_txn_result result;

	memset(&result, 0, sizeof(result));
	result.error = c->options.send(txn, c->options.ctx);
	if (result.error != STORE_OK)
		commit_answer(
		    c, &result, c->next_send_ms - c->options.commit_ms);
}

static bool
is_refusal(enum store_error error)
{
	return error == STORE_ERR_REFUSED || error == STORE_ERR_NO_LEASE;
}

void
commit_answer(
    struct commit *c, const struct store_txn_result *result, int64_t now_ms)
{
	c->busy++;
	if (c->in_flight == IN_FLIGHT_READ_BACK)
		answer_read_back(c, result, now_ms);
	else
		answer_puts(c, result, now_ms);
	c->in_flight = IN_FLIGHT_NONE;
	c->busy--;
	free_if_closed(c);
}

static void
answer_puts(
    struct commit *c, const struct store_txn_result *result, int64_t now_ms)
{
	struct commit_key *key;
	size_t i, n;
	bool shared;

	n = 0;
	TAILQ_FOREACH (key, &c->sent, link)
		n++;
	shared = n > 1;
	/* A callback may call commit_close(), which empties the list. */
	for (i = 0; (key = TAILQ_FIRST(&c->sent)) != NULL; i++) {
		if (result->error != STORE_OK)
			fail_put(c, key, result->error, shared, now_ms);
		else if (result->succeeded)
			finish_written(c, key, result->revision);
		else if (result->nops == n)
			resolve_put(c, key, first_kv(&result->ops[i]));
		else
			mark_unresolved(c, key, now_ms);
	}
}

static void
answer_read_back(
    struct commit *c, const struct store_txn_result *result, int64_t now_ms)
{
	struct commit_key *key;
	size_t i, n;

	n = 0;
	TAILQ_FOREACH (key, &c->sent, link)
		n++;
	if (result->error != STORE_OK || result->nops != n) {
		increase_read_back_wait(c);
		c->read_back_due_ms = now_ms + c->read_back_wait_ms;
		while ((key = TAILQ_FIRST(&c->sent)) != NULL)
			move_key(key, &c->unresolved);
		return;
	}
	c->read_back_due_ms = now_ms;
	for (i = 0; (key = TAILQ_FIRST(&c->sent)) != NULL; i++)
		resolve_put(c, key, first_kv(&result->ops[i]));
}

static const struct store_kv *
first_kv(const struct store_op_result *op)
{
	return op->nkvs > 0 ? &op->kvs[0] : NULL;
}

/* Handles one put of a transaction that failed as a whole. */
static void
fail_put(struct commit *c, struct commit_key *key, enum store_error error,
    bool shared, int64_t now_ms)
{
	struct commit_result result;
	struct commit_item *item;

	item = STAILQ_FIRST(&key->items);
	if (error == STORE_ERR_UNKNOWN) {
		mark_unresolved(c, key, now_ms);
		return;
	}
	if (is_refusal(error) && shared) {
		item->exclusive = true;
		move_key(key, &c->ready);
		return;
	}
	if (item->outcome_unknown) {
		/* The retry wasn't applied; the first transaction may be. */
		if (is_refusal(error))
			item->refusal = error;
		mark_unresolved(c, key, now_ms);
		return;
	}
	memset(&result, 0, sizeof(result));
	result.outcome = COMMIT_NOT_WRITTEN;
	result.error = error;
	finish_put(c, key, &result);
}

static void
mark_unresolved(struct commit *c, struct commit_key *key, int64_t now_ms)
{
	struct commit_item *item;

	item = STAILQ_FIRST(&key->items);
	if (TAILQ_EMPTY(&c->unresolved)) {
		if (item->outcome_unknown)
			increase_read_back_wait(c);
		else
			c->read_back_wait_ms = c->options.read_back_ms;
		c->read_back_due_ms = now_ms + c->read_back_wait_ms;
	}
	item->outcome_unknown = true;
	move_key(key, &c->unresolved);
}

static void
increase_read_back_wait(struct commit *c)
{
	c->read_back_wait_ms *= 2;
	if (c->read_back_wait_ms > c->options.read_back_max_ms)
		c->read_back_wait_ms = c->options.read_back_max_ms;
}

/*
 * Determines the outcome of a put from the current value of its key, after a
 * failed comparison or a read back.
 */
static void
resolve_put(struct commit *c, struct commit_key *key, const struct store_kv *kv)
{
	struct commit_result result;
	const struct commit_item *item;

	item = STAILQ_FIRST(&key->items);
	if ((kv != NULL ? kv->mod_revision : 0) == item->expected &&
	    item->refusal == STORE_OK) {
		move_key(key, &c->ready);
		return;
	}
	memset(&result, 0, sizeof(result));
	if (kv != NULL && item->outcome_unknown &&
	    kv->mod_revision != item->expected && kv->len == item->len &&
	    memcmp(kv->value, item->value, item->len) == 0) {
		finish_written(c, key, kv->mod_revision);
		return;
	}
	result.outcome = COMMIT_CONFLICT;
	result.current = kv;
	result.may_have_been_applied = item->outcome_unknown;
	if ((kv != NULL ? kv->mod_revision : 0) == item->expected) {
		/*
		 * The store may still apply the first transaction, if the
		 * reason for refusing the retry no longer holds.
		 */
		result.outcome = COMMIT_UNKNOWN;
		result.error = item->refusal;
	}
	finish_put(c, key, &result);
}

static void
finish_written(struct commit *c, struct commit_key *key, int64_t revision)
{
	struct commit_result result;

	memset(&result, 0, sizeof(result));
	result.outcome = COMMIT_WRITTEN;
	result.mod_revision = revision;
	finish_put(c, key, &result);
}

/* Reports the outcome of the key's first put and makes the next one ready. */
static void
finish_put(struct commit *c, struct commit_key *key,
    const struct commit_result *result)
{
	struct commit_item *item;

	item = STAILQ_FIRST(&key->items);
	STAILQ_REMOVE_HEAD(&key->items, link);
	c->pending--;
	if (STAILQ_EMPTY(&key->items)) {
		RB_REMOVE(commit_keys, &c->keys, key);
		TAILQ_REMOVE(key->list, key, link);
		free(key->name);
		free(key);
	} else
		move_key(key, &c->ready);
	counter_inc("lagoonpin_commit_puts", outcome_labels[result->outcome]);
	item->done(result, item->ctx);
	commit_item_free(item);
}

static void
move_key(struct commit_key *key, struct commit_key_list *to)
{
	TAILQ_REMOVE(key->list, key, link);
	TAILQ_INSERT_TAIL(to, key, link);
	key->list = to;
}

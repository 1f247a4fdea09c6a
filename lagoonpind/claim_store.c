#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_int.h"
#include "clock.h"
#include "counter.h"
#include "store.h"

/*
 * Batches claim operations into store transactions.  A transaction compares
 * and writes every key of its batch.  If a compare fails, nothing is written
 * and the keys are read in the same transaction.  claim_answer.c applies the
 * result.
 */

#define BATCH_MAX 48
#define LEASE_TTL_S 86400
#define LEASE_RENEW_MS 3600000 /* request a new lease this often */
#define LEASE_USE_MAX_MS (12 * INT64_C(3600000)) /* if renewal fails */
/* Minimum intervals of transactions, which limit the load on the store. */
#define CLAIM_INTERVAL_MS 40
#define SETTLE_INTERVAL_MS 1000

static bool is_in_flight(const struct claim_queue *, const char *);
static size_t take_batch(struct claim_queue *, struct claim_op **);
static enum store_error start_txn(
    struct claim_queue *, struct claim_op **, size_t);
static void send_batch(struct claim_queue *, int64_t);
static void fail_waiting(struct claim_store *);
static bool have_lease(struct claim_store *, int64_t);
static void on_lease(const struct store_lease_result *, void *);

static const char *const mark_names[] = { "open", "not_run", "done" };

const char *
claim_mark_name(enum claim_mark mark)
{
	return mark_names[mark];
}

struct claim_store *
claim_store_open(struct entry *e)
{
	struct claim_store *s;
	int i;

	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	s->entry = e;
	for (i = 0; i < NQUEUES; i++) {
		s->queues[i].store = s;
		s->queues[i].kind = (enum claim_queue_kind)i;
		TAILQ_INIT(&s->queues[i].waiting);
		TAILQ_INIT(&s->queues[i].in_flight);
	}
	return s;
}

void
claim_store_close(struct claim_store *s)
{
	struct claim_op *op;
	int i;

	for (i = 0; i < NQUEUES; i++) {
		while ((op = TAILQ_FIRST(&s->queues[i].waiting)) != NULL) {
			TAILQ_REMOVE(&s->queues[i].waiting, op, link);
			claim_op_free(op);
		}
	}
	free(s);
}

bool
claim_store_in_flight(const struct claim_store *s)
{
	int i;

	for (i = 0; i < NQUEUES; i++) {
		if (!TAILQ_EMPTY(&s->queues[i].in_flight))
			return true;
	}
	return s->lease_pending;
}

bool
claim_store_idle(const struct claim_store *s)
{
	int i;

	for (i = 0; i < NQUEUES; i++) {
		if (!TAILQ_EMPTY(&s->queues[i].in_flight))
			return false;
		if (s->queues[i].nwaiting > 0 &&
		    clock_now_ms() >= s->unavailable_until_ms)
			return false;
	}
	return true;
}

struct claim_op *
claim_op_new(struct claim_store *s, enum claim_queue_kind queue,
    enum claim_op_kind kind, const struct claim *c, enum claim_mark mark)
{
	struct claim_queue *q;
	struct claim_op *op;

	q = &s->queues[queue];
	if ((op = calloc(1, sizeof(*op))) == NULL)
		return NULL;
	op->kind = kind;
	snprintf(op->key, sizeof(op->key), "%s%s", CLAIM_PREFIX, c->id);
	strlcpy(op->nonce, c->nonce, sizeof(op->nonce));
	snprintf(op->value, sizeof(op->value),
	    "{\"schema\":1,\"nonce\":\"%s\",\"mark\":\"%s\"}", c->nonce,
	    claim_mark_name(mark));
	TAILQ_INSERT_TAIL(&q->waiting, op, link);
	q->nwaiting++;
	return op;
}

void
claim_op_free(struct claim_op *op)
{
	if (op->call != NULL)
		op->call->claim_op = NULL;
	free(op);
}

void
claim_requeue(struct claim_queue *q, struct claim_op *op)
{
	TAILQ_INSERT_TAIL(&q->waiting, op, link);
	q->nwaiting++;
}

void
claim_op_complete(struct claim_op *op, enum claim_store_result result,
    const struct claim_record *record)
{
	struct call *c;

	if ((c = op->call) != NULL) {
		c->claim_op = NULL;
		op->call = NULL;
		if (record != NULL &&
		    strcmp(record->nonce, c->claim.nonce) == 0)
			c->claim_revision = record->revision;
		claim_store_answered(&c->claim, result, record, clock_now_ms());
	}
	claim_op_free(op);
}

static bool
is_in_flight(const struct claim_queue *q, const char *key)
{
	const struct claim_op *op;

	TAILQ_FOREACH (op, &q->in_flight, link) {
		if (strcmp(op->key, key) == 0)
			return true;
	}
	return false;
}

/*
 * A key may occur only once among the operations in flight of a queue.  A
 * settle also waits for a write of the same key in flight, since it would not
 * find the record.
 */
static size_t
take_batch(struct claim_queue *q, struct claim_op **batch)
{
	struct claim_op *op, *next;
	size_t n;

	n = 0;
	for (op = TAILQ_FIRST(&q->waiting); op != NULL && n < BATCH_MAX;
	     op = next) {
		next = TAILQ_NEXT(op, link);
		if (is_in_flight(q, op->key) ||
		    (q->kind == QUEUE_SETTLE &&
			is_in_flight(&q->store->queues[QUEUE_WRITE], op->key)))
			continue;
		TAILQ_REMOVE(&q->waiting, op, link);
		q->nwaiting--;
		if (op->call == NULL && op->kind != OP_SETTLE) {
			claim_op_free(op);
			continue;
		}
		TAILQ_INSERT_TAIL(&q->in_flight, op, link);
		batch[n++] = op;
	}
	return n;
}

static enum store_error
start_txn(struct claim_queue *q, struct claim_op **batch, size_t n)
{
	struct store_compare compares[BATCH_MAX];
	struct store_op puts[BATCH_MAX], gets[BATCH_MAX];
	struct store_txn_request txn;
	size_t i;

	memset(puts, 0, sizeof(puts));
	memset(gets, 0, sizeof(gets));
	for (i = 0; i < n; i++) {
		compares[i] = (struct store_compare){ batch[i]->key,
			STORE_MOD_REVISION, STORE_EQUAL, batch[i]->revision };
		puts[i].kind = STORE_PUT;
		puts[i].key = batch[i]->key;
		puts[i].value = batch[i]->value;
		puts[i].len = strlen(batch[i]->value);
		puts[i].lease = q->store->lease;
		gets[i].kind = STORE_GET;
		gets[i].key = batch[i]->key;
	}
	memset(&txn, 0, sizeof(txn));
	txn.success = gets;
	txn.nsuccess = n;
	if (q->kind != QUEUE_READ) {
		txn.compares = compares;
		txn.ncompares = n;
		txn.success = puts;
		txn.failure = gets;
		txn.nfailure = n;
	}
	return store_txn(q->store->entry->store, &txn, claim_group_done, q);
}

static void
send_batch(struct claim_queue *q, int64_t now_ms)
{
	struct claim_op *batch[BATCH_MAX], *op;
	enum store_error error;
	size_t n;

	if ((n = take_batch(q, batch)) == 0)
		return;
	q->last_ms = now_ms;
	error = start_txn(q, batch, n);
	if (error == STORE_OK) {
		counter_add(counter_get("lagoonpin_claims_asked", ""), n);
		counter_inc("lagoonpin_claim_groups", "");
		return;
	}
	while ((op = TAILQ_FIRST(&q->in_flight)) != NULL) {
		TAILQ_REMOVE(&q->in_flight, op, link);
		claim_op_failed(q, op, error);
	}
}

static void
fail_waiting(struct claim_store *s)
{
	struct claim_queue *q;
	struct claim_op *op;
	size_t n;

	q = &s->queues[QUEUE_WRITE];
	for (n = q->nwaiting; n > 0; n--) {
		op = TAILQ_FIRST(&q->waiting);
		TAILQ_REMOVE(&q->waiting, op, link);
		q->nwaiting--;
		claim_op_complete(op, CLAIM_STORE_UNAVAILABLE, NULL);
	}
}

void
claim_store_flush(struct claim_store *s, int64_t now_ms)
{
	static const int64_t interval_ms[NQUEUES] = { CLAIM_INTERVAL_MS,
		CLAIM_INTERVAL_MS, SETTLE_INTERVAL_MS };
	struct claim_queue *q;
	int i;

	if (s->entry->phase == ENTRY_CLOSING)
		return;
	if (now_ms < s->unavailable_until_ms)
		fail_waiting(s);
	for (i = 0; i < NQUEUES; i++) {
		q = &s->queues[i];
		if (q->nwaiting == 0 || !TAILQ_EMPTY(&q->in_flight) ||
		    now_ms - q->last_ms < interval_ms[i])
			continue;
		if (i != QUEUE_READ &&
		    (now_ms < s->unavailable_until_ms ||
			!have_lease(s, now_ms)))
			continue;
		send_batch(q, now_ms);
	}
}

/*
 * Claims share a lease of a day.  A new one is requested every hour, so that
 * a record is kept for most of a day at the cost of one lease an hour.
 */
static bool
have_lease(struct claim_store *s, int64_t now_ms)
{
	if (!s->lease_pending &&
	    (s->lease == 0 || now_ms - s->lease_asked_ms >= LEASE_RENEW_MS)) {
		s->grant_asked_ms = now_ms;
		s->lease_pending = store_lease_grant(s->entry->store,
				       LEASE_TTL_S, on_lease, s) == STORE_OK;
	}
	return s->lease != 0 && now_ms - s->lease_asked_ms < LEASE_USE_MAX_MS;
}

static void
on_lease(const struct store_lease_result *r, void *ctx)
{
	struct claim_store *s;

	s = ctx;
	s->lease_pending = false;
	if (s->entry->phase == ENTRY_CLOSING)
		return;
	if (r->error == STORE_OK) {
		s->lease = r->lease;
		s->lease_asked_ms = s->grant_asked_ms;
	} else if (r->error != STORE_ERR_BUDGET && s->lease == 0) {
		s->unavailable_until_ms = clock_now_ms() + CLAIM_UNAVAILABLE_MS;
	}
	callers_schedule_pass(s->entry->callers);
}

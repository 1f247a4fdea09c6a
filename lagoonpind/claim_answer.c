#include <string.h>

#include <jansson.h>

#include "claim_int.h"
#include "clock.h"
#include "counter.h"
#include "store.h"

/*
 * Applies the result of a transaction to each of its operations.  If a compare
 * failed, operations that conflict with an existing record are reported as
 * such and the rest are queued again.
 */

#define SETTLE_TRIES 3
/* Consecutive failures after which the store counts as unavailable. */
#define FAILURES_MAX 4

static void parse_record(const struct store_kv *, struct claim_record *);
static void update_availability(struct claim_store *, enum store_error);
static void apply(struct claim_queue *, struct claim_op *,
    const struct store_txn_result *, size_t);
static void apply_read(struct claim_op *, const struct store_op_result *);
static void apply_conflict(
    struct claim_queue *, struct claim_op *, const struct store_op_result *);
static void apply_settle(
    struct claim_queue *, struct claim_op *, const struct store_op_result *);

static void
parse_record(const struct store_kv *kv, struct claim_record *r)
{
	const char *mark, *nonce;
	json_t *value;

	memset(r, 0, sizeof(*r));
	r->revision = kv->mod_revision;
	/* A malformed record is treated as a claim of another call. */
	r->mark = CLAIM_MARK_DONE;
	if ((value = json_loadb(kv->value, kv->len, 0, NULL)) == NULL)
		return;
	nonce = json_string_value(json_object_get(value, "nonce"));
	mark = json_string_value(json_object_get(value, "mark"));
	if (nonce != NULL && mark != NULL) {
		strlcpy(r->nonce, nonce, sizeof(r->nonce));
		if (strcmp(mark, claim_mark_name(CLAIM_MARK_OPEN)) == 0)
			r->mark = CLAIM_MARK_OPEN;
		else if (strcmp(mark, claim_mark_name(CLAIM_MARK_NOT_RUN)) == 0)
			r->mark = CLAIM_MARK_NOT_RUN;
	}
	json_decref(value);
}

/*
 * While the store is unavailable, new claims fail immediately.  It is so
 * after one STORE_ERR_UNAVAILABLE, or after FAILURES_MAX other failures in
 * succession, such as requests without a response.
 */
static void
update_availability(struct claim_store *s, enum store_error error)
{
	switch (error) {
	case STORE_OK:
		s->failures = 0;
		s->unavailable_until_ms = 0;
		return;
	case STORE_ERR_BUDGET:
	case STORE_ERR_NO_LEASE:
	case STORE_ERR_MEMORY:
		return;
	case STORE_ERR_UNAVAILABLE:
		s->failures = FAILURES_MAX;
		break;
	default:
		s->failures++;
		break;
	}
	if (s->failures >= FAILURES_MAX)
		s->unavailable_until_ms = clock_now_ms() + CLAIM_UNAVAILABLE_MS;
}

void
claim_group_done(const struct store_txn_result *r, void *ctx)
{
	struct claim_op_list ended;
	struct claim_queue *q;
	struct claim_op *op;
	size_t i;

	q = ctx;
	/* Completing an operation may start the next transaction. */
	TAILQ_INIT(&ended);
	update_availability(q->store, r->error);
	TAILQ_CONCAT(&ended, &q->in_flight, link);
	for (i = 0; (op = TAILQ_FIRST(&ended)) != NULL; i++) {
		TAILQ_REMOVE(&ended, op, link);
		if (r->error != STORE_OK)
			claim_op_failed(q, op, r->error);
		else
			apply(q, op, r, i);
	}
	callers_schedule_pass(q->store->entry->callers);
}

static void
apply(struct claim_queue *q, struct claim_op *op,
    const struct store_txn_result *r, size_t i)
{
	struct claim_record own;

	if (q->kind == QUEUE_READ) {
		apply_read(op, &r->ops[i]);
	} else if (r->succeeded && op->kind == OP_SETTLE) {
		claim_op_free(op);
	} else if (r->succeeded) {
		memset(&own, 0, sizeof(own));
		strlcpy(own.nonce, op->nonce, sizeof(own.nonce));
		own.revision = r->revision;
		claim_op_complete(op, CLAIM_STORE_DONE, &own);
	} else if (op->kind == OP_SETTLE) {
		apply_settle(q, op, &r->ops[i]);
	} else {
		apply_conflict(q, op, &r->ops[i]);
	}
}

static void
apply_read(struct claim_op *op, const struct store_op_result *r)
{
	struct claim_record record;

	if (r->nkvs == 0) {
		claim_op_complete(op, CLAIM_STORE_ABSENT, NULL);
		return;
	}
	parse_record(&r->kvs[0], &record);
	claim_op_complete(op, CLAIM_STORE_DONE, &record);
}

static void
apply_conflict(
    struct claim_queue *q, struct claim_op *op, const struct store_op_result *r)
{
	struct claim_record record;
	int64_t revision;

	revision = r->nkvs == 0 ? 0 : r->kvs[0].mod_revision;
	/* Its own compare succeeded; another one in the batch failed. */
	if (revision == op->revision) {
		claim_requeue(q, op);
		q->last_ms = 0; /* no second wait for the interval */
		return;
	}
	if (r->nkvs == 0) {
		claim_op_complete(op, CLAIM_STORE_ABSENT, NULL);
		return;
	}
	parse_record(&r->kvs[0], &record);
	claim_op_complete(op, CLAIM_STORE_CONFLICT, &record);
}

static void
apply_settle(
    struct claim_queue *q, struct claim_op *op, const struct store_op_result *r)
{
	struct claim_record record;

	if (r->nkvs == 0) {
		claim_op_free(op);
		return;
	}
	parse_record(&r->kvs[0], &record);
	if (strcmp(record.nonce, op->nonce) != 0 ||
	    record.mark != CLAIM_MARK_OPEN) {
		claim_op_free(op);
		return;
	}
	op->revision = record.revision;
	claim_requeue(q, op);
}

void
claim_op_failed(
    struct claim_queue *q, struct claim_op *op, enum store_error error)
{
	bool applied;

	applied = error == STORE_ERR_UNKNOWN || error == STORE_ERR_MALFORMED;
	if (error == STORE_ERR_NO_LEASE)
		q->store->lease = 0;
	/* Nothing was written: retry in the next transaction. */
	if (error == STORE_ERR_BUDGET || error == STORE_ERR_NO_LEASE) {
		claim_requeue(q, op);
		return;
	}
	if (op->kind != OP_SETTLE) {
		claim_op_complete(op,
		    applied ? CLAIM_STORE_NO_ANSWER : CLAIM_STORE_UNAVAILABLE,
		    NULL);
		return;
	}
	if (error == STORE_ERR_CANCELLED || ++op->tries >= SETTLE_TRIES) {
		counter_inc_reason("lagoonpin_claims_unsettled", "store_away");
		claim_op_free(op);
		return;
	}
	if (applied)
		op->revision = CLAIM_REVISION_UNKNOWN;
	claim_requeue(q, op);
}

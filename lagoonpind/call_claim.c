#include <stddef.h>
#include <string.h>

#include "claim_store.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/* Claims of non-idempotent calls: the operations of core/claim.c. */

/* Far below the half day that a claim record's lease lasts at least. */
#define AGE_MAX_MS 60000

static struct call *call_of(struct claim *);
static void queue_op(struct claim *, struct callers *, enum claim_queue_kind,
    enum claim_op_kind, int64_t);
static void do_create(struct claim *, void *);
static void do_replace(struct claim *, int64_t, void *);
static void do_read(struct claim *, void *);
static void do_settle(struct claim *, enum claim_mark, void *);
static void do_granted(struct claim *, void *);
static void do_refused(struct claim *, enum claim_refusal, void *);

static struct call *
call_of(struct claim *c)
{
	return (struct call *)((char *)c - offsetof(struct call, claim));
}

void
claim_ops_init(struct callers *cs)
{
	cs->claim_ops.create = do_create;
	cs->claim_ops.replace = do_replace;
	cs->claim_ops.read = do_read;
	cs->claim_ops.settle = do_settle;
	cs->claim_ops.granted = do_granted;
	cs->claim_ops.refused = do_refused;
	cs->claim_ops.ctx = cs;
}

void
call_claim_start(struct call *c, struct attempt *a)
{
	struct claim_options o = {
		.id = c->id,
		.entry = c->callers->entry->opt.id,
		.incarnation = c->callers->entry->incarnation,
		.sequence = ++c->callers->sequence,
		.deadline_ms = c->item.deadline_ms,
		.age_max_ms = AGE_MAX_MS,
		.ops = &c->callers->claim_ops,
	};

	c->claim_attempt = a;
	if (claim_start(&c->claim, &o, clock_now_ms()) == 0)
		return;
	c->claim_attempt = NULL;
	attempt_end(a, OUTCOME_ATTEMPT_NOT_SENT);
	call_refuse(c, OUTCOME_BAD_REQUEST_ID, 0);
}

/* The call has ended: ignore the store's response to its claim. */
void
call_claim_forget(struct call *c)
{
	struct attempt *a;

	/* Not started: the state reads as CLAIM_CREATING, without a nonce. */
	if (c->claim.nonce[0] == '\0')
		return;
	claim_abandon(&c->claim);
	if (c->claim_op != NULL)
		c->claim_op->call = NULL;
	c->claim_op = NULL;
	if ((a = c->claim_attempt) != NULL) {
		c->claim_attempt = NULL;
		attempt_end(a, OUTCOME_ATTEMPT_NOT_SENT);
	}
}

static void
queue_op(struct claim *c, struct callers *cs, enum claim_queue_kind queue,
    enum claim_op_kind kind, int64_t revision)
{
	struct claim_op *op;

	op = claim_op_new(cs->claim_store, queue, kind, c, CLAIM_MARK_OPEN);
	if (op == NULL) {
		/* The call ends at its deadline. */
		log_error(
		    "claim_lost", "request=%s reason=\"out of memory\"", c->id);
		return;
	}
	op->revision = revision;
	op->call = call_of(c);
	op->call->claim_op = op;
	callers_schedule_pass(cs);
}

static void
do_create(struct claim *c, void *ctx)
{
	queue_op(c, ctx, QUEUE_WRITE, OP_CREATE, 0);
}

static void
do_replace(struct claim *c, int64_t revision, void *ctx)
{
	queue_op(c, ctx, QUEUE_WRITE, OP_REPLACE, revision);
}

static void
do_read(struct claim *c, void *ctx)
{
	queue_op(c, ctx, QUEUE_READ, OP_READ, 0);
}

static void
do_settle(struct claim *c, enum claim_mark mark, void *ctx)
{
	struct claim_queue *q;
	struct callers *cs;
	struct claim_op *op;

	cs = ctx;
	q = &cs->claim_store->queues[QUEUE_SETTLE];
	if (q->nwaiting >= CLAIM_SETTLE_QUEUE_MAX) {
		counter_inc_reason("lagoonpin_claims_unsettled", "queue_full");
		return;
	}
	op = claim_op_new(cs->claim_store, QUEUE_SETTLE, OP_SETTLE, c, mark);
	if (op == NULL)
		return;
	op->revision = call_of(c)->claim_revision;
	if (op->revision == 0)
		op->revision = CLAIM_REVISION_UNKNOWN;
}

static void
do_granted(struct claim *c, void *ctx)
{
	struct attempt *a;
	struct call *call;

	(void)ctx;
	call = call_of(c);
	a = call->claim_attempt;
	call->claim_attempt = NULL;
	/* No earlier request with this id has run. */
	call->facts.repeated = false;
	call_dispatch(call, a);
}

static void
do_refused(struct claim *c, enum claim_refusal why, void *ctx)
{
	static const enum outcome_reason reasons[] = {
		[CLAIM_REFUSED_DUPLICATE] = OUTCOME_ALREADY_CLAIMED,
		[CLAIM_REFUSED_STORE] = OUTCOME_STORE_UNAVAILABLE,
		[CLAIM_REFUSED_EXPIRED] = OUTCOME_CLAIM_TOO_OLD,
	};
	struct cached_response kept;
	struct callers *cs;
	struct call *call;

	cs = ctx;
	call = call_of(c);
	counter_inc_reason(
	    "lagoonpin_claims_refused", outcome_reason_name(reasons[why]));
	call->facts.foreign_claim = why == CLAIM_REFUSED_DUPLICATE;
	if (why == CLAIM_REFUSED_DUPLICATE)
		recent_ids_add(cs->recent_ids, call->id, clock_now_ms());
	explain_attempt(
	    call, call->claim_attempt, outcome_reason_name(reasons[why]), 0);
	attempt_end(call->claim_attempt, OUTCOME_ATTEMPT_NOT_SENT);
	call->claim_attempt = NULL;
	/* The response to the call that holds the claim may be cached. */
	if (why == CLAIM_REFUSED_DUPLICATE &&
	    response_cache_get(cs->responses, call->id, call->hash,
		clock_now_ms(), &kept) == 0) {
		admit_cancel(&call->item);
		call_answer(call, &kept, OUTCOME_KEPT_ANSWER);
		return;
	}
	call_refuse(call, reasons[why],
	    why == CLAIM_REFUSED_STORE ? 2 * CLAIM_UNAVAILABLE_MS : 0);
}

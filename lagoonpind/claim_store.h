#ifndef CLAIM_STORE_H
#define CLAIM_STORE_H

#include "callers.h"

/* Requests of call_claim.c to the store, batched by claim_store.c. */

#define CLAIM_PREFIX "lp/claim/"
#define CLAIM_KEY_MAX (sizeof(CLAIM_PREFIX) + CLAIM_ID_MAX)
#define CLAIM_VALUE_MAX 256
#define CLAIM_REVISION_UNKNOWN (-1)
#define CLAIM_SETTLE_QUEUE_MAX 4096
/* After a store failure new claims fail immediately for this time. */
#define CLAIM_UNAVAILABLE_MS 1000

enum claim_op_kind { OP_CREATE, OP_REPLACE, OP_READ, OP_SETTLE };
enum claim_queue_kind { QUEUE_WRITE, QUEUE_READ, QUEUE_SETTLE, NQUEUES };

struct claim_op {
	TAILQ_ENTRY(claim_op) link;
	enum claim_op_kind kind;
	struct call *call; /* NULL: a settle, or the call has ended */
	char key[CLAIM_KEY_MAX];
	char value[CLAIM_VALUE_MAX]; /* written by all kinds but OP_READ */
	char nonce[CLAIM_NONCE_MAX];
	int64_t revision; /* expected mod revision; 0: no record */
	int tries;
};
TAILQ_HEAD(claim_op_list, claim_op);

struct claim_queue {
	struct claim_store *store;
	enum claim_queue_kind kind;
	struct claim_op_list waiting;
	struct claim_op_list in_flight; /* in transaction order */
	size_t nwaiting;
	int64_t last_ms; /* last transaction */
};

struct claim_store {
	struct entry *entry;
	struct claim_queue queues[NQUEUES];
	int64_t lease;
	int64_t lease_asked_ms; /* when lease was requested */
	int64_t grant_asked_ms; /* last lease request */
	bool lease_pending;
	int64_t unavailable_until_ms;
	int failures; /* consecutive */
};

/* Queue an operation; NULL: out of memory. */
struct claim_op *claim_op_new(struct claim_store *, enum claim_queue_kind,
    enum claim_op_kind, const struct claim *, enum claim_mark);

#endif /* CLAIM_STORE_H */

#ifndef CLAIM_STORE_H
#define CLAIM_STORE_H

#include "callers.h"

/* What call_claim.c asks of the store, and claim_store.c carries out. */

#define CLAIM_PREFIX "lp/claim/"
#define CLAIM_KEY_MAX (sizeof(CLAIM_PREFIX) + CLAIM_ID_MAX)
#define CLAIM_VALUE_MAX 256
#define CLAIM_REVISION_UNKNOWN (-1)
#define CLAIM_SETTLE_QUEUE_MAX 4096
/* After a failure newcomers are refused at once for so long. */
#define CLAIM_UNAVAILABLE_MS 1000

enum claim_op_kind { OP_CREATE, OP_REPLACE, OP_READ, OP_SETTLE };
enum claim_queue_kind { QUEUE_WRITE, QUEUE_READ, QUEUE_SETTLE, NQUEUES };

struct claim_op {
	TAILQ_ENTRY(claim_op) link;
	enum claim_op_kind kind;
	struct call *call; /* NULL: settles, and calls that gave up */
	char key[CLAIM_KEY_MAX];
	char value[CLAIM_VALUE_MAX]; /* to be written */
	char nonce[CLAIM_NONCE_MAX];
	int64_t revision; /* that must be there */
	int tries;
};
TAILQ_HEAD(claim_op_list, claim_op);

struct claim_queue {
	struct claim_store *store;
	enum claim_queue_kind kind;
	struct claim_op_list waiting;
	struct claim_op_list in_flight; /* in the order of the transaction */
	size_t nwaiting;
	int64_t last_ms;
};

struct claim_store {
	struct entry *entry;
	struct claim_queue queues[NQUEUES];
	int64_t lease;
	int64_t lease_asked_ms; /* of the lease held */
	int64_t grant_asked_ms;
	bool lease_pending;
	int64_t unavailable_until_ms;
	int failures; /* in a row */
};

/* Queue one; NULL: no memory. */
struct claim_op *claim_op_new(struct claim_store *, enum claim_queue_kind,
    enum claim_op_kind, const struct claim *, enum claim_mark);

#endif /* CLAIM_STORE_H */

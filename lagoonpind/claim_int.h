#ifndef CLAIM_INT_H
#define CLAIM_INT_H

#include "claim_store.h"
#include "store.h"

/* Shared by claim_store.c and claim_answer.c. */

/* The mark as written in a claim record. */
const char *claim_mark_name(enum claim_mark);

/* Frees the operation without notifying its call. */
void claim_op_free(struct claim_op *);
/* Queue the operation for a later transaction. */
void claim_requeue(struct claim_queue *, struct claim_op *);
/* Report to the call, if it still waits, and free op; record may be NULL. */
void claim_op_complete(struct claim_op *, enum claim_store_result,
    const struct claim_record *record);

/* Result of the transaction in flight; ctx is its queue. */
void claim_group_done(const struct store_txn_result *, void *ctx);
/* Handle an operation, already dequeued, whose transaction failed. */
void claim_op_failed(struct claim_queue *, struct claim_op *, enum store_error);

#endif /* CLAIM_INT_H */

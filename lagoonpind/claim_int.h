#ifndef CLAIM_INT_H
#define CLAIM_INT_H

#include "claim_store.h"
#include "store.h"

/* What claim_store.c and claim_answer.c share. */

/* As a record has it. */
const char *claim_mark_name(enum claim_mark);

/* Of no use any more; nobody is told. */
void claim_op_free(struct claim_op *);
/* Into the next group. */
void claim_requeue(struct claim_queue *, struct claim_op *);
/* Tell the call, if it still waits, and free the op; record may be NULL. */
void claim_op_complete(struct claim_op *, enum claim_store_result,
    const struct claim_record *record);

/* The store's answer to the group that flies; ctx is its queue. */
void claim_group_done(const struct store_txn_result *, void *ctx);
/* An op, already out of its queue, whose group got no answer. */
void claim_op_failed(struct claim_queue *, struct claim_op *, enum store_error);

#endif /* CLAIM_INT_H */

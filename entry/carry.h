#ifndef CARRY_H
#define CARRY_H

#include "carrywire.h"
#include "seam.h"

/*
 * Members that make the leader's calls to workers.  A call costs an entry far
 * more processor time than the decision behind it, so in a large fleet the
 * leader hands its orders to the members, many to a message, and gets the
 * answers back the same way.  Members decide nothing: what they send carries
 * the leader's term, and a worker refuses it as it would refuse the leader's
 * own.
 */

struct carry;
struct node;

/* Ends that a worker told in an answer to a look that was given up on. */
typedef void carry_late(
    const char *worker, const struct poll_result *, void *ctx);

/* NULL: no memory. */
struct carry *carry_open(struct node *, carry_late *, void *ctx);
/* Calls under way are answered as lost before this returns. */
void carry_close(struct carry *);
/* The workers' table for the leader: by members, or directly. */
void carry_ops(struct carry *, struct worker_ops *);
/* Orders go through members from now on, or not any more. */
void carry_use(struct carry *, bool use);
/* Send what was gathered; call it after each act of the scheduler. */
void carry_flush(struct carry *);
/* Bytes that the next flush will send; 0: there is nothing to send. */
double carry_gathered(const struct carry *);
/* Give up on what wasn't answered. */
void carry_tick(struct carry *, int64_t now_ms);
/* The members aren't those of before, or their terms. */
void carry_members(struct carry *);
/* A member's answers arrived. */
void carry_answered(struct carry *, const void *message, size_t len);

/* The member's side: orders of a leader arrived. */
void carry_orders(struct node *, const void *message, size_t len);
/* Send the answers that came since the last call. */
void carry_reply(struct node *);
/* Forget those that couldn't be sent. */
void carry_drop(struct node *);

#endif /* CARRY_H */

#ifndef RELAY_H
#define RELAY_H

#include "relaywire.h"
#include "seam.h"

/*
 * Members that make the leader's calls to workers.  A call costs an entry far
 * more processor time than the decision behind it, so in a large fleet the
 * leader hands its orders to the members, many to a message, and gets the
 * answers back the same way.  Members decide nothing: what they send carries
 * the leader's term, and a worker refuses it as it would refuse the leader's
 * own.
 */

struct order_relay;
struct node;

/* Ends that a worker told in an answer to a look that was given up on. */
typedef void relay_late_cb(
    const char *worker, const struct poll_result *, void *ctx);

/* NULL: no memory. */
struct order_relay *relay_open(struct node *, relay_late_cb *, void *ctx);
/* Calls under way are answered as lost before this returns. */
void relay_close(struct order_relay *);
/* The workers' table for the leader: by members, or directly. */
void relay_worker_ops(struct order_relay *, struct worker_ops *);
/* Orders go through members from now on, or not any more. */
void relay_enable(struct order_relay *, bool use);
/* Send what was gathered; call it after each act of the scheduler. */
void relay_flush(struct order_relay *);
/* Bytes that the next flush will send; 0: there is nothing to send. */
double relay_pending_bytes(const struct order_relay *);
/* Give up on what wasn't answered. */
void relay_tick(struct order_relay *, int64_t now_ms);
/* The members aren't those of before, or their terms. */
void relay_update_members(struct order_relay *);
/* A member's answers arrived. */
void relay_handle_answers(
    struct order_relay *, const void *message, size_t len);

/* The member's side: orders of a leader arrived. */
void relay_handle_orders(struct node *, const void *message, size_t len);
/* Send the answers that came since the last call. */
void relay_send_answers(struct node *);
/* Forget those that couldn't be sent. */
void relay_free_answers(struct node *);

#endif /* RELAY_H */

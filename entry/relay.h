#ifndef RELAY_H
#define RELAY_H

#include "relaywire.h"
#include "seam.h"

/*
 * Relay of the leader's orders to workers through members.  A call costs an
 * entry far more processor time than the scheduling decision behind it, so in
 * a large fleet the leader sends batches of orders to the members, which make
 * the calls and return the answers in batches.  Members decide nothing: each
 * call includes the leader's term as its fencing token, and workers reject an
 * earlier term whoever makes the call.
 */

struct order_relay;
struct node;

/* Task ends reported in an answer to a poll that had already timed out. */
typedef void relay_late_cb(
    const char *worker, const struct poll_result *, void *ctx);

/* Returns NULL if out of memory. */
struct order_relay *relay_open(struct node *, relay_late_cb *, void *ctx);
/* Calls in flight get ANSWER_LOST before this returns. */
void relay_close(struct order_relay *);
/* Set the callbacks that call workers, through members or directly. */
void relay_worker_ops(struct order_relay *, struct worker_ops *);
/* Whether new orders are sent through members. */
void relay_enable(struct order_relay *, bool enabled);
/* Send the batched orders.  Call it after each run of the scheduler. */
void relay_flush(struct order_relay *);
/* Bytes that the next flush will send; 0 if there is nothing to send. */
double relay_pending_bytes(const struct order_relay *);
/* Expire orders that were not answered in time. */
void relay_tick(struct order_relay *, int64_t now_ms);
/* The member list or a property that the routes depend on has changed. */
void relay_update_members(struct order_relay *);
/* Process a batch of answers from a member. */
void relay_handle_answers(
    struct order_relay *, const void *message, size_t len);

/* On a member: carry out a batch of orders from a leader. */
void relay_handle_orders(struct node *, const void *message, size_t len);
/* Send the answers received since the last call. */
void relay_send_answers(struct node *);
/* Discard the answers that could not be sent, and the running lists. */
void relay_free_answers(struct node *);

#endif /* RELAY_H */

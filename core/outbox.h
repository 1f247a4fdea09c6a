#ifndef OUTBOX_H
#define OUTBOX_H

#include <stdbool.h>
#include <stdint.h>

#include "pacer.h"

/*
 * Rate limiting of a leader's orders: when batched orders are sent, and how
 * many of them may be starts.  It prevents a queue on the leader's link that
 * would delay heartbeats and responses.  Orders to one member are batched into
 * a message, since sending a message costs as much as an order.
 */
struct outbox {
	struct pacer *link; /* counts all that the entry sends */
	bool full; /* the link, as of the last outbox_start_budget() */
	int64_t sent_ms; /* when the last batch was sent */
};

void outbox_init(struct outbox *, struct pacer *link);
/*
 * Number of starts that may be ordered now, in addition to the batched orders.
 * The caller queues the other starts by priority.  Orders that can't wait are
 * sent regardless of the budget.
 */
uint32_t outbox_start_budget(
    struct outbox *, double batched_bytes, int64_t now_ms);
/*
 * When the batched orders should be sent; if that time has passed, now.  While
 * the link is full, orders are batched for longer: message headers would
 * otherwise take a third of the bandwidth.
 */
int64_t outbox_flush_ms(const struct outbox *);
void outbox_flushed(struct outbox *, int64_t now_ms);

#endif /* OUTBOX_H */

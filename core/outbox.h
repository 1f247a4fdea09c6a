#ifndef OUTBOX_H
#define OUTBOX_H

#include <stdbool.h>
#include <stdint.h>

#include "pacer.h"

/*
 * When a leader's orders go out and how many starts may be among them, so that
 * no queue builds up on its link in which beats and answers would wait.
 * Orders to one member share a message; a message costs as much as an order.
 */
struct outbox {
	struct pacer *link; /* the entry's, on which all it sends is counted */
	bool full; /* as of the last outbox_start_budget() */
	int64_t sent_ms; /* gathered orders last went out */
};

void outbox_init(struct outbox *, struct pacer *link);
/*
 * Starts that may be ordered now, beside gathered orders of so many bytes.
 * They wait for the link in the order in which they should go; what can't wait
 * is ordered whatever this says.
 */
uint32_t outbox_start_budget(
    struct outbox *, double gathered_bytes, int64_t now_ms);
/*
 * When gathered orders should go out; a time that has passed: now.  While the
 * link is full they are gathered for longer, so that more of it is left for
 * orders: headers of messages would else take a third of it.
 */
int64_t outbox_flush_ms(const struct outbox *);
void outbox_flushed(struct outbox *, int64_t now_ms);

#endif /* OUTBOX_H */

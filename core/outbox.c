#include "outbox.h"

/*
 * Starts are sent after all other orders, and may overdraw the link by as much
 * as it carries in this time.
 */
#define START_OVERDRAFT_MS 200
/* Estimated size of a start order: names, and a payload of some 100 bytes. */
#define START_BYTES 250
/*
 * Batching delay on a full link: a fraction of the time that starts wait there,
 * and well below the timeout of calls to workers.
 */
#define BATCH_MS 80

void
outbox_init(struct outbox *o, struct pacer *link)
{
	o->link = link;
	o->full = false;
	o->sent_ms = 0;
}

uint32_t
outbox_start_budget(struct outbox *o, double batched_bytes, int64_t now_ms)
{
	double left;

	left = pacer_available(o->link, now_ms) - batched_bytes;
	o->full = left < 0;
	left += o->link->rate * START_OVERDRAFT_MS;
	return left > 0 ? 1 + (uint32_t)(left / START_BYTES) : 0;
}

int64_t
outbox_flush_ms(const struct outbox *o)
{
	return o->full ? o->sent_ms + BATCH_MS : 0;
}

void
outbox_flushed(struct outbox *o, int64_t now_ms)
{
	o->sent_ms = now_ms;
}

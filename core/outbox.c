#include "outbox.h"

/* Starts go last: they may put the link into debt for so long. */
#define START_DEBT_MS 200
/* A start's order: names, and a payload of some hundred bytes. */
#define START_BYTES 250
/*
 * On a full link orders are gathered for so long: a fraction of the time that
 * starts wait there, and much less than calls to workers wait for answers.
 */
#define GATHER_MS 80

void
outbox_init(struct outbox *o, struct pacer *link)
{
	o->link = link;
	o->full = false;
	o->sent_ms = 0;
}

uint32_t
outbox_start_budget(struct outbox *o, double gathered_bytes, int64_t now_ms)
{
	double left;

	left = pacer_available(o->link, now_ms) - gathered_bytes;
	o->full = left < 0;
	left += o->link->rate * START_DEBT_MS;
	return left > 0 ? 1 + (uint32_t)(left / START_BYTES) : 0;
}

int64_t
outbox_flush_ms(const struct outbox *o)
{
	return o->full ? o->sent_ms + GATHER_MS : 0;
}

void
outbox_flushed(struct outbox *o, int64_t now_ms)
{
	o->sent_ms = now_ms;
}

#ifndef PACER_H
#define PACER_H

#include <stdint.h>

/*
 * Token bucket in bytes that paces a link of known rate, so that no queue
 * builds up on it.  Urgent messages are sent at once and only accounted for,
 * so the balance may be negative; others are sent while it is positive.
 */

struct pacer {
	double rate; /* bytes per millisecond */
	double burst; /* bytes; capacity of the bucket */
	double left; /* bytes, as of at_ms */
	int64_t at_ms;
};

void pacer_init(
    struct pacer *, double bytes_per_s, int64_t burst_ms, int64_t now_ms);
void pacer_consume(struct pacer *, double bytes, int64_t now_ms);
/* Bytes that may be sent now; negative if the link is overdrawn. */
double pacer_available(struct pacer *, int64_t now_ms);
/* Milliseconds until the balance is no longer negative; 0 if it isn't. */
int64_t pacer_wait_ms(struct pacer *, int64_t now_ms);

#endif /* PACER_H */

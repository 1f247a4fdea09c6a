#ifndef PACER_H
#define PACER_H

#include <stdint.h>

/*
 * What may be sent over a link of known rate without a queue: a token bucket
 * in bytes.  What can't wait is sent and counted all the same, so the bucket
 * may be in debt; what can wait asks first.
 */

struct pacer {
	double rate; /* bytes a millisecond */
	double burst; /* bytes: as much may be sent at once */
	double left; /* bytes, as of at_ms */
	int64_t at_ms;
};

void pacer_init(
    struct pacer *, double bytes_per_s, int64_t burst_ms, int64_t now_ms);
void pacer_consume(struct pacer *, double bytes, int64_t now_ms);
/* Bytes that may be sent now; less than 0: the debt. */
double pacer_available(struct pacer *, int64_t now_ms);
/* So long until the debt is paid, in milliseconds; 0: there is none. */
int64_t pacer_wait_ms(struct pacer *, int64_t now_ms);

#endif /* PACER_H */

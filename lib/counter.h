#ifndef COUNTER_H
#define COUNTER_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Counters and gauges, printed at GET /metrics in the plain text form that
 * monitoring systems scrape.  One series for each name and label set, made
 * on first use and kept.
 */

struct counter;

/*
 * Find or make a series.  labels is "" or such as reason="queue_full".
 * Never returns NULL: without memory it returns a shared spare series.
 */
struct counter *counter_get(const char *name, const char *labels);

void counter_add(struct counter *, uint64_t);
void counter_set(struct counter *, uint64_t);
uint64_t counter_value(const struct counter *);

/* counter_get and add one; for places that are not hot. */
void counter_inc(const char *name, const char *labels);

/* The usual case: name{reason="..."} goes up by one. */
void counter_inc_reason(const char *name, const char *reason);

/*
 * Latency in milliseconds, by service: buckets, sum and count, as
 * lagoonpin_call_ms_bucket{service="S",le="5"}.
 */
struct latency;
struct latency *latency_get(const char *name, const char *service);
void latency_observe(struct latency *, double ms);

/* All series in text form; the caller frees the buffer.  NULL: no memory. */
char *counter_text(size_t *len);

/* Forget every series, for tests. */
void counter_reset(void);

#endif /* COUNTER_H */

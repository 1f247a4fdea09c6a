#ifndef COUNTER_H
#define COUNTER_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Counters and gauges, exposed at GET /metrics in the Prometheus text format.
 * There is one series for each name and label set, created on first use and
 * kept until counter_reset().
 */

struct counter;

/*
 * Find or create a series.  labels is "" or a list like reason="queue_full".
 * Never returns NULL: when out of memory it returns a shared series that isn't
 * printed.
 */
struct counter *counter_get(const char *name, const char *labels);

void counter_add(struct counter *, uint64_t);
void counter_set(struct counter *, uint64_t);
uint64_t counter_value(const struct counter *);

/* Look up a series and add one; not for frequent use, as it hashes names. */
void counter_inc(const char *name, const char *labels);

/* Increment name{reason="..."}. */
void counter_inc_reason(const char *name, const char *reason);

/*
 * Latency histogram in milliseconds for each service: buckets, sum and count,
 * such as lagoonpin_call_ms_bucket{service="S",le="5"}.
 */
struct latency;
struct latency *latency_get(const char *name, const char *service);
void latency_observe(struct latency *, double ms);

/* All series as text, freed by the caller.  NULL: out of memory. */
char *counter_text(size_t *len);

/* Remove every series, for tests. */
void counter_reset(void);

#endif /* COUNTER_H */

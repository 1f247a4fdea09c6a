#ifndef LEASE_H
#define LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* Leases by id and the time they lapse.  Pure: the time is passed in. */

struct leases;

/* A lease is over: what is under it must go. */
typedef void lease_over_fn(int64_t id, void *ctx);

/* NULL without memory. */
struct leases *leases_open(lease_over_fn *, void *ctx);
void leases_close(struct leases *);

/* The new lease's id; 0 without memory. */
int64_t lease_grant(struct leases *, int64_t ttl_s, int64_t now_ms);
/* The seconds it has now; 0 when there is no such lease. */
int64_t lease_keepalive(struct leases *, int64_t id, int64_t now_ms);
/* False when there is no such lease. */
bool lease_revoke(struct leases *, int64_t id);
bool lease_lives(const struct leases *, int64_t id);

/* End the leases that have lapsed. */
void lease_expire(struct leases *, int64_t now_ms);
/* The time the next one lapses; INT64_MAX: none. */
int64_t lease_due_ms(const struct leases *);

#endif /* LEASE_H */

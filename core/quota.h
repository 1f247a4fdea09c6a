#ifndef QUOTA_H
#define QUOTA_H

#include <stdint.h>

/*
 * Limits the calls per second of each team with token buckets.  A team's rate
 * applies to the whole deployment; each entry enforces an equal share of it,
 * since the load balancer spreads calls evenly and a shared counter would cost
 * a message per call.  A team without a configured rate isn't limited.
 */

struct quota;

struct quota_options {
	int64_t burst_ms; /* bucket size, as time at the team's rate */
};

/* Returns NULL if out of memory. */
struct quota *quota_open(const struct quota_options *);
void quota_close(struct quota *);

/* Set a team's rate; 0 removes it.  Returns -1 if out of memory. */
int quota_set(
    struct quota *, const char *team, int64_t calls_per_s, int64_t now_ms);

/* Set the number of live entries that share each rate; at least 1. */
void quota_set_entries(struct quota *, int entries, int64_t now_ms);

/*
 * Take the tokens for one call from the team's bucket.  Returns 0, or the time
 * in milliseconds until there are enough.
 */
int64_t quota_take(struct quota *, const char *team, int64_t now_ms);

#endif /* QUOTA_H */

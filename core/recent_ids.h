#ifndef RECENT_IDS_H
#define RECENT_IDS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Which request ids were sent to an endpoint from here lately.  A caller may
 * repeat an id whose outcome it doesn't know; if the repeat is refused here,
 * "not-run" would be taken for the id as a whole, which may have run.
 *
 * A table of hashes of constant size: a newer id may push an older one out.
 */

struct recent_ids;

struct recent_ids_options {
	uint32_t ids_max; /* a power of two */
	int64_t keep_ms;
};

/* NULL without memory. */
struct recent_ids *recent_ids_open(const struct recent_ids_options *);
void recent_ids_close(struct recent_ids *);
void recent_ids_add(struct recent_ids *, const char *id, int64_t now_ms);
/* It, or an id of the same hash, went out within keep_ms and is still known. */
bool recent_ids_has(const struct recent_ids *, const char *id, int64_t now_ms);

#endif /* RECENT_IDS_H */

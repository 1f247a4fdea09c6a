#ifndef RECENT_IDS_H
#define RECENT_IDS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Ids of the requests that this entry recently sent to an endpoint.  A caller
 * may repeat an id whose outcome it doesn't know.  If the repeat is refused
 * with "not-run", the caller would take that for all its requests with the id,
 * though an earlier one may have run.
 *
 * The ids are stored as hashes in a table of fixed size, in which a newer id
 * may replace an older one.
 */

struct recent_ids;

struct recent_ids_options {
	uint32_t ids_max; /* a power of two */
	int64_t keep_ms;
};

/* NULL: no memory. */
struct recent_ids *recent_ids_open(const struct recent_ids_options *);
void recent_ids_close(struct recent_ids *);
void recent_ids_add(struct recent_ids *, const char *id, int64_t now_ms);
/*
 * Whether the id is in the table and was added within keep_ms.  An id with the
 * same hash gives a false positive.
 */
bool recent_ids_has(const struct recent_ids *, const char *id, int64_t now_ms);

#endif /* RECENT_IDS_H */

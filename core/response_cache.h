#ifndef RESPONSE_CACHE_H
#define RESPONSE_CACHE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Cache of complete responses to non-idempotent calls, bounded in time and
 * memory.  A caller whose connection broke repeats the request with the same
 * id; an entry that still has the response sends it again instead of reporting
 * an unknown outcome.  The repeat must agree in id, team, service and body, so
 * that no caller gets the response to another one's request.
 */

struct response_cache;

struct response_cache_key {
	const char *id;
	const char *team;
	const char *service;
	const void *body; /* of the request */
	size_t len;
};

struct cached_response {
	int status;
	const char *type; /* content-type, or "" */
	const char *body;
	size_t len;
};

struct response_cache_options {
	size_t entries_max;
	size_t bytes_max;
	int64_t keep_ms;
};

/* NULL: no memory. */
struct response_cache *response_cache_open(
    const struct response_cache_options *);
void response_cache_close(struct response_cache *);

/* Hash of a request, to tell it from another request with the same id. */
uint64_t response_cache_hash(const struct response_cache_key *);

/*
 * Store a copy of the response.  It is not stored if it exceeds bytes_max or
 * there is no memory.
 */
void response_cache_put(struct response_cache *, const char *id, uint64_t hash,
    const struct cached_response *, int64_t now_ms);

/*
 * Look up a response.  Returns 0, or -1 if there is none.  It is valid until
 * the next call of response_cache_put() or response_cache_close().
 */
int response_cache_get(struct response_cache *, const char *id, uint64_t hash,
    int64_t now_ms, struct cached_response *);

#endif /* RESPONSE_CACHE_H */

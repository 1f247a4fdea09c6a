#ifndef RESPONSE_CACHE_H
#define RESPONSE_CACHE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Complete answers of non-idempotent calls, kept for a while within a bound
 * of memory.  A caller whose connection broke repeats its id; if its repeat
 * comes to the entry that still has the answer, it gets the answer instead
 * of "unknown".  The repeat must be the same request in every part that
 * matters, so that no caller sees the answer to somebody else's.
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

/* NULL without memory. */
struct response_cache *response_cache_open(
    const struct response_cache_options *);
void response_cache_close(struct response_cache *);

/* The hash by which a request is told from another one with its id. */
uint64_t response_cache_hash(const struct response_cache_key *);

/* Copies the answer; one that is too large, or no memory: not kept. */
void response_cache_put(struct response_cache *, const char *id, uint64_t hash,
    const struct cached_response *, int64_t now_ms);

/* 0, or -1 if there is none.  The answer is valid until the next call. */
int response_cache_get(struct response_cache *, const char *id, uint64_t hash,
    int64_t now_ms, struct cached_response *);

#endif /* RESPONSE_CACHE_H */

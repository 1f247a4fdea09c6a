#ifndef WIRE_H
#define WIRE_H

#include <jansson.h>

#include "kvs.h"

/*
 * The JSON of the gateway: requests into the store's own types and results
 * into answers.  Encoders return NULL without memory.
 */

/* Decoded bytes, which live as long as the request. */
struct wire_pool {
	char **chunks;
	size_t n;
};

void wire_pool_free(struct wire_pool *);

enum wire_error {
	WIRE_OK,
	WIRE_ERR_SYNTAX, /* not JSON, or not of the request's form */
	WIRE_ERR_MEMORY
};

struct wire_range {
	struct kvs_span span;
	int64_t revision;
	int64_t limit;
	bool keys_only;
	bool count_only;
};

enum wire_error wire_range(
    const json_t *, struct wire_pool *, struct wire_range *);
/* Free with wire_txn_free, also after an error. */
enum wire_error wire_txn(
    const json_t *, struct wire_pool *, struct kvs_request *);
void wire_txn_free(struct kvs_request *);
/* The create_request of a watch. */
enum wire_error wire_watch(const json_t *, struct wire_pool *,
    struct kvs_span *, int64_t *start_revision);

json_t *wire_header(int64_t revision);
json_t *wire_kv(const struct kvs_kv *, bool keys_only);
json_t *wire_list(
    const struct kvs_list *, int64_t revision, bool keys_only, bool count_only);
json_t *wire_txn_answer(const struct kvs_request *, int64_t revision);
json_t *wire_int(int64_t);

#endif /* WIRE_H */

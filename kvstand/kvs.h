#ifndef KVS_H
#define KVS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The keys of the stand-in, in memory: every change has a revision, older
 * versions are kept up to a bound.  Pure: no I/O and no time.
 */

#define KVS_VALUE_MAX (1024UL * 1024)
#define KVS_OPS_MAX 128

struct kvs;

enum kvs_error {
	KVS_OK,
	KVS_ERR_COMPACTED, /* the revision asked for is gone */
	KVS_ERR_FUTURE, /* the revision asked for is still to come */
	KVS_ERR_VALUE_TOO_LARGE,
	KVS_ERR_TOO_MANY_OPS,
	KVS_ERR_DUPLICATE_KEY, /* written twice in one transaction */
	KVS_ERR_EMPTY_KEY,
	KVS_ERR_NO_LEASE,
	KVS_ERR_MEMORY
};

/* Bytes of a key or value, not NUL-terminated. */
struct kvs_bytes {
	const char *data;
	size_t len;
};

struct kvs_kv {
	struct kvs_bytes key;
	struct kvs_bytes value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version; /* 0: a deletion */
	int64_t lease;
};

/* Whether a lease lives; puts under any other are refused. */
typedef bool kvs_lease_lives(int64_t lease, void *ctx);
/* The store has reached a new revision. */
typedef void kvs_committed(int64_t revision, void *ctx);

struct kvs_options {
	size_t history_max; /* versions kept; 0: 10000 */
	size_t history_bytes_max; /* of their values; 0: 256 MiB */
	kvs_lease_lives *lease_lives; /* or NULL: none does */
	kvs_committed *committed; /* or NULL */
	void *ctx;
};

/* NULL without memory. */
struct kvs *kvs_open(const struct kvs_options *);
void kvs_close(struct kvs *);

int64_t kvs_revision(const struct kvs *);
/* Revisions below this one can't be read or watched; 0: none is gone. */
int64_t kvs_compact_revision(const struct kvs *);
enum kvs_error kvs_compact(struct kvs *, int64_t revision);
const char *kvs_strerror(enum kvs_error);

/*
 * Keys from key on and before end.  An empty end: just key; one zero byte:
 * no upper end.
 */
struct kvs_span {
	struct kvs_bytes key;
	struct kvs_bytes end;
};

bool kvs_span_has(const struct kvs_span *, const struct kvs_bytes *key);

/* What kvs_range found; valid until the next change. */
struct kvs_list {
	const struct kvs_kv **kvs;
	size_t n;
	size_t size;
	int64_t count; /* without the limit */
};

void kvs_list_free(struct kvs_list *);

/* revision 0: now; limit 0: none. */
enum kvs_error kvs_range(const struct kvs *, const struct kvs_span *,
    int64_t revision, int64_t limit, struct kvs_list *);

enum kvs_target { KVS_MOD, KVS_CREATE, KVS_VERSION, KVS_VALUE };

enum kvs_relation { KVS_EQUAL, KVS_GREATER, KVS_LESS };

struct kvs_compare {
	struct kvs_bytes key;
	enum kvs_target target;
	enum kvs_relation relation;
	int64_t number;
	struct kvs_bytes value; /* for KVS_VALUE */
};

enum kvs_op_kind { KVS_PUT, KVS_DELETE, KVS_RANGE };

struct kvs_op {
	enum kvs_op_kind kind;
	struct kvs_span span; /* a put: only its key */
	struct kvs_bytes value;
	int64_t lease;
	int64_t limit;
	struct kvs_list found; /* out: of a range, freed with kvs_list_free */
	int64_t deleted; /* out: of a delete */
};

struct kvs_request {
	const struct kvs_compare *compares;
	size_t ncompares;
	struct kvs_op *success;
	size_t nsuccess;
	struct kvs_op *failure;
	size_t nfailure;
	bool succeeded; /* out */
};

/* All or nothing; ops read what those before them wrote. */
enum kvs_error kvs_txn(struct kvs *, struct kvs_request *);

/* Delete every key under a lease, in one revision. */
enum kvs_error kvs_drop_lease(struct kvs *, int64_t lease);

typedef void kvs_event_fn(const struct kvs_kv *, void *ctx);

/* Every kept change from a revision on, in order. */
void kvs_events(const struct kvs *, int64_t from, kvs_event_fn *, void *ctx);

#endif /* KVS_H */

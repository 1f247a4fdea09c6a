#ifndef STORE_H
#define STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "httpc.h"

/*
 * Client of the platform's key-value service: the JSON gateway of the etcd v3
 * protocol.  Keys are text, values are bytes.  Reads are retried within their
 * deadline.  A write is sent once; if it was sent but its outcome is not
 * known, it ends with STORE_ERR_UNKNOWN, and the caller must read back.
 *
 * Every callback runs from the event loop, exactly once per call and never
 * from within the function that started the call.  Data that a result points
 * to is valid only during the callback.
 */

struct store;
struct store_watch;

enum store_error {
	STORE_OK,
	STORE_ERR_UNAVAILABLE, /* certainly not applied */
	STORE_ERR_UNKNOWN, /* a write that may have been applied */
	STORE_ERR_BUDGET, /* rate limit calls_per_s reached: not sent */
	STORE_ERR_REFUSED, /* rejected by the store: not applied */
	STORE_ERR_COMPACTED, /* the requested revision was compacted */
	STORE_ERR_NO_LEASE, /* the lease expired or never existed */
	STORE_ERR_MALFORMED, /* the response to a read doesn't parse */
	STORE_ERR_CANCELLED, /* store_close: not applied */
	STORE_ERR_MEMORY /* not sent */
};

struct store_options {
	uv_loop_t *loop;
	struct httpc *httpc;
	const char *const *endpoints; /* base URLs: http://IP:PORT */
	size_t nendpoints;
	int64_t connect_timeout_ms; /* 0: 500 */
	int64_t call_timeout_ms; /* of one attempt; 0: 2000 */
	int64_t read_deadline_ms; /* of all attempts of a read; 0: 5000 */
	int64_t watch_idle_ms; /* a silent watch is reopened; 0: 60000 */
	int64_t reachable_ms; /* for store_reachable; 0: 6000 */
	int64_t backoff_base_ms; /* 0: 50 */
	int64_t backoff_max_ms; /* 0: 2000 */
	double calls_per_s; /* rate limit; 0: none */
	unsigned long seed; /* of the backoff jitter */
};

/* Returns NULL if out of memory or without endpoints. */
struct store *store_open(const struct store_options *);
/*
 * Ends all watches, and all calls with STORE_ERR_CANCELLED, or with
 * STORE_ERR_UNKNOWN for a write already sent.  The loop must run once more to
 * free the store.  May be called from callbacks.
 */
void store_close(struct store *);
const char *store_strerror(enum store_error);

/* Time of the last valid response, or INT64_MIN if there was none. */
int64_t store_last_answer_ms(const struct store *);
/* Whether the store responded within the last reachable_ms. */
bool store_reachable(const struct store *, int64_t now_ms);
/* Sends and retries what is due.  Called by a timer, and by tests. */
void store_tick(struct store *, int64_t now_ms);

struct store_kv {
	const char *key;
	const char *value; /* NUL-terminated */
	size_t len;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version; /* number of changes since its creation, from 1 */
	int64_t lease; /* 0: none */
};

/* Reads. */
struct store_range_request {
	const char *key;
	bool prefix; /* all keys that begin with key */
	bool keys_only;
	bool serializable; /* may be slightly stale, cheaper for the store */
	int64_t revision; /* 0: latest */
	int64_t limit; /* 0: none */
	int64_t deadline_ms; /* from now; 0: read_deadline_ms */
};

struct store_range_result {
	enum store_error error;
	int64_t revision; /* of the whole store */
	const struct store_kv *kvs; /* sorted by key */
	size_t nkvs;
	bool more; /* limit was reached, more keys exist */
};

typedef void store_range_done(const struct store_range_result *, void *ctx);

/* Returns STORE_OK, or STORE_ERR_MEMORY if the callback will not be called. */
enum store_error store_range(struct store *, const struct store_range_request *,
    store_range_done *, void *ctx);

/* Transactions: run success if all compares hold, else failure. */
enum store_target {
	STORE_MOD_REVISION, /* 0: the key must not exist */
	STORE_CREATE_REVISION,
	STORE_VERSION
};

enum store_relation { STORE_EQUAL, STORE_GREATER, STORE_LESS };

struct store_compare {
	const char *key;
	enum store_target target;
	enum store_relation relation;
	int64_t number;
};

enum store_op_kind {
	STORE_PUT,
	STORE_DELETE,
	STORE_DELETE_PREFIX,
	STORE_GET,
	STORE_GET_PREFIX
};

struct store_op {
	enum store_op_kind kind;
	const char *key;
	const void *value; /* of a put */
	size_t len;
	int64_t lease; /* of a put; 0: none */
};

struct store_txn_request {
	const struct store_compare *compares;
	size_t ncompares;
	const struct store_op *success;
	size_t nsuccess;
	const struct store_op *failure;
	size_t nfailure;
};

/* One per operation of the branch that ran, in order. */
struct store_op_result {
	const struct store_kv *kvs; /* of a get */
	size_t nkvs;
	int64_t deleted; /* number of keys, of a delete */
};

struct store_txn_result {
	enum store_error error;
	bool succeeded; /* the compares held */
	int64_t revision; /* also the mod_revision of the keys put */
	const struct store_op_result *ops;
	size_t nops;
};

typedef void store_txn_done(const struct store_txn_result *, void *ctx);

enum store_error store_txn(struct store *, const struct store_txn_request *,
    store_txn_done *, void *ctx);

/* Leases.  A keepalive is not subject to the rate limit. */
struct store_lease_result {
	enum store_error error;
	int64_t lease;
	int64_t ttl_s;
	int64_t revision;
};

typedef void store_lease_done(const struct store_lease_result *, void *ctx);

enum store_error store_lease_grant(
    struct store *, int64_t ttl_s, store_lease_done *, void *ctx);
enum store_error store_lease_keepalive(
    struct store *, int64_t lease, store_lease_done *, void *ctx);
enum store_error store_lease_revoke(
    struct store *, int64_t lease, store_lease_done *, void *ctx);

/*
 * Watches.  A broken watch resumes after the last revision that it delivered,
 * so that no event is missed or repeated.
 */
enum store_watch_event {
	STORE_EVENT_PUT,
	STORE_EVENT_DELETE /* only key and mod_revision of the kv are set */
};

enum store_watch_loss {
	STORE_WATCH_BROKEN, /* resumes automatically */
	STORE_WATCH_COMPACTED, /* ended: read the range, watch from there */
	STORE_WATCH_CANCELLED /* ended by the store */
};

typedef void store_watch_event_fn(
    enum store_watch_event, const struct store_kv *, void *ctx);
/* All events up to the revision were delivered. */
typedef void store_watch_progress_fn(int64_t revision, void *ctx);
typedef void store_watch_lost_fn(enum store_watch_loss, void *ctx);

struct store_watch_options {
	const char *prefix;
	int64_t start_revision; /* first revision to deliver; > 0 */
	store_watch_event_fn *on_event;
	store_watch_progress_fn *on_progress; /* or NULL */
	store_watch_lost_fn *on_lost; /* or NULL */
	void *ctx;
};

/* Returns NULL if out of memory or the store is closing. */
struct store_watch *store_watch_open(
    struct store *, const struct store_watch_options *);
/*
 * May be called from the callbacks of the watch.  Required also after a final
 * loss; store_close() closes the remaining watches.
 */
void store_watch_close(struct store_watch *);

#endif /* STORE_H */

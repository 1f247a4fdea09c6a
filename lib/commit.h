#ifndef COMMIT_H
#define COMMIT_H

#include "store.h"

/*
 * Group commit: compare-and-swap puts of single keys are queued and sent in
 * batches, one transaction at a time and at most one every commit_ms.  Each
 * put has its own outcome: one whose comparison fails doesn't delay the
 * others of its transaction.
 *
 * When a transaction gets no response, its keys are read back, and nothing
 * else is written to them until the outcome of each put is known.  An
 * unchanged key proves nothing, since the store may still apply the first
 * transaction; so the same put is sent again with the same comparison.  Only
 * one of the two can succeed, and both write the same value, so the value
 * then stored shows the outcome.  This requires values that no other writer
 * would write: the owner and a sequence number, or a nonce, are part of them.
 *
 * The module does no I/O and takes the time as an argument; commit_loop.h
 * connects it to a store client and an event loop.
 */

struct commit;

enum commit_outcome {
	COMMIT_WRITTEN, /* the key has, or had, mod_revision */
	COMMIT_CONFLICT, /* the key isn't at the expected revision */
	COMMIT_NOT_WRITTEN, /* certainly not applied, because of error */
	/*
	 * May have been applied, or may yet be: a transaction got no response
	 * and then the store refused the retry, for example because the lease
	 * had expired, or commit_close() was called.
	 */
	COMMIT_UNKNOWN
};

struct commit_result {
	enum commit_outcome outcome;
	enum store_error error; /* COMMIT_NOT_WRITTEN and COMMIT_UNKNOWN */
	int64_t mod_revision; /* COMMIT_WRITTEN */
	const struct store_kv *current; /* COMMIT_CONFLICT; NULL: no such key */
	/*
	 * COMMIT_CONFLICT: a transaction got no response, so the put may have
	 * been applied and then overwritten by the current value.
	 */
	bool may_have_been_applied;
};

typedef void commit_done(const struct commit_result *, void *ctx);

/* commit_put() copies all of it. */
struct commit_request {
	const char *key;
	int64_t expected; /* its mod_revision; 0: the key must not exist */
	const void *value;
	size_t len;
	int64_t lease; /* 0: none */
	/* Puts and deletes of other keys, applied if and only if the put is. */
	const struct store_op *also;
	size_t nalso;
	commit_done *done; /* never called from within commit_put() */
	void *ctx;
};

/*
 * Sends a transaction.  An error means that nothing was sent; otherwise its
 * result must be passed to commit_answer() exactly once, later.
 */
typedef enum store_error commit_send(
    const struct store_txn_request *, void *ctx);

struct commit_options {
	int64_t commit_ms; /* minimum interval between transactions */
	int64_t read_back_ms; /* initial delay before reading back; 0: 100 */
	int64_t read_back_max_ms; /* 0: 2000 */
	size_t max_ops; /* per transaction; 0: 100 */
	/* Values per transaction; a larger put is sent alone.  0: 1 MiB */
	size_t max_bytes;
	size_t max_queued; /* puts; 0: 10000 */
	commit_send *send;
	void *ctx;
};

/* Returns NULL when out of memory. */
struct commit *commit_open(const struct commit_options *);
/*
 * Ends every put.  The result of a transaction in flight must still be passed
 * to commit_answer().  May be called from callbacks.
 */
void commit_close(struct commit *);

/*
 * Returns STORE_ERR_BUDGET when max_queued puts are queued, STORE_ERR_REFUSED
 * for more operations than a transaction may have, or STORE_ERR_MEMORY; on
 * error done isn't called.
 */
enum store_error commit_put(
    struct commit *, const struct commit_request *, int64_t now_ms);
/* Sends the next transaction if it is due. */
void commit_tick(struct commit *, int64_t now_ms);
/*
 * When commit_tick() must be called next; INT64_MAX: nothing to send before
 * the next commit_put() or commit_answer().
 */
int64_t commit_due_ms(const struct commit *);
void commit_answer(
    struct commit *, const struct store_txn_result *, int64_t now_ms);

/* Whether a put to the key is queued, in flight or of unknown outcome. */
bool commit_is_pending(const struct commit *, const char *key);
size_t commit_pending(const struct commit *);

#endif /* COMMIT_H */

#ifndef COMMIT_H
#define COMMIT_H

#include "store.h"

/*
 * Group commit: callers queue compare-and-swap puts of single keys, which go
 * out together, one transaction at a time and at most one every commit_ms.
 * Each put ends on its own: one that fails its compare doesn't hold up the
 * others of its transaction.
 *
 * When the answer to a transaction is lost, its keys are read back, and
 * nothing else is written to them before it is known what became of each put.
 * A key that hasn't changed proves nothing, since the lost transaction may
 * still be on its way into the store; so the same put is sent again with the
 * same compare.  Only one of the two can succeed, and both write the same
 * value, so what the key then holds tells.  For this a value must be one that
 * no other writer would write: owner and sequence, or a nonce, are part of it.
 *
 * The module does no I/O and takes the time as an argument; commit_loop.h
 * ties it to a store and a loop.
 */

struct commit;

enum commit_outcome {
	COMMIT_WRITTEN, /* the key stands at mod_revision, or did */
	COMMIT_CONFLICT, /* the key isn't at the expected revision */
	COMMIT_NOT_WRITTEN, /* certainly not, because of error */
	/*
	 * May have been, or yet be: an answer was lost and then the store
	 * refused the second sending, as with a lease that has lapsed, or
	 * commit_close came.
	 */
	COMMIT_UNKNOWN
};

struct commit_result {
	enum commit_outcome outcome;
	enum store_error error; /* of COMMIT_NOT_WRITTEN and _UNKNOWN */
	int64_t mod_revision; /* of COMMIT_WRITTEN */
	const struct store_kv *current; /* of COMMIT_CONFLICT; NULL: no key */
	/*
	 * Of COMMIT_CONFLICT: an answer was lost, so the put may have been
	 * applied and then replaced by what is there now.
	 */
	bool may_have_been_applied;
};

typedef void commit_done(const struct commit_result *, void *ctx);

/* All of it is copied. */
struct commit_request {
	const char *key;
	int64_t expected; /* its mod_revision; 0: the key must not exist */
	const void *value;
	size_t len;
	int64_t lease; /* 0: none */
	/* Puts and deletes of other keys, done if and only if the put is. */
	const struct store_op *also;
	size_t nalso;
	commit_done *done; /* never from within commit_put */
	void *ctx;
};

/*
 * Send a transaction.  Unless this returns an error (then nothing was sent)
 * its answer must be handed to commit_answer, once, later.
 */
typedef enum store_error commit_send(
    const struct store_txn_request *, void *ctx);

struct commit_options {
	int64_t commit_ms; /* shortest time between two transactions */
	int64_t read_back_ms; /* first wait before reading back; 0: 100 */
	int64_t read_back_max_ms; /* 0: 2000 */
	size_t max_ops; /* of a transaction; 0: 100 */
	size_t max_bytes; /* of its values, unless it is one put; 0: 1 MiB */
	size_t max_queued; /* puts; 0: 10000 */
	commit_send *send;
	void *ctx;
};

/* NULL without memory. */
struct commit *commit_open(const struct commit_options *);
/*
 * Ends every put.  With a transaction under way, its answer must still be
 * handed to commit_answer.  Allowed in callbacks.
 */
void commit_close(struct commit *);

/*
 * STORE_ERR_BUDGET when max_queued are queued, STORE_ERR_REFUSED for more ops
 * than a transaction takes, STORE_ERR_MEMORY; with these done won't be called.
 */
enum store_error commit_put(
    struct commit *, const struct commit_request *, int64_t now_ms);
/* Send what is due. */
void commit_tick(struct commit *, int64_t now_ms);
/* When commit_tick has something to do; INT64_MAX: wait for an answer. */
int64_t commit_due_ms(const struct commit *);
void commit_answer(
    struct commit *, const struct store_txn_result *, int64_t now_ms);

/* Whether a put to the key is queued, under way or in doubt. */
bool commit_is_pending(const struct commit *, const char *key);
size_t commit_pending(const struct commit *);

#endif /* COMMIT_H */

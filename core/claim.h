#ifndef CLAIM_H
#define CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * At most one run of a non-idempotent request id over all entries.  Before a
 * call is sent, its id is claimed in the store by create-if-absent with a
 * nonce that no other attempt has.  The balancer sends a caller's repeat
 * to any entry; the store lets one of them through.
 *
 * States:
 *	CREATING --done-----------------> GRANTED --finish--> OVER
 *	CREATING --conflict, ours-------> GRANTED
 *	CREATING --conflict, not_run----> REPLACING --done--> GRANTED
 *	CREATING, REPLACING --lost------> READING --ours----> GRANTED
 *	READING  --absent---------------> CREATING
 *	any before GRANTED --too late, store away, foreign--> OVER (refused)
 */

#define CLAIM_ID_MAX 129
#define CLAIM_NONCE_MAX 96

enum claim_state {
	CLAIM_CREATING,
	CLAIM_REPLACING,
	CLAIM_READING,
	CLAIM_GRANTED,
	CLAIM_CLOSED
};

/* What a claim's record says; once NOT_RUN, the id may be claimed anew. */
enum claim_mark { CLAIM_MARK_OPEN, CLAIM_MARK_NOT_RUN, CLAIM_MARK_DONE };

enum claim_store_result {
	CLAIM_STORE_DONE, /* the write took effect, or the read found it */
	CLAIM_STORE_CONFLICT, /* another record is there, as given */
	CLAIM_STORE_ABSENT, /* the read found nothing */
	CLAIM_STORE_NO_ANSWER, /* no answer: it may have taken effect */
	CLAIM_STORE_UNAVAILABLE /* certainly without effect */
};

enum claim_refusal {
	CLAIM_REFUSED_DUPLICATE, /* another attempt holds the id */
	CLAIM_REFUSED_STORE, /* the store doesn't answer */
	CLAIM_REFUSED_EXPIRED /* deadline passed or claim too old */
};

struct claim_record {
	char nonce[CLAIM_NONCE_MAX];
	enum claim_mark mark;
	int64_t revision; /* the store's, for the next compare-and-swap */
};

struct claim;

/* Actions.  The answer to a store action comes back by claim_store_answered. */
struct claim_ops {
	/* Write our record if the key is absent. */
	void (*create)(struct claim *, void *ctx);
	/* Write our record if the key is still at this revision. */
	void (*replace)(struct claim *, int64_t revision, void *ctx);
	void (*read)(struct claim *, void *ctx);
	/*
	 * Write the mark if the key still holds our open record; best effort,
	 * unanswered.
	 */
	void (*settle)(struct claim *, enum claim_mark, void *ctx);
	/* The id is ours: send, after asking claim_may_send. */
	void (*granted)(struct claim *, void *ctx);
	/* It won't be sent.  The claim may be freed in this callback. */
	void (*refused)(struct claim *, enum claim_refusal, void *ctx);
	void *ctx;
};

struct claim_options {
	const char *id;
	const char *entry;
	uint64_t incarnation; /* of the entry; never used twice */
	uint64_t sequence; /* of the claim within the incarnation */
	int64_t deadline_ms; /* of the call */
	int64_t age_max_ms; /* well under the lease of the record */
	const struct claim_ops *ops;
};

/* Read only, outside of this module. */
struct claim {
	char id[CLAIM_ID_MAX];
	char nonce[CLAIM_NONCE_MAX];
	enum claim_state state;
	int64_t deadline_ms;
	int64_t age_max_ms;
	int64_t asked_ms;
	bool may_be_written; /* our record may be or come to be in the store */
	const struct claim_ops *ops;
};

/* -1: id, entry or both too long.  Otherwise create is called. */
int claim_start(struct claim *, const struct claim_options *, int64_t now_ms);

/* The answer to the last create, replace or read; record for CONFLICT and
 * for a read's DONE. */
void claim_store_answered(struct claim *, enum claim_store_result,
    const struct claim_record *, int64_t now_ms);

/*
 * Ask in the same callback that sends, each time: the process may have been
 * paused since the grant.  After a pause longer than the record's lease
 * another entry may hold the id and have run it; the age limit is so far
 * under the lease that a claim this young is still in the store.
 */
bool claim_may_send(const struct claim *, int64_t now_ms);

/*
 * The call is over.  ran: an endpoint ran it or may have.  Not ran, the
 * id is given back, so that the caller's repeat can run.
 */
void claim_finish(struct claim *, bool ran);

/* Give up while the store is asked; the call is certain not to run. */
void claim_abandon(struct claim *);

#endif /* CLAIM_H */

#ifndef CLAIM_H
#define CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Ensures that a non-idempotent request id runs at most once over all entries.
 * Before a call is sent, its id is claimed in the store by create-if-absent
 * with a nonce unique to the attempt.  A caller's repeat may reach any entry
 * through the load balancer; the store grants the claim to one of them.
 *
 * States:
 *	CREATING --done-----------------> GRANTED --finish--> CLOSED
 *	CREATING --conflict, own--------> GRANTED
 *	CREATING --conflict, not_run----> REPLACING --done--> GRANTED
 *	CREATING, REPLACING --no answer-> READING --own-----> GRANTED
 *	READING  --absent---------------> CREATING
 *	any before GRANTED --expired, unavailable, other's--> CLOSED (refused)
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

/* Outcome in a claim's record.  After NOT_RUN the id may be claimed again. */
enum claim_mark { CLAIM_MARK_OPEN, CLAIM_MARK_NOT_RUN, CLAIM_MARK_DONE };

enum claim_store_result {
	CLAIM_STORE_DONE, /* the write took effect, or the read found it */
	CLAIM_STORE_CONFLICT, /* a record exists, and is passed along */
	CLAIM_STORE_ABSENT, /* the read found no record */
	CLAIM_STORE_NO_ANSWER, /* no answer: it may have taken effect */
	CLAIM_STORE_UNAVAILABLE /* certainly had no effect */
};

enum claim_refusal {
	CLAIM_REFUSED_DUPLICATE, /* another attempt holds the id */
	CLAIM_REFUSED_STORE, /* the store is unavailable */
	CLAIM_REFUSED_EXPIRED /* deadline passed or claim too old */
};

struct claim_record {
	char nonce[CLAIM_NONCE_MAX];
	enum claim_mark mark;
	int64_t revision; /* of the store, for compare-and-swap */
};

struct claim;

/*
 * Actions.  The result of create, replace and read is to be passed to
 * claim_store_answered().
 */
struct claim_ops {
	/* Writes the claim's record if the key is absent. */
	void (*create)(struct claim *, void *ctx);
	/* Writes the claim's record if the key is still at this revision. */
	void (*replace)(struct claim *, int64_t revision, void *ctx);
	void (*read)(struct claim *, void *ctx);
	/*
	 * Writes the mark if the key still holds this claim's open record.
	 * Best effort; the result is not reported.
	 */
	void (*settle)(struct claim *, enum claim_mark, void *ctx);
	/* The claim is granted.  Send the call after claim_may_send(). */
	void (*granted)(struct claim *, void *ctx);
	/* The call must not be sent.  The callback may free the claim. */
	void (*refused)(struct claim *, enum claim_refusal, void *ctx);
	void *ctx;
};

struct claim_options {
	const char *id;
	const char *entry;
	uint64_t incarnation; /* of the entry, never reused */
	uint64_t sequence; /* of the claim within the incarnation */
	int64_t deadline_ms; /* of the call */
	int64_t age_max_ms; /* well below the lease of the record */
	const struct claim_ops *ops;
};

/* Read-only outside of this module. */
struct claim {
	char id[CLAIM_ID_MAX];
	char nonce[CLAIM_NONCE_MAX];
	enum claim_state state;
	int64_t deadline_ms;
	int64_t age_max_ms;
	int64_t asked_ms;
	bool may_be_written; /* the record may be in the store now or later */
	const struct claim_ops *ops;
};

/* Calls create and returns 0, or returns -1 if id or entry is too long. */
int claim_start(struct claim *, const struct claim_options *, int64_t now_ms);

/*
 * Processes the result of the last create, replace or read.  The record is
 * needed for CONFLICT and for DONE of a read.
 */
void claim_store_answered(struct claim *, enum claim_store_result,
    const struct claim_record *, int64_t now_ms);

/*
 * Tells whether the call may be sent.  To be checked before each send in the
 * same callback, because the process may have been paused since the grant.
 * After a pause longer than the record's lease, another entry may have claimed
 * the id and run the call.  The age limit is far enough below the lease that
 * the record of a younger claim is still in the store.
 */
bool claim_may_send(const struct claim *, int64_t now_ms);

/*
 * Closes the claim when the call has ended.  ran: an endpoint ran the call or
 * may have.  Otherwise the id is released, so that the caller's repeat can
 * run.
 */
void claim_finish(struct claim *, bool ran);

/* Closes a claim that is not granted yet; the call will not be sent. */
void claim_abandon(struct claim *);

#endif /* CLAIM_H */

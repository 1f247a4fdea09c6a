#ifndef ELECT_H
#define ELECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Leader election among the entries.  The leader record in the store is
 * authoritative: the entry that replaces it by compare-and-swap leads the next
 * term, and the workers reject orders of an earlier term.  A wrong decision in
 * this module therefore costs an unnecessary change of leader, never safety.
 * The module decides when to attempt a takeover.
 *
 * It covers a leader that was killed, is frozen, or is partitioned from its
 * peers or from the store.  A member that misses the leader's heartbeats
 * requests votes from the others.  It takes over when at least half of them
 * miss the heartbeats too, or when nobody objects and the leader's heartbeat
 * key in the store has stopped changing.  A member that is partitioned alone
 * therefore can't depose a leader that all the others hear.
 */

#define ELECT_ID_MAX 64
#define ELECT_ADDRESS_MAX 64

struct elect_leader {
	char id[ELECT_ID_MAX];
	char address[ELECT_ADDRESS_MAX]; /* of the peer protocol */
	uint64_t incarnation;
	uint64_t term;
	int64_t revision; /* of the leader record in the store */
};

enum elect_role {
	ELECT_FOLLOWER,
	ELECT_PRECANDIDATE, /* has requested votes */
	ELECT_CANDIDATE, /* is writing the leader record */
	ELECT_LEADER
};

/* Result of reading the leader record and the heartbeat key. */
struct elect_record {
	bool found;
	struct elect_leader leader;
	int64_t pulse_revision; /* of the heartbeat key; 0: not written yet */
};

struct elect;

struct elect_actions {
	/* Ask every member whether it hears the leader of the current term. */
	void (*request_votes)(struct elect *, void *ctx);
	/* Read the leader record and heartbeat key, then call elect_read(). */
	void (*read_record)(struct elect *, void *ctx);
	/*
	 * Replace the leader record if it still has that revision (0: doesn't
	 * exist), then call elect_write_done().
	 */
	void (*write_record)(
	    struct elect *, uint64_t term, int64_t revision, void *ctx);
	/* The role or the leader changed. */
	void (*changed)(struct elect *, void *ctx);
};

struct elect_options {
	const char *self;
	const char *address;
	uint64_t incarnation;
	const struct elect_actions *actions;
	void *ctx;
};

struct elect {
	struct elect_options opt;
	enum elect_role role;
	struct elect_leader leader; /* id "": none known */
	int64_t heard_ms; /* last heartbeat of the leader */
	bool leader_has_store; /* as of its last heartbeat */
	int64_t no_store_ms; /* when the leader reported losing the store */
	int64_t store_failed_ms; /* last failed request to the store */
	int64_t store_back_ms; /* first read that succeeded after that */
	uint32_t rank; /* position in the order of succession, from 0 */
	uint32_t members; /* known to the leader, itself excluded */
	uint32_t grants; /* in the current vote */
	uint32_t denials;
	bool vote_resigned; /* the leader's own vote says it doesn't lead */
	bool leader_resigned; /* the leader announced it */
	bool reading;
	bool read_done; /* since the start of the current vote */
	int64_t vote_start_ms;
	int64_t retry_ms; /* earliest start of the next vote */
	int64_t pulse_revision;
	int64_t pulse_ms; /* when that revision was first seen */
	int64_t claim_ms;
	bool no_active_leader; /* resigned, and no earlier leader is active */
	bool no_former_leader; /* no leader of a term before ours is active */
};

void elect_init(struct elect *, const struct elect_options *, int64_t now_ms);
void elect_tick(struct elect *, int64_t now_ms);

/*
 * Process a leader's heartbeat.  Returns false if it is of an earlier term, or
 * if this entry leads.
 */
bool elect_heartbeat(struct elect *, const struct elect_leader *,
    bool has_store, uint32_t rank, uint32_t members, int64_t now_ms);
/* Whether this entry votes for replacing the leader of the term. */
bool elect_grants_vote(const struct elect *, uint64_t term, int64_t now_ms);
/* Count a member's vote on the leader of the term. */
void elect_vote(struct elect *, uint64_t term, bool grant, bool resigned);
/*
 * The leader of the term has resigned.  alone: no leader of an earlier term is
 * active either; one that doesn't know of its replacement stays active for a
 * while.
 */
void elect_resigned(struct elect *, uint64_t term, bool alone, int64_t now_ms);
/* A request to the store failed at that time. */
void elect_store_failed(struct elect *, int64_t at_ms);
/* Process the result of read_record(); NULL if the read failed. */
void elect_read(struct elect *, const struct elect_record *, int64_t now_ms);

enum elect_write_result {
	ELECT_WRITE_DONE,
	ELECT_WRITE_CONFLICT,
	ELECT_WRITE_UNKNOWN /* may have taken effect */
};
/* Process the result of write_record(). */
void elect_write_done(
    struct elect *, enum elect_write_result, int64_t revision, int64_t now_ms);
/* Stop leading: another entry leads a later term, or this one gives up. */
void elect_step_down(struct elect *, int64_t now_ms);

#endif /* ELECT_H */

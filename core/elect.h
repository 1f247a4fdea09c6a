#ifndef ELECT_H
#define ELECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which entry leads.  The store's record of the leader decides: whoever
 * replaces it by compare-and-swap leads the next term, and the workers
 * refuse orders of an earlier one.  So a wrong decision here costs a
 * hand-over, never safety.  This module decides when to try.
 *
 * Failure answered: the leader is killed, frozen, cut from its peers or cut
 * from the store.  A member that hears nothing for silence_ms asks the
 * others.  It takes over when most of them hear nothing either, or when the
 * leader's pulse in the store has stood still; so one that is cut off alone
 * doesn't depose a leader whom all others hear.
 */

#define ELECT_ID_MAX 64
#define ELECT_ADDRESS_MAX 64

struct elect_leader {
	char id[ELECT_ID_MAX];
	char address[ELECT_ADDRESS_MAX]; /* for messages between entries */
	uint64_t incarnation;
	uint64_t term;
	int64_t revision; /* of its record in the store */
};

enum elect_role {
	ELECT_FOLLOWER,
	ELECT_PRECANDIDATE,
	ELECT_CANDIDATE,
	ELECT_LEADER
};

/* What a read of the leader's record and pulse gave. */
struct elect_record {
	bool found;
	struct elect_leader leader;
	int64_t pulse_revision; /* 0: there is no pulse yet */
};

struct elect;

struct elect_actions {
	/* Ask every member whether it hears the leader of our term. */
	void (*request_votes)(struct elect *, void *ctx);
	/* Read the record and the pulse, then call elect_read(). */
	void (*read_record)(struct elect *, void *ctx);
	/* Replace the record of that revision (0: none) by ours. */
	void (*write_record)(
	    struct elect *, uint64_t term, int64_t revision, void *ctx);
	/* elect->role or elect->leader changed. */
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
	int64_t heard_ms; /* the leader's last beat */
	bool leader_has_store; /* as its last beat said */
	int64_t no_store_ms; /* since when it said no */
	int64_t store_failed_ms; /* when we had no answer of the store */
	int64_t store_back_ms; /* when it first answered after that */
	uint32_t rank; /* among those that may follow it, 0 first */
	uint32_t members; /* others that the leader knows, it excluded */
	uint32_t grants; /* of the question under way */
	uint32_t denials;
	bool vote_resigned; /* the leader's own process says that it isn't */
	bool leader_resigned; /* it has told so by itself */
	bool reading;
	bool read_done; /* of the question under way */
	int64_t asked_ms;
	int64_t retry_ms; /* not before */
	int64_t pulse_revision;
	int64_t pulse_ms; /* when that revision was first seen */
	int64_t taking_ms;
	bool no_active_leader; /* and that nobody before it acts any more */
	bool no_former_leader; /* nobody that led before us still acts */
};

void elect_init(struct elect *, const struct elect_options *, int64_t now_ms);
void elect_tick(struct elect *, int64_t now_ms);

/* A beat of a leader; false: an earlier one than that we know. */
bool elect_heartbeat(struct elect *, const struct elect_leader *,
    bool has_store, uint32_t rank, uint32_t members, int64_t now_ms);
/* Should a member that asks about the leader of that term take over? */
bool elect_grants_vote(const struct elect *, uint64_t term, int64_t now_ms);
void elect_vote(struct elect *, uint64_t term, bool grant, bool resigned);
/*
 * The leader of that term leads no more.  alone: nor does any before it act, as
 * one does for a while that was replaced without knowing.
 */
void elect_resigned(struct elect *, uint64_t term, bool alone, int64_t now_ms);
/* The store didn't answer us then. */
void elect_store_failed(struct elect *, int64_t at_ms);
/* record NULL: the read failed. */
void elect_read(struct elect *, const struct elect_record *, int64_t now_ms);

enum elect_write_result {
	ELECT_WRITE_DONE,
	ELECT_WRITE_CONFLICT,
	ELECT_WRITE_UNKNOWN
};
void elect_write_done(
    struct elect *, enum elect_write_result, int64_t revision, int64_t now_ms);
/* Somebody leads a later term, or we give up the lead. */
void elect_step_down(struct elect *, int64_t now_ms);

#endif /* ELECT_H */

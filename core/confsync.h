#ifndef CONFSYNC_H
#define CONFSYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "confirmation.h"

/*
 * What an entry knows about the newest version of the operators' configuration,
 * how old that knowledge is, and when to read the store or to ask a peer.
 *
 * The store can reject an entry while it serves the others.  An entry that
 * depended on its own calls went on to answer by an old version, though each
 * heartbeat told it of a newer one: it refused requests for queues that
 * existed.  So a peer that has a newer version is asked for it, and what the
 * store hasn't confirmed can be confirmed by a peer.
 *
 * All times are in milliseconds of one steady clock.
 */

/* The leader reads so often; what it knows confirms its members. */
#define CONFSYNC_READ_INTERVAL_MS INT64_C(900)
/* A member whose knowledge is older reads the store itself. */
#define CONFSYNC_CONFIRM_MAX_MS INT64_C(1600)
/* Interval of reads while a newer version is known, or none at all is. */
#define CONFSYNC_RETRY_MS INT64_C(200)
/* The store's own watch brings most versions within this time. */
#define CONFSYNC_ASK_DELAY_MS INT64_C(100)
/* The first peer asked gets this time; the next one is asked then. */
#define CONFSYNC_ASK_RETRY_MS INT64_C(300)

struct confsync {
	int64_t version; /* in force; 0: none yet */
	struct confirmation confirmed; /* the version in force is the newest */
	int64_t early_version; /* confirmed by a peer, not in force yet */
	int64_t early_ms; /* when the peer knew it to be the newest */
	int64_t peer_version; /* the highest that a peer has reported */
	int64_t reported_ms; /* when it did */
	int64_t invalid_version; /* reported, but not usable here; 0: none */
	int64_t behind_ms; /* since when a peer has a newer one; 0: none has */
	bool read_wanted; /* at once */
	int64_t read_ms; /* start of the last read */
	bool read_failed; /* the last read that has ended */
	int64_t asked_ms; /* when a peer was last asked */
	uint32_t asks; /* since a version took effect */
};

void confsync_init(struct confsync *);
/* A version took effect.  Lower ones are never applied. */
void confsync_applied(struct confsync *, int64_t version);
/* A version was received and is not usable here. */
void confsync_refused(struct confsync *, int64_t version);

/* What the last read returned can't be continued from: read again at once. */
void confsync_want_read(struct confsync *);
/* A read of the store begins. */
void confsync_read_begin(struct confsync *, int64_t now_ms);
/* It failed. */
void confsync_read_failed(struct confsync *);
/*
 * It has answered, and what it returned was applied; usable: that is the
 * newest version.
 */
void confsync_read_done(struct confsync *, bool usable);

/*
 * A peer reported the version that it has in force.  Returns true if it is
 * higher than any before.
 */
bool confsync_peer_reported(struct confsync *, int64_t version, int64_t now_ms);
/*
 * At that time a peer knew that version to be the newest.  If the version isn't
 * in force yet, the confirmation is kept and counts once the version takes
 * effect: a peer's next message comes only after the interval.
 */
void confsync_peer_confirmed(struct confsync *, int64_t version, int64_t at_ms);

/* A peer has a newer version that may be usable. */
bool confsync_is_behind(const struct confsync *);
/* Time since the last confirmation; -1: there was none. */
int64_t confsync_age_ms(const struct confsync *, int64_t now_ms);
/* The last confirmation is at most max_ms old. */
bool confsync_is_fresh(const struct confsync *, int64_t max_ms, int64_t now_ms);

/*
 * Whether to read now.  leads: this entry leads; watching: it has a revision to
 * continue a watch from.
 */
bool confsync_read_due(
    const struct confsync *, bool leads, bool watching, int64_t now_ms);
/* Whether to ask a peer, another one than before. */
bool confsync_ask_due(const struct confsync *, int64_t now_ms);
/* A peer is asked. */
void confsync_ask_begin(struct confsync *, int64_t now_ms);

/*
 * The longest time until a version that one entry has is in force on all, if
 * the store rejects the others, the leader included, and one message on each
 * step is lost.
 */
int64_t confsync_spread_max_ms(int64_t hello_ms, int64_t heartbeat_ms);
/*
 * The longest time until the leader knows of a change that the store told to no
 * watch, if the store rejects the leader: a member's own confirmation gets old,
 * one of its reads fails, the next one tells, and one hello message is lost.
 */
int64_t confsync_learn_max_ms(int64_t hello_ms, int64_t call_ms);

#endif /* CONFSYNC_H */

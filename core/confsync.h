#ifndef CONFSYNC_H
#define CONFSYNC_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What an entry knows about the newest version of the operators' configuration,
 * and how old that knowledge is.  All times are in milliseconds of one steady
 * clock.
 */

/* Who last confirmed that the version in force is the newest. */
enum confsync_source { CONFSYNC_NOBODY, CONFSYNC_STORE };

struct confsync {
	int64_t version; /* in force; 0: none yet */
	int64_t confirmed_ms; /* no newer version existed at this time */
	enum confsync_source confirmed_by;
	int64_t peer_version; /* the highest that a peer has reported */
	int64_t behind_ms; /* since when a peer has a newer one; 0: none has */
};

void confsync_init(struct confsync *);
/* A version took effect.  Lower ones are never applied. */
void confsync_applied(struct confsync *, int64_t version);
/* At that time the store had no newer version than the one in force. */
void confsync_confirmed(struct confsync *, enum confsync_source, int64_t at_ms);
/* A peer reported the version that it has in force. */
void confsync_peer_reported(struct confsync *, int64_t version, int64_t now_ms);
/* A peer has a newer version. */
bool confsync_is_behind(const struct confsync *);
/* Time since the last confirmation; -1: there was none. */
int64_t confsync_age_ms(const struct confsync *, int64_t now_ms);
const char *confsync_source_name(enum confsync_source);

#endif /* CONFSYNC_H */

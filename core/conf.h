#ifndef CONF_H
#define CONF_H

#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "record.h"

/*
 * Which revision of the operators' records is in force on this entry.
 *
 * The store's revision is the only order.  What is known of a key is never
 * replaced by something older, so late, repeated and reordered events, old
 * snapshots and lagging peers do no harm.  The revision in force is the
 * highest R such that every change up to R has been applied here; it moves
 * only when somebody who was complete up to R, the store or a peer, has told
 * everything between the revision in force and R.
 *
 * Pure: no I/O, no clock.
 */

struct conf;

/* A change of one key: a put, or a deletion when text is NULL. */
struct conf_update {
	const char *key;
	int64_t revision; /* the store's, of this change */
	const char *text;
	size_t len;
};

struct conf_item {
	RB_ENTRY(conf_item) link;
	char key[RECORD_KEY_SIZE];
	int64_t revision; /* of what is in force; 0: nothing known yet */
	bool present; /* false: deleted at revision, or only bad so far */
	struct record record; /* when present */
	char *text;
	size_t len;
	/* A newer record that was refused; 0: none.  The older one holds. */
	int64_t bad_revision;
	struct record_fault fault;
	char *bad_text;
	size_t bad_len;
	uint64_t mark; /* of the last snapshot that listed it */
};

enum conf_error {
	CONF_OK,
	CONF_STALE, /* not newer than what is known */
	CONF_BAD_RECORD, /* refused; what was in force stays so */
	CONF_ERR_KEY, /* not the key of a record */
	CONF_ERR_REVISION, /* below 1 */
	CONF_ERR_MEMORY
};

/* What is in force for a key has changed. */
typedef void conf_change(const struct conf_item *, void *ctx);

struct conf_options {
	size_t tombstones_max; /* deletions remembered; 0: 1024 */
	conf_change *on_change; /* or NULL */
	void *ctx;
};

/* NULL: no memory. */
struct conf *conf_open(const struct conf_options *);
void conf_close(struct conf *);

/*
 * Take one change from any source in any order.  It doesn't move the
 * revision in force; see conf_advance.
 */
enum conf_error conf_apply(struct conf *, const struct conf_update *);

/*
 * Every change with a revision above from, up to and including to, has been
 * given to conf_apply (stale and refused ones count as given).  Returns
 * false, and moves nothing, if there is a gap between the revision in force
 * and from: then a snapshot is needed.
 */
bool conf_advance(struct conf *, int64_t from, int64_t to);

/*
 * Take all records as they stood at a revision.  A key that isn't listed and
 * isn't newer was deleted.  CONF_STALE: older than what is in force, ignored.
 */
enum conf_error conf_snapshot(struct conf *, const struct conf_update *updates,
    size_t n, int64_t revision);

/* The revision in force; 0 until something complete was learnt. */
int64_t conf_revision(const struct conf *);

/* What one entry tells another. */
struct conf_delta {
	bool full; /* all records, not only the changes after since */
	int64_t since;
	int64_t revision; /* complete up to here */
	struct conf_update *updates;
	size_t n;
};

/*
 * All that an entry with this revision in force lacks.  The texts are valid
 * until the next change here; conf_delta_free frees the list.
 */
enum conf_error conf_export(
    const struct conf *, int64_t since, struct conf_delta *);
void conf_delta_free(struct conf_delta *);

/* Take what a peer told. */
enum conf_error conf_import(struct conf *, const struct conf_delta *);

/* Items by key, deleted ones included; valid until the next change. */
const struct conf_item *conf_first(const struct conf *);
const struct conf_item *conf_next(
    const struct conf *, const struct conf_item *);
const struct conf_item *conf_get(const struct conf *, const char *key);

/* What is in force, or NULL; valid until the next change. */
const struct record_service *conf_service(
    const struct conf *, const char *name);
const struct record_team *conf_team(const struct conf *, const char *name);
/* Never NULL: the default policy while the store has none. */
const struct record_policy *conf_policy(const struct conf *);

const char *conf_strerror(enum conf_error);

#endif /* CONF_H */

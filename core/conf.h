#ifndef CONF_H
#define CONF_H

#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "record.h"

/*
 * Configuration records in force on this entry, and their revision.
 *
 * Changes are ordered by the revision of the store only.  The record of a key
 * is never replaced by an older one, so late, repeated and reordered events,
 * old snapshots and lagging peers are harmless.  The revision in force is the
 * highest R such that every change up to R has been applied here.  It advances
 * to R only when the store or a peer that is complete up to R has delivered
 * all changes between the revision in force and R.
 *
 * This module does no I/O and reads no clock.
 */

struct conf;

/* A change of one key: a put, or a deletion when text is NULL. */
struct conf_update {
	const char *key;
	int64_t revision; /* of the store, for this change */
	const char *text;
	size_t len;
};

struct conf_item {
	RB_ENTRY(conf_item) link;
	char key[RECORD_KEY_SIZE];
	int64_t revision; /* of the record in force; 0: none known yet */
	bool present; /* false: deleted, or all records refused so far */
	struct record record; /* when present */
	char *text;
	size_t len;
	/* A newer record that was refused; 0: none.  The older one stays. */
	int64_t bad_revision;
	struct record_fault fault;
	char *bad_text;
	size_t bad_len;
	uint64_t snapshot; /* number of the last snapshot that listed it */
};

enum conf_error {
	CONF_OK,
	CONF_STALE, /* not newer than the known state */
	CONF_BAD_RECORD, /* refused; the record in force stays */
	CONF_ERR_KEY, /* not a record key */
	CONF_ERR_REVISION, /* revision below 1 */
	CONF_ERR_MEMORY
};

/* Called when the record in force for a key has changed. */
typedef void conf_change(const struct conf_item *, void *ctx);

struct conf_options {
	size_t tombstones_max; /* number of tombstones kept; 0: 1024 */
	conf_change *on_change; /* or NULL */
	void *ctx;
};

/* Returns NULL if out of memory. */
struct conf *conf_open(const struct conf_options *);
void conf_close(struct conf *);

/*
 * Applies one change.  Changes may come from any source in any order.  The
 * revision in force does not advance; see conf_advance().
 */
enum conf_error conf_apply(struct conf *, const struct conf_update *);

/*
 * Advances the revision in force to the argument to.  All changes with
 * revisions above from and not above to must have been passed to conf_apply(),
 * stale and refused ones included.  Returns false and changes nothing if from
 * is above the revision in force; a snapshot is needed to close the gap.
 */
bool conf_advance(struct conf *, int64_t from, int64_t to);

/*
 * Applies a snapshot of all records at a revision.  Keys that are neither
 * listed nor newer are deleted.  A snapshot older than the revision in force
 * is ignored and CONF_STALE returned.
 */
enum conf_error conf_snapshot(struct conf *, const struct conf_update *updates,
    size_t n, int64_t revision);

/* The revision in force; 0 until the first complete state is known. */
int64_t conf_revision(const struct conf *);

/* The changes that one entry sends to another. */
struct conf_delta {
	bool full; /* all records, not only the changes after since */
	int64_t since;
	int64_t revision; /* all changes up to this one are included */
	struct conf_update *updates;
	size_t n;
};

/*
 * Collects all changes that an entry with the revision since in force lacks.
 * The texts are valid until the next change here.  conf_delta_free() frees
 * the list.
 */
enum conf_error conf_export(
    const struct conf *, int64_t since, struct conf_delta *);
void conf_delta_free(struct conf_delta *);

/* Applies the changes received from a peer. */
enum conf_error conf_import(struct conf *, const struct conf_delta *);

/* Items in order of keys, including tombstones; valid until the next change. */
const struct conf_item *conf_first(const struct conf *);
const struct conf_item *conf_next(
    const struct conf *, const struct conf_item *);
const struct conf_item *conf_get(const struct conf *, const char *key);

/* The record in force, or NULL; valid until the next change. */
const struct record_service *conf_service(
    const struct conf *, const char *name);
const struct record_team *conf_team(const struct conf *, const char *name);
/* Never NULL; without a record in the store, the default policy. */
const struct record_policy *conf_policy(const struct conf *);

const char *conf_strerror(enum conf_error);

#endif /* CONF_H */

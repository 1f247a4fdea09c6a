#include <stdlib.h>
#include <string.h>

#include "conf.h"

#define TOMBSTONES_DEFAULT 1024

RB_HEAD(conf_tree, conf_item);

struct conf {
	struct conf_tree items;
	struct conf_options options;
	int64_t revision; /* in force */
	int64_t tombstone_floor; /* tombstones up to here may be gone */
	size_t ntombstones;
	uint64_t nsnapshots; /* number of the last snapshot */
};

static int compare(const struct conf_item *, const struct conf_item *);
static bool is_tombstone(const struct conf_item *);
static int64_t latest_revision(const struct conf_item *);
static void count_tombstone(struct conf *, const struct conf_item *, bool);
static struct conf_item *find_item(const struct conf *, const char *);
static struct conf_item *add_item(struct conf *, const char *);
static void remove_item(struct conf *, struct conf_item *);
static bool copy_text(const struct conf_update *, char **);
static void clear_refused(struct conf_item *);
static void put_in_force(struct conf *, struct conf_item *,
    const struct record *, const struct conf_update *, char *);
static void delete_at(struct conf *, struct conf_item *, int64_t);
static enum conf_error refuse(struct conf *, struct conf_item *,
    const struct conf_update *, const struct record_fault *);
static enum conf_error apply_put(
    struct conf *, enum record_kind, const char *, const struct conf_update *);
static enum conf_error apply_delete(struct conf *, const struct conf_update *);
static void remove_tombstones(struct conf *);

RB_PROTOTYPE(conf_tree, conf_item, link, compare)
RB_GENERATE(conf_tree, conf_item, link, compare)

static int
compare(const struct conf_item *a, const struct conf_item *b)
{
	return strcmp(a->key, b->key);
}

static bool
is_tombstone(const struct conf_item *item)
{
	return !item->present && item->bad_revision == 0 && item->revision > 0;
}

static int64_t
latest_revision(const struct conf_item *item)
{
	return item->bad_revision > item->revision ? item->bad_revision :
						     item->revision;
}

static void
count_tombstone(
    struct conf *c, const struct conf_item *item, bool was_tombstone)
{
	if (was_tombstone)
		c->ntombstones--;
	if (is_tombstone(item))
		c->ntombstones++;
}

struct conf *
conf_open(const struct conf_options *options)
{
	struct conf *c;

	if ((c = calloc(1, sizeof(*c))) == NULL)
		return NULL;
	c->options = *options;
	if (c->options.tombstones_max == 0)
		c->options.tombstones_max = TOMBSTONES_DEFAULT;
	RB_INIT(&c->items);
	return c;
}

void
conf_close(struct conf *c)
{
	struct conf_item *item;

	if (c == NULL)
		return;
	while ((item = RB_MIN(conf_tree, &c->items)) != NULL)
		remove_item(c, item);
	free(c);
}

static struct conf_item *
find_item(const struct conf *c, const char *key)
{
	struct conf_item key_item;

	if (strlcpy(key_item.key, key, sizeof(key_item.key)) >=
	    sizeof(key_item.key))
		return NULL;
	return RB_FIND(conf_tree, (struct conf_tree *)&c->items, &key_item);
}

static struct conf_item *
add_item(struct conf *c, const char *key)
{
	struct conf_item *item;

	if ((item = calloc(1, sizeof(*item))) == NULL)
		return NULL;
	strlcpy(item->key, key, sizeof(item->key));
	if (RB_INSERT(conf_tree, &c->items, item) != NULL) {
		free(item);
		return NULL;
	}
	return item;
}

static void
remove_item(struct conf *c, struct conf_item *item)
{
	RB_REMOVE(conf_tree, &c->items, item);
	free(item->text);
	free(item->bad_text);
	free(item);
}

static bool
copy_text(const struct conf_update *u, char **copy)
{
	if ((*copy = malloc(u->len + 1)) == NULL)
		return false;
	memcpy(*copy, u->text, u->len);
	(*copy)[u->len] = '\0';
	return true;
}

static void
clear_refused(struct conf_item *item)
{
	free(item->bad_text);
	item->bad_text = NULL;
	item->bad_len = 0;
	item->bad_revision = 0;
}

static void
put_in_force(struct conf *c, struct conf_item *item, const struct record *r,
    const struct conf_update *u, char *text)
{
	bool was_tombstone;

	was_tombstone = is_tombstone(item);
	free(item->text);
	item->text = text;
	item->len = u->len;
	item->record = *r;
	item->present = true;
	item->revision = u->revision;
	if (item->bad_revision < u->revision)
		clear_refused(item);
	count_tombstone(c, item, was_tombstone);
	if (c->options.on_change != NULL)
		c->options.on_change(item, c->options.ctx);
}

static void
delete_at(struct conf *c, struct conf_item *item, int64_t revision)
{
	bool was_present, was_tombstone;

	was_present = item->present;
	was_tombstone = is_tombstone(item);
	free(item->text);
	item->text = NULL;
	item->len = 0;
	item->present = false;
	item->revision = revision;
	if (item->bad_revision < revision)
		clear_refused(item);
	count_tombstone(c, item, was_tombstone);
	if (was_present && c->options.on_change != NULL)
		c->options.on_change(item, c->options.ctx);
}

/* Stores an invalid record as refused; the record in force stays. */
static enum conf_error
refuse(struct conf *c, struct conf_item *item, const struct conf_update *u,
    const struct record_fault *fault)
{
	struct conf_update stored;
	bool was_tombstone;
	char *text;

	was_tombstone = is_tombstone(item);
	stored = *u;
	if (stored.len > RECORD_TEXT_MAX)
		stored.len = 0;
	if (!copy_text(&stored, &text))
		return CONF_ERR_MEMORY;
	clear_refused(item);
	item->bad_text = text;
	item->bad_len = stored.len;
	item->bad_revision = u->revision;
	item->fault = *fault;
	count_tombstone(c, item, was_tombstone);
	return CONF_BAD_RECORD;
}

static enum conf_error
apply_put(struct conf *c, enum record_kind kind, const char *name,
    const struct conf_update *u)
{
	struct record_fault fault;
	struct conf_item *item;
	struct record r;
	char *text;

	item = find_item(c, u->key);
	if (record_parse(kind, u->text, u->len, &r, &fault) == RECORD_OK &&
	    strcmp(r.name, name) != 0) {
		fault.error = RECORD_ERR_NAME;
		strlcpy(fault.field, "name", sizeof(fault.field));
	}
	if (fault.error == RECORD_ERR_MEMORY)
		return CONF_ERR_MEMORY;
	if (item != NULL && u->revision <= item->revision)
		return CONF_STALE;
	if (fault.error != RECORD_OK && item != NULL &&
	    u->revision <= item->bad_revision)
		return CONF_STALE;
	if (item == NULL && (item = add_item(c, u->key)) == NULL)
		return CONF_ERR_MEMORY;
	if (fault.error != RECORD_OK)
		return refuse(c, item, u, &fault);
	if (!copy_text(u, &text))
		return CONF_ERR_MEMORY;
	put_in_force(c, item, &r, u, text);
	return CONF_OK;
}

static enum conf_error
apply_delete(struct conf *c, const struct conf_update *u)
{
	struct conf_item *item;

	item = find_item(c, u->key);
	if (item != NULL && u->revision <= item->revision)
		return CONF_STALE;
	if (item == NULL && (item = add_item(c, u->key)) == NULL)
		return CONF_ERR_MEMORY;
	delete_at(c, item, u->revision);
	remove_tombstones(c);
	return CONF_OK;
}

enum conf_error
conf_apply(struct conf *c, const struct conf_update *u)
{
	char name[RECORD_NAME_SIZE];
	enum record_kind kind;

	if (u->revision < 1)
		return CONF_ERR_REVISION;
	if (!record_key_parse(u->key, &kind, name))
		return CONF_ERR_KEY;
	/*
	 * All changes up to the revision in force are known, so a key that is
	 * not in the tree was deleted by then.  Without this check, a late
	 * event would restore a record whose tombstone has been removed.
	 */
	if (u->revision <= c->revision && find_item(c, u->key) == NULL)
		return CONF_STALE;
	if (u->text == NULL)
		return apply_delete(c, u);
	return apply_put(c, kind, name, u);
}

/*
 * Tombstones above the revision in force are needed to refuse late events.
 * Older ones only make deltas for peers possible.  The oldest of these are
 * removed first, and conf_export() sends all records to peers below
 * tombstone_floor.
 */
static void
remove_tombstones(struct conf *c)
{
	struct conf_item *item, *oldest;

	while (c->ntombstones > c->options.tombstones_max) {
		oldest = NULL;
		RB_FOREACH (item, conf_tree, &c->items) {
			if (is_tombstone(item) &&
			    item->revision <= c->revision &&
			    (oldest == NULL ||
				item->revision < oldest->revision))
				oldest = item;
		}
		if (oldest == NULL)
			return;
		if (oldest->revision > c->tombstone_floor)
			c->tombstone_floor = oldest->revision;
		remove_item(c, oldest);
		c->ntombstones--;
	}
}

bool
conf_advance(struct conf *c, int64_t from, int64_t to)
{
	/*
	 * A watch that was resumed too late or a peer that answers for another
	 * revision leaves a gap.  Advancing past it would report changes as in
	 * force that were never received.
	 */
	if (from > c->revision)
		return false;
	if (to > c->revision)
		c->revision = to;
	remove_tombstones(c);
	return true;
}

enum conf_error
conf_snapshot(struct conf *c, const struct conf_update *updates, size_t n,
    int64_t revision)
{
	struct conf_item *item;
	enum conf_error error;
	size_t i;

	/* Contains nothing new; may come from a lagging replica. */
	if (revision < c->revision)
		return CONF_STALE;
	c->nsnapshots++;
	for (i = 0; i < n; i++) {
		error = conf_apply(c, &updates[i]);
		if (error == CONF_ERR_MEMORY)
			return error;
		if ((item = find_item(c, updates[i].key)) != NULL)
			item->snapshot = c->nsnapshots;
	}
	RB_FOREACH (item, conf_tree, &c->items) {
		/* Listed, or changed after the snapshot. */
		if (item->snapshot == c->nsnapshots ||
		    item->revision > revision)
			continue;
		/*
		 * The revision of an older tombstone is raised as well.  The
		 * key may have been created and deleted since, and a late
		 * event of that creation would restore the record.
		 */
		delete_at(c, item, revision);
	}
	/*
	 * Records that were deleted before the snapshot and never known here
	 * left no tombstones.  A peer with an older revision must be sent all
	 * records, or it would keep the deleted ones.
	 */
	if (revision > c->revision)
		c->tombstone_floor = revision;
	conf_advance(c, 0, revision);
	return CONF_OK;
}

int64_t
conf_revision(const struct conf *c)
{
	return c->revision;
}

enum conf_error
conf_export(const struct conf *c, int64_t since, struct conf_delta *out)
{
	const struct conf_item *item;
	struct conf_update *u;
	size_t n;

	memset(out, 0, sizeof(*out));
	out->since = since;
	out->revision = c->revision;
	out->full = since < c->tombstone_floor;
	n = 0;
	for (item = conf_first(c); item != NULL; item = conf_next(c, item))
		n += 2; /* the record in force and a refused one */
	out->updates = reallocarray(NULL, n + 1, sizeof(*out->updates));
	if (out->updates == NULL)
		return CONF_ERR_MEMORY;
	for (item = conf_first(c); item != NULL; item = conf_next(c, item)) {
		if (latest_revision(item) <= since && !out->full)
			continue;
		if (item->revision > 0) {
			u = &out->updates[out->n++];
			u->key = item->key;
			u->revision = item->revision;
			u->text = item->text;
			u->len = item->len;
		}
		if (item->bad_revision > 0) {
			u = &out->updates[out->n++];
			u->key = item->key;
			u->revision = item->bad_revision;
			u->text = item->bad_text;
			u->len = item->bad_len;
		}
	}
	return CONF_OK;
}

void
conf_delta_free(struct conf_delta *delta)
{
	free(delta->updates);
	memset(delta, 0, sizeof(*delta));
}

enum conf_error
conf_import(struct conf *c, const struct conf_delta *delta)
{
	enum conf_error error;
	size_t i;

	if (delta->full)
		return conf_snapshot(
		    c, delta->updates, delta->n, delta->revision);
	for (i = 0; i < delta->n; i++) {
		error = conf_apply(c, &delta->updates[i]);
		if (error == CONF_ERR_MEMORY)
			return error;
	}
	conf_advance(c, delta->since, delta->revision);
	return CONF_OK;
}

const struct conf_item *
conf_first(const struct conf *c)
{
	return RB_MIN(conf_tree, (struct conf_tree *)&c->items);
}

const struct conf_item *
conf_next(const struct conf *c, const struct conf_item *item)
{
	(void)c;
	return RB_NEXT(conf_tree, &c->items, (struct conf_item *)item);
}

const struct conf_item *
conf_get(const struct conf *c, const char *key)
{
	return find_item(c, key);
}

const char *
conf_strerror(enum conf_error error)
{
	static const char *const names[] = { "ok", "stale", "bad_record",
		"bad_key", "bad_revision", "no_memory" };

	return names[error];
}

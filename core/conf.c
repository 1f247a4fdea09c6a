#include <stdlib.h>
#include <string.h>

#include "conf.h"

#define TOMBSTONES_DEFAULT 1024

RB_HEAD(conf_tree, conf_item);

struct conf {
	struct conf_tree items;
	struct conf_options options;
	int64_t revision; /* complete up to here */
	int64_t floor; /* deletions up to here may have been forgotten */
	size_t ntombstones;
	uint64_t mark;
};

static int compare(const struct conf_item *, const struct conf_item *);
static bool is_tombstone(const struct conf_item *);
static int64_t newest(const struct conf_item *);
static void recount(struct conf *, const struct conf_item *, bool);
static struct conf_item *find(const struct conf *, const char *);
static struct conf_item *add(struct conf *, const char *);
static void drop(struct conf *, struct conf_item *);
static bool copy_text(const struct conf_update *, char **);
static void clear_bad(struct conf_item *);
static void put_in_force(struct conf *, struct conf_item *,
    const struct record *, const struct conf_update *, char *);
static void delete_at(struct conf *, struct conf_item *, int64_t);
static enum conf_error refuse(struct conf *, struct conf_item *,
    const struct conf_update *, const struct record_fault *);
static enum conf_error apply_put(
    struct conf *, enum record_kind, const char *, const struct conf_update *);
static enum conf_error apply_delete(struct conf *, const struct conf_update *);
static void forget_tombstones(struct conf *);

RB_PROTOTYPE(conf_tree, conf_item, link, compare)
RB_GENERATE(conf_tree, conf_item, link, compare)

static int
compare(const struct conf_item *a, const struct conf_item *b)
{
	return strcmp(a->key, b->key);
}

/* A deletion that is remembered. */
static bool
is_tombstone(const struct conf_item *item)
{
	return !item->present && item->bad_revision == 0 && item->revision > 0;
}

static int64_t
newest(const struct conf_item *item)
{
	return item->bad_revision > item->revision ? item->bad_revision :
						     item->revision;
}

static void
recount(struct conf *c, const struct conf_item *item, bool was_tombstone)
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
		drop(c, item);
	free(c);
}

static struct conf_item *
find(const struct conf *c, const char *key)
{
	struct conf_item want;

	if (strlcpy(want.key, key, sizeof(want.key)) >= sizeof(want.key))
		return NULL;
	return RB_FIND(conf_tree, (struct conf_tree *)&c->items, &want);
}

static struct conf_item *
add(struct conf *c, const char *key)
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
drop(struct conf *c, struct conf_item *item)
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
clear_bad(struct conf_item *item)
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
		clear_bad(item);
	recount(c, item, was_tombstone);
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
		clear_bad(item);
	recount(c, item, was_tombstone);
	if (was_present && c->options.on_change != NULL)
		c->options.on_change(item, c->options.ctx);
}

/* Note a record that can't be read; the one in force goes on. */
static enum conf_error
refuse(struct conf *c, struct conf_item *item, const struct conf_update *u,
    const struct record_fault *fault)
{
	struct conf_update kept;
	bool was_tombstone;
	char *text;

	was_tombstone = is_tombstone(item);
	kept = *u;
	if (kept.len > RECORD_TEXT_MAX)
		kept.len = 0;
	if (!copy_text(&kept, &text))
		return CONF_ERR_MEMORY;
	clear_bad(item);
	item->bad_text = text;
	item->bad_len = kept.len;
	item->bad_revision = u->revision;
	item->fault = *fault;
	recount(c, item, was_tombstone);
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

	item = find(c, u->key);
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
	if (item == NULL && (item = add(c, u->key)) == NULL)
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

	item = find(c, u->key);
	if (item != NULL && u->revision <= item->revision)
		return CONF_STALE;
	if (item == NULL && (item = add(c, u->key)) == NULL)
		return CONF_ERR_MEMORY;
	delete_at(c, item, u->revision);
	forget_tombstones(c);
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
	 * Everything up to the revision in force is known, so a key that
	 * isn't there had been deleted by then.  Without this an event that
	 * comes late would bring back a record whose tombstone was forgotten.
	 */
	if (u->revision <= c->revision && find(c, u->key) == NULL)
		return CONF_STALE;
	if (u->text == NULL)
		return apply_delete(c, u);
	return apply_put(c, kind, name, u);
}

/*
 * Tombstones above the revision in force are still needed to refuse late
 * events; older ones only shorten what a peer is told, so the oldest of those
 * go first and the floor makes conf_export tell everything.
 */
static void
forget_tombstones(struct conf *c)
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
		if (oldest->revision > c->floor)
			c->floor = oldest->revision;
		drop(c, oldest);
		c->ntombstones--;
	}
}

bool
conf_advance(struct conf *c, int64_t from, int64_t to)
{
	/*
	 * A watch that was resumed too late, or a peer that answers for
	 * another revision, leaves a gap.  Moving over it would report a
	 * change as in force that was never seen.
	 */
	if (from > c->revision)
		return false;
	if (to > c->revision)
		c->revision = to;
	forget_tombstones(c);
	return true;
}

enum conf_error
conf_snapshot(struct conf *c, const struct conf_update *updates, size_t n,
    int64_t revision)
{
	struct conf_item *item;
	enum conf_error error;
	size_t i;

	/* It tells nothing that isn't known, and may be of a lagging copy. */
	if (revision < c->revision)
		return CONF_STALE;
	c->mark++;
	for (i = 0; i < n; i++) {
		error = conf_apply(c, &updates[i]);
		if (error == CONF_ERR_MEMORY)
			return error;
		if ((item = find(c, updates[i].key)) != NULL)
			item->mark = c->mark;
	}
	RB_FOREACH (item, conf_tree, &c->items) {
		/* Newer than the snapshot: it can't tell about this key. */
		if (item->mark == c->mark || item->revision > revision)
			continue;
		/*
		 * An older tombstone moves up too.  The key may have come
		 * and gone since, and a late event of that would bring the
		 * record back.
		 */
		delete_at(c, item, revision);
	}
	/*
	 * What was deleted before the snapshot without having been known
	 * here left no tombstone, so a peer that is older must be told
	 * everything or it would keep those records.
	 */
	if (revision > c->revision)
		c->floor = revision;
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
	out->full = since < c->floor;
	n = 0;
	for (item = conf_first(c); item != NULL; item = conf_next(c, item))
		n += 2; /* one in force and one refused */
	out->updates = reallocarray(NULL, n + 1, sizeof(*out->updates));
	if (out->updates == NULL)
		return CONF_ERR_MEMORY;
	for (item = conf_first(c); item != NULL; item = conf_next(c, item)) {
		if (newest(item) <= since && !out->full)
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
conf_delta_free(struct conf_delta *e)
{
	free(e->updates);
	memset(e, 0, sizeof(*e));
}

enum conf_error
conf_import(struct conf *c, const struct conf_delta *e)
{
	enum conf_error error;
	size_t i;

	if (e->full)
		return conf_snapshot(c, e->updates, e->n, e->revision);
	for (i = 0; i < e->n; i++) {
		error = conf_apply(c, &e->updates[i]);
		if (error == CONF_ERR_MEMORY)
			return error;
	}
	conf_advance(c, e->since, e->revision);
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
	return find(c, key);
}

const char *
conf_strerror(enum conf_error error)
{
	static const char *const words[] = { "ok", "stale", "bad_record",
		"bad_key", "bad_revision", "no_memory" };

	return words[error];
}

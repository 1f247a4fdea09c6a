#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "lagoonpind.h"
#include "log.h"

/*
 * Loads lp/w/ and watches it.  Operators' records go to core/conf, other keys
 * to the modules that registered a prefix.  While the store is unavailable the
 * records in force stay, and peers send newer revisions.
 */

#define WATCH_PREFIX RECORD_KEY_PREFIX
#define RETRY_MS 500

SLIST_HEAD(handler_list, watch_handler);

struct conf_watch {
	struct entry *entry;
	struct conf *conf;
	struct handler_list handlers;
	struct store_watch *watch;
	int64_t delivered_revision; /* of the last change delivered */
	int64_t retry_at_ms;
	bool loading;
	bool loaded;
};

static int conf_watch_open(struct entry *);
static void conf_watch_tick(struct entry *, int64_t);
static void conf_watch_close(struct entry *);
static void load(struct conf_watch *, int64_t);
static void on_loaded(const struct store_range_result *, void *);
static enum conf_error load_conf(
    struct conf_watch *, const struct store_range_result *);
static void reload_handlers(
    struct conf_watch *, const struct store_range_result *);
static void start_watch(struct conf_watch *);
static void on_event(enum store_watch_event, const struct store_kv *, void *);
static void on_progress(int64_t, void *);
static void on_lost(enum store_watch_loss, void *);
static bool is_record(const char *);
static bool handles_key(const struct watch_handler *, const char *);
static void apply(struct conf_watch *, const struct conf_update *);
static void on_change(const struct conf_item *, void *);

const struct module conf_watch_module = {
	.name = "conf_watch",
	.open = conf_watch_open,
	.tick = conf_watch_tick,
	.close = conf_watch_close,
};

static int
conf_watch_open(struct entry *e)
{
	struct conf_options options = { .on_change = on_change };
	struct conf_watch *w;

	if ((w = calloc(1, sizeof(*w))) == NULL)
		return -1;
	w->entry = e;
	SLIST_INIT(&w->handlers);
	if ((w->conf = conf_open(&options)) == NULL) {
		free(w);
		return -1;
	}
	e->conf = w;
	return 0;
}

static void
conf_watch_close(struct entry *e)
{
	struct conf_watch *w;

	w = e->conf;
	if (w->watch != NULL)
		store_watch_close(w->watch);
	w->watch = NULL;
	/* on_loaded() runs in store_close() if a load is in flight. */
	if (w->loading)
		return;
	conf_close(w->conf);
	free(w);
	e->conf = NULL;
}

/* The first load is at the first tick, when all modules have registered. */
static void
conf_watch_tick(struct entry *e, int64_t now_ms)
{
	struct conf_watch *w;

	w = e->conf;
	if (w->watch == NULL && !w->loading && now_ms >= w->retry_at_ms)
		load(w, now_ms);
}

static void
load(struct conf_watch *w, int64_t now_ms)
{
	struct store_range_request range = { .key = WATCH_PREFIX,
		.prefix = true };

	w->retry_at_ms = now_ms + RETRY_MS;
	if (store_range(w->entry->store, &range, on_loaded, w) != STORE_OK)
		return;
	w->loading = true;
}

static void
on_loaded(const struct store_range_result *r, void *ctx)
{
	struct conf_watch *w;

	w = ctx;
	w->loading = false;
	if (w->entry->phase == ENTRY_CLOSING) {
		conf_watch_close(w->entry);
		return;
	}
	if (r->error != STORE_OK) {
		counter_inc_reason(
		    "lagoonpin_conf_load_failures", store_strerror(r->error));
		return;
	}
	/*
	 * A replica of the store that lags behind the changes already
	 * delivered would undo registry and inbox keys: load again, from
	 * another replica.
	 */
	if (r->revision < w->delivered_revision) {
		counter_inc_reason("lagoonpin_conf_load_failures", "older");
		log_warn("conf_load_older", "revision=%lld seen=%lld",
		    (long long)r->revision, (long long)w->delivered_revision);
		return;
	}
	if (load_conf(w, r) == CONF_ERR_MEMORY) {
		counter_inc_reason("lagoonpin_conf_load_failures", "no_memory");
		return;
	}
	reload_handlers(w, r);
	w->delivered_revision = r->revision;
	w->loaded = true;
	log_info("conf_loaded", "revision=%lld keys=%zu in_force=%lld",
	    (long long)r->revision, r->nkvs, (long long)conf_revision(w->conf));
	start_watch(w);
}

static enum conf_error
load_conf(struct conf_watch *w, const struct store_range_result *r)
{
	struct conf_update *updates;
	enum conf_error error;
	size_t i, n;

	updates = reallocarray(NULL, r->nkvs + 1, sizeof(*updates));
	if (updates == NULL)
		return CONF_ERR_MEMORY;
	n = 0;
	for (i = 0; i < r->nkvs; i++) {
		if (!is_record(r->kvs[i].key))
			continue;
		updates[n].key = r->kvs[i].key;
		updates[n].revision = r->kvs[i].mod_revision;
		updates[n].text = r->kvs[i].value;
		updates[n].len = r->kvs[i].len;
		n++;
	}
	error = conf_snapshot(w->conf, updates, n, r->revision);
	free(updates);
	return error;
}

static void
reload_handlers(struct conf_watch *w, const struct store_range_result *r)
{
	struct watch_handler *h;
	size_t i;

	SLIST_FOREACH (h, &w->handlers, link) {
		if (h->reload_begin != NULL)
			h->reload_begin(h->ctx);
		for (i = 0; i < r->nkvs && h->on_put != NULL; i++) {
			if (handles_key(h, r->kvs[i].key))
				h->on_put(&r->kvs[i], h->ctx);
		}
		if (h->reload_end != NULL)
			h->reload_end(r->revision, h->ctx);
	}
}

static void
start_watch(struct conf_watch *w)
{
	struct store_watch_options options = {
		.prefix = WATCH_PREFIX,
		.start_revision = w->delivered_revision + 1,
		.on_event = on_event,
		.on_progress = on_progress,
		.on_lost = on_lost,
		.ctx = w,
	};

	w->watch = store_watch_open(w->entry->store, &options);
}

static void
on_event(enum store_watch_event kind, const struct store_kv *kv, void *ctx)
{
	struct conf_update update;
	struct watch_handler *h;
	struct conf_watch *w;

	w = ctx;
	if (is_record(kv->key)) {
		update.key = kv->key;
		update.revision = kv->mod_revision;
		update.text = kind == STORE_EVENT_PUT ? kv->value : NULL;
		update.len = kind == STORE_EVENT_PUT ? kv->len : 0;
		apply(w, &update);
		return;
	}
	SLIST_FOREACH (h, &w->handlers, link) {
		if (!handles_key(h, kv->key))
			continue;
		if (kind == STORE_EVENT_PUT && h->on_put != NULL)
			h->on_put(kv, h->ctx);
		else if (kind == STORE_EVENT_DELETE && h->on_delete != NULL)
			h->on_delete(kv->key, kv->mod_revision, h->ctx);
	}
}

static void
apply(struct conf_watch *w, const struct conf_update *update)
{
	enum conf_error error;

	error = conf_apply(w->conf, update);
	if (error == CONF_OK)
		return;
	counter_inc_reason("lagoonpin_conf_refused", conf_strerror(error));
	if (error == CONF_BAD_RECORD)
		log_warn("bad_record", "key=%s revision=%lld field=%s",
		    update->key, (long long)update->revision,
		    conf_get(w->conf, update->key)->fault.field);
	/* Out of memory: the change is missing, so load everything again. */
	if (error == CONF_ERR_MEMORY && w->watch != NULL) {
		store_watch_close(w->watch);
		w->watch = NULL;
	}
}

static void
on_progress(int64_t revision, void *ctx)
{
	struct conf_watch *w;

	w = ctx;
	if (w->watch == NULL)
		return;
	if (!conf_advance(w->conf, w->delivered_revision, revision)) {
		counter_inc_reason("lagoonpin_conf_load_failures", "gap");
		store_watch_close(w->watch);
		w->watch = NULL;
		return;
	}
	if (revision > w->delivered_revision)
		w->delivered_revision = revision;
	counter_set(counter_get("lagoonpin_conf_revision", ""),
	    (uint64_t)conf_revision(w->conf));
}

static void
on_lost(enum store_watch_loss loss, void *ctx)
{
	struct conf_watch *w;

	w = ctx;
	counter_inc_reason("lagoonpin_conf_watch_lost",
	    loss == STORE_WATCH_BROKEN	      ? "broken" :
		loss == STORE_WATCH_COMPACTED ? "compacted" :
						"cancelled");
	if (loss == STORE_WATCH_BROKEN)
		return;
	store_watch_close(w->watch);
	w->watch = NULL;
}

static bool
is_record(const char *key)
{
	char name[RECORD_NAME_SIZE];
	enum record_kind kind;

	return record_key_parse(key, &kind, name);
}

static bool
handles_key(const struct watch_handler *h, const char *key)
{
	return strncmp(key, h->prefix, strlen(h->prefix)) == 0;
}

static void
on_change(const struct conf_item *item, void *ctx)
{
	(void)ctx;
	log_info("conf_changed", "key=%s revision=%lld present=%d", item->key,
	    (long long)item->revision, item->present);
}

void
watch_register(struct entry *e, struct watch_handler *h)
{
	struct conf_watch *w;

	w = e->conf;
	SLIST_INSERT_HEAD(&w->handlers, h, link);
	/* Registered after the first load: load again for this handler. */
	if (w->watch != NULL) {
		store_watch_close(w->watch);
		w->watch = NULL;
	}
}

bool
watch_loaded(const struct entry *e)
{
	return e->conf->loaded;
}

struct conf *
entry_conf(const struct entry *e)
{
	return e->conf->conf;
}

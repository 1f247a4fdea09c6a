#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/*
 * All that operators write: the configuration, and the data centres that they
 * close to new work.  A watch reports changes immediately, but it
 * can be delayed, cut off, or stop delivering without an error.  The keys are
 * therefore also read, and peers are asked; core/confsync decides when.  Only a
 * higher version is ever applied.
 */

#define WATCH_WAIT_MS 10000
/* Interval between log lines while a peer has a newer version. */
#define BEHIND_LOG_MS 1000

void
config_init(struct node *node)
{
	confsync_init(&node->confsync);
	closures_init(&node->closures);
}

void
config_close(struct node *node)
{
	free(node->config_value);
	node->config_value = NULL;
}

int64_t
node_config_version(const struct node *node)
{
	return node->confsync.version;
}

int64_t
node_config_age_ms(const struct node *node)
{
	return confsync_age_ms(&node->confsync, clock_now_ms());
}

bool
node_config_is_fresh(const struct node *node)
{
	return confsync_is_fresh(
	    &node->confsync, node->opt.config_apply_ms, clock_now_ms());
}

/* Keeps the item for peers that ask for it. */
static void
keep_item(struct node *node, const struct kv_item *item)
{
	free(node->config_value);
	node->config_len = 0;
	if ((node->config_value = malloc(item->len + 1)) == NULL) {
		log_error("config_kept", "error=memory bytes=%zu", item->len);
		return;
	}
	memcpy(node->config_value, item->value, item->len);
	node->config_value[item->len] = '\0';
	node->config_len = item->len;
	strlcpy(node->config_key, item->key, sizeof(node->config_key));
}

static void
log_applied(const struct node *node, const struct entry_config *config,
    const char *source)
{
	int64_t behind_ms;

	behind_ms = node->confsync.behind_ms != 0 ?
	    clock_now_ms() - node->confsync.behind_ms :
	    0;
	log_info("config_applied",
	    "version=%lld before=%lld queues=%zu source=%s behind_ms=%lld",
	    (long long)config->version, (long long)node->confsync.version,
	    config->nqueues, source, (long long)behind_ms);
}

enum config_reading
config_apply(struct node *node, const struct kv_item *item, const char *source)
{
	const struct entry_config *config;
	enum config_reading reading;

	if (item->value == NULL)
		return CONFIG_OTHER;
	reading = node->opt.platform.config(node->opt.platform.self, item->key,
	    item->value, item->len, &config);
	if (reading != CONFIG_NEWER)
		return reading;
	log_applied(node, config, source);
	node->config = config;
	keep_item(node, item);
	confsync_applied(&node->confsync, config->version);
	if (node->lead != NULL) {
		lead_config(node->lead);
		/*
		 * Members relay what follows from this version, and have to
		 * answer their callers by it soon: tell them at once.
		 */
		node->heartbeat_ms = 0;
	}
	return reading;
}

static void on_page(const struct kv_result *, void *);

static void
read_page(struct node *node, const char *after)
{
	const struct kv_ops *kv;

	kv = &node->opt.kv;
	kv->range(
	    kv->self, node->opt.platform.config_prefix, after, on_page, node);
}

static void
read_ended(struct node *node)
{
	node->config_reading = false;
	closed_handle_read(node, node->confsync.read_ms, clock_now_ms());
	confsync_read_done(&node->confsync, node->config_read_usable);
	if (node->config_revision == 0)
		node->config_revision = node->config_read_revision;
}

static void
on_page(const struct kv_result *result, void *ctx)
{
	struct node *node;
	size_t i;

	node = ctx;
	if (result->error != KV_OK || node->closing) {
		node->config_reading = false;
		confsync_read_failed(&node->confsync);
		return;
	}
	if (node->config_read_revision == 0)
		node->config_read_revision = result->revision;
	for (i = 0; i < result->nitems; i++) {
		if (config_apply(node, &result->items[i], "read") ==
		    CONFIG_INVALID)
			node->config_read_usable = false;
	}
	closed_handle_page(node, result);
	if (result->more && result->nitems > 0)
		read_page(node, result->items[result->nitems - 1].key);
	else
		read_ended(node);
}

static void
on_watch(const struct kv_result *result, void *ctx)
{
	struct node *node;
	int64_t now_ms;
	size_t i;

	node = ctx;
	node->config_watching = false;
	if (result->error != KV_OK) {
		/* Compacted, cut off or refused: start over with a read. */
		node->config_revision = 0;
		confsync_want_read(&node->confsync);
		return;
	}
	now_ms = clock_now_ms();
	for (i = 0; i < result->nitems; i++) {
		config_apply(node, &result->items[i], "watch");
		closed_handle_event(node, &result->items[i], now_ms);
	}
	if (result->revision > node->config_revision)
		node->config_revision = result->revision;
}

/* Logs, once a second at most, that a peer has a newer version. */
static void
log_behind(struct node *node, int64_t now_ms)
{
	const struct confsync *sync;

	sync = &node->confsync;
	if (!confsync_is_behind(sync) ||
	    now_ms - sync->behind_ms < BEHIND_LOG_MS ||
	    now_ms - node->config_logged_ms < BEHIND_LOG_MS)
		return;
	node->config_logged_ms = now_ms;
	log_info("config_behind",
	    "version=%lld peer_version=%lld behind_ms=%lld age_ms=%lld "
	    "confirmed_by=%s store=%d",
	    (long long)sync->version, (long long)sync->peer_version,
	    (long long)(now_ms - sync->behind_ms),
	    (long long)confsync_age_ms(sync, now_ms),
	    confirmation_source_name(sync->confirmed.by), node_has_store(node));
}

static void
read_store(struct node *node, int64_t now_ms)
{
	node->config_reading = true;
	node->config_read_usable = true;
	node->config_read_revision = 0;
	closure_set_clear(&node->closures_read);
	confsync_read_begin(&node->confsync, now_ms);
	read_page(node, NULL);
}

static void
watch_store(struct node *node)
{
	const struct kv_ops *kv;

	kv = &node->opt.kv;
	node->config_watching = true;
	kv->watch(kv->self, node->opt.platform.config_prefix,
	    node->config_revision, WATCH_WAIT_MS, on_watch, node);
}

void
config_tick(struct node *node, int64_t now_ms)
{
	bool has_position;

	log_behind(node, now_ms);
	has_position = node->config_revision != 0;
	if (!node->config_reading &&
	    confsync_read_due(
		&node->confsync, node->lead != NULL, has_position, now_ms))
		read_store(node, now_ms);
	if (!node->config_watching && has_position)
		watch_store(node);
	config_peer_tick(node, now_ms);
}

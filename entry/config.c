#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/*
 * The operators' configuration.  A watch reports changes immediately, but it
 * can be delayed, cut off, or stop delivering without an error.  The key is
 * therefore also read periodically, and when another entry has a newer version.
 * Only a higher version is ever applied.
 */

#define WATCH_WAIT_MS 10000
#define RETRY_MS INT64_C(200)
/* A change must be in force within 2 s even if the watch misses it. */
#define READ_INTERVAL_MS INT64_C(900)
/* Interval between log lines while a peer has a newer version. */
#define BEHIND_LOG_MS 1000

void
config_init(struct node *node)
{
	confsync_init(&node->confsync);
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

static void
apply(struct node *node, const struct kv_item *item, const char *source)
{
	const struct entry_config *config;
	int64_t behind_ms;

	if (item->value == NULL)
		return;
	config = node->opt.platform.config(
	    node->opt.platform.self, item->key, item->value, item->len);
	if (config == NULL)
		return;
	behind_ms = node->confsync.behind_ms != 0 ?
	    clock_now_ms() - node->confsync.behind_ms :
	    0;
	log_info("config_applied",
	    "version=%lld before=%lld queues=%zu source=%s behind_ms=%lld",
	    (long long)config->version, (long long)node->confsync.version,
	    config->nqueues, source, (long long)behind_ms);
	node->config = config;
	confsync_applied(&node->confsync, config->version);
	if (node->lead != NULL)
		lead_config(node->lead);
}

static void
on_read(const struct kv_result *result, void *ctx)
{
	struct node *node;
	size_t i;

	node = ctx;
	node->config_reading = false;
	if (result->error != KV_OK)
		return;
	for (i = 0; i < result->nitems; i++)
		apply(node, &result->items[i], "read");
	confsync_confirmed(
	    &node->confsync, CONFSYNC_STORE, node->config_sent_ms);
	if (node->config_revision == 0)
		node->config_revision = result->revision;
}

static void
on_watch(const struct kv_result *result, void *ctx)
{
	struct node *node;
	size_t i;

	node = ctx;
	node->config_watching = false;
	if (result->error != KV_OK) {
		/* Compacted, cut off or refused: start over with a read. */
		node->config_revision = 0;
		node->config_read_ms = 0;
		return;
	}
	for (i = 0; i < result->nitems; i++)
		apply(node, &result->items[i], "watch");
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
	    confsync_source_name(sync->confirmed_by), node_has_store(node));
}

void
node_set_gauges(const struct node *node)
{
	int64_t age_ms;

	counter_set(counter_get("lagoonpin_config_version", ""),
	    (uint64_t)node->confsync.version);
	age_ms = node_config_age_ms(node);
	if (age_ms >= 0)
		counter_set(counter_get("lagoonpin_config_age_ms", ""),
		    (uint64_t)age_ms);
}

void
config_tick(struct node *node, int64_t now_ms)
{
	const struct platform_ops *platform;
	int64_t interval_ms;

	platform = &node->opt.platform;
	log_behind(node, now_ms);
	/* The leader reads often and announces newer versions. */
	interval_ms = READ_INTERVAL_MS;
	if (node->lead == NULL && node->config_revision != 0 &&
	    !confsync_is_behind(&node->confsync) &&
	    now_ms - node->elect.heard_ms < RETRY_MS * 2)
		interval_ms = 10 * READ_INTERVAL_MS;
	if (confsync_is_behind(&node->confsync) ||
	    node->confsync.version == 0 || node->config_revision == 0)
		interval_ms = RETRY_MS;
	if (!node->config_reading &&
	    now_ms - node->config_read_ms >= interval_ms) {
		node->config_reading = true;
		node->config_read_ms = now_ms;
		node->config_sent_ms = now_ms;
		node->opt.kv.range(node->opt.kv.self, platform->config_prefix,
		    NULL, on_read, node);
	}
	if (!node->config_watching && node->config_revision != 0) {
		node->config_watching = true;
		node->opt.kv.watch(node->opt.kv.self, platform->config_prefix,
		    node->config_revision, WATCH_WAIT_MS, on_watch, node);
	}
}

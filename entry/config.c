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

static void
apply(struct node *node, const struct kv_item *item)
{
	const struct entry_config *config;

	if (item->value == NULL)
		return;
	config = node->opt.platform.config(
	    node->opt.platform.self, item->key, item->value, item->len);
	if (config == NULL)
		return;
	node->config = config;
	log_info("config_applied", "version=%lld before=%lld queues=%zu",
	    (long long)config->version, (long long)node->config_version,
	    config->nqueues);
	node->config_version = config->version;
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
		apply(node, &result->items[i]);
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
		apply(node, &result->items[i]);
	if (result->revision > node->config_revision)
		node->config_revision = result->revision;
}

void
config_tick(struct node *node, int64_t now_ms)
{
	const struct platform_ops *platform;
	int64_t interval_ms;

	platform = &node->opt.platform;
	/* The leader reads often and announces newer versions. */
	interval_ms = READ_INTERVAL_MS;
	if (node->lead == NULL && node->config_revision != 0 &&
	    node->peer_config_version <= node->config_version &&
	    now_ms - node->elect.heard_ms < RETRY_MS * 2)
		interval_ms = 10 * READ_INTERVAL_MS;
	if (node->peer_config_version > node->config_version ||
	    node->config_version == 0 || node->config_revision == 0)
		interval_ms = RETRY_MS;
	if (!node->config_reading &&
	    now_ms - node->config_read_ms >= interval_ms) {
		node->config_reading = true;
		node->config_read_ms = now_ms;
		node->opt.kv.range(node->opt.kv.self, platform->config_prefix,
		    NULL, on_read, node);
	}
	if (!node->config_watching && node->config_revision != 0) {
		node->config_watching = true;
		node->opt.kv.watch(node->opt.kv.self, platform->config_prefix,
		    node->config_revision, WATCH_WAIT_MS, on_watch, node);
	}
}

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/*
 * Data centres that operators closed to new work.  They come with the same
 * reads and watches as the configuration, and entries pass them on: the leader,
 * which needs them, may be the entry that the store rejects.
 */

static void
log_difference(const struct closure_set *from, const struct closure_set *to,
    const char *event, int64_t revision, const char *source)
{
	size_t i;

	for (i = 0; i < from->n; i++) {
		if (!closure_set_has(to, from->names[i]))
			log_info(event,
			    "data_center=%s revision=%lld source=%s",
			    from->names[i], (long long)revision, source);
	}
}

static void
note_change(
    struct node *node, const struct closure_set *before, const char *source)
{
	const struct closures *closures;

	closures = &node->closures;
	log_difference(&closures->set, before, "data_center_closed",
	    closures->revision, source);
	log_difference(before, &closures->set, "data_center_opened",
	    closures->revision, source);
	if (closures->set.overflow)
		log_error("data_centers_closed", "error=too_many max=%d",
		    CLOSURES_MAX);
	if (node->lead == NULL)
		return;
	lead_closures(node->lead);
	node->heartbeat_ms = 0;
}

static void
replace(struct node *node, const struct closure_set *set, int64_t revision,
    const char *source, int64_t now_ms)
{
	struct closure_set before;

	before = node->closures.set;
	if (closures_replace(&node->closures, set, revision, now_ms))
		note_change(node, &before, source);
}

void
closed_handle_event(
    struct node *node, const struct kv_item *item, int64_t now_ms)
{
	struct closure_set before;
	const char *name;

	name = node->opt.platform.closure(node->opt.platform.self, item->key);
	if (name == NULL)
		return;
	before = node->closures.set;
	if (closures_change(&node->closures, name, item->value != NULL,
		item->revision, now_ms))
		note_change(node, &before, "watch");
	if (!node->closures.complete)
		confsync_want_read(&node->confsync);
}

void
closed_handle_page(struct node *node, const struct kv_result *result)
{
	const char *name;
	size_t i;

	for (i = 0; i < result->nitems; i++) {
		name = node->opt.platform.closure(
		    node->opt.platform.self, result->items[i].key);
		if (name != NULL)
			closure_set_add(&node->closures_read, name);
	}
}

void
closed_handle_read(struct node *node, int64_t begun_ms, int64_t now_ms)
{
	replace(node, &node->closures_read, node->config_read_revision, "read",
	    now_ms);
	closures_confirm(&node->closures, CONFIRMED_BY_STORE, begun_ms);
}

void
closed_add(struct node *node, json_t *message, int64_t now_ms)
{
	const struct closures *closures;
	json_t *names;
	size_t i;

	closures = &node->closures;
	if (!closures_are_all(closures))
		return;
	names = json_array();
	for (i = 0; i < closures->set.n; i++)
		json_array_append_new(
		    names, json_string(closures->set.names[i]));
	json_object_set_new(message, "closed",
	    json_pack("{sI sI so}", "revision", (json_int_t)closures->revision,
		"age_ms",
		(json_int_t)confirmation_age_ms(&closures->confirmed, now_ms),
		"names", names));
}

/* false: not what an entry sends. */
static bool
read_names(const json_t *names, struct closure_set *set)
{
	const json_t *name;
	size_t i;

	closure_set_clear(set);
	if (!json_is_array(names))
		return false;
	json_array_foreach(names, i, name)
	{
		if (!json_is_string(name))
			return false;
		closure_set_add(set, json_string_value(name));
	}
	return true;
}

void
closed_handle_peer(
    struct node *node, const json_t *message, int64_t sent_ms, int64_t now_ms)
{
	struct closure_set set;
	json_int_t revision, age_ms;
	json_t *names;

	/* Older releases send nothing. */
	if (json_object_get(message, "closed") == NULL)
		return;
	if (json_unpack((json_t *)message, "{s{sI sI so}}", "closed",
		"revision", &revision, "age_ms", &age_ms, "names",
		&names) == -1 ||
	    !read_names(names, &set)) {
		counter_inc_reason("lagoonpin_peer_refused", "closed");
		return;
	}
	if (revision <= 0)
		return;
	replace(node, &set, revision, "peer", now_ms);
	/* What we know is as new as the peer's, or newer. */
	if (sent_ms >= 0 && age_ms >= 0)
		closures_confirm(
		    &node->closures, CONFIRMED_BY_PEER, sent_ms - age_ms);
}

int64_t
closed_limit_ms(const struct node *node)
{
	return node->opt.closure_apply_ms + node->opt.closure_stretch_ms -
	    CONFIRMATION_ORDER_MS;
}

bool
closed_is_unknown(const struct node *node, int64_t now_ms)
{
	return node->opt.closure_apply_ms > 0 &&
	    !confirmation_is_fresh(
		&node->closures.confirmed, closed_limit_ms(node), now_ms);
}

#include "kvs_int.h"

static void forget_oldest(struct kvs *);

void
kvs_events(const struct kvs *k, int64_t from, kvs_event_fn *event, void *ctx)
{
	const struct kvs_version *v, *first;

	/* What is asked for is nearly always the end of the log. */
	first = NULL;
	TAILQ_FOREACH_REVERSE(v, &k->log, kvs_log, in_log)
	{
		if (v->kv.mod_revision < from)
			break;
		first = v;
	}
	for (v = first; v != NULL; v = TAILQ_NEXT(v, in_log))
		event(&v->kv, ctx);
}

/*
 * Take the oldest change out of the log.  Reads at its revision and later
 * still need it, but nothing needs what it replaced.
 */
static void
forget_oldest(struct kvs *k)
{
	struct kvs_version *v, *old;
	struct kvs_node *n;

	v = TAILQ_FIRST(&k->log);
	TAILQ_REMOVE(&k->log, v, in_log);
	k->log_len--;
	k->log_bytes -= v->kv.value.len;
	n = v->node;
	while ((old = TAILQ_NEXT(v, link)) != NULL) {
		TAILQ_REMOVE(&n->versions, old, link);
		kvs_free_version(old);
	}
	if (v->kv.version == 0) {
		TAILQ_REMOVE(&n->versions, v, link);
		kvs_free_version(v);
		kvs_drop_if_empty(k, n);
	}
}

enum kvs_error
kvs_compact(struct kvs *k, int64_t revision)
{
	const struct kvs_version *v;

	if (revision > k->revision)
		return KVS_ERR_FUTURE;
	if (revision <= k->compact_revision)
		return KVS_ERR_COMPACTED;
	k->compact_revision = revision;
	while ((v = TAILQ_FIRST(&k->log)) != NULL &&
	    v->kv.mod_revision <= revision)
		forget_oldest(k);
	return KVS_OK;
}

/* Keep the newer half once the history is over its bounds. */
void
kvs_bound_history(struct kvs *k)
{
	const struct kvs_version *v;
	size_t left;

	if (k->log_len <= k->options.history_max &&
	    k->log_bytes <= k->options.history_bytes_max)
		return;
	left = k->log_len / 2;
	TAILQ_FOREACH (v, &k->log, in_log) {
		if (left-- == 0)
			break;
	}
	if (v != NULL)
		kvs_compact(k, v->kv.mod_revision);
}

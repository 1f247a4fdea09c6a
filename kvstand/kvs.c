#include <stdlib.h>
#include <string.h>

#include "kvs_int.h"

#define HISTORY_MAX 10000
#define HISTORY_BYTES_MAX (256UL * 1024 * 1024)
#define LIST_SIZE_FIRST 16

static struct kvs_node *find(const struct kvs *, const struct kvs_bytes *);
static struct kvs_node *find_or_add(struct kvs *, const struct kvs_bytes *);
static struct kvs_node *first_in(const struct kvs *, const struct kvs_span *);
static bool is_point(const struct kvs_span *);
static int list_add(struct kvs_list *, const struct kvs_kv *);

RB_GENERATE(kvs_node_tree, kvs_node, link, kvs_compare_nodes)

int
kvs_compare_bytes(const struct kvs_bytes *a, const struct kvs_bytes *b)
{
	size_t len;
	int c;

	len = a->len < b->len ? a->len : b->len;
	c = len > 0 ? memcmp(a->data, b->data, len) : 0;
	if (c != 0)
		return c;
	return (a->len > b->len) - (a->len < b->len);
}

int
kvs_compare_nodes(struct kvs_node *a, struct kvs_node *b)
{
	return kvs_compare_bytes(&a->key, &b->key);
}

struct kvs *
kvs_open(const struct kvs_options *options)
{
	struct kvs *k;

	if ((k = calloc(1, sizeof(*k))) == NULL)
		return NULL;
	k->options = *options;
	if (k->options.history_max == 0)
		k->options.history_max = HISTORY_MAX;
	if (k->options.history_bytes_max == 0)
		k->options.history_bytes_max = HISTORY_BYTES_MAX;
	k->revision = 1;
	RB_INIT(&k->nodes);
	TAILQ_INIT(&k->log);
	return k;
}

void
kvs_close(struct kvs *k)
{
	struct kvs_version *v, *next;
	struct kvs_node *n, *following;

	if (k == NULL)
		return;
	for (n = RB_MIN(kvs_node_tree, &k->nodes); n != NULL; n = following) {
		following = RB_NEXT(kvs_node_tree, &k->nodes, n);
		RB_REMOVE(kvs_node_tree, &k->nodes, n);
		for (v = TAILQ_FIRST(&n->versions); v != NULL; v = next) {
			next = TAILQ_NEXT(v, link);
			kvs_free_version(v);
		}
		free((char *)n->key.data);
		free(n);
	}
	free(k);
}

void
kvs_free_version(struct kvs_version *v)
{
	free((char *)v->kv.value.data);
	free(v);
}

int64_t
kvs_revision(const struct kvs *k)
{
	return k->revision;
}

int64_t
kvs_compact_revision(const struct kvs *k)
{
	return k->compact_revision;
}

static struct kvs_node *
find(const struct kvs *k, const struct kvs_bytes *key)
{
	struct kvs_node probe;

	probe.key = *key;
	return RB_FIND(
	    kvs_node_tree, (struct kvs_node_tree *)&k->nodes, &probe);
}

static struct kvs_node *
find_or_add(struct kvs *k, const struct kvs_bytes *key)
{
	struct kvs_node *n;
	char *copy;

	if ((n = find(k, key)) != NULL)
		return n;
	n = calloc(1, sizeof(*n));
	copy = malloc(key->len);
	if (n == NULL || copy == NULL) {
		free(n);
		free(copy);
		return NULL;
	}
	memcpy(copy, key->data, key->len);
	n->key.data = copy;
	n->key.len = key->len;
	TAILQ_INIT(&n->versions);
	RB_INSERT(kvs_node_tree, &k->nodes, n);
	return n;
}

static struct kvs_node *
first_in(const struct kvs *k, const struct kvs_span *span)
{
	struct kvs_node probe;

	probe.key = span->key;
	return RB_NFIND(
	    kvs_node_tree, (struct kvs_node_tree *)&k->nodes, &probe);
}

static bool
is_point(const struct kvs_span *span)
{
	return span->end.len == 0;
}

bool
kvs_span_has(const struct kvs_span *span, const struct kvs_bytes *key)
{
	if (is_point(span))
		return kvs_compare_bytes(key, &span->key) == 0;
	if (kvs_compare_bytes(key, &span->key) < 0)
		return false;
	if (span->end.len == 1 && span->end.data[0] == '\0')
		return true;
	return kvs_compare_bytes(key, &span->end) < 0;
}

/* The key as it was; NULL when it didn't exist. */
const struct kvs_kv *
kvs_at_revision(const struct kvs_node *n, int64_t revision)
{
	const struct kvs_version *v;

	TAILQ_FOREACH (v, &n->versions, link) {
		if (v->kv.mod_revision <= revision)
			return v->kv.version > 0 ? &v->kv : NULL;
	}
	return NULL;
}

const struct kvs_kv *
kvs_current(const struct kvs *k, const struct kvs_bytes *key)
{
	const struct kvs_node *n;

	if ((n = find(k, key)) == NULL)
		return NULL;
	return kvs_at_revision(n, INT64_MAX);
}

static int
list_add(struct kvs_list *list, const struct kvs_kv *kv)
{
	const struct kvs_kv **grown;
	size_t size;

	if (list->n == list->size) {
		size = list->size > 0 ? list->size * 2 : LIST_SIZE_FIRST;
		grown = reallocarray(
		    (void *)list->kvs, size, sizeof(struct kvs_kv *));
		if (grown == NULL)
			return -1;
		list->kvs = grown;
		list->size = size;
	}
	list->kvs[list->n++] = kv;
	return 0;
}

void
kvs_list_free(struct kvs_list *list)
{
	free((void *)list->kvs);
	memset(list, 0, sizeof(*list));
}

enum kvs_error
kvs_range(const struct kvs *k, const struct kvs_span *span, int64_t revision,
    int64_t limit, struct kvs_list *list)
{
	const struct kvs_kv *kv;
	struct kvs_node *n;

	memset(list, 0, sizeof(*list));
	if (span->key.len == 0)
		return KVS_ERR_EMPTY_KEY;
	if (revision > k->revision)
		return KVS_ERR_FUTURE;
	if (revision > 0 && revision < k->compact_revision)
		return KVS_ERR_COMPACTED;
	if (revision <= 0)
		revision = INT64_MAX;
	for (n = first_in(k, span); n != NULL && kvs_span_has(span, &n->key);
	     n = RB_NEXT(kvs_node_tree, &k->nodes, n)) {
		if ((kv = kvs_at_revision(n, revision)) == NULL)
			continue;
		list->count++;
		if (limit > 0 && list->count > limit)
			continue;
		if (list_add(list, kv) == -1) {
			kvs_list_free(list);
			return KVS_ERR_MEMORY;
		}
	}
	return KVS_OK;
}

/* A put, or without an op a deletion. */
enum kvs_error
kvs_add_version(struct kvs *k, const struct kvs_bytes *key,
    const struct kvs_op *op, int64_t revision)
{
	const struct kvs_kv *old;
	struct kvs_version *v;
	struct kvs_node *n;
	char *value;

	if ((n = find_or_add(k, key)) == NULL)
		return KVS_ERR_MEMORY;
	v = calloc(1, sizeof(*v));
	value = op != NULL ? malloc(op->value.len + 1) : NULL;
	if (v == NULL || (op != NULL && value == NULL)) {
		free(v);
		free(value);
		kvs_drop_if_empty(k, n);
		return KVS_ERR_MEMORY;
	}
	v->node = n;
	v->kv.key = n->key;
	v->kv.mod_revision = revision;
	if (op != NULL) {
		old = kvs_at_revision(n, INT64_MAX);
		if (op->value.len > 0)
			memcpy(value, op->value.data, op->value.len);
		v->kv.value.data = value;
		v->kv.value.len = op->value.len;
		v->kv.create_revision =
		    old != NULL ? old->create_revision : revision;
		v->kv.version = old != NULL ? old->version + 1 : 1;
		v->kv.lease = op->lease;
	}
	TAILQ_INSERT_HEAD(&n->versions, v, link);
	TAILQ_INSERT_TAIL(&k->log, v, in_log);
	k->log_len++;
	k->log_bytes += v->kv.value.len;
	return KVS_OK;
}

void
kvs_drop_if_empty(struct kvs *k, struct kvs_node *n)
{
	if (!TAILQ_EMPTY(&n->versions))
		return;
	RB_REMOVE(kvs_node_tree, &k->nodes, n);
	free((char *)n->key.data);
	free(n);
}

const char *
kvs_strerror(enum kvs_error error)
{
	switch (error) {
	case KVS_OK:
		return "ok";
	case KVS_ERR_COMPACTED:
		return "required revision has been compacted";
	case KVS_ERR_FUTURE:
		return "required revision is a future revision";
	case KVS_ERR_VALUE_TOO_LARGE:
		return "request is too large";
	case KVS_ERR_TOO_MANY_OPS:
		return "too many operations in txn request";
	case KVS_ERR_DUPLICATE_KEY:
		return "duplicate key given in txn request";
	case KVS_ERR_EMPTY_KEY:
		return "key is not provided";
	case KVS_ERR_NO_LEASE:
		return "requested lease not found";
	case KVS_ERR_MEMORY:
		return "out of memory";
	}
	return "unknown";
}

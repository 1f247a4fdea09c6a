#include <stdlib.h>
#include <string.h>

#include "commit_int.h"

static int copy_also(struct commit_item *, const struct commit_request *);
static bool writes_key(const struct commit_batch *, const char *);
static bool fits(const struct commit_batch *, const struct commit_key *,
    const struct commit_item *);

struct commit_item *
commit_item_new(const struct commit_request *put)
{
	struct commit_item *item;

	if ((item = calloc(1, sizeof(*item))) == NULL)
		return NULL;
	if ((item->value = malloc(put->len + 1)) == NULL)
		goto fail;
	if (put->len > 0)
		memcpy(item->value, put->value, put->len);
	item->len = put->len;
	item->expected = put->expected;
	item->lease = put->lease;
	item->done = put->done;
	item->ctx = put->ctx;
	if (put->nalso > 0 && copy_also(item, put) == -1)
		goto fail;
	return item;

fail:
	commit_item_free(item);
	return NULL;
}

static int
copy_also(struct commit_item *item, const struct commit_request *put)
{
	struct store_op *to;
	void *value;
	size_t i;

	item->also = calloc(put->nalso, sizeof(*item->also));
	if (item->also == NULL)
		return -1;
	item->nalso = put->nalso;
	for (i = 0; i < put->nalso; i++) {
		to = &item->also[i];
		*to = put->also[i];
		to->key = strdup(put->also[i].key);
		to->value = value = malloc(to->len + 1);
		if (to->key == NULL || value == NULL) {
			item->nalso = i + 1;
			return -1;
		}
		if (to->len > 0)
			memcpy(value, put->also[i].value, to->len);
	}
	return 0;
}

void
commit_item_free(struct commit_item *item)
{
	size_t i;

	for (i = 0; i < item->nalso; i++) {
		free((char *)item->also[i].key);
		free((void *)item->also[i].value);
	}
	free(item->also);
	free(item->value);
	free(item);
}

int
commit_batch_open(struct commit_batch *b, size_t max_ops, size_t max_bytes)
{
	memset(b, 0, sizeof(*b));
	b->max_ops = max_ops;
	b->max_bytes = max_bytes;
	b->compares = calloc(max_ops, sizeof(*b->compares));
	b->success = calloc(max_ops, sizeof(*b->success));
	b->failure = calloc(max_ops, sizeof(*b->failure));
	if (b->compares != NULL && b->success != NULL && b->failure != NULL)
		return 0;
	commit_batch_close(b);
	return -1;
}

void
commit_batch_close(struct commit_batch *b)
{
	free(b->compares);
	free(b->success);
	free(b->failure);
	memset(b, 0, sizeof(*b));
}

/* The store refuses a transaction that writes a key more than once. */
static bool
writes_key(const struct commit_batch *b, const char *key)
{
	size_t i;

	for (i = 0; i < b->nsuccess; i++) {
		if (strcmp(b->success[i].key, key) == 0)
			return true;
	}
	return false;
}

static bool
fits(const struct commit_batch *b, const struct commit_key *key,
    const struct commit_item *item)
{
	size_t i;

	if (b->nsuccess + 1 + item->nalso > b->max_ops)
		return false;
	if (b->nkeys > 0 &&
	    (item->exclusive || b->bytes + item->len > b->max_bytes))
		return false;
	if (writes_key(b, key->name))
		return false;
	for (i = 0; i < item->nalso; i++) {
		if (writes_key(b, item->also[i].key))
			return false;
	}
	return true;
}

bool
commit_batch_put(struct commit_batch *b, const struct commit_key *key)
{
	const struct commit_item *item;
	struct store_compare *compare;
	struct store_op *op;
	size_t i;

	item = STAILQ_FIRST(&key->items);
	if (!fits(b, key, item))
		return false;
	compare = &b->compares[b->nkeys];
	compare->key = key->name;
	compare->target = STORE_MOD_REVISION;
	compare->relation = STORE_EQUAL;
	compare->number = item->expected;
	op = &b->success[b->nsuccess++];
	op->kind = STORE_PUT;
	op->key = key->name;
	op->value = item->value;
	op->len = item->len;
	op->lease = item->lease;
	for (i = 0; i < item->nalso; i++) {
		b->success[b->nsuccess++] = item->also[i];
		b->bytes += item->also[i].len;
	}
	b->failure[b->nkeys].kind = STORE_GET;
	b->failure[b->nkeys].key = key->name;
	b->nkeys++;
	b->bytes += item->len;
	return true;
}

bool
commit_batch_get(struct commit_batch *b, const struct commit_key *key)
{
	if (b->nsuccess == b->max_ops)
		return false;
	b->success[b->nsuccess].kind = STORE_GET;
	b->success[b->nsuccess].key = key->name;
	b->nsuccess++;
	return true;
}

#include <stdlib.h>
#include <string.h>

#include "kvs_int.h"

static bool holds(const struct kvs *, const struct kvs_compare *);
static enum kvs_error check_ops(
    const struct kvs *, const struct kvs_op *, size_t);
static enum kvs_error apply_op(struct kvs *, struct kvs_op *, int64_t, bool *);
static enum kvs_error delete_span(struct kvs *, struct kvs_op *, int64_t);
static void commit(struct kvs *);

static bool
holds(const struct kvs *k, const struct kvs_compare *compare)
{
	const struct kvs_kv *kv;
	int64_t number;
	int c;

	kv = kvs_current(k, &compare->key);
	if (compare->target == KVS_VALUE) {
		/* A key that doesn't exist has no value to compare. */
		if (kv == NULL)
			return false;
		c = kvs_compare_bytes(&kv->value, &compare->value);
	} else {
		number = 0;
		if (kv != NULL && compare->target == KVS_MOD)
			number = kv->mod_revision;
		if (kv != NULL && compare->target == KVS_CREATE)
			number = kv->create_revision;
		if (kv != NULL && compare->target == KVS_VERSION)
			number = kv->version;
		c = (number > compare->number) - (number < compare->number);
	}
	switch (compare->relation) {
	case KVS_EQUAL:
		return c == 0;
	case KVS_GREATER:
		return c > 0;
	case KVS_LESS:
		return c < 0;
	}
	return false;
}

static enum kvs_error
check_ops(const struct kvs *k, const struct kvs_op *ops, size_t nops)
{
	size_t i, j;

	if (nops > KVS_OPS_MAX)
		return KVS_ERR_TOO_MANY_OPS;
	for (i = 0; i < nops; i++) {
		if (ops[i].span.key.len == 0)
			return KVS_ERR_EMPTY_KEY;
		if (ops[i].kind != KVS_PUT)
			continue;
		if (ops[i].value.len > KVS_VALUE_MAX)
			return KVS_ERR_VALUE_TOO_LARGE;
		if (ops[i].lease != 0 &&
		    (k->options.lease_lives == NULL ||
			!k->options.lease_lives(ops[i].lease, k->options.ctx)))
			return KVS_ERR_NO_LEASE;
		for (j = 0; j < nops; j++) {
			if (j == i || ops[j].kind == KVS_RANGE)
				continue;
			if (kvs_span_has(&ops[j].span, &ops[i].span.key))
				return KVS_ERR_DUPLICATE_KEY;
		}
	}
	return KVS_OK;
}

enum kvs_error
kvs_txn(struct kvs *k, struct kvs_request *txn)
{
	enum kvs_error error;
	struct kvs_op *ops;
	size_t i, nops;
	bool changed;

	if (txn->ncompares > KVS_OPS_MAX)
		return KVS_ERR_TOO_MANY_OPS;
	if ((error = check_ops(k, txn->success, txn->nsuccess)) != KVS_OK)
		return error;
	if ((error = check_ops(k, txn->failure, txn->nfailure)) != KVS_OK)
		return error;
	kvs_bound_history(k);
	txn->succeeded = true;
	for (i = 0; i < txn->ncompares && txn->succeeded; i++)
		txn->succeeded = holds(k, &txn->compares[i]);
	ops = txn->succeeded ? txn->success : txn->failure;
	nops = txn->succeeded ? txn->nsuccess : txn->nfailure;
	changed = false;
	for (i = 0; i < nops; i++) {
		error = apply_op(k, &ops[i], k->revision + 1, &changed);
		if (error != KVS_OK)
			break;
	}
	if (changed)
		commit(k);
	return error;
}

static enum kvs_error
apply_op(struct kvs *k, struct kvs_op *op, int64_t revision, bool *changed)
{
	enum kvs_error error;

	switch (op->kind) {
	case KVS_RANGE:
		return kvs_range(k, &op->span, 0, op->limit, &op->found);
	case KVS_PUT:
		*changed = true;
		return kvs_add_version(k, &op->span.key, op, revision);
	case KVS_DELETE:
		error = delete_span(k, op, revision);
		if (op->deleted > 0)
			*changed = true;
		return error;
	}
	return KVS_OK;
}

static enum kvs_error
delete_span(struct kvs *k, struct kvs_op *op, int64_t revision)
{
	enum kvs_error error;
	struct kvs_list list;
	size_t i;

	op->deleted = 0;
	error = kvs_range(k, &op->span, 0, 0, &list);
	for (i = 0; error == KVS_OK && i < list.n; i++) {
		error = kvs_add_version(k, &list.kvs[i]->key, NULL, revision);
		if (error == KVS_OK)
			op->deleted++;
	}
	kvs_list_free(&list);
	return error;
}

enum kvs_error
kvs_drop_lease(struct kvs *k, int64_t lease)
{
	const struct kvs_kv *kv;
	enum kvs_error error;
	struct kvs_node *n;
	bool changed;

	kvs_bound_history(k);
	error = KVS_OK;
	changed = false;
	RB_FOREACH (n, kvs_node_tree, &k->nodes) {
		kv = kvs_at_revision(n, INT64_MAX);
		if (kv == NULL || kv->lease != lease)
			continue;
		error = kvs_add_version(k, &n->key, NULL, k->revision + 1);
		if (error != KVS_OK)
			break;
		changed = true;
	}
	if (changed)
		commit(k);
	return error;
}

static void
commit(struct kvs *k)
{
	k->revision++;
	if (k->options.committed != NULL)
		k->options.committed(k->revision, k->options.ctx);
}

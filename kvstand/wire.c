#include <stdlib.h>
#include <string.h>

#include "base64.h"
#include "decimal.h"
#include "wire.h"

static enum wire_error bytes(
    const json_t *, const char *, struct wire_pool *, struct kvs_bytes *);
static enum wire_error span(
    const json_t *, struct wire_pool *, struct kvs_span *);
static enum wire_error compare(
    const json_t *, struct wire_pool *, struct kvs_compare *);
static enum wire_error op(const json_t *, struct wire_pool *, struct kvs_op *);
static enum wire_error ops(
    const json_t *, struct wire_pool *, struct kvs_op **, size_t *);
static int word(const json_t *, const char *, const char *const *, int);
static json_t *base64(const struct kvs_bytes *);
static json_t *op_answer(const struct kvs_op *, int64_t);
static void free_ops(struct kvs_op *, size_t);

static const char *const targets[] = { "MOD", "CREATE", "VERSION", "VALUE",
	NULL };
static const char *const target_fields[] = { "mod_revision", "create_revision",
	"version", "value" };
static const char *const relations[] = { "EQUAL", "GREATER", "LESS", NULL };

void
wire_pool_free(struct wire_pool *pool)
{
	size_t i;

	for (i = 0; i < pool->n; i++)
		free(pool->chunks[i]);
	free(pool->chunks);
	memset(pool, 0, sizeof(*pool));
}

static enum wire_error
bytes(const json_t *object, const char *name, struct wire_pool *pool,
    struct kvs_bytes *out)
{
	const json_t *value;
	char **grown, *data;

	out->data = "";
	out->len = 0;
	if ((value = json_object_get(object, name)) == NULL)
		return WIRE_OK;
	if (!json_is_string(value))
		return WIRE_ERR_SYNTAX;
	grown = reallocarray(pool->chunks, pool->n + 1, sizeof(char *));
	if (grown == NULL)
		return WIRE_ERR_MEMORY;
	pool->chunks = grown;
	data = base64_decode(
	    json_string_value(value), json_string_length(value), &out->len);
	if (data == NULL)
		return WIRE_ERR_SYNTAX;
	pool->chunks[pool->n++] = data;
	out->data = data;
	return WIRE_OK;
}

static enum wire_error
span(const json_t *object, struct wire_pool *pool, struct kvs_span *out)
{
	enum wire_error error;

	if (!json_is_object(object))
		return WIRE_ERR_SYNTAX;
	if ((error = bytes(object, "key", pool, &out->key)) != WIRE_OK)
		return error;
	return bytes(object, "range_end", pool, &out->end);
}

enum wire_error
wire_range(const json_t *object, struct wire_pool *pool, struct wire_range *r)
{
	memset(r, 0, sizeof(*r));
	r->revision = decimal_member(object, "revision");
	r->limit = decimal_member(object, "limit");
	r->keys_only = json_is_true(json_object_get(object, "keys_only"));
	r->count_only = json_is_true(json_object_get(object, "count_only"));
	return span(object, pool, &r->span);
}

/* The index of a word; the first one when it is left out, -1 for another. */
static int
word(const json_t *object, const char *name, const char *const *words, int def)
{
	const json_t *value;
	int i;

	if ((value = json_object_get(object, name)) == NULL)
		return def;
	if (!json_is_string(value))
		return -1;
	for (i = 0; words[i] != NULL; i++) {
		if (strcmp(words[i], json_string_value(value)) == 0)
			return i;
	}
	return -1;
}

static enum wire_error
compare(const json_t *object, struct wire_pool *pool, struct kvs_compare *c)
{
	enum wire_error error;
	int target, relation;

	/* The protocol's default target is VERSION. */
	target = word(object, "target", targets, KVS_VERSION);
	relation = word(object, "result", relations, KVS_EQUAL);
	if (!json_is_object(object) || target == -1 || relation == -1)
		return WIRE_ERR_SYNTAX;
	c->target = (enum kvs_target)target;
	c->relation = (enum kvs_relation)relation;
	if ((error = bytes(object, "key", pool, &c->key)) != WIRE_OK)
		return error;
	if (c->target == KVS_VALUE)
		return bytes(object, "value", pool, &c->value);
	c->number = decimal_member(object, target_fields[target]);
	return WIRE_OK;
}

static enum wire_error
op(const json_t *object, struct wire_pool *pool, struct kvs_op *out)
{
	const json_t *part;
	enum wire_error error;

	if ((part = json_object_get(object, "request_put")) != NULL) {
		out->kind = KVS_PUT;
		out->lease = decimal_member(part, "lease");
		error = bytes(part, "value", pool, &out->value);
		if (error != WIRE_OK)
			return error;
		return bytes(part, "key", pool, &out->span.key);
	}
	if ((part = json_object_get(object, "request_delete_range")) != NULL) {
		out->kind = KVS_DELETE;
		return span(part, pool, &out->span);
	}
	if ((part = json_object_get(object, "request_range")) != NULL) {
		out->kind = KVS_RANGE;
		out->limit = decimal_member(part, "limit");
		return span(part, pool, &out->span);
	}
	return WIRE_ERR_SYNTAX;
}

static enum wire_error
ops(const json_t *array, struct wire_pool *pool, struct kvs_op **out, size_t *n)
{
	enum wire_error error;
	size_t i, size;

	if ((size = json_array_size(array)) == 0)
		return array == NULL || json_is_array(array) ? WIRE_OK :
							       WIRE_ERR_SYNTAX;
	if ((*out = calloc(size, sizeof(**out))) == NULL)
		return WIRE_ERR_MEMORY;
	*n = size;
	for (i = 0; i < size; i++) {
		error = op(json_array_get(array, i), pool, &(*out)[i]);
		if (error != WIRE_OK)
			return error;
	}
	return WIRE_OK;
}

enum wire_error
wire_txn(const json_t *object, struct wire_pool *pool, struct kvs_request *txn)
{
	struct kvs_compare *compares;
	enum wire_error error;
	const json_t *array;
	size_t i;

	memset(txn, 0, sizeof(*txn));
	if (!json_is_object(object))
		return WIRE_ERR_SYNTAX;
	array = json_object_get(object, "compare");
	if ((txn->ncompares = json_array_size(array)) > 0) {
		compares = calloc(txn->ncompares, sizeof(*compares));
		if (compares == NULL)
			return WIRE_ERR_MEMORY;
		txn->compares = compares;
		for (i = 0; i < txn->ncompares; i++) {
			error = compare(
			    json_array_get(array, i), pool, &compares[i]);
			if (error != WIRE_OK)
				return error;
		}
	}
	error = ops(json_object_get(object, "success"), pool, &txn->success,
	    &txn->nsuccess);
	if (error != WIRE_OK)
		return error;
	return ops(json_object_get(object, "failure"), pool, &txn->failure,
	    &txn->nfailure);
}

static void
free_ops(struct kvs_op *list, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		kvs_list_free(&list[i].found);
	free(list);
}

void
wire_txn_free(struct kvs_request *txn)
{
	free((struct kvs_compare *)txn->compares);
	free_ops(txn->success, txn->nsuccess);
	free_ops(txn->failure, txn->nfailure);
	memset(txn, 0, sizeof(*txn));
}

enum wire_error
wire_watch(const json_t *object, struct wire_pool *pool, struct kvs_span *out,
    int64_t *start_revision)
{
	const json_t *create;

	create = json_object_get(object, "create_request");
	*start_revision = decimal_member(create, "start_revision");
	return span(create, pool, out);
}

json_t *
wire_int(int64_t number)
{
	return json_sprintf("%lld", (long long)number);
}

json_t *
wire_header(int64_t revision)
{
	return json_pack("{s:o}", "revision", wire_int(revision));
}

static json_t *
base64(const struct kvs_bytes *b)
{
	json_t *value;
	char *text;

	text = base64_encode(b->len > 0 ? b->data : "", b->len);
	value = json_string_nocheck(text);
	free(text);
	return value;
}

/* Like the protocol's gateway, leaves out what is 0 or empty. */
json_t *
wire_kv(const struct kvs_kv *kv, bool keys_only)
{
	json_t *o;

	o = json_pack("{s:o,s:o}", "key", base64(&kv->key), "mod_revision",
	    wire_int(kv->mod_revision));
	if (kv->version > 0) {
		json_object_set_new(
		    o, "create_revision", wire_int(kv->create_revision));
		json_object_set_new(o, "version", wire_int(kv->version));
	}
	if (kv->lease != 0)
		json_object_set_new(o, "lease", wire_int(kv->lease));
	if (kv->value.len > 0 && !keys_only)
		json_object_set_new(o, "value", base64(&kv->value));
	return o;
}

json_t *
wire_list(const struct kvs_list *list, int64_t revision, bool keys_only,
    bool count_only)
{
	json_t *o, *array;
	size_t i;

	o = json_pack("{s:o,s:o}", "header", wire_header(revision), "count",
	    wire_int(list->count));
	if (count_only || o == NULL)
		return o;
	array = json_array();
	for (i = 0; i < list->n; i++)
		json_array_append_new(array, wire_kv(list->kvs[i], keys_only));
	json_object_set_new(o, "kvs", array);
	if ((size_t)list->count > list->n)
		json_object_set_new(o, "more", json_true());
	return o;
}

static json_t *
op_answer(const struct kvs_op *o, int64_t revision)
{
	switch (o->kind) {
	case KVS_PUT:
		return json_pack("{s:{s:o}}", "response_put", "header",
		    wire_header(revision));
	case KVS_DELETE:
		return json_pack("{s:{s:o,s:o}}", "response_delete_range",
		    "header", wire_header(revision), "deleted",
		    wire_int(o->deleted));
	case KVS_RANGE:
		return json_pack("{s:o}", "response_range",
		    wire_list(&o->found, revision, false, false));
	}
	return NULL;
}

json_t *
wire_txn_answer(const struct kvs_request *txn, int64_t revision)
{
	const struct kvs_op *list;
	json_t *array;
	size_t i, n;

	list = txn->succeeded ? txn->success : txn->failure;
	n = txn->succeeded ? txn->nsuccess : txn->nfailure;
	array = json_array();
	for (i = 0; i < n; i++)
		json_array_append_new(array, op_answer(&list[i], revision));
	return json_pack("{s:o,s:b,s:o}", "header", wire_header(revision),
	    "succeeded", txn->succeeded, "responses", array);
}

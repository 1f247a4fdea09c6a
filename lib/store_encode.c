#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base64.h"
#include "store_codec.h"

static char *dump_object(json_t *);
static int put_bytes(json_t *, const char *, const void *, size_t);
static int put_number(json_t *, const char *, int64_t);
static int put_flag(json_t *, const char *, bool);
static int put_key_range(json_t *, const char *, bool);
static int put_range_end(json_t *, const char *);
static json_t *encode_compare(const struct store_compare *);
static json_t *encode_op(const struct store_op *);
static int encode_ops(json_t *, const char *, const struct store_op *, size_t);

static const char *const target_names[] = { "MOD", "CREATE", "VERSION" };
static const char *const target_fields[] = { "mod_revision", "create_revision",
	"version" };
static const char *const relation_names[] = { "EQUAL", "GREATER", "LESS" };

/* Serializes and releases the object. */
static char *
dump_object(json_t *object)
{
	char *text;

	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

static int
put_bytes(json_t *object, const char *name, const void *data, size_t len)
{
	char *text;
	int rc;

	if ((text = base64_encode(data, len)) == NULL)
		return -1;
	rc = json_object_set_new(object, name, json_string_nocheck(text));
	free(text);
	return rc;
}

/* The gateway encodes 64-bit integers as strings. */
static int
put_number(json_t *object, const char *name, int64_t number)
{
	return json_object_set_new(
	    object, name, json_sprintf("%lld", (long long)number));
}

static int
put_flag(json_t *object, const char *name, bool flag)
{
	return flag ? json_object_set_new(object, name, json_true()) : 0;
}

/*
 * A single key, or all keys with that prefix.  A single zero byte sorts before
 * every key: start of the range for an empty prefix.
 */
static int
put_key_range(json_t *object, const char *key, bool prefix)
{
	size_t len;

	len = strlen(key);
	if (put_bytes(object, "key", key, len == 0 && prefix ? 1 : len) == -1)
		return -1;
	return prefix ? put_range_end(object, key) : 0;
}

/* End of the range of a prefix: the first key after all that begin with it. */
static int
put_range_end(json_t *object, const char *prefix)
{
	size_t len;
	char *end;
	int rc;

	if ((end = strdup(prefix)) == NULL)
		return -1;
	len = strlen(end);
	while (len > 0 && (unsigned char)end[len - 1] == 0xff)
		len--;
	if (len > 0) {
		end[len - 1]++;
		rc = put_bytes(object, "range_end", end, len);
	} else {
		/* A single zero byte means no upper bound. */
		rc = put_bytes(object, "range_end", "", 1);
	}
	free(end);
	return rc;
}

char *
store_encode_range(const struct store_range_request *range)
{
	json_t *o;

	if ((o = json_object()) == NULL)
		return NULL;
	if (put_key_range(o, range->key, range->prefix) == -1)
		goto fail;
	if (range->revision != 0 &&
	    put_number(o, "revision", range->revision) == -1)
		goto fail;
	if (range->limit != 0 && put_number(o, "limit", range->limit) == -1)
		goto fail;
	if (put_flag(o, "serializable", range->serializable) == -1)
		goto fail;
	if (put_flag(o, "keys_only", range->keys_only) == -1)
		goto fail;
	return dump_object(o);

fail:
	json_decref(o);
	return NULL;
}

static json_t *
encode_compare(const struct store_compare *compare)
{
	json_t *o;

	if ((o = json_object()) == NULL)
		return NULL;
	if (put_bytes(o, "key", compare->key, strlen(compare->key)) == -1)
		goto fail;
	if (json_object_set_new(
		o, "target", json_string(target_names[compare->target])) == -1)
		goto fail;
	if (json_object_set_new(o, "result",
		json_string(relation_names[compare->relation])) == -1)
		goto fail;
	if (put_number(o, target_fields[compare->target], compare->number) ==
	    -1)
		goto fail;
	return o;

fail:
	json_decref(o);
	return NULL;
}

static json_t *
encode_op(const struct store_op *op)
{
	const char *name;
	bool prefix;
	json_t *o;

	if ((o = json_object()) == NULL)
		return NULL;
	name = "request_range";
	prefix =
	    op->kind == STORE_DELETE_PREFIX || op->kind == STORE_GET_PREFIX;
	if (put_key_range(o, op->key, prefix) == -1)
		goto fail;
	if (op->kind == STORE_PUT) {
		name = "request_put";
		if (put_bytes(o, "value", op->value, op->len) == -1)
			goto fail;
		if (op->lease != 0 && put_number(o, "lease", op->lease) == -1)
			goto fail;
	}
	if (op->kind == STORE_DELETE || op->kind == STORE_DELETE_PREFIX)
		name = "request_delete_range";
	return json_pack("{s:o}", name, o);

fail:
	json_decref(o);
	return NULL;
}

static int
encode_ops(
    json_t *object, const char *name, const struct store_op *ops, size_t nops)
{
	json_t *array;
	size_t i;

	if ((array = json_array()) == NULL)
		return -1;
	for (i = 0; i < nops; i++) {
		if (json_array_append_new(array, encode_op(&ops[i])) == -1) {
			json_decref(array);
			return -1;
		}
	}
	return json_object_set_new(object, name, array);
}

char *
store_encode_txn(const struct store_txn_request *txn)
{
	json_t *o, *array;
	size_t i;

	if ((o = json_object()) == NULL)
		return NULL;
	array = json_array();
	if (json_object_set_new(o, "compare", array) == -1)
		goto fail;
	for (i = 0; i < txn->ncompares; i++) {
		if (json_array_append_new(
			array, encode_compare(&txn->compares[i])) == -1)
			goto fail;
	}
	if (encode_ops(o, "success", txn->success, txn->nsuccess) == -1)
		goto fail;
	if (encode_ops(o, "failure", txn->failure, txn->nfailure) == -1)
		goto fail;
	return dump_object(o);

fail:
	json_decref(o);
	return NULL;
}

char *
store_encode_lease_grant(int64_t ttl_s)
{
	json_t *o;

	o = json_pack("{s:I}", "TTL", (json_int_t)ttl_s);
	return o == NULL ? NULL : dump_object(o);
}

char *
store_encode_lease_id(int64_t lease)
{
	json_t *o;

	if ((o = json_object()) == NULL)
		return NULL;
	if (put_number(o, "ID", lease) == -1) {
		json_decref(o);
		return NULL;
	}
	return dump_object(o);
}

char *
store_encode_watch(const char *prefix, int64_t start_revision)
{
	json_t *o, *create;

	if ((o = json_object()) == NULL)
		return NULL;
	create = json_object();
	if (json_object_set_new(o, "create_request", create) == -1)
		goto fail;
	if (put_key_range(create, prefix, true) == -1 ||
	    put_number(create, "start_revision", start_revision) == -1 ||
	    put_flag(create, "progress_notify", true) == -1)
		goto fail;
	return dump_object(o);

fail:
	json_decref(o);
	return NULL;
}

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base64.h"
#include "counter.h"
#include "decimal.h"
#include "log.h"
#include "store_codec.h"

/* gRPC status codes that map to an error of their own. */
#define CODE_NOT_FOUND 5
#define CODE_OUT_OF_RANGE 11
/* Bytes of a quoted key in the log. */
#define QUOTED_MAX 512

static char *get_bytes(const json_t *, const char *, size_t *);
static int decode_kv(const json_t *, struct store_kv *);
static bool is_text_key(const struct store_kv *, size_t);
static void free_kv(const struct store_kv *);
static void free_kvs(const struct store_kv *, size_t);
static int decode_kvs(const json_t *, const struct store_kv **, size_t *);
static json_t *load_response(const char *, size_t, int64_t *);
static int decode_op(const json_t *, struct store_op_result *);
static int decode_event(const json_t *, struct store_event *);

/* Decodes a base64 member; a missing one is empty. */
static char *
get_bytes(const json_t *object, const char *name, size_t *len)
{
	const json_t *value;

	value = json_object_get(object, name);
	if (value == NULL)
		return base64_decode("", 0, len);
	if (!json_is_string(value))
		return NULL;
	return base64_decode(
	    json_string_value(value), json_string_length(value), len);
}

/* Returns 1; 0 for an entry that is refused; -1 if it is invalid. */
static int
decode_kv(const json_t *object, struct store_kv *kv)
{
	size_t key_len;

	key_len = 0;
	kv->key = get_bytes(object, "key", &key_len);
	kv->value = get_bytes(object, "value", &kv->len);
	kv->create_revision = decimal_member(object, "create_revision");
	kv->mod_revision = decimal_member(object, "mod_revision");
	kv->version = decimal_member(object, "version");
	kv->lease = decimal_member(object, "lease");
	if (kv->key == NULL || kv->value == NULL || key_len == 0 ||
	    kv->mod_revision <= 0) {
		free_kv(kv);
		return -1;
	}
	if (!is_text_key(kv, key_len)) {
		free_kv(kv);
		return 0;
	}
	return 1;
}

/*
 * Any client may write a key with a NUL.  If it made the whole response
 * invalid, no key with the same prefix could be read any more, and a watch
 * would be reopened at the same revision again and again.
 */
static bool
is_text_key(const struct store_kv *kv, size_t len)
{
	char quoted[QUOTED_MAX];

	if (strlen(kv->key) == len)
		return true;
	counter_inc_reason("lagoonpin_store_entry_refused", "key");
	log_warn("entry_refused", "key=%s bytes=%zu revision=%lld reason=key",
	    log_quote(kv->key, quoted, sizeof(quoted)), len,
	    (long long)kv->mod_revision);
	return false;
}

static void
free_kv(const struct store_kv *kv)
{
	free((char *)kv->key);
	free((char *)kv->value);
}

static void
free_kvs(const struct store_kv *kvs, size_t nkvs)
{
	size_t i;

	for (i = 0; i < nkvs; i++)
		free_kv(&kvs[i]);
	free((struct store_kv *)kvs);
}

static int
decode_kvs(const json_t *array, const struct store_kv **kvs, size_t *nkvs)
{
	struct store_kv *list;
	size_t i, n, size;
	int rc;

	*kvs = NULL;
	*nkvs = 0;
	if (array == NULL)
		return 0;
	if (!json_is_array(array))
		return -1;
	if ((size = json_array_size(array)) == 0)
		return 0;
	if ((list = calloc(size, sizeof(*list))) == NULL)
		return -1;
	n = 0;
	for (i = 0; i < size; i++) {
		rc = decode_kv(json_array_get(array, i), &list[n]);
		if (rc == -1) {
			free_kvs(list, n);
			return -1;
		}
		n += (size_t)rc;
	}
	*kvs = list;
	*nkvs = n;
	return 0;
}

/* Parses a response, which must have a header with a revision. */
static json_t *
load_response(const char *text, size_t len, int64_t *revision)
{
	json_t *o;

	if ((o = json_loadb(text, len, 0, NULL)) == NULL)
		return NULL;
	*revision = decimal_member(json_object_get(o, "header"), "revision");
	if (*revision <= 0) {
		json_decref(o);
		return NULL;
	}
	return o;
}

int
store_decode_range(const char *text, size_t len, struct store_range_result *r)
{
	json_t *o;
	int rc;

	memset(r, 0, sizeof(*r));
	if ((o = load_response(text, len, &r->revision)) == NULL)
		return -1;
	r->more = json_is_true(json_object_get(o, "more"));
	rc = decode_kvs(json_object_get(o, "kvs"), &r->kvs, &r->nkvs);
	json_decref(o);
	return rc;
}

void
store_free_range(struct store_range_result *r)
{
	free_kvs(r->kvs, r->nkvs);
	memset(r, 0, sizeof(*r));
}

static int
decode_op(const json_t *object, struct store_op_result *r)
{
	const json_t *part;

	if ((part = json_object_get(object, "response_range")) != NULL)
		return decode_kvs(
		    json_object_get(part, "kvs"), &r->kvs, &r->nkvs);
	if ((part = json_object_get(object, "response_delete_range")) != NULL)
		r->deleted = decimal_member(part, "deleted");
	return 0;
}

int
store_decode_txn(const char *text, size_t len, struct store_txn_result *r)
{
	struct store_op_result *ops;
	json_t *o, *array;
	size_t i;

	memset(r, 0, sizeof(*r));
	if ((o = load_response(text, len, &r->revision)) == NULL)
		return -1;
	r->succeeded = json_is_true(json_object_get(o, "succeeded"));
	array = json_object_get(o, "responses");
	r->nops = json_array_size(array);
	if (r->nops > 0) {
		if ((ops = calloc(r->nops, sizeof(*ops))) == NULL)
			goto fail;
		r->ops = ops;
		for (i = 0; i < r->nops; i++) {
			if (decode_op(json_array_get(array, i), &ops[i]) == -1)
				goto fail;
		}
	}
	json_decref(o);
	return 0;

fail:
	json_decref(o);
	if (r->ops == NULL)
		r->nops = 0;
	store_free_txn(r);
	return -1;
}

void
store_free_txn(struct store_txn_result *r)
{
	size_t i;

	for (i = 0; i < r->nops; i++)
		free_kvs(r->ops[i].kvs, r->ops[i].nkvs);
	free((struct store_op_result *)r->ops);
	memset(r, 0, sizeof(*r));
}

int
store_decode_lease(const char *text, size_t len, struct store_lease_result *r)
{
	json_t *o;

	memset(r, 0, sizeof(*r));
	if ((o = load_response(text, len, &r->revision)) == NULL)
		return -1;
	r->lease = decimal_member(o, "ID");
	r->ttl_s = decimal_member(o, "TTL");
	json_decref(o);
	return 0;
}

int
store_decode_keepalive(
    const char *text, size_t len, struct store_lease_result *r)
{
	json_t *o, *result;

	memset(r, 0, sizeof(*r));
	o = json_loadb(text, len, JSON_DISABLE_EOF_CHECK, NULL);
	result = json_object_get(o, "result");
	r->lease = decimal_member(result, "ID");
	r->ttl_s = decimal_member(result, "TTL");
	r->revision =
	    decimal_member(json_object_get(result, "header"), "revision");
	json_decref(o);
	return r->lease != 0 ? 0 : -1;
}

enum store_error
store_decode_refusal(const char *text, size_t len)
{
	enum store_error error;
	json_t *o;

	error = STORE_ERR_REFUSED;
	if ((o = json_loadb(text, len, 0, NULL)) == NULL)
		return error;
	if (decimal_member(o, "code") == CODE_OUT_OF_RANGE)
		error = STORE_ERR_COMPACTED;
	if (decimal_member(o, "code") == CODE_NOT_FOUND)
		error = STORE_ERR_NO_LEASE;
	json_decref(o);
	return error;
}

static int
decode_event(const json_t *object, struct store_event *event)
{
	const char *type;

	type = json_string_value(json_object_get(object, "type"));
	event->type = type != NULL && strcmp(type, "DELETE") == 0 ?
	    STORE_EVENT_DELETE :
	    STORE_EVENT_PUT;
	return decode_kv(json_object_get(object, "kv"), &event->kv);
}

int
store_decode_watch(const char *text, size_t len, struct store_watch_message *m)
{
	const json_t *result, *array;
	struct store_event *event;
	json_t *o;
	size_t i, n;
	int rc;

	memset(m, 0, sizeof(*m));
	o = json_loadb(text, len, 0, NULL);
	result = json_object_get(o, "result");
	m->revision =
	    decimal_member(json_object_get(result, "header"), "revision");
	if (m->revision <= 0)
		goto fail;
	m->created = json_is_true(json_object_get(result, "created"));
	m->cancelled = json_is_true(json_object_get(result, "canceled"));
	m->compact_revision = decimal_member(result, "compact_revision");
	array = json_object_get(result, "events");
	n = json_array_size(array);
	if (n > 0 && (m->events = calloc(n, sizeof(*m->events))) == NULL)
		goto fail;
	for (i = 0; i < n; i++) {
		event = &m->events[m->nevents];
		rc = decode_event(json_array_get(array, i), event);
		if (rc == -1)
			goto fail;
		if (rc == 0)
			m->refused_revision = event->kv.mod_revision;
		else
			m->nevents++;
	}
	json_decref(o);
	return 0;

fail:
	json_decref(o);
	store_free_watch(m);
	return -1;
}

void
store_free_watch(struct store_watch_message *m)
{
	size_t i;

	for (i = 0; i < m->nevents; i++)
		free_kv(&m->events[i].kv);
	free(m->events);
	memset(m, 0, sizeof(*m));
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "operators.h"

/*
 * The replaced versions of a record, in a ring of keys in the store for each
 * record, so that the history is bounded.
 */

#define HISTORY_PREFIX "lp/history/"
#define HISTORY_VERSIONS 32 /* versions stored of each record */

struct history_read {
	struct entry *entry;
	struct httpd_request *request; /* NULL: the client has disconnected */
};

static void on_history_disconnect(struct httpd_request *, void *);
static void on_history(const struct store_range_result *, void *);

const char *
operators_history_key(enum record_kind kind, const char *name, int64_t version,
    char *buf, size_t size)
{
	snprintf(buf, size, HISTORY_PREFIX "%s/%s/%02d", record_kind_name(kind),
	    kind == RECORD_POLICY ? "policy" : name,
	    (int)(version % HISTORY_VERSIONS));
	return buf;
}

void
history_serve(struct entry *e, struct httpd_request *r, const char *rest)
{
	char key[RECORD_KEY_SIZE], kind_name[RECORD_NAME_SIZE];
	struct store_range_request range = { .key = key, .prefix = true };
	struct history_read *h;
	enum record_kind kind;
	const char *name;

	strlcpy(kind_name, rest, sizeof(kind_name));
	kind_name[strcspn(kind_name, "/")] = '\0';
	name = strchr(rest, '/');
	name = name == NULL ? "" : name + 1;
	if (!record_kind_parse(kind_name, &kind) ||
	    (kind != RECORD_POLICY && !record_name_ok(name))) {
		reply_error(r, 404, "not_found", NULL,
		    "use /v1/config/history/KIND/NAME");
		return;
	}
	snprintf(key, sizeof(key), HISTORY_PREFIX "%s/%s/", kind_name,
	    kind == RECORD_POLICY ? "policy" : name);
	if ((h = calloc(1, sizeof(*h))) == NULL)
		goto fail;
	h->entry = e;
	h->request = r;
	if (store_range(e->store, &range, on_history, h) != STORE_OK)
		goto fail;
	httpd_on_disconnect(r, on_history_disconnect, h);
	return;

fail:
	free(h);
	reply_error(r, 500, "out_of_memory", NULL, "out of memory");
}

static void
on_history_disconnect(struct httpd_request *r, void *ctx)
{
	struct history_read *h;

	(void)r;
	h = ctx;
	h->request = NULL;
}

static void
on_history(const struct store_range_result *result, void *ctx)
{
	struct history_read *h;
	struct httpd_request *r;
	json_t *list, *change;
	size_t i;

	h = ctx;
	r = h->entry->phase == ENTRY_CLOSING ? NULL : h->request;
	free(h);
	if (r == NULL)
		return;
	if (result->error != STORE_OK) {
		reply_retry(r, 503, "store_unavailable",
		    "the history is only in the store", 2);
		return;
	}
	list = json_array();
	for (i = 0; i < result->nkvs; i++) {
		change = json_loadb(
		    result->kvs[i].value, result->kvs[i].len, 0, NULL);
		if (!json_is_object(change)) {
			json_decref(change);
			continue;
		}
		json_object_set_new(change, "changed_at_revision",
		    json_integer(result->kvs[i].mod_revision));
		json_array_append_new(list, change);
	}
	reply_json(r, 200, json_pack("{s:o}", "changes", list));
}

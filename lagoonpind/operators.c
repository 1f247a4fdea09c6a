#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "counter.h"
#include "log.h"
#include "operators.h"

#define HISTORY_PATH "/v1/config/history/"
#define EXPLAIN_PATH "/v1/explain"
#define NUMBER_SIZE 24

static int operators_open(struct entry *);
static void operators_tick(struct entry *, int64_t);
static bool operators_http(struct entry *, struct httpd_request *);
static bool operators_drained(const struct entry *);
static void operators_close(struct entry *);
static bool parse_path(const char *, enum record_kind *, const char **);
static bool query_number(const char *, const char *, int64_t *);
static void refuse_fault(struct httpd_request *, const struct record_fault *);
static void serve_record(
    struct entry *, struct httpd_request *, enum record_kind, const char *);
static void serve_list(
    struct entry *, struct httpd_request *, enum record_kind);
static bool set_record_fault(
    struct record_fault *, enum record_error, const char *, const char *);
static bool validate_body(json_t *, int64_t *, struct record_fault *);
static bool parse_change(struct httpd_request *, enum record_kind, const char *,
    int64_t *, struct record *);
static void serve_put(
    struct entry *, struct httpd_request *, enum record_kind, const char *);
static void serve_delete(
    struct entry *, struct httpd_request *, enum record_kind, const char *);
static void serve_config(struct entry *, struct httpd_request *);
static void serve_explain(
    struct entry *, struct httpd_request *, const char *, char);

/* Collections under /v1/, by kind. */
static const char *const collections[] = { "services", "teams", "policy" };

const struct module operators_module = {
	.name = "operators",
	.open = operators_open,
	.tick = operators_tick,
	.http = operators_http,
	.drained = operators_drained,
	.close = operators_close,
};

static int
operators_open(struct entry *e)
{
	struct operators *o;

	if ((o = calloc(1, sizeof(*o))) == NULL)
		return -1;
	o->entry = e;
	LIST_INIT(&o->changes);
	e->operators = o;
	return 0;
}

static void
operators_tick(struct entry *e, int64_t now_ms)
{
	change_tick(e->operators, now_ms);
}

static bool
operators_drained(const struct entry *e)
{
	return LIST_EMPTY(&e->operators->changes);
}

/* Keeps the struct: pending store callbacks use it. */
static void
operators_close(struct entry *e)
{
	change_close(e->operators);
}

static bool
operators_http(struct entry *e, struct httpd_request *r)
{
	const char *method, *path, *name;
	enum record_kind kind;

	method = httpd_method(r);
	path = httpd_path(r);
	if (strcmp(path, "/v1/config") == 0) {
		serve_config(e, r);
		return true;
	}
	if (strncmp(path, HISTORY_PATH, strlen(HISTORY_PATH)) == 0) {
		history_serve(e, r, path + strlen(HISTORY_PATH));
		return true;
	}
	if (strncmp(path, EXPLAIN_PATH "/", strlen(EXPLAIN_PATH) + 1) == 0) {
		serve_explain(e, r, path + strlen(EXPLAIN_PATH) + 1, '/');
		return true;
	}
	if (strcmp(path, EXPLAIN_PATH) == 0) {
		serve_explain(e, r, httpd_query(r), '=');
		return true;
	}
	if (!parse_path(path, &kind, &name))
		return false;
	if (name == NULL && strcmp(method, "GET") == 0)
		serve_list(e, r, kind);
	else if (name != NULL && strcmp(method, "GET") == 0)
		serve_record(e, r, kind, name);
	else if (name != NULL && strcmp(method, "PUT") == 0)
		serve_put(e, r, kind, name);
	else if (name != NULL && strcmp(method, "DELETE") == 0)
		serve_delete(e, r, kind, name);
	else
		reply_error(r, 405, "method_not_allowed", NULL,
		    "use GET, PUT or DELETE");
	return true;
}

/* Parses /v1/services, /v1/services/NAME, ..., /v1/policy; name NULL: list. */
static bool
parse_path(const char *path, enum record_kind *kind, const char **name)
{
	size_t len;
	int i;

	if (strncmp(path, "/v1/", 4) != 0)
		return false;
	path += 4;
	for (i = 0; i < RECORD_NKINDS; i++) {
		len = strlen(collections[i]);
		if (strncmp(path, collections[i], len) != 0)
			continue;
		*kind = (enum record_kind)i;
		if (path[len] == '\0') {
			*name = i == RECORD_POLICY ? "" : NULL;
			return true;
		}
		if (path[len] == '/' && i != RECORD_POLICY) {
			*name = path + len + 1;
			return true;
		}
	}
	return false;
}

static bool
query_number(const char *query, const char *name, int64_t *value)
{
	char number[NUMBER_SIZE];
	const char *p, *bad;
	size_t len;

	len = strlen(name);
	for (p = query; p != NULL && *p != '\0'; p = strchr(p, '&')) {
		if (*p == '&')
			p++;
		if (strncmp(p, name, len) != 0 || p[len] != '=')
			continue;
		p += len + 1;
		len = strcspn(p, "&");
		if (len >= sizeof(number))
			return false;
		memcpy(number, p, len);
		number[len] = '\0';
		*value = strtonum(number, 0, INT64_MAX, &bad);
		return bad == NULL;
	}
	return false;
}

static void
refuse_fault(struct httpd_request *r, const struct record_fault *fault)
{
	counter_inc_reason(
	    "lagoonpin_operator_refused", record_strerror(fault->error));
	reply_error(r, fault->error == RECORD_ERR_TOO_LARGE ? 413 : 400,
	    record_strerror(fault->error), fault->field, fault->detail);
}

json_t *
operators_record(const struct record *record, int64_t revision, int schema,
    struct record_fault *fault)
{
	json_t *object;
	char *text;

	if (record_text(record, schema, &text, fault) != RECORD_OK)
		return NULL;
	object = json_loads(text, 0, NULL);
	free(text);
	return json_pack(
	    "{s:I, s:o}", "revision", (json_int_t)revision, "record", object);
}

static void
serve_record(struct entry *e, struct httpd_request *r, enum record_kind kind,
    const char *name)
{
	char key[RECORD_KEY_SIZE];
	const struct conf_item *item;
	struct record_fault fault;
	int64_t schema;
	json_t *body;

	item = NULL;
	if (record_key(kind, name, key, sizeof(key)) != NULL)
		item = conf_get(entry_conf(e), key);
	if (item == NULL || !item->present) {
		reply_error(r, 404, "not_found", NULL, "no such record");
		return;
	}
	schema = 0;
	if (strstr(httpd_query(r), "schema=") != NULL &&
	    !query_number(httpd_query(r), "schema", &schema))
		schema = -1;
	body = operators_record(&item->record, item->revision,
	    schema > INT32_MAX ? -1 : (int)schema, &fault);
	if (body == NULL)
		refuse_fault(r, &fault);
	else
		reply_json(r, 200, body);
}

static void
serve_list(struct entry *e, struct httpd_request *r, enum record_kind kind)
{
	const struct conf_item *item;
	json_t *list;

	list = json_array();
	for (item = conf_first(entry_conf(e)); item != NULL;
	     item = conf_next(entry_conf(e), item)) {
		if (item->present && item->record.kind == kind)
			json_array_append_new(list,
			    operators_record(
				&item->record, item->revision, 0, NULL));
	}
	reply_json(r, 200,
	    json_pack("{s:I, s:o}", "revision",
		(json_int_t)conf_revision(entry_conf(e)), collections[kind],
		list));
}

static bool
set_record_fault(struct record_fault *fault, enum record_error error,
    const char *field, const char *detail)
{
	fault->error = error;
	strlcpy(fault->field, field, sizeof(fault->field));
	strlcpy(fault->detail, detail, sizeof(fault->detail));
	return false;
}

/* Accepts only {"revision":N,"record":{...}}. */
static bool
validate_body(
    json_t *body, int64_t *expected_revision, struct record_fault *fault)
{
	static const char revision_detail[] =
	    "the record's current revision, 0 to create it";
	json_t *revision, *value;
	const char *name;

	if (!json_is_object(body))
		return set_record_fault(fault, RECORD_ERR_JSON, "", "");
	json_object_foreach(body, name, value)
	{
		if (strcmp(name, "revision") != 0 &&
		    strcmp(name, "record") != 0)
			return set_record_fault(
			    fault, RECORD_ERR_UNKNOWN_FIELD, name, "");
	}
	if ((revision = json_object_get(body, "revision")) == NULL)
		return set_record_fault(fault, RECORD_ERR_MISSING_FIELD,
		    "revision", revision_detail);
	if (!json_is_integer(revision))
		return set_record_fault(
		    fault, RECORD_ERR_TYPE, "revision", revision_detail);
	if (json_integer_value(revision) < 0)
		return set_record_fault(
		    fault, RECORD_ERR_RANGE, "revision", revision_detail);
	if (json_object_get(body, "record") == NULL)
		return set_record_fault(
		    fault, RECORD_ERR_MISSING_FIELD, "record", "");
	*expected_revision = json_integer_value(revision);
	return true;
}

/* Answers the request and returns false if the change is invalid. */
static bool
parse_change(struct httpd_request *r, enum record_kind kind, const char *name,
    int64_t *expected_revision, struct record *record)
{
	struct record_fault fault = { 0 };
	const char *text;
	json_t *body;
	char *dumped;
	size_t len;

	dumped = NULL;
	text = httpd_body(r, &len);
	body = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	if (!validate_body(body, expected_revision, &fault))
		goto out;
	dumped = json_dumps(
	    json_object_get(body, "record"), JSON_COMPACT | JSON_ENCODE_ANY);
	if (dumped == NULL)
		set_record_fault(&fault, RECORD_ERR_MEMORY, "", "");
	else if (record_parse(kind, dumped, strlen(dumped), record, &fault) ==
		RECORD_OK &&
	    strcmp(record->name, name) != 0)
		set_record_fault(&fault, RECORD_ERR_NAME, "name",
		    "must equal the name in the path");
out:
	free(dumped);
	json_decref(body);
	if (fault.error != RECORD_OK)
		refuse_fault(r, &fault);
	return fault.error == RECORD_OK;
}

static void
serve_put(struct entry *e, struct httpd_request *r, enum record_kind kind,
    const char *name)
{
	struct change_request change = { 0 };
	struct record record;

	if (!parse_change(r, kind, name, &change.expected_revision, &record))
		return;
	change.kind = kind;
	change.name = record.name;
	change.record = &record;
	change_start(e->operators, r, &change);
}

static void
serve_delete(struct entry *e, struct httpd_request *r, enum record_kind kind,
    const char *name)
{
	struct change_request change = { .kind = kind, .name = name };

	if (kind != RECORD_POLICY && !record_name_ok(name)) {
		reply_error(r, 404, "not_found", NULL, "no such record");
		return;
	}
	if (!query_number(
		httpd_query(r), "revision", &change.expected_revision) ||
	    change.expected_revision == 0) {
		counter_inc_reason(
		    "lagoonpin_operator_refused", "missing_field");
		reply_error(r, 400, "missing_field", "revision",
		    "add ?revision=N with the record's current revision");
		return;
	}
	change_start(e->operators, r, &change);
}

static void
serve_config(struct entry *e, struct httpd_request *r)
{
	const struct conf_item *item;
	json_t *bad;
	int n;

	n = 0;
	bad = json_array();
	for (item = conf_first(entry_conf(e)); item != NULL;
	     item = conf_next(entry_conf(e), item)) {
		if (item->present)
			n++;
		if (item->bad_revision == 0)
			continue;
		json_array_append_new(bad,
		    json_pack("{s:s, s:I, s:s, s:s, s:I}", "key", item->key,
			"revision", (json_int_t)item->bad_revision, "error",
			record_strerror(item->fault.error), "field",
			item->fault.field, "in_force_revision",
			(json_int_t)item->revision));
	}
	reply_json(r, 200,
	    json_pack("{s:s, s:I, s:b, s:i, s:o}", "entry", e->opt.id,
		"revision", (json_int_t)conf_revision(entry_conf(e)), "loaded",
		watch_loaded(e), "records", n, "bad_record", bad));
}

/* Parses KIND/ID in the path, or KIND=ID in the query. */
static void
serve_explain(
    struct entry *e, struct httpd_request *r, const char *text, char separator)
{
	char kind[RECORD_NAME_SIZE];
	const char *id;
	size_t i;

	strlcpy(kind, text, sizeof(kind));
	if ((id = strchr(text, separator)) != NULL &&
	    (size_t)(id - text) < sizeof(kind))
		kind[id - text] = '\0';
	for (i = 0; id != NULL && i < nmodules; i++) {
		if (modules[i]->explain != NULL &&
		    modules[i]->explain(e, r, kind, id + 1))
			return;
	}
	reply_error(r, 404, "not_found", NULL,
	    "use /v1/explain/job/ID, task/JOB/INDEX or request/ID");
}

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "record.h"
#include "schema.h"

static void set_fault(struct record_fault *, enum record_error, const char *,
    const char *, const char *);
static int64_t get(const struct record *, const struct schema_field *);
static void set(struct record *, const struct schema_field *, int64_t);
static bool check_fields(
    const struct schema *, const char *, json_t *, struct record_fault *);
static bool read_word(const struct schema_field *, json_t *, struct record *,
    struct record_fault *);
static bool read_field(const struct schema_field *, json_t *, struct record *,
    struct record_fault *);
static bool read_name(
    const struct schema *, json_t *, struct record *, struct record_fault *);
static bool read_object(
    enum record_kind, json_t *, struct record *, struct record_fault *);
static bool expressible(
    const struct record *, const struct schema *, struct record_fault *);
static bool write_field(
    const struct schema_field *, const struct record *, json_t *);

static void
set_fault(struct record_fault *fault, enum record_error error,
    const char *group, const char *field, const char *detail)
{
	if (fault == NULL)
		return;
	fault->error = error;
	snprintf(fault->field, sizeof(fault->field), "%s%s%s",
	    group == NULL ? "" : group, group == NULL ? "" : ".", field);
	strlcpy(fault->detail, detail, sizeof(fault->detail));
}

static int64_t
get(const struct record *r, const struct schema_field *f)
{
	int64_t value;
	int word;

	if (f->words != NULL) {
		memcpy(&word, (const char *)r + f->offset, sizeof(word));
		return word;
	}
	memcpy(&value, (const char *)r + f->offset, sizeof(value));
	return value;
}

static void
set(struct record *r, const struct schema_field *f, int64_t value)
{
	int word;

	if (value == SCHEMA_DEADLINE)
		value = r->as.service.deadline_ms;
	if (f->words != NULL) {
		word = (int)value;
		memcpy((char *)r + f->offset, &word, sizeof(word));
		return;
	}
	memcpy((char *)r + f->offset, &value, sizeof(value));
}

static bool
check_fields(const struct schema *s, const char *group, json_t *object,
    struct record_fault *fault)
{
	const char *name;
	json_t *value;

	json_object_foreach(object, name, value)
	{
		if (group == NULL && schema_has_group(s, name)) {
			if (!json_is_object(value)) {
				set_fault(fault, RECORD_ERR_TYPE, NULL, name,
				    "must be an object");
				return false;
			}
			if (!check_fields(s, name, value, fault))
				return false;
		} else if (!schema_has_field(s, group, name)) {
			set_fault(
			    fault, RECORD_ERR_UNKNOWN_FIELD, group, name, "");
			return false;
		}
	}
	return true;
}

static bool
read_word(const struct schema_field *f, json_t *value, struct record *r,
    struct record_fault *fault)
{
	char allowed[64];
	int i;

	strlcpy(allowed, "must be one of", sizeof(allowed));
	for (i = 0; f->words[i] != NULL; i++) {
		strlcat(allowed, " ", sizeof(allowed));
		strlcat(allowed, f->words[i], sizeof(allowed));
		if (json_is_string(value) &&
		    strcmp(json_string_value(value), f->words[i]) == 0) {
			set(r, f, i);
			return true;
		}
	}
	set_fault(fault,
	    json_is_string(value) ? RECORD_ERR_WORD : RECORD_ERR_TYPE, f->group,
	    f->name, allowed);
	return false;
}

static bool
read_field(const struct schema_field *f, json_t *object, struct record *r,
    struct record_fault *fault)
{
	char allowed[96];
	json_t *value;
	json_int_t n;

	if (f->group != NULL)
		object = json_object_get(object, f->group);
	value = json_object_get(object, f->name);
	if (value == NULL) {
		if (f->def == SCHEMA_REQUIRED) {
			set_fault(fault, RECORD_ERR_MISSING_FIELD, f->group,
			    f->name, "");
			return false;
		}
		set(r, f, f->def);
		return true;
	}
	if (f->words != NULL)
		return read_word(f, value, r, fault);
	snprintf(allowed, sizeof(allowed),
	    "must be an integer from %lld to %lld", (long long)f->min,
	    (long long)f->max);
	if (!json_is_integer(value)) {
		set_fault(fault, RECORD_ERR_TYPE, f->group, f->name, allowed);
		return false;
	}
	n = json_integer_value(value);
	if (n < f->min || n > f->max) {
		set_fault(fault, RECORD_ERR_RANGE, f->group, f->name, allowed);
		return false;
	}
	set(r, f, n);
	return true;
}

static bool
read_name(const struct schema *s, json_t *object, struct record *r,
    struct record_fault *fault)
{
	json_t *name;

	if (!s->named)
		return true;
	if ((name = json_object_get(object, "name")) == NULL) {
		set_fault(fault, RECORD_ERR_MISSING_FIELD, NULL, "name", "");
		return false;
	}
	if (!json_is_string(name)) {
		set_fault(
		    fault, RECORD_ERR_TYPE, NULL, "name", "must be a string");
		return false;
	}
	if (json_string_length(name) != strlen(json_string_value(name)) ||
	    !record_name_ok(json_string_value(name))) {
		set_fault(fault, RECORD_ERR_NAME, NULL, "name",
		    "must be 1 to 64 of letters, digits, '-', '_', '.'");
		return false;
	}
	strlcpy(r->name, json_string_value(name), sizeof(r->name));
	return true;
}

static bool
read_object(enum record_kind kind, json_t *object, struct record *r,
    struct record_fault *fault)
{
	const struct schema *s;
	const struct schema_field *f;
	json_t *version;

	if (!json_is_object(object)) {
		set_fault(fault, RECORD_ERR_NOT_OBJECT, NULL, "", "");
		return false;
	}
	version = json_object_get(object, "schema");
	s = json_is_integer(version) ?
	    schema_find(kind, json_integer_value(version)) :
	    NULL;
	if (s == NULL) {
		set_fault(fault, RECORD_ERR_UNKNOWN_SCHEMA, NULL, "schema",
		    kind == RECORD_SERVICE ? "must be 1 or 2" : "must be 1");
		return false;
	}
	r->kind = kind;
	r->schema = (int)json_integer_value(version);
	/* Defaults of fields that this schema doesn't have. */
	if (kind == RECORD_SERVICE) {
		r->as.service.slots_per_call = 1;
		r->as.service.body_max = SCHEMA_BODY_DEFAULT;
	}
	if (!check_fields(s, NULL, object, fault) ||
	    !read_name(s, object, r, fault))
		return false;
	for (f = s->fields; f->name != NULL; f++) {
		if (!read_field(f, object, r, fault))
			return false;
	}
	if (kind == RECORD_SERVICE && r->schema == 1)
		r->as.service.target_p99_ms = r->as.service.deadline_ms;
	return true;
}

enum record_error
record_parse(enum record_kind kind, const char *text, size_t len,
    struct record *record, struct record_fault *fault)
{
	struct record_fault local;
	struct record r;
	json_t *object;
	json_error_t where;

	if (fault == NULL)
		fault = &local;
	memset(fault, 0, sizeof(*fault));
	if (len > RECORD_TEXT_MAX) {
		set_fault(fault, RECORD_ERR_TOO_LARGE, NULL, "",
		    "at most 16384 bytes");
		return fault->error;
	}
	object = json_loadb(text, len, JSON_REJECT_DUPLICATES, &where);
	if (object == NULL) {
		set_fault(fault, RECORD_ERR_JSON, NULL, "", where.text);
		return fault->error;
	}
	memset(&r, 0, sizeof(r));
	if (read_object(kind, object, &r, fault))
		*record = r;
	json_decref(object);
	return fault->error;
}

/* Whether the schema has a field for every value that is not the default. */
static bool
expressible(
    const struct record *r, const struct schema *to, struct record_fault *fault)
{
	const struct schema *from;
	const struct schema_field *f;
	int64_t def;

	from = schema_find(r->kind, r->schema);
	if (from == NULL || from == to)
		return from != NULL;
	for (f = from->fields; f->name != NULL; f++) {
		def = f->def == SCHEMA_DEADLINE ? r->as.service.deadline_ms :
						  f->def;
		if (!schema_has_member(to, f->offset) && get(r, f) != def) {
			set_fault(fault, RECORD_ERR_NOT_EXPRESSIBLE, f->group,
			    f->name, "");
			return false;
		}
	}
	return true;
}

static bool
write_field(
    const struct schema_field *f, const struct record *r, json_t *object)
{
	json_t *group;
	int64_t value;

	value = get(r, f);
	if (value == RECORD_NO_LIMIT)
		return true;
	if (f->group != NULL) {
		group = json_object_get(object, f->group);
		if (group == NULL) {
			group = json_object();
			if (json_object_set_new(object, f->group, group) == -1)
				return false;
		}
		object = group;
	}
	return json_object_set_new(object, f->name,
		   f->words != NULL ? json_string(f->words[value]) :
				      json_integer(value)) == 0;
}

enum record_error
record_text(
    const struct record *r, int schema, char **text, struct record_fault *fault)
{
	struct record_fault local;
	const struct schema *s;
	const struct schema_field *f;
	json_t *object;

	if (fault == NULL)
		fault = &local;
	memset(fault, 0, sizeof(*fault));
	*text = NULL;
	object = NULL;
	if (schema == 0)
		schema = r->schema;
	if ((s = schema_find(r->kind, schema)) == NULL) {
		set_fault(fault, RECORD_ERR_UNKNOWN_SCHEMA, NULL, "schema", "");
		return fault->error;
	}
	if (!expressible(r, s, fault))
		return fault->error;
	if ((object = json_pack("{s:i}", "schema", schema)) == NULL)
		goto fail;
	if (s->named &&
	    json_object_set_new(object, "name", json_string(r->name)) == -1)
		goto fail;
	for (f = s->fields; f->name != NULL; f++) {
		if (!write_field(f, r, object))
			goto fail;
	}
	if ((*text = json_dumps(object, JSON_COMPACT)) == NULL)
		goto fail;
	json_decref(object);
	return RECORD_OK;

fail:
	json_decref(object);
	set_fault(fault, RECORD_ERR_MEMORY, NULL, "", "");
	return RECORD_ERR_MEMORY;
}

void
record_policy_default(struct record_policy *policy)
{
	const struct schema_field *f;
	struct record r;

	memset(&r, 0, sizeof(r));
	for (f = schema_find(RECORD_POLICY, 1)->fields; f->name != NULL; f++)
		set(&r, f, f->def == SCHEMA_REQUIRED ? 1 : f->def);
	*policy = r.as.policy;
}

const char *
record_strerror(enum record_error error)
{
	static const char *const words[] = { "ok", "too_large", "bad_json",
		"not_an_object", "unknown_schema", "unknown_field",
		"missing_field", "wrong_type", "out_of_range", "unknown_word",
		"bad_name", "not_expressible", "no_memory" };

	return words[error];
}

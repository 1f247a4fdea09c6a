#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "record.h"

/* Commands on services, teams and the policy; the noun selects the kind. */

#define QUERY_SIZE 32 /* of ?revision=N or ?schema=N */

static bool record_path(
    struct ctl *, const char *, const struct settings_args *, char *);
static int first_field(const char *);
static json_t *new_record(struct ctl *, const char *,
    const struct settings_args *, enum ctl_status *);
static bool set_fields(
    struct ctl *, const char *, const struct settings_args *, json_t *);
static json_t *read_file(struct ctl *, enum ctl_status *);
static enum ctl_status put(struct ctl *, const char *, int64_t, json_t *);
static enum ctl_status send_change(
    struct ctl *, const char *, const char *, const char *);

/* Index of the first FIELD=VALUE argument: after the name, if the kind has
 * one. */
static int
first_field(const char *noun)
{
	return strcmp(noun, "policy") == 0 ? 0 : 1;
}

static bool
record_path(struct ctl *ctl, const char *noun, const struct settings_args *args,
    char *path)
{
	if (first_field(noun) == 0) {
		strlcpy(path, "/v1/policy", CTL_PATH_SIZE);
		return true;
	}
	if (!record_name_ok(args->at[0])) {
		fprintf(ctl->err,
		    "lagoonpinctl: \"%s\": a name has 1 to 64 letters, "
		    "digits, '-', '_' or '.'\n",
		    args->at[0]);
		return false;
	}
	snprintf(path, CTL_PATH_SIZE, "/v1/%ss/%s", noun, args->at[0]);
	return true;
}

static bool
set_fields(struct ctl *ctl, const char *noun, const struct settings_args *args,
    json_t *record)
{
	int i;

	for (i = first_field(noun); i < args->n; i++) {
		if (!ctl_field_set(record, args->at[i])) {
			fprintf(ctl->err,
			    "lagoonpinctl: \"%s\": not FIELD=VALUE\n",
			    args->at[i]);
			return false;
		}
	}
	return true;
}

static json_t *
read_file(struct ctl *ctl, enum ctl_status *status)
{
	json_t *record;
	char *text;
	size_t len;

	record = NULL;
	if ((text = ctl_read_file(ctl->opt.file, &len)) != NULL)
		record = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	free(text);
	if (!json_is_object(record)) {
		fprintf(ctl->err, "lagoonpinctl: %s: not a JSON object\n",
		    ctl->opt.file);
		json_decref(record);
		*status = CTL_USAGE;
		return NULL;
	}
	return record;
}

static json_t *
new_record(struct ctl *ctl, const char *noun, const struct settings_args *args,
    enum ctl_status *status)
{
	json_t *record;

	if (ctl->opt.file[0] != '\0') {
		if ((record = read_file(ctl, status)) == NULL)
			return NULL;
	} else {
		record = json_pack("{s:I}", "schema",
		    (json_int_t)(ctl->opt.schema == 0 ? 1 : ctl->opt.schema));
		if (first_field(noun) == 1)
			json_object_set_new(
			    record, "name", json_string(args->at[0]));
	}
	if (!set_fields(ctl, noun, args, record)) {
		json_decref(record);
		*status = CTL_USAGE;
		return NULL;
	}
	return record;
}

/* Prints the new revision, or on a conflict the current record. */
static enum ctl_status
send_change(
    struct ctl *ctl, const char *method, const char *path, const char *text)
{
	struct ctl_request r = { .method = method,
		.path = path,
		.body = text,
		.len = text == NULL ? 0 : strlen(text),
		.timeout_ms = -1 };
	struct ctl_answer a;
	enum ctl_status status;
	json_t *body, *shown;

	ctl_call(ctl, &r, &a);
	status = ctl_answer_status(ctl, &a);
	body = a.body == NULL ? NULL : json_loadb(a.body, a.len, 0, NULL);
	shown = body;
	if (status == CTL_CONFLICT && !ctl->opt.json)
		shown = json_object_get(body, "current");
	if (json_is_object(shown) && ctl->opt.json)
		ctl_print_json(ctl->out, shown);
	else if (json_is_object(shown) &&
	    (status == CTL_OK || status == CTL_CONFLICT))
		ctl_print_object(ctl->out, shown);
	if (status == CTL_OK && ctl->opt.wait)
		status = ctl_wait(
		    ctl, json_integer_value(json_object_get(body, "revision")));
	json_decref(body);
	ctl_answer_free(&a);
	return status;
}

static enum ctl_status
put(struct ctl *ctl, const char *path, int64_t revision, json_t *record)
{
	enum ctl_status status;
	json_t *body;
	char *text;

	body = json_pack(
	    "{s:I, s:O}", "revision", (json_int_t)revision, "record", record);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (text == NULL)
		return CTL_REFUSED;
	status = send_change(ctl, "PUT", path, text);
	free(text);
	return status;
}

enum ctl_status
record_create(
    struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE];
	enum ctl_status status = CTL_USAGE;
	json_t *record;

	if (!record_path(ctl, noun, args, path))
		return CTL_USAGE;
	if ((record = new_record(ctl, noun, args, &status)) == NULL)
		return status;
	status = put(ctl, path, 0, record);
	json_decref(record);
	return status;
}

enum ctl_status
record_show(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE], url_path[CTL_PATH_SIZE + QUERY_SIZE];

	if (!record_path(ctl, noun, args, path))
		return CTL_USAGE;
	if (ctl->opt.schema == 0)
		strlcpy(url_path, path, sizeof(url_path));
	else
		snprintf(url_path, sizeof(url_path), "%s?schema=%lld", path,
		    (long long)ctl->opt.schema);
	return ctl_show(ctl, url_path, NULL);
}

enum ctl_status
record_list(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE], list[CTL_PATH_SIZE - sizeof("/v1/")];

	(void)args;
	snprintf(list, sizeof(list), "%ss", noun);
	snprintf(path, sizeof(path), "/v1/%s", list);
	return ctl_show(ctl, path, list);
}

/*
 * Fields that are not given stay unchanged.  The write is conditional on the
 * revision given by the operator, or else on the one read here.
 */
enum ctl_status
record_set(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE];
	enum ctl_status status;
	json_t *current, *record;
	int64_t expected;

	if (!record_path(ctl, noun, args, path))
		return CTL_USAGE;
	if ((current = ctl_get(ctl, path, &status)) == NULL)
		return status;
	expected = ctl->opt.revision >= 0 ?
	    ctl->opt.revision :
	    json_integer_value(json_object_get(current, "revision"));
	if (ctl->opt.file[0] != '\0')
		record = read_file(ctl, &status);
	else
		record = json_incref(json_object_get(current, "record"));
	if (record != NULL && ctl->opt.schema != 0)
		json_object_set_new(
		    record, "schema", json_integer(ctl->opt.schema));
	if (record != NULL) {
		status = set_fields(ctl, noun, args, record) ?
		    put(ctl, path, expected, record) :
		    CTL_USAGE;
		json_decref(record);
	}
	json_decref(current);
	return status;
}

enum ctl_status
record_delete(
    struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE], url_path[CTL_PATH_SIZE + QUERY_SIZE];
	enum ctl_status status;
	json_t *current;
	int64_t expected;

	if (!record_path(ctl, noun, args, path))
		return CTL_USAGE;
	expected = ctl->opt.revision;
	if (expected < 0) {
		if ((current = ctl_get(ctl, path, &status)) == NULL)
			return status;
		expected =
		    json_integer_value(json_object_get(current, "revision"));
		json_decref(current);
	}
	snprintf(url_path, sizeof(url_path), "%s?revision=%lld", path,
	    (long long)expected);
	return send_change(ctl, "DELETE", url_path, NULL);
}

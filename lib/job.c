#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "job.h"

#define NAME_CHARS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
#define SIZE_MAX_VALUE ((int64_t)1 << 40)
#define RUN_MAX_MS (366LL * 24 * 3600 * 1000)
#define EVICTIONS_MAX 1000

static const char *const fields_1[] = { "schema", "id", "team", "priority",
	"tasks", "cpu_millis", "memory_mib", "run_ms", "payload", NULL };
static const char *const fields_2[] = { "schema", "id", "team", "priority",
	"tasks", "resources", "run_ms", "max_evictions", "spread", "payload",
	NULL };
static const char *const fields_resources[] = { "cpu_millis", "memory_mib",
	"accelerators", NULL };
static const char *const priorities[] = { "normal", "urgent", NULL };
static const char *const spreads[] = { "none", "rack", "data_center", NULL };

static enum job_error fail(struct job_fault *, enum job_error, const char *);
static enum job_error check_fields(
    json_t *, const char *const *, struct job_fault *);
static enum job_error get_name(
    const json_t *, const char *, char *, struct job_fault *);
static enum job_error get_number(const json_t *, const char *, int64_t, int64_t,
    const int64_t *, int64_t *, struct job_fault *);
static enum job_error get_word(const json_t *, const char *,
    const char *const *, int *, struct job_fault *);
static enum job_error get_common(
    const json_t *, struct job *, struct job_fault *);
static enum job_error get_sizes(
    const json_t *, struct job *, bool, struct job_fault *);
static enum job_error get_payload(
    const json_t *, struct job *, struct job_fault *);
static enum job_error parse_schema_1(
    json_t *, struct job *, struct job_fault *);
static enum job_error parse_schema_2(
    json_t *, struct job *, struct job_fault *);

static enum job_error
fail(struct job_fault *fault, enum job_error error, const char *field)
{
	strlcpy(fault->field, field, sizeof(fault->field));
	return error;
}

static enum job_error
check_fields(json_t *o, const char *const *known, struct job_fault *fault)
{
	const char *name;
	json_t *value;
	size_t i;

	json_object_foreach(o, name, value)
	{
		for (i = 0; known[i] != NULL; i++) {
			if (strcmp(known[i], name) == 0)
				break;
		}
		if (known[i] == NULL)
			return fail(fault, JOB_ERR_UNKNOWN_FIELD, name);
	}
	return JOB_OK;
}

static enum job_error
get_name(const json_t *o, const char *name, char *buf, struct job_fault *fault)
{
	const json_t *v;
	const char *s;

	if ((v = json_object_get(o, name)) == NULL)
		return fail(fault, JOB_ERR_MISSING_FIELD, name);
	if ((s = json_string_value(v)) == NULL || s[0] == '\0' ||
	    s[strspn(s, NAME_CHARS)] != '\0' ||
	    strlcpy(buf, s, JOB_NAME_SIZE) >= JOB_NAME_SIZE)
		return fail(fault, JOB_ERR_VALUE, name);
	return JOB_OK;
}

/* The field is required if def is NULL. */
static enum job_error
get_number(const json_t *o, const char *name, int64_t min, int64_t max,
    const int64_t *def, int64_t *out, struct job_fault *fault)
{
	const json_t *v;

	if ((v = json_object_get(o, name)) == NULL) {
		if (def == NULL)
			return fail(fault, JOB_ERR_MISSING_FIELD, name);
		*out = *def;
		return JOB_OK;
	}
	if (!json_is_integer(v) || json_integer_value(v) < min ||
	    json_integer_value(v) > max)
		return fail(fault, JOB_ERR_VALUE, name);
	*out = json_integer_value(v);
	return JOB_OK;
}

/* A missing field has the value of the first word. */
static enum job_error
get_word(const json_t *o, const char *name, const char *const *words, int *out,
    struct job_fault *fault)
{
	const json_t *v;
	int i;

	*out = 0;
	if ((v = json_object_get(o, name)) == NULL)
		return JOB_OK;
	for (i = 0; json_is_string(v) && words[i] != NULL; i++) {
		if (strcmp(words[i], json_string_value(v)) == 0) {
			*out = i;
			return JOB_OK;
		}
	}
	return fail(fault, JOB_ERR_VALUE, name);
}

static enum job_error
get_payload(const json_t *o, struct job *job, struct job_fault *fault)
{
	const json_t *v;

	if ((v = json_object_get(o, "payload")) == NULL)
		job->payload = strdup("{}");
	else if (!json_is_object(v))
		return fail(fault, JOB_ERR_VALUE, "payload");
	else
		job->payload = json_dumps(v, JSON_COMPACT);
	return job->payload == NULL ? JOB_ERR_MEMORY : JOB_OK;
}

static enum job_error
get_sizes(const json_t *o, struct job *job, bool accelerators,
    struct job_fault *fault)
{
	static const int64_t zero = 0;
	enum job_error error;

	error = get_number(o, "cpu_millis", 1, SIZE_MAX_VALUE, NULL,
	    &job->size.cpu_millis, fault);
	if (error != JOB_OK)
		return error;
	error = get_number(o, "memory_mib", 1, SIZE_MAX_VALUE, NULL,
	    &job->size.memory_mib, fault);
	if (error != JOB_OK || !accelerators)
		return error;
	return get_number(o, "accelerators", 0, SIZE_MAX_VALUE, &zero,
	    &job->size.accelerators, fault);
}

static enum job_error
get_common(const json_t *o, struct job *job, struct job_fault *fault)
{
	static const int64_t one = 1, unknown = 0;
	enum job_error error;
	int64_t tasks;
	int word;

	if ((error = get_name(o, "id", job->id, fault)) != JOB_OK)
		return error;
	if ((error = get_name(o, "team", job->team, fault)) != JOB_OK)
		return error;
	error = get_word(o, "priority", priorities, &word, fault);
	if (error != JOB_OK)
		return error;
	job->urgent = word == 1;
	error = get_number(o, "tasks", 1, JOB_TASKS_MAX, &one, &tasks, fault);
	if (error != JOB_OK)
		return error;
	job->tasks = (uint32_t)tasks;
	error = get_number(
	    o, "run_ms", 0, RUN_MAX_MS, &unknown, &job->run_ms, fault);
	if (error != JOB_OK)
		return error;
	return get_payload(o, job, fault);
}

static enum job_error
parse_schema_1(json_t *o, struct job *job, struct job_fault *fault)
{
	enum job_error error;

	if ((error = check_fields(o, fields_1, fault)) != JOB_OK)
		return error;
	if ((error = get_common(o, job, fault)) != JOB_OK)
		return error;
	job->max_evictions = JOB_EVICTIONS_UNSET;
	return get_sizes(o, job, false, fault);
}

static enum job_error
parse_schema_2(json_t *o, struct job *job, struct job_fault *fault)
{
	static const int64_t unset = JOB_EVICTIONS_UNSET;
	json_t *resources;
	enum job_error error;
	int word;

	if ((error = check_fields(o, fields_2, fault)) != JOB_OK)
		return error;
	if ((error = get_common(o, job, fault)) != JOB_OK)
		return error;
	resources = json_object_get(o, "resources");
	if (resources == NULL)
		return fail(fault, JOB_ERR_MISSING_FIELD, "resources");
	if (!json_is_object(resources))
		return fail(fault, JOB_ERR_VALUE, "resources");
	error = check_fields(resources, fields_resources, fault);
	if (error != JOB_OK)
		return error;
	if ((error = get_sizes(resources, job, true, fault)) != JOB_OK)
		return error;
	error = get_number(o, "max_evictions", 0, EVICTIONS_MAX, &unset,
	    &job->max_evictions, fault);
	if (error != JOB_OK)
		return error;
	error = get_word(o, "spread", spreads, &word, fault);
	job->spread = (enum job_spread)word;
	return error;
}

enum job_error
job_parse(
    const char *text, size_t len, struct job *job, struct job_fault *fault)
{
	enum job_error error;
	json_t *root;
	int64_t schema;

	memset(job, 0, sizeof(*job));
	fault->field[0] = '\0';
	if (len > JOB_TEXT_MAX)
		return JOB_ERR_TOO_LARGE;
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(root)) {
		json_decref(root);
		return JOB_ERR_JSON;
	}
	if (get_number(root, "schema", 1, 2, NULL, &schema, fault) != JOB_OK)
		error = fail(fault, JOB_ERR_SCHEMA, "schema");
	else {
		job->schema = (int)schema;
		error = schema == 1 ? parse_schema_1(root, job, fault) :
				      parse_schema_2(root, job, fault);
	}
	json_decref(root);
	if (error != JOB_OK)
		job_free(job);
	return error;
}

void
job_free(struct job *job)
{
	free(job->payload);
	memset(job, 0, sizeof(*job));
}

char *
job_text(const struct job *job)
{
	json_t *o, *payload;
	char *text;

	payload = json_loads(job->payload, 0, NULL);
	o = json_pack("{s:i, s:s, s:s, s:s, s:I, s:I, s:o}", "schema",
	    job->schema, "id", job->id, "team", job->team, "priority",
	    priorities[job->urgent], "tasks", (json_int_t)job->tasks, "run_ms",
	    (json_int_t)job->run_ms, "payload", payload);
	if (o != NULL && job->schema == 1) {
		json_object_set_new(
		    o, "cpu_millis", json_integer(job->size.cpu_millis));
		json_object_set_new(
		    o, "memory_mib", json_integer(job->size.memory_mib));
	} else if (o != NULL) {
		json_object_set_new(o, "resources",
		    json_pack("{s:I, s:I, s:I}", "cpu_millis",
			(json_int_t)job->size.cpu_millis, "memory_mib",
			(json_int_t)job->size.memory_mib, "accelerators",
			(json_int_t)job->size.accelerators));
		if (job->max_evictions != JOB_EVICTIONS_UNSET)
			json_object_set_new(o, "max_evictions",
			    json_integer(job->max_evictions));
		json_object_set_new(
		    o, "spread", json_string(spreads[job->spread]));
	}
	text = o == NULL ? NULL : json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

const char *
job_strerror(enum job_error error)
{
	static const char *const texts[] = { "ok", "too_large", "not_json",
		"unknown_schema", "unknown_field", "missing_field", "bad_value",
		"out_of_memory" };

	return texts[error];
}

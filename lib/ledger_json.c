#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ledger_json.h"

#define TASKS_MAX 100000

struct ledger_text {
	json_t *root;
	json_t *tasks;
	json_t *jobs;
	bool failed;
};

static const char *const state_names[] = { "pending", "bound", "running",
	"evicting" };
#define NSTATES (sizeof(state_names) / sizeof(state_names[0]))

static bool get_text(
    const json_t *, const char *, char *, size_t, bool, struct ledger_fault *);
static bool get_number(const json_t *, const char *, int64_t, int64_t, bool,
    int64_t *, struct ledger_fault *);
static bool get_u32(
    const json_t *, const char *, bool, uint32_t *, struct ledger_fault *);
static bool get_flag(
    const json_t *, const char *, bool *, struct ledger_fault *);
static bool set_fault(struct ledger_fault *, const char *);
static bool get_state(
    const json_t *, struct task_record *, struct ledger_fault *);
static bool get_task(
    const json_t *, struct task_record *, struct ledger_fault *);
static bool get_head(
    const json_t *, struct ledger_head *, struct ledger_fault *);
static enum ledger_json_error get_tasks(
    const json_t *, struct ledger_doc *, struct ledger_fault *);
static enum ledger_json_error get_jobs(
    const json_t *, struct ledger_doc *, struct ledger_fault *);
static enum ledger_json_error load(
    const char *, size_t, json_t **, struct ledger_fault *);
static json_t *task_json(const struct task_record *);
static void put_text(json_t *, const char *, const char *);
static void put_number(json_t *, const char *, int64_t);
static enum ledger_json_error get_cancel(
    const json_t *, struct inbox_item *, struct ledger_fault *);
static enum ledger_json_error get_item(
    const json_t *, struct inbox_item *, struct ledger_fault *);

static bool
set_fault(struct ledger_fault *fault, const char *field)
{
	strlcpy(fault->field, field, sizeof(fault->field));
	return false;
}

static bool
get_text(const json_t *o, const char *name, char *buf, size_t size,
    bool required, struct ledger_fault *fault)
{
	const json_t *v;

	if ((v = json_object_get(o, name)) == NULL) {
		buf[0] = '\0';
		return required ? set_fault(fault, name) : true;
	}
	if (!json_is_string(v) ||
	    strlcpy(buf, json_string_value(v), size) >= size)
		return set_fault(fault, name);
	if (required && buf[0] == '\0')
		return set_fault(fault, name);
	return true;
}

static bool
get_number(const json_t *o, const char *name, int64_t min, int64_t max,
    bool required, int64_t *out, struct ledger_fault *fault)
{
	const json_t *v;

	*out = 0;
	if ((v = json_object_get(o, name)) == NULL)
		return required ? set_fault(fault, name) : true;
	if (!json_is_integer(v))
		return set_fault(fault, name);
	*out = json_integer_value(v);
	if (*out < min || *out > max)
		return set_fault(fault, name);
	return true;
}

static bool
get_u32(const json_t *o, const char *name, bool required, uint32_t *out,
    struct ledger_fault *fault)
{
	int64_t value;

	if (!get_number(o, name, 0, UINT32_MAX, required, &value, fault))
		return false;
	*out = (uint32_t)value;
	return true;
}

static bool
get_flag(
    const json_t *o, const char *name, bool *out, struct ledger_fault *fault)
{
	const json_t *v;

	v = json_object_get(o, name);
	*out = json_is_true(v);
	if (v != NULL && !json_is_boolean(v))
		return set_fault(fault, name);
	return true;
}

static bool
get_state(const json_t *o, struct task_record *r, struct ledger_fault *fault)
{
	char name[16];
	size_t i;

	if (!get_text(o, "state", name, sizeof(name), true, fault))
		return false;
	for (i = 0; i < NSTATES; i++) {
		if (strcmp(name, state_names[i]) != 0)
			continue;
		r->state = (enum task_state)i;
		/* All tasks but the pending ones have a worker. */
		if ((r->state == TASK_PENDING) != (r->worker[0] == '\0'))
			return set_fault(fault, "worker");
		return true;
	}
	return set_fault(fault, "state");
}

static bool
get_task(const json_t *o, struct task_record *r, struct ledger_fault *fault)
{
	memset(r, 0, sizeof(*r));
	return get_text(o, "job", r->job, sizeof(r->job), true, fault) &&
	    get_u32(o, "index", true, &r->index, fault) &&
	    get_u32(o, "attempt", true, &r->attempt, fault) &&
	    get_text(o, "worker", r->worker, sizeof(r->worker), false, fault) &&
	    get_state(o, r, fault) &&
	    get_text(o, "last_worker", r->last_worker, sizeof(r->last_worker),
		false, fault) &&
	    get_u32(o, "evictions", false, &r->evictions, fault) &&
	    get_u32(o, "failures", false, &r->failures, fault) &&
	    get_u32(o, "moves", false, &r->moves, fault) &&
	    get_flag(o, "urgent", &r->urgent, fault) &&
	    get_flag(o, "cancel", &r->cancel, fault) &&
	    get_text(o, "checkpoint", r->checkpoint, sizeof(r->checkpoint),
		false, fault) &&
	    get_number(o, "cpu_millis", 0, INT64_MAX, true, &r->size.cpu_millis,
		fault) &&
	    get_number(o, "memory_mib", 0, INT64_MAX, true, &r->size.memory_mib,
		fault) &&
	    get_number(o, "accelerators", 0, INT64_MAX, false,
		&r->size.accelerators, fault) &&
	    get_number(o, "run_ms", 0, INT64_MAX, false, &r->run_ms, fault);
}

static bool
get_head(const json_t *o, struct ledger_head *head, struct ledger_fault *fault)
{
	int64_t epoch, change;

	if (!get_text(
		o, "owner", head->owner, sizeof(head->owner), false, fault) ||
	    !get_number(o, "epoch", 0, INT64_MAX, true, &epoch, fault) ||
	    !get_number(o, "change", 0, INT64_MAX, true, &change, fault) ||
	    !get_flag(o, "settled", &head->settled, fault))
		return false;
	head->epoch = (uint64_t)epoch;
	head->change = (uint64_t)change;
	return true;
}

static enum ledger_json_error
get_tasks(
    const json_t *root, struct ledger_doc *doc, struct ledger_fault *fault)
{
	const json_t *list;
	size_t n;

	list = json_object_get(root, "tasks");
	n = json_array_size(list);
	if (!json_is_array(list) || n > TASKS_MAX) {
		set_fault(fault, "tasks");
		return LEDGER_JSON_ERR_FIELD;
	}
	doc->tasks = calloc(n + 1, sizeof(*doc->tasks));
	if (doc->tasks == NULL)
		return LEDGER_JSON_ERR_MEMORY;
	for (; doc->ntasks < n; doc->ntasks++) {
		fault->index = doc->ntasks;
		if (!get_task(json_array_get(list, doc->ntasks),
			&doc->tasks[doc->ntasks], fault))
			return LEDGER_JSON_ERR_FIELD;
	}
	return LEDGER_JSON_OK;
}

static enum ledger_json_error
get_jobs(const json_t *root, struct ledger_doc *doc, struct ledger_fault *fault)
{
	const json_t *list, *o;
	struct ledger_job *job;
	size_t n;

	list = json_object_get(root, "jobs");
	n = json_array_size(list);
	if (!json_is_array(list) || n > TASKS_MAX) {
		set_fault(fault, "jobs");
		return LEDGER_JSON_ERR_FIELD;
	}
	if ((doc->jobs = calloc(n + 1, sizeof(*doc->jobs))) == NULL)
		return LEDGER_JSON_ERR_MEMORY;
	for (; doc->njobs < n; doc->njobs++) {
		fault->index = doc->njobs;
		job = &doc->jobs[doc->njobs];
		o = json_array_get(list, doc->njobs);
		if (!get_text(o, "id", job->id, sizeof(job->id), true, fault) ||
		    !get_u32(o, "done", false, &job->done, fault) ||
		    !get_u32(o, "failed", false, &job->failed, fault) ||
		    !get_u32(o, "cancelled", false, &job->cancelled, fault))
			return LEDGER_JSON_ERR_FIELD;
	}
	return LEDGER_JSON_OK;
}

static enum ledger_json_error
load(const char *text, size_t len, json_t **root, struct ledger_fault *fault)
{
	int64_t schema;

	memset(fault, 0, sizeof(*fault));
	*root = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(*root))
		return LEDGER_JSON_ERR_JSON;
	if (!get_number(*root, "schema", LEDGER_SCHEMA, LEDGER_SCHEMA, true,
		&schema, fault))
		return LEDGER_JSON_ERR_SCHEMA;
	return LEDGER_JSON_OK;
}

enum ledger_json_error
ledger_json_parse(const char *text, size_t len, struct ledger_doc *doc,
    struct ledger_fault *fault)
{
	enum ledger_json_error error;
	json_t *root;

	memset(doc, 0, sizeof(*doc));
	if ((error = load(text, len, &root, fault)) != LEDGER_JSON_OK)
		goto out;
	error = LEDGER_JSON_ERR_FIELD;
	if (!get_head(root, &doc->head, fault))
		goto out;
	if ((error = get_tasks(root, doc, fault)) != LEDGER_JSON_OK)
		goto out;
	error = get_jobs(root, doc, fault);
out:
	json_decref(root);
	if (error != LEDGER_JSON_OK)
		ledger_doc_free(doc);
	return error;
}

void
ledger_doc_free(struct ledger_doc *doc)
{
	free(doc->tasks);
	free(doc->jobs);
	memset(doc, 0, sizeof(*doc));
}

static void
put_text(json_t *o, const char *name, const char *value)
{
	if (value[0] != '\0')
		json_object_set_new(o, name, json_string(value));
}

static void
put_number(json_t *o, const char *name, int64_t value)
{
	if (value != 0)
		json_object_set_new(o, name, json_integer(value));
}

static json_t *
task_json(const struct task_record *r)
{
	json_t *o;

	o = json_pack("{s:s, s:I, s:I, s:s, s:I, s:I}", "job", r->job, "index",
	    (json_int_t)r->index, "attempt", (json_int_t)r->attempt, "state",
	    state_names[r->worker[0] == '\0' ? TASK_PENDING : TASK_BOUND],
	    "cpu_millis", (json_int_t)r->size.cpu_millis, "memory_mib",
	    (json_int_t)r->size.memory_mib);
	if (o == NULL)
		return NULL;
	put_text(o, "worker", r->worker);
	put_text(o, "last_worker", r->last_worker);
	put_text(o, "checkpoint", r->checkpoint);
	put_number(o, "evictions", r->evictions);
	put_number(o, "failures", r->failures);
	put_number(o, "moves", r->moves);
	put_number(o, "accelerators", r->size.accelerators);
	put_number(o, "run_ms", r->run_ms);
	if (r->urgent)
		json_object_set_new(o, "urgent", json_true());
	if (r->cancel)
		json_object_set_new(o, "cancel", json_true());
	return o;
}

struct ledger_text *
ledger_text_open(const struct ledger_head *head)
{
	struct ledger_text *text;

	if ((text = calloc(1, sizeof(*text))) == NULL)
		return NULL;
	text->tasks = json_array();
	text->jobs = json_array();
	text->root = json_pack("{s:i, s:s, s:I, s:I, s:b, s:O, s:O}", "schema",
	    LEDGER_SCHEMA, "owner", head->owner, "epoch",
	    (json_int_t)head->epoch, "change", (json_int_t)head->change,
	    "settled", (int)head->settled, "tasks", text->tasks, "jobs",
	    text->jobs);
	text->failed = text->root == NULL;
	return text;
}

void
ledger_text_task(struct ledger_text *text, const struct task_record *r)
{
	if (json_array_append_new(text->tasks, task_json(r)) == -1)
		text->failed = true;
}

void
ledger_text_job(struct ledger_text *text, const struct ledger_job *job)
{
	json_t *o;

	o = json_pack("{s:s, s:I, s:I, s:I}", "id", job->id, "done",
	    (json_int_t)job->done, "failed", (json_int_t)job->failed,
	    "cancelled", (json_int_t)job->cancelled);
	if (json_array_append_new(text->jobs, o) == -1)
		text->failed = true;
}

char *
ledger_text_close(struct ledger_text *text)
{
	char *out;

	out = text->failed ? NULL : json_dumps(text->root, JSON_COMPACT);
	json_decref(text->tasks);
	json_decref(text->jobs);
	json_decref(text->root);
	free(text);
	return out;
}

static enum ledger_json_error
get_cancel(const json_t *o, struct inbox_item *item, struct ledger_fault *fault)
{
	const json_t *list, *id;
	size_t n;

	list = json_object_get(o, "jobs");
	n = json_array_size(list);
	if (!json_is_array(list) || n > TASKS_MAX) {
		set_fault(fault, "jobs");
		return LEDGER_JSON_ERR_FIELD;
	}
	if ((item->jobs = calloc(n + 1, sizeof(*item->jobs))) == NULL)
		return LEDGER_JSON_ERR_MEMORY;
	for (; item->njobs < n; item->njobs++) {
		fault->index = item->njobs;
		id = json_array_get(list, item->njobs);
		if (!json_is_string(id) ||
		    strlcpy(item->jobs[item->njobs], json_string_value(id),
			LEDGER_ID_MAX) >= LEDGER_ID_MAX) {
			set_fault(fault, "jobs");
			return LEDGER_JSON_ERR_FIELD;
		}
	}
	return LEDGER_JSON_OK;
}

static enum ledger_json_error
get_item(const json_t *o, struct inbox_item *item, struct ledger_fault *fault)
{
	char kind[16];

	if (!get_text(o, "kind", kind, sizeof(kind), true, fault))
		return LEDGER_JSON_ERR_FIELD;
	if (strcmp(kind, "cancel") == 0) {
		item->kind = INBOX_CANCEL;
		return get_cancel(o, item, fault);
	}
	if (strcmp(kind, "task") == 0) {
		item->kind = INBOX_TASK;
		return get_task(
			   json_object_get(o, "task"), &item->task, fault) ?
		    LEDGER_JSON_OK :
		    LEDGER_JSON_ERR_FIELD;
	}
	if (strcmp(kind, "job") != 0) {
		set_fault(fault, "kind");
		return LEDGER_JSON_ERR_FIELD;
	}
	item->kind = INBOX_JOB;
	if (!get_text(o, "job", item->job, sizeof(item->job), true, fault) ||
	    !get_u32(o, "first", true, &item->first, fault) ||
	    !get_u32(o, "count", true, &item->count, fault))
		return LEDGER_JSON_ERR_FIELD;
	return LEDGER_JSON_OK;
}

enum ledger_json_error
inbox_item_parse(const char *text, size_t len, struct inbox_item *item,
    struct ledger_fault *fault)
{
	enum ledger_json_error error;
	json_t *root;

	memset(item, 0, sizeof(*item));
	if ((error = load(text, len, &root, fault)) == LEDGER_JSON_OK)
		error = get_item(root, item, fault);
	json_decref(root);
	if (error != LEDGER_JSON_OK)
		inbox_item_free(item);
	return error;
}

void
inbox_item_free(struct inbox_item *item)
{
	free(item->jobs);
	memset(item, 0, sizeof(*item));
}

char *
inbox_item_text(const struct inbox_item *item)
{
	json_t *o, *list;
	char *out;
	size_t i;

	if (item->kind == INBOX_JOB) {
		o = json_pack("{s:i, s:s, s:s, s:I, s:I}", "schema",
		    LEDGER_SCHEMA, "kind", "job", "job", item->job, "first",
		    (json_int_t)item->first, "count", (json_int_t)item->count);
	} else if (item->kind == INBOX_TASK) {
		o = json_pack("{s:i, s:s, s:o}", "schema", LEDGER_SCHEMA,
		    "kind", "task", "task", task_json(&item->task));
	} else {
		list = json_array();
		for (i = 0; i < item->njobs; i++)
			json_array_append_new(list, json_string(item->jobs[i]));
		o = json_pack("{s:i, s:s, s:o}", "schema", LEDGER_SCHEMA,
		    "kind", "cancel", "jobs", list);
	}
	out = o == NULL ? NULL : json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return out;
}

const char *
ledger_json_strerror(enum ledger_json_error error)
{
	static const char *const texts[] = { "ok", "not_json", "unknown_schema",
		"bad_field", "out_of_memory" };

	return texts[error];
}

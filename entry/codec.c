#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "codec_int.h"
#include "jsonfield.h"

/*
 * Encoding and decoding of jobs as submitted, of their final states and of the
 * names of tasks.
 */

static bool read_steps(struct graph *, const json_t *);
static bool read_step(struct graph_step *, const json_t *);

static void
set_number(json_t *object, const char *key, int64_t value)
{
	if (value != 0)
		json_object_set_new(object, key, json_integer(value));
}

static void
set_flag(json_t *object, const char *key, bool value)
{
	if (value)
		json_object_set_new(object, key, json_true());
}

static void
set_text(json_t *object, const char *key, const char *value)
{
	if (value[0] != '\0')
		json_object_set_new(object, key, json_string(value));
}

/*
 * Other writers can reach the keys under our prefix.  A field of a wrong type
 * makes the whole record invalid, since its intended value is unknown.
 */

/* A missing field is 0. */
static bool
get_number(const json_t *object, const char *key, int64_t *value)
{
	return json_to_int64_or(
	    json_object_get(object, key), 0, INT64_MAX, 0, value);
}

static bool
get_count(const json_t *object, const char *key, uint32_t *value)
{
	const json_t *field;

	*value = 0;
	field = json_object_get(object, key);
	return field == NULL || json_to_uint32(field, value);
}

static bool
get_flag(const json_t *object, const char *key, bool *value)
{
	const json_t *field;

	field = json_object_get(object, key);
	*value = json_is_true(field);
	return field == NULL || json_is_boolean(field);
}

static bool
get_text(const json_t *object, const char *key, char *buf, size_t size)
{
	const json_t *value;

	buf[0] = '\0';
	if ((value = json_object_get(object, key)) == NULL)
		return true;
	return json_is_string(value) &&
	    strlcpy(buf, json_string_value(value), size) < size;
}

char *
codec_dump(json_t *value, size_t *len)
{
	char *text;

	text = NULL;
	if (value != NULL)
		text = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	*len = text != NULL ? strlen(text) : 0;
	return text;
}

static json_t *
write_step(const struct graph_step *step)
{
	json_t *object, *after;
	size_t i;

	object = json_object();
	set_number(object, "count", step->count);
	set_number(object, "cpu_millis", step->size.cpu_millis);
	set_number(object, "memory_mib", step->size.memory_mib);
	set_number(object, "accelerators", step->size.accelerators);
	set_number(object, "run_ms", step->estimate_ms);
	if (step->nafter > 0) {
		after = json_array();
		for (i = 0; i < step->nafter; i++)
			json_array_append_new(
			    after, json_integer(step->after[i]));
		json_object_set_new(object, "after", after);
	}
	set_flag(object, "checkpoints", step->checkpoints);
	set_flag(object, "gang", step->gang);
	set_flag(object, "one_rack", step->one_rack);
	set_flag(object, "copies", step->copies);
	set_flag(object, "lasts", step->lasts);
	set_flag(object, "filler", step->filler);
	set_number(object, "per_worker", step->per_worker);
	set_number(object, "may_be_away", step->may_be_away);
	set_number(object, "tail_ms", step->tail_target_ms);
	set_text(object, "label", step->label);
	set_text(object, "rack", step->rack);
	set_text(object, "image", step->image);
	return object;
}

static json_t *
write_terms(const struct queue_terms *terms)
{
	return json_pack("{ss si si sf sI}", "service", terms->service,
	    "priority", (int)terms->priority, "max_attempts",
	    (int)terms->max_attempts, "stretch", terms->stretch, "target_ms",
	    (json_int_t)terms->target_ms);
}

static bool
read_terms(struct queue_terms *terms, const json_t *object)
{
	const json_t *stretch;

	stretch = json_object_get(object, "stretch");
	if (!json_is_object(object) || !json_is_number(stretch))
		return false;
	terms->stretch = json_number_value(stretch);
	return terms->stretch >= 0 && terms->stretch <= QUEUE_STRETCH_MAX &&
	    get_text(
		object, "service", terms->service, sizeof(terms->service)) &&
	    get_count(object, "priority", &terms->priority) &&
	    get_count(object, "max_attempts", &terms->max_attempts) &&
	    get_number(object, "target_ms", &terms->target_ms);
}

char *
codec_graph(const struct graph *g, size_t *len)
{
	json_t *object, *steps, *payload;
	size_t i;

	*len = 0;
	if ((payload = json_string(g->payload)) == NULL)
		return NULL;
	object = json_object();
	set_text(object, "id", g->id);
	set_text(object, "queue", g->queue);
	json_object_set_new(object, "terms", write_terms(&g->terms));
	json_object_set_new(object, "payload", payload);
	set_number(object, "submitted_ms", g->submitted_ms);
	set_number(object, "repeats", g->repeats);
	set_number(object, "first_due_ms", g->first_due_ms);
	set_number(object, "every_ms", g->every_ms);
	steps = json_array();
	for (i = 0; i < g->nsteps; i++)
		json_array_append_new(steps, write_step(&g->steps[i]));
	json_object_set_new(object, "steps", steps);
	return codec_dump(object, len);
}

struct graph *
codec_read_graph(const char *text, size_t len)
{
	const json_t *steps, *payload;
	struct graph *g;
	json_t *object;
	size_t step;

	g = NULL;
	if ((object = json_loadb(text, len, 0, NULL)) == NULL)
		return NULL;
	steps = json_object_get(object, "steps");
	payload = json_object_get(object, "payload");
	if (!json_is_string(payload) || !json_is_array(steps) ||
	    (g = graph_new(json_array_size(steps))) == NULL)
		goto fail;
	if (!get_text(object, "id", g->id, sizeof(g->id)) ||
	    !get_text(object, "queue", g->queue, sizeof(g->queue)) ||
	    (g->payload = strdup(json_string_value(payload))) == NULL ||
	    !read_terms(&g->terms, json_object_get(object, "terms")) ||
	    !get_number(object, "submitted_ms", &g->submitted_ms) ||
	    !get_count(object, "repeats", &g->repeats) ||
	    !get_number(object, "first_due_ms", &g->first_due_ms) ||
	    !get_number(object, "every_ms", &g->every_ms) ||
	    !read_steps(g, steps))
		goto fail;
	if (graph_check(g, &step) != GRAPH_OK)
		goto fail;
	json_decref(object);
	return g;

fail:
	graph_free(g);
	json_decref(object);
	return NULL;
}

static bool
read_steps(struct graph *g, const json_t *steps)
{
	size_t i;

	for (i = 0; i < g->nsteps; i++) {
		if (!read_step(&g->steps[i], json_array_get(steps, i)))
			return false;
	}
	return true;
}

static bool
read_after(struct graph_step *step, const json_t *list)
{
	const json_t *row;
	size_t i;

	if (list == NULL)
		return true;
	if (!json_is_array(list))
		return false;
	step->after = calloc(json_array_size(list) + 1, sizeof(*step->after));
	if (step->after == NULL)
		return false;
	json_array_foreach(list, i, row)
	{
		if (!json_to_uint32(row, &step->after[step->nafter++]))
			return false;
	}
	return true;
}

static bool
read_size(struct graph_step *step, const json_t *object)
{
	return get_count(object, "count", &step->count) &&
	    get_number(object, "cpu_millis", &step->size.cpu_millis) &&
	    get_number(object, "memory_mib", &step->size.memory_mib) &&
	    get_number(object, "accelerators", &step->size.accelerators) &&
	    get_number(object, "run_ms", &step->estimate_ms);
}

static bool
read_flags(struct graph_step *step, const json_t *object)
{
	return get_flag(object, "checkpoints", &step->checkpoints) &&
	    get_flag(object, "gang", &step->gang) &&
	    get_flag(object, "one_rack", &step->one_rack) &&
	    get_flag(object, "copies", &step->copies) &&
	    get_flag(object, "lasts", &step->lasts) &&
	    get_flag(object, "filler", &step->filler);
}

static bool
read_step(struct graph_step *step, const json_t *object)
{
	return json_is_object(object) && read_size(step, object) &&
	    read_after(step, json_object_get(object, "after")) &&
	    read_flags(step, object) &&
	    get_count(object, "per_worker", &step->per_worker) &&
	    get_count(object, "may_be_away", &step->may_be_away) &&
	    get_number(object, "tail_ms", &step->tail_target_ms) &&
	    get_text(object, "label", step->label, sizeof(step->label)) &&
	    get_text(object, "rack", step->rack, sizeof(step->rack)) &&
	    get_text(object, "image", step->image, sizeof(step->image));
}

/* Earlier versions take a record of this state for invalid: no such job. */
#define STATE_TOMBSTONE "tombstone"

static char *
dump_ended(const char *state, int64_t ended_ms, size_t *len)
{
	json_t *object;

	object = json_pack("{ss}", "state", state);
	if (object != NULL)
		set_number(object, "ended_ms", ended_ms);
	return codec_dump(object, len);
}

char *
codec_ended(enum sched_job_state state, int64_t ended_ms, size_t *len)
{
	return dump_ended(sched_job_state_name(state), ended_ms, len);
}

char *
codec_tombstone(int64_t written_ms, size_t *len)
{
	return dump_ended(STATE_TOMBSTONE, written_ms, len);
}

static enum ended_record
find_ended(const char *name, enum sched_job_state *state)
{
	static const enum sched_job_state ends[] = { JOB_COMPLETED, JOB_FAILED,
		JOB_CANCELLED };
	size_t i;

	if (strcmp(name, STATE_TOMBSTONE) == 0)
		return ENDED_TOMBSTONE;
	for (i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
		if (strcmp(name, sched_job_state_name(ends[i])) != 0)
			continue;
		*state = ends[i];
		return ENDED_STATE;
	}
	return ENDED_INVALID;
}

enum ended_record
codec_read_ended(const char *text, size_t len, enum sched_job_state *state)
{
	enum ended_record record;
	const char *name;
	json_t *object;

	if ((object = json_loadb(text, len, 0, NULL)) == NULL)
		return ENDED_INVALID;
	name = json_string_value(json_object_get(object, "state"));
	record = name == NULL ? ENDED_INVALID : find_ended(name, state);
	json_decref(object);
	return record;
}

int64_t
codec_read_ended_ms(const char *text, size_t len)
{
	json_t *object;
	int64_t ended_ms;

	if ((object = json_loadb(text, len, 0, NULL)) == NULL)
		return 0;
	if (!get_number(object, "ended_ms", &ended_ms))
		ended_ms = 0;
	json_decref(object);
	return ended_ms;
}

json_t *
codec_task(const struct task_name *task)
{
	return json_pack("[siii]", task->job, (int)task->occurrence,
	    (int)task->step, (int)task->index);
}

bool
codec_read_task(const json_t *row, size_t at, struct task_name *task)
{
	return json_to_string(
		   json_array_get(row, at), task->job, sizeof(task->job)) &&
	    json_to_uint32(json_array_get(row, at + 1), &task->occurrence) &&
	    json_to_uint32(json_array_get(row, at + 2), &task->step) &&
	    json_to_uint32(json_array_get(row, at + 3), &task->index);
}

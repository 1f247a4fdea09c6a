#include <string.h>

#include <jansson.h>

#include "codec.h"
#include "jsonfield.h"
#include "validate.h"

/*
 * Decoding of the progress of a job and of the losses of its tasks, as
 * codec_progress.c encodes them.
 */

static uint32_t
cell(const json_t *row, size_t column)
{
	uint32_t value;

	return json_to_uint32(json_array_get(row, column), &value) ? value : 0;
}

static void
read_complete_step(struct sched_job *job, uint32_t k, uint32_t step)
{
	uint32_t i;

	if (step >= job->graph->nsteps)
		return;
	for (i = 0; i < job->graph->steps[step].count; i++)
		sched_load_task(job, k, step, i, true);
}

/* Whether each row begins with that many whole numbers; NULL is valid. */
static bool
rows_are_valid(const json_t *list, size_t columns)
{
	const json_t *row;
	uint32_t number;
	size_t i, j;

	if (list != NULL && !json_is_array(list))
		return false;
	json_array_foreach(list, i, row)
	{
		for (j = 0; j < columns; j++) {
			if (!json_to_uint32(json_array_get(row, j), &number))
				return false;
		}
	}
	return true;
}

static bool
numbers_are_valid(const json_t *list)
{
	const json_t *row;
	uint32_t number;
	size_t i;

	if (list != NULL && !json_is_array(list))
		return false;
	json_array_foreach(list, i, row)
	{
		if (!json_to_uint32(row, &number))
			return false;
	}
	return true;
}

/* The address is compared only, no call goes there. */
static bool
lost_with_is_valid(const json_t *list)
{
	const char *worker, *address;
	const json_t *row;
	size_t i;

	json_array_foreach(list, i, row)
	{
		worker = json_string_value(json_array_get(row, 4));
		address = json_string_value(json_array_get(row, 6));
		if (worker == NULL ||
		    !valid_token(worker, SCHED_WORKER_ID_MAX) ||
		    !json_is_integer(json_array_get(row, 5)) ||
		    address == NULL ||
		    (address[0] != '\0' &&
			!valid_token(address, SCHED_ADDRESS_MAX)) ||
		    !json_is_integer(json_array_get(row, 7)))
			return false;
	}
	return rows_are_valid(list, 4);
}

static bool
losses_are_valid(const json_t *object)
{
	return rows_are_valid(json_object_get(object, "losses"), 7) &&
	    lost_with_is_valid(json_object_get(object, "lost_with"));
}

/*
 * Validate the whole record before applying it: one applied in part would mark
 * tasks as done although the record is invalid.
 */
static bool
progress_is_valid(const json_t *object)
{
	const json_t *row, *checkpoints;
	size_t i;

	checkpoints = json_object_get(object, "checkpoints");
	json_array_foreach(checkpoints, i, row)
	{
		if (!json_is_string(json_array_get(row, 3)))
			return false;
	}
	return json_is_object(object) &&
	    numbers_are_valid(json_object_get(object, "occurrences")) &&
	    rows_are_valid(json_object_get(object, "steps"), 2) &&
	    rows_are_valid(json_object_get(object, "done"), 3) &&
	    rows_are_valid(json_object_get(object, "failures"), 4) &&
	    losses_are_valid(object) && rows_are_valid(checkpoints, 3);
}

static void
read_task_name(struct task_name *name, const json_t *row)
{
	memset(name, 0, sizeof(*name));
	name->occurrence = cell(row, 0);
	name->step = cell(row, 1);
	name->index = cell(row, 2);
}

static void
read_loss(struct sched_job *job, const json_t *row)
{
	struct task_name name;
	struct task_loss loss;

	read_task_name(&name, row);
	memset(&loss, 0, sizeof(loss));
	loss.attempt = cell(row, 3);
	loss.ran_ms = cell(row, 4);
	loss.crashed = cell(row, 5) != 0;
	loss.begun = cell(row, 6) != 0;
	/* An earlier release doesn't write it. */
	loss.known_ms = json_array_size(row) > 7 ? cell(row, 7) : loss.ran_ms;
	sched_load_loss(job, &name, &loss);
}

static void
read_lost_with(struct sched_job *job, const json_t *row)
{
	struct incarnation_name on;
	struct task_name name;

	read_task_name(&name, row);
	strlcpy(on.worker, json_string_value(json_array_get(row, 4)),
	    sizeof(on.worker));
	on.started_ms = json_integer_value(json_array_get(row, 5));
	strlcpy(on.address, json_string_value(json_array_get(row, 6)),
	    sizeof(on.address));
	sched_load_lost_with(job, &name, cell(row, 3), &on,
	    json_integer_value(json_array_get(row, 7)));
}

static void
read_losses(struct sched_job *job, const json_t *object)
{
	const json_t *row;
	size_t i;

	json_array_foreach(json_object_get(object, "losses"), i, row)
	    read_loss(job, row);
	json_array_foreach(json_object_get(object, "lost_with"), i, row)
	    read_lost_with(job, row);
}

static void
apply_progress(struct sched_job *job, const json_t *object)
{
	const json_t *row;
	uint32_t number;
	size_t i;

	json_array_foreach(json_object_get(object, "occurrences"), i, row)
	{
		if (json_to_uint32(row, &number))
			sched_load_occurrence_done(job, number);
	}
	json_array_foreach(json_object_get(object, "steps"), i, row)
	    read_complete_step(job, cell(row, 0), cell(row, 1));
	json_array_foreach(json_object_get(object, "done"), i, row)
	    sched_load_task(
		job, cell(row, 0), cell(row, 1), cell(row, 2), true);
	json_array_foreach(json_object_get(object, "failures"), i, row)
	    sched_load_failure(
		job, cell(row, 0), cell(row, 1), cell(row, 2), cell(row, 3));
	read_losses(job, object);
	json_array_foreach(json_object_get(object, "checkpoints"), i, row)
	    sched_load_checkpoint(job, cell(row, 0), cell(row, 1), cell(row, 2),
		json_string_value(json_array_get(row, 3)));
}

int
codec_read_losses(struct sched_job *job, const json_t *object)
{
	if (!json_is_object(object) || !losses_are_valid(object))
		return -1;
	read_losses(job, object);
	return 0;
}

int
codec_read_progress(struct sched_job *job, const char *text, size_t len)
{
	json_t *object;
	int result;

	if ((object = json_loadb(text, len, 0, NULL)) == NULL)
		return -1;
	result = -1;
	if (progress_is_valid(object)) {
		apply_progress(job, object);
		result = 0;
	}
	json_decref(object);
	return result;
}

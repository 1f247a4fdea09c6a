#include <stdlib.h>
#include <string.h>

#include "graph.h"

/* Larger sizes are rejected as mistakes; keeps sums of sizes in range. */
#define TASK_SIZE_MAX (INT64_C(1) << 40)

struct graph *
graph_new(size_t nsteps)
{
	struct graph *g;

	if ((g = calloc(1, sizeof(*g))) == NULL)
		return NULL;
	if (nsteps > 0 &&
	    (g->steps = calloc(nsteps, sizeof(*g->steps))) == NULL) {
		free(g);
		return NULL;
	}
	g->nsteps = nsteps;
	return g;
}

void
graph_free(struct graph *g)
{
	size_t i;

	if (g == NULL)
		return;
	for (i = 0; i < g->nsteps; i++)
		free(g->steps[i].after);
	free(g->steps);
	free(g->payload);
	free(g);
}

static bool
size_is_valid(const struct resources *size)
{
	return size->cpu_millis >= 0 && size->cpu_millis < TASK_SIZE_MAX &&
	    size->memory_mib >= 0 && size->memory_mib < TASK_SIZE_MAX &&
	    size->accelerators >= 0 && size->accelerators < TASK_SIZE_MAX;
}

static bool
interval_is_valid(int64_t ms)
{
	return ms >= 0 && ms <= GRAPH_INTERVAL_MAX_MS;
}

static bool
time_is_valid(int64_t ms)
{
	return ms >= 0 && ms <= GRAPH_TIME_MAX_MS;
}

static enum graph_error
check_step(const struct graph_step *step, size_t number)
{
	size_t i;

	if (step->count == 0 || step->count > GRAPH_TASKS_MAX)
		return GRAPH_ERR_COUNT;
	if (!size_is_valid(&step->size) ||
	    !interval_is_valid(step->estimate_ms) ||
	    !interval_is_valid(step->tail_target_ms))
		return GRAPH_ERR_SIZE;
	for (i = 0; i < step->nafter; i++) {
		if (step->after[i] >= number)
			return GRAPH_ERR_AFTER;
	}
	return GRAPH_OK;
}

enum graph_error
graph_check(const struct graph *g, size_t *step)
{
	enum graph_error error;
	size_t i;

	*step = 0;
	if (g->id[0] == '\0')
		return GRAPH_ERR_ID;
	if (g->nsteps == 0)
		return GRAPH_ERR_NO_STEPS;
	if (g->nsteps > GRAPH_STEPS_MAX)
		return GRAPH_ERR_STEPS;
	if (g->repeats > GRAPH_REPEATS_MAX || !interval_is_valid(g->every_ms) ||
	    !time_is_valid(g->first_due_ms))
		return GRAPH_ERR_REPEATS;
	if (!time_is_valid(g->submitted_ms) ||
	    !interval_is_valid(g->terms.target_ms))
		return GRAPH_ERR_TIME;
	for (i = 0; i < g->nsteps; i++) {
		*step = i;
		if ((error = check_step(&g->steps[i], i)) != GRAPH_OK)
			return error;
	}
	return GRAPH_OK;
}

const char *
graph_strerror(enum graph_error error)
{
	switch (error) {
	case GRAPH_OK:
		return "ok";
	case GRAPH_ERR_ID:
		return "job id is empty or too long";
	case GRAPH_ERR_NO_STEPS:
		return "job has no steps";
	case GRAPH_ERR_STEPS:
		return "job has too many steps";
	case GRAPH_ERR_COUNT:
		return "number of tasks is out of range";
	case GRAPH_ERR_SIZE:
		return "task size or run time is out of range";
	case GRAPH_ERR_AFTER:
		return "step depends on itself or on a later step";
	case GRAPH_ERR_TIME:
		return "time of submission or target is out of range";
	case GRAPH_ERR_REPEATS:
		return "repeat count, interval or first due time is out of "
		       "range";
	}
	return "unknown";
}

uint32_t
graph_occurrences(const struct graph *g)
{
	return g->repeats > 0 ? g->repeats : 1;
}

int64_t
graph_due_ms(const struct graph *g, uint32_t occurrence)
{
	if (g->repeats == 0)
		return 0;
	return g->first_due_ms + (int64_t)occurrence * g->every_ms;
}

int64_t
graph_critical_path_ms(const struct graph *g)
{
	int64_t ends[GRAPH_STEPS_MAX], start_ms, longest;
	const struct graph_step *step;
	size_t i, j;

	longest = 0;
	for (i = 0; i < g->nsteps; i++) {
		step = &g->steps[i];
		start_ms = 0;
		for (j = 0; j < step->nafter; j++) {
			if (ends[step->after[j]] > start_ms)
				start_ms = ends[step->after[j]];
		}
		ends[i] = start_ms + step->estimate_ms;
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

int64_t
graph_work(const struct graph *g)
{
	const struct graph_step *step;
	int64_t work;
	size_t i;

	work = 0;
	for (i = 0; i < g->nsteps; i++) {
		step = &g->steps[i];
		work += step->size.cpu_millis / MILLIS_PER_PROCESSOR *
		    step->estimate_ms * step->count;
	}
	return work;
}

bool
graph_lasts(const struct graph *g)
{
	size_t i;

	for (i = 0; i < g->nsteps; i++) {
		if (g->steps[i].lasts)
			return true;
	}
	return false;
}

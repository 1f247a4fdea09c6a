#include <string.h>

#include "sched_int.h"

/*
 * Order in which the waiting tasks of jobs are placed.
 *
 * It is made for bursts of seconds with more work than processors (1.5 to 2.6
 * times the usual load), in which short jobs lose most of their value after
 * their objective.  A job that can still meet its objective precedes one that
 * can't.  Long-running jobs come first, since they have value for as long as
 * they run.
 */

/* Remaining critical path of the job's first open occurrence. */
static int64_t
remaining_path_ms(const struct sched_job *job)
{
	int64_t ends[GRAPH_STEPS_MAX], start_ms, longest;
	const struct sched_occurrence *occurrence;
	const struct graph_step *step;
	uint32_t k;
	size_t i, j;

	occurrence = NULL;
	for (k = 0; k < job->noccurrences && occurrence == NULL; k++) {
		if (job->occurrences[k] != NULL && !job->occurrences[k]->done)
			occurrence = job->occurrences[k];
	}
	if (occurrence == NULL)
		return 0;
	longest = 0;
	for (i = 0; i < job->graph->nsteps; i++) {
		step = &job->graph->steps[i];
		start_ms = 0;
		for (j = 0; j < step->nafter; j++) {
			if (ends[step->after[j]] > start_ms)
				start_ms = ends[step->after[j]];
		}
		ends[i] = start_ms;
		if (occurrence->steps[i].ndone < step->count)
			ends[i] += step->estimate_ms;
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

static int64_t
objective_at_ms(const struct sched_job *job)
{
	const struct sched_queue *queue;
	int64_t from_ms;
	uint32_t k;

	queue = job->queue;
	from_ms = job->submitted_ms;
	for (k = 0; job->graph->repeats > 0 && k < job->noccurrences; k++) {
		if (job->occurrences[k] != NULL && !job->occurrences[k]->done) {
			from_ms = job->occurrences[k]->due_ms;
			break;
		}
	}
	return from_ms + queue->terms.target_ms +
	    (int64_t)(queue->terms.stretch * queue->run_ratio *
		(double)graph_critical_path_ms(job->graph));
}

/* Tiers of ranks; the higher tier is placed first. */
#define TIER 1e9
#define TIER_LONG_RUNNING 4
#define TIER_IN_TIME 3
#define TIER_LATE 2
#define TIER_WORTHLESS 1
/* A job has no value any more after this many times its objective. */
#define WORTHLESS_FACTOR 3

/*
 * Within a tier the job with the least slack before it is late, or worthless,
 * goes first.  Ordering by value per remaining work would complete more jobs,
 * but starve the largest.
 */
double
rank_job(const struct sched_job *job, int64_t now_ms)
{
	int64_t ends_ms, allowed_ms, objective_ms, worthless_ms;

	if (graph_lasts(job->graph))
		return TIER_LONG_RUNNING * TIER -
		    (double)job->queue->terms.priority;
	ends_ms = now_ms + remaining_path_ms(job);
	objective_ms = objective_at_ms(job);
	allowed_ms = objective_ms - job->submitted_ms;
	worthless_ms = job->submitted_ms + WORTHLESS_FACTOR * allowed_ms;
	if (ends_ms <= objective_ms)
		return TIER_IN_TIME * TIER - (double)(objective_ms - ends_ms);
	if (ends_ms <= worthless_ms)
		return TIER_LATE * TIER - (double)(worthless_ms - ends_ms);
	return TIER_WORTHLESS * TIER - (double)(now_ms - job->submitted_ms);
}

int
rank_cmp(const void *a, const void *b)
{
	const struct sched_job *const *x, *const *y;

	x = a;
	y = b;
	if ((*x)->rank != (*y)->rank)
		return (*x)->rank > (*y)->rank ? -1 : 1;
	return strcmp((*x)->id, (*y)->id);
}

#include <string.h>

#include "sched_int.h"

/*
 * Which job's waiting tasks go first.
 *
 * Load answered: more work than processors for seconds (bursts of 1.5 to 2.6
 * times the usual), with short jobs that are worth little after their
 * objective.  A job that can still be in time goes before one that can't.  What
 * lasts goes first, since it earns as long as it is at work.
 */

/* Run time left on the longest chain of the job's first open occurrence. */
static int64_t
chain_left_ms(const struct sched_job *job)
{
	int64_t ends[GRAPH_STEPS_MAX], begin, longest;
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
		begin = 0;
		for (j = 0; j < step->nafter; j++) {
			if (ends[step->after[j]] > begin)
				begin = ends[step->after[j]];
		}
		ends[i] = begin;
		if (occurrence->steps[i].ndone < step->count)
			ends[i] += step->estimate_ms;
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

static int64_t
objective_ms(const struct sched_job *job)
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

/* Tiers of the order in which jobs are placed. */
#define TIER 1e9
#define TIER_LASTS 4
#define TIER_IN_TIME 3
#define TIER_LATE 2
#define TIER_PAST 1
/* Past three times its objective a job earns nothing any more. */
#define PAST_TIMES 3

/*
 * Among jobs of a tier the one goes first that has least time to spare before
 * it is late, or worth nothing.  An order by worth per work left
 * would serve more of them, but never the largest.
 */
double
rank_job(const struct sched_job *job, int64_t now_ms)
{
	int64_t ends_ms, allowed_ms, objective, past;

	if (graph_lasts(job->graph))
		return TIER_LASTS * TIER - (double)job->queue->terms.priority;
	ends_ms = now_ms + chain_left_ms(job);
	objective = objective_ms(job);
	allowed_ms = objective - job->submitted_ms;
	past = job->submitted_ms + PAST_TIMES * allowed_ms;
	if (ends_ms <= objective)
		return TIER_IN_TIME * TIER - (double)(objective - ends_ms);
	if (ends_ms <= past)
		return TIER_LATE * TIER - (double)(past - ends_ms);
	return TIER_PAST * TIER - (double)(now_ms - job->submitted_ms);
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

#ifndef GRAPH_H
#define GRAPH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * A job of steps: what its owner handed in.  It never changes afterwards.  A
 * step has tasks of equal size that may run once all tasks of the steps it
 * depends on are done.
 */

#define GRAPH_ID_MAX 65 /* bytes of a job's id, with the NUL */
#define GRAPH_NAME_MAX 65 /* of a queue, label, rack or image */
#define GRAPH_STEPS_MAX 256 /* bounds what one request can make us hold */
#define GRAPH_TASKS_MAX 10000 /* tasks of one step, for the same reason */
#define GRAPH_REPEATS_MAX 100000

struct graph_step {
	uint32_t count; /* tasks */
	struct resources size; /* of one task */
	int64_t estimate_ms; /* of one task, as declared; often far off */
	uint32_t *after; /* numbers of earlier steps */
	size_t nafter;
	bool checkpoints; /* a new run resumes where a former one stopped */
	bool gang; /* the tasks work only while all of them run */
	bool one_rack; /* slower when spread over racks */
	bool copies; /* copies may run side by side, the first counts */
	bool lasts; /* runs until cancelled, restarted however it ends */
	bool filler; /* takes the processors that others leave unused */
	uint32_t per_worker; /* tasks on one worker at most; 0: any number */
	uint32_t may_be_away; /* tasks that we may take off work at once */
	int64_t tail_target_ms; /* of a serving task's own users; 0: none */
	char label[GRAPH_NAME_MAX]; /* the worker must have it; "": any */
	char rack[GRAPH_NAME_MAX]; /* where its data is; "": anywhere */
	char image[GRAPH_NAME_MAX]; /* tasks of one image behave alike */
};

/*
 * What the job's queue asked for when the job was taken.  The operators'
 * configuration goes before it, but may name the queue no more.
 */
struct queue_terms {
	char service[GRAPH_NAME_MAX]; /* the workers that run its tasks */
	uint32_t priority; /* 0 goes first */
	uint32_t max_attempts; /* failures of a task that fail its job */
	double stretch; /* objective: so many times the longest chain, */
	int64_t target_ms; /* and so much more */
};

struct graph {
	char id[GRAPH_ID_MAX];
	char queue[GRAPH_NAME_MAX];
	struct queue_terms terms;
	char *payload; /* handed to each task as it is */
	struct graph_step *steps;
	size_t nsteps;
	uint32_t repeats; /* occurrences; 0: one, due at once */
	int64_t first_due_ms; /* since 1970, with repeats */
	int64_t every_ms; /* between occurrences */
	int64_t submitted_ms; /* since 1970, when an entry took it */
};

/* A task of a job: occurrence, step and index within the step. */
struct task_name {
	char job[GRAPH_ID_MAX];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

enum graph_error {
	GRAPH_OK,
	GRAPH_ERR_ID,
	GRAPH_ERR_NO_STEPS,
	GRAPH_ERR_STEPS, /* more than GRAPH_STEPS_MAX */
	GRAPH_ERR_COUNT,
	GRAPH_ERR_SIZE,
	GRAPH_ERR_AFTER, /* not an earlier step */
	GRAPH_ERR_REPEATS
};

/* NULL without memory; the steps are zeroed. */
struct graph *graph_new(size_t nsteps);
void graph_free(struct graph *);
/* What is wrong with the job first, and in which step. */
enum graph_error graph_check(const struct graph *, size_t *step);
const char *graph_strerror(enum graph_error);

/* Occurrences, at least one. */
uint32_t graph_occurrences(const struct graph *);
/* When an occurrence is due, since 1970; 0: at once. */
int64_t graph_due_ms(const struct graph *, uint32_t occurrence);
/* The longest chain of declared run times, in milliseconds. */
int64_t graph_critical_path_ms(const struct graph *);
/* Processor-milliseconds of one occurrence as declared. */
int64_t graph_work(const struct graph *);
/* Whether the job ends only by being cancelled. */
bool graph_lasts(const struct graph *);

#endif /* GRAPH_H */

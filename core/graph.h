#ifndef GRAPH_H
#define GRAPH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * Specification of a job as submitted: a graph of steps, immutable.  A step has
 * tasks of equal size that may run once all tasks of the steps it depends on
 * are done.
 */

#define GRAPH_ID_MAX 65 /* bytes of a job's id, with the NUL */
#define GRAPH_NAME_MAX 65 /* of a queue, label, rack or image */
#define GRAPH_STEPS_MAX 256 /* bounds the memory that one request can use */
#define GRAPH_TASKS_MAX 10000 /* tasks of one step, for the same reason */
#define GRAPH_REPEATS_MAX 100000
/* Of intervals and of times since 1970: sums of a job's times then fit. */
#define GRAPH_INTERVAL_MAX_MS INT32_MAX
#define GRAPH_TIME_MAX_MS (INT64_MAX / 4)
/* With it the objective of any job fits into 64 bits. */
#define QUEUE_STRETCH_MAX 1e6

struct graph_step {
	uint32_t count; /* tasks */
	struct resources size; /* of one task */
	int64_t estimate_ms; /* declared run time of a task; often far off */
	uint32_t *after; /* steps it depends on, all of lower number */
	size_t nafter;
	bool checkpoints; /* a new run resumes from the last checkpoint */
	bool gang; /* the tasks work only while all of them run */
	bool one_rack; /* slower when spread over racks */
	bool copies; /* speculative runs allowed, the first end counts */
	bool lasts; /* runs until cancelled, restarted however it ends */
	bool filler; /* uses processors that other tasks leave idle */
	uint32_t per_worker; /* maximum of tasks on one worker; 0: none */
	uint32_t may_be_away; /* maximum of tasks unavailable for moves */
	int64_t tail_target_ms; /* tail latency of a serving task; 0: none */
	char label[GRAPH_NAME_MAX]; /* the worker must have it; "": any */
	char rack[GRAPH_NAME_MAX]; /* where its data is; "": anywhere */
	char image[GRAPH_NAME_MAX]; /* tasks of one image behave alike */
};

/*
 * Terms of the job's queue when the job was accepted.  The operators' current
 * configuration takes precedence, but may no longer have the queue.
 */
struct queue_terms {
	char service[GRAPH_NAME_MAX]; /* the workers that run its tasks */
	uint32_t priority; /* 0 is the highest */
	uint32_t max_attempts; /* failures of a task that fail its job */
	double stretch; /* objective: this times the critical path, */
	int64_t target_ms; /* plus this */
};

struct graph {
	char id[GRAPH_ID_MAX];
	char queue[GRAPH_NAME_MAX];
	struct queue_terms terms;
	char *payload; /* passed to each task unchanged */
	struct graph_step *steps;
	size_t nsteps;
	uint32_t repeats; /* occurrences; 0: one, due at once */
	int64_t first_due_ms; /* since 1970, with repeats */
	int64_t every_ms; /* between occurrences */
	int64_t submitted_ms; /* since 1970, when an entry accepted it */
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
	GRAPH_ERR_REPEATS,
	GRAPH_ERR_TIME
};

/* The steps are zeroed; NULL: no memory. */
struct graph *graph_new(size_t nsteps);
void graph_free(struct graph *);
/* Return the first error in the job and set the step that has it. */
enum graph_error graph_check(const struct graph *, size_t *step);
const char *graph_strerror(enum graph_error);

/* Number of occurrences, at least one. */
uint32_t graph_occurrences(const struct graph *);
/* Due time of an occurrence, since 1970; 0: at once. */
int64_t graph_due_ms(const struct graph *, uint32_t occurrence);
/* Length of the critical path by declared run times. */
int64_t graph_critical_path_ms(const struct graph *);
/* Declared processor-milliseconds of one occurrence. */
int64_t graph_work(const struct graph *);
/* Whether the job runs until it is cancelled. */
bool graph_lasts(const struct graph *);

#endif /* GRAPH_H */

#ifndef HEALTH_H
#define HEALTH_H

#include <stdint.h>

#include "room.h"

/*
 * Workers that fail every task, and jobs that can never run.
 *
 * A worker that fails at once looks idle and attracts ever more work.  After
 * a few failures in a row, of different jobs, it is left alone for a time
 * that doubles, then given one task as a probe.  A job that fails on several
 * workers that run others' tasks, or that is larger than any VM, is at fault
 * itself, and its failures count against no worker.
 */

enum health_state {
	HEALTH_OK,
	HEALTH_BACKED_OFF, /* no task until retry_ms */
	HEALTH_PROBE_DUE, /* one task may go there */
	HEALTH_PROBING /* that one task is there */
};

enum health_verdict {
	HEALTH_MAY_RUN,
	HEALTH_TOO_LARGE, /* larger than any VM */
	HEALTH_FAILS_EVERYWHERE
};

#define HEALTH_WORKERS_MAX 8 /* different workers remembered for a job */

/* Zeroed by the caller, one for each worker. */
struct health_worker {
	uint64_t last_job; /* of the last failure counted */
	int failures; /* in a row, each of another job */
	int64_t backoff_ms;
	int64_t retry_ms;
	int probing;
};

/* Zeroed by the caller, one for each job and, if wanted, for each task. */
struct health_job {
	uint64_t workers[HEALTH_WORKERS_MAX]; /* where it failed */
	int failed_on; /* how many of those */
	int successes;
};

struct health_options {
	int worker_failures; /* in a row before backing off; 3 */
	int job_workers; /* failed on, before giving up on a job; 4 */
	int64_t backoff_min_ms; /* 5000 */
	int64_t backoff_max_ms; /* 60000 */
};

/* Fill in every option. */
void health_options_default(struct health_options *);

/* A task of a job finished well. */
void health_success(struct health_worker *, struct health_job *);

/*
 * A task of a job failed on a worker.  worker and job are hashes of their
 * ids; random is drawn by the caller, uniform, and spreads the retries.
 */
void health_failure(const struct health_options *, struct health_worker *,
    uint64_t worker, struct health_job *, uint64_t job, int64_t now_ms,
    uint32_t random);

enum health_state health_state(const struct health_worker *, int64_t now_ms);

/* The caller sent a worker its probe, or the probe ended without outcome. */
void health_probe_sent(struct health_worker *);
void health_probe_dropped(struct health_worker *);

/* May this job run at all?  largest is the largest VM in each dimension. */
enum health_verdict health_evaluate(const struct health_options *,
    const struct health_job *, const struct resources *declared,
    const struct resources *largest);

const char *health_state_text(enum health_state);
const char *health_verdict_text(enum health_verdict);

#endif /* HEALTH_H */

#ifndef HEALTH_H
#define HEALTH_H

#include <stdint.h>

#include "room.h"

/*
 * Detection of workers that fail every task and of jobs that can't run.
 *
 * A worker on which tasks fail at once looks idle and attracts ever more tasks.
 * After a few consecutive failures of different jobs it is backed off for a
 * time that doubles each time, and then gets one task as a probe.  A job that
 * fails on several workers that run other jobs' tasks, or that is larger than
 * any VM, is at fault itself, and its failures don't count against workers.
 */

enum health_state {
	HEALTH_OK,
	HEALTH_BACKED_OFF, /* gets no task until retry_ms */
	HEALTH_PROBE_DUE, /* may get one task as a probe */
	HEALTH_PROBING /* the probe is running */
};

enum health_verdict {
	HEALTH_MAY_RUN,
	HEALTH_TOO_LARGE, /* larger than any VM */
	HEALTH_FAILS_EVERYWHERE
};

#define HEALTH_WORKERS_MAX 8 /* workers recorded per job */

/* State of a worker; zeroed by the caller. */
struct health_worker {
	uint64_t last_job; /* of the last counted failure */
	int failures; /* consecutive, each of another job than the last */
	int64_t backoff_ms;
	int64_t retry_ms;
	int probing;
};

/* State of a job, or of a single task; zeroed by the caller. */
struct health_job {
	uint64_t workers[HEALTH_WORKERS_MAX]; /* on which it failed */
	int failed_on; /* number of those */
	int successes;
};

struct health_options {
	int worker_failures; /* consecutive, before backing off; 3 */
	int job_workers; /* on which a job fails before it is given up; 4 */
	int64_t backoff_min_ms; /* 5000 */
	int64_t backoff_max_ms; /* 60000 */
};

void health_options_default(struct health_options *);

/* A task of the job succeeded on the worker. */
void health_success(struct health_worker *, struct health_job *);

/*
 * A task of the job failed on the worker.  worker and job are hashes of their
 * ids; random is a uniform random number that spreads the retries.
 */
void health_failure(const struct health_options *, struct health_worker *,
    uint64_t worker, struct health_job *, uint64_t job, int64_t now_ms,
    uint32_t random);

enum health_state health_state(const struct health_worker *, int64_t now_ms);

/* The probe was sent to the worker, or ended without an outcome. */
void health_probe_sent(struct health_worker *);
void health_probe_dropped(struct health_worker *);

/*
 * Whether the job can run at all.  largest is the largest capacity of any VM in
 * each dimension.
 */
enum health_verdict health_evaluate(const struct health_options *,
    const struct health_job *, const struct resources *declared,
    const struct resources *largest);

const char *health_state_text(enum health_state);
const char *health_verdict_text(enum health_verdict);

#endif /* HEALTH_H */

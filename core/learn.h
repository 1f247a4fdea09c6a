#ifndef LEARN_H
#define LEARN_H

#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * What is learnt from late measurements: the latency of a service on each
 * worker, how much one kind of work slows another that shares its VM, and
 * how the sizes that jobs declare compare with what they use.
 *
 * A kind is a service, or the jobs that behave alike; kinds are numbered
 * from names.  A tenant is one service or one task on one worker.  A
 * measurement is attributed to the tenants that shared the VM while it was
 * made, never to those that share it when the measurement arrives.
 *
 * The slowdown is a log-linear model, one weight for each pair of kinds:
 *	ln(measured) = base(victim) + offset(worker)
 *	    + sum over tenants of weight(victim, cause) * processors
 * Each weight carries a variance that evidence narrows and time widens, so
 * that old evidence fades and a pair that was never seen is known as such.
 */

#define LEARN_KINDS_MAX 128 /* kinds told apart; later ones share one */
#define LEARN_KIND_OTHER 0 /* the kind that later ones share */
#define LEARN_KIND_NAME_MAX 64
#define LEARN_TENANTS_MAX 128 /* present and past tenants kept per worker */
#define LEARN_SERVICES_MAX 4 /* services whose latency a worker keeps */

struct learn;
struct learn_worker; /* one worker, as learnt; made by learn_worker_open() */

struct learn_options {
	int64_t history_ms; /* how long ended tenants are kept; 300000 */
	int64_t half_life_ms; /* after which evidence counts half; 1800000 */
	int64_t latency_half_life_ms; /* the same for latencies; 30000 */
	double prior_weight; /* slowdown of an unknown pair; 0.01 */
	double prior_sd; /* and how uncertain that is; 0.05 */
};

/* How used sizes compare with declared ones, for a job or a kind. */
struct learn_ratio {
	double mean; /* used / declared */
	double spread; /* mean absolute deviation */
	double count; /* measurements */
};

/* Zeroed by the caller, one for each job; kept as long as the job. */
struct learn_job {
	struct learn_ratio cpu;
	struct learn_ratio memory;
	struct learn_ratio run; /* ln(undisturbed / declared run time) */
};

/* A zero field takes its default.  NULL without memory. */
struct learn *learn_open(const struct learn_options *);
void learn_close(struct learn *);

/*
 * The number of a kind, made on first use.  When all numbers are taken the
 * answer is LEARN_KIND_OTHER.
 */
int learn_kind(struct learn *, const char *name);
const char *learn_kind_name(const struct learn *, int kind);

/*
 * The name of the kind of a job: its team, a slash and its id up to the
 * digits that end it, so "v/survey-1041" and "v/survey-1042" are one kind.
 */
void learn_job_kind_name(
    const char *team, const char *job, char *buf, size_t size);

/* A worker with no history.  NULL without memory. */
struct learn_worker *learn_worker_open(struct learn *);
void learn_worker_close(struct learn_worker *);

/*
 * A tenant came, changed its size, or went.  tenant is any number that the
 * caller keeps unique on that worker, such as a hash of task and attempt.
 * Times may lie in the past but not before earlier ones for that worker.
 * A size of a tenant is what it uses as far as known, and is corrected for
 * its whole stay by learn_tenant_used(), as usage is measured late as well.
 */
void learn_tenant_start(struct learn_worker *, uint64_t tenant, int kind,
    int64_t cpu_millis, int64_t now_ms);
void learn_tenant_used(
    struct learn_worker *, uint64_t tenant, int64_t cpu_millis);
void learn_tenant_end(struct learn_worker *, uint64_t tenant, int64_t now_ms);

/* Present tenants, and what they use as far as known, in all and one. */
size_t learn_tenant_count(const struct learn_worker *);
int64_t learn_cpu_millis(const struct learn_worker *);
int64_t learn_tenant_cpu(struct learn_worker *, uint64_t tenant);

/*
 * A late measurement: the p99 of a service, in milliseconds, over the
 * window_ms that ended at measured_ms.
 */
void learn_service_p99(struct learn_worker *, int kind, double p99_ms,
    int64_t measured_ms, int64_t window_ms);

/*
 * A finished task: it took elapsed_ms (throttling left out) up to ended_ms
 * for a run that its job declared as declared_ms.  Declared run times are
 * often far off, so tasks are compared with others of the same job: the
 * first few of a job teach its run time alone.
 */
void learn_task_time(struct learn_worker *, struct learn_job *, uint64_t tenant,
    int kind, int64_t elapsed_ms, int64_t declared_ms, int64_t ended_ms);

/* One call that we made ourselves, answered after ms. */
void learn_call_latency(
    struct learn_worker *, int kind, double ms, int64_t now_ms);

/*
 * The latency of a call to expect on this worker, in milliseconds: learnt
 * there as far as fresh, else from the service as a whole, and corrected
 * for tenants that came or went since.  fallback_ms if nothing is known.
 */
double learn_latency_ms(
    struct learn_worker *, int kind, double fallback_ms, int64_t now_ms);

/*
 * How much the present tenants slow a victim of this kind: a factor of at
 * least 1.  Leaves out the tenant itself (0: none).
 */
double learn_slowdown(
    struct learn_worker *, int kind, uint64_t tenant, int64_t now_ms);

/* What a newcomer would do to the tenants of a worker, and they to it. */
struct learn_impact {
	double services; /* ln(slowdown) of the services there, each counted
			    less the more it is slowed: calls avoid it */
	double tasks; /* the same over the tasks there and the newcomer */
	double unknown; /* 0-1: share of the pairs without evidence */
};

/* The impact of cpu_millis more of a kind of work on this worker. */
void learn_impact_of(struct learn_worker *, int kind, int64_t cpu_millis,
    int64_t now_ms, struct learn_impact *);

/*
 * The part of one present tenant in the slowdown of a victim:
 * ln(slowdown) due to cpu_millis of its kind.
 */
double learn_contribution(struct learn_worker *, int victim, int cause,
    int64_t cpu_millis, int64_t now_ms);

/* The weight of one pair, per processor, and its standard deviation. */
double learn_pair(
    const struct learn *, int victim, int cause, int64_t now_ms, double *sd);

/* Mark a kind as a service; kinds are tasks otherwise. */
void learn_mark_service(struct learn *, int kind);

/*
 * A late measurement of what one task uses, against what its job declared.
 * Counts for the job and for its kind.
 */
void learn_usage(struct learn *, struct learn_job *, int kind,
    const struct resources *declared, const struct resources *used);

/* The undisturbed run time to expect of a task that declares declared_ms. */
int64_t learn_run_ms(const struct learn_job *, int64_t declared_ms);

/*
 * What to reserve for a task: the larger of what its job declared and what
 * it has been seen to use (the job's evidence, else its kind's), with room
 * for the spread.  With reclaim_cpu the processors (never memory) may also
 * go below the declared size once the job itself was measured often enough.
 * Never more than largest, the largest VM, unless that is NULL.
 */
void learn_reserve(const struct learn *, const struct learn_job *, int kind,
    const struct resources *declared, const struct resources *largest,
    int reclaim_cpu, struct resources *reserved);

#endif /* LEARN_H */

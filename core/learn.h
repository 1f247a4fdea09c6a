#ifndef LEARN_H
#define LEARN_H

#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * Estimators fed by delayed measurements: the latency of a service on each
 * worker, how much one kind of work slows another that shares its VM, and
 * the ratio of used to declared resources of jobs.
 *
 * A kind is a service, or a group of jobs with similar behaviour; kinds are
 * numbered and have a name.  A tenant is one service or one task on one
 * worker.  A measurement is attributed to the tenants that shared the VM while
 * it was made, never to those that share it when the measurement arrives.
 *
 * The slowdown is a log-linear model with one weight for each pair of kinds:
 *	ln(measured) = base(victim) + offset(worker)
 *	    + sum over tenants of weight(victim, cause) * processors
 * Each weight has a variance that measurements reduce and time increases, so
 * that old evidence decays and a pair without measurements is recognizable.
 */

#define LEARN_KINDS_MAX 128 /* further kinds become LEARN_KIND_OTHER */
#define LEARN_KIND_OTHER 0
#define LEARN_KIND_NAME_MAX 64
#define LEARN_TENANTS_MAX 128 /* current and past tenants per worker */
#define LEARN_SERVICES_MAX 4 /* services with a latency per worker */

struct learn;
struct learn_worker; /* state of one worker */

struct learn_options {
	int64_t history_ms; /* retention of ended tenants; default 300000 */
	int64_t half_life_ms; /* of evidence on pairs; default 1800000 */
	int64_t latency_half_life_ms; /* of latencies; default 30000 */
	double prior_weight; /* of an unmeasured pair; default 0.01 */
	double prior_sd; /* its standard deviation; default 0.05 */
};

/* Ratio of used to declared resources, for a job or a kind. */
struct learn_ratio {
	double mean; /* used / declared */
	double spread; /* mean absolute deviation */
	double count; /* number of measurements, limited */
};

/* One per job, zeroed by the caller and kept as long as the job. */
struct learn_job {
	struct learn_ratio cpu;
	struct learn_ratio memory;
	struct learn_ratio run; /* ln(run time without slowdown / declared) */
};

/* A zero option takes its default.  Returns NULL if out of memory. */
struct learn *learn_open(const struct learn_options *);
void learn_close(struct learn *);

/*
 * Returns the number of a kind, assigned on first use, or LEARN_KIND_OTHER if
 * all numbers are in use.
 */
int learn_kind(struct learn *, const char *name);
const char *learn_kind_name(const struct learn *, int kind);

/*
 * The kind name of a job: its team, a slash and its id without trailing digits
 * and separators, so "v/survey-1041" and "v/survey-1042" are one kind.
 */
void learn_job_kind_name(
    const char *team, const char *job, char *buf, size_t size);

/* A worker without history.  Returns NULL if out of memory. */
struct learn_worker *learn_worker_open(struct learn *);
void learn_worker_close(struct learn_worker *);

/*
 * A tenant started, its measured usage changed, or it ended.  tenant is a
 * number that is unique on that worker, such as a hash of task and attempt.
 * Times may lie in the past but must not decrease for a worker.  Usage is
 * measured with delay, so learn_tenant_used() applies it to the whole stay of
 * the tenant.
 */
void learn_tenant_start(struct learn_worker *, uint64_t tenant, int kind,
    int64_t cpu_millis, int64_t now_ms);
void learn_tenant_used(
    struct learn_worker *, uint64_t tenant, int64_t cpu_millis);
void learn_tenant_end(struct learn_worker *, uint64_t tenant, int64_t now_ms);

/* Number of current tenants, their known usage in total, and that of one. */
size_t learn_tenant_count(const struct learn_worker *);
int64_t learn_cpu_millis(const struct learn_worker *);
int64_t learn_tenant_cpu(struct learn_worker *, uint64_t tenant);

/*
 * A delayed measurement: the p99 latency of a service, over the window_ms
 * that ended at measured_ms.
 */
void learn_service_p99(struct learn_worker *, int kind, double p99_ms,
    int64_t measured_ms, int64_t window_ms);

/*
 * A finished task: it ran for elapsed_ms (excluding throttled time) until
 * ended_ms, and its job declared declared_ms.  Declared run times are often
 * far off, so a task is compared with others of the same job: the first few
 * tasks of a job only determine its run time, not the weights.
 */
void learn_task_time(struct learn_worker *, struct learn_job *, uint64_t tenant,
    int kind, int64_t elapsed_ms, int64_t declared_ms, int64_t ended_ms);

/* Latency in milliseconds of one call sent by this process. */
void learn_call_latency(
    struct learn_worker *, int kind, double ms, int64_t now_ms);

/*
 * The expected latency of a call on this worker, in milliseconds: a mean of
 * the worker's own and the whole service's latency, weighted by the evidence
 * on the worker that hasn't decayed, and corrected for tenants that started or
 * ended since.  Without any evidence it is based on fallback_ms.
 */
double learn_latency_ms(
    struct learn_worker *, int kind, double fallback_ms, int64_t now_ms);

/*
 * The slowdown of a victim of this kind by the current tenants: a factor of at
 * least 1.  Excludes the given tenant, which is the victim itself (0: none).
 */
double learn_slowdown(
    struct learn_worker *, int kind, uint64_t tenant, int64_t now_ms);

/* Interference between a new tenant and those on a worker. */
struct learn_impact {
	/*
	 * Sum of the added ln(slowdown) of services; one that is slowed already
	 * counts less, as calls avoid it.
	 */
	double services;
	double tasks; /* the same sum for the tasks and the new tenant */
	double unknown; /* 0-1: fraction of pairs with little evidence */
};

/* The impact of adding cpu_millis of a kind of work to this worker. */
void learn_impact_of(struct learn_worker *, int kind, int64_t cpu_millis,
    int64_t now_ms, struct learn_impact *);

/*
 * The contribution of one current tenant to the slowdown of a victim:
 * ln(slowdown) due to cpu_millis of its kind.
 */
double learn_contribution(struct learn_worker *, int victim, int cause,
    int64_t cpu_millis, int64_t now_ms);

/* The weight of one pair, per processor, and its standard deviation. */
double learn_pair(
    const struct learn *, int victim, int cause, int64_t now_ms, double *sd);

/* Mark a kind as a service; unmarked kinds are tasks. */
void learn_mark_service(struct learn *, int kind);

/*
 * A delayed measurement of the resources that one task uses; updates the
 * ratios of its job and of its kind.
 */
void learn_usage(struct learn *, struct learn_job *, int kind,
    const struct resources *declared, const struct resources *used);

/* Expected run time without slowdown of a task that declares declared_ms. */
int64_t learn_run_ms(const struct learn_job *, int64_t declared_ms);

/*
 * The resources to reserve for a task: the larger of what its job declared and
 * what it was measured to use (by the job, else by its kind), plus a margin
 * for the deviation.  With reclaim_cpu the processors (never memory) may also
 * be less than declared once the job itself has enough measurements.
 * Measured usage doesn't raise it above largest, the largest VM, unless that
 * is NULL.
 */
void learn_reserve(const struct learn *, const struct learn_job *, int kind,
    const struct resources *declared, const struct resources *largest,
    int reclaim_cpu, struct resources *reserved);

#endif /* LEARN_H */

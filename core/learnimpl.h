#ifndef LEARNIMPL_H
#define LEARNIMPL_H

#include "learn.h"

/* Shared by the learn source files only. */

/* An estimate: mean, variance and time of the last update. */
struct learn_weight {
	double mean;
	double var;
	int64_t at_ms;
};

/* A mean latency with decaying evidence. */
struct learn_mean {
	double ms;
	double evidence; /* number of calls, after decay */
	double slowdown; /* mean ln(slowdown) predicted at the calls */
	int64_t at_ms;
};

struct learn_kind {
	char name[LEARN_KIND_NAME_MAX];
	int service;
	int base_known; /* base has a measurement */
	struct learn_weight base; /* ln(measured) without slowdown */
	struct learn_mean latency;
	struct learn_ratio cpu;
	struct learn_ratio memory;
};

struct learn {
	struct learn_options o;
	int nkinds;
	struct learn_kind kinds[LEARN_KINDS_MAX];
	/* Indexed by victim and cause; at_ms 0: never updated. */
	struct learn_weight pairs[LEARN_KINDS_MAX][LEARN_KINDS_MAX];
};

struct learn_tenant {
	uint64_t tenant;
	int kind;
	int64_t cpu_millis;
	int64_t from_ms;
	int64_t to_ms; /* INT64_MAX: current */
};

struct learn_service {
	int kind;
	double offset; /* of this worker in ln(measured) */
	struct learn_mean latency;
	double cached; /* ln(slowdown) by the current tenants */
	int64_t cached_ms;
	unsigned int cached_version;
};

struct learn_worker {
	struct learn *learn;
	unsigned int version; /* incremented when the tenants change */
	int ntenants;
	int nservices;
	struct learn_tenant tenants[LEARN_TENANTS_MAX];
	struct learn_service services[LEARN_SERVICES_MAX];
};

/* The state of a service on a worker; NULL if there are too many. */
struct learn_service *learn_service_get(struct learn_worker *, int kind);

/* The weight of a pair, decayed to now_ms. */
struct learn_weight learn_pair_now(
    const struct learn *, int victim, int cause, int64_t now_ms);

/*
 * Sum the processors of tenants by kind over a time window, excluding one
 * tenant.  A tenant is weighted by the fraction of the window that it was
 * present.
 */
void learn_shared_cpus(const struct learn_worker *, uint64_t excluded,
    int64_t from_ms, int64_t to_ms, double cpus[LEARN_KINDS_MAX]);

/* The factor by which evidence of that age is reduced. */
double learn_decay(int64_t age_ms, int64_t half_life_ms);

#endif /* LEARNIMPL_H */

#ifndef LEARNIMPL_H
#define LEARNIMPL_H

#include "learn.h"

/* Shared by the files of learn alone. */

/* One learnt number: its mean, its variance, and when it was last updated. */
struct learn_weight {
	double mean;
	double var;
	int64_t at_ms;
};

/* A mean latency whose evidence fades. */
struct learn_mean {
	double ms;
	double evidence; /* calls, faded */
	double slowdown; /* mean ln(slowdown) predicted when observed */
	int64_t at_ms;
};

struct learn_kind {
	char name[LEARN_KIND_NAME_MAX];
	int service;
	int base_known; /* base is known */
	struct learn_weight base; /* ln of the undisturbed measurement */
	struct learn_mean latency;
	struct learn_ratio cpu;
	struct learn_ratio memory;
};

struct learn {
	struct learn_options o;
	int nkinds;
	struct learn_kind kinds[LEARN_KINDS_MAX];
	/* pairs[victim][cause]; at_ms of 0 means never updated. */
	struct learn_weight pairs[LEARN_KINDS_MAX][LEARN_KINDS_MAX];
};

struct learn_tenant {
	uint64_t tenant;
	int kind;
	int64_t cpu_millis;
	int64_t from_ms;
	int64_t to_ms; /* INT64_MAX: present */
};

struct learn_service {
	int kind;
	double offset; /* of this worker, in ln(measured) */
	struct learn_mean latency;
	double cached; /* ln(slowdown) by the present tenants */
	int64_t cached_ms;
	unsigned int cached_version;
};

struct learn_worker {
	struct learn *learn;
	unsigned int version; /* raised whenever the tenants change */
	int ntenants;
	int nservices;
	struct learn_tenant tenants[LEARN_TENANTS_MAX];
	struct learn_service services[LEARN_SERVICES_MAX];
};

/* The record of a service on a worker; NULL when there are too many. */
struct learn_service *learn_service_get(struct learn_worker *, int kind);

/* The present value of a pair. */
struct learn_weight learn_pair_now(
    const struct learn *, int victim, int cause, int64_t now_ms);

/*
 * Sum processors over the tenants that shared the window, by kind, leaving
 * out one tenant; a tenant there for half of the window counts half.
 */
void learn_shared_cpus(const struct learn_worker *, uint64_t without,
    int64_t from_ms, int64_t to_ms, double cpus[LEARN_KINDS_MAX]);

/* What is left of evidence of one after so long. */
double learn_decay(int64_t age_ms, int64_t half_life_ms);

#endif /* LEARNIMPL_H */

#ifndef POLICIES_H
#define POLICIES_H

#include <stddef.h>

#include "world.h"

/* The policies that a replay compares; ours is the first. */
extern const struct policy policies[];
extern const size_t npolicies;
extern const struct policy variants[];
extern const size_t nvariants;

/* NULL: no policy of that name. */
const struct policy *policy_find(const char *name);

/* ours.c: the modules of core, as the daemon calls them. */
int ours_endpoint(struct world *, int entry);
int ours_worker(struct world *, struct task *);
void ours_protect(
    struct world *, struct vm *, double p99_ms, int64_t measured_ms);

int ours_ahead(struct world *, struct task *);
void ours_decide(struct world *, struct vm *);

/* baseline.c */
int round_robin_endpoint(struct world *, int entry);
int round_robin_worker(struct world *, struct task *);
int least_loaded_endpoint(struct world *, int entry);
int least_loaded_worker(struct world *, struct task *);
int declared_endpoint(struct world *, int entry);
int cautious_worker(struct world *, struct task *);
int declared_worker(struct world *, struct task *);
void threshold_protect(
    struct world *, struct vm *, double p99_ms, int64_t measured_ms);
void threshold_used(struct world *, struct vm *);

#endif /* POLICIES_H */

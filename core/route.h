#ifndef ROUTE_H
#define ROUTE_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stdint.h>

/*
 * Through which member the leader's calls to a worker go.  One member serves
 * a worker as long as it is answered, so that few connections are made and
 * calls to one worker keep their order; several in turn would each keep
 * connections to it, and workers reset those over their cap.
 */

struct route;
LIST_HEAD(route_list, route);

/* Workers that lost calls lately; the others need no state. */
struct routes {
	struct route_list list;
};

struct route_member {
	const char *id;
	double power; /* processors it may use */
	bool near; /* in the worker's data center */
};

void routes_init(struct routes *);
void routes_free(struct routes *);
/*
 * How well a member suits a worker; the highest is to be taken.  Each member
 * is first for a share of the workers that goes with its power.
 */
double route_score(const struct routes *, const struct route_member *,
    const char *worker, int64_t now_ms);
/* The worker didn't answer a call that went through its member. */
void route_lost(struct routes *, const char *worker, int64_t now_ms);
void route_answered(struct routes *, const char *worker);
/* Forget workers that lost nothing for long. */
void routes_expire(struct routes *, int64_t now_ms);

#endif /* ROUTE_H */

#ifndef ROUTE_H
#define ROUTE_H

#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Through which member the leader's calls to a worker go.  One member serves
 * a worker as long as it is answered, so that few connections are made and
 * calls to one worker keep their order; several in turn would each keep
 * connections to it, and workers reset those over their cap.
 *
 * The member is drawn once and kept with the worker.  A draw for each call
 * costs the more, the more members there are and the more calls are lost: lost
 * calls would make the leader slow, and a slow leader loses calls.
 */

struct route;
RB_HEAD(route_tree, route);

struct route_member {
	const char *id;
	double power; /* processors it may use */
	const char *data_center;
	void *data; /* the caller's, which is given back */
};

/* Whether a member may be used now; until_ms: when it may be else. */
typedef bool route_usable(const void *data, int64_t now_ms, int64_t *until_ms);

struct routes {
	struct route_tree tree;
	const struct route_member *members;
	size_t nmembers;
	uint64_t version; /* of the members */
	uint64_t evaluations; /* members that were weighed */
	route_usable *usable;
};

void routes_init(struct routes *, route_usable *);
void routes_free(struct routes *);
/* Other members than before; the array stays the caller's. */
void routes_set_members(
    struct routes *, const struct route_member *, size_t nmembers);
/*
 * The data of the member that serves the worker; NULL: none may be used.  Each
 * member is first for a share of the workers that goes with its power.
 */
void *route_choose(struct routes *, const char *worker, const char *data_center,
    int64_t now_ms);
/* The worker didn't answer a call that went through its member. */
void route_call_lost(struct routes *, const char *worker, int64_t now_ms);
void route_call_answered(struct routes *, const char *worker);
/* Forget workers that weren't called for long. */
void routes_expire(struct routes *, int64_t now_ms);

#endif /* ROUTE_H */

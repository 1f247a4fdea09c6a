#ifndef ROUTE_H
#define ROUTE_H

#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Selects the member that relays the leader's calls to a worker.  A worker
 * stays with its member as long as calls are answered, which saves connections
 * and keeps the calls to one worker in order.  If members took turns, each
 * would hold connections to the worker, which resets those over its limit.
 *
 * The selection is cached for each worker.  The cost of selecting again for
 * each call grows with the number of members and of lost calls; an overloaded
 * leader loses calls, which would slow it down further.
 */

struct route;
RB_HEAD(route_tree, route);

struct route_member {
	const char *id;
	double power; /* processors available to it */
	const char *data_center;
	void *data; /* returned by route_choose() */
};

/* Whether the member may be used now; if not, until_ms is when to retry. */
typedef bool route_usable(const void *data, int64_t now_ms, int64_t *until_ms);

struct routes {
	struct route_tree tree;
	const struct route_member *members;
	size_t nmembers;
	uint64_t version; /* of the member list */
	uint64_t evaluations; /* of members for a selection, in total */
	route_usable *usable;
};

void routes_init(struct routes *, route_usable *);
void routes_free(struct routes *);
/* Replace the member list.  The array is not copied. */
void routes_set_members(
    struct routes *, const struct route_member *, size_t nmembers);
/*
 * Returns the data of the worker's member, NULL if none may be used.  Each
 * member is the first choice for a share of the workers that grows with its
 * power.
 */
void *route_choose(struct routes *, const char *worker, const char *data_center,
    int64_t now_ms);
/* A call to the worker was not answered. */
void route_call_lost(struct routes *, const char *worker, int64_t now_ms);
void route_call_answered(struct routes *, const char *worker);
/* Remove workers that have not been called for a long time. */
void routes_expire(struct routes *, int64_t now_ms);

#endif /* ROUTE_H */

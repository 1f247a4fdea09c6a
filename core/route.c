#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "route.h"

#define WORKER_ID_MAX 96
/*
 * Lost calls in a row after which another member tries.  One alone is mostly
 * the worker's doing, as when it leaves an order unanswered.
 */
#define LOST_ROW 2
/* A moved worker stays with its new member for so long after a loss. */
#define KEEP_MS 60000
/* Members elsewhere are left out until the worker was moved so often. */
#define NEAR_MOVES 2
/* Weight of a member in another data center while nearer ones may do. */
#define FAR_SHARE 0.001
#define HASH_RANGE 1000003

struct route {
	LIST_ENTRY(route) link;
	char worker[WORKER_ID_MAX];
	uint32_t lost_row;
	uint32_t moves;
	int64_t lost_ms;
};

void
routes_init(struct routes *r)
{
	LIST_INIT(&r->list);
}

static void
route_free(struct route *route)
{
	LIST_REMOVE(route, link);
	free(route);
}

void
routes_free(struct routes *r)
{
	struct route *route;

	while ((route = LIST_FIRST(&r->list)) != NULL)
		route_free(route);
}

static struct route *
route_find(const struct routes *r, const char *worker)
{
	struct route *route;

	LIST_FOREACH (route, &r->list, link) {
		if (strcmp(route->worker, worker) == 0)
			return route;
	}
	return NULL;
}

/* Highest of the weighted draws: each member wins by its weight's share. */
static double
draw(const char *member, const char *worker, uint32_t moves)
{
	uint64_t hash;

	hash = XXH64(member, strlen(member), moves);
	hash = XXH64(worker, strlen(worker), hash);
	return ((double)(hash % HASH_RANGE) + 1) / HASH_RANGE;
}

double
route_score(const struct routes *r, const struct route_member *member,
    const char *worker, int64_t now_ms)
{
	const struct route *route;
	uint32_t moves;
	double score;

	route = route_find(r, worker);
	moves = 0;
	if (route != NULL && now_ms - route->lost_ms < KEEP_MS)
		moves = route->moves;
	score = member->power * draw(member->id, worker, moves);
	if (!member->near && moves < NEAR_MOVES)
		score *= FAR_SHARE;
	return score;
}

void
route_lost(struct routes *r, const char *worker, int64_t now_ms)
{
	struct route *route;

	if ((route = route_find(r, worker)) == NULL) {
		/* Without memory the worker stays with its member. */
		if ((route = calloc(1, sizeof(*route))) == NULL)
			return;
		strlcpy(route->worker, worker, sizeof(route->worker));
		LIST_INSERT_HEAD(&r->list, route, link);
	}
	route->lost_ms = now_ms;
	if (++route->lost_row < LOST_ROW)
		return;
	route->lost_row = 0;
	route->moves++;
}

void
route_answered(struct routes *r, const char *worker)
{
	struct route *route;

	if ((route = route_find(r, worker)) != NULL)
		route->lost_row = 0;
}

void
routes_expire(struct routes *r, int64_t now_ms)
{
	struct route *route, *next;

	for (route = LIST_FIRST(&r->list); route != NULL; route = next) {
		next = LIST_NEXT(route, link);
		if (now_ms - route->lost_ms >= KEEP_MS)
			route_free(route);
	}
}

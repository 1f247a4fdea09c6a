#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "route.h"

#define WORKER_ID_MAX 96
/*
 * Consecutive lost calls after which the worker moves to another member.  A
 * single lost call is mostly due to the worker, which left an order unanswered.
 */
#define LOST_MAX 2
/* A moved worker returns to its first choice this long after a loss. */
#define KEEP_MS 60000
/* Moves after which members in other data centres have their full weight. */
#define LOCAL_MOVES 2
/* Weight of a member in another data centre before that. */
#define REMOTE_WEIGHT 0.001
#define HASH_RANGE 1000003

struct route {
	RB_ENTRY(route) by_worker;
	char worker[WORKER_ID_MAX];
	uint32_t lost_in_row;
	uint32_t moves;
	int64_t lost_ms; /* 0: never */
	int64_t used_ms;
	void *member; /* data of the selected member */
	uint64_t version; /* of the list it is from; 0: select anew */
	int64_t until_ms; /* select anew at this time; 0: not set */
};

static int
route_cmp(struct route *a, struct route *b)
{
	return strcmp(a->worker, b->worker);
}

RB_PROTOTYPE(route_tree, route, by_worker, route_cmp)
RB_GENERATE(route_tree, route, by_worker, route_cmp)

void
routes_init(struct routes *r, route_usable *usable)
{
	memset(r, 0, sizeof(*r));
	RB_INIT(&r->tree);
	r->usable = usable;
	r->version = 1;
}

static void
route_free(struct routes *r, struct route *route)
{
	RB_REMOVE(route_tree, &r->tree, route);
	free(route);
}

void
routes_free(struct routes *r)
{
	struct route *route;

	while ((route = RB_MIN(route_tree, &r->tree)) != NULL)
		route_free(r, route);
}

void
routes_set_members(
    struct routes *r, const struct route_member *members, size_t nmembers)
{
	r->members = members;
	r->nmembers = nmembers;
	r->version++;
}

static struct route *
route_find(struct routes *r, const char *worker)
{
	struct route key;

	strlcpy(key.worker, worker, sizeof(key.worker));
	return RB_FIND(route_tree, &r->tree, &key);
}

/* NULL: no memory. */
static struct route *
route_get(struct routes *r, const char *worker)
{
	struct route *route;

	if ((route = route_find(r, worker)) != NULL)
		return route;
	if ((route = calloc(1, sizeof(*route))) == NULL)
		return NULL;
	strlcpy(route->worker, worker, sizeof(route->worker));
	RB_INSERT(route_tree, &r->tree, route);
	return route;
}

/*
 * A pseudorandom number in (0, 1] for rendezvous hashing.  It changes with each
 * move of the worker.
 */
static double
hash_fraction(const char *member, const char *worker, uint32_t moves)
{
	uint64_t hash;

	hash = XXH64(member, strlen(member), moves);
	hash = XXH64(worker, strlen(worker), hash);
	return ((double)(hash % HASH_RANGE) + 1) / HASH_RANGE;
}

static double
score_of(const struct route *route, const struct route_member *member,
    const char *data_center)
{
	double score;

	score = member->power *
	    hash_fraction(member->id, route->worker, route->moves);
	if (strcmp(member->data_center, data_center) != 0 &&
	    route->moves < LOCAL_MOVES)
		score *= REMOTE_WEIGHT;
	return score;
}

/*
 * Select the member with the highest score among those that may be used.  The
 * selection is valid until another one may become usable.
 */
static void
select_member(struct routes *r, struct route *route, const char *data_center,
    int64_t now_ms)
{
	const struct route_member *member;
	double score, best_score;
	int64_t until_ms;
	size_t i;

	route->member = NULL;
	route->version = r->version;
	route->until_ms = 0;
	best_score = 0;
	for (i = 0; i < r->nmembers; i++) {
		member = &r->members[i];
		r->evaluations++;
		if (!r->usable(member->data, now_ms, &until_ms)) {
			if (route->until_ms == 0 || until_ms < route->until_ms)
				route->until_ms = until_ms;
			continue;
		}
		score = score_of(route, member, data_center);
		if (score > best_score) {
			route->member = member->data;
			best_score = score;
		}
	}
}

static bool
is_valid(const struct routes *r, const struct route *route, int64_t now_ms)
{
	int64_t until_ms;

	if (route->version != r->version)
		return false;
	if (route->until_ms != 0 && now_ms >= route->until_ms)
		return false;
	return route->member == NULL ||
	    r->usable(route->member, now_ms, &until_ms);
}

void *
route_choose(struct routes *r, const char *worker, const char *data_center,
    int64_t now_ms)
{
	struct route *route;

	if (r->nmembers == 0 || (route = route_get(r, worker)) == NULL)
		return NULL;
	route->used_ms = now_ms;
	if (route->moves > 0 && now_ms - route->lost_ms >= KEEP_MS) {
		route->moves = 0;
		route->version = 0;
	}
	if (!is_valid(r, route, now_ms))
		select_member(r, route, data_center, now_ms);
	return route->member;
}

void
route_call_lost(struct routes *r, const char *worker, int64_t now_ms)
{
	struct route *route;

	/* On failure the worker stays with its member. */
	if ((route = route_get(r, worker)) == NULL)
		return;
	route->used_ms = now_ms;
	route->lost_ms = now_ms;
	if (++route->lost_in_row < LOST_MAX)
		return;
	route->lost_in_row = 0;
	route->moves++;
	route->version = 0;
}

void
route_call_answered(struct routes *r, const char *worker)
{
	struct route *route;

	if ((route = route_find(r, worker)) != NULL)
		route->lost_in_row = 0;
}

void
routes_expire(struct routes *r, int64_t now_ms)
{
	struct route *route, *next;

	for (route = RB_MIN(route_tree, &r->tree); route != NULL;
	     route = next) {
		next = RB_NEXT(route_tree, &r->tree, route);
		if (now_ms - route->used_ms >= KEEP_MS &&
		    now_ms - route->lost_ms >= KEEP_MS)
			route_free(r, route);
	}
}

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "share.h"

#define WORTH_CPU_MILLIS 32000 /* smallest share that is worth a shard */
#define WORTH_MEMORY_MIB 65536
#define WORTH_TASKS 4

struct ranked {
	uint64_t score;
	const char *shard;
};

static int by_score(const void *, const void *);
static size_t narrow(int64_t, int64_t, size_t);
static bool within(int64_t, int64_t, int64_t, size_t);

static int
by_score(const void *a, const void *b)
{
	const struct ranked *x, *y;

	x = a;
	y = b;
	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->shard, y->shard);
}

/* At most so many shards that each gets a worthwhile share of the limit. */
static size_t
narrow(int64_t limit, int64_t worth, size_t n)
{
	int64_t shards;

	if (limit == SHARE_UNLIMITED)
		return n;
	shards = limit / worth;
	if (shards < 1)
		shards = 1;
	return (uint64_t)shards < n ? (size_t)shards : n;
}

size_t
share_rank_shards(const struct share_limit *limit, const char *team,
    const char **shards, size_t n)
{
	struct ranked *ranked;
	uint64_t seed;
	size_t i;

	if (n == 0 || (ranked = calloc(n, sizeof(*ranked))) == NULL)
		return 0;
	seed = XXH64(team, strlen(team), 0);
	for (i = 0; i < n; i++) {
		ranked[i].shard = shards[i];
		ranked[i].score = XXH64(shards[i], strlen(shards[i]), seed);
	}
	qsort(ranked, n, sizeof(*ranked), by_score);
	for (i = 0; i < n; i++)
		shards[i] = ranked[i].shard;
	free(ranked);
	n = narrow(limit->size.cpu_millis, WORTH_CPU_MILLIS, n);
	n = narrow(limit->size.memory_mib, WORTH_MEMORY_MIB, n);
	return narrow(limit->tasks, WORTH_TASKS, n);
}

static bool
within(int64_t limit, int64_t use, int64_t more, size_t shares)
{
	return limit == SHARE_UNLIMITED ||
	    use + more <= limit / (int64_t)shares;
}

bool
share_allows(const struct share_limit *limit, const struct share_usage *use,
    const struct resources *more, size_t shares)
{
	return within(limit->tasks, use->tasks, 1, shares) &&
	    within(limit->size.cpu_millis, use->size.cpu_millis,
		more->cpu_millis, shares) &&
	    within(limit->size.memory_mib, use->size.memory_mib,
		more->memory_mib, shares) &&
	    within(limit->size.accelerators, use->size.accelerators,
		more->accelerators, shares);
}

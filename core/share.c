#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "share.h"

/* Smallest share of a shard. */
#define SHARE_MIN_CPU_MILLIS 32000
#define SHARE_MIN_MEMORY_MIB 65536
#define SHARE_MIN_TASKS 4

struct ranked_shard {
	uint64_t score;
	const char *shard;
};

static int by_score(const void *, const void *);
static size_t limit_shards(int64_t, int64_t, size_t);
static bool fits_share(int64_t, int64_t, int64_t, size_t);

static int
by_score(const void *a, const void *b)
{
	const struct ranked_shard *x, *y;

	x = a;
	y = b;
	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->shard, y->shard);
}

/* Reduce the number of shards so that each share is at least share_min. */
static size_t
limit_shards(int64_t limit, int64_t share_min, size_t n)
{
	int64_t shards;

	if (limit == SHARE_UNLIMITED)
		return n;
	shards = limit / share_min;
	if (shards < 1)
		shards = 1;
	return (uint64_t)shards < n ? (size_t)shards : n;
}

size_t
share_rank_shards(const struct share_limit *limit, const char *team,
    const char **shards, size_t n)
{
	struct ranked_shard *ranked;
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
	n = limit_shards(limit->size.cpu_millis, SHARE_MIN_CPU_MILLIS, n);
	n = limit_shards(limit->size.memory_mib, SHARE_MIN_MEMORY_MIB, n);
	return limit_shards(limit->tasks, SHARE_MIN_TASKS, n);
}

static bool
fits_share(int64_t limit, int64_t use, int64_t more, size_t shares)
{
	return limit == SHARE_UNLIMITED ||
	    use + more <= limit / (int64_t)shares;
}

bool
share_allows(const struct share_limit *limit, const struct share_usage *use,
    const struct resources *more, size_t shares)
{
	return fits_share(limit->tasks, use->tasks, 1, shares) &&
	    fits_share(limit->size.cpu_millis, use->size.cpu_millis,
		more->cpu_millis, shares) &&
	    fits_share(limit->size.memory_mib, use->size.memory_mib,
		more->memory_mib, shares) &&
	    fits_share(limit->size.accelerators, use->size.accelerators,
		more->accelerators, shares);
}

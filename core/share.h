#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * A team's limits on batch work hold over the whole deployment, but each
 * shard binds on its own.  So a limit is cut into equal shares, and only as
 * many shards get one that each is worth having: a team with room for three
 * tasks works in one shard.  Which ones, every entry finds out by the same
 * hashes.  While two entries' VM lists differ, so may their shares.
 */

#define SHARE_UNLIMITED (-1)

struct share_limit {
	struct resources size; /* SHARE_UNLIMITED in a dimension: no limit */
	int64_t tasks; /* or SHARE_UNLIMITED */
};

struct share_usage {
	struct resources size;
	int64_t tasks;
};

/*
 * Put the shards in the team's own order, whatever order they come in, and
 * return how many of them, from the first on, have a share.
 */
size_t share_rank_shards(const struct share_limit *, const char *team,
    const char **shards, size_t n);

/* May the team use so much more in a shard that has one of so many shares? */
bool share_allows(const struct share_limit *, const struct share_usage *,
    const struct resources *more, size_t shares);

#endif /* SHARE_H */

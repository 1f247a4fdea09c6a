#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * A team's limits on batch tasks apply to the whole deployment, but each shard
 * binds tasks independently.  A limit is therefore divided into equal shares,
 * one per shard, among as many shards as keep each share above a minimum: a
 * team with a limit of three tasks runs in one shard.  All entries select the
 * shards by the same hashes, but while their VM lists differ, the shares that
 * they compute may differ too.
 */

#define SHARE_UNLIMITED (-1)

struct share_limit {
	struct resources size; /* each dimension may be SHARE_UNLIMITED */
	int64_t tasks; /* or SHARE_UNLIMITED */
};

struct share_usage {
	struct resources size;
	int64_t tasks;
};

/*
 * Sort the shards by the team's hash order, which doesn't depend on their order
 * in the array, and return how many of the first have a share; 0 also if there
 * is no memory.
 */
size_t share_rank_shards(const struct share_limit *, const char *team,
    const char **shards, size_t n);

/*
 * Whether a team may use more in a shard, by one task of the given resources.
 * shares is the number of shares that the limit is divided into.
 */
bool share_allows(const struct share_limit *, const struct share_usage *,
    const struct resources *more, size_t shares);

#endif /* SHARE_H */

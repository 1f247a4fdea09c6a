#ifndef MEMBER_INT_H
#define MEMBER_INT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <gsl/gsl_rng.h>

#include "member.h"

/* Shared by member.c (table, failure detection) and gossip.c (messages). */

struct shard_node {
	RB_ENTRY(shard_node) node;
	TAILQ_ENTRY(shard_node) rotation;
	struct member_shard shard;
};

RB_HEAD(member_tree, member);
RB_HEAD(shard_tree, shard_node);
TAILQ_HEAD(member_queue, member);
TAILQ_HEAD(shard_queue, shard_node);

struct members {
	struct member_options options;
	struct member_record self;
	struct member_tree tree;
	struct member_queue heard;
	struct member_queue rotation;
	struct member **array; /* all members, for random selection */
	size_t count;
	size_t capacity;
	struct shard_tree shards;
	struct shard_queue shard_rotation;
	gsl_rng *rng;
	int64_t ticked_ms;
	int64_t paused_ms; /* when the last pause was detected */
	int64_t rejoin_ms; /* may not act until then; 0: may act */
	int64_t loaded_ms; /* first full read of the registry; -1: none yet */
	uint64_t ticks;
};

bool member_silent(const struct members *, const struct member *, int64_t);
/* Whether the registry or the VM list indicates that the member is dead. */
bool member_unregistered_or_gone(const struct members *, const struct member *);
void member_drop(struct members *, struct member *);

/* Send a message to the member; probe makes it reply at once. */
void gossip_send(struct members *, struct member *, bool probe, int64_t now_ms);
void gossip_probe(struct members *, struct member *, int64_t now_ms);

#endif /* MEMBER_INT_H */

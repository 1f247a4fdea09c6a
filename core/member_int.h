#ifndef MEMBER_INT_H
#define MEMBER_INT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <gsl/gsl_rng.h>

#include "member.h"

/* Shared by member.c, the table and the verdicts, and gossip.c, the rounds. */

struct shard_node {
	RB_ENTRY(shard_node) node;
	TAILQ_ENTRY(shard_node) turn;
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
	struct member_queue turn;
	struct member **array; /* all, for random picks */
	size_t count;
	size_t capacity;
	struct shard_tree shards;
	struct shard_queue shard_turn;
	gsl_rng *rng;
	int64_t ticked_ms;
	int64_t paused_ms; /* when the last pause was noticed */
	int64_t rejoin_ms; /* not acting before; 0: acting */
	int64_t loaded_ms; /* registry read whole; -1: never */
	uint64_t ticks;
};

bool member_silent(const struct members *, const struct member *, int64_t);
/* Does a witness other than silence speak against it? */
bool member_unregistered_or_gone(const struct members *, const struct member *);
void member_drop(struct members *, struct member *);

/* One message to that member; probe_requested makes it answer. */
void gossip_send(
    struct members *, struct member *, bool probe_requested, int64_t now_ms);
void gossip_probe(struct members *, struct member *, int64_t now_ms);

#endif /* MEMBER_INT_H */

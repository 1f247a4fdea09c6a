#ifndef SHARD_H
#define SHARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Who ought to own a shard, and when another entry may take it.  A wrong
 * answer costs a hand-over, never safety: the store's compare-and-swap and
 * the workers' epochs decide who does own it.
 */

/*
 * The entry that ought to own the shard: the highest rendezvous hash, so
 * that an entry that comes or goes moves only its own shards.  Returns an
 * index into ids, or n when n is 0.
 */
size_t shard_home(const char *shard, const char *const *ids, size_t n);

/* What is known of the entry that the record names as owner. */
struct shard_owner {
	bool none; /* the record names nobody: new or handed over */
	bool self; /* it names us, who hold no ledger for it */
	bool left; /* it announced its leaving */
	bool vm_gone; /* the VM list says that its VM is gone */
	bool registered; /* its key in the registry, under a lease, is there */
	int64_t silent_ms; /* since any gossip of it */
};

struct shard_options {
	int64_t silence_ms; /* of gossip, before a peer may be replaced */
	int64_t settle_ms; /* the home must be the same so long for a move */
};

enum shard_verdict {
	SHARD_NO_TAKEOVER, /* its owner may well live, or we ought not to have
			    * it
			    */
	SHARD_TAKE_UNOWNED, /* nobody owns it */
	SHARD_TAKE_BACK, /* we owned it before a restart or a conflict */
	SHARD_TAKE_LEFT,
	SHARD_TAKE_GONE,
	SHARD_TAKE_LAPSED /* silent, and its registry lease has lapsed */
};

/*
 * May we take the shard now?  is_home: shard_home() is us.  alone: no peer
 * answers us at all.  Then we may be the one that is cut off; an owner that
 * lives registers again within the second silence that we wait out.
 */
enum shard_verdict shard_evaluate(const struct shard_options *,
    const struct shard_owner *, bool is_home, bool alone);

/* Whether a shard that we own ought to go to its home, and since when. */
struct shard_home_watch {
	char home[64]; /* "": we are home ourselves */
	int64_t since_ms;
};

/*
 * Note who is home now.  True: it has been another entry for settle_ms, so
 * hand over; an entry that comes and goes moves nothing.
 */
bool shard_hand_over(const struct shard_options *, struct shard_home_watch *,
    const char *home, const char *self, int64_t now_ms);

const char *shard_verdict_name(enum shard_verdict);

#endif /* SHARD_H */

#ifndef SHARD_H
#define SHARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Preferred owners of shards, and takeover of shards.  A wrong decision costs
 * an unnecessary hand-over, never safety: ownership is enforced by the store's
 * compare-and-swap and by the epochs that the workers check.
 */

/*
 * Returns the index into ids of the shard's preferred owner, or n if n is 0. It
 * is the entry with the highest rendezvous hash, so an entry that joins or
 * leaves moves only its own shards.
 */
size_t shard_preferred_owner(
    const char *shard, const char *const *ids, size_t n);

/* State of the owner that is named in the shard's record. */
struct shard_owner {
	bool none; /* no owner: the shard is new or was handed over */
	bool self; /* this entry, which holds no ledger for it */
	bool left; /* it announced that it stopped */
	bool vm_gone; /* its VM is gone according to the VM list */
	bool registered; /* its registry key (under a lease) exists */
	int64_t silent_ms; /* since the last gossip of it */
};

struct shard_options {
	int64_t silence_ms; /* of gossip, before an owner may be replaced */
	int64_t settle_ms; /* time without change of preferred owner before a
			      move */
};

enum shard_verdict {
	SHARD_NO_TAKEOVER, /* not preferred, or the owner may be alive */
	SHARD_TAKE_UNOWNED, /* nobody owns it */
	SHARD_TAKE_BACK, /* owned by this entry before a restart or conflict */
	SHARD_TAKE_LEFT, /* the owner announced that it stopped */
	SHARD_TAKE_GONE, /* the owner's VM is gone */
	SHARD_TAKE_LAPSED /* it is silent and its registry lease has expired */
};

/*
 * Whether this entry may take over the shard now.  is_preferred: it is
 * the shard's preferred owner.  alone: it hears no peer, so it may itself be
 * partitioned; the silence required is then doubled, and a live owner registers
 * again within that time.
 */
enum shard_verdict shard_evaluate(const struct shard_options *,
    const struct shard_owner *, bool is_preferred, bool alone);

/* Tracks the preferred owner of a shard that this entry owns. */
struct shard_owner_watch {
	char preferred[64]; /* "": this entry */
	int64_t since_ms;
};

/*
 * Record the current preferred owner.  Returns true to hand the shard over: the
 * same other entry has been preferred for settle_ms.  The delay keeps an entry
 * that joins and leaves again from moving shards.
 */
bool shard_hand_over(const struct shard_options *, struct shard_owner_watch *,
    const char *preferred, const char *self, int64_t now_ms);

const char *shard_verdict_name(enum shard_verdict);

#endif /* SHARD_H */

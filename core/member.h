#ifndef MEMBER_H
#define MEMBER_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Gossip membership and failure detection of the entries, without consensus.
 * Each entry sends what it knows to a few peers a second.  It determines the
 * state of every other entry from three sources: its gossip, its key in the
 * registry (under a store lease), and the VM list.  An entry reports only its
 * own state; none passes on that another is dead, so an entry with a bad link
 * can't spread false failures.
 *
 * The cost for an entry doesn't depend on the number of entries: it sends a
 * fixed number of messages a second, with a bounded number of records each.
 */

#define MEMBER_ID_MAX 64
#define MEMBER_ADDRESS_MAX 64
#define MEMBER_SHARDS_MAX 4 /* shard records in one message */
#define MEMBER_DIGEST_MAX 48 /* member records in one message */

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* silent, but not confirmed dead */
	/* silent, unregistered or its VM gone, and a probe timed out */
	MEMBER_DEAD,
	MEMBER_LEAVING, /* announced a planned stop */
	MEMBER_LEFT /* announced that it stopped: may be replaced at once */
};

enum member_vm {
	MEMBER_VM_UNKNOWN,
	MEMBER_VM_LIVE,
	MEMBER_VM_LEAVING,
	MEMBER_VM_GONE
};

/*
 * The state of an entry as reported by itself and passed on by its peers.  Most
 * records are short and show only that the entry is alive; some carry details.
 */
struct member_record {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation; /* higher after each start */
	uint64_t counter; /* incremented at each heartbeat */
	enum member_state state; /* alive, leaving or left */
	bool store_answers;
	bool has_details; /* the members below are set */
	uint64_t revision; /* of the configuration in force at the entry */
	int held_slots; /* credits, spare or in use */
	int needed_slots; /* see lending_needed() */
	int spare_connections;
	char address[MEMBER_ADDRESS_MAX]; /* IP:PORT of the peer protocol */
	char data_center[MEMBER_ID_MAX];
};

/* The owner of a shard as learnt by gossip; the ledger is authoritative. */
struct member_shard {
	char shard[MEMBER_ID_MAX];
	char owner[MEMBER_ID_MAX];
	uint64_t epoch;
};

/* A gossip message.  records[0] is the sender's own. */
struct member_digest {
	bool probe; /* the receiver must reply at once */
	size_t nrecords;
	struct member_record records[MEMBER_DIGEST_MAX];
	size_t nshards;
	struct member_shard shards[MEMBER_SHARDS_MAX];
};

struct member_verdict {
	enum member_state state;
	bool gossip_silent;
	bool registry_lapsed;
	enum member_vm vm;
	int64_t silent_ms; /* since the last news of it */
};

struct member {
	RB_ENTRY(member) node;
	TAILQ_ENTRY(member) heard; /* most recently heard of first */
	TAILQ_ENTRY(member) rotation; /* least recently passed on first */
	size_t index; /* in the array for random selection */
	struct member_record record;
	uint64_t details_counter; /* counter of the record with its details */
	int64_t heard_ms;
	int64_t probed_ms; /* when the open probe was sent; 0: none */
	bool registered; /* its registry key exists */
	bool listed; /* seen since member_registry_begin() */
	bool was_registered;
	enum member_vm vm;
	int64_t load_ms; /* when its slots were last reported */
	char listen[MEMBER_ADDRESS_MAX]; /* registered for callers; or "" */
};

/* Send the digest to the member. */
typedef void member_send(
    const struct member *, const struct member_digest *, void *ctx);
/* This entry was paused for gap_ms; see member_may_act(). */
typedef void member_paused(int64_t gap_ms, void *ctx);

struct member_options {
	struct member_record self; /* id, incarnation, address, data centre */
	int fanout; /* messages per heartbeat */
	int64_t heartbeat_ms;
	int64_t silence_ms; /* without news of a member: it is suspect */
	int64_t pause_ms; /* between ticks: this entry was paused */
	int64_t forget_ms; /* without news: an unregistered one is dropped */
	size_t digest_max; /* records in a message, up to MEMBER_DIGEST_MAX */
	unsigned long seed;
	member_send *on_send;
	member_paused *on_paused;
	void *ctx;
};

struct members;

/* NULL: no memory, or an option out of range. */
struct members *member_open(const struct member_options *, int64_t now_ms);
void member_close(struct members *);

/* Called at each heartbeat: detect pauses, and send gossip and probes. */
void member_tick(struct members *, int64_t now_ms);

/*
 * Process a message of a peer; reply if it is a probe.  Records of this entry
 * itself are ignored.
 */
void member_merge(
    struct members *, const struct member_digest *, int64_t now_ms);

/*
 * Whether this entry may act on its view of the membership (take over shards,
 * lend credits).  After a pause it may not until a peer's message arrives, or
 * for silence_ms if none does: its view is out of date, and other entries may
 * have taken over its shards.
 */
bool member_may_act(const struct members *, int64_t now_ms);

/* Send this entry's record to all members at once, as when it leaves. */
void member_announce(struct members *, int64_t now_ms);

/*
 * Updates from the registry and the VM list.  Of a registered record the id,
 * incarnation, address and data centre are used; listen is the address for
 * callers.
 */
void member_registry_update(struct members *, const struct member_record *,
    const char *listen, int64_t now_ms);
void member_registry_remove(struct members *, const char *id, int64_t now_ms);
/*
 * Bracket a read of the whole registry; in between, each key is passed to
 * member_registry_update().  Members that are not in it have no lease.
 */
void member_registry_begin(struct members *);
void member_registry_loaded(struct members *, int64_t now_ms);
void member_set_vm(
    struct members *, const char *id, enum member_vm, int64_t now_ms);

/*
 * Determine the state of an entry, or of one of its incarnations (0: any).  An
 * incarnation is dead once a later one was seen.  An unknown entry is dead if
 * the first full read of the registry was at least silence_ms ago.
 */
struct member_verdict member_evaluate(const struct members *, const char *id,
    uint64_t incarnation, int64_t now_ms);

/* Record a load that the member reported outside gossip. */
void member_set_load(
    struct members *, const char *id, int held, int needed, int64_t now_ms);

/* This entry's own record, which the caller keeps up to date. */
struct member_record *member_self(struct members *);
/* Announce that this entry owns the shard at the epoch. */
void member_own_shard(struct members *, const char *shard, uint64_t epoch);
/* NULL: no owner is known. */
const struct member_shard *member_shard_owner(
    const struct members *, const char *shard);

/* Iterate over the other members in order of their ids. */
const struct member *member_first(struct members *);
const struct member *member_next(const struct member *);
const struct member *member_find(const struct members *, const char *id);
size_t member_count(const struct members *);
/* Count the members that are not silent, and those that reach the store. */
void member_count_store_reachable(
    const struct members *, int64_t now_ms, size_t *heard, size_t *answered);

const char *member_state_name(enum member_state);

#endif /* MEMBER_H */

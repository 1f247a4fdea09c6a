#ifndef MEMBER_H
#define MEMBER_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which entries there are and which of them live, without a group that has
 * to agree.  Each entry gossips to a few peers a second what it knows, and
 * judges every other from three witnesses: the silence of its gossip, its key
 * in the registry (under a store lease), and the VM list.  An entry speaks
 * only for itself: no entry passes on that another is dead, so a single
 * entry that hears badly can't spread it.
 *
 * The cost of an entry is the same however many there are: a fixed number of
 * messages a second with a fixed number of records each.
 */

#define MEMBER_ID_MAX 64
#define MEMBER_ADDRESS_MAX 64
#define MEMBER_SHARDS_MAX 4 /* shard records in one message */
#define MEMBER_DIGEST_MAX 48 /* member records in one message */

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* silent, but no other witness against it */
	MEMBER_DEAD, /* silent, asked in vain, and another witness agrees */
	MEMBER_LEAVING, /* says so itself: a planned stop */
	MEMBER_LEFT /* said so itself: may be replaced at once */
};

enum member_vm {
	MEMBER_VM_UNKNOWN,
	MEMBER_VM_LIVE,
	MEMBER_VM_LEAVING,
	MEMBER_VM_GONE
};

/*
 * What an entry says of itself; peers pass it on.  Most records are short,
 * to show that the entry lives; some carry the details.
 */
struct member_record {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation; /* higher after each start */
	uint64_t counter; /* goes up with each heartbeat */
	enum member_state state; /* alive, leaving or left */
	bool store_answers;
	bool has_details; /* those below are filled */
	uint64_t revision; /* of the configuration in force there */
	int held_slots; /* credits, spare or in use */
	int needed_slots; /* calls under way or waiting */
	int spare_connections;
	char address[MEMBER_ADDRESS_MAX]; /* IP:PORT of the peer protocol */
	char data_center[MEMBER_ID_MAX];
};

/* Who owns a shard, as far as gossip tells: a hint, the ledger decides. */
struct member_shard {
	char shard[MEMBER_ID_MAX];
	char owner[MEMBER_ID_MAX];
	uint64_t epoch;
};

/* One gossip message.  records[0] is the sender's own. */
struct member_digest {
	bool probe; /* the sender doubts that the receiver lives: answer at once
		     */
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
	int64_t silent_ms; /* since it was last heard of */
};

struct member {
	RB_ENTRY(member) node;
	TAILQ_ENTRY(member) heard; /* the latest heard of comes first */
	TAILQ_ENTRY(member) turn; /* the longest not passed on comes first */
	size_t index; /* its place among those picked at random */
	struct member_record record;
	uint64_t details_counter; /* the counter its details came with */
	int64_t heard_ms;
	int64_t probed_ms; /* asked directly whether it lives; 0: not */
	bool registered; /* its registry key is there */
	bool listed; /* told since member_registry_begin */
	bool was_registered;
	enum member_vm vm;
	int64_t load_ms; /* when its slots were last told of */
	char listen[MEMBER_ADDRESS_MAX]; /* for callers, as registered; or "" */
};

/* Send the digest to that member. */
typedef void member_send(
    const struct member *, const struct member_digest *, void *ctx);
/* This entry was silent for gap_ms (paused); it may act after rejoining. */
typedef void member_paused(int64_t gap_ms, void *ctx);

struct member_options {
	struct member_record self; /* id, incarnation, address, data centre */
	int fanout; /* messages a heartbeat */
	int64_t heartbeat_ms;
	int64_t silence_ms; /* without news: suspect */
	int64_t pause_ms; /* between two ticks: this entry was paused */
	int64_t forget_ms; /* after this long without news it is dropped */
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

/* Each heartbeat: note pauses, choose targets and send to them. */
void member_tick(struct members *, int64_t now_ms);

/*
 * A message from a peer.  Records of this entry itself are ignored.  May send
 * an answer.
 */
void member_merge(
    struct members *, const struct member_digest *, int64_t now_ms);

/*
 * May this entry act on what it knows (take over, lend)?  Not between a pause
 * and the first news from a peer, or silence_ms without any: while it was
 * paused its own picture aged, and others may have replaced it.
 */
bool member_may_act(const struct members *, int64_t now_ms);

/* Tell everybody at once, as when this entry has left. */
void member_announce(struct members *, int64_t now_ms);

/*
 * What the witnesses say.  Of a registered record the id, incarnation, address
 * and data centre count; listen is its address for callers.
 */
void member_registry_update(struct members *, const struct member_record *,
    const char *listen, int64_t now_ms);
void member_registry_remove(struct members *, const char *id, int64_t now_ms);
/*
 * Around a reading of the whole registry, each key told by
 * member_registry_update in between: who isn't in it has no lease.
 */
void member_registry_begin(struct members *);
void member_registry_loaded(struct members *, int64_t now_ms);
void member_set_vm(
    struct members *, const char *id, enum member_vm, int64_t now_ms);

/*
 * The verdict on an entry, or on one incarnation of it (0: any).  A former
 * incarnation is dead once a later one was seen.  An unknown entry is dead
 * if the registry was read at least silence_ms ago and doesn't have it.
 */
struct member_verdict member_evaluate(const struct members *, const char *id,
    uint64_t incarnation, int64_t now_ms);

/* It told its load in another message. */
void member_set_load(
    struct members *, const char *id, int held, int needed, int64_t now_ms);

/* This entry's own record, to be kept up to date by the caller. */
struct member_record *member_self(struct members *);
/* Say that this entry owns a shard at this epoch. */
void member_own_shard(struct members *, const char *shard, uint64_t epoch);
/* NULL: nobody is known to own it. */
const struct member_shard *member_shard_owner(
    const struct members *, const char *shard);

/* All other members by id; NULL at the end. */
const struct member *member_first(struct members *);
const struct member *member_next(const struct member *);
const struct member *member_find(const struct members *, const char *id);
size_t member_count(const struct members *);
/* Of the members heard of within silence_ms, how many the store answers. */
void member_count_store_reachable(
    const struct members *, int64_t now_ms, size_t *heard, size_t *answered);

const char *member_state_name(enum member_state);

#endif /* MEMBER_H */

#ifndef CREDIT_H
#define CREDIT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * One entry's book of counted credits for the endpoints' slots and
 * connections.  A call is dispatched only on a credit, and the credits that
 * all entries hold for an endpoint never pass its capacity:
 *
 * - Only the owner of a worker's shard makes credits, once for each epoch:
 *   capacity less what the endpoint reports in use when it is fenced.  The
 *   endpoint refuses calls of a lower epoch, so whatever older credits are
 *   still held, or travel in calls not yet arrived, is void.
 * - A credit moves by a message whose sender gave it up first.  A lost message
 *   loses the credit until the next epoch, a repeated one is recognised.
 * - A call whose end isn't known may still run: its credit is abandoned, not
 *   used again, until the next epoch's fence shows what runs.
 *
 * An owner that has restarted must raise the epoch before it mints: of what
 * it gave away at the old one it knows nothing.
 */

#define CREDIT_ID_MAX 64

enum credit_error {
	CREDIT_OK,
	CREDIT_ERR_MEMORY,
	CREDIT_ERR_INVALID, /* a negative or huge amount, or an id too long */
	CREDIT_ERR_UNKNOWN_WORKER,
	CREDIT_ERR_EMPTY, /* no credit left here */
	CREDIT_ERR_LEAVING, /* the worker takes no new calls */
	CREDIT_ERR_OLD_EPOCH,
	CREDIT_ERR_ISSUED, /* this epoch's credits exist already */
	CREDIT_ERR_DUPLICATE,
	CREDIT_ERR_TOO_OLD, /* beyond what duplicates are recognised in */
	CREDIT_ERR_OLD_INCARNATION, /* the sender has restarted since */
	CREDIT_ERR_NOT_FOR_US /* sent to this entry's former incarnation */
};

enum credit_kind {
	CREDIT_CALL, /* one slot and one connection */
	CREDIT_WATCH /* one connection */
};

enum credit_end {
	CREDIT_ENDED, /* answered whole, refused, or never sent */
	CREDIT_ABANDONED /* may still run at the endpoint */
};

struct credit_amount {
	int slots;
	int connections;
};

/* What an owner gave to one peer and hasn't got back. */
struct credit_grant {
	LIST_ENTRY(credit_grant) link;
	char peer[CREDIT_ID_MAX];
	uint64_t incarnation;
	struct credit_amount amount;
};
LIST_HEAD(credit_grants, credit_grant);

/* The book's row for one worker; read only for users. */
struct credit_worker {
	RB_ENTRY(credit_worker) node;
	char worker[CREDIT_ID_MAX];
	char shard[CREDIT_ID_MAX];
	char owner[CREDIT_ID_MAX];
	uint64_t epoch;
	bool issued; /* this entry made the credits of this epoch */
	bool leaving;
	bool fenced; /* refused at this epoch: no credit of it is of use */
	struct credit_amount spare; /* held here, free for a call */
	struct credit_amount busy; /* held here, under a call */
	struct credit_amount older; /* under calls of lower epochs from here */
	struct credit_amount low; /* least spare since the last credit_idle */
	/* Owner only. */
	struct credit_amount capacity;
	struct credit_amount
	    used_at_fence; /* used then, not known to have ended */
	struct credit_amount lost; /* abandoned, or with dead peers */
	struct credit_grants grants;
};

/* A row's spare credits changed, or whether its worker leaves. */
typedef void credit_spare_cb(const struct credit_worker *, void *ctx);

struct credit_options {
	const char *self; /* this entry's id */
	uint64_t incarnation;
	credit_spare_cb *on_spare; /* or NULL; must not change the book */
	void *ctx;
};

/* Whom credits are given to. */
struct credit_peer {
	const char *peer;
	uint64_t incarnation;
};

/* Credits on their way from one entry to another. */
struct credit_transfer {
	char worker[CREDIT_ID_MAX];
	char shard[CREDIT_ID_MAX];
	char owner[CREDIT_ID_MAX];
	uint64_t epoch;
	struct credit_amount amount;
};

/* Which message brought the transfers. */
struct credit_origin {
	const char *from;
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t to_incarnation; /* the receiver's, as the sender knew it */
};

/* What an endpoint reports as in use. */
struct credit_usage {
	struct credit_amount used; /* all calls */
	bool has_older;
	struct credit_amount older; /* calls of lower epochs, if told */
};

struct credit_table;

/* NULL without memory. */
struct credit_table *credit_open(const struct credit_options *);
void credit_close(struct credit_table *);

/*
 * The owner's first answer to a fence at this epoch.  Once an epoch; a second
 * answer is taken as a report and CREDIT_ERR_ISSUED is returned.
 */
enum credit_error credit_issue(struct credit_table *, const char *worker,
    const char *shard, uint64_t epoch, struct credit_amount capacity,
    struct credit_amount used);

/*
 * A later report of the worker, answered at this epoch: credits of calls that
 * ran at the fence and have ended since become spare.  Without has_older only
 * as many as the total in use proves.
 */
enum credit_error credit_report(struct credit_table *, const char *worker,
    uint64_t epoch, const struct credit_usage *);

/* Take a credit for one call; *epoch is what the call must carry. */
enum credit_error credit_take(struct credit_table *, const char *worker,
    enum credit_kind, uint64_t *epoch);
/* The call is over, or out of sight. */
enum credit_error credit_release(struct credit_table *, const char *worker,
    uint64_t epoch, enum credit_kind, enum credit_end);

/*
 * Give spare credits to a peer.  They are gone from the book when this
 * returns; *transfer is the message to send then.
 */
enum credit_error credit_give(struct credit_table *, const char *worker,
    const struct credit_peer *, struct credit_amount,
    struct credit_transfer *transfer);
/* The message certainly wasn't sent: take the credits back. */
void credit_give_cancel(
    struct credit_table *, const char *peer, const struct credit_transfer *);

/*
 * A message with transfers.  Refused as a whole for what the origin says;
 * transfers of older epochs are dropped and counted in *stale.
 */
enum credit_error credit_receive(struct credit_table *,
    const struct credit_origin *, const struct credit_transfer *, size_t count,
    size_t *stale);

/*
 * The endpoint refused with a higher epoch: what is held here of its shard is
 * void, and what comes back under the old epoch too.
 */
void credit_fenced(struct credit_table *, const char *worker, uint64_t epoch);

/*
 * Credits that a borrowing peer abandoned, as it tells the owner, which counts
 * them as lost.
 */
void credit_abandoned(struct credit_table *, const char *peer,
    const char *worker, uint64_t epoch, struct credit_amount);

/* Ask about each peer that has credits from here; a dead one's are lost. */
typedef bool credit_dead_cb(const char *peer, uint64_t incarnation, void *ctx);
/* Returns how many slots were lost so. */
int credit_expire_peers(struct credit_table *, credit_dead_cb *, void *ctx);

/*
 * A borrower's statement: so many slots of the shard it holds, spare or under
 * calls.  One that holds none says nothing.
 */
void credit_set_holding(struct credit_table *, const char *peer,
    const char *shard, uint64_t epoch, int slots, int64_t now_ms);
/*
 * Slots of the shard that nobody is known to hold.  Credits on their way and
 * statements a few seconds old make it go up and down; what stays in it for
 * long was lost with a message.  Statements are forgotten after max_age_ms.
 */
int credit_unaccounted(struct credit_table *, const char *shard, int64_t now_ms,
    int64_t max_age_ms);

/* Lost slots of all workers minted here of that shard. */
int credit_lost(struct credit_table *, const char *shard);

/* The spare credits of a worker that leaves don't count as spare any more. */
void credit_leaving(struct credit_table *, const char *worker, bool leaving);

/*
 * Offer each row whose spare credits weren't all needed since the last call:
 * amount is the least that lay spare.  Borrowers return it to the owner.
 */
typedef void credit_idle_cb(
    const struct credit_worker *, struct credit_amount, void *ctx);
void credit_idle(struct credit_table *, credit_idle_cb *, void *ctx);

/* Rows in order of the worker's id; NULL at the end. */
const struct credit_worker *credit_first(struct credit_table *);
const struct credit_worker *credit_next(const struct credit_worker *);
const struct credit_worker *credit_find(struct credit_table *, const char *);

/* Spare credits in all rows of workers that aren't leaving. */
struct credit_amount credit_spare(const struct credit_table *);

/* Drop a worker's row once the VM is gone; refused while calls are open. */
bool credit_forget(struct credit_table *, const char *worker);

const char *credit_strerror(enum credit_error);

#endif /* CREDIT_H */

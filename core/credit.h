#ifndef CREDIT_H
#define CREDIT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * One entry's table of credits for the slots and connections of endpoints.  A
 * call is dispatched only with a credit, and the credits that all entries hold
 * for an endpoint never exceed its capacity:
 *
 * - Only the owner of a worker's shard issues credits, once per epoch: the
 *   capacity less what the endpoint reports in use when it is fenced.  The
 *   endpoint refuses calls of a lower epoch, so older credits are void whether
 *   they are still held or are carried by calls that have yet to arrive.
 * - A credit is transferred by a message, after the sender has removed it from
 *   its own table.  If the message is lost, the credit is lost until the next
 *   epoch; duplicate messages are detected.
 * - A call with an unknown outcome may still be running.  Its credit is
 *   abandoned and not reused until the fence of the next epoch shows what is
 *   running.
 *
 * An owner that has restarted must raise the epoch before it issues credits,
 * because it does not know which credits of the old epoch it gave away.
 */

#define CREDIT_ID_MAX 64

enum credit_error {
	CREDIT_OK,
	CREDIT_ERR_MEMORY,
	CREDIT_ERR_INVALID, /* amount out of range, or id too long */
	CREDIT_ERR_UNKNOWN_WORKER,
	CREDIT_ERR_EMPTY, /* not enough spare credits */
	CREDIT_ERR_LEAVING, /* the worker is draining */
	CREDIT_ERR_OLD_EPOCH,
	CREDIT_ERR_ISSUED, /* already issued for this epoch */
	CREDIT_ERR_DUPLICATE,
	CREDIT_ERR_TOO_OLD, /* outside the window of duplicate detection */
	CREDIT_ERR_OLD_INCARNATION, /* the sender has restarted since */
	CREDIT_ERR_NOT_FOR_US /* sent to another incarnation of this entry */
};

enum credit_kind {
	CREDIT_CALL, /* one slot and one connection */
	CREDIT_WATCH /* one connection */
};

enum credit_end {
	CREDIT_ENDED, /* answered completely, refused, or never sent */
	CREDIT_ABANDONED /* may still run at the endpoint */
};

struct credit_amount {
	int slots;
	int connections;
};

/* Credits that an owner gave to one peer and has not got back. */
struct credit_grant {
	LIST_ENTRY(credit_grant) link;
	char peer[CREDIT_ID_MAX];
	uint64_t incarnation;
	struct credit_amount amount;
};
LIST_HEAD(credit_grants, credit_grant);

/* The row of one worker; read-only for callers. */
struct credit_worker {
	RB_ENTRY(credit_worker) node;
	char worker[CREDIT_ID_MAX];
	char shard[CREDIT_ID_MAX];
	char owner[CREDIT_ID_MAX];
	uint64_t epoch;
	bool issued; /* by this entry, in this epoch */
	bool draining;
	bool fenced; /* the endpoint refuses credits of this epoch */
	struct credit_amount spare; /* held here, available for calls */
	struct credit_amount busy; /* held here, used by calls */
	struct credit_amount older; /* used by own calls of lower epochs */
	struct credit_amount min_spare; /* since the last credit_idle() */
	/* Only set for the owner. */
	struct credit_amount capacity;
	/* Used by calls that ran at the fence and may still be running. */
	struct credit_amount used_at_fence;
	struct credit_amount lost; /* abandoned, or with dead peers */
	struct credit_grants grants;
};

/* Called when a row's spare credits or its draining flag have changed. */
typedef void credit_spare_cb(const struct credit_worker *, void *ctx);

struct credit_options {
	const char *self; /* this entry's id */
	uint64_t incarnation;
	credit_spare_cb *on_spare; /* or NULL; must not change the table */
	void *ctx;
};

/* The receiver of credits. */
struct credit_peer {
	const char *peer;
	uint64_t incarnation;
};

/* Credits of one worker in a message from one entry to another. */
struct credit_transfer {
	char worker[CREDIT_ID_MAX];
	char shard[CREDIT_ID_MAX];
	char owner[CREDIT_ID_MAX];
	uint64_t epoch;
	struct credit_amount amount;
};

/* Identifies the message that contains the transfers. */
struct credit_origin {
	const char *from;
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t to_incarnation; /* receiver's, as known to the sender */
};

/* Use reported by an endpoint. */
struct credit_usage {
	struct credit_amount used; /* by all calls */
	bool has_older;
	struct credit_amount older; /* by calls of lower epochs */
};

struct credit_table;

/* Returns NULL if out of memory. */
struct credit_table *credit_open(const struct credit_options *);
void credit_close(struct credit_table *);

/*
 * Issues the credits of an epoch, on the endpoint's first response to the
 * owner's fence request.  This is done once per epoch; a second response
 * counts as a report and CREDIT_ERR_ISSUED is returned.
 */
enum credit_error credit_issue(struct credit_table *, const char *worker,
    const char *shard, uint64_t epoch, struct credit_amount capacity,
    struct credit_amount used);

/*
 * Processes a later report of the worker at this epoch.  Credits of calls that
 * were running at the fence and have ended since become spare.  Without
 * has_older, only as many are freed as the total use proves to have ended.
 */
enum credit_error credit_report(struct credit_table *, const char *worker,
    uint64_t epoch, const struct credit_usage *);

/* Takes a credit for one call, which must be sent with *epoch. */
enum credit_error credit_take(struct credit_table *, const char *worker,
    enum credit_kind, uint64_t *epoch);
/* Releases or abandons the credit of a call. */
enum credit_error credit_release(struct credit_table *, const char *worker,
    uint64_t epoch, enum credit_kind, enum credit_end);

/*
 * Gives spare credits to a peer.  On return they are removed from the table,
 * and *transfer is to be sent to the peer.
 */
enum credit_error credit_give(struct credit_table *, const char *worker,
    const struct credit_peer *, struct credit_amount,
    struct credit_transfer *transfer);
/* Takes the credits back.  Only if the message was certainly not sent. */
void credit_give_cancel(
    struct credit_table *, const char *peer, const struct credit_transfer *);

/*
 * Processes a message with transfers.  The message is refused as a whole if
 * its origin is not valid.  Single transfers that are invalid or of an older
 * epoch are dropped and counted in *stale.
 */
enum credit_error credit_receive(struct credit_table *,
    const struct credit_origin *, const struct credit_transfer *, size_t count,
    size_t *stale);

/*
 * To be called when the endpoint refused a call because of a higher epoch.
 * All credits held for its shard are void, including those that are released
 * at the old epoch later.
 */
void credit_fenced(struct credit_table *, const char *worker, uint64_t epoch);

/*
 * Processes a borrower's report to the owner that it abandoned credits, which
 * are counted as lost.
 */
void credit_abandoned(struct credit_table *, const char *peer,
    const char *worker, uint64_t epoch, struct credit_amount);

typedef bool credit_dead_cb(const char *peer, uint64_t incarnation, void *ctx);
/*
 * Calls back for each peer that was given credits.  Credits of dead peers are
 * counted as lost; returns the number of slots lost.
 */
int credit_expire_peers(struct credit_table *, credit_dead_cb *, void *ctx);

/*
 * Records a borrower's report of how many slots of the shard it holds, spare
 * or used by calls.  Borrowers that hold none send no report.
 */
void credit_set_holding(struct credit_table *, const char *peer,
    const char *shard, uint64_t epoch, int slots, int64_t now_ms);
/*
 * Returns the number of issued slots of the shard that nobody is known to
 * hold.  It fluctuates because of credits in transit and of reports that are a
 * few seconds old; slots that stay unaccounted for long were lost with a
 * message.  Holding reports expire after max_age_ms.
 */
int credit_unaccounted(struct credit_table *, const char *shard, int64_t now_ms,
    int64_t max_age_ms);

/* Lost slots of all workers of the shard for which credits were issued here. */
int credit_lost(struct credit_table *, const char *shard);

/* Spare credits of draining workers are not included in credit_spare(). */
void credit_set_draining(
    struct credit_table *, const char *worker, bool draining);

/*
 * Calls back for each row with credits that were not needed since the last
 * call of credit_idle().  The amount is the minimum of the spare credits in
 * that time; borrowers return it to the owner.
 */
typedef void credit_idle_cb(
    const struct credit_worker *, struct credit_amount, void *ctx);
void credit_idle(struct credit_table *, credit_idle_cb *, void *ctx);

/* Rows in order of worker ids; NULL at the end. */
const struct credit_worker *credit_first(struct credit_table *);
const struct credit_worker *credit_next(const struct credit_worker *);
const struct credit_worker *credit_find(struct credit_table *, const char *);

/* Sum of the spare credits of all workers that are not draining. */
struct credit_amount credit_spare(const struct credit_table *);

/* Removes the row of a worker whose VM is gone, unless calls are open. */
bool credit_forget(struct credit_table *, const char *worker);

const char *credit_strerror(enum credit_error);

#endif /* CREDIT_H */

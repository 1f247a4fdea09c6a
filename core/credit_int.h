#ifndef CREDIT_INT_H
#define CREDIT_INT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include "credit.h"

/*
 * Shared by credit.c (rows), creditmove.c (transfers between peers) and
 * creditgrant.c (credits that an owner has given away).
 */

#define CREDIT_AMOUNT_MAX 1000000

/* Sequence numbers received from one peer, to detect duplicate messages. */
struct credit_seen {
	RB_ENTRY(credit_seen) node;
	char peer[CREDIT_ID_MAX];
	uint64_t incarnation;
	uint64_t high; /* highest sequence seen */
	uint64_t bits; /* bit i: high - i was seen */
};

/* The slots of a shard that a borrower held at its last report. */
struct credit_holding {
	LIST_ENTRY(credit_holding) link;
	char peer[CREDIT_ID_MAX];
	char shard[CREDIT_ID_MAX];
	uint64_t epoch;
	int slots;
	int64_t reported_ms;
};
LIST_HEAD(credit_holdings, credit_holding);

RB_HEAD(credit_rows, credit_worker);
RB_HEAD(credit_peers, credit_seen);

struct credit_table {
	char self[CREDIT_ID_MAX];
	uint64_t incarnation;
	struct credit_rows rows;
	struct credit_peers peers;
	struct credit_holdings holdings;
	struct credit_amount spare; /* sum over rows that are not draining */
	credit_spare_cb *on_spare;
	void *ctx;
};

struct credit_worker *credit_row(struct credit_table *, const char *worker);
struct credit_worker *credit_row_ensure(
    struct credit_table *, const char *worker, const char *shard);
void credit_row_set_epoch(
    struct credit_table *, struct credit_worker *, uint64_t epoch);
/* Adds (sign 1) or removes (-1) spare credits of a row. */
void credit_row_add_spare(struct credit_table *, struct credit_worker *,
    struct credit_amount, int sign);
/* With sign -1 the incarnation is ignored and may be 0. */
void credit_grant_add(struct credit_worker *, const char *peer,
    uint64_t incarnation, struct credit_amount, int sign);
void credit_grants_clear(struct credit_worker *);
void credit_amount_add(struct credit_amount *, struct credit_amount, int sign);
bool credit_amount_valid(struct credit_amount);
bool credit_amount_covers(struct credit_amount, struct credit_amount need);
void credit_free_peers(struct credit_table *);
void credit_free_holdings(struct credit_table *);

#endif /* CREDIT_INT_H */

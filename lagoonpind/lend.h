#ifndef LEND_H
#define LEND_H

#include <gsl/gsl_rng.h>

#include "lagoonpind.h"
#include "lending.h"

/*
 * Shared by lend.c, the credit table; borrow.c, requests for credits and
 * grants; and owners.c, reports and returns of borrowers to owners.
 */

/* Search for the lost credits of an owned shard. */
struct shard_recovery {
	struct shard_recovery *next;
	char shard[CREDIT_ID_MAX];
	int64_t raised_ms; /* last epoch raise for lost credits */
	int samples; /* of unaccounted slots in the current window */
	int unaccounted; /* minimum over the window */
};

#define LEND_DEMANDS_MAX 16

/* Calls at this entry that wait for credits of a service. */
struct lend_demand {
	char service[CREDIT_ID_MAX];
	enum credit_kind kind;
	int waiting;
	int64_t reported_ms; /* last lend_request() */
	int64_t asked_ms; /* request sent to a peer; 0: none pending */
	int64_t next_ask_ms; /* no request before */
};

struct lend {
	struct entry *entry;
	struct credit_table *table;
	struct lending_rate wants;
	gsl_rng *rng;
	struct lend_demand demands[LEND_DEMANDS_MAX];
	size_t ndemands;
	struct wire_transfers abandoned; /* to be reported to their owners */
	struct shard_recovery *recoveries;
	lend_changed *on_change;
	void *on_change_ctx;
	lend_lost *on_lost;
	void *on_lost_ctx;
	unsigned int rotation; /* where the next grant starts */
	int64_t returned_ms; /* last return of idle credits */
	int64_t recovered_ms; /* last search for lost credits */
	int64_t holdings_sent_ms; /* last holding reports */
};

/* Registers the message handlers of borrow.c and owners.c. */
void borrow_open(struct entry *);
/* false: the message was certainly not sent. */
bool borrow_send(struct entry *, const char *to, enum wire_type,
    const struct wire_transfers *);

void owners_open(struct entry *);
/* Return idle credits to their owners; all free ones while draining. */
void owners_return(struct entry *);
/* A borrowed credit was abandoned: report it to its owner at the next tick. */
void owners_abandoned(
    struct lend *, const struct credit_worker *, enum credit_kind);
void owners_report_abandoned(struct entry *);
/* Report to each owner the slots of its shards held here. */
void owners_report_held(struct entry *);

#endif /* LEND_H */

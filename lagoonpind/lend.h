#ifndef LEND_H
#define LEND_H

#include <gsl/gsl_rng.h>

#include "lagoonpind.h"
#include "lending.h"

/*
 * Shared by lend.c, the book; borrow.c, asking and granting; and owners.c,
 * what borrowers tell and return to owners.
 */

/* An owned shard's lost credits, and when its epoch was raised for them. */
struct shard_recovery {
	struct shard_recovery *next;
	char shard[CREDIT_ID_MAX];
	int64_t raised_ms;
	int samples; /* for missing slots, in the window that is open */
	int unaccounted; /* the least that was missing in it */
};

#define LEND_DEMANDS_MAX 16

/* Calls that wait here for credits of a service. */
struct lend_demand {
	char service[CREDIT_ID_MAX];
	enum credit_kind kind;
	int waiting;
	int64_t reported_ms; /* when the callers' side said so */
	int64_t asked_ms; /* when a peer was asked; 0: no request is open */
	int64_t next_ask_ms; /* not to look for a peer before */
};

struct lend {
	struct entry *entry;
	struct credit_table *table;
	struct lending_rate wants;
	gsl_rng *rng;
	struct lend_demand demands[LEND_DEMANDS_MAX];
	size_t ndemands;
	struct wire_transfers abandoned; /* to be told to their owners */
	struct shard_recovery *recoveries;
	lend_changed *on_change;
	void *on_change_ctx;
	lend_lost *on_lost;
	void *on_lost_ctx;
	unsigned int rotation;
	int64_t returned_ms;
	int64_t recovered_ms;
	int64_t holdings_sent_ms;
};

/* borrow.c: handles the peers' messages, and owners.c's. */
void borrow_open(struct entry *);
/* false: certainly not sent. */
bool borrow_send(struct entry *, const char *to, enum wire_type,
    const struct wire_transfers *);

void owners_open(struct entry *);
/* Return what lies idle to its owners; all of it while draining. */
void owners_return(struct entry *);
/* A borrowed credit was abandoned: tell its owner with the next tick. */
void owners_abandoned(
    struct lend *, const struct credit_worker *, enum credit_kind);
void owners_report_abandoned(struct entry *);
/* Tell each owner how much of its shards is held here. */
void owners_report_held(struct entry *);

#endif /* LEND_H */

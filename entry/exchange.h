#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/*
 * Requests between entries and their answers.  A message may be late, doubled,
 * or meant for the sender's life before a restart, which numbered its requests
 * alike.  So an answer names the request that it belongs to, and one that
 * belongs to no open request is dropped.
 */

struct node;

/* A request of one life of an entry. */
struct exchange_id {
	uint64_t life; /* the entry's incarnation */
	uint64_t number;
};

/* Why an answer is dropped. */
enum exchange_fault {
	EXCHANGE_OK,
	EXCHANGE_UNNAMED, /* it names no request, as those of older releases */
	EXCHANGE_FORMER_LIFE, /* of the entry that asked */
	EXCHANGE_FORMER_LEADER, /* of the entry that answered */
	EXCHANGE_LATE, /* the request isn't open any more */
	EXCHANGE_DOUBLED
};

/* A new request of this life. */
struct exchange_id exchange_next(struct node *);
void exchange_put(json_t *message, const struct exchange_id *);
/* false: the message names no request. */
bool exchange_get(const json_t *message, struct exchange_id *);
bool exchange_equal(const struct exchange_id *, const struct exchange_id *);
/* Whether the answer is one to a request of this life, which it sets. */
enum exchange_fault exchange_check(
    const struct node *, const json_t *answer, struct exchange_id *);
/* Logs and counts an answer that is dropped. */
void exchange_drop(const char *kind, enum exchange_fault);

#endif /* EXCHANGE_H */

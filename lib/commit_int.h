#ifndef COMMIT_INT_H
#define COMMIT_INT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include "commit.h"

/* Shared by the group commit sources. */

struct commit_item {
	STAILQ_ENTRY(commit_item) link; /* puts of one key, in order */
	char *value;
	size_t len;
	int64_t expected;
	int64_t lease;
	struct store_op *also;
	size_t nalso;
	/* a transaction with it got no response; it may be applied */
	bool outcome_unknown;
	/* sent alone: a transaction that it shared was refused */
	bool exclusive;
	enum store_error refusal; /* of the retry, if outcome_unknown */
	commit_done *done;
	void *ctx;
};

TAILQ_HEAD(commit_key_list, commit_key);

/* Only the first put of a key can be in flight or of unknown outcome. */
struct commit_key {
	RB_ENTRY(commit_key) node;
	TAILQ_ENTRY(commit_key) link;
	struct commit_key_list *list; /* that link is in */
	STAILQ_HEAD(commit_items, commit_item) items;
	char *name;
};

RB_HEAD(commit_keys, commit_key);

enum commit_in_flight { IN_FLIGHT_NONE, IN_FLIGHT_PUTS, IN_FLIGHT_READ_BACK };

struct commit {
	struct commit_options options;
	struct commit_keys keys;
	struct commit_key_list ready; /* first put can be sent */
	struct commit_key_list sent; /* in transaction order */
	struct commit_key_list unresolved; /* to be read back */
	size_t pending;
	enum commit_in_flight in_flight;
	int64_t next_send_ms;
	int64_t read_back_due_ms;
	int64_t read_back_wait_ms;
	int busy; /* call depth; not freed while above 0 */
	bool closing;
};

/* commit_txn.c: a transaction under construction. */
struct commit_batch {
	struct store_compare *compares;
	struct store_op *success;
	struct store_op *failure;
	size_t nkeys;
	size_t nsuccess;
	size_t bytes;
	size_t max_ops;
	size_t max_bytes;
};

int commit_batch_open(struct commit_batch *, size_t max_ops, size_t max_bytes);
void commit_batch_close(struct commit_batch *);
/* Add the first put, or a read, of a key; false when it doesn't fit. */
bool commit_batch_put(struct commit_batch *, const struct commit_key *);
bool commit_batch_get(struct commit_batch *, const struct commit_key *);

struct commit_item *commit_item_new(const struct commit_request *);
void commit_item_free(struct commit_item *);

#endif /* COMMIT_INT_H */

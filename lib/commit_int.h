#ifndef COMMIT_INT_H
#define COMMIT_INT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include "commit.h"

/* What the files of the group commit share. */

struct commit_item {
	STAILQ_ENTRY(commit_item) link; /* of its key, in the order queued */
	char *value;
	size_t len;
	int64_t expected;
	int64_t lease;
	struct store_op *also;
	size_t nalso;
	bool outcome_unknown; /* an answer was lost: it may be or yet come there
			       */
	bool exclusive; /* shares no transaction: one that it was in was refused
			 */
	enum store_error refusal; /* why, while it is in doubt */
	commit_done *done;
	void *ctx;
};

TAILQ_HEAD(commit_key_list, commit_key);

/* Only the first put of a key is ever under way or in doubt. */
struct commit_key {
	RB_ENTRY(commit_key) node;
	TAILQ_ENTRY(commit_key) link;
	struct commit_key_list *list; /* the one that it is in */
	STAILQ_HEAD(commit_items, commit_item) items;
	char *name;
};

RB_HEAD(commit_keys, commit_key);

enum commit_in_flight { IN_FLIGHT_NONE, IN_FLIGHT_PUTS, IN_FLIGHT_READ_BACK };

struct commit {
	struct commit_options options;
	struct commit_keys keys;
	struct commit_key_list ready; /* their first put can be sent */
	struct commit_key_list sent; /* in the order of the transaction */
	struct commit_key_list unresolved; /* to be read back */
	size_t pending;
	enum commit_in_flight in_flight;
	int64_t next_send_ms;
	int64_t read_back_due_ms;
	int64_t read_back_wait_ms;
	int busy; /* depth of callbacks in which it isn't freed */
	bool closing;
};

/* commit_txn.c: the transaction being put together. */
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
/* False when it doesn't fit any more. */
bool commit_batch_put(struct commit_batch *, const struct commit_key *);
bool commit_batch_get(struct commit_batch *, const struct commit_key *);

struct commit_item *commit_item_new(const struct commit_request *);
void commit_item_free(struct commit_item *);

#endif /* COMMIT_INT_H */

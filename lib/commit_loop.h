#ifndef COMMIT_LOOP_H
#define COMMIT_LOOP_H

#include <uv.h>

#include "commit.h"

/* Group commit that uses a store client, driven by an event loop. */

struct commit_loop;

struct commit_loop_options {
	uv_loop_t *loop;
	struct store *store; /* must not be closed before the commit_loop */
	int64_t commit_ms; /* minimum interval between transactions */
};

/* Returns NULL when out of memory. */
struct commit_loop *commit_loop_open(const struct commit_loop_options *);
/* Ends every put.  Freed in the loop once no transaction is in flight. */
void commit_loop_close(struct commit_loop *);

/* Same as commit_put(). */
enum store_error commit_loop_put(
    struct commit_loop *, const struct commit_request *);
/* For commit_is_pending() and commit_pending(). */
const struct commit *commit_loop_commit(const struct commit_loop *);
/* Calls commit_tick(); called by a loop timer, and by tests. */
void commit_loop_tick(struct commit_loop *, int64_t now_ms);

#endif /* COMMIT_LOOP_H */

#ifndef KEPTLIST_H
#define KEPTLIST_H

#include <sys/tree.h>

#include "scheduler.h"

/*
 * The last list of running tasks that a worker gave, by the number of the look
 * that brought it.  A member and its leader keep the same one, so that the next
 * answer has to say only what changed: a row shrinks to less than a fourth.
 */

struct kept_list {
	RB_ENTRY(kept_list) by_worker;
	char worker[SCHED_WORKER_ID_MAX];
	uint64_t number; /* of the look */
	int64_t used_ms;
	struct poll_running *rows;
	size_t n;
	char *texts; /* of the rows' checkpoints */
};
RB_HEAD(kept_lists, kept_list);

void kept_init(struct kept_lists *);
void kept_free(struct kept_lists *);
/* NULL: none is kept, or it is that of another look. */
const struct kept_list *kept_find(
    struct kept_lists *, const char *worker, uint64_t number);
/* The number of the worker's list; 0: none is kept. */
uint64_t kept_number(struct kept_lists *, const char *worker);
/* The rows are copied.  Without memory none is kept. */
void kept_set(struct kept_lists *, const char *worker, uint64_t number,
    const struct poll_running *, size_t n, int64_t now_ms);
void kept_drop(struct kept_lists *, const char *worker);
/* Forget lists of workers that weren't asked for long. */
void kept_expire(struct kept_lists *, int64_t now_ms);

#endif /* KEPTLIST_H */

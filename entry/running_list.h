#ifndef RUNNING_LIST_H
#define RUNNING_LIST_H

#include <sys/tree.h>

#include "scheduler.h"

/*
 * The last list of running tasks that a worker gave, by the number of the look
 * that brought it.  A member and its leader keep the same one, so that the next
 * answer has to say only what changed: a row shrinks to less than a fourth.
 */

struct running_list {
	RB_ENTRY(running_list) by_worker;
	char worker[SCHED_WORKER_ID_MAX];
	uint64_t number; /* of the look */
	int64_t used_ms;
	struct poll_running *rows;
	size_t n;
	char *texts; /* of the rows' checkpoints */
};
RB_HEAD(running_lists, running_list);

void running_lists_init(struct running_lists *);
void running_lists_free(struct running_lists *);
/* NULL: none is kept, or it is that of another look. */
const struct running_list *running_list_find(
    struct running_lists *, const char *worker, uint64_t number);
/* The number of the worker's list; 0: none is kept. */
uint64_t running_list_number(struct running_lists *, const char *worker);
/* The rows are copied.  Without memory none is kept. */
void running_list_put(struct running_lists *, const char *worker,
    uint64_t number, const struct poll_running *, size_t n, int64_t now_ms);
void running_list_remove(struct running_lists *, const char *worker);
/* Forget lists of workers that weren't asked for long. */
void running_lists_expire(struct running_lists *, int64_t now_ms);

#endif /* RUNNING_LIST_H */

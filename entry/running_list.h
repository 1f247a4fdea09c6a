#ifndef RUNNING_LIST_H
#define RUNNING_LIST_H

#include <sys/tree.h>

#include "scheduler.h"

/*
 * The last list of running tasks of each worker, identified by the number of
 * the poll that returned it.  The member and the leader hold the same list, so
 * the next answer is encoded as a delta to it, which takes less than a fourth
 * of the bytes of a full row.
 */

struct running_list {
	RB_ENTRY(running_list) by_worker;
	char worker[SCHED_WORKER_ID_MAX];
	uint64_t number; /* of the poll */
	int64_t updated_ms;
	struct poll_running *rows;
	size_t n;
	char *texts; /* storage of the rows' checkpoints */
};
RB_HEAD(running_lists, running_list);

void running_lists_init(struct running_lists *);
void running_lists_free(struct running_lists *);
/* Returns NULL if there is no list of the worker from that poll. */
const struct running_list *running_list_find(
    struct running_lists *, const char *worker, uint64_t number);
/* Returns the poll number of the worker's list, 0 if there is none. */
uint64_t running_list_number(struct running_lists *, const char *worker);
/*
 * Replace the worker's list with a copy of the rows.  If out of memory, the
 * worker has no list afterwards.
 */
void running_list_put(struct running_lists *, const char *worker,
    uint64_t number, const struct poll_running *, size_t n, int64_t now_ms);
void running_list_remove(struct running_lists *, const char *worker);
/* Remove lists of workers that have not been polled for some time. */
void running_lists_expire(struct running_lists *, int64_t now_ms);

#endif /* RUNNING_LIST_H */

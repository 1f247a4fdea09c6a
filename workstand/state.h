#ifndef STATE_H
#define STATE_H

#include <sys/queue.h>

#include "worker.h"

/*
 * The inside of a worker, shared by worker.c (messages of the owners), run.c
 * (the passing of time) and room.c (what is in use).
 */

#define TASK_SLOTS 256

enum task_state {
	TASK_RUNNING,
	TASK_CHECKPOINTING,
	TASK_ENDED, /* finished, failed, stopped, or never to be started */
	TASK_CHECKPOINTED
};

struct shard_epoch {
	SLIST_ENTRY(shard_epoch) link;
	char *shard;
	int64_t epoch;
	struct worker_calls calls; /* of this epoch */
	struct worker_calls older; /* of lower epochs */
};

/* The highest attempt seen of a task; kept after its end, since a late start
 * of the same or an older attempt must be refused. */
struct task {
	SLIST_ENTRY(task) link;
	TAILQ_ENTRY(task) running;
	TAILQ_ENTRY(task) end;
	char *id;
	const char *shard; /* of its shard_epoch */
	int64_t attempt;
	enum task_state state;
	bool end_waits; /* in the list of ends */
	enum worker_outcome outcome;
	struct worker_start start; /* sizes only, the strings aren't kept */
	int64_t started_ms;
	int64_t lease_until_ms;
	int64_t checkpoint_due_ms;
	int64_t updated_ms;
	double progress_ms;
	int percent;
};

SLIST_HEAD(task_slot, task);
TAILQ_HEAD(task_list, task);
SLIST_HEAD(epoch_list, shard_epoch);

struct worker {
	struct worker_options options;
	struct worker_record record;
	struct worker_room used;
	struct epoch_list epochs;
	struct task_slot tasks[TASK_SLOTS];
	struct task_list running;
	struct task_list ends;
	bool fail_tasks;
	bool leaving;
	bool refuse;
	int64_t leaving_since_ms;
};

/* worker.c: NULL when no owner has been heard of. */
struct shard_epoch *epoch_find(struct worker *, const char *shard);

/* run.c */
void task_run(struct worker *, struct task *, int64_t now_ms);
/* Leave the running ones; done goes to the witness. */
void task_end(
    struct worker *, struct task *, enum task_state, bool done, int64_t now_ms);

/* room.c */
bool room_fits(const struct worker *, const struct worker_start *);
void room_take(struct worker *, const struct worker_start *);
void room_give(struct worker *, const struct worker_start *);
/* Count work that arrives while the worker leaves; true: refuse it. */
bool room_leaving(struct worker *, uint64_t *count, int64_t now_ms);

#endif /* STATE_H */

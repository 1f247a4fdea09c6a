#ifndef WORKER_H
#define WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * One worker of the platform as plain state: the highest epoch seen of each
 * shard, tasks with their leases and attempts, and the room in use.  No I/O;
 * the time is passed in.
 */

struct worker;
struct witness;

enum worker_error {
	WORKER_OK,
	WORKER_ERR_FENCED, /* a lower epoch than the highest seen */
	WORKER_ERR_NO_ROOM, /* beyond processors, memory or accelerators */
	WORKER_ERR_STALE, /* attempt stopped, finished or overtaken */
	WORKER_ERR_UNKNOWN, /* no such task and attempt */
	WORKER_ERR_FULL, /* no free slot or connection for a call */
	WORKER_ERR_LEAVING, /* the worker leaves and takes no new work */
	WORKER_ERR_MEMORY
};
#define WORKER_NERRORS (WORKER_ERR_MEMORY + 1)

enum worker_outcome {
	WORKER_OUTCOME_DONE,
	WORKER_OUTCOME_FAILED,
	WORKER_OUTCOME_LEASE_EXPIRED
};

struct worker_room {
	int64_t cpu_millis;
	int64_t memory_mib;
	int64_t accelerators;
	int64_t slots;
	int64_t connections;
};

/* Calls in flight. */
struct worker_calls {
	int64_t slots;
	int64_t connections;
};

struct worker_task_ref {
	const char *shard;
	int64_t epoch;
	const char *task;
	int64_t attempt;
};

struct worker_start {
	struct worker_task_ref ref;
	int64_t lease_ms;
	int64_t cpu_millis;
	int64_t memory_mib;
	int64_t accelerators;
	const char *checkpoint; /* token of an earlier attempt, or "" */
	int64_t run_ms; /* work to do at full speed */
	double noise; /* how much calls beside it slow down; 0: not at all */
	bool fail; /* ends as failed once run_ms is over */
	int64_t cpu_used_millis; /* really used; 0: as declared */
	int64_t memory_used_mib; /* really used; 0: as declared */
	int64_t checkpoint_ms; /* how long writing a checkpoint takes */
};

/* A running task or an end that the owner hasn't acknowledged. */
struct worker_task {
	const char *task;
	int64_t attempt;
	int64_t started_ms;
	int64_t cpu_used_millis;
	int64_t memory_used_mib;
	enum worker_outcome outcome; /* ends only */
};

typedef void worker_task_visit(const struct worker_task *, void *ctx);

/* The epoch of a shard went up, or an end waits for the owner. */
typedef void worker_changed(struct worker *, const char *shard, void *ctx);
/* The checkpoint asked for is written and the task has stopped. */
typedef void worker_checkpointed(struct worker *, const char *task,
    int64_t attempt, int64_t progress_ms, void *ctx);

struct worker_options {
	const char *id; /* must outlive the worker */
	struct worker_room capacity;
	/* Take work beyond the capacity and record it, instead of refusing:
	 * what is in use then shows what the scheduler really sent. */
	bool accept_over;
	struct witness *witness;
	worker_changed *on_changed;
	worker_checkpointed *on_checkpointed;
	void *ctx;
};

/* What a proof needs to know. */
struct worker_record {
	struct worker_room most_used;
	uint64_t refused[WORKER_NERRORS];
	uint64_t over_capacity_starts; /* asked for, accepted or not */
	uint64_t over_capacity_calls;
	uint64_t two_attempts; /* a start while an older attempt ran here */
	uint64_t leases_expired;
	uint64_t starts_while_leaving;
	uint64_t calls_while_leaving;
	int64_t last_while_leaving_ms; /* after leaving began; -1: none */
};

struct worker *worker_open(const struct worker_options *);
void worker_close(struct worker *);
const char *worker_id(const struct worker *);

/* Every message of an owner: refuse or raise the epoch. */
enum worker_error worker_fence(
    struct worker *, const char *shard, int64_t epoch);
/* Highest epoch seen of the shard, 0 for none. */
int64_t worker_epoch(struct worker *, const char *shard);

enum worker_error worker_start_task(
    struct worker *, const struct worker_start *, int64_t now_ms);
enum worker_error worker_stop(
    struct worker *, const struct worker_task_ref *, int64_t now_ms);
/*
 * The task goes on until the checkpoint is written; then on_checkpointed is
 * called, from within this call if that takes no time.  A repeat for an
 * attempt already checkpointed calls on_checkpointed again.
 */
enum worker_error worker_checkpoint(
    struct worker *, const struct worker_task_ref *, int64_t now_ms);
enum worker_error worker_throttle(struct worker *,
    const struct worker_task_ref *, int percent, int64_t now_ms);
enum worker_error worker_renew(struct worker *, const char *shard,
    int64_t epoch, int64_t lease_ms, int64_t now_ms);
/* The owner has noted this end; it isn't reported again. */
void worker_ack(struct worker *, const char *task, int64_t attempt);

void worker_each_running(
    struct worker *, const char *shard, worker_task_visit *, void *ctx);
void worker_each_end(
    struct worker *, const char *shard, worker_task_visit *, void *ctx);
bool worker_has_end(struct worker *, const char *shard);

/* Advance the work, end what is finished and whose lease has run out. */
void worker_tick(struct worker *, int64_t now_ms);
/* Every task fails as soon as it is looked at. */
void worker_fail_tasks(struct worker *, bool);

/* A call takes a slot and a connection, a standing watch a connection. */
enum worker_error worker_call_begin(struct worker *, const char *shard,
    int64_t epoch, bool watch, int64_t now_ms);
void worker_call_end(
    struct worker *, const char *shard, int64_t epoch, bool watch);
/* Calls in flight that began at a lower epoch than the shard's. */
struct worker_calls worker_older_calls(struct worker *, const char *shard);
/* How many times longer a call takes beside the tasks that run here. */
double worker_slowdown(const struct worker *);

/* refuse: new work gets WORKER_ERR_LEAVING; else it is taken and counted. */
void worker_leave(struct worker *, bool leaving, bool refuse, int64_t now_ms);

const struct worker_room *worker_used(const struct worker *);
const struct worker_room *worker_capacity(const struct worker *);
const struct worker_record *worker_get_record(const struct worker *);

const char *worker_strerror(enum worker_error);
const char *worker_outcome_name(enum worker_outcome);

#endif /* WORKER_H */

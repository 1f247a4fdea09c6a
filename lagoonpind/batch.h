#ifndef BATCH_H
#define BATCH_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bind.h"
#include "commit_loop.h"
#include "evict.h"
#include "job.h"
#include "lagoonpind.h"
#include "learn.h"
#include "ledger.h"
#include "ledger_json.h"
#include "shard.h"

/*
 * The batch side of the daemon.  A task passes through the files in this
 * order: task_accept, task_bind, task_start, task_watch, task_evict,
 * task_finish.  task_own takes and hands over shards, task_write writes
 * ledgers, task_inbox reads what is handed to a shard, task_record keeps job
 * records, task_call speaks with workers, task_job, task_cancel and
 * task_state answer operators.
 */

#define BATCH_KEY_MAX 320 /* bytes of a store key with its NUL */
#define BATCH_LEDGER_PREFIX "lp/ledger/"
#define BATCH_INBOX_PREFIX "lp/w/inbox/"
#define BATCH_JOB_PREFIX "lp/job/"
#define BATCH_SHARDS_MAX 1024 /* of the deployment */
#define BATCH_LIVE_MAX 256 /* entries */
#define BATCH_SERVICES_MAX 4 /* measured services of a worker */

/* An inbox item of a shard that we own. */
struct inbox_entry {
	TAILQ_ENTRY(inbox_entry) link;
	char *key;
	int64_t revision;
	int64_t accepted_revision; /* the revision that a write of ours takes
				      over */
	bool listed; /* in the load being applied */
	struct inbox_item item;
};
TAILQ_HEAD(inbox_entries, inbox_entry);

enum inbox_phase { INBOX_UNREAD, INBOX_READING, INBOX_READY };

struct record_policy;
struct batch_shard {
	TAILQ_ENTRY(batch_shard) link;
	struct batch *batch;
	char name[LEDGER_SHARD_MAX];
	struct ledger *ledger; /* NULL: not ours */
	bool announced; /* peers know that it is ours */
	bool lost; /* the ledger is to be closed */
	enum ledger_lost lost_reason;
	bool reading; /* the record, to see whether to take it */
	int64_t next_try_ms;
	int64_t found_ms; /* first seen without an owner, for logs; 0: owned */
	uint64_t min_epoch; /* a worker has seen this one */
	struct shard_home_watch home;
	enum inbox_phase inbox;
	int64_t inbox_revision; /* of the read that followed the takeover */
	struct inbox_entries items;
	int64_t write_sent_ms;
	uint64_t writes; /* started; tells answers of an older ledger apart */
};
TAILQ_HEAD(batch_shards, batch_shard);

/* A throttle that was asked for. */
struct batch_throttle {
	TAILQ_ENTRY(batch_throttle) link;
	char task[LEDGER_TASK_ID_MAX];
	uint32_t attempt;
	int percent;
};
TAILQ_HEAD(batch_throttles, batch_throttle);

struct batch_service {
	char name[FLEET_ID_MAX];
	struct evict_service state;
	int64_t calls; /* there, as last reported */
};

/* What is learnt of a worker; outlives ownership of its shard. */
struct batch_worker {
	SLIST_ENTRY(batch_worker) link;
	char id[LEDGER_ID_MAX];
	uint64_t hash;
	struct bind_worker bind;
	int64_t work_at_ms; /* when bind.work_ms was last summed up */
	struct learn_worker *learn;
	struct batch_service services[BATCH_SERVICES_MAX];
	size_t nservices;
	struct batch_throttles throttles;
	int64_t evicted_ms; /* the last eviction for a service there; 0: none */
};
SLIST_HEAD(batch_worker_list, batch_worker);

enum record_phase { RECORD_LOADING, RECORD_READY, RECORD_MISSING };

/* A job's record as this entry keeps it. */
struct batch_job {
	SLIST_ENTRY(batch_job) link;
	char id[LEDGER_ID_MAX];
	uint64_t hash;
	enum record_phase phase;
	bool cancelled;
	bool queued; /* waits for the next read */
	int64_t used_ms;
	int64_t retry_ms;
	struct job job; /* when ready */
	int kind; /* of core/learn */
	struct learn_job learn;
	struct health_job health;
};
SLIST_HEAD(batch_job_list, batch_job);

#define BATCH_JOB_BUCKETS 1024
#define BATCH_WORKER_BUCKETS 256

struct worker_call;
TAILQ_HEAD(worker_calls, worker_call);
struct pending_request;
LIST_HEAD(pending_requests, pending_request);

struct batch {
	struct entry *entry;
	struct commit_loop *commit;
	struct watch_handler watch;
	struct batch_shards shards;
	struct batch_worker_list workers[BATCH_WORKER_BUCKETS];
	struct batch_job_list jobs[BATCH_JOB_BUCKETS];
	bool records_reading;
	int64_t last_sweep_ms;
	int64_t next_retire_ms; /* next round */
	struct worker_calls calls;
	struct pending_requests requests; /* of operators, on their way */
	struct learn *learn;
	struct ledger_actions actions;
	struct shard_options shard_options;
	uint64_t random; /* state of the generator */
	uint64_t nonce; /* part of inbox items' names */
};

/* batch.c */
struct batch_shard *batch_shard_find(struct batch *, const char *name);
/* Made on first use; NULL: no memory. */
struct batch_shard *batch_shard_get(struct batch *, const char *name);
/* Send what is due and close what was lost; after every event. */
void batch_step(struct batch_shard *, int64_t now_ms);
struct batch_worker *batch_worker_get(struct batch *, const char *id);
uint64_t batch_worker_hash(const char *id);
uint64_t batch_random(struct batch *);
/* Note the VM in the ledger. */
void batch_worker_update(struct batch_shard *, struct vm *, int64_t now_ms);

/* task_own.c */
void own_tick(struct batch_shard *, int64_t now_ms);
void own_on_lost(struct ledger *, enum ledger_lost, void *ctx);
/* Close a lost ledger and what goes with it. */
void own_close(struct batch_shard *, int64_t now_ms);
/* The live entries' ids, this one included; returns how many. */
size_t own_live_entries(
    struct batch *, const char **ids, size_t max, int64_t now_ms);

/* task_write.c: the store side of ledger_actions. */
void write_ledger(struct ledger *, void *ctx);
void read_ledger(struct ledger *, void *ctx);

/* task_inbox.c */
void inbox_open(struct batch *);
void inbox_tick(struct batch_shard *, int64_t now_ms);
void inbox_clear(struct batch_shard *);
const char *inbox_key(
    const char *shard, const char *item, char *buf, size_t size);

/* task_record.c */
/* The record, loaded when first asked for; NULL: no memory. */
struct batch_job *record_get(struct batch *, const char *id, int64_t now_ms);
/* The record if it is there already. */
struct batch_job *record_find(struct batch *, const char *id);
void record_tick(struct batch *, int64_t now_ms);
void record_close(struct batch *);

/* task_retire.c */
void retire_tick(struct batch *, int64_t now_ms);

/* task_bind.c */
struct ledger_worker *pick_worker(
    struct ledger *, struct ledger_task *, int64_t now_ms, void *ctx);

/* task_weights.c: scale a decision's own weights by the operators' policy. */
void weights_scale(const struct record_policy *, double *tail,
    double *throughput, double *eviction);

/* task_quota.c */
enum quota_verdict {
	QUOTA_OK,
	QUOTA_FULL, /* the team's share of this shard is used up */
	QUOTA_ELSEWHERE /* the team has no share here */
};
/* May the team of this job have so much more bound in the shard? */
enum quota_verdict quota_check(struct batch_shard *, const struct batch_job *,
    const struct resources *size);
/* The shards in which the team may run tasks; returns how many. */
size_t quota_shards(
    struct batch *, const char *team, const char **shards, size_t max);

/* task_start.c: the worker side of ledger_actions. */
void start_task(struct ledger *, struct ledger_task *, void *ctx);
void stop_task(struct ledger *, struct ledger_task *, void *ctx);
void checkpoint_task(struct ledger *, struct ledger_task *, void *ctx);
void stop_stray(struct ledger *, struct ledger_worker *, const char *task,
    uint32_t attempt, void *ctx);

/* task_watch.c */
void fence_worker(struct ledger *, struct ledger_worker *, void *ctx);
void renew_worker(struct ledger *, struct ledger_worker *, void *ctx);

/* task_evict.c */
/* The calls of a service there, announced with each measurement of it. */
void evict_note_calls(struct batch_worker *, const char *name, int64_t calls);
/* A late measurement of a service arrived. */
void evict_on_measurement(struct batch_shard *, struct ledger_worker *,
    const char *name, double p99_ms, int64_t measured_ms, int64_t now_ms);
/* Make room for urgent tasks, move and give up what can't run here. */
void evict_tick(struct batch_shard *, int64_t now_ms);
/* The throttles of attempts that are over are forgotten. */
void evict_forget_throttles(struct batch_worker *, const char *task);

/* task_finish.c */
/* The attempt as core/learn knows it. */
uint64_t task_tenant(const char *task, uint32_t attempt);
/* The attempt no longer runs on the worker. */
void finish_attempt(struct batch_shard *, const char *worker, const char *task,
    uint32_t attempt, int64_t now_ms);
void finish_outcome(struct ledger *, struct ledger_task *,
    struct ledger_worker *, enum task_outcome, void *ctx);
void finish_ended(struct ledger *, struct ledger_task *, void *ctx);

/* task_call.c */
enum worker_call_kind {
	WORKER_FENCE,
	WORKER_RENEW,
	WORKER_START,
	WORKER_STOP,
	WORKER_CHECKPOINT,
	WORKER_THROTTLE,
	WORKER_STOP_STRAY
};

struct json_t;

struct worker_call {
	TAILQ_ENTRY(worker_call) link;
	struct batch *batch;
	enum worker_call_kind kind;
	char shard[LEDGER_SHARD_MAX];
	uint64_t epoch;
	char worker[LEDGER_ID_MAX];
	char task[LEDGER_TASK_ID_MAX];
	uint32_t attempt;
	struct httpc_call *http; /* NULL: couldn't be sent, fails on the tick */
	enum call_result failure;
};

/*
 * Send a call for the shard's ledger; the body gets shard and epoch.  Takes
 * the reference of the body.  An answer, or the failure, always follows.
 */
void call_worker(struct batch_shard *, enum worker_call_kind,
    struct ledger_worker *, const char *task, uint32_t attempt,
    struct json_t *body, int64_t timeout_ms);
/* A call that can't be sent for a reason of ours. */
void call_not_ready(struct batch_shard *, enum worker_call_kind,
    struct ledger_worker *, const char *task, uint32_t attempt);
void call_tick(struct batch *, int64_t now_ms);
/* Cut what is on its way for the shard: nothing more is sent in its name. */
void call_cancel(struct batch *, const char *shard);
/* Hand an answer on; body is the answer's JSON or NULL. */
void start_answered(struct batch_shard *, const struct worker_call *,
    enum call_result, struct json_t *body, int64_t now_ms);
void watch_answered(struct batch_shard *, const struct worker_call *,
    enum call_result, struct json_t *body, int64_t now_ms);

/*
 * What waits for the store, with or without an operator's request.  The
 * store's callback finds batch NULL after batch_close() and only frees.
 */
struct pending_request {
	LIST_ENTRY(pending_request) link;
	struct batch *batch;
	struct httpd_request *http; /* NULL: none, or the operator went away */
};
void request_begin(
    struct batch *, struct pending_request *, struct httpd_request *);
void request_end(struct pending_request *);
/* For httpd_on_disconnect, with the pending_request as ctx. */
void request_gone(struct httpd_request *, void *ctx);

/* task_accept.c, task_job.c, task_cancel.c, task_state.c */
bool accept_http(struct entry *, struct httpd_request *);
bool job_http(struct entry *, struct httpd_request *);
/* Cancel one job, or, with id NULL, those that the body names. */
void cancel_http(struct entry *, struct httpd_request *, const char *id);
bool state_http(struct entry *, struct httpd_request *);
bool state_explain(
    struct entry *, struct httpd_request *, const char *kind, const char *id);
/* A name of an inbox item that no other entry and no former run uses. */
void batch_item_name(struct batch *, char *buf, size_t size);

#endif /* BATCH_H */

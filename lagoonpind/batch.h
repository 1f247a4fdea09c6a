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
 * The batch module of the daemon.  A task passes through the files in this
 * order: task_accept, task_bind, task_start, task_watch, task_evict,
 * task_finish.  task_own acquires and hands over shards, task_write writes
 * ledgers, task_inbox reads the inboxes of shards, task_record caches job
 * records, task_call sends calls to workers, and task_job, task_cancel and
 * task_state serve the operators' API.
 */

#define BATCH_KEY_MAX 320 /* bytes of a store key with its NUL */
#define BATCH_LEDGER_PREFIX "lp/ledger/"
#define BATCH_INBOX_PREFIX "lp/w/inbox/"
#define BATCH_JOB_PREFIX "lp/job/"
#define BATCH_SHARDS_MAX 1024 /* in the deployment */
#define BATCH_LIVE_MAX 256 /* live entries */
#define BATCH_SERVICES_MAX 4 /* measured services per worker */

/* An inbox item of a shard that this entry owns. */
struct inbox_entry {
	TAILQ_ENTRY(inbox_entry) link;
	char *key;
	int64_t revision;
	int64_t accepted_revision; /* revision accepted into the ledger */
	bool listed; /* present in the listing being applied */
	struct inbox_item item;
};
TAILQ_HEAD(inbox_entries, inbox_entry);

enum inbox_phase { INBOX_UNREAD, INBOX_READING, INBOX_READY };

struct record_policy;
struct batch_shard {
	TAILQ_ENTRY(batch_shard) link;
	struct batch *batch;
	char name[LEDGER_SHARD_MAX];
	struct ledger *ledger; /* NULL: not owned by this entry */
	bool announced; /* ownership is announced to the peers */
	bool lost; /* the ledger is to be closed */
	enum ledger_lost lost_reason;
	bool reading; /* a read of the record is in flight */
	int64_t next_try_ms;
	int64_t found_ms; /* first seen without an owner, for logs; 0: owned */
	uint64_t min_epoch; /* highest epoch that a worker has seen */
	struct shard_owner_watch home;
	enum inbox_phase inbox;
	int64_t inbox_revision; /* of the read after the takeover */
	struct inbox_entries items;
	int64_t write_sent_ms;
	uint64_t writes; /* number of the last; results of others are ignored */
};
TAILQ_HEAD(batch_shards, batch_shard);

/* A throttle that was sent to the worker. */
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
	int64_t calls; /* on this worker, as last reported */
};

/* Learned state of a worker; kept when ownership of its shard ends. */
struct batch_worker {
	SLIST_ENTRY(batch_worker) link;
	char id[LEDGER_ID_MAX];
	uint64_t hash;
	struct bind_worker bind;
	int64_t work_at_ms; /* when bind.work_ms was last computed */
	struct learn_worker *learn;
	struct batch_service services[BATCH_SERVICES_MAX];
	size_t nservices;
	struct batch_throttles throttles;
	int64_t evicted_ms; /* last eviction to protect a service; 0: none */
};
SLIST_HEAD(batch_worker_list, batch_worker);

enum record_phase { RECORD_LOADING, RECORD_READY, RECORD_MISSING };

/* A cached job record. */
struct batch_job {
	SLIST_ENTRY(batch_job) link;
	char id[LEDGER_ID_MAX];
	uint64_t hash;
	enum record_phase phase;
	bool cancelled;
	bool queued; /* for the next read */
	int64_t used_ms;
	int64_t retry_ms;
	struct job job; /* valid when RECORD_READY */
	int kind; /* kind of task in core/learn */
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
	int64_t next_retire_ms;
	struct worker_calls calls;
	struct pending_requests requests;
	struct learn *learn;
	struct ledger_actions actions;
	struct shard_options shard_options;
	uint64_t random; /* state of the generator */
	uint64_t nonce; /* part of the names of inbox items */
};

/* batch.c */
struct batch_shard *batch_shard_find(struct batch *, const char *name);
/* Creates the shard on first use; NULL: out of memory. */
struct batch_shard *batch_shard_get(struct batch *, const char *name);
/*
 * Send what is due, and close the ledger if ownership was lost.  Call it after
 * every event.
 */
void batch_step(struct batch_shard *, int64_t now_ms);
struct batch_worker *batch_worker_get(struct batch *, const char *id);
uint64_t batch_worker_hash(const char *id);
uint64_t batch_random(struct batch *);
/* Update the ledger's worker from the VM. */
void batch_worker_update(struct batch_shard *, struct vm *, int64_t now_ms);

/* task_own.c */
void own_tick(struct batch_shard *, int64_t now_ms);
void own_on_lost(struct ledger *, enum ledger_lost, void *ctx);
/* Close the ledger of a lost shard, its calls and its inbox. */
void own_close(struct batch_shard *, int64_t now_ms);
/* Collect the ids of the live entries, including this one. */
size_t own_live_entries(
    struct batch *, const char **ids, size_t max, int64_t now_ms);

/* task_write.c: the ledger_actions that use the store. */
void write_ledger(struct ledger *, void *ctx);
void read_ledger(struct ledger *, void *ctx);

/* task_inbox.c */
void inbox_open(struct batch *);
void inbox_tick(struct batch_shard *, int64_t now_ms);
void inbox_clear(struct batch_shard *);
const char *inbox_key(
    const char *shard, const char *item, char *buf, size_t size);

/* task_record.c */
/* Get the record; the first use loads it.  NULL: out of memory. */
struct batch_job *record_get(struct batch *, const char *id, int64_t now_ms);
/* Find a cached record, or return NULL. */
struct batch_job *record_find(struct batch *, const char *id);
void record_tick(struct batch *, int64_t now_ms);
void record_close(struct batch *);

/* task_retire.c */
void retire_tick(struct batch *, int64_t now_ms);

/* task_bind.c */
struct ledger_worker *pick_worker(
    struct ledger *, struct ledger_task *, int64_t now_ms, void *ctx);

/* task_weights.c: scale the weights of a decision by the policy. */
void weights_scale(const struct record_policy *, double *tail,
    double *throughput, double *eviction);

/* task_quota.c */
enum quota_verdict {
	QUOTA_OK,
	QUOTA_FULL, /* the team's share of this shard is exhausted */
	QUOTA_ELSEWHERE /* the team has no share here */
};
/* Whether the team of this job may bind a task of this size in the shard. */
enum quota_verdict quota_check(struct batch_shard *, const struct batch_job *,
    const struct resources *size);
/* Collect the shards in which the team may run tasks. */
size_t quota_shards(
    struct batch *, const char *team, const char **shards, size_t max);

/* task_start.c: the ledger_actions that call workers. */
void start_task(struct ledger *, struct ledger_task *, void *ctx);
void stop_task(struct ledger *, struct ledger_task *, void *ctx);
void checkpoint_task(struct ledger *, struct ledger_task *, void *ctx);
void stop_stray(struct ledger *, struct ledger_worker *, const char *task,
    uint32_t attempt, void *ctx);

/* task_watch.c */
void fence_worker(struct ledger *, struct ledger_worker *, void *ctx);
void renew_worker(struct ledger *, struct ledger_worker *, void *ctx);

/* task_evict.c */
/* Record the calls of a service on a worker, reported by each renewal. */
void evict_note_calls(struct batch_worker *, const char *name, int64_t calls);
/* Act on a measurement of a service, which arrives with a delay. */
void evict_on_measurement(struct batch_shard *, struct ledger_worker *,
    const char *name, double p99_ms, int64_t measured_ms, int64_t now_ms);
/* Make room for urgent tasks; move or fail tasks that can't run here. */
void evict_tick(struct batch_shard *, int64_t now_ms);
/* Forget the throttles of a task whose attempt has ended. */
void evict_forget_throttles(struct batch_worker *, const char *task);

/* task_finish.c */
/* The key of the attempt in core/learn. */
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
	struct httpc_call *http; /* NULL: not sent, fails on the next tick */
	enum call_result failure;
};

/*
 * Send a call for the shard's ledger, with shard and epoch added to the body.
 * Takes over the reference to the body.  The response or the failure is always
 * reported later, unless call_cancel() ends the call.
 */
void call_worker(struct batch_shard *, enum worker_call_kind,
    struct ledger_worker *, const char *task, uint32_t attempt,
    struct json_t *body, int64_t timeout_ms);
/* Fail a call that can't be sent for a reason other than the worker. */
void call_not_ready(struct batch_shard *, enum worker_call_kind,
    struct ledger_worker *, const char *task, uint32_t attempt);
void call_tick(struct batch *, int64_t now_ms);
/* Cancel the calls in flight for the shard. */
void call_cancel(struct batch *, const char *shard);
/* Process a result; body is the JSON of the response, or NULL. */
void start_answered(struct batch_shard *, const struct worker_call *,
    enum call_result, struct json_t *body, int64_t now_ms);
void watch_answered(struct batch_shard *, const struct worker_call *,
    enum call_result, struct json_t *body, int64_t now_ms);

/*
 * A store request in flight, with or without an operator's request.  After
 * batch_close() batch is NULL, and the store's callback only frees memory.
 */
struct pending_request {
	LIST_ENTRY(pending_request) link;
	struct batch *batch;
	struct httpd_request *http; /* NULL: none, or the client disconnected */
};
void request_begin(
    struct batch *, struct pending_request *, struct httpd_request *);
void request_end(struct pending_request *);
/* Callback for httpd_on_disconnect(); ctx is the pending_request. */
void request_gone(struct httpd_request *, void *ctx);

/* task_accept.c, task_job.c, task_cancel.c, task_state.c */
bool accept_http(struct entry *, struct httpd_request *);
bool job_http(struct entry *, struct httpd_request *);
/* Cancel one job, or the jobs named in the body if id is NULL. */
void cancel_http(struct entry *, struct httpd_request *, const char *id);
bool state_http(struct entry *, struct httpd_request *);
bool state_explain(
    struct entry *, struct httpd_request *, const char *kind, const char *id);
/* Make the name of an inbox item, unique across entries and restarts. */
void batch_item_name(struct batch *, char *buf, size_t size);

#endif /* BATCH_H */

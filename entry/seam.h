#ifndef SEAM_H
#define SEAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "graph.h"
#include "scheduler.h"

/*
 * Interfaces of an entry to its environment: the store, the workers, and the
 * formats of the configuration and of the list of workers.  Each is a table of
 * callbacks that get the table's own context as their first argument, so that
 * the entry doesn't depend on an implementation.  Each call is answered exactly
 * once, later, from the event loop; the data of a result is valid only during
 * the callback.
 */

/* The store. */
enum kv_error {
	KV_OK,
	KV_CONFLICT, /* a comparison failed: nothing was done */
	KV_UNAVAILABLE, /* certainly not done */
	KV_UNKNOWN, /* no answer: it may take effect, now or later */
	KV_COMPACTED, /* of a watch: that history is gone */
	KV_REFUSED /* refused as invalid: nothing was done */
};

struct kv_item {
	const char *key;
	const char *value; /* NUL-terminated; NULL: the key was removed */
	size_t len;
	int64_t revision; /* of its last change; 0: no such key */
};

struct kv_result {
	enum kv_error error;
	const struct kv_item *items; /* after a conflict: those compared */
	size_t nitems;
	bool more; /* of a range: continue after the last key */
	int64_t revision; /* of the store; of a write: of the change */
};
typedef void kv_done(const struct kv_result *, void *ctx);

/* The item of that key in a result; NULL: there is none. */
const struct kv_item *kv_result_item(const struct kv_result *, const char *key);

struct kv_compare {
	const char *key;
	int64_t revision; /* 0: the key must not exist */
};

struct kv_put {
	const char *key;
	const char *value;
	size_t len;
};

/* Atomic; at most KV_TXN_MAX entries in all three lists together. */
#define KV_TXN_MAX 32
struct kv_txn {
	const struct kv_compare *compares;
	size_t ncompares;
	const struct kv_put *puts;
	size_t nputs;
	const char *const *removes;
	size_t nremoves;
};

struct kv_ops {
	void *self;
	/* One item or none; the read may be stale by seconds. */
	void (*get)(void *self, const char *key, kv_done *, void *ctx);
	void (*range)(void *self, const char *prefix, const char *after,
	    kv_done *, void *ctx);
	/*
	 * Changes after a revision, as soon as there are any; none after
	 * wait_ms.
	 */
	void (*watch)(void *self, const char *prefix, int64_t after,
	    int64_t wait_ms, kv_done *, void *ctx);
	void (*txn)(void *self, const struct kv_txn *, kv_done *, void *ctx);
	/* Times of the last answer, and of the last call without one. */
	int64_t (*answered_ms)(void *self);
	int64_t (*failed_ms)(void *self);
	/*
	 * Send time of the oldest unanswered call among those sent after the
	 * last answer; 0: there is none.  Watches don't count, as their answers
	 * may take long.
	 */
	int64_t (*waiting_ms)(void *self);
};

/* Workers. */
struct worker_order {
	const struct sched_worker *worker;
	const struct task_name *task;
	uint32_t attempt;
	uint64_t term; /* fencing token */
};

struct worker_start {
	struct worker_order order;
	const char *payload;
	const char *checkpoint; /* or NULL */
	int64_t deadline_ms; /* on the worker's clock */
};

struct worker_poll {
	const struct sched_worker *worker;
	uint64_t term;
	uint64_t acknowledged;
	int64_t deadline_ms; /* on the worker's clock; 0: no renewal */
	int64_t wait_ms;
};

struct worker_result {
	enum worker_answer answer;
	int64_t clock_ms; /* of the worker; 0: unknown */
	const struct poll_result *poll; /* of a successful poll */
};
typedef void worker_done(const struct worker_result *, void *ctx);

struct worker_ops {
	void *self;
	void (*start)(
	    void *self, const struct worker_start *, worker_done *, void *);
	void (*stop)(
	    void *self, const struct worker_order *, worker_done *, void *);
	void (*pace)(void *self, const struct worker_order *, int percent,
	    worker_done *, void *);
	void (*poll)(
	    void *self, const struct worker_poll *, worker_done *, void *);
};

/* The part of the operators' configuration that scheduling needs. */
struct queue_config {
	char name[GRAPH_NAME_MAX];
	struct queue_terms terms;
};

struct entry_config {
	int64_t version;
	struct queue_config *queues;
	size_t nqueues;
};

/* A worker as in the list of workers. */
struct worker_info {
	char id[SCHED_WORKER_ID_MAX];
	char service[GRAPH_NAME_MAX];
	char address[64];
	char data_center[GRAPH_NAME_MAX];
	char labels[SCHED_LABELS_MAX][GRAPH_NAME_MAX];
	size_t nlabels;
	struct resources capacity;
	bool guards_room; /* it refuses what it has no room for */
	int64_t started_ms; /* its start, ms since 1970; 0: not told */
	int64_t written_ms; /* its clock as it wrote this; 0: not told */
	bool draining;
	int64_t leaves_in_ms; /* at the earliest, while it drains */
};

/* What an item of the store is for the configuration. */
enum config_reading {
	CONFIG_NEWER, /* the newest configuration so far: it takes effect */
	CONFIG_NOT_NEWER, /* a configuration, older or the same */
	CONFIG_INVALID, /* a configuration that can't be used */
	CONFIG_OTHER /* not the configuration */
};

struct platform_ops {
	void *self;
	const char *config_prefix; /* watched for all that operators write */
	const char *workers_prefix; /* watched for workers */
	/* Sets *config if it returns CONFIG_NEWER. */
	enum config_reading (*config)(void *self, const char *key,
	    const char *value, size_t len, const struct entry_config **config);
	/*
	 * The data centre that the key closes to new work while it exists;
	 * NULL: it doesn't close any.
	 */
	const char *(*closure)(void *self, const char *key);
	/* false: not a worker, or invalid. */
	bool (*worker)(void *self, const char *key, const char *value,
	    size_t len, struct worker_info *);
	/* The id of the worker that the key stands for; NULL: none. */
	const char *(*worker_id)(void *self, const char *key);
};

#endif /* SEAM_H */

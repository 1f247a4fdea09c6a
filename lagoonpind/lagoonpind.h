#ifndef LAGOONPIND_H
#define LAGOONPIND_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "conf.h"
#include "credit.h"
#include "fleet.h"
#include "httpc.h"
#include "httpd.h"
#include "member.h"
#include "settings.h"
#include "store.h"
#include "wire.h"

/*
 * The daemon on an entry VM.  struct entry holds the state of the process: its
 * event loop, its settings and a pointer to the state of each module.  The
 * modules are the VM list, configuration, mesh (peers), lending, batch, callers
 * and operators.  main.c opens them in order, runs their periodic work, offers
 * each HTTP request to them, and drains and closes them in reverse order.
 */

struct entry;
struct batch;
struct callers;
struct conf_watch;
struct lend;
struct mesh;
struct operators;
struct vms;

/* Settings; the suffix of a name is its unit.  See options.c. */
struct options {
	const char *id;
	const char *data_center;
	struct setting_address listen; /* callers and operators */
	struct setting_address peer; /* other entries */
	/* Entries to contact at start if the store is unavailable. */
	struct setting_addresses peers;
	struct setting_addresses store; /* the platform's key-value service */
	struct setting_address vm_list;
	int log_level;
	int64_t tick_ms;
	int64_t body_max_bytes;
	int64_t receive_max_bytes; /* buffered for all callers */
	int64_t connections_max; /* of callers */
	int64_t vm_list_ms; /* interval between reads of the VM list */
	/* How long a VM must be absent from the list to count as gone. */
	int64_t vm_gone_ms;
	int64_t store_calls_per_s;
	int64_t commit_ms; /* interval between ledger writes */
	int64_t registry_ttl_s;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	int64_t fanout;
	int64_t tcp_keepalive_s;
	int64_t lease_ms;
	int64_t renew_ms;
	int64_t hold_ms;
	int64_t margin_ms;
	int64_t ahead_ms; /* most expected work bound ahead to a worker */
	int64_t ahead; /* most tasks bound ahead to a worker */
	int64_t queue_max;
	int64_t deadline_ms; /* default deadline of a call */
	int64_t drain_ms; /* limit of a graceful shutdown */
	int64_t seed; /* for all random numbers; 0: from clock and id */
};

enum entry_phase {
	ENTRY_RUNNING,
	ENTRY_DRAINING, /* accepts no new work, finishes work in flight */
	ENTRY_CLOSING
};

struct entry {
	uv_loop_t loop;
	struct options opt;
	enum entry_phase phase;
	uint64_t incarnation; /* wall clock at start, ms; grows with restarts */
	int64_t drain_since_ms;
	uv_timer_t tick;
	uv_signal_t on_term;
	uv_signal_t on_int;
	struct httpd *httpd;
	struct httpc *store_http; /* connections to the store */
	struct httpc *worker_http; /* worker control and the VM list */
	struct httpc *endpoint_http; /* calls */
	struct store *store;
	struct fleet *fleet;
	struct vms *vms;
	struct conf_watch *conf;
	struct mesh *mesh;
	struct batch *batch;
	struct lend *lend;
	struct callers *callers;
	struct operators *operators;
};

/* A module of the daemon.  Every member but name may be NULL. */
struct module {
	const char *name;
	/* Return -1 on failure; the daemon then exits. */
	int (*open)(struct entry *);
	/* Every tick_ms. */
	void (*tick)(struct entry *, int64_t now_ms);
	/* Return true if the module answers the request. */
	bool (*http)(struct entry *, struct httpd_request *);
	/* Called when a VM appears or changes its state or address. */
	void (*vm_changed)(struct entry *, struct vm *, enum fleet_change);
	/*
	 * Handle GET /v1/explain/KIND/ID, where KIND is "job", "task" (ID is
	 * JOB/INDEX) or "request".  Return true if the module answers.
	 */
	bool (*explain)(struct entry *, struct httpd_request *,
	    const char *kind, const char *id);
	/* Graceful shutdown: accept no new work, finish the rest. */
	void (*drain)(struct entry *, int64_t now_ms);
	bool (*drained)(const struct entry *);
	void (*close)(struct entry *);
};

extern const struct module vms_module;
extern const struct module conf_watch_module;
extern const struct module batch_module;
extern const struct module mesh_module;
extern const struct module lend_module;
extern const struct module callers_module;
extern const struct module operators_module;

/* options.c: parse the settings; exits if one is invalid. */
void options_parse(struct options *, int argc, char **argv);

/* parts.c: the modules in the order in which they are opened. */
extern const struct module *const modules[];
extern const size_t nmodules;

/*
 * conf_watch.c: the store watch of this entry, on lp/w/.  Modules register a
 * prefix in their open().  All keys are loaded once, then changes follow in
 * the order of the store.  When the watch can't be resumed (compaction), all
 * keys are loaded again between reload_begin and reload_end: a key without an
 * on_put between the two was deleted.  The same put may be delivered more than
 * once; compare mod_revision.  Any callback may be NULL.
 */
struct watch_handler {
	SLIST_ENTRY(watch_handler) link; /* set by watch_register */
	const char *prefix; /* such as "lp/w/inbox/" */
	void (*reload_begin)(void *ctx);
	void (*on_put)(const struct store_kv *, void *ctx);
	void (*on_delete)(const char *key, int64_t revision, void *ctx);
	void (*reload_end)(int64_t revision, void *ctx);
	void *ctx;
};

/* The handler must live as long as the entry. */
void watch_register(struct entry *, struct watch_handler *);
/* Whether the first load is complete. */
bool watch_loaded(const struct entry *);
/*
 * The operators' records in force at this entry; never NULL once conf_watch is
 * open.  The mesh exports its records to peers and imports theirs.
 */
struct conf *entry_conf(const struct entry *);

/*
 * mesh.c: the other entries.  Use member_evaluate() for their state, take over
 * their shards only while member_may_act(), and announce owned shards with
 * member_own_shard().
 */
struct members *mesh_members(const struct entry *);
/* Handles a peer's message; the payload is valid only during the call. */
typedef void mesh_handler(struct entry *, const struct wire_header *,
    const void *payload, size_t len, void *ctx);
void mesh_handle(struct entry *, enum wire_type, mesh_handler *, void *ctx);
/* Returns false if the message was not sent, which is counted. */
bool mesh_send(struct entry *, const char *peer, enum wire_type,
    const void *payload, size_t len);

/*
 * lend.c: the credits for calls to endpoints.
 *
 * The following are for the batch module, which owns shards.
 */

/*
 * Issue the credits of a worker after it confirmed the first fence at this
 * epoch; used is what it reported then.  This process must have raised the
 * epoch itself: after a restart the owner raises it anew.
 */
void lend_issue(struct entry *, const char *worker, uint64_t epoch,
    struct credit_amount used);
/* Record the usage that the worker reported in a renewal at this epoch. */
void lend_report(struct entry *, const char *worker, uint64_t epoch,
    const struct credit_usage *);
/*
 * Called when credits for so many slots of an owned shard are lost; raising the
 * epoch of the shard recovers them.
 */
typedef void lend_lost(struct entry *, const char *shard, int slots, void *ctx);
void lend_on_lost(struct entry *, lend_lost *, void *ctx);

/*
 * The following are for the callers module.  A row stays valid, at the same
 * address, until its VM is gone and its last call has ended.  The spare credits
 * of a draining worker can't be taken.  The callback is run at each change of a
 * row; it must not take or release credits.
 */
typedef void lend_changed(
    struct entry *, const struct credit_worker *, void *ctx);
void lend_on_change(struct entry *, lend_changed *, void *ctx);
/*
 * Iterate over the rows; NULL at the end.  The fleet has the service of each
 * worker.
 */
const struct credit_worker *lend_first(struct entry *);
const struct credit_worker *lend_next(const struct credit_worker *);
/* Spare credits at all workers that aren't draining. */
struct credit_amount lend_spare(const struct entry *);
struct lending_load lend_load(struct entry *);
/* Take the credits for a call.  CREDIT_OK: dispatch it with this epoch. */
enum credit_error lend_take(
    struct entry *, const char *worker, enum credit_kind, uint64_t *epoch);
/*
 * Release the credits of a call.  Use CREDIT_ENDED only if the whole response
 * arrived, the endpoint refused the call, or nothing was sent.  After a
 * deadline or when the caller has disconnected, the call still runs at the
 * endpoint: keep reading until its response is complete and release then.  If
 * the connection breaks or is closed first, use CREDIT_ABANDONED.
 */
void lend_release(struct entry *, const char *worker, uint64_t epoch,
    enum credit_kind, enum credit_end);
/* The endpoint refused with "fenced": credits of this epoch are void. */
void lend_fenced(struct entry *, const char *worker, uint64_t epoch);
/*
 * Request credits for the calls of a service that wait here.  To be called for
 * each call that begins to wait, and on each tick while some wait; it sends one
 * request to a peer at a time, at a bounded rate.  The callback of
 * lend_on_change() reports credits that arrive.  Returns false if no peer is
 * known to have credits to spare or the rate limit is reached.
 */
bool lend_request(
    struct entry *, const char *service, enum credit_kind, int waiting);

/*
 * batch.c: shards, ledgers and tasks.  It passes fences and renewals to lend.c.
 *
 * Returns whether this entry owns the shard, and its epoch.
 */
bool batch_owner_epoch(
    const struct entry *, const char *shard, uint64_t *epoch);

/*
 * The operators' API that lagoonpinctl uses; each module answers its own paths
 * in its http().  Lists hold flat objects, which are printed as columns.
 *
 * mesh:	GET /v1/entries -> {"entries":[{"id","listen":"IP:PORT",
 *		"state":"live|suspect|leaving|gone","revision":N,...}]}
 * batch:	POST /v1/jobs (a job record) -> 200 {"id","outcome":"accepted"}
 *		GET /v1/jobs[?team=TEAM] -> {"jobs":[{"id",...}]}
 *		GET /v1/jobs/ID -> {"job":{...},...}
 *		POST /v1/jobs/cancel {"ids":["ID",...]} or {"team":"TEAM"}
 *		-> {"jobs":[{"id","state"}]}
 *		GET /v1/workers, /v1/shards, /v1/tasks[?job=ID]
 *		-> {"workers":[...]}, {"shards":[...]}, {"tasks":[...]}
 * all:		GET /v1/explain/KIND/ID -> {"explain":[{"at_ms","what",...}]}
 */

/* reply.c: responses of the operators' API, all JSON. */
struct json_t;
/* Steals the reference to the body. */
void reply_json(struct httpd_request *, int status, struct json_t *body);
/* {"error":ERROR,"field":FIELD,"message":...}; field may be NULL. */
void reply_error(struct httpd_request *, int status, const char *error,
    const char *field, const char *message);
/* As reply_error(), with a Retry-After header. */
void reply_retry(struct httpd_request *, int status, const char *error,
    const char *message, int64_t retry_after_s);

/* Start a graceful shutdown, as SIGTERM does. */
void entry_drain(struct entry *);

#endif /* LAGOONPIND_H */

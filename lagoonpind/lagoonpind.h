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
 * The daemon on an entry VM.  struct entry is the process: its loop, its
 * settings, and one pointer for each part.  A part is a vertical slice with
 * its own files: configuration, mesh (peers), batch, lending, callers,
 * operators.  main.c opens the parts in order, ticks them, offers each HTTP
 * request to them, and drains and closes them in reverse.
 */

struct entry;
struct batch;
struct callers;
struct conf_watch;
struct lend;
struct mesh;
struct operators;
struct vms;

/* Settings, in the units that their names tell; see options.c. */
struct options {
	const char *id;
	const char *data_center;
	struct setting_address listen; /* callers and operators */
	struct setting_address peer; /* other entries */
	struct setting_addresses
	    peers; /* of first contact, without the store */
	struct setting_addresses store; /* the platform's key-value service */
	struct setting_address vm_list;
	int log_level;
	int64_t tick_ms;
	int64_t body_max_bytes;
	int64_t vm_list_ms; /* between two reads of the VM list */
	int64_t
	    vm_gone_ms; /* absence from the list until a VM counts as gone */
	int64_t store_calls_per_s;
	int64_t commit_ms; /* between two ledger writes */
	int64_t registry_ttl_s;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	int64_t fanout;
	int64_t tcp_keepalive_s;
	int64_t lease_ms;
	int64_t renew_ms;
	int64_t hold_ms;
	int64_t margin_ms;
	int64_t ahead_ms; /* of work bound to a worker */
	int64_t ahead; /* most tasks that wait at a worker for room */
	int64_t queue_max;
	int64_t deadline_ms; /* of a call that names none */
	int64_t drain_ms; /* longest graceful shutdown */
	int64_t seed; /* of all randomness; 0: from the clock and id */
};

enum entry_phase {
	ENTRY_RUNNING,
	ENTRY_DRAINING, /* no new work; what is in flight finishes */
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
	struct httpc *worker_http; /* control of workers, the VM list */
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

/* One vertical slice of the daemon.  Every member but name may be NULL. */
struct module {
	const char *name;
	/* -1: the cause has been logged; the program ends. */
	int (*open)(struct entry *);
	/* Every tick_ms. */
	void (*tick)(struct entry *, int64_t now_ms);
	/* true: the part has taken the request and answers it. */
	bool (*http)(struct entry *, struct httpd_request *);
	/* A VM appeared, or changed its state or address. */
	void (*vm_changed)(struct entry *, struct vm *, enum fleet_change);
	/*
	 * GET /v1/explain/KIND/ID for the kinds that the part owns: "job",
	 * "task" (ID is JOB/INDEX), "request".  true: the part answers.
	 */
	bool (*explain)(struct entry *, struct httpd_request *,
	    const char *kind, const char *id);
	/* A planned stop begins: take no new work, finish what is there. */
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

/* options.c: exits on a bad setting. */
void options_parse(struct options *, int argc, char **argv);

/* parts.c: the parts in the order in which they are opened. */
extern const struct module *const modules[];
extern const size_t nmodules;

/*
 * conf_watch.c: the one watch of this entry, on lp/w/.  Parts register a
 * prefix in their open().  All keys are loaded once, then changes follow in
 * the order of the store.  When the watch has lost its place (compaction),
 * everything is loaded again between reload_begin and reload_end: a key
 * that isn't put between the two was deleted.  A put may be told again;
 * mod_revision tells.  Any callback may be NULL.
 */
struct watch_handler {
	SLIST_ENTRY(watch_handler) link; /* set by watch_register */
	const char *prefix; /* as "lp/w/inbox/" */
	void (*reload_begin)(void *ctx);
	void (*on_put)(const struct store_kv *, void *ctx);
	void (*on_delete)(const char *key, int64_t revision, void *ctx);
	void (*reload_end)(int64_t revision, void *ctx);
	void *ctx;
};

/* The handler must live as long as the entry. */
void watch_register(struct entry *, struct watch_handler *);
/* Whether everything has been loaded once. */
bool watch_loaded(const struct entry *);
/*
 * The operators' records in force here; never NULL after conf_watch's open.
 * The mesh exports from it and imports into it.
 */
struct conf *entry_conf(const struct entry *);

/*
 * mesh.c: the other entries.  Judge them with member_evaluate(), take over only
 * while member_may_act(), and tell of owned shards with member_own_shard().
 */
struct members *mesh_members(const struct entry *);
/* A peer's message; the payload is valid only during the call. */
typedef void mesh_handler(struct entry *, const struct wire_header *,
    const void *payload, size_t len, void *ctx);
void mesh_handle(struct entry *, enum wire_type, mesh_handler *, void *ctx);
/* false: certainly not sent; counted. */
bool mesh_send(struct entry *, const char *peer, enum wire_type,
    const void *payload, size_t len);

/*
 * lend.c: the credits for calls to endpoints.  For the batch side, which owns
 * shards:
 *
 * The worker's answer to the first fence at this epoch.  The epoch must have
 * been raised by this process: after a restart of the owner too.
 */
void lend_issue(struct entry *, const char *worker, uint64_t epoch,
    struct credit_amount used);
/* What a renewal at this epoch reports. */
void lend_report(struct entry *, const char *worker, uint64_t epoch,
    const struct credit_usage *);
/* So many slots of an owned shard are lost: raise its epoch when it suits. */
typedef void lend_lost(struct entry *, const char *shard, int slots, void *ctx);
void lend_on_lost(struct entry *, lend_lost *, void *ctx);

/*
 * For the callers' side.  A row stays valid, at the same address, until its
 * VM is gone and its last call has ended; while the worker is leaving its
 * spare credits can't be taken.  on_change tells of every change of a row; it
 * must not take or release from within.
 */
typedef void lend_changed(
    struct entry *, const struct credit_worker *, void *ctx);
void lend_on_change(struct entry *, lend_changed *, void *ctx);
/* Rows to begin with; NULL at the end.  Which service, the fleet tells. */
const struct credit_worker *lend_first(struct entry *);
const struct credit_worker *lend_next(const struct credit_worker *);
/* Of all workers that aren't leaving. */
struct credit_amount lend_spare(const struct entry *);
struct lending_load lend_load(struct entry *);
/* CREDIT_OK: dispatch with this epoch. */
enum credit_error lend_take(
    struct entry *, const char *worker, enum credit_kind, uint64_t *epoch);
/*
 * CREDIT_ENDED only when the whole answer came, the endpoint refused, or
 * nothing was sent.  A caller that gave up, or a deadline, isn't the end: the
 * call still runs there.  Keep reading for its answer and release then; if the
 * connection breaks, or you close it, that is CREDIT_ABANDONED.
 */
void lend_release(struct entry *, const char *worker, uint64_t epoch,
    enum credit_kind, enum credit_end);
/* The endpoint refused with "fenced": this epoch's credits are void. */
void lend_fenced(struct entry *, const char *worker, uint64_t epoch);
/*
 * So many calls of the service wait here for want of credits.  Call it for
 * each that begins to wait, and each tick while some wait: it asks a peer, one
 * request at a time and at a bounded rate.  Credits that come show up through
 * on_change.  false: no peer seems to have any, or asked too often.
 */
bool lend_request(
    struct entry *, const char *service, enum credit_kind, int waiting);

/*
 * batch.c: shards, ledgers and tasks.  It tells lend.c of fences and renewals.
 *
 * Whether this entry owns the shard, and at which epoch.
 */
bool batch_owner_epoch(
    const struct entry *, const char *shard, uint64_t *epoch);

/*
 * The operators' API that lagoonpinctl uses; each part answers its own paths
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

/* reply.c: answers of the operators' API, all JSON. */
struct json_t;
/* Takes the reference of the body. */
void reply_json(struct httpd_request *, int status, struct json_t *body);
/* {"error":ERROR,"field":FIELD,"message":...}; field may be NULL. */
void reply_error(struct httpd_request *, int status, const char *error,
    const char *field, const char *message);
/* As reply_error with a Retry-After header, for what may succeed later. */
void reply_retry(struct httpd_request *, int status, const char *error,
    const char *message, int64_t retry_after_s);

/* Start the graceful shutdown, as SIGTERM does. */
void entry_drain(struct entry *);

#endif /* LAGOONPIND_H */

#ifndef CALLERS_H
#define CALLERS_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admit.h"
#include "budget.h"
#include "choose.h"
#include "claim.h"
#include "credit.h"
#include "fleet.h"
#include "response_cache.h"
#include "lagoonpind.h"
#include "outcome.h"
#include "quota.h"
#include "recent_ids.h"

/*
 * Handling of calls from clients.  A call passes through the stages read,
 * admit, choose, dispatch, collect and answer, one file each.  A stage that
 * fails the call passes it directly to answer.
 */

#define CALL_ID_MAX CLAIM_ID_MAX
#define CALL_SERVICE_MAX 64
#define CALL_TYPE_MAX 128
#define CALL_ATTEMPTS_MAX 4
#define CALL_INDEX_NONE SIZE_MAX
#define CALL_ENDPOINT_TABLE 256
#define CALL_URL_MAX 160
#define STATUS_OK 200
#define CALL_NDJSON_TYPE "application/x-ndjson"
#define CALL_REOPEN_LINE "{\"lagoonpin-watch\":\"reopen\"}\n"

/*
 * Unary calls use a slot and a connection of the endpoint, watches only a
 * connection.  Each lane has its own queue and its own credits.
 */
enum call_lane { LANE_UNARY, LANE_WATCH, NLANES };

/* Call counters that are labelled with the reason. */
enum call_counted {
	CALL_COUNT_REFUSED,
	CALL_COUNT_UNKNOWN,
	CALL_COUNT_RETRIED,
	CALL_NCOUNTED
};

struct counter;
struct endpoint;
struct call;
struct claim_op;
struct claim_store;
struct explain_ring;

/* One lane of an endpoint.  ce comes first: candidate lists point to it. */
struct endpoint_lane {
	struct choose_endpoint ce;
	struct endpoint *endpoint;
	enum call_lane lane;
};

/* An endpoint as a member of one of its services. */
struct endpoint_member {
	struct call_service *service;
	size_t candidate_index[NLANES]; /* CALL_INDEX_NONE: not listed */
	int64_t counted_credits[NLANES]; /* in the service's capacity */
	bool is_live; /* counted in the service's nendpoints */
};

struct endpoint {
	LIST_ENTRY(endpoint) link;
	SLIST_ENTRY(endpoint) id_link;
	struct callers *callers;
	char id[FLEET_ID_MAX];
	char shard[2 * FLEET_ID_MAX + 1];
	char address[FLEET_IP_MAX + 8]; /* IP:PORT */
	enum vm_state state;
	bool pinned; /* not freed, even without attempts */
	int64_t refused_until_ms; /* refused as draining; 0: did not */
	struct credit_amount spare; /* credits free at this entry */
	struct endpoint_lane lanes[NLANES];
	size_t nmembers;
	struct endpoint_member members[FLEET_SERVICES_MAX];
	LIST_HEAD(, attempt) attempts;
};
LIST_HEAD(endpoint_list, endpoint);
SLIST_HEAD(endpoint_slot, endpoint);

/* A service known from its configuration record or from the VM list. */
struct call_service {
	LIST_ENTRY(call_service) link;
	char name[CALL_SERVICE_MAX];
	int kind; /* from learn_kind() */
	bool has_record;
	size_t nendpoints; /* live endpoints */
	int64_t deadline_ms;
	size_t body_max;
	struct budget budget;
	TAILQ_HEAD(, call) hedges; /* armed, earliest first */
	struct latency *latency;
	struct {
		struct admit_service *admit;
		struct choose_endpoint **candidates; /* have a free credit */
		size_t ncandidates;
		size_t size;
		int64_t capacity; /* credits free and in use */
	} lanes[NLANES];
};
LIST_HEAD(call_service_list, call_service);

/* One attempt of a call at an endpoint.  Holds a credit until it ends. */
struct attempt {
	LIST_ENTRY(attempt) link; /* attempts of the call */
	LIST_ENTRY(attempt) endpoint_link;
	struct call *call;
	struct endpoint *endpoint;
	enum call_lane lane;
	uint64_t epoch;
	int number;
	struct httpc_call *http; /* NULL before dispatch */
	uint64_t sent_ns;
	enum choose_reason why; /* why the endpoint was chosen */
	bool streaming; /* a watch; the response has begun */
	bool draining; /* move or end the watch at the next line end */
	bool moved; /* cancelled, to be resent to another endpoint */
	char number_text[12];
};
LIST_HEAD(attempt_list, attempt);

struct call {
	struct admit_item item; /* first: cast to struct call by callbacks */
	LIST_ENTRY(call) link;
	struct callers *callers;
	struct call_service *service;
	enum call_lane lane;
	struct httpd_request *request; /* NULL: the client has disconnected */
	char id[CALL_ID_MAX];
	char type[CALL_TYPE_MAX]; /* content-type of the body */
	bool idempotent;
	bool has_client_id; /* id was sent by the client, not generated */
	bool head_sent; /* a watch: response head was sent to the client */
	bool is_ndjson; /* the response has type CALL_NDJSON_TYPE */
	bool at_line_end; /* the last byte sent was a newline */
	bool answered; /* outcome reported; attempts may remain */
	const char *body; /* owned by request */
	size_t body_len;
	uint64_t hash; /* of the request; non-idempotent calls only */
	/* Deadline sent to the endpoint.  A watch may run longer than the
	 * time allowed for its start (item.deadline_ms). */
	int64_t endpoint_deadline_ms;
	uint64_t arrived_ns;
	int64_t arrived_ms;
	struct outcome_facts facts;
	enum outcome_reason failure; /* of the last failed attempt */
	TAILQ_ENTRY(call) hedge_link;
	int64_t hedge_ms; /* when a hedge is due; 0: never armed */
	bool hedge_armed;
	int nattempts;
	int tries; /* attempts; reset when a watch is moved */
	struct endpoint *avoid; /* of an earlier attempt, or NULL */
	struct attempt_list attempts;
	struct attempt *claim_attempt; /* waits for the claim to be granted */
	struct claim claim;
	struct claim_op *claim_op; /* pending request to the store */
	int64_t claim_revision; /* of this call's claim record; 0: unknown */
	uint64_t explain; /* number of its explain record */
};
LIST_HEAD(call_list, call);

struct callers {
	struct entry *entry;
	struct admit *admit;
	struct quota *quota;
	struct response_cache *responses;
	struct recent_ids *recent_ids;
	struct claim_store *claim_store;
	struct claim_ops claim_ops;
	struct choose_options choose;
	struct endpoint_list endpoints;
	struct endpoint_slot by_id[CALL_ENDPOINT_TABLE];
	struct call_service_list services;
	struct call_list calls;
	struct explain_ring *explains;
	int data_center; /* of this entry, from data_center_number() */
	int64_t next_share_ms; /* next update of the quota shares */
	int64_t conf_revision; /* of the applied records */
	uint64_t sequence; /* for generated request ids and claims */
	size_t ncalls;
	/* Counters, created on first use. */
	struct counter *reasons[CALL_NCOUNTED][OUTCOME_NREASONS];
	struct counter *outcomes[OUTCOME_UNKNOWN + 1];
	struct counter *queued;
	struct counter *running;
	uint64_t random;
	bool pass_pending;
	bool draining;
	uv_prepare_t prepare;
	uv_check_t check;
	uv_timer_t timer; /* earliest deadline or hedge */
	int64_t timer_ms; /* when timer is due; -1: stopped */
};

/* Stages. */
void call_read(struct callers *, struct httpd_request *);
void call_admit(struct call *);
/* Choose an endpoint and dispatch; false: no credit or no memory. */
bool call_choose(struct call *, int64_t now_ms);
void call_dispatch(struct call *, struct attempt *);
void call_collect_start(struct attempt *, struct httpc_request *);
/* The attempt ended without a response: retry the call or fail it. */
void call_collect_failed(
    struct attempt *, enum outcome_attempt, enum outcome_reason);

/* call_hedge.c: hedged requests for slow idempotent calls. */
void call_hedge_arm(struct call *, int64_t now_ms);
void call_hedge_disarm(struct call *);
void call_hedge_run(struct callers *, int64_t now_ms);
/* When the next hedge is due; -1: none. */
int64_t call_hedge_next_ms(const struct callers *);

/* call_watch.c: streamed responses. */
void call_watch_head(struct attempt *, int status, const char *type);
void call_watch_data(struct attempt *, const char *data, size_t len);
void call_watch_ended(struct attempt *, enum httpc_error);
/* Move the watches of a draining endpoint, or end them if this entry stops. */
void call_watch_drain(struct endpoint *);
/* End the stream so that the client knows to reopen it. */
void call_watch_close(struct call *);
/* Finish the call with this outcome and cancel its stream, if any. */
void call_watch_cancel(struct call *, const struct outcome_answer *);

/* call_answer.c */
/* Fail the call; the outcome follows from the state of its attempts. */
void call_refuse(struct call *, enum outcome_reason, int64_t retry_after_ms);
/* Send a complete response of an endpoint. */
void call_answer(
    struct call *, const struct cached_response *, enum outcome_reason);
/* Watches: send the head; data follows by httpd_send(); then end or cut. */
void call_answer_begin(struct call *, int status, const char *type);
void call_answer_end(struct call *);
void call_answer_cut(struct call *);
/* After the response or a disconnect: count, log, record, free the call. */
void call_answer_finish(struct call *, const struct outcome_answer *);
/* Refuse a request for which no call was set up. */
void call_refuse_request(struct callers *, struct httpd_request *,
    const char *id, const struct outcome_facts *, enum outcome_reason,
    const char *detail);
void call_count_retry(struct callers *, enum outcome_reason);

/* callers.c */
/* Have a pass run before the event loop next blocks. */
void callers_schedule_pass(struct callers *);
void call_free_if_ended(struct call *);

/* call_service.c */
struct call_service *service_find(struct callers *, const char *name);
struct call_service *service_new(struct callers *, const char *name);
void service_free(struct call_service *);
/* Apply changed configuration records: services, teams, policy. */
void services_apply_conf(struct callers *, int64_t now_ms);

/* call_endpoint.c */
void endpoint_changed(struct callers *, struct vm *);
struct endpoint *endpoint_find(struct callers *, const char *id);
void endpoint_free(struct endpoint *);
/* Whether new calls may be sent to the endpoint. */
bool endpoint_usable(const struct endpoint *, int64_t now_ms);
/* The endpoint refused a call as draining, ahead of the VM list. */
void endpoint_refused_draining(struct endpoint *, int64_t now_ms);
void endpoints_expire_refusals(struct callers *, int64_t now_ms);
void endpoints_close(struct callers *);
/* Hash of a data centre's name, for comparison in choose(). */
int data_center_number(const char *);

/* call_credit.c */
/* Credits or state changed: update the candidate lists and capacities. */
void endpoint_refresh(struct endpoint *, int64_t now_ms);
/* Read the credits that arrived before the VM list named the worker. */
void endpoint_load_credits(struct endpoint *);
/* The endpoint refused the credits' epoch: a new owner has fenced it. */
void endpoint_refused_fenced(struct endpoint *, uint64_t epoch);
/* Subscribe to changes of the credit table. */
void endpoints_subscribe_credits(struct callers *);
/* Request credits from peers if calls of the lane wait for some. */
void endpoints_request_credits(
    struct callers *, struct call_service *, enum call_lane);
/* Take a credit for a new attempt; NULL: no credit or no memory. */
struct attempt *attempt_new(struct call *, struct endpoint *);
/* Release the credit and free the attempt. */
void attempt_end(struct attempt *, enum outcome_attempt);

/* claim_store.c, call_claim.c: claims in the store, written in batches. */
struct claim_store *claim_store_open(struct entry *);
void claim_store_close(struct claim_store *);
/* Whether a request to the store is in flight. */
bool claim_store_in_flight(const struct claim_store *);
/* No request is in flight, and none waits unless the store is unavailable. */
bool claim_store_idle(const struct claim_store *);
void claim_store_flush(struct claim_store *, int64_t now_ms);
void call_claim_start(struct call *, struct attempt *);
void call_claim_forget(struct call *);
void claim_ops_init(struct callers *);

/* learnt.c: learned latencies, owned by the batch module. */
struct learn *callers_learn(const struct entry *);
/* NULL: out of memory. */
struct learn_worker *callers_learnt(const struct entry *, const char *worker);

/* call_explain.c: records of recent requests. */
struct explain_ring *explain_open(size_t n);
void explain_close(struct explain_ring *);
void explain_begin(struct call *);
void explain_attempt(const struct call *, const struct attempt *,
    const char *how, double took_ms);
void explain_end(const struct call *, const struct outcome_answer *);
bool explain_reply(struct callers *, struct httpd_request *, const char *id);

#endif /* CALLERS_H */

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
 * The callers' side.  A call passes through the filters read, admit, choose,
 * dispatch, collect and answer, one file each; every filter takes the call
 * and hands it to the next.  A filter that gives up hands it to answer.
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
 * Quick calls take a slot and a connection, standing watches only a
 * connection.  Each lane has its own queue and its own credits.
 */
enum call_lane { LANE_UNARY, LANE_WATCH, NLANES };

/* What is counted by reason. */
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

/* One lane of an endpoint; first in memory what choose() compares. */
struct endpoint_lane {
	struct choose_endpoint ce;
	struct endpoint *endpoint;
	enum call_lane lane;
};

/* An endpoint's place in the list of candidates of a service. */
struct endpoint_member {
	struct call_service *service;
	size_t candidate_index[NLANES]; /* or CALL_INDEX_NONE */
	int64_t counted_credits[NLANES]; /* credits entered in its capacity */
	bool is_live; /* entered in its number of endpoints */
};

struct endpoint {
	LIST_ENTRY(endpoint) link;
	SLIST_ENTRY(endpoint) id_link;
	struct callers *callers;
	char id[FLEET_ID_MAX];
	char shard[2 * FLEET_ID_MAX + 1];
	char address[FLEET_IP_MAX + 8]; /* IP:PORT */
	enum vm_state state;
	bool pinned; /* in use beyond its attempts */
	int64_t refused_until_ms; /* it said that it is leaving */
	struct credit_amount spare; /* credits free here */
	struct endpoint_lane lanes[NLANES];
	size_t nmembers;
	struct endpoint_member members[FLEET_SERVICES_MAX];
	LIST_HEAD(, attempt) attempts;
};
LIST_HEAD(endpoint_list, endpoint);
SLIST_HEAD(endpoint_slot, endpoint);

/* A service as this entry knows it from its record or from the fleet. */
struct call_service {
	LIST_ENTRY(call_service) link;
	char name[CALL_SERVICE_MAX];
	int kind; /* of learn.h */
	bool has_record;
	size_t nendpoints; /* live ones */
	int64_t deadline_ms;
	size_t body_max;
	struct budget budget;
	TAILQ_HEAD(, call) hedges; /* armed, the earliest first */
	struct latency *latency;
	struct {
		struct admit_service *admit;
		struct choose_endpoint **candidates; /* with a credit */
		size_t ncandidates;
		size_t size;
		int64_t capacity; /* credits, free or in use */
	} lanes[NLANES];
};
LIST_HEAD(call_service_list, call_service);

/* One try of a call at one endpoint; it holds a credit until it ends. */
struct attempt {
	LIST_ENTRY(attempt) link; /* of the call */
	LIST_ENTRY(attempt) endpoint_link;
	struct call *call;
	struct endpoint *endpoint;
	enum call_lane lane;
	uint64_t epoch;
	int number;
	struct httpc_call *http; /* NULL before dispatch */
	uint64_t sent_ns;
	enum choose_reason why; /* of the choice */
	bool streaming; /* a watch whose answer has begun */
	bool draining; /* to be moved or ended at the end of a line */
	bool moved; /* cancelled to be sent elsewhere */
	char number_text[12];
};
LIST_HEAD(attempt_list, attempt);

struct call {
	struct admit_item item; /* first: admission hands it back */
	LIST_ENTRY(call) link;
	struct callers *callers;
	struct call_service *service;
	enum call_lane lane;
	struct httpd_request *request; /* NULL: the caller is gone */
	char id[CALL_ID_MAX];
	char type[CALL_TYPE_MAX]; /* content-type of the body */
	bool idempotent;
	bool has_client_id; /* the caller's, not made up here */
	bool head_sent; /* a watch: the caller has the head of the answer */
	bool is_ndjson; /* its answer is of CALL_NDJSON_TYPE */
	bool at_line_end; /* the last byte passed on ended a line */
	bool answered; /* only attempts or a claim are left */
	const char *body; /* held by the request */
	size_t body_len;
	uint64_t hash; /* non-idempotent: of the whole request */
	/* When the endpoint ends it: a watch may stand longer than it waits
	 * to begin. */
	int64_t endpoint_deadline_ms;
	uint64_t arrived_ns;
	int64_t arrived_ms;
	struct outcome_facts facts;
	enum outcome_reason failure; /* how the last attempt ended */
	TAILQ_ENTRY(call) hedge_link;
	int64_t hedge_ms; /* when a second endpoint is due; 0: never armed */
	bool hedge_armed;
	int nattempts;
	int tries; /* attempts since the watch was moved last */
	struct endpoint *avoid; /* where the last attempt failed; may be gone */
	struct attempt_list attempts;
	struct attempt *claim_attempt; /* waits for the claim */
	struct claim claim;
	struct claim_op *claim_op; /* with the store */
	int64_t claim_revision; /* of our record; 0: not known */
	uint64_t explain; /* number in the ring */
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
	int data_center; /* this entry's, as choose() compares them */
	int64_t next_share_ms; /* when the entries are counted next */
	int64_t conf_revision; /* whose records are applied */
	uint64_t sequence; /* of made-up ids and claims */
	size_t ncalls;
	/* Made on first use. */
	struct counter *reasons[CALL_NCOUNTED][OUTCOME_NREASONS];
	struct counter *outcomes[OUTCOME_UNKNOWN + 1];
	struct counter *queued;
	struct counter *running;
	uint64_t random;
	bool pass_pending; /* a pass is due */
	bool draining;
	uv_prepare_t prepare;
	uv_check_t check;
	uv_timer_t timer; /* the earliest deadline */
	int64_t timer_ms; /* what it is set to; -1: off */
};

/* Filters. */
void call_read(struct callers *, struct httpd_request *);
void call_admit(struct call *);
bool call_choose(struct call *, int64_t now_ms); /* false: no credit */
void call_dispatch(struct call *, struct attempt *);
void call_collect_start(struct attempt *, struct httpc_request *);
/* The attempt ended without an answer; try again elsewhere or give up. */
void call_collect_failed(
    struct attempt *, enum outcome_attempt, enum outcome_reason);

/* call_hedge.c: a second endpoint for a slow idempotent call. */
void call_hedge_arm(struct call *, int64_t now_ms);
void call_hedge_disarm(struct call *);
void call_hedge_run(struct callers *, int64_t now_ms);
int64_t call_hedge_next_ms(const struct callers *); /* -1: none */

/* call_watch.c: answers that are passed on as they come. */
void call_watch_head(struct attempt *, int status, const char *type);
void call_watch_data(struct attempt *, const char *data, size_t len);
void call_watch_ended(struct attempt *, enum httpc_error);
/* Move the watches of a leaving endpoint, or end them if this entry stops. */
void call_watch_drain(struct endpoint *);
/* End the stream in a way that tells the caller to open it again. */
void call_watch_close(struct call *);
/* The call is over for this reason; stop its stream, if any. */
void call_watch_cancel(struct call *, const struct outcome_answer *);

/* call_answer.c: the answer for a reason to give up. */
void call_refuse(struct call *, enum outcome_reason, int64_t retry_after_ms);
/* The endpoint's complete answer. */
void call_answer(
    struct call *, const struct cached_response *, enum outcome_reason);
/* A watch: its head, then pieces by httpd_send, then its end or a cut. */
void call_answer_begin(struct call *, int status, const char *type);
void call_answer_end(struct call *);
void call_answer_cut(struct call *);
/* The caller was told, or is gone: count, log, remember, free. */
void call_answer_finish(struct call *, const struct outcome_answer *);
/* Refused before there is a call. */
void call_refuse_request(struct callers *, struct httpd_request *,
    const char *id, const struct outcome_facts *, enum outcome_reason,
    const char *detail);
void call_count_retry(struct callers *, enum outcome_reason);

/* callers.c */
void callers_schedule_pass(
    struct callers *); /* run a pass before the loop sleeps */
void call_free_if_ended(struct call *);

/* call_service.c */
struct call_service *service_find(struct callers *, const char *name);
struct call_service *service_new(struct callers *, const char *name);
void service_free(struct call_service *);
/* The records in force have changed: services, teams, policy. */
void services_apply_conf(struct callers *, int64_t now_ms);

/* call_endpoint.c */
void endpoint_changed(struct callers *, struct vm *);
struct endpoint *endpoint_find(struct callers *, const char *id);
void endpoint_free(struct endpoint *);
/* Whether new calls may go there. */
bool endpoint_usable(const struct endpoint *, int64_t now_ms);
/* It refused a call because it leaves; the VM list lags. */
void endpoint_refused_draining(struct endpoint *, int64_t now_ms);
void endpoints_expire_refusals(struct callers *, int64_t now_ms);
void endpoints_close(struct callers *);
/* Choice compares data centres as numbers only. */
int data_center_number(const char *);

/* call_credit.c */
/* Its credits or its state changed: enter them in its services' lists. */
void endpoint_refresh(struct endpoint *, int64_t now_ms);
/* Credits may have come before the VM list named the worker. */
void endpoint_load_credits(struct endpoint *);
/* It refused the epoch of our credits: a new owner has fenced it. */
void endpoint_refused_fenced(struct endpoint *, uint64_t epoch);
/* Be told of credits that come and go. */
void endpoints_subscribe_credits(struct callers *);
/* Calls of this lane wait for want of credits. */
void endpoints_request_credits(
    struct callers *, struct call_service *, enum call_lane);
/* Take a credit; NULL: none, or no memory.  It is held by the attempt. */
struct attempt *attempt_new(struct call *, struct endpoint *);
/* Give the credit back and free the attempt. */
void attempt_end(struct attempt *, enum outcome_attempt);

/* call_claim.c: claims with the store, in groups. */
struct claim_store *claim_store_open(struct entry *);
void claim_store_close(struct claim_store *);
/* The store owes an answer. */
bool claim_store_in_flight(const struct claim_store *);
/* Nothing is left to be asked, or the store is away. */
bool claim_store_idle(const struct claim_store *);
void claim_store_flush(struct claim_store *, int64_t now_ms);
void call_claim_start(struct call *, struct attempt *);
void call_claim_forget(struct call *);
void claim_ops_init(struct callers *);

/* learnt.c: shared with the batch side, which owns both. */
struct learn *callers_learn(const struct entry *);
/* NULL: no memory. */
struct learn_worker *callers_learnt(const struct entry *, const char *worker);

/* call_explain.c: what was done about recent requests. */
struct explain_ring *explain_open(size_t n);
void explain_close(struct explain_ring *);
void explain_begin(struct call *);
void explain_attempt(const struct call *, const struct attempt *,
    const char *how, double took_ms);
void explain_end(const struct call *, const struct outcome_answer *);
bool explain_reply(struct callers *, struct httpd_request *, const char *id);

#endif /* CALLERS_H */

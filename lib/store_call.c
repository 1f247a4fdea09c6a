#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "store_codec.h"
#include "store_int.h"

#define URL_MAX 512
/* A prefix may hold many records of up to a megabyte, in base64. */
#define RESPONSE_MAX (256UL * 1024 * 1024)

union store_result {
	struct store_range_result range;
	struct store_txn_result txn;
	struct store_lease_result lease;
};

union store_done {
	store_range_done *range;
	store_txn_done *txn;
	store_lease_done *lease;
};

struct store_call {
	TAILQ_ENTRY(store_call) link;
	struct store *store;
	enum call_kind kind;
	bool once; /* a write: not retried, may end as STORE_ERR_UNKNOWN */
	char *body;
	unsigned int tries;
	uint64_t tick; /* of the store, when it was queued */
	int64_t due_ms;
	int64_t deadline_ms; /* no attempt after this time */
	struct httpc_call *http;
	union store_done done;
	void *ctx;
};

static struct store_call *call_new(
    struct store *, enum call_kind, char *, int64_t);
static enum store_error enqueue(struct store_call *);
static enum store_error start_lease(
    struct store *, enum call_kind, char *, store_lease_done *, void *);
static void send_call(struct store_call *, int64_t);
static struct httpc_call *start_http(struct store_call *, int64_t);
static void on_http_done(const struct httpc_result *, void *);
static enum store_error response_error(
    const struct store_call *, const struct httpc_result *);
static const char *retry_reason(const struct httpc_result *, enum store_error);
static enum store_error decode(const struct store_call *,
    const struct httpc_result *, union store_result *);
static bool schedule_retry(struct store_call *, const char *);
static void finish_call(
    struct store_call *, enum store_error, union store_result *);
static void fail_call(struct store_call *, enum store_error);

static const char *const paths[] = { "/v3/kv/range", "/v3/kv/txn",
	"/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke" };

static struct store_call *
call_new(struct store *s, enum call_kind kind, char *body, int64_t deadline_ms)
{
	struct store_call *call;

	if (body == NULL)
		return NULL;
	if (s->closing || (call = calloc(1, sizeof(*call))) == NULL) {
		free(body);
		return NULL;
	}
	call->store = s;
	call->kind = kind;
	call->once = kind != CALL_RANGE && kind != CALL_LEASE_KEEPALIVE;
	call->body = body;
	call->tick = s->tick;
	call->due_ms = clock_now_ms();
	call->deadline_ms = call->due_ms +
	    (deadline_ms > 0 ? deadline_ms : s->read_deadline_ms);
	return call;
}

/* The timer sends it, so that no callback runs within the caller. */
static enum store_error
enqueue(struct store_call *call)
{
	TAILQ_INSERT_TAIL(&call->store->waiting, call, link);
	store_arm_timer(call->store, 0);
	return STORE_OK;
}

enum store_error
store_range(struct store *s, const struct store_range_request *range,
    store_range_done *done, void *ctx)
{
	struct store_call *call;

	call = call_new(
	    s, CALL_RANGE, store_encode_range(range), range->deadline_ms);
	if (call == NULL)
		return STORE_ERR_MEMORY;
	call->done.range = done;
	call->ctx = ctx;
	return enqueue(call);
}

enum store_error
store_txn(struct store *s, const struct store_txn_request *txn,
    store_txn_done *done, void *ctx)
{
	struct store_call *call;

	call = call_new(s, CALL_TXN, store_encode_txn(txn), 0);
	if (call == NULL)
		return STORE_ERR_MEMORY;
	call->done.txn = done;
	call->ctx = ctx;
	return enqueue(call);
}

static enum store_error
start_lease(struct store *s, enum call_kind kind, char *body,
    store_lease_done *done, void *ctx)
{
	struct store_call *call;

	if ((call = call_new(s, kind, body, 0)) == NULL)
		return STORE_ERR_MEMORY;
	call->done.lease = done;
	call->ctx = ctx;
	return enqueue(call);
}

enum store_error
store_lease_grant(
    struct store *s, int64_t ttl_s, store_lease_done *done, void *ctx)
{
	return start_lease(
	    s, CALL_LEASE_GRANT, store_encode_lease_grant(ttl_s), done, ctx);
}

enum store_error
store_lease_keepalive(
    struct store *s, int64_t lease, store_lease_done *done, void *ctx)
{
	return start_lease(
	    s, CALL_LEASE_KEEPALIVE, store_encode_lease_id(lease), done, ctx);
}

enum store_error
store_lease_revoke(
    struct store *s, int64_t lease, store_lease_done *done, void *ctx)
{
	return start_lease(
	    s, CALL_LEASE_REVOKE, store_encode_lease_id(lease), done, ctx);
}

void
store_calls_tick(struct store *s, int64_t now_ms)
{
	struct store_call *call;

	s->tick++;
again:
	TAILQ_FOREACH (call, &s->waiting, link) {
		/*
		 * Calls queued during this tick wait for the next one: a
		 * callback that restarts its failed call would otherwise make
		 * this loop endless.
		 */
		if (call->tick == s->tick || call->due_ms > now_ms)
			continue;
		/* Callbacks may have changed the list. */
		send_call(call, now_ms);
		if (s->closing)
			return;
		goto again;
	}
}

int64_t
store_calls_next_due_ms(const struct store *s)
{
	const struct store_call *call;
	int64_t due_ms;

	due_ms = INT64_MAX;
	TAILQ_FOREACH (call, &s->waiting, link) {
		if (call->due_ms < due_ms)
			due_ms = call->due_ms;
	}
	return due_ms;
}

void
store_calls_close(struct store *s)
{
	struct store_call *call;

	while ((call = TAILQ_FIRST(&s->waiting)) != NULL)
		fail_call(call, STORE_ERR_CANCELLED);
	while ((call = TAILQ_FIRST(&s->in_flight)) != NULL)
		httpc_cancel(call->http);
}

static void
send_call(struct store_call *call, int64_t now_ms)
{
	struct store *s;
	int64_t left_ms;

	s = call->store;
	left_ms = call->deadline_ms - now_ms;
	if (left_ms <= 0 && !call->once) {
		fail_call(call, STORE_ERR_UNAVAILABLE);
		return;
	}
	/* Without its keepalive, the entry would lose its registration. */
	if (!store_consume_budget(
		s, now_ms, call->kind == CALL_LEASE_KEEPALIVE)) {
		if (call->tries == 0 || !schedule_retry(call, "budget"))
			fail_call(call, STORE_ERR_BUDGET);
		return;
	}
	if ((call->http = start_http(call, left_ms)) == NULL) {
		fail_call(call, STORE_ERR_MEMORY);
		return;
	}
	call->tries++;
	store_count_call(call->kind);
	TAILQ_REMOVE(&s->waiting, call, link);
	TAILQ_INSERT_TAIL(&s->in_flight, call, link);
}

/* Returns NULL if out of memory or the URL is too long. */
static struct httpc_call *
start_http(struct store_call *call, int64_t left_ms)
{
	static const struct httpc_header json = { "content-type",
		"application/json" };
	struct httpc_request request;
	struct store *s;
	char url[URL_MAX];

	s = call->store;
	if (store_url(s, paths[call->kind], url, sizeof(url)) == -1)
		return NULL;
	memset(&request, 0, sizeof(request));
	request.method = "POST";
	request.url = url;
	request.headers = &json;
	request.nheaders = 1;
	request.body = call->body;
	request.body_len = strlen(call->body);
	request.connect_timeout_ms = s->connect_timeout_ms;
	request.timeout_ms = s->call_timeout_ms;
	if (!call->once && left_ms < request.timeout_ms)
		request.timeout_ms = left_ms;
	request.body_max = RESPONSE_MAX;
	request.on_done = on_http_done;
	request.ctx = call;
	return httpc_start(s->httpc, &request);
}

static void
on_http_done(const struct httpc_result *result, void *ctx)
{
	union store_result decoded;
	struct store_call *call;
	enum store_error error;
	struct store *s;

	call = ctx;
	s = call->store;
	call->http = NULL;
	TAILQ_REMOVE(&s->in_flight, call, link);
	TAILQ_INSERT_TAIL(&s->waiting, call, link);
	memset(&decoded, 0, sizeof(decoded));
	error = response_error(call, result);
	if (error == STORE_OK)
		error = decode(call, result, &decoded);
	if (error == STORE_ERR_UNAVAILABLE || error == STORE_ERR_UNKNOWN ||
	    error == STORE_ERR_MALFORMED) {
		store_next_endpoint(s);
		if (!call->once && !s->closing &&
		    schedule_retry(call, retry_reason(result, error))) {
			store_arm_timer(s, 0);
			return;
		}
	} else if (error != STORE_ERR_CANCELLED && error != STORE_ERR_MEMORY)
		store_note_answer(s);
	finish_call(call, error, &decoded);
}

/*
 * Maps the transport error and the HTTP status to an error.  A write was
 * certainly not applied only if the store rejected it or the request was never
 * sent: the store also responds with 5xx when it times out on a write that is
 * applied later.
 */
static enum store_error
response_error(const struct store_call *call, const struct httpc_result *result)
{
	if (result->error == HTTPC_OK) {
		if (result->status == 200)
			return STORE_OK;
		if (result->status == 429)
			return STORE_ERR_UNAVAILABLE;
		if (result->status >= 400 && result->status < 500)
			return store_decode_refusal(
			    result->body, result->body_len);
		return call->once ? STORE_ERR_UNKNOWN : STORE_ERR_UNAVAILABLE;
	}
	if (call->once && result->sent)
		return STORE_ERR_UNKNOWN;
	if (call->store->closing)
		return STORE_ERR_CANCELLED;
	if (result->error == HTTPC_ERR_MEMORY)
		return STORE_ERR_MEMORY;
	if (result->error == HTTPC_ERR_TOO_LARGE)
		return STORE_ERR_MALFORMED;
	return STORE_ERR_UNAVAILABLE;
}

static const char *
retry_reason(const struct httpc_result *result, enum store_error error)
{
	if (result->error != HTTPC_OK)
		return httpc_strerror(result->error);
	return store_strerror(error);
}

static enum store_error
decode(const struct store_call *call, const struct httpc_result *result,
    union store_result *decoded)
{
	int rc;

	rc = -1;
	switch (call->kind) {
	case CALL_RANGE:
		rc = store_decode_range(
		    result->body, result->body_len, &decoded->range);
		break;
	case CALL_TXN:
		rc = store_decode_txn(
		    result->body, result->body_len, &decoded->txn);
		break;
	case CALL_LEASE_GRANT:
	case CALL_LEASE_REVOKE:
		rc = store_decode_lease(
		    result->body, result->body_len, &decoded->lease);
		break;
	case CALL_LEASE_KEEPALIVE:
		rc = store_decode_keepalive(
		    result->body, result->body_len, &decoded->lease);
		if (rc == 0 && decoded->lease.ttl_s <= 0)
			return STORE_ERR_NO_LEASE;
		break;
	case CALL_WATCH:
		break;
	}
	if (rc == 0)
		return STORE_OK;
	return call->once ? STORE_ERR_UNKNOWN : STORE_ERR_MALFORMED;
}

/* Schedules a retry; false if it would start after the deadline. */
static bool
schedule_retry(struct store_call *call, const char *reason)
{
	int64_t due_ms;

	due_ms = clock_now_ms() +
	    store_backoff_ms(
		call->store, call->tries > 0 ? call->tries - 1 : 0);
	if (due_ms >= call->deadline_ms)
		return false;
	call->due_ms = due_ms;
	counter_inc_reason("lagoonpin_store_retries", reason);
	return true;
}

static void
fail_call(struct store_call *call, enum store_error error)
{
	union store_result none;

	memset(&none, 0, sizeof(none));
	finish_call(call, error, &none);
}

/* Calls the callback and frees the call, which is in the waiting list. */
static void
finish_call(
    struct store_call *call, enum store_error error, union store_result *result)
{
	TAILQ_REMOVE(&call->store->waiting, call, link);
	if (error != STORE_OK)
		counter_inc_reason(
		    "lagoonpin_store_errors", store_strerror(error));
	switch (call->kind) {
	case CALL_RANGE:
		result->range.error = error;
		call->done.range(&result->range, call->ctx);
		store_free_range(&result->range);
		break;
	case CALL_TXN:
		result->txn.error = error;
		call->done.txn(&result->txn, call->ctx);
		store_free_txn(&result->txn);
		break;
	case CALL_LEASE_GRANT:
	case CALL_LEASE_KEEPALIVE:
	case CALL_LEASE_REVOKE:
		result->lease.error = error;
		call->done.lease(&result->lease, call->ctx);
		break;
	case CALL_WATCH:
		break;
	}
	free(call->body);
	free(call);
}

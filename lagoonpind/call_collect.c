#include <stdlib.h>
#include <string.h>

#include "callers.h"
#include "clock.h"
#include "counter.h"
#include "learn.h"
#include "log.h"

/*
 * Collection of responses.  A response is matched by request id and attempt
 * number.  A complete one ends the call; after any other end of an attempt
 * the call is retried if allowed.
 */

#define NS_PER_MS 1e6

static bool may_send(void *);
static void on_head(struct httpc_call *, int, void *);
static void on_data(struct httpc_call *, const char *, size_t, void *);
static void on_done(const struct httpc_result *, void *);
static bool matches(const struct attempt *, struct httpc_call *);
static void complete(struct attempt *, const struct httpc_result *);
static void late_response(struct attempt *, const struct httpc_result *);
static void cache_response(const struct call *, const struct cached_response *);
static void observe(const struct attempt *);
static struct cached_response response_of(const struct httpc_result *);
static void refused(struct attempt *, const char *);
static enum outcome_reason failure_of(enum httpc_error);
static bool may_retry(struct call *, enum outcome_attempt);

/*
 * Called before the request is sent.  After a slow connect or a pause of the
 * process the claim may have expired, and the id may have run elsewhere.
 */
static bool
may_send(void *ctx)
{
	const struct attempt *a;

	a = ctx;
	return claim_may_send(&a->call->claim, clock_now_ms());
}

void
call_collect_start(struct attempt *a, struct httpc_request *request)
{
	struct callers *cs;

	cs = a->call->callers;
	request->on_done = on_done;
	if (!a->call->idempotent)
		request->may_send = may_send;
	request->body_max = (size_t)cs->entry->opt.body_max_bytes;
	if (a->lane == LANE_WATCH) {
		request->on_head = on_head;
		request->on_data = on_data;
	}
	a->http = httpc_start(cs->entry->endpoint_http, request);
	if (a->http == NULL)
		call_collect_failed(
		    a, OUTCOME_ATTEMPT_NOT_SENT, OUTCOME_NO_MEMORY);
}

/* A persistent connection could deliver the response to an old request. */
static bool
matches(const struct attempt *a, struct httpc_call *http)
{
	const char *attempt, *id;

	id = httpc_response_header(http, "lagoonpin-request-id");
	if (id == NULL || strcmp(id, a->call->id) != 0)
		return false;
	attempt = httpc_response_header(http, "lagoonpin-attempt");
	return attempt != NULL && strcmp(attempt, a->number_text) == 0;
}

static void
on_head(struct httpc_call *http, int status, void *ctx)
{
	const char *type;
	struct attempt *a;

	a = ctx;
	if (a->call->answered || a->streaming ||
	    httpc_response_header(http, "lagoonpin-not-run") != NULL)
		return;
	if (!matches(a, http))
		return;
	type = httpc_response_header(http, "content-type");
	call_watch_head(a, status, type != NULL ? type : "");
}

static void
on_data(struct httpc_call *http, const char *data, size_t len, void *ctx)
{
	(void)http;
	call_watch_data(ctx, data, len);
}

static void
on_done(const struct httpc_result *r, void *ctx)
{
	const char *refusal;
	struct attempt *a;

	a = ctx;
	a->http = NULL;
	refusal = r->error == HTTPC_OK ?
	    httpc_response_header(r->call, "lagoonpin-not-run") :
	    NULL;
	if (a->streaming)
		call_watch_ended(a, r->error);
	else if (refusal != NULL)
		refused(a, refusal);
	else if (r->error == HTTPC_OK && !matches(a, r->call))
		call_collect_failed(
		    a, OUTCOME_ATTEMPT_UNKNOWN, OUTCOME_ANSWER_MISMATCH);
	else if (r->error == HTTPC_OK && a->call->answered)
		late_response(a, r);
	else if (r->error == HTTPC_OK && a->call->head_sent)
		call_collect_failed(
		    a, OUTCOME_ATTEMPT_UNKNOWN, OUTCOME_ANSWER_CUT);
	else if (r->error == HTTPC_OK)
		complete(a, r);
	else
		call_collect_failed(a,
		    r->sent ? OUTCOME_ATTEMPT_UNKNOWN :
			      OUTCOME_ATTEMPT_NOT_SENT,
		    failure_of(r->error));
}

static enum outcome_reason
failure_of(enum httpc_error error)
{
	switch (error) {
	case HTTPC_ERR_CONNECT:
	case HTTPC_ERR_INVALID:
		return OUTCOME_ENDPOINT_UNREACHABLE;
	case HTTPC_ERR_TOO_LARGE:
		return OUTCOME_ANSWER_TOO_LARGE;
	case HTTPC_ERR_MEMORY:
		return OUTCOME_NO_MEMORY;
	case HTTPC_ERR_TIMEOUT:
		return OUTCOME_DEADLINE_PASSED;
	case HTTPC_OK:
	case HTTPC_ERR_BROKEN:
	case HTTPC_ERR_CANCELLED:
		break;
	}
	return OUTCOME_ANSWER_CUT;
}

static void
observe(const struct attempt *a)
{
	struct call *c;
	int64_t now_ms;
	double ms;

	c = a->call;
	now_ms = clock_now_ms();
	ms = (double)(uv_hrtime() - a->sent_ns) / NS_PER_MS;
	choose_answered(&a->endpoint->lanes[a->lane].ce);
	if (a->endpoint->lanes[a->lane].ce.learnt != NULL)
		learn_call_latency(a->endpoint->lanes[a->lane].ce.learnt,
		    c->service->kind, ms, now_ms);
	explain_attempt(c, a, c->answered ? "late" : "answered", ms);
}

static void
cache_response(const struct call *c, const struct cached_response *answer)
{
	if (c->idempotent)
		return;
	response_cache_put(
	    c->callers->responses, c->id, c->hash, answer, clock_now_ms());
}

static struct cached_response
response_of(const struct httpc_result *r)
{
	struct cached_response answer;

	answer.status = r->status;
	answer.type = httpc_response_header(r->call, "content-type");
	if (answer.type == NULL)
		answer.type = "";
	answer.body = r->body;
	answer.len = r->body_len;
	return answer;
}

static void
complete(struct attempt *a, const struct httpc_result *r)
{
	struct cached_response answer;
	struct call *c;

	c = a->call;
	answer = response_of(r);
	observe(a);
	outcome_ended(&c->facts, OUTCOME_ATTEMPT_COMPLETE);
	budget_success(&c->service->budget, clock_now_ms());
	cache_response(c, &answer);
	admit_finish(&c->item, true, clock_now_ms());
	attempt_end(a, OUTCOME_ATTEMPT_COMPLETE);
	call_answer(c, &answer, OUTCOME_COMPLETE);
}

/*
 * The call has already been answered.  The response is discarded, except that
 * it is cached for a repeat of a non-idempotent call.
 */
static void
late_response(struct attempt *a, const struct httpc_result *r)
{
	struct cached_response answer;
	struct call *c;

	c = a->call;
	counter_inc("lagoonpin_call_late_answers", "");
	observe(a);
	outcome_ended(&c->facts, OUTCOME_ATTEMPT_COMPLETE);
	answer = response_of(r);
	cache_response(c, &answer);
	attempt_end(a, OUTCOME_ATTEMPT_COMPLETE);
	call_free_if_ended(c);
}

/* The endpoint refused the request: it has not run and will not. */
static void
refused(struct attempt *a, const char *why)
{
	enum outcome_reason reason;
	struct endpoint *ep;

	ep = a->endpoint;
	reason = outcome_refusal_reason(why);
	choose_answered(&ep->lanes[a->lane].ce);
	if (reason == OUTCOME_ENDPOINT_LEAVING)
		endpoint_refused_draining(ep, clock_now_ms());
	else if (reason == OUTCOME_ENDPOINT_FENCED)
		endpoint_refused_fenced(ep, a->epoch);
	call_collect_failed(a, OUTCOME_ATTEMPT_REFUSED, reason);
}

static bool
may_retry(struct call *c, enum outcome_attempt how)
{
	enum budget_verdict verdict;
	int64_t now_ms;

	now_ms = clock_now_ms();
	if (c->callers->entry->phase == ENTRY_CLOSING || c->request == NULL ||
	    !outcome_may_send(&c->facts) || c->tries >= CALL_ATTEMPTS_MAX ||
	    now_ms >= c->item.deadline_ms)
		return false;
	/* An attempt that certainly did not run needs no retry budget. */
	if (how != OUTCOME_ATTEMPT_UNKNOWN)
		return true;
	verdict = budget_take(&c->service->budget, BUDGET_RETRY, true, now_ms);
	if (verdict != BUDGET_GRANTED)
		counter_inc_reason("lagoonpin_call_retry_refused",
		    budget_verdict_name(verdict));
	return verdict == BUDGET_GRANTED;
}

void
call_collect_failed(
    struct attempt *a, enum outcome_attempt how, enum outcome_reason reason)
{
	struct call *c;

	c = a->call;
	outcome_ended(&c->facts, how);
	c->failure = reason;
	c->avoid = a->endpoint;
	/* A watch cancelled by this entry is no failure of its endpoint. */
	if (how != OUTCOME_ATTEMPT_REFUSED &&
	    !(c->answered && a->lane == LANE_WATCH))
		choose_failed(&a->endpoint->lanes[a->lane].ce, clock_now_ms());
	explain_attempt(c, a, outcome_reason_name(reason), 0);
	attempt_end(a, how);
	if (c->answered) {
		call_free_if_ended(c);
		return;
	}
	/* The other attempt of a hedged call may still succeed. */
	if (c->facts.open > 0)
		return;
	call_hedge_disarm(c);
	if (may_retry(c, how)) {
		call_count_retry(c->callers, reason);
		admit_requeue(&c->item);
		callers_schedule_pass(c->callers);
		return;
	}
	call_refuse(c, c->request == NULL ? OUTCOME_CALLER_GONE : reason, 0);
}

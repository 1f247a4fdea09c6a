#include <stdio.h>
#include <string.h>

#include "callers.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/*
 * Responses: reports the outcome, its reason and a retry-after time to the
 * client, and counts, logs and records the call for /v1/explain.
 */

#define HEADERS_MAX 6
#define BODY_MAX 512
#define LABELS_MAX 128
#define NS_PER_MS 1e6

static void count_reason(
    struct callers *, enum call_counted, enum outcome_reason);
static struct counter *reason_counter(const char *, enum outcome_reason);
static void count_outcome(struct callers *, const struct outcome_answer *);
static void send_error(struct httpd_request *, const char *, const char *,
    const struct outcome_answer *);
static void settle_claim(struct call *);
static size_t fill_headers(const char *, const struct outcome_answer *,
    const char *, char *, size_t, struct httpd_header *);

static const char *const kind_names[CALL_NCOUNTED] = { "lagoonpin_call_refused",
	"lagoonpin_call_unknown", "lagoonpin_call_retried" };

static struct counter *
reason_counter(const char *name, enum outcome_reason reason)
{
	char labels[LABELS_MAX];

	snprintf(labels, sizeof(labels), "reason=\"%s\"",
	    outcome_reason_name(reason));
	return counter_get(name, labels);
}

/* Creates the counter on first use: unused ones aren't exported as zero. */
static void
count_reason(
    struct callers *cs, enum call_counted kind, enum outcome_reason reason)
{
	struct counter **c;

	c = &cs->reasons[kind][reason];
	if (*c == NULL)
		*c = reason_counter(kind_names[kind], reason);
	counter_add(*c, 1);
}

static void
count_outcome(struct callers *cs, const struct outcome_answer *a)
{
	char labels[LABELS_MAX];

	if (cs->outcomes[a->outcome] == NULL) {
		snprintf(labels, sizeof(labels), "outcome=\"%s\"",
		    outcome_name(a->outcome));
		cs->outcomes[a->outcome] =
		    counter_get("lagoonpin_calls", labels);
	}
	counter_add(cs->outcomes[a->outcome], 1);
	if (a->outcome == OUTCOME_NOT_RUN)
		count_reason(cs, CALL_COUNT_REFUSED, a->reason);
	else if (a->outcome == OUTCOME_UNKNOWN)
		count_reason(cs, CALL_COUNT_UNKNOWN, a->reason);
}

void
call_count_retry(struct callers *cs, enum outcome_reason reason)
{
	count_reason(cs, CALL_COUNT_RETRIED, reason);
}

static size_t
fill_headers(const char *id, const struct outcome_answer *a, const char *type,
    char *seconds, size_t size, struct httpd_header *h)
{
	size_t n;

	n = 0;
	h[n++] = (struct httpd_header){ "lagoonpin-outcome",
		outcome_name(a->outcome) };
	h[n++] = (struct httpd_header){ "lagoonpin-reason",
		outcome_reason_name(a->reason) };
	if (id[0] != '\0')
		h[n++] = (struct httpd_header){ "lagoonpin-request-id", id };
	if (type[0] != '\0')
		h[n++] = (struct httpd_header){ "content-type", type };
	if (a->retry_after_s > 0) {
		snprintf(seconds, size, "%lld", (long long)a->retry_after_s);
		h[n++] = (struct httpd_header){ "retry-after", seconds };
	}
	return n;
}

/* Sends an error response; id and detail need no JSON escapes. */
static void
send_error(struct httpd_request *r, const char *id, const char *detail,
    const struct outcome_answer *a)
{
	struct httpd_header headers[HEADERS_MAX];
	char body[BODY_MAX], seconds[24];
	size_t n;

	n = fill_headers(
	    id, a, "application/json", seconds, sizeof(seconds), headers);
	snprintf(body, sizeof(body),
	    "{\"error\":\"%s\",\"outcome\":\"%s\",\"request\":\"%s\","
	    "\"detail\":\"%s\"}\n",
	    outcome_reason_name(a->reason), outcome_name(a->outcome), id,
	    detail);
	httpd_reply(r, a->status, headers, n, body, strlen(body));
}

void
call_refuse_request(struct callers *cs, struct httpd_request *r, const char *id,
    const struct outcome_facts *facts, enum outcome_reason reason,
    const char *detail)
{
	struct outcome_answer a;

	a = outcome_derive(facts, reason, 0);
	count_outcome(cs, &a);
	log_debug("call_refused", "request=%s reason=%s detail=%s",
	    id[0] != '\0' ? id : "-", outcome_reason_name(reason), detail);
	send_error(r, id, detail, &a);
}

static void
settle_claim(struct call *c)
{
	if (c->idempotent)
		return;
	call_claim_forget(c);
	claim_finish(&c->claim, outcome_may_have_run(&c->facts));
}

/* The response has been sent, or the client has disconnected. */
void
call_answer_finish(struct call *c, const struct outcome_answer *a)
{
	double took_ms;

	call_hedge_disarm(c);
	took_ms = (double)(uv_hrtime() - c->arrived_ns) / NS_PER_MS;
	count_outcome(c->callers, a);
	explain_end(c, a);
	if (a->outcome == OUTCOME_ANSWERED && c->lane == LANE_UNARY)
		latency_observe(c->service->latency, took_ms);
	log_event(
	    a->outcome == OUTCOME_UNKNOWN ? LOG_LEVEL_INFO : LOG_LEVEL_DEBUG,
	    "call_over",
	    "request=%s service=%s outcome=%s reason=%s attempts=%d "
	    "took_ms=%.3f",
	    c->id, c->service->name, outcome_name(a->outcome),
	    outcome_reason_name(a->reason), c->nattempts, took_ms);
	c->answered = true;
	c->request = NULL;
	c->body = NULL;
	call_free_if_ended(c);
}

/*
 * Fails the call.  The outcome is derived from the state of its attempts,
 * independently of the reason.
 */
void
call_refuse(struct call *c, enum outcome_reason reason, int64_t retry_after_ms)
{
	struct outcome_answer a;

	/* The response has begun and can only be ended or cut. */
	if (c->head_sent && c->request != NULL) {
		call_watch_close(c);
		return;
	}
	a = outcome_derive(&c->facts, reason, retry_after_ms);
	admit_cancel(&c->item);
	settle_claim(c);
	if (c->request != NULL)
		send_error(c->request, c->id, c->service->name, &a);
	call_watch_cancel(c, &a);
}

void
call_answer(struct call *c, const struct cached_response *answer,
    enum outcome_reason reason)
{
	struct httpd_header headers[HEADERS_MAX];
	struct outcome_answer a;
	char seconds[24];
	size_t n;

	c->facts.complete = true;
	a = outcome_derive(&c->facts, reason, 0);
	a.status = answer->status;
	settle_claim(c);
	n = fill_headers(
	    c->id, &a, answer->type, seconds, sizeof(seconds), headers);
	if (c->request != NULL)
		httpd_reply(c->request, answer->status, headers, n,
		    answer->body, answer->len);
	call_answer_finish(c, &a);
}

void
call_answer_begin(struct call *c, int status, const char *type)
{
	struct httpd_header headers[HEADERS_MAX];
	struct outcome_answer a;
	char seconds[24];
	size_t n;

	a = (struct outcome_answer){ OUTCOME_ANSWERED, OUTCOME_COMPLETE, status,
		0 };
	n = fill_headers(c->id, &a, type, seconds, sizeof(seconds), headers);
	httpd_begin(c->request, status, headers, n);
}

void
call_answer_end(struct call *c)
{
	struct outcome_answer a;

	c->facts.complete = true;
	a = outcome_derive(&c->facts, OUTCOME_COMPLETE, 0);
	settle_claim(c);
	httpd_on_disconnect(c->request, NULL, NULL);
	httpd_end(c->request);
	call_answer_finish(c, &a);
}

/* Aborts the connection, so that the response can't be taken as complete. */
void
call_answer_cut(struct call *c)
{
	struct outcome_answer a;

	a = outcome_derive(&c->facts, OUTCOME_ANSWER_CUT, 0);
	settle_claim(c);
	httpd_on_disconnect(c->request, NULL, NULL);
	httpd_abort(c->request);
	call_answer_finish(c, &a);
}

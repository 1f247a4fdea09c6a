#include <string.h>

#include "callers.h"
#include "clock.h"
#include "counter.h"

/*
 * Watches: responses that are streamed to the client.  If the stream from the
 * endpoint breaks, the client's connection is aborted, so that the client
 * can't take the partial response as complete.
 *
 * When an endpoint drains, its idempotent watches are moved: the request is
 * sent to another endpoint, and the new response continues in the same stream
 * from its start.  If a watch can't be moved, since it is not idempotent, this
 * entry stops or no endpoint has a free connection, the stream ends with a
 * line that tells the client to reopen it; without it, the end would look like
 * the end of the watched data.  Both require line boundaries, so streams of
 * other types than CALL_NDJSON_TYPE are cut.
 */

#define MOVE_TIMEOUT_MS 5000 /* time allowed to start at another endpoint */

static void drain_attempt(struct attempt *);
static void move(struct attempt *);
static void resend(struct call *);
static struct httpc_call *stream_of(struct call *);

/* Once its response has begun, a watch has no deadline at this entry. */
void
call_watch_head(struct attempt *a, int status, const char *type)
{
	struct call *c;

	c = a->call;
	if (c->head_sent && status != STATUS_OK)
		return;
	a->streaming = true;
	admit_finish(&c->item, false, clock_now_ms());
	choose_answered(&a->endpoint->lanes[a->lane].ce);
	if (c->head_sent)
		return;
	c->head_sent = true;
	c->at_line_end = true;
	c->is_ndjson =
	    strncmp(type, CALL_NDJSON_TYPE, strlen(CALL_NDJSON_TYPE)) == 0;
	call_answer_begin(c, status, type);
}

void
call_watch_data(struct attempt *a, const char *data, size_t len)
{
	struct call *c;

	c = a->call;
	if (!a->streaming || c->answered || len == 0)
		return;
	httpd_send(c->request, data, len);
	c->at_line_end = data[len - 1] == '\n';
	if (a->draining && c->at_line_end)
		drain_attempt(a);
}

/* The stream was ended by the endpoint, broke or was cancelled. */
void
call_watch_ended(struct attempt *a, enum httpc_error error)
{
	struct call *c;
	bool moved;

	c = a->call;
	moved = a->moved;
	outcome_ended(&c->facts,
	    error == HTTPC_OK ? OUTCOME_ATTEMPT_COMPLETE :
				OUTCOME_ATTEMPT_UNKNOWN);
	explain_attempt(c, a, moved ? "moved" : httpc_strerror(error), 0);
	/* The endpoint's connection is free once it is closed. */
	attempt_end(a,
	    error == HTTPC_OK || error == HTTPC_ERR_CANCELLED ?
		OUTCOME_ATTEMPT_COMPLETE :
		OUTCOME_ATTEMPT_UNKNOWN);
	if (c->answered)
		call_free_if_ended(c);
	else if (moved)
		resend(c);
	else if (error == HTTPC_OK)
		call_answer_end(c);
	else
		call_answer_cut(c);
}

/* The endpoint drains or this entry stops. */
void
call_watch_drain(struct endpoint *ep)
{
	struct attempt *a, *next;

	for (a = LIST_FIRST(&ep->attempts); a != NULL; a = next) {
		next = LIST_NEXT(a, endpoint_link);
		if (!a->streaming || a->call->answered)
			continue;
		a->draining = true;
		if (a->call->at_line_end || !a->call->is_ndjson)
			drain_attempt(a);
	}
}

static void
drain_attempt(struct attempt *a)
{
	struct call *c;

	c = a->call;
	if (c->is_ndjson && c->idempotent && !c->callers->draining)
		move(a);
	else
		call_watch_close(c);
}

static void
move(struct attempt *a)
{
	counter_inc("lagoonpin_watches_moved", "");
	a->moved = true;
	httpc_cancel(a->http);
}

static void
resend(struct call *c)
{
	int64_t now_ms, retry_after_ms;

	now_ms = clock_now_ms();
	c->tries = 0;
	c->item.deadline_ms = now_ms + MOVE_TIMEOUT_MS;
	if (admit_offer(c->service->lanes[c->lane].admit, &c->item, now_ms,
		&retry_after_ms) != ADMIT_ACCEPTED) {
		call_watch_close(c);
		return;
	}
	callers_schedule_pass(c->callers);
}

static struct httpc_call *
stream_of(struct call *c)
{
	struct attempt *a;

	LIST_FOREACH (a, &c->attempts, link) {
		if (a->lane == LANE_WATCH && a->http != NULL)
			return a->http;
	}
	return NULL;
}

/* Ends the stream so that it can't be taken for the end of the data. */
void
call_watch_close(struct call *c)
{
	struct httpc_call *stream;

	stream = stream_of(c);
	admit_cancel(&c->item);
	if (c->is_ndjson && c->at_line_end) {
		counter_inc("lagoonpin_watches_reopened", "");
		httpd_send(
		    c->request, CALL_REOPEN_LINE, strlen(CALL_REOPEN_LINE));
		call_answer_end(c);
	} else {
		call_answer_cut(c);
	}
	if (stream != NULL)
		httpc_cancel(stream);
}

/* Finishes the call, then cancels its stream from the endpoint. */
void
call_watch_cancel(struct call *c, const struct outcome_answer *answer)
{
	struct httpc_call *stream;

	stream = stream_of(c);
	call_answer_finish(c, answer);
	if (stream != NULL)
		httpc_cancel(stream);
}

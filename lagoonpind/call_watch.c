#include <string.h>

#include "callers.h"
#include "clock.h"
#include "counter.h"

/*
 * Standing watches: their answers are passed on as they come.  A stream that
 * breaks is cut, so that the caller can't take what it has for the whole.
 *
 * When an endpoint leaves, the watches on it are moved to another one: the
 * request is sent again there and its answer goes on in the same stream,
 * beginning anew.  Where that can't be, since this entry stops or nobody has
 * room, the stream ends with a line that tells the caller to open it again;
 * without that line its end would look like the end of what is watched.
 * Both need to know where a line ends, so other streams are cut instead.
 */

#define MOVE_MS 5000 /* how long a place elsewhere is waited for */

static void leave(struct attempt *);
static void move(struct attempt *);
static void send_again(struct call *);
static struct httpc_call *stream_of(struct call *);

/* From here on the watch has no deadline of ours. */
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
		leave(a);
}

/* The stream ended at the endpoint, was cut, or was cancelled from here. */
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
	/* Closing its connection gives its place at the endpoint back. */
	attempt_end(a,
	    error == HTTPC_OK || error == HTTPC_ERR_CANCELLED ?
		OUTCOME_ATTEMPT_COMPLETE :
		OUTCOME_ATTEMPT_UNKNOWN);
	if (c->answered)
		call_free_if_ended(c);
	else if (moved)
		send_again(c);
	else if (error == HTTPC_OK)
		call_answer_end(c);
	else
		call_answer_cut(c);
}

/* The endpoint leaves or this entry stops. */
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
			leave(a);
	}
}

static void
leave(struct attempt *a)
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
send_again(struct call *c)
{
	int64_t now_ms, retry_after_ms;

	now_ms = clock_now_ms();
	c->tries = 0;
	c->item.deadline_ms = now_ms + MOVE_MS;
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

/* End the stream, in a way that can't be taken for the end of the watch. */
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

/* Nobody reads the watch any more. */
void
call_watch_cancel(struct call *c, const struct outcome_answer *answer)
{
	struct httpc_call *stream;

	stream = stream_of(c);
	call_answer_finish(c, answer);
	if (stream != NULL)
		httpc_cancel(stream);
}

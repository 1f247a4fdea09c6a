#include <stdio.h>
#include <string.h>

#include "callers.h"
#include "clock.h"

/*
 * Dispatch: sends the call to its endpoint.  A non-idempotent call first
 * claims its id, while it holds the credit: a claim without a credit would use
 * up the id of a call that may never start.
 */

#define CONNECT_TIMEOUT_MS 1000
/* Wait for a response beyond the deadline, to learn when the endpoint's slot
 * becomes free. */
#define LATE_MS 5000
#define HEADERS_MAX 9

static void send_attempt(struct call *, struct attempt *, int64_t);
static size_t fill_headers(const struct call *, const struct attempt *,
    const char *, const char *, struct httpc_header *);

void
call_dispatch(struct call *c, struct attempt *a)
{
	int64_t now_ms;

	now_ms = clock_now_ms();
	if (!outcome_may_send(&c->facts)) {
		attempt_end(a, OUTCOME_ATTEMPT_NOT_SENT);
		call_refuse(c, c->failure, 0);
		return;
	}
	if (!c->idempotent && c->claim.state != CLAIM_GRANTED) {
		call_claim_start(c, a);
		return;
	}
	if (!c->idempotent && !claim_may_send(&c->claim, now_ms)) {
		attempt_end(a, OUTCOME_ATTEMPT_NOT_SENT);
		call_refuse(c, OUTCOME_CLAIM_TOO_OLD, 0);
		return;
	}
	send_attempt(c, a, now_ms);
}

static size_t
fill_headers(const struct call *c, const struct attempt *a, const char *epoch,
    const char *remaining, struct httpc_header *h)
{
	size_t n;

	n = 0;
	h[n++] = (struct httpc_header){ "lagoonpin-shard", a->endpoint->shard };
	h[n++] = (struct httpc_header){ "lagoonpin-epoch", epoch };
	h[n++] = (struct httpc_header){ "lagoonpin-request-id", c->id };
	h[n++] = (struct httpc_header){ "lagoonpin-attempt", a->number_text };
	h[n++] = (struct httpc_header){ "lagoonpin-deadline-ms", remaining };
	h[n++] = (struct httpc_header){ "lagoonpin-idempotent",
		c->idempotent ? "yes" : "no" };
	if (c->item.team[0] != '\0')
		h[n++] =
		    (struct httpc_header){ "lagoonpin-team", c->item.team };
	if (c->lane == LANE_WATCH)
		h[n++] = (struct httpc_header){ "lagoonpin-watch", "yes" };
	if (c->type[0] != '\0')
		h[n++] = (struct httpc_header){ "content-type", c->type };
	return n;
}

static void
send_attempt(struct call *c, struct attempt *a, int64_t now_ms)
{
	struct httpc_header headers[HEADERS_MAX];
	struct httpc_request request;
	char epoch[24], remaining[24], url[CALL_URL_MAX];
	int64_t remaining_ms;

	remaining_ms = c->item.deadline_ms - now_ms;
	snprintf(url, sizeof(url), "http://%s/call/%s", a->endpoint->address,
	    c->service->name);
	snprintf(epoch, sizeof(epoch), "%llu", (unsigned long long)a->epoch);
	snprintf(remaining, sizeof(remaining), "%lld",
	    (long long)(c->endpoint_deadline_ms - now_ms));
	memset(&request, 0, sizeof(request));
	request.method = "POST";
	request.url = url;
	request.headers = headers;
	request.nheaders = fill_headers(c, a, epoch, remaining, headers);
	request.body = c->body;
	request.body_len = c->body_len;
	request.connect_timeout_ms = remaining_ms < CONNECT_TIMEOUT_MS ?
	    remaining_ms :
	    CONNECT_TIMEOUT_MS;
	request.timeout_ms = c->lane == LANE_WATCH ? 0 : remaining_ms + LATE_MS;
	request.ctx = a;
	a->sent_ns = uv_hrtime();
	outcome_sent(&c->facts);
	if (c->has_client_id)
		recent_ids_add(c->callers->recent_ids, c->id, now_ms);
	call_hedge_arm(c, now_ms);
	call_collect_start(a, &request);
}

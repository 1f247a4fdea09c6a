#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "load.h"
#include "log.h"

#define US_PER_MS 1000
#define MS_PER_S 1000
#define REPEAT_MS 10 /* after no answer, before another entry is tried */
#define GRACE_MS 5000 /* beyond the deadline, for the answer that it's over */
#define LATE_MS 1000 /* an answer so late after the deadline is counted */
#define HEADERS_MAX 8
#define DIRECT_SHARD "direct"

struct call {
	struct load *load;
	struct plan_request request;
	char id[LOAD_ID_SIZE];
	char *body;
	size_t body_len;
	struct check_expected expected;
	struct check_watch watch;
	int64_t tries;
	int64_t first_us;
	int64_t sent_us;
	bool maybe_ran; /* some try ended neither answered nor not-run */
	bool streaming; /* the answer of a watch has begun */
	uv_timer_t timer;
};

static void make_body(struct call *);
static int64_t deadline_ms(const struct call *);
static void send_try(struct call *);
static size_t fill_headers(struct call *, struct httpc_header *);
static void again(uv_timer_t *);
static void headers_in(struct httpc_call *, int, void *);
static void data_in(struct httpc_call *, const char *, size_t, void *);
static void answered(const struct httpc_result *, void *);
static const char *header_or(
    const struct httpc_result *, const char *, const char *);
static enum tally_outcome judge(struct call *, const struct httpc_result *,
    const char **outcome, const char **reason);
static enum tally_outcome judge_direct(struct call *,
    const struct httpc_result *, const char **outcome, const char **reason);
static void check_whole(struct call *, const struct httpc_result *);
static int64_t repeat_delay_ms(
    struct call *, const struct httpc_result *, enum tally_outcome);
static void finish(struct call *, enum tally_outcome);
static void timer_closed(uv_handle_t *);

void
caller_start(struct load *load, const struct plan_request *request)
{
	static const char letters[] = "inw";
	struct call *c;

	if ((c = calloc(1, sizeof(*c))) == NULL)
		err(1, "call");
	c->load = load;
	c->request = *request;
	snprintf(c->id, sizeof(c->id), "%c-%lld-%llu", letters[request->kind],
	    (long long)load->options.seed, (unsigned long long)request->number);
	make_body(c);
	uv_timer_init(load->loop, &c->timer);
	c->timer.data = c;
	load->in_flight++;
	c->first_us = load_now_us();
	send_try(c);
}

/* What the endpoint is to do, then bytes that differ from call to call. */
static void
make_body(struct call *c)
{
	const struct load_options *o;
	char head[128];
	size_t len, i;

	o = &c->load->options;
	len = 0;
	head[0] = '\0';
	if (o->run_ms >= 0)
		len += (size_t)snprintf(
		    head, sizeof(head), "!run_ms=%lld", (long long)o->run_ms);
	if (o->answer_bytes > 0)
		len += (size_t)snprintf(head + len, sizeof(head) - len,
		    "%sanswer_bytes=%lld", len == 0 ? "!" : " ",
		    (long long)o->answer_bytes);
	if (c->request.kind == PLAN_WATCH && o->watch_lines > 0)
		len += (size_t)snprintf(head + len, sizeof(head) - len,
		    "%slines=%lld", len == 0 ? "!" : " ",
		    (long long)o->watch_lines);
	c->body_len = len + 1 + c->request.body_bytes;
	if ((c->body = malloc(c->body_len)) == NULL)
		err(1, "body");
	memcpy(c->body, head, len);
	c->body[len] = '\n';
	for (i = len + 1; i < c->body_len; i++)
		c->body[i] = (char)('a' + (c->request.number + i * i) % 26);
	c->expected.id = c->id;
	c->expected.size = c->body_len;
	c->expected.hash = check_hash(c->body, c->body_len);
}

static int64_t
deadline_ms(const struct call *c)
{
	return c->request.kind == PLAN_WATCH ? c->load->options.watch_ms :
					       c->load->options.deadline_ms;
}

static size_t
fill_headers(struct call *c, struct httpc_header *headers)
{
	static char deadline[32], try_number[32];
	size_t n;

	n = 0;
	snprintf(deadline, sizeof(deadline), "%lld", (long long)deadline_ms(c));
	headers[n++] = (struct httpc_header){ "lagoonpin-request-id", c->id };
	headers[n++] =
	    (struct httpc_header){ "lagoonpin-deadline-ms", deadline };
	if (c->request.kind == PLAN_WATCH)
		headers[n++] =
		    (struct httpc_header){ "lagoonpin-watch", "yes" };
	if (c->request.direct) {
		snprintf(try_number, sizeof(try_number), "%lld",
		    (long long)c->tries);
		headers[n++] =
		    (struct httpc_header){ "lagoonpin-shard", DIRECT_SHARD };
		headers[n++] = (struct httpc_header){ "lagoonpin-epoch", "1" };
		headers[n++] =
		    (struct httpc_header){ "lagoonpin-attempt", try_number };
		return n;
	}
	headers[n++] = (struct httpc_header){ "lagoonpin-idempotent",
		c->request.kind == PLAN_NON_IDEMPOTENT ? "no" : "yes" };
	if (c->maybe_ran)
		headers[n++] =
		    (struct httpc_header){ "lagoonpin-repeat", "yes" };
	if (c->request.urgent)
		headers[n++] =
		    (struct httpc_header){ "lagoonpin-priority", "urgent" };
	if (c->load->options.team[0] != '\0')
		headers[n++] = (struct httpc_header){ "lagoonpin-team",
			c->load->options.team };
	return n;
}

static void
send_try(struct call *c)
{
	struct httpc_header headers[HEADERS_MAX];
	struct httpc_request request;
	struct setting_address *to;
	struct load *load;
	char address[SETTING_ADDRESS_SIZE], url[LOAD_URL_SIZE];
	size_t target;

	load = c->load;
	c->tries++;
	tally_sent(load->tally, c->request.kind, c->tries > 1);
	target = plan_target(load->plan, c->request.direct);
	to = c->request.direct ? &load->options.direct.at[target] :
				 &load->options.entries.at[target];
	settings_address_text(to, address, sizeof(address));
	snprintf(url, sizeof(url), "http://%s%s/call/%s", address,
	    c->request.direct ? "" : "/v1", c->request.service);
	memset(&request, 0, sizeof(request));
	request.method = "POST";
	request.url = url;
	request.headers = headers;
	request.nheaders = fill_headers(c, headers);
	request.body = c->body;
	request.body_len = c->body_len;
	request.connect_timeout_ms = deadline_ms(c);
	request.timeout_ms = deadline_ms(c) + GRACE_MS;
	request.on_done = answered;
	request.ctx = c;
	memset(&c->watch, 0, sizeof(c->watch));
	c->streaming = false;
	if (c->request.kind == PLAN_WATCH) {
		request.on_head = headers_in;
		request.on_data = data_in;
	}
	c->sent_us = load_now_us();
	if (httpc_start(load->httpc, &request) == NULL)
		err(1, "request");
}

static void
again(uv_timer_t *timer)
{
	send_try(timer->data);
}

static void
headers_in(struct httpc_call *call, int status, void *ctx)
{
	const char *outcome;
	struct call *c;

	c = ctx;
	outcome = httpc_response_header(call, "lagoonpin-outcome");
	c->streaming = c->request.direct ?
	    status == 200 :
	    outcome != NULL && strcmp(outcome, "answered") == 0;
}

static void
data_in(struct httpc_call *call, const char *data, size_t len, void *ctx)
{
	struct call *c;

	(void)call;
	c = ctx;
	if (c->streaming)
		check_watch_data(&c->watch, &c->expected, data, len);
}

static const char *
header_or(
    const struct httpc_result *result, const char *name, const char *otherwise)
{
	const char *value;

	value = httpc_response_header(result->call, name);
	return value == NULL ? otherwise : value;
}

/* The transfer was whole: the answer must be whole, and ours. */
static void
check_whole(struct call *c, const struct httpc_result *result)
{
	struct tally *tally;

	tally = c->load->tally;
	if (c->request.kind != PLAN_WATCH) {
		if (check_answer(&c->expected, result->body,
			result->body_len) != CHECK_RIGHT)
			tally_fault(tally, TALLY_WRONG_ANSWER, c->id);
		return;
	}
	tally_count(tally, "watch_lines", c->watch.lines);
	tally_count(tally, "watch_moves", c->watch.moves);
	if (c->watch.result != CHECK_RIGHT ||
	    !(c->watch.complete || c->watch.reopen))
		log_error("watch_wrong",
		    "id=%s try=%lld result=%s line=%lld rest=%zu", c->id,
		    (long long)c->tries, check_name(c->watch.result),
		    c->watch.last_line, c->watch.line_len);
	if (c->watch.result != CHECK_RIGHT)
		tally_fault(tally, TALLY_WRONG_ANSWER, c->id);
	else if (!c->watch.complete && !c->watch.reopen)
		tally_fault(tally, TALLY_CUT_AS_WHOLE, c->id);
}

static enum tally_outcome
judge_direct(struct call *c, const struct httpc_result *result,
    const char **outcome, const char **reason)
{
	*reason = header_or(result, "lagoonpin-not-run", "");
	if (**reason != '\0') {
		*outcome = "not-run";
		return TALLY_NOT_RUN;
	}
	*outcome = result->status == 200 ? "answered" : "unknown";
	*reason = result->status == 200 ? "direct" : "status";
	if (result->status != 200)
		return TALLY_UNKNOWN;
	check_whole(c, result);
	return TALLY_ANSWERED;
}

static enum tally_outcome
judge(struct call *c, const struct httpc_result *result, const char **outcome,
    const char **reason)
{
	*outcome = "no-answer";
	*reason = httpc_strerror(result->error);
	if (result->error != HTTPC_OK)
		return TALLY_NO_ANSWER;
	if (c->request.direct)
		return judge_direct(c, result, outcome, reason);
	*outcome = header_or(result, "lagoonpin-outcome", "none");
	*reason = header_or(result, "lagoonpin-reason", "none");
	if (strcmp(*outcome, "answered") == 0) {
		check_whole(c, result);
		if (c->watch.reopen) {
			*outcome = "reopen";
			return TALLY_REOPEN;
		}
		return TALLY_ANSWERED;
	}
	if (strcmp(*outcome, "not-run") == 0)
		return TALLY_NOT_RUN;
	if (strcmp(*outcome, "unknown") != 0)
		tally_fault(c->load->tally, TALLY_NO_OUTCOME, c->id);
	return TALLY_UNKNOWN;
}

/* -1: the request isn't tried again. */
static int64_t
repeat_delay_ms(struct call *c, const struct httpc_result *result,
    enum tally_outcome outcome)
{
	const char *after, *problem;
	long long seconds;

	if (outcome == TALLY_ANSWERED || c->tries >= c->load->options.tries)
		return -1;
	if (outcome != TALLY_NOT_RUN)
		return REPEAT_MS;
	after = header_or(result, "retry-after", "");
	if (after[0] == '\0')
		return -1;
	seconds = strtonum(after, 1, 3600, &problem);
	if (problem != NULL) {
		tally_count(c->load->tally, "bad_retry_after", 1);
		return -1;
	}
	return seconds * MS_PER_S;
}

static void
answered(const struct httpc_result *result, void *ctx)
{
	enum tally_outcome verdict;
	const char *outcome, *reason;
	int64_t delay_ms, took_us;
	struct call *c;

	c = ctx;
	took_us = load_now_us() - c->sent_us;
	verdict = judge(c, result, &outcome, &reason);
	tally_reason(c->load->tally, outcome, reason);
	if (verdict == TALLY_UNKNOWN)
		log_info("unknown", "id=%s try=%lld reason=%s after_ms=%lld",
		    c->id, (long long)c->tries, reason,
		    (long long)(took_us / US_PER_MS));
	if (took_us > (deadline_ms(c) + LATE_MS) * US_PER_MS)
		tally_count(c->load->tally, "late", 1);
	if (verdict == TALLY_ANSWERED && c->request.kind != PLAN_WATCH &&
	    c->tries == 1)
		tally_latency(c->load->tally, c->request.direct,
		    (double)took_us / US_PER_MS);
	if (verdict == TALLY_UNKNOWN ||
	    (verdict == TALLY_NO_ANSWER && result->sent))
		c->maybe_ran = true;
	delay_ms = repeat_delay_ms(c, result, verdict);
	if (delay_ms >= 0)
		uv_timer_start(&c->timer, again, (uint64_t)delay_ms, 0);
	else
		finish(c, verdict);
}

static void
finish(struct call *c, enum tally_outcome outcome)
{
	struct load *load;

	load = c->load;
	/* A try that may have run isn't undone by a later "not run". */
	if (outcome == TALLY_NOT_RUN && c->maybe_ran)
		outcome = TALLY_UNKNOWN;
	tally_final(load->tally, c->request.kind, outcome);
	if (outcome == TALLY_ANSWERED && c->request.kind != PLAN_WATCH)
		tally_total_latency(load->tally,
		    (double)(load_now_us() - c->first_us) / US_PER_MS);
	audit_add(load->audit, c->id, c->request.kind,
	    outcome == TALLY_ANSWERED,
	    !c->maybe_ran && outcome == TALLY_NOT_RUN);
	load->in_flight--;
	uv_close((uv_handle_t *)&c->timer, timer_closed);
	load->on_progress(load);
}

static void
timer_closed(uv_handle_t *handle)
{
	struct call *c;

	c = handle->data;
	free(c->body);
	free(c);
}

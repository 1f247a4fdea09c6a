#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_rng.h>

#include "clock.h"
#include "exchange.h"

#define HEADERS_MAX 8
#define CROSSED_ID "crossed-answer"

struct answer {
	int status;
	struct httpd_header headers[HEADERS_MAX];
	size_t nheaders;
	char *body;
	size_t len;
};

struct exchange {
	TAILQ_ENTRY(exchange) link;
	struct gate *gate;
	struct httpd_request *request;
	exchange_handler *handler;
	void *handler_ctx;
	exchange_gone *on_gone;
	void *gone_ctx;
	struct fault fault; /* what hits this request */
	bool held; /* in one of the gate's lists */
	struct exchange_list *list;
	int64_t due_ms;
	struct answer answer;
};

TAILQ_HEAD(exchange_list, exchange);

struct gate {
	struct fault fault;
	gsl_rng *rng;
	struct exchange_list frozen; /* not handled yet */
	struct exchange_list slow; /* handled, the answer is due later */
};

static void hold(struct exchange *, struct exchange_list *);
static void release(struct exchange *);
static void drain(struct exchange_list *);
static void caller_gone(struct httpd_request *, void *);
static void copy_answer(struct exchange *, int, const struct httpd_header *,
    size_t, const void *, size_t);
static void free_answer(struct answer *);
static void answer_now(struct exchange *);
static void cut_half(struct exchange *);
static void spoil(struct exchange *);
static void cut(struct httpd_request *);

static const char *const mode_names[] = { "none", "slow", "freeze", "cut",
	"fail_tasks", "lose_answers", "cut_answers", "rubbish" };
#define NMODES (sizeof(mode_names) / sizeof(mode_names[0]))

struct gate *
gate_open(unsigned long seed)
{
	struct gate *g;

	if ((g = calloc(1, sizeof(*g))) == NULL)
		return NULL;
	if ((g->rng = gsl_rng_alloc(gsl_rng_taus)) == NULL) {
		free(g);
		return NULL;
	}
	gsl_rng_set(g->rng, seed);
	TAILQ_INIT(&g->frozen);
	TAILQ_INIT(&g->slow);
	return g;
}

void
gate_close(struct gate *g)
{
	if (g == NULL)
		return;
	drain(&g->frozen);
	drain(&g->slow);
	gsl_rng_free(g->rng);
	free(g);
}

int
fault_parse(const char *name, enum fault_mode *mode)
{
	size_t i;

	for (i = 0; i < NMODES; i++) {
		if (strcmp(name, mode_names[i]) == 0) {
			*mode = (enum fault_mode)i;
			return 0;
		}
	}
	return -1;
}

const char *
fault_name(enum fault_mode mode)
{
	return mode_names[mode];
}

void
gate_set_fault(struct gate *g, const struct fault *fault)
{
	g->fault = *fault;
}

const struct fault *
gate_fault(const struct gate *g)
{
	return &g->fault;
}

/* Only an answer that has begun can break off. */
static void
cut(struct httpd_request *request)
{
	httpd_begin(request, 200, NULL, 0);
	httpd_abort(request);
}

static void
hold(struct exchange *x, struct exchange_list *list)
{
	x->held = true;
	x->list = list;
	TAILQ_INSERT_TAIL(list, x, link);
}

static void
release(struct exchange *x)
{
	if (x->held)
		TAILQ_REMOVE(x->list, x, link);
	free_answer(&x->answer);
	free(x);
}

static void
drain(struct exchange_list *list)
{
	struct exchange *x;

	while ((x = TAILQ_FIRST(list)) != NULL) {
		TAILQ_REMOVE(list, x, link);
		x->held = false;
		httpd_on_disconnect(x->request, NULL, NULL);
		release(x);
	}
}

static void
caller_gone(struct httpd_request *request, void *ctx)
{
	struct exchange *x;

	(void)request;
	x = ctx;
	x->request = NULL;
	if (x->on_gone != NULL)
		x->on_gone(x, x->gone_ctx);
	release(x);
}

void
gate_enter(struct gate *g, struct httpd_request *request,
    exchange_handler *handler, void *ctx, int64_t now_ms)
{
	struct exchange *x;

	gate_tick(g, now_ms);
	if ((x = calloc(1, sizeof(*x))) == NULL) {
		httpd_reply(request, 500, NULL, 0, "", 0);
		return;
	}
	x->gate = g;
	x->request = request;
	x->handler = handler;
	x->handler_ctx = ctx;
	if (g->fault.mode != FAULT_NONE &&
	    gsl_rng_uniform_int(g->rng, 100) <
		(unsigned long)g->fault.probability_percent)
		x->fault = g->fault;
	if (x->fault.mode == FAULT_CUT) {
		free(x);
		cut(request);
		return;
	}
	httpd_on_disconnect(request, caller_gone, x);
	if (x->fault.mode == FAULT_FREEZE)
		hold(x, &g->frozen);
	else
		handler(x, ctx);
}

void
gate_tick(struct gate *g, int64_t now_ms)
{
	struct exchange *x, *next;

	if (g->fault.until_ms != 0 && now_ms >= g->fault.until_ms)
		memset(&g->fault, 0, sizeof(g->fault));
	if (g->fault.mode != FAULT_FREEZE) {
		while ((x = TAILQ_FIRST(&g->frozen)) != NULL) {
			TAILQ_REMOVE(&g->frozen, x, link);
			x->held = false;
			x->handler(x, x->handler_ctx);
		}
	}
	TAILQ_FOREACH_SAFE(x, &g->slow, link, next)
	{
		if (now_ms >= x->due_ms)
			answer_now(x);
	}
}

struct httpd_request *
exchange_request(struct exchange *x)
{
	return x->request;
}

void
exchange_on_gone(struct exchange *x, exchange_gone *gone, void *ctx)
{
	x->on_gone = gone;
	x->gone_ctx = ctx;
}

static void
copy_answer(struct exchange *x, int status, const struct httpd_header *headers,
    size_t nheaders, const void *body, size_t len)
{
	struct answer *a;
	size_t i;

	a = &x->answer;
	a->status = status;
	for (i = 0; i < nheaders && i < HEADERS_MAX; i++) {
		a->headers[i].name = strdup(headers[i].name);
		a->headers[i].value = strdup(headers[i].value);
	}
	a->nheaders = i;
	if ((a->body = malloc(len + 1)) == NULL)
		return;
	memcpy(a->body, body, len);
	a->len = len;
}

static void
free_answer(struct answer *a)
{
	size_t i;

	for (i = 0; i < a->nheaders; i++) {
		free((char *)a->headers[i].name);
		free((char *)a->headers[i].value);
	}
	free(a->body);
}

static void
answer_now(struct exchange *x)
{
	struct answer *a;

	a = &x->answer;
	httpd_reply(
	    x->request, a->status, a->headers, a->nheaders, a->body, a->len);
	release(x);
}

static void
cut_half(struct exchange *x)
{
	struct answer *a;

	a = &x->answer;
	httpd_begin(x->request, a->status, a->headers, a->nheaders);
	httpd_send(x->request, a->body, a->len / 2);
	httpd_abort(x->request);
	release(x);
}

/* What a confused worker says: another caller's id and half a document. */
static void
spoil(struct exchange *x)
{
	static const char rubbish[] = "{\"task\":[1,2";
	struct httpd_header headers[] = { { "lagoonpin-request-id",
	    CROSSED_ID } };

	httpd_reply(x->request, 200, headers, 1, rubbish, sizeof(rubbish) - 1);
	release(x);
}

void
exchange_reply(struct exchange *x, int status,
    const struct httpd_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	x->on_gone = NULL;
	switch (x->fault.mode) {
	case FAULT_LOSE_ANSWERS:
		cut(x->request);
		release(x);
		return;
	case FAULT_RUBBISH:
		spoil(x);
		return;
	default:
		break;
	}
	copy_answer(x, status, headers, nheaders, body, len);
	if (x->fault.mode == FAULT_CUT_ANSWERS) {
		cut_half(x);
	} else if (x->fault.mode == FAULT_SLOW) {
		x->due_ms = clock_now_ms() + x->fault.delay_ms;
		hold(x, &x->gate->slow);
	} else {
		answer_now(x);
	}
}

void
exchange_begin(struct exchange *x, int status,
    const struct httpd_header *headers, size_t nheaders)
{
	httpd_begin(x->request, status, headers, nheaders);
}

void
exchange_send(struct exchange *x, const void *data, size_t len)
{
	httpd_send(x->request, data, len);
}

void
exchange_end(struct exchange *x)
{
	x->on_gone = NULL;
	if (x->fault.mode == FAULT_LOSE_ANSWERS ||
	    x->fault.mode == FAULT_CUT_ANSWERS)
		httpd_abort(x->request);
	else
		httpd_end(x->request);
	release(x);
}

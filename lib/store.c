#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "store_int.h"

#define CONNECT_TIMEOUT_MS 500
#define CALL_TIMEOUT_MS 2000
#define READ_DEADLINE_MS 5000
#define WATCH_IDLE_MS 60000
#define REACHABLE_MS 6000
#define BACKOFF_BASE_MS 50
#define BACKOFF_MAX_MS 2000
#define BACKOFF_DOUBLINGS_MAX 16

static int copy_endpoints(struct store *, const struct store_options *);
static void free_store(struct store *);
static void on_timer(uv_timer_t *);
static void on_timer_closed(uv_handle_t *);
static int64_t or_default(int64_t, int64_t);

static const char *const call_names[] = { "range", "txn", "lease_grant",
	"lease_keepalive", "lease_revoke", "watch" };

static int64_t
or_default(int64_t value, int64_t fallback)
{
	return value > 0 ? value : fallback;
}

struct store *
store_open(const struct store_options *o)
{
	struct store *s;

	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	TAILQ_INIT(&s->waiting);
	TAILQ_INIT(&s->in_flight);
	TAILQ_INIT(&s->watches);
	if (copy_endpoints(s, o) == -1)
		goto fail;
	if ((s->rng = gsl_rng_alloc(gsl_rng_taus2)) == NULL)
		goto fail;
	gsl_rng_set(s->rng, o->seed);
	s->loop = o->loop;
	s->httpc = o->httpc;
	s->connect_timeout_ms =
	    or_default(o->connect_timeout_ms, CONNECT_TIMEOUT_MS);
	s->call_timeout_ms = or_default(o->call_timeout_ms, CALL_TIMEOUT_MS);
	s->read_deadline_ms = or_default(o->read_deadline_ms, READ_DEADLINE_MS);
	s->watch_idle_ms = or_default(o->watch_idle_ms, WATCH_IDLE_MS);
	s->reachable_ms = or_default(o->reachable_ms, REACHABLE_MS);
	s->backoff_base_ms = or_default(o->backoff_base_ms, BACKOFF_BASE_MS);
	s->backoff_max_ms = or_default(o->backoff_max_ms, BACKOFF_MAX_MS);
	s->calls_per_s = o->calls_per_s;
	s->tokens = o->calls_per_s;
	s->tokens_ms = clock_now_ms();
	s->last_answer_ms = INT64_MIN;
	uv_timer_init(s->loop, &s->timer);
	s->timer.data = s;
	return s;

fail:
	free_store(s);
	return NULL;
}

static int
copy_endpoints(struct store *s, const struct store_options *o)
{
	size_t i;

	if (o->nendpoints == 0)
		return -1;
	s->endpoints = calloc(o->nendpoints, sizeof(*s->endpoints));
	if (s->endpoints == NULL)
		return -1;
	s->nendpoints = o->nendpoints;
	for (i = 0; i < o->nendpoints; i++) {
		if ((s->endpoints[i] = strdup(o->endpoints[i])) == NULL)
			return -1;
	}
	/* Spread the entries over the endpoints. */
	s->endpoint = o->seed % o->nendpoints;
	return 0;
}

static void
free_store(struct store *s)
{
	size_t i;

	for (i = 0; i < s->nendpoints; i++)
		free(s->endpoints[i]);
	free(s->endpoints);
	if (s->rng != NULL)
		gsl_rng_free(s->rng);
	free(s);
}

void
store_close(struct store *s)
{
	if (s == NULL || s->closing)
		return;
	s->closing = true;
	store_watches_close(s);
	store_calls_close(s);
	uv_timer_stop(&s->timer);
	uv_close((uv_handle_t *)&s->timer, on_timer_closed);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	free_store(handle->data);
}

static void
on_timer(uv_timer_t *timer)
{
	store_tick(timer->data, clock_now_ms());
}

void
store_tick(struct store *s, int64_t now_ms)
{
	if (!s->closing)
		store_calls_tick(s, now_ms);
	if (!s->closing)
		store_watches_tick(s, now_ms);
	/*
	 * With a timeout of 0 set in its callback, libuv would run the timer
	 * repeatedly in one loop iteration and never poll its sockets.
	 */
	store_arm_timer(s, 1);
}

void
store_arm_timer(struct store *s, int64_t least_ms)
{
	int64_t due_ms, watch_due_ms, delay_ms;

	if (s->closing)
		return;
	due_ms = store_calls_next_due_ms(s);
	watch_due_ms = store_watches_next_due_ms(s);
	if (watch_due_ms < due_ms)
		due_ms = watch_due_ms;
	if (due_ms == INT64_MAX) {
		uv_timer_stop(&s->timer);
		return;
	}
	delay_ms = due_ms - clock_now_ms();
	if (delay_ms < least_ms)
		delay_ms = least_ms;
	uv_timer_start(&s->timer, on_timer, (uint64_t)delay_ms, 0);
}

bool
store_consume_budget(struct store *s, int64_t now_ms, bool always)
{
	if (s->calls_per_s <= 0)
		return true;
	if (now_ms > s->tokens_ms) {
		s->tokens +=
		    (double)(now_ms - s->tokens_ms) * s->calls_per_s / 1000;
		s->tokens_ms = now_ms;
	}
	if (s->tokens > s->calls_per_s)
		s->tokens = s->calls_per_s;
	if (s->tokens < 1 && !always)
		return false;
	s->tokens -= 1;
	return true;
}

int64_t
store_backoff_ms(struct store *s, unsigned int failures)
{
	int64_t step_ms;

	if (failures > BACKOFF_DOUBLINGS_MAX)
		failures = BACKOFF_DOUBLINGS_MAX;
	step_ms = s->backoff_base_ms << failures;
	if (step_ms > s->backoff_max_ms)
		step_ms = s->backoff_max_ms;
	return 1 + (int64_t)(gsl_rng_uniform(s->rng) * (double)step_ms);
}

int
store_url(const struct store *s, const char *path, char *url, size_t size)
{
	int n;

	n = snprintf(url, size, "%s%s", s->endpoints[s->endpoint], path);
	return n < 0 || (size_t)n >= size ? -1 : 0;
}

void
store_next_endpoint(struct store *s)
{
	s->endpoint = (s->endpoint + 1) % s->nendpoints;
}

void
store_note_answer(struct store *s)
{
	s->last_answer_ms = clock_now_ms();
}

void
store_count_call(enum call_kind kind)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "call=\"%s\"", call_names[kind]);
	counter_inc("lagoonpin_store_calls", labels);
}

int64_t
store_last_answer_ms(const struct store *s)
{
	return s->last_answer_ms;
}

bool
store_reachable(const struct store *s, int64_t now_ms)
{
	if (s->last_answer_ms == INT64_MIN)
		return false;
	return now_ms - s->last_answer_ms <= s->reachable_ms;
}

const char *
store_strerror(enum store_error error)
{
	switch (error) {
	case STORE_OK:
		return "ok";
	case STORE_ERR_UNAVAILABLE:
		return "unavailable";
	case STORE_ERR_UNKNOWN:
		return "unknown";
	case STORE_ERR_BUDGET:
		return "budget";
	case STORE_ERR_REFUSED:
		return "refused";
	case STORE_ERR_COMPACTED:
		return "compacted";
	case STORE_ERR_NO_LEASE:
		return "no_lease";
	case STORE_ERR_MALFORMED:
		return "rubbish";
	case STORE_ERR_CANCELLED:
		return "cancelled";
	case STORE_ERR_MEMORY:
		return "memory";
	}
	return "other";
}

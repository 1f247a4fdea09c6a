#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "callers.h"
#include "clock.h"
#include "conf.h"
#include "counter.h"
#include "log.h"

/*
 * The module that handles calls from clients.  Events that free or need
 * credits schedule a pass, which runs once before the event loop blocks, so
 * that a burst of responses, cancellations or arrivals costs one pass.
 */

#define CALL_PATH "/v1/call/"
#define EXPLAIN_PATH "/v1/explain"
#define EXPLAIN_KEY "request="
#define EXPLAIN_RECORDS 1024
#define QUOTA_BURST_MS 2000
#define QUEUE_BYTES_MAX (64 << 20)
#define NORMAL_INTERVAL 4
#define RETRY_AFTER_MAX_MS 30000
#define CACHED_RESPONSES 512
#define CACHE_BYTES_MAX (8 << 20)
#define CACHE_TTL_MS 600000
#define QUOTA_SHARE_INTERVAL_MS 1000
#define RECENT_IDS 32768

static int callers_open(struct entry *);
static void callers_tick(struct entry *, int64_t);
static bool callers_http(struct entry *, struct httpd_request *);
static bool callers_explain(
    struct entry *, struct httpd_request *, const char *, const char *);
static void callers_vm_changed(struct entry *, struct vm *, enum fleet_change);
static void callers_drain(struct entry *, int64_t);
static void end_watches(struct callers *, int64_t);
static bool callers_drained(const struct entry *);
static void callers_close(struct entry *);
static int open_modules(struct callers *);
static void open_handles(struct callers *);
static bool start_call(struct admit_item *, void *);
static void expire_call(struct admit_item *, bool, void *);
static void run_pass(struct callers *);
static void request_credits(struct callers *);
static void set_timer(struct callers *, int64_t);
static void on_prepare(uv_prepare_t *);
static void on_check(uv_check_t *);
static void on_timer(uv_timer_t *);
static void on_closed(uv_handle_t *);
static void share_quotas(struct callers *, int64_t);
static void set_gauges(struct callers *);

const struct module callers_module = {
	.name = "callers",
	.open = callers_open,
	.tick = callers_tick,
	.http = callers_http,
	.vm_changed = callers_vm_changed,
	.explain = callers_explain,
	.drain = callers_drain,
	.drained = callers_drained,
	.close = callers_close,
};

static int
open_modules(struct callers *cs)
{
	struct quota_options qo = { .burst_ms = QUOTA_BURST_MS };
	struct response_cache_options rco = {
		.entries_max = CACHED_RESPONSES,
		.bytes_max = CACHE_BYTES_MAX,
		.keep_ms = CACHE_TTL_MS,
	};
	struct recent_ids_options rio = {
		.ids_max = RECENT_IDS,
		.keep_ms = CACHE_TTL_MS,
	};
	struct admit_options ao = {
		.queue_max = (size_t)cs->entry->opt.queue_max,
		.queue_bytes_max = QUEUE_BYTES_MAX,
		.normal_every = NORMAL_INTERVAL,
		.retry_after_max_ms = RETRY_AFTER_MAX_MS,
		.start = start_call,
		.expired = expire_call,
		.ctx = cs,
	};

	if ((cs->quota = quota_open(&qo)) == NULL)
		return -1;
	ao.quota = cs->quota;
	if ((cs->admit = admit_open(&ao)) == NULL)
		return -1;
	if ((cs->responses = response_cache_open(&rco)) == NULL)
		return -1;
	if ((cs->recent_ids = recent_ids_open(&rio)) == NULL)
		return -1;
	if ((cs->explains = explain_open(EXPLAIN_RECORDS)) == NULL)
		return -1;
	if ((cs->claim_store = claim_store_open(cs->entry)) == NULL)
		return -1;
	return 0;
}

static void
open_handles(struct callers *cs)
{
	uv_loop_t *loop;

	loop = &cs->entry->loop;
	uv_prepare_init(loop, &cs->prepare);
	cs->prepare.data = cs;
	uv_prepare_start(&cs->prepare, on_prepare);
	uv_check_init(loop, &cs->check);
	cs->check.data = cs;
	uv_check_start(&cs->check, on_check);
	uv_timer_init(loop, &cs->timer);
	cs->timer.data = cs;
	cs->timer_ms = -1;
}

static int
callers_open(struct entry *e)
{
	struct callers *cs;

	if ((cs = calloc(1, sizeof(*cs))) == NULL)
		return -1;
	cs->entry = e;
	e->callers = cs;
	LIST_INIT(&cs->endpoints);
	LIST_INIT(&cs->services);
	LIST_INIT(&cs->calls);
	cs->conf_revision = -1;
	cs->random = (uint64_t)e->opt.seed;
	cs->data_center = data_center_number(e->opt.data_center);
	choose_options_default(&cs->choose);
	claim_ops_init(cs);
	if (open_modules(cs) == -1) {
		log_error("callers_open", "reason=\"out of memory\"");
		return -1;
	}
	open_handles(cs);
	endpoints_subscribe_credits(cs);
	return 0;
}

static bool
callers_http(struct entry *e, struct httpd_request *r)
{
	const char *path, *query;

	path = httpd_path(r);
	if (strncmp(path, CALL_PATH, strlen(CALL_PATH)) == 0) {
		call_read(e->callers, r);
		return true;
	}
	query = httpd_query(r);
	if (strcmp(path, EXPLAIN_PATH) != 0 ||
	    strncmp(query, EXPLAIN_KEY, strlen(EXPLAIN_KEY)) != 0)
		return false;
	return explain_reply(e->callers, r, query + strlen(EXPLAIN_KEY));
}

static bool
callers_explain(
    struct entry *e, struct httpd_request *r, const char *kind, const char *id)
{
	if (strcmp(kind, "request") != 0)
		return false;
	return explain_reply(e->callers, r, id);
}

static void
callers_vm_changed(struct entry *e, struct vm *v, enum fleet_change change)
{
	(void)change;
	if (e->callers != NULL)
		endpoint_changed(e->callers, v);
}

static bool
start_call(struct admit_item *it, void *ctx)
{
	(void)ctx;
	return call_choose((struct call *)it, clock_now_ms());
}

static void
expire_call(struct admit_item *it, bool was_running, void *ctx)
{
	(void)was_running;
	(void)ctx;
	call_refuse((struct call *)it,
	    clock_now_ms() < it->deadline_ms ? OUTCOME_CANT_MEET_DEADLINE :
					       OUTCOME_DEADLINE_PASSED,
	    0);
}

void
callers_schedule_pass(struct callers *cs)
{
	cs->pass_pending = true;
}

static void
request_credits(struct callers *cs)
{
	struct call_service *s;

	if (admit_queued(cs->admit) == 0)
		return;
	LIST_FOREACH (s, &cs->services, link) {
		endpoints_request_credits(cs, s, LANE_UNARY);
		endpoints_request_credits(cs, s, LANE_WATCH);
	}
}

static void
run_pass(struct callers *cs)
{
	int64_t now_ms;

	if (!cs->pass_pending)
		return;
	cs->pass_pending = false;
	now_ms = clock_now_ms();
	admit_expire(cs->admit, now_ms);
	admit_run(cs->admit, now_ms);
	call_hedge_run(cs, now_ms);
	request_credits(cs);
	claim_store_flush(cs->claim_store, now_ms);
	set_timer(cs, now_ms);
}

/* Expires calls at their deadline instead of the next tick. */
static void
set_timer(struct callers *cs, int64_t now_ms)
{
	int64_t hedge_ms, next_ms;

	next_ms = admit_next_deadline_ms(cs->admit);
	hedge_ms = call_hedge_next_ms(cs);
	if (hedge_ms >= 0 && (next_ms < 0 || hedge_ms < next_ms))
		next_ms = hedge_ms;
	if (next_ms == cs->timer_ms)
		return;
	cs->timer_ms = next_ms;
	if (next_ms < 0) {
		uv_timer_stop(&cs->timer);
		return;
	}
	uv_update_time(&cs->entry->loop);
	uv_timer_start(&cs->timer, on_timer,
	    next_ms > now_ms ? (uint64_t)(next_ms - now_ms) : 0, 0);
}

static void
on_timer(uv_timer_t *timer)
{
	struct callers *cs;

	cs = timer->data;
	cs->timer_ms = -1;
	cs->pass_pending = true;
	run_pass(cs);
}

static void
on_prepare(uv_prepare_t *handle)
{
	run_pass(handle->data);
}

static void
on_check(uv_check_t *handle)
{
	run_pass(handle->data);
}

static void
set_gauges(struct callers *cs)
{
	if (cs->queued == NULL) {
		cs->queued = counter_get("lagoonpin_calls_queued", "");
		cs->running = counter_get("lagoonpin_calls_running", "");
	}
	counter_set(cs->queued, admit_queued(cs->admit));
	counter_set(cs->running, admit_running(cs->admit));
}

/* A team's rate limit is divided among the live entries. */
static void
share_quotas(struct callers *cs, int64_t now_ms)
{
	const struct member *m;
	int entries;

	if (cs->entry->mesh == NULL || now_ms < cs->next_share_ms)
		return;
	cs->next_share_ms = now_ms + QUOTA_SHARE_INTERVAL_MS;
	entries = 1;
	for (m = member_first(mesh_members(cs->entry)); m != NULL;
	     m = member_next(m)) {
		if (m->registered && m->record.state == MEMBER_ALIVE)
			entries++;
	}
	quota_set_entries(cs->quota, entries, now_ms);
}

static void
callers_tick(struct entry *e, int64_t now_ms)
{
	struct callers *cs;
	int64_t revision;

	cs = e->callers;
	revision = conf_revision(entry_conf(e));
	if (revision != cs->conf_revision) {
		cs->conf_revision = revision;
		services_apply_conf(cs, now_ms);
	}
	endpoints_expire_refusals(cs, now_ms);
	end_watches(cs, now_ms);
	share_quotas(cs, now_ms);
	set_gauges(cs);
	cs->pass_pending = true;
	run_pass(cs);
}

/*
 * New calls are refused as not run, and the listener is closed so that the
 * load balancer uses another entry.  Calls in flight finish.
 */
static void
callers_drain(struct entry *e, int64_t now_ms)
{
	struct callers *cs;

	(void)now_ms;
	cs = e->callers;
	cs->draining = true;
	admit_stop(cs->admit);
	httpd_stop_listening(e->httpd);
	callers_schedule_pass(cs);
}

/*
 * Watches may last for days and would block the shutdown: after half of the
 * drain time their clients are told to reopen them at another entry.
 */
static void
end_watches(struct callers *cs, int64_t now_ms)
{
	struct endpoint *ep, *next;
	struct entry *e;

	e = cs->entry;
	if (!cs->draining || now_ms - e->drain_since_ms < e->opt.drain_ms / 2)
		return;
	for (ep = LIST_FIRST(&cs->endpoints); ep != NULL; ep = next) {
		next = LIST_NEXT(ep, link);
		call_watch_drain(ep);
	}
}

static bool
callers_drained(const struct entry *e)
{
	return e->callers->ncalls == 0 &&
	    claim_store_idle(e->callers->claim_store);
}

void
call_free_if_ended(struct call *c)
{
	if (!c->answered || !LIST_EMPTY(&c->attempts))
		return;
	LIST_REMOVE(c, link);
	c->callers->ncalls--;
	free(c);
}

static void
callers_close(struct entry *e)
{
	struct callers *cs;

	cs = e->callers;
	uv_close((uv_handle_t *)&cs->prepare, NULL);
	uv_close((uv_handle_t *)&cs->check, NULL);
	uv_close((uv_handle_t *)&cs->timer, on_closed);
}

/*
 * The HTTP server, the HTTP clients and the store are closed in the same
 * iteration of the loop, which ends the remaining calls.  A shutdown that was
 * cut short may leave some; then the memory is not freed before the process
 * exits.
 */
static void
on_closed(uv_handle_t *handle)
{
	struct callers *cs;

	cs = handle->data;
	if (cs->ncalls > 0 || claim_store_in_flight(cs->claim_store)) {
		log_warn("calls_cut_off", "calls=%zu", cs->ncalls);
		return;
	}
	cs->entry->callers = NULL;
	endpoints_close(cs);
	claim_store_close(cs->claim_store);
	explain_close(cs->explains);
	recent_ids_close(cs->recent_ids);
	response_cache_close(cs->responses);
	admit_close(cs->admit);
	quota_close(cs->quota);
	free(cs);
}

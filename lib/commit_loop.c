#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "commit_loop.h"

struct commit_loop {
	uv_timer_t timer;
	struct store *store;
	struct commit *commit;
	bool in_flight; /* a store transaction awaits its result */
	bool closing;
	bool timer_closed;
};

static enum store_error on_send(const struct store_txn_request *, void *);
static void on_answer(const struct store_txn_result *, void *);
static void on_timer(uv_timer_t *);
static void on_timer_closed(uv_handle_t *);
static void start_timer(struct commit_loop *, int64_t);
static void free_if_closed(struct commit_loop *);

struct commit_loop *
commit_loop_open(const struct commit_loop_options *o)
{
	struct commit_options options;
	struct commit_loop *l;

	if ((l = calloc(1, sizeof(*l))) == NULL)
		return NULL;
	memset(&options, 0, sizeof(options));
	options.commit_ms = o->commit_ms;
	options.send = on_send;
	options.ctx = l;
	if ((l->commit = commit_open(&options)) == NULL) {
		free(l);
		return NULL;
	}
	l->store = o->store;
	uv_timer_init(o->loop, &l->timer);
	l->timer.data = l;
	return l;
}

void
commit_loop_close(struct commit_loop *l)
{
	if (l == NULL || l->closing)
		return;
	l->closing = true;
	commit_close(l->commit);
	uv_timer_stop(&l->timer);
	uv_close((uv_handle_t *)&l->timer, on_timer_closed);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	struct commit_loop *l;

	l = handle->data;
	l->timer_closed = true;
	free_if_closed(l);
}

static void
free_if_closed(struct commit_loop *l)
{
	if (l->timer_closed && !l->in_flight)
		free(l);
}

enum store_error
commit_loop_put(struct commit_loop *l, const struct commit_request *put)
{
	enum store_error error;

	if (l->closing)
		return STORE_ERR_CANCELLED;
	error = commit_put(l->commit, put, clock_now_ms());
	start_timer(l, 0);
	return error;
}

const struct commit *
commit_loop_commit(const struct commit_loop *l)
{
	return l->commit;
}

static enum store_error
on_send(const struct store_txn_request *txn, void *ctx)
{
	struct commit_loop *l;
	enum store_error error;

	l = ctx;
	error = store_txn(l->store, txn, on_answer, l);
	l->in_flight = error == STORE_OK;
	return error;
}

static void
on_answer(const struct store_txn_result *result, void *ctx)
{
	struct commit_loop *l;

	l = ctx;
	l->in_flight = false;
	commit_answer(l->commit, result, clock_now_ms());
	start_timer(l, 0);
	free_if_closed(l);
}

static void
on_timer(uv_timer_t *timer)
{
	commit_loop_tick(timer->data, clock_now_ms());
}

void
commit_loop_tick(struct commit_loop *l, int64_t now_ms)
{
	if (l->closing)
		return;
	commit_tick(l->commit, now_ms);
	/* A timer of 0 set in its own callback would starve the loop. */
	start_timer(l, 1);
}

static void
start_timer(struct commit_loop *l, int64_t min_delay_ms)
{
	int64_t due_ms, delay_ms;

	if (l->closing)
		return;
	if ((due_ms = commit_due_ms(l->commit)) == INT64_MAX) {
		uv_timer_stop(&l->timer);
		return;
	}
	delay_ms = due_ms - clock_now_ms();
	if (delay_ms < min_delay_ms)
		delay_ms = min_delay_ms;
	uv_timer_start(&l->timer, on_timer, (uint64_t)delay_ms, 0);
}

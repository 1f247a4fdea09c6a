#ifndef STORE_INT_H
#define STORE_INT_H

#include <sys/queue.h>

#include <gsl/gsl_rng.h>

#include "store.h"

/* Internals of the store client. */

enum call_kind {
	CALL_RANGE,
	CALL_TXN,
	CALL_LEASE_GRANT,
	CALL_LEASE_KEEPALIVE,
	CALL_LEASE_REVOKE,
	CALL_WATCH
};

struct store_call;
TAILQ_HEAD(store_call_list, store_call);
TAILQ_HEAD(store_watch_list, store_watch);

struct store {
	uv_loop_t *loop;
	struct httpc *httpc;
	char **endpoints;
	size_t nendpoints;
	size_t endpoint; /* index of the one in use */
	int64_t connect_timeout_ms;
	int64_t call_timeout_ms;
	int64_t read_deadline_ms;
	int64_t watch_idle_ms;
	int64_t reachable_ms;
	int64_t backoff_base_ms;
	int64_t backoff_max_ms;
	double calls_per_s;
	double tokens; /* of the rate limit: calls allowed now */
	int64_t tokens_ms; /* last update of tokens */
	gsl_rng *rng;
	uv_timer_t timer;
	int64_t last_answer_ms;
	bool closing;
	uint64_t tick; /* number of ticks */
	struct store_call_list waiting; /* until due_ms */
	struct store_call_list in_flight;
	struct store_watch_list watches;
};

/* store.c */
/* Consumes one token; false if none is left, unless always is set. */
bool store_consume_budget(struct store *, int64_t now_ms, bool always);
/*
 * Exponential backoff with full jitter: 1 ms plus a random time from 0 to the
 * lesser of backoff_base_ms * 2^failures and backoff_max_ms.
 */
int64_t store_backoff_ms(struct store *, unsigned int failures);
/* Sets the timer to the next due time, at least least_ms from now. */
void store_arm_timer(struct store *, int64_t least_ms);
/* Writes the URL of a path at the current endpoint; -1 if it doesn't fit. */
int store_url(const struct store *, const char *path, char *, size_t);
/* Switches to the next endpoint after a failure. */
void store_next_endpoint(struct store *);
void store_note_answer(struct store *);
void store_count_call(enum call_kind);

/* store_call.c */
void store_calls_tick(struct store *, int64_t now_ms);
/* The earliest due time, or INT64_MAX. */
int64_t store_calls_next_due_ms(const struct store *);
void store_calls_close(struct store *);

/* store_watch.c */
void store_watches_tick(struct store *, int64_t now_ms);
int64_t store_watches_next_due_ms(const struct store *);
void store_watches_close(struct store *);

#endif /* STORE_INT_H */

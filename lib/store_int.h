#ifndef STORE_INT_H
#define STORE_INT_H

#include <sys/queue.h>

#include <gsl/gsl_rng.h>

#include "store.h"

/* What the files of the store client share. */

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
	size_t endpoint; /* the one in use */
	int64_t connect_timeout_ms;
	int64_t call_timeout_ms;
	int64_t read_deadline_ms;
	int64_t watch_idle_ms;
	int64_t reachable_ms;
	int64_t backoff_base_ms;
	int64_t backoff_max_ms;
	double calls_per_s;
	double tokens; /* calls that may be made now */
	int64_t tokens_ms; /* when tokens was brought up to date */
	gsl_rng *rng;
	uv_timer_t wake;
	int64_t last_answer_ms;
	bool closing;
	uint64_t turn; /* counts ticks */
	struct store_call_list waiting; /* for their due time */
	struct store_call_list flying;
	struct store_watch_list watches;
};

/* store.c */
/* Take one call off the budget; false when it is used up. */
bool store_consume_budget(struct store *, int64_t now_ms, bool always);
/* Full jitter: between 0 and the step for the number of failures before. */
int64_t store_backoff_ms(struct store *, unsigned int failures);
/* Set the timer for the earliest thing due, but not before least_ms. */
void store_arm_timer(struct store *, int64_t least_ms);
/* The URL of a path at the endpoint in use; -1 when it doesn't fit. */
int store_url(const struct store *, const char *path, char *, size_t);
/* The endpoint in use failed: take the next one. */
void store_next_endpoint(struct store *);
void store_note_answer(struct store *);
void store_count_call(enum call_kind);

/* store_call.c */
void store_calls_tick(struct store *, int64_t now_ms);
/* The earliest time that something is due, or INT64_MAX. */
int64_t store_calls_next_due_ms(const struct store *);
void store_calls_close(struct store *);

/* store_watch.c */
void store_watches_tick(struct store *, int64_t now_ms);
int64_t store_watches_next_due_ms(const struct store *);
void store_watches_close(struct store *);

#endif /* STORE_INT_H */

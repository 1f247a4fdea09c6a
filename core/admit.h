#ifndef ADMIT_H
#define ADMIT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "quota.h"

/*
 * Admission control for calls.  Each service has a queue bounded by time: a
 * call that cannot meet its deadline, as estimated from the calls ahead of
 * it, the recent service time and the credits, is refused at once with the
 * time after which a retry can succeed.  Urgent calls start first, but while
 * normal calls wait, one of every normal_every calls started is normal.
 * Services are scheduled by weighted fair queueing.
 *
 * Calls of one priority start in order of arrival.  With earliest deadline
 * first, a later call could delay one that was admitted on its estimate.
 */

#define ADMIT_TEAM_MAX 64

struct admit;
struct admit_service;

enum admit_priority { ADMIT_URGENT, ADMIT_NORMAL, ADMIT_NPRIORITIES };

enum admit_state {
	ADMIT_IDLE, /* neither queued nor running */
	ADMIT_QUEUED,
	ADMIT_RUNNING
};

enum admit_verdict {
	ADMIT_ACCEPTED,
	ADMIT_STOPPING,
	ADMIT_NO_ENDPOINT,
	ADMIT_TEAM_QUOTA,
	ADMIT_CANT_MEET_DEADLINE,
	ADMIT_QUEUE_FULL
};

/* Embedded in a call.  Zero it, then set the first four fields. */
struct admit_item {
	enum admit_priority priority;
	int64_t deadline_ms; /* on the caller's clock_now_ms */
	size_t bytes; /* memory used while queued */
	char team[ADMIT_TEAM_MAX]; /* or "" */
	/* Private. */
	TAILQ_ENTRY(admit_item) link;
	RB_ENTRY(admit_item) deadline_link;
	struct admit_service *service;
	enum admit_state state;
	int64_t started_ms;
	uint64_t sequence;
};

/*
 * Takes a credit and starts the call.  Returns false if the service has no
 * free credit; the item then stays at the head of its queue.  The callback
 * may call admit_finish(), but not admit_run().
 */
typedef bool admit_start(struct admit_item *, void *ctx);

/*
 * Called when the deadline has passed or can no longer be met.  was_running
 * tells whether the call had been started.  The item is idle again, and the
 * callback answers the call.
 */
typedef void admit_expired(struct admit_item *, bool was_running, void *ctx);

struct admit_options {
	struct quota *quota; /* or NULL */
	size_t queue_max; /* queued calls of all services */
	size_t queue_bytes_max;
	unsigned int normal_every; /* at least 2 */
	int64_t retry_after_max_ms;
	admit_start *start;
	admit_expired *expired;
	void *ctx;
};

/* Returns NULL if out of memory. */
struct admit *admit_open(const struct admit_options *);
/* Every item must be idle. */
void admit_close(struct admit *);

/*
 * Adds a service with an empty queue.  Its share of the starts is relative to
 * its weight, which is at least 1.  Returns NULL if out of memory.
 */
struct admit_service *admit_add_service(struct admit *, unsigned int weight);
/* The service must have no items. */
void admit_remove_service(struct admit_service *);
void admit_set_weight(struct admit_service *, unsigned int weight);

/*
 * Sets the number of credits, in use or free, that this entry holds for the
 * service, and whether any endpoint offers the service.
 */
void admit_set_capacity(
    struct admit_service *, int64_t credits, bool has_endpoints);

/*
 * Queues a call, or refuses it and sets *retry_after_ms.  Calls are started
 * by the next admit_run(), so that a burst is handled in one pass.
 */
enum admit_verdict admit_offer(struct admit_service *, struct admit_item *,
    int64_t now_ms, int64_t *retry_after_ms);

/* Puts a running call back at the head of its queue to wait for a credit. */
void admit_requeue(struct admit_item *);

/* Starts queued calls until each service is out of calls or credits. */
void admit_run(struct admit *, int64_t now_ms);

/* Ends a running call.  If ok, its duration updates the service time. */
void admit_finish(struct admit_item *, bool ok, int64_t now_ms);

/* Removes a call that its caller gave up, in any state; O(log n). */
void admit_cancel(struct admit_item *);

/* Expires every call whose deadline has passed. */
void admit_expire(struct admit *, int64_t now_ms);
/* The earliest deadline, or -1 if there are no calls. */
int64_t admit_next_deadline_ms(const struct admit *);

/* Refuses all new calls; accepted calls continue. */
void admit_stop(struct admit *);

/* Number of queued calls of a service. */
size_t admit_waiting(const struct admit_service *);

/* Estimated queueing time of a call offered now. */
int64_t admit_wait_ms(const struct admit_service *, enum admit_priority);
/* Moving average of the service time. */
int64_t admit_service_ms(const struct admit_service *);
/* Numbers of queued and of running calls of all services. */
size_t admit_queued(const struct admit *);
size_t admit_running(const struct admit *);

#endif /* ADMIT_H */

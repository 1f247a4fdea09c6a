#ifndef ADMIT_INT_H
#define ADMIT_INT_H

#include "admit.h"

/* Shared by admit.c, admit_queue.c and admit_run.c. */

#define ADMIT_US_PER_MS 1000

TAILQ_HEAD(admit_queue, admit_item);
RB_HEAD(admit_deadline_tree, admit_item);
RB_HEAD(admit_vtime_tree, admit_service);

struct admit_service {
	RB_ENTRY(admit_service) vtime_link;
	struct admit *admit;
	struct admit_queue queues[ADMIT_NPRIORITIES];
	size_t queued[ADMIT_NPRIORITIES];
	size_t running;
	unsigned int weight;
	unsigned int urgent_streak; /* urgent starts, normal calls waiting */
	uint64_t vtime; /* virtual time; the lowest starts first */
	uint64_t id; /* order among services of equal virtual time */
	int64_t credits;
	bool has_endpoints;
	struct admit_vtime_tree *tree; /* that holds the service, or NULL */
	int64_t mean_service_us; /* moving average; 0: not yet known */
	int64_t next_retry_ms; /* earliest retry of the next refused call */
};

struct admit {
	struct admit_options o;
	struct admit_deadline_tree deadlines;
	struct admit_vtime_tree ready; /* services with queued calls */
	struct admit_vtime_tree blocked; /* out of credits in this pass */
	uint64_t vtime; /* of the service that started a call last */
	uint64_t sequence;
	size_t queued;
	size_t running;
	size_t bytes;
	bool stopping;
};

int admit_deadline_cmp(const struct admit_item *, const struct admit_item *);
int admit_vtime_cmp(const struct admit_service *, const struct admit_service *);
RB_PROTOTYPE(admit_deadline_tree, admit_item, deadline_link, admit_deadline_cmp)
RB_PROTOTYPE(admit_vtime_tree, admit_service, vtime_link, admit_vtime_cmp)

/*
 * A service is in one tree at most.  admit_vtime_remove() does nothing if it
 * is in none.
 */
void admit_vtime_insert(struct admit_vtime_tree *, struct admit_service *);
void admit_vtime_remove(struct admit_service *);

/* Insert an item into its service's queue and remove it from there. */
void admit_enqueue(struct admit_item *, bool at_head);
void admit_dequeue(struct admit_item *);
/* Removes an item from all queues, trees and counts, in any state. */
void admit_detach(struct admit_item *);

/* Tells whether a call may proceed although the estimate is against it. */
bool admit_probe_allowed(const struct admit_service *);

#endif /* ADMIT_INT_H */

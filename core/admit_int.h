#ifndef ADMIT_INT_H
#define ADMIT_INT_H

#include "admit.h"

/* What admit.c, admit_queue.c and admit_run.c share. */

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
	unsigned int urgent_row; /* urgent starts since a normal one */
	uint64_t turn; /* the lowest goes first */
	uint64_t serial;
	int64_t credits;
	bool has_endpoints;
	struct admit_vtime_tree *in; /* the tree it is in, or NULL */
	int64_t served_us; /* running mean; 0: not yet known */
	int64_t next_return_ms; /* when the next refused call may come back */
};

struct admit {
	struct admit_options o;
	struct admit_deadline_tree deadlines;
	struct admit_vtime_tree turns; /* services with calls queued */
	struct admit_vtime_tree blocked; /* without a credit in this pass */
	uint64_t turn; /* of the service served last */
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

/* A service has its turn in one tree at most; removing it twice is fine. */
void admit_vtime_insert(struct admit_vtime_tree *, struct admit_service *);
void admit_vtime_remove(struct admit_service *);

/* An item gets into its service's queue, and out of it. */
void admit_enqueue(struct admit_item *, bool at_head);
void admit_dequeue(struct admit_item *);
/* Take an item out of everything, whatever its state. */
void admit_detach(struct admit_item *);

/* May a call go ahead whatever the estimate says? */
bool admit_probe_allowed(const struct admit_service *);

#endif /* ADMIT_INT_H */

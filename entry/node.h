#ifndef NODE_H
#define NODE_H

#include <uv.h>

#include "seam.h"

/*
 * An entry: it takes jobs from callers, and leads or follows.  One entry
 * leads and schedules all jobs; the others store what callers hand in, pass
 * requests on to the leader, and take over when it fails.  All state that
 * must last is in the store; see docs/PLATFORM.md.
 */

struct node;

struct node_options {
	uv_loop_t *loop;
	const char *id; /* of this entry, unique */
	const char *ip; /* for messages between entries */
	int port;
	const char *data_center;
	double power; /* the strongest member leads first */
	double link_bytes_per_s; /* of our own link */
	int64_t lease_max_ms; /* of what runs on workers, as they allow it */
	int64_t keep_ms; /* ended jobs are known so long */
	int64_t harm_ms; /* a serving task may be late so long */
	struct kv_ops kv;
	struct worker_ops workers;
	struct platform_ops platform;
};

enum node_error {
	NODE_OK,
	NODE_ERR_MEMORY,
	NODE_ERR_PEER /* the port for messages can't be used */
};

struct node *node_open(const struct node_options *, enum node_error *);
const char *node_strerror(enum node_error);
/* Hand over, then call on_left: nothing is sent afterwards. */
void node_leave(struct node *, void (*on_left)(void *ctx), void *ctx);
void node_close(struct node *);

/* The configuration is known and jobs can be taken. */
bool node_ready(const struct node *);
/* A configuration is in force here. */
bool node_configured(const struct node *);

/* Callers.  Each request is answered exactly once, also after they left. */
enum node_outcome {
	NODE_ACCEPTED, /* stored, now or by an earlier request */
	NODE_STATE, /* state is valid */
	NODE_CANCELLED,
	NODE_UNKNOWN_JOB, /* there is surely no such job */
	NODE_NOT_DONE, /* surely nothing was done: come back */
	NODE_NO_ANSWER /* it may have been done */
};

struct node_reply {
	enum node_outcome outcome;
	enum sched_job_state state;
	int64_t retry_after_ms; /* with NODE_NOT_DONE */
	const char *reason; /* for logs and counters, static text */
};
typedef void node_replied(const struct node_reply *, void *ctx);

/* Takes the graph over. */
void node_submit(struct node *, struct graph *, int64_t deadline_ms,
    node_replied *, void *ctx);
void node_state(struct node *, const char *job, int64_t deadline_ms,
    node_replied *, void *ctx);
void node_cancel(struct node *, const char *job, int64_t deadline_ms,
    node_replied *, void *ctx);
/* Accepted jobs of the queue that haven't begun; -1: not known now. */
int64_t node_pending(struct node *, const char *queue);

#endif /* NODE_H */

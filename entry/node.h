#ifndef NODE_H
#define NODE_H

#include <uv.h>

#include "seam.h"

/*
 * An entry: it accepts jobs from callers, and leads or follows.  The leader
 * schedules all jobs; the other entries store submitted jobs, forward requests
 * to the leader, and take over when it fails.  All durable state is in the
 * store; see docs/PLATFORM.md.
 */

struct node;

struct node_options {
	uv_loop_t *loop;
	const char *id; /* unique among the entries */
	const char *ip; /* for messages between entries */
	int port;
	const char *data_center;
	double power; /* the strongest member is preferred as leader */
	double link_bytes_per_s; /* of this entry's link */
	int64_t lease_max_ms; /* the longest that workers allow */
	int64_t keep_ms; /* ended jobs are known for so long */
	int64_t harm_ms; /* a serving task may be late for so long */
	int64_t config_apply_ms; /* a change is in force within this time */
	int64_t list_apply_ms; /* the same of a change of a worker's entry */
	/* The same of operators' closing a data centre; 0: no bound. */
	int64_t closure_apply_ms;
	int64_t closure_stretch_ms; /* more while the store rejects entries */
	int64_t worker_report_ms; /* workers rewrite their entries so often */
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
/* Hands the lead over, then calls on_left: nothing is sent afterwards. */
void node_leave(struct node *, void (*on_left)(void *ctx), void *ctx);
void node_close(struct node *);

/* The configuration is known and jobs are accepted. */
bool node_ready(const struct node *);
/* A configuration is in force. */
bool node_configured(const struct node *);
/* The version in force; 0: none yet. */
int64_t node_config_version(const struct node *);
/*
 * Milliseconds since this version was last known to be the newest; -1: it never
 * was.
 */
int64_t node_config_age_ms(const struct node *);
/* It was so within the time in which a change has to be in force. */
bool node_config_is_fresh(const struct node *);
/*
 * Sets the gauges of the metrics page that aren't kept up to date.  That of the
 * configuration's age is left out while the age is unknown; that of the list of
 * workers is 0 then, and on an entry that doesn't lead.
 */
void node_set_gauges(const struct node *);

/*
 * Requests of callers.  Each is answered exactly once, even to a caller that
 * left.
 */
enum node_outcome {
	NODE_ACCEPTED, /* stored, by this or an earlier request */
	NODE_STATE, /* state is valid */
	NODE_CANCELLED,
	NODE_UNKNOWN_JOB, /* certainly no such job */
	NODE_NOT_DONE, /* certainly nothing was done: retry later */
	NODE_NO_ANSWER /* outcome unknown: it may have been done */
};

struct node_reply {
	enum node_outcome outcome;
	enum sched_job_state state;
	int64_t retry_after_ms; /* of NODE_NOT_DONE */
	const char *reason; /* static text for logs and counters */
};
typedef void node_replied(const struct node_reply *, void *ctx);

/* Takes ownership of the graph. */
void node_submit(struct node *, struct graph *, int64_t deadline_ms,
    node_replied *, void *ctx);
void node_state(struct node *, const char *job, int64_t deadline_ms,
    node_replied *, void *ctx);
void node_cancel(struct node *, const char *job, int64_t deadline_ms,
    node_replied *, void *ctx);
/* Accepted jobs of the queue that haven't begun; -1: unknown. */
int64_t node_pending(struct node *, const char *queue);

#endif /* NODE_H */

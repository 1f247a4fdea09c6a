#ifndef NODE_H
#define NODE_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stdint.h>

#include <gsl/gsl_rng.h>
#include <uv.h>

#include "exchange.h"
#include "usage.h"
#include "witness.h"
#include "worker.h"

/*
 * One worker that this process plays: its state, its control port and its
 * endpoint port.
 */

#define NODE_NAME_SIZE 64

struct control;
struct endpoint;
struct node;

TAILQ_HEAD(node_list, node);

/* What all workers of the process share. */
struct stand {
	uv_loop_t *loop;
	const char *ip;
	struct witness *witness;
	struct node_list nodes;
	size_t nnodes;
	gsl_rng *rng;
	const char *services; /* comma separated */
	int64_t call_us; /* work of a call with nothing beside it */
	int64_t call_sigma_percent; /* log-normal spread of it */
	int64_t watch_interval_ms;
	int64_t lag_ms;
	int64_t body_max;
};

struct node {
	TAILQ_ENTRY(node) link;
	struct stand *stand;
	char id[NODE_NAME_SIZE];
	char data_center[NODE_NAME_SIZE];
	char rack[NODE_NAME_SIZE];
	struct worker *worker;
	struct gate *gate;
	struct usage *usage;
	struct control *control;
	struct endpoint *endpoint;
};

struct node_options {
	struct stand *stand;
	size_t index;
	const char *id;
	const char *data_center;
	const char *rack;
	struct worker_room capacity;
	bool accept_over;
	int control_port; /* 0: any */
	int endpoint_port; /* 0: any */
};

struct node *node_open(const struct node_options *);
void node_close(struct node *);
/* Let time pass and answer what is due. */
void node_tick(struct node *, int64_t now_ms);

/*
 * Listen at a port of this worker, named what in the message of a failure;
 * NULL after that message.
 */
struct httpd *node_listen(
    struct node *, const char *what, int port, httpd_handler *, void *ctx);

struct control *control_open(struct node *, int port);
void control_close(struct control *);
int control_port(const struct control *);
/* Answer the owners whose news has come or whose wait is over. */
void control_flush(struct control *, int64_t now_ms);
/* The worker has written a checkpoint that an owner waits for. */
void control_checkpointed(
    struct control *, const char *task, int64_t attempt, int64_t progress_ms);

struct endpoint *endpoint_open(struct node *, int port);
void endpoint_close(struct endpoint *);
int endpoint_port(const struct endpoint *);

#endif /* NODE_H */

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "node.h"

#define USAGE_WINDOW_MS 1000

static void worker_news(struct worker *, const char *, void *);
static void worker_wrote(
    struct worker *, const char *, int64_t, int64_t, void *);

/* control_flush looks for news after each message and tick. */
static void
worker_news(struct worker *w, const char *shard, void *ctx)
{
	(void)w;
	(void)shard;
	(void)ctx;
}

static void
worker_wrote(struct worker *w, const char *task, int64_t attempt,
    int64_t progress_ms, void *ctx)
{
	struct node *n;

	(void)w;
	n = ctx;
	control_checkpointed(n->control, task, attempt, progress_ms);
}

struct httpd *
node_listen(struct node *n, const char *what, int port, httpd_handler *handler,
    void *ctx)
{
	struct httpd_options options;
	enum httpd_error error;
	struct httpd *httpd;

	memset(&options, 0, sizeof(options));
	options.loop = n->stand->loop;
	options.ip = n->stand->ip;
	options.port = port;
	options.body_max = (size_t)n->stand->body_max;
	options.handler = handler;
	options.ctx = ctx;
	if ((httpd = httpd_open(&options, &error)) == NULL)
		warnx("%s: %s port %s:%d: %s", n->id, what, options.ip, port,
		    httpd_strerror(error));
	return httpd;
}

struct node *
node_open(const struct node_options *options)
{
	struct worker_options wo;
	struct node *n;

	if ((n = calloc(1, sizeof(*n))) == NULL)
		return NULL;
	n->stand = options->stand;
	strlcpy(n->id, options->id, sizeof(n->id));
	strlcpy(n->data_center, options->data_center, sizeof(n->data_center));
	strlcpy(n->rack, options->rack, sizeof(n->rack));
	memset(&wo, 0, sizeof(wo));
	wo.id = n->id;
	wo.capacity = options->capacity;
	wo.accept_over = options->accept_over;
	wo.witness = options->stand->witness;
	wo.on_changed = worker_news;
	wo.on_checkpointed = worker_wrote;
	wo.ctx = n;
	n->worker = worker_open(&wo);
	n->gate = gate_open(options->index + 1);
	n->usage = usage_open(USAGE_WINDOW_MS, options->stand->lag_ms);
	if (n->worker == NULL || n->gate == NULL || n->usage == NULL)
		goto fail;
	if ((n->control = control_open(n, options->control_port)) == NULL)
		goto fail;
	if ((n->endpoint = endpoint_open(n, options->endpoint_port)) == NULL)
		goto fail;
	return n;

fail:
	node_close(n);
	return NULL;
}

void
node_close(struct node *n)
{
	if (n == NULL)
		return;
	endpoint_close(n->endpoint);
	control_close(n->control);
	gate_close(n->gate);
	usage_close(n->usage);
	worker_close(n->worker);
	free(n);
}

void
node_tick(struct node *n, int64_t now_ms)
{
	gate_tick(n->gate, now_ms);
	worker_fail_tasks(
	    n->worker, gate_fault(n->gate)->mode == FAULT_FAIL_TASKS);
	worker_tick(n->worker, now_ms);
	control_flush(n->control, now_ms);
}

#ifndef HTTPC_INT_H
#define HTTPC_INT_H

#include <sys/queue.h>

#include <curl/curl.h>

#include "httpc.h"

/* Shared by the HTTP client sources. */

enum call_state {
	CALL_QUEUED, /* not yet added to libcurl */
	CALL_ACTIVE,
	CALL_INVALID, /* to be ended in a later turn of the loop */
	CALL_DEAD /* on_done was called; not yet removed from libcurl */
};

struct httpc_call {
	TAILQ_ENTRY(httpc_call) link;
	struct httpc *client;
	CURL *easy;
	struct curl_slist *headers;
	enum call_state state;
	bool no_body; /* HEAD */
	bool sent;
	bool stale; /* see struct httpc_result */
	bool too_large;
	char *body;
	size_t body_len;
	size_t body_size;
	size_t body_max;
	httpc_may_send *may_send;
	httpc_head *on_head;
	httpc_data *on_data;
	httpc_done *on_done;
	void *ctx;
};

TAILQ_HEAD(call_list, httpc_call);

struct httpc {
	uv_loop_t *loop;
	CURLM *multi;
	uv_timer_t timer; /* libcurl's */
	uv_async_t wake; /* ends calls that are invalid */
	int handles; /* of the loop, not closed yet */
	struct call_list calls;
	long keepalive_s;
	long idle_s;
	int in_curl; /* depth of libcurl calls that may call back */
	bool closing;
};

/* httpc.c: called after each call of curl_multi_socket_action(). */
void httpc_process_results(struct httpc *);

/* httpc_call.c */
/* Set libcurl's options: HTTPC_OK, HTTPC_ERR_MEMORY or HTTPC_ERR_INVALID. */
enum httpc_error httpc_call_set_up(
    struct httpc_call *, const struct httpc_request *);
/* Map the libcurl result of a transfer to an error. */
enum httpc_error httpc_call_error(struct httpc_call *, CURLcode);

/* httpc_loop.c */
/*
 * Set up libcurl's socket and timer callbacks on the loop.  Returns -1 if the
 * loop has no memory or descriptors for it.
 */
int httpc_loop_attach(struct httpc *);
/* Process the results in the next turn of the loop. */
void httpc_loop_wake(struct httpc *);

#endif /* HTTPC_INT_H */

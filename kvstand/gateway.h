#ifndef GATEWAY_H
#define GATEWAY_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/*
 * The stand-in's HTTP side: the subset of the etcd v3 JSON gateway that the
 * store client uses, GET /stats and POST /fault.
 */

struct gateway;

enum gateway_error {
	GATEWAY_OK,
	GATEWAY_ERR_MEMORY,
	GATEWAY_ERR_ADDRESS, /* not an IPv4 number and port */
	GATEWAY_ERR_LISTEN /* the address can't be listened on */
};

struct gateway_options {
	uv_loop_t *loop;
	const char *ip;
	int port; /* 0: any free one */
	size_t history_max; /* versions kept; 0: kvs.h's default */
	int64_t progress_ms; /* between messages to idle watches; 0: 10000 */
	unsigned long seed; /* of the faults */
};

/* On failure returns NULL and sets *error. */
struct gateway *gateway_open(
    const struct gateway_options *, enum gateway_error *error);
const char *gateway_strerror(enum gateway_error);
int gateway_port(const struct gateway *);
/* Do what is due; a timer of the loop calls it, and tests may. */
void gateway_tick(struct gateway *, int64_t now_ms);
/* The loop must then run until its handles have closed. */
void gateway_close(struct gateway *);

#endif /* GATEWAY_H */

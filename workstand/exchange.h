#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "httpd.h"

/*
 * The faults of one worker.  Every request of an owner or entry enters
 * through the worker's gate, and its answer leaves through the exchange made
 * there, so that both can be held back, cut or spoilt.
 */

struct gate;
struct exchange;

enum fault_mode {
	FAULT_NONE,
	FAULT_SLOW, /* acts at once, answers delay_ms later */
	FAULT_FREEZE, /* neither acts nor answers until the fault ends */
	FAULT_CUT, /* cuts the connection without acting */
	FAULT_FAIL_TASKS, /* every task fails; the gate lets all pass */
	FAULT_LOSE_ANSWERS, /* acts, then cuts the connection */
	FAULT_CUT_ANSWERS, /* acts, sends half of the answer, then cuts */
	FAULT_RUBBISH /* acts, answers under another id with broken JSON */
};

struct fault {
	enum fault_mode mode;
	int64_t delay_ms; /* FAULT_SLOW */
	int64_t until_ms; /* 0: until it is set anew */
	int probability_percent; /* of the requests that it hits */
};

typedef void exchange_handler(struct exchange *, void *ctx);
/* The caller went away; the exchange is freed afterwards. */
typedef void exchange_gone(struct exchange *, void *ctx);

struct gate *gate_open(unsigned long seed);
/* The HTTP servers are closed already. */
void gate_close(struct gate *);
/* Parse a mode's name; -1 when there is no such mode. */
int fault_parse(const char *name, enum fault_mode *);
const char *fault_name(enum fault_mode);
void gate_set_fault(struct gate *, const struct fault *);
const struct fault *gate_fault(const struct gate *);
/* Answer what is due, end a fault whose time is over. */
void gate_tick(struct gate *, int64_t now_ms);

/* A request arrived: the handler is called now, later or never. */
void gate_enter(struct gate *, struct httpd_request *, exchange_handler *,
    void *ctx, int64_t now_ms);

/* Valid within the handler and until the answer or on_gone. */
struct httpd_request *exchange_request(struct exchange *);
void exchange_on_gone(struct exchange *, exchange_gone *, void *ctx);
/* Answer and free the exchange; everything is copied. */
void exchange_reply(struct exchange *, int status,
    const struct httpd_header *headers, size_t nheaders, const void *body,
    size_t len);
/* A long answer; exchange_end frees the exchange. */
void exchange_begin(struct exchange *, int status,
    const struct httpd_header *headers, size_t nheaders);
void exchange_send(struct exchange *, const void *data, size_t len);
void exchange_end(struct exchange *);

#endif /* EXCHANGE_H */

#ifndef RELAYWIRE_H
#define RELAYWIRE_H

#include <msgpack.h>

#include "elect.h"
#include "running_list.h"

/*
 * Orders that a leader gives to members, and their answers, as msgpack: each
 * is an array, and what repeats is left out.  Of 250 KB/s that a link bears, a
 * leader sent 110 to 215 KB/s of orders as objects with names, and 32 to 112 as
 * arrays (single seconds of two different days with 140 workers).
 */

/* Others are refused; the leader gives orders to members of its own only. */
#define RELAY_VERSION 2

enum relay_kind { RELAY_START = 1, RELAY_STOP, RELAY_PACE, RELAY_POLL };

struct relay_order {
	enum relay_kind kind;
	uint64_t number; /* of the order; its answer names it */
	const char *worker;
	const char *address;
	struct task_name task; /* all but a look */
	uint32_t attempt;
	int percent; /* a pace */
	int64_t deadline_ms; /* a start, a look: on the worker's clock */
	const char *checkpoint; /* a start: or NULL */
	const char *payload;
	uint64_t acknowledged; /* a look */
	int64_t wait_ms;
	uint64_t base; /* the last look that was answered; 0: none */
};

/* Orders for a member, or answers for a leader, until they are sent. */
struct relay_writer {
	msgpack_sbuffer items;
	size_t n;
	char *payload; /* of the last start, which the next one may share */
};

void relay_writer_init(struct relay_writer *);
void relay_writer_free(struct relay_writer *);
/* Forget what was gathered. */
void relay_writer_clear(struct relay_writer *);

void relay_write_order(struct relay_writer *, const struct relay_order *);
/* The whole message; the writer is empty then.  false: no memory. */
bool relay_write_orders(struct relay_writer *, const char *leader,
    const char *address, uint64_t term, msgpack_sbuffer *out);

struct relay_answer {
	uint64_t number;
	enum worker_answer answer;
	int64_t clock_ms; /* the worker's; 0: not told */
	const char *worker; /* of a look that succeeded; else NULL */
	const struct poll_result *look; /* the same; only ends if it is lost */
	uint64_t base; /* read: rows that didn't change are its; 0: all told */
};

/* base: the list that the leader has of the worker; NULL: none. */
void relay_write_answer(struct relay_writer *, const struct relay_answer *,
    const struct running_list *base);
bool relay_write_answers(
    struct relay_writer *, const char *member, msgpack_sbuffer *out);

/*
 * Reading.  What the callbacks are given is theirs during the call only.
 * false: the message is damaged or of another version, which is counted; what
 * came before the damage has been handed on.
 */
struct relay_reader {
	void (*order)(const char *leader, const char *address, uint64_t term,
	    const struct relay_order *, void *ctx);
	void (*answer)(const struct relay_answer *, void *ctx);
	/* The list of that look; NULL: the answer can't be used. */
	const struct running_list *(*base)(
	    const char *worker, uint64_t number, void *ctx);
	void *ctx;
};
bool relay_read(const void *data, size_t len, const struct relay_reader *);
/* Messages of other kinds are objects of JSON, which begin otherwise. */
bool relay_is_message(const void *data, size_t len);
bool relay_is_orders(const void *data, size_t len);

#endif /* RELAYWIRE_H */

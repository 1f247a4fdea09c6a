#ifndef CARRYWIRE_H
#define CARRYWIRE_H

#include <msgpack.h>

#include "elect.h"
#include "keptlist.h"

/*
 * Orders that a leader gives to members, and their answers, as msgpack: each
 * is an array, and what repeats is left out.  Of 250 KB/s that a link bears, a
 * leader sent 110 to 215 KB/s of orders as objects with names, and 32 to 112 as
 * arrays (single seconds of two different days with 140 workers).
 */

/* Others are refused; the leader gives orders to members of its own only. */
#define CARRY_VERSION 2

enum carry_kind { CARRY_START = 1, CARRY_STOP, CARRY_PACE, CARRY_LOOK };

struct carry_order {
	enum carry_kind kind;
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
struct carry_writer {
	msgpack_sbuffer items;
	size_t n;
	char *payload; /* of the last start, which the next one may share */
};

void carry_writer_init(struct carry_writer *);
void carry_writer_free(struct carry_writer *);
/* Forget what was gathered. */
void carry_writer_clear(struct carry_writer *);

void carry_write_order(struct carry_writer *, const struct carry_order *);
/* The whole message; the writer is empty then.  false: no memory. */
bool carry_write_orders(struct carry_writer *, const char *leader,
    const char *address, uint64_t term, msgpack_sbuffer *out);

struct carry_answer {
	uint64_t number;
	enum worker_answer answer;
	int64_t clock_ms; /* the worker's; 0: not told */
	const char *worker; /* of a look that succeeded; else NULL */
	const struct poll_result *look; /* the same; only ends if it is lost */
	uint64_t base; /* read: rows that didn't change are its; 0: all told */
};

/* base: the list that the leader has of the worker; NULL: none. */
void carry_write_answer(struct carry_writer *, const struct carry_answer *,
    const struct kept_list *base);
bool carry_write_answers(
    struct carry_writer *, const char *member, msgpack_sbuffer *out);

/*
 * Reading.  What the callbacks are given is theirs during the call only.
 * false: the message is damaged or of another version, which is counted; what
 * came before the damage has been handed on.
 */
struct carry_reader {
	void (*order)(const char *leader, const char *address, uint64_t term,
	    const struct carry_order *, void *ctx);
	void (*answer)(const struct carry_answer *, void *ctx);
	/* The list of that look; NULL: the answer can't be used. */
	const struct kept_list *(*base)(
	    const char *worker, uint64_t number, void *ctx);
	void *ctx;
};
bool carry_read(const void *data, size_t len, const struct carry_reader *);
/* Messages of other kinds are objects of JSON, which begin otherwise. */
bool carry_is_message(const void *data, size_t len);
bool carry_is_orders(const void *data, size_t len);

#endif /* CARRYWIRE_H */

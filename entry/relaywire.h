#ifndef RELAYWIRE_H
#define RELAYWIRE_H

#include <msgpack.h>

#include "elect.h"
#include "running_list.h"

/*
 * Wire format of the orders that a leader sends to members and of their
 * answers: msgpack arrays, with repeated values omitted.  On a link of 250 KB/s
 * with 140 workers, a leader sent 110 to 215 KB/s of orders encoded as objects
 * with field names, and 32 to 112 KB/s as arrays (seconds of different days).
 */

/*
 * Messages of other versions are rejected.  The leader relays only through
 * members of its own version.
 */
#define RELAY_VERSION 3

enum relay_kind { RELAY_START = 1, RELAY_STOP, RELAY_PACE, RELAY_POLL };

struct relay_order {
	enum relay_kind kind;
	uint64_t number; /* of the order, repeated in its answer */
	const char *worker;
	const char *address;
	struct task_name task; /* not in a poll */
	uint32_t attempt;
	int percent; /* pace */
	int64_t deadline_ms; /* start, poll: on the worker's clock */
	const char *checkpoint; /* start: may be NULL */
	const char *payload;
	uint64_t acknowledged; /* poll */
	int64_t wait_ms;
	uint64_t base; /* number of the last answered poll; 0: none */
};

/* A batch of orders for a member, or of answers for a leader. */
struct relay_writer {
	msgpack_sbuffer items;
	size_t n;
	char *payload; /* of the last start; omitted if the next has the same */
};

void relay_writer_init(struct relay_writer *);
void relay_writer_free(struct relay_writer *);
/* Discard the batch. */
void relay_writer_clear(struct relay_writer *);

void relay_write_order(struct relay_writer *, const struct relay_order *);
/*
 * Write the message with the whole batch and empty the writer.  Returns false
 * if out of memory.
 */
bool relay_write_orders(struct relay_writer *, const char *leader,
    const char *address, uint64_t term, msgpack_sbuffer *out);

struct relay_answer {
	uint64_t number;
	enum worker_answer answer;
	int64_t clock_ms; /* the worker's clock; 0: unknown */
	const char *worker; /* of a successful poll; else NULL */
	/* Of a successful poll; with ANSWER_LOST, only the finished tasks. */
	const struct poll_result *poll;
	/* Set by the reader: poll that the rows are a delta to; 0: none. */
	uint64_t base;
};

/*
 * Write running tasks as a delta to base, the list that the leader has of the
 * worker; NULL if it has none.
 */
void relay_write_answer(struct relay_writer *, const struct relay_answer *,
    const struct running_list *base);
bool relay_write_answers(
    struct relay_writer *, const char *member, msgpack_sbuffer *out);

/*
 * Callbacks for reading a message.  Their arguments are valid only during the
 * call.
 */
struct relay_reader {
	void (*order)(const char *leader, const char *address, uint64_t term,
	    const struct relay_order *, void *ctx);
	void (*answer)(const struct relay_answer *, void *ctx);
	/* The running list of that poll; NULL makes the answer ANSWER_LOST. */
	const struct running_list *(*base)(
	    const char *worker, uint64_t number, void *ctx);
	void *ctx;
};
/*
 * Returns false if the message is malformed or of another version, which is
 * counted.  Items before the error have been passed to the callbacks.
 */
bool relay_read(const void *data, size_t len, const struct relay_reader *);
/*
 * Tell a relay message from other messages by its first byte: those are JSON
 * objects, which begin differently.
 */
bool relay_is_message(const void *data, size_t len);
bool relay_is_orders(const void *data, size_t len);

#endif /* RELAYWIRE_H */

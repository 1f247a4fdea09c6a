#ifndef ROOM_H
#define ROOM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Capacity of a VM and the resources reserved on it.  A reservation that would
 * exceed the capacity in any dimension is refused, so the reservations made by
 * room_reserve() never exceed it.
 */

#define MILLIS_PER_PROCESSOR 1000

struct resources {
	int64_t cpu_millis; /* thousandths of a processor */
	int64_t memory_mib;
	int64_t accelerators;
};

bool resources_equal(const struct resources *, const struct resources *);

struct room {
	struct resources capacity;
	struct resources used;
	bool limited;
	struct resources limit; /* while limited: the capacity at most */
};

enum room_error {
	ROOM_OK,
	ROOM_ERR_FULL, /* it doesn't fit now */
	ROOM_ERR_TOO_LARGE, /* it wouldn't fit an empty VM either */
	ROOM_ERR_RANGE, /* a negative amount, or a sum out of range */
	ROOM_ERR_NOT_HELD /* more is released than is reserved */
};

void room_init(struct room *, const struct resources *capacity);

/* A VM that shrinks keeps its reservations and is full until they fit. */
void room_set_capacity(struct room *, const struct resources *capacity);

/*
 * The VM has refused a request for want of capacity: it has no more than what
 * is reserved now, whatever its recorded capacity says.
 */
void room_limit(struct room *);
void room_lift_limit(struct room *);

/* What can still be reserved; negative amounts in a VM that has shrunk. */
void room_get_free(const struct room *, struct resources *);

/* Whether room_reserve() would succeed. */
enum room_error room_check(const struct room *, const struct resources *);
enum room_error room_reserve(struct room *, const struct resources *);
enum room_error room_release(struct room *, const struct resources *);

/*
 * Reserve for a task that a worker reports as running, even beyond the
 * capacity: not counting it would admit further tasks.
 */
enum room_error room_adopt(struct room *, const struct resources *);

const char *room_strerror(enum room_error);

#endif /* ROOM_H */

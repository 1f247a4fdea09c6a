#include <stddef.h>

#include "room.h"

static bool in_range(const struct resources *);
static bool fits(const struct resources *, const struct resources *);
static enum room_error sum(
    const struct resources *, const struct resources *, struct resources *);

static bool
in_range(const struct resources *r)
{
	return r->cpu_millis >= 0 && r->memory_mib >= 0 && r->accelerators >= 0;
}

static bool
fits(const struct resources *amount, const struct resources *capacity)
{
	return amount->cpu_millis <= capacity->cpu_millis &&
	    amount->memory_mib <= capacity->memory_mib &&
	    amount->accelerators <= capacity->accelerators;
}

static enum room_error
sum(const struct resources *a, const struct resources *b, struct resources *out)
{
	if (!in_range(b))
		return ROOM_ERR_RANGE;
	if (__builtin_add_overflow(
		a->cpu_millis, b->cpu_millis, &out->cpu_millis))
		return ROOM_ERR_RANGE;
	if (__builtin_add_overflow(
		a->memory_mib, b->memory_mib, &out->memory_mib))
		return ROOM_ERR_RANGE;
	if (__builtin_add_overflow(
		a->accelerators, b->accelerators, &out->accelerators))
		return ROOM_ERR_RANGE;
	return ROOM_OK;
}

bool
resources_equal(const struct resources *a, const struct resources *b)
{
	return a->cpu_millis == b->cpu_millis &&
	    a->memory_mib == b->memory_mib &&
	    a->accelerators == b->accelerators;
}

void
room_init(struct room *room, const struct resources *capacity)
{
	*room = (struct room){ 0 };
	room->capacity = *capacity;
}

void
room_set_capacity(struct room *room, const struct resources *capacity)
{
	room->capacity = *capacity;
}

static int64_t
lower(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static struct resources
lower_of_each(const struct resources *a, const struct resources *b)
{
	struct resources lowest;

	lowest.cpu_millis = lower(a->cpu_millis, b->cpu_millis);
	lowest.memory_mib = lower(a->memory_mib, b->memory_mib);
	lowest.accelerators = lower(a->accelerators, b->accelerators);
	return lowest;
}

/* The recorded capacity, or the limit where that is lower. */
static struct resources
usable_capacity(const struct room *room)
{
	if (!room->limited)
		return room->capacity;
	return lower_of_each(&room->capacity, &room->limit);
}

void
room_limit(struct room *room)
{
	if (room->limited)
		room->limit = lower_of_each(&room->limit, &room->used);
	else
		room->limit = room->used;
	room->limited = true;
}

void
room_lift_limit(struct room *room)
{
	room->limited = false;
}

void
room_get_free(const struct room *room, struct resources *left)
{
	*left = usable_capacity(room);
	left->cpu_millis -= room->used.cpu_millis;
	left->memory_mib -= room->used.memory_mib;
	left->accelerators -= room->used.accelerators;
}

enum room_error
room_check(const struct room *room, const struct resources *amount)
{
	struct resources total, capacity;
	enum room_error error;

	if ((error = sum(&room->used, amount, &total)) != ROOM_OK)
		return error;
	if (!fits(amount, &room->capacity))
		return ROOM_ERR_TOO_LARGE;
	capacity = usable_capacity(room);
	return fits(&total, &capacity) ? ROOM_OK : ROOM_ERR_FULL;
}

enum room_error
room_reserve(struct room *room, const struct resources *amount)
{
	enum room_error error;

	if ((error = room_check(room, amount)) != ROOM_OK)
		return error;
	return sum(&room->used, amount, &room->used);
}

enum room_error
room_adopt(struct room *room, const struct resources *amount)
{
	struct resources total;
	enum room_error error;

	if ((error = sum(&room->used, amount, &total)) != ROOM_OK)
		return error;
	room->used = total;
	return ROOM_OK;
}

enum room_error
room_release(struct room *room, const struct resources *amount)
{
	if (!in_range(amount))
		return ROOM_ERR_RANGE;
	if (!fits(amount, &room->used))
		return ROOM_ERR_NOT_HELD;
	room->used.cpu_millis -= amount->cpu_millis;
	room->used.memory_mib -= amount->memory_mib;
	room->used.accelerators -= amount->accelerators;
	return ROOM_OK;
}

const char *
room_strerror(enum room_error error)
{
	static const char *const texts[] = {
		[ROOM_OK] = "ok",
		[ROOM_ERR_FULL] = "no capacity left",
		[ROOM_ERR_TOO_LARGE] = "larger than the capacity of the VM",
		[ROOM_ERR_RANGE] = "amount out of range",
		[ROOM_ERR_NOT_HELD] = "more released than reserved",
	};

	return texts[error];
}

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

void
room_init(struct room *room, const struct resources *capacity)
{
	room->capacity = *capacity;
	room->used = (struct resources){ 0, 0, 0 };
}

void
room_set_capacity(struct room *room, const struct resources *capacity)
{
	room->capacity = *capacity;
}

enum room_error
room_check(const struct room *room, const struct resources *amount)
{
	struct resources total;
	enum room_error error;

	if ((error = sum(&room->used, amount, &total)) != ROOM_OK)
		return error;
	if (!fits(amount, &room->capacity))
		return ROOM_ERR_TOO_LARGE;
	return fits(&total, &room->capacity) ? ROOM_OK : ROOM_ERR_FULL;
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

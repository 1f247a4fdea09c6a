#include <string.h>

#include "closures.h"

/* Index of a name that the set doesn't have. */
#define NOT_FOUND ((size_t)-1)

static size_t
find(const struct closure_set *set, const char *name)
{
	size_t i;

	for (i = 0; i < set->n; i++) {
		if (strcmp(set->names[i], name) == 0)
			return i;
	}
	return NOT_FOUND;
}

void
closure_set_clear(struct closure_set *set)
{
	set->n = 0;
	set->overflow = false;
}

void
closure_set_add(struct closure_set *set, const char *name)
{
	if (find(set, name) != NOT_FOUND)
		return;
	if (set->n == CLOSURES_MAX || strlen(name) >= GRAPH_NAME_MAX) {
		set->overflow = true;
		return;
	}
	strlcpy(set->names[set->n++], name, GRAPH_NAME_MAX);
}

bool
closure_set_has(const struct closure_set *set, const char *name)
{
	return set->overflow || find(set, name) != NOT_FOUND;
}

void
closures_init(struct closures *closures)
{
	memset(closures, 0, sizeof(*closures));
}

static bool
is_same(const struct closure_set *a, const struct closure_set *b)
{
	size_t i;

	if (a->n != b->n || a->overflow != b->overflow)
		return false;
	for (i = 0; i < a->n; i++) {
		if (find(b, a->names[i]) == NOT_FOUND)
			return false;
	}
	return true;
}

/* Returns true if it changes what is closed. */
static bool
set_names(
    struct closures *closures, const struct closure_set *set, int64_t now_ms)
{
	struct closures before;
	size_t i, at;

	if (is_same(&closures->set, set))
		return false;
	before = *closures;
	closures->set = *set;
	for (i = 0; i < set->n; i++) {
		at = find(&before.set, set->names[i]);
		closures->since_ms[i] =
		    at != NOT_FOUND ? before.since_ms[at] : now_ms;
	}
	return true;
}

bool
closures_replace(struct closures *closures, const struct closure_set *set,
    int64_t revision, int64_t now_ms)
{
	if (revision < closures->revision)
		return false;
	closures->revision = revision;
	closures->complete = true;
	return set_names(closures, set, now_ms);
}

bool
closures_change(struct closures *closures, const char *name, bool closed,
    int64_t revision, int64_t now_ms)
{
	struct closure_set set;
	size_t i;

	if (revision <= closures->revision)
		return false;
	closure_set_clear(&set);
	set.overflow = closures->set.overflow;
	for (i = 0; i < closures->set.n; i++) {
		if (closed || strcmp(closures->set.names[i], name) != 0)
			closure_set_add(&set, closures->set.names[i]);
	}
	if (closed)
		closure_set_add(&set, name);
	closures->revision = revision;
	closures->complete = false;
	return set_names(closures, &set, now_ms);
}

bool
closures_has(const struct closures *closures, const char *name)
{
	return closure_set_has(&closures->set, name);
}

void
closures_confirm(
    struct closures *closures, enum confirmation_source source, int64_t at_ms)
{
	if (closures->complete)
		confirmation_note(&closures->confirmed, source, at_ms);
}

bool
closures_are_all(const struct closures *closures)
{
	return closures->complete && !closures->set.overflow;
}

#ifndef CLOSURES_H
#define CLOSURES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "confirmation.h"
#include "graph.h"

/*
 * Data centres that operators have closed: nothing new is started there, what
 * runs goes on.  What is known of them has the store's revision, which orders
 * what comes by different ways: a read of all, a watch, and other entries.
 * Also a removal that no watch has told counts, as a newer read lacks the key.
 */

/* Data centres at most; with more all count as closed. */
#define CLOSURES_MAX 64

/* All data centres that are closed. */
struct closure_set {
	size_t n;
	bool overflow; /* there are more than it holds */
	char names[CLOSURES_MAX][GRAPH_NAME_MAX];
};

struct closures {
	struct closure_set set;
	int64_t since_ms[CLOSURES_MAX]; /* known here since, by index of set */
	int64_t revision; /* of the store, as of the last change; 0: none yet */
	/*
	 * That is all as of the revision.  A watch may omit changes, so after
	 * one of its changes that isn't known until the next read.
	 */
	bool complete;
	struct confirmation confirmed;
};

void closure_set_clear(struct closure_set *);
/* A name that is too long, or one too many, sets overflow. */
void closure_set_add(struct closure_set *, const char *name);
bool closure_set_has(const struct closure_set *, const char *name);

void closures_init(struct closures *);
/*
 * All that were closed at this revision.  Older ones are ignored.  Returns true
 * if it changes what is closed.
 */
bool closures_replace(struct closures *, const struct closure_set *,
    int64_t revision, int64_t now_ms);
/* The watch tells a change of one; returns the same. */
bool closures_change(struct closures *, const char *name, bool closed,
    int64_t revision, int64_t now_ms);
/* Unless a newer change makes it unknown, that was all at this time. */
void closures_confirm(
    struct closures *, enum confirmation_source, int64_t at_ms);
bool closures_has(const struct closures *, const char *name);
/* The names are all that is closed: others may go by them. */
bool closures_are_all(const struct closures *);

#endif /* CLOSURES_H */

#ifndef CONFIRMATION_H
#define CONFIRMATION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * When what is known of something in the store was last known to be all that
 * the store has, and by whom.  Without that, "it is so" can't be told from "it
 * was so when last heard", and an entry that the store rejects goes on by what
 * has long been changed.
 *
 * All times are in milliseconds of one steady clock.
 */

/* What orders rest on has to be younger by their way to the worker. */
#define CONFIRMATION_ORDER_MS INT64_C(200)

enum confirmation_source {
	CONFIRMED_BY_NOBODY,
	CONFIRMED_BY_STORE,
	CONFIRMED_BY_PEER
};

struct confirmation {
	int64_t at_ms; /* nothing newer existed at this time */
	enum confirmation_source by;
};

/* An earlier time than the last one is ignored. */
void confirmation_note(
    struct confirmation *, enum confirmation_source, int64_t at_ms);
/* Time since the last confirmation; -1: there was none. */
int64_t confirmation_age_ms(const struct confirmation *, int64_t now_ms);
/* The last confirmation is at most max_ms old. */
bool confirmation_is_fresh(
    const struct confirmation *, int64_t max_ms, int64_t now_ms);
const char *confirmation_source_name(enum confirmation_source);

#endif /* CONFIRMATION_H */

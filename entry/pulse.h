#ifndef PULSE_H
#define PULSE_H

#include <stdbool.h>
#include <stddef.h>

#include "blame.h"

/*
 * Value of the leader's heartbeat key: the rate at which workers crash, as the
 * leader sees it.  A new leader that knew of no crash yet would take those of a
 * bad day for the fault of the tasks that it finds lost.
 */

#define PULSE_TEXT_MAX 80

enum pulse_error {
	PULSE_OK,
	PULSE_NO_RATE, /* of an earlier release */
	PULSE_ERR_INVALID
};

void pulse_text(const struct blame_rate *, char *, size_t size);
/* Sets the sums only. */
enum pulse_error pulse_read(const char *, size_t len, struct blame_rate *);

#endif /* PULSE_H */

#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/*
 * Monotonic clock.  It includes time during which the machine or the
 * process was suspended, because leases expire meanwhile.  Tests pause it and
 * advance it explicitly.
 */

/* Milliseconds since boot, or the time set by a test. */
int64_t clock_now_ms(void);

/* Stop the clock at now_ms. */
void clock_pause(int64_t now_ms);

/* Move a paused clock forward. */
void clock_advance(int64_t step_ms);

/* Return to the system clock. */
void clock_resume(void);

/*
 * Milliseconds since the epoch; only for timestamps shown to people, as the
 * system time may be set back.
 */
int64_t clock_wall_ms(void);

#endif /* CLOCK_H */

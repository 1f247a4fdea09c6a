#ifndef ECHO_H
#define ECHO_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells how old a peer's message is at most, without comparing two clocks.
 * Messages may be delayed, for instance while a process is paused, and then
 * describe the past.  Each message carries the time at its sender, and returns
 * the time that the peer sent last together with how long it was held: the
 * message was sent no earlier than the sum of both.
 */

/* The time that one peer sent last, in milliseconds on its clock. */
struct echo {
	int64_t stamp; /* 0: none yet */
	int64_t received_ms; /* on our clock */
};

/* What a message carries. */
struct echo_row {
	int64_t sent; /* sender's clock */
	int64_t returned; /* receiver's clock; 0: none */
	int64_t held_ms;
};

/* The row to send to the peer. */
struct echo_row echo_send(const struct echo *, int64_t now_ms);
/*
 * Takes the row of a received message.  Returns true and sets *sent_ms to a
 * time on our clock at or before which the message was not yet sent, unless
 * the returned time isn't one that this process can have sent: it was opened
 * at opened_ms.
 */
bool echo_receive(struct echo *, const struct echo_row *, int64_t opened_ms,
    int64_t now_ms, int64_t *sent_ms);

#endif /* ECHO_H */

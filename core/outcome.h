#ifndef OUTCOME_H
#define OUTCOME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What a caller is told: one of three outcomes, a reason, an HTTP status and
 * when to come back.  The outcome is derived from what is known about the
 * attempts, never chosen by the code that gives up.
 */

enum outcome {
	OUTCOME_ANSWERED, /* the endpoint's complete answer */
	OUTCOME_NOT_RUN, /* certain: no endpoint has run or will run it */
	OUTCOME_UNKNOWN /* an endpoint may have run it */
};

enum outcome_reason {
	OUTCOME_COMPLETE,
	OUTCOME_KEPT_ANSWER, /* repeated id, answer still held here */
	/* Bad input, refused before anything else is done. */
	OUTCOME_BAD_DEADLINE,
	OUTCOME_BAD_HEADER,
	OUTCOME_HEADER_TOO_LONG,
	OUTCOME_BAD_REQUEST_ID,
	OUTCOME_MISSING_REQUEST_ID,
	OUTCOME_BAD_METHOD,
	OUTCOME_UNKNOWN_SERVICE,
	OUTCOME_BODY_TOO_LARGE,
	/* Refused by admission. */
	OUTCOME_TEAM_QUOTA,
	OUTCOME_CANT_MEET_DEADLINE,
	OUTCOME_QUEUE_FULL,
	OUTCOME_NO_ENDPOINT,
	OUTCOME_STOPPING,
	OUTCOME_NO_MEMORY,
	/* Given up on: the outcome depends on the attempts. */
	OUTCOME_DEADLINE_PASSED,
	OUTCOME_CALLER_GONE,
	/* Claims of non-idempotent ids. */
	OUTCOME_STORE_AWAY,
	OUTCOME_CLAIM_TOO_OLD,
	OUTCOME_ALREADY_CLAIMED,
	/* The last attempt failed and there is no further one. */
	OUTCOME_ENDPOINT_UNREACHABLE,
	OUTCOME_ENDPOINT_FENCED,
	OUTCOME_ENDPOINT_FULL,
	OUTCOME_ENDPOINT_LEAVING,
	OUTCOME_ANSWER_CUT,
	OUTCOME_ANSWER_MISMATCH,
	OUTCOME_ANSWER_TOO_LARGE,
	OUTCOME_NREASONS
};

/* How one attempt at an endpoint ended. */
enum outcome_attempt {
	OUTCOME_ATTEMPT_NOT_SENT, /* certainly no byte reached the endpoint */
	OUTCOME_ATTEMPT_REFUSED, /* the endpoint said that it won't run it */
	OUTCOME_ATTEMPT_UNKNOWN, /* a byte may have reached the endpoint */
	OUTCOME_ATTEMPT_COMPLETE
};

/* What is known about a call; zeroed when the call is read. */
struct outcome_facts {
	bool idempotent;
	bool complete; /* the whole answer of one attempt is here */
	/*
	 * An earlier sending of this id by the caller may have run: "not-run"
	 * can't be said of the id, whatever becomes of this sending.
	 */
	bool repeated;
	bool foreign_claim; /* another attempt holds the claim of this id */
	unsigned int open; /* attempts sent and not yet ended */
	unsigned int unknown_attempts; /* attempts that ended in doubt */
};

struct outcome_answer {
	enum outcome outcome;
	enum outcome_reason reason;
	int status; /* HTTP; 0: the endpoint's own */
	int64_t retry_after_s; /* 0: no Retry-After header */
};

/* An attempt is about to be handed to the HTTP client. */
void outcome_sent(struct outcome_facts *);
/* An attempt ended; or was given up on, which is doubtful. */
void outcome_ended(struct outcome_facts *, enum outcome_attempt);

/*
 * May the call go to an endpoint (again)?  A non-idempotent call only while
 * every earlier attempt is certain not to have run.
 */
bool outcome_may_send(const struct outcome_facts *);

/* Whether this sending has run or may run; for its claim. */
bool outcome_may_have_run(const struct outcome_facts *);

/* retry_after_ms: estimate of when coming back helps; 0: unknown. */
struct outcome_answer outcome_derive(
    const struct outcome_facts *, enum outcome_reason, int64_t retry_after_ms);

/* The reason for an endpoint's lagoonpin-not-run header value. */
enum outcome_reason outcome_refusal_reason(const char *value);

const char *outcome_name(enum outcome); /* answered, not-run, unknown */
const char *outcome_reason_name(enum outcome_reason); /* e.g. queue_full */

#endif /* OUTCOME_H */

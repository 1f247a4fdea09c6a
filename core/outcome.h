#ifndef OUTCOME_H
#define OUTCOME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The result of a call as reported to its caller: one of three outcomes, a
 * reason, an HTTP status and a Retry-After time.  The outcome is derived from
 * what is known about the attempts, never chosen by the code that fails the
 * call.
 */

enum outcome {
	OUTCOME_ANSWERED, /* the complete response of an endpoint */
	OUTCOME_NOT_RUN, /* certain: no endpoint has run or will run it */
	OUTCOME_UNKNOWN /* an endpoint may have run it */
};

enum outcome_reason {
	OUTCOME_COMPLETE,
	OUTCOME_KEPT_ANSWER, /* repeated id, response cached */
	/* Invalid request, refused before any processing. */
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
	/* Abandoned: the outcome depends on the attempts. */
	OUTCOME_DEADLINE_PASSED,
	OUTCOME_CALLER_GONE,
	/* The claim of a non-idempotent request id failed. */
	OUTCOME_STORE_UNAVAILABLE,
	OUTCOME_CLAIM_TOO_OLD,
	OUTCOME_ALREADY_CLAIMED,
	/* The last attempt failed and no retry is left. */
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
	OUTCOME_ATTEMPT_NOT_SENT, /* certain: no byte reached the endpoint */
	OUTCOME_ATTEMPT_REFUSED, /* the endpoint replied that it won't run it */
	OUTCOME_ATTEMPT_UNKNOWN, /* a byte may have reached the endpoint */
	OUTCOME_ATTEMPT_COMPLETE
};

/* What is known about a call; zeroed when the call is received. */
struct outcome_facts {
	bool idempotent;
	bool complete; /* an attempt's response was received in full */
	/*
	 * The caller sent this request id before, and that request may have
	 * run: "not-run" would be false for the id, however this request ends.
	 */
	bool repeated;
	bool foreign_claim; /* another attempt holds the claim of this id */
	unsigned int open; /* attempts in flight */
	unsigned int unknown_attempts; /* ended attempts that may have run */
};

struct outcome_answer {
	enum outcome outcome;
	enum outcome_reason reason;
	int status; /* HTTP status; 0: that of the endpoint */
	int64_t retry_after_s; /* 0: no Retry-After header */
};

/* An attempt is about to be passed to the HTTP client. */
void outcome_sent(struct outcome_facts *);
/* An attempt ended.  An abandoned one has ended as unknown. */
void outcome_ended(struct outcome_facts *, enum outcome_attempt);

/*
 * Whether the call may be sent to an endpoint (again).  A non-idempotent call
 * may only while it is certain that no earlier attempt has run.
 */
bool outcome_may_send(const struct outcome_facts *);

/* Whether this request has run or may run; decides about its claim. */
bool outcome_may_have_run(const struct outcome_facts *);

/* retry_after_ms estimates when a retry may succeed; 0: unknown. */
struct outcome_answer outcome_derive(
    const struct outcome_facts *, enum outcome_reason, int64_t retry_after_ms);

/* The reason for the value of an endpoint's lagoonpin-not-run header. */
enum outcome_reason outcome_refusal_reason(const char *value);

const char *outcome_name(enum outcome); /* answered, not-run, unknown */
const char *outcome_reason_name(enum outcome_reason); /* e.g. queue_full */

#endif /* OUTCOME_H */

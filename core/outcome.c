#include <string.h>

#include "outcome.h"

#define MS_PER_S 1000
#define RETRY_AFTER_MAX_S 60

struct reason {
	const char *name;
	int not_run_status;
	int unknown_status;
	bool retry_after; /* a later retry may succeed */
};

static int64_t retry_after_s(int64_t);
static bool sent_or_claimed(const struct outcome_facts *);

static const struct reason reasons[OUTCOME_NREASONS] = {
	[OUTCOME_COMPLETE] = { "complete", 503, 502, false },
	[OUTCOME_KEPT_ANSWER] = { "kept_answer", 503, 502, false },
	[OUTCOME_BAD_DEADLINE] = { "bad_deadline", 400, 400, false },
	[OUTCOME_BAD_HEADER] = { "bad_header", 400, 400, false },
	[OUTCOME_HEADER_TOO_LONG] = { "header_too_long", 400, 400, false },
	[OUTCOME_BAD_REQUEST_ID] = { "bad_request_id", 400, 400, false },
	[OUTCOME_MISSING_REQUEST_ID] = { "missing_request_id", 400, 400,
	    false },
	[OUTCOME_BAD_METHOD] = { "bad_method", 405, 405, false },
	[OUTCOME_UNKNOWN_SERVICE] = { "unknown_service", 404, 404, false },
	[OUTCOME_BODY_TOO_LARGE] = { "body_too_large", 413, 413, false },
	[OUTCOME_TEAM_QUOTA] = { "team_quota", 429, 502, true },
	[OUTCOME_CANT_MEET_DEADLINE] = { "cant_meet_deadline", 503, 502, true },
	[OUTCOME_QUEUE_FULL] = { "queue_full", 503, 502, true },
	[OUTCOME_NO_ENDPOINT] = { "no_endpoint", 503, 502, true },
	[OUTCOME_STOPPING] = { "stopping", 503, 502, true },
	[OUTCOME_NO_MEMORY] = { "no_memory", 503, 502, true },
	[OUTCOME_DEADLINE_PASSED] = { "deadline_passed", 503, 504, true },
	[OUTCOME_CALLER_GONE] = { "caller_gone", 503, 502, false },
	[OUTCOME_STORE_UNAVAILABLE] = { "store_away", 503, 502, true },
	[OUTCOME_CLAIM_TOO_OLD] = { "claim_too_old", 503, 502, true },
	[OUTCOME_ALREADY_CLAIMED] = { "already_claimed", 409, 409, false },
	[OUTCOME_ENDPOINT_UNREACHABLE] = { "endpoint_unreachable", 503, 502,
	    true },
	[OUTCOME_ENDPOINT_FENCED] = { "endpoint_fenced", 503, 502, true },
	[OUTCOME_ENDPOINT_FULL] = { "endpoint_full", 503, 502, true },
	[OUTCOME_ENDPOINT_LEAVING] = { "endpoint_leaving", 503, 502, true },
	[OUTCOME_ANSWER_CUT] = { "answer_cut", 503, 502, false },
	[OUTCOME_ANSWER_MISMATCH] = { "answer_mismatch", 503, 502, false },
	[OUTCOME_ANSWER_TOO_LARGE] = { "answer_too_large", 503, 502, false },
};

void
outcome_sent(struct outcome_facts *f)
{
	f->open++;
}

void
outcome_ended(struct outcome_facts *f, enum outcome_attempt end)
{
	f->open--;
	if (end == OUTCOME_ATTEMPT_UNKNOWN)
		f->unknown_attempts++;
	else if (end == OUTCOME_ATTEMPT_COMPLETE)
		f->complete = true;
}

bool
outcome_may_send(const struct outcome_facts *f)
{
	if (f->complete || f->foreign_claim)
		return false;
	return f->idempotent || (f->open == 0 && f->unknown_attempts == 0);
}

static int64_t
retry_after_s(int64_t ms)
{
	int64_t s;

	s = ms / MS_PER_S + (ms % MS_PER_S > 0 ? 1 : 0);
	if (s < 1)
		return 1;
	return s < RETRY_AFTER_MAX_S ? s : RETRY_AFTER_MAX_S;
}

bool
outcome_may_have_run(const struct outcome_facts *f)
{
	return f->complete || f->open > 0 || f->unknown_attempts > 0;
}

static bool
sent_or_claimed(const struct outcome_facts *f)
{
	return f->open > 0 || f->unknown_attempts > 0 || f->foreign_claim;
}

/*
 * Reporting "not-run" for a call that runs makes the caller send it again,
 * e.g. make a payout twice.  So an attempt that is in flight or may have run,
 * or a claim held by another attempt, always makes the outcome unknown,
 * whatever the reason for failing the call.
 */
struct outcome_answer
outcome_derive(const struct outcome_facts *f, enum outcome_reason reason,
    int64_t retry_after_ms)
{
	struct outcome_answer a;

	memset(&a, 0, sizeof(a));
	a.reason = reason;
	if (f->complete) {
		a.outcome = OUTCOME_ANSWERED;
		if (reason != OUTCOME_KEPT_ANSWER)
			a.reason = OUTCOME_COMPLETE;
		return a;
	}
	if (sent_or_claimed(f) || f->repeated) {
		a.outcome = OUTCOME_UNKNOWN;
		a.status = reasons[reason].unknown_status;
		if (!sent_or_claimed(f) && reasons[reason].retry_after)
			a.retry_after_s = retry_after_s(retry_after_ms);
		return a;
	}
	a.outcome = OUTCOME_NOT_RUN;
	a.status = reasons[reason].not_run_status;
	if (reasons[reason].retry_after)
		a.retry_after_s = retry_after_s(retry_after_ms);
	return a;
}

enum outcome_reason
outcome_refusal_reason(const char *value)
{
	if (strcmp(value, "fenced") == 0)
		return OUTCOME_ENDPOINT_FENCED;
	if (strcmp(value, "leaving") == 0)
		return OUTCOME_ENDPOINT_LEAVING;
	return OUTCOME_ENDPOINT_FULL;
}

const char *
outcome_name(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_ANSWERED:
		return "answered";
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}

const char *
outcome_reason_name(enum outcome_reason reason)
{
	return reasons[reason].name;
}

#ifndef BUDGET_H
#define BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budget of one service: further attempts may be at most a fraction of
 * the recent successes.  Without it an overloaded service is buried by the
 * retries of the calls that it fails (symptom: load rises as answers fall).
 * Refusals by an endpoint before running cost nothing there and are
 * bounded by the call's number of attempts instead.
 */

#define BUDGET_BUCKETS 10
#define BUDGET_BUCKET_MS 1000

enum budget_kind {
	BUDGET_RETRY, /* the attempt before failed */
	BUDGET_HEDGE, /* the attempt before is slow */
	BUDGET_NKINDS
};

enum budget_verdict {
	BUDGET_GRANTED,
	BUDGET_SPENT,
	BUDGET_NOT_IDEMPOTENT,
	BUDGET_OFF, /* this kind is switched off for the service */
	BUDGET_NVERDICTS
};

struct budget_bucket {
	int64_t number; /* time divided by BUDGET_BUCKET_MS */
	uint32_t successes;
	uint32_t spent[BUDGET_NKINDS];
};

/* The fields are private but for percent and reserve. */
struct budget {
	uint32_t percent[BUDGET_NKINDS]; /* of recent successes */
	uint32_t reserve; /* retries allowed without any success */
	struct budget_bucket slots[BUDGET_BUCKETS];
	uint64_t counts[BUDGET_NKINDS][BUDGET_NVERDICTS];
};

void budget_init(struct budget *, uint32_t retry_percent,
    uint32_t hedge_percent, uint32_t reserve);
/* A call was answered, which pays for further attempts. */
void budget_success(struct budget *, int64_t now_ms);

/* Ask for one further attempt and, if granted, spend it. */
enum budget_verdict budget_take(
    struct budget *, enum budget_kind, bool idempotent, int64_t now_ms);

const char *budget_verdict_name(enum budget_verdict);

#endif /* BUDGET_H */

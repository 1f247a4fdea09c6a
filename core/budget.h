#ifndef BUDGET_H
#define BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budget of one service, which limits further attempts to a fraction of
 * the recent successes.  Without it, an overloaded service is overloaded
 * further by retries of the calls that it fails; the symptom is load that
 * rises while responses decrease.  Attempts that an endpoint refuses before
 * running cost it nothing and are limited by the maximum number of attempts of
 * a call instead.
 */

#define BUDGET_BUCKETS 10
#define BUDGET_BUCKET_MS 1000

enum budget_kind {
	BUDGET_RETRY, /* the previous attempt failed */
	BUDGET_HEDGE, /* the previous attempt is slow */
	BUDGET_NKINDS
};

enum budget_verdict {
	BUDGET_GRANTED,
	BUDGET_SPENT,
	BUDGET_NOT_IDEMPOTENT,
	BUDGET_OFF, /* this kind is disabled for the service */
	BUDGET_NVERDICTS
};

struct budget_bucket {
	int64_t number; /* time divided by BUDGET_BUCKET_MS */
	uint32_t successes;
	uint32_t spent[BUDGET_NKINDS];
};

/* Only percent and reserve may be accessed from outside. */
struct budget {
	uint32_t percent[BUDGET_NKINDS]; /* of recent successes */
	uint32_t reserve; /* retries allowed without successes */
	struct budget_bucket buckets[BUDGET_BUCKETS];
	uint64_t counts[BUDGET_NKINDS][BUDGET_NVERDICTS];
};

void budget_init(struct budget *, uint32_t retry_percent,
    uint32_t hedge_percent, uint32_t reserve);
/* Records an answered call, which adds to the budget. */
void budget_success(struct budget *, int64_t now_ms);

/* Requests one further attempt and, if granted, charges the budget. */
enum budget_verdict budget_take(
    struct budget *, enum budget_kind, bool idempotent, int64_t now_ms);

const char *budget_verdict_name(enum budget_verdict);

#endif /* BUDGET_H */

#include <string.h>

#include "budget.h"

#define PERCENT 100

static struct budget_bucket *current_bucket(struct budget *, int64_t);
static enum budget_verdict evaluate(
    const struct budget *, enum budget_kind, bool, int64_t);

static const char *const verdict_names[BUDGET_NVERDICTS] = { "granted",
	"budget_spent", "not_idempotent", "off" };

void
budget_init(struct budget *b, uint32_t retry_percent, uint32_t hedge_percent,
    uint32_t reserve)
{
	memset(b, 0, sizeof(*b));
	b->percent[BUDGET_RETRY] = retry_percent;
	b->percent[BUDGET_HEDGE] = hedge_percent;
	b->reserve = reserve;
}

/* Returns the bucket of the current time, cleared if its content expired. */
static struct budget_bucket *
current_bucket(struct budget *b, int64_t now_ms)
{
	struct budget_bucket *bucket;
	int64_t number;

	number = now_ms / BUDGET_BUCKET_MS;
	bucket = &b->buckets[number % BUDGET_BUCKETS];
	if (bucket->number != number) {
		memset(bucket, 0, sizeof(*bucket));
		bucket->number = number;
	}
	return bucket;
}

void
budget_success(struct budget *b, int64_t now_ms)
{
	current_bucket(b, now_ms)->successes++;
}

static enum budget_verdict
evaluate(const struct budget *b, enum budget_kind kind, bool idempotent,
    int64_t now_ms)
{
	const struct budget_bucket *bucket;
	uint64_t allowed, spent, successes;
	int64_t oldest;
	int i;

	if (!idempotent)
		return BUDGET_NOT_IDEMPOTENT;
	if (b->percent[kind] == 0)
		return BUDGET_OFF;
	oldest = now_ms / BUDGET_BUCKET_MS - BUDGET_BUCKETS + 1;
	spent = successes = 0;
	for (i = 0; i < BUDGET_BUCKETS; i++) {
		bucket = &b->buckets[i];
		if (bucket->number < oldest)
			continue;
		successes += bucket->successes;
		spent += bucket->spent[kind];
	}
	allowed = successes * b->percent[kind] / PERCENT;
	if (kind == BUDGET_RETRY)
		allowed += b->reserve;
	return spent < allowed ? BUDGET_GRANTED : BUDGET_SPENT;
}

enum budget_verdict
budget_take(
    struct budget *b, enum budget_kind kind, bool idempotent, int64_t now_ms)
{
	enum budget_verdict verdict;

	verdict = evaluate(b, kind, idempotent, now_ms);
	b->counts[kind][verdict]++;
	if (verdict == BUDGET_GRANTED)
		current_bucket(b, now_ms)->spent[kind]++;
	return verdict;
}

const char *
budget_verdict_name(enum budget_verdict verdict)
{
	return verdict_names[verdict];
}

#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "quota.h"

/*
 * Tokens are counted in thousandths, so that calls per second are units per
 * millisecond.
 */
#define UNITS_PER_CALL 1000
#define TABLE_SIZE 256 /* 1 or 2 buckets a list for a few hundred teams */

struct bucket {
	SLIST_ENTRY(bucket) link;
	char *team;
	int64_t calls_per_s;
	/* Multiplied by the number of entries, so that no share rounds to 0. */
	int64_t units;
	int64_t filled_ms;
};

SLIST_HEAD(bucket_list, bucket);

struct quota {
	struct bucket_list table[TABLE_SIZE];
	int64_t burst_ms;
	int64_t entries;
};

static struct bucket_list *find_list(struct quota *, const char *);
static int64_t bucket_max(const struct quota *, const struct bucket *);
static void bucket_fill(const struct quota *, struct bucket *, int64_t);
static struct bucket *bucket_find(struct quota *, const char *);
static void bucket_free(struct quota *, struct bucket *);

static struct bucket_list *
find_list(struct quota *q, const char *team)
{
	return &q->table[XXH64(team, strlen(team), 0) % TABLE_SIZE];
}

/* At least one whole call, or a team with a low rate could never call. */
static int64_t
bucket_max(const struct quota *q, const struct bucket *b)
{
	int64_t burst;

	burst = b->calls_per_s * q->burst_ms;
	if (burst < UNITS_PER_CALL * q->entries)
		burst = UNITS_PER_CALL * q->entries;
	return burst;
}

static void
bucket_fill(const struct quota *q, struct bucket *b, int64_t now_ms)
{
	int64_t max, elapsed_ms;

	max = bucket_max(q, b);
	elapsed_ms = now_ms - b->filled_ms;
	if (elapsed_ms <= 0)
		return;
	b->filled_ms = now_ms;
	/* The product below could overflow after a long idle time. */
	if (elapsed_ms > max / b->calls_per_s)
		b->units = max;
	else
		b->units += elapsed_ms * b->calls_per_s;
	if (b->units > max)
		b->units = max;
}

static struct bucket *
bucket_find(struct quota *q, const char *team)
{
	struct bucket *b;

	SLIST_FOREACH (b, find_list(q, team), link) {
		if (strcmp(b->team, team) == 0)
			return b;
	}
	return NULL;
}

static void
bucket_free(struct quota *q, struct bucket *b)
{
	SLIST_REMOVE(find_list(q, b->team), b, bucket, link);
	free(b->team);
	free(b);
}

struct quota *
quota_open(const struct quota_options *o)
{
	struct quota *q;

	if ((q = calloc(1, sizeof(*q))) == NULL)
		return NULL;
	q->burst_ms = o->burst_ms;
	q->entries = 1;
	return q;
}

void
quota_close(struct quota *q)
{
	struct bucket *b;
	int i;

	for (i = 0; i < TABLE_SIZE; i++) {
		while ((b = SLIST_FIRST(&q->table[i])) != NULL)
			bucket_free(q, b);
	}
	free(q);
}

int
quota_set(
    struct quota *q, const char *team, int64_t calls_per_s, int64_t now_ms)
{
	struct bucket *b;

	b = bucket_find(q, team);
	if (calls_per_s <= 0) {
		if (b != NULL)
			bucket_free(q, b);
		return 0;
	}
	if (b != NULL) {
		bucket_fill(q, b, now_ms);
		b->calls_per_s = calls_per_s;
		return 0;
	}
	if ((b = calloc(1, sizeof(*b))) == NULL)
		return -1;
	if ((b->team = strdup(team)) == NULL) {
		free(b);
		return -1;
	}
	b->calls_per_s = calls_per_s;
	b->filled_ms = now_ms;
	b->units = bucket_max(q, b);
	SLIST_INSERT_HEAD(find_list(q, team), b, link);
	return 0;
}

void
quota_set_entries(struct quota *q, int entries, int64_t now_ms)
{
	struct bucket *b;
	int i;

	if (entries < 1)
		entries = 1;
	if (entries == q->entries)
		return;
	for (i = 0; i < TABLE_SIZE; i++) {
		SLIST_FOREACH (b, &q->table[i], link)
			bucket_fill(q, b, now_ms);
	}
	q->entries = entries;
}

int64_t
quota_take(struct quota *q, const char *team, int64_t now_ms)
{
	struct bucket *b;
	int64_t cost, deficit;

	if ((b = bucket_find(q, team)) == NULL)
		return 0;
	bucket_fill(q, b, now_ms);
	cost = UNITS_PER_CALL * q->entries;
	if (b->units >= cost) {
		b->units -= cost;
		return 0;
	}
	deficit = cost - b->units;
	return deficit / b->calls_per_s + 1;
}

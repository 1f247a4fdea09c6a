#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_histogram.h>
#include <xxhash.h>

#include "counter.h"

#define TABLE_SIZE 256
#define LABELS_MAX 192

struct counter {
	SLIST_ENTRY(counter) link;
	char *name;
	char *labels;
	uint64_t value;
};

struct latency {
	SLIST_ENTRY(latency) link;
	char *name;
	char *service;
	gsl_histogram *buckets;
	double sum_ms;
	uint64_t count;
};

SLIST_HEAD(counter_list, counter);
SLIST_HEAD(latency_list, latency);

static unsigned int hash_series(const char *, const char *);
static void print_latency(FILE *, const struct latency *);

/* Bucket bounds in milliseconds; the last one is printed as +Inf. */
static const double bounds_ms[] = { 0, 0.5, 1, 2, 3, 5, 7, 10, 15, 20, 30, 50,
	75, 100, 150, 200, 300, 500, 1000, 2000, 5000, 10000, 1e9 };
#define NBOUNDS (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

static struct counter_list table[TABLE_SIZE];
static struct latency_list latencies = SLIST_HEAD_INITIALIZER(latencies);
static struct counter fallback_counter;
static struct latency fallback_latency;

static unsigned int
hash_series(const char *name, const char *labels)
{
	XXH64_hash_t h;

	h = XXH64(name, strlen(name), 0);
	h = XXH64(labels, strlen(labels), h);
	return (unsigned int)(h % TABLE_SIZE);
}

struct counter *
counter_get(const char *name, const char *labels)
{
	struct counter *c;
	unsigned int bucket;

	bucket = hash_series(name, labels);
	SLIST_FOREACH (c, &table[bucket], link) {
		if (strcmp(c->name, name) == 0 &&
		    strcmp(c->labels, labels) == 0)
			return c;
	}
	if ((c = calloc(1, sizeof(*c))) == NULL)
		return &fallback_counter;
	c->name = strdup(name);
	c->labels = strdup(labels);
	if (c->name == NULL || c->labels == NULL)
		goto fail;
	SLIST_INSERT_HEAD(&table[bucket], c, link);
	return c;

fail:
	free(c->name);
	free(c->labels);
	free(c);
	return &fallback_counter;
}

void
counter_add(struct counter *c, uint64_t n)
{
	c->value += n;
}

void
counter_set(struct counter *c, uint64_t value)
{
	c->value = value;
}

uint64_t
counter_value(const struct counter *c)
{
	return c->value;
}

void
counter_inc(const char *name, const char *labels)
{
	counter_add(counter_get(name, labels), 1);
}

void
counter_inc_reason(const char *name, const char *reason)
{
	char labels[LABELS_MAX];

	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	counter_inc(name, labels);
}

struct latency *
latency_get(const char *name, const char *service)
{
	struct latency *l;

	SLIST_FOREACH (l, &latencies, link) {
		if (strcmp(l->name, name) == 0 &&
		    strcmp(l->service, service) == 0)
			return l;
	}
	if ((l = calloc(1, sizeof(*l))) == NULL)
		return &fallback_latency;
	l->name = strdup(name);
	l->service = strdup(service);
	l->buckets = gsl_histogram_alloc(NBOUNDS - 1);
	if (l->name == NULL || l->service == NULL || l->buckets == NULL)
		goto fail;
	gsl_histogram_set_ranges(l->buckets, bounds_ms, NBOUNDS);
	SLIST_INSERT_HEAD(&latencies, l, link);
	return l;

fail:
	free(l->name);
	free(l->service);
	if (l->buckets != NULL)
		gsl_histogram_free(l->buckets);
	free(l);
	return &fallback_latency;
}

void
latency_observe(struct latency *l, double ms)
{
	if (l->buckets != NULL)
		gsl_histogram_increment(l->buckets, ms);
	l->sum_ms += ms;
	l->count++;
}

static void
print_latency(FILE *f, const struct latency *l)
{
	double cumulative;
	size_t i;

	cumulative = 0;
	for (i = 0; i + 1 < NBOUNDS; i++) {
		cumulative += gsl_histogram_get(l->buckets, i);
		if (i + 2 == NBOUNDS)
			fprintf(f,
			    "%s_bucket{service=\"%s\",le=\"+Inf\"} %.0f\n",
			    l->name, l->service, cumulative);
		else
			fprintf(f, "%s_bucket{service=\"%s\",le=\"%g\"} %.0f\n",
			    l->name, l->service, bounds_ms[i + 1], cumulative);
	}
	fprintf(
	    f, "%s_sum{service=\"%s\"} %.3f\n", l->name, l->service, l->sum_ms);
	fprintf(f, "%s_count{service=\"%s\"} %llu\n", l->name, l->service,
	    (unsigned long long)l->count);
}

char *
counter_text(size_t *len)
{
	struct counter *c;
	struct latency *l;
	char *text;
	FILE *f;
	int bucket;

	text = NULL;
	if ((f = open_memstream(&text, len)) == NULL)
		return NULL;
	for (bucket = 0; bucket < TABLE_SIZE; bucket++) {
		SLIST_FOREACH (c, &table[bucket], link) {
			fprintf(f,
			    c->labels[0] == '\0' ? "%s%s %llu\n" :
						   "%s{%s} %llu\n",
			    c->name, c->labels, (unsigned long long)c->value);
		}
	}
	SLIST_FOREACH (l, &latencies, link)
		print_latency(f, l);
	if (fclose(f) != 0) {
		free(text);
		return NULL;
	}
	return text;
}

void
counter_reset(void)
{
	struct counter *c;
	struct latency *l;
	int bucket;

	for (bucket = 0; bucket < TABLE_SIZE; bucket++) {
		while ((c = SLIST_FIRST(&table[bucket])) != NULL) {
			SLIST_REMOVE_HEAD(&table[bucket], link);
			free(c->name);
			free(c->labels);
			free(c);
		}
	}
	while ((l = SLIST_FIRST(&latencies)) != NULL) {
		SLIST_REMOVE_HEAD(&latencies, link);
		free(l->name);
		free(l->service);
		gsl_histogram_free(l->buckets);
		free(l);
	}
}

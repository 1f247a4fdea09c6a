#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"

#define MS_MAX (24LL * 60 * 60 * 1000)

/* What a setting has besides the fault's own fields. */
struct wanted {
	int64_t for_ms;
	bool has_mode;
};

static int find_word(const char *, const char *const *);
static int take_field(struct fault *, struct wanted *, const char *,
    const json_t *, char *, size_t);
static int take_number(
    const json_t *, const char *, int64_t, int64_t *, char *, size_t);

static const char *const modes[] = { "none", "down", "slow", "lose_answers",
	"refuse_writes", "freeze", NULL };
static const char *const scopes[] = { "all", "kv", "watch", "lease", NULL };

int
fault_open(struct fault *f, unsigned long seed)
{
	memset(f, 0, sizeof(*f));
	if ((f->rng = gsl_rng_alloc(gsl_rng_taus2)) == NULL)
		return -1;
	gsl_rng_set(f->rng, seed);
	return 0;
}

void
fault_close(struct fault *f)
{
	if (f->rng != NULL)
		gsl_rng_free(f->rng);
}

static int
find_word(const char *word, const char *const *words)
{
	int i;

	for (i = 0; word != NULL && words[i] != NULL; i++) {
		if (strcmp(word, words[i]) == 0)
			return i;
	}
	return -1;
}

static int
take_number(const json_t *value, const char *name, int64_t max, int64_t *number,
    char *why, size_t size)
{
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > max) {
		snprintf(why, size, "%s: want an integer from 0 to %lld", name,
		    (long long)max);
		return -1;
	}
	*number = json_integer_value(value);
	return 0;
}

/* One field of the setting. */
static int
take_field(struct fault *f, struct wanted *w, const char *name,
    const json_t *value, char *why, size_t size)
{
	int i;

	if (strcmp(name, "delay_ms") == 0)
		return take_number(
		    value, name, MS_MAX, &f->delay_ms, why, size);
	if (strcmp(name, "for_ms") == 0)
		return take_number(value, name, MS_MAX, &w->for_ms, why, size);
	if (strcmp(name, "probability_percent") == 0)
		return take_number(
		    value, name, 100, &f->probability_percent, why, size);
	i = -1;
	if (strcmp(name, "mode") == 0) {
		i = find_word(json_string_value(value), modes);
		f->mode = (enum fault_mode)i;
		w->has_mode = true;
	} else if (strcmp(name, "only") == 0) {
		i = find_word(json_string_value(value), scopes);
		f->only = (enum fault_scope)i;
	}
	if (i == -1)
		snprintf(why, size, "%s: unknown field or word", name);
	return i == -1 ? -1 : 0;
}

int
fault_set(struct fault *f, const json_t *object, int64_t now_ms, char *why,
    size_t size)
{
	struct wanted wanted;
	struct fault next;
	const char *name;
	json_t *value;

	next = *f;
	next.only = FAULT_ALL;
	next.delay_ms = 0;
	next.probability_percent = 100;
	memset(&wanted, 0, sizeof(wanted));
	json_object_foreach((json_t *)object, name, value)
	{
		if (take_field(&next, &wanted, name, value, why, size) == -1)
			return -1;
	}
	if (!wanted.has_mode) {
		snprintf(why, size, "mode: missing");
		return -1;
	}
	next.until_ms = wanted.for_ms > 0 ? now_ms + wanted.for_ms : INT64_MAX;
	*f = next;
	return 0;
}

int
fault_in_force(const struct fault *f, enum fault_mode mode,
    enum fault_scope scope, int64_t now_ms)
{
	if (f->mode != mode || now_ms >= f->until_ms)
		return 0;
	return f->only == FAULT_ALL || f->only == scope;
}

enum fault_mode
fault_draw(struct fault *f, enum fault_scope scope, int64_t now_ms)
{
	if (f->mode == FAULT_NONE || !fault_in_force(f, f->mode, scope, now_ms))
		return FAULT_NONE;
	if (f->probability_percent < 100 &&
	    gsl_rng_uniform(f->rng) * 100 >= (double)f->probability_percent)
		return FAULT_NONE;
	return f->mode;
}

int
fault_coin(struct fault *f)
{
	return gsl_rng_uniform(f->rng) < 0.5;
}

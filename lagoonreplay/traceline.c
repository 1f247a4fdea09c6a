#include <string.h>

#include "traceline.h"

#define RANGE_MAX 1e12

static json_t *line_take(struct line *, const char *, int);
static double line_value(struct line *, const char *, json_t *);

void
line_fail(struct line *l, enum trace_error error, const char *detail)
{
	if (l->error != TRACE_OK)
		return;
	l->error = error;
	strlcpy(l->detail, detail, TRACE_NAME_MAX);
}

static json_t *
line_take(struct line *l, const char *name, int needed)
{
	json_t *v;

	v = json_object_get(l->object, name);
	if (v != NULL)
		l->taken++;
	else if (needed)
		line_fail(l, TRACE_ERR_FIELD, name);
	return v;
}

static double
line_value(struct line *l, const char *name, json_t *v)
{
	double d;

	d = json_number_value(v);
	if (!json_is_number(v) || d < 0 || d > RANGE_MAX) {
		line_fail(l, TRACE_ERR_FIELD, name);
		return 0;
	}
	return d;
}

double
line_number(struct line *l, const char *name)
{
	json_t *v;

	if ((v = line_take(l, name, 1)) == NULL)
		return 0;
	return line_value(l, name, v);
}

double
line_number_or(struct line *l, const char *name, double otherwise)
{
	json_t *v;

	if ((v = line_take(l, name, 0)) == NULL)
		return otherwise;
	return line_value(l, name, v);
}

int64_t
line_int(struct line *l, const char *name)
{
	return (int64_t)line_number(l, name);
}

void
line_name(struct line *l, const char *name, char *buf)
{
	const char *s;
	json_t *v;

	buf[0] = '\0';
	if ((v = line_take(l, name, 1)) == NULL)
		return;
	s = json_string_value(v);
	if (s == NULL || s[0] == '\0' ||
	    strlcpy(buf, s, TRACE_NAME_MAX) >= TRACE_NAME_MAX)
		line_fail(l, TRACE_ERR_FIELD, name);
}

void
line_sizes(struct line *l, const char *name, struct resources *s)
{
	json_t *v;

	memset(s, 0, sizeof(*s));
	if ((v = line_take(l, name, 1)) == NULL)
		return;
	s->cpu_millis = json_integer_value(json_object_get(v, "cpu_millis"));
	s->memory_mib = json_integer_value(json_object_get(v, "memory_mib"));
	s->accelerators =
	    json_integer_value(json_object_get(v, "accelerators"));
	if (s->cpu_millis <= 0 || s->memory_mib <= 0 || s->accelerators < 0)
		line_fail(l, TRACE_ERR_FIELD, name);
}

#ifndef TRACELINE_H
#define TRACELINE_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "trace.h"

/* One line while it is read: fields are taken from it by name. */
struct line {
	json_t *object;
	size_t taken;
	char *detail;
	enum trace_error error;
};

/* The first failure of a line stands. */
void line_fail(struct line *, enum trace_error, const char *detail);

/* Numbers are finite and not negative; names are not empty. */
double line_number(struct line *, const char *name);
double line_number_or(struct line *, const char *name, double otherwise);
int64_t line_int(struct line *, const char *name);
void line_name(struct line *, const char *name, char *buf);
void line_sizes(struct line *, const char *name, struct resources *);

#endif /* TRACELINE_H */

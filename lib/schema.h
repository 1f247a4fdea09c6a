#ifndef SCHEMA_H
#define SCHEMA_H

#include "record.h"

/*
 * Fields of each schema version of the operators' records: offset in struct
 * record, range and default.  Private to record.c.
 */

#define SCHEMA_MAX 2
#define SCHEMA_REQUIRED INT64_MIN /* the field has no default */
#define SCHEMA_DEADLINE (-2) /* the default is the service's deadline */
#define SCHEMA_BODY_DEFAULT (1024LL * 1024) /* bytes */

struct schema_field {
	const char *group; /* enclosing object, or NULL for the record itself */
	const char *name;
	size_t offset; /* in struct record */
	int64_t min;
	int64_t max;
	int64_t def;
	const char *const *words; /* of an enum, NULL-terminated */
};

struct schema {
	const struct schema_field *fields; /* terminated by a NULL name */
	bool named; /* the record has a field "name" */
};

/* Returns NULL if there is no such version. */
const struct schema *schema_find(enum record_kind, int64_t version);

/* Whether the schema has this field; group is NULL for the top level. */
bool schema_has_field(
    const struct schema *, const char *group, const char *name);
bool schema_has_group(const struct schema *, const char *name);

/* Whether the schema has a field at this offset of struct record. */
bool schema_has_member(const struct schema *, size_t offset);

#endif /* SCHEMA_H */

#ifndef JSONFIELD_H
#define JSONFIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/*
 * Fields of JSON objects that others write: what isn't of the type that is
 * asked for is told apart from what is left out, and never converted.
 */

/*
 * A whole number from min to max.  A number with a fraction, or out of range,
 * is of another type: cut off or wrapped around, it would be used as if
 * somebody had meant it.
 */
bool json_to_int64(const json_t *, int64_t min, int64_t max, int64_t *value);
/* The same where the field may be left out: *value is the fallback then. */
bool json_to_int64_or(
    const json_t *, int64_t min, int64_t max, int64_t fallback, int64_t *value);
/* A whole number of 32 bits. */
bool json_to_uint32(const json_t *, uint32_t *value);
/* A text of at least one byte that fits in. */
bool json_to_string(const json_t *, char *buf, size_t size);

#endif /* JSONFIELD_H */

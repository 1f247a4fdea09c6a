#ifndef JSONFIELD_H
#define JSONFIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/*
 * Typed access to fields of untrusted JSON objects.  A value of another type
 * is an error, not a missing field, and is never converted.
 */

/*
 * Gets an integer from min to max.  A number with a fraction or out of range
 * is an error: truncated or wrapped around, it would pass for a valid value.
 */
bool json_to_int64(const json_t *, int64_t min, int64_t max, int64_t *value);
/* Same as json_to_int64(), but sets *value to fallback if field is NULL. */
bool json_to_int64_or(
    const json_t *, int64_t min, int64_t max, int64_t fallback, int64_t *value);
/* Gets an integer from 0 to UINT32_MAX. */
bool json_to_uint32(const json_t *, uint32_t *value);
/* Gets a non-empty string without control characters that fits into buf. */
bool json_to_string(const json_t *, char *buf, size_t size);

#endif /* JSONFIELD_H */

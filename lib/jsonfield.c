#include <math.h>
#include <string.h>

#include "jsonfield.h"
#include "validate.h"

/* A double represents every integer up to this one exactly. */
#define EXACT_MAX 9007199254740992.0 /* 2^53 */

/* Converts a real number without a fraction, such as 3.0. */
static bool
real_to_int64(double real, int64_t *value)
{
	if (!(fabs(real) <= EXACT_MAX) || floor(real) != real)
		return false;
	*value = (int64_t)real;
	return true;
}

bool
json_to_int64(const json_t *field, int64_t min, int64_t max, int64_t *value)
{
	int64_t number;

	if (json_is_integer(field))
		number = json_integer_value(field);
	else if (!json_is_real(field) ||
	    !real_to_int64(json_real_value(field), &number))
		return false;
	if (number < min || number > max)
		return false;
	*value = number;
	return true;
}

bool
json_to_int64_or(const json_t *field, int64_t min, int64_t max,
    int64_t fallback, int64_t *value)
{
	*value = fallback;
	return field == NULL || json_to_int64(field, min, max, value);
}

bool
json_to_uint32(const json_t *field, uint32_t *value)
{
	int64_t number;

	if (!json_to_int64(field, 0, UINT32_MAX, &number))
		return false;
	*value = (uint32_t)number;
	return true;
}

bool
json_to_string(const json_t *field, char *buf, size_t size)
{
	const char *text;

	if (!json_is_string(field))
		return false;
	text = json_string_value(field);
	if (json_string_length(field) != strlen(text) ||
	    !valid_name(text, size))
		return false;
	strlcpy(buf, text, size);
	return true;
}

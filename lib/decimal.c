#include <errno.h>
#include <stdlib.h>

#include "decimal.h"

int64_t
decimal_member(const json_t *object, const char *name)
{
	const json_t *value;
	long long number;
	char *end;

	value = json_object_get(object, name);
	if (json_is_integer(value))
		return json_integer_value(value);
	if (!json_is_string(value))
		return 0;
	errno = 0;
	number = strtoll(json_string_value(value), &end, 10);
	if (errno != 0 || *end != '\0')
		return 0;
	return number;
}

#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define FIELD_SIZE 64

static json_t *parse_value(const char *);

static json_t *
parse_value(const char *text)
{
	const char *bad;
	long long number;

	number = strtonum(text, INT64_MIN, INT64_MAX, &bad);
	if (bad == NULL)
		return json_integer(number);
	if (*text == '{')
		return json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	return json_string(text);
}

bool
ctl_field_set(json_t *object, const char *text)
{
	char name[FIELD_SIZE];
	const char *equals;
	json_t *group, *value;
	char *dot;

	if ((equals = strchr(text, '=')) == NULL || equals == text ||
	    (size_t)(equals - text) >= sizeof(name))
		return false;
	memcpy(name, text, (size_t)(equals - text));
	name[equals - text] = '\0';
	if ((dot = strchr(name, '.')) != NULL) {
		*dot = '\0';
		group = json_object_get(object, name);
		if (!json_is_object(group)) {
			group = json_object();
			json_object_set_new(object, name, group);
		}
		object = group;
	}
	dot = dot == NULL ? name : dot + 1;
	if (equals[1] == '\0') {
		json_object_del(object, dot);
		return true;
	}
	if ((value = parse_value(equals + 1)) == NULL)
		return false;
	return json_object_set_new(object, dot, value) == 0;
}

char *
ctl_read_file(const char *path, size_t *len)
{
	char *text;
	FILE *f;

	f = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	if (f == NULL)
		return NULL;
	if ((text = malloc(CTL_INPUT_MAX + 1)) != NULL) {
		*len = fread(text, 1, CTL_INPUT_MAX + 1, f);
		if (ferror(f) || *len > CTL_INPUT_MAX) {
			free(text);
			text = NULL;
		} else {
			text[*len] = '\0';
		}
	}
	if (f != stdin)
		fclose(f);
	return text;
}

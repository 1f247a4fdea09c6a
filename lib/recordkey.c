#include <stdio.h>
#include <string.h>

#include "record.h"

static const char *const kind_names[] = { "service", "team", "policy" };

bool
record_name_ok(const char *name)
{
	size_t len;

	len = strlen(name);
	return len >= 1 && len < RECORD_NAME_SIZE &&
	    strspn(name,
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789-_.") == len;
}

const char *
record_kind_name(enum record_kind kind)
{
	return kind_names[kind];
}

bool
record_kind_parse(const char *word, enum record_kind *kind)
{
	int i;

	for (i = 0; i < RECORD_NKINDS; i++) {
		if (strcmp(word, kind_names[i]) == 0) {
			*kind = (enum record_kind)i;
			return true;
		}
	}
	return false;
}

const char *
record_key(enum record_kind kind, const char *name, char *buf, size_t size)
{
	int n;

	if (kind == RECORD_POLICY) {
		n = snprintf(buf, size, RECORD_KEY_PREFIX "policy");
	} else {
		if (!record_name_ok(name))
			return NULL;
		n = snprintf(buf, size, RECORD_KEY_PREFIX "%s/%s",
		    kind_names[kind], name);
	}
	return n < 0 || (size_t)n >= size ? NULL : buf;
}

bool
record_key_parse(const char *key, enum record_kind *kind, char *name)
{
	static const char *const prefixes[] = { RECORD_KEY_PREFIX "service/",
		RECORD_KEY_PREFIX "team/" };
	size_t i, len;

	if (strcmp(key, RECORD_KEY_PREFIX "policy") == 0) {
		*kind = RECORD_POLICY;
		name[0] = '\0';
		return true;
	}
	for (i = 0; i < sizeof(prefixes) / sizeof(prefixes[0]); i++) {
		len = strlen(prefixes[i]);
		if (strncmp(key, prefixes[i], len) != 0)
			continue;
		if (!record_name_ok(key + len))
			return false;
		*kind = (enum record_kind)i;
		strlcpy(name, key + len, RECORD_NAME_SIZE);
		return true;
	}
	return false;
}

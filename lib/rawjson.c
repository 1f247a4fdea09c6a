#include <string.h>

#include "rawjson.h"

struct scan {
	const char *at;
	const char *end;
};

static bool
is_blank(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/* Whether there is such a character next, after blanks; skips it. */
static bool
take(struct scan *s, char c)
{
	while (s->at < s->end && is_blank(*s->at))
		s->at++;
	if (s->at == s->end || *s->at != c)
		return false;
	s->at++;
	return true;
}

/* Skips a string behind its opening quote. */
static bool
skip_string(struct scan *s)
{
	for (; s->at < s->end; s->at++) {
		if (*s->at == '\\' && s->at + 1 < s->end)
			s->at++;
		else if (*s->at == '"') {
			s->at++;
			return true;
		}
	}
	return false;
}

/* Skips a value, up to the comma or bracket that follows it. */
static bool
skip_value(struct scan *s, struct rawjson *value)
{
	const char *end;
	size_t depth;

	while (s->at < s->end && is_blank(*s->at))
		s->at++;
	value->text = s->at;
	depth = 0;
	while (s->at < s->end) {
		switch (*s->at) {
		case '"':
			s->at++;
			if (!skip_string(s))
				return false;
			continue;
		case '[':
		case '{':
			depth++;
			break;
		case ',':
			if (depth == 0)
				goto found;
			break;
		case ']':
		case '}':
			if (depth == 0)
				goto found;
			depth--;
			break;
		default:
			break;
		}
		s->at++;
	}
	return false;

found:
	end = s->at;
	while (end > value->text && is_blank(end[-1]))
		end--;
	value->len = (size_t)(end - value->text);
	return true;
}

bool
rawjson_member(struct rawjson object, const char *name, struct rawjson *value)
{
	struct scan s;
	const char *key;
	size_t len;

	s.at = object.text;
	s.end = object.text + object.len;
	if (!take(&s, '{'))
		return false;
	do {
		if (!take(&s, '"'))
			return false;
		key = s.at;
		if (!skip_string(&s))
			return false;
		len = (size_t)(s.at - key) - 1;
		if (!take(&s, ':') || !skip_value(&s, value))
			return false;
		if (len == strlen(name) && memcmp(key, name, len) == 0)
			return true;
	} while (take(&s, ','));
	return false;
}

bool
rawjson_row(struct rawjson *rest, struct rawjson *row)
{
	struct scan s;
	bool first;

	s.at = rest->text;
	s.end = rest->text + rest->len;
	first = take(&s, '[');
	if ((!first && !take(&s, ',')) || !skip_value(&s, row))
		return false;
	/* An empty array has no row. */
	if (first && row->len == 0 && *s.at == ']')
		return false;
	rest->text = s.at;
	rest->len = (size_t)(s.end - s.at);
	return true;
}

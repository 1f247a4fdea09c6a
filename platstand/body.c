#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "body.h"

#define NUMBER_SIZE 32

json_t *
body_read(struct httpd_request *request)
{
	const char *data;
	size_t len;

	data = httpd_body(request, &len);
	return json_loadb(data, len, 0, NULL);
}

void
body_reply(struct httpd_request *request, int status, json_t *answer)
{
	static const struct httpd_header type = { "content-type",
		"application/json" };
	char *text;

	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	httpd_reply(request, status, &type, 1, text != NULL ? text : "",
	    text != NULL ? strlen(text) : 0);
	free(text);
}

bool
query_text(
    struct httpd_request *request, const char *name, char *buf, size_t size)
{
	const char *at, *end;
	size_t len;

	len = strlen(name);
	for (at = httpd_query(request); *at != '\0'; at = end + (*end == '&')) {
		end = at + strcspn(at, "&");
		if (strncmp(at, name, len) != 0 || at[len] != '=')
			continue;
		at += len + 1;
		if ((size_t)(end - at) >= size)
			return false;
		memcpy(buf, at, (size_t)(end - at));
		buf[end - at] = '\0';
		return true;
	}
	return false;
}

int64_t
query_number(struct httpd_request *request, const char *name)
{
	char text[NUMBER_SIZE];

	if (!query_text(request, name, text, sizeof(text)))
		return 0;
	return strtoll(text, NULL, 10);
}

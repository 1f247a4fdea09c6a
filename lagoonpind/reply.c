#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "lagoonpind.h"

#define HEADERS_MAX 2

static void send_json(
    struct httpd_request *, int, json_t *, const struct httpd_header *, size_t);
static json_t *error_body(const char *, const char *, const char *);

static void
send_json(struct httpd_request *r, int status, json_t *body,
    const struct httpd_header *extra, size_t nextra)
{
	struct httpd_header headers[HEADERS_MAX];
	char *text;
	size_t i;

	headers[0].name = "content-type";
	headers[0].value = "application/json";
	for (i = 0; i < nextra && i + 1 < HEADERS_MAX; i++)
		headers[i + 1] = extra[i];
	text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(body);
	if (text == NULL) {
		httpd_reply(r, 500, NULL, 0, NULL, 0);
		return;
	}
	httpd_reply(r, status, headers, i + 1, text, strlen(text));
	free(text);
}

static json_t *
error_body(const char *error, const char *field, const char *message)
{
	json_t *body;

	body = json_pack("{s:s, s:s}", "error", error, "message", message);
	if (field != NULL)
		json_object_set_new(body, "field", json_string(field));
	return body;
}

void
reply_json(struct httpd_request *r, int status, json_t *body)
{
	send_json(r, status, body, NULL, 0);
}

void
reply_error(struct httpd_request *r, int status, const char *error,
    const char *field, const char *message)
{
	send_json(r, status, error_body(error, field, message), NULL, 0);
}

void
reply_retry(struct httpd_request *r, int status, const char *error,
    const char *message, int64_t retry_after_s)
{
	struct httpd_header header;
	char seconds[24];

	snprintf(seconds, sizeof(seconds), "%lld",
	    (long long)(retry_after_s < 1 ? 1 : retry_after_s));
	header.name = "retry-after";
	header.value = seconds;
	send_json(r, status, error_body(error, NULL, message), &header, 1);
}

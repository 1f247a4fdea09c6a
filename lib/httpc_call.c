#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "httpc_int.h"

#define BODY_MAX_DEFAULT (16UL * 1024 * 1024)
#define BODY_SIZE_MIN 4096
#define CONNECT_TIMEOUT_DEFAULT_MS 2000
#define CALL_HEADER_MAX 4096
/* libcurl 7.88 misses a timeout of 1 ms until its next timer, 200 ms later. */
#define TIMEOUT_MIN_MS 2

static void set_connection(struct httpc_call *, const struct httpc_request *);
static enum httpc_error set_url(CURL *, const char *);
static int set_method(struct httpc_call *, const struct httpc_request *);
static enum httpc_error set_headers(
    struct httpc_call *, const struct httpc_request *);
static int format_header(const struct httpc_header *, char *, size_t);
static int add_header(struct httpc_call *, const char *);
static bool is_safe_method(const char *);
static int on_before_send(void *, char *, char *, int, int);
static size_t on_header_line(char *, size_t, size_t, void *);
static size_t on_body(char *, size_t, size_t, void *);
static bool is_delimited(struct httpc_call *);

enum httpc_error
httpc_call_set_up(struct httpc_call *call, const struct httpc_request *request)
{
	enum httpc_error error;
	CURL *e;

	call->body_max =
	    request->body_max > 0 ? request->body_max : BODY_MAX_DEFAULT;
	call->may_send = request->may_send;
	call->on_head = request->on_head;
	call->on_data = request->on_data;
	call->on_done = request->on_done;
	call->ctx = request->ctx;
	e = call->easy;
	if ((error = set_url(e, request->url)) != HTTPC_OK)
		return error;
	curl_easy_setopt(e, CURLOPT_PRIVATE, call);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header_line);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, call);
	set_connection(call, request);
	if (set_method(call, request) == -1)
		return HTTPC_ERR_MEMORY;
	return set_headers(call, request);
}

/* libcurl takes any text as URL, and refuses it only as it connects. */
static enum httpc_error
set_url(CURL *e, const char *text)
{
	enum httpc_error error;
	CURLU *url;

	if (text == NULL)
		return HTTPC_ERR_INVALID;
	if ((url = curl_url()) == NULL)
		return HTTPC_ERR_MEMORY;
	error = HTTPC_OK;
	if (curl_url_set(url, CURLUPART_URL, text, 0) != CURLUE_OK)
		error = HTTPC_ERR_INVALID;
	else if (curl_easy_setopt(e, CURLOPT_URL, text) != CURLE_OK)
		error = HTTPC_ERR_MEMORY;
	curl_url_cleanup(url);
	return error;
}

static void
set_connection(struct httpc_call *call, const struct httpc_request *request)
{
	int64_t connect_ms, timeout_ms;
	long keepalive_s;
	CURL *e;

	e = call->easy;
	connect_ms = request->connect_timeout_ms > 0 ?
	    request->connect_timeout_ms :
	    CONNECT_TIMEOUT_DEFAULT_MS;
	timeout_ms = request->timeout_ms;
	if (timeout_ms > 0 && timeout_ms < TIMEOUT_MIN_MS)
		timeout_ms = TIMEOUT_MIN_MS;
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	if (call->client->idle_s > 0)
		curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, call->client->idle_s);
	keepalive_s = call->client->keepalive_s;
	if (keepalive_s > 0) {
		curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
		curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, keepalive_s);
		curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, keepalive_s);
	}
}

static int
set_method(struct httpc_call *call, const struct httpc_request *request)
{
	CURL *e;

	e = call->easy;
	if (strcmp(request->method, "HEAD") == 0) {
		call->no_body = true;
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
		return 0;
	}
	if (request->body_len == 0 && is_safe_method(request->method))
		return 0;
	curl_easy_setopt(e, CURLOPT_POST, 1L);
	curl_easy_setopt(
	    e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_len);
	if (curl_easy_setopt(e, CURLOPT_COPYPOSTFIELDS,
		request->body_len > 0 ? request->body : "") != CURLE_OK)
		return -1;
	if (curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, request->method) !=
	    CURLE_OK)
		return -1;
	return 0;
}

static enum httpc_error
set_headers(struct httpc_call *call, const struct httpc_request *request)
{
	static const char *const suppressed[] = { "Expect:", "Accept:" };
	char line[CALL_HEADER_MAX];
	bool has_content_type;
	size_t i;

	has_content_type = false;
	for (i = 0; i < request->nheaders; i++) {
		if (format_header(&request->headers[i], line, sizeof(line)) ==
		    -1)
			return HTTPC_ERR_INVALID;
		if (add_header(call, line) == -1)
			return HTTPC_ERR_MEMORY;
		if (strcasecmp(request->headers[i].name, "content-type") == 0)
			has_content_type = true;
	}
	for (i = 0; i < sizeof(suppressed) / sizeof(suppressed[0]); i++) {
		if (add_header(call, suppressed[i]) == -1)
			return HTTPC_ERR_MEMORY;
	}
	if (!has_content_type && add_header(call, "Content-Type:") == -1)
		return HTTPC_ERR_MEMORY;
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	return HTTPC_OK;
}

/* Returns -1 if the header would be cut or would split the request. */
static int
format_header(const struct httpc_header *header, char *line, size_t size)
{
	int n;

	/* For libcurl "name;" is a header with an empty value. */
	n = snprintf(line, size, header->value[0] == '\0' ? "%s;%s" : "%s: %s",
	    header->name, header->value);
	if (n < 0 || (size_t)n >= size || strpbrk(line, "\r\n") != NULL)
		return -1;
	return 0;
}

static int
add_header(struct httpc_call *call, const char *line)
{
	struct curl_slist *list;

	if ((list = curl_slist_append(call->headers, line)) == NULL)
		return -1;
	call->headers = list;
	return 0;
}

static bool
is_safe_method(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
}

/*
 * libcurl calls this when connected and before the first byte of the request,
 * once for each time that it sends the request.  So if it wasn't called,
 * nothing reached the peer.  libcurl sends a request again if its reused
 * connection is closed before the first byte of the response; the second call
 * refuses that.
 */
static int
on_before_send(
    void *ctx, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
	struct httpc_call *call;

	(void)peer_ip;
	(void)own_ip;
	(void)peer_port;
	(void)own_port;
	call = ctx;
	if (call->state == CALL_DEAD)
		return CURL_PREREQFUNC_ABORT;
	if (call->sent) {
		call->stale = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (call->may_send != NULL && !call->may_send(call->ctx))
		return CURL_PREREQFUNC_ABORT;
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

static size_t
on_header_line(char *line, size_t size, size_t n, void *ctx)
{
	struct httpc_call *call;
	long status;

	call = ctx;
	if (call->state == CALL_DEAD)
		return 0;
	if (line[0] != '\r' && line[0] != '\n')
		return size * n;
	status = 0;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status >= 200 && call->on_head != NULL)
		call->on_head(call, (int)status, call->ctx);
	return size * n;
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct httpc_call *call;
	size_t len, need;
	char *new_body;

	call = ctx;
	len = size * n;
	if (call->state == CALL_DEAD)
		return 0;
	if (call->on_data != NULL) {
		call->on_data(call, data, len, call->ctx);
		return len;
	}
	if (len > call->body_max - call->body_len) {
		call->too_large = true;
		return 0;
	}
	need = call->body_len + len + 1;
	if (need > call->body_size) {
		if (need < call->body_size * 2)
			need = call->body_size * 2;
		if (need < BODY_SIZE_MIN)
			need = BODY_SIZE_MIN;
		if ((new_body = realloc(call->body, need)) == NULL)
			return 0;
		call->body = new_body;
		call->body_size = need;
	}
	memcpy(call->body + call->body_len, data, len);
	call->body_len += len;
	call->body[call->body_len] = '\0';
	return len;
}

/*
 * A response delimited by the end of the connection can't be told from a
 * truncated one: the caller would accept a partial body as complete.
 */
static bool
is_delimited(struct httpc_call *call)
{
	const char *encoding;
	curl_off_t len;
	long status;

	status = 0;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->no_body || status == 204 || status == 304)
		return true;
	len = -1;
	curl_easy_getinfo(call->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &len);
	if (len >= 0)
		return true;
	encoding = httpc_response_header(call, "transfer-encoding");
	return encoding != NULL && strcasestr(encoding, "chunked") != NULL;
}

enum httpc_error
httpc_call_error(struct httpc_call *call, CURLcode code)
{
	if (code == CURLE_OK)
		return is_delimited(call) ? HTTPC_OK : HTTPC_ERR_BROKEN;
	if (!call->sent)
		return code == CURLE_OUT_OF_MEMORY ? HTTPC_ERR_MEMORY :
						     HTTPC_ERR_CONNECT;
	if (call->too_large)
		return HTTPC_ERR_TOO_LARGE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return HTTPC_ERR_TIMEOUT;
	return HTTPC_ERR_BROKEN;
}

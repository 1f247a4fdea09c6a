#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callers.h"
#include "clock.h"
#include "log.h"
#include "record.h"

/*
 * Parsing: turns a request into a call, or refuses it with the name of the
 * invalid part.  Truncated requests don't get here, since the HTTP server
 * delivers complete requests only.
 */

#define CALL_PATH "/v1/call/"
#define DEADLINE_MAX_MS 86400000
#define TEAM_DEFAULT ""

static bool read_choice(struct httpd_request *, const char *, const char *,
    const char *, bool *, const char **);
static enum outcome_reason read_headers(
    struct call *, struct httpd_request *, const char **);
static enum outcome_reason read_deadline(
    struct call *, struct httpd_request *, const char **);
static enum outcome_reason read_id(
    struct call *, struct httpd_request *, const char **);
static enum outcome_reason read_text(
    struct httpd_request *, const char *, char *, size_t, const char **);
static enum outcome_reason read_body(
    struct call *, struct httpd_request *, const char **);
static enum outcome_reason read_all(
    struct call *, struct httpd_request *, const char **);
static enum outcome_reason read_target(
    struct call *, struct httpd_request *, const char **);
static bool id_ok(const char *);
static void on_gone(struct httpd_request *, void *);

void
call_read(struct callers *cs, struct httpd_request *r)
{
	struct outcome_facts nothing;
	enum outcome_reason reason;
	const char *detail;
	struct call *c;

	if ((c = calloc(1, sizeof(*c))) == NULL) {
		memset(&nothing, 0, sizeof(nothing));
		call_refuse_request(
		    cs, r, "", &nothing, OUTCOME_NO_MEMORY, "memory");
		return;
	}
	c->callers = cs;
	c->request = r;
	c->arrived_ns = uv_hrtime();
	c->arrived_ms = clock_now_ms();
	LIST_INIT(&c->attempts);
	detail = "";
	reason = read_all(c, r, &detail);
	if (c->has_client_id &&
	    recent_ids_has(cs->recent_ids, c->id, c->arrived_ms))
		c->facts.repeated = true;
	if (reason != OUTCOME_COMPLETE) {
		call_refuse_request(cs, r, c->id, &c->facts, reason, detail);
		free(c);
		return;
	}
	LIST_INSERT_HEAD(&cs->calls, c, link);
	cs->ncalls++;
	httpd_on_disconnect(r, on_gone, c);
	explain_begin(c);
	call_admit(c);
}

static enum outcome_reason
read_all(struct call *c, struct httpd_request *r, const char **detail)
{
	enum outcome_reason reason;

	if ((reason = read_headers(c, r, detail)) != OUTCOME_COMPLETE)
		return reason;
	if ((reason = read_id(c, r, detail)) != OUTCOME_COMPLETE)
		return reason;
	if ((reason = read_target(c, r, detail)) != OUTCOME_COMPLETE)
		return reason;
	if ((reason = read_deadline(c, r, detail)) != OUTCOME_COMPLETE)
		return reason;
	return read_body(c, r, detail);
}

static enum outcome_reason
read_target(struct call *c, struct httpd_request *r, const char **detail)
{
	const char *name;

	*detail = "POST";
	if (strcmp(httpd_method(r), "POST") != 0)
		return OUTCOME_BAD_METHOD;
	name = httpd_path(r) + strlen(CALL_PATH);
	*detail = "service";
	if (!record_name_ok(name))
		return OUTCOME_UNKNOWN_SERVICE;
	c->service = service_find(c->callers, name);
	if (c->service != NULL)
		return OUTCOME_COMPLETE;
	/* Before the first VM list, a service can't be known not to exist. */
	if (fleet_age_ms(c->callers->entry->fleet, c->arrived_ms) < 0)
		return OUTCOME_NO_ENDPOINT;
	return OUTCOME_UNKNOWN_SERVICE;
}

/* Parses a header with two allowed values; *first is kept if it is absent. */
static bool
read_choice(struct httpd_request *r, const char *name, const char *one,
    const char *other, bool *first, const char **detail)
{
	const char *value;

	if ((value = httpd_request_header(r, name)) == NULL)
		return true;
	*detail = name;
	*first = strcmp(value, one) == 0;
	return *first || strcmp(value, other) == 0;
}

static enum outcome_reason
read_text(struct httpd_request *r, const char *name, char *buf, size_t size,
    const char **detail)
{
	const char *value;

	if ((value = httpd_request_header(r, name)) == NULL)
		return OUTCOME_COMPLETE;
	*detail = name;
	if (strlcpy(buf, value, size) >= size) {
		buf[0] = '\0';
		return OUTCOME_HEADER_TOO_LONG;
	}
	return OUTCOME_COMPLETE;
}

static enum outcome_reason
read_headers(struct call *c, struct httpd_request *r, const char **detail)
{
	enum outcome_reason reason;
	bool urgent, watch;

	urgent = watch = false;
	if (!read_choice(r, "lagoonpin-idempotent", "yes", "no", &c->idempotent,
		detail) ||
	    !read_choice(r, "lagoonpin-repeat", "yes", "no", &c->facts.repeated,
		detail) ||
	    !read_choice(r, "lagoonpin-watch", "yes", "no", &watch, detail) ||
	    !read_choice(
		r, "lagoonpin-priority", "urgent", "normal", &urgent, detail))
		return OUTCOME_BAD_HEADER;
	c->item.priority = urgent ? ADMIT_URGENT : ADMIT_NORMAL;
	c->lane = watch ? LANE_WATCH : LANE_UNARY;
	reason = read_text(r, "content-type", c->type, sizeof(c->type), detail);
	if (reason != OUTCOME_COMPLETE)
		return reason;
	reason = read_text(
	    r, "lagoonpin-team", c->item.team, sizeof(c->item.team), detail);
	if (reason != OUTCOME_COMPLETE)
		return reason;
	*detail = "lagoonpin-team";
	if (c->item.team[0] != '\0' && !record_name_ok(c->item.team))
		return OUTCOME_BAD_HEADER;
	c->facts.idempotent = c->idempotent;
	return OUTCOME_COMPLETE;
}

static bool
id_ok(const char *id)
{
	size_t i;

	for (i = 0; id[i] != '\0'; i++) {
		if (strchr("-_.:", id[i]) == NULL &&
		    !(id[i] >= '0' && id[i] <= '9') &&
		    !(id[i] >= 'a' && id[i] <= 'z') &&
		    !(id[i] >= 'A' && id[i] <= 'Z'))
			return false;
	}
	return i > 0;
}

/*
 * A client can't repeat a request under an id generated here, so a
 * non-idempotent call must carry its own.
 */
static enum outcome_reason
read_id(struct call *c, struct httpd_request *r, const char **detail)
{
	enum outcome_reason reason;
	struct entry *e;

	reason =
	    read_text(r, "lagoonpin-request-id", c->id, sizeof(c->id), detail);
	if (reason != OUTCOME_COMPLETE)
		return reason;
	if (httpd_request_header(r, "lagoonpin-request-id") != NULL) {
		c->has_client_id = id_ok(c->id);
		if (c->has_client_id)
			return OUTCOME_COMPLETE;
		c->id[0] = '\0';
		return OUTCOME_BAD_REQUEST_ID;
	}
	*detail = "lagoonpin-request-id";
	if (!c->idempotent)
		return OUTCOME_MISSING_REQUEST_ID;
	e = c->callers->entry;
	snprintf(c->id, sizeof(c->id), "%s-%llx-%llx", e->opt.id,
	    (unsigned long long)e->incarnation,
	    (unsigned long long)++c->callers->sequence);
	return OUTCOME_COMPLETE;
}

static enum outcome_reason
read_deadline(struct call *c, struct httpd_request *r, const char **detail)
{
	const char *problem, *value;
	int64_t timeout_ms;

	timeout_ms = c->service->deadline_ms;
	value = httpd_request_header(r, "lagoonpin-deadline-ms");
	if (value != NULL) {
		timeout_ms = strtonum(value, 1, DEADLINE_MAX_MS, &problem);
		*detail = "lagoonpin-deadline-ms";
		if (problem != NULL)
			return OUTCOME_BAD_DEADLINE;
	}
	c->item.deadline_ms = c->arrived_ms + timeout_ms;
	c->endpoint_deadline_ms = c->item.deadline_ms;
	if (c->lane == LANE_WATCH && value == NULL)
		c->endpoint_deadline_ms = c->arrived_ms + DEADLINE_MAX_MS;
	return OUTCOME_COMPLETE;
}

static enum outcome_reason
read_body(struct call *c, struct httpd_request *r, const char **detail)
{
	struct response_cache_key key;

	c->body = httpd_body(r, &c->body_len);
	*detail = "body";
	if (c->body_len > c->service->body_max)
		return OUTCOME_BODY_TOO_LARGE;
	c->item.bytes = sizeof(*c) + c->body_len;
	if (c->idempotent)
		return OUTCOME_COMPLETE;
	key.id = c->id;
	key.team = c->item.team;
	key.service = c->service->name;
	key.body = c->body;
	key.len = c->body_len;
	c->hash = response_cache_hash(&key);
	return OUTCOME_COMPLETE;
}

/*
 * The client disconnected.  A call that is not in flight is dropped, and a
 * watch is cancelled.  A unary call in flight continues, since its endpoint
 * runs it: the slot stays in use, and the response to a non-idempotent call is
 * cached for a repeat.
 */
static void
on_gone(struct httpd_request *r, void *ctx)
{
	struct call *c;

	(void)r;
	c = ctx;
	c->request = NULL;
	c->body = NULL;
	if (c->answered)
		return;
	if (c->facts.open > 0 && c->lane == LANE_UNARY)
		return;
	call_refuse(c, OUTCOME_CALLER_GONE, 0);
}

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "callers.h"
#include "clock.h"

/*
 * A ring buffer of recent requests with their attempts and outcomes, for
 * /v1/explain.
 */

#define NS_PER_MS 1e6
#define HOW_MAX 24

struct explain_attempt {
	char worker[FLEET_ID_MAX];
	char how[HOW_MAX];
	enum choose_reason why;
	double took_ms;
};

struct explain {
	uint64_t number;
	char id[CALL_ID_MAX];
	char service[CALL_SERVICE_MAX];
	char team[ADMIT_TEAM_MAX];
	int64_t wall_ms;
	bool idempotent;
	bool over;
	struct outcome_answer answer;
	double took_ms;
	int nattempts;
	struct explain_attempt attempts[CALL_ATTEMPTS_MAX];
};

struct explain_ring {
	struct explain *records;
	size_t n;
	uint64_t next; /* record number; from 1, 0 marks an empty one */
};

static struct explain *record_of(const struct call *);
static json_t *attempts_json(const struct explain *);
static json_t *explain_json(const struct explain *);

struct explain_ring *
explain_open(size_t n)
{
	struct explain_ring *ring;

	if ((ring = calloc(1, sizeof(*ring))) == NULL)
		return NULL;
	if ((ring->records = calloc(n, sizeof(*ring->records))) == NULL) {
		free(ring);
		return NULL;
	}
	ring->n = n;
	ring->next = 1;
	return ring;
}

void
explain_close(struct explain_ring *ring)
{
	free(ring->records);
	free(ring);
}

void
explain_begin(struct call *c)
{
	struct explain_ring *ring;
	struct explain *x;

	ring = c->callers->explains;
	c->explain = ring->next++;
	x = &ring->records[c->explain % ring->n];
	memset(x, 0, sizeof(*x));
	x->number = c->explain;
	strlcpy(x->id, c->id, sizeof(x->id));
	strlcpy(x->service, c->service->name, sizeof(x->service));
	strlcpy(x->team, c->item.team, sizeof(x->team));
	x->idempotent = c->idempotent;
	x->wall_ms = clock_wall_ms();
}

/* NULL: overwritten by a newer request. */
static struct explain *
record_of(const struct call *c)
{
	struct explain_ring *ring;
	struct explain *x;

	ring = c->callers->explains;
	x = &ring->records[c->explain % ring->n];
	return x->number == c->explain ? x : NULL;
}

void
explain_attempt(const struct call *c, const struct attempt *a, const char *how,
    double took_ms)
{
	struct explain_attempt *xa;
	struct explain *x;

	if ((x = record_of(c)) == NULL || a->number > CALL_ATTEMPTS_MAX)
		return;
	if (a->number > x->nattempts)
		x->nattempts = a->number;
	xa = &x->attempts[a->number - 1];
	strlcpy(xa->worker, a->endpoint->id, sizeof(xa->worker));
	strlcpy(xa->how, how, sizeof(xa->how));
	xa->why = a->why;
	xa->took_ms = took_ms;
}

void
explain_end(const struct call *c, const struct outcome_answer *answer)
{
	struct explain *x;

	if ((x = record_of(c)) == NULL)
		return;
	x->over = true;
	x->answer = *answer;
	x->took_ms = (double)(uv_hrtime() - c->arrived_ns) / NS_PER_MS;
}

static json_t *
attempts_json(const struct explain *x)
{
	json_t *list;
	int i;

	list = json_array();
	for (i = 0; i < x->nattempts; i++)
		json_array_append_new(list,
		    json_pack("{s:i, s:s, s:s, s:s, s:f}", "attempt", i + 1,
			"worker", x->attempts[i].worker, "chosen_for",
			choose_reason_text(x->attempts[i].why), "end",
			x->attempts[i].how, "took_ms", x->attempts[i].took_ms));
	return list;
}

static json_t *
explain_json(const struct explain *x)
{
	return json_pack(
	    "{s:s, s:s, s:s, s:b, s:I, s:s, s:s, s:i, s:I, s:f, s:o}",
	    "request", x->id, "service", x->service, "team", x->team,
	    "idempotent", x->idempotent, "arrived_wall_ms",
	    (json_int_t)x->wall_ms, "outcome",
	    x->over ? outcome_name(x->answer.outcome) : "open", "reason",
	    x->over ? outcome_reason_name(x->answer.reason) : "open", "status",
	    x->answer.status, "retry_after_s",
	    (json_int_t)x->answer.retry_after_s, "took_ms", x->took_ms,
	    "attempts", attempts_json(x));
}

/* Replies with all records of the id, newest first. */
bool
explain_reply(struct callers *cs, struct httpd_request *r, const char *id)
{
	struct explain_ring *ring;
	const struct explain *x;
	json_t *list;
	size_t i;

	ring = cs->explains;
	list = json_array();
	for (i = 1; i <= ring->n; i++) {
		x = &ring->records[(ring->next - i) % ring->n];
		if (x->number != 0 && strcmp(x->id, id) == 0)
			json_array_append_new(list, explain_json(x));
	}
	if (json_array_size(list) == 0) {
		json_decref(list);
		reply_error(r, 404, "unknown_request", "request",
		    "not among the recent requests of this entry");
		return true;
	}
	reply_json(r, 200, json_pack("{s:o}", "requests", list));
	return true;
}

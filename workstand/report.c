#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "report.h"

struct usage_view {
	json_t *list;
	int64_t now_ms;
	int64_t lag_ms;
};

typedef json_t *report_answer(struct node *, json_t *request);

struct route {
	const char *method;
	const char *path;
	report_answer *answer;
};

static void add_running(const struct worker_task *, void *);
static void add_end(const struct worker_task *, void *);
static void add_task_usage(const struct worker_task *, void *);
static void add_window(const struct usage_window *, void *);
static void add_task_starts(const struct witness_task *, void *);
static json_t *room_json(const struct worker_room *);
static json_t *worker_json(struct node *);
static bool over_capacity(struct node *);
static json_t *totals_json(const struct witness_totals *);
static json_t *violations_json(struct stand *, const struct witness_totals *);
static json_t *get_stats(struct node *, json_t *);
static json_t *get_all(struct node *, json_t *);
static json_t *get_tasks(struct node *, json_t *);
static json_t *post_ran(struct node *, json_t *);
static json_t *post_fault(struct node *, json_t *);
static json_t *post_fault_all(struct node *, json_t *);
static json_t *post_leave(struct node *, json_t *);

static const struct route routes[] = { { "GET", "/stats", get_stats },
	{ "GET", "/stats/all", get_all }, { "GET", "/stats/tasks", get_tasks },
	{ "POST", "/ran", post_ran }, { "POST", "/fault", post_fault },
	{ "POST", "/fault/all", post_fault_all },
	{ "POST", "/leave", post_leave } };
#define NROUTES (sizeof(routes) / sizeof(routes[0]))

static void
add_running(const struct worker_task *t, void *ctx)
{
	json_array_append_new(ctx,
	    json_pack("{s:s,s:I}", "task", t->task, "attempt",
		(json_int_t)t->attempt));
}

static void
add_end(const struct worker_task *t, void *ctx)
{
	const char *outcome;

	outcome = worker_outcome_name(t->outcome);
	json_array_append_new(ctx,
	    json_pack("{s:s,s:I,s:s,s:s}", "task", t->task, "attempt",
		(json_int_t)t->attempt, "outcome", outcome, "reason", outcome));
}

json_t *
report_shard(struct node *n, const char *shard)
{
	const struct worker_room *used;
	struct worker_calls older;
	json_t *tasks, *ends;

	tasks = json_array();
	ends = json_array();
	worker_each_running(n->worker, shard, add_running, tasks);
	worker_each_end(n->worker, shard, add_end, ends);
	used = worker_used(n->worker);
	older = worker_older_calls(n->worker, shard);
	return json_pack("{s:o,s:o,s:I,s:I,s:I,s:I}", "tasks", tasks,
	    "finished", ends, "slots_used", (json_int_t)used->slots,
	    "connections_used", (json_int_t)used->connections,
	    "older_slots_used", (json_int_t)older.slots,
	    "older_connections_used", (json_int_t)older.connections);
}

static void
add_task_usage(const struct worker_task *t, void *ctx)
{
	struct usage_view *view;

	view = ctx;
	/* Nothing was measured yet of what started within the lag. */
	if (t->started_ms > view->now_ms - view->lag_ms)
		return;
	json_array_append_new(view->list,
	    json_pack("{s:s,s:I,s:I,s:I}", "task", t->task, "cpu_millis",
		(json_int_t)t->cpu_used_millis, "memory_mib",
		(json_int_t)t->memory_used_mib, "measured_ms_ago",
		(json_int_t)view->lag_ms));
}

static void
add_window(const struct usage_window *w, void *ctx)
{
	struct usage_view *view;

	view = ctx;
	json_array_append_new(view->list,
	    json_pack("{s:s,s:I,s:I,s:I}", "service", w->service, "calls",
		(json_int_t)w->calls, "p99_ms", (json_int_t)(w->p99_ms + 0.5),
		"measured_ms_ago", (json_int_t)(view->now_ms - w->end_ms)));
}

void
report_usage(struct node *n, const char *shard, json_t *root, int64_t now_ms)
{
	struct usage_view view;

	view.now_ms = now_ms;
	view.lag_ms = usage_lag_ms(n->usage);
	view.list = json_array();
	worker_each_running(n->worker, shard, add_task_usage, &view);
	json_object_set_new(root, "usage", view.list);
	view.list = json_array();
	usage_each(n->usage, now_ms, add_window, &view);
	json_object_set_new(root, "services", view.list);
}

static json_t *
room_json(const struct worker_room *room)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I}", "cpu_millis",
	    (json_int_t)room->cpu_millis, "memory_mib",
	    (json_int_t)room->memory_mib, "accelerators",
	    (json_int_t)room->accelerators, "slots", (json_int_t)room->slots,
	    "connections", (json_int_t)room->connections);
}

static json_t *
worker_json(struct node *n)
{
	const struct worker_record *r;
	json_t *refused;
	int i;

	r = worker_get_record(n->worker);
	refused = json_object();
	for (i = WORKER_OK + 1; i < WORKER_NERRORS; i++)
		json_object_set_new(refused,
		    worker_strerror((enum worker_error)i),
		    json_integer((json_int_t)r->refused[i]));
	return json_pack("{s:s,s:s,s:s,s:s,s:o,s:o,s:o,s:o,s:I,s:I,s:I,s:I,"
			 "s:I,s:I,s:I}",
	    "worker", n->id, "data_center", n->data_center, "rack", n->rack,
	    "fault", fault_name(gate_fault(n->gate)->mode), "capacity",
	    room_json(worker_capacity(n->worker)), "used",
	    room_json(worker_used(n->worker)), "most_used",
	    room_json(&r->most_used), "refused", refused,
	    "over_capacity_starts", (json_int_t)r->over_capacity_starts,
	    "over_capacity_calls", (json_int_t)r->over_capacity_calls,
	    "two_attempts", (json_int_t)r->two_attempts, "leases_expired",
	    (json_int_t)r->leases_expired, "starts_while_leaving",
	    (json_int_t)r->starts_while_leaving, "calls_while_leaving",
	    (json_int_t)r->calls_while_leaving, "last_while_leaving_ms",
	    (json_int_t)r->last_while_leaving_ms);
}

static bool
over_capacity(struct node *n)
{
	const struct worker_room *capacity, *most;

	capacity = worker_capacity(n->worker);
	most = &worker_get_record(n->worker)->most_used;
	return most->cpu_millis > capacity->cpu_millis ||
	    most->memory_mib > capacity->memory_mib ||
	    most->accelerators > capacity->accelerators ||
	    most->slots > capacity->slots ||
	    most->connections > capacity->connections;
}

static json_t *
totals_json(const struct witness_totals *t)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "tasks",
	    (json_int_t)t->tasks, "starts", (json_int_t)t->starts, "done",
	    (json_int_t)t->done, "requests", (json_int_t)t->requests, "calls",
	    (json_int_t)t->calls, "ran_again", (json_int_t)t->ran_again,
	    "not_kept", (json_int_t)t->not_kept);
}

/* What must never happen, however the scheduler's parts fail. */
static json_t *
violations_json(struct stand *stand, const struct witness_totals *t)
{
	json_int_t workers, starts, attempts;
	struct node *n;

	workers = starts = attempts = 0;
	TAILQ_FOREACH (n, &stand->nodes, link) {
		workers += over_capacity(n);
		starts += (json_int_t)worker_get_record(n->worker)
			      ->over_capacity_starts;
		attempts +=
		    (json_int_t)worker_get_record(n->worker)->two_attempts;
	}
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "workers_over_capacity",
	    workers, "over_capacity_starts", starts, "two_attempts", attempts,
	    "two_places", (json_int_t)t->two_places, "done_again",
	    (json_int_t)t->done_again, "non_idempotent_again",
	    (json_int_t)t->non_idempotent_again);
}

static json_t *
get_stats(struct node *n, json_t *request)
{
	(void)request;
	return worker_json(n);
}

static json_t *
get_all(struct node *n, json_t *request)
{
	struct witness_totals totals;
	struct node *each;
	json_t *workers;

	(void)request;
	witness_count(n->stand->witness, &totals);
	workers = json_array();
	TAILQ_FOREACH (each, &n->stand->nodes, link)
		json_array_append_new(workers, worker_json(each));
	return json_pack("{s:o,s:o,s:o}", "totals", totals_json(&totals),
	    "violations", violations_json(n->stand, &totals), "workers",
	    workers);
}

static void
add_task_starts(const struct witness_task *t, void *ctx)
{
	json_t *starts;
	size_t i;

	starts = json_array();
	for (i = 0; i < t->nstarts; i++)
		json_array_append_new(starts,
		    json_pack("{s:I,s:s,s:I}", "attempt",
			(json_int_t)t->starts[i].attempt, "worker",
			t->starts[i].worker, "at_ms",
			(json_int_t)t->starts[i].at_ms));
	json_array_append_new(ctx,
	    json_pack("{s:s,s:I,s:I,s:I,s:o}", "task", t->task, "running",
		(json_int_t)t->running, "most_running",
		(json_int_t)t->most_running, "done", (json_int_t)t->done,
		"starts", starts));
}

static json_t *
get_tasks(struct node *n, json_t *request)
{
	json_t *tasks;

	(void)request;
	tasks = json_array();
	witness_each_task(n->stand->witness, add_task_starts, tasks);
	return json_pack("{s:o}", "tasks", tasks);
}

static json_t *
post_ran(struct node *n, json_t *request)
{
	json_t *ids, *id, *runs;
	size_t i;

	if ((ids = json_object_get(request, "ids")) == NULL)
		return NULL;
	runs = json_array();
	json_array_foreach(ids, i, id)
	{
		if (!json_is_string(id)) {
			json_decref(runs);
			return NULL;
		}
		json_array_append_new(runs,
		    json_integer((json_int_t)witness_request_runs(
			n->stand->witness, json_string_value(id))));
	}
	return json_pack("{s:o}", "runs", runs);
}

static json_t *
post_fault(struct node *n, json_t *request)
{
	json_int_t delay_ms, for_ms, percent;
	struct fault fault;
	const char *mode;

	delay_ms = for_ms = 0;
	percent = 100;
	memset(&fault, 0, sizeof(fault));
	if (json_unpack(request, "{s:s,s?I,s?I,s?I}", "mode", &mode, "delay_ms",
		&delay_ms, "for_ms", &for_ms, "probability_percent",
		&percent) == -1)
		return NULL;
	if (fault_parse(mode, &fault.mode) == -1 || delay_ms < 0 ||
	    for_ms < 0 || percent < 0 || percent > 100)
		return NULL;
	fault.delay_ms = delay_ms;
	fault.until_ms = for_ms == 0 ? 0 : clock_now_ms() + for_ms;
	fault.probability_percent = (int)percent;
	gate_set_fault(n->gate, &fault);
	return json_pack("{s:s}", "mode", mode);
}

static json_t *
post_fault_all(struct node *n, json_t *request)
{
	struct node *each;
	json_t *answer;

	answer = NULL;
	TAILQ_FOREACH (each, &n->stand->nodes, link) {
		json_decref(answer);
		if ((answer = post_fault(each, request)) == NULL)
			return NULL;
	}
	return answer;
}

static json_t *
post_leave(struct node *n, json_t *request)
{
	int leaving, refuse;

	refuse = 0;
	if (json_unpack(request, "{s:b,s?b}", "leaving", &leaving, "refuse",
		&refuse) == -1)
		return NULL;
	worker_leave(n->worker, leaving != 0, refuse != 0, clock_now_ms());
	return json_pack("{s:b}", "leaving", leaving);
}

bool
report_handle(struct node *n, struct httpd_request *request)
{
	struct httpd_header headers[] = { { "content-type",
	    "application/json" } };
	const struct route *r;
	json_t *body, *answer;
	const char *data;
	char *text;
	size_t len;

	for (r = routes; r < routes + NROUTES; r++) {
		if (strcmp(r->path, httpd_path(request)) == 0 &&
		    strcmp(r->method, httpd_method(request)) == 0)
			break;
	}
	if (r == routes + NROUTES)
		return false;
	data = httpd_body(request, &len);
	body = json_loadb(data, len, 0, NULL);
	answer = r->answer(n, body);
	json_decref(body);
	if (answer == NULL) {
		httpd_reply(request, 400, NULL, 0, "bad request\n", 12);
		return true;
	}
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	httpd_reply(request, 200, headers, 1, text == NULL ? "" : text,
	    text == NULL ? 0 : strlen(text));
	free(text);
	return true;
}

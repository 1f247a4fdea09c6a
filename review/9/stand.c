#include <sys/queue.h>
#include <sys/tree.h>

#include <err.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <uv.h>

#include "base64.h"
#include "clock.h"
#include "httpc.h"
#include "httpd.h"

/*
 * Stand-in for the platform's workers, as its pages describe them: orders,
 * leases, fencing tokens, attempts and ends.  One process serves all workers of
 * a small deployment, and writes to a record what each was told and what it
 * ran.
 *
 *     stand STORE RECORD PORT COUNT CPU
 *
 * The control port is PORT, those of the workers follow it.  The spec of a job
 * gives for each step, separated by ';':
 *
 *     CPU MEM_MB RUN_MS FAIL_MS FAILS [TAIL_MS]
 *
 * A task ends as done after RUN_MS (0: it lasts until it is stopped), and as
 * failed after FAIL_MS in its first FAILS runs (-1: in each).  One with TAIL_MS
 * serves its own users, and lists that tail.  Gangs, paces and checkpoints are
 * not simulated.
 */

#define WORKERS_MAX 64
#define NAME_MAX_SIZE 96
#define TICK_MS 5
#define HEARTBEAT_MS 1000
#define ENTRY_TTL_MS 3300
#define STORE_CALL_MS 1000
#define LEASE_MAX_MS 6000
#define STOP_MS 200
#define WAIT_MAX_MS 2000
#define FINISHED_PAGE 500

/* What is known of a task over all of its runs. */
struct task {
	RB_ENTRY(task) by_name;
	char name[NAME_MAX_SIZE];
	int failed;
};
RB_HEAD(task_tree, task);

struct run {
	TAILQ_ENTRY(run) link;
	struct task *task;
	int64_t attempt;
	int64_t cpu;
	int64_t run_ms;
	int64_t fail_ms;
	int64_t start_ms;
	int64_t stop_at_ms; /* 0: no order to stop */
	int64_t tail_ms; /* 0: it serves nobody */
	int fails;
};
TAILQ_HEAD(runs, run);

struct end {
	TAILQ_ENTRY(end) link;
	char name[NAME_MAX_SIZE];
	int64_t attempt;
	int64_t number;
	const char *how;
};
TAILQ_HEAD(ends, end);

/* The highest attempt of a task that ended or was stopped here. */
struct closed {
	RB_ENTRY(closed) by_name;
	char name[NAME_MAX_SIZE];
	int64_t attempt;
};
RB_HEAD(closed_tree, closed);

struct hold {
	TAILQ_ENTRY(hold) link;
	struct httpd_request *request;
	struct worker *worker;
	int64_t until_ms;
};

struct worker {
	int number;
	int life;
	char id[NAME_MAX_SIZE];
	char address[NAME_MAX_SIZE];
	struct httpd *httpd;
	struct runs runs;
	struct ends ends;
	struct closed_tree closed;
	TAILQ_HEAD(, hold) holds;
	int64_t token;
	int64_t last_end;
	int64_t lease_ms; /* end of the lease of all runs */
	int64_t down_until_ms; /* 0: up */
	json_int_t entry_lease; /* at the store; 0: none */
	int64_t called_ms;
	bool calling;
};

static struct {
	uv_loop_t *loop;
	struct httpc *http;
	const char *store;
	int record;
	int64_t cpu; /* of a worker */
	int count;
	struct worker workers[WORKERS_MAX];
	struct task_tree tasks;
} stand;

static int
task_cmp(struct task *a, struct task *b)
{
	return strcmp(a->name, b->name);
}

static int
closed_cmp(struct closed *a, struct closed *b)
{
	return strcmp(a->name, b->name);
}

RB_PROTOTYPE(task_tree, task, by_name, task_cmp)
RB_GENERATE(task_tree, task, by_name, task_cmp)
RB_PROTOTYPE(closed_tree, closed, by_name, closed_cmp)
RB_GENERATE(closed_tree, closed, by_name, closed_cmp)

static const struct httpd_header json_header = { "content-type",
	"application/json" };

static void __attribute__((format(printf, 1, 2))) note(const char *, ...);

static void
note(const char *format, ...)
{
	char line[512];
	va_list ap;
	int at, n;

	at = snprintf(line, sizeof(line), "%lld ", (long long)clock_wall_ms());
	va_start(ap, format);
	n = vsnprintf(line + at, sizeof(line) - (size_t)at - 1, format, ap);
	va_end(ap);
	if (n < 0)
		return;
	n = at + n < (int)sizeof(line) - 2 ? at + n : (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (write(stand.record, line, (size_t)n) != n)
		warn("record");
}

static void *
allocate(size_t size)
{
	void *p;

	if ((p = calloc(1, size)) == NULL)
		err(2, "calloc");
	return p;
}

static struct task *
find_task(const char *name)
{
	struct task *task, *known;

	task = allocate(sizeof(*task));
	snprintf(task->name, sizeof(task->name), "%s", name);
	if ((known = RB_INSERT(task_tree, &stand.tasks, task)) == NULL)
		return task;
	free(task);
	return known;
}

static void
reply(struct httpd_request *request, int status, json_t *body)
{
	char *text;

	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (text == NULL)
		err(2, "json_dumps");
	httpd_reply(request, status, &json_header, 1, text, strlen(text));
	free(text);
}

static void
answer(struct httpd_request *request, int status, const char *reason)
{
	json_t *body;

	body = json_pack("{sI}", "clock_ms", (json_int_t)clock_now_ms());
	if (reason != NULL)
		json_object_set_new(body, "reason", json_string(reason));
	reply(request, status, body);
}

static struct run *
find_run(const struct worker *w, const char *name)
{
	struct run *run;

	TAILQ_FOREACH (run, &w->runs, link) {
		if (strcmp(run->task->name, name) == 0)
			return run;
	}
	return NULL;
}

static struct closed *
find_closed(struct worker *w, const char *name)
{
	struct closed *closed, *known;

	closed = allocate(sizeof(*closed));
	snprintf(closed->name, sizeof(closed->name), "%s", name);
	known = RB_INSERT(closed_tree, &w->closed, closed);
	if (known == NULL)
		return closed;
	free(closed);
	return known;
}

static void
close_attempt(struct worker *w, const char *name, int64_t attempt)
{
	struct closed *closed;

	closed = find_closed(w, name);
	if (closed->attempt < attempt)
		closed->attempt = attempt;
}

/* Ends the run; how NULL: lost with the worker, and listed by nobody. */
static void
end_run(struct worker *w, struct run *run, const char *how)
{
	struct end *end;

	note("end worker=%s task=%s attempt=%lld how=%s", w->id,
	    run->task->name, (long long)run->attempt,
	    how != NULL ? how : "crash");
	if (how != NULL && strcmp(how, "failed") == 0)
		run->task->failed++;
	if (how != NULL) {
		close_attempt(w, run->task->name, run->attempt);
		end = allocate(sizeof(*end));
		snprintf(end->name, sizeof(end->name), "%s", run->task->name);
		end->attempt = run->attempt;
		end->number = ++w->last_end;
		end->how = how;
		TAILQ_INSERT_TAIL(&w->ends, end, link);
	}
	TAILQ_REMOVE(&w->runs, run, link);
	free(run);
}

static bool
may_fail(const struct run *run)
{
	return run->fail_ms > 0 &&
	    (run->fails < 0 || run->task->failed < run->fails);
}

/* Why the run ends now; NULL: it doesn't. */
static const char *
end_reason(const struct worker *w, const struct run *run, int64_t now_ms)
{
	int64_t worked_ms;

	if (now_ms >= w->lease_ms)
		return "lapsed";
	if (run->stop_at_ms != 0 && now_ms >= run->stop_at_ms)
		return "stopped";
	worked_ms = now_ms - run->start_ms;
	if (may_fail(run) && worked_ms >= run->fail_ms)
		return "failed";
	return run->run_ms > 0 && worked_ms >= run->run_ms ? "done" : NULL;
}

static void
step_runs(struct worker *w, int64_t now_ms)
{
	struct run *run, *next;
	const char *how;

	for (run = TAILQ_FIRST(&w->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, link);
		if ((how = end_reason(w, run, now_ms)) != NULL)
			end_run(w, run, how);
	}
}

static json_t *
list_running(const struct worker *w, int64_t now_ms)
{
	const struct run *run;
	int64_t percent;
	json_t *list;

	list = json_array();
	TAILQ_FOREACH (run, &w->runs, link) {
		percent = 100;
		if (run->run_ms > 0)
			percent = 100 * (now_ms - run->start_ms) / run->run_ms;
		if (percent > 100)
			percent = 100;
		json_array_append_new(list,
		    json_pack("[sIsII]", run->task->name,
			(json_int_t)run->attempt, "", (json_int_t)percent,
			(json_int_t)(run->tail_ms != 0 ? run->tail_ms :
							 run->cpu)));
	}
	return list;
}

static json_t *
list_finished(const struct worker *w)
{
	const struct end *end;
	json_t *list;

	list = json_array();
	TAILQ_FOREACH (end, &w->ends, link) {
		if (json_array_size(list) == FINISHED_PAGE)
			break;
		json_array_append_new(list,
		    json_pack("[IsIss]", (json_int_t)end->number, end->name,
			(json_int_t)end->attempt, end->how, ""));
	}
	return list;
}

static void
reply_lists(struct worker *w, struct httpd_request *request)
{
	int64_t now_ms;

	now_ms = clock_now_ms();
	reply(request, 200,
	    json_pack("{sI so so}", "clock_ms", (json_int_t)now_ms, "running",
		list_running(w, now_ms), "finished", list_finished(w)));
}

static bool
is_fenced(struct worker *w, json_int_t token)
{
	if (token < w->token)
		return true;
	w->token = token;
	return false;
}

static void
extend_lease(struct worker *w, int64_t deadline_ms, int64_t now_ms)
{
	if (deadline_ms > now_ms + LEASE_MAX_MS)
		deadline_ms = now_ms + LEASE_MAX_MS;
	if (deadline_ms > w->lease_ms)
		w->lease_ms = deadline_ms;
}

/* Reads the part of the spec for the step of the task. */
static bool
read_spec(struct run *run, const char *name, const char *spec)
{
	long long cpu, mem, run_ms, fail_ms, tail_ms;
	char *field, *copy, *rest;
	int step, i, n;

	if (sscanf(name, "%*[^.].%*d.%d.", &step) != 1)
		return false;
	if ((copy = strdup(spec)) == NULL)
		err(2, "strdup");
	rest = copy;
	field = strsep(&rest, ";");
	for (i = 0; i < step && field != NULL; i++)
		field = strsep(&rest, ";");
	n = field == NULL ? 0 :
			    sscanf(field, "%lld %lld %lld %lld %d %lld", &cpu,
				&mem, &run_ms, &fail_ms, &run->fails, &tail_ms);
	free(copy);
	if (n != 5 && n != 6)
		return false;
	run->cpu = cpu;
	run->run_ms = run_ms;
	run->fail_ms = fail_ms;
	run->tail_ms = n == 6 ? tail_ms : 0;
	return true;
}

static void
start(struct worker *w, struct httpd_request *request, const json_t *body)
{
	json_int_t attempt, deadline_ms, token;
	const char *name, *spec;
	struct run *run;
	int64_t now_ms;

	now_ms = clock_now_ms();
	token = 0;
	if (json_unpack((json_t *)body, "{ss sI ss sI s?I}", "task", &name,
		"attempt", &attempt, "spec", &spec, "deadline_ms", &deadline_ms,
		"fencing_token", &token) == -1) {
		answer(request, 400, NULL);
		return;
	}
	if (is_fenced(w, token)) {
		note("refused worker=%s task=%s attempt=%lld reason=fence",
		    w->id, name, (long long)attempt);
		answer(request, 409, "fence");
		return;
	}
	if (deadline_ms <= now_ms) {
		answer(request, 409, "late");
		return;
	}
	extend_lease(w, deadline_ms, now_ms);
	run = find_run(w, name);
	if (run != NULL && run->attempt == attempt) {
		answer(request, 200, NULL);
		return;
	}
	if (run != NULL || attempt <= find_closed(w, name)->attempt) {
		note("refused worker=%s task=%s attempt=%lld reason=old "
		     "closed=%lld",
		    w->id, name, (long long)attempt,
		    (long long)find_closed(w, name)->attempt);
		answer(request, 409, "old");
		return;
	}
	run = allocate(sizeof(*run));
	run->attempt = attempt;
	run->start_ms = now_ms;
	run->task = find_task(name);
	if (!read_spec(run, name, spec)) {
		free(run);
		answer(request, 400, NULL);
		return;
	}
	TAILQ_INSERT_TAIL(&w->runs, run, link);
	note("start worker=%s task=%s attempt=%lld token=%lld", w->id, name,
	    (long long)attempt, (long long)token);
	answer(request, 200, NULL);
}

static void
stop(struct worker *w, struct httpd_request *request, const json_t *body)
{
	json_int_t attempt, token;
	struct run *run;
	const char *name;

	token = 0;
	if (json_unpack((json_t *)body, "{ss sI s?I}", "task", &name, "attempt",
		&attempt, "fencing_token", &token) == -1) {
		answer(request, 400, NULL);
		return;
	}
	if (is_fenced(w, token)) {
		answer(request, 409, "fence");
		return;
	}
	run = find_run(w, name);
	if (run == NULL || run->attempt > attempt)
		close_attempt(w, name, attempt);
	else if (run->stop_at_ms == 0)
		run->stop_at_ms = clock_now_ms() + STOP_MS;
	answer(request, 200, NULL);
}

static void
on_hold_left(struct httpd_request *request, void *ctx)
{
	struct hold *hold;

	(void)request;
	hold = ctx;
	TAILQ_REMOVE(&hold->worker->holds, hold, link);
	free(hold);
}

static void
hold(struct worker *w, struct httpd_request *request, const json_t *body)
{
	json_int_t seen, deadline_ms, token, wait_ms;
	struct hold *hold;
	struct end *end;

	seen = deadline_ms = token = wait_ms = 0;
	if (json_unpack((json_t *)body, "{s?I s?I s?I s?I}", "last_seen", &seen,
		"deadline_ms", &deadline_ms, "fencing_token", &token, "wait_ms",
		&wait_ms) == -1 ||
	    wait_ms < 0 || wait_ms > WAIT_MAX_MS) {
		answer(request, 400, NULL);
		return;
	}
	if (is_fenced(w, token)) {
		answer(request, 409, "fence");
		return;
	}
	if (deadline_ms != 0)
		extend_lease(w, deadline_ms, clock_now_ms());
	while ((end = TAILQ_FIRST(&w->ends)) != NULL && end->number <= seen) {
		TAILQ_REMOVE(&w->ends, end, link);
		free(end);
	}
	if (wait_ms == 0 || !TAILQ_EMPTY(&w->ends)) {
		reply_lists(w, request);
		return;
	}
	hold = allocate(sizeof(*hold));
	hold->request = request;
	hold->worker = w;
	hold->until_ms = clock_now_ms() + wait_ms;
	TAILQ_INSERT_TAIL(&w->holds, hold, link);
	httpd_on_disconnect(request, on_hold_left, hold);
}

static void
on_request(struct httpd_request *request, void *ctx)
{
	const char *expected, *path, *text;
	struct worker *w;
	json_t *body;
	size_t len;

	w = ctx;
	if (w->down_until_ms != 0) {
		httpd_abort(request);
		return;
	}
	expected = httpd_request_header(request, "x-expected-instance");
	if (expected != NULL && strcmp(expected, w->id) != 0) {
		answer(request, 421, NULL);
		return;
	}
	step_runs(w, clock_now_ms());
	text = httpd_body(request, &len);
	body = json_loadb(text, len, 0, NULL);
	path = httpd_path(request);
	if (strcmp(path, "/run-start") == 0)
		start(w, request, body);
	else if (strcmp(path, "/run-stop") == 0)
		stop(w, request, body);
	else if (strcmp(path, "/hold") == 0)
		hold(w, request, body);
	else if (strcmp(path, "/pace") == 0)
		answer(request, 200, NULL);
	else
		answer(request, 404, NULL);
	json_decref(body);
}

/* A crash: what runs is lost, and the next life knows nothing of it. */
static void
crash(struct worker *w, int64_t down_ms, int64_t now_ms)
{
	struct closed *closed;
	struct hold *waiting;
	struct end *end;

	note("crash worker=%s", w->id);
	while (!TAILQ_EMPTY(&w->runs))
		end_run(w, TAILQ_FIRST(&w->runs), NULL);
	while ((end = TAILQ_FIRST(&w->ends)) != NULL) {
		TAILQ_REMOVE(&w->ends, end, link);
		free(end);
	}
	while ((closed = RB_MIN(closed_tree, &w->closed)) != NULL) {
		RB_REMOVE(closed_tree, &w->closed, closed);
		free(closed);
	}
	while ((waiting = TAILQ_FIRST(&w->holds)) != NULL) {
		TAILQ_REMOVE(&w->holds, waiting, link);
		httpd_on_disconnect(waiting->request, NULL, NULL);
		httpd_abort(waiting->request);
		free(waiting);
	}
	w->token = 0;
	w->last_end = 0;
	w->lease_ms = 0;
	w->entry_lease = 0;
	w->down_until_ms = now_ms + down_ms;
}

static void
begin_life(struct worker *w)
{
	w->down_until_ms = 0;
	w->called_ms = 0;
	snprintf(w->id, sizeof(w->id), "i-%d-%d", w->number, ++w->life);
	note("up worker=%s", w->id);
}

/* The workers' entries in the store. */

static void
call_store(struct worker *w, const char *path, json_t *body, httpc_done *done)
{
	static const struct httpc_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "X-Platform-Writer", "1" },
	};
	struct httpc_request http;
	char url[NAME_MAX_SIZE * 2], *text;

	snprintf(url, sizeof(url), "http://%s%s", stand.store, path);
	if ((text = json_dumps(body, JSON_COMPACT)) == NULL)
		err(2, "json_dumps");
	json_decref(body);
	memset(&http, 0, sizeof(http));
	http.method = "POST";
	http.url = url;
	http.headers = headers;
	http.nheaders = 2;
	http.body = text;
	http.body_len = strlen(text);
	http.connect_timeout_ms = STORE_CALL_MS;
	http.timeout_ms = STORE_CALL_MS;
	http.on_done = done;
	http.ctx = w;
	w->calling = true;
	w->called_ms = clock_now_ms();
	if (httpc_start(stand.http, &http) == NULL)
		err(2, "store");
	free(text);
}

static void
on_entered(const struct httpc_result *result, void *ctx)
{
	struct worker *w;

	w = ctx;
	w->calling = false;
	if (result->error != HTTPC_OK || result->status != 200)
		w->entry_lease = 0;
}

static void
enter(struct worker *w)
{
	char key[NAME_MAX_SIZE * 2], rack[32], *text, *value;
	json_t *entry;

	snprintf(key, sizeof(key), "servers/%s", w->id);
	/* Two workers a rack. */
	snprintf(rack, sizeof(rack), "rack-%d", w->number / 2);
	entry = json_pack("{ss ss ss ss ss sI s[ss] s{sI sI}}", "service",
	    "custodio", "address", w->address, "zone", "sala-norte", "version",
	    "v1", "state", "ready", "sequence", (json_int_t)clock_now_ms(),
	    "labels", "a", rack, "capacity", "cpu", (json_int_t)stand.cpu,
	    "mem_mb", (json_int_t)64000);
	if ((text = json_dumps(entry, JSON_COMPACT)) == NULL ||
	    (value = base64_encode(text, strlen(text))) == NULL)
		err(2, "entry");
	json_decref(entry);
	free(text);
	call_store(w, "/kv-txn",
	    json_pack("{s[] s[{ss ss sI}] s[]}", "precondition", "writes",
		"key", key, "value", value, "lease", w->entry_lease, "remove"),
	    on_entered);
	free(value);
}

static void
on_leased(const struct httpc_result *result, void *ctx)
{
	struct worker *w;
	json_t *body;

	w = ctx;
	w->calling = false;
	if (result->error != HTTPC_OK || result->status != 200 ||
	    w->down_until_ms != 0)
		return;
	body = json_loadb(result->body, result->body_len, 0, NULL);
	w->entry_lease = json_integer_value(json_object_get(body, "lease"));
	json_decref(body);
	enter(w);
}

static void
on_kept(const struct httpc_result *result, void *ctx)
{
	struct worker *w;

	w = ctx;
	w->calling = false;
	if (result->error != HTTPC_OK)
		return;
	if (result->status != 200)
		w->entry_lease = 0;
	else if (w->down_until_ms == 0 && w->entry_lease != 0)
		enter(w);
}

static void
heartbeat(struct worker *w, int64_t now_ms)
{
	char path[NAME_MAX_SIZE];

	if (w->calling ||
	    (w->called_ms != 0 && now_ms - w->called_ms < HEARTBEAT_MS))
		return;
	if (w->entry_lease == 0) {
		call_store(w, "/kv-lease",
		    json_pack("{si}", "ttl_ms", ENTRY_TTL_MS), on_leased);
		return;
	}
	snprintf(
	    path, sizeof(path), "/kv-keep/%lld", (long long)w->entry_lease);
	call_store(w, path, json_object(), on_kept);
}

static void
answer_holds(struct worker *w, int64_t now_ms)
{
	struct hold *waiting, *next;

	for (waiting = TAILQ_FIRST(&w->holds); waiting != NULL;
	     waiting = next) {
		next = TAILQ_NEXT(waiting, link);
		if (now_ms < waiting->until_ms && TAILQ_EMPTY(&w->ends))
			continue;
		TAILQ_REMOVE(&w->holds, waiting, link);
		reply_lists(w, waiting->request);
		free(waiting);
	}
}

static void
on_tick(uv_timer_t *timer)
{
	struct worker *w;
	int64_t now_ms;
	int i;

	(void)timer;
	now_ms = clock_now_ms();
	for (i = 0; i < stand.count; i++) {
		w = &stand.workers[i];
		if (w->down_until_ms != 0) {
			if (now_ms >= w->down_until_ms && !w->calling)
				begin_life(w);
			continue;
		}
		step_runs(w, now_ms);
		answer_holds(w, now_ms);
		heartbeat(w, now_ms);
	}
}

/* Control calls of the scripts. */

static int64_t
query_number(struct httpd_request *request, const char *name, int64_t fallback)
{
	const char *at;
	size_t len;

	len = strlen(name);
	for (at = httpd_query(request); at != NULL && *at != '\0';
	     at = strchr(at, '&')) {
		at += *at == '&';
		if (strncmp(at, name, len) == 0 && at[len] == '=')
			return strtoll(at + len + 1, NULL, 10);
	}
	return fallback;
}

static void
on_control(struct httpd_request *request, void *ctx)
{
	const char *path;
	struct worker *w;
	int64_t now_ms, n;

	(void)ctx;
	now_ms = clock_now_ms();
	path = httpd_path(request);
	n = query_number(request, "worker", 0);
	if (n < 0 || n >= stand.count) {
		reply(request, 400, json_object());
		return;
	}
	w = &stand.workers[n];
	if (strcmp(path, "/crash") == 0 && w->down_until_ms == 0)
		crash(w, query_number(request, "down_ms", 0), now_ms);
	reply(request, 200, json_object());
}

static struct httpd *
serve(int port, httpd_handler *handler, void *ctx)
{
	struct httpd_options options;
	enum httpd_error error;
	struct httpd *httpd;

	memset(&options, 0, sizeof(options));
	options.loop = stand.loop;
	options.ip = "127.0.0.1";
	options.port = port;
	options.body_max = (size_t)1024 * 1024;
	options.handler = handler;
	options.ctx = ctx;
	if ((httpd = httpd_open(&options, &error)) == NULL)
		errx(2, "port %d: %s", port, httpd_strerror(error));
	return httpd;
}

static void
open_worker(int number, int port)
{
	struct worker *w;

	w = &stand.workers[number];
	w->number = number;
	TAILQ_INIT(&w->runs);
	TAILQ_INIT(&w->ends);
	RB_INIT(&w->closed);
	TAILQ_INIT(&w->holds);
	snprintf(w->address, sizeof(w->address), "127.0.0.1:%d", port);
	w->httpd = serve(port, on_request, w);
	begin_life(w);
}

int
main(int argc, char **argv)
{
	struct httpc_options options;
	uv_timer_t timer;
	int i, port;

	if (argc != 6)
		errx(2, "usage: stand STORE RECORD PORT COUNT CPU");
	stand.loop = uv_default_loop();
	stand.store = argv[1];
	stand.record = open(argv[2], O_WRONLY | O_CREAT | O_APPEND, 0644);
	port = (int)strtol(argv[3], NULL, 10);
	stand.count = (int)strtol(argv[4], NULL, 10);
	stand.cpu = strtoll(argv[5], NULL, 10);
	if (stand.record == -1)
		err(2, "%s", argv[2]);
	if (stand.count < 1 || stand.count > WORKERS_MAX)
		errx(2, "1 to %d workers", WORKERS_MAX);
	RB_INIT(&stand.tasks);
	memset(&options, 0, sizeof(options));
	options.loop = stand.loop;
	if ((stand.http = httpc_open(&options)) == NULL)
		err(2, "httpc");
	serve(port, on_control, NULL);
	for (i = 0; i < stand.count; i++)
		open_worker(i, port + 1 + i);
	uv_timer_init(stand.loop, &timer);
	uv_timer_start(&timer, on_tick, 0, TICK_MS);
	return uv_run(stand.loop, UV_RUN_DEFAULT);
}

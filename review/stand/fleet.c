#include <sys/queue.h>

#include <err.h>
#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uv.h>

#include "base64.h"
#include "clock.h"
#include "httpc.h"
#include "serve.h"

/*
 * Workers for the cases of this review: each runs tasks under a lease, fences
 * by token, reports ends until they are acknowledged, and registers itself in
 * the store.  Every order and every end is written to the record.  A start of a
 * task that runs on another worker, or that has ended as done and whose end is
 * acknowledged, is a fault of the scheduler; it is written as TWICE.
 *
 * The spec of a job is the run time of its tasks in milliseconds; 0: they run
 * until they are stopped.  POST /trouble on a worker's port sets a disruption,
 * POST /quit ends the program.
 */

#define TICK_MS 5
#define NAME_SIZE 96
#define SMALL_SIZE 64
#define PAGE_MAX 500 /* ends per answer */
#define WAIT_MAX_MS 2000
#define LEASE_BEATS 3
/* How long a worker stays slow after it has listed its last end. */
#define SLOW_FOR_MS 4000
/* One answer in so many is lost at most, and two of five calls are refused. */
#define ANSWERS_PER_LOSS 40
#define REFUSED_SHARE 0.4

struct run {
	LIST_ENTRY(run) link;
	char task[NAME_SIZE];
	long long attempt;
	int64_t begun_ms;
	int64_t ends_ms; /* 0: never by itself */
	int64_t stops_ms; /* 0: no stop was ordered */
};

struct end {
	TAILQ_ENTRY(end) link;
	char task[NAME_SIZE];
	long long attempt;
	long long number;
	const char *how;
};

/* The highest attempt that was stopped or has ended here. */
struct past {
	LIST_ENTRY(past) link;
	char task[NAME_SIZE];
	long long attempt;
};

struct fleet;

struct worker {
	LIST_ENTRY(worker) link;
	struct fleet *fleet;
	char id[SMALL_SIZE];
	char zone[SMALL_SIZE];
	int port;
	LIST_HEAD(, run) runs;
	TAILQ_HEAD(, end) ends;
	LIST_HEAD(, past) pasts;
	long long token;
	long long last_end;
	int64_t deadline_ms; /* of the lease; 0: none */
	long long lease; /* of the entry in the store */
	long long sequence;
	int64_t beat_ms;
	bool calling;
	bool draining;
	int64_t leaves_ms;
	/* trouble */
	int64_t grey_until_ms;
	int64_t slow_until_ms;
	int64_t slow_ms;
	unsigned int calls; /* while grey */
	unsigned int lost;
	unsigned int refused;
	bool refuse_next;
	pid_t kill_pid; /* of the leader; 0: nobody is killed */
	int64_t kill_after_ms;
	int64_t kill_ms; /* when; 0: not yet */
};

/* A /hold call whose answer waits. */
struct wait {
	LIST_ENTRY(wait) link;
	struct worker *worker;
	struct request *request;
	int64_t until_ms;
	bool delayed; /* answered at until_ms, not at the next end */
};

/* A task that has ended as done. */
struct done {
	LIST_ENTRY(done) link;
	char task[NAME_SIZE];
	bool noted; /* its end was acknowledged */
	int again; /* later starts */
};

struct fleet {
	uv_loop_t *loop;
	uv_timer_t timer;
	struct httpc *http;
	LIST_HEAD(, worker) workers;
	LIST_HEAD(, wait) waits;
	LIST_HEAD(, done) dones;
	FILE *record;
	const char *store;
	const char *service;
	long long cpu;
	int64_t beat_ms;
	int64_t hold_max_ms;
	int64_t stop_ms;
	unsigned int faults;
};

static void
note(struct fleet *f, const char *fmt, ...)
{
	va_list ap;

	fprintf(f->record, "%lld ", (long long)clock_now_ms());
	va_start(ap, fmt);
	vfprintf(f->record, fmt, ap);
	va_end(ap);
	fputc('\n', f->record);
	fflush(f->record);
}

static void *
xcalloc(size_t size)
{
	void *p;

	if ((p = calloc(1, size)) == NULL)
		err(2, "memory");
	return p;
}

static void
reply(struct request *request, int status, json_t *body)
{
	char *text;

	if ((text = json_dumps(body, JSON_COMPACT)) == NULL)
		errx(2, "memory");
	request_reply(request, status, text);
	free(text);
	json_decref(body);
}

static json_t *
clock_body(void)
{
	return json_pack("{sI}", "clock_ms", (json_int_t)clock_now_ms());
}

static void
reply_conflict(struct request *request, const char *reason)
{
	json_t *body;

	body = clock_body();
	json_object_set_new(body, "reason", json_string(reason));
	reply(request, 409, body);
}

/* Runs, ends and leases. */

static struct run *
run_find(struct worker *w, const char *task)
{
	struct run *run;

	LIST_FOREACH (run, &w->runs, link) {
		if (strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static struct done *
done_find(struct fleet *f, const char *task)
{
	struct done *done;

	LIST_FOREACH (done, &f->dones, link) {
		if (strcmp(done->task, task) == 0)
			return done;
	}
	return NULL;
}

static void
past_note(struct worker *w, const char *task, long long attempt)
{
	struct past *past;

	LIST_FOREACH (past, &w->pasts, link) {
		if (strcmp(past->task, task) != 0)
			continue;
		if (attempt > past->attempt)
			past->attempt = attempt;
		return;
	}
	past = xcalloc(sizeof(*past));
	snprintf(past->task, sizeof(past->task), "%s", task);
	past->attempt = attempt;
	LIST_INSERT_HEAD(&w->pasts, past, link);
}

static long long
past_attempt(const struct worker *w, const char *task)
{
	const struct past *past;

	LIST_FOREACH (past, &w->pasts, link) {
		if (strcmp(past->task, task) == 0)
			return past->attempt;
	}
	return 0;
}

static void
note_twice(struct fleet *f, const char *task, const char *why)
{
	f->faults++;
	note(f, "TWICE task=%s %s", task, why);
}

/* Checks a start that a worker is about to carry out. */
static void
check_start(struct worker *w, const char *task)
{
	struct worker *other;
	struct done *done;

	LIST_FOREACH (other, &w->fleet->workers, link) {
		if (other != w && run_find(other, task) != NULL) {
			note(w->fleet, "both worker=%s worker=%s task=%s",
			    w->id, other->id, task);
			note_twice(w->fleet, task, "runs in two places");
		}
	}
	if ((done = done_find(w->fleet, task)) == NULL)
		return;
	done->again++;
	if (done->noted)
		note_twice(w->fleet, task, "was done and acknowledged");
}

static void
run_end(struct worker *w, struct run *run, const char *how)
{
	struct done *done;
	struct end *end;

	end = xcalloc(sizeof(*end));
	snprintf(end->task, sizeof(end->task), "%s", run->task);
	end->attempt = run->attempt;
	end->number = ++w->last_end;
	end->how = how;
	TAILQ_INSERT_TAIL(&w->ends, end, link);
	past_note(w, run->task, run->attempt);
	note(w->fleet, "end worker=%s task=%s attempt=%lld how=%s", w->id,
	    run->task, run->attempt, how);
	if (strcmp(how, "done") == 0 &&
	    done_find(w->fleet, run->task) == NULL) {
		done = xcalloc(sizeof(*done));
		snprintf(done->task, sizeof(done->task), "%s", run->task);
		LIST_INSERT_HEAD(&w->fleet->dones, done, link);
	}
	LIST_REMOVE(run, link);
	free(run);
}

static void
worker_step(struct worker *w, int64_t now_ms)
{
	struct run *run, *next;

	for (run = LIST_FIRST(&w->runs); run != NULL; run = next) {
		next = LIST_NEXT(run, link);
		if (w->deadline_ms != 0 && now_ms >= w->deadline_ms)
			run_end(w, run, "lapsed");
		else if (run->stops_ms != 0 && now_ms >= run->stops_ms)
			run_end(w, run, "stopped");
		else if (run->ends_ms != 0 && now_ms >= run->ends_ms)
			run_end(w, run, "done");
	}
}

/* Takes the token of an order; false: it is lower than one seen before. */
static bool
take_token(struct worker *w, long long token)
{
	if (token < w->token)
		return false;
	w->token = token;
	return true;
}

static void
extend_lease(struct worker *w, int64_t deadline_ms)
{
	int64_t max_ms;

	max_ms = clock_now_ms() + w->fleet->hold_max_ms;
	if (deadline_ms > max_ms)
		deadline_ms = max_ms;
	if (deadline_ms > w->deadline_ms)
		w->deadline_ms = deadline_ms;
}

/* Carries out a start; NULL if it was, else the reason why not. */
static const char *
start_task(struct worker *w, const char *task, long long attempt,
    long long token, int64_t deadline_ms, const char *spec)
{
	struct run *run;
	int64_t now_ms;

	now_ms = clock_now_ms();
	if (!take_token(w, token))
		return "fence";
	if (now_ms >= deadline_ms)
		return "late";
	if ((run = run_find(w, task)) != NULL && run->attempt == attempt)
		return NULL;
	if (run != NULL || attempt <= past_attempt(w, task))
		return "old";
	check_start(w, task);
	extend_lease(w, deadline_ms);
	run = xcalloc(sizeof(*run));
	snprintf(run->task, sizeof(run->task), "%s", task);
	run->attempt = attempt;
	run->begun_ms = now_ms;
	if (atoi(spec) > 0)
		run->ends_ms = now_ms + atoi(spec);
	LIST_INSERT_HEAD(&w->runs, run, link);
	return NULL;
}

static void
on_start(
    struct worker *w, struct request *request, const json_t *body, bool lost)
{
	json_int_t attempt, deadline_ms, token;
	const char *reason, *spec, *task;

	token = 0;
	if (json_unpack((json_t *)body, "{ss sI ss sI s?I}", "task", &task,
		"attempt", &attempt, "spec", &spec, "deadline_ms", &deadline_ms,
		"fencing_token", &token) == -1) {
		reply(request, 400, clock_body());
		return;
	}
	reason = start_task(w, task, attempt, token, deadline_ms, spec);
	note(w->fleet, "start worker=%s task=%s attempt=%lld token=%lld %s%s",
	    w->id, task, (long long)attempt, (long long)token,
	    reason != NULL ? reason : "ok", lost ? " answer_lost" : "");
	if (lost)
		request_drop(request);
	else if (reason != NULL)
		reply_conflict(request, reason);
	else
		reply(request, 200, clock_body());
}

static void
on_stop(struct worker *w, struct request *request, const json_t *body)
{
	json_int_t attempt, token;
	struct run *run;
	const char *task;

	token = 0;
	if (json_unpack((json_t *)body, "{ss sI s?I}", "task", &task, "attempt",
		&attempt, "fencing_token", &token) == -1) {
		reply(request, 400, clock_body());
		return;
	}
	if (!take_token(w, token)) {
		reply_conflict(request, "fence");
		return;
	}
	note(w->fleet, "stop worker=%s task=%s attempt=%lld", w->id, task,
	    (long long)attempt);
	past_note(w, task, attempt);
	run = run_find(w, task);
	if (run != NULL && run->attempt <= attempt && run->stops_ms == 0)
		run->stops_ms = clock_now_ms() + w->fleet->stop_ms;
	reply(request, 200, clock_body());
}

/*
 * The answer lists the last end of a worker that has nothing left to run: the
 * leader is killed soon after it got this answer, and this worker is slow to
 * answer the next one.
 */
static void
arm_kill(struct worker *w, int64_t now_ms)
{
	if (w->kill_pid == 0 || w->kill_ms != 0 || !LIST_EMPTY(&w->runs) ||
	    TAILQ_EMPTY(&w->ends))
		return;
	w->kill_ms = now_ms + w->kill_after_ms;
	w->slow_until_ms = now_ms + SLOW_FOR_MS;
}

static void
kill_leader(struct worker *w, int64_t now_ms)
{
	if (w->kill_pid == 0 || w->kill_ms == 0 || now_ms < w->kill_ms)
		return;
	kill(w->kill_pid, SIGKILL);
	note(w->fleet, "killed the leader pid=%d", (int)w->kill_pid);
	w->kill_pid = 0;
}

static int
percent_of(const struct run *run)
{
	if (run->ends_ms == 0)
		return 100;
	return (int)(100 * (clock_now_ms() - run->begun_ms) /
	    (run->ends_ms - run->begun_ms));
}

static void
reply_lists(struct worker *w, struct request *request)
{
	json_t *running, *finished, *body;
	const struct run *run;
	const struct end *end;

	running = json_array();
	LIST_FOREACH (run, &w->runs, link)
		json_array_append_new(running,
		    json_pack("[sIsii]", run->task, (json_int_t)run->attempt,
			"", percent_of(run), 0));
	finished = json_array();
	TAILQ_FOREACH (end, &w->ends, link) {
		if (json_array_size(finished) == PAGE_MAX)
			break;
		json_array_append_new(finished,
		    json_pack("[IsIss]", (json_int_t)end->number, end->task,
			(json_int_t)end->attempt, end->how, ""));
	}
	body = clock_body();
	json_object_set_new(body, "running", running);
	json_object_set_new(body, "finished", finished);
	reply(request, 200, body);
	arm_kill(w, clock_now_ms());
}

/* Discards the ends that the scheduler has taken note of. */
static void
acknowledge(struct worker *w, long long last_seen)
{
	struct done *done;
	struct end *end;

	while (
	    (end = TAILQ_FIRST(&w->ends)) != NULL && end->number <= last_seen) {
		TAILQ_REMOVE(&w->ends, end, link);
		done = done_find(w->fleet, end->task);
		if (strcmp(end->how, "done") == 0 && done != NULL &&
		    !done->noted) {
			done->noted = true;
			note(w->fleet, "noted worker=%s task=%s", w->id,
			    end->task);
			if (done->again > 0)
				note_twice(w->fleet, end->task,
				    "was done, and started again before its "
				    "end was acknowledged");
		}
		free(end);
	}
}

static void
on_gone(struct request *request, void *ctx)
{
	struct wait *wait;

	(void)request;
	wait = ctx;
	LIST_REMOVE(wait, link);
	free(wait);
}

static void
defer(struct worker *w, struct request *request, int64_t ms, bool delayed)
{
	struct wait *wait;

	wait = xcalloc(sizeof(*wait));
	wait->worker = w;
	wait->request = request;
	wait->until_ms = clock_now_ms() + ms;
	wait->delayed = delayed;
	LIST_INSERT_HEAD(&w->fleet->waits, wait, link);
	request_on_gone(request, on_gone, wait);
}

static void
on_hold(struct worker *w, struct request *request, const json_t *body)
{
	json_int_t deadline_ms, last_seen, token, wait_ms;

	deadline_ms = last_seen = token = wait_ms = 0;
	if (json_unpack((json_t *)body, "{s?I s?I s?I s?I}", "deadline_ms",
		&deadline_ms, "last_seen", &last_seen, "fencing_token", &token,
		"wait_ms", &wait_ms) == -1 ||
	    wait_ms < 0 || wait_ms > WAIT_MAX_MS) {
		reply(request, 400, clock_body());
		return;
	}
	if (!take_token(w, token)) {
		reply_conflict(request, "fence");
		return;
	}
	acknowledge(w, last_seen);
	if (deadline_ms != 0)
		extend_lease(w, deadline_ms);
	if (clock_now_ms() < w->slow_until_ms)
		defer(w, request, w->slow_ms, true);
	else if (wait_ms > 0 && TAILQ_EMPTY(&w->ends))
		defer(w, request, wait_ms, false);
	else
		reply_lists(w, request);
}

static void
answer_waits(struct fleet *f, int64_t now_ms)
{
	struct wait *wait, *next;

	for (wait = LIST_FIRST(&f->waits); wait != NULL; wait = next) {
		next = LIST_NEXT(wait, link);
		if (now_ms < wait->until_ms &&
		    (wait->delayed || TAILQ_EMPTY(&wait->worker->ends)))
			continue;
		reply_lists(wait->worker, wait->request);
		LIST_REMOVE(wait, link);
		free(wait);
	}
}

/* Disruptions. */

static void
on_trouble(struct worker *w, struct request *request, const json_t *body)
{
	json_int_t grey_ms, slow_ms, drain_ms, kill_pid, kill_after_ms;
	int64_t now_ms;

	grey_ms = slow_ms = drain_ms = kill_pid = kill_after_ms = 0;
	json_unpack((json_t *)body, "{s?I s?I s?I s?I s?I}", "grey_ms",
	    &grey_ms, "slow_ms", &slow_ms, "drain_ms", &drain_ms, "kill_pid",
	    &kill_pid, "kill_after_ms", &kill_after_ms);
	now_ms = clock_now_ms();
	if (grey_ms > 0)
		w->grey_until_ms = now_ms + grey_ms;
	w->slow_ms = slow_ms;
	w->kill_pid = (pid_t)kill_pid;
	w->kill_after_ms = kill_after_ms;
	if (drain_ms > 0) {
		w->draining = true;
		w->leaves_ms = now_ms + drain_ms;
		w->beat_ms = 0;
	}
	note(w->fleet,
	    "trouble worker=%s grey_ms=%lld slow_ms=%lld drain_ms=%lld", w->id,
	    (long long)grey_ms, (long long)slow_ms, (long long)drain_ms);
	reply(request, 200, json_object());
}

/*
 * While grey, a worker loses one answer in ANSWERS_PER_LOSS at most and refuses
 * two calls of five with 503 at most.  It loses answers to starts, and refuses
 * the call that follows.
 */
static bool
grey_refuses(struct worker *w)
{
	if (!w->refuse_next ||
	    w->refused + 1 > REFUSED_SHARE * (double)w->calls)
		return false;
	w->refuse_next = false;
	w->refused++;
	return true;
}

static bool
grey_loses(struct worker *w)
{
	if (w->lost + 1 > w->calls / ANSWERS_PER_LOSS)
		return false;
	w->lost++;
	w->refuse_next = true;
	return true;
}

static void
serve(struct worker *w, struct request *request, const json_t *body)
{
	const char *path;
	bool grey, start;

	path = request_path(request);
	start = strcmp(path, "/run-start") == 0;
	grey = clock_now_ms() < w->grey_until_ms;
	if (grey) {
		w->calls++;
		if (start && grey_refuses(w)) {
			note(w->fleet, "refused worker=%s body=%s", w->id,
			    json_string_value(json_object_get(body, "task")));
			reply(request, 503, clock_body());
			return;
		}
	}
	if (start)
		on_start(w, request, body, grey && grey_loses(w));
	else if (strcmp(path, "/run-stop") == 0)
		on_stop(w, request, body);
	else if (strcmp(path, "/hold") == 0)
		on_hold(w, request, body);
	else
		reply(request, 200, clock_body());
}

static void
on_request(struct request *request, void *ctx)
{
	char expected[SMALL_SIZE];
	const char *data;
	struct worker *w;
	json_t *body;
	size_t len;

	w = ctx;
	worker_step(w, clock_now_ms());
	data = request_body(request, &len);
	body = json_loadb(data, len, 0, NULL);
	if (strcmp(request_path(request), "/trouble") == 0)
		on_trouble(w, request, body);
	else if (strcmp(request_path(request), "/faults") == 0)
		reply(request, 200,
		    json_pack("{si}", "faults", (int)w->fleet->faults));
	else if (request_header(request, "x-expected-instance:", expected,
		     sizeof(expected)) &&
	    strcmp(expected, w->id) != 0)
		reply(request, 421, json_object());
	else
		serve(w, request, body);
	json_decref(body);
}

/* Entries in the store. */

static void
call_store(struct worker *w, const char *path, json_t *body, httpc_done *done)
{
	static const struct httpc_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "X-Platform-Writer", "1" },
	};
	struct httpc_request http;
	char url[256], *text;

	snprintf(url, sizeof(url), "http://%s%s", w->fleet->store, path);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	memset(&http, 0, sizeof(http));
	http.method = "POST";
	http.url = url;
	http.headers = headers;
	http.nheaders = 2;
	http.body = text;
	http.body_len = strlen(text);
	http.connect_timeout_ms = 1000;
	http.timeout_ms = 1000;
	http.on_done = done;
	http.ctx = w;
	w->calling = true;
	w->beat_ms = clock_now_ms();
	if (httpc_start(w->fleet->http, &http) == NULL)
		errx(2, "store call");
	free(text);
}

static void
on_written(const struct httpc_result *result, void *ctx)
{
	struct worker *w;

	w = ctx;
	w->calling = false;
	if (result->error != HTTPC_OK || result->status != 200)
		w->lease = 0;
}

static void
write_entry(struct worker *w)
{
	char address[SMALL_SIZE], key[NAME_SIZE], *text, *value;
	json_t *entry;

	snprintf(address, sizeof(address), "127.0.0.1:%d", w->port);
	snprintf(key, sizeof(key), "servers/%s", w->id);
	entry = json_pack("{ss ss ss ss si ss sI s{sI si} s[ss]}", "service",
	    w->fleet->service, "address", address, "zone", w->zone, "version",
	    "1", "slots", 8, "state", w->draining ? "draining" : "ready",
	    "sequence", (json_int_t)++w->sequence, "capacity", "cpu",
	    (json_int_t)w->fleet->cpu, "mem_mb", 64000, "labels", "small",
	    "rack-1");
	if (w->draining)
		json_object_set_new(entry, "remaining_ms",
		    json_integer(w->leaves_ms > clock_now_ms() ?
			    w->leaves_ms - clock_now_ms() :
			    0));
	text = json_dumps(entry, JSON_COMPACT);
	json_decref(entry);
	if (text == NULL || (value = base64_encode(text, strlen(text))) == NULL)
		errx(2, "memory");
	call_store(w, "/kv-txn",
	    json_pack("{s[] s[{ss ss sI}] s[]}", "precondition", "writes",
		"key", key, "value", value, "lease", (json_int_t)w->lease,
		"remove"),
	    on_written);
	free(text);
	free(value);
}

static void
on_leased(const struct httpc_result *result, void *ctx)
{
	json_int_t lease;
	struct worker *w;
	json_t *body;

	w = ctx;
	w->calling = false;
	if (result->error != HTTPC_OK || result->status != 200)
		return;
	body = json_loadb(result->body, result->body_len, 0, NULL);
	if (json_unpack(body, "{sI}", "lease", &lease) == 0) {
		w->lease = lease;
		write_entry(w);
	}
	json_decref(body);
}

static void
on_renewed(const struct httpc_result *result, void *ctx)
{
	struct worker *w;

	w = ctx;
	w->calling = false;
	if (result->error != HTTPC_OK || result->status != 200)
		w->lease = 0;
	else
		write_entry(w);
}

static void
beat(struct worker *w, int64_t now_ms)
{
	char path[SMALL_SIZE];

	if (w->calling || now_ms - w->beat_ms < w->fleet->beat_ms)
		return;
	if (w->lease == 0) {
		call_store(w, "/kv-lease",
		    json_pack("{sI}", "ttl_ms",
			(json_int_t)(LEASE_BEATS * w->fleet->beat_ms)),
		    on_leased);
		return;
	}
	snprintf(path, sizeof(path), "/kv-keep/%lld", w->lease);
	call_store(w, path, json_object(), on_renewed);
}

static void
on_tick(uv_timer_t *timer)
{
	struct worker *w;
	struct fleet *f;
	int64_t now_ms;

	f = timer->data;
	now_ms = clock_now_ms();
	LIST_FOREACH (w, &f->workers, link) {
		worker_step(w, now_ms);
		kill_leader(w, now_ms);
		beat(w, now_ms);
	}
	answer_waits(f, now_ms);
}

static void
add_worker(struct fleet *f, int number, int port, const char *zones)
{
	struct worker *w;
	const char *zone;
	int i;

	w = xcalloc(sizeof(*w));
	w->fleet = f;
	w->port = port;
	LIST_INIT(&w->runs);
	TAILQ_INIT(&w->ends);
	LIST_INIT(&w->pasts);
	snprintf(w->id, sizeof(w->id), "worker-%d", number);
	zone = zones;
	for (i = 1; i < number; i++)
		zone =
		    strchr(zone, ',') != NULL ? strchr(zone, ',') + 1 : zones;
	snprintf(
	    w->zone, sizeof(w->zone), "%.*s", (int)strcspn(zone, ","), zone);
	serve_open(f->loop, port, on_request, w);
	LIST_INSERT_HEAD(&f->workers, w, link);
}

static const struct option long_options[] = {
	{ "store", required_argument, NULL, 's' },
	{ "record", required_argument, NULL, 'r' },
	{ "port-base", required_argument, NULL, 'p' },
	{ "count", required_argument, NULL, 'n' },
	{ "zones", required_argument, NULL, 'z' },
	{ "service", required_argument, NULL, 'v' },
	{ "cpu", required_argument, NULL, 'c' },
	{ "heartbeat-ms", required_argument, NULL, 'b' },
	{ "hold-max-ms", required_argument, NULL, 'h' },
	{ "stop-ms", required_argument, NULL, 't' },
	{ NULL, 0, NULL, 0 },
};

int
main(int argc, char *argv[])
{
	const char *record, *zones;
	struct httpc_options options;
	static struct fleet fleet;
	int c, count, i, port;

	record = zones = NULL;
	count = port = 0;
	fleet.service = "custodio";
	fleet.cpu = 32000;
	fleet.beat_ms = 1100;
	fleet.hold_max_ms = 6000;
	fleet.stop_ms = 200;
	while ((c = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		switch (c) {
		case 's':
			fleet.store = optarg;
			break;
		case 'r':
			record = optarg;
			break;
		case 'p':
			port = atoi(optarg);
			break;
		case 'n':
			count = atoi(optarg);
			break;
		case 'z':
			zones = optarg;
			break;
		case 'v':
			fleet.service = optarg;
			break;
		case 'c':
			fleet.cpu = atoll(optarg);
			break;
		case 'b':
			fleet.beat_ms = atoi(optarg);
			break;
		case 'h':
			fleet.hold_max_ms = atoi(optarg);
			break;
		case 't':
			fleet.stop_ms = atoi(optarg);
			break;
		default:
			return 2;
		}
	}
	if (record == NULL || zones == NULL || fleet.store == NULL ||
	    port == 0 || count == 0)
		errx(2, "missing option");
	if ((fleet.record = fopen(record, "a")) == NULL)
		err(2, "%s", record);
	signal(SIGPIPE, SIG_IGN);
	fleet.loop = uv_default_loop();
	LIST_INIT(&fleet.workers);
	LIST_INIT(&fleet.waits);
	LIST_INIT(&fleet.dones);
	memset(&options, 0, sizeof(options));
	options.loop = fleet.loop;
	if ((fleet.http = httpc_open(&options)) == NULL)
		errx(2, "client");
	for (i = 0; i < count; i++)
		add_worker(&fleet, i + 1, port + i, zones);
	uv_timer_init(fleet.loop, &fleet.timer);
	fleet.timer.data = &fleet;
	uv_timer_start(&fleet.timer, on_tick, 0, TICK_MS);
	return uv_run(fleet.loop, UV_RUN_DEFAULT);
}

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "load.h"

#define TIMEOUT_MS 10000
#define POLL_MS 250
#define MS_PER_S 1000

enum job_state { JOB_WAITING, JOB_ASKED, JOB_ACCEPTED, JOB_FINISHED, JOB_LOST };

struct job {
	struct jobs *jobs;
	enum job_state state;
	char id[LOAD_ID_SIZE];
};

struct jobs {
	struct load *load;
	struct job *list;
	size_t n;
	size_t submitted;
	size_t finished;
	size_t next_poll;
	bool polling;
	int64_t started_ms;
	int64_t give_up_ms; /* 0: submission isn't over */
	uv_timer_t timer;
};

static void tick(uv_timer_t *);
static void submit(struct job *);
static void submitted(const struct httpc_result *, void *);
static void poll_next(struct jobs *);
static void polled(const struct httpc_result *, void *);
static bool is_over(const struct httpc_result *, int64_t tasks);
static void give_up(struct jobs *);
static void send_request(struct jobs *, const char *method, const char *path,
    const char *body, httpc_done *, void *ctx);
static char *job_json(const struct job *);
static void timer_closed(uv_handle_t *);

struct jobs *
jobs_open(struct load *load)
{
	struct jobs *j;
	size_t i;

	if ((j = calloc(1, sizeof(*j))) == NULL)
		return NULL;
	j->load = load;
	j->n = (size_t)load->options.jobs;
	j->started_ms = clock_now_ms();
	if ((j->list = calloc(j->n + 1, sizeof(*j->list))) == NULL) {
		free(j);
		return NULL;
	}
	for (i = 0; i < j->n; i++) {
		j->list[i].jobs = j;
		snprintf(j->list[i].id, sizeof(j->list[i].id), "load-%lld-%zu",
		    (long long)load->options.seed, i + 1);
	}
	uv_timer_init(load->loop, &j->timer);
	j->timer.data = j;
	uv_timer_start(&j->timer, tick, 0, POLL_MS / 10);
	return j;
}

void
jobs_close(struct jobs *j)
{
	if (j != NULL)
		uv_close((uv_handle_t *)&j->timer, timer_closed);
}

static void
timer_closed(uv_handle_t *handle)
{
	struct jobs *j;

	j = handle->data;
	free(j->list);
	free(j);
}

bool
jobs_done(const struct jobs *j)
{
	if (j->submitted < j->n)
		return false;
	return j->load->options.jobs_wait_ms == 0 || j->finished == j->n;
}

static void
tick(uv_timer_t *timer)
{
	struct jobs *j;
	int64_t now_ms, due;
	size_t i;

	j = timer->data;
	now_ms = clock_now_ms();
	due = 1 +
	    (now_ms - j->started_ms) * j->load->options.jobs_per_s / MS_PER_S;
	for (i = 0; i < j->n && (int64_t)i < due; i++) {
		if (j->list[i].state == JOB_WAITING)
			submit(&j->list[i]);
	}
	if (j->submitted < j->n || j->load->options.jobs_wait_ms == 0)
		return;
	if (j->give_up_ms == 0)
		j->give_up_ms = now_ms + j->load->options.jobs_wait_ms;
	if (now_ms >= j->give_up_ms)
		give_up(j);
	else
		poll_next(j);
}

static char *
job_json(const struct job *job)
{
	const struct load_options *o;
	json_t *root;
	char *text;

	o = &job->jobs->load->options;
	root = json_pack("{s:i,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:{s:I,s:f,s:I}}",
	    "schema", 1, "id", job->id, "team", o->team, "priority", "normal",
	    "tasks", (json_int_t)o->job_tasks, "cpu_millis",
	    (json_int_t)o->job_cpu_millis, "memory_mib",
	    (json_int_t)o->job_memory_mib, "run_ms", (json_int_t)o->job_run_ms,
	    "payload", "run_ms", (json_int_t)o->job_run_ms, "noise",
	    (double)o->job_noise_percent / 100, "checkpoint_ms",
	    (json_int_t)o->job_checkpoint_ms);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void
send_request(struct jobs *j, const char *method, const char *path,
    const char *body, httpc_done *done, void *ctx)
{
	struct load_question q;

	q.to = &j->load->options.entries.at[plan_target(j->load->plan, false)];
	q.method = method;
	q.path = path;
	q.body = body;
	q.timeout_ms = TIMEOUT_MS;
	q.on_done = done;
	q.ctx = ctx;
	load_ask(j->load, &q);
}

static void
submit(struct job *job)
{
	char *text;

	job->state = JOB_ASKED;
	if ((text = job_json(job)) == NULL)
		err(1, "job");
	send_request(job->jobs, "POST", "/v1/jobs", text, submitted, job);
	free(text);
}

static void
submitted(const struct httpc_result *result, void *ctx)
{
	struct jobs *j;
	struct job *job;

	job = ctx;
	j = job->jobs;
	if (result->error == HTTPC_OK && result->status / 100 == 2) {
		job->state = JOB_ACCEPTED;
		j->submitted++;
		tally_count(j->load->tally, "jobs_accepted", 1);
		j->load->on_progress(j->load);
		return;
	}
	if (result->error == HTTPC_OK && result->status / 100 == 4 &&
	    result->status != 429) {
		warnx("job %s: status %d: %.200s", job->id, result->status,
		    result->body);
		job->state = JOB_LOST;
		j->submitted++;
		j->finished++;
		tally_count(j->load->tally, "jobs_refused", 1);
		j->load->on_progress(j->load);
		return;
	}
	tally_count(j->load->tally, "job_tries_failed", 1);
	job->state = JOB_WAITING;
}

static void
poll_next(struct jobs *j)
{
	char path[LOAD_URL_SIZE];
	struct job *job;
	size_t i;

	for (i = 0; i < j->n && !j->polling; i++) {
		job = &j->list[(j->next_poll + i) % j->n];
		if (job->state != JOB_ACCEPTED)
			continue;
		j->next_poll = (j->next_poll + i + 1) % j->n;
		j->polling = true;
		snprintf(path, sizeof(path), "/v1/jobs/%s", job->id);
		send_request(j, "GET", path, NULL, polled, job);
	}
}

/* Every task of the job has ended, well or not. */
static bool
is_over(const struct httpc_result *result, int64_t tasks)
{
	json_int_t done, failed, cancelled;
	json_t *root;
	bool over;

	if (result->error != HTTPC_OK || result->status != 200)
		return false;
	done = failed = cancelled = 0;
	root = json_loadb(result->body, result->body_len, 0, NULL);
	over = root != NULL &&
	    json_unpack(root, "{s:{s?I,s?I,s?I}}", "tasks", "done", &done,
		"failed", &failed, "cancelled", &cancelled) == 0 &&
	    done + failed + cancelled >= tasks;
	json_decref(root);
	return over;
}

static void
polled(const struct httpc_result *result, void *ctx)
{
	struct jobs *j;
	struct job *job;

	job = ctx;
	j = job->jobs;
	j->polling = false;
	if (job->state != JOB_ACCEPTED ||
	    !is_over(result, j->load->options.job_tasks))
		return;
	job->state = JOB_FINISHED;
	j->finished++;
	tally_count(j->load->tally, "jobs_finished", 1);
	j->load->on_progress(j->load);
}

static void
give_up(struct jobs *j)
{
	struct job *job;
	size_t i;

	for (i = 0; i < j->n; i++) {
		job = &j->list[i];
		if (job->state != JOB_ACCEPTED)
			continue;
		job->state = JOB_LOST;
		j->finished++;
		tally_fault(j->load->tally, TALLY_JOB_LOST, job->id);
	}
	j->load->on_progress(j->load);
}

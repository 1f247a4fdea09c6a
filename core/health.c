#include <string.h>

#include "health.h"

#define BACKOFF_SPREAD 4 /* a retry is up to a quarter of the backoff later */

static int job_is_suspect(const struct health_job *);
static void record_worker(struct health_job *, uint64_t);

void
health_options_default(struct health_options *o)
{
	memset(o, 0, sizeof(*o));
	o->worker_failures = 3;
	o->job_workers = 4;
	o->backoff_min_ms = 5000;
	o->backoff_max_ms = 60000;
}

void
health_success(struct health_worker *w, struct health_job *j)
{
	memset(w, 0, sizeof(*w));
	j->failed_on = 0;
	if (j->successes < HEALTH_WORKERS_MAX)
		j->successes++;
}

/*
 * A job that failed on two workers and never succeeded is likely at fault, so
 * its further failures don't count against workers.  Otherwise a single bad job
 * would back off the whole fleet.
 */
static int
job_is_suspect(const struct health_job *j)
{
	return j->successes == 0 && j->failed_on >= 2;
}

static void
record_worker(struct health_job *j, uint64_t worker)
{
	int i;

	for (i = 0; i < j->failed_on; i++) {
		if (j->workers[i] == worker)
			return;
	}
	if (j->failed_on < HEALTH_WORKERS_MAX)
		j->workers[j->failed_on++] = worker;
}

void
health_failure(const struct health_options *o, struct health_worker *w,
    uint64_t worker, struct health_job *j, uint64_t job, int64_t now_ms,
    uint32_t random)
{
	int suspect;

	suspect = job_is_suspect(j);
	/* A failure on a backed-off worker doesn't count against the job. */
	if (w->failures < o->worker_failures)
		record_worker(j, worker);
	w->probing = 0;
	if (suspect) {
		if (w->retry_ms != 0)
			w->retry_ms = now_ms + w->backoff_ms;
		return;
	}
	if (w->failures > 0 && w->last_job == job && j->successes == 0 &&
	    w->retry_ms == 0)
		return;
	w->failures++;
	w->last_job = job;
	if (w->failures < o->worker_failures)
		return;
	w->backoff_ms =
	    w->backoff_ms == 0 ? o->backoff_min_ms : w->backoff_ms * 2;
	if (w->backoff_ms > o->backoff_max_ms)
		w->backoff_ms = o->backoff_max_ms;
	w->retry_ms = now_ms + w->backoff_ms +
	    (int64_t)(random % (uint64_t)(w->backoff_ms / BACKOFF_SPREAD + 1));
}

enum health_state
health_state(const struct health_worker *w, int64_t now_ms)
{
	if (w->retry_ms == 0)
		return HEALTH_OK;
	if (w->probing)
		return HEALTH_PROBING;
	if (now_ms < w->retry_ms)
		return HEALTH_BACKED_OFF;
	return HEALTH_PROBE_DUE;
}

void
health_probe_sent(struct health_worker *w)
{
	w->probing = 1;
}

void
health_probe_dropped(struct health_worker *w)
{
	w->probing = 0;
}

enum health_verdict
health_evaluate(const struct health_options *o, const struct health_job *j,
    const struct resources *declared, const struct resources *largest)
{
	if (declared->cpu_millis > largest->cpu_millis ||
	    declared->memory_mib > largest->memory_mib ||
	    declared->accelerators > largest->accelerators)
		return HEALTH_TOO_LARGE;
	if (j->successes == 0 && j->failed_on >= o->job_workers)
		return HEALTH_FAILS_EVERYWHERE;
	return HEALTH_MAY_RUN;
}

const char *
health_state_text(enum health_state s)
{
	switch (s) {
	case HEALTH_OK:
		return "ok";
	case HEALTH_BACKED_OFF:
		return "backed_off";
	case HEALTH_PROBE_DUE:
		return "probe_due";
	case HEALTH_PROBING:
		return "probing";
	}
	return "?";
}

const char *
health_verdict_text(enum health_verdict v)
{
	switch (v) {
	case HEALTH_MAY_RUN:
		return "may_run";
	case HEALTH_TOO_LARGE:
		return "larger_than_any_vm";
	case HEALTH_FAILS_EVERYWHERE:
		return "fails_everywhere";
	}
	return "?";
}

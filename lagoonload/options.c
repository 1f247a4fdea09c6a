#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

static const char *const balances[] = { "random", "round-robin", "skewed",
	NULL };

void
load_options_parse(struct load_options *o, int argc, char **argv)
{
#define INTEGER(name, help, unit, field, min, max, def)                       \
	{                                                                     \
		name, NULL, help, unit, SETTING_INTEGER, &o->field, min, max, \
		    def, NULL, NULL                                           \
	}
	struct setting table[] = {
		{ "entry", "LAGOONLOAD_ENTRY", "entries, comma separated", NULL,
		    SETTING_IP_PORTS, &o->entries, 1, 0, "", NULL, NULL },
		{ "direct", NULL, "endpoints that every second call goes to",
		    NULL, SETTING_IP_PORTS, &o->direct, 1, 0, "", NULL, NULL },
		{ "audit", NULL,
		    "a control port of each workstand, asked in the end "
		    "what ran",
		    NULL, SETTING_IP_PORTS, &o->audits, 1, 0, "", NULL, NULL },
		INTEGER(
		    "rate", "calls", "calls/s", rate_per_s, 0, 100000, "100"),
		{ "poisson", NULL, "random arrivals", NULL, SETTING_BOOL,
		    &o->poisson, 0, 0, "no", NULL, NULL },
		INTEGER("duration-ms", "time in which calls are sent", "ms",
		    duration_ms, 0, 86400000, "5000"),
		{ "services", NULL, "NAME:SHARE, comma separated", NULL,
		    SETTING_STRING, &o->services, 1, 256, "custodio", NULL,
		    NULL },
		INTEGER("non-idempotent", "part of the calls", "percent",
		    non_idempotent_percent, 0, 100, "0"),
		INTEGER("watch", "part of the calls", "percent", watch_percent,
		    0, 100, "0"),
		INTEGER("urgent", "part of the calls", "percent",
		    urgent_percent, 0, 100, "0"),
		INTEGER("deadline-ms", "of a call", "ms", deadline_ms, 1,
		    3600000, "2000"),
		INTEGER("watch-ms", "deadline of a watch", "ms", watch_ms, 1,
		    3600000, "10000"),
		INTEGER("watch-lines", "a watch ends after them, 0: never",
		    "lines", watch_lines, 0, 1000000, "5"),
		INTEGER("body-bytes", "mean length of a request", "bytes",
		    body_bytes, 0, 1048576, "200"),
		INTEGER("run-ms", "asked of the endpoint, -1: its own", "ms",
		    run_ms, -1, 3600000, "-1"),
		INTEGER("answer-bytes", "asked of the endpoint", "bytes",
		    answer_bytes, 0, 16777216, "0"),
		{ "balance", NULL, "the balancer's choice", NULL, SETTING_WORD,
		    &o->balance, 0, 0, "random", NULL, balances },
		INTEGER("tries", "of one request", NULL, tries, 1, 1000, "4"),
		INTEGER("seed", "of arrivals and choices", NULL, seed, 0,
		    INT32_MAX, "1"),
		{ "team", NULL, "of the calls and jobs", NULL, SETTING_STRING,
		    &o->team, 0, 64, "", NULL, NULL },
		INTEGER("jobs", "batch jobs to submit", NULL, jobs, 0, 1000000,
		    "0"),
		INTEGER(
		    "jobs-rate", "jobs", "jobs/s", jobs_per_s, 1, 10000, "10"),
		INTEGER("job-tasks", "tasks of a job", NULL, job_tasks, 1,
		    10000, "4"),
		INTEGER("job-run-ms", "work of a task", "ms", job_run_ms, 0,
		    86400000, "500"),
		INTEGER("job-cpu-millis", "declared", "1/1000 core",
		    job_cpu_millis, 1, 10000000, "1000"),
		INTEGER("job-memory-mib", "declared", "MiB", job_memory_mib, 1,
		    100000000, "512"),
		INTEGER("job-noise", "how much calls slow down", "percent",
		    job_noise_percent, 0, 10000, "0"),
		INTEGER("job-checkpoint-ms", "time of a checkpoint", "ms",
		    job_checkpoint_ms, 0, 3600000, "50"),
		INTEGER("jobs-wait-ms", "for the jobs to finish, 0: don't",
		    "ms", jobs_wait_ms, 0, 86400000, "60000"),
		{ "json", NULL, "report as JSON", NULL, SETTING_BOOL, &o->json,
		    0, 0, "no", NULL, NULL },
	};
#undef INTEGER
	struct settings_options so;
	struct settings_args args;

	memset(&so, 0, sizeof(so));
	so.program = "lagoonload";
	so.doc = "Play callers, check every answer and measure.";
	so.table = table;
	so.n = sizeof(table) / sizeof(table[0]);
	settings_parse(&so, argc, argv, &args);
	if (o->entries.n == 0 && (o->direct.n == 0 || o->jobs > 0))
		errx(SETTINGS_EXIT, "--entry: at least one is needed");
}

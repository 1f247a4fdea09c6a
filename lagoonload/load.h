#ifndef LOAD_H
#define LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "httpc.h"
#include "plan.h"
#include "settings.h"
#include "tally.h"

/* What the parts of a run share, and their settings. */

#define LOAD_ID_SIZE 96
#define LOAD_URL_SIZE 256

struct audit;

struct load_options {
	struct setting_addresses entries;
	struct setting_addresses direct; /* endpoints */
	struct setting_addresses audits; /* control ports of workstands */
	int64_t rate_per_s;
	bool poisson;
	int64_t duration_ms;
	const char *services;
	int64_t non_idempotent_percent;
	int64_t watch_percent;
	int64_t urgent_percent;
	int64_t deadline_ms;
	int64_t watch_ms; /* deadline of a watch */
	int64_t watch_lines; /* a watch ends after so many; 0: deadline */
	int64_t body_bytes;
	int64_t run_ms; /* asked of the endpoint; -1: its own */
	int64_t answer_bytes;
	int balance;
	int64_t tries; /* of one request, the first included */
	int64_t seed;
	const char *team;
	int64_t jobs;
	int64_t jobs_per_s;
	int64_t job_tasks;
	int64_t job_run_ms;
	int64_t job_cpu_millis;
	int64_t job_memory_mib;
	int64_t job_noise_percent;
	int64_t job_checkpoint_ms;
	int64_t jobs_wait_ms; /* for all to finish, after the calls */
	bool json;
};

/*
 * options.c: from the command line and the environment; ends the program
 * with SETTINGS_EXIT on a bad one.
 */
void load_options_parse(struct load_options *, int argc, char **argv);

struct load {
	uv_loop_t *loop;
	struct load_options options;
	struct httpc *httpc;
	struct plan *plan;
	struct tally *tally;
	struct audit *audit;
	uint64_t in_flight;
	/* Something came to its end; main.c looks whether all has. */
	void (*on_progress)(struct load *);
};

/* ask.c: requests to the entries' and workstands' control, not calls. */
struct load_question {
	const struct setting_address *to;
	const char *method;
	const char *path;
	const char *body; /* or NULL */
	int64_t timeout_ms;
	httpc_done *on_done;
	void *ctx;
};

/* Without memory the program ends. */
void load_ask(struct load *, const struct load_question *);
/* Of a clock that never goes back; from any point. */
int64_t load_now_us(void);

/* caller.c: send one request and see it through, repeats included. */
void caller_start(struct load *, const struct plan_request *);

/* audit.c: ask the workers in the end how often each request ran. */
struct audit *audit_open(struct load *);
void audit_close(struct audit *);
void audit_add(struct audit *, const char *id, enum plan_kind, bool answered,
    bool only_not_run);
/* done is called once, also when there is nothing to ask. */
void audit_run(struct audit *, void (*done)(struct load *));

/* jobs.c: submit batch jobs and wait for them. */
struct jobs;
struct jobs *jobs_open(struct load *);
void jobs_close(struct jobs *);
/* All are submitted and, with jobs_wait_ms, finished or given up. */
bool jobs_done(const struct jobs *);

#endif /* LOAD_H */

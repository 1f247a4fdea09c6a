#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

#define TICK_MS 1
#define US_PER_MS 1000
#define EXIT_FAULTS 1

struct program {
	struct load load; /* first: on_progress hands it back */
	struct plan_request next;
	struct jobs *jobs;
	int64_t started_us;
	bool calls_sent;
	bool auditing;
	uv_timer_t tick;
	uv_signal_t sigint;
};

static void open_plan(struct load *);
static void tick(uv_timer_t *);
static void progress(struct load *);
static void audited(struct load *);
static void stopped(uv_signal_t *, int);
static void report(const struct load *);

static void
open_plan(struct load *load)
{
	struct plan_options po;

	memset(&po, 0, sizeof(po));
	po.seed = (unsigned long)load->options.seed;
	po.rate_per_s = load->options.rate_per_s == 0 ?
	    1 :
	    (double)load->options.rate_per_s;
	po.poisson = load->options.poisson;
	po.services = load->options.services;
	po.non_idempotent_percent = (int)load->options.non_idempotent_percent;
	po.watch_percent = (int)load->options.watch_percent;
	po.urgent_percent = (int)load->options.urgent_percent;
	po.balance = (enum plan_balance)load->options.balance;
	po.nentries = load->options.entries.n;
	po.ndirect = load->options.direct.n;
	po.body_bytes = load->options.body_bytes;
	if ((load->plan = plan_open(&po)) == NULL)
		errx(SETTINGS_EXIT, "--services %s: not NAME:SHARE,...",
		    load->options.services);
}

static void
tick(uv_timer_t *timer)
{
	struct program *p;
	int64_t at_us;

	p = timer->data;
	at_us = load_now_us() - p->started_us;
	while (!p->calls_sent && p->next.at_us <= at_us) {
		if (p->next.at_us >= p->load.options.duration_ms * US_PER_MS) {
			p->calls_sent = true;
			break;
		}
		caller_start(&p->load, &p->next);
		plan_next(p->load.plan, &p->next);
	}
	progress(&p->load);
}

static void
progress(struct load *load)
{
	struct program *p;

	p = (struct program *)load;
	if (!p->calls_sent || load->in_flight > 0 || p->auditing ||
	    !jobs_done(p->jobs))
		return;
	p->auditing = true;
	audit_run(load->audit, audited);
}

static void
audited(struct load *load)
{
	uv_stop(load->loop);
}

/* Send no more, see through what is under way. */
static void
stopped(uv_signal_t *handle, int signum)
{
	struct program *p;

	(void)signum;
	p = handle->data;
	p->calls_sent = true;
}

static void
report(const struct load *load)
{
	json_t *root;

	if (!load->options.json) {
		tally_print(load->tally);
		return;
	}
	root = tally_json(load->tally);
	json_dumpf(root, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(root);
}

int
main(int argc, char **argv)
{
	static struct program p;
	struct httpc_options co;
	uint64_t faults;

	signal(SIGPIPE, SIG_IGN);
	load_options_parse(&p.load.options, argc, argv);
	p.load.loop = uv_default_loop();
	p.load.on_progress = progress;
	open_plan(&p.load);
	memset(&co, 0, sizeof(co));
	co.loop = p.load.loop;
	p.load.httpc = httpc_open(&co);
	p.load.tally = tally_open();
	p.load.audit = audit_open(&p.load);
	p.jobs = jobs_open(&p.load);
	if (p.load.httpc == NULL || p.load.tally == NULL ||
	    p.load.audit == NULL || p.jobs == NULL)
		errx(1, "no memory");
	uv_timer_init(p.load.loop, &p.tick);
	p.tick.data = &p;
	uv_signal_init(p.load.loop, &p.sigint);
	p.sigint.data = &p;
	uv_signal_start(&p.sigint, stopped, SIGINT);
	p.started_us = load_now_us();
	p.calls_sent = p.load.options.rate_per_s == 0;
	plan_next(p.load.plan, &p.next);
	uv_timer_start(&p.tick, tick, 0, TICK_MS);
	uv_run(p.load.loop, UV_RUN_DEFAULT);
	report(&p.load);
	faults = tally_faults(p.load.tally);
	uv_close((uv_handle_t *)&p.tick, NULL);
	uv_close((uv_handle_t *)&p.sigint, NULL);
	jobs_close(p.jobs);
	httpc_close(p.load.httpc);
	uv_run(p.load.loop, UV_RUN_NOWAIT);
	audit_close(p.load.audit);
	tally_close(p.load.tally);
	plan_close(p.load.plan);
	return faults > 0 ? EXIT_FAULTS : 0;
}

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "scheduler.h"

/*
 * Processor time of the leader's decisions by the size of the fleet and of the
 * queue: one start with its answer, look and end, and an idle second.  Without
 * network and codecs.  Printed, never a test.
 */

#define RUNS_PER_WORKER 8
#define ROWS_MAX 16 /* of one list */
#define ROUNDS 4000 /* starts that are measured */
#define BEGIN_MS 1000000
#define TASKS_PER_JOB 40
#define TASK_CPU 3900 /* thousandths: eight fill a worker of 32 processors */
#define WORKER_CPU 32000
#define MEMORY_MIB 100
#define WORKER_MEMORY_MIB 125000
#define RUN_MS 2700

struct started {
	struct sched_worker *worker;
	struct task_name task;
	uint32_t attempt;
};

struct fleet {
	struct sched *s;
	int64_t now_ms;
	struct started *started; /* a ring of runs, oldest first */
	size_t head, tail, size;
	uint64_t ends; /* their numbers rise over the whole fleet */
	uint64_t jobs;
};

static double
cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void
on_start(struct sched *s, struct sched_run *run, void *ctx)
{
	struct started *started;
	struct fleet *f;

	(void)s;
	f = ctx;
	started = &f->started[f->tail++ % f->size];
	started->worker = run->worker;
	started->attempt = run->attempt;
	sched_task_name(run->task, &started->task);
}

static void
on_stop(struct sched *s, struct sched_worker *worker,
    const struct task_name *task, uint32_t attempt, void *ctx)
{
	(void)s, (void)worker, (void)task, (void)attempt, (void)ctx;
}

static void
on_pace(struct sched *s, struct sched_run *run, int percent, void *ctx)
{
	(void)s, (void)run, (void)percent, (void)ctx;
}

static void
on_look(struct sched *s, struct sched_worker *worker, int64_t deadline_ms,
    int64_t wait_ms, void *ctx)
{
	(void)s, (void)worker, (void)deadline_ms, (void)wait_ms, (void)ctx;
}

static void
on_record(struct sched *s, struct sched_worker *worker, void *ctx)
{
	(void)s, (void)ctx;
	sched_worker_recorded(worker, worker->record_wanted);
}

static void
on_job(struct sched *s, const char *job, void *ctx)
{
	(void)s, (void)job, (void)ctx;
}

static bool
on_forget(struct sched *s, const char *job, void *ctx)
{
	(void)s, (void)job, (void)ctx;
	return true;
}

static void
on_lapsed(struct sched *s, struct sched_worker *worker, size_t n, void *ctx)
{
	(void)s, (void)worker, (void)n, (void)ctx;
}

static void
on_lost(struct sched *s, const struct sched_lost *lost, void *ctx)
{
	(void)s, (void)lost, (void)ctx;
}

static void
on_save(struct sched *s, void *ctx)
{
	struct sched_job *job;

	(void)ctx;
	while ((job = sched_next_dirty(s)) != NULL)
		sched_saved(s, job, job->change, 0);
}

static void
on_deposed(struct sched *s, void *ctx)
{
	(void)s, (void)ctx;
}

static void
on_no_room(struct sched *s, struct sched_worker *worker, bool over, void *ctx)
{
	(void)s;
	(void)worker;
	(void)over;
	(void)ctx;
}

static const struct sched_actions actions = { on_start, on_stop, on_pace,
	on_look, on_record, on_job, on_lapsed, on_lost, on_record, on_save,
	on_forget, on_deposed, on_no_room };

static void
add_job(struct fleet *f)
{
	struct graph_step *step;
	struct graph *g;

	if ((g = graph_new(1)) == NULL)
		err(1, "graph");
	snprintf(
	    g->id, sizeof(g->id), "%016llx", (unsigned long long)f->jobs++);
	strlcpy(g->queue, "q", sizeof(g->queue));
	strlcpy(g->terms.service, "s", sizeof(g->terms.service));
	g->terms.max_attempts = 4;
	g->terms.stretch = 2;
	g->terms.target_ms = 1000;
	if ((g->payload = strdup("p")) == NULL)
		err(1, "payload");
	step = &g->steps[0];
	step->count = TASKS_PER_JOB;
	step->size.cpu_millis = TASK_CPU;
	step->size.memory_mib = MEMORY_MIB;
	step->estimate_ms = RUN_MS;
	if (sched_job_add(f->s, g, f->now_ms, ORIGIN_NEW, f->now_ms) == NULL)
		err(1, "job");
}

/* What the worker lists: its runs, and one end if there is one. */
static void
answer_look(
    struct fleet *f, struct sched_worker *worker, const struct started *end)
{
	struct poll_running rows[ROWS_MAX];
	struct poll_finished finished;
	struct poll_result look;
	struct sched_run *run;

	memset(&look, 0, sizeof(look));
	memset(rows, 0, sizeof(rows));
	look.clock_ms = f->now_ms;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (look.nrunning == ROWS_MAX)
			break;
		sched_task_name(run->task, &rows[look.nrunning].task);
		if (end != NULL && run->attempt == end->attempt &&
		    rows[look.nrunning].task.index == end->task.index &&
		    strcmp(rows[look.nrunning].task.job, end->task.job) == 0)
			continue;
		rows[look.nrunning].attempt = run->attempt;
		rows[look.nrunning].checkpoint = "";
		rows[look.nrunning++].percent = (int)(f->now_ms / 40 % 100);
	}
	look.running = rows;
	if (end != NULL) {
		finished.number = ++f->ends;
		finished.task = end->task;
		finished.attempt = end->attempt;
		finished.how = END_DONE;
		finished.checkpoint = "";
		look.finished = &finished;
		look.nfinished = 1;
	}
	sched_poll_answered(f->s, worker, ANSWER_OK, &look, f->now_ms);
}

static void
open_fleet(struct fleet *f, size_t workers, size_t waiting, size_t lost)
{
	static const struct resources room = { WORKER_CPU, WORKER_MEMORY_MIB,
		0 };
	struct sched_options options;
	struct sched_worker *worker;
	size_t i, runs;
	char id[32];

	memset(f, 0, sizeof(*f));
	f->now_ms = BEGIN_MS;
	f->size = workers * RUNS_PER_WORKER * 4;
	if ((f->started = calloc(f->size, sizeof(*f->started))) == NULL)
		err(1, "fleet");
	memset(&options, 0, sizeof(options));
	options.term = 1;
	options.taken_ms = f->now_ms;
	options.lease_ms = 5000;
	options.keep_ms = 120000;
	options.harm_ms = 4000;
	options.seed = 1;
	options.actions = &actions;
	options.ctx = f;
	if ((f->s = sched_open(&options)) == NULL)
		err(1, "scheduler");
	sched_load_end(f->s, f->now_ms);
	for (i = 0; i < workers; i++) {
		snprintf(id, sizeof(id), "i-%010zx", i * 7919 % 1000003);
		worker = sched_worker_get(f->s, id);
		strlcpy(worker->service, "s", sizeof(worker->service));
		sched_worker_listed(f->s, worker, &room, false, 0, f->now_ms);
		answer_look(f, worker, NULL);
		/* Lost a call lately, and is asked again. */
		if (i < lost)
			sched_poll_answered(
			    f->s, worker, ANSWER_LOST, NULL, f->now_ms);
	}
	runs = workers * RUNS_PER_WORKER;
	for (i = 0; i < runs + waiting; i += TASKS_PER_JOB)
		add_job(f);
	for (i = 0; i < 100000 && f->tail < (workers - lost) * RUNS_PER_WORKER;
	     i++) {
		f->now_ms += 4;
		sched_act(f->s, f->now_ms);
	}
	for (i = 0; i < f->tail; i++)
		sched_start_answered(f->s, f->started[i].worker,
		    &f->started[i].task, f->started[i].attempt, ANSWER_OK,
		    f->now_ms, f->now_ms);
}

static void
close_fleet(struct fleet *f)
{
	sched_close(f->s);
	free(f->started);
}

/* One run ends, another begins: processor time of that, in microseconds. */
static double
time_start(struct fleet *f)
{
	struct started end, *begun;
	double began_us;
	size_t i, before;

	began_us = cpu_us();
	for (i = 0; i < ROUNDS; i++) {
		if (i % TASKS_PER_JOB == 0)
			add_job(f);
		f->now_ms += 1;
		end = f->started[f->head++ % f->size];
		answer_look(f, end.worker, &end);
		before = f->tail;
		sched_act(f->s, f->now_ms);
		for (; before < f->tail; before++) {
			begun = &f->started[before % f->size];
			sched_start_answered(f->s, begun->worker, &begun->task,
			    begun->attempt, ANSWER_OK, f->now_ms, f->now_ms);
		}
	}
	return (cpu_us() - began_us) / ROUNDS;
}

/* A second in which nothing ends, in milliseconds of a core. */
static double
time_idle(struct fleet *f)
{
	double began_us;
	int i;

	began_us = cpu_us();
	for (i = 0; i < 1000; i++) {
		f->now_ms++;
		if (f->now_ms >= f->s->next_ms)
			sched_act(f->s, f->now_ms);
	}
	return (cpu_us() - began_us) / 1000;
}

static void
measure(size_t workers, size_t waiting, size_t lost)
{
	struct fleet f;
	double start_us, idle_ms;

	open_fleet(&f, workers, waiting, lost);
	start_us = time_start(&f);
	idle_ms = time_idle(&f);
	printf("%7zu  %7zu  %5zu  %8.2f  %8.3f\n", workers, waiting, lost,
	    start_us, idle_ms);
	close_fleet(&f);
}

int
main(void)
{
	static const size_t sizes[] = { 60, 140, 490, 890, 3000 };
	static const size_t queues[] = { 0, 1000, 15000 };
	static const size_t losses[] = { 50, 500 };
	size_t i, j;

	printf("workers  waiting   lost  start_us  idle_ms/s\n");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		for (j = 0; j < sizeof(queues) / sizeof(queues[0]); j++)
			measure(sizes[i], queues[j], 0);
	}
	for (j = 0; j < sizeof(losses) / sizeof(losses[0]); j++)
		measure(890, 1000, losses[j]);
	return 0;
}

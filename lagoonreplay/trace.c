#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "trace.h"
#include "traceline.h"

#define LINE_MAX_BYTES 4096

typedef void (*line_reader)(struct trace *, struct line *);

static int name_index(char (*)[TRACE_NAME_MAX], int *, int, const char *);
static void *grow(struct line *, void *, int, size_t);
static int kind_index(const struct trace *, const char *);
static int take_kind(const struct trace *, struct line *, const char *);
static void read_head(struct trace *, struct line *);
static void read_worker(struct trace *, struct line *);
static void read_kind(struct trace *, struct line *);
static void read_interference(struct trace *, struct line *);
static void read_load(struct trace *, struct line *);
static void read_job(struct trace *, struct line *);
static void read_cancel(struct trace *, struct line *);
static void read_fault(struct trace *, struct line *);
static void read_outcome(struct trace *, struct line *);
static int by_time(const void *, const void *);
static enum trace_error read_line(struct trace *, const char *, char *);

static const struct {
	const char *type;
	line_reader read;
} readers[] = {
	{ "trace", read_head },
	{ "worker", read_worker },
	{ "kind", read_kind },
	{ "interference", read_interference },
	{ "calls", read_load },
	{ "job", read_job },
	{ "cancel", read_cancel },
	{ "fault", read_fault },
	{ "outcome", read_outcome },
};

static const char *const measures[] = { "p99_ms", "evictions", "task_evictions",
	"core_hours", "over_vm_s", "lost_calls" };
static const char *const faults[] = { "worker_lost", "rack_lost",
	"worker_fails", "store_away" };

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* The index of a name in a table, added if new; -1 when the table is full. */
static int
name_index(char (*names)[TRACE_NAME_MAX], int *n, int max, const char *name)
{
	int i;

	for (i = 0; i < *n; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	if (*n == max)
		return -1;
	strlcpy(names[*n], name, TRACE_NAME_MAX);
	return (*n)++;
}

/* Room for one more element, zeroed. */
static void *
grow(struct line *l, void *array, int n, size_t size)
{
	void *grown;

	if ((grown = reallocarray(array, (size_t)n + 1, size)) == NULL) {
		line_fail(l, TRACE_ERR_MEMORY, "");
		return array;
	}
	memset((char *)grown + (size_t)n * size, 0, size);
	return grown;
}

static int
kind_index(const struct trace *t, const char *name)
{
	int i;

	for (i = 0; i < t->nkinds; i++) {
		if (strcmp(t->kinds[i].name, name) == 0)
			return i;
	}
	return -1;
}

static int
take_kind(const struct trace *t, struct line *l, const char *field)
{
	char name[TRACE_NAME_MAX];
	int kind;

	line_name(l, field, name);
	if ((kind = kind_index(t, name)) >= 0)
		return kind;
	line_fail(l, TRACE_ERR_NAME, name);
	return 0;
}

static void
read_head(struct trace *t, struct line *l)
{
	struct trace_head *h;

	h = &t->head;
	if (line_int(l, "version") != 1)
		line_fail(l, TRACE_ERR_FIELD, "version");
	line_name(l, "name", h->name);
	line_name(l, "service", h->service);
	h->duration_ms = line_int(l, "duration_ms");
	h->lag_ms = line_int(l, "lag_ms");
	h->window_ms = line_int(l, "window_ms");
	h->list_lag_ms = line_int(l, "list_lag_ms");
	h->deadline_ms = line_int(l, "deadline_ms");
	h->entries = (int)line_int(l, "entries");
	h->ahead = (int)line_int(l, "ahead");
	h->one_way_ms = line_number(l, "one_way_ms");
	h->base_ms = line_number(l, "base_ms");
	h->sigma = line_number(l, "sigma");
	h->target_p99_ms = line_number(l, "target_p99_ms");
	h->tail_weight = line_number(l, "tail_weight");
	h->throughput_weight = line_number(l, "throughput_weight");
	h->eviction_weight = line_number(l, "eviction_weight");
	line_sizes(l, "service_sizes", &h->service_sizes);
	if (h->window_ms <= 0 || h->entries <= 0 || h->duration_ms <= 0)
		line_fail(
		    l, TRACE_ERR_FIELD, "window_ms, entries or duration_ms");
}

static void
read_worker(struct trace *t, struct line *l)
{
	char rack[TRACE_NAME_MAX], data_center[TRACE_NAME_MAX];
	struct trace_worker *w;

	t->workers = grow(l, t->workers, t->nworkers, sizeof(*w));
	if (l->error != TRACE_OK)
		return;
	w = &t->workers[t->nworkers++];
	line_name(l, "id", w->id);
	line_name(l, "rack", rack);
	line_name(l, "data_center", data_center);
	w->slots = (int)line_int(l, "slots");
	line_sizes(l, "capacity", &w->capacity);
	w->rack = name_index(t->racks, &t->nracks, TRACE_NAME_MAX, rack);
	w->data_center = name_index(
	    t->data_centers, &t->ndata_centers, TRACE_KINDS_MAX, data_center);
	if (w->rack < 0 || w->data_center < 0)
		line_fail(l, TRACE_ERR_FIELD, "too many racks or data centres");
}

static void
read_kind(struct trace *t, struct line *l)
{
	t->kinds = grow(l, t->kinds, t->nkinds, sizeof(*t->kinds));
	if (l->error != TRACE_OK)
		return;
	if (t->nkinds == TRACE_KINDS_MAX) {
		line_fail(l, TRACE_ERR_FIELD, "too many kinds");
		return;
	}
	line_name(l, "name", t->kinds[t->nkinds++].name);
}

static void
read_interference(struct trace *t, struct line *l)
{
	int victim, cause;

	victim = take_kind(t, l, "victim");
	cause = take_kind(t, l, "cause");
	if (l->error == TRACE_OK)
		t->kinds[victim].by[cause] = line_number(l, "per_processor");
}

static void
read_load(struct trace *t, struct line *l)
{
	struct trace_load *load;

	t->loads = grow(l, t->loads, t->nloads, sizeof(*load));
	if (l->error != TRACE_OK)
		return;
	load = &t->loads[t->nloads++];
	load->from_ms = line_int(l, "from_ms");
	load->per_s = line_number(l, "per_s");
}

static void
read_job(struct trace *t, struct line *l)
{
	struct trace_job *j;

	t->jobs = grow(l, t->jobs, t->njobs, sizeof(*j));
	if (l->error != TRACE_OK)
		return;
	j = &t->jobs[t->njobs++];
	line_name(l, "id", j->id);
	j->at_ms = line_int(l, "at_ms");
	j->cancel_ms = INT64_MAX;
	j->kind = take_kind(t, l, "kind");
	j->tasks = (int)line_int(l, "tasks");
	j->urgent = line_number_or(l, "urgent", 0) != 0;
	j->fails = line_number_or(l, "fails", 0) != 0;
	j->max_evictions = (int)line_number_or(l, "max_evictions", 0);
	j->run_ms = line_int(l, "run_ms");
	j->declared_run_ms = line_int(l, "declared_run_ms");
	line_sizes(l, "declared", &j->declared);
	line_sizes(l, "true", &j->truth);
	if (j->tasks <= 0 || j->run_ms <= 0 || j->declared_run_ms <= 0)
		line_fail(l, TRACE_ERR_FIELD, "tasks or run_ms");
}

static void
read_cancel(struct trace *t, struct line *l)
{
	char id[TRACE_NAME_MAX];
	int i;

	line_name(l, "job", id);
	for (i = 0; i < t->njobs; i++) {
		if (strcmp(t->jobs[i].id, id) == 0) {
			t->jobs[i].cancel_ms = line_int(l, "at_ms");
			return;
		}
	}
	line_fail(l, TRACE_ERR_NAME, id);
}

static void
read_fault(struct trace *t, struct line *l)
{
	char what[TRACE_NAME_MAX], target[TRACE_NAME_MAX];
	struct trace_event *e;
	size_t f;

	t->events = grow(l, t->events, t->nevents, sizeof(*e));
	if (l->error != TRACE_OK)
		return;
	e = &t->events[t->nevents++];
	line_name(l, "what", what);
	e->from_ms = line_int(l, "from_ms");
	e->until_ms = line_int(l, "until_ms");
	for (f = 0; f < COUNT(faults) && strcmp(faults[f], what) != 0; f++)
		continue;
	e->fault = (enum trace_fault)f;
	if (f == COUNT(faults)) {
		line_fail(l, TRACE_ERR_FIELD, "what");
		return;
	}
	if (e->fault == TRACE_STORE_AWAY)
		return;
	line_name(l, "target", target);
	if (e->fault == TRACE_RACK_LOST) {
		e->target = name_index(t->racks, &t->nracks, t->nracks, target);
	} else {
		for (e->target = t->nworkers - 1; e->target >= 0; e->target--)
			if (strcmp(t->workers[e->target].id, target) == 0)
				break;
	}
	if (e->target < 0)
		line_fail(l, TRACE_ERR_NAME, target);
}

static void
read_outcome(struct trace *t, struct line *l)
{
	char measure[TRACE_NAME_MAX];
	struct trace_outcome *o;
	size_t m;

	t->outcomes = grow(l, t->outcomes, t->noutcomes, sizeof(*o));
	if (l->error != TRACE_OK)
		return;
	o = &t->outcomes[t->noutcomes++];
	line_name(l, "measure", measure);
	for (m = 0; m < COUNT(measures); m++) {
		if (strcmp(measures[m], measure) == 0)
			break;
	}
	if (m == COUNT(measures))
		line_fail(l, TRACE_ERR_FIELD, "measure");
	o->measure = (enum trace_measure)m;
	o->at_least = json_object_get(l->object, "at_least") != NULL;
	o->bound = line_number(l, o->at_least ? "at_least" : "at_most");
}

static enum trace_error
read_line(struct trace *t, const char *text, char *detail)
{
	char type[TRACE_NAME_MAX];
	struct line l;
	size_t i;

	memset(&l, 0, sizeof(l));
	l.detail = detail;
	if ((l.object = json_loads(text, JSON_REJECT_DUPLICATES, NULL)) == NULL)
		return TRACE_ERR_JSON;
	line_name(&l, "type", type);
	for (i = 0; i < COUNT(readers); i++) {
		if (strcmp(readers[i].type, type) == 0)
			break;
	}
	if (i == COUNT(readers))
		line_fail(&l, TRACE_ERR_TYPE, type);
	else
		readers[i].read(t, &l);
	if (l.error == TRACE_OK && l.taken != json_object_size(l.object))
		line_fail(&l, TRACE_ERR_FIELD, "unknown field");
	json_decref(l.object);
	return l.error;
}

static int
by_time(const void *a, const void *b)
{
	const struct trace_job *x, *y;

	x = a;
	y = b;
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return strcmp(x->id, y->id);
}

enum trace_error
trace_read(const char *path, struct trace **tp, int *line, char *detail)
{
	char text[LINE_MAX_BYTES];
	enum trace_error error;
	struct trace *t;
	FILE *f;

	*line = 0;
	detail[0] = '\0';
	if ((f = fopen(path, "r")) == NULL)
		return TRACE_ERR_OPEN;
	error = TRACE_ERR_MEMORY;
	if ((t = calloc(1, sizeof(*t))) == NULL)
		goto done;
	error = TRACE_OK;
	while (error == TRACE_OK && fgets(text, sizeof(text), f) != NULL) {
		(*line)++;
		error = read_line(t, text, detail);
	}
	if (error == TRACE_OK &&
	    (t->head.name[0] == '\0' || t->nworkers == 0 || t->nkinds == 0 ||
		t->nloads == 0))
		error = TRACE_ERR_EMPTY;
done:
	fclose(f);
	if (error != TRACE_OK) {
		trace_free(t);
		return error;
	}
	if (t->njobs > 0)
		qsort(t->jobs, (size_t)t->njobs, sizeof(*t->jobs), by_time);
	*tp = t;
	return TRACE_OK;
}

void
trace_free(struct trace *t)
{
	if (t == NULL)
		return;
	free(t->workers);
	free(t->kinds);
	free(t->loads);
	free(t->jobs);
	free(t->events);
	free(t->outcomes);
	free(t);
}

double
trace_core_hours(const struct trace_job *j, double runs)
{
	return runs * (double)j->run_ms * (double)j->truth.cpu_millis /
	    TRACE_CORE_HOUR;
}

const char *
trace_error_text(enum trace_error error)
{
	switch (error) {
	case TRACE_OK:
		return "ok";
	case TRACE_ERR_OPEN:
		return "cannot be opened";
	case TRACE_ERR_JSON:
		return "not JSON";
	case TRACE_ERR_TYPE:
		return "unknown type of line";
	case TRACE_ERR_FIELD:
		return "field missing, unknown or out of range";
	case TRACE_ERR_NAME:
		return "no such worker, rack, kind or job";
	case TRACE_ERR_MEMORY:
		return "out of memory";
	case TRACE_ERR_EMPTY:
		return "no head, worker, kind or calls";
	}
	return "?";
}

const char *
trace_measure_text(enum trace_measure measure)
{
	return measures[measure];
}

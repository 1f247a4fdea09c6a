#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "load.h"

#define IDS_PER_QUESTION 2000
#define TIMEOUT_MS 20000

struct audit_entry {
	char *id;
	enum plan_kind kind;
	bool answered;
	bool only_not_run;
	uint64_t runs;
};

struct audit {
	struct load *load;
	struct audit_entry *entries;
	size_t n;
	size_t size;
	size_t next; /* of the entries, to ask the present worker about */
	size_t asked; /* in the question under way */
	size_t worker;
	void (*done)(struct load *);
};

static char *ids_json(struct audit *);
static void ask(struct audit *);
static void answered(const struct httpc_result *, void *);
static int add_runs(struct audit *, const struct httpc_result *);
static void judge(struct audit *);

struct audit *
audit_open(struct load *load)
{
	struct audit *a;

	if ((a = calloc(1, sizeof(*a))) == NULL)
		return NULL;
	a->load = load;
	return a;
}

void
audit_close(struct audit *a)
{
	size_t i;

	if (a == NULL)
		return;
	for (i = 0; i < a->n; i++)
		free(a->entries[i].id);
	free(a->entries);
	free(a);
}

void
audit_add(struct audit *a, const char *id, enum plan_kind kind, bool answered_,
    bool only_not_run)
{
	struct audit_entry *e;

	if (a->n == a->size) {
		a->size = a->size == 0 ? 1024 : a->size * 2;
		a->entries =
		    reallocarray(a->entries, a->size, sizeof(*a->entries));
		if (a->entries == NULL)
			err(1, "audit");
	}
	e = &a->entries[a->n++];
	memset(e, 0, sizeof(*e));
	if ((e->id = strdup(id)) == NULL)
		err(1, "audit");
	e->kind = kind;
	e->answered = answered_;
	e->only_not_run = only_not_run;
}

void
audit_run(struct audit *a, void (*done)(struct load *))
{
	a->done = done;
	a->worker = 0;
	a->next = 0;
	ask(a);
}

/* The next ids as JSON text, or NULL without memory; counts them in asked. */
static char *
ids_json(struct audit *a)
{
	json_t *ids, *question;
	char *text;
	size_t i;

	ids = json_array();
	for (i = a->next; i < a->n && i < a->next + IDS_PER_QUESTION; i++)
		json_array_append_new(ids, json_string(a->entries[i].id));
	a->asked = i - a->next;
	question = json_pack("{s:o}", "ids", ids);
	text = json_dumps(question, JSON_COMPACT);
	json_decref(question);
	return text;
}

static void
ask(struct audit *a)
{
	struct load_question q;
	char *text;

	if (a->next >= a->n) {
		a->next = 0;
		a->worker++;
	}
	if (a->n == 0 || a->worker >= a->load->options.audits.n) {
		judge(a);
		a->done(a->load);
		return;
	}
	if ((text = ids_json(a)) == NULL)
		err(1, "audit");
	q.to = &a->load->options.audits.at[a->worker];
	q.method = "POST";
	q.path = "/ran";
	q.body = text;
	q.timeout_ms = TIMEOUT_MS;
	q.on_done = answered;
	q.ctx = a;
	load_ask(a->load, &q);
	free(text);
}

static int
add_runs(struct audit *a, const struct httpc_result *result)
{
	json_t *root, *runs, *value;
	size_t i;

	if (result->error != HTTPC_OK || result->status != 200)
		return -1;
	root = json_loadb(result->body, result->body_len, 0, NULL);
	runs = json_object_get(root, "runs");
	if (json_array_size(runs) != a->asked) {
		json_decref(root);
		return -1;
	}
	json_array_foreach(runs, i, value) a->entries[a->next + i].runs +=
	    (uint64_t)json_integer_value(value);
	json_decref(root);
	return 0;
}

static void
answered(const struct httpc_result *result, void *ctx)
{
	struct audit *a;

	a = ctx;
	if (add_runs(a, result) == -1) {
		tally_fault(a->load->tally, TALLY_AUDIT_FAILED,
		    httpc_strerror(result->error));
		a->done(a->load);
		return;
	}
	a->next += a->asked;
	ask(a);
}

static void
judge(struct audit *a)
{
	struct audit_entry *e;
	struct tally *tally;
	size_t i;

	if (a->load->options.audits.n == 0)
		return;
	tally = a->load->tally;
	for (i = 0; i < a->n; i++) {
		e = &a->entries[i];
		if (e->kind == PLAN_NON_IDEMPOTENT && e->runs > 1)
			tally_fault(tally, TALLY_RAN_TWICE, e->id);
		if (e->only_not_run && e->runs > 0)
			tally_fault(tally, TALLY_RAN_THOUGH_NOT_RUN, e->id);
		if (e->answered && e->runs == 0)
			tally_fault(tally, TALLY_ANSWERED_WITHOUT_RUN, e->id);
		if (e->kind == PLAN_IDEMPOTENT && e->runs > 1)
			tally_count(tally, "idempotent_ran_again", 1);
	}
	tally_count(tally, "audited", a->n);
}

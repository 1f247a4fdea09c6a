#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "record.h"

static bool id_ok(const char *);
static void print_explanation(FILE *, json_t *);
static json_t *get_from_any(struct ctl *, const char *, enum ctl_status *);

/* entries, workers, shards, tasks: the noun names both the path and the array.
 */
enum ctl_status
list_show(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE];

	(void)args;
	snprintf(path, sizeof(path), "/v1/%s%s%s", noun,
	    ctl->opt.job[0] == '\0' ? "" : "?job=", ctl->opt.job);
	return ctl_show(ctl, path, noun);
}

/* Accepts printable characters that need no escaping in a URL path. */
static bool
id_ok(const char *id)
{
	const char *p;

	for (p = id; *p != '\0'; p++) {
		if (*p <= ' ' || *p > '~' || strchr("?#%&", *p) != NULL)
			return false;
	}
	return p != id && p - id < CTL_PATH_SIZE / 2;
}

/* Only the entry that handled it may know it, so on 404 all live entries are
 * queried. */
static json_t *
get_from_any(struct ctl *ctl, const char *path, enum ctl_status *status)
{
	struct ctl_request r = { .method = "GET",
		.path = path,
		.repeatable = true,
		.timeout_ms = -1 };
	struct ctl_target *targets;
	struct ctl_answer a;
	json_t *body;
	size_t i, n;

	targets = NULL;
	ctl_call(ctl, &r, &a);
	n = a.status == 404 ? ctl_targets(ctl, &targets, status) : 0;
	ctl->opt.entries.n = 1;
	for (i = 0; i < n && a.status != 200; i++) {
		ctl->opt.entries.at[0] = targets[i].address;
		ctl_answer_free(&a);
		ctl_call(ctl, &r, &a);
	}
	free(targets);
	a.sent = false;
	*status = ctl_answer_status(ctl, &a);
	body = *status == CTL_OK ? json_loadb(a.body, a.len, 0, NULL) : NULL;
	if (*status == CTL_OK && body == NULL)
		*status = CTL_REFUSED;
	ctl_answer_free(&a);
	return body;
}

/* Prints each object of the first array, or the object itself. */
static void
print_explanation(FILE *f, json_t *body)
{
	const char *key;
	json_t *value, *one;
	size_t i;

	json_object_foreach(body, key, value)
	{
		if (!json_is_array(value))
			continue;
		json_array_foreach(value, i, one)
		{
			if (i > 0)
				fputc('\n', f);
			ctl_print_object(f, one);
		}
		return;
	}
	ctl_print_object(f, body);
}

/*
 * explain job ID, explain task JOB/INDEX, explain request ID.  Without the
 * kind, an id with a slash is a task and any other a job.
 */
enum ctl_status
explain_show(
    struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE];
	const char *kind, *id;
	enum ctl_status status;
	json_t *body;

	(void)noun;
	id = args->at[args->n - 1];
	kind = args->n == 2	    ? args->at[0] :
	    strchr(id, '/') != NULL ? "task" :
				      "job";
	if ((strcmp(kind, "job") != 0 && strcmp(kind, "task") != 0 &&
		strcmp(kind, "request") != 0) ||
	    !id_ok(id)) {
		fprintf(ctl->err,
		    "usage: lagoonpinctl explain job ID | task JOB/INDEX | "
		    "request "
		    "ID\n");
		return CTL_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/explain/%s/%s", kind, id);
	if ((body = get_from_any(ctl, path, &status)) == NULL)
		return status;
	if (ctl->opt.json)
		ctl_print_json(ctl->out, body);
	else
		print_explanation(ctl->out, body);
	json_decref(body);
	return CTL_OK;
}

#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "record.h"

static enum ctl_status post(
    struct ctl *, const char *, json_t *, bool, const char *);
static json_t *job_record(
    struct ctl *, const struct settings_args *, enum ctl_status *);

static enum ctl_status
post(struct ctl *ctl, const char *path, json_t *body, bool repeatable,
    const char *list)
{
	struct ctl_request r = { .method = "POST",
		.path = path,
		.repeatable = repeatable,
		.timeout_ms = -1 };
	struct ctl_answer a;
	enum ctl_status status;
	json_t *answer;
	char *text;

	if ((text = json_dumps(body, JSON_COMPACT)) == NULL)
		return CTL_REFUSED;
	r.body = text;
	r.len = strlen(text);
	ctl_call(ctl, &r, &a);
	free(text);
	status = ctl_answer_status(ctl, &a);
	answer = a.body == NULL ? NULL : json_loadb(a.body, a.len, 0, NULL);
	if (answer != NULL && ctl->opt.json)
		ctl_print_json(ctl->out, answer);
	else if (status == CTL_OK && list != NULL &&
	    json_is_array(json_object_get(answer, list)))
		ctl_print_table(ctl->out, json_object_get(answer, list));
	else if (status == CTL_OK && json_is_object(answer))
		ctl_print_object(ctl->out, answer);
	json_decref(answer);
	ctl_answer_free(&a);
	return status;
}

/* Reads the file if given, then applies the fields of the command line. */
static json_t *
job_record(
    struct ctl *ctl, const struct settings_args *args, enum ctl_status *status)
{
	const char *wrong;
	json_t *job;
	char *text;
	size_t len;
	int i;

	wrong = NULL;
	if (ctl->opt.file[0] != '\0') {
		text = ctl_read_file(ctl->opt.file, &len);
		job = text == NULL ? NULL : json_loadb(text, len, 0, NULL);
		free(text);
		if (!json_is_object(job))
			wrong = ctl->opt.file;
	} else {
		job = json_pack("{s:I}", "schema",
		    (json_int_t)(ctl->opt.schema == 0 ? 1 : ctl->opt.schema));
	}
	for (i = 0; i < args->n && wrong == NULL; i++) {
		if (i == 0 && strchr(args->at[0], '=') == NULL)
			json_object_set_new(
			    job, "id", json_string(args->at[0]));
		else if (!ctl_field_set(job, args->at[i]))
			wrong = args->at[i];
	}
	if (wrong == NULL)
		return job;
	fprintf(ctl->err, "lagoonpinctl: \"%s\": not %s\n", wrong,
	    wrong == ctl->opt.file ? "a JSON object" : "FIELD=VALUE");
	json_decref(job);
	*status = CTL_USAGE;
	return NULL;
}

enum ctl_status
job_submit(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	enum ctl_status status = CTL_USAGE;
	json_t *job;

	(void)noun;
	if ((job = job_record(ctl, args, &status)) == NULL)
		return status;
	status = post(ctl, "/v1/jobs", job, false, NULL);
	json_decref(job);
	return status;
}

enum ctl_status
job_show(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE];

	(void)noun;
	if (!record_name_ok(args->at[0])) {
		fprintf(ctl->err, "lagoonpinctl: \"%s\": not a job id\n",
		    args->at[0]);
		return CTL_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/jobs/%s", args->at[0]);
	return ctl_show(ctl, path, NULL);
}

enum ctl_status
job_list(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE];

	(void)noun;
	(void)args;
	snprintf(path, sizeof(path), "/v1/jobs%s%s",
	    ctl->opt.team[0] == '\0' ? "" : "?team=", ctl->opt.team);
	return ctl_show(ctl, path, "jobs");
}

/* Cancellation is idempotent, so it may be sent to another entry. */
enum ctl_status
job_cancel(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	enum ctl_status status;
	json_t *body, *ids;
	int i;

	(void)noun;
	if ((args->n == 0) == (ctl->opt.team[0] == '\0')) {
		fprintf(ctl->err,
		    "lagoonpinctl: job cancel: expected either ids or "
		    "--team\n");
		return CTL_USAGE;
	}
	body = json_object();
	if (args->n == 0) {
		json_object_set_new(body, "team", json_string(ctl->opt.team));
	} else {
		ids = json_array();
		for (i = 0; i < args->n; i++)
			json_array_append_new(ids, json_string(args->at[i]));
		json_object_set_new(body, "ids", ids);
	}
	status = post(ctl, "/v1/jobs/cancel", body, true, "jobs");
	json_decref(body);
	return status;
}

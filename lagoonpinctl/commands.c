#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define PROGRAM "lagoonpinctl"
#define NAME_SIZE 64
#define TEXT_SIZE ((size_t)SETTING_ADDRESSES_MAX * (SETTING_ADDRESS_SIZE + 1))
#define ARGS_MAX 1000
#define NSETTINGS 16

/* Settings that a command accepts besides the common ones. */
enum {
	TAKES_REVISION = 1 << 0,
	TAKES_SCHEMA = 1 << 1,
	TAKES_FILE = 1 << 2,
	TAKES_TEAM = 1 << 3,
	TAKES_JOB = 1 << 4,
	TAKES_DEADLINE = 1 << 5,
	TAKES_CALL = 1 << 6,
	TAKES_WAIT = 1 << 7
};

#define CHANGE (TAKES_WAIT | TAKES_DEADLINE)

struct command {
	const char *noun;
	const char *verb; /* NULL: the noun alone */
	const char *args_doc;
	int min_args;
	int max_args;
	int takes;
	ctl_run *run;
	const char *doc;
};

static const struct command *find(const char *, const char *);
static void list_commands(FILE *);
static size_t add_common(struct ctl_options *, struct setting *, bool);
static size_t add_taken(
    struct ctl_options *, struct setting *, const struct command *);
static void format_entries(const struct setting_addresses *, char *);
static enum ctl_status run_command(
    struct ctl *, const struct command *, int, char **);

static const char *const priorities[] = { "normal", "urgent", NULL };

static const struct command commands[] = {
	{ "service", "create", "NAME [FIELD=VALUE...]", 1, ARGS_MAX,
	    CHANGE | TAKES_SCHEMA | TAKES_FILE, record_create,
	    "create a service" },
	{ "service", "show", "NAME", 1, 1, TAKES_SCHEMA, record_show,
	    "show a service, in its own or another schema version" },
	{ "service", "list", NULL, 0, 0, 0, record_list, "list the services" },
	{ "service", "set", "NAME [FIELD=VALUE...]", 1, ARGS_MAX,
	    CHANGE | TAKES_REVISION | TAKES_SCHEMA | TAKES_FILE, record_set,
	    "change a service" },
	{ "service", "delete", "NAME", 1, 1, CHANGE | TAKES_REVISION,
	    record_delete, "delete a service" },
	{ "team", "create", "NAME [FIELD=VALUE...]", 1, ARGS_MAX,
	    CHANGE | TAKES_SCHEMA | TAKES_FILE, record_create,
	    "create a team" },
	{ "team", "show", "NAME", 1, 1, TAKES_SCHEMA, record_show,
	    "show a team" },
	{ "team", "list", NULL, 0, 0, 0, record_list, "list the teams" },
	{ "team", "set", "NAME [FIELD=VALUE...]", 1, ARGS_MAX,
	    CHANGE | TAKES_REVISION | TAKES_SCHEMA | TAKES_FILE, record_set,
	    "change a team's limits" },
	{ "team", "delete", "NAME", 1, 1, CHANGE | TAKES_REVISION,
	    record_delete, "delete a team" },
	{ "policy", "create", "[FIELD=VALUE...]", 0, ARGS_MAX,
	    CHANGE | TAKES_SCHEMA | TAKES_FILE, record_create,
	    "create the policy" },
	{ "policy", "show", NULL, 0, 0, TAKES_SCHEMA, record_show,
	    "show the policy" },
	{ "policy", "set", "[FIELD=VALUE...]", 0, ARGS_MAX,
	    CHANGE | TAKES_REVISION | TAKES_SCHEMA | TAKES_FILE, record_set,
	    "change the policy" },
	{ "policy", "delete", NULL, 0, 0, CHANGE | TAKES_REVISION,
	    record_delete, "restore the built-in policy" },
	{ "job", "submit", "[ID] [FIELD=VALUE...]", 0, ARGS_MAX,
	    TAKES_SCHEMA | TAKES_FILE, job_submit, "submit a job" },
	{ "job", "show", "ID", 1, 1, 0, job_show, "show a job" },
	{ "job", "list", NULL, 0, 0, TAKES_TEAM, job_list, "list jobs" },
	{ "job", "cancel", "[ID...]", 0, ARGS_MAX, TAKES_TEAM, job_cancel,
	    "cancel jobs, or all of a team" },
	{ "entries", NULL, NULL, 0, 0, 0, list_show, "list the entries" },
	{ "workers", NULL, NULL, 0, 0, 0, list_show, "list the workers" },
	{ "shards", NULL, NULL, 0, 0, 0, list_show,
	    "list the shards, their owners and epochs" },
	{ "tasks", NULL, NULL, 0, 0, TAKES_JOB, list_show, "list tasks" },
	{ "config", "get", "[KIND [NAME]]", 0, 2, TAKES_SCHEMA, config_get,
	    "show the revision in force, or a record" },
	{ "config", "set", "KIND [NAME] [FIELD=VALUE...]", 1, ARGS_MAX,
	    CHANGE | TAKES_REVISION | TAKES_SCHEMA | TAKES_FILE, config_set,
	    "change a record" },
	{ "config", "history", "KIND [NAME]", 1, 2, 0, config_history,
	    "list the earlier versions of a record" },
	{ "config", "wait", "REVISION", 1, 1, TAKES_DEADLINE, config_wait,
	    "wait until a revision is in force on every live entry" },
	{ "explain", NULL, "[job|task|request] ID", 1, 2, 0, explain_show,
	    "explain a scheduling decision" },
	{ "call", NULL, "SERVICE", 1, 1,
	    TAKES_FILE | TAKES_TEAM | TAKES_DEADLINE | TAKES_CALL, call_run,
	    "call a service and print the response" },
};
#define NCOMMANDS (sizeof(commands) / sizeof(commands[0]))

static const struct command *
find(const char *noun, const char *verb)
{
	size_t i;

	for (i = 0; i < NCOMMANDS; i++) {
		if (strcmp(commands[i].noun, noun) != 0)
			continue;
		if (commands[i].verb == NULL)
			return &commands[i];
		if (verb != NULL && strcmp(commands[i].verb, verb) == 0)
			return &commands[i];
	}
	return NULL;
}

static void
list_commands(FILE *f)
{
	const struct command *c;

	fprintf(f, "commands:\n");
	for (c = commands; c < commands + NCOMMANDS; c++)
		fprintf(f, "  %s%s%s%s%s: %s\n", c->noun,
		    c->verb == NULL ? "" : " ", c->verb == NULL ? "" : c->verb,
		    c->args_doc == NULL ? "" : " ",
		    c->args_doc == NULL ? "" : c->args_doc, c->doc);
}

/* Values given before the command are the defaults after it. */
static size_t
add_common(struct ctl_options *o, struct setting *table, bool after)
{
	static char entries[TEXT_SIZE], timeout[NAME_SIZE];
	const struct setting common[] = {
		{ "entry", "LAGOONPINCTL_ENTRY",
		    "entries to try in order until one responds", NULL,
		    SETTING_IP_PORTS, &o->entries, 1, 0, "127.0.0.1:7400", NULL,
		    NULL },
		{ "json", "LAGOONPINCTL_JSON", "print JSON", NULL, SETTING_BOOL,
		    &o->json, 0, 0, "no", NULL, NULL },
		{ "timeout-ms", "LAGOONPINCTL_TIMEOUT_MS",
		    "timeout of one request", "ms", SETTING_INTEGER,
		    &o->timeout_ms, 1, 3600000, "15000", NULL, NULL },
	};
	size_t i;

	memcpy(table, common, sizeof(common));
	if (!after)
		return sizeof(common) / sizeof(common[0]);
	format_entries(&o->entries, entries);
	snprintf(timeout, sizeof(timeout), "%lld", (long long)o->timeout_ms);
	table[0].def = entries;
	table[1].def = o->json ? "yes" : "no";
	table[2].def = timeout;
	for (i = 0; i < sizeof(common) / sizeof(common[0]); i++)
		table[i].env = NULL;
	return sizeof(common) / sizeof(common[0]);
}

static void
format_entries(const struct setting_addresses *list, char *text)
{
	char one[SETTING_ADDRESS_SIZE];
	size_t i;

	text[0] = '\0';
	for (i = 0; i < list->n; i++) {
		if (i > 0)
			strlcat(text, ",", TEXT_SIZE);
		settings_address_text(&list->at[i], one, sizeof(one));
		strlcat(text, one, TEXT_SIZE);
	}
}

static size_t
add_taken(
    struct ctl_options *o, struct setting *table, const struct command *command)
{
	const struct {
		int takes;
		struct setting setting;
	} all[] = {
		{ TAKES_REVISION,
		    { "revision", NULL,
			"expected revision of the record; -1: the current one",
			NULL, SETTING_INTEGER, &o->revision, -1, INT64_MAX,
			"-1", NULL, NULL } },
		{ TAKES_SCHEMA,
		    { "schema", NULL, "schema version; 0: the record's own",
			NULL, SETTING_INTEGER, &o->schema, 0, 1000, "0", NULL,
			NULL } },
		{ TAKES_FILE,
		    { "file", NULL,
			"read the input from this file; -: standard input",
			NULL, SETTING_STRING, &o->file, 1, 4096, "", NULL,
			NULL } },
		{ TAKES_TEAM,
		    { "team", "LAGOONPINCTL_TEAM", "team", NULL, SETTING_STRING,
			&o->team, 1, 64, "", NULL, NULL } },
		{ TAKES_JOB,
		    { "job", NULL, "only tasks of this job", NULL,
			SETTING_STRING, &o->job, 1, 64, "", NULL, NULL } },
		{ TAKES_DEADLINE,
		    { "deadline-ms", NULL, "deadline", "ms", SETTING_INTEGER,
			&o->deadline_ms, 1, 86400000, "10000", NULL, NULL } },
		{ TAKES_WAIT,
		    { "wait", NULL,
			"wait until the change is in force everywhere", NULL,
			SETTING_BOOL, &o->wait, 0, 0, "no", NULL, NULL } },
		{ TAKES_CALL,
		    { "body", NULL, "body of the call", NULL, SETTING_STRING,
			&o->body, 0, 65536, "", NULL, NULL } },
		{ TAKES_CALL,
		    { "request-id", NULL, "request id; generated if empty",
			NULL, SETTING_STRING, &o->request_id, 1, 100, "", NULL,
			NULL } },
		{ TAKES_CALL,
		    { "idempotent", NULL,
			"the call is idempotent and may be retried", NULL,
			SETTING_BOOL, &o->idempotent, 0, 0, "no", NULL,
			NULL } },
		{ TAKES_CALL,
		    { "priority", NULL, "priority", NULL, SETTING_WORD,
			&o->priority, 0, 0, "normal", NULL, priorities } },
		{ TAKES_CALL,
		    { "watch", NULL,
			"streamed response: print it as it arrives", NULL,
			SETTING_BOOL, &o->watch, 0, 0, "no", NULL, NULL } },
	};
	size_t i, n;

	n = 0;
	for (i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
		if ((all[i].takes & command->takes) != 0)
			table[n++] = all[i].setting;
	}
	return n;
}

static enum ctl_status
run_command(
    struct ctl *ctl, const struct command *command, int argc, char **argv)
{
	static char program[NAME_SIZE];
	struct setting table[NSETTINGS];
	struct settings_options options = { 0 };
	struct settings_args args;

	snprintf(program, sizeof(program), PROGRAM " %s%s%s", command->noun,
	    command->verb == NULL ? "" : " ",
	    command->verb == NULL ? "" : command->verb);
	ctl->opt.file = ctl->opt.team = ctl->opt.job = "";
	ctl->opt.body = ctl->opt.request_id = "";
	ctl->opt.revision = -1;
	argv[0] = program;
	options.program = program;
	options.doc = command->doc;
	options.args_doc = command->args_doc;
	options.table = table;
	options.n = add_common(&ctl->opt, table, true);
	options.n += add_taken(&ctl->opt, table + options.n, command);
	options.min_args = command->min_args;
	options.max_args = command->max_args;
	settings_parse(&options, argc, argv, &args);
	return command->run(ctl, command->noun, &args);
}

enum ctl_status
ctl_main(struct ctl *ctl, int argc, char **argv)
{
	struct setting table[NSETTINGS];
	struct settings_options options = { 0 };
	const struct command *command;
	struct settings_args args;
	int words;

	options.program = PROGRAM;
	options.doc = "control lagoonpin and call its services\v"
		      "Without a command, lists the commands.";
	options.args_doc = "COMMAND [ARG...]";
	options.table = table;
	options.n = add_common(&ctl->opt, table, false);
	options.max_args = ARGS_MAX;
	options.stop_at_first_arg = true;
	settings_parse(&options, argc, argv, &args);
	if (args.n == 0) {
		list_commands(ctl->err);
		return CTL_USAGE;
	}
	command = find(args.at[0], args.n > 1 ? args.at[1] : NULL);
	if (command == NULL) {
		fprintf(ctl->err, PROGRAM ": %s%s%s: no such command\n",
		    args.at[0], args.n > 1 ? " " : "",
		    args.n > 1 ? args.at[1] : "");
		list_commands(ctl->err);
		return CTL_USAGE;
	}
	words = command->verb == NULL ? 0 : 1;
	return run_command(ctl, command, args.n - words, args.at + words);
}

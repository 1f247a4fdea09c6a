#include <arpa/inet.h>

#include <argp.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"
#include "version.h"

#define KEY_BASE 0x100 /* above every character: no short flags */
#define TEXT_MAX 512
#define PORT_MAX 65535

struct parse {
	const struct settings_options *options;
	const char **texts; /* values of the flags, by index in the table */
	struct settings_args *args;
};

static bool is_ip(const char *);
static size_t addresses_max(const struct setting *);
static enum settings_error set_integer(const struct setting *, const char *);
static enum settings_error set_addresses(const struct setting *, const char *);
static enum settings_error set_string(const struct setting *, const char *);
static enum settings_error set_word(const struct setting *, const char *);
static enum settings_error set_bool(const struct setting *, const char *);
static void exit_invalid(const struct settings_options *,
    const struct setting *, const char *, const char *)
    __attribute__((noreturn));
static void load_setting(
    const struct settings_options *, const struct setting *, const char *flag);
static char *make_help(const struct setting *);
static struct argp_option *make_flags(const struct settings_options *);
static error_t on_key(int, char *, struct argp_state *);

static bool
is_ip(const char *text)
{
	unsigned char buf[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, buf) == 1 ||
	    inet_pton(AF_INET6, text, buf) == 1;
}

enum settings_error
settings_address(const char *text, int min_port, struct setting_address *out)
{
	struct setting_address a;
	const char *colon, *start, *end, *bad;

	if ((colon = strrchr(text, ':')) == NULL)
		return SETTINGS_ERR_ADDRESS;
	start = text;
	end = colon;
	if (*start == '[') {
		start++;
		if (end == start || *--end != ']')
			return SETTINGS_ERR_ADDRESS;
	} else if (memchr(start, ':', (size_t)(end - start)) != NULL) {
		return SETTINGS_ERR_ADDRESS;
	}
	if (end < start || (size_t)(end - start) >= sizeof(a.ip))
		return SETTINGS_ERR_ADDRESS;
	memcpy(a.ip, start, (size_t)(end - start));
	a.ip[end - start] = '\0';
	if (!is_ip(a.ip))
		return SETTINGS_ERR_ADDRESS;
	if (strspn(colon + 1, "0123456789") != strlen(colon + 1))
		return SETTINGS_ERR_ADDRESS;
	a.port = (int)strtonum(colon + 1, min_port, PORT_MAX, &bad);
	if (bad != NULL)
		return SETTINGS_ERR_ADDRESS;
	*out = a;
	return SETTINGS_OK;
}

static enum settings_error
set_integer(const struct setting *s, const char *text)
{
	const char *bad;
	long long value;

	value = strtonum(text, s->min, s->max, &bad);
	if (bad != NULL)
		return SETTINGS_ERR_INTEGER;
	*(int64_t *)s->value = value;
	return SETTINGS_OK;
}

static size_t
addresses_max(const struct setting *s)
{
	if (s->max < 1 || s->max > SETTING_ADDRESSES_MAX)
		return SETTING_ADDRESSES_MAX;
	return (size_t)s->max;
}

static enum settings_error
set_addresses(const struct setting *s, const char *text)
{
	struct setting_addresses list;
	char copy[SETTING_ADDRESSES_MAX * (SETTING_IP_SIZE + 8)];
	char *rest, *item;
	enum settings_error error;

	memset(&list, 0, sizeof(list));
	/* An empty list is valid only if it is the default. */
	if (*text == '\0' && (s->def == NULL || *s->def != '\0'))
		return SETTINGS_ERR_ADDRESS;
	if (strlcpy(copy, text, sizeof(copy)) >= sizeof(copy))
		return SETTINGS_ERR_TOO_MANY;
	rest = copy[0] == '\0' ? NULL : copy;
	while ((item = strsep(&rest, ",")) != NULL) {
		if (list.n == addresses_max(s))
			return SETTINGS_ERR_TOO_MANY;
		error = settings_address(item, (int)s->min, &list.at[list.n]);
		if (error != SETTINGS_OK)
			return error;
		list.n++;
	}
	memcpy(s->value, &list, sizeof(list));
	return SETTINGS_OK;
}

static enum settings_error
set_string(const struct setting *s, const char *text)
{
	const char *p;
	size_t len;

	len = strlen(text);
	if (len < (size_t)s->min || len > (size_t)s->max)
		return SETTINGS_ERR_LENGTH;
	for (p = text; *p != '\0'; p++) {
		if (s->chars != NULL ? strchr(s->chars, *p) == NULL :
				       *p < ' ' || *p > '~')
			return SETTINGS_ERR_CHARACTER;
	}
	*(const char **)s->value = text;
	return SETTINGS_OK;
}

static enum settings_error
set_word(const struct setting *s, const char *text)
{
	int i;

	for (i = 0; s->words[i] != NULL; i++) {
		if (strcmp(s->words[i], text) == 0) {
			*(int *)s->value = i;
			return SETTINGS_OK;
		}
	}
	return SETTINGS_ERR_WORD;
}

static enum settings_error
set_bool(const struct setting *s, const char *text)
{
	if (strcmp(text, "yes") == 0)
		*(bool *)s->value = true;
	else if (strcmp(text, "no") == 0)
		*(bool *)s->value = false;
	else
		return SETTINGS_ERR_WORD;
	return SETTINGS_OK;
}

enum settings_error
settings_set(const struct setting *s, const char *text)
{
	switch (s->kind) {
	case SETTING_INTEGER:
		return set_integer(s, text);
	case SETTING_IP:
		if (!is_ip(text))
			return SETTINGS_ERR_IP;
		*(const char **)s->value = text;
		return SETTINGS_OK;
	case SETTING_IP_PORT:
		return settings_address(text, (int)s->min, s->value);
	case SETTING_IP_PORTS:
		return set_addresses(s, text);
	case SETTING_STRING:
		return set_string(s, text);
	case SETTING_WORD:
		return set_word(s, text);
	case SETTING_BOOL:
		return set_bool(s, text);
	}
	return SETTINGS_ERR_WORD;
}

const char *
settings_allowed(const struct setting *s, char *buf, size_t size)
{
	int i;

	switch (s->kind) {
	case SETTING_INTEGER:
		snprintf(buf, size, "an integer from %lld to %lld%s%s", s->min,
		    s->max, s->unit == NULL ? "" : " ",
		    s->unit == NULL ? "" : s->unit);
		break;
	case SETTING_IP:
		snprintf(buf, size, "an IP number");
		break;
	case SETTING_IP_PORT:
		snprintf(buf, size, "IP:PORT with a port from %lld to %d",
		    s->min, PORT_MAX);
		break;
	case SETTING_IP_PORTS:
		snprintf(buf, size,
		    "at most %zu of IP:PORT, separated by commas, with ports "
		    "from %lld to %d",
		    addresses_max(s), s->min, PORT_MAX);
		break;
	case SETTING_STRING:
		snprintf(buf, size, "%lld to %lld characters of %s", s->min,
		    s->max, s->chars == NULL ? "printable ASCII" : s->chars);
		break;
	case SETTING_WORD:
		strlcpy(buf, "one of", size);
		for (i = 0; s->words[i] != NULL; i++) {
			strlcat(buf, " ", size);
			strlcat(buf, s->words[i], size);
		}
		break;
	case SETTING_BOOL:
		snprintf(buf, size, "yes or no");
		break;
	}
	return buf;
}

static void
exit_invalid(const struct settings_options *o, const struct setting *s,
    const char *text, const char *reason)
{
	char allowed[TEXT_MAX], where[TEXT_MAX];

	settings_allowed(s, allowed, sizeof(allowed));
	if (s->env != NULL)
		snprintf(where, sizeof(where), "--%s or %s", s->name, s->env);
	else
		snprintf(where, sizeof(where), "--%s", s->name);
	if (text == NULL)
		fprintf(stderr, "%s: setting %s is missing: give %s by %s\n",
		    o->program, s->name, allowed, where);
	else
		fprintf(stderr, "%s: setting %s: \"%s\": %s: must be %s (%s)\n",
		    o->program, s->name, text, reason, allowed, where);
	exit(SETTINGS_EXIT);
}

/* Sets the value from the flag, the environment or the default. */
static void
load_setting(
    const struct settings_options *o, const struct setting *s, const char *flag)
{
	const char *text;
	enum settings_error error;

	text = flag;
	if (text == NULL && s->env != NULL) {
		text = getenv(s->env);
		if (text != NULL && *text == '\0')
			text = NULL;
	}
	if (text == NULL) {
		text = s->def;
		if (text == NULL)
			exit_invalid(o, s, NULL, NULL);
		/* An empty default bypasses the check: not set. */
		if (*text == '\0' &&
		    (s->kind == SETTING_STRING || s->kind == SETTING_IP)) {
			*(const char **)s->value = text;
			return;
		}
	}
	if ((error = settings_set(s, text)) != SETTINGS_OK)
		exit_invalid(o, s, text, settings_strerror(error));
}

static char *
make_help(const struct setting *s)
{
	char allowed[TEXT_MAX];
	char *text;
	int n;

	n = asprintf(&text, "%s: %s%s%s%s%s", s->help,
	    settings_allowed(s, allowed, sizeof(allowed)),
	    s->def == NULL	? "; required" :
		*s->def == '\0' ? "" :
				  "; default ",
	    s->def == NULL ? "" : s->def, s->env == NULL ? "" : "; ",
	    s->env == NULL ? "" : s->env);
	if (n == -1)
		err(1, "settings");
	return text;
}

static struct argp_option *
make_flags(const struct settings_options *o)
{
	struct argp_option *flags;
	size_t i;

	if ((flags = calloc(o->n + 1, sizeof(*flags))) == NULL)
		err(1, "settings");
	for (i = 0; i < o->n; i++) {
		flags[i].name = o->table[i].name;
		flags[i].key = KEY_BASE + (int)i;
		flags[i].arg =
		    o->table[i].unit == NULL ? "VALUE" : o->table[i].unit;
		if (o->table[i].kind == SETTING_BOOL)
			flags[i].flags = OPTION_ARG_OPTIONAL;
		flags[i].doc = make_help(&o->table[i]);
	}
	return flags;
}

static error_t
on_key(int key, char *arg, struct argp_state *state)
{
	struct parse *p;

	p = state->input;
	if (key == ARGP_KEY_ARGS) {
		p->args->at = state->argv + state->next;
		p->args->n = state->argc - state->next;
		state->next = state->argc;
		return 0;
	}
	if (key < KEY_BASE || key >= KEY_BASE + (int)p->options->n)
		return ARGP_ERR_UNKNOWN;
	p->texts[key - KEY_BASE] = arg != NULL ? arg : "yes";
	return 0;
}

void
settings_parse(const struct settings_options *o, int argc, char **argv,
    struct settings_args *args)
{
	static char version[TEXT_MAX];
	struct argp_option *flags;
	struct parse p;
	struct argp argp;
	size_t i;

	snprintf(version, sizeof(version), "%s " LAGOONPIN_VERSION, o->program);
	argp_program_version = version;
	argp_err_exit_status = SETTINGS_EXIT;
	memset(args, 0, sizeof(*args));
	memset(&argp, 0, sizeof(argp));
	p.options = o;
	p.args = args;
	if ((p.texts = calloc(o->n + 1, sizeof(*p.texts))) == NULL)
		err(1, "settings");
	flags = make_flags(o);
	argp.options = flags;
	argp.parser = on_key;
	argp.args_doc = o->args_doc;
	argp.doc = o->doc;
	argp_parse(&argp, argc, argv, o->stop_at_first_arg ? ARGP_IN_ORDER : 0,
	    NULL, &p);
	if (args->n < o->min_args || args->n > o->max_args) {
		fprintf(stderr, "%s: %s argument; usage: %s [OPTION...] %s\n",
		    o->program, args->n < o->min_args ? "missing" : "extra",
		    o->program, o->args_doc == NULL ? "" : o->args_doc);
		exit(SETTINGS_EXIT);
	}
	for (i = 0; i < o->n; i++)
		load_setting(o, &o->table[i], p.texts[i]);
	for (i = 0; i < o->n; i++)
		free((char *)flags[i].doc);
	free(flags);
	free(p.texts);
}

const char *
settings_address_text(
    const struct setting_address *address, char *buf, size_t size)
{
	bool v6;

	v6 = strchr(address->ip, ':') != NULL;
	snprintf(buf, size, "%s%s%s:%d", v6 ? "[" : "", address->ip,
	    v6 ? "]" : "", address->port);
	return buf;
}

const char *
settings_strerror(enum settings_error error)
{
	switch (error) {
	case SETTINGS_OK:
		return "no error";
	case SETTINGS_ERR_INTEGER:
		return "not an integer in the range";
	case SETTINGS_ERR_IP:
		return "not an IP number";
	case SETTINGS_ERR_ADDRESS:
		return "not an address";
	case SETTINGS_ERR_TOO_MANY:
		return "too many addresses";
	case SETTINGS_ERR_LENGTH:
		return "wrong length";
	case SETTINGS_ERR_CHARACTER:
		return "character not allowed";
	case SETTINGS_ERR_WORD:
		return "unknown word";
	}
	return "unknown error";
}

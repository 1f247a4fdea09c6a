#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Settings of a program: one table, read from flags (--name VALUE) and from
 * environment variables and validated at startup.  A flag takes precedence
 * over the environment; an empty variable counts as unset.
 */

#define SETTING_IP_SIZE 46 /* bytes of an IP number, including the NUL */
#define SETTING_ADDRESS_SIZE 56 /* of an address, including the NUL */
#define SETTING_ADDRESSES_MAX 32

/* An IP number and a port, such as 10.0.0.1:80 or [::1]:80. */
struct setting_address {
	char ip[SETTING_IP_SIZE];
	int port;
};

struct setting_addresses {
	size_t n;
	struct setting_address at[SETTING_ADDRESSES_MAX];
};

enum setting_kind {
	SETTING_INTEGER, /* value: int64_t; min and max in the unit */
	SETTING_IP, /* value: const char *, an IP number */
	SETTING_IP_PORT, /* value: struct setting_address; min: lowest port */
	/*
	 * value: struct setting_addresses, comma separated; min: lowest port,
	 * max: number of addresses, 0 for SETTING_ADDRESSES_MAX
	 */
	SETTING_IP_PORTS,
	SETTING_STRING, /* value: const char *; min and max are lengths */
	SETTING_WORD, /* value: int, the index in words */
	SETTING_BOOL /* value: bool; the flag alone means yes */
};

struct setting {
	const char *name; /* of the flag, without the dashes */
	const char *env; /* environment variable, or NULL */
	const char *help;
	const char *unit; /* such as "ms", or NULL */
	enum setting_kind kind;
	void *value; /* where to store the value, see setting_kind */
	long long min;
	long long max;
	const char *def; /* default; NULL: required, "": empty string or list */
	const char *chars; /* SETTING_STRING; NULL: printable ASCII */
	const char *const *words; /* SETTING_WORD: NULL-terminated */
};

struct settings_options {
	const char *program; /* shown in messages */
	const char *doc; /* summary for --help */
	const char *args_doc; /* such as "NAME [VALUE]", or NULL */
	struct setting *table;
	size_t n;
	/* Allowed number of positional arguments. */
	int min_args;
	int max_args;
	/* Stop parsing flags at the first positional argument. */
	bool stop_at_first_arg;
};

/* Positional arguments; they point into argv. */
struct settings_args {
	int n;
	char **at;
};

enum settings_error {
	SETTINGS_OK,
	SETTINGS_ERR_INTEGER, /* not a decimal integer in the range */
	SETTINGS_ERR_IP, /* not an IP number */
	SETTINGS_ERR_ADDRESS, /* not an IP number with a port */
	SETTINGS_ERR_TOO_MANY, /* more addresses than the list holds */
	SETTINGS_ERR_LENGTH,
	SETTINGS_ERR_CHARACTER,
	SETTINGS_ERR_WORD
};

/* Exit status for an invalid setting or a usage error. */
#define SETTINGS_EXIT 2

/*
 * Sets the table's values from argv and the environment.  On an invalid or
 * missing value, prints the setting, the value and the allowed values and
 * exits with SETTINGS_EXIT.  --help and --version exit with 0.  String values
 * point into argv, the environment or the table.
 */
void settings_parse(const struct settings_options *, int argc, char **argv,
    struct settings_args *args);

/* Validates the text and stores its value; on an error stores nothing. */
enum settings_error settings_set(const struct setting *, const char *text);

/*
 * Describes the allowed values, such as "an integer from 1 to 60000 ms".
 * Returns buf.
 */
const char *settings_allowed(const struct setting *, char *buf, size_t size);

/* Parses 10.0.0.1:80 or [::1]:80 with a port of at least min_port. */
enum settings_error settings_address(
    const char *text, int min_port, struct setting_address *);

/* Formats an address as IP:PORT, also valid in a URL.  Returns buf. */
const char *settings_address_text(
    const struct setting_address *, char *buf, size_t size);

const char *settings_strerror(enum settings_error);

#endif /* SETTINGS_H */

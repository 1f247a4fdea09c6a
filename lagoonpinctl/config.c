#include <string.h>

#include "ctl.h"
#include "record.h"

static bool record_path(
    struct ctl *, const char *, const struct settings_args *, char *);
static enum ctl_status bad_kind(struct ctl *);
static const char *kind_of(const struct settings_args *);

static enum ctl_status
bad_kind(struct ctl *ctl)
{
	fprintf(ctl->err,
	    "lagoonpinctl: expected service NAME, team NAME or policy\n");
	return CTL_USAGE;
}

static const char *
kind_of(const struct settings_args *args)
{
	enum record_kind kind;

	if (args->n == 0 || !record_kind_parse(args->at[0], &kind) ||
	    (kind != RECORD_POLICY && args->n < 2))
		return NULL;
	return args->at[0];
}

/* Without arguments, shows the revision in force at one entry and the records
 * that it refused; with a kind and a name, the record. */
enum ctl_status
config_get(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	struct settings_args rest = { args->n - 1, args->at + 1 };

	(void)noun;
	if (args->n > 0) {
		if (kind_of(args) == NULL)
			return bad_kind(ctl);
		return record_show(ctl, args->at[0], &rest);
	}
	return ctl_show(ctl, "/v1/config", NULL);
}

enum ctl_status
config_set(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	struct settings_args rest = { args->n - 1, args->at + 1 };

	(void)noun;
	if (kind_of(args) == NULL)
		return bad_kind(ctl);
	return record_set(ctl, args->at[0], &rest);
}

static bool
record_path(struct ctl *ctl, const char *prefix,
    const struct settings_args *args, char *path)
{
	const char *kind;

	if ((kind = kind_of(args)) == NULL) {
		bad_kind(ctl);
		return false;
	}
	if (args->n > 1 && !record_name_ok(args->at[1])) {
		bad_kind(ctl);
		return false;
	}
	snprintf(path, CTL_PATH_SIZE, "%s/%s%s%s", prefix, kind,
	    args->n > 1 ? "/" : "", args->n > 1 ? args->at[1] : "");
	return true;
}

enum ctl_status
config_history(
    struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE];

	(void)noun;
	if (!record_path(ctl, "/v1/config/history", args, path))
		return CTL_USAGE;
	return ctl_show(ctl, path, "changes");
}

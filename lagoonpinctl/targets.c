#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

static bool read_target(json_t *, struct ctl_target *);

const char *
ctl_url(
    const struct setting_address *a, const char *path, char *buf, size_t size)
{
	char address[SETTING_ADDRESS_SIZE];

	snprintf(buf, size, "http://%s%s",
	    settings_address_text(a, address, sizeof(address)), path);
	return buf;
}

static bool
read_target(json_t *entry, struct ctl_target *t)
{
	const char *id, *listen, *state;

	id = json_string_value(json_object_get(entry, "id"));
	listen = json_string_value(json_object_get(entry, "listen"));
	state = json_string_value(json_object_get(entry, "state"));
	if (id == NULL || listen == NULL)
		return false;
	if (state != NULL && strcmp(state, "gone") == 0)
		return false;
	strlcpy(t->id, id, sizeof(t->id));
	return settings_address(listen, 1, &t->address) == SETTINGS_OK;
}

size_t
ctl_targets(
    struct ctl *ctl, struct ctl_target **targets, enum ctl_status *status)
{
	json_t *body, *list, *entry;
	size_t i, n;

	*targets = NULL;
	if ((body = ctl_get(ctl, "/v1/entries", status)) == NULL)
		return 0;
	list = json_object_get(body, "entries");
	*targets = calloc(json_array_size(list) + 1, sizeof(**targets));
	if (*targets == NULL)
		err(CTL_REFUSED, "entries");
	n = 0;
	json_array_foreach(list, i, entry)
	{
		if (read_target(entry, &(*targets)[n]))
			n++;
	}
	json_decref(body);
	if (n == 0) {
		fprintf(ctl->err, "lagoonpinctl: no live entries\n");
		*status = CTL_UNREACHABLE;
	}
	return n;
}

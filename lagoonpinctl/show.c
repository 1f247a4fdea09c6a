#include "ctl.h"

enum ctl_status
ctl_show(struct ctl *ctl, const char *path, const char *list)
{
	enum ctl_status status;
	json_t *body;

	if ((body = ctl_get(ctl, path, &status)) == NULL)
		return status;
	if (ctl->opt.json)
		ctl_print_json(ctl->out, body);
	else if (list != NULL)
		ctl_print_table(ctl->out, json_object_get(body, list));
	else
		ctl_print_object(ctl->out, body);
	json_decref(body);
	return CTL_OK;
}

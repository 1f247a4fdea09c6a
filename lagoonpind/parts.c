#include "lagoonpind.h"

const struct module *const modules[] = {
	&vms_part,
	&conf_watch_part,
	&mesh_part,
	&lend_part,
	&batch_part,
	&callers_part,
	&operators_part,
};
const size_t nparts = sizeof(modules) / sizeof(modules[0]);

#include "lagoonpind.h"

const struct module *const modules[] = {
	&vms_module,
	&conf_watch_module,
	&mesh_module,
	&lend_module,
	&batch_module,
	&callers_module,
	&operators_module,
};
const size_t nmodules = sizeof(modules) / sizeof(modules[0]);

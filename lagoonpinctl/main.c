#include <err.h>

#include "ctl.h"

int
main(int argc, char **argv)
{
	struct ctl ctl = { .out = stdout, .err = stderr };
	enum ctl_status status;

	if (ctl_open(&ctl) == -1)
		errx(CTL_UNREACHABLE, "cannot create the event loop");
	status = ctl_main(&ctl, argc, argv);
	ctl_close(&ctl);
	return status;
}

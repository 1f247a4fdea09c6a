#include <stdbool.h>
#include <time.h>

#include "clock.h"

static int64_t read_ms(clockid_t);

static bool paused;
static int64_t paused_at_ms;

static int64_t
read_ms(clockid_t id)
{
	struct timespec ts;

	if (clock_gettime(id, &ts) == -1)
		return 0;
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
clock_now_ms(void)
{
	if (paused)
		return paused_at_ms;
	return read_ms(CLOCK_BOOTTIME);
}

void
clock_pause(int64_t now_ms)
{
	paused = true;
	paused_at_ms = now_ms;
}

void
clock_advance(int64_t step_ms)
{
	paused_at_ms += step_ms;
}

void
clock_resume(void)
{
	paused = false;
}

int64_t
clock_wall_ms(void)
{
	return read_ms(CLOCK_REALTIME);
}

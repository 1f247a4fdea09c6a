#include <string.h>

#include "confsync.h"

void
confsync_init(struct confsync *sync)
{
	memset(sync, 0, sizeof(*sync));
}

void
confsync_applied(struct confsync *sync, int64_t version)
{
	sync->version = version;
	if (!confsync_is_behind(sync))
		sync->behind_ms = 0;
}

void
confsync_confirmed(
    struct confsync *sync, enum confsync_source source, int64_t at_ms)
{
	if (sync->confirmed_by != CONFSYNC_NOBODY &&
	    at_ms <= sync->confirmed_ms)
		return;
	sync->confirmed_ms = at_ms;
	sync->confirmed_by = source;
}

void
confsync_peer_reported(struct confsync *sync, int64_t version, int64_t now_ms)
{
	if (version <= sync->peer_version)
		return;
	sync->peer_version = version;
	if (confsync_is_behind(sync) && sync->behind_ms == 0)
		sync->behind_ms = now_ms;
}

bool
confsync_is_behind(const struct confsync *sync)
{
	return sync->peer_version > sync->version;
}

int64_t
confsync_age_ms(const struct confsync *sync, int64_t now_ms)
{
	if (sync->confirmed_by == CONFSYNC_NOBODY)
		return -1;
	return now_ms - sync->confirmed_ms;
}

const char *
confsync_source_name(enum confsync_source source)
{
	switch (source) {
	case CONFSYNC_NOBODY:
		return "nobody";
	case CONFSYNC_STORE:
		return "store";
	}
	return "unknown";
}

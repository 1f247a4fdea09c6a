#include <string.h>

#include "confsync.h"

/* Peers of an older release don't answer: ask them less and less often. */
#define ASK_DOUBLINGS_MAX 3

void
confsync_init(struct confsync *sync)
{
	memset(sync, 0, sizeof(*sync));
	sync->read_wanted = true;
}

static void
update_behind(struct confsync *sync, int64_t now_ms)
{
	if (!confsync_is_behind(sync))
		sync->behind_ms = 0;
	else if (sync->behind_ms == 0)
		sync->behind_ms = now_ms;
}

void
confsync_applied(struct confsync *sync, int64_t version)
{
	sync->version = version;
	sync->asks = 0;
	if (version == sync->early_version)
		confirmation_note(
		    &sync->confirmed, CONFIRMED_BY_PEER, sync->early_ms);
	update_behind(sync, sync->reported_ms);
}

void
confsync_refused(struct confsync *sync, int64_t version)
{
	if (version > sync->invalid_version)
		sync->invalid_version = version;
	update_behind(sync, sync->reported_ms);
}

void
confsync_want_read(struct confsync *sync)
{
	sync->read_wanted = true;
}

void
confsync_read_begin(struct confsync *sync, int64_t now_ms)
{
	sync->read_wanted = false;
	sync->read_ms = now_ms;
}

void
confsync_read_failed(struct confsync *sync)
{
	sync->read_failed = true;
}

void
confsync_read_done(struct confsync *sync, bool usable)
{
	sync->read_failed = false;
	if (usable)
		confirmation_note(
		    &sync->confirmed, CONFIRMED_BY_STORE, sync->read_ms);
	/*
	 * The store had the peer's version when the read began, and the read
	 * didn't bring it: no further one will.
	 */
	if (confsync_is_behind(sync) && sync->read_ms > sync->reported_ms)
		confsync_refused(sync, sync->peer_version);
}

bool
confsync_peer_reported(struct confsync *sync, int64_t version, int64_t now_ms)
{
	if (version <= sync->peer_version)
		return false;
	sync->peer_version = version;
	sync->reported_ms = now_ms;
	update_behind(sync, now_ms);
	return true;
}

static void
keep_early_confirmation(struct confsync *sync, int64_t version, int64_t at_ms)
{
	if (version < sync->early_version ||
	    (version == sync->early_version && at_ms <= sync->early_ms))
		return;
	sync->early_version = version;
	sync->early_ms = at_ms;
}

void
confsync_peer_confirmed(struct confsync *sync, int64_t version, int64_t at_ms)
{
	if (version == sync->version)
		confirmation_note(&sync->confirmed, CONFIRMED_BY_PEER, at_ms);
	else if (version > sync->version)
		keep_early_confirmation(sync, version, at_ms);
}

bool
confsync_is_behind(const struct confsync *sync)
{
	return sync->peer_version > sync->version &&
	    sync->peer_version > sync->invalid_version;
}

int64_t
confsync_age_ms(const struct confsync *sync, int64_t now_ms)
{
	return confirmation_age_ms(&sync->confirmed, now_ms);
}

bool
confsync_is_fresh(const struct confsync *sync, int64_t max_ms, int64_t now_ms)
{
	return confirmation_is_fresh(&sync->confirmed, max_ms, now_ms);
}

bool
confsync_read_due(
    const struct confsync *sync, bool leads, bool watching, int64_t now_ms)
{
	int64_t interval_ms;
	bool fresh;

	if (sync->read_wanted)
		return true;
	fresh = confsync_is_fresh(sync, CONFSYNC_CONFIRM_MAX_MS - 1, now_ms);
	if (confsync_is_behind(sync) || sync->version == 0 ||
	    (!watching && !fresh))
		interval_ms = CONFSYNC_RETRY_MS;
	else if (leads || !watching || !fresh)
		interval_ms = CONFSYNC_READ_INTERVAL_MS;
	else
		return false;
	return now_ms - sync->read_ms >= interval_ms;
}

/* How long to wait for the peer that was asked last. */
static int64_t
ask_interval_ms(const struct confsync *sync)
{
	uint32_t doublings;

	if (sync->asks == 0)
		return 0;
	doublings = sync->asks - 1;
	if (doublings > ASK_DOUBLINGS_MAX)
		doublings = ASK_DOUBLINGS_MAX;
	return CONFSYNC_ASK_RETRY_MS << doublings;
}

bool
confsync_ask_due(const struct confsync *sync, int64_t now_ms)
{
	if (!confsync_is_behind(sync))
		return false;
	if (!sync->read_failed &&
	    now_ms - sync->behind_ms < CONFSYNC_ASK_DELAY_MS)
		return false;
	return now_ms - sync->asked_ms >= ask_interval_ms(sync);
}

void
confsync_ask_begin(struct confsync *sync, int64_t now_ms)
{
	sync->asked_ms = now_ms;
	sync->asks++;
}

int64_t
confsync_learn_max_ms(int64_t hello_ms, int64_t call_ms)
{
	return CONFSYNC_CONFIRM_MAX_MS + 2 * call_ms + 2 * hello_ms;
}

int64_t
confsync_spread_max_ms(int64_t hello_ms, int64_t heartbeat_ms)
{
	int64_t ask_ms;

	ask_ms = CONFSYNC_ASK_DELAY_MS + CONFSYNC_ASK_RETRY_MS;
	return hello_ms + ask_ms + heartbeat_ms + ask_ms;
}

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "claim.h"

static bool is_valid(const struct claim *, int64_t);
static void create(struct claim *);
static void refuse(struct claim *, enum claim_refusal);
static void grant(struct claim *, int64_t);
static void conflict(
    struct claim *, const struct claim_record *, int64_t now_ms);

int
claim_start(struct claim *c, const struct claim_options *o, int64_t now_ms)
{
	int len;

	memset(c, 0, sizeof(*c));
	if (strlcpy(c->id, o->id, sizeof(c->id)) >= sizeof(c->id))
		return -1;
	len = snprintf(c->nonce, sizeof(c->nonce), "%s/%" PRIu64 "/%" PRIu64,
	    o->entry, o->incarnation, o->sequence);
	if (len < 0 || (size_t)len >= sizeof(c->nonce))
		return -1;
	c->deadline_ms = o->deadline_ms;
	c->age_max_ms = o->age_max_ms;
	c->ops = o->ops;
	/* Set before the write: the record is never older than the claim. */
	c->asked_ms = now_ms;
	create(c);
	return 0;
}

static bool
is_valid(const struct claim *c, int64_t now_ms)
{
	return now_ms < c->deadline_ms && now_ms - c->asked_ms < c->age_max_ms;
}

static void
create(struct claim *c)
{
	c->state = CLAIM_CREATING;
	c->ops->create(c, c->ops->ctx);
}

static void
refuse(struct claim *c, enum claim_refusal reason)
{
	c->state = CLAIM_CLOSED;
	if (c->may_be_written)
		c->ops->settle(c, CLAIM_MARK_NOT_RUN, c->ops->ctx);
	c->ops->refused(c, reason, c->ops->ctx);
}

static void
grant(struct claim *c, int64_t now_ms)
{
	c->may_be_written = true;
	if (!is_valid(c, now_ms)) {
		refuse(c, CLAIM_REFUSED_EXPIRED);
		return;
	}
	c->state = CLAIM_GRANTED;
	c->ops->granted(c, c->ops->ctx);
}

/*
 * A record exists.  If it has this claim's nonce, it was written by an own
 * request that got no answer.  A record marked as not run may be replaced by
 * compare-and-swap on its revision, which succeeds for one entry only.
 */
static void
conflict(struct claim *c, const struct claim_record *r, int64_t now_ms)
{
	if (strcmp(r->nonce, c->nonce) == 0) {
		grant(c, now_ms);
		return;
	}
	if (r->mark != CLAIM_MARK_NOT_RUN) {
		c->may_be_written = false;
		refuse(c, CLAIM_REFUSED_DUPLICATE);
		return;
	}
	if (!is_valid(c, now_ms)) {
		refuse(c, CLAIM_REFUSED_EXPIRED);
		return;
	}
	c->state = CLAIM_REPLACING;
	c->ops->replace(c, r->revision, c->ops->ctx);
}

void
claim_store_answered(struct claim *c, enum claim_store_result result,
    const struct claim_record *r, int64_t now_ms)
{
	if (c->state == CLAIM_GRANTED || c->state == CLAIM_CLOSED)
		return;
	if (result == CLAIM_STORE_CONFLICT ||
	    (result == CLAIM_STORE_DONE && c->state == CLAIM_READING)) {
		conflict(c, r, now_ms);
		return;
	}
	if (result == CLAIM_STORE_DONE) {
		grant(c, now_ms);
		return;
	}
	/* A write without an answer may still take effect later. */
	if (result == CLAIM_STORE_NO_ANSWER)
		c->may_be_written = true;
	if (result == CLAIM_STORE_UNAVAILABLE) {
		refuse(c, CLAIM_REFUSED_STORE);
		return;
	}
	if (!is_valid(c, now_ms)) {
		refuse(c, CLAIM_REFUSED_EXPIRED);
		return;
	}
	if (result == CLAIM_STORE_ABSENT) {
		create(c);
		return;
	}
	/* No answer: a read shows whether the write took effect. */
	c->state = CLAIM_READING;
	c->ops->read(c, c->ops->ctx);
}

bool
claim_may_send(const struct claim *c, int64_t now_ms)
{
	return c->state == CLAIM_GRANTED && is_valid(c, now_ms);
}

void
claim_finish(struct claim *c, bool ran)
{
	if (c->state != CLAIM_GRANTED)
		return;
	c->state = CLAIM_CLOSED;
	c->ops->settle(
	    c, ran ? CLAIM_MARK_DONE : CLAIM_MARK_NOT_RUN, c->ops->ctx);
}

void
claim_abandon(struct claim *c)
{
	if (c->state == CLAIM_GRANTED || c->state == CLAIM_CLOSED)
		return;
	c->state = CLAIM_CLOSED;
	c->ops->settle(c, CLAIM_MARK_NOT_RUN, c->ops->ctx);
}

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "claim.h"
}

namespace {

constexpr int64_t DEADLINE_MS = 1000;
constexpr int64_t AGE_MAX_MS = 500;

struct Trace {
	std::string actions;
};

void
note(void *ctx, const char *what)
{
	static_cast<Trace *>(ctx)->actions += std::string(what) + " ";
}

claim_ops
ops_for(Trace *t)
{
	claim_ops ops = {};
	ops.create = [](claim *, void *ctx) { note(ctx, "create"); };
	ops.replace = [](claim *, int64_t, void *ctx) { note(ctx, "replace"); };
	ops.read = [](claim *, void *ctx) { note(ctx, "read"); };
	ops.settle = [](claim *, claim_mark m, void *ctx) {
		note(ctx, m == CLAIM_MARK_DONE ? "done" : "give_back");
	};
	ops.granted = [](claim *, void *ctx) { note(ctx, "granted"); };
	ops.refused = [](claim *, claim_refusal why, void *ctx) {
		const char *names[] = { "duplicate", "store", "late" };
		note(ctx, names[why]);
	};
	ops.ctx = t;
	return ops;
}

/*
 * One answer of the store.  Its record holds the nonce of this claim, or
 * another one.
 */
struct Answer {
	claim_store_result result;
	bool ours;
	claim_mark mark;
	int64_t now_ms;
};

struct Case {
	const char *name;
	std::vector<Answer> answers;
	const char *actions;
	bool may_send;
};

const Answer done = { CLAIM_STORE_DONE, true, CLAIM_MARK_OPEN, 10 };
const Answer no_answer = { CLAIM_STORE_NO_ANSWER, false, CLAIM_MARK_OPEN, 10 };
const Answer unavailable = { CLAIM_STORE_UNAVAILABLE, false, CLAIM_MARK_OPEN,
	10 };
const Answer absent = { CLAIM_STORE_ABSENT, false, CLAIM_MARK_OPEN, 10 };
const Answer ours = { CLAIM_STORE_CONFLICT, true, CLAIM_MARK_OPEN, 10 };
const Answer other = { CLAIM_STORE_CONFLICT, false, CLAIM_MARK_OPEN, 10 };
const Answer ended = { CLAIM_STORE_CONFLICT, false, CLAIM_MARK_DONE, 10 };
const Answer given_back = { CLAIM_STORE_CONFLICT, false, CLAIM_MARK_NOT_RUN,
	10 };
const Answer found_other = { CLAIM_STORE_DONE, false, CLAIM_MARK_OPEN, 10 };
const Answer done_old = { CLAIM_STORE_DONE, true, CLAIM_MARK_OPEN, 500 };
const Answer no_answer_old = { CLAIM_STORE_NO_ANSWER, false, CLAIM_MARK_OPEN,
	500 };

const Case cases[] = {
	{ "plain", { done }, "create granted ", true },
	{ "second", { other }, "create duplicate ", false },
	{ "second_after_end", { ended }, "create duplicate ", false },
	{ "own_write_seen_twice", { ours }, "create granted ", true },
	{ "lost_then_ours", { no_answer, done }, "create read granted ", true },
	{ "lost_then_other", { no_answer, found_other },
	    "create read duplicate ", false },
	{ "lost_then_absent", { no_answer, absent, done },
	    "create read create granted ", true },
	{ "given_back", { given_back, done }, "create replace granted ", true },
	{ "given_back_raced", { given_back, other },
	    "create replace duplicate ", false },
	{ "away", { unavailable }, "create store ", false },
	/* The write may have taken effect: release the id, best effort. */
	{ "lost_then_away", { no_answer, unavailable },
	    "create read give_back store ", false },
	{ "lost_absent_away", { no_answer, absent, unavailable },
	    "create read create give_back store ", false },
	{ "too_old", { done_old }, "create give_back late ", false },
	{ "lost_too_old", { no_answer_old }, "create give_back late ", false },
	{ "late_answer_ignored", { done, other }, "create granted ", true },
};

claim
start(const claim_ops *ops)
{
	claim c;
	claim_options o = {};
	o.id = "payout-1";
	o.entry = "e1";
	o.incarnation = 7;
	o.sequence = 3;
	o.deadline_ms = DEADLINE_MS;
	o.age_max_ms = AGE_MAX_MS;
	o.ops = ops;
	EXPECT_EQ(claim_start(&c, &o, 0), 0);
	EXPECT_STREQ(c.nonce, "e1/7/3");
	return c;
}

TEST(Claim, Table)
{
	for (const Case &k : cases) {
		SCOPED_TRACE(k.name);
		Trace t;
		claim_ops ops = ops_for(&t);
		claim c = start(&ops);
		for (const Answer &a : k.answers) {
			claim_record r = {};
			strlcpy(r.nonce, a.ours ? c.nonce : "e2/1/1",
			    sizeof(r.nonce));
			r.mark = a.mark;
			claim_store_answered(&c, a.result, &r, a.now_ms);
		}
		EXPECT_EQ(t.actions, k.actions);
		EXPECT_EQ(claim_may_send(&c, 10), k.may_send);
	}
}

/*
 * The entry claims an id and is paused before it sends the call.  When it
 * resumes, the record may have expired and another entry may have run the id; a
 * payout would be made twice.  An old claim must therefore not be sent.
 */
TEST(Claim, PausedAfterTheGrantMayNotSend)
{
	Trace t;
	claim_ops ops = ops_for(&t);
	claim c = start(&ops);
	claim_store_answered(&c, CLAIM_STORE_DONE, nullptr, 10);
	EXPECT_TRUE(claim_may_send(&c, AGE_MAX_MS - 1));
	EXPECT_FALSE(claim_may_send(&c, AGE_MAX_MS));
	claim_finish(&c, false);
	EXPECT_EQ(t.actions, "create granted give_back ");
	EXPECT_FALSE(claim_may_send(&c, 10));
}

TEST(Claim, AbandonedWhileAsking)
{
	Trace t;
	claim_ops ops = ops_for(&t);
	claim c = start(&ops);
	claim_abandon(&c);
	claim_store_answered(&c, CLAIM_STORE_DONE, nullptr, 10);
	EXPECT_EQ(t.actions, "create give_back ");
}

TEST(Claim, NamesThatAreTooLongAreRefused)
{
	Trace t;
	claim_ops ops = ops_for(&t);
	claim c;
	std::string longname(CLAIM_ID_MAX, 'x');
	claim_options o = {};
	o.entry = "e1";
	o.ops = &ops;
	o.id = longname.c_str();
	EXPECT_EQ(claim_start(&c, &o, 0), -1);
	o.id = "x";
	o.entry = longname.c_str();
	EXPECT_EQ(claim_start(&c, &o, 0), -1);
	EXPECT_EQ(t.actions, "");
}

} // namespace

/*
 * Explores every interleaving, up to a given depth, of three attempts at the
 * same non-idempotent request id on two entries.  The faults: the store's
 * answer is lost before or after the write takes effect, or the write takes
 * effect late; an entry dies, or is paused for longer than the lease of its
 * claim; an endpoint refuses, or its answer is lost.  The code under test is
 * core/claim.c itself.
 *
 * Time advances in units of a lease: one step makes every record expire and
 * every claim too old.  A request on the wire does not outlive a step, since
 * TCP gives up after minutes and the lease is a day.  An id is remembered for
 * one lease, so two runs are a violation only if no step lies between them.
 */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <unordered_set>
#include <vector>

#include <xxhash.h>

extern "C" {
#include "claim.h"
}

namespace {

constexpr int NATTEMPTS = 3;
constexpr int NENTRIES = 2;
constexpr int NDELAYED = 2;
constexpr int64_t LEASE_MS = 1000;
constexpr int64_t AGE_MAX_MS = 100;
constexpr int8_t NO_HOLDER = -1;

enum Op : int8_t { OP_NONE, OP_CREATE, OP_REPLACE, OP_READ };
enum Reply : int8_t { REPLY_NONE, REPLY_NOT_RUN, REPLY_UNKNOWN, REPLY_ANSWER };

struct Options {
	int depth = 0;
	bool faults = true;
	/*
	 * Start after an attempt of entry A that ended as not-run and released
	 * the id.
	 */
	bool released = false;
	bool skip_read_back = false;
	bool send_before_claim = false;
	bool no_age_check = false;
	bool blind_replace = false;
};

struct Attempt {
	claim c;
	int64_t op_revision;
	Op op;
	bool arrived, granted, on_wire, settle;
	claim_mark settle_mark;
	Reply reply;
	int8_t runs;
};

struct Delayed {
	int8_t attempt;
	Op op;
	int64_t revision;
};

/* Copied and hashed as bytes, so the only pointers are to the constant ops. */
struct State {
	Attempt a[NATTEMPTS];
	Delayed late[NDELAYED];
	int64_t now_ms, revision, written_ms;
	int8_t holder; /* attempt whose record is in the store */
	claim_mark mark;
	int8_t runs_now; /* since the last time step */
	int8_t deaths, steps;
	bool dead[NENTRIES];
};

int
entry_of(int attempt)
{
	return attempt % NENTRIES;
}

Attempt *
attempt_of(claim *c)
{
	return reinterpret_cast<Attempt *>(c);
}

void
set_request(claim *c, Op op, int64_t revision)
{
	attempt_of(c)->op = op;
	attempt_of(c)->op_revision = revision;
}

const claim_ops ops = {
	[](claim *c, void *) { set_request(c, OP_CREATE, 0); },
	[](claim *c, int64_t revision, void *) {
		set_request(c, OP_REPLACE, revision);
	},
	[](claim *c, void *) { set_request(c, OP_READ, 0); },
	[](claim *c, claim_mark mark, void *) {
		attempt_of(c)->settle = true;
		attempt_of(c)->settle_mark = mark;
	},
	[](claim *c, void *) { attempt_of(c)->granted = true; },
	[](claim *c, claim_refusal why, void *) {
		if (attempt_of(c)->reply == REPLY_NONE)
			attempt_of(c)->reply = why == CLAIM_REFUSED_DUPLICATE ?
			    REPLY_UNKNOWN :
			    REPLY_NOT_RUN;
	},
	nullptr,
};

class Model {
      public:
	explicit Model(const Options &options) : o(options)
	{
	}

	void explore();

	size_t states = 0;
	std::string violation;
	bool saw_run = false, saw_duplicate = false, saw_reclaim = false;
	bool saw_quiescent = false;
	int quiescent_runs_min = 99, quiescent_runs_max = 0;

      private:
	void successors(const State &w);
	void arrive(State *w, int i);
	void attempt_events(const State &w, int i);
	void store_events(const State &w, int i);
	void wire_events(const State &w, int i);
	void environment_events(const State &w);
	void add(const State &w);
	bool apply(State *w, int i, Op op, int64_t revision);
	void answer(State *w, int i, claim_store_result result);
	void deliver(State *w, int i);
	void delay(State *w, int i);
	void check(const State &w);

	Options o;
	std::unordered_set<uint64_t> seen;
	std::vector<State> next;
	size_t added = 0;
	bool last_step = false;
};

/* Carry out a write.  Returns false if the store holds another record. */
bool
Model::apply(State *w, int i, Op op, int64_t revision)
{
	bool free = op == OP_CREATE ? w->holder == NO_HOLDER :
				      w->holder != NO_HOLDER &&
		(w->revision == revision || o.blind_replace);
	if (!free)
		return false;
	if (op == OP_REPLACE)
		saw_reclaim = true;
	w->holder = static_cast<int8_t>(i);
	w->mark = CLAIM_MARK_OPEN;
	w->written_ms = w->now_ms;
	w->revision++;
	return true;
}

void
Model::answer(State *w, int i, claim_store_result result)
{
	claim_record r = {};
	if (result == CLAIM_STORE_NO_ANSWER && o.skip_read_back)
		result = CLAIM_STORE_DONE;
	if (w->holder != NO_HOLDER) {
		memcpy(r.nonce, w->a[w->holder].c.nonce, sizeof(r.nonce));
		r.mark = w->mark;
		r.revision = w->revision;
	}
	w->a[i].op = OP_NONE;
	claim_store_answered(&w->a[i].c, result, &r, w->now_ms);
}

void
Model::deliver(State *w, int i)
{
	Attempt &a = w->a[i];
	claim_store_result result;

	if (a.op == OP_READ)
		result = w->holder == NO_HOLDER ? CLAIM_STORE_ABSENT :
						  CLAIM_STORE_DONE;
	else if (apply(w, i, a.op, a.op_revision))
		result = CLAIM_STORE_DONE;
	else
		result = w->holder == NO_HOLDER ? CLAIM_STORE_ABSENT :
						  CLAIM_STORE_CONFLICT;
	answer(w, i, result);
}

/* Delay the write, to take effect later or never. */
void
Model::delay(State *w, int i)
{
	for (Delayed &d : w->late) {
		if (d.op != OP_NONE)
			continue;
		d.attempt = static_cast<int8_t>(i);
		d.op = w->a[i].op;
		d.revision = w->a[i].op_revision;
		return;
	}
}

void
Model::check(const State &w)
{
	if (w.runs_now > 1)
		violation = "the id ran twice";
	for (const Attempt &a : w.a) {
		if (a.runs > 0 && a.reply == REPLY_NOT_RUN)
			violation =
			    "an attempt that ran was reported as not-run";
		saw_run |= a.runs > 0;
		saw_duplicate |= a.reply == REPLY_UNKNOWN && a.runs == 0;
	}
}

void
Model::add(const State &w)
{
	added++;
	check(w);
	/* States of the last level are checked but not expanded. */
	if (!last_step && seen.insert(XXH3_64bits(&w, sizeof(w))).second)
		next.push_back(w);
}

void
Model::store_events(const State &w, int i)
{
	const Attempt &a = w.a[i];
	State n;

	if (a.op == OP_NONE)
		return;
	n = w;
	deliver(&n, i);
	add(n);
	if (!o.faults)
		return;
	n = w;
	answer(&n, i, CLAIM_STORE_UNAVAILABLE);
	add(n);
	n = w;
	answer(&n, i, CLAIM_STORE_NO_ANSWER);
	add(n);
	if (a.op == OP_READ)
		return;
	n = w;
	apply(&n, i, a.op, a.op_revision);
	answer(&n, i, CLAIM_STORE_NO_ANSWER);
	add(n);
	n = w;
	delay(&n, i);
	answer(&n, i, CLAIM_STORE_NO_ANSWER);
	add(n);
}

/* The request being sent, and the reaction of the endpoint. */
void
Model::wire_events(const State &w, int i)
{
	const Attempt &a = w.a[i];
	State n = w;
	Attempt &b = n.a[i];

	if (a.granted && a.reply == REPLY_NONE && !a.on_wire &&
	    !w.dead[entry_of(i)]) {
		b.granted = false;
		if (o.no_age_check || o.send_before_claim ||
		    claim_may_send(&b.c, w.now_ms)) {
			b.on_wire = true;
		} else {
			b.reply = REPLY_NOT_RUN;
			claim_finish(&b.c, false);
		}
		add(n);
	}
	if (!a.on_wire)
		return;
	n = w;
	b.on_wire = false;
	b.runs++;
	n.runs_now++;
	if (a.reply == REPLY_NONE && !w.dead[entry_of(i)]) {
		b.reply = REPLY_ANSWER;
		claim_finish(&b.c, true);
	}
	add(n);
	if (!o.faults || a.reply != REPLY_NONE || w.dead[entry_of(i)])
		return;
	/* The attempt ends with the request still on the wire. */
	n = w;
	b.reply = REPLY_UNKNOWN;
	claim_finish(&b.c, true);
	add(n);
	/* The endpoint refuses and another one is tried. */
	n = w;
	b.on_wire = false;
	b.granted = true;
	add(n);
}

void
Model::arrive(State *w, int i)
{
	Attempt &a = w->a[i];
	claim_options co = {};
	const char *names[NENTRIES] = { "A", "B" };

	co.id = "payout-1";
	co.entry = names[entry_of(i)];
	co.incarnation = 1;
	co.sequence = static_cast<uint64_t>(i);
	co.deadline_ms = INT64_MAX;
	co.age_max_ms = AGE_MAX_MS;
	co.ops = &ops;
	a.arrived = true;
	claim_start(&a.c, &co, w->now_ms);
	a.granted = o.send_before_claim;
}

void
Model::attempt_events(const State &w, int i)
{
	const Attempt &a = w.a[i];
	State n = w;
	Attempt &b = n.a[i];

	if (w.dead[entry_of(i)])
		return;
	if (!a.arrived) {
		arrive(&n, i);
		add(n);
		return;
	}
	/* The deadline passes before the request is sent. */
	if (o.faults && a.reply == REPLY_NONE && !a.on_wire && a.runs == 0) {
		claim_abandon(&b.c);
		claim_finish(&b.c, false);
		b.reply = REPLY_NOT_RUN;
		b.granted = false;
		add(n);
	}
}

void
Model::environment_events(const State &w)
{
	State n;

	for (int j = 0; o.faults && j < NDELAYED; j++) {
		if (w.late[j].op == OP_NONE)
			continue;
		n = w;
		apply(&n, w.late[j].attempt, w.late[j].op, w.late[j].revision);
		memset(&n.late[j], 0, sizeof(n.late[j]));
		add(n);
	}
	for (int e = 0; o.faults && w.deaths == 0 && e < NENTRIES; e++) {
		n = w;
		n.dead[e] = true;
		n.deaths++;
		for (int i = e; i < NATTEMPTS; i += NENTRIES) {
			if (n.a[i].op == OP_CREATE || n.a[i].op == OP_REPLACE)
				delay(&n, i);
			n.a[i].op = OP_NONE;
		}
		add(n);
	}
	if (o.faults && w.steps == 0) {
		n = w;
		n.steps++;
		n.now_ms += LEASE_MS;
		n.runs_now = 0;
		if (n.holder != NO_HOLDER) {
			n.holder = NO_HOLDER;
			n.mark = CLAIM_MARK_OPEN;
		}
		for (Attempt &a : n.a)
			a.on_wire = false;
		add(n);
	}
}

void
Model::successors(const State &w)
{
	State n;

	added = 0;
	for (int i = 0; i < NATTEMPTS; i++) {
		attempt_events(w, i);
		store_events(w, i);
		wire_events(w, i);
		if (!w.a[i].settle)
			continue;
		n = w;
		n.a[i].settle = false;
		if (n.holder == i && n.mark == CLAIM_MARK_OPEN) {
			n.mark = w.a[i].settle_mark;
			n.revision++;
		}
		add(n);
		if (o.faults) {
			n = w;
			n.a[i].settle = false;
			add(n);
		}
	}
	environment_events(w);
	if (added > 0)
		return;
	int runs = 0;
	for (const Attempt &a : w.a)
		runs += a.runs;
	saw_quiescent = true;
	quiescent_runs_min = std::min(quiescent_runs_min, runs);
	quiescent_runs_max = std::max(quiescent_runs_max, runs);
}

void
Model::explore()
{
	State w;

	memset(&w, 0, sizeof(w));
	w.holder = NO_HOLDER;
	if (o.released) {
		arrive(&w, 0);
		deliver(&w, 0);
		claim_finish(&w.a[0].c, false);
		w.a[0].granted = w.a[0].settle = false;
		w.a[0].reply = REPLY_NOT_RUN;
		w.mark = CLAIM_MARK_NOT_RUN;
		w.revision++;
	}
	add(w);
	for (int d = 0; d < o.depth && violation.empty(); d++) {
		std::vector<State> level;
		last_step = d + 1 == o.depth;
		level.swap(next);
		states += level.size();
		for (const State &v : level) {
			successors(v);
			if (!violation.empty())
				break;
		}
	}
	std::cout << (o.released ? "released first, " : "") << "depth "
		  << o.depth << ", states " << states << ", "
		  << (violation.empty() ? "holds" : violation) << std::endl;
}

constexpr int DEPTH = 11;

TEST(ClaimModel, AtMostOnceAndNotRunIsTrue)
{
	bool saw_run = false, saw_duplicate = false, saw_reclaim = false;

	for (bool released : { false, true }) {
		Options o;
		o.depth = DEPTH;
		o.released = released;
		Model m(o);
		m.explore();
		EXPECT_EQ(m.violation, "");
		saw_run |= m.saw_run;
		saw_duplicate |= m.saw_duplicate;
		saw_reclaim |= m.saw_reclaim;
	}
	/* Check that the search reached the relevant cases. */
	EXPECT_TRUE(saw_run);
	EXPECT_TRUE(saw_duplicate);
	EXPECT_TRUE(saw_reclaim);
}

/* Without faults exactly one attempt runs, in any order of events. */
TEST(ClaimModel, WithoutFaultsItRunsOnce)
{
	Options o;
	o.depth = 30;
	o.faults = false;
	Model m(o);
	m.explore();
	EXPECT_EQ(m.violation, "");
	EXPECT_TRUE(m.saw_quiescent);
	EXPECT_EQ(m.quiescent_runs_min, 1);
	EXPECT_EQ(m.quiescent_runs_max, 1);
}

struct Break {
	const char *name;
	bool Options::*flag;
};

const Break breaks[] = {
	{ "no answer taken as success", &Options::skip_read_back },
	{ "sent before the claim", &Options::send_before_claim },
	{ "age not checked before sending", &Options::no_age_check },
	{ "released id replaced without comparison", &Options::blind_replace },
};

TEST(ClaimModel, EachBreakIsCaught)
{
	for (const Break &b : breaks) {
		std::string found;
		for (bool released : { false, true }) {
			Options o;
			o.depth = DEPTH;
			o.released = released;
			o.*b.flag = true;
			if (o.blind_replace && !released)
				continue; /* there is no record to replace */
			Model m(o);
			std::cout << b.name << ": ";
			m.explore();
			found += m.violation;
		}
		EXPECT_NE(found, "") << b.name;
	}
}

} // namespace

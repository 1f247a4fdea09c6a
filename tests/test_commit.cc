#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "commit.h"
#include "counter.h"
}

namespace {

const int64_t COMMIT_MS = 50;

/* What happens to one transaction between the client and the store. */
enum Delivery {
	ANSWERED,
	NOT_SENT, /* certainly not applied */
	LOST_BEFORE, /* outcome unknown; never applied */
	LOST_AFTER, /* outcome unknown; applied immediately */
	LATE, /* outcome unknown; applied after the next transaction */
	VERY_LATE, /* outcome unknown; applied at the end of the run */
	REFUSED,
	DELIVERIES
};

struct Write {
	std::string key;
	std::string value;
	int64_t revision;
};

/* Copy of a transaction in transit. */
struct Sent {
	std::vector<std::pair<std::string, int64_t>> compares;
	std::vector<std::pair<std::string, std::string>> puts;
	std::vector<std::string> deletes;
	std::vector<std::string> gets, failure_gets;
};

struct Outcome {
	std::string key;
	std::string value;
	int done = 0;
	enum commit_outcome outcome = COMMIT_UNKNOWN;
	enum store_error error = STORE_OK;
	int64_t revision = 0;
	std::string current;
	bool may_have_been_applied = false;
};

/* Model of the store and the network; each transaction is delivered as the
 * list says. */
class Model {
      public:
	explicit Model(std::vector<Delivery> list) : deliveries(std::move(list))
	{
		struct commit_options o = {};

		o.commit_ms = COMMIT_MS;
		o.read_back_ms = 10;
		o.read_back_max_ms = 40;
		o.max_ops = 4;
		o.send = send;
		o.ctx = this;
		commit = commit_open(&o);
	}

	~Model()
	{
		commit_close(commit);
	}

	int64_t
	mod_revision(const std::string &key)
	{
		return keys.count(key) ? keys[key].second : 0;
	}

	void
	write(const std::string &key, const std::string &value)
	{
		keys[key] = { value, revision };
		history.push_back({ key, value, revision });
	}

	Outcome &
	put(const std::string &key, const std::string &value, int64_t expected,
	    const char *also_delete = nullptr)
	{
		struct store_op also = { STORE_DELETE, also_delete, NULL, 0,
			0 };
		struct commit_request p = {};

		outcomes.push_back(std::make_unique<Outcome>());
		Outcome &o = *outcomes.back();
		o.key = key;
		o.value = value;
		p.key = key.c_str();
		p.expected = expected;
		p.value = value.data();
		p.len = value.size();
		p.also = &also;
		p.nalso = also_delete != nullptr ? 1 : 0;
		p.done = done;
		p.ctx = &o;
		EXPECT_EQ(commit_put(commit, &p, now_ms), STORE_OK);
		return o;
	}

	/* Delivers the pending response, or else advances the time by 1 ms. */
	void
	step()
	{
		if (answer_due) {
			answer_due = false;
			answer();
			return;
		}
		now_ms++;
		commit_tick(commit, now_ms);
	}

	void
	run()
	{
		for (int i = 0; i < 5000 && commit_pending(commit) > 0; i++)
			step();
		EXPECT_EQ(commit_pending(commit), 0U);
		for (auto &s : late)
			apply(s.second);
	}

	std::vector<Delivery> deliveries;
	size_t sends = 0;
	size_t competing_before = SIZE_MAX; /* transaction that it precedes */
	struct commit *commit;
	int64_t now_ms = 1000;
	int64_t revision = 1;
	std::map<std::string, std::pair<std::string, int64_t>> keys;
	std::vector<Write> history;
	std::vector<std::unique_ptr<Outcome>> outcomes;
	std::vector<Sent> all_sent;

      private:
	static void
	done(const struct commit_result *r, void *ctx)
	{
		auto *o = (Outcome *)ctx;

		o->done++;
		o->outcome = r->outcome;
		o->error = r->error;
		o->revision = r->mod_revision;
		o->may_have_been_applied = r->may_have_been_applied;
		if (r->current != NULL)
			o->current = r->current->value;
	}

	static enum store_error
	send(const struct store_txn_request *txn, void *ctx)
	{
		auto *m = (Model *)ctx;

		EXPECT_FALSE(m->answer_due) << "two transactions at a time";
		EXPECT_GE(m->now_ms, m->last_send_ms + COMMIT_MS);
		m->last_send_ms = m->now_ms;
		m->in_flight = copy(txn);
		m->all_sent.push_back(m->in_flight);
		m->check_order();
		m->answer_due = true;
		return STORE_OK;
	}

	static Sent
	copy(const struct store_txn_request *txn)
	{
		Sent s;

		EXPECT_LE(txn->nsuccess, 4U);
		for (size_t i = 0; i < txn->ncompares; i++)
			s.compares.emplace_back(
			    txn->compares[i].key, txn->compares[i].number);
		for (size_t i = 0; i < txn->nsuccess; i++) {
			const struct store_op &op = txn->success[i];
			if (op.kind == STORE_PUT)
				s.puts.emplace_back(op.key,
				    std::string(
					(const char *)op.value, op.len));
			else if (op.kind == STORE_DELETE)
				s.deletes.emplace_back(op.key);
			else
				s.gets.emplace_back(op.key);
		}
		for (size_t i = 0; i < txn->nfailure; i++)
			s.failure_gets.emplace_back(txn->failure[i].key);
		return s;
	}

	/* A put is sent only after all earlier puts to its key have ended. */
	void
	check_order()
	{
		for (auto &p : in_flight.puts) {
			for (auto &o : outcomes) {
				if (o->key != p.first)
					continue;
				if (o->value == p.second)
					break;
				EXPECT_EQ(o->done, 1)
				    << p.second << " overtook " << o->value;
			}
		}
	}

	bool
	apply(const Sent &s)
	{
		for (auto &c : s.compares)
			if (mod_revision(c.first) != c.second)
				return false;
		if (!s.puts.empty() || !s.deletes.empty())
			revision++;
		for (auto &p : s.puts)
			write(p.first, p.second);
		for (auto &d : s.deletes)
			keys.erase(d);
		return true;
	}

	void
	answer()
	{
		Delivery delivery =
		    sends < deliveries.size() ? deliveries[sends] : ANSWERED;
		struct store_txn_result r = {};
		std::vector<struct store_kv> kvs;
		std::vector<struct store_op_result> ops;
		Sent s = in_flight;

		if (sends == competing_before) {
			revision++;
			write("a", "rival");
		}
		sends++;
		switch (delivery) {
		case ANSWERED:
			r.succeeded = apply(s);
			fill(r.succeeded ? s.gets : s.failure_gets, kvs, ops);
			r.nops = ops.size();
			r.ops = ops.data();
			r.revision = revision;
			break;
		case NOT_SENT:
			r.error = STORE_ERR_UNAVAILABLE;
			break;
		case LOST_BEFORE:
			r.error = STORE_ERR_UNKNOWN;
			break;
		case LOST_AFTER:
			apply(s);
			r.error = STORE_ERR_UNKNOWN;
			break;
		case LATE:
		case VERY_LATE:
			r.error = STORE_ERR_UNKNOWN;
			break;
		case REFUSED:
		case DELIVERIES:
			r.error = STORE_ERR_REFUSED;
			break;
		}
		for (size_t i = 0; i < late.size(); i++) {
			if (late[i].first) {
				apply(late[i].second);
				late.erase(late.begin() + (long)i--);
			}
		}
		if (delivery == LATE || delivery == VERY_LATE)
			late.emplace_back(delivery == LATE, s);
		commit_answer(commit, &r, now_ms);
	}

	void
	fill(const std::vector<std::string> &gets,
	    std::vector<struct store_kv> &kvs,
	    std::vector<struct store_op_result> &ops)
	{
		kvs.reserve(gets.size());
		for (auto &key : gets) {
			struct store_op_result op = {};
			if (keys.count(key)) {
				struct store_kv kv = {};
				kv.key = key.c_str();
				kv.value = keys[key].first.c_str();
				kv.len = keys[key].first.size();
				kv.mod_revision = keys[key].second;
				kvs.push_back(kv);
				op.kvs = &kvs.back();
				op.nkvs = 1;
			}
			ops.push_back(op);
		}
	}

	bool answer_due = false;
	int64_t last_send_ms = 0;
	Sent in_flight;
	std::vector<std::pair<bool, Sent>> late;
};

std::string
describe(const Model &m)
{
	std::string s = "fates";

	for (Delivery f : m.deliveries)
		s += " " + std::to_string(f);
	return s + " competing write before " +
	    std::to_string((long)m.competing_before);
}

/* Compares the results reported to callers with the store's history. */
void
check_outcomes(const Model &m)
{
	for (auto &o : m.outcomes) {
		size_t times = 0;
		int64_t at = 0;

		for (auto &w : m.history) {
			if (w.key == o->key && w.value == o->value) {
				times++;
				at = w.revision;
			}
		}
		EXPECT_EQ(o->done, 1) << o->value;
		EXPECT_LE(times, 1U) << o->value << " was written twice";
		if (o->outcome == COMMIT_WRITTEN) {
			EXPECT_EQ(times, 1U) << o->value;
			EXPECT_EQ(o->revision, at) << o->value;
		} else if (o->outcome == COMMIT_UNKNOWN) {
			/* Correct only if a later transaction was refused. */
			EXPECT_EQ(std::count(m.deliveries.begin() + 1,
				      m.deliveries.end(), REFUSED) > 0,
			    true);
		} else if (o->outcome == COMMIT_NOT_WRITTEN ||
		    !o->may_have_been_applied) {
			EXPECT_EQ(times, 0U) << o->value;
		}
	}
}

/*
 * Four puts are queued: a new key together with the deletion of its inbox
 * item, a key with a stale expected revision, a second put to the first key,
 * and another key.  Each of the first transactions is answered, not sent,
 * lost before or after it is applied, applied late, or refused, in every
 * combination; a competing writer may write the first key at any point.  In
 * every sequence each caller gets exactly one result, which is still correct
 * after the last delayed transaction is applied.  A put reported as not
 * written but applied later would run a task that was given up.
 */
TEST(Commit, every_sequence_of_lost_answers_ends_true)
{
	const size_t depth = 5;
	size_t sequences = 1;

	for (size_t i = 0; i < depth; i++)
		sequences *= DELIVERIES;
	for (size_t competing = 0; competing <= depth; competing++) {
		for (size_t n = 0; n < sequences && !HasFailure(); n++) {
			std::vector<Delivery> deliveries;
			for (size_t i = 0, rest = n; i < depth; i++) {
				deliveries.push_back(
				    (Delivery)(rest % DELIVERIES));
				rest /= DELIVERIES;
			}
			Model m(deliveries);
			m.competing_before =
			    competing < depth ? competing : SIZE_MAX;
			SCOPED_TRACE(describe(m));
			m.write("b", "b0");
			m.write("inbox", "item");
			Outcome &a = m.put("a", "a1", 0, "inbox");
			m.put("b", "b1", 99);
			m.put("a", "a2", 2);
			m.put("c", "c1", 0);
			m.run();
			check_outcomes(m);
			bool a_stood = false;
			for (auto &w : m.history)
				a_stood = a_stood || w.value == "a1";
			EXPECT_EQ(m.keys.count("inbox"), a_stood ? 0U : 1U);
			if (a.outcome == COMMIT_WRITTEN) {
				EXPECT_TRUE(a_stood);
			}
		}
	}
}

TEST(Commit, groups_puts_and_splits_off_the_conflict)
{
	Model m({});

	m.write("b", "b0");
	Outcome &a = m.put("a", "a1", 0);
	Outcome &b = m.put("b", "b1", 7);
	Outcome &c = m.put("c", "c1", 0);
	m.run();
	EXPECT_EQ(a.outcome, COMMIT_WRITTEN);
	EXPECT_EQ(b.outcome, COMMIT_CONFLICT);
	EXPECT_EQ(b.current, "b0");
	EXPECT_FALSE(b.may_have_been_applied);
	EXPECT_EQ(c.outcome, COMMIT_WRITTEN);
	EXPECT_EQ(m.sends, 2U);
}

TEST(Commit, first_put_goes_at_once_and_the_pace_holds)
{
	Model m({});

	Outcome &a = m.put("a", "a1", 0);
	int64_t start_ms = m.now_ms;
	while (a.done == 0)
		m.step();
	EXPECT_LE(m.now_ms, start_ms + 1);
	for (int i = 0; i < 6; i++)
		m.put("k" + std::to_string(i), "v", 0);
	m.run();
	EXPECT_EQ(m.sends, 3U);
	EXPECT_EQ(m.all_sent[1].puts.size(), 4U);
	EXPECT_EQ(m.all_sent[2].puts.size(), 2U);
}

TEST(Commit, refused_transaction_is_taken_apart)
{
	Model m({ REFUSED, REFUSED });

	Outcome &a = m.put("a", "a1", 0);
	Outcome &b = m.put("b", "b1", 0);
	m.run();
	EXPECT_EQ(a.outcome, COMMIT_NOT_WRITTEN);
	EXPECT_EQ(a.error, STORE_ERR_REFUSED);
	EXPECT_EQ(b.outcome, COMMIT_WRITTEN);
}

TEST(Commit, close_tells_what_is_certain)
{
	Model m({});

	Outcome &sent = m.put("a", "a1", 0);
	Outcome &behind = m.put("a", "a2", 0);
	m.step();
	EXPECT_TRUE(commit_is_pending(m.commit, "a"));
	EXPECT_FALSE(commit_is_pending(m.commit, "b"));
	commit_close(m.commit);
	EXPECT_EQ(sent.outcome, COMMIT_UNKNOWN);
	EXPECT_EQ(behind.outcome, COMMIT_NOT_WRITTEN);
	EXPECT_EQ(sent.done + behind.done, 2);
	m.step();
	m.commit = nullptr;
}

TEST(Commit, refuses_what_can_not_go_out)
{
	struct store_op also[4] = {};
	struct commit_options o = {};
	struct commit_request p = {};
	struct commit *c;

	o.max_ops = 4;
	o.max_queued = 1;
	c = commit_open(&o);
	p.key = "a";
	p.value = "";
	p.done = [](const struct commit_result *, void *) {};
	p.also = also;
	p.nalso = 4;
	EXPECT_EQ(commit_put(c, &p, 0), STORE_ERR_REFUSED);
	p.nalso = 0;
	EXPECT_EQ(commit_put(c, &p, 0), STORE_OK);
	EXPECT_EQ(commit_put(c, &p, 0), STORE_ERR_BUDGET);
	commit_close(c);
}

} // namespace

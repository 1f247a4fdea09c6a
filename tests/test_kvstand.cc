#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "kvstand/fault.h"
#include "kvstand/kvs.h"
#include "kvstand/lease.h"
#include "kvstand/watch.h"
}

namespace {

struct kvs_bytes
bytes(const std::string &s)
{
	return { s.data(), s.size() };
}

class Kvs : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		open(0);
	}

	void
	TearDown() override
	{
		kvs_close(kvs_);
	}

	void
	open(size_t history_max)
	{
		struct kvs_options o = {};

		kvs_close(kvs_);
		o.history_max = history_max;
		o.lease_lives = [](int64_t lease, void *) {
			return lease == 5;
		};
		o.committed = [](int64_t, void *ctx) {
			auto *t = (Kvs *)ctx;
			if (t->watches_ != nullptr)
				watches_flush(t->watches_);
		};
		o.ctx = this;
		kvs_ = kvs_open(&o);
	}

	struct Op {
		enum kvs_op_kind kind;
		std::string key;
		std::string value;
		std::string end = "";
		int64_t lease = 0;
	};

	static std::vector<struct kvs_op>
	ops(const std::vector<Op> &list)
	{
		std::vector<struct kvs_op> out;

		for (auto &op : list) {
			struct kvs_op o = {};
			o.kind = op.kind;
			o.span = { bytes(op.key), bytes(op.end) };
			o.value = bytes(op.value);
			o.lease = op.lease;
			out.push_back(o);
		}
		return out;
	}

	enum kvs_error
	run(const std::vector<Op> &success,
	    const std::vector<struct kvs_compare> &compares = {},
	    bool *succeeded = nullptr)
	{
		std::vector<struct kvs_op> list = ops(success);
		struct kvs_request txn = {};
		enum kvs_error error;

		txn.compares = compares.data();
		txn.ncompares = compares.size();
		txn.success = list.data();
		txn.nsuccess = list.size();
		error = kvs_txn(kvs_, &txn);
		for (auto &o : list)
			kvs_list_free(&o.found);
		if (succeeded != nullptr)
			*succeeded = txn.succeeded;
		return error;
	}

	/* Keys and values of a range, as "a=1 b=2". */
	std::string
	range(const std::string &key, const std::string &end = "",
	    int64_t revision = 0, enum kvs_error expected = KVS_OK)
	{
		struct kvs_span span = { bytes(key), bytes(end) };
		struct kvs_list list;
		std::string out;

		EXPECT_EQ(kvs_range(kvs_, &span, revision, 0, &list), expected);
		for (size_t i = 0; i < list.n; i++) {
			const struct kvs_kv *kv = list.kvs[i];
			out += (out.empty() ? "" : " ") +
			    std::string(kv->key.data, kv->key.len) + "=" +
			    std::string(kv->value.data, kv->value.len);
		}
		kvs_list_free(&list);
		return out;
	}

	struct kvs *kvs_ = nullptr;
	struct watches *watches_ = nullptr;
};

TEST_F(Kvs, every_revision_can_be_read)
{
	run({ { KVS_PUT, "a", "1" }, { KVS_PUT, "b", "1" } });
	run({ { KVS_PUT, "a", "2" } });
	run({ { KVS_DELETE, "a", "" } });
	run({ { KVS_RANGE, "a", "" } });
	run({ { KVS_PUT, "a", "3" } });
	EXPECT_EQ(kvs_revision(kvs_), 5);
	EXPECT_EQ(range("a", "c", 1), "");
	EXPECT_EQ(range("a", "c", 2), "a=1 b=1");
	EXPECT_EQ(range("a", "c", 3), "a=2 b=1");
	EXPECT_EQ(range("a", "c", 4), "b=1");
	EXPECT_EQ(range("a", "c"), "a=3 b=1");
	EXPECT_EQ(range("b", std::string(1, '\0')), "b=1");
	EXPECT_EQ(range("a", "", 6, KVS_ERR_FUTURE), "");
}

TEST_F(Kvs, compares_hold_as_the_protocol_says)
{
	std::string key = "a", none = "none", value = "2";

	run({ { KVS_PUT, "a", "1" } });
	run({ { KVS_PUT, "a", "2" } });
	const struct {
		std::string *key;
		enum kvs_target target;
		int64_t number;
		int order; /* of the stored value relative to the number */
	} cases[] = {
		{ &key, KVS_MOD, 3, 0 },
		{ &key, KVS_MOD, 2, 1 },
		{ &key, KVS_MOD, 4, -1 },
		{ &key, KVS_CREATE, 2, 0 },
		{ &key, KVS_CREATE, 3, -1 },
		{ &key, KVS_VERSION, 2, 0 },
		{ &key, KVS_VERSION, 1, 1 },
		{ &none, KVS_MOD, 0, 0 },
		{ &none, KVS_CREATE, 0, 0 },
		{ &none, KVS_VERSION, 1, -1 },
	};
	for (auto &c : cases) {
		for (int relation = KVS_EQUAL; relation <= KVS_LESS;
		     relation++) {
			int wanted[] = { 0, 1, -1 };
			bool succeeded;

			run({},
			    { { bytes(*c.key), c.target,
				(enum kvs_relation)relation, c.number, {} } },
			    &succeeded);
			EXPECT_EQ(succeeded, c.order == wanted[relation])
			    << *c.key << " " << c.target << " " << relation
			    << " " << c.number;
		}
	}
	bool succeeded;
	struct kvs_compare same = { bytes(key), KVS_VALUE, KVS_EQUAL, 0,
		bytes(value) };
	run({}, { same }, &succeeded);
	EXPECT_TRUE(succeeded);
	same.key = bytes(none);
	run({}, { same }, &succeeded);
	EXPECT_FALSE(succeeded);
}

TEST_F(Kvs, refused_transaction_changes_nothing)
{
	std::string large(KVS_VALUE_MAX + 1, 'x');
	std::vector<Op> many;

	for (int i = 0; i <= KVS_OPS_MAX; i++)
		many.push_back({ KVS_PUT, "k" + std::to_string(i), "v" });
	const struct {
		std::vector<Op> ops;
		enum kvs_error error;
	} cases[] = {
		{ many, KVS_ERR_TOO_MANY_OPS },
		{ { { KVS_PUT, "a", "1" }, { KVS_PUT, "b", large } },
		    KVS_ERR_VALUE_TOO_LARGE },
		{ { { KVS_PUT, "a", "1" }, { KVS_PUT, "a", "2" } },
		    KVS_ERR_DUPLICATE_KEY },
		{ { { KVS_PUT, "a", "1" }, { KVS_DELETE, "a", "", "b" } },
		    KVS_ERR_DUPLICATE_KEY },
		{ { { KVS_PUT, "a", "1" }, { KVS_PUT, "", "1" } },
		    KVS_ERR_EMPTY_KEY },
		{ { { KVS_PUT, "a", "1" }, { KVS_PUT, "b", "1", "", 6 } },
		    KVS_ERR_NO_LEASE },
	};
	for (auto &c : cases) {
		EXPECT_EQ(run(c.ops), c.error);
		EXPECT_EQ(kvs_revision(kvs_), 1);
	}
	EXPECT_EQ(
	    run({ { KVS_PUT, "a", std::string(KVS_VALUE_MAX, 'x') } }), KVS_OK);
}

TEST_F(Kvs, a_lease_takes_its_keys_along)
{
	run({ { KVS_PUT, "a", "1", "", 5 }, { KVS_PUT, "b", "1", "", 5 },
	    { KVS_PUT, "c", "1" } });
	run({ { KVS_PUT, "b", "2" } });
	EXPECT_EQ(kvs_drop_lease(kvs_, 5), KVS_OK);
	EXPECT_EQ(range("a", "z"), "b=2 c=1");
	EXPECT_EQ(kvs_revision(kvs_), 4);
	kvs_drop_lease(kvs_, 5);
	EXPECT_EQ(kvs_revision(kvs_), 4);
}

/*
 * Compaction must not change the result of any read at or after its revision,
 * for any history; otherwise a reader that resumes there would miss a key.
 */
TEST_F(Kvs, compaction_keeps_what_later_reads_need)
{
	for (int64_t at = 2; at <= 9; at++) {
		std::vector<std::string> before;

		open(0);
		run({ { KVS_PUT, "a", "1" }, { KVS_PUT, "b", "1" } });
		run({ { KVS_PUT, "a", "2" } });
		run({ { KVS_DELETE, "b", "" } });
		run({ { KVS_PUT, "c", "1" } });
		run({ { KVS_PUT, "b", "2" } });
		run({ { KVS_DELETE, "a", "", "c" } });
		run({ { KVS_PUT, "c", "2" } });
		run({ { KVS_PUT, "a", "3" } });
		for (int64_t r = at; r <= 9; r++)
			before.push_back(range("a", "z", r));
		ASSERT_EQ(kvs_compact(kvs_, at), KVS_OK);
		for (int64_t r = at; r <= 9; r++)
			EXPECT_EQ(range("a", "z", r), before[(size_t)(r - at)])
			    << "compacted at " << at << ", read at " << r;
		range("a", "z", at - 1, KVS_ERR_COMPACTED);
		EXPECT_EQ(kvs_compact(kvs_, at), KVS_ERR_COMPACTED);
	}
}

TEST_F(Kvs, history_is_bounded)
{
	open(100);
	for (int i = 0; i < 1000; i++)
		run({ { KVS_PUT, "a", std::to_string(i) },
		    { KVS_PUT, "b" + std::to_string(i % 7), "v" } });
	EXPECT_GT(kvs_compact_revision(kvs_), 900);
	EXPECT_EQ(range("a"), "a=999");
	size_t kept = 0;
	kvs_events(
	    kvs_, 0,
	    [](const struct kvs_kv *, void *ctx) { (*(size_t *)ctx)++; },
	    &kept);
	EXPECT_LE(kept, 102U);
}

struct Lines {
	std::vector<std::string> lines;
	bool last = false;
};

void
note_line(const char *line, size_t len, bool last, void *ctx)
{
	auto *l = (Lines *)ctx;

	l->lines.emplace_back(line, len);
	l->last = last;
}

bool
has(const std::string &line, const char *text)
{
	return line.find(text) != std::string::npos;
}

TEST_F(Kvs, watch_tells_history_then_news_then_progress)
{
	std::string key = "a", end = "b";
	struct kvs_span span = { bytes(key), bytes(end) };
	Lines l;

	run({ { KVS_PUT, "a", "1" } });
	run({ { KVS_PUT, "c", "1" } });
	watches_ = watches_open(kvs_);
	struct watch *w = watch_open(watches_, &span, 2, note_line, &l);
	ASSERT_EQ(l.lines.size(), 2U);
	EXPECT_TRUE(has(l.lines[0], "\"created\":true"));
	EXPECT_TRUE(has(l.lines[1], "\"mod_revision\":\"2\""));
	run({ { KVS_PUT, "c", "2" } });
	EXPECT_EQ(l.lines.size(), 2U);
	watches_hold(watches_, true);
	run({ { KVS_DELETE, "a", "" } });
	watches_progress(watches_);
	EXPECT_EQ(l.lines.size(), 2U);
	watches_hold(watches_, false);
	ASSERT_EQ(l.lines.size(), 3U);
	EXPECT_TRUE(has(l.lines[2], "\"DELETE\""));
	watches_progress(watches_);
	ASSERT_EQ(l.lines.size(), 4U);
	EXPECT_FALSE(has(l.lines[3], "events"));
	EXPECT_TRUE(has(l.lines[3], "\"revision\":\"5\""));
	watches_hold(watches_, true);
	run({ { KVS_PUT, "a", "2" } });
	run({ { KVS_PUT, "a", "3" } });
	kvs_compact(kvs_, 7);
	watches_hold(watches_, false);
	ASSERT_EQ(l.lines.size(), 5U);
	EXPECT_TRUE(has(l.lines[4], "\"compact_revision\":\"7\""));
	EXPECT_TRUE(l.last);
	run({ { KVS_PUT, "a", "4" } });
	EXPECT_EQ(l.lines.size(), 5U);
	watch_close(w);
	EXPECT_EQ(watches_count(watches_), 0U);
	watches_close(watches_);
}

TEST(Lease, lapses_at_its_time_unless_kept)
{
	std::set<int64_t> over;
	struct leases *l = leases_open(
	    [](int64_t id, void *ctx) {
		    ((std::set<int64_t> *)ctx)->insert(id);
	    },
	    &over);

	EXPECT_EQ(lease_due_ms(l), INT64_MAX);
	int64_t a = lease_grant(l, 10, 0), b = lease_grant(l, 10, 0);
	int64_t c = lease_grant(l, 3600, 0);
	EXPECT_EQ(lease_keepalive(l, a, 5000), 10);
	EXPECT_EQ(lease_due_ms(l), 10000);
	lease_expire(l, 9999);
	EXPECT_TRUE(over.empty());
	lease_expire(l, 10000);
	EXPECT_EQ(over, std::set<int64_t>{ b });
	EXPECT_EQ(lease_keepalive(l, b, 10001), 0);
	EXPECT_FALSE(lease_lives(l, b));
	EXPECT_TRUE(lease_revoke(l, c));
	EXPECT_FALSE(lease_revoke(l, c));
	lease_expire(l, 15000);
	EXPECT_EQ(over, (std::set<int64_t>{ a, b, c }));
	leases_close(l);
}

class Fault : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		fault_open(&fault_, 1);
	}

	void
	TearDown() override
	{
		fault_close(&fault_);
	}

	std::string
	set(const char *text)
	{
		json_t *o = json_loads(text, 0, NULL);
		char why[128] = "";
		int rc = fault_set(&fault_, o, 1000, why, sizeof(why));

		json_decref(o);
		EXPECT_EQ(rc == 0, why[0] == '\0') << why;
		return why;
	}

	struct fault fault_;
};

TEST_F(Fault, hits_its_scope_for_its_time)
{
	EXPECT_EQ(set("{\"mode\":\"down\",\"only\":\"kv\",\"for_ms\":50}"), "");
	EXPECT_EQ(fault_draw(&fault_, FAULT_KV, 1049), FAULT_DOWN);
	EXPECT_EQ(fault_draw(&fault_, FAULT_LEASE, 1049), FAULT_NONE);
	EXPECT_EQ(fault_draw(&fault_, FAULT_KV, 1050), FAULT_NONE);
	EXPECT_EQ(set("{\"mode\":\"slow\",\"delay_ms\":5,\"probability_"
		      "percent\":30}"),
	    "");
	int hits = 0;
	for (int i = 0; i < 1000; i++)
		hits += fault_draw(&fault_, FAULT_WATCH, 2000) == FAULT_SLOW;
	EXPECT_GT(hits, 250);
	EXPECT_LT(hits, 350);
}

TEST_F(Fault, bad_setting_is_refused_by_name_and_changes_nothing)
{
	set("{\"mode\":\"freeze\"}");
	for (const char *bad : { "{}", "{\"mode\":\"odd\"}", "{\"mode\":3}",
		 "{\"mode\":\"down\",\"only\":\"odd\"}",
		 "{\"mode\":\"down\",\"delay_ms\":-1}",
		 "{\"mode\":\"down\",\"probability_percent\":101}",
		 "{\"mode\":\"down\",\"odd\":1}" })
		EXPECT_NE(set(bad), "") << bad;
	EXPECT_EQ(
	    set("{\"mode\":\"down\",\"odd\":1}"), "odd: unknown field or word");
	EXPECT_EQ(fault_draw(&fault_, FAULT_KV, 1000), FAULT_FREEZE);
}

} // namespace

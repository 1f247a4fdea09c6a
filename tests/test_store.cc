#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kvstand_fixture.h"

extern "C" {
#include "base64.h"
}

namespace {

class Store : public KvstandTest {
      protected:
	struct Txn {
		int done = 0;
		enum store_error error = STORE_OK;
		bool succeeded = false;
		int64_t revision = 0;
		std::vector<std::string> found;
		int64_t deleted = 0;
	};

	struct Range {
		int done = 0;
		enum store_error error = STORE_OK;
		int64_t revision = 0;
		bool more = false;
		std::map<std::string, std::string> kvs;
		int64_t mod_revision = 0;
		int64_t version = 0;
		int64_t lease = 0;
	};

	struct Lease {
		int done = 0;
		enum store_error error = STORE_OK;
		int64_t lease = 0;
		int64_t ttl_s = 0;
	};

	static void
	note_txn(const struct store_txn_result *r, void *ctx)
	{
		auto *t = (Txn *)ctx;

		t->done++;
		t->error = r->error;
		t->succeeded = r->succeeded;
		t->revision = r->revision;
		for (size_t i = 0; i < r->nops; i++) {
			t->deleted += r->ops[i].deleted;
			for (size_t j = 0; j < r->ops[i].nkvs; j++)
				t->found.push_back(r->ops[i].kvs[j].value);
		}
	}

	static void
	note_range(const struct store_range_result *r, void *ctx)
	{
		auto *o = (Range *)ctx;

		o->done++;
		o->error = r->error;
		o->revision = r->revision;
		o->more = r->more;
		for (size_t i = 0; i < r->nkvs; i++) {
			o->kvs[r->kvs[i].key] =
			    std::string(r->kvs[i].value, r->kvs[i].len);
			o->mod_revision = r->kvs[i].mod_revision;
			o->version = r->kvs[i].version;
			o->lease = r->kvs[i].lease;
		}
	}

	static void
	note_lease(const struct store_lease_result *r, void *ctx)
	{
		auto *l = (Lease *)ctx;

		l->done++;
		l->error = r->error;
		l->lease = r->lease;
		l->ttl_s = r->ttl_s;
	}

	/* Puts the key if its revision is the expected one, else reads it. */
	void
	start_cas(Txn &t, const std::string &key, const std::string &value,
	    int64_t expected, int64_t lease = 0)
	{
		struct store_compare compare = { key.c_str(),
			STORE_MOD_REVISION, STORE_EQUAL, expected };
		struct store_op put = { STORE_PUT, key.c_str(), value.data(),
			value.size(), lease };
		struct store_op get = { STORE_GET, key.c_str(), NULL, 0, 0 };
		struct store_txn_request txn = { &compare, 1, &put, 1, &get,
			1 };

		ASSERT_EQ(store_txn(store_, &txn, note_txn, &t), STORE_OK);
		EXPECT_EQ(t.done, 0);
	}

	Txn
	cas(const std::string &key, const std::string &value, int64_t expected,
	    int64_t lease = 0)
	{
		Txn t;

		start_cas(t, key, value, expected, lease);
		until([&] { return t.done > 0; });
		return t;
	}

	/* A put of a client that takes keys for bytes. */
	void
	put_bytes(const std::string &key, const std::string &value)
	{
		char *k = base64_encode(key.data(), key.size());
		char *v = base64_encode(value.data(), value.size());

		post("/v3/kv/txn",
		    std::string("{\"success\":[{\"request_put\":{\"key\":\"") +
			k + "\",\"value\":\"" + v + "\"}}]}");
		free(k);
		free(v);
	}

	Range
	range(const std::string &key, bool prefix = false, int64_t revision = 0,
	    int64_t limit = 0)
	{
		struct store_range_request r = {};
		Range o;

		r.key = key.c_str();
		r.prefix = prefix;
		r.revision = revision;
		r.limit = limit;
		EXPECT_EQ(store_range(store_, &r, note_range, &o), STORE_OK);
		until([&] { return o.done > 0; });
		return o;
	}
};

TEST_F(Store, compares_and_swaps)
{
	open();
	std::string bytes("\0\xff\n\"", 4);
	Txn first = cas("lp/a", bytes, 0);
	Txn stale = cas("lp/a", "x", 0);
	Txn second = cas("lp/a", "two", first.revision);
	Range now = range("lp/a");
	Range then = range("lp/a", false, first.revision);

	EXPECT_TRUE(first.succeeded);
	EXPECT_FALSE(stale.succeeded);
	EXPECT_EQ(stale.error, STORE_OK);
	EXPECT_EQ(stale.found.size(), 1U);
	EXPECT_TRUE(second.succeeded);
	EXPECT_EQ(now.kvs["lp/a"], "two");
	EXPECT_EQ(now.mod_revision, second.revision);
	EXPECT_EQ(now.version, 2);
	EXPECT_EQ(then.kvs["lp/a"], bytes);
	EXPECT_EQ(counted("lagoonpin_store_calls", "call=\"txn\""), 3U);
	EXPECT_EQ(counted("lagoonpin_store_calls", "call=\"range\""), 2U);
}

TEST_F(Store, ranges_over_a_prefix_and_deletes_it)
{
	open();
	for (const char *key : { "a/1", "a/2", "a/\xff", "a0", "a" })
		cas(key, "v", 0);
	EXPECT_EQ(range("a/", true).kvs.size(), 3U);
	EXPECT_EQ(range("", true).kvs.size(), 5U);
	EXPECT_EQ(range("").error, STORE_ERR_REFUSED);
	EXPECT_TRUE(range("a", true, 0, 2).more);
	struct store_op del = { STORE_DELETE_PREFIX, "a/", NULL, 0, 0 };
	struct store_txn_request txn = { NULL, 0, &del, 1, NULL, 0 };
	Txn t;
	store_txn(store_, &txn, note_txn, &t);
	until([&] { return t.done > 0; });
	EXPECT_EQ(t.deleted, 3);
	EXPECT_EQ(range("a", true).kvs.size(), 2U);
}

/*
 * The store applies a write and the response is lost.  The outcome must be
 * reported as unknown, never as failed, the write must not be retried, and
 * the caller finds it by reading back.
 */
TEST_F(Store, lost_answer_is_unknown_and_found_by_reading_back)
{
	open();
	cas("k", "old", 0);
	fault("lose_answers");
	Txn t = cas("k", "new", 2);
	EXPECT_EQ(t.error, STORE_ERR_UNKNOWN);
	EXPECT_EQ(t.done, 1);
	fault("none");
	Range r = range("k");
	EXPECT_EQ(r.kvs["k"], "new");
	EXPECT_EQ(r.version, 2);
	EXPECT_EQ(counted("lagoonpin_store_calls", "call=\"txn\""), 2U);
	EXPECT_EQ(counted("lagoonpin_store_errors", "reason=\"unknown\""), 1U);
}

/*
 * A failed write is reported as refused with a reason, certainly not applied,
 * or unknown.  Reporting an applied write as not applied would start a task
 * twice.
 */
TEST_F(Store, says_of_a_failed_write_what_is_certain)
{
	open();
	cas("k", "old", 0);
	fault("refuse_writes");
	EXPECT_EQ(cas("k", "new", 2).error, STORE_ERR_UNKNOWN);
	fault("down");
	EXPECT_EQ(cas("k", "new", 2).error, STORE_ERR_UNKNOWN);
	fault("none");
	EXPECT_EQ(cas("k", "new", 2, 777).error, STORE_ERR_NO_LEASE);
	EXPECT_EQ(cas("", "new", 0).error, STORE_ERR_REFUSED);
	EXPECT_EQ(cas("k", std::string((1U << 20) + 1, 'x'), 2).error,
	    STORE_ERR_REFUSED);
	EXPECT_EQ(range("k").kvs["k"], "old");
	close_gateway();
	EXPECT_EQ(cas("k", "new", 2).error, STORE_ERR_UNAVAILABLE);
}

TEST_F(Store, reads_are_tried_again_until_the_deadline)
{
	open();
	cas("k", "v", 0);
	fault("down", ",\"for_ms\":700");
	int64_t start_ms = clock_now_ms();
	Range r = range("k");
	EXPECT_EQ(r.error, STORE_OK);
	EXPECT_EQ(r.kvs["k"], "v");
	EXPECT_GE(clock_now_ms(), start_ms + 700);
	fault("down");
	start_ms = clock_now_ms();
	r = range("k");
	EXPECT_EQ(r.error, STORE_ERR_UNAVAILABLE);
	EXPECT_LE(clock_now_ms(), start_ms + 5000);
	EXPECT_GT(
	    counted("lagoonpin_store_retries", "reason=\"unavailable\""), 0U);
	EXPECT_GT(counted("lagoonpin_store_retries", "reason=\"broken\""), 0U);
}

TEST_F(Store, a_read_goes_on_at_the_next_endpoint)
{
	open(0, "http://127.0.0.1:1");
	EXPECT_EQ(range("k").error, STORE_OK);
	EXPECT_EQ(counted("lagoonpin_store_retries", "reason=\"connect\""), 1U);
	EXPECT_EQ(range("k").error, STORE_OK);
	EXPECT_EQ(counted("lagoonpin_store_retries", "reason=\"connect\""), 1U);
}

TEST_F(Store, budget_refuses_what_is_over_it)
{
	struct store_range_request r = {};
	Range calls[4];

	open(3);
	r.key = "k";
	for (auto &c : calls)
		store_range(store_, &r, note_range, &c);
	until([&] { return calls[3].done > 0; });
	EXPECT_EQ(calls[3].error, STORE_ERR_BUDGET);
	until([&] { return calls[2].done > 0; });
	EXPECT_EQ(calls[2].error, STORE_OK);
	EXPECT_EQ(counted("lagoonpin_store_calls", "call=\"range\""), 3U);
	EXPECT_EQ(counted("lagoonpin_store_errors", "reason=\"budget\""), 1U);
	clock_advance(1000);
	EXPECT_EQ(range("k").error, STORE_OK);
}

/*
 * A caller retries its refused call from the callback, as a loop over all
 * keys does.  Each refusal must be delivered in a later iteration of the event
 * loop; otherwise the entry hangs in this recursion and serves no requests.
 */
TEST_F(Store, refused_call_started_anew_lets_the_loop_go_on)
{
	/* Ends the test if the event loop would never continue. */
	static const int REFUSED_MAX = 1000;
	struct Again {
		struct store *store;
		int refused;
	} again = {};
	struct store_range_request r = {};

	again.store = open(0.001);
	r.key = "k";
	static store_range_done *const retry =
	    [](const struct store_range_result *result, void *ctx) {
		    auto *a = (Again *)ctx;
		    struct store_range_request next = {};

		    next.key = "k";
		    a->refused += result->error == STORE_ERR_BUDGET;
		    if (result->error != STORE_ERR_CANCELLED &&
			a->refused < REFUSED_MAX)
			    store_range(a->store, &next, retry, a);
	    };
	store_range(store_, &r, retry, &again);
	for (int turns = 1; turns < 100; turns++) {
		store_tick(store_, clock_now_ms());
		EXPECT_LE(again.refused, turns);
	}
	EXPECT_GT(again.refused, 0);
	store_close(store_);
	store_ = nullptr;
}

TEST_F(Store, leases_keep_keys_and_lapse)
{
	Lease grant, keep, late, revoke;

	open();
	store_lease_grant(store_, 10, note_lease, &grant);
	until([&] { return grant.done > 0; });
	ASSERT_EQ(grant.error, STORE_OK);
	EXPECT_EQ(grant.ttl_s, 10);
	EXPECT_TRUE(cas("k", "v", 0, grant.lease).succeeded);
	EXPECT_EQ(range("k").lease, grant.lease);
	clock_advance(6000);
	store_lease_keepalive(store_, grant.lease, note_lease, &keep);
	until([&] { return keep.done > 0; });
	EXPECT_EQ(keep.error, STORE_OK);
	clock_advance(6000);
	EXPECT_EQ(range("k").kvs.size(), 1U);
	clock_advance(6000);
	EXPECT_EQ(range("k").kvs.size(), 0U);
	store_lease_keepalive(store_, grant.lease, note_lease, &late);
	until([&] { return late.done > 0; });
	EXPECT_EQ(late.error, STORE_ERR_NO_LEASE);
	store_lease_revoke(store_, grant.lease, note_lease, &revoke);
	until([&] { return revoke.done > 0; });
	EXPECT_EQ(revoke.error, STORE_ERR_NO_LEASE);
}

struct Watched {
	std::vector<std::string> events;
	std::vector<int64_t> revisions;
	int64_t progress = 0;
	int broken = 0;
	int compacted = 0;
	struct store_watch *close_at_event = nullptr;
};

void
note_event(enum store_watch_event type, const struct store_kv *kv, void *ctx)
{
	auto *w = (Watched *)ctx;

	w->events.push_back(type == STORE_EVENT_PUT ?
		std::string(kv->key) + "=" + kv->value :
		std::string(kv->key) + " deleted");
	w->revisions.push_back(kv->mod_revision);
	if (w->close_at_event != nullptr)
		store_watch_close(w->close_at_event);
}

void
note_lost(enum store_watch_loss loss, void *ctx)
{
	auto *w = (Watched *)ctx;

	w->broken += loss == STORE_WATCH_BROKEN;
	w->compacted += loss == STORE_WATCH_COMPACTED;
}

class StoreWatch : public Store {
      protected:
	struct store_watch *
	watch(Watched &w, int64_t from)
	{
		struct store_watch_options o = {};

		o.prefix = "w/";
		o.start_revision = from;
		o.on_event = note_event;
		o.on_progress = [](int64_t revision, void *ctx) {
			((Watched *)ctx)->progress = revision;
		};
		o.on_lost = note_lost;
		o.ctx = &w;
		return store_watch_open(store_, &o);
	}
};

TEST_F(StoreWatch, tells_every_change_once_in_order)
{
	Watched w;

	open();
	cas("w/a", "1", 0);
	cas("x/a", "1", 0);
	ASSERT_NE(watch(w, 1), nullptr);
	until([&] { return w.events.size() == 1; });
	cas("w/a", "2", 2);
	struct store_op del = { STORE_DELETE, "w/a", NULL, 0, 0 };
	struct store_txn_request txn = { NULL, 0, &del, 1, NULL, 0 };
	Txn t;
	store_txn(store_, &txn, note_txn, &t);
	until([&] { return w.events.size() == 3; });
	EXPECT_EQ(w.events,
	    (std::vector<std::string>{ "w/a=1", "w/a=2", "w/a deleted" }));
	EXPECT_EQ(w.revisions, (std::vector<int64_t>{ 2, 4, 5 }));
	EXPECT_EQ(w.progress, 5);
	cas("x/a", "2", 3);
	clock_advance(10000);
	until([&] { return w.progress == 6; });
	EXPECT_EQ(w.events.size(), 3U);
}

/*
 * The store goes down while a watch is open, keys change once it is back, and
 * the watch resumes.  Each change must be reported exactly once: a missed
 * event would be configuration that never comes into force.
 */
TEST_F(StoreWatch, resumes_after_the_last_revision_seen)
{
	Watched w;

	open();
	cas("w/a", "1", 0);
	ASSERT_NE(watch(w, 2), nullptr);
	until([&] { return w.events.size() == 1; });
	fault("down", ",\"only\":\"watch\"");
	until([&] { return w.broken == 1; });
	cas("w/a", "2", 2);
	cas("w/a", "3", 3);
	fault("none");
	until([&] { return w.events.size() == 3; });
	EXPECT_EQ(w.revisions, (std::vector<int64_t>{ 2, 3, 4 }));
	EXPECT_GE(
	    counted("lagoonpin_store_retries", "reason=\"watch_broken\""), 1U);
}

/*
 * Another client writes a key with a NUL among those that are watched.  If the
 * message were refused for it, the watch would be reopened at the same revision
 * again and again, and no change would be followed any more.
 */
TEST_F(StoreWatch, a_key_with_a_nul_leaves_the_other_events)
{
	const std::string odd("w/b\0c", 5);
	Watched w;

	open();
	cas("w/a", "1", 0);
	ASSERT_NE(watch(w, 1), nullptr);
	until([&] { return w.events.size() == 1; });
	put_bytes(odd, "9");
	until([&] { return w.progress == 3; });
	cas("w/d", "4", 0);
	until([&] { return w.events.size() == 2; });
	EXPECT_EQ(w.events, (std::vector<std::string>{ "w/a=1", "w/d=4" }));
	EXPECT_EQ(w.broken, 0);
	EXPECT_EQ(
	    counted("lagoonpin_store_entry_refused", "reason=\"key\""), 1U);
}

/* The same key in a range: no key of its prefix could be read any more. */
TEST_F(Store, a_key_with_a_nul_leaves_the_others_of_a_range)
{
	open();
	cas("w/a", "1", 0);
	put_bytes(std::string("w/b\0c", 5), "9");
	cas("w/d", "4", 0);
	Range all = range("w/", true);
	EXPECT_EQ(all.error, STORE_OK);
	EXPECT_EQ(all.kvs,
	    (std::map<std::string, std::string>{
		{ "w/a", "1" }, { "w/d", "4" } }));
	EXPECT_EQ(
	    counted("lagoonpin_store_entry_refused", "reason=\"key\""), 1U);
}

/*
 * Values of another client that no parser takes.  They are bytes to the store,
 * so they reach their reader and leave the answer's other keys alone.
 */
TEST_F(Store, a_value_of_any_bytes_leaves_the_others_of_a_range)
{
	const std::string values[] = { std::string(100000, '['), "1e999",
		"99999999999999999999", std::string("\0\xff", 2),
		std::string(1000000, 'x') };

	open();
	for (const auto &value : values) {
		Range before = range("w/b");
		cas("w/b", value, before.mod_revision);
		Range all = range("w/", true);
		EXPECT_EQ(all.error, STORE_OK);
		EXPECT_EQ(all.kvs["w/b"], value);
	}
}

/*
 * While a watch is disconnected, the store compacts the revisions that it
 * needs to resume.  The caller is told once to reload everything and gets no
 * events after that: resuming with a gap would lose a change permanently.
 */
TEST_F(StoreWatch, compaction_is_told_and_final)
{
	Watched w;

	open();
	cas("w/a", "1", 0);
	struct store_watch *watch_handle = watch(w, 2);
	until([&] { return w.events.size() == 1; });
	fault("down", ",\"only\":\"watch\"");
	until([&] { return w.broken == 1; });
	cas("w/a", "2", 2);
	cas("w/a", "3", 3);
	cas("w/a", "4", 4);
	post("/v3/kv/compaction", "{\"revision\":\"4\"}");
	fault("none");
	until([&] { return w.compacted == 1; });
	EXPECT_EQ(w.events.size(), 1U);
	EXPECT_EQ(range("w/a", false, 3).error, STORE_ERR_COMPACTED);
	EXPECT_EQ(range("w/a").kvs["w/a"], "4");
	cas("w/a", "5", 5);
	EXPECT_EQ(w.events.size(), 1U);
	store_watch_close(watch_handle);
}

/*
 * The server of a watch hangs without closing the connection.  The watch gets
 * no data and no error; after watch_idle_ms it is reopened.
 */
TEST_F(StoreWatch, silent_watch_is_opened_anew)
{
	Watched w;

	open();
	ASSERT_NE(watch(w, 2), nullptr);
	cas("w/a", "1", 0);
	until([&] { return w.events.size() == 1; });
	fault("freeze", ",\"only\":\"watch\"");
	clock_advance(600000);
	until([&] { return w.broken == 1; });
	fault("none");
	cas("w/a", "2", 2);
	until([&] { return w.events.size() == 2; });
	EXPECT_EQ(w.revisions, (std::vector<int64_t>{ 2, 3 }));
	EXPECT_EQ(
	    counted("lagoonpin_store_retries", "reason=\"watch_idle\""), 1U);
}

TEST_F(StoreWatch, may_be_closed_in_its_callback)
{
	Watched w;

	open();
	cas("w/a", "1", 0);
	cas("w/b", "2", 0);
	w.close_at_event = watch(w, 2);
	until([&] { return !w.events.empty(); });
	cas("w/c", "3", 0);
	EXPECT_EQ(w.events.size(), 1U);
}

/*
 * The store client is closed while the store holds a write without a response.
 * The write may still be applied, so its outcome is unknown; a read ends as
 * cancelled.
 */
TEST_F(Store, close_says_of_each_call_what_is_certain)
{
	struct store_range_request r = {};
	Range read;
	Txn write, unsent;

	open();
	fault("freeze");
	r.key = "k";
	start_cas(write, "k", "v", 0);
	store_range(store_, &r, note_range, &read);
	for (int i = 0; i < 50; i++)
		turn();
	start_cas(unsent, "k", "v", 0);
	store_close(store_);
	store_ = nullptr;
	EXPECT_EQ(write.error, STORE_ERR_UNKNOWN);
	EXPECT_EQ(read.error, STORE_ERR_CANCELLED);
	EXPECT_EQ(unsent.error, STORE_ERR_CANCELLED);
	EXPECT_EQ(write.done + read.done + unsent.done, 3);
}

TEST_F(Store, knows_when_the_store_last_answered)
{
	open();
	EXPECT_FALSE(store_reachable(store_, clock_now_ms()));
	range("k");
	EXPECT_TRUE(store_reachable(store_, clock_now_ms()));
	int64_t answered_ms = store_last_answer_ms(store_);
	fault("down");
	cas("k", "v", 0);
	EXPECT_EQ(store_last_answer_ms(store_), answered_ms);
	EXPECT_TRUE(store_reachable(store_, answered_ms + 6000));
	EXPECT_FALSE(store_reachable(store_, answered_ms + 6001));
}

/*
 * The daemon may close the client from any callback, with calls and watches
 * open.  Each other call must still end exactly once.
 */
TEST_F(StoreWatch, close_is_allowed_in_every_callback)
{
	for (int where = 0; where < 4; where++) {
		struct store_watch_options w = {};
		struct store_range_request r = {};
		std::function<void()> close;
		Range other;

		open();
		close = [this] {
			store_close(store_);
			store_ = nullptr;
		};
		cas("w/a", "1", 0);
		r.key = "k";
		w.prefix = "w/";
		w.start_revision = 2;
		w.ctx = &close;
		w.on_event = [](enum store_watch_event, const struct store_kv *,
				 void *) {};
		if (where == 0)
			w.on_event = [](enum store_watch_event,
					 const struct store_kv *, void *ctx) {
				(*(std::function<void()> *)ctx)();
			};
		if (where == 1)
			w.on_progress = [](int64_t, void *ctx) {
				(*(std::function<void()> *)ctx)();
			};
		if (where == 2)
			w.on_lost = [](enum store_watch_loss, void *ctx) {
				(*(std::function<void()> *)ctx)();
			};
		ASSERT_NE(store_watch_open(store_, &w), nullptr);
		if (where == 2)
			fault("down");
		if (where == 3)
			store_range(
			    store_, &r,
			    [](const struct store_range_result *, void *ctx) {
				    (*(std::function<void()> *)ctx)();
			    },
			    &close);
		store_range(store_, &r, note_range, &other);
		until([&] { return store_ == nullptr; });
		EXPECT_EQ(other.done, 1);
		fault("none");
	}
}

} // namespace

// Tests of the operators' API and the configuration watch of two entries
// against kvstand, all on one event loop with a paused clock.
#include <gtest/gtest.h>

#include <jansson.h>

#include <cstdlib>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "clock.h"
#include "counter.h"
#include "kvstand/gateway.h"
#include "lagoonpind/lagoonpind.h"

const struct module *const modules[] = { &conf_watch_module,
	&operators_module };
const size_t nmodules = 2;
}

namespace {

struct node {
	struct entry e;
	struct httpd *httpd;
};

struct answer {
	bool over;
	enum httpc_error error;
	int status;
	std::string body;

	std::string
	text(const char *name) const
	{
		json_t *o = json_loads(body.c_str(), 0, nullptr);
		const char *s = json_string_value(json_object_get(o, name));
		std::string r = s == nullptr ? "" : s;

		json_decref(o);
		return r;
	}
	int64_t
	number(const char *name) const
	{
		json_t *o = json_loads(body.c_str(), 0, nullptr);
		int64_t n = json_integer_value(json_object_get(o, name));

		json_decref(o);
		return n;
	}
	bool
	has(const char *what) const
	{
		return body.find(what) != std::string::npos;
	}
};

void
on_http(struct httpd_request *r, void *ctx)
{
	struct entry *e = static_cast<struct entry *>(ctx);

	if (!operators_module.http(e, r))
		reply_error(r, 404, "unknown_path", nullptr, "");
}

void
on_done(const struct httpc_result *r, void *ctx)
{
	struct answer *a = static_cast<struct answer *>(ctx);

	a->over = true;
	a->error = r->error;
	a->status = r->status;
	if (r->body != nullptr)
		a->body.assign(r->body, r->body_len);
}

class Operators : public ::testing::Test {
      protected:
	uv_loop_t loop;
	struct httpc *client;
	struct gateway *gateway;
	struct node nodes[2] = {};

	void
	SetUp() override
	{
		struct gateway_options g = {};
		struct httpc_options h = {};
		enum gateway_error error;

		clock_pause(1000000);
		counter_reset();
		uv_loop_init(&loop);
		h.loop = &loop;
		client = httpc_open(&h);
		g.loop = &loop;
		g.ip = "127.0.0.1";
		g.seed = 7;
		gateway = gateway_open(&g, &error);
		ASSERT_NE(gateway, nullptr);
		for (int i = 0; i < 2; i++)
			open_node(i);
		until([&] {
			return watch_loaded(&nodes[0].e) &&
			    watch_loaded(&nodes[1].e);
		});
	}

	void
	open_node(int i)
	{
		struct httpc_options h = {};
		struct httpd_options d = {};
		struct store_options s = {};
		enum httpd_error error;
		std::string url =
		    "http://127.0.0.1:" + std::to_string(gateway_port(gateway));
		const char *endpoints[] = { url.c_str() };
		struct node *n = &nodes[i];

		n->e.opt.id = i == 0 ? "e0" : "e1";
		h.loop = &loop;
		n->e.store_http = httpc_open(&h);
		s.loop = &loop;
		s.httpc = n->e.store_http;
		s.endpoints = endpoints;
		s.nendpoints = 1;
		s.call_timeout_ms = 60000;
		s.watch_idle_ms = 600000;
		n->e.store = store_open(&s);
		for (const struct module *p : modules)
			ASSERT_EQ(p->open(&n->e), 0);
		d.loop = &loop;
		d.ip = "127.0.0.1";
		d.body_max = 1 << 20;
		d.handler = on_http;
		d.ctx = &n->e;
		n->httpd = httpd_open(&d, &error);
		ASSERT_NE(n->httpd, nullptr);
	}

	void
	TearDown() override
	{
		for (struct node &n : nodes) {
			n.e.phase = ENTRY_CLOSING;
			httpd_close(n.httpd);
			operators_module.close(&n.e);
			conf_watch_module.close(&n.e);
			store_close(n.e.store);
			httpc_close(n.e.store_http);
		}
		httpc_close(client);
		gateway_close(gateway);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		for (struct node &n : nodes)
			free(n.e.operators);
		clock_resume();
	}

	void
	turn()
	{
		uv_run(&loop, UV_RUN_NOWAIT);
		clock_advance(1);
		gateway_tick(gateway, clock_now_ms());
		for (struct node &n : nodes) {
			store_tick(n.e.store, clock_now_ms());
			for (const struct module *p : modules)
				p->tick(&n.e, clock_now_ms());
		}
	}

	template <typename F>
	void
	until(F done)
	{
		while (!done())
			turn();
	}

	void
	start(int port, const char *method, const std::string &path,
	    const std::string &body, struct answer *a)
	{
		std::string url =
		    "http://127.0.0.1:" + std::to_string(port) + path;
		struct httpc_request r = {};

		r.method = method;
		r.url = url.c_str();
		r.body = body.data();
		r.body_len = body.size();
		r.on_done = on_done;
		r.ctx = a;
		*a = {};
		ASSERT_NE(httpc_start(client, &r), nullptr);
	}

	struct answer
	ask(int i, const char *method, const std::string &path,
	    const std::string &body = "")
	{
		struct answer a;

		start(httpd_port(nodes[i].httpd), method, path, body, &a);
		until([&] { return a.over; });
		return a;
	}

	void
	fault(const std::string &setting)
	{
		struct answer a;

		start(gateway_port(gateway), "POST", "/fault", setting, &a);
		until([&] { return a.over; });
		ASSERT_EQ(a.status, 200);
	}

	static std::string
	team(const std::string &name, int tasks, int64_t revision)
	{
		return R"({"revision":)" + std::to_string(revision) +
		    R"(,"record":{"schema":1,"name":")" + name +
		    R"(","tasks":)" + std::to_string(tasks) + "}}";
	}

	void
	in_force(int64_t revision)
	{
		until([&] {
			return conf_revision(entry_conf(&nodes[0].e)) >=
			    revision &&
			    conf_revision(entry_conf(&nodes[1].e)) >= revision;
		});
	}

	// Writes without validation, as another program or a newer entry may.
	void
	put_raw(const char *key, const std::string &value)
	{
		struct store_txn_request txn = {};
		struct store_op op = {};
		bool over = false;

		op.kind = STORE_PUT;
		op.key = key;
		op.value = value.data();
		op.len = value.size();
		txn.success = &op;
		txn.nsuccess = 1;
		store_txn(
		    nodes[0].e.store, &txn,
		    [](const struct store_txn_result *, void *ctx) {
			    *static_cast<bool *>(ctx) = true;
		    },
		    &over);
		until([&] { return over; });
	}
};

} // namespace

TEST_F(Operators, AChangeIsInForceOnBothAndKeepsWhatItReplaced)
{
	struct answer a;

	a = ask(0, "PUT", "/v1/services/s",
	    R"({"revision":0,"record":{"schema":1,"name":"s",)"
	    R"("deadline_ms":200}})");
	ASSERT_EQ(a.status, 200) << a.body;
	in_force(a.number("revision"));
	a = ask(1, "GET", "/v1/services/s?schema=2");
	EXPECT_TRUE(a.has(R"("target_p99_ms":200)")) << a.body;
	a = ask(1, "GET", "/v1/services/s");
	EXPECT_TRUE(a.has(R"("schema":1)")) << a.body;
	a = ask(1, "PUT", "/v1/services/s",
	    R"({"revision":)" + std::to_string(a.number("revision")) +
		R"(,"record":{"schema":2,"name":"s","deadline_ms":300,)"
		R"("hedge":{"percent":5}}})");
	ASSERT_EQ(a.status, 200) << a.body;
	in_force(a.number("revision"));
	EXPECT_EQ(ask(0, "GET", "/v1/services/s?schema=1").text("field"),
	    "hedge.percent");
	a = ask(0, "DELETE",
	    "/v1/services/s?revision=" + std::to_string(a.number("revision")));
	ASSERT_EQ(a.status, 200) << a.body;
	in_force(a.number("revision"));
	EXPECT_EQ(ask(1, "GET", "/v1/services/s").status, 404);
	a = ask(1, "GET", "/v1/config/history/service/s");
	EXPECT_TRUE(a.has(R"("deadline_ms":200)")) << a.body;
	EXPECT_TRUE(a.has(R"("deadline_ms":300)")) << a.body;
}

TEST_F(Operators, ABadChangeIsRefusedWholeAndNamed)
{
	const struct {
		const char *method, *path, *body, *error, *field;
	} cases[] = {
		{ "PUT", "/v1/teams/t", "{", "bad_json", "" },
		{ "PUT", "/v1/teams/t", "{}", "missing_field", "revision" },
		{ "PUT", "/v1/teams/t", R"({"revision":"1","record":{}})",
		    "wrong_type", "revision" },
		{ "PUT", "/v1/teams/t", R"({"revision":0})", "missing_field",
		    "record" },
		{ "PUT", "/v1/teams/t", R"({"revision":0,"record":{},"x":1})",
		    "unknown_field", "x" },
		{ "PUT", "/v1/teams/t",
		    R"({"revision":0,"record":{"schema":7}})", "unknown_schema",
		    "schema" },
		{ "PUT", "/v1/teams/t",
		    R"({"revision":0,"record":{"schema":1,"name":"u"}})",
		    "bad_name", "name" },
		{ "DELETE", "/v1/teams/t", "", "missing_field", "revision" },
		{ "DELETE", "/v1/teams/t?revision=0", "", "missing_field",
		    "revision" },
	};
	struct answer a;

	for (const auto &c : cases) {
		a = ask(0, c.method, c.path, c.body);
		EXPECT_EQ(a.status, 400) << a.body;
		EXPECT_EQ(a.text("error"), c.error) << c.body;
		EXPECT_EQ(a.text("field"), c.field) << c.body;
	}
	EXPECT_EQ(ask(0, "POST", "/v1/teams/t").status, 405);
	EXPECT_EQ(
	    counter_value(counter_get("lagoonpin_store_calls", "call=\"txn\"")),
	    0U);
}

/*
 * Two operators concurrently change the same team through two entries.
 * Exactly one change is accepted; the other gets a conflict with the current
 * record; the accepted value comes into force on both entries.
 */
TEST_F(Operators, OfTwoChangesAtOneMomentOneWins)
{
	struct answer a[2];
	int64_t seen;
	int winner;

	seen = ask(0, "PUT", "/v1/teams/t", team("t", 1, 0)).number("revision");
	for (int round = 0; round < 10; round++) {
		for (int i = 0; i < 2; i++)
			start(httpd_port(nodes[i].httpd), "PUT", "/v1/teams/t",
			    team("t", 10 * round + i, seen), &a[i]);
		until([&] { return a[0].over && a[1].over; });
		winner = a[0].status == 200 ? 0 : 1;
		ASSERT_EQ(a[winner].status, 200) << a[winner].body;
		ASSERT_EQ(a[!winner].status, 409) << a[!winner].body;
		seen = a[winner].number("revision");
		EXPECT_EQ(a[!winner].number("revision"), seen);
		in_force(seen);
		for (struct node &n : nodes)
			EXPECT_EQ(conf_team(entry_conf(&n.e), "t")->tasks,
			    10 * round + winner);
	}
}

/*
 * Half of the store's responses are lost after the write took effect.  A
 * change that took effect must be reported as accepted, not as a conflict
 * with itself, and a change reported as not stored must not be in the store.
 */
TEST_F(Operators, ALostAnswerIsSettled)
{
	int accepted = 0, refused = 0;
	std::set<std::string> accepted_names;
	struct answer a;

	fault(R"({"mode":"lose_answers","only":"kv",)"
	      R"("probability_percent":50})");
	for (int i = 0; i < 40; i++) {
		std::string name = "t" + std::to_string(i);

		a = ask(i % 2, "PUT", "/v1/teams/" + name, team(name, i, 0));
		if (a.status == 200)
			accepted_names.insert(name);
		else
			EXPECT_EQ(a.status, 503) << a.body;
		(a.status == 200 ? accepted : refused)++;
	}
	fault(R"({"mode":"none"})");
	a = ask(0, "PUT", "/v1/teams/last", team("last", 1, 0));
	in_force(a.number("revision"));
	for (int i = 0; i < 40; i++) {
		std::string name = "t" + std::to_string(i);

		EXPECT_EQ(
		    conf_team(entry_conf(&nodes[1].e), name.c_str()) != nullptr,
		    accepted_names.count(name) != 0)
		    << name;
	}
	printf("accepted %d, refused %d, sent again %llu\n", accepted, refused,
	    (unsigned long long)counter_value(counter_get(
		"lagoonpin_operator_retries", "reason=\"unknown\"")));
	EXPECT_GT(counter_value(counter_get(
		      "lagoonpin_operator_retries", "reason=\"unknown\"")),
	    5U);
	EXPECT_GT(accepted, 10);
}

/*
 * While the store is unavailable, reads return the configuration in force and
 * changes are refused as not stored.
 */
TEST_F(Operators, WithoutTheStoreReadsGoOnAndChangesAreRefused)
{
	struct answer a;

	a = ask(0, "PUT", "/v1/teams/t", team("t", 1, 0));
	in_force(a.number("revision"));
	fault(R"({"mode":"down"})");
	a = ask(0, "PUT", "/v1/teams/u", team("u", 1, 0));
	EXPECT_EQ(a.status, 503) << a.body;
	EXPECT_EQ(a.text("error"), "store_unavailable");
	EXPECT_EQ(ask(0, "GET", "/v1/teams/t").status, 200);
	EXPECT_EQ(ask(0, "GET", "/v1/config/history/team/t").status, 503);
	fault(R"({"mode":"none"})");
	a = ask(0, "PUT", "/v1/teams/u", team("u", 2, 0));
	EXPECT_EQ(a.status, 200) << a.body;
}

TEST_F(Operators, ARecordThatCantBeReadIsNamedAndTheOlderHolds)
{
	struct answer a;

	a = ask(0, "PUT", "/v1/teams/t", team("t", 1, 0));
	in_force(a.number("revision"));
	put_raw("lp/w/team/t", R"({"schema":2,"name":"t"})");
	in_force(a.number("revision") + 1);
	a = ask(1, "GET", "/v1/config");
	EXPECT_TRUE(a.has(R"("key":"lp/w/team/t")")) << a.body;
	EXPECT_TRUE(a.has(R"("field":"schema")")) << a.body;
	EXPECT_EQ(conf_team(entry_conf(&nodes[1].e), "t")->tasks, 1);
}

// Tests of lagoonpinctl against scripted entries on the same event loop: its
// requests, its output and its exit status.
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "httpd.h"
#include "lagoonpinctl/ctl.h"
}

namespace {

struct reply {
	int status;
	std::string body;
	std::string outcome; // of a call
	bool abort; // connection closed after the request arrived
};

class Ctl : public ::testing::Test {
      protected:
	struct ctl ctl = {};
	struct httpd *servers[2] = {};
	std::string ports[2];
	std::map<std::string, struct reply> script; // by method and path
	std::vector<std::string> seen; // server, method, path, body
	std::string out, err;

	void
	SetUp() override
	{
		enum httpd_error error;
		struct httpd_options o = {};

		ASSERT_EQ(ctl_open(&ctl), 0);
		o.loop = &ctl.loop;
		o.ip = "127.0.0.1";
		o.body_max = 1 << 20;
		o.ctx = this;
		for (int i = 0; i < 2; i++) {
			o.handler = i == 0 ? on_first : on_second;
			servers[i] = httpd_open(&o, &error);
			ASSERT_NE(servers[i], nullptr);
			ports[i] = "127.0.0.1:" +
			    std::to_string(httpd_port(servers[i]));
		}
	}

	void
	TearDown() override
	{
		for (struct httpd *s : servers) {
			if (s != nullptr)
				httpd_close(s);
		}
		ctl_close(&ctl);
	}

	// Returns an address that is no longer listened on.
	std::string
	dead()
	{
		httpd_close(servers[0]);
		servers[0] = nullptr;
		uv_run(&ctl.loop, UV_RUN_NOWAIT);
		return ports[0];
	}

	int
	run(std::vector<std::string> words)
	{
		std::vector<char *> argv;
		size_t nout, nerr;
		char *tout, *terr;
		int status;

		words.insert(words.begin(), "lagoonpinctl");
		for (auto &w : words)
			argv.push_back(&w[0]);
		argv.push_back(nullptr);
		ctl.out = open_memstream(&tout, &nout);
		ctl.err = open_memstream(&terr, &nerr);
		status = ctl_main(&ctl, (int)words.size(), argv.data());
		fclose(ctl.out);
		fclose(ctl.err);
		out = tout;
		err = terr;
		free(tout);
		free(terr);
		return status;
	}

	static void
	on_first(struct httpd_request *r, void *ctx)
	{
		static_cast<Ctl *>(ctx)->answer(r, 0);
	}
	static void
	on_second(struct httpd_request *r, void *ctx)
	{
		static_cast<Ctl *>(ctx)->answer(r, 1);
	}

	void
	answer(struct httpd_request *r, int server)
	{
		std::string key, where;
		struct httpd_header h[1];
		struct reply reply;
		size_t len;
		const char *body = httpd_body(r, &len);

		key = std::string(httpd_method(r)) + " " + httpd_path(r);
		if (httpd_query(r)[0] != '\0')
			key += std::string("?") + httpd_query(r);
		where = std::to_string(server) + " ";
		seen.push_back(where + key + " " + std::string(body, len));
		if (script.count(where + key) != 0)
			reply = script[where + key];
		else if (script.count(key) != 0)
			reply = script[key];
		else
			reply = { 404, R"({"error":"not_found"})", "", false };
		if (reply.abort) {
			httpd_begin(r, 200, nullptr, 0);
			httpd_abort(r);
			return;
		}
		h[0] = { "lagoonpin-outcome", reply.outcome.c_str() };
		httpd_reply(r, reply.status, h, 1, reply.body.data(),
		    reply.body.size());
	}
};

const char *const SHOWN = R"({"revision":7,"record":{"schema":2,"name":"s",)"
			  R"("deadline_ms":200,"hedge":{"percent":1}}})";

} // namespace

TEST_F(Ctl, FieldsBecomeTypedValues)
{
	json_t *o = json_object();
	char *text;

	EXPECT_TRUE(ctl_field_set(o, "n=5"));
	EXPECT_TRUE(ctl_field_set(o, "class=tail"));
	EXPECT_TRUE(ctl_field_set(o, "hedge.percent=3"));
	EXPECT_TRUE(ctl_field_set(o, "payload={\"a\":1}"));
	EXPECT_TRUE(ctl_field_set(o, "gone=1"));
	EXPECT_TRUE(ctl_field_set(o, "gone="));
	EXPECT_FALSE(ctl_field_set(o, "=1"));
	EXPECT_FALSE(ctl_field_set(o, "name"));
	EXPECT_FALSE(ctl_field_set(o, "payload={"));
	text = json_dumps(o, JSON_COMPACT);
	EXPECT_STREQ(text,
	    R"({"n":5,"class":"tail","hedge":{"percent":3},"payload":{"a":1}})");
	free(text);
	json_decref(o);
}

TEST_F(Ctl, PrintsColumnsForPeopleAndJsonForPrograms)
{
	script["GET /v1/services"] = { 200,
		R"({"revision":9,"services":[{"revision":7,"record":)"
		R"({"name":"longer","deadline_ms":5}},{"revision":12,"record":)"
		R"({"name":"b","deadline_ms":2000}}]})",
		"", false };
	EXPECT_EQ(run({ "--entry", ports[0], "service", "list" }), CTL_OK);
	EXPECT_EQ(out,
	    "name    revision  deadline_ms\n"
	    "longer  7         5\n"
	    "b       12        2000\n");
	EXPECT_EQ(
	    run({ "--json", "--entry", ports[0], "service", "list" }), CTL_OK);
	EXPECT_EQ(out.substr(0, 24), R"({"revision":9,"services")");
	script["GET /v1/services/s"] = { 200, SHOWN, "", false };
	EXPECT_EQ(run({ "service", "show", "s", "--entry", ports[0] }), CTL_OK);
	EXPECT_EQ(out,
	    "revision       7\nschema         2\nname           s\n"
	    "deadline_ms    200\nhedge.percent  1\n");
}

TEST_F(Ctl, ASetKeepsOtherFieldsAndComparesWhatItSaw)
{
	script["GET /v1/services/s"] = { 200, SHOWN, "", false };
	script["PUT /v1/services/s"] = { 200, R"({"revision":8})", "", false };
	EXPECT_EQ(run({ "--entry", ports[0], "service", "set", "s",
		      "deadline_ms=300", "hedge.percent=2" }),
	    CTL_OK);
	EXPECT_EQ(seen.back(),
	    R"(0 PUT /v1/services/s {"revision":7,"record":{"schema":2,)"
	    R"("name":"s","deadline_ms":300,"hedge":{"percent":2}}})");
	EXPECT_EQ(out, "revision  8\n");
	EXPECT_EQ(run({ "--entry", ports[0], "config", "set", "service", "s",
		      "--revision", "5", "hedge.percent=" }),
	    CTL_OK);
	EXPECT_EQ(seen.back().substr(0, 36),
	    R"(0 PUT /v1/services/s {"revision":5,")");
	script["DELETE /v1/services/s?revision=7"] = { 200, R"({"revision":9})",
		"", false };
	EXPECT_EQ(
	    run({ "--entry", ports[0], "service", "delete", "s" }), CTL_OK);
	script["PUT /v1/teams/t"] = { 200, R"({"revision":3})", "", false };
	EXPECT_EQ(
	    run({ "--entry", ports[0], "team", "create", "t", "tasks=4" }),
	    CTL_OK);
	EXPECT_EQ(seen.back(),
	    R"(0 PUT /v1/teams/t {"revision":0,"record":{"schema":1,)"
	    R"("name":"t","tasks":4}})");
}

TEST_F(Ctl, EachRefusalHasItsStatus)
{
	const struct {
		int http;
		const char *body;
		int status;
		const char *expected;
	} cases[] = {
		{ 400, R"({"error":"out_of_range","field":"deadline_ms"})",
		    CTL_REFUSED, "out_of_range: deadline_ms" },
		{ 409, R"({"error":"conflict","current":{"revision":9}})",
		    CTL_CONFLICT, "conflict" },
		{ 503, R"({"error":"store_unavailable"})", CTL_REFUSED,
		    "store_unavailable" },
		{ 504, R"({"error":"outcome_unknown"})", CTL_UNKNOWN,
		    "outcome_unknown" },
	};

	for (const auto &c : cases) {
		script["PUT /v1/services/s"] = { c.http, c.body, "", false };
		EXPECT_EQ(run({ "--entry", ports[0], "service", "create", "s",
			      "deadline_ms=1" }),
		    c.status);
		EXPECT_NE(err.find(c.expected), std::string::npos) << err;
	}
	EXPECT_EQ(run({ "--entry", ports[0], "service", "show", "none" }),
	    CTL_REFUSED);
	EXPECT_EQ(run({ "--entry", ports[0], "nothing" }), CTL_USAGE);
	EXPECT_EQ(
	    run({ "--entry", ports[0], "service", "show", "a/b" }), CTL_USAGE);
	EXPECT_EQ(run({ "--entry", ports[0], "job", "cancel" }), CTL_USAGE);
	EXPECT_EQ(
	    run({ "--entry", ports[0], "config", "wait", "x" }), CTL_USAGE);
	EXPECT_EQ(
	    run({ "--entry", dead(), "service", "list" }), CTL_UNREACHABLE);
}

/*
 * A change must be made at most once.  The first entry receives the change and
 * closes the connection without a response: the change may have been made, so
 * it is not sent to the second entry and the outcome is reported as unknown.
 * A read is retried at the second entry.
 */
TEST_F(Ctl, WhatMayHaveBeenDoneIsNotSentTwice)
{
	script["0 PUT /v1/teams/t"] = { 0, "", "", true };
	script["1 PUT /v1/teams/t"] = { 200, "{}", "", false };
	EXPECT_EQ(run({ "--entry", ports[0] + "," + ports[1], "team", "create",
		      "t" }),
	    CTL_UNKNOWN);
	EXPECT_EQ(seen.size(), 1u);
	script["0 GET /v1/teams"] = { 0, "", "", true };
	script["1 GET /v1/teams"] = { 200, R"({"teams":[]})", "", false };
	EXPECT_EQ(run({ "--entry", ports[0] + "," + ports[1], "team", "list" }),
	    CTL_OK);
	script["0 POST /v1/call/s"] = { 0, "", "", true };
	script["1 POST /v1/call/s"] = { 200, "x", "answered", false };
	EXPECT_EQ(run({ "--entry", ports[0] + "," + ports[1], "call", "s" }),
	    CTL_UNKNOWN);
	EXPECT_EQ(run({ "--entry", ports[0] + "," + ports[1], "call", "s",
		      "--idempotent" }),
	    CTL_OK);
	EXPECT_EQ(out, "x");
}

TEST_F(Ctl, WhatReachedNobodyGoesToTheNextEntry)
{
	script["1 PUT /v1/teams/t"] = { 200, "{}", "", false };
	EXPECT_EQ(
	    run({ "--entry", dead() + "," + ports[1], "team", "create", "t" }),
	    CTL_OK);
}

TEST_F(Ctl, ACallTellsItsOutcome)
{
	const struct {
		struct reply reply;
		int status;
	} cases[] = {
		{ { 200, "42", "answered", false }, CTL_OK },
		{ { 500, "bad", "answered", false }, CTL_OK },
		{ { 503, "{}", "not-run", false }, CTL_REFUSED },
		{ { 504, "{}", "unknown", false }, CTL_UNKNOWN },
		{ { 200, "42", "", false }, CTL_UNKNOWN },
	};

	for (const auto &c : cases) {
		script["POST /v1/call/s"] = c.reply;
		EXPECT_EQ(run({ "--entry", ports[0], "call", "s", "--body",
			      "hello", "--request-id", "r1" }),
		    c.status);
		EXPECT_EQ(seen.back(), "0 POST /v1/call/s hello");
		EXPECT_EQ(run({ "--entry", ports[0], "call", "s", "--json",
			      "--request-id", "r1" }),
		    c.status);
		EXPECT_NE(out.find(R"("request_id":"r1")"), std::string::npos);
	}
}

TEST_F(Ctl, AWatchIsPrintedAsItComes)
{
	script["POST /v1/call/s"] = { 200, "one\ntwo\n", "answered", false };
	EXPECT_EQ(run({ "--entry", ports[0], "call", "s", "--watch" }), CTL_OK);
	EXPECT_EQ(out, "one\ntwo\n");
}

TEST_F(Ctl, WaitNamesTheEntriesThatDontHaveIt)
{
	auto entries = [&](const std::string &second) {
		script["GET /v1/entries"] = { 200,
			R"({"entries":[{"id":"e0","listen":")" + ports[0] +
			    R"(","state":"live"},{"id":"e1","listen":")" +
			    second + R"(","state":"live"},{"id":"e2",)" +
			    R"("listen":"127.0.0.1:1","state":"gone"}]})",
			"", false };
	};
	auto wait = [&] {
		return run({ "--entry", ports[0], "config", "wait", "5",
		    "--deadline-ms", "1" });
	};

	entries(ports[1]);
	script["0 GET /v1/config"] = { 200, R"({"revision":6})", "", false };
	script["1 GET /v1/config"] = { 200, R"({"revision":5})", "", false };
	EXPECT_EQ(wait(), CTL_OK);
	script["PUT /v1/teams/t"] = { 200, R"({"revision":6})", "", false };
	EXPECT_EQ(run({ "--entry", ports[0], "team", "create", "t", "--wait",
		      "--deadline-ms", "1" }),
	    CTL_NOT_IN_FORCE);
	EXPECT_NE(out.find("e1  5"), std::string::npos) << out;
	script["1 GET /v1/config"] = { 200, R"({"revision":4})", "", false };
	EXPECT_EQ(wait(), CTL_NOT_IN_FORCE);
	EXPECT_NE(out.find("e1  4"), std::string::npos) << out;
	EXPECT_NE(out.find("has revision 4 in force"), std::string::npos);
	script["1 GET /v1/config"] = { 200,
		R"({"revision":6,"bad_record":[{"key":"lp/w/team/t",)"
		R"("revision":5,"field":"schema"}]})",
		"", false };
	EXPECT_EQ(wait(), CTL_NOT_IN_FORCE);
	EXPECT_NE(
	    out.find("refused lp/w/team/t, field schema"), std::string::npos);
	entries("127.0.0.1:1");
	EXPECT_EQ(wait(), CTL_NOT_IN_FORCE);
	EXPECT_NE(out.find("e1  -1"), std::string::npos) << out;
}

TEST_F(Ctl, JobsAreSubmittedAndCancelledByIdsOrTeam)
{
	script["POST /v1/jobs"] = { 200, R"({"id":"j","outcome":"accepted"})",
		"", false };
	script["POST /v1/jobs/cancel"] = { 200, R"({"jobs":[{"id":"a"}]})", "",
		false };
	EXPECT_EQ(run({ "--entry", ports[0], "job", "submit", "j", "team=t",
		      "tasks=2", "payload={}" }),
	    CTL_OK);
	EXPECT_EQ(seen.back(),
	    R"(0 POST /v1/jobs {"schema":1,"id":"j","team":"t","tasks":2,)"
	    R"("payload":{}})");
	EXPECT_EQ(
	    run({ "--entry", ports[0], "job", "cancel", "a", "b" }), CTL_OK);
	EXPECT_EQ(seen.back(), R"(0 POST /v1/jobs/cancel {"ids":["a","b"]})");
	EXPECT_EQ(run({ "--entry", ports[0], "job", "cancel", "--team", "t" }),
	    CTL_OK);
	EXPECT_EQ(seen.back(), R"(0 POST /v1/jobs/cancel {"team":"t"})");
}

TEST_F(Ctl, ExplainAsksTheEntryThatKnows)
{
	script["GET /v1/entries"] = { 200,
		R"({"entries":[{"id":"e1","listen":")" + ports[1] + R"("}]})",
		"", false };
	script["1 GET /v1/explain/request/r"] = { 200,
		R"({"requests":[{"what":"sent","why":"late"},{"what":"dropped"}]})",
		"", false };
	EXPECT_EQ(
	    run({ "--entry", ports[0], "explain", "request", "r" }), CTL_OK);
	EXPECT_EQ(out, "what  sent\nwhy   late\n\nwhat  dropped\n");
	EXPECT_EQ(run({ "--entry", ports[0], "explain", "x", "r" }), CTL_USAGE);
}

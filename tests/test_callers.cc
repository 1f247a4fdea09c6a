// Tests of the HTTP service for callers with a real HTTP client, scripted
// endpoints and kvstand, all on one event loop with a paused clock.
#include "kvstand_fixture.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

extern "C" {
#include "lagoonpind/callers.h"

const struct module *const modules[] = { &vms_module, &conf_watch_module,
	&callers_module };
const size_t nmodules = 3;

struct members *
mesh_members(const struct entry *)
{
	return nullptr;
}

static struct learn *learnt;
struct learn *
callers_learn(const struct entry *)
{
	return learnt;
}
struct learn_worker *
callers_learnt(const struct entry *, const char *)
{
	return nullptr;
}

/* Stub of the lend module: credits are set by the test, without peers. */
static std::map<std::string, credit_worker> rows;
static lend_changed *on_change;
static void *on_change_ctx;

void
lend_on_change(struct entry *, lend_changed *cb, void *ctx)
{
	on_change = cb;
	on_change_ctx = ctx;
}
const struct credit_worker *
lend_first(struct entry *)
{
	return nullptr;
}
const struct credit_worker *
lend_next(const struct credit_worker *)
{
	return nullptr;
}
static void
add_spare(struct entry *e, const char *worker, credit_kind kind, int n)
{
	credit_worker &row = rows[worker];

	strlcpy(row.worker, worker, sizeof(row.worker));
	row.spare.slots += kind == CREDIT_CALL ? n : 0;
	row.spare.connections += n;
	on_change(e, &row, on_change_ctx);
}
enum credit_error
lend_take(
    struct entry *e, const char *worker, enum credit_kind kind, uint64_t *epoch)
{
	*epoch = 7;
	add_spare(e, worker, kind, -1);
	EXPECT_GE(rows[worker].spare.slots, 0);
	return CREDIT_OK;
}
static int abandoned;
void
lend_release(struct entry *e, const char *worker, uint64_t epoch,
    enum credit_kind kind, enum credit_end end)
{
	EXPECT_EQ(epoch, 7U);
	abandoned += end == CREDIT_ABANDONED;
	if (end == CREDIT_ENDED)
		add_spare(e, worker, kind, 1);
}
void
lend_fenced(struct entry *, const char *, uint64_t)
{
}
bool
lend_request(struct entry *, const char *, enum credit_kind, int)
{
	return false;
}
}

namespace {

struct Endpoint;
using Behavior = std::function<void(Endpoint &, httpd_request *)>;

struct Endpoint {
	httpd *server = nullptr;
	std::string id, attempt;
	int runs = 0;
	httpd_request *held = nullptr;
	/* One per request; whole() after the last. */
	std::deque<Behavior> behaviors;

	void
	reply(httpd_request *r, const char *body, const char *as_id = nullptr)
	{
		httpd_header h[] = { { "lagoonpin-request-id",
					 as_id != nullptr ? as_id :
							    id.c_str() },
			{ "lagoonpin-attempt", attempt.c_str() },
			{ "content-type", "text/plain" } };
		httpd_reply(r, 200, h, 3, body, strlen(body));
	}
	void
	begin(httpd_request *r)
	{
		httpd_header h[] = { { "lagoonpin-request-id", id.c_str() },
			{ "lagoonpin-attempt", attempt.c_str() },
			{ "content-type", "application/x-ndjson" } };
		held = r;
		httpd_begin(r, 200, h, 3);
		httpd_send(r, "{}\n", 3);
	}
};

const Behavior hold_response = [](Endpoint &e, httpd_request *r) {
	e.held = r;
};
const Behavior truncate_response = [](Endpoint &e, httpd_request *r) {
	e.begin(r);
	httpd_abort(r);
};
const Behavior begin_stream = [](Endpoint &e, httpd_request *r) { e.begin(r); };
const Behavior respond_with_other_id = [](Endpoint &e, httpd_request *r) {
	e.reply(r, "not yours", "other-id");
};

Behavior
refuse(const char *why)
{
	return [why](Endpoint &e, httpd_request *r) {
		httpd_header h = { "lagoonpin-not-run", why };
		e.runs--;
		httpd_reply(r, 409, &h, 1, "", 0);
	};
}

struct Reply {
	bool over = false;
	httpc_error error = HTTPC_OK;
	int status = 0;
	std::string body, outcome, reason, retry_after;
	httpc_call *call = nullptr;
};

std::string
header(const httpc_result *r, const char *name)
{
	const char *value = httpc_response_header(r->call, name);
	return value != nullptr ? value : "";
}

using Headers = std::vector<httpc_header>;
const httpc_header IDEMPOTENT = { "lagoonpin-idempotent", "yes" };
const httpc_header WATCH = { "lagoonpin-watch", "yes" };

class Callers : public KvstandTest {
      protected:
	entry e = {};
	int entry_port = 0;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<vm_info> infos;
	std::deque<Reply> replies;

	void
	SetUp() override
	{
		httpc_options h = {};

		KvstandTest::SetUp();
		rows.clear();
		learn_options lo = {};
		learnt = learn_open(&lo);
		abandoned = 0;
		uv_loop_init(&e.loop);
		e.opt.id = "e1";
		e.opt.data_center = "dc1";
		e.opt.body_max_bytes = 1000;
		e.opt.queue_max = 100;
		e.opt.deadline_ms = 100000;
		e.opt.drain_ms = 1000000;
		e.opt.seed = 5;
		e.lend = (struct lend *)&e;
		h.loop = &loop_;
		e.endpoint_http = httpc_open(&h);
		e.store = open();
		for (const struct module *p : modules)
			ASSERT_EQ(p->open(&e), 0);
	}

	void
	start(int n, int slots)
	{
		httpd_options d = {};
		httpd_error error;

		for (int i = 0; i < n; i++)
			add_endpoint(i, slots);
		d.loop = &loop_;
		d.ip = "127.0.0.1";
		d.body_max = 1 << 20;
		d.ctx = &e;
		d.handler = [](httpd_request *r, void *ctx) {
			callers_module.http(static_cast<entry *>(ctx), r);
		};
		e.httpd = httpd_open(&d, &error);
		entry_port = httpd_port(e.httpd);
		fleet_apply(
		    e.fleet, infos.data(), infos.size(), clock_now_ms());
		for (auto &v : infos)
			add_spare(&e, v.id, CREDIT_CALL, slots);
		until([&] { return watch_loaded(&e); });
	}

	void
	add_endpoint(int i, int slots)
	{
		httpd_options d = {};
		httpd_error error;
		vm_info v = {};

		endpoints.push_back(std::make_unique<Endpoint>());
		d.loop = &loop_;
		d.ip = "127.0.0.1";
		d.body_max = 1 << 20;
		d.ctx = endpoints.back().get();
		d.handler = [](httpd_request *r, void *ctx) {
			auto *ep = static_cast<Endpoint *>(ctx);
			Behavior act = [](Endpoint &x, httpd_request *q) {
				x.reply(q, "whole");
			};
			ep->id =
			    httpd_request_header(r, "lagoonpin-request-id");
			ep->attempt =
			    httpd_request_header(r, "lagoonpin-attempt");
			ep->runs++;
			if (!ep->behaviors.empty()) {
				act = ep->behaviors.front();
				ep->behaviors.pop_front();
			}
			act(*ep, r);
		};
		endpoints.back()->server = httpd_open(&d, &error);
		snprintf(v.id, sizeof(v.id), "w%d", i);
		strlcpy(v.ip, "127.0.0.1", sizeof(v.ip));
		strlcpy(v.data_center, "dc1", sizeof(v.data_center));
		strlcpy(v.rack, "r1", sizeof(v.rack));
		strlcpy(v.services[0], "custodio", sizeof(v.services[0]));
		v.nservices = 1;
		v.control_port = 1;
		v.endpoint_port = httpd_port(endpoints.back()->server);
		v.slots = v.connections = slots;
		infos.push_back(v);
	}

	void
	TearDown() override
	{
		e.phase = ENTRY_CLOSING;
		httpd_close(e.httpd);
		for (auto &ep : endpoints)
			httpd_close(ep->server);
		callers_module.close(&e);
		conf_watch_module.close(&e);
		vms_module.close(&e);
		httpc_close(e.endpoint_http);
		store_close(store_);
		store_ = nullptr;
		uv_run(&e.loop, UV_RUN_DEFAULT);
		learn_close(learnt);
		KvstandTest::TearDown();
		uv_loop_close(&e.loop);
	}

	void
	turn() override
	{
		KvstandTest::turn();
		uv_run(&e.loop, UV_RUN_NOWAIT);
		conf_watch_module.tick(&e, clock_now_ms());
		callers_module.tick(&e, clock_now_ms());
	}

	Reply &
	send(const Headers &headers, const char *body = "b",
	    const char *path = "/v1/call/custodio")
	{
		std::string url =
		    "http://127.0.0.1:" + std::to_string(entry_port) + path;
		httpc_request r = {};

		replies.emplace_back();
		r.method = "POST";
		r.url = url.c_str();
		r.headers = headers.data();
		r.nheaders = headers.size();
		r.body = body;
		r.body_len = strlen(body);
		r.ctx = &replies.back();
		r.on_data = [](httpc_call *, const char *data, size_t len,
				void *ctx) {
			static_cast<Reply *>(ctx)->body.append(data, len);
		};
		r.on_done = [](const httpc_result *result, void *ctx) {
			auto *p = static_cast<Reply *>(ctx);
			p->over = true;
			p->error = result->error;
			p->status = result->status;
			p->outcome = header(result, "lagoonpin-outcome");
			p->reason = header(result, "lagoonpin-reason");
			p->retry_after = header(result, "retry-after");
		};
		replies.back().call = httpc_start(httpc_, &r);
		return replies.back();
	}

	Reply &
	call(const Headers &headers, const char *body = "b",
	    const char *path = "/v1/call/custodio")
	{
		Reply &r = send(headers, body, path);
		until([&] { return r.over; });
		return r;
	}

	int
	runs() const
	{
		int n = 0;
		for (auto &ep : endpoints)
			n += ep->runs;
		return n;
	}

	void
	act(const Behavior &a)
	{
		for (auto &ep : endpoints)
			ep->behaviors.push_back(a);
	}

	Endpoint *
	holder()
	{
		for (auto &ep : endpoints)
			if (ep->held != nullptr)
				return ep.get();
		return nullptr;
	}

	void
	expect(
	    const Reply &r, int status, const char *outcome, const char *reason)
	{
		EXPECT_EQ(r.status, status);
		EXPECT_EQ(r.outcome, outcome);
		EXPECT_EQ(r.reason, reason);
	}
};

Headers
non_idempotent(const char *id)
{
	return { { "lagoonpin-request-id", id } };
}

TEST_F(Callers, BadInputIsNamed)
{
	std::string longid(200, 'x'), big(1001, 'b');
	struct {
		Headers headers;
		const char *body, *path;
		int status;
		const char *reason;
	} cases[] = {
		{ { IDEMPOTENT, { "lagoonpin-deadline-ms", "0" } }, "", nullptr,
		    400, "bad_deadline" },
		{ { IDEMPOTENT, { "lagoonpin-deadline-ms", "5s" } }, "",
		    nullptr, 400, "bad_deadline" },
		{ {}, "", nullptr, 400, "missing_request_id" },
		{ non_idempotent("a b"), "", nullptr, 400, "bad_request_id" },
		{ non_idempotent(longid.c_str()), "", nullptr, 400,
		    "header_too_long" },
		{ { { "lagoonpin-idempotent", "maybe" } }, "", nullptr, 400,
		    "bad_header" },
		{ { IDEMPOTENT, { "lagoonpin-priority", "high" } }, "", nullptr,
		    400, "bad_header" },
		{ { IDEMPOTENT }, big.c_str(), nullptr, 413, "body_too_large" },
		{ { IDEMPOTENT }, "", "/v1/call/other", 404,
		    "unknown_service" },
	};
	start(1, 1);
	for (auto &c : cases) {
		SCOPED_TRACE(c.reason);
		const char *path =
		    c.path != nullptr ? c.path : "/v1/call/custodio";
		expect(call(c.headers, c.body, path), c.status, "not-run",
		    c.reason);
		std::string label = std::string("reason=\"") + c.reason + "\"";
		EXPECT_GE(counted("lagoonpin_call_refused", label.c_str()), 1U);
	}
	EXPECT_EQ(runs(), 0);
}

/* An endpoint refuses a call before running it.  The call certainly has not
 * run, so even a non-idempotent one is sent to the other endpoint, where it
 * runs once. */
TEST_F(Callers, RefusedIsSentElsewhere)
{
	start(2, 2);
	for (const char *why : { "full", "fenced" }) {
		endpoints[0]->behaviors = { refuse(why) };
		endpoints[1]->behaviors = { refuse(why) };
		for (int i = 0; i < 8; i++)
			expect(call(non_idempotent(
				   (why + std::to_string(i)).c_str())),
			    200, "answered", "complete");
	}
	EXPECT_EQ(runs(), 16);
	EXPECT_EQ(
	    counted("lagoonpin_call_retried", "reason=\"endpoint_full\"") +
		counted("lagoonpin_call_retried", "reason=\"endpoint_fenced\""),
	    4U);
}

/* The response is truncated.  A non-idempotent call may have run: its outcome
 * is unknown, it is not retried, and a repeat of its request id is refused.
 * An idempotent call is retried. */
TEST_F(Callers, CutAnswer)
{
	start(2, 2);
	act(truncate_response);
	expect(call(non_idempotent("p1")), 502, "unknown", "answer_cut");
	EXPECT_EQ(runs(), 1);
	expect(call(non_idempotent("p1")), 409, "unknown", "already_claimed");
	EXPECT_EQ(runs(), 1);
	expect(call({ IDEMPOTENT }), 200, "answered", "complete");
	EXPECT_EQ(abandoned, 2);
}

/* An endpoint sends the response of another request.  It must not reach the
 * caller. */
TEST_F(Callers, AnswerToAnotherRequestIsDropped)
{
	start(2, 2);
	act(respond_with_other_id);
	Reply &r = call(non_idempotent("p1"));
	expect(r, 502, "unknown", "answer_mismatch");
	EXPECT_EQ(r.body.find("not yours"), std::string::npos);
	EXPECT_EQ(call({ IDEMPOTENT }).body, "whole");
}

/* With one slot, the first call runs past its deadline and the second is
 * queued until its own: the outcome of the first is unknown, the second has
 * certainly not run.  The slot stays in use until the first call has ended at
 * the endpoint; its late response is dropped. */
TEST_F(Callers, DeadlinesAndTheLateAnswer)
{
	start(1, 1);
	act(hold_response);
	Reply &first =
	    send({ IDEMPOTENT, { "lagoonpin-deadline-ms", "5000" } });
	until([&] { return holder() != nullptr; });
	Reply &second =
	    send({ IDEMPOTENT, { "lagoonpin-deadline-ms", "9000" } });
	until([&] { return first.over && second.over; });
	expect(first, 504, "unknown", "deadline_passed");
	expect(second, 503, "not-run", "deadline_passed");
	EXPECT_GE(atoi(second.retry_after.c_str()), 1);
	EXPECT_EQ(rows["w0"].spare.slots, 0);
	Endpoint *ep = holder();
	ep->reply(ep->held, "late");
	until([&] { return rows["w0"].spare.slots == 1; });
	EXPECT_EQ(counted("lagoonpin_call_late_answers", ""), 1U);
	EXPECT_EQ(runs(), 1);
}

/* The caller disconnects while its non-idempotent call runs, then repeats the
 * request id: it gets the cached response, and the call has run once. */
TEST_F(Callers, CallerThatLeftGetsTheKeptAnswer)
{
	start(1, 1);
	act(hold_response);
	Reply &gone = send(non_idempotent("p1"), "pay 17");
	until([&] { return holder() != nullptr; });
	httpc_cancel(gone.call);
	for (int i = 0; i < 100; i++)
		turn();
	Endpoint *ep = holder();
	ep->reply(ep->held, "paid");
	until([&] { return rows["w0"].spare.slots == 1; });
	Reply &again = call(non_idempotent("p1"), "pay 17");
	expect(again, 200, "answered", "kept_answer");
	EXPECT_EQ(again.body, "paid");
	expect(call(non_idempotent("p1"), "pay 18"), 409, "unknown",
	    "already_claimed");
	EXPECT_EQ(runs(), 1);
}

/* While the store is unavailable, a non-idempotent call cannot be claimed and
 * is refused as not run; an idempotent call does not need the store.  The
 * repeat of a call that may have run must not be answered "not-run". */
TEST_F(Callers, StoreAway)
{
	start(2, 2);
	act(truncate_response);
	expect(call(non_idempotent("p0")), 502, "unknown", "answer_cut");
	fault("down");
	Reply &r = call({ { "lagoonpin-request-id", "p1" },
	    { "lagoonpin-deadline-ms", "9000" } });
	EXPECT_EQ(r.status, 503);
	EXPECT_EQ(r.outcome, "not-run");
	EXPECT_GE(atoi(r.retry_after.c_str()), 1);
	EXPECT_EQ(call({ { "lagoonpin-request-id", "p0" },
			   { "lagoonpin-deadline-ms", "9000" } })
		      .outcome,
	    "unknown");
	EXPECT_EQ(runs(), 1);
	expect(call({ IDEMPOTENT }), 200, "answered", "complete");
	fault("none");
	clock_advance(2000);
	until([&] { return call(non_idempotent("p2")).status == 200; });
}

/* The claim is written but the store's response is lost.  Reading back finds
 * the entry's own record, and the call runs once. */
TEST_F(Callers, LostClaimIsReadBack)
{
	start(1, 1);
	expect(call(non_idempotent("p0")), 200, "answered", "complete");
	fault("lose_answers", ",\"only\":\"kv\"");
	Reply &r = send(non_idempotent("p1"));
	for (int i = 0; i < 3000; i++)
		turn();
	fault("none");
	until([&] { return r.over; });
	expect(r, 200, "answered", "complete");
	EXPECT_EQ(runs(), 2);
}

TEST_F(Callers, WatchIsPassedOnAndItsCutIsSeen)
{
	start(1, 1);
	act(begin_stream);
	Reply &r = send({ IDEMPOTENT, WATCH });
	until([&] { return r.body == "{}\n"; });
	httpd_send(holder()->held, "{}\n", 3);
	httpd_end(holder()->held);
	until([&] { return r.over; });
	EXPECT_EQ(r.error, HTTPC_OK);
	EXPECT_EQ(r.body, "{}\n{}\n");
	act(truncate_response);
	EXPECT_EQ(call({ IDEMPOTENT, WATCH }).error, HTTPC_ERR_BROKEN);
	EXPECT_EQ(
	    counted("lagoonpin_call_unknown", "reason=\"answer_cut\""), 1U);
}

/* When the endpoint of a watch drains, the watch is moved to another endpoint
 * within the same response.  When the entry drains, the last line tells the
 * caller to reopen the watch, and the entry's drain completes. */
TEST_F(Callers, WatchIsMovedThenReopened)
{
	start(2, 1);
	act(begin_stream);
	Reply &r = send({ IDEMPOTENT, WATCH });
	until([&] { return r.body == "{}\n"; });
	infos[holder() == endpoints[0].get() ? 0 : 1].state = VM_LEAVING;
	fleet_apply(e.fleet, infos.data(), infos.size(), clock_now_ms());
	until([&] { return r.body == "{}\n{}\n"; });
	EXPECT_EQ(runs(), 2);
	e.phase = ENTRY_DRAINING;
	e.drain_since_ms = clock_now_ms();
	callers_module.drain(&e, clock_now_ms());
	EXPECT_FALSE(callers_module.drained(&e));
	clock_advance(e.opt.drain_ms / 2);
	until([&] { return r.over; });
	EXPECT_EQ(r.error, HTTPC_OK);
	EXPECT_EQ(r.body, "{}\n{}\n" CALL_REOPEN_LINE);
	until([&] { return callers_module.drained(&e); });
}

/* A graceful shutdown with one call in flight and one queued: both complete
 * normally, and the drain ends only after that. */
TEST_F(Callers, DrainFinishesWhatIsInFlight)
{
	start(1, 1);
	act(hold_response);
	Reply &first = send({ IDEMPOTENT });
	until([&] { return holder() != nullptr; });
	Reply &second = send({ IDEMPOTENT });
	until([&] { return counted("lagoonpin_calls_queued", "") == 1; });
	e.phase = ENTRY_DRAINING;
	e.drain_since_ms = clock_now_ms();
	callers_module.drain(&e, clock_now_ms());
	for (int i = 0; i < 100; i++)
		turn();
	EXPECT_FALSE(callers_module.drained(&e));
	holder()->reply(holder()->held, "whole");
	until([&] { return first.over && second.over; });
	EXPECT_EQ(first.body + second.body, "wholewhole");
	until([&] { return callers_module.drained(&e); });
}

/* A call on a connection that was open before the shutdown is refused. */
TEST_F(Callers, DrainRefusesNewCalls)
{
	start(1, 1);
	expect(call({ IDEMPOTENT }), 200, "answered", "complete");
	e.phase = ENTRY_DRAINING;
	e.drain_since_ms = clock_now_ms();
	callers_module.drain(&e, clock_now_ms());
	Reply &late = call({ IDEMPOTENT });
	expect(late, 503, "not-run", "stopping");
	EXPECT_EQ(late.retry_after, "1");
	EXPECT_EQ(runs(), 1);
}

} // namespace

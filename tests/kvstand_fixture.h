#ifndef KVSTAND_FIXTURE_H
#define KVSTAND_FIXTURE_H

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

extern "C" {
#include "clock.h"
#include "counter.h"
#include "httpc.h"
#include "httpd.h"
#include "kvstand/gateway.h"
#include "store.h"
}

/*
 * The store client and the stand-in store on one event loop with a paused
 * clock.  Only loopback sockets run in real time, and no test depends on their
 * speed.
 */
class KvstandTest : public ::testing::Test {
      protected:
	/* Well above the iterations that any step needs. */
	static const int TURNS_MAX = 500000;

	void
	SetUp() override
	{
		struct httpc_options http = {};

		clock_pause(1000000);
		counter_reset();
		uv_loop_init(&loop_);
		http.loop = &loop_;
		httpc_ = httpc_open(&http);
		open_gateway();
	}

	void
	TearDown() override
	{
		store_close(store_);
		httpc_close(httpc_);
		if (gateway_ != nullptr)
			gateway_close(gateway_);
		uv_run(&loop_, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop_), 0);
		clock_resume();
	}

	void
	open_gateway()
	{
		struct gateway_options options = {};
		enum gateway_error error;

		options.loop = &loop_;
		options.ip = "127.0.0.1";
		options.seed = 7;
		gateway_ = gateway_open(&options, &error);
		ASSERT_NE(gateway_, nullptr) << gateway_strerror(error);
		port_ = gateway_port(gateway_);
	}

	void
	close_gateway()
	{
		gateway_close(gateway_);
		gateway_ = nullptr;
		for (int i = 0; i < 10; i++)
			uv_run(&loop_, UV_RUN_NOWAIT);
	}

	/* Opens the client; an unreachable endpoint, if given, comes first. */
	struct store *
	open(double calls_per_s = 0, const char *dead = nullptr)
	{
		std::string url = "http://127.0.0.1:" + std::to_string(port_);
		const char *endpoints[] = { dead, url.c_str() };
		struct store_options options = {};

		options.loop = &loop_;
		options.httpc = httpc_;
		options.endpoints = dead != nullptr ? endpoints : endpoints + 1;
		options.nendpoints = dead != nullptr ? 2 : 1;
		options.calls_per_s = calls_per_s;
		options.call_timeout_ms = 60000;
		options.connect_timeout_ms = 60000;
		options.watch_idle_ms = 600000;
		store_ = store_open(&options);
		return store_;
	}

	/* Runs the event loop once and advances the clock by 1 ms. */
	virtual void
	turn()
	{
		uv_run(&loop_, UV_RUN_NOWAIT);
		clock_advance(1);
		if (store_ != nullptr)
			store_tick(store_, clock_now_ms());
		if (gateway_ != nullptr)
			gateway_tick(gateway_, clock_now_ms());
	}

	template <typename F>
	void
	until(F done)
	{
		for (int i = 0; i < TURNS_MAX; i++) {
			if (done())
				return;
			turn();
		}
		/* The condition never became true; the test cannot continue. */
		throw std::runtime_error("stuck");
	}

	/* Sends a request to the stand-in without the client under test. */
	void
	post(const char *path, const std::string &body)
	{
		std::string url =
		    "http://127.0.0.1:" + std::to_string(port_) + path;
		struct httpc_request r = {};
		int status = 0;

		r.method = "POST";
		r.url = url.c_str();
		r.body = body.data();
		r.body_len = body.size();
		r.ctx = &status;
		r.on_done = [](const struct httpc_result *result, void *ctx) {
			*(int *)ctx = result->status;
		};
		ASSERT_NE(httpc_start(httpc_, &r), nullptr);
		while (status == 0)
			uv_run(&loop_, UV_RUN_NOWAIT);
		EXPECT_EQ(status, 200);
	}

	void
	fault(const std::string &mode, const std::string &more = "")
	{
		post("/fault", "{\"mode\":\"" + mode + "\"" + more + "}");
	}

	static uint64_t
	counted(const char *name, const char *labels)
	{
		return counter_value(counter_get(name, labels));
	}

	uv_loop_t loop_;
	struct httpc *httpc_ = nullptr;
	struct gateway *gateway_ = nullptr;
	struct store *store_ = nullptr;
	int port_ = 0;
};

#endif /* KVSTAND_FIXTURE_H */

// Tests of the HTTP server with a raw TCP client on the same event loop.
#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <string>

extern "C" {
#include "httpd.h"
}

namespace {

struct Client {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	std::string request, received;
	char buffer[4096];
	bool closed = false;

	void
	open(uv_loop_t *loop, int port, const std::string &text)
	{
		struct sockaddr_in address;

		request = text;
		uv_ip4_addr("127.0.0.1", port, &address);
		uv_tcp_init(loop, &tcp);
		tcp.data = this;
		connect.data = this;
		uv_tcp_connect(&connect, &tcp, (struct sockaddr *)&address,
		    [](uv_connect_t *c, int status) {
			    ASSERT_EQ(0, status);
			    ((Client *)c->data)->start();
		    });
	}

	void
	start()
	{
		uv_buf_t buf = uv_buf_init(&request[0], request.size());

		uv_write(&write, (uv_stream_t *)&tcp, &buf, 1, nullptr);
		uv_read_start((uv_stream_t *)&tcp,
		    [](uv_handle_t *h, size_t, uv_buf_t *b) {
			    Client *c = (Client *)h->data;
			    *b = uv_buf_init(c->buffer, sizeof(c->buffer));
		    },
		    [](uv_stream_t *s, ssize_t n, const uv_buf_t *b) {
			    Client *c = (Client *)s->data;
			    if (n > 0)
				    c->received.append(b->base, n);
			    else if (n < 0)
				    c->close();
		    });
	}

	void
	close()
	{
		if (closed)
			return;
		closed = true;
		if (!uv_is_closing((uv_handle_t *)&tcp))
			uv_close((uv_handle_t *)&tcp, nullptr);
	}

	bool
	has(const char *text) const
	{
		return received.find(text) != std::string::npos;
	}
};

class HttpdTest : public testing::Test {
      protected:
	uv_loop_t loop;
	struct httpd *httpd = nullptr;
	Client client;
	std::function<void(struct httpd_request *)> handler;
	struct httpd_request *kept = nullptr;
	int gone = 0;

	void
	SetUp() override
	{
		struct httpd_options options = {};
		enum httpd_error error;

		uv_loop_init(&loop);
		options.loop = &loop;
		options.ip = "127.0.0.1";
		options.body_max = 64;
		options.ctx = this;
		options.handler = [](struct httpd_request *r, void *ctx) {
			((HttpdTest *)ctx)->handler(r);
		};
		httpd = httpd_open(&options, &error);
		ASSERT_NE(nullptr, httpd) << httpd_strerror(error);
	}

	void
	TearDown() override
	{
		client.close();
		if (httpd != nullptr)
			httpd_close(httpd);
		uv_run(&loop, UV_RUN_DEFAULT);
		ASSERT_EQ(0, uv_loop_close(&loop));
	}

	// Runs the event loop until the condition holds.
	void
	until(const std::function<bool()> &condition)
	{
		while (!condition())
			uv_run(&loop, UV_RUN_ONCE);
	}

	void
	send(const std::string &text)
	{
		client.open(&loop, httpd_port(httpd), text);
	}
};

const char *const kGet = "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n"
			 "X-One: two\r\n\r\n";

TEST_F(HttpdTest, AnswersWithTheRequestsParts)
{
	handler = [](struct httpd_request *r) {
		struct httpd_header h = { "x-reply", "yes" };
		std::string text = std::string(httpd_method(r)) + " " +
		    httpd_path(r) + " " + httpd_query(r) + " " +
		    httpd_request_header(r, "x-one");
		EXPECT_EQ(nullptr, httpd_request_header(r, "x-none"));
		httpd_reply(r, 202, &h, 1, text.data(), text.size());
	};
	send(kGet);
	until([&] { return client.has("GET /a/b c=d two"); });
	EXPECT_TRUE(client.has("HTTP/1.1 202"));
	EXPECT_TRUE(client.has("x-reply: yes"));
}

TEST_F(HttpdTest, AnswersLaterInPieces)
{
	handler = [&](struct httpd_request *r) { kept = r; };
	send(kGet);
	until([&] { return kept != nullptr; });
	httpd_begin(kept, 200, nullptr, 0);
	httpd_send(kept, "first", 5);
	until([&] { return client.has("first"); });
	httpd_send(kept, "second", 6);
	httpd_send(kept, "third", 5);
	httpd_end(kept);
	until([&] { return client.has("0\r\n\r\n"); });
	EXPECT_TRUE(client.has("second"));
	EXPECT_TRUE(client.has("third"));
}

// The client gets the first piece, then the connection is closed before the
// last chunk, so that it cannot take the response for complete.
TEST_F(HttpdTest, AbortedAnswerNeverLooksComplete)
{
	handler = [&](struct httpd_request *r) { kept = r; };
	send(kGet);
	until([&] { return kept != nullptr; });
	httpd_begin(kept, 200, nullptr, 0);
	httpd_send(kept, "first", 5);
	until([&] { return client.has("first"); });
	httpd_abort(kept);
	until([&] { return client.closed; });
	EXPECT_FALSE(client.has("0\r\n\r\n"));
}

// A request aborted before its response closes the connection immediately, so
// that the client need not wait for its own timeout.
TEST_F(HttpdTest, AbortBeforeTheAnswerBreaksTheConnection)
{
	handler = [&](struct httpd_request *r) { httpd_abort(r); };
	send(kGet);
	until([&] { return client.closed; });
	EXPECT_FALSE(client.has("HTTP/1.1 200"));
}

// The client disconnects while its request waits or its response is being
// sent.  The handler is notified once, so that it can stop unneeded work.
TEST_F(HttpdTest, TellsWhenTheCallerIsGone)
{
	for (bool streaming : { false, true }) {
		kept = nullptr;
		gone = 0;
		client = Client();
		handler = [&](struct httpd_request *r) {
			kept = r;
			httpd_on_disconnect(
			    r,
			    [](struct httpd_request *, void *ctx) {
				    ++*(int *)ctx;
			    },
			    &gone);
		};
		send(kGet);
		until([&] { return kept != nullptr; });
		if (streaming) {
			httpd_begin(kept, 200, nullptr, 0);
			httpd_send(kept, "piece", 5);
			until([&] { return client.has("piece"); });
		}
		client.close();
		until([&] { return gone > 0; });
		uv_run(&loop, UV_RUN_NOWAIT);
		EXPECT_EQ(1, gone);
	}
}

TEST_F(HttpdTest, RefusesABodyOverTheLimit)
{
	handler = [](struct httpd_request *) { FAIL(); };
	send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n");
	until([&] { return client.has("HTTP/1.1 413"); });
}

TEST_F(HttpdTest, ClosesWithRequestsOpen)
{
	handler = [&](struct httpd_request *r) { kept = r; };
	send(kGet);
	until([&] { return kept != nullptr; });
	// TearDown closes the server with the request open and must return.
}

TEST_F(HttpdTest, TakesASecondRequestOnTheConnection)
{
	int n = 0;
	handler = [&](struct httpd_request *r) {
		std::string text = "answer " + std::to_string(++n);
		httpd_reply(r, 200, nullptr, 0, text.data(), text.size());
	};
	send(std::string(kGet) + kGet);
	until([&] { return client.has("answer 2"); });
}

// Guards against a handler whose context is freed being called for a request
// that was already in the connection's buffer when the server was closed.
TEST_F(HttpdTest, HandlesNoRequestOnceItIsClosed)
{
	int n = 0;
	handler = [&](struct httpd_request *r) {
		n++;
		httpd_reply(r, 200, nullptr, 0, "first", 5);
	};
	send(kGet);
	until([&] { return client.has("first"); });
	uv_buf_t buf = uv_buf_init((char *)kGet, strlen(kGet));
	ASSERT_EQ((int)strlen(kGet),
	    uv_try_write((uv_stream_t *)&client.tcp, &buf, 1));
	httpd_close(httpd);
	httpd = nullptr;
	until([&] { return client.closed; });
	EXPECT_EQ(1, n);
}

// A graceful shutdown closes the listener and soon after the server.  This
// used to fail an assertion in h2o, whose shutdown timer was still active.
TEST_F(HttpdTest, ClosesSoonAfterItStopsListening)
{
	httpd_stop_listening(httpd);
	uv_run(&loop, UV_RUN_NOWAIT);
	// TearDown closes the server.
}

TEST(HttpdOpenTest, RefusesABadAddress)
{
	struct httpd_options options = {};
	enum httpd_error error;
	uv_loop_t loop;

	uv_loop_init(&loop);
	options.loop = &loop;
	options.ip = "localhost";
	EXPECT_EQ(nullptr, httpd_open(&options, &error));
	EXPECT_EQ(HTTPD_ERR_ADDRESS, error);
	uv_loop_close(&loop);
}

} // namespace

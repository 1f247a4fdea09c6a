// Tests of what clients can make the HTTP server hold, over raw connections on
// the same event loop.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

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
	bool connected = false, closed = false;

	void
	Open(uv_loop_t *loop, int port, const std::string &text)
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
			    static_cast<Client *>(c->data)->Start();
		    });
	}

	void
	Start()
	{
		connected = true;
		uv_read_start((uv_stream_t *)&tcp,
		    [](uv_handle_t *h, size_t, uv_buf_t *b) {
			    Client *c = static_cast<Client *>(h->data);
			    *b = uv_buf_init(c->buffer, sizeof(c->buffer));
		    },
		    [](uv_stream_t *s, ssize_t n, const uv_buf_t *b) {
			    Client *c = static_cast<Client *>(s->data);
			    if (n > 0)
				    c->received.append(b->base, n);
			    else if (n < 0)
				    c->Close();
		    });
		Send();
	}

	// Sends what request holds.
	void
	Send()
	{
		uv_buf_t buf = uv_buf_init(&request[0], request.size());

		if (!request.empty())
			uv_write(&write, (uv_stream_t *)&tcp, &buf, 1, nullptr);
	}

	void
	Close()
	{
		if (!closed && !uv_is_closing((uv_handle_t *)&tcp))
			uv_close((uv_handle_t *)&tcp, nullptr);
		closed = true;
	}

	bool
	Has(const char *text) const
	{
		return received.find(text) != std::string::npos;
	}
};

std::string
Head(size_t body_len)
{
	return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
	    std::to_string(body_len) + "\r\n\r\n";
}

class HttpdLimit : public testing::Test {
      protected:
	static constexpr size_t kHeadMax = 1024, kBodyMax = 200000;

	void
	SetUp() override
	{
		uv_loop_init(&loop);
		options.loop = &loop;
		options.ip = "127.0.0.1";
		options.body_max = kBodyMax;
		options.head_max = kHeadMax;
		options.ctx = this;
		options.handler = [](struct httpd_request *r, void *ctx) {
			HttpdLimit *self = static_cast<HttpdLimit *>(ctx);
			self->handled++;
			if (self->keep_requests)
				self->kept.push_back(r);
			else
				httpd_reply(r, 200, nullptr, 0, "ok", 2);
		};
	}

	void
	TearDown() override
	{
		for (Client *c : { &first, &second, &third }) {
			if (c->connected)
				c->Close();
		}
		if (httpd != nullptr)
			httpd_close(httpd);
		uv_run(&loop, UV_RUN_DEFAULT);
		ASSERT_EQ(0, uv_loop_close(&loop));
	}

	void
	Listen()
	{
		enum httpd_error error;

		httpd = httpd_open(&options, &error);
		ASSERT_NE(nullptr, httpd) << httpd_strerror(error);
	}

	// Connects, and sends the text.
	void
	Send(Client &client, const std::string &text)
	{
		client.Open(&loop, httpd_port(httpd), text);
		Until([&] { return client.connected; });
	}

	void
	Until(const std::function<bool()> &condition)
	{
		while (!condition())
			uv_run(&loop, UV_RUN_ONCE);
	}

	// Runs the event loop until it has nothing left to do at once.
	void
	Settle()
	{
		for (int i = 0; i < 100; i++)
			uv_run(&loop, UV_RUN_NOWAIT);
	}

	uv_loop_t loop;
	struct httpd_options options = {};
	struct httpd *httpd = nullptr;
	Client first, second, third;
	bool keep_requests = false;
	int handled = 0;
	std::vector<struct httpd_request *> kept;
};

// Guards against large heads that are parsed and handled.
TEST_F(HttpdLimit, AHeadOverTheLimitIsRefused)
{
	Listen();
	Send(first,
	    "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " +
		std::string(kHeadMax, 'a') + "\r\n\r\n");
	Until([&] { return first.Has("\r\n\r\n"); });
	EXPECT_TRUE(first.Has("HTTP/1.1 431"));
}

// Guards against memory held for a head that never ends.
TEST_F(HttpdLimit, AHeadWithoutEndIsClosed)
{
	Listen();
	Send(first,
	    "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " +
		std::string(kHeadMax, 'a'));
	Until([&] { return first.closed; });
	EXPECT_TRUE(first.Has("HTTP/1.1 431"));
}

// Guards against a body that counts as part of its head.
TEST_F(HttpdLimit, ABodyMayBeLargerThanAHead)
{
	Listen();
	Send(first, Head(20 * kHeadMax) + std::string(20 * kHeadMax, 'b'));
	Until([&] { return first.Has("ok"); });
	EXPECT_TRUE(first.Has("HTTP/1.1 200"));
}

// Guards against unfinished bodies that use up the memory, and against an
// ordinary request that is closed for them.
TEST_F(HttpdLimit, TheLargestUnfinishedRequestIsClosed)
{
	options.receive_max = 60000;
	Listen();
	Send(first, Head(1000) + std::string(500, 'b'));
	Send(second, Head(kBodyMax) + std::string(kBodyMax - 10, 'b'));
	Until([&] { return second.closed; });
	first.request = std::string(500, 'b');
	first.Send();
	Until([&] { return first.Has("ok"); });
	EXPECT_TRUE(first.Has("HTTP/1.1 200"));
}

// Guards against whole bodies that use up the memory while they are handled.
TEST_F(HttpdLimit, ALargeBodyIsRefusedWhileOthersAreHandled)
{
	options.receive_max = 240000;
	keep_requests = true;
	Listen();
	Send(first, Head(50000) + std::string(50000, 'b'));
	Until([&] { return kept.size() == 1; });
	Send(second, Head(60000) + std::string(60000, 'b'));
	Until([&] { return second.Has("\r\n\r\n"); });
	EXPECT_TRUE(second.Has("HTTP/1.1 503"));
	EXPECT_TRUE(second.Has("retry-after: 1"));
	EXPECT_EQ(kept.size(), 1u);
	Send(third, Head(10) + std::string(10, 'b'));
	Until([&] { return kept.size() == 2; });
}

// Guards against connections that are held open and keep all others away.
TEST_F(HttpdLimit, TheConnectionThatIsIdleForLongestIsClosed)
{
	options.connections_max = 2;
	Listen();
	Send(first, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	Until([&] { return first.Has("ok"); });
	Send(second, "GET");
	Settle();
	first.received.clear();
	first.Send();
	Until([&] { return first.Has("ok"); });
	Send(third, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	Until([&] { return third.Has("ok") && second.closed; });
	EXPECT_FALSE(first.closed);
}

// Guards against a request that runs though its connection was refused: its
// bytes arrive as the connection is closed for a new one.
TEST_F(HttpdLimit, ARequestOfARefusedConnectionIsNotHandled)
{
	options.connections_max = 1;
	Listen();
	Send(first, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	Until([&] { return first.Has("ok"); });
	third.Open(&loop, httpd_port(httpd), "");
	first.Send();
	Until([&] { return first.closed && third.connected; });
	EXPECT_EQ(handled, 1);
}

// Guards against limits of the first configuration that stay in force.
TEST_F(HttpdLimit, ChangedLimitsHoldForTheNextRequest)
{
	Listen();
	httpd_set_request_max(httpd, kHeadMax, 10);
	Send(first, Head(20) + std::string(20, 'b'));
	Until([&] { return first.Has("\r\n\r\n"); });
	EXPECT_TRUE(first.Has("HTTP/1.1 413"));
}

} // namespace

#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "counter.h"
#include "peer.h"
}

namespace {

using Received = std::vector<std::string>;

void
Note(const void *data, size_t len, void *ctx)
{
	static_cast<Received *>(ctx)->emplace_back((const char *)data, len);
}

class Peer : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		uv_loop_init(&loop);
	}
	struct peer *
	Open(Received *to, const char *ip = "127.0.0.1", int port = 0)
	{
		struct peer_options o = {};

		o.loop = &loop;
		o.ip = ip;
		o.port = port;
		o.heartbeat_ms = 1000;
		o.heartbeat_timeout_ms = 3000;
		o.keepalive_s = 30;
		o.queue_max = 500;
		o.message_max = 1000;
		o.on_message = Note;
		o.ctx = to;
		struct peer *p = peer_open(&o, &error);
		if (p != nullptr)
			open.push_back(p);
		return p;
	}
	void
	Connect(struct peer *from, const char *id, struct peer *to)
	{
		std::string at = "127.0.0.1:" + std::to_string(peer_port(to));
		ASSERT_EQ(PEER_OK, peer_connect(from, id, at.c_str()));
	}
	// A send is refused until the connection is established.
	void
	Send(struct peer *from, const char *id, const std::string &s)
	{
		while (peer_send(from, id, s.data(), s.size()) != PEER_OK)
			uv_run(&loop, UV_RUN_NOWAIT);
	}
	void
	Await(const Received &r, size_t count)
	{
		while (r.size() < count)
			uv_run(&loop, UV_RUN_ONCE);
	}
	void
	Close(struct peer *p)
	{
		for (auto &o : open)
			o = o == p ? nullptr : o;
		peer_close(p);
		uv_run(&loop, UV_RUN_NOWAIT);
	}
	void
	TearDown() override
	{
		for (auto p : open)
			peer_close(p);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(0, uv_loop_close(&loop));
	}

	uv_loop_t loop;
	enum peer_error error = PEER_OK;
	std::vector<struct peer *> open;
};

// Many messages arrive between two iterations of the event loop.  The
// edge-triggered descriptor signals them once; messages not read then would
// never be delivered.
TEST_F(Peer, ReadsAllMessagesOfOneEdge)
{
	Received at_a, at_b;
	struct peer *a = Open(&at_a), *b = Open(&at_b);

	Connect(a, "b", b);
	Connect(b, "a", a);
	for (int i = 0; i < 400; i++)
		Send(a, "b", std::to_string(i));
	Await(at_b, 400);
	for (int i = 0; i < 400; i++)
		EXPECT_EQ(std::to_string(i), at_b[i]);
	Send(b, "a", "back");
	Await(at_a, 1);
}

TEST_F(Peer, AbsentPeersCostNoMemoryAndAreCounted)
{
	Received at_a, at_b;
	struct peer *a = Open(&at_a), *b = Open(&at_b);
	struct counter *dropped = counter_get(
	    "lagoonpin_peer_dropped", "reason=\"peer_away_or_full\"");
	std::string at = "127.0.0.1:" + std::to_string(peer_port(b));
	uint64_t before;

	Close(b);
	EXPECT_EQ(PEER_OK, peer_connect(a, "b", at.c_str()));
	before = counter_value(dropped);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(PEER_ERR_BUSY, peer_send(a, "b", "x", 1));
	EXPECT_EQ(before + 10, counter_value(dropped));
	EXPECT_EQ(PEER_ERR_UNKNOWN, peer_send(a, "c", "x", 1));
	// The peer restarts at another port.
	b = Open(&at_b);
	Connect(a, "b", b);
	Send(a, "b", "hello");
	Await(at_b, 1);
	EXPECT_EQ("hello", at_b[0]);
	peer_disconnect(a, "b");
	EXPECT_EQ(PEER_ERR_UNKNOWN, peer_send(a, "b", "x", 1));
}

TEST_F(Peer, AnOversizedMessageIsNotDelivered)
{
	Received at_a, at_b;
	struct peer *a = Open(&at_a), *b = Open(&at_b);

	Connect(a, "b", b);
	Send(a, "b", std::string(1001, 'x'));
	Connect(b, "a", a);
	Send(b, "a", "alive");
	Await(at_a, 1);
	EXPECT_TRUE(at_b.empty());
}

TEST_F(Peer, BadAddressesAreRefused)
{
	Received r;
	struct peer *a = Open(&r);
	const char *const bad[] = { "localhost:1", "127.0.0.1", "127.0.0.1:0",
		"127.0.0.1:65536", "1.2.3:4", ":1", "127.0.0.1:1x" };

	for (auto address : bad)
		EXPECT_EQ(PEER_ERR_ADDRESS, peer_connect(a, "b", address))
		    << address;
	EXPECT_EQ(nullptr, Open(&r, "localhost"));
	EXPECT_EQ(PEER_ERR_ADDRESS, error);
	EXPECT_EQ(nullptr, Open(&r, "127.0.0.1", peer_port(a)));
	EXPECT_EQ(PEER_ERR_BIND, error);
}

} // namespace

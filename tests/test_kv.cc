#include <unistd.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <uv.h>

#include "scripted_peer.h"

extern "C" {
#include "clock.h"
#include "counter.h"
#include "kv.h"
}

namespace {

// A server that answers reads of the key "answered" and is silent otherwise.
class Kv : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		struct httpc_options http_options;
		struct platform_kv_options options;
		struct sockaddr_in any;
		int len = sizeof(any);

		clock_pause(1000000);
		uv_loop_init(&loop);
		server.data = this;
		uv_tcp_init(&loop, &server);
		uv_ip4_addr("127.0.0.1", 0, &any);
		uv_tcp_bind(&server, (const struct sockaddr *)&any, 0);
		ASSERT_EQ(
		    uv_listen((uv_stream_t *)&server, 16, OnConnection), 0);
		uv_tcp_getsockname(&server, (struct sockaddr *)&any, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
		memset(&http_options, 0, sizeof(http_options));
		http_options.loop = &loop;
		http = httpc_open(&http_options);
		ASSERT_NE(http, nullptr);
		memset(&options, 0, sizeof(options));
		options.http = http;
		options.address = address.c_str();
		kv = platform_kv_open(&options);
		platform_kv_ops(kv, &ops);
	}

	void
	TearDown() override
	{
		httpc_close(http);
		uv_walk(
		    &loop,
		    [](uv_handle_t *handle, void *ctx) {
			    if (!uv_is_closing(handle) &&
				handle->type == UV_TCP && handle->data == ctx)
				    uv_close(handle, nullptr);
		    },
		    this);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		for (uv_tcp_t *client : clients)
			delete client;
		free(kv);
		clock_resume();
	}

	void
	Get(const char *key)
	{
		ops.get(
		    ops.self, key,
		    [](const struct kv_result *, void *ctx) {
			    static_cast<Kv *>(ctx)->done++;
		    },
		    this);
	}

	void
	RunUntilDone(int n)
	{
		for (int i = 0; i < 100 && done < n; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(5000);
		}
	}

	static void
	OnConnection(uv_stream_t *server, int)
	{
		Kv *self = static_cast<Kv *>(server->data);
		uv_tcp_t *client = new uv_tcp_t;

		uv_tcp_init(&self->loop, client);
		client->data = self;
		self->clients.push_back(client);
		uv_accept(server, (uv_stream_t *)client);
		uv_read_start((uv_stream_t *)client, OnAlloc, OnRead);
	}
	static void
	OnAlloc(uv_handle_t *handle, size_t, uv_buf_t *buf)
	{
		Kv *self = static_cast<Kv *>(handle->data);

		*buf = uv_buf_init(self->input, sizeof(self->input));
	}
	static void
	OnRead(uv_stream_t *client, ssize_t n, const uv_buf_t *buf)
	{
		static char answer[] =
		    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
		uv_buf_t out = uv_buf_init(answer, sizeof(answer) - 1);

		if (n > 0 &&
		    std::string(buf->base, (size_t)n).find("key=answered") !=
			std::string::npos)
			uv_try_write(client, &out, 1);
	}

	uv_loop_t loop;
	uv_tcp_t server;
	std::vector<uv_tcp_t *> clients;
	char input[4096];
	std::string address;
	struct httpc *http = nullptr;
	struct platform_kv *kv = nullptr;
	struct kv_ops ops;
	int done = 0;
};

} // namespace

// Guards against a silence that isn't noticed for a second, because an older
// call was under way when the store gave its last answer.
TEST_F(Kv, ACallFromBeforeTheLastAnswerHidesNoSilence)
{
	EXPECT_EQ(ops.waiting_ms(ops.self), 0);
	Get("silent");
	EXPECT_EQ(ops.waiting_ms(ops.self), 1000000);
	clock_advance(2);
	Get("answered");
	clock_advance(2);
	RunUntilDone(1);
	ASSERT_EQ(done, 1);
	ASSERT_EQ(ops.answered_ms(ops.self), 1000004);
	EXPECT_EQ(ops.waiting_ms(ops.self), 0);
	clock_advance(2);
	Get("silent");
	EXPECT_EQ(ops.waiting_ms(ops.self), 1000006);
}

namespace {

const char kNoKey[] = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const char kChanged[] =
    "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 12\r\n\r\n"
    "{\"items\":[]}";

// A store that answers as scripted, and may close a connection before it does.
class KvStale : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		struct httpc_options http_options = {};

		uv_loop_init(&loop);
		http_options.loop = &loop;
		http = httpc_open(&http_options);
		ASSERT_NE(http, nullptr);
	}

	void
	TearDown() override
	{
		httpc_close(http);
		peer->stop();
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		platform_kv_close(kv);
	}

	void
	Play(std::vector<Step> steps)
	{
		struct platform_kv_options options = {};

		peer = std::make_unique<ScriptedPeer>(&loop, std::move(steps));
		std::string address = peer->address();
		options.http = http;
		options.address = address.c_str();
		kv = platform_kv_open(&options);
		platform_kv_ops(kv, &ops);
	}

	enum kv_error
	Wait()
	{
		while (!answered)
			uv_run(&loop, UV_RUN_ONCE);
		answered = false;
		return error;
	}

	enum kv_error
	Get()
	{
		ops.get(ops.self, "k", OnDone, this);
		return Wait();
	}

	enum kv_error
	Write()
	{
		struct kv_put put = { "k", "v", 1 };
		struct kv_txn txn = {};

		txn.puts = &put;
		txn.nputs = 1;
		ops.txn(ops.self, &txn, OnDone, this);
		return Wait();
	}

	static void
	OnDone(const struct kv_result *result, void *ctx)
	{
		auto *self = static_cast<KvStale *>(ctx);

		self->answered = true;
		self->error = result->error;
		self->keys.clear();
		for (size_t i = 0; i < result->nitems; i++)
			self->keys.push_back(result->items[i].key);
	}

	uv_loop_t loop;
	struct httpc *http = nullptr;
	struct platform_kv *kv = nullptr;
	struct kv_ops ops = {};
	std::unique_ptr<ScriptedPeer> peer;
	bool answered = false;
	enum kv_error error = KV_OK;
	std::vector<std::string> keys;
};

Step
Answer(const std::string &body)
{
	return { "HTTP/1.1 200 OK\r\nContent-Length: " +
		    std::to_string(body.size()) + "\r\n\r\n" + body,
		false };
}

// Three items; the key of the second contains a NUL.
const char kNulKey[] = "[{\"key\":\"servers/a\",\"value\":\"\",\"revision\":1},"
		       "{\"key\":\"servers/a\\u0000b\",\"value\":\"\","
		       "\"revision\":2},"
		       "{\"key\":\"servers/c\",\"value\":\"\",\"revision\":3}]";

} // namespace

// Guards against reads that fail each time the store closes idle connections.
TEST_F(KvStale, AReadIsRepeatedOnce)
{
	Play({ { kNoKey, false }, { "", true }, { kNoKey, false } });
	ASSERT_EQ(Get(), KV_OK);
	EXPECT_EQ(Get(), KV_OK);
	EXPECT_EQ(peer->requests, 3u);
}

// Guards against a read that is repeated for as long as connections break.
TEST_F(KvStale, AReadIsNotRepeatedTwice)
{
	Play({ { kNoKey, false }, { "", true }, { "", true } });
	ASSERT_EQ(Get(), KV_OK);
	EXPECT_EQ(Get(), KV_UNAVAILABLE);
	EXPECT_EQ(peer->requests, 3u);
}

// Guards against a write that took effect and is taken for a conflict.
TEST_F(KvStale, AWriteIsNotRepeated)
{
	Play({ { kNoKey, false }, { "", true }, { kChanged, false } });
	ASSERT_EQ(Get(), KV_OK);
	EXPECT_EQ(Write(), KV_UNKNOWN);
	EXPECT_EQ(peer->requests, 2u);
}

// Guards against a key of another writer that ends the process that reads on
// after it, or reads another key.
TEST_F(KvStale, AnyKeyCanBeRead)
{
	Play({ { kNoKey, false }, { kNoKey, false } });
	ops.range(
	    ops.self, "servers/", "servers/a\n b&x=#%\"\xc3\xa9", OnDone, this);
	Wait();
	EXPECT_NE(peer->seen[0].find("prefix=servers/&after=servers/"
				     "a%0A%20b%26x%3D%23%25%22%C3%A9 HTTP"),
	    std::string::npos)
	    << peer->seen[0];
	std::string longest(200, '\n');
	ops.range(ops.self, longest.c_str(), longest.c_str(), OnDone, this);
	EXPECT_EQ(Wait(), KV_UNAVAILABLE);
	EXPECT_EQ(peer->requests, 2u);
}

// Guards against a key with a NUL that makes the list of workers and its
// changes unreadable, so that no worker that comes or goes is seen.
TEST_F(KvStale, AKeyWithANulLeavesTheOthers)
{
	const std::vector<std::string> others = { "servers/a", "servers/c" };
	const uint64_t counted = counter_value(
	    counter_get("lagoonpin_store_item_refused", "reason=\"key\""));

	Play({ Answer(std::string("{\"items\":") + kNulKey +
		   ",\"has_more\":false,\"current_rev\":3}"),
	    Answer(std::string("{\"events\":") + kNulKey +
		",\"current_rev\":3}") });
	ops.range(ops.self, "servers/", nullptr, OnDone, this);
	EXPECT_EQ(Wait(), KV_OK);
	EXPECT_EQ(keys, others);
	ops.watch(ops.self, "servers/", 0, 100, OnDone, this);
	EXPECT_EQ(Wait(), KV_OK);
	EXPECT_EQ(keys, others);
	// Logged and counted once, and not as the key before the NUL.
	EXPECT_EQ(counter_value(counter_get(
		      "lagoonpin_store_item_refused", "reason=\"key\"")),
	    counted + 1);
}

// Guards against a page of which no item can be used that is taken for the last
// one: all workers on later pages would count as gone.
TEST_F(KvStale, APageWithoutAUsableKeyIsNotTheLast)
{
	Play({ Answer("{\"items\":[{\"key\":\"servers/a\\u0000b\","
		      "\"value\":\"\",\"revision\":2}],\"has_more\":true,"
		      "\"current_rev\":3}") });
	ops.range(ops.self, "servers/", nullptr, OnDone, this);
	EXPECT_EQ(Wait(), KV_UNAVAILABLE);
}

// Records that other programs write to the store, and answers of faulty
// workers: an invalid one adds no usable worker, and the others stay usable.

#include <pthread.h>
#include <unistd.h>

#include <cstring>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mutate.h"

extern "C" {
#include "codec.h"
#include "counter.h"
#include "items.h"
#include "kv.h"
#include "report.h"
#include "sitefile.h"
#include "config.h"
#include "workers.h"
}

namespace {

const char kGood[] =
    "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"
    "\"gpus\":0},\"labels\":[\"a\",\"r1-3\"],\"sequence\":4}";
const char kConfig[] =
    "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
    "\"prefix\":\"/p/\",\"service\":\"s\",\"max_attempts\":4}],"
    "\"services\":[{\"name\":\"t\"}]}";
const char kItem[] =
    "{\"key\":\"servers/i\",\"value\":\"bm9kZS0x\",\"revision\":4}";
const char kReport[] =
    "{\"clock_ms\":482113,\"running\":[[\"5c0e.0.1.17\",2,\"0b\",41,7]],"
    "\"finished\":[[58,\"5c0e.0.1.9\",1,\"done\",\"\"]]}";

class Foreign : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		counter_reset();
		platform = platform_config_open();
		platform_config_ops(platform, &ops);
		refused_init(&refused, "test_refused");
	}

	void
	TearDown() override
	{
		platform_config_close(platform);
		refused_free(&refused);
	}

      public:
	bool
	Worker(const std::string &key, const std::string &text)
	{
		struct worker_info info;

		memset(&info, 0, sizeof(info));
		return ops.worker(
		    ops.self, key.c_str(), text.data(), text.size(), &info);
	}

	// kGood with one part replaced.
	static std::string
	With(const std::string &part, const std::string &other)
	{
		std::string text = kGood;
		size_t at = text.find(part);

		EXPECT_NE(at, std::string::npos) << part;
		return text.replace(at, part.size(), other);
	}

	static uint64_t
	Refused(const std::string &reason)
	{
		return counter_value(counter_get("lagoonpin_worker_refused",
		    ("reason=\"" + reason + "\"").c_str()));
	}

	struct platform_config *platform;
	struct platform_ops ops;
	struct refused refused;
};

bool
ReadReport(const std::string &text)
{
	json_t *body = json_loadb(text.data(), text.size(), 0, nullptr);
	struct report report;
	bool read = report_read(body, &report);

	report_free(&report);
	json_decref(body);
	return read;
}

} // namespace

TEST_F(Foreign, AnEntryThatLacksAFieldNamesNoWorker)
{
	EXPECT_FALSE(Worker("servers/a", With("\"service\":\"s\",", "")));
	EXPECT_FALSE(
	    Worker("servers/b", With("\"address\":\"127.0.0.1:1\",", "")));
	EXPECT_FALSE(Worker("servers/c", With("\"zone\":\"z\",", "")));
	EXPECT_FALSE(Worker("servers/d", With("\"state\":\"ready\",", "")));
	EXPECT_FALSE(Worker("servers/e", With("\"cpu\":16000,", "")));
	EXPECT_FALSE(Worker("servers/f", With("\"mem_mb\":32768,", "")));
	EXPECT_TRUE(Worker("servers/good", kGood));
	EXPECT_EQ(Refused("capacity"), 2u);
}

TEST_F(Foreign, AFieldOfAnotherTypeNamesNoWorker)
{
	static const char *const numbers[] = { "-1", "1.5", "1e300", "\"8\"",
		"null", "true", "[]", "4294967296" };

	for (const char *number : numbers) {
		EXPECT_FALSE(Worker("servers/a",
		    With("\"cpu\":16000", std::string("\"cpu\":") + number)))
		    << number;
		EXPECT_FALSE(Worker("servers/b",
		    With("\"gpus\":0", std::string("\"gpus\":") + number)))
		    << number;
	}
	EXPECT_FALSE(Worker("servers/c", With("\"s\"", "7")));
	EXPECT_FALSE(Worker("servers/d", With("\"127.0.0.1:1\"", "{}")));
	EXPECT_FALSE(Worker("servers/e", With("[\"a\",\"r1-3\"]", "\"a\"")));
	EXPECT_FALSE(Worker("servers/f", With("\"a\"", "3")));
	EXPECT_FALSE(Worker("servers/g", With("\"slots\":8", "\"slots\":-8")));
	EXPECT_FALSE(Worker("servers/h", With("\"v1\"", "1")));
	EXPECT_TRUE(Worker("servers/good", kGood));
}

TEST_F(Foreign, AStartThatIsNoWholeNumberIsRefused)
{
	static const char *const bad[] = { "-1", "0", "1.5", "1e300", "\"8\"",
		"null", "true", "[]" };

	for (const char *born : bad) {
		std::string field = std::string("{\"born\":") + born + ",";
		EXPECT_FALSE(Worker("servers/a", field + (kGood + 1))) << born;
		EXPECT_FALSE(
		    ReadReport(field + "\"running\":[],\"finished\":[]}"))
		    << born;
	}
	EXPECT_TRUE(Worker("servers/b",
	    std::string("{\"born\":1700000000000,") + (kGood + 1)));
	EXPECT_TRUE(ReadReport(
	    "{\"born\":1700000000000,\"running\":[],\"finished\":[]}"));
}

TEST_F(Foreign, AStateOrServiceThatIsNotNamedNamesNoWorker)
{
	const struct entry_config *config;

	EXPECT_FALSE(Worker("servers/a", With("\"ready\"", "\"asleep\"")));
	EXPECT_EQ(Refused("state"), 1u);
	// Services are checked once the configuration is known.
	EXPECT_TRUE(Worker("servers/b", With("\"s\"", "\"u\"")));
	ASSERT_EQ(ops.config(
		      ops.self, "op/config", kConfig, strlen(kConfig), &config),
	    CONFIG_NEWER);
	EXPECT_FALSE(Worker("servers/b", With("\"s\"", "\"u\"")));
	EXPECT_EQ(Refused("service_unknown"), 1u);
	EXPECT_TRUE(Worker("servers/good", kGood));
	EXPECT_TRUE(Worker("servers/too", With("\"s\"", "\"t\"")));
}

TEST_F(Foreign, BytesThatAreNoJsonNameNoWorker)
{
	EXPECT_FALSE(Worker("servers/a", ""));
	EXPECT_FALSE(Worker("servers/b", "\xff\xfe"));
	EXPECT_FALSE(Worker("servers/c", "[]"));
	EXPECT_FALSE(Worker("servers/", kGood));
	EXPECT_TRUE(Worker("servers/good", kGood));
	EXPECT_EQ(Refused("not_json"), 3u);
	EXPECT_EQ(Refused("id"), 1u);
	// When the whole list is read again, an unchanged record is not counted
	// again.
	EXPECT_FALSE(Worker("servers/a", ""));
	EXPECT_EQ(Refused("not_json"), 3u);
}

// An item of a list or a watch whose value can't be decoded is passed on
// without a value, and the other items unchanged.
TEST_F(Foreign, AnItemThatCannotBeReadLeavesTheOthers)
{
	const char text[] =
	    "[{\"key\":\"a\",\"value\":\"*!\",\"revision\":1},"
	    "{\"key\":\"b\",\"value\":7,\"revision\":2},"
	    "{\"value\":\"bm9kZS0x\",\"revision\":3},7,"
	    "{\"key\":\"d\",\"value\":\"bm9kZS0x\",\"revision\":-4},"
	    "{\"key\":\"e\",\"revision\":5,\"tombstone\":true},"
	    "{\"key\":\"f\",\"value\":\"bm9kZS0x\",\"revision\":6}]";
	json_t *list = json_loads(text, 0, nullptr);
	size_t n;
	struct kv_item *items = items_read(&refused, list, &n);

	ASSERT_EQ(n, 4u);
	EXPECT_STREQ(items[0].key, "a");
	EXPECT_EQ(items[0].len, 0u);
	ASSERT_NE(items[0].value, nullptr);
	EXPECT_EQ(items[1].len, 0u);
	EXPECT_EQ(items[2].value, nullptr);
	EXPECT_STREQ(items[3].value, "node-1");
	items_free(items, n);
	json_decref(list);
}

// A row that can't be decoded may be a running task; if it were ignored, the
// task would be started a second time.  The whole report is therefore refused.
TEST_F(Foreign, AReportWithADamagedRowIsRefused)
{
	EXPECT_TRUE(ReadReport(kReport));
	EXPECT_TRUE(ReadReport("{\"running\":[],\"finished\":[]}"));
	for (const char *row : { "7", "[]", "[\"x\",1,\"\",0]",
		 "[\"5c0e.0.1.17\",-1,\"\",0]", "[\"5c0e.0.1.17\",1.5,\"\",0]",
		 "[\"5c0e.0.1.17\",1,\"\",-3]", "[\"5c0e.0.1.17\",1,\"\",101]",
		 "[\"5c0e.0.1.17\",4294967296,\"\",0]" })
		EXPECT_FALSE(ReadReport(
		    std::string("{\"running\":[") + row + "],\"finished\":[]}"))
		    << row;
	for (const char *row :
	    { "[0,\"5c0e.0.1.9\",1,\"done\",\"\"]",
		"[-1,\"5c0e.0.1.9\",1,\"done\",\"\"]",
		"[1,\"5c0e.0.1.9\",1,\"over\",\"\"]", "[1,7,1,\"done\",\"\"]" })
		EXPECT_FALSE(ReadReport(
		    std::string("{\"running\":[],\"finished\":[") + row + "]}"))
		    << row;
	EXPECT_FALSE(ReadReport("{\"running\":7,\"finished\":[]}"));
}

namespace {

// Text that an id, a key or an address of another writer may have.
const std::string kOdd[] = { "\n", "\r\n", "\r\nX-Fencing: 9", "\x01", "\x7f",
	"\xff", "\xc3\xa9", " ", "\t", "\"", "\\", "\"}", "%0a", "/", "#", "&",
	"?", "@", ":" };

// Builds the daemon's calls to a worker and to the store.  Nobody listens.
class Calls {
      public:
	Calls()
	{
		struct httpc_options options = {};
		struct platform_kv_options kv_options = {};

		uv_loop_init(&loop);
		options.loop = &loop;
		http = httpc_open(&options);
		workers = platform_workers_open(http);
		platform_workers_ops(workers, &worker_ops);
		kv_options.http = http;
		kv_options.address = "127.0.0.1:1";
		kv = platform_kv_open(&kv_options);
		platform_kv_ops(kv, &kv_ops);
	}

	~Calls()
	{
		httpc_close(http);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		free(workers);
		free(kv);
	}

	void
	CallWorker(const struct worker_info &info)
	{
		struct sched_worker worker = {};
		struct worker_poll poll = {};

		strlcpy(worker.id, info.id, sizeof(worker.id));
		strlcpy(worker.address, info.address, sizeof(worker.address));
		poll.worker = &worker;
		begun++;
		worker_ops.poll(worker_ops.self, &poll, OnPolled, this);
	}

	void
	ReadAfter(const std::string &key)
	{
		begun++;
		kv_ops.range(
		    kv_ops.self, "servers/", key.c_str(), OnRead, this);
	}

	void
	ReadJob(const std::string &id)
	{
		begun++;
		kv_ops.get(kv_ops.self, ("lp/j/" + id).c_str(), OnRead, this);
	}

	void
	Finish()
	{
		while (ended < begun)
			uv_run(&loop, UV_RUN_ONCE);
	}

	int begun = 0, ended = 0;

      private:
	static void
	OnPolled(const struct worker_result *, void *ctx)
	{
		static_cast<Calls *>(ctx)->ended++;
	}
	static void
	OnRead(const struct kv_result *, void *ctx)
	{
		static_cast<Calls *>(ctx)->ended++;
	}

	uv_loop_t loop;
	struct httpc *http;
	struct platform_workers *workers;
	struct platform_kv *kv;
	struct worker_ops worker_ops = {};
	struct kv_ops kv_ops = {};
};

} // namespace

// Guards against an entry of another writer whose id or address ends the
// processes that read it, one leader after the other.
TEST_F(Foreign, NoKeyOrAddressEndsTheProcess)
{
	const uint64_t invalid =
	    counter_value(counter_get("lagoonpin_order_invalid", ""));
	std::mt19937 random(6);
	Calls calls;

	for (int i = 0; i < 4000; i++) {
		std::string id = i % 3 == 0 ? std::string(192, 'k') : "i-1";
		std::string address = "127.0.0.1:1";
		id.insert(random() % (id.size() + 1),
		    kOdd[random() % std::size(kOdd)]);
		if (i % 2 == 0)
			address.insert(random() % (address.size() + 1),
			    kOdd[random() % std::size(kOdd)]);
		json_t *entry = json_loads(kGood, 0, nullptr);
		json_object_set_new(entry, "address",
		    json_stringn_nocheck(address.data(), address.size()));
		char *text = json_dumps(entry, 0);
		json_decref(entry);
		struct worker_info info = {};
		if (text != nullptr &&
		    ops.worker(ops.self, ("servers/" + id).c_str(), text,
			strlen(text), &info))
			calls.CallWorker(info);
		free(text);
		calls.ReadAfter("servers/" + id);
		calls.ReadJob(id);
		if (i % 100 == 0)
			calls.Finish();
	}
	calls.Finish();
	// What gets through can be sent.
	EXPECT_EQ(
	    counter_value(counter_get("lagoonpin_order_invalid", "")), invalid);
}

// Guards against ids and addresses that can't be used and are taken all the
// same.
TEST_F(Foreign, AnOddIdOrAddressNamesNoWorker)
{
	for (const char *id : { "a\n", "a b", " a", "a\r\nX-A: 1", "a\x01",
		 "a\x7f", "a\xff", "a\"b", "a\\b" })
		EXPECT_FALSE(Worker(std::string("servers/") + id, kGood)) << id;
	EXPECT_EQ(Refused("id"), 9u);
	EXPECT_FALSE(Worker("servers/" + std::string(192, 'k'), kGood));
	for (const char *address :
	    { "127.0.0.1:1\\n", "127.0.0.1:1 ", "127.0.0.1", "127.0.0.1:0",
		"127.0.0.1:70000", "host:1", "127.0.0.1:1/x", "x@127.0.0.1:1" })
		EXPECT_FALSE(Worker("servers/b", With("127.0.0.1:1", address)))
		    << address;
	EXPECT_TRUE(Worker("servers/a/b", kGood));
	EXPECT_TRUE(Worker("servers/good", kGood));
}

// Guards against a job named by a worker that can't be looked up.
TEST_F(Foreign, AReportOfAnOddJobIsRefused)
{
	for (const char *job : { "a\\n", "a b", "a\\u0001", "\\u00e9" })
		EXPECT_FALSE(ReadReport(std::string("{\"running\":[[\"") + job +
		    ".0.1.17\",2,\"\",41,7]],\"finished\":[]}"))
		    << job;
}

// Values of a field that no entry may have, each valid JSON or nearly so.
static std::vector<std::string>
OddValues()
{
	std::vector<std::string> values = { "-1", "65536", "99999999999",
		"9223372036854775808", "99999999999999999999", "1e999",
		"-1e999", "1.5", "\"a\\u0000b\"", "\"\"", "null", "{}", "[]",
		"\"" + std::string(1 << 20, 'x') + "\"" };

	for (const char *bracket : { "[]", "{}" }) {
		std::string value = "1", open(1, bracket[0]);

		if (open == "{")
			open += "\"a\":";
		std::string head, tail;
		for (int i = 0; i < 100000; i++) {
			head += open;
			tail += bracket[1];
		}
		values.push_back(head + value + tail);
	}
	return values;
}

// Guards against one field of an entry that ends the leaders that read it.  A
// thread with a small stack shows that no parser recurses without bound.
TEST_F(Foreign, NoFieldOfAnEntryEndsTheProcess)
{
	static const char *const fields[] = { "service", "address", "zone",
		"version", "slots", "state", "cold_remaining_ms", "capacity",
		"labels", "sequence", "born", "remaining_ms", "clock_ms" };
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	ASSERT_EQ(pthread_attr_setstacksize(&attr, 2 << 20), 0);
	auto run = [](void *ctx) -> void * {
		auto *self = static_cast<Foreign *>(ctx);

		for (const char *field : fields) {
			for (const auto &value : OddValues()) {
				std::string text = std::string("{\"") + field +
				    "\":" + value + "," + (kGood + 1);
				self->Worker("servers/odd", text);
				// The last of two counts: put the odd one
				// there.
				text = kGood;
				text.replace(text.size() - 1, 1,
				    std::string(",\"") + field + "\":" + value +
					"}");
				self->Worker("servers/odd", text);
				EXPECT_TRUE(
				    self->Worker("servers/good", kGood));
				ReadReport(std::string("{\"running\":[[") +
				    value + "]],\"finished\":[" + value + "]}");
			}
		}
		return nullptr;
	};
	ASSERT_EQ(pthread_create(&thread, &attr, run, this), 0);
	pthread_join(thread, nullptr);
	pthread_attr_destroy(&attr);
	EXPECT_GE(Refused("not_json"), 1u);
	EXPECT_GE(Refused("capacity"), 1u);
}

// Guards against an address that isn't IP:PORT and is called all the same.
TEST_F(Foreign, AnAddressWithoutAUsablePortNamesNoWorker)
{
	for (const char *address : { "1.2.3.4:0", "1.2.3.4:65536",
		 "1.2.3.4:99999999999", "1.2.3.4:8080x", "1.2.3.4:-1",
		 "1.2.3.4:+80", "1.2.3.4:", "1.2.3.4", ":80",
		 "1.2.3.4:18446744073709551617", "1.2.3.4:80\\u0000" })
		EXPECT_FALSE(Worker("servers/b", With("127.0.0.1:1", address)))
		    << address;
	EXPECT_EQ(Refused("address"), 1u);
	EXPECT_EQ(Refused("not_json"), 1u);
	EXPECT_TRUE(Worker("servers/b", With("127.0.0.1:1", "1.2.3.4:65535")));
}

// Guards against a job of another writer whose times overflow, or whose stretch
// makes its objective one.
TEST_F(Foreign, AJobOfNumbersOutOfRangeIsRefused)
{
	const std::string job =
	    "{\"id\":\"j\",\"queue\":\"q\",\"terms\":{\"service\":\"s\","
	    "\"priority\":1,\"max_attempts\":1,\"stretch\":2.5,"
	    "\"target_ms\":900},\"payload\":\"\",\"submitted_ms\":800,"
	    "\"repeats\":3,\"first_due_ms\":500,\"every_ms\":600,"
	    "\"steps\":[{\"count\":1,\"run_ms\":700}]}";
	auto read = [](const std::string &text) {
		struct graph *g = codec_read_graph(text.data(), text.size());
		bool ok = g != nullptr;

		graph_free(g);
		return ok;
	};

	ASSERT_TRUE(read(job));
	for (const char *number :
	    { "900", "800", "500", "600", "700", "2.5" }) {
		for (const char *odd : { "-1", "9223372036854775807",
			 "99999999999999999999", "1e300", "1e999" }) {
			std::string text = job;
			text.replace(text.find(number), strlen(number), odd);
			EXPECT_FALSE(read(text)) << text;
		}
	}
}

// Guards against a stretch that makes the objective of a queue's jobs overflow.
TEST_F(Foreign, AConfigurationOfAStretchOutOfRangeIsRefused)
{
	const struct entry_config *config;
	int version = 7;

	for (const char *stretch : { "0", "-1", "1e7", "1e300", "1e999",
		 "99999999999999999999", "\"2\"", "null" }) {
		std::string text = kConfig;
		text.replace(text.find("\"max_attempts\":4"), 16,
		    std::string("\"stretch\":") + stretch);
		EXPECT_EQ(ops.config(ops.self, "op/config", text.data(),
			      text.size(), &config),
		    CONFIG_INVALID)
		    << stretch;
	}
	std::string text = kConfig;
	text.replace(text.find("\"max_attempts\":4"), 16, "\"stretch\":1e6");
	text.replace(text.find("7"), 1, std::to_string(version + 1));
	EXPECT_EQ(ops.config(
		      ops.self, "op/config", text.data(), text.size(), &config),
	    CONFIG_NEWER);
}

// Guards against lists of another type that are taken for empty ones: every
// route would be gone, and its callers refused.
TEST_F(Foreign, AConfigurationWhoseListsAreOfAnotherTypeIsRefused)
{
	const struct entry_config *config;

	for (const char *list : { "routes", "services", "limits" }) {
		for (const char *value : { "7", "\"x\"", "true" }) {
			std::string text = std::string("{\"version\":8,\"") +
			    list + "\":" + value + "}";
			EXPECT_EQ(ops.config(ops.self, "op/config", text.data(),
				      text.size(), &config),
			    CONFIG_INVALID)
			    << text;
		}
	}
	const std::string none = "{\"version\":8,\"services\":null}";
	EXPECT_EQ(ops.config(
		      ops.self, "op/config", none.data(), none.size(), &config),
	    CONFIG_NEWER);
}

TEST_F(Foreign, NoBytesEndTheProcess)
{
	std::mt19937 random(4);

	for (int i = 0; i < 20000; i++) {
		std::string text = "[" + Mutate(random, kItem) + "]";
		json_t *list = json_loadb(text.data(), text.size(), 0, nullptr);
		size_t n;
		struct kv_item *items = items_read(&refused, list, &n);
		items_free(items, n);
		json_decref(list);
		ReadReport(Mutate(random, kReport));
		Worker("servers/i", Mutate(random, kGood));
	}
}

TEST_F(Foreign, NoSettingsEndTheProcess)
{
	static const char settings[] =
	    "{\"node_name\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\","
	    "\"listen\":{\"front\":\"127.0.0.1:1\",\"ready_addr\":"
	    "\"127.0.0.1:2\"},\"platform\":{\"address\":\"127.0.0.1:3\"},"
	    "\"internal_ports\":[7720,7735],\"limits\":{\"cpu_share\":0.5},"
	    "\"bounds\":{\"max_hold_ms\":6000,\"status_s\":120,"
	    "\"harm_ms\":4000,\"grace_s\":6}}";
	char path[] = "/tmp/lagoonpin-settings-XXXXXX";
	struct platform_settings s;
	std::mt19937 random(5);
	const char *field;
	int fd = mkstemp(path);

	ASSERT_NE(fd, -1);
	for (int i = 0; i < 2000; i++) {
		std::string text = i == 0 ? settings : Mutate(random, settings);
		ASSERT_EQ(ftruncate(fd, 0), 0);
		ASSERT_EQ(pwrite(fd, text.data(), text.size(), 0),
		    static_cast<ssize_t>(text.size()));
		enum sitefile_error error = sitefile_load(path, &s, &field);
		EXPECT_TRUE(i > 0 || error == SITEFILE_OK) << field;
		EXPECT_TRUE(error != SITEFILE_ERR_FIELD || field[0] != '\0');
	}
	close(fd);
	unlink(path);
}

// Guards against a bound in the settings that is invalid and goes unnoticed.
TEST(Settings, BoundsOfTheListOfWorkers)
{
	const std::string head =
	    "{\"node_name\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\","
	    "\"listen\":{\"front\":\"127.0.0.1:1\",\"ready_addr\":"
	    "\"127.0.0.1:2\"},\"platform\":{\"address\":\"127.0.0.1:3\"},"
	    "\"internal_ports\":[7720,7735]";
	const struct {
		std::string tail;
		enum sitefile_error error;
		std::string field;
	} cases[] = {
		{ "}", SITEFILE_OK, "" },
		{ ",\"heartbeat_ms\":1100,\"bounds\":{\"catch_up_s\":2.5}}",
		    SITEFILE_OK, "" },
		{ ",\"heartbeat_ms\":0}", SITEFILE_ERR_FIELD, "heartbeat_ms" },
		{ ",\"heartbeat_ms\":\"1 s\"}", SITEFILE_ERR_FIELD,
		    "heartbeat_ms" },
		{ ",\"bounds\":{\"catch_up_s\":-1}}", SITEFILE_ERR_FIELD,
		    "catch_up_s" },
	};
	char path[] = "/tmp/lagoonpin-settings-XXXXXX";
	struct platform_settings s;
	const char *field;
	int fd = mkstemp(path);

	ASSERT_NE(fd, -1);
	for (auto &c : cases) {
		std::string text = head + c.tail;
		ASSERT_EQ(ftruncate(fd, 0), 0);
		ASSERT_EQ(pwrite(fd, text.data(), text.size(), 0),
		    static_cast<ssize_t>(text.size()));
		EXPECT_EQ(sitefile_load(path, &s, &field), c.error) << c.tail;
		EXPECT_EQ(field, c.field) << c.tail;
		if (c.tail.find("1100") != std::string::npos) {
			EXPECT_EQ(s.worker_report_ms, 1100);
			EXPECT_EQ(s.list_apply_ms, 2500);
		}
	}
	close(fd);
	unlink(path);
}

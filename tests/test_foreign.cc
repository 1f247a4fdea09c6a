// Records that other programs write to the store, and answers of faulty
// workers: an invalid one adds no usable worker, and the others stay usable.

#include <unistd.h>

#include <cstring>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mutate.h"

extern "C" {
#include "counter.h"
#include "items.h"
#include "report.h"
#include "sitefile.h"
#include "config.h"
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

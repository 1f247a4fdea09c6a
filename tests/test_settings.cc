// Tests of settings: flags override the environment, which overrides defaults;
// an invalid value is refused with the name of its setting.
#include <gtest/gtest.h>

#include <cstdlib>

extern "C" {
#include "settings.h"
}

namespace {

int64_t interval_ms;
const char *entry;
struct setting_addresses peers, store;
struct setting_address listen_at;
const char *ip;
int level;
bool json;
const char *const levels[] = { "low", "high", nullptr };

struct setting table[] = {
	{ "interval-ms", "T_INTERVAL_MS", "Pause", "ms", SETTING_INTEGER,
	    &interval_ms, 1, 5000, "100", nullptr, nullptr },
	{ "entry", "T_ENTRY", "Name", nullptr, SETTING_STRING, &entry, 1, 4,
	    nullptr, "abc", nullptr },
	{ "peers", nullptr, "Peers", nullptr, SETTING_IP_PORTS, &peers, 1, 2,
	    "", nullptr, nullptr },
	{ "store", nullptr, "Store", nullptr, SETTING_IP_PORTS, &store, 1, 0,
	    "1.2.3.4:5", nullptr, nullptr },
	{ "listen", "T_LISTEN", "Address", nullptr, SETTING_IP_PORT, &listen_at,
	    0, 0, "127.0.0.1:0", nullptr, nullptr },
	{ "ip", nullptr, "IP", nullptr, SETTING_IP, &ip, 0, 0, "", nullptr,
	    nullptr },
	{ "level", nullptr, "Level", nullptr, SETTING_WORD, &level, 0, 0, "low",
	    nullptr, levels },
	{ "json", nullptr, "JSON", nullptr, SETTING_BOOL, &json, 0, 0, "no",
	    nullptr, nullptr },
};

struct settings_args
parse(std::vector<const char *> words, bool in_order = false)
{
	static std::vector<char *> argv;
	struct settings_options o = {};
	struct settings_args args;

	argv.assign(1, const_cast<char *>("prog"));
	for (const char *w : words)
		argv.push_back(const_cast<char *>(w));
	argv.push_back(nullptr);
	o.program = "prog";
	o.table = table;
	o.n = sizeof(table) / sizeof(table[0]);
	o.max_args = 3;
	o.stop_at_first_arg = in_order;
	settings_parse(&o, (int)argv.size() - 1, argv.data(), &args);
	return args;
}

class Settings : public ::testing::Test {
	void
	SetUp() override
	{
		::testing::FLAGS_gtest_death_test_style = "threadsafe";
		unsetenv("T_INTERVAL_MS");
		unsetenv("T_ENTRY");
		unsetenv("T_LISTEN");
	}
};

} // namespace

TEST_F(Settings, DefaultThenEnvironmentThenFlag)
{
	parse({ "--entry", "a" });
	EXPECT_EQ(interval_ms, 100);
	EXPECT_STREQ(entry, "a");
	EXPECT_EQ(peers.n, 0u);
	EXPECT_STREQ(ip, "");
	EXPECT_FALSE(json);
	setenv("T_INTERVAL_MS", "7", 1);
	setenv("T_ENTRY", "b", 1);
	parse({ "--json" });
	EXPECT_EQ(interval_ms, 7);
	EXPECT_STREQ(entry, "b");
	EXPECT_TRUE(json);
	parse({ "--interval-ms=9", "--json=no" });
	EXPECT_EQ(interval_ms, 9);
	EXPECT_FALSE(json);
	setenv("T_INTERVAL_MS", "", 1);
	parse({});
	EXPECT_EQ(interval_ms, 100);
}

TEST_F(Settings, ReadsEveryKind)
{
	parse({ "--entry", "cab", "--peers", "10.0.0.1:1,[::1]:65535",
	    "--listen", "127.0.0.1:80", "--ip", "::1", "--level", "high" });
	ASSERT_EQ(peers.n, 2u);
	EXPECT_STREQ(peers.at[1].ip, "::1");
	EXPECT_EQ(peers.at[1].port, 65535);
	EXPECT_EQ(listen_at.port, 80);
	EXPECT_STREQ(ip, "::1");
	EXPECT_EQ(level, 1);
}

TEST_F(Settings, WritesAddressesAsItReadsThem)
{
	const char *const texts[] = { "10.0.0.1:80", "[::1]:65535",
		"[1111:2222:3333:4444:5555:6666:255.255.255.255]:65535" };
	struct setting_address address;
	char buf[SETTING_ADDRESS_SIZE];

	for (const char *text : texts) {
		ASSERT_EQ(settings_address(text, 1, &address), SETTINGS_OK);
		EXPECT_STREQ(
		    settings_address_text(&address, buf, sizeof(buf)), text);
	}
}

TEST_F(Settings, ArgumentsAndFlagsMayBeMixedOrLeftToTheCaller)
{
	struct settings_args args;

	args = parse({ "x", "--entry", "a", "y" });
	ASSERT_EQ(args.n, 2);
	EXPECT_STREQ(args.at[1], "y");
	args = parse({ "--entry", "a", "set", "--other", "y" }, true);
	ASSERT_EQ(args.n, 3);
	EXPECT_STREQ(args.at[1], "--other");
}

TEST_F(Settings, RefusesBadValuesByNameWithStatusTwo)
{
	const struct {
		std::vector<const char *> words;
		const char *message;
	} cases[] = {
		{ { "--entry", "a", "--interval-ms", "0" },
		    "interval-ms: \"0\".*an integer from 1 to 5000 ms" },
		{ { "--entry", "a", "--interval-ms", "5001" }, "5001" },
		{ { "--entry", "a", "--interval-ms", "5s" }, "5s" },
		{ { "--entry", "abcab" }, "entry: \"abcab\": wrong length" },
		{ { "--entry", "d" }, "entry: \"d\": character not allowed" },
		{ {}, "entry is missing.*--entry or T_ENTRY" },
		{ { "--entry", "a", "--ip", "host" }, "ip: \"host\"" },
		{ { "--entry", "a", "--listen", "host:1" }, "listen" },
		{ { "--entry", "a", "--listen", "1.2.3.4" }, "listen" },
		{ { "--entry", "a", "--listen", "1.2.3.4:65536" }, "listen" },
		{ { "--entry", "a", "--listen", "::1:4" }, "listen" },
		{ { "--entry", "a", "--peers", "1.2.3.4:0" }, "peers" },
		{ { "--entry", "a", "--peers", "1.2.3.4:1," }, "peers" },
		{ { "--entry", "a", "--peers", "1.2.3.4:1,1.2.3.4:2,::1:3" },
		    "peers.*too many.*at most 2" },
		{ { "--entry", "a", "--store", "" }, "store: \"\"" },
		{ { "--entry", "a", "--level", "mid" }, "one of low high" },
		{ { "--entry", "a", "--json=1" }, "json: \"1\".*yes or no" },
		{ { "--entry", "a", "1", "2", "3", "4" }, "extra argument" },
		{ { "--entry", "a", "--nothing" }, "nothing" },
	};

	for (const auto &c : cases)
		EXPECT_EXIT(parse(c.words),
		    ::testing::ExitedWithCode(SETTINGS_EXIT), c.message);
}

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "response_cache.h"
}

namespace {

struct ResponseCache : testing::Test {
	response_cache_options o = { 3, 2000, 1000 };
	response_cache *cache = response_cache_open(&o);
	cached_response found = {};

	~ResponseCache() override
	{
		response_cache_close(cache);
	}

	void
	put(const char *id, uint64_t hash, const std::string &body,
	    int64_t now_ms)
	{
		cached_response a = { 200, "text/plain", body.data(),
			body.size() };
		response_cache_put(cache, id, hash, &a, now_ms);
	}

	std::string
	get(const char *id, uint64_t hash, int64_t now_ms)
	{
		if (response_cache_get(cache, id, hash, now_ms, &found) != 0)
			return "none";
		return std::string(found.body, found.len);
	}
};

TEST_F(ResponseCache, SameRequestOnlyAndForAWhile)
{
	put("p1", 7, std::string("a\0b", 3), 0);
	EXPECT_EQ(get("p1", 7, 999), std::string("a\0b", 3));
	EXPECT_STREQ(found.type, "text/plain");
	EXPECT_EQ(get("p1", 8, 0), "none");
	EXPECT_EQ(get("p2", 7, 0), "none");
	EXPECT_EQ(get("p1", 7, 1000), "none");
}

TEST_F(ResponseCache, BoundedByNumberAndBytes)
{
	for (int i = 0; i < 5; i++)
		put(std::to_string(i).c_str(), 1, "x", i);
	EXPECT_EQ(get("1", 1, 5), "none");
	EXPECT_EQ(get("2", 1, 5), "x");
	put("big", 1, std::string(1500, 'b'), 6);
	EXPECT_EQ(get("2", 1, 6), "none");
	EXPECT_EQ(get("big", 1, 6).size(), 1500U);
	put("huge", 1, std::string(5000, 'b'), 7);
	EXPECT_EQ(get("huge", 1, 7), "none");
	EXPECT_EQ(get("big", 1, 7).size(), 1500U);
}

/* Every part of the request is hashed, and the parts are delimited. */
TEST(ResponseCacheHash, TellsRequestsApart)
{
	const response_cache_key keys[] = { { "a", "t", "s", "b", 1 },
		{ "at", "", "s", "b", 1 }, { "a", "t", "sb", "", 0 },
		{ "a", "t", "s", "c", 1 }, { "a", "u", "s", "b", 1 } };
	for (auto &x : keys)
		for (auto &y : keys)
			EXPECT_EQ(
			    response_cache_hash(&x) == response_cache_hash(&y),
			    &x == &y);
}

} // namespace

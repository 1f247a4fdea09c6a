#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "share.h"
}

namespace {

struct share_limit
limit_of(int64_t cpu, int64_t tasks)
{
	return { { cpu, SHARE_UNLIMITED, SHARE_UNLIMITED }, tasks };
}

/*
 * Shards bind independently, each up to its share, and together keep the team's
 * limit.
 */
TEST(Share, AllShardsTogetherKeepTheLimit)
{
	const struct resources one = { 1000, 10, 0 };

	for (int64_t tasks = 0; tasks < 60; tasks++) {
		for (int64_t cpu : { -1, 0, 2500, 40000, 100000 }) {
			struct share_limit limit = limit_of(cpu, tasks);
			const char *shards[] = { "a", "b", "c", "d", "e" };
			size_t n = share_rank_shards(&limit, "t", shards, 5);
			int64_t sum = 0;
			ASSERT_GE(n, 1U);
			for (size_t i = 0; i < n; i++) {
				struct share_usage use = {};
				while (share_allows(&limit, &use, &one, n)) {
					use.tasks++;
					use.size.cpu_millis += 1000;
				}
				sum += use.tasks;
			}
			EXPECT_LE(sum, tasks);
			if (cpu >= 0) {
				EXPECT_LE(sum * 1000, cpu);
				continue;
			}
			/* The remainder is less than the number of shards. */
			EXPECT_GT(sum + (int64_t)n, tasks);
		}
	}
}

TEST(Share, EveryEntryFindsTheSameShards)
{
	struct share_limit limit = limit_of(SHARE_UNLIMITED, 12);
	std::vector<const char *> a = { "a", "b", "c", "d", "e" };
	std::vector<const char *> b = { "d", "a", "e", "c", "b" };

	EXPECT_EQ(share_rank_shards(&limit, "t", a.data(), 5), 3U);
	EXPECT_EQ(share_rank_shards(&limit, "t", b.data(), 5), 3U);
	for (size_t i = 0; i < 5; i++)
		EXPECT_STREQ(a[i], b[i]);
	limit = limit_of(SHARE_UNLIMITED, SHARE_UNLIMITED);
	EXPECT_EQ(share_rank_shards(&limit, "t", a.data(), 5), 5U);
	EXPECT_EQ(share_rank_shards(&limit, "t", a.data(), 0), 0U);
}

} // namespace

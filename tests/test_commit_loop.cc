#include <string>
#include <vector>

#include "kvstand_fixture.h"

extern "C" {
#include "commit_loop.h"
}

namespace {

struct Result {
	int done = 0;
	enum commit_outcome outcome = COMMIT_UNKNOWN;
	int64_t revision = 0;
};

void
note(const struct commit_result *r, void *ctx)
{
	auto *t = (Result *)ctx;

	t->done++;
	t->outcome = r->outcome;
	t->revision = r->mod_revision;
}

/* Group commit, store client, HTTP and the stand-in store together. */
class CommitLoop : public KvstandTest {
      protected:
	void
	SetUp() override
	{
		struct commit_loop_options commit = {};

		KvstandTest::SetUp();
		commit.loop = &loop_;
		commit.store = open();
		commit.commit_ms = 20;
		commit_ = commit_loop_open(&commit);
	}

	void
	TearDown() override
	{
		commit_loop_close(commit_);
		KvstandTest::TearDown();
	}

	void
	put(const std::string &key, const std::string &value, int64_t expected,
	    Result *result)
	{
		struct commit_request r = {};

		r.key = key.c_str();
		r.value = value.data();
		r.len = value.size();
		r.expected = expected;
		r.done = note;
		r.ctx = result;
		ASSERT_EQ(commit_loop_put(commit_, &r), STORE_OK);
	}

	size_t
	pending()
	{
		return commit_pending(commit_loop_commit(commit_));
	}

	void
	turn() override
	{
		KvstandTest::turn();
		commit_loop_tick(commit_, clock_now_ms());
	}

	struct commit_loop *commit_ = nullptr;
};

/*
 * Half of the store's responses are lost after the request took effect,
 * including those of reading back.  Each put must be reported as written, at
 * its revision in the store, and none as a conflict with its own write.
 */
TEST_F(CommitLoop, settles_lost_answers_over_the_wire)
{
	std::vector<Result> result(40);
	std::vector<std::pair<std::string, int64_t>> kept;
	struct store_range_request all = {};

	fault("lose_answers", ",\"probability_percent\":50");
	for (size_t i = 0; i < result.size(); i++) {
		put("k" + std::to_string(i), "v" + std::to_string(i), 0,
		    &result[i]);
		for (int t = 0; t < 15; t++)
			turn();
	}
	until([&] { return pending() == 0; });
	fault("none");
	all.key = "k";
	all.prefix = true;
	store_range(
	    store_, &all,
	    [](const struct store_range_result *r, void *ctx) {
		    for (size_t i = 0; i < r->nkvs; i++)
			    ((decltype(kept) *)ctx)
				->emplace_back(
				    r->kvs[i].value, r->kvs[i].mod_revision);
	    },
	    &kept);
	until([&] { return !kept.empty(); });
	ASSERT_EQ(kept.size(), result.size());
	for (auto &k : kept) {
		Result &t = result[std::stoul(k.first.substr(1))];
		EXPECT_EQ(t.done, 1);
		EXPECT_EQ(t.outcome, COMMIT_WRITTEN);
		EXPECT_EQ(t.revision, k.second);
	}
}

/*
 * A response is lost, then the store is unavailable for ten minutes.  The put
 * stays pending with its outcome unknown; once the store is available again,
 * reading back finds that it was written.
 */
TEST_F(CommitLoop, a_long_outage_ends_settled)
{
	Result result;

	fault("lose_answers");
	put("a", "a1", 0, &result);
	for (int i = 0; i < 100; i++)
		turn();
	fault("down", ",\"for_ms\":600000");
	for (int i = 0; i < 599000; i += 1000) {
		clock_advance(999);
		turn();
	}
	EXPECT_EQ(result.done, 0);
	EXPECT_EQ(pending(), 1U);
	until([&] { return pending() == 0; });
	EXPECT_EQ(result.done, 1);
	EXPECT_EQ(result.outcome, COMMIT_WRITTEN);
}

/* A commit loop closed with a put in flight is freed when that call ends. */
TEST_F(CommitLoop, close_with_a_put_under_way)
{
	Result result;

	fault("freeze");
	put("a", "a1", 0, &result);
	for (int i = 0; i < 100; i++)
		turn();
	commit_loop_close(commit_);
	commit_ = nullptr;
	EXPECT_EQ(result.done, 1);
	EXPECT_EQ(result.outcome, COMMIT_UNKNOWN);
}

} // namespace

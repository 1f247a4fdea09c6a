#include "handover_fixture.h"

extern "C" {
#include "counter.h"
}

namespace {

constexpr int64_t kMargin = 60000; // as the sweep's
constexpr int64_t kPause = 2900; // between its reads, and a little less
constexpr int64_t kSweep = 10000; // a page or two are looked at in it
constexpr size_t kBatch = 30;

// Records of jobs that ended under leaders that are gone.
class Sweep : public Handover {
      protected:
	void
	SetUp() override
	{
		Handover::SetUp();
		counter_reset();
		before_removal = [this](const std::vector<std::string> &keys) {
			return Removal(keys);
		};
	}

	// Each write that only removes.
	enum kv_error
	Removal(const std::vector<std::string> &keys)
	{
		EXPECT_LE(keys.size(), kBatch);
		removals_ms.push_back(clock_now_ms());
		return fails > 0 && fails-- > 0 ? failure : KV_OK;
	}

	void
	Ended(const std::string &job, int64_t age_ms)
	{
		Put("lp/e/" + job,
		    "{\"state\":\"completed\",\"ended_ms\":" +
			std::to_string(clock_wall_ms() - age_ms) + "}");
	}

	// How old a record surely may go.
	int64_t
	Old() const
	{
		return keep_ms + kMargin;
	}

	bool
	Has(const std::string &job) const
	{
		return items.count("lp/e/" + job) != 0;
	}

	size_t
	Count(const std::string &prefix) const
	{
		size_t n = 0;

		for (auto &[key, item] : items)
			n += key.compare(0, prefix.size(), prefix) == 0;
		return n;
	}

	// Old ones and young ones, in turns.
	void
	Many(int count)
	{
		for (int i = 0; i < count; i++) {
			Ended("a" + std::to_string(1000 + i) + "old", Old());
			Ended("a" + std::to_string(1000 + i) + "young", 0);
		}
	}

	size_t
	CountOld() const
	{
		size_t n = 0;

		for (auto &[key, item] : items)
			n += key.find("old") != std::string::npos;
		return n;
	}

	static uint64_t
	Swept()
	{
		return counter_value(
		    counter_get("lagoonpin_records_swept", ""));
	}

	// A job that a leader saw end.
	void
	EndOne()
	{
		AddWorker("first");
		Pass(1500);
		Submit("job", 1);
		Pass(1000);
		ASSERT_EQ(accepted, 1);
		node_cancel(
		    nodes.front(), "job", clock_now_ms() + 3000, Replied, this);
		Pass(1000);
		ASSERT_TRUE(Has("job"));
		ASSERT_EQ(items.count("lp/j/job"), 0u);
	}

	int64_t
	ToldEnd(const std::string &job)
	{
		std::string text = items["lp/e/" + job].value;
		size_t at = text.find("\"ended_ms\":");

		return at == std::string::npos ?
		    0 :
		    std::stoll(text.substr(at + strlen("\"ended_ms\":")));
	}

	std::vector<int64_t> removals_ms;
	int fails = 0;
	enum kv_error failure = KV_UNAVAILABLE;
};

} // namespace

// The store fills up over weeks: records of jobs that ended under an earlier
// leader stay for ever.
TEST_F(Sweep, AnEarlierLeadersRecordGoesAfterTheKeepTime)
{
	Ended("old", Old());
	Ended("nearly", Old() - 10000);
	Ended("kept", keep_ms - 10000);
	Ended("young", 0);
	Open();
	Pass(kSweep);
	EXPECT_FALSE(Has("old"));
	EXPECT_TRUE(Has("nearly"));
	EXPECT_TRUE(Has("kept"));
	EXPECT_TRUE(Has("young"));
	EXPECT_EQ(Swept(), 1u);
}

// How long ago a job ended must be known to leaders that didn't see it.
TEST_F(Sweep, ARecordTellsWhenItsJobEnded)
{
	int64_t before_ms = clock_wall_ms();

	Open();
	EndOne();
	EXPECT_GE(ToldEnd("job"), before_ms);
	EXPECT_LE(ToldEnd("job"), clock_wall_ms());
}

// A repeat of the hand-in finds the record of the job, also while a next
// leader sweeps, and the job isn't done again.
TEST_F(Sweep, ARepeatWithinTheKeepTimeFindsTheRecord)
{
	Open();
	EndOne();
	Restart();
	Ended("old", Old());
	Pass(kSweep);
	EXPECT_FALSE(Has("old"));
	Submit("job", 1);
	Pass(1000);
	EXPECT_EQ(accepted, 2);
	EXPECT_TRUE(Has("job"));
	EXPECT_EQ(items.count("lp/j/job"), 0u);
	EXPECT_EQ(Running(), 0u);
}

// What this leader saw end is left to its own forgetting, whatever the wall
// clock says meanwhile.
TEST_F(Sweep, WhatTheLeaderKnowsStays)
{
	Open();
	EndOne();
	Ended("job", Old());
	Ended("old", Old());
	turn_ms = 1;
	Pass(kSweep + 30000);
	EXPECT_FALSE(Has("old"));
	EXPECT_TRUE(Has("job"));
}

// The same once its keep time is over, until its own removal is written: a
// second one that is done late could take a newer record away.
TEST_F(Sweep, WhatTheLeaderIsForgettingStays)
{
	keep_ms = 2000;
	Open();
	EndOne();
	Pass(keep_ms);
	Ended("job", Old());
	Ended("old", Old());
	turn_ms = 1;
	Pass(kSweep + 30000);
	EXPECT_FALSE(Has("old"));
	EXPECT_TRUE(Has("job"));
}

// Records of an earlier version name no time, and clocks may have been wrong:
// each is kept a full keep time under this leader, and goes then.
TEST_F(Sweep, OneWithoutATimeStaysAFullKeepTime)
{
	turn_ms = 1;
	keep_ms = 5000;
	Put("lp/e/untold", "{\"state\":\"completed\"}");
	Put("lp/e/damaged", "{\"sta");
	Put("lp/e/text", "{\"state\":\"failed\",\"ended_ms\":\"1\"}");
	Put("lp/e/below", "{\"state\":\"failed\",\"ended_ms\":-5}");
	Ended("ahead", -1000 * Old());
	Open();
	Pass(Old() - kStep);
	EXPECT_EQ(Count("lp/e/"), 5u);
	Pass(30000 + kSweep);
	EXPECT_EQ(Count("lp/e/"), 0u);
	EXPECT_EQ(Swept(), 5u);
}

// Many records: page after page, and no more at once than a write holds.
TEST_F(Sweep, ManyRecordsGoPageAfterPage)
{
	int before;

	turn_ms = 1;
	page = 25;
	Many(100);
	Open();
	Pass(5000);
	before = reads["lp/e/"];
	Pass(8 * 3200);
	EXPECT_LE(reads["lp/e/"] - before, 9);
	EXPECT_EQ(CountOld(), 0u);
	EXPECT_EQ(Count("lp/e/"), 100u);
	EXPECT_EQ(Swept(), 100u);
	for (size_t i = 1; i < removals_ms.size(); i++)
		EXPECT_GE(removals_ms[i] - removals_ms[i - 1], kPause);
}

// A page that has more old records than a write holds is read on from there.
TEST_F(Sweep, APageOfMoreThanAWriteHolds)
{
	turn_ms = 1;
	Many(100);
	Open();
	Pass(5000 + 4 * 3200);
	EXPECT_EQ(CountOld(), 0u);
	EXPECT_EQ(Count("lp/e/"), 100u);
	EXPECT_EQ(removals_ms.size(), 4u);
	for (size_t i = 1; i < removals_ms.size(); i++)
		EXPECT_GE(removals_ms[i] - removals_ms[i - 1], kPause);
}

// The store turns writes away: the same records are tried again, no others.
TEST_F(Sweep, AStoreThatRefusesLosesNothing)
{
	fails = 2;
	failure = KV_UNAVAILABLE;
	turn_ms = 1;
	page = 25;
	Many(20);
	Open();
	Pass(5000);
	ASSERT_GE(removals_ms.size(), 1u);
	EXPECT_EQ(Count("lp/e/"), 40u);
	EXPECT_EQ(Swept(), 0u);
	Pass(5 * 3200);
	EXPECT_EQ(CountOld(), 0u);
	EXPECT_EQ(Count("lp/e/"), 20u);
	EXPECT_EQ(Swept(), 20u);
}

// Answers are lost, though the writes are done: the page is read again, and
// what is gone isn't counted.
TEST_F(Sweep, LostAnswersRemoveNothingElse)
{
	fails = 1;
	failure = KV_UNKNOWN;
	turn_ms = 1;
	page = 25;
	Many(20);
	Open();
	Pass(5000 + 4 * 3200);
	EXPECT_EQ(CountOld(), 0u);
	EXPECT_EQ(Count("lp/e/"), 20u);
	EXPECT_EQ(Swept(), 20u - 13u);
}

// While the store is away it isn't asked either.
TEST_F(Sweep, NothingIsReadWhileTheStoreIsAway)
{
	int before;

	turn_ms = 1;
	Ended("old", Old());
	Open();
	Pass(1500);
	store_down = true;
	Pass(1500);
	before = reads["lp/e/"];
	Pass(20000);
	EXPECT_EQ(reads["lp/e/"], before);
	EXPECT_TRUE(Has("old"));
	store_down = false;
	Pass(kSweep);
	EXPECT_FALSE(Has("old"));
}

// Another entry takes over while the removal is on its way: nothing is done.
TEST_F(Sweep, NothingGoesWhileAnotherEntryLeads)
{
	int tries = 0;

	Ended("old", Old());
	before_removal = [&](const std::vector<std::string> &) {
		if (tries++ == 0)
			Put("lp/leader", items["lp/leader"].value);
		return KV_OK;
	};
	Open();
	for (int i = 0; i < 200 && tries == 0; i++)
		Step();
	ASSERT_EQ(tries, 1);
	Pass(1000);
	EXPECT_TRUE(Has("old"));
	EXPECT_EQ(Swept(), 0u);
}

#include "handover_fixture.h"

extern "C" {
#include "counter.h"
}

namespace {

constexpr int64_t kMarginMs = 60000; // the sweep's margin beyond the keep time
// Slightly less than the time between its reads.
constexpr int64_t kPauseMs = 2900;
constexpr int64_t kSweepMs = 10000; // time for the sweep to read a page or two
constexpr size_t kBatch = 30;

// Records of jobs that ended under former leaders.
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

	// Called for each write that only removes keys.
	enum kv_error
	Removal(const std::vector<std::string> &keys)
	{
		EXPECT_LE(keys.size(), kBatch);
		removals_ms.push_back(clock_now_ms());
		return failures_left > 0 && failures_left-- > 0 ? failure :
								  KV_OK;
	}

	void
	PutEnded(const std::string &job, int64_t age_ms)
	{
		Put("lp/e/" + job,
		    "{\"state\":\"completed\",\"ended_ms\":" +
			std::to_string(clock_wall_ms() - age_ms) + "}");
	}

	// Age from which a record may certainly be removed.
	int64_t
	OldAgeMs() const
	{
		return keep_ms + kMarginMs;
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

	// Adds old and young records alternately.
	void
	PutMany(int count)
	{
		for (int i = 0; i < count; i++) {
			PutEnded(
			    "a" + std::to_string(1000 + i) + "old", OldAgeMs());
			PutEnded("a" + std::to_string(1000 + i) + "young", 0);
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

	// Adds a job and cancels it, so that the leader sees its end.
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
	RecordedEnd(const std::string &job)
	{
		std::string text = items["lp/e/" + job].value;
		size_t at = text.find("\"ended_ms\":");

		return at == std::string::npos ?
		    0 :
		    std::stoll(text.substr(at + strlen("\"ended_ms\":")));
	}

	std::vector<int64_t> removals_ms;
	int failures_left = 0;
	enum kv_error failure = KV_UNAVAILABLE;
};

} // namespace

// The store fills up over weeks unless the records of jobs that ended under an
// earlier leader are removed.
TEST_F(Sweep, AnEarlierLeadersRecordGoesAfterTheKeepTime)
{
	PutEnded("old", OldAgeMs());
	PutEnded("nearly", OldAgeMs() - 10000);
	PutEnded("kept", keep_ms - 10000);
	PutEnded("young", 0);
	Open();
	Pass(kSweepMs);
	EXPECT_FALSE(Has("old"));
	EXPECT_TRUE(Has("nearly"));
	EXPECT_TRUE(Has("kept"));
	EXPECT_TRUE(Has("young"));
	EXPECT_EQ(Swept(), 1u);
}

// Leaders that didn't see a job end must know how long ago it ended.
TEST_F(Sweep, ARecordTellsWhenItsJobEnded)
{
	int64_t before_ms = clock_wall_ms();

	Open();
	EndOne();
	EXPECT_GE(RecordedEnd("job"), before_ms);
	EXPECT_LE(RecordedEnd("job"), clock_wall_ms());
}

// A repeated submission finds the record of the job, also while a next leader
// sweeps, and the job doesn't run again.
TEST_F(Sweep, ARepeatWithinTheKeepTimeFindsTheRecord)
{
	Open();
	EndOne();
	Restart();
	PutEnded("old", OldAgeMs());
	Pass(kSweepMs);
	EXPECT_FALSE(Has("old"));
	Submit("job", 1);
	Pass(1000);
	EXPECT_EQ(accepted, 2);
	EXPECT_TRUE(Has("job"));
	EXPECT_EQ(items.count("lp/j/job"), 0u);
	EXPECT_EQ(Running(), 0u);
}

// Records of jobs that this leader saw end are removed only by its own expiry,
// whatever the wall clock says meanwhile.
TEST_F(Sweep, WhatTheLeaderKnowsStays)
{
	Open();
	EndOne();
	PutEnded("job", OldAgeMs());
	PutEnded("old", OldAgeMs());
	loop_turn_ms = 1;
	Pass(kSweepMs + 30000);
	EXPECT_FALSE(Has("old"));
	EXPECT_TRUE(Has("job"));
}

// As above after the keep time, until the leader's own removal is written: a
// second removal that is done late could delete a newer record.
TEST_F(Sweep, WhatTheLeaderIsForgettingStays)
{
	keep_ms = 2000;
	Open();
	EndOne();
	Pass(keep_ms);
	PutEnded("job", OldAgeMs());
	PutEnded("old", OldAgeMs());
	loop_turn_ms = 1;
	Pass(kSweepMs + 30000);
	EXPECT_FALSE(Has("old"));
	EXPECT_TRUE(Has("job"));
}

// Records of an earlier version have no time, and clocks may have been wrong:
// each is kept for a full keep time under this leader and removed then.
TEST_F(Sweep, OneWithoutATimeStaysAFullKeepTime)
{
	loop_turn_ms = 1;
	keep_ms = 5000;
	Put("lp/e/untold", "{\"state\":\"completed\"}");
	Put("lp/e/damaged", "{\"sta");
	Put("lp/e/text", "{\"state\":\"failed\",\"ended_ms\":\"1\"}");
	Put("lp/e/below", "{\"state\":\"failed\",\"ended_ms\":-5}");
	PutEnded("ahead", -1000 * OldAgeMs());
	Open();
	Pass(OldAgeMs() - kStepMs);
	EXPECT_EQ(Count("lp/e/"), 5u);
	Pass(30000 + kSweepMs);
	EXPECT_EQ(Count("lp/e/"), 0u);
	EXPECT_EQ(Swept(), 5u);
}

// Many records are removed page by page, no more at once than fit a write.
TEST_F(Sweep, ManyRecordsGoPageAfterPage)
{
	int before;

	loop_turn_ms = 1;
	page = 25;
	PutMany(100);
	Open();
	Pass(5000);
	before = reads["lp/e/"];
	Pass(8 * 3200);
	EXPECT_LE(reads["lp/e/"] - before, 9);
	EXPECT_EQ(CountOld(), 0u);
	EXPECT_EQ(Count("lp/e/"), 100u);
	EXPECT_EQ(Swept(), 100u);
	for (size_t i = 1; i < removals_ms.size(); i++)
		EXPECT_GE(removals_ms[i] - removals_ms[i - 1], kPauseMs);
}

// A page with more old records than fit a write is continued after the last
// one removed.
TEST_F(Sweep, APageOfMoreThanAWriteHolds)
{
	loop_turn_ms = 1;
	PutMany(100);
	Open();
	Pass(5000 + 4 * 3200);
	EXPECT_EQ(CountOld(), 0u);
	EXPECT_EQ(Count("lp/e/"), 100u);
	EXPECT_EQ(removals_ms.size(), 4u);
	for (size_t i = 1; i < removals_ms.size(); i++)
		EXPECT_GE(removals_ms[i] - removals_ms[i - 1], kPauseMs);
}

// The store refuses writes: the removal of the same records is retried, and no
// others are removed.
TEST_F(Sweep, AStoreThatRefusesLosesNothing)
{
	failures_left = 2;
	failure = KV_UNAVAILABLE;
	loop_turn_ms = 1;
	page = 25;
	PutMany(20);
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

// Writes are done but get no answer: the page is read again, and records that
// are gone already aren't counted.
TEST_F(Sweep, LostAnswersRemoveNothingElse)
{
	failures_left = 1;
	failure = KV_UNKNOWN;
	loop_turn_ms = 1;
	page = 25;
	PutMany(20);
	Open();
	Pass(5000 + 4 * 3200);
	EXPECT_EQ(CountOld(), 0u);
	EXPECT_EQ(Count("lp/e/"), 20u);
	EXPECT_EQ(Swept(), 20u - 13u);
}

// The store isn't read while it is unavailable.
TEST_F(Sweep, NothingIsReadWhileTheStoreIsUnavailable)
{
	int before;

	loop_turn_ms = 1;
	PutEnded("old", OldAgeMs());
	Open();
	Pass(1500);
	store_down = true;
	Pass(1500);
	before = reads["lp/e/"];
	Pass(20000);
	EXPECT_EQ(reads["lp/e/"], before);
	EXPECT_TRUE(Has("old"));
	store_down = false;
	Pass(kSweepMs);
	EXPECT_FALSE(Has("old"));
}

// Another entry takes over while the removal is in flight: nothing is removed.
TEST_F(Sweep, NothingGoesWhileAnotherEntryLeads)
{
	int tries = 0;

	PutEnded("old", OldAgeMs());
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

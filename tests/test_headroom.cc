#include "handover_fixture.h"

namespace {

// Short jobs and long-running jobs of the same priority share eight workers.
class Headroom : public Handover {
      protected:
	static constexpr int64_t kShortRunMs = 500, kShortEveryMs = 500;
	static constexpr int64_t kLongEveryMs = 1000, kPiece = 4000;
	static constexpr uint32_t kTasks = 2;
	// A short job that ends later than this is of no use to its caller.
	static constexpr int64_t kShortObjectiveMs = 2000;

	void
	SetUp() override
	{
		Handover::SetUp();
		for (size_t i = 0; i < kWorkers; i++)
			AddWorker("w" + std::to_string(i));
		Open();
		Pass(1500);
	}

	// Submits a short job each kShortEveryMs and a long-running one each
	// kLongEveryMs.
	void
	Load(int64_t for_ms, bool lasting)
	{
		for (int64_t past = 0; past < for_ms; past += kStepMs) {
			if (past % kShortEveryMs == 0)
				SubmitShort();
			if (lasting && past % kLongEveryMs == 0)
				Submit("lasting" + std::to_string(++submitted),
				    kTasks, kPiece);
			Step();
			TrackShort();
		}
	}

	void
	SubmitShort()
	{
		std::string id = "short" + std::to_string(++shorts);

		Submit(id, kTasks, kPiece, kShortRunMs);
		open_since[id] = clock_now_ms();
	}

	// Counts the jobs that ended within their objective; drops those that
	// are late.
	void
	TrackShort()
	{
		for (auto &[id, worker] : workers) {
			for (auto &end : worker.ends)
				done.insert(end.name);
		}
		for (auto job = open_since.begin(); job != open_since.end();) {
			bool ended = true;
			for (uint32_t i = 0; i < kTasks; i++)
				ended = ended &&
				    done.count(job->first + "." +
					std::to_string(i)) > 0;
			bool late =
			    clock_now_ms() - job->second > kShortObjectiveMs;
			if (!ended && !late) {
				++job;
				continue;
			}
			if (!late)
				in_time++;
			job = open_since.erase(job);
		}
	}

	int submitted = 0, shorts = 0, in_time = 0;
	std::map<std::string, int64_t> open_since;
	std::set<std::string> done;
};

} // namespace

// Callers of short work waited past their deadline for as long as long-running
// jobs kept arriving.  These take each piece of room that comes free and hold
// it for minutes, where a short task would return it in half a second.
// Counted each second: the free processors of all workers were in pieces
// smaller than a short task, with hundreds of short tasks waiting and hardly
// any long-running one.
TEST_F(Headroom, ShortWorkIsServedThoughJobsThatLastKeepComing)
{
	Load(5000, false);
	Load(30000, true);
	EXPECT_GE(in_time, 9 * (shorts - 4) / 10);
	EXPECT_GT(refused, 0);
	EXPECT_GT(retry_after_ms, 0);
	// Long-running jobs get what short work doesn't need.
	EXPECT_GE(accepted - shorts, 4);
	EXPECT_EQ(duplicate_runs, 0);
}

// Long-running jobs may claim all room while nobody asks for short work.
TEST_F(Headroom, WithoutShortWorkJobsThatLastGetAllRoom)
{
	for (size_t i = 0; i < kWorkers; i++) {
		Submit("lasting" + std::to_string(i), kTasks, kPiece);
		Pass(1000);
	}
	EXPECT_EQ(refused, 0);
	EXPECT_EQ(Running(), kWorkers * kTasks);
}

// The answer to a caller's first request was lost; it retries while there is
// no room for long-running jobs.  Its job was stored and runs, so a refusal,
// which says that it doesn't, would be false.
TEST_F(Headroom, AJobThatWasStoredBeforeIsNotRefused)
{
	Submit("stored", 1, kPiece);
	Load(5000, false);
	for (int i = 0; refused == 0 && i < 40; i++)
		Load(1000, true);
	ASSERT_GT(refused, 0);
	int before = refused, accepted_before = accepted;
	Submit("stored", 1, kPiece);
	Pass(200);
	EXPECT_EQ(refused, before);
	EXPECT_EQ(accepted, accepted_before + 1);
	Submit("another", 1, kPiece);
	Pass(200);
	EXPECT_EQ(refused, before + 1);
	EXPECT_EQ(items.count("lp/j/another"), 0u);
}

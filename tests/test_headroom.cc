#include "handover_fixture.h"

namespace {

// Short jobs and jobs that last, of the same priority, share eight workers.
class Headroom : public Handover {
      protected:
	static constexpr int64_t kShortRun = 500, kShortEvery = 500;
	static constexpr int64_t kLastEvery = 1000, kPiece = 4000;
	static constexpr uint32_t kTasks = 2;
	// A short job later than this is worth nothing to its caller.
	static constexpr int64_t kShortObjective = 2000;

	void
	SetUp() override
	{
		Handover::SetUp();
		for (size_t i = 0; i < kWorkers; i++)
			AddWorker("w" + std::to_string(i));
		Open();
		Pass(1500);
	}

	// One short job each kShortEvery, one that lasts each kLastEvery.
	void
	Load(int64_t for_ms, bool lasting)
	{
		for (int64_t past = 0; past < for_ms; past += kStep) {
			if (past % kShortEvery == 0)
				SubmitShort();
			if (lasting && past % kLastEvery == 0)
				Submit("lasting" + std::to_string(++submitted),
				    kTasks, kPiece);
			Step();
			WatchShort();
		}
	}

	void
	SubmitShort()
	{
		std::string id = "short" + std::to_string(++shorts);

		Submit(id, kTasks, kPiece, kShortRun);
		open_since[id] = clock_now_ms();
	}

	// Jobs of which all tasks are done, within their objective or not.
	void
	WatchShort()
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
			    clock_now_ms() - job->second > kShortObjective;
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

// Callers of short work wait past their deadline, for as long as jobs that
// last keep coming.  Those take each piece of room that comes free, and hold it
// for minutes; a short task would give it back in half a second.  Seen in a
// count of room each second: free processors in pieces smaller than a short
// task on all workers, hundreds of short tasks waiting, hardly one that lasts.
TEST_F(Headroom, ShortWorkIsServedThoughJobsThatLastKeepComing)
{
	Load(5000, false);
	Load(30000, true);
	EXPECT_GE(in_time, 9 * (shorts - 4) / 10);
	EXPECT_GT(refused, 0);
	EXPECT_GT(retry_after_ms, 0);
	// They get what short work doesn't need.
	EXPECT_GE(accepted - shorts, 4);
	EXPECT_EQ(doubles, 0);
}

// Jobs that last may claim all room where nobody asks for short work.
TEST_F(Headroom, WithoutShortWorkJobsThatLastGetAllRoom)
{
	for (size_t i = 0; i < kWorkers; i++) {
		Submit("lasting" + std::to_string(i), kTasks, kPiece);
		Pass(1000);
	}
	EXPECT_EQ(refused, 0);
	EXPECT_EQ(Running(), kWorkers * kTasks);
}

// The answer to a caller's first try was lost; it tries again while there is no
// room for jobs that last.  Its job was stored and runs, so that a refusal,
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

#include <gtest/gtest.h>

#include "sched_world.h"

using sched_world::Faults;
using sched_world::Lax;
using sched_world::World;

namespace {

constexpr int kSeeds = 60;
constexpr int64_t kPlayMs = 90000;

void
SubmitSome(World &world, const Faults &faults = Faults())
{
	int64_t gap = faults.window_ms * 80 / 5000;

	for (int i = 0; i < 60; i++)
		world.SubmitAt(1000 + gap * i, "job" + std::to_string(i),
		    1 + i % 3, 1 + i % 2);
	for (int i = 0; i < faults.crashers; i++)
		world.SubmitAt(1500 + 2000 * i,
		    sched_world::kCrasher + std::to_string(i), 1, 1);
}

// Play with many seeds; returns what was broken, with the seed.
std::vector<std::string>
Broken(const Faults &faults, Lax lax, bool all_must_end)
{
	std::vector<std::string> broken;

	for (unsigned seed = 1; seed <= kSeeds; seed++) {
		World world(seed, faults, lax);
		SubmitSome(world, faults);
		world.Play(kPlayMs);
		for (auto &what : world.broken)
			broken.push_back(
			    "seed " + std::to_string(seed) + ": " + what);
		// That a lax world is noticed once is enough.
		if (lax != Lax::None && !broken.empty())
			return broken;
		if (all_must_end && !world.AllEnded())
			broken.push_back("seed " + std::to_string(seed) +
			    ": a job never ends");
	}
	return broken;
}

void
ExpectKept(const Faults &faults)
{
	auto broken = Broken(faults, Lax::None, true);

	EXPECT_TRUE(broken.empty()) << broken.size() << " broken, first "
				    << (broken.empty() ? "" : broken[0]);
}

// Twelve leaders in 20 s, on slow clocks, while answers and writes get lost.
Faults
LeadersFollowEachOther()
{
	Faults faults;

	faults.takeovers = 12;
	faults.window_ms = 20000;
	faults.unsaved = 0.2;
	faults.lost = 0.05;
	faults.slow_clocks = true;
	faults.failing = 0.1;
	return faults;
}

} // namespace

TEST(SchedModel, JobsEndWithoutFaults)
{
	ExpectKept(Faults());
}

TEST(SchedModel, FailingTasksAreTriedToTheLimit)
{
	Faults faults;

	faults.failing = 0.3;
	ExpectKept(faults);
}

// The caller sees its job run on while entries are replaced.  The leader is
// replaced up to three times while orders of the former one are on their way
// and its ends are saved but not acknowledged.  The next one asks all workers
// what runs before it starts anything that may run already.
TEST(SchedModel, TakeoversStartNothingTwice)
{
	Faults faults;

	faults.takeovers = 3;
	faults.failing = 0.2;
	ExpectKept(faults);
}

// The former leader goes on for a moment and starts jobs that the next one
// hasn't read.  The callers of these see them run once.
TEST(SchedModel, FormerLeaderStartsJobsUnknownToTheNext)
{
	Faults faults;
	int unknown_jobs = 0;

	faults.takeovers = 3;
	for (unsigned seed = 1; seed <= kSeeds; seed++) {
		World world(seed, faults);
		SubmitSome(world);
		world.Play(kPlayMs);
		EXPECT_TRUE(world.broken.empty()) << world.broken[0];
		unknown_jobs += world.unknown_jobs;
	}
	EXPECT_GT(unknown_jobs, kSeeds / 4);
}

// Answers of workers are lost: a start may have been carried out or not.  Its
// room and its task stay taken until a stop of that attempt is answered and
// the worker's list shows what became of it.
TEST(SchedModel, LostAnswersAreSettled)
{
	Faults faults;

	faults.lost = 0.15;
	faults.failing = 0.1;
	ExpectKept(faults);
}

// Orders are carried out 2 to 12 s late, after newer ones.  A late start
// refuses itself by its deadline, or since a stop of its attempt was answered.
TEST(SchedModel, LateOrdersDoNoHarm)
{
	Faults faults;

	faults.late = 0.1;
	ExpectKept(faults);
}

// A worker is silent when the leader is replaced, and answers 6 s later.
// What may run there isn't started elsewhere before its lease has lapsed.
TEST(SchedModel, SilentWorkerAtTakeover)
{
	Faults faults;

	faults.takeovers = 2;
	faults.silent = 1;
	faults.failing = 0.1;
	ExpectKept(faults);
}

// Writes of progress lose their answers, some done and some not, while the
// leader is replaced.  An end is acknowledged only once it is surely saved.
TEST(SchedModel, LostWritesLoseNoEnds)
{
	Faults faults;

	faults.unsaved = 0.3;
	faults.takeovers = 2;
	faults.failing = 0.2;
	ExpectKept(faults);
}

// Workers are cut off and run on, some of them only from leaders to come,
// while the leader is replaced again and again and writes lose their answers.
// A next leader takes a lease for over no sooner than it is, and so nothing is
// started while it may run; and no later than it must, so that all jobs end.
TEST(SchedModel, CutOffWorkersWhileLeadersFollowEachOther)
{
	Faults faults = LeadersFollowEachOther();

	faults.cuts = 24;
	ExpectKept(faults);
}

// Workers leave one after the other, some before the leader has noticed that
// they drain, while it is replaced again and again and others are cut off.
TEST(SchedModel, WorkersLeaveWhileLeadersFollowEachOther)
{
	Faults faults = LeadersFollowEachOther();

	faults.drains = 16;
	faults.cuts = 6;
	ExpectKept(faults);
}

// Workers crash with all that runs there and come back as another life.
TEST(SchedModel, CrashedWorkers)
{
	Faults faults;

	faults.crashes = 4;
	faults.takeovers = 1;
	ExpectKept(faults);
}

// Guards against starts on a worker whose room has shrunk.
TEST(SchedModel, RoomsThatShrink)
{
	Faults faults;

	faults.shrinks = 6;
	faults.takeovers = 2;
	faults.lost = 0.05;
	faults.late = 0.03;
	ExpectKept(faults);
}

// Guards against tasks that take down all workers, one after the other.
TEST(SchedModel, TasksThatCrashTheirWorkers)
{
	Faults faults;

	faults.crashers = 2;
	ExpectKept(faults);
}

// The same while workers crash by themselves, or are cut off.
TEST(SchedModel, TasksThatCrashTheirWorkersOnABadDay)
{
	Faults faults;

	faults.crashers = 2;
	faults.crashes = 3;
	faults.cuts = 2;
	faults.takeovers = 1;
	faults.window_ms = 20000;
	ExpectKept(faults);
}

TEST(SchedModel, AllAtOnce)
{
	Faults faults;

	faults.lost = 0.05;
	faults.late = 0.03;
	faults.unsaved = 0.1;
	faults.failing = 0.1;
	faults.silent = 0.5;
	faults.takeovers = 3;
	faults.crashes = 2;
	faults.cancels = 2;
	ExpectKept(faults);
}

// The checks notice a world in which a safeguard is missing.

TEST(SchedModel, NoticesWorkersWithoutFence)
{
	Faults faults;

	faults.takeovers = 3;
	faults.late = 0.2;
	EXPECT_FALSE(Broken(faults, Lax::NoFence, false).empty());
}

TEST(SchedModel, NoticesStartsThatOutliveTheirDeadline)
{
	Faults faults;

	faults.late = 0.3;
	faults.lost = 0.3;
	faults.takeovers = 3;
	faults.crashes = 0;
	EXPECT_FALSE(Broken(faults, Lax::NoLateGuard, false).empty());
}

TEST(SchedModel, NoticesForgottenProgress)
{
	Faults faults;

	faults.takeovers = 3;
	EXPECT_FALSE(Broken(faults, Lax::ForgetProgress, false).empty());
}

TEST(SchedModel, NoticesEarlyAcknowledgements)
{
	Faults faults;

	faults.takeovers = 3;
	faults.unsaved = 0.5;
	EXPECT_FALSE(Broken(faults, Lax::AckUnsaved, false).empty());
}

// A leader that renews a lease which the record still leaves to expire.
TEST(SchedModel, NoticesRenewalsBeforeTheRecord)
{
	Faults faults;

	faults.takeovers = 12;
	faults.cuts = 24;
	faults.window_ms = 20000;
	EXPECT_FALSE(Broken(faults, Lax::EarlyRecord, false).empty());
}

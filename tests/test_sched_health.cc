#include <algorithm>
#include <random>

#include "sched_fixture.h"

namespace {

constexpr int64_t kCpu = 32000;
constexpr int kWorkers = 8;
// A long-running task has to be back within 9 s of its last run; 3 s of them
// are counted without a run.
constexpr int64_t kAwayMaxMs = 3000;

// Eight workers, long-running jobs of six tasks, and short jobs of six tasks.
class SchedHealth : public SchedSim {
      protected:
	void
	JoinAll()
	{
		for (int i = 0; i < kWorkers; i++)
			Join(("w" + std::to_string(i)).c_str(), kCpu);
		Simulate(500);
	}

	struct sched_job *
	Lasting(const char *id, uint32_t count = 6)
	{
		struct graph *g = Graph(id, count, 6400);

		g->steps[0].lasts = true;
		g->steps[0].estimate_ms = 300;
		return Add(g);
	}

	// Its tasks fail after this time.
	struct sched_job *
	Failing(const char *id, int64_t after_ms = 100, uint32_t count = 6)
	{
		fail_ms[id] = after_ms;
		return Lasting(id, count);
	}

	struct sched_job *
	Short(const std::string &id)
	{
		struct graph *g = Graph(id.c_str(), 6, 1000);

		run_ms[id] = 800;
		g->steps[0].estimate_ms = 800;
		return Add(g);
	}

	// A job that can never be done, as all tasks fail, or some of them.
	void
	FailingAtRandom(const std::string &id, std::mt19937 &random)
	{
		static const int64_t kAfterMs[] = { 0, 50, 100, 300, 1000, 1900,
			2100, 5000 };
		struct graph *g = Graph(id.c_str(), 1 + random() % 6, 1000);

		g->steps[0].lasts = random() % 4 != 0;
		if (random() % 3 != 0)
			fail_ms[id] = kAfterMs[random() % 8];
		fail_first_ms[id] = kAfterMs[random() % 6];
		Add(g);
	}

	// Begins anew, with no workers and jobs.
	void
	Restart()
	{
		TearDown();
		sim.clear();
		fail_ms.clear();
		fail_first_ms.clear();
		run_ms.clear();
		started.clear();
		start_times.clear();
		stopped.clear();
		paced.clear();
		DropPendingOrders();
		SetUp();
	}

	// Some workers fail everything for a while, beside jobs that always
	// fail.  Returns how long a short job takes then.
	int64_t
	TimeOfAShortJob(unsigned int seed)
	{
		std::mt19937 random(seed);
		int workers = 1 + static_cast<int>(random() % kWorkers);
		int64_t begun_ms;

		for (int i = 0; i < workers; i++) {
			std::string id = "w" + std::to_string(i);
			Join(id.c_str(), kCpu);
			sim[id].fails_all = random() % 2 == 0;
		}
		for (int i = 0; i < 2 + static_cast<int>(random() % 5); i++) {
			FailingAtRandom("bad" + std::to_string(i), random);
			Simulate(50 * (random() % 20));
		}
		Simulate(1000 + 50 * (random() % 200));
		for (auto &[id, worker] : sim)
			worker.fails_all = false;
		Simulate(50 * (random() % 200));
		begun_ms = now;
		struct sched_job *job = Short("short");
		while (job->state != JOB_COMPLETED && now - begun_ms < 60000)
			Simulate(50);
		return now - begun_ms;
	}

	uint32_t
	CountResting() const
	{
		struct sched_load load;

		sched_measure(s, &load, now);
		return load.barred[BAR_FAILING];
	}

	size_t
	CountStarts(const std::string &job, int64_t since_ms) const
	{
		size_t n = 0;

		for (size_t i = 0; i < start_times.size(); i++)
			n += started[i].task.job == job &&
			    start_times[i] >= since_ms;
		return n;
	}

	size_t
	CountStartsAt(const std::string &worker, int64_t since_ms) const
	{
		size_t n = 0;

		for (size_t i = 0; i < start_times.size(); i++)
			n += started[i].worker == worker &&
			    start_times[i] >= since_ms;
		return n;
	}

	// Longest time between two starts of the job's only task.
	int64_t
	LongestGap(const std::string &job, int64_t since_ms) const
	{
		int64_t last = since_ms, longest = 0;

		for (size_t i = 0; i < start_times.size(); i++) {
			if (started[i].task.job != job ||
			    start_times[i] < since_ms)
				continue;
			longest = std::max(longest, start_times[i] - last);
			last = start_times[i];
		}
		return std::max(longest, now - last);
	}
};

} // namespace

// Guards against two jobs that can never be done taking all workers from the
// others for good.
TEST_F(SchedHealth, JobsThatAlwaysFailLeaveWorkersToOthers)
{
	JoinAll();
	Failing("bad1");
	Failing("bad2");
	Simulate(12000);
	EXPECT_EQ(CountResting(), 0u);
	for (int i = 0; i < 20; i++) {
		struct sched_job *job = Short("short" + std::to_string(i));
		Simulate(500);
		EXPECT_NE(job->state, JOB_QUEUED) << i;
	}
	Simulate(1500);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(
		    sched_job_find(s, ("short" + std::to_string(i)).c_str())
			->state,
		    JOB_COMPLETED)
		    << i;
}

// The same where every worker rests already, as all failed everything for a
// while: the one task that is tried after a rest isn't always one that fails.
TEST_F(SchedHealth, ARestEndsBesideJobsThatAlwaysFail)
{
	JoinAll();
	for (auto &[id, worker] : sim)
		worker.fails_all = true;
	Failing("bad1");
	Failing("bad2");
	Failing("bad3");
	Simulate(4000);
	for (auto &[id, worker] : sim)
		worker.fails_all = false;
	Simulate(6500);
	struct sched_job *job = Short("short");
	Simulate(4000);
	EXPECT_EQ(job->state, JOB_COMPLETED);
}

// Guards against a mix of failing jobs and workers after which others wait for
// longer than the users allow after the end of the traffic.
TEST_F(SchedHealth, NoMixOfFailuresKeepsOthersWaiting)
{
	constexpr int64_t kFinishMs = 14000;

	for (unsigned int seed = 1; seed <= 500; seed++) {
		EXPECT_LE(TimeOfAShortJob(seed), kFinishMs) << "seed " << seed;
		Restart();
	}
}

// Guards against two jobs whose tasks stand still everywhere, which count as
// failures, too.
TEST_F(SchedHealth, JobsThatStandStillLeaveWorkersToOthers)
{
	JoinAll();
	for (const char *id : { "still1", "still2" })
		Add(Graph(id, 6, 6400)); // they neither progress nor end
	Simulate(30000);
	EXPECT_EQ(CountResting(), 0u);
	struct sched_job *job = Short("short");
	Simulate(1500);
	EXPECT_EQ(job->state, JOB_COMPLETED);
}

// Guards against a worker that fails everything and isn't found, since only
// long-running tasks are started.
TEST_F(SchedHealth, AWorkerThatFailsLongRunningTasksRests)
{
	JoinAll();
	sim["w3"].fails_all = true;
	Lasting("good1", 20);
	Lasting("good2", 16);
	Simulate(3000);
	EXPECT_EQ(RunningAnywhere(), 35u); // five of 6400 on each of seven
	int64_t since_ms = now;
	Simulate(20000);
	// The task without room elsewhere is tried there, with pauses.
	EXPECT_LE(CountStartsAt("w3", since_ms), 16u);
	EXPECT_EQ(RunningAnywhere(), 35u);
	sim["w3"].fails_all = false;
	Simulate(4000);
	EXPECT_EQ(RunningAnywhere(), 36u);
}

// Guards against a worker that runs long-running tasks well and gets one at a
// time for good, as none of them ends.
TEST_F(SchedHealth, ALongRunningTaskThatRunsWellEndsTheProbe)
{
	Join("w", kCpu);
	Simulate(500);
	sim["w"].fails_all = true;
	Lasting("good1", 2);
	Lasting("good2", 3);
	Simulate(1000);
	sim["w"].fails_all = false;
	Simulate(10000);
	EXPECT_EQ(RunningAnywhere(), 5u);
	EXPECT_EQ(sched_worker_find(s, "w")->inc.failed_row, 0u);
}

// Guards against a task that fails at once and is started without pause: each
// start takes an attempt number and adds to the job's record.
TEST_F(SchedHealth, ATaskThatFailsAtOnceIsDelayed)
{
	JoinAll();
	Failing("bad", 100, 1);
	Simulate(60000);
	EXPECT_LE(CountStarts("bad", 0), 40u);
	EXPECT_GE(CountStarts("bad", 0), 20u);
	EXPECT_LE(LongestGap("bad", now - 50000), kAwayMaxMs);
}

// Guards against a delay after a failure that comes after a good run.
TEST_F(SchedHealth, AFailureAfterAGoodRunIsNotDelayed)
{
	JoinAll();
	Failing("bad", 100, 1);
	Simulate(10000);
	fail_ms["bad"] = 4000;
	Simulate(6000);
	size_t before = started.size();
	fail_ms["bad"] = 0;
	Simulate(100); // it fails, and the end is listed
	fail_ms["bad"] = 4000;
	Simulate(150);
	EXPECT_EQ(started.size(), before + 1);
}

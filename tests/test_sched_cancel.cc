#include "sched_fixture.h"

namespace {

// A job with two tasks, one on each of two workers, and room for more.
class Cancel : public SchedPlay {
      protected:
	void
	RunOnTwoWorkers()
	{
		struct graph *g = Graph("a", 2, 1000);

		Join("w1", 4000);
		Join("w2", 4000);
		g->steps[0].per_worker = 1;
		job = Add(g);
		Play(500);
		ASSERT_EQ(RunningAnywhere(), 2u);
	}

	// The former leader was told of the job and runs a task of it.
	void
	RunByFormerLeader(const char *worker, uint32_t index)
	{
		Order o;

		memset(&o.task, 0, sizeof(o.task));
		strlcpy(o.task.job, "a", sizeof(o.task.job));
		o.task.index = index;
		o.worker = worker;
		o.attempt = 1;
		at[worker].running.push_back({ o, now });
		Inherit(worker, RECORD_IN_USE);
	}

	// The worker doesn't hear stops for a second: they are repeated, and
	// no more of them come once the run is gone.
	void
	ToldToStopUntilGone(const char *worker)
	{
		Machine &m = at[worker];
		size_t before = stopped.size();

		ASSERT_EQ(m.running.size(), 1u);
		Order o = m.running[0].order;
		m.hears_stops = false;
		Play(1000);
		EXPECT_EQ(m.running.size(), 1u);
		EXPECT_GE(StopsOf(o, before), 3u);
		m.hears_stops = true;
		Play(500);
		EXPECT_TRUE(m.running.empty());
		before = stopped.size();
		Play(2000);
		EXPECT_EQ(StopsOf(o, before), 0u);
	}

	struct sched_job *job = nullptr;
};

} // namespace

// A caller cancels a job whose tasks run; some of its tasks still wait for
// room.  Both runs are told to stop, again while the orders are lost.  None of
// those that wait takes the room that comes free: the caller was told that the
// job is over.
TEST_F(Cancel, RunningTasksAreStoppedAndWaitingOnesNeverStart)
{
	struct graph *g = Graph("a", 4, 3000);

	Join("w1", 4000);
	Join("w2", 4000);
	job = Add(g);
	Play(500);
	ASSERT_EQ(RunningAnywhere(), 2u);
	size_t before = started.size();
	sched_job_cancel(s, job, now);
	at["w2"].hears_stops = false;
	ToldToStopUntilGone("w1");
	at["w2"].hears_stops = true;
	Play(1000);
	EXPECT_EQ(RunningAnywhere(), 0u);
	EXPECT_EQ(started.size(), before);
	EXPECT_EQ(job->state, JOB_CANCELLED);
}

// A start gets no answer, the job is cancelled, and the worker begins the task
// only two seconds later.  Orders to stop go out before it begins and, as they
// are lost, go on after it is listed.  It isn't tried on the other worker.
TEST_F(Cancel, AStartCarriedOutAfterTheCancelIsStopped)
{
	Join("w1", 4000);
	at["w1"].to_start = ANSWER_LOST;
	at["w1"].late_ms = 2000;
	at["w1"].hears_stops = false;
	job = Add(Graph("a", 1, 1000));
	Play(100);
	ASSERT_EQ(started.size(), 1u);
	ASSERT_EQ(RunningAnywhere(), 0u);
	Join("w2", 4000);
	sched_job_cancel(s, job, now);
	Play(1500);
	EXPECT_GE(StopsOf(started[0]), 3u);
	EXPECT_EQ(RunningAnywhere(), 0u);
	Play(700);
	ToldToStopUntilGone("w1");
	EXPECT_EQ(started.size(), 1u);
}

// The same, but the answer to the start is still under way at the cancel and
// says then that the task runs.  It is stopped all the same.
TEST_F(Cancel, AStartAnsweredAfterTheCancelIsStopped)
{
	struct sched_worker *w = AddWorker("w1", 4000);

	job = Add(Graph("a", 1, 1000));
	Fence();
	ASSERT_EQ(started.size(), 1u);
	sched_job_cancel(s, job, now);
	AllStarted();
	Answer(w, AtWork());
	sched_act(s, now += 10);
	EXPECT_EQ(StopsOf(started[0]), 1u);
	sched_act(s, now += 1000);
	EXPECT_EQ(started.size(), 1u);
}

// Two workers run a former leader's tasks of a job.  One answers the new
// leader, then the job is cancelled, then the other one lists its run, while
// the first still stops.  That run is told to stop too, until it is gone: it
// was in no list when the job was cancelled.
TEST_F(Cancel, ARunListedOnlyAfterTheCancelIsStopped)
{
	RunByFormerLeader("w1", 0);
	RunByFormerLeader("w2", 1);
	Join("w1", 4000);
	Join("w2", 4000);
	at["w2"].reachable = false;
	job = Add(Graph("a", 2, 1000), true);
	sched_load_end(s, now);
	Play(500);
	at["w1"].hears_stops = false;
	sched_job_cancel(s, job, now);
	Play(500);
	at["w2"].reachable = true;
	at["w2"].hears_stops = false;
	Play(200);
	ToldToStopUntilGone("w2");
	at["w1"].hears_stops = true;
	Play(1000);
	EXPECT_EQ(RunningAnywhere(), 0u);
	EXPECT_TRUE(started.empty());
}

// A former leader's run is of a job that the new one has never read, as it had
// ended before.  The store is asked and says that it was cancelled; from then
// on the run is told to stop with each list, and nothing is started for it.
TEST_F(Cancel, ARunOfAJobCancelledUnderAFormerLeaderIsStopped)
{
	RunByFormerLeader("w1", 0);
	Join("w1", 4000);
	Join("w2", 4000);
	sched_load_end(s, now);
	Play(300);
	ASSERT_FALSE(unknown.empty());
	EXPECT_EQ(unknown[0], "a");
	EXPECT_TRUE(stopped.empty());
	sched_job_add_ended(s, "a", JOB_CANCELLED, now);
	at["w1"].hears_stops = false;
	Play(500);
	// A look that waits for an end would hold the next stop back.
	EXPECT_EQ(waits["w1"], 0);
	EXPECT_GT(waits["w2"], 0);
	ToldToStopUntilGone("w1");
	EXPECT_TRUE(started.empty());
}

// The worker that runs a task is out of reach when the job is cancelled, and
// answers again before its lease has lapsed.  Orders to stop go out all the
// while and after it.
TEST_F(Cancel, AWorkerOutOfReachAtTheCancelStopsLater)
{
	RunOnTwoWorkers();
	size_t before = started.size();
	Order o = at["w1"].running[0].order;
	at["w1"].reachable = false;
	Play(200);
	sched_job_cancel(s, job, now);
	Play(2000);
	EXPECT_GE(StopsOf(o), 4u);
	EXPECT_EQ(at["w1"].running.size(), 1u);
	EXPECT_TRUE(at["w2"].running.empty());
	at["w1"].reachable = true;
	ToldToStopUntilGone("w1");
	EXPECT_EQ(started.size(), before);
}

// The same, but the worker answers only when its lease is thought to be over
// and the run forgotten, and the run is there yet.  It is found in the list
// and stopped; neither its task nor another one of the job starts again.
TEST_F(Cancel, ARunThatOutlivedItsLeaseIsStopped)
{
	RunOnTwoWorkers();
	size_t before = started.size();
	at["w1"].reachable = false;
	Play(200);
	sched_job_cancel(s, job, now);
	Play(9000);
	EXPECT_TRUE(sched_worker_find(s, "w1")->lapsed);
	at["w1"].reachable = true;
	// Silent workers are asked at longer and longer intervals.
	for (int i = 0; i < 40 && sched_worker_find(s, "w1")->misses > 0; i++)
		Play(50);
	ToldToStopUntilGone("w1");
	EXPECT_EQ(started.size(), before);
}

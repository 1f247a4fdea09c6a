#include <cmath>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "sched_int.h"
}

namespace {

constexpr int64_t kTargetMs = 50;
constexpr double kShortestMs = 10;
// Relative rise of serving tasks' load per share of the worker that fillers
// use.
constexpr double kBadEffect = 4, kGoodEffect = 0.2;
// The loads swing with a period of 2 pi times this.
constexpr double kRadianMs = 2200;

struct Key {
	std::string job;
	uint32_t index;
	uint32_t attempt;

	bool
	operator<(const Key &o) const
	{
		return std::tie(job, index, attempt) <
		    std::tie(o.job, o.index, o.attempt);
	}
};

struct Running {
	std::string worker, image;
	bool filler;
	int64_t cpu;
	double work_ms; // remaining
	int pace = 100;
	struct task_name task;
	double phase = 0;
	int64_t late_ms = 0; // time over the target without a break
	double tail = 0;
};

// Workers with serving tasks of varying load and fillers beside them.  Workers
// answer polls with lists; the test counts what the users of the scheduler
// see.
class Shared : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		actions = { OnStart, OnStop, OnPace, OnPoll, OnRecord,
			[](struct sched *, const char *, void *) {},
			[](struct sched *, struct sched_worker *, size_t,
			    void *) {},
			[](struct sched *, const struct sched_lost *, void *) {
			},
			[](struct sched *, struct sched_worker *, void *) {},
			[](struct sched *, void *) {},
			[](struct sched *, const char *, void *) {
				return true;
			},
			[](struct sched *, void *) {},
			[](struct sched *, struct sched_worker *, bool,
			    void *) {} };
		memset(&options, 0, sizeof(options));
		options.term = 1;
		options.taken_ms = now;
		options.lease_ms = 5000;
		options.former_ms = 2000;
		options.keep_ms = 100000;
		options.harm_ms = 4000;
		options.seed = 7;
		options.actions = &actions;
		options.ctx = this;
		s = sched_open(&options);
	}
	void
	TearDown() override
	{
		sched_close(s);
	}
	void
	AddWorkers(int n)
	{
		const struct resources capacity = { 32000, 128000, 0 };

		for (int i = 0; i < n; i++) {
			std::string id = "w" + std::to_string(i);
			struct sched_worker *w =
			    sched_worker_get(s, id.c_str());
			strlcpy(w->service, "s", sizeof(w->service));
			sched_worker_listed(s, w, &capacity, false, 0, now);
		}
	}
	void
	Add(const std::string &id, const char *image, uint32_t count,
	    int64_t cpu, bool filler)
	{
		struct graph *g = graph_new(1);

		strlcpy(g->id, id.c_str(), sizeof(g->id));
		strlcpy(g->queue, filler ? "batch" : "serving", 64);
		strlcpy(g->terms.service, "s", sizeof(g->terms.service));
		g->terms.max_attempts = 3;
		g->terms.stretch = 2;
		g->payload = strdup("p");
		g->steps[0].count = count;
		g->steps[0].size = { cpu, 100, 0 };
		g->steps[0].estimate_ms = filler ? 2500 : 0;
		g->steps[0].filler = filler;
		g->steps[0].checkpoints = filler;
		g->steps[0].lasts = !filler;
		g->steps[0].tail_target_ms = filler ? 0 : kTargetMs;
		strlcpy(g->steps[0].image, image, GRAPH_NAME_MAX);
		sched_job_add(s, g, now, ORIGIN_NEW, now);
	}
	double
	Load(const Running &r) const
	{
		return 0.45 * (1 + 0.5 * sin(now / kRadianMs + r.phase));
	}
	// Estimated load of the serving tasks of a worker.
	double
	LoadNow(const std::string &id)
	{
		struct sched_worker *w = sched_worker_find(s, id.c_str());
		struct sched_run *run;

		TAILQ_FOREACH (run, &w->runs, by_worker)
			if (run->task->step->spec->tail_target_ms > 0)
				return load_estimate_value(
				    &run->task->step->load);
		return 0;
	}
	// Advances all runs by 50 ms, with the interference of the fillers.
	void
	AdvanceRuns()
	{
		std::map<std::string, double> filler_load;

		now += 50;
		for (auto &[key, r] : running) {
			if (!r.filler)
				continue;
			double share = (double)r.cpu / 32000 * r.pace / 100;
			filler_load[r.worker] += share *
			    (r.image == "bad" ? kBadEffect : kGoodEffect);
			r.work_ms -= 50.0 * r.pace / 100;
		}
		for (auto &[key, r] : running) {
			if (r.filler)
				continue;
			double load = std::min(
			    0.97, Load(r) * (1 + filler_load[r.worker]));
			double tail = kShortestMs / (1 - load);
			r.tail = r.tail == 0 ? tail : 0.9 * r.tail + 0.1 * tail;
			r.late_ms = tail > kTargetMs ? r.late_ms + 50 : 0;
			longest_late = std::max(longest_late, r.late_ms);
			served_ms += 50;
			late_ms += tail > kTargetMs ? 50 : 0;
		}
	}
	void
	AnswerPoll(const std::string &id)
	{
		struct sched_worker *w = sched_worker_find(s, id.c_str());
		std::vector<poll_running> rows;
		std::vector<poll_finished> ends;

		for (auto it = running.begin(); it != running.end();) {
			Running &r = it->second;
			if (r.worker != id) {
				++it;
				continue;
			}
			if (r.filler && r.work_ms <= 0) {
				ends.push_back({ ++number[id], r.task,
				    it->first.attempt, END_DONE, "" });
				done++;
				it = running.erase(it);
				continue;
			}
			int measurement = r.filler ?
			    (int)(r.cpu * r.pace / 100) :
			    (int)r.tail;
			int percent =
			    r.filler ? (int)(100 - r.work_ms / 25) : 100;
			rows.push_back({ r.task, it->first.attempt, "", percent,
			    measurement });
			++it;
		}
		struct poll_result result = { 0, now, rows.data(), rows.size(),
			ends.data(), ends.size() };
		sched_poll_answered(s, w, ANSWER_OK, &result, now);
	}
	void
	Simulate(int64_t for_ms)
	{
		for (int64_t end = now + for_ms; now < end;) {
			AdvanceRuns();
			sched_act(s, now);
			std::vector<std::pair<Key, struct sched_worker *>> a;
			a.swap(answers);
			for (auto &[key, w] : a) {
				struct task_name &t = running.at(key).task;
				sched_start_answered(
				    s, w, &t, key.attempt, ANSWER_OK, now, now);
			}
			std::vector<std::pair<std::string, int64_t>> due;
			due.swap(polls);
			for (auto &[id, at] : due) {
				if (at <= now)
					AnswerPoll(id);
				else
					polls.push_back({ id, at });
			}
			struct sched_job *job;
			while ((job = sched_next_dirty(s)) != nullptr)
				sched_saved(s, job, job->change, now);
		}
	}
	static Shared *
	Self(void *ctx)
	{
		return static_cast<Shared *>(ctx);
	}
	static void
	OnStart(struct sched *, struct sched_run *run, void *ctx)
	{
		const struct graph_step *spec = run->task->step->spec;
		Shared *self = Self(ctx);
		Running r;

		r.worker = run->worker->id;
		r.image = spec->image;
		r.filler = spec->filler;
		r.cpu = spec->size.cpu_millis;
		r.work_ms = 2500;
		sched_task_name(run->task, &r.task);
		r.phase = self->phases.count(r.task.job) ?
		    self->phases[r.task.job] :
		    r.task.index * 1.7;
		Key key = { r.task.job, r.task.index, run->attempt };
		self->running[key] = r;
		self->answers.push_back({ key, run->worker });
		if (run->worker->inc.late_since_ms != 0 && spec->filler)
			self->starts_beside_late++;
	}
	static void
	OnStop(struct sched *, struct sched_worker *w,
	    const struct task_name *t, uint32_t attempt, enum sched_stop_reason,
	    void *ctx)
	{
		Shared *self = Self(ctx);

		self->running.erase({ t->job, t->index, attempt });
		self->stops++;
		sched_stop_answered(self->s, w, w->inc.serial, t, attempt,
		    ANSWER_OK, self->now, self->now);
	}
	static void
	OnPace(struct sched *, struct sched_run *run, int percent, void *ctx)
	{
		Shared *self = Self(ctx);
		struct task_name t;

		sched_task_name(run->task, &t);
		auto it = self->running.find({ t.job, t.index, run->attempt });
		if (it != self->running.end())
			it->second.pace = percent;
		sched_pace_answered(self->s, run->worker, &t, run->attempt,
		    ANSWER_OK, self->now);
	}
	static void
	OnPoll(struct sched *, struct sched_worker *w, int64_t, int64_t wait_ms,
	    void *ctx)
	{
		Shared *self = Self(ctx);

		self->polls.push_back({ w->id, self->now + wait_ms });
	}
	static void
	OnRecord(struct sched *, struct sched_worker *w, void *)
	{
		sched_worker_recorded(w, w->record_wanted);
	}

	struct sched_actions actions;
	struct sched_options options;
	struct sched *s;
	int64_t now = 10000;
	std::map<std::string, double> phases; // by job; others by task
	std::map<Key, Running> running;
	std::vector<std::pair<Key, struct sched_worker *>> answers;
	std::vector<std::pair<std::string, int64_t>> polls;
	std::map<std::string, uint64_t> number;
	int64_t served_ms = 0, late_ms = 0, longest_late = 0;
	int done = 0, stops = 0, starts_beside_late = 0;
};

} // namespace

// More fillers than fit, half of them of an image that makes serving tasks
// miss their target.  No serving task may be late for 4 s without a break, few
// may be late at all, and the fillers must make progress.
TEST_F(Shared, FillersFlowBesideServingTasks)
{
	AddWorkers(12);
	Add("serving", "web", 36, 6000, false);
	Simulate(3000);
	for (int i = 0; i < 10; i++) {
		Add("bad" + std::to_string(i), "bad", 20, 4000, true);
		Add("good" + std::to_string(i), "good", 20, 4000, true);
	}
	served_ms = late_ms = 0;
	Simulate(30000);
	EXPECT_LT(longest_late, options.harm_ms);
	EXPECT_LT((double)late_ms / (double)served_ms, 0.12);
	EXPECT_GT(done, 300);
	EXPECT_EQ(starts_beside_late, 0);
}

// Only the effect on the serving tasks beside them counts: harmless fillers
// run at full pace all the time.
TEST_F(Shared, HarmlessFillersArentHeldBack)
{
	AddWorkers(4);
	Add("serving", "web", 8, 6000, false);
	Simulate(3000);
	for (int i = 0; i < 8; i++)
		Add("good" + std::to_string(i), "good", 10, 4000, true);
	Simulate(12000);
	EXPECT_EQ(longest_late, 0);
	EXPECT_EQ(done, 80);
}

// Fillers are placed until processors are short, not until declared sizes are
// used up: the scheduler learns how much of their claims serving tasks leave
// unused.
TEST_F(Shared, WhatServingTasksLeaveIsUsed)
{
	AddWorkers(2);
	Add("serving", "web", 8, 7500, false);
	Simulate(3000);
	for (int i = 0; i < 40; i++)
		Add("good" + std::to_string(i), "good", 10, 2000, true);
	Simulate(30000);
	EXPECT_LT(s->serving_use, 0.58);
	EXPECT_GT(done, 100);
}

// All workers suffer from interference, so each filler is stopped at pace 0
// wherever it goes.  It is moved soon, but not repeatedly: each move discards
// work.
TEST_F(Shared, FillersArentMovedAgainAndAgain)
{
	AddWorkers(6);
	Add("serving", "web", 30, 6000, false);
	Simulate(3000);
	for (int i = 0; i < 6; i++)
		Add("bad" + std::to_string(i), "bad", 20, 4000, true);
	Simulate(30000);
	EXPECT_GT(stops, 0);
	// Completed: 13 with a constant wait between moves, 15 with a growing
	// one.
	EXPECT_GT(done, 13);
	// Moves: 78 with a constant wait between moves, 57 with a growing one.
	EXPECT_LT(stops, 68);
	EXPECT_LT(longest_late, options.harm_ms);
}

// Guards against placing a filler by the present load: it would run beside the
// serving tasks whose load is low now but rises to its crest, instead of beside
// those whose load is higher but falls.
TEST_F(Shared, AFillerAvoidsALoadThatIsAboutToRise)
{
	std::map<std::string, std::string> worker_of;
	int placed = 0;

	phases = { { "one", 0 }, { "two", M_PI } };
	AddWorkers(2);
	// Each fills one worker.  They are of the same image, so that the
	// filler interferes with both alike.
	Add("one", "web", 4, 7500, false);
	Add("two", "web", 4, 7500, false);
	Simulate(45000);
	for (auto &[key, r] : running)
		worker_of[key.job] = r.worker;
	ASSERT_NE(worker_of["one"], worker_of["two"]);
	for (int i = 0; i < 8; i++) {
		// Half a turn later the two loads have changed places.
		std::string falls = i % 2 == 0 ? "two" : "one";
		std::string filler = "good" + std::to_string(i);
		int64_t turns = (int64_t)(now / (2 * M_PI * kRadianMs)) + 1;
		int64_t start = (int64_t)((2 * M_PI * (double)turns + 0.3 +
					      (i % 2 == 0 ? 0 : M_PI)) *
		    kRadianMs);
		Simulate(start - now);
		EXPECT_LT(LoadNow(worker_of[i % 2 == 0 ? "one" : "two"]),
		    LoadNow(worker_of[falls]))
		    << filler;
		Add(filler, "good", 1, 4000, true);
		Simulate(200);
		for (auto &[key, r] : running) {
			if (key.job != filler)
				continue;
			placed++;
			EXPECT_EQ(r.worker, worker_of[falls]) << filler;
		}
	}
	EXPECT_EQ(placed, 8);
}

// Guards against stopping fillers when the load beside them is expected to fall
// below the reserve, and against taking a load of 0 for an unknown one.
TEST_F(Shared, ALoadExpectedToVanishHoldsNoFillerBack)
{
	AddWorkers(1);
	Add("serving", "web", 2, 6000, false);
	Simulate(3000);
	Add("good", "good", 2, 4000, true);
	Simulate(500);
	struct sched_worker *w = sched_worker_find(s, "w0");
	ASSERT_GT(w->filler_cpu, 0);
	for (double load : { 0.2, 0.05, 0.03, 0.0 }) {
		struct sched_run *run;
		TAILQ_FOREACH (run, &w->runs, by_worker) {
			struct step_forecast *f = run->task->step->forecast;
			if (f == nullptr)
				continue;
			f->cached_ms = now;
			for (double &highest : f->highest)
				highest = load;
		}
		share_update(s, w, now);
		TAILQ_FOREACH (run, &w->runs, by_worker) {
			if (run->task->step->spec->filler) {
				EXPECT_EQ(run->pace, 100) << load;
			}
		}
		EXPECT_LT(
		    share_load_ratio(s, w, LOAD_PLACE, IMAGE_NONE, 0), 0.4)
		    << load;
	}
}

// Guards against a cycle that is continued after the tails it was fitted to
// have stopped.
TEST_F(Shared, AStepWithoutTailsKeepsItsLastLoad)
{
	AddWorkers(1);
	Add("serving", "web", 2, 6000, false);
	Simulate(45000);
	struct sched_worker *w = sched_worker_find(s, "w0");
	struct sched_step *step = TAILQ_FIRST(&w->runs)->task->step;
	const struct forecast *f = &step->forecast->forecast;
	ASSERT_NE(forecast_best(f), FORECAST_LAST);
	int64_t silent_ms = f->last_ms + 2100;
	for (int k = 0; k < LOAD_HORIZONS; k++)
		EXPECT_DOUBLE_EQ(
		    forecast_step_load(step, (enum load_horizon)k, silent_ms),
		    f->last);
}

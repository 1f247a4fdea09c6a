#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

#include <cstring>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "scheduler.h"
}

struct Order {
	std::string worker;
	struct task_name task;
	uint32_t attempt;
};

// The scheduler with its actions noted.
class Sched : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		actions = { OnStart, OnStop, OnPace, OnLook, OnRecord,
			OnUnknown, OnLapsed, OnForgetWorker, OnSave, OnForget,
			OnDeposed };
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

	struct graph *
	Graph(const char *id, uint32_t count, int64_t cpu)
	{
		struct graph *g = graph_new(1);

		strlcpy(g->id, id, sizeof(g->id));
		strlcpy(g->queue, "q", sizeof(g->queue));
		strlcpy(g->terms.service, "s", sizeof(g->terms.service));
		g->terms.max_attempts = 3;
		g->terms.stretch = 2;
		g->payload = strdup("p");
		g->steps[0].count = count;
		g->steps[0].size = { cpu, 100, 0 };
		g->steps[0].estimate_ms = 500;
		return g;
	}

	struct sched_job *
	Add(struct graph *g, bool inherited = false)
	{
		return sched_job_add(
		    s, g, now, inherited ? ORIGIN_INHERITED : ORIGIN_NEW, now);
	}

	struct sched_worker *
	AddWorker(const char *id, int64_t cpu, const char *label = "")
	{
		const struct resources capacity = { cpu, 64000, 0 };
		struct sched_worker *w = sched_worker_get(s, id);

		strlcpy(w->service, "s", sizeof(w->service));
		if (label[0] != '\0') {
			strlcpy(w->labels[0], label, sizeof(w->labels[0]));
			w->nlabels = 1;
		}
		sched_worker_listed(s, w, &capacity, false, 0, now);
		return w;
	}

	// The record of the last leader names the worker, and what may run
	// there, if that is known.
	struct sched_worker *
	Inherit(const char *id, enum worker_record record, int64_t left_ms = 0,
	    const std::vector<task_name> *tasks = nullptr)
	{
		struct sched_worker *w = sched_worker_get(s, id);
		struct sched_inherited from = { record, left_ms,
			tasks != nullptr,
			tasks != nullptr ? tasks->data() : nullptr,
			tasks != nullptr ? tasks->size() : 0 };

		sched_worker_inherit(w, &from, now);
		return w;
	}

	// The worker answers a look with these lists.
	void
	Answer(struct sched_worker *w,
	    const std::vector<look_running> &running = {},
	    const std::vector<look_finished> &finished = {})
	{
		struct look_result result = { now, running.data(),
			running.size(), finished.data(), finished.size() };

		sched_look_answered(s, w, ANSWER_OK, &result, now);
	}

	// Act, and let every worker that is asked say that nothing runs.
	void
	Fence()
	{
		sched_act(s, now);
		for (auto &id : std::vector<std::string>(looked))
			Answer(sched_worker_find(s, id.c_str()));
		looked.clear();
		now += 10;
		sched_act(s, now);
	}

	// All workers but "other" leave their looks without an answer.
	void
	OnlyOtherAnswers(int64_t for_ms)
	{
		for (int64_t end = now + for_ms; now < end; now += 50) {
			sched_act(s, now);
			for (auto &id : std::vector<std::string>(looked)) {
				struct sched_worker *asked =
				    sched_worker_find(s, id.c_str());
				if (id == "other")
					Answer(asked);
				else
					sched_look_answered(s, asked,
					    ANSWER_LOST, nullptr, now);
			}
			looked.clear();
		}
	}

	void
	AllStarted()
	{
		for (auto &o : started)
			sched_start_answered(s,
			    sched_worker_find(s, o.worker.c_str()), &o.task,
			    o.attempt, ANSWER_OK, now, now);
	}

	// What was started, as a worker lists it.
	std::vector<look_running>
	AtWork() const
	{
		std::vector<look_running> rows;

		for (auto &o : started)
			rows.push_back({ o.task, o.attempt, "", 100, 0 });
		return rows;
	}

	static look_finished
	End(uint64_t number, const Order &o, enum look_end how)
	{
		return { number, o.task, o.attempt, how, "" };
	}

	static Sched *
	Self(void *ctx)
	{
		return static_cast<Sched *>(ctx);
	}
	static void
	OnStart(struct sched *, struct sched_run *run, void *ctx)
	{
		Order o;
		o.worker = run->worker->id;
		sched_task_name(run->task, &o.task);
		o.attempt = run->attempt;
		Self(ctx)->started.push_back(o);
	}
	static void
	OnStop(struct sched *, struct sched_worker *w,
	    const struct task_name *task, uint32_t attempt, void *ctx)
	{
		Self(ctx)->stopped.push_back({ w->id, *task, attempt });
	}
	static void
	OnPace(struct sched *, struct sched_run *run, int percent, void *ctx)
	{
		Order o;
		o.worker = run->worker->id;
		sched_task_name(run->task, &o.task);
		o.attempt = run->attempt;
		Self(ctx)->paced.push_back({ o, percent });
	}
	static void
	OnLook(struct sched *, struct sched_worker *w, int64_t deadline,
	    int64_t, void *ctx)
	{
		Self(ctx)->looked.push_back(w->id);
		Self(ctx)->renewed = deadline;
	}
	static void
	OnRecord(struct sched *, struct sched_worker *w, void *ctx)
	{
		if (!Self(ctx)->store_slow)
			sched_worker_recorded(w, w->record_wanted);
	}
	static void
	OnUnknown(struct sched *, const char *job, void *ctx)
	{
		Self(ctx)->unknown.push_back(job);
	}
	static void
	OnLapsed(struct sched *, struct sched_worker *, size_t, void *)
	{
	}
	static void
	OnForgetWorker(struct sched *, struct sched_worker *, void *)
	{
	}
	static void
	OnSave(struct sched *, void *)
	{
	}
	static void
	OnForget(struct sched *, const char *, void *)
	{
	}
	static void
	OnDeposed(struct sched *, void *ctx)
	{
		Self(ctx)->deposed = true;
	}

	struct sched_actions actions;
	struct sched_options options;
	struct sched *s;
	int64_t now = 10000;
	std::vector<Order> started, stopped;
	std::vector<std::pair<Order, int>> paced;
	std::vector<std::string> looked, unknown;
	bool deposed = false, store_slow = false;
	int64_t renewed = 0; // by the last look, on the worker's clock; 0: not
};

#endif /* SCHED_FIXTURE_H */

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

struct Loss {
	Order order;
	enum sched_loss cause;
	int64_t ran_ms;
	enum blame blame;
};

// The scheduler with its actions noted.
class Sched : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		actions = { OnStart, OnStop, OnPace, OnLook, OnRecord,
			OnUnknown, OnLapsed, OnLost, OnForgetWorker, OnSave,
			OnForget, OnDeposed };
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
	    const std::vector<poll_running> &running = {},
	    const std::vector<poll_finished> &finished = {})
	{
		struct poll_result result = { now, running.data(),
			running.size(), finished.data(), finished.size() };

		sched_poll_answered(s, w, ANSWER_OK, &result, now);
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
					sched_poll_answered(s, asked,
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
	std::vector<poll_running>
	AtWork() const
	{
		std::vector<poll_running> rows;

		for (auto &o : started)
			rows.push_back({ o.task, o.attempt, "", 100, 0 });
		return rows;
	}

	static poll_finished
	End(uint64_t number, const Order &o, enum run_end how)
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
		Self(ctx)->resumed_from.push_back(
		    run->task->checkpoint != nullptr ? run->task->checkpoint :
						       "");
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
	    int64_t wait, void *ctx)
	{
		Self(ctx)->waits[w->id] = wait;
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
	OnLost(struct sched *, const struct sched_lost *lost, void *ctx)
	{
		Loss loss;
		loss.order.worker = lost->worker;
		sched_task_name(lost->task, &loss.order.task);
		loss.order.attempt = lost->attempt;
		loss.cause = lost->cause;
		loss.ran_ms = lost->ran_ms;
		loss.blame = lost->blame;
		Self(ctx)->lost.push_back(loss);
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
	std::vector<Loss> lost;
	std::vector<std::pair<Order, int>> paced;
	std::vector<std::string> looked, unknown;
	std::vector<std::string> resumed_from; // by each of started
	std::map<std::string, int64_t> waits; // of the last look at each
	bool deposed = false, store_slow = false;
	int64_t renewed = 0; // by the last look, on the worker's clock; 0: not
};

// The same with workers that carry orders out, on a clock that the test moves.
// Looks are answered at once, and ends stay listed until acknowledged.
class SchedPlay : public Sched {
      protected:
	struct Running {
		Order order;
		int64_t begun_ms;
	};
	struct Ended {
		uint64_t number;
		Order order;
		enum run_end how;
	};
	struct Machine {
		bool reachable = true;
		bool gone = false; // another life answers at its address
		bool hears_stops = true; // else they are lost on the way
		bool still = false; // its tasks make no progress
		int slow = 1; // tasks take so many times as long
		int tail_ms = 0; // of serving tasks
		enum worker_answer to_start = ANSWER_OK;
		int64_t late_ms = 0; // lost starts are carried out then
		uint64_t last_end = 0;
		std::vector<Running> running, late;
		std::vector<Ended> ended;
	};

	struct sched_worker *
	Join(const char *id, int64_t cpu)
	{
		at[id];
		return AddWorker(id, cpu);
	}

	void
	ListAsDraining(const char *id, int64_t cpu)
	{
		const struct resources capacity = { cpu, 64000, 0 };

		sched_worker_listed(s, sched_worker_find(s, id), &capacity,
		    true, now + 10000, now);
	}

	// All that goes on in so many milliseconds.
	void
	Play(int64_t for_ms)
	{
		for (int64_t end = now + for_ms; now < end;) {
			now += 50;
			for (auto &m : at)
				Advance(m.second);
			sched_act(s, now);
			struct sched_job *job;
			while ((job = sched_next_dirty(s)) != nullptr)
				sched_saved(s, job, job->change, now);
			while (starts_done < started.size())
				CarryOutStart(started[starts_done++]);
			while (stops_done < stopped.size())
				CarryOutStop(stopped[stops_done++]);
			while (paces_done < paced.size()) {
				const Order o = paced[paces_done++].first;
				sched_pace_answered(s, Find(o), &o.task,
				    o.attempt, ANSWER_OK, now);
			}
			for (auto &id : std::vector<std::string>(looked))
				AnswerLook(id);
			looked.clear();
		}
	}

	// Stops sent for a task since the given number of stops.
	size_t
	StopsOf(const Order &o, size_t since = 0) const
	{
		size_t n = 0;

		for (size_t i = since; i < stopped.size(); i++)
			if (stopped[i].worker == o.worker &&
			    Same(stopped[i], o))
				n++;
		return n;
	}

	size_t
	RunningAnywhere() const
	{
		size_t n = 0;

		for (auto &m : at)
			n += m.second.running.size();
		return n;
	}

	static bool
	Same(const Order &a, const Order &b)
	{
		return strcmp(a.task.job, b.task.job) == 0 &&
		    a.task.occurrence == b.task.occurrence &&
		    a.task.step == b.task.step &&
		    a.task.index == b.task.index && a.attempt == b.attempt;
	}

	void
	EndRun(Machine &m, size_t i, enum run_end how)
	{
		m.ended.push_back({ ++m.last_end, m.running[i].order, how });
		m.running.erase(m.running.begin() + static_cast<long>(i));
	}

	// What was ordered of the last scheduler.
	void
	Forget()
	{
		starts_done = started.size();
		stops_done = stopped.size();
		paces_done = paced.size();
		looked.clear();
	}

	std::map<std::string, Machine> at;
	std::map<std::string, int64_t> run_ms; // by job; else without end
	std::vector<int64_t> start_times; // of started

      private:
	struct sched_worker *
	Find(const Order &o)
	{
		return sched_worker_find(s, o.worker.c_str());
	}

	void
	Advance(Machine &m)
	{
		for (size_t i = m.late.size(); i-- > 0;) {
			if (m.late[i].begun_ms > now)
				continue;
			m.running.push_back(m.late[i]);
			m.late.erase(m.late.begin() + static_cast<long>(i));
		}
		for (size_t i = m.running.size(); i-- > 0;) {
			auto length = run_ms.find(m.running[i].order.task.job);
			if (!m.still && length != run_ms.end() &&
			    now - m.running[i].begun_ms >=
				length->second * m.slow)
				EndRun(m, i, END_DONE);
		}
	}

	void
	CarryOutStart(const Order &o)
	{
		Machine &m = at[o.worker];
		enum worker_answer answer =
		    m.reachable ? m.to_start : ANSWER_LOST;

		start_times.push_back(now);
		if (answer == ANSWER_OK)
			m.running.push_back({ o, now });
		else if (answer == ANSWER_LOST && m.late_ms > 0)
			m.late.push_back({ o, now + m.late_ms });
		sched_start_answered(
		    s, Find(o), &o.task, o.attempt, answer, now, now);
	}

	void
	CarryOutStop(const Order &o)
	{
		Machine &m = at[o.worker];
		bool heard = m.reachable && m.hears_stops;

		for (size_t i = m.running.size(); heard && i-- > 0;)
			if (Same(m.running[i].order, o))
				EndRun(m, i, END_STOPPED);
		for (size_t i = m.late.size(); heard && i-- > 0;)
			if (Same(m.late[i].order, o))
				m.late.erase(
				    m.late.begin() + static_cast<long>(i));
		sched_stop_answered(s, Find(o), &o.task, o.attempt,
		    heard ? ANSWER_OK : ANSWER_LOST, now, now);
	}

	int
	Percent(const Machine &m, const Running &r) const
	{
		auto length = run_ms.find(r.order.task.job);

		if (length == run_ms.end())
			return 100;
		return m.still ? 40 :
				 static_cast<int>((now - r.begun_ms) * 100 /
				     (length->second * m.slow));
	}

	void
	AnswerLook(const std::string &id)
	{
		struct sched_worker *w = sched_worker_find(s, id.c_str());
		std::vector<poll_running> rows;
		std::vector<poll_finished> ends;
		Machine &m = at[id];

		if (w == nullptr)
			return;
		if (m.gone || !m.reachable) {
			sched_poll_answered(s, w,
			    m.gone ? ANSWER_OTHER_INCARNATION : ANSWER_LOST,
			    nullptr, now);
			return;
		}
		for (auto &r : m.running)
			rows.push_back({ r.order.task, r.order.attempt, "",
			    Percent(m, r), m.tail_ms });
		while (!m.ended.empty() &&
		    m.ended.front().number <= w->acknowledged)
			m.ended.erase(m.ended.begin());
		for (auto &e : m.ended)
			ends.push_back(End(e.number, e.order, e.how));
		Answer(w, rows, ends);
	}

	size_t starts_done = 0, stops_done = 0, paces_done = 0;
};

#endif /* SCHED_FIXTURE_H */

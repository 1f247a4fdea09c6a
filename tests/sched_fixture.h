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

// A worker began to refuse starts for want of room, or has stopped to.
struct NoRoom {
	std::string worker;
	bool over;
	uint32_t refused;
};

struct Loss {
	Order order;
	enum sched_loss cause;
	int64_t ran_ms;
	enum blame blame;
	uint32_t crashes;
};

// Runs a scheduler and records its actions.
class Sched : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		actions = { OnStart, OnStop, OnPace, OnPoll, OnRecord,
			OnUnknown, OnLeaseExpired, OnLost, OnForgetWorker,
			OnSave, OnForget, OnDeposed, OnNoRoom };
		memset(&options, 0, sizeof(options));
		options.term = 1;
		options.taken_ms = now;
		options.lease_ms = 5000;
		options.lease_max_ms = 6000;
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

	// Adds a worker from the record of the last leader, with the tasks
	// that may run there if they are known.
	struct sched_worker *
	Inherit(const char *id, enum worker_record record,
	    int64_t lease_left_ms = 0,
	    const std::vector<task_name> *tasks = nullptr,
	    int64_t started_ms = 0)
	{
		struct sched_worker *w = sched_worker_get(s, id);
		struct sched_inherited from = { record, lease_left_ms,
			tasks != nullptr,
			tasks != nullptr ? tasks->data() : nullptr,
			tasks != nullptr ? tasks->size() : 0, started_ms };

		sched_worker_inherit(w, &from, now);
		return w;
	}

	// Answers a poll of the worker with these lists, as a worker that
	// tells this start and clock.
	void
	Answer(struct sched_worker *w,
	    const std::vector<poll_running> &running = {},
	    const std::vector<poll_finished> &finished = {}, int64_t born = 0,
	    int64_t clock = 0)
	{
		struct poll_result result = { born, clock != 0 ? clock : now,
			running.data(), running.size(), finished.data(),
			finished.size() };

		sched_poll_answered(s, w, ANSWER_OK, &result, now);
	}

	// Calls sched_act() and answers every poll with an empty list, so that
	// all polled workers are fenced.
	void
	Fence()
	{
		sched_act(s, now);
		for (auto &id : std::vector<std::string>(polled))
			Answer(sched_worker_find(s, id.c_str()));
		polled.clear();
		now += 10;
		sched_act(s, now);
	}

	// Answers the polls of "other"; those of all other workers time out.
	// The store saves.
	void
	OnlyOtherAnswers(int64_t for_ms)
	{
		for (int64_t end = now + for_ms; now < end; now += 50) {
			sched_act(s, now);
			SaveJobs();
			for (auto &id : std::vector<std::string>(polled)) {
				struct sched_worker *asked =
				    sched_worker_find(s, id.c_str());
				if (id == "other")
					Answer(asked);
				else
					sched_poll_answered(s, asked,
					    ANSWER_LOST, nullptr, now);
			}
			polled.clear();
		}
	}

	// Called for each job that is saved.
	virtual void
	Store(struct sched_job *)
	{
	}

	// Saves what waits for it, as long as the store does.
	void
	SaveJobs()
	{
		struct sched_job *job;

		while (store_saves && (job = sched_next_dirty(s)) != nullptr) {
			Store(job);
			sched_saved(s, job, job->change, now);
		}
	}

	void
	ConfirmStarts()
	{
		for (auto &o : started)
			sched_start_answered(s,
			    sched_worker_find(s, o.worker.c_str()), &o.task,
			    o.attempt, ANSWER_OK, now, now);
	}

	// The started tasks, as rows of a worker's list.
	std::vector<poll_running>
	RunningRows() const
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
	    const struct task_name *task, uint32_t attempt,
	    enum sched_stop_reason, void *ctx)
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
	OnPoll(struct sched *, struct sched_worker *w, int64_t deadline,
	    int64_t wait, void *ctx)
	{
		Self(ctx)->poll_waits[w->id] = wait;
		Self(ctx)->polled.push_back(w->id);
		Self(ctx)->renewed = deadline;
	}
	static void
	OnRecord(struct sched *sched, struct sched_worker *w, void *ctx)
	{
		if (Self(ctx)->store_slow)
			return;
		sched_worker_recording(sched, w, Self(ctx)->now);
		sched_worker_recorded(w, w->record_wanted);
	}
	static void
	OnUnknown(struct sched *, const char *job, void *ctx)
	{
		Self(ctx)->unknown.push_back(job);
	}
	static void
	OnLeaseExpired(struct sched *, struct sched_worker *, size_t, void *)
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
		loss.crashes = lost->crashes;
		if (loss.cause == LOSS_SILENT)
			Self(ctx)->maybe_lost.push_back(loss);
		else
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
	static bool
	OnForget(struct sched *, const char *, void *ctx)
	{
		return Self(ctx)->forgets;
	}
	static void
	OnNoRoom(struct sched *, struct sched_worker *w, bool over, void *ctx)
	{
		Self(ctx)->no_room.push_back(
		    { w->id, over, w->inc.refusals.count });
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
	std::vector<Loss> maybe_lost; // may be lost, as the worker is silent
	std::vector<NoRoom> no_room;
	std::vector<std::pair<Order, int>> paced;
	std::vector<std::string> polled, unknown;
	std::vector<std::string> resumed_from; // for each of started
	// Wait time of the last poll, by worker.
	std::map<std::string, int64_t> poll_waits;
	bool deposed = false, store_slow = false, store_saves = true;
	bool forgets = true; // jobs past their keep time can be removed
	// Lease end sent by the last poll, on the worker's clock; 0: none.
	int64_t renewed = 0;
};

// Adds workers that carry out orders, on a clock that the test advances. Polls
// are answered at once, and ends stay listed until acknowledged.
class SchedSim : public Sched {
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
	struct SimWorker {
		bool reachable = true;
		// Another incarnation answers at its address.
		bool replaced = false;
		// If not, stop orders are lost on the way.
		bool receives_stops = true;
		bool no_progress = false; // its tasks make no progress
		bool fails_all = false; // its tasks fail at once
		int slowdown = 1; // factor by which tasks take longer
		int tail_ms = 0; // tail latency of serving tasks
		enum worker_answer start_answer = ANSWER_OK;
		// Delay after which lost starts are carried out; 0: never.
		int64_t start_delay_ms = 0;
		uint64_t last_end = 0;
		int64_t started_ms = 0; // start that it tells; 0: none
		int64_t clock_base_ms = 0; // its clock began then
		std::vector<Running> running, delayed;
		std::vector<Ended> ended;
	};

	struct sched_worker *
	Join(const char *id, int64_t cpu)
	{
		sim[id];
		return AddWorker(id, cpu);
	}

	void
	ListAsDraining(const char *id, int64_t cpu)
	{
		const struct resources capacity = { cpu, 64000, 0 };

		sched_worker_listed(s, sched_worker_find(s, id), &capacity,
		    true, now + 10000, now);
	}

	// Simulates the workers and the scheduler for this time.
	void
	Simulate(int64_t for_ms)
	{
		for (int64_t end = now + for_ms; now < end;) {
			now += 50;
			for (auto &m : sim)
				Advance(m.second);
			sched_act(s, now);
			SaveJobs();
			while (starts_done < started.size())
				CarryOutStart(started[starts_done++]);
			while (stops_done < stopped.size())
				CarryOutStop(stopped[stops_done++]);
			while (paces_done < paced.size()) {
				const Order o = paced[paces_done++].first;
				sched_pace_answered(s, Find(o), &o.task,
				    o.attempt, ANSWER_OK, now);
			}
			for (auto &id : std::vector<std::string>(polled))
				AnswerPoll(id);
			polled.clear();
		}
	}

	// Number of stops sent for a task, from index since of stopped on.
	size_t
	StopsOf(const Order &o, size_t since = 0) const
	{
		size_t n = 0;

		for (size_t i = since; i < stopped.size(); i++)
			if (stopped[i].worker == o.worker &&
			    SameAttempt(stopped[i], o))
				n++;
		return n;
	}

	size_t
	RunningAnywhere() const
	{
		size_t n = 0;

		for (auto &m : sim)
			n += m.second.running.size();
		return n;
	}

	// What the poll under way acknowledges.
	static uint64_t
	AcknowledgedByPoll(const struct sched_worker *w)
	{
		return w->poll_acknowledged;
	}

	static bool
	SameAttempt(const Order &a, const Order &b)
	{
		return strcmp(a.task.job, b.task.job) == 0 &&
		    a.task.occurrence == b.task.occurrence &&
		    a.task.step == b.task.step &&
		    a.task.index == b.task.index && a.attempt == b.attempt;
	}

	void
	EndRun(SimWorker &m, size_t i, enum run_end how)
	{
		m.ended.push_back({ ++m.last_end, m.running[i].order, how });
		m.running.erase(m.running.begin() + static_cast<long>(i));
	}

	// Drops the orders of the last scheduler that are not carried out yet.
	void
	DropPendingOrders()
	{
		starts_done = started.size();
		stops_done = stopped.size();
		paces_done = paced.size();
		polled.clear();
	}

	std::map<std::string, SimWorker> sim;
	// Run time of tasks, by job; tasks of other jobs don't end.
	std::map<std::string, int64_t> run_ms;
	// Time after which tasks fail, by job.
	std::map<std::string, int64_t> fail_ms;
	// The same of the first task of a step only.
	std::map<std::string, int64_t> fail_first_ms;
	std::vector<int64_t> start_times; // for each of started

      private:
	struct sched_worker *
	Find(const Order &o)
	{
		return sched_worker_find(s, o.worker.c_str());
	}

	void
	Advance(SimWorker &m)
	{
		for (size_t i = m.delayed.size(); i-- > 0;) {
			if (m.delayed[i].begun_ms > now)
				continue;
			m.running.push_back(m.delayed[i]);
			m.delayed.erase(
			    m.delayed.begin() + static_cast<long>(i));
		}
		for (size_t i = m.running.size(); i-- > 0;) {
			auto length = run_ms.find(m.running[i].order.task.job);
			int64_t fails = FailMs(m.running[i].order.task);
			int64_t ran_ms = now - m.running[i].begun_ms;
			if (m.fails_all || (fails >= 0 && ran_ms >= fails))
				EndRun(m, i, END_FAILED);
			else if (!m.no_progress && length != run_ms.end() &&
			    now - m.running[i].begun_ms >=
				length->second * m.slowdown)
				EndRun(m, i, END_DONE);
		}
	}

	// Time after which the task fails; -1: it doesn't.
	int64_t
	FailMs(const struct task_name &task) const
	{
		auto first = fail_first_ms.find(task.job);
		auto all = fail_ms.find(task.job);

		if (task.index == 0 && first != fail_first_ms.end())
			return first->second;
		return all != fail_ms.end() ? all->second : -1;
	}

	void
	CarryOutStart(const Order &o)
	{
		SimWorker &m = sim[o.worker];
		enum worker_answer answer =
		    m.reachable ? m.start_answer : ANSWER_LOST;

		start_times.push_back(now);
		if (answer == ANSWER_OK)
			m.running.push_back({ o, now });
		else if (answer == ANSWER_LOST && m.start_delay_ms > 0)
			m.delayed.push_back({ o, now + m.start_delay_ms });
		sched_start_answered(
		    s, Find(o), &o.task, o.attempt, answer, Clock(m), now);
	}

	void
	CarryOutStop(const Order &o)
	{
		SimWorker &m = sim[o.worker];
		bool heard = m.reachable && m.receives_stops;

		for (size_t i = m.running.size(); heard && i-- > 0;)
			if (SameAttempt(m.running[i].order, o))
				EndRun(m, i, END_STOPPED);
		for (size_t i = m.delayed.size(); heard && i-- > 0;)
			if (SameAttempt(m.delayed[i].order, o))
				m.delayed.erase(
				    m.delayed.begin() + static_cast<long>(i));
		sched_stop_answered(s, Find(o), Find(o)->inc.serial, &o.task,
		    o.attempt, heard ? ANSWER_OK : ANSWER_LOST, Clock(m), now);
	}

	int64_t
	Clock(const SimWorker &m) const
	{
		return now - m.clock_base_ms;
	}

	int
	Percent(const SimWorker &m, const Running &r) const
	{
		auto length = run_ms.find(r.order.task.job);

		if (length == run_ms.end())
			return 100;
		return m.no_progress ? 40 :
				       static_cast<int>((now - r.begun_ms) *
					   100 / (length->second * m.slowdown));
	}

	void
	AnswerPoll(const std::string &id)
	{
		struct sched_worker *w = sched_worker_find(s, id.c_str());
		std::vector<poll_running> rows;
		std::vector<poll_finished> ends;
		SimWorker &m = sim[id];

		if (w == nullptr)
			return;
		if (m.replaced || !m.reachable) {
			sched_poll_answered(s, w,
			    m.replaced ? ANSWER_OTHER_INCARNATION : ANSWER_LOST,
			    nullptr, now);
			return;
		}
		for (auto &r : m.running)
			rows.push_back({ r.order.task, r.order.attempt, "",
			    Percent(m, r), m.tail_ms });
		while (!m.ended.empty() &&
		    m.ended.front().number <= AcknowledgedByPoll(w))
			m.ended.erase(m.ended.begin());
		for (auto &e : m.ended)
			ends.push_back(End(e.number, e.order, e.how));
		Answer(w, rows, ends, m.started_ms, Clock(m));
	}

	size_t starts_done = 0, stops_done = 0, paces_done = 0;
};

#endif /* SCHED_FIXTURE_H */

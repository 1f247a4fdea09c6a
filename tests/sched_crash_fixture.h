#ifndef SCHED_CRASH_FIXTURE_H
#define SCHED_CRASH_FIXTURE_H

#include <set>

#include "sched_fixture.h"

// Workers that go down, and come back at their address as another life.
class SchedCrash : public SchedPlay {
      protected:
	// The tasks of these jobs take each worker down that starts them.
	std::set<std::string> crashers;
	int64_t back_ms = 3300; // until the next life
	bool answers_first = true; // a worker answers the start, then crashes

	void
	JoinAll(int n, int64_t cpu)
	{
		room_cpu = cpu;
		for (int i = 0; i < n; i++)
			JoinAt("10.0.0." + std::to_string(i));
	}

	// Play, with the crashes that starts bring and those given to Crash().
	void
	PlayCrashes(int64_t for_ms)
	{
		for (int64_t end = now + for_ms; now < end;) {
			size_t before = started.size();
			if (!answers_first)
				for (auto &m : at)
					m.second.to_start = ANSWER_LOST;
			Play(50);
			for (size_t i = before; i < started.size(); i++)
				if (crashers.count(started[i].task.job))
					Crash(started[i].worker);
			ComeBack();
		}
	}

	void
	Crash(const std::string &id)
	{
		Machine &m = at[id];

		if (!m.reachable)
			return;
		m.reachable = false;
		m.running.clear();
		m.ended.clear();
		returns.emplace(now + back_ms, id);
	}

	// The next leader, which finds the same workers.
	void
	Restart()
	{
		sched_close(s);
		options.term++;
		options.taken_ms = now;
		s = sched_open(&options);
		started.clear();
		Forget();
		for (auto &m : at) {
			if (!m.second.reachable)
				continue;
			struct sched_worker *w =
			    sched_worker_get(s, m.first.c_str());
			strlcpy(w->address, addresses[m.first].c_str(),
			    sizeof(w->address));
			AddWorker(m.first.c_str(), room_cpu);
		}
	}

	// A worker that is up, by a number that the test draws.
	std::string
	AnyUp(unsigned number)
	{
		std::vector<std::string> up;

		for (auto &m : at)
			if (m.second.reachable)
				up.push_back(m.first);
		return up[number % up.size()];
	}

	size_t
	StartsOf(const char *job) const
	{
		size_t n = 0;

		for (auto &o : started)
			n += strcmp(o.task.job, job) == 0;
		return n;
	}

	std::string
	StateOf(const char *job)
	{
		return sched_job_state_name(sched_job_find(s, job)->state);
	}

	// A job whose tasks last.
	struct graph *
	Lasting(const char *id, uint32_t count, int64_t cpu)
	{
		struct graph *g = Graph(id, count, cpu);

		g->steps[0].lasts = true;
		return g;
	}

      private:
	void
	JoinAt(const std::string &address)
	{
		std::string id = "w" + std::to_string(lives++);
		struct sched_worker *w = sched_worker_get(s, id.c_str());

		strlcpy(w->address, address.c_str(), sizeof(w->address));
		Join(id.c_str(), room_cpu);
	}

	void
	ComeBack()
	{
		while (!returns.empty() && returns.begin()->first <= now) {
			std::string id = returns.begin()->second;
			struct sched_worker *w =
			    sched_worker_find(s, id.c_str());
			std::string address = addresses[id];

			returns.erase(returns.begin());
			at[id].gone = true;
			if (w != nullptr)
				sched_worker_unlisted(s, w, now);
			JoinAt(address);
		}
		for (auto &m : at) {
			struct sched_worker *w =
			    sched_worker_find(s, m.first.c_str());
			if (w != nullptr)
				addresses[m.first] = w->address;
		}
	}

	int64_t room_cpu = 0;
	int lives = 0;
	std::multimap<int64_t, std::string> returns;
	std::map<std::string, std::string> addresses;
};

#endif /* SCHED_CRASH_FIXTURE_H */

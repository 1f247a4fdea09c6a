#ifndef SCHED_WORLD_H
#define SCHED_WORLD_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "codec.h"
#include "scheduler.h"
}

/*
 * A small world around the scheduler: workers with fences, leases and lists
 * of ends, a store with the leader's record, and leaders that are replaced
 * while their messages are still on the way.  Orders and answers take time,
 * are lost, or are carried out late.  What breaks a promise is noted as it
 * happens, from what the workers see.
 */
namespace sched_world {

struct Faults {
	double lost = 0; // share of answers that are lost
	double late = 0; // share of orders carried out seconds later
	double unsaved = 0; // share of writes whose answer is lost
	double failing = 0; // share of runs that fail
	double silent = 0; // share of takeovers at which a worker is silent
	int takeovers = 0;
	int drains = 0; // workers leave, with a notice or, some, without
	int cuts = 0; // a worker can't be reached for a while, and runs on
	bool slow_clocks = false; // of workers, by up to 2 %
	int64_t window_ms = 5000; // in which takeovers and the like happen
	int crashes = 0; // of workers, which come back as another life
	int cancels = 0;
	int crashers = 0; // jobs that crash their workers
	int shrinks = 0; // of a worker's room, which grows again
};

// Jobs whose ids begin so take each worker down that starts a task of them.
constexpr char kCrasher[] = "crash";

// What a lax world gets wrong, to see that the checks notice it.  NoLateGuard
// carries late starts out whatever their deadline and earlier stops say.
// EarlyRecord says that a worker is in use before the store has it.
enum class Lax {
	None,
	NoFence,
	NoLateGuard,
	ForgetProgress,
	AckUnsaved,
	EarlyRecord
};

struct Run {
	uint32_t attempt;
	int64_t ends_ms;
	bool fails;
	bool stopping;
	struct resources size;
	int64_t stop_ms;
};

struct End {
	uint64_t number;
	struct task_name task;
	uint32_t attempt;
	enum run_end how;
};

struct Worker {
	std::string id;
	int place; // where it stands; lives follow each other there
	struct resources capacity;
	struct resources listed; // as leaders are told
	int64_t roomy_until_ms = 0; // what is listed counts until then
	bool alive = true;
	bool draining = false;
	uint64_t deaf_from = UINT64_MAX; // to leaders of this term and later
	uint64_t token = 0;
	double slow = 0; // its clock, by this share
	int64_t lease_ms = 0; // on its clock
	std::map<std::string, Run> runs;
	std::map<std::string, uint32_t> over; // highest attempt ended there
	std::vector<End> ends;
	uint64_t next_number = 1;
};

// What the store's record has of a worker.
struct Recorded {
	enum worker_record record;
	int64_t left_ms;
	uint64_t term;
	bool tasks_known;
	std::vector<struct task_name> tasks;
};

class World;

struct Leader {
	World *world;
	struct sched *sched = nullptr;
	uint64_t term;
	bool alive = true;
	bool saving = false;
	int64_t ready_ms = 0;
	int64_t settled_revision = 0; // stored later: no former leader acts
	std::map<std::string, int64_t> revisions;
	std::set<std::string> unknown;
	std::map<std::string, bool> recording; // true: changed meanwhile
};

class World {
      public:
	World(unsigned seed, const Faults &, Lax = Lax::None);
	~World();
	void SubmitAt(int64_t ms, const std::string &id, int steps, int width);
	// Play until all jobs have ended, at most so long.
	void Play(int64_t ms);
	bool AllEnded() const;
	std::string StateOf(const std::string &job) const;

	std::vector<std::string> broken; // promises
	int starts = 0;
	int takeovers_done = 0;
	int unknown_jobs = 0; // named by a worker before they were known

	// The scheduler's actions end up here.
	void Start(Leader *, struct sched_run *);
	void Stop(Leader *, const std::string &worker, const struct task_name &,
	    uint32_t attempt);
	void Look(Leader *, const std::string &worker, int64_t deadline,
	    int64_t wait_ms, uint64_t acknowledged);
	void Save(Leader *);
	void Record(Leader *, struct sched_worker *);
	void Unknown(Leader *, const std::string &job);

	int64_t now_ms = 1000;

      private:
	struct Job {
		std::string text;
		int64_t revision;
	};
	struct TaskFacts {
		bool done = false;
		bool done_noted = false;
		int failed_noted = 0;
		int crashes = 0; // of workers under it
		int starts_after = 0; // the third
		int running = 0;
	};

	void Submit(const std::string &id, int steps, int width);
	enum sched_origin OriginOf(
	    const Leader *, const std::string &job) const;
	void Tell(Leader *, const std::string &job);
	void TellUntilKnown(const std::string &job);
	bool Chance(double share);
	void At(int64_t ms, std::function<void()>);
	void Deliver(double late_share, std::function<void()>);
	void Break(const std::string &what, const std::string &about);
	void TakeOver();
	void Close(Leader *);
	void Tick();
	void TickWorker(Worker &);
	void EndRun(Worker &, const std::string &name, enum run_end how);
	Worker *Find(const std::string &id);
	void Crash();
	void Shrink();
	void Cut();
	void Leave();
	void Replace(Worker &);
	bool Reaches(const Leader *, const Worker *) const;
	int64_t ClockOf(const Worker &) const;
	struct Recorded RowOf(Leader *, const struct sched_worker *) const;
	void SendRecord(Leader *, const std::string &worker);
	void RefreshRecord(Leader *);
	void CheckStart(
	    Worker &, const struct task_name &, const struct resources &size);
	void Noted(const End &);
	struct graph *Graph(const std::string &job) const;

	std::mt19937 random_;
	Faults faults_;
	Lax lax_;
	std::multimap<int64_t, std::function<void()>> events_;
	std::vector<std::unique_ptr<Worker>> workers_;
	std::vector<std::unique_ptr<Leader>> leaders_;
	std::map<std::string, Job> jobs_; // stored, not ended
	std::map<std::string, std::string> progress_;
	std::map<std::string, int64_t> progress_revision_;
	std::map<std::string, std::string> ended_;
	std::map<std::string, std::string> submitted_;
	std::map<std::string, Recorded> recorded_;
	std::set<std::string> cancelled_;
	std::map<std::string, TaskFacts> facts_;
	int64_t revision_ = 1;
	uint64_t term_ = 0;
	int lives_ = 0;
	size_t expected_ = 0;
};

std::string NameOf(const struct task_name &);

} // namespace sched_world

#endif // SCHED_WORLD_H

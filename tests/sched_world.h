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
 * Simulation model around the scheduler: workers with fencing, leases and
 * lists of ended runs, a store with the leader's record, and leaders that are
 * replaced while their messages are still in flight.  Orders and answers take
 * time, are lost, or are carried out late.  Violations of the scheduler's
 * guarantees are recorded as they happen, from what the workers see.
 */
namespace sched_world {

struct Faults {
	double lost = 0; // probability that an answer is lost
	// Probability that an order is carried out seconds later.
	double late = 0;
	double unsaved = 0; // probability that a write gets no answer
	double failing = 0; // probability that a run fails
	double silent = 0; // probability that a worker is silent at a takeover
	int takeovers = 0;
	int drains = 0; // workers that leave, some of them without a notice
	// Workers that are unreachable for a while but keep running.
	int unreachable = 0;
	bool slow_clocks = false; // of workers, by up to 2 %
	// Interval within which takeovers and other faults happen.
	int64_t window_ms = 5000;
	int crashes = 0; // of workers, which come back as a new incarnation
	bool same_ids = false; // incarnations keep the id and tell their start
	// Crashes of workers that soon after their restart are unreachable for
	// longer than the longest lease, a takeover in between.
	int recuts = 0;
	double lasting = 0; // share of runs that take seconds
	int cancels = 0;
	int crashing_jobs = 0; // jobs that crash their workers
	bool copies = false; // every other job allows copies
	int shrinks = 0; // of a worker's capacity, which grows again later
};

// Prefix of the ids of jobs whose tasks crash each worker that starts them.
constexpr char kCrasherPrefix[] = "crash";

// Defects to inject into the model, to verify that the checks detect them.
// NoLateGuard: late starts are carried out regardless of their deadline and of
// earlier stops.  EarlyRecord: a worker is reported as recorded in use before
// the store has it.
enum class Defect {
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
	int host; // successive incarnations share it
	int64_t started_ms = 0; // start that it tells; 0: none
	int64_t clock_base_ms = 0; // its clock began then
	int64_t listed_from_ms =
	    0; // the list has its former incarnation until then
	struct resources capacity;
	struct resources listed; // capacity that leaders are told
	// Until then the checks allow the full capacity.
	int64_t full_capacity_until_ms = 0;
	bool alive = true;
	bool draining = false;
	// Unreachable for leaders of this term and later.
	uint64_t unreachable_from_term = UINT64_MAX;
	uint64_t token = 0;
	double clock_slowdown = 0; // share by which its clock is slow
	int64_t lease_ms = 0; // end of the lease, on its clock
	std::map<std::string, Run> runs;
	// Highest attempt ended there.
	std::map<std::string, uint32_t> highest_ended;
	std::vector<End> ends;
	uint64_t next_number = 1;
};

// A worker's row in the store's record.
struct Recorded {
	enum worker_record record;
	int64_t left_ms;
	uint64_t term;
	bool tasks_known;
	std::vector<struct task_name> tasks;
	int64_t started_ms;
};

class World;

struct Leader {
	World *world;
	struct sched *sched = nullptr;
	uint64_t term;
	bool alive = true;
	bool saving = false;
	int64_t ready_ms = 0;
	// Jobs stored at a later revision were stored after the former leader
	// stopped acting.
	int64_t overlap_end_revision = 0;
	std::map<std::string, int64_t> revisions;
	std::set<std::string> unknown;
	std::map<std::string, bool> recording; // true: changed during the write
};

class World {
      public:
	World(unsigned seed, const Faults &, Defect = Defect::None);
	~World();
	void SubmitAt(int64_t ms, const std::string &id, int steps, int width);
	// Runs until all jobs have ended, at most for this time.
	void RunUntilEnded(int64_t ms);
	bool AllEnded() const;
	std::string StateOf(const std::string &job) const;

	// Violations of the scheduler's guarantees, one message each.
	std::vector<std::string> violations;
	int starts = 0;
	int takeovers_done = 0;
	int copies = 0; // starts of a second run beside the first
	int unknown_jobs = 0; // named by a worker before the leader knew them

	// Called by the scheduler's actions.
	void Start(Leader *, struct sched_run *);
	void Stop(Leader *, const std::string &worker, const struct task_name &,
	    uint32_t attempt);
	void Poll(Leader *, const std::string &worker, int64_t deadline,
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
	struct TaskHistory {
		bool done = false;
		bool done_noted = false;
		int failed_noted = 0;
		int64_t noted_ms = 0; // the last of these
		int crashes = 0; // of workers that ran it
		int starts_after = 0; // starts after the third crash
		int running = 0;
	};

	void Submit(const std::string &id, int steps, int width);
	enum sched_origin OriginOf(
	    const Leader *, const std::string &job) const;
	void NotifyJob(Leader *, const std::string &job);
	void NotifyUntilKnown(const std::string &job);
	bool Chance(double share);
	void At(int64_t ms, std::function<void()>);
	void Deliver(double late_share, const std::string &worker,
	    std::function<void()>);
	void AddViolation(const std::string &what, const std::string &about);
	void TakeOver();
	void Close(Leader *);
	void Tick();
	void TickWorker(Worker &);
	void EndRun(Worker &, const std::string &name, enum run_end how);
	Worker *Find(const std::string &id);
	void Crash();
	void Recut();
	void Shrink();
	void MakeUnreachable();
	void Leave();
	void Replace(Worker &);
	bool Reaches(const Leader *, const Worker *) const;
	int64_t ClockOf(const Worker &) const;
	struct Recorded RowOf(Leader *, const struct sched_worker *) const;
	void SendRecord(Leader *, const std::string &worker);
	void RefreshRecord(Leader *);
	void CheckStart(
	    Worker &, const struct task_name &, const struct resources &size);
	void NoteEnd(const End &);
	struct graph *Graph(const std::string &job) const;

	std::mt19937 random_;
	Faults faults_;
	Defect defect_;
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
	std::map<std::string, TaskHistory> history_;
	int64_t revision_ = 1;
	uint64_t term_ = 0;
	int incarnations_ = 0;
	size_t expected_ = 0;
};

std::string NameOf(const struct task_name &);

} // namespace sched_world

#endif // SCHED_WORLD_H

#ifndef LEDGER_WORLD_H
#define LEDGER_WORLD_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "ledger.h"
}

/*
 * Simulated cluster for test_ledger_model: two entries, one store record and
 * two workers.  Defines the possible events, their effects and the invariants
 * that are checked after each of them.
 */
namespace ledger_world {

enum fault {
	FAULT_NONE,
	FAULT_NO_FENCE, /* takeover without fencing the workers */
	FAULT_NO_EPOCH, /* workers accept calls of any epoch */
	FAULT_START_FIRST, /* start before the write is confirmed */
	FAULT_NO_READ_BACK, /* a write without an answer counts as done */
	FAULT_EARLY_RELEASE, /* resources freed when the stop is sent */
	FAULT_LOST_START, /* a start without an answer counts as not run */
	FAULT_EARLY_ACK, /* finishes acknowledged before the write */
	FAULT_NO_HOLD, /* no wait until a former owner can't renew */
	FAULT_STOP_UNFINISHED, /* a stopped task counts as unfinished */
	FAULT_NO_REVISION, /* the store doesn't compare revisions */
	FAULT_MOVE_STARTED, /* rebound although a start was sent */
	NFAULTS
};

extern const char *const fault_names[NFAULTS];

enum call_kind { FENCE, RENEW, START, STOP, CHECKPOINT, WRITE, READ };

struct record {
	struct ledger_head head;
	std::map<std::string, task_record> tasks;
};

struct call {
	call_kind kind;
	int entry;
	int generation; /* of the entry's ledger */
	bool request; /* the request is in flight; false: the answer */
	bool waiting; /* the call hasn't timed out at the caller */
	int worker;
	uint64_t epoch;
	std::string task;
	uint32_t attempt;
	std::vector<std::pair<std::string, uint32_t>> acks;
	int64_t base;
	bool deletes_item;
	struct record record;
	int64_t sent_ms;
	/* The answer. */
	bool refused;
	call_result result;
	uint64_t seen_epoch;
	int64_t revision;
	std::vector<std::pair<std::string, uint32_t>> running;
	std::vector<std::pair<std::string, uint32_t>> finished;
};

struct run {
	std::string task;
	uint32_t attempt;
	int64_t lease_end;
};

struct sim_worker {
	uint64_t epoch;
	std::vector<run> running;
	std::map<std::string, uint32_t> highest_ended; /* attempt */
	std::vector<std::pair<std::string, uint32_t>> finished;
};

struct node {
	struct ledger *ledger;
	int generation;
	bool paused;
	bool lost;
};

struct bounds {
	int give_ups, pauses, takes, ticks, long_ticks, evicts, finishes;
};

enum event_kind {
	DELIVER,
	GIVE_UP,
	PAUSE,
	WAKE,
	TAKE,
	TICK, /* time passes; a: entry that reaches the workers, or -1 */
	LONG_TICK,
	EVICT,
	LEAVE, /* an entry learns that a worker is draining */
	FINISH
};

struct event {
	event_kind kind;
	int a;
	int b;
};

const int64_t LEASE = 10, MARGIN = 1, HOLD = 100, TIMEOUT = 3;
const char *const entry_ids[] = { "A", "B" };
const char *const worker_ids[] = { "w0", "w1" };
const int NTASKS_MAX = 2;

class cluster {
      public:
	fault injected;
	int ntasks;
	bounds remaining;
	int64_t now = 1000;
	record store;
	int64_t revision = 1;
	bool item = true;
	int64_t item_revision = 1;
	std::vector<call> calls;
	node nodes[2] = {};
	sim_worker sim_workers[2] = {};
	std::map<std::string, std::set<uint32_t>> started;
	std::set<std::string> done;
	std::set<std::string> interrupted; /* tasks with an expired lease */
	std::map<std::string, uint32_t> highest_attempt;
	std::string violation;

	cluster(fault f, int tasks, bounds b)
	    : injected(f), ntasks(tasks), remaining(b)
	{
		store.head = {};
	}
	~cluster()
	{
		ledger_close(nodes[0].ledger);
		ledger_close(nodes[1].ledger);
	}
	cluster(const cluster &) = delete;
	cluster &operator=(const cluster &) = delete;

	std::vector<event> enabled() const;
	void apply(const event &);
	void acquire(int);
	void step(int);
	std::string key() const;
	bool settled() const;
	void check();
	void run_to_completion();

	void send(int e, call c);

      private:
	void handle_store_call(call &);
	void handle_worker_call(call &);
	void answered(const call &, bool no_answer);
	void answered_store(struct ledger *, const call &, bool);
	void answered_worker(struct ledger *, const call &, bool);
	void expire();
	void advance_time(int64_t, int);
	void inject_fault(struct ledger *);
};

} // namespace ledger_world

#endif /* LEDGER_WORLD_H */

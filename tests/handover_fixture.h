#ifndef HANDOVER_FIXTURE_H
#define HANDOVER_FIXTURE_H

#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "node.h"
}

constexpr int64_t kStepMs = 50, kOneWayMs = 5, kOrderTimeoutMs = 400;
constexpr int64_t kLeaseMs = 5000, kClockSlowPercent = 2;
// Interval in which workers rewrite their entries, and the users' bound on a
// change of an entry.
constexpr int64_t kReportMs = 1000, kListApplyMs = 4000;
// Calls to a silent store fail after this time; those of workers sooner.
constexpr int64_t kStoreTimeoutMs = 1000, kReportHangMs = 700;
constexpr int64_t kWatchSlackMs = 700;
constexpr int64_t kWorkerCpu = 8000;

struct Item {
	std::string value;
	int64_t revision;
};

// A conditional write to the store.
struct Write {
	std::vector<std::pair<std::string, int64_t>> compares;
	std::vector<std::pair<std::string, std::string>> puts;
	std::vector<std::string> removes;

	bool
	CreatesAJob() const
	{
		return !puts.empty() &&
		    puts[0].first.compare(0, 5, "lp/j/") == 0;
	}
};

struct Run {
	uint32_t attempt;
	int64_t since_ms;
	int64_t ends_ms; // when it is done; 0: long-running, it doesn't end
	int64_t cpu;
};

// A completed run; reported in each poll until acknowledged.
struct End {
	uint64_t number;
	std::string name;
	uint32_t attempt;
};

// A worker's clock is slow by kClockSlowPercent; its lease is measured on this
// clock.
struct Worker {
	bool listed = false;
	bool draining = false;
	int64_t leaves_ms = 0; // as announced while it drains
	bool reachable = true;
	int64_t started_ms = 0; // start that it tells; 0: none
	int64_t lease = 0; // its end, on the worker's clock
	uint64_t token = 0;
	std::map<std::string, Run> runs;
	uint64_t last_end = 0;
	std::vector<End> ends;
	int64_t cpu = kWorkerCpu, reported_cpu = kWorkerCpu;
	int64_t cpu_changed_ms = 0, next_report_ms = 0;
	bool guards_room = false; // it refuses what it has no room for
	std::string data_center = "here";
	int reports_to_lose = 0; // writes that the store loses, and serves on
	int64_t answer_delay_ms = 0; // of its answers to polls

	int64_t
	Used() const
	{
		int64_t sum = 0;

		for (auto &[name, run] : runs)
			sum += run.cpu;
		return sum;
	}

	static int64_t
	Clock(int64_t now_ms)
	{
		return now_ms * (100 - kClockSlowPercent) / 100;
	}
};

class Handover;

// One entry's connection to the store, and the configuration that it holds.
struct Client {
	Handover *world = nullptr;
	std::string id;
	// The store refuses this entry's calls, and serves the others.
	bool rejected = false;
	// Watches, or all reads, are neither answered nor failed; but watches
	// of workers fail after their time.
	bool watch_hangs = false;
	bool reads_hang = false;
	// Writes that create jobs get no answer; CarryOutCreates() does them.
	bool creates_late = false;
	int64_t failed_ms = 0;
	// Calls that a silent store hasn't answered; empty once it has failed.
	std::vector<std::shared_ptr<std::function<void()>>> silent;
	struct entry_config config = {};
	std::map<int64_t, int64_t> applied_ms; // by version
};

// Runs one or more entries, with a simulated store and workers that outlive
// them.
class Handover : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		clock_pause(1000000);
		uv_loop_init(&loop);
		strlcpy(queue.name, "q", sizeof(queue.name));
		strlcpy(queue.terms.service, "s", sizeof(queue.terms.service));
		queue.terms.max_attempts = 3;
		queue.terms.stretch = 2;
		queue.terms.target_ms = 1000;
		Put("c/config", "1");
	}

	void
	TearDown() override
	{
		Close();
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		clock_resume();
	}

	// Starts an entry; the first one becomes the leader.  same_port: at the
	// address that it had before.
	struct node *
	Open(const char *id = "e1", double power = 1, bool same_port = false)
	{
		struct node_options options;
		struct node *opened = nullptr;
		enum node_error error;

		memset(&options, 0, sizeof(options));
		options.loop = &loop;
		options.id = id;
		options.ip = "127.0.0.1";
		options.data_center = "here";
		options.power = power;
		options.link_bytes_per_s = 125e6;
		options.lease_max_ms = lease_max_ms;
		options.keep_ms = keep_ms;
		options.harm_ms = 4000;
		options.config_apply_ms = 2000;
		options.list_apply_ms = kListApplyMs;
		options.worker_report_ms = kReportMs;
		options.closure_apply_ms = closure_apply_ms;
		Client &client = clients[id];
		client = Client();
		client.world = this;
		client.id = id;
		options.kv = { &client, Get, Range, Watch, Txn, AnsweredMs,
			FailedMs, WaitingMs };
		options.workers = { this, Start, Stop, Pace, Poll };
		options.platform = { &client, "c/", "w/", Config, Closure,
			WorkerEntry, WorkerId };
		// Use ports below the range that the system gives to clients
		// and those of tests/process, which run beside this program
		// in other checkouts; other programs on the machine may occupy
		// some of them.
		for (int i = 0; i < 20 && opened == nullptr; i++) {
			if (same_port)
				uv_run(&loop, UV_RUN_NOWAIT);
			else
				client_ports[id] =
				    20000 + (getpid() + ports++) % 6000;
			options.port = client_ports[id];
			opened = node_open(&options, &error);
		}
		EXPECT_NE(opened, nullptr) << node_strerror(error);
		nodes.push_back(opened);
		client_of[opened] = id;
		return opened;
	}

	// Calls that were left without an answer fail.
	void
	AnswerHanging()
	{
		auto calls = std::move(hanging);

		hanging.clear();
		for (auto &call : calls)
			call();
	}

	// Simulates a kill: no entry notifies anybody.  All pending calls are
	// answered once, also when nobody waits for the answer any more.
	void
	Close()
	{
		CloseLeaving();
		while (!nodes.empty()) {
			node_close(nodes.back());
			nodes.pop_back();
		}
		closing = true;
		AnswerHanging();
		Deliver(INT64_MAX);
		for (int i = 0; i < 3; i++)
			uv_run(&loop, UV_RUN_NOWAIT);
		Deliver(INT64_MAX);
		closing = false;
	}

	// Kills an entry that follows the leader; its own calls are answered
	// in time.
	void
	Kill(struct node *node)
	{
		node_close(node);
		nodes.erase(std::find(nodes.begin(), nodes.end(), node));
		auto silent = std::move(clients[client_of[node]].silent);
		for (auto &call : silent)
			FailOnce(*call);
		Deliver(clock_now_ms() + kOneWayMs);
	}

	// Stops the leader gracefully: it resigns, and another entry takes
	// over.
	void
	ResignLeader()
	{
		node_leave(
		    nodes.front(), [](void *) {}, nullptr);
		leaving.push_back(nodes.front());
		nodes.erase(nodes.begin());
	}

	void
	CloseLeaving()
	{
		for (struct node *node : leaving)
			node_close(node);
		leaving.clear();
	}

	void
	Restart()
	{
		Close();
		Open();
	}

	void
	Deliver(int64_t until_ms)
	{
		while (!events.empty() && events.begin()->first <= until_ms) {
			auto event = events.begin()->second;
			events.erase(events.begin());
			event();
		}
	}

	// Advances the paused clock by kStepMs and runs the entries' timers.
	void
	Step()
	{
		clock_advance(kStepMs);
		uv_update_time(&loop);
		for (int i = 0; i < 4; i++) {
			Deliver(clock_now_ms());
			uv_run(&loop, UV_RUN_NOWAIT);
			uv_sleep(loop_turn_ms);
		}
		for (auto &[id, worker] : workers) {
			ExpireLease(worker);
			CompleteRuns(worker);
			Report(id, worker);
		}
		TrackAbsences();
	}

	// A worker tells its room in intervals.  A try that the store leaves
	// without an answer delays the next one.
	void
	Report(const std::string &id, Worker &worker)
	{
		if (!worker.listed || clock_now_ms() < worker.next_report_ms)
			return;
		worker.next_report_ms = clock_now_ms() + kReportMs +
		    (store_silent ? kReportHangMs : 0);
		if (store_down || store_silent ||
		    (!entries_tell_time && worker.reported_cpu == worker.cpu))
			return;
		if (worker.reports_to_lose > 0) {
			worker.reports_to_lose--;
			return;
		}
		worker.reported_cpu = worker.cpu;
		PutEntry(id, worker);
	}

	void
	PutEntry(const std::string &id, const Worker &worker)
	{
		std::string text = id + ":" + std::to_string(worker.cpu);

		if (entries_tell_time)
			text +=
			    ":" + std::to_string(Worker::Clock(clock_now_ms()));
		Put("w/" + id, text);
	}

	// The room of the worker changes; its entry follows with its next
	// report.
	void
	SetCpu(const std::string &id, int64_t cpu)
	{
		workers[id].cpu = cpu;
		workers[id].cpu_changed_ms = clock_now_ms();
	}

	// Completes the runs whose run time is over.
	void
	CompleteRuns(Worker &worker)
	{
		for (auto run = worker.runs.begin();
		     run != worker.runs.end();) {
			if (run->second.ends_ms == 0 ||
			    run->second.ends_ms > clock_now_ms()) {
				++run;
				continue;
			}
			worker.ends.push_back({ ++worker.last_end, run->first,
			    run->second.attempt });
			tasks_done.insert(run->first);
			run = worker.runs.erase(run);
		}
	}

	// Tracks how long each long-running task that has run once has been
	// absent.
	void
	TrackAbsences()
	{
		for (auto &[id, worker] : workers) {
			for (auto &[name, run] : worker.runs) {
				if (run.ends_ms == 0)
					seen_ms[name] = clock_now_ms();
			}
		}
		for (auto &[name, at] : seen_ms)
			longest_absence_ms =
			    std::max(longest_absence_ms, clock_now_ms() - at);
	}

	void
	Pass(int64_t ms)
	{
		for (int64_t end = clock_now_ms() + ms; clock_now_ms() < end;)
			Step();
	}

	void
	Put(const std::string &key, const std::string &value)
	{
		items[key] = { value, ++revision };
	}

	void
	AddWorker(const std::string &id)
	{
		workers[id].listed = true;
		if (entries_tell_time)
			PutEntry(id, workers[id]);
		else
			Put("w/" + id, id);
	}

	// An operator closes a data centre to new work, and opens it.
	void
	CloseDataCenter(const std::string &name)
	{
		closed_ms[name] = clock_now_ms();
		Put("c/closed/" + name, "{}");
	}

	void
	OpenDataCenter(const std::string &name)
	{
		closed_ms.erase(name);
		items.erase("c/closed/" + name);
		revision++;
	}

	bool
	IsClosedLongSince(const std::string &name) const
	{
		auto found = closed_ms.find(name);

		return found != closed_ms.end() &&
		    clock_now_ms() - found->second > closure_apply_ms;
	}

	// The worker announces that it drains, and the earliest time of its
	// departure.
	void
	Drain(const std::string &id, int64_t leaves_in_ms = 0)
	{
		workers[id].draining = true;
		workers[id].leaves_ms = clock_now_ms() + leaves_in_ms;
		Put("w/" + id, id);
	}

	// The worker goes down and is up again under its id, without its runs.
	// It carries out an order for its former incarnation, whose clock was
	// ahead, so its lease is the longest that it grants.
	void
	RestartUnderItsId(const std::string &id)
	{
		workers[id].runs.clear();
		workers[id].token = 0;
		workers[id].started_ms++;
		workers[id].lease =
		    Worker::Clock(clock_now_ms()) + lease_max_ms;
		PutEntry(id, workers[id]);
	}

	// The worker ends without notice, together with its runs.
	void
	LoseWorker(const std::string &id)
	{
		workers[id].listed = false;
		workers[id].reachable = false;
		workers[id].runs.clear();
		items.erase("w/" + id);
		revision++;
	}

	// The worker becomes unreachable for the entry and leaves the
	// registry; its runs go on.
	void
	MakeUnreachable(const std::string &id)
	{
		workers[id].reachable = false;
		workers[id].listed = false;
		items.erase("w/" + id);
		revision++;
	}

	// Submits a job whose tasks run without end (run_ms 0), or complete
	// after run_ms.
	void
	Submit(const std::string &id, uint32_t count, int64_t cpu = 1000,
	    int64_t run_ms = 0)
	{
		SubmitAt(nodes.front(), id, count, cpu, run_ms);
	}

	// The same through this entry.
	void
	SubmitAt(struct node *node, const std::string &id, uint32_t count,
	    int64_t cpu = 1000, int64_t run_ms = 0)
	{
		struct graph *g = graph_new(1);

		strlcpy(g->id, id.c_str(), sizeof(g->id));
		strlcpy(g->queue, "q", sizeof(g->queue));
		g->terms = queue.terms;
		g->payload = strdup("p");
		g->steps[0].count = count;
		g->steps[0].size = { cpu, 100, 0 };
		g->steps[0].estimate_ms = run_ms > 0 ? run_ms : 300;
		g->steps[0].lasts = run_ms == 0;
		task_cpu[id] = cpu;
		if (run_ms > 0)
			run_times[id] = run_ms;
		node_submit(node, g, clock_now_ms() + 3000, Replied, this);
	}

	// Starts one leader and one worker, which runs this many long-running
	// tasks.
	void
	RunOnFirst(uint32_t count)
	{
		AddWorker("first");
		Open();
		Pass(1500);
		Submit("job", count);
		Pass(1000);
	}

	size_t
	Running() const
	{
		size_t n = 0;

		for (auto &[id, worker] : workers)
			n += worker.runs.size();
		return n;
	}

	// Fills each worker with one task.
	void
	FillWorkers()
	{
		for (size_t i = 0; i < kWorkers; i++)
			AddWorker("w" + std::to_string(i));
		Pass(1500);
		Submit("job", kWorkers, 8000);
		Pass(1500);
		ASSERT_EQ(Running(), kWorkers);
	}

	// Each worker announces that it drains and leaves three gaps later,
	// and a new worker takes its place.
	void
	ReplaceWorkers(const std::function<void(int64_t)> &each)
	{
		constexpr int64_t kGapMs = 700, kNoticeMs = 3 * kGapMs;
		constexpr int64_t kAllMs = 16000;

		for (int64_t past = 0; past < kAllMs; past += kStepMs) {
			int64_t i = past / kGapMs,
				left = (past - kNoticeMs) / kGapMs;
			bool now = past % kGapMs == 0;
			if (now && i < static_cast<int64_t>(kWorkers))
				Drain("w" + std::to_string(i));
			if (now && past >= kNoticeMs &&
			    left < static_cast<int64_t>(kWorkers)) {
				LoseWorker("w" + std::to_string(left));
				AddWorker("new" + std::to_string(left));
			}
			if (left >= static_cast<int64_t>(kWorkers) &&
			    Running() == kWorkers)
				return;
			each(past);
			Step();
		}
	}

	// Steps until n tasks run or the time is over; returns the time that
	// passed.
	int64_t
	PassUntilRunning(size_t n, int64_t at_most_ms,
	    const std::function<void(int64_t)> &each = nullptr)
	{
		int64_t past;

		for (past = 0; past < at_most_ms && Running() < n;
		     past += kStepMs) {
			if (each != nullptr)
				each(past);
			Step();
		}
		return past;
	}

	// A worker kills its runs once its lease has expired.
	static void
	ExpireLease(Worker &worker)
	{
		if (Worker::Clock(clock_now_ms()) >= worker.lease)
			worker.runs.clear();
	}

	void
	At(int64_t delay_ms, std::function<void()> event)
	{
		events.emplace(clock_now_ms() + delay_ms, std::move(event));
	}

	// The store.

	void
	Reply(Client *client, kv_done *done, void *ctx, enum kv_error error,
	    const std::vector<std::string> &keys, bool more = false)
	{
		struct kv_result result;
		std::vector<struct kv_item> rows;
		std::vector<Item> copies;

		copies.reserve(keys.size());
		for (auto &key : keys) {
			auto found = items.find(key);
			if (found != items.end())
				copies.push_back(found->second);
			else
				copies.push_back({ "", 0 });
			rows.push_back({ key.c_str(),
			    found != items.end() ? copies.back().value.c_str() :
						   nullptr,
			    copies.back().value.size(),
			    copies.back().revision });
		}
		memset(&result, 0, sizeof(result));
		result.error = closing || store_down || client->rejected ?
		    KV_UNAVAILABLE :
		    error;
		result.items = rows.data();
		result.nitems =
		    result.error == KV_OK || result.error == KV_CONFLICT ?
		    rows.size() :
		    0;
		result.more = result.error == KV_OK && more;
		result.revision = revision;
		if (result.error == KV_UNAVAILABLE)
			client->failed_ms = clock_now_ms();
		done(&result, ctx);
	}

	// A silent store answers nothing: the call fails after some time.
	bool
	IsSilent(Client *client, kv_done *done, void *ctx,
	    enum kv_error error = KV_UNAVAILABLE)
	{
		if (!store_silent)
			return false;
		FailLater(client, done, ctx, error, kStoreTimeoutMs);
		return true;
	}

	void
	FailLater(Client *client, kv_done *done, void *ctx, enum kv_error error,
	    int64_t after_ms)
	{
		auto call = std::make_shared<std::function<void()>>(
		    [=, this] { Reply(client, done, ctx, error, {}); });
		client->silent.push_back(call);
		At(after_ms, [call] { FailOnce(*call); });
	}

	static void
	FailOnce(std::function<void()> &call)
	{
		std::function<void()> fail;

		fail.swap(call);
		if (fail != nullptr)
			fail();
	}

	static Handover *
	Self(void *ctx)
	{
		return static_cast<Handover *>(ctx);
	}
	static Client *
	Store(void *ctx)
	{
		return static_cast<Client *>(ctx);
	}
	static void
	Get(void *ctx, const char *key_text, kv_done *done, void *done_ctx)
	{
		Client *client = Store(ctx);
		Handover *self = client->world;
		std::string key = key_text;

		if (self->IsSilent(client, done, done_ctx))
			return;
		self->At(kOneWayMs, [=] {
			std::vector<std::string> keys;
			if (self->items.count(key))
				keys.push_back(key);
			self->Reply(client, done, done_ctx, KV_OK, keys);
		});
	}
	static void
	Range(void *ctx, const char *prefix_text, const char *after_text,
	    kv_done *done, void *done_ctx)
	{
		Client *client = Store(ctx);
		Handover *self = client->world;
		std::string prefix = prefix_text;
		std::string after = after_text != nullptr ? after_text : "";

		self->reads[prefix]++;
		if (self->IsSilent(client, done, done_ctx))
			return;
		if (client->reads_hang) {
			self->hanging.emplace_back([=] {
				self->Reply(
				    client, done, done_ctx, KV_UNAVAILABLE, {});
			});
			return;
		}
		self->At(kOneWayMs, [=] {
			std::vector<std::string> keys;
			bool more = false;
			for (auto &[key, item] : self->items) {
				if (key.compare(0, prefix.size(), prefix) !=
					0 ||
				    key <= after)
					continue;
				more = keys.size() == self->page;
				if (more)
					break;
				keys.push_back(key);
			}
			self->Reply(client, done, done_ctx, KV_OK, keys, more);
		});
	}
	// The history is always compacted, so the entry reads everything
	// again.
	static void
	Watch(void *ctx, const char *prefix, int64_t, int64_t wait_ms,
	    kv_done *done, void *done_ctx)
	{
		Client *client = Store(ctx);
		Handover *self = client->world;

		if (self->IsSilent(client, done, done_ctx))
			return;
		if (client->watch_hangs && strcmp(prefix, "w/") == 0)
			self->FailLater(client, done, done_ctx, KV_UNAVAILABLE,
			    wait_ms + kWatchSlackMs);
		else if (client->watch_hangs || client->reads_hang)
			self->hanging.emplace_back([=] {
				self->Reply(
				    client, done, done_ctx, KV_UNAVAILABLE, {});
			});
		else
			self->At(kOneWayMs, [=] {
				self->Reply(
				    client, done, done_ctx, KV_COMPACTED, {});
			});
	}
	static void
	Txn(void *ctx, const struct kv_txn *txn, kv_done *done, void *done_ctx)
	{
		Client *client = Store(ctx);
		Handover *self = client->world;
		Write write;

		if (self->IsSilent(client, done, done_ctx, KV_UNKNOWN))
			return;
		for (size_t i = 0; i < txn->ncompares; i++)
			write.compares.emplace_back(
			    txn->compares[i].key, txn->compares[i].revision);
		for (size_t i = 0; i < txn->nputs; i++)
			write.puts.emplace_back(txn->puts[i].key,
			    std::string(txn->puts[i].value, txn->puts[i].len));
		for (size_t i = 0; i < txn->nremoves; i++)
			write.removes.emplace_back(txn->removes[i]);
		if (client->creates_late && write.CreatesAJob()) {
			self->late_creates.push_back(write);
			self->FailLater(client, done, done_ctx, KV_UNKNOWN,
			    kStoreTimeoutMs);
			return;
		}
		int64_t delay_ms = kOneWayMs;
		for (auto &[key, value] : write.puts) {
			if (key.compare(0, 5, "lp/p/") == 0 ||
			    key.compare(0, 5, "lp/e/") == 0)
				delay_ms = self->save_delay_ms;
		}
		self->At(delay_ms, [=] {
			std::vector<std::string> keys;
			if (self->store_down || client->rejected ||
			    (self->closing && delay_ms > kOneWayMs)) {
				self->Reply(
				    client, done, done_ctx, KV_UNAVAILABLE, {});
				return;
			}
			enum kv_error error = KV_OK;
			if (self->before_removal != nullptr &&
			    write.puts.empty() && !write.removes.empty())
				error = self->before_removal(write.removes);
			if (error == KV_UNAVAILABLE) {
				self->Reply(client, done, done_ctx, error, {});
				return;
			}
			if (self->CarryOut(write)) {
				self->Reply(client, done, done_ctx, error, {});
				return;
			}
			for (auto &[key, at] : write.compares)
				keys.push_back(key);
			self->Reply(client, done, done_ctx, KV_CONFLICT, keys);
		});
	}

	// Does the write if its condition holds.
	bool
	CarryOut(const Write &write)
	{
		for (auto &[key, at] : write.compares) {
			auto found = items.find(key);
			if ((found == items.end() ?
				    0 :
				    found->second.revision) != at)
				return false;
		}
		revision++;
		for (auto &[key, value] : write.puts)
			items[key] = { value, revision };
		for (auto &key : write.removes)
			items.erase(key);
		return true;
	}

	// The writes without an answer reach the store, in their order.
	void
	CarryOutCreates()
	{
		for (auto &write : late_creates)
			CarryOut(write);
		late_creates.clear();
	}

	static int64_t
	AnsweredMs(void *ctx)
	{
		return Store(ctx)->rejected ? 0 : clock_now_ms();
	}
	static int64_t
	FailedMs(void *ctx)
	{
		return Store(ctx)->rejected ? clock_now_ms() :
					      Store(ctx)->failed_ms;
	}

	static int64_t
	WaitingMs(void *)
	{
		return 0;
	}

	// The workers.

	// Carries out an order and answers it; an order to an unreachable
	// worker times out.
	void
	Order(const struct worker_order &order, worker_done *done,
	    void *done_ctx,
	    const std::function<enum worker_answer(Worker &)> &act,
	    bool is_poll = false)
	{
		std::string id = order.worker->id;
		uint64_t term = order.term;

		if (!workers[id].reachable) {
			At(kOrderTimeoutMs, [=, this] {
				struct worker_result lost;
				memset(&lost, 0, sizeof(lost));
				lost.answer = ANSWER_LOST;
				done(&lost, done_ctx);
			});
			return;
		}
		int64_t delay_ms = is_poll ? workers[id].answer_delay_ms : 0;
		At(kOneWayMs + delay_ms, [=, this] {
			Worker &worker = workers[id];
			struct worker_result result;
			struct poll_result list;
			std::vector<struct poll_running> running;
			std::vector<struct poll_finished> finished;

			memset(&result, 0, sizeof(result));
			memset(&list, 0, sizeof(list));
			if (closing) {
				result.answer = ANSWER_LOST;
				done(&result, done_ctx);
				return;
			}
			result.clock_ms = Worker::Clock(clock_now_ms());
			list.clock_ms = result.clock_ms;
			list.started_ms = worker.started_ms;
			if (term < worker.token)
				result.answer = ANSWER_FENCED;
			else {
				worker.token = term;
				result.answer = act(worker);
			}
			for (auto &[name, run] : worker.runs) {
				struct poll_running row;
				memset(&row, 0, sizeof(row));
				ReadName(name, &row.task);
				row.attempt = run.attempt;
				row.checkpoint = "";
				row.percent = 100;
				running.push_back(row);
			}
			list.running = running.data();
			list.nrunning = running.size();
			for (auto &end : worker.ends) {
				struct poll_finished row;
				memset(&row, 0, sizeof(row));
				row.number = end.number;
				ReadName(end.name, &row.task);
				row.attempt = end.attempt;
				row.how = END_DONE;
				row.checkpoint = "";
				finished.push_back(row);
			}
			list.finished = finished.data();
			list.nfinished = finished.size();
			if (is_poll && result.answer == ANSWER_OK)
				result.poll = &list;
			done(&result, done_ctx);
		});
	}
	static std::string
	NameOf(const struct task_name *task)
	{
		return std::string(task->job) + "." +
		    std::to_string(task->index);
	}
	static void
	ReadName(const std::string &name, struct task_name *task)
	{
		size_t dot = name.find('.');

		strlcpy(
		    task->job, name.substr(0, dot).c_str(), sizeof(task->job));
		task->index = (uint32_t)std::stoul(name.substr(dot + 1));
	}
	// When a task that starts now is done; 0: long-running, it doesn't
	// end.
	int64_t
	EndTime(const std::string &name) const
	{
		auto found = run_times.find(name.substr(0, name.find('.')));

		return found == run_times.end() ?
		    0 :
		    clock_now_ms() + found->second;
	}
	static void
	Start(void *ctx, const struct worker_start *start, worker_done *done,
	    void *done_ctx)
	{
		Handover *self = Self(ctx);
		std::string name = NameOf(start->order.task);
		uint32_t attempt = start->order.attempt;
		int64_t deadline = start->deadline_ms;

		self->Order(start->order, done, done_ctx, [=](Worker &worker) {
			for (auto &[id, other] : self->workers) {
				if (other.runs.count(name))
					self->duplicate_runs++;
			}
			self->starts_again += self->tasks_done.count(name);
			if (worker.draining)
				self->starts_draining++;
			self->starts_closed +=
			    self->IsClosedLongSince(worker.data_center);
			int64_t cpu =
			    self->task_cpu[name.substr(0, name.find('.'))];
			if (worker.Used() + cpu > worker.cpu) {
				if (worker.guards_room)
					return ANSWER_NO_ROOM;
				self->starts_over_room +=
				    clock_now_ms() - worker.cpu_changed_ms >
				    kListApplyMs;
			}
			worker.runs[name] = { attempt, clock_now_ms(),
				self->EndTime(name), cpu };
			if (deadline > worker.lease)
				worker.lease = deadline;
			return ANSWER_OK;
		});
	}
	static void
	Stop(void *ctx, const struct worker_order *order, worker_done *done,
	    void *done_ctx)
	{
		std::string name = NameOf(order->task);

		Self(ctx)->Order(*order, done, done_ctx, [=](Worker &worker) {
			worker.runs.erase(name);
			return ANSWER_OK;
		});
	}
	static void
	Pace(void *ctx, const struct worker_order *order, int,
	    worker_done *done, void *done_ctx)
	{
		Self(ctx)->Order(
		    *order, done, done_ctx, [](Worker &) { return ANSWER_OK; });
	}
	static void
	Poll(void *ctx, const struct worker_poll *look, worker_done *done,
	    void *done_ctx)
	{
		struct worker_order order = { look->worker, nullptr, 0,
			look->term };
		int64_t deadline = look->deadline_ms;
		uint64_t acknowledged = look->acknowledged;

		Self(ctx)->Order(
		    order, done, done_ctx,
		    [=](Worker &worker) {
			    if (deadline > worker.lease)
				    worker.lease = deadline;
			    auto &ends = worker.ends;
			    while (!ends.empty() &&
				ends.front().number <= acknowledged)
				    ends.erase(ends.begin());
			    return ANSWER_OK;
		    },
		    true);
	}

	// Formats of the configuration and the worker registry.

	// The value is the version; only a higher one is taken.
	static enum config_reading
	Config(void *ctx, const char *key, const char *value, size_t len,
	    const struct entry_config **config)
	{
		if (strcmp(key, "c/config") != 0)
			return CONFIG_OTHER;
		Client *client = Store(ctx);
		int64_t version = std::stoll(std::string(value, len));

		if (version <= client->config.version)
			return CONFIG_NOT_NEWER;
		client->config = { version, &client->world->queue, 1 };
		client->applied_ms[version] = clock_now_ms();
		*config = &client->config;
		return CONFIG_NEWER;
	}
	static const char *
	Closure(void *, const char *key)
	{
		return strncmp(key, "c/closed/", 9) == 0 ? key + 9 : nullptr;
	}
	static bool
	WorkerEntry(void *ctx, const char *key, const char *value, size_t len,
	    struct worker_info *info)
	{
		const char *id = key + strlen("w/");
		std::string text(value, len);
		size_t colon = text.find(':');

		if (text.substr(0, colon) != id)
			return false; // written by someone else
		strlcpy(info->id, id, sizeof(info->id));
		strlcpy(info->service, "s", sizeof(info->service));
		info->capacity = { colon == std::string::npos ?
			    kWorkerCpu :
			    std::stoll(text.substr(colon + 1)),
			8000, 0 };
		Worker &worker = Store(ctx)->world->workers[id];
		size_t last = text.rfind(':');
		if (last != colon)
			info->written_ms = std::stoll(text.substr(last + 1));
		strlcpy(info->data_center, worker.data_center.c_str(),
		    sizeof(info->data_center));
		info->started_ms = worker.started_ms;
		info->draining = worker.draining;
		info->guards_room = worker.guards_room;
		info->leaves_in_ms =
		    std::max<int64_t>(0, worker.leaves_ms - clock_now_ms());
		return true;
	}
	static const char *
	WorkerId(void *, const char *key)
	{
		return key + strlen("w/");
	}
	static void
	Replied(const struct node_reply *reply, void *ctx)
	{
		Self(ctx)->replies.push_back(*reply);
		if (reply->outcome == NODE_ACCEPTED)
			Self(ctx)->accepted++;
		if (reply->outcome == NODE_NOT_DONE) {
			Self(ctx)->refused++;
			Self(ctx)->retry_after_ms = reply->retry_after_ms;
		}
	}

	int64_t lease_max_ms = kLeaseMs; // the longest that workers grant
	uv_loop_t loop;
	std::vector<struct node *> nodes; // the first one is the leader
	std::vector<struct node *> leaving;
	int ports = 0;
	std::map<std::string, int> client_ports; // by entry
	// The event loop runs four times per step.  Messages between entries
	// take real time, so they appear slow unless a step takes about as
	// long in real time as on the paused clock.
	unsigned int loop_turn_ms = 6;
	bool closing = false, store_down = false, store_silent = false;
	// Workers rewrite their entries in each interval, with the time.
	bool entries_tell_time = false;
	int64_t keep_ms = 100000;
	// Maximum number of items in the response to a range read.
	size_t page = 1000;
	std::map<std::string, int> reads; // of ranges, by prefix
	// Called before a transaction that only removes keys.  The sender
	// receives any result but KV_OK as its answer: KV_UNAVAILABLE without
	// the removal being done, KV_UNKNOWN although it is done.
	std::function<enum kv_error(const std::vector<std::string> &)>
	    before_removal;
	struct queue_config queue = {};
	std::map<std::string, Client> clients; // by entry
	std::map<struct node *, std::string> client_of;
	std::vector<std::function<void()>> hanging; // calls without an answer
	std::map<std::string, Item> items;
	std::vector<Write> late_creates; // not carried out yet
	int64_t revision = 1;
	std::map<std::string, Worker> workers;
	std::multimap<int64_t, std::function<void()>> events;
	std::map<std::string, int64_t> run_times; // by job, of those that end
	std::map<std::string, int64_t> task_cpu; // by job
	std::set<std::string> tasks_done;
	int starts_again = 0; // of tasks that were done
	// The store takes this long for writes of a job's progress or end, and
	// does them only if their sender hasn't been killed by then.
	int64_t save_delay_ms = kOneWayMs;
	std::map<std::string, int64_t> seen_ms;
	int64_t longest_absence_ms = 0;
	int accepted = 0, refused = 0, duplicate_runs = 0, starts_draining = 0;
	// The users' bound on the closing of a data centre; 0: none.
	int64_t closure_apply_ms = 0;
	std::map<std::string, int64_t> closed_ms; // data centres
	int starts_closed = 0; // there, after the bound
	// On workers that don't guard it, after the bound on its change.
	int starts_over_room = 0;
	int64_t retry_after_ms = 0; // of the last refusal
	std::vector<struct node_reply> replies;

	// The users' limit on the absence of a long-running task.
	static constexpr int64_t kAbsenceMaxMs = 9000;
	// Absences shorter than this don't count for the users.
	static constexpr int64_t kAbsenceCountsMs = 6000;
	static constexpr size_t kWorkers = 8;
};

#endif // HANDOVER_FIXTURE_H

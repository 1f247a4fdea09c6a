#include <cstring>

#include "sched_world.h"

namespace sched_world {

namespace {

constexpr int64_t kTick = 10, kWay = 3, kOrderTimeout = 400;
constexpr int64_t kLease = 5000, kFormer = 2000, kStop = 50;
constexpr int64_t kHoldMax = 10000; // workers cut longer leases to it
constexpr int64_t kRefresh = 250; // of the record, while a lease runs out
constexpr int kMaxAttempts = 3, kWorkers = 4;
constexpr int64_t kRoom = 4000; // of a worker, in thousandths of a processor
constexpr int64_t kShrinkKnown = 1500; // a leader is told within this
constexpr int64_t kShrinkSlack = 4100; // and keeps to it after this
constexpr int64_t kCrashAfter = 10;

Leader *
Of(void *ctx)
{
	return static_cast<Leader *>(ctx);
}

void
OnStart(struct sched *, struct sched_run *run, void *ctx)
{
	Of(ctx)->world->Start(Of(ctx), run);
}

void
OnStop(struct sched *, struct sched_worker *worker,
    const struct task_name *task, uint32_t attempt, void *ctx)
{
	Of(ctx)->world->Stop(Of(ctx), worker->id, *task, attempt);
}

void
OnPace(struct sched *, struct sched_run *, int, void *)
{
}

void
OnLook(struct sched *, struct sched_worker *worker, int64_t deadline,
    int64_t wait_ms, void *ctx)
{
	Of(ctx)->world->Look(
	    Of(ctx), worker->id, deadline, wait_ms, worker->acknowledged);
}

void
OnRecord(struct sched *, struct sched_worker *worker, void *ctx)
{
	Of(ctx)->world->Record(Of(ctx), worker);
}

void
OnUnknown(struct sched *, const char *job, void *ctx)
{
	Of(ctx)->world->Unknown(Of(ctx), job);
}

void
OnLapsed(struct sched *, struct sched_worker *, size_t, void *)
{
}

void
OnLost(struct sched *, const struct sched_lost *, void *)
{
}

void
OnForgetWorker(struct sched *, struct sched_worker *, void *)
{
}

void
OnSave(struct sched *, void *ctx)
{
	Of(ctx)->world->Save(Of(ctx));
}

void
OnForget(struct sched *, const char *, void *)
{
}

void
OnDeposed(struct sched *, void *ctx)
{
	Of(ctx)->alive = false;
}

const struct sched_actions kActions = { OnStart, OnStop, OnPace, OnLook,
	OnRecord, OnUnknown, OnLapsed, OnLost, OnForgetWorker, OnSave, OnForget,
	OnDeposed };

} // namespace

std::string
NameOf(const struct task_name &t)
{
	return std::string(t.job) + "." + std::to_string(t.occurrence) + "." +
	    std::to_string(t.step) + "." + std::to_string(t.index);
}

World::World(unsigned seed, const Faults &faults, Lax lax)
    : random_(seed), faults_(faults), lax_(lax)
{
	for (int i = 0; i < kWorkers; i++) {
		auto worker = std::make_unique<Worker>();
		worker->id = "w" + std::to_string(lives_++);
		worker->place = i;
		worker->capacity = { 4000, 4000, 0 };
		worker->listed = worker->capacity;
		if (faults.slow_clocks)
			worker->slow = 0.005 * i;
		workers_.push_back(std::move(worker));
	}
	TakeOver();
}

World::~World()
{
	for (auto &leader : leaders_)
		Close(leader.get());
}

bool
World::Chance(double share)
{
	return std::uniform_real_distribution<>(0, 1)(random_) < share;
}

void
World::At(int64_t ms, std::function<void()> event)
{
	events_.emplace(ms, std::move(event));
}

void
World::Deliver(double late_share, std::function<void()> event)
{
	int64_t delay = kWay;

	if (Chance(late_share))
		delay = 2000 +
		    std::uniform_int_distribution<int64_t>(0, 10000)(random_);
	At(now_ms + delay, std::move(event));
}

void
World::Break(const std::string &what, const std::string &about)
{
	broken.push_back(what + " " + about + " at " + std::to_string(now_ms));
}

Worker *
World::Find(const std::string &id)
{
	for (auto &worker : workers_) {
		if (worker->id == id)
			return worker.get();
	}
	return nullptr;
}

struct graph *
World::Graph(const std::string &job) const
{
	const std::string &text = submitted_.at(job);

	return codec_read_graph(text.data(), text.size());
}

void
World::SubmitAt(int64_t ms, const std::string &id, int steps, int width)
{
	expected_++;
	At(ms, [=, this] { Submit(id, steps, width); });
}

void
World::Submit(const std::string &id, int steps, int width)
{
	struct graph *g = graph_new(static_cast<size_t>(steps));
	size_t len;

	strlcpy(g->id, id.c_str(), sizeof(g->id));
	strlcpy(g->queue, "q", sizeof(g->queue));
	strlcpy(g->terms.service, "s", sizeof(g->terms.service));
	g->terms.max_attempts = kMaxAttempts;
	g->terms.stretch = 2;
	g->terms.target_ms = 1000;
	g->payload = strdup("p");
	for (int i = 0; i < steps; i++) {
		struct graph_step *step = &g->steps[i];
		step->count = static_cast<uint32_t>(width);
		step->size = { 1500, 1000, 0 };
		step->estimate_ms = 300;
		step->checkpoints = false;
		if (i > 0) {
			step->after = static_cast<uint32_t *>(
			    calloc(1, sizeof(uint32_t)));
			step->after[0] = static_cast<uint32_t>(i - 1);
			step->nafter = 1;
		}
	}
	char *text = codec_graph(g, &len);
	submitted_[id] = std::string(text, len);
	jobs_[id] = { submitted_[id], ++revision_ };
	free(text);
	graph_free(g);
	// The entry that stored it tells whom it takes for the leader: maybe
	// the former one first, which doesn't know that it was replaced.
	if (leaders_.size() > 1 && Chance(0.8))
		Tell(leaders_[leaders_.size() - 2].get(), id);
	At(now_ms + kWay +
		std::uniform_int_distribution<int64_t>(0, 300)(random_),
	    [this, id] { TellUntilKnown(id); });
}

// By when it was stored: in the first kFormer of the term, or later.
enum sched_origin
World::OriginOf(const Leader *leader, const std::string &id) const
{
	return leader->settled_revision != 0 &&
		jobs_.at(id).revision > leader->settled_revision ?
	    ORIGIN_NEW :
	    ORIGIN_OVERLAP;
}

void
World::Tell(Leader *leader, const std::string &id)
{
	if (leader->sched != nullptr && now_ms >= leader->ready_ms &&
	    jobs_.count(id) &&
	    sched_job_find(leader->sched, id.c_str()) == nullptr)
		sched_job_add(leader->sched, Graph(id), now_ms,
		    OriginOf(leader, id), now_ms);
}

void
World::TellUntilKnown(const std::string &id)
{
	Leader *leader = leaders_.back().get();

	Tell(leader, id);
	if (leader->sched == nullptr || now_ms < leader->ready_ms)
		At(now_ms + 300, [this, id] { TellUntilKnown(id); });
}

void
World::TakeOver()
{
	auto leader = std::make_unique<Leader>();
	struct sched_options options;

	// The former leader doesn't know yet; its messages are on their way.
	if (!leaders_.empty()) {
		Leader *former = leaders_.back().get();
		At(now_ms +
			std::uniform_int_distribution<int64_t>(0, 600)(random_),
		    [this, former] { Close(former); });
		takeovers_done++;
	}
	memset(&options, 0, sizeof(options));
	leader->world = this;
	leader->term = ++term_;
	options.term = term_;
	options.taken_ms = now_ms;
	options.lease_ms = kLease;
	options.former_ms = kFormer;
	options.keep_ms = 1000000;
	options.harm_ms = 4000;
	options.seed = 1;
	options.actions = &kActions;
	options.ctx = leader.get();
	leader->sched = sched_open(&options);
	if (Chance(faults_.silent)) {
		Worker *worker = workers_[random_() % workers_.size()].get();
		worker->deaf_from = 0;
		At(now_ms + 6000, [worker] { worker->deaf_from = UINT64_MAX; });
	}
	for (const auto &[id, row] : recorded_) {
		struct sched_inherited from = { row.record, row.left_ms,
			row.tasks_known, row.tasks.data(), row.tasks.size() };
		if (row.term + 1 < term_)
			from.record = RECORD_IN_USE;
		sched_worker_inherit(
		    sched_worker_get(leader->sched, id.c_str()), &from, now_ms);
	}
	for (auto &[id, job] : jobs_) {
		struct sched_job *loaded = sched_job_add(
		    leader->sched, Graph(id), now_ms, ORIGIN_INHERITED, now_ms);
		if (progress_.count(id) && lax_ != Lax::ForgetProgress)
			codec_read_progress(
			    loaded, progress_[id].data(), progress_[id].size());
		leader->revisions[id] = progress_revision_[id];
	}
	sched_load_end(leader->sched, now_ms);
	// Reading takes time, in which the former one goes on.
	leader->ready_ms =
	    now_ms + std::uniform_int_distribution<int64_t>(50, 300)(random_);
	leaders_.push_back(std::move(leader));
}

void
World::Close(Leader *leader)
{
	leader->alive = false;
	sched_close(leader->sched);
	leader->sched = nullptr;
}

void
World::CheckStart(
    Worker &worker, const struct task_name &task, const struct resources &size)
{
	struct resources used = size;
	std::string name = NameOf(task);
	TaskFacts &facts = facts_[name];

	for (auto &[other, run] : worker.runs)
		used.cpu_millis += run.size.cpu_millis;
	int64_t room = worker.capacity.cpu_millis;
	if (now_ms < worker.roomy_until_ms)
		room = std::max(room, kRoom);
	if (used.cpu_millis > room)
		Break("over capacity", worker.id);
	if (facts.crashes >= 3 && ++facts.starts_after >= 3)
		Break("crashes workers without end", name);
	if (facts.running > 0)
		Break("runs twice", name);
	if (facts.done_noted)
		Break("started after it was done", name);
	if (facts.failed_noted >= kMaxAttempts)
		Break("tried too often", name);
	if (task.step > 0) {
		struct task_name before = task;
		before.step--;
		struct graph *g = Graph(task.job);
		for (uint32_t i = 0; i < g->steps[before.step].count; i++) {
			before.index = i;
			if (!facts_[NameOf(before)].done)
				Break("started too early", name);
		}
		graph_free(g);
	}
}

void
World::Start(Leader *leader, struct sched_run *run)
{
	std::string id = run->worker->id, service = "s";
	struct task_name task;
	uint32_t attempt = run->attempt;
	int64_t deadline = run->deadline_worker_ms;
	struct resources size = run->task->step->spec->size;
	uint64_t term = leader->term;
	bool answer_lost = Chance(faults_.lost);
	auto answered = std::make_shared<bool>(false);

	sched_task_name(run->task, &task);
	starts++;
	auto reply = [this, leader, id, task, attempt, answered](
			 enum worker_answer answer, int64_t clock) {
		if (*answered || leader->sched == nullptr)
			return;
		*answered = true;
		struct sched_worker *worker =
		    sched_worker_find(leader->sched, id.c_str());
		if (worker != nullptr)
			sched_start_answered(leader->sched, worker, &task,
			    attempt, answer, clock, now_ms);
	};
	Deliver(faults_.late, [=, this] {
		Worker *worker = Find(id);
		std::string name = NameOf(task);
		enum worker_answer answer = ANSWER_OK;
		if (!Reaches(leader, worker))
			return;
		bool fenced = term < worker->token && lax_ != Lax::NoFence;
		worker->token = std::max(worker->token, term);
		auto over = worker->over.find(name);
		if (fenced)
			answer = ANSWER_FENCED;
		else if (deadline <= ClockOf(*worker) &&
		    lax_ != Lax::NoLateGuard)
			answer = ANSWER_LATE;
		else if (over != worker->over.end() &&
		    attempt <= over->second && lax_ != Lax::NoLateGuard)
			answer = ANSWER_OLD;
		else if (worker->runs.count(name) == 0) {
			CheckStart(*worker, task, size);
			facts_[name].running++;
			worker->runs[name] = { attempt,
				now_ms + 100 +
				    static_cast<int64_t>(random_() % 900),
				Chance(faults_.failing), false, size, 0 };
			worker->lease_ms = std::max(worker->lease_ms, deadline);
			if (name.rfind(kCrasher, 0) == 0)
				At(now_ms + kCrashAfter,
				    [this, worker] { Replace(*worker); });
		}
		int64_t clock = ClockOf(*worker);
		if (!answer_lost)
			At(now_ms + kWay, [=] { reply(answer, clock); });
	});
	At(now_ms + kOrderTimeout, [=] { reply(ANSWER_LOST, 0); });
}

void
World::Stop(Leader *leader, const std::string &id, const struct task_name &task,
    uint32_t attempt)
{
	uint64_t term = leader->term;
	bool answer_lost = Chance(faults_.lost);
	auto answered = std::make_shared<bool>(false);
	auto reply = [this, leader, id, task, attempt, answered](
			 enum worker_answer answer, int64_t clock) {
		if (*answered || leader->sched == nullptr)
			return;
		*answered = true;
		struct sched_worker *worker =
		    sched_worker_find(leader->sched, id.c_str());
		if (worker != nullptr)
			sched_stop_answered(leader->sched, worker, &task,
			    attempt, answer, clock, now_ms);
	};

	Deliver(faults_.late, [=, this] {
		Worker *worker = Find(id);
		std::string name = NameOf(task);
		if (!Reaches(leader, worker))
			return;
		bool fenced = term < worker->token && lax_ != Lax::NoFence;
		worker->token = std::max(worker->token, term);
		if (!fenced) {
			auto run = worker->runs.find(name);
			worker->over[name] =
			    std::max(worker->over[name], attempt);
			if (run != worker->runs.end() &&
			    run->second.attempt <= attempt &&
			    !run->second.stopping) {
				run->second.stopping = true;
				run->second.stop_ms = now_ms + kStop;
			}
		}
		int64_t clock = ClockOf(*worker);
		if (!answer_lost)
			At(now_ms + kWay, [=] {
				reply(
				    fenced ? ANSWER_FENCED : ANSWER_OK, clock);
			});
	});
	At(now_ms + kOrderTimeout, [=] { reply(ANSWER_LOST, 0); });
}

void
World::Noted(const End &end)
{
	TaskFacts &facts = facts_[NameOf(end.task)];

	if (end.how == END_DONE)
		facts.done_noted = true;
	if (end.how == END_FAILED)
		facts.failed_noted++;
}

void
World::Look(Leader *leader, const std::string &id, int64_t deadline,
    int64_t wait_ms, uint64_t acknowledged)
{
	uint64_t term = leader->term;
	bool answer_lost = Chance(faults_.lost);
	auto answered = std::make_shared<bool>(false);

	if (lax_ == Lax::AckUnsaved) {
		Worker *worker = Find(id);
		if (worker != nullptr)
			acknowledged = worker->next_number - 1;
	}
	At(now_ms + wait_ms + kOrderTimeout, [=, this] {
		if (*answered || leader->sched == nullptr)
			return;
		*answered = true;
		struct sched_worker *worker =
		    sched_worker_find(leader->sched, id.c_str());
		if (worker != nullptr)
			sched_poll_answered(leader->sched, worker, ANSWER_LOST,
			    nullptr, now_ms);
	});
	At(now_ms + kWay, [=, this] {
		Worker *worker = Find(id);
		if (!Reaches(leader, worker))
			return;
		bool fenced = term < worker->token && lax_ != Lax::NoFence;
		worker->token = std::max(worker->token, term);
		if (!fenced) {
			worker->lease_ms = std::max(worker->lease_ms,
			    std::min(deadline, ClockOf(*worker) + kHoldMax));
			while (!worker->ends.empty() &&
			    worker->ends.front().number <= acknowledged) {
				Noted(worker->ends.front());
				worker->ends.erase(worker->ends.begin());
			}
		}
		auto runs = std::make_shared<std::vector<poll_running>>();
		auto ends = std::make_shared<std::vector<poll_finished>>();
		for (auto &[name, run] : worker->runs) {
			struct poll_running row;
			memset(&row, 0, sizeof(row));
			size_t dot = name.find('.');
			strlcpy(row.task.job, name.substr(0, dot).c_str(),
			    sizeof(row.task.job));
			sscanf(name.c_str() + dot, ".%u.%u.%u",
			    &row.task.occurrence, &row.task.step,
			    &row.task.index);
			row.attempt = run.attempt;
			row.checkpoint = "";
			runs->push_back(row);
		}
		for (auto &end : worker->ends)
			ends->push_back(
			    { end.number, end.task, end.attempt, end.how, "" });
		int64_t clock = ClockOf(*worker);
		if (answer_lost)
			return;
		At(now_ms + kWay, [=, this] {
			if (*answered || leader->sched == nullptr)
				return;
			*answered = true;
			struct sched_worker *known =
			    sched_worker_find(leader->sched, id.c_str());
			struct poll_result result = { clock, runs->data(),
				runs->size(), ends->data(), ends->size() };
			if (known != nullptr)
				sched_poll_answered(leader->sched, known,
				    fenced ? ANSWER_FENCED : ANSWER_OK, &result,
				    now_ms);
		});
	});
}

void
World::Save(Leader *leader)
{
	if (leader->saving)
		return;
	leader->saving = true;
	At(now_ms + 20, [this, leader] {
		struct sched_job *job;
		leader->saving = false;
		while (leader->sched != nullptr &&
		    (job = sched_next_dirty(leader->sched)) != nullptr) {
			std::string id = job->id;
			uint64_t change = job->change;
			bool ended = job->in_ended, lost;
			size_t len;
			char *raw = ended ? codec_ended(job->state, 0, &len) :
					    codec_progress(job, &len);
			std::string text(raw, len);
			free(raw);
			lost = Chance(faults_.unsaved);
			// The condition: nobody leads a later term.
			if (leader->term != term_)
				return;
			if (!lost || Chance(0.5)) {
				revision_++;
				if (ended) {
					ended_[id] = text;
					jobs_.erase(id);
					progress_.erase(id);
				} else if (jobs_.count(id)) {
					progress_[id] = text;
					progress_revision_[id] = revision_;
				}
			}
			if (lost) {
				sched_dirty_again(leader->sched, job);
				break;
			}
			sched_saved(leader->sched, job, change, now_ms);
		}
	});
}

void
World::Record(Leader *leader, struct sched_worker *worker)
{
	auto found = leader->recording.find(worker->id);

	if (found != leader->recording.end())
		found->second = true;
	else
		SendRecord(leader, worker->id);
}

struct Recorded
World::RowOf(Leader *leader, const struct sched_worker *worker) const
{
	struct Recorded row = { worker->record_wanted,
		sched_worker_lease_left_ms(leader->sched, worker, now_ms),
		leader->term, false, {} };

	row.tasks_known = sched_worker_each_task(
	    worker,
	    [](const struct task_name *task, void *ctx) {
		    static_cast<std::vector<struct task_name> *>(ctx)
			->push_back(*task);
	    },
	    &row.tasks);
	return row;
}

// One write of a leader at a time, on condition that nobody leads later.
void
World::SendRecord(Leader *leader, const std::string &id)
{
	struct sched_worker *worker;
	struct Recorded row;
	bool lost, done;

	if (leader->sched == nullptr ||
	    (worker = sched_worker_find(leader->sched, id.c_str())) == nullptr)
		return;
	leader->recording[id] = false;
	row = RowOf(leader, worker);
	lost = Chance(faults_.unsaved);
	done = !lost || Chance(0.5);
	sched_worker_recording(worker);
	if (lax_ == Lax::EarlyRecord && row.record == RECORD_IN_USE &&
	    recorded_.count(id)) {
		sched_worker_recorded(worker, RECORD_IN_USE);
		done = false;
	}
	At(now_ms + kWay, [=, this] {
		bool holds = leader->term == term_;
		if (holds && done)
			recorded_[id] = row;
		At(now_ms + (lost ? 200 : kWay), [=, this] {
			if (leader->sched == nullptr || !holds)
				return;
			bool changed = leader->recording[id];
			leader->recording.erase(id);
			struct sched_worker *known =
			    sched_worker_find(leader->sched, id.c_str());
			if (known != nullptr && !lost)
				sched_worker_recorded(known, row.record);
			if (lost || changed)
				SendRecord(leader, id);
		});
	});
}

// Leases that run out: how much is left of them.
void
World::RefreshRecord(Leader *leader)
{
	if (leader->term != term_ || now_ms % kRefresh >= kTick)
		return;
	for (auto &[id, row] : recorded_) {
		struct sched_worker *worker =
		    sched_worker_find(leader->sched, id.c_str());
		if (worker != nullptr && row.record == RECORD_EXPIRING &&
		    worker->record_may == RECORD_BIT(RECORD_EXPIRING) &&
		    worker->record_wanted == RECORD_EXPIRING)
			row = RowOf(leader, worker);
	}
}

int64_t
World::ClockOf(const Worker &worker) const
{
	return static_cast<int64_t>(
	    static_cast<double>(now_ms) * (1 - worker.slow));
}

bool
World::Reaches(const Leader *leader, const Worker *worker) const
{
	return worker != nullptr && worker->alive &&
	    leader->term < worker->deaf_from;
}

// A worker can't be reached for a while, by any leader or by those to come.
void
World::Cut()
{
	Worker *worker = workers_[random_() % workers_.size()].get();

	worker->deaf_from = Chance(0.5) ? 0 : term_ + 1;
	At(now_ms + std::uniform_int_distribution<int64_t>(300, 9000)(random_),
	    [worker] { worker->deaf_from = UINT64_MAX; });
}

void
World::Unknown(Leader *leader, const std::string &id)
{
	if (!leader->unknown.insert(id).second)
		return;
	unknown_jobs++;
	At(now_ms + 2 * kWay, [this, leader, id] {
		if (leader->sched == nullptr)
			return;
		leader->unknown.erase(id);
		if (sched_job_find(leader->sched, id.c_str()) != nullptr)
			return;
		if (jobs_.count(id))
			sched_job_add(leader->sched, Graph(id), now_ms,
			    OriginOf(leader, id), now_ms);
		else
			sched_job_add_ended(
			    leader->sched, id.c_str(), JOB_COMPLETED, now_ms);
	});
}

void
World::EndRun(Worker &worker, const std::string &name, enum run_end how)
{
	End end;

	memset(&end.task, 0, sizeof(end.task));
	size_t dot = name.find('.');
	strlcpy(
	    end.task.job, name.substr(0, dot).c_str(), sizeof(end.task.job));
	sscanf(name.c_str() + dot, ".%u.%u.%u", &end.task.occurrence,
	    &end.task.step, &end.task.index);
	end.number = worker.next_number++;
	end.attempt = worker.runs[name].attempt;
	end.how = how;
	worker.over[name] = std::max(worker.over[name], end.attempt);
	worker.runs.erase(name);
	worker.ends.push_back(end);
	facts_[name].running--;
	if (how == END_DONE)
		facts_[name].done = true;
}

void
World::TickWorker(Worker &worker)
{
	std::vector<std::string> names;

	for (auto &[name, run] : worker.runs)
		names.push_back(name);
	for (auto &name : names) {
		Run &run = worker.runs[name];
		if (worker.lease_ms <= ClockOf(worker))
			EndRun(worker, name, END_LAPSED);
		else if (run.stopping && run.stop_ms <= now_ms)
			EndRun(worker, name, END_STOPPED);
		else if (!run.stopping && run.ends_ms <= now_ms)
			EndRun(worker, name, run.fails ? END_FAILED : END_DONE);
	}
}

// A worker dies with all it has, its list of ends included; another life of
// it comes.
void
World::Replace(Worker &worker)
{
	if (!worker.alive)
		return;
	for (auto &[name, run] : worker.runs) {
		facts_[name].running--;
		facts_[name].crashes++;
	}
	worker.runs.clear();
	worker.ends.clear();
	worker.alive = false;
	auto next = std::make_unique<Worker>();
	next->id = "w" + std::to_string(lives_++);
	next->place = worker.place;
	next->capacity = worker.capacity;
	next->listed = worker.listed;
	next->roomy_until_ms = worker.roomy_until_ms;
	next->slow = worker.slow;
	workers_.push_back(std::move(next));
}

void
World::Crash()
{
	Replace(*workers_[random_() % workers_.size()]);
}

// A worker has less room for a while.
void
World::Shrink()
{
	size_t at = random_() % workers_.size();
	int64_t room =
	    std::uniform_int_distribution<int64_t>(0, kRoom)(random_);
	auto set = [this, at](int64_t cpu) {
		for (auto &w : workers_) {
			if (w->place != workers_[at]->place)
				continue;
			w->capacity.cpu_millis = cpu;
			w->roomy_until_ms = now_ms + kShrinkSlack;
		}
	};
	auto tell = [this, at] {
		for (auto &w : workers_) {
			if (w->place == workers_[at]->place)
				w->listed = w->capacity;
		}
	};

	set(room);
	At(now_ms +
		std::uniform_int_distribution<int64_t>(0, kShrinkKnown)(
		    random_),
	    tell);
	At(now_ms +
		std::uniform_int_distribution<int64_t>(6000, 12000)(random_),
	    [=] {
		    set(kRoom);
		    tell();
	    });
}

// A worker says that it leaves, and does so some time later.
void
World::Leave()
{
	Worker *worker = workers_[random_() % workers_.size()].get();

	worker->draining = true;
	At(now_ms + std::uniform_int_distribution<int64_t>(0, 3000)(random_),
	    [this, worker] { Replace(*worker); });
}

void
World::Tick()
{
	while (!events_.empty() && events_.begin()->first <= now_ms) {
		auto event = std::move(events_.begin()->second);
		events_.erase(events_.begin());
		event();
	}
	for (auto &worker : workers_) {
		if (worker->alive)
			TickWorker(*worker);
	}
	for (auto &leader : leaders_) {
		struct sched *s = leader->sched;
		if (s == nullptr || !leader->alive || now_ms < leader->ready_ms)
			continue;
		for (auto &worker : workers_) {
			struct sched_worker *known =
			    sched_worker_get(s, worker->id.c_str());
			strlcpy(known->service, "s", sizeof(known->service));
			snprintf(known->address, sizeof(known->address), "p%d",
			    worker->place);
			if (worker->alive &&
			    (!known->listed ||
				known->draining != worker->draining ||
				known->room.capacity.cpu_millis !=
				    worker->listed.cpu_millis))
				sched_worker_listed(s, known, &worker->listed,
				    worker->draining, 0, now_ms);
			if (!worker->alive && known->listed)
				sched_worker_unlisted(s, known, now_ms);
		}
		if (leader->settled_revision == 0 &&
		    now_ms >= s->opt.taken_ms + kFormer)
			leader->settled_revision = revision_;
		sched_act(s, now_ms);
		RefreshRecord(leader.get());
	}
	now_ms += kTick;
}

void
World::Play(int64_t ms)
{
	int64_t end_ms = now_ms + ms;
	auto sometime = [this] {
		return now_ms +
		    std::uniform_int_distribution<int64_t>(
			50, faults_.window_ms)(random_);
	};

	for (int i = 0; i < faults_.takeovers; i++)
		At(sometime(), [this] { TakeOver(); });
	for (int i = 0; i < faults_.cuts; i++)
		At(sometime(), [this] { Cut(); });
	for (int i = 0; i < faults_.drains; i++)
		At(sometime(), [this] { Leave(); });
	for (int i = 0; i < faults_.crashes; i++)
		At(sometime(), [this] { Crash(); });
	for (int i = 0; i < faults_.shrinks; i++)
		At(sometime(), [this] { Shrink(); });
	for (int i = 0; i < faults_.cancels; i++)
		At(sometime(), [this] {
			struct sched *s = leaders_.back()->sched;
			if (s == nullptr || jobs_.empty())
				return;
			struct sched_job *job =
			    sched_job_find(s, jobs_.begin()->first.c_str());
			if (job != nullptr)
				sched_job_cancel(s, job, now_ms);
		});
	while (now_ms < end_ms && !AllEnded())
		Tick();
}

bool
World::AllEnded() const
{
	return jobs_.empty() && ended_.size() == expected_;
}

std::string
World::StateOf(const std::string &job) const
{
	auto it = ended_.find(job);

	return it == ended_.end() ? "" : it->second;
}

} // namespace sched_world

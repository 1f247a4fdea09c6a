#include <cstring>

#include "sched_world.h"

namespace sched_world {

namespace {

constexpr int64_t kTickMs = 10, kOneWayMs = 3, kOrderTimeoutMs = 400;
constexpr int64_t kLeaseMs = 5000, kFormerMs = 2000, kStopMs = 50;
constexpr int64_t kHoldMaxMs = 10000; // workers cut longer leases to this
constexpr int64_t kRefreshMs = 250; // of expiring rows of the record
constexpr int kMaxAttempts = 3, kWorkers = 4;
// Capacity of a worker, in thousandths of a processor.
constexpr int64_t kCapacityMillis = 4000;
constexpr int64_t kShrinkToldMs = 1500; // maximum delay until leaders are told
// After this time starts must respect the new capacity.
constexpr int64_t kShrinkGraceMs = 4100;
constexpr int64_t kCrashAfterMs = 10;
// Bounds of the time from a restart to a cut, and of the cut.
constexpr int64_t kRecutAfterMinMs = 300, kRecutAfterMaxMs = 3000;
constexpr int64_t kRecutMinMs = 9000, kRecutMaxMs = 12000;
constexpr int64_t kLastingMinMs = 6000, kLastingMaxMs = 12000;
constexpr int64_t kFirstStartMs = 1000000;
// A copy may be started this long after an end of its task was noted.
constexpr int64_t kCopySlackMs = 1000;
// A new incarnation is in the list after this time at the latest.
constexpr int64_t kListedAfterMs = 2000;

Leader *
LeaderOf(void *ctx)
{
	return static_cast<Leader *>(ctx);
}

void
OnStart(struct sched *, struct sched_run *run, void *ctx)
{
	LeaderOf(ctx)->world->Start(LeaderOf(ctx), run);
}

void
OnStop(struct sched *, struct sched_worker *worker,
    const struct task_name *task, uint32_t attempt, enum sched_stop_reason,
    void *ctx)
{
	LeaderOf(ctx)->world->Stop(LeaderOf(ctx), worker->id, *task, attempt);
}

void
OnPace(struct sched *, struct sched_run *, int, void *)
{
}

void
OnPoll(struct sched *, struct sched_worker *worker, int64_t deadline,
    int64_t wait_ms, void *ctx)
{
	LeaderOf(ctx)->world->Poll(LeaderOf(ctx), worker->id, deadline, wait_ms,
	    worker->poll_acknowledged);
}

void
OnRecord(struct sched *, struct sched_worker *worker, void *ctx)
{
	LeaderOf(ctx)->world->Record(LeaderOf(ctx), worker);
}

void
OnUnknown(struct sched *, const char *job, void *ctx)
{
	LeaderOf(ctx)->world->Unknown(LeaderOf(ctx), job);
}

void
OnLeaseExpired(struct sched *, struct sched_worker *, size_t, void *)
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
	LeaderOf(ctx)->world->Save(LeaderOf(ctx));
}

bool
OnForget(struct sched *, const char *, void *)
{
	return true;
}

void
OnNoRoom(struct sched *, struct sched_worker *, bool, void *)
{
}

void
OnDeposed(struct sched *, void *ctx)
{
	LeaderOf(ctx)->alive = false;
}

const struct sched_actions kActions = { OnStart, OnStop, OnPace, OnPoll,
	OnRecord, OnUnknown, OnLeaseExpired, OnLost, OnForgetWorker, OnSave,
	OnForget, OnDeposed, OnNoRoom };

} // namespace

std::string
NameOf(const struct task_name &t)
{
	return std::string(t.job) + "." + std::to_string(t.occurrence) + "." +
	    std::to_string(t.step) + "." + std::to_string(t.index);
}

World::World(unsigned seed, const Faults &faults, Defect defect)
    : random_(seed), faults_(faults), defect_(defect)
{
	for (int i = 0; i < kWorkers; i++) {
		auto worker = std::make_unique<Worker>();
		worker->id = "w" + std::to_string(incarnations_++);
		worker->host = i;
		worker->capacity = { 4000, 4000, 0 };
		worker->listed = worker->capacity;
		if (faults.slow_clocks)
			worker->clock_slowdown = 0.005 * i;
		if (faults.same_ids)
			worker->started_ms = kFirstStartMs;
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

// An order that a worker carries out late ends with its incarnation.
void
World::Deliver(
    double late_share, const std::string &id, std::function<void()> event)
{
	const Worker *incarnation = Find(id);

	if (!Chance(late_share)) {
		At(now_ms + kOneWayMs, std::move(event));
		return;
	}
	At(now_ms + 2000 +
		std::uniform_int_distribution<int64_t>(0, 10000)(random_),
	    [=, this] {
		    if (Find(id) == incarnation)
			    event();
	    });
}

void
World::AddViolation(const std::string &what, const std::string &about)
{
	violations.push_back(
	    what + " " + about + " at " + std::to_string(now_ms));
}

// The latest incarnation with this id.
Worker *
World::Find(const std::string &id)
{
	for (size_t i = workers_.size(); i-- > 0;) {
		if (workers_[i]->id == id)
			return workers_[i].get();
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
		step->copies = faults_.copies && submitted_.size() % 2 == 0;
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
	// The entry that stored the job notifies the entry that it takes for
	// the leader.  This may first be the former leader, which doesn't know
	// that it was replaced.
	if (leaders_.size() > 1 && Chance(0.8))
		NotifyJob(leaders_[leaders_.size() - 2].get(), id);
	At(now_ms + kOneWayMs +
		std::uniform_int_distribution<int64_t>(0, 300)(random_),
	    [this, id] { NotifyUntilKnown(id); });
}

// Whether the job was stored in the first kFormerMs of the term or later.
enum sched_origin
World::OriginOf(const Leader *leader, const std::string &id) const
{
	return leader->overlap_end_revision != 0 &&
		jobs_.at(id).revision > leader->overlap_end_revision ?
	    ORIGIN_NEW :
	    ORIGIN_OVERLAP;
}

void
World::NotifyJob(Leader *leader, const std::string &id)
{
	if (leader->sched != nullptr && now_ms >= leader->ready_ms &&
	    jobs_.count(id) &&
	    sched_job_find(leader->sched, id.c_str()) == nullptr)
		sched_job_add(leader->sched, Graph(id), now_ms,
		    OriginOf(leader, id), now_ms);
}

void
World::NotifyUntilKnown(const std::string &id)
{
	Leader *leader = leaders_.back().get();

	NotifyJob(leader, id);
	if (leader->sched == nullptr || now_ms < leader->ready_ms)
		At(now_ms + 300, [this, id] { NotifyUntilKnown(id); });
}

void
World::TakeOver()
{
	auto leader = std::make_unique<Leader>();
	struct sched_options options;

	// The former leader doesn't know yet that it was replaced; its
	// messages are still in flight.
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
	options.lease_ms = kLeaseMs;
	options.lease_max_ms = kHoldMaxMs;
	options.former_ms = kFormerMs;
	options.keep_ms = 1000000;
	options.harm_ms = 4000;
	options.seed = 1;
	options.actions = &kActions;
	options.ctx = leader.get();
	leader->sched = sched_open(&options);
	if (Chance(faults_.silent)) {
		Worker *worker = workers_[random_() % workers_.size()].get();
		worker->unreachable_from_term = 0;
		At(now_ms + 6000,
		    [worker] { worker->unreachable_from_term = UINT64_MAX; });
	}
	for (const auto &[id, row] : recorded_) {
		struct sched_inherited from = { row.record, row.left_ms,
			row.tasks_known, row.tasks.data(), row.tasks.size(),
			row.started_ms };
		if (row.term + 1 < term_)
			from.record = RECORD_IN_USE;
		sched_worker_inherit(
		    sched_worker_get(leader->sched, id.c_str()), &from, now_ms);
	}
	for (auto &[id, job] : jobs_) {
		struct sched_job *loaded = sched_job_add(
		    leader->sched, Graph(id), now_ms, ORIGIN_INHERITED, now_ms);
		if (progress_.count(id) && defect_ != Defect::ForgetProgress)
			codec_read_progress(
			    loaded, progress_[id].data(), progress_[id].size());
		leader->revisions[id] = progress_revision_[id];
	}
	sched_load_end(leader->sched, now_ms);
	// Loading takes time, during which the former leader keeps acting.
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
	TaskHistory &history = history_[name];

	for (auto &[other, run] : worker.runs)
		used.cpu_millis += run.size.cpu_millis;
	int64_t room = worker.capacity.cpu_millis;
	if (now_ms < worker.full_capacity_until_ms)
		room = std::max(room, kCapacityMillis);
	if (used.cpu_millis > room)
		AddViolation("over capacity", worker.id);
	if (history.crashes >= 3 && ++history.starts_after >= 3)
		AddViolation("restarted although it crashes its workers", name);
	struct graph *own = Graph(task.job);
	bool allowed = own->steps[task.step].copies;
	graph_free(own);
	// With copies a start may have been on its way when an end was noted.
	bool on_its_way = allowed && now_ms - history.noted_ms <= kCopySlackMs;
	if (history.running > (allowed ? 1 : 0))
		AddViolation("started while it was running", name);
	if (history.running > 0)
		copies++;
	if (history.done_noted && !on_its_way)
		AddViolation("started after it was done", name);
	if (history.failed_noted >= kMaxAttempts && !on_its_way)
		AddViolation("exceeded the attempt limit", name);
	if (task.step > 0) {
		struct task_name before = task;
		before.step--;
		struct graph *g = Graph(task.job);
		for (uint32_t i = 0; i < g->steps[before.step].count; i++) {
			before.index = i;
			if (!history_[NameOf(before)].done)
				AddViolation(
				    "started before the previous step was done",
				    name);
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
	Deliver(faults_.late, id, [=, this] {
		Worker *worker = Find(id);
		std::string name = NameOf(task);
		enum worker_answer answer = ANSWER_OK;
		if (!Reaches(leader, worker))
			return;
		bool fenced =
		    term < worker->token && defect_ != Defect::NoFence;
		worker->token = std::max(worker->token, term);
		auto highest_ended = worker->highest_ended.find(name);
		if (fenced)
			answer = ANSWER_FENCED;
		else if (deadline <= ClockOf(*worker) &&
		    defect_ != Defect::NoLateGuard)
			answer = ANSWER_LATE;
		else if (highest_ended != worker->highest_ended.end() &&
		    attempt <= highest_ended->second &&
		    defect_ != Defect::NoLateGuard)
			answer = ANSWER_OLD;
		else if (worker->runs.count(name) == 0) {
			CheckStart(*worker, task, size);
			history_[name].running++;
			int64_t run_ms =
			    100 + static_cast<int64_t>(random_() % 900);
			if (Chance(faults_.lasting))
				run_ms = std::uniform_int_distribution<int64_t>(
				    kLastingMinMs, kLastingMaxMs)(random_);
			worker->runs[name] = { attempt, now_ms + run_ms,
				Chance(faults_.failing), false, size, 0 };
			worker->lease_ms = std::max(worker->lease_ms,
			    std::min(deadline, ClockOf(*worker) + kHoldMaxMs));
			if (name.rfind(kCrasherPrefix, 0) == 0)
				At(now_ms + kCrashAfterMs,
				    [this, worker] { Replace(*worker); });
		}
		int64_t clock = ClockOf(*worker);
		if (!answer_lost)
			At(now_ms + kOneWayMs, [=] { reply(answer, clock); });
	});
	At(now_ms + kOrderTimeoutMs, [=] { reply(ANSWER_LOST, 0); });
}

void
World::Stop(Leader *leader, const std::string &id, const struct task_name &task,
    uint32_t attempt)
{
	uint64_t term = leader->term;
	uint32_t incarnation =
	    sched_worker_find(leader->sched, id.c_str())->inc.serial;
	bool answer_lost = Chance(faults_.lost);
	auto answered = std::make_shared<bool>(false);
	auto reply = [this, leader, id, incarnation, task, attempt, answered](
			 enum worker_answer answer, int64_t clock) {
		if (*answered || leader->sched == nullptr)
			return;
		*answered = true;
		struct sched_worker *worker =
		    sched_worker_find(leader->sched, id.c_str());
		if (worker != nullptr)
			sched_stop_answered(leader->sched, worker, incarnation,
			    &task, attempt, answer, clock, now_ms);
	};

	Deliver(faults_.late, id, [=, this] {
		Worker *worker = Find(id);
		std::string name = NameOf(task);
		if (!Reaches(leader, worker))
			return;
		bool fenced =
		    term < worker->token && defect_ != Defect::NoFence;
		worker->token = std::max(worker->token, term);
		if (!fenced) {
			auto run = worker->runs.find(name);
			worker->highest_ended[name] =
			    std::max(worker->highest_ended[name], attempt);
			if (run != worker->runs.end() &&
			    run->second.attempt <= attempt &&
			    !run->second.stopping) {
				run->second.stopping = true;
				run->second.stop_ms = now_ms + kStopMs;
			}
		}
		int64_t clock = ClockOf(*worker);
		if (!answer_lost)
			At(now_ms + kOneWayMs, [=] {
				reply(
				    fenced ? ANSWER_FENCED : ANSWER_OK, clock);
			});
	});
	At(now_ms + kOrderTimeoutMs, [=] { reply(ANSWER_LOST, 0); });
}

void
World::NoteEnd(const End &end)
{
	TaskHistory &history = history_[NameOf(end.task)];

	history.noted_ms = now_ms;
	if (end.how == END_DONE)
		history.done_noted = true;
	if (end.how == END_FAILED)
		history.failed_noted++;
}

void
World::Poll(Leader *leader, const std::string &id, int64_t deadline,
    int64_t wait_ms, uint64_t acknowledged)
{
	uint64_t term = leader->term;
	bool answer_lost = Chance(faults_.lost);
	auto answered = std::make_shared<bool>(false);

	if (defect_ == Defect::AckUnsaved) {
		Worker *worker = Find(id);
		if (worker != nullptr)
			acknowledged = worker->next_number - 1;
	}
	At(now_ms + wait_ms + kOrderTimeoutMs, [=, this] {
		if (*answered || leader->sched == nullptr)
			return;
		*answered = true;
		struct sched_worker *worker =
		    sched_worker_find(leader->sched, id.c_str());
		if (worker != nullptr)
			sched_poll_answered(leader->sched, worker, ANSWER_LOST,
			    nullptr, now_ms);
	});
	At(now_ms + kOneWayMs, [=, this] {
		Worker *worker = Find(id);
		if (!Reaches(leader, worker))
			return;
		bool fenced =
		    term < worker->token && defect_ != Defect::NoFence;
		worker->token = std::max(worker->token, term);
		if (!fenced) {
			worker->lease_ms = std::max(worker->lease_ms,
			    std::min(deadline, ClockOf(*worker) + kHoldMaxMs));
			while (!worker->ends.empty() &&
			    worker->ends.front().number <= acknowledged) {
				NoteEnd(worker->ends.front());
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
		int64_t clock = ClockOf(*worker), born = worker->started_ms;
		if (answer_lost)
			return;
		At(now_ms + kOneWayMs, [=, this] {
			if (*answered || leader->sched == nullptr)
				return;
			*answered = true;
			struct sched_worker *known =
			    sched_worker_find(leader->sched, id.c_str());
			struct poll_result result = { born, clock, runs->data(),
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
			// The write is conditional: it fails if a leader of a
			// later term exists.
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
		leader->term, false, {},
		sched_worker_record_start(leader->sched, worker, now_ms) };

	row.tasks_known = sched_worker_each_task(
	    worker,
	    [](const struct task_name *task, void *ctx) {
		    static_cast<std::vector<struct task_name> *>(ctx)
			->push_back(*task);
	    },
	    &row.tasks);
	return row;
}

// A leader has one write per worker in flight.  Writes are conditional: they
// fail if a leader of a later term exists.
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
	sched_worker_recording(leader->sched, worker, now_ms);
	if (defect_ == Defect::EarlyRecord && row.record == RECORD_IN_USE &&
	    recorded_.count(id)) {
		sched_worker_recorded(worker, RECORD_IN_USE);
		done = false;
	}
	At(now_ms + kOneWayMs, [=, this] {
		bool holds = leader->term == term_;
		if (holds && done)
			recorded_[id] = row;
		At(now_ms + (lost ? 200 : kOneWayMs), [=, this] {
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

// Updates the remaining lease time in the rows of expiring workers.
void
World::RefreshRecord(Leader *leader)
{
	if (leader->term != term_ || now_ms % kRefreshMs >= kTickMs)
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
	    static_cast<double>(now_ms - worker.clock_base_ms) *
	    (1 - worker.clock_slowdown));
}

bool
World::Reaches(const Leader *leader, const Worker *worker) const
{
	return worker != nullptr && worker->alive &&
	    leader->term < worker->unreachable_from_term;
}

// Makes a worker unreachable for a while, either for all leaders or only for
// those of later terms.
void
World::MakeUnreachable()
{
	Worker *worker = workers_[random_() % workers_.size()].get();

	worker->unreachable_from_term = Chance(0.5) ? 0 : term_ + 1;
	At(now_ms + std::uniform_int_distribution<int64_t>(300, 9000)(random_),
	    [worker] { worker->unreachable_from_term = UINT64_MAX; });
}

void
World::Unknown(Leader *leader, const std::string &id)
{
	if (!leader->unknown.insert(id).second)
		return;
	unknown_jobs++;
	At(now_ms + 2 * kOneWayMs, [this, leader, id] {
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
	worker.highest_ended[name] =
	    std::max(worker.highest_ended[name], end.attempt);
	worker.runs.erase(name);
	worker.ends.push_back(end);
	history_[name].running--;
	if (how == END_DONE)
		history_[name].done = true;
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

// Ends a worker with its runs and its list of ends; a new incarnation takes
// its place.
void
World::Replace(Worker &worker)
{
	if (!worker.alive)
		return;
	for (auto &[name, run] : worker.runs) {
		history_[name].running--;
		history_[name].crashes++;
	}
	worker.runs.clear();
	worker.ends.clear();
	worker.alive = false;
	auto next = std::make_unique<Worker>();
	next->id = faults_.same_ids ? worker.id :
				      "w" + std::to_string(incarnations_++);
	next->host = worker.host;
	if (faults_.same_ids) {
		// Times of day may be stepped back between the two.
		next->started_ms = worker.started_ms +
		    (Chance(0.5) ? 1 + now_ms : -1 - now_ms);
		next->clock_base_ms = now_ms - 1;
		next->listed_from_ms = now_ms +
		    std::uniform_int_distribution<int64_t>(0, kListedAfterMs)(
			random_);
	}
	next->capacity = worker.capacity;
	next->listed = worker.listed;
	next->full_capacity_until_ms = worker.full_capacity_until_ms;
	next->clock_slowdown = worker.clock_slowdown;
	workers_.push_back(std::move(next));
}

void
World::Crash()
{
	Replace(*workers_[random_() % workers_.size()]);
}

// Restarts a worker and makes its next incarnation unreachable soon after; the
// leader is replaced in between, so that only the former one saw the restart.
void
World::Recut()
{
	Worker *worker = workers_[random_() % workers_.size()].get();

	if (!worker->alive)
		return;
	Replace(*worker);
	Worker *next = workers_.back().get();
	int64_t cut_ms = now_ms +
	    std::uniform_int_distribution<int64_t>(
		kRecutAfterMinMs, kRecutAfterMaxMs)(random_);
	At(cut_ms, [next] { next->unreachable_from_term = 0; });
	At(cut_ms +
		std::uniform_int_distribution<int64_t>(
		    kRecutMinMs, kRecutMaxMs)(random_),
	    [next] { next->unreachable_from_term = UINT64_MAX; });
	if (Chance(0.7))
		At(std::uniform_int_distribution<int64_t>(
		       now_ms, cut_ms + 1000)(random_),
		    [this] { TakeOver(); });
}

// Reduces the capacity of a worker for a while.
void
World::Shrink()
{
	size_t at = random_() % workers_.size();
	int64_t room =
	    std::uniform_int_distribution<int64_t>(0, kCapacityMillis)(random_);
	auto set = [this, at](int64_t cpu) {
		for (auto &w : workers_) {
			if (w->host != workers_[at]->host)
				continue;
			w->capacity.cpu_millis = cpu;
			w->full_capacity_until_ms = now_ms + kShrinkGraceMs;
		}
	};
	auto tell = [this, at] {
		for (auto &w : workers_) {
			if (w->host == workers_[at]->host)
				w->listed = w->capacity;
		}
	};

	set(room);
	At(now_ms +
		std::uniform_int_distribution<int64_t>(0, kShrinkToldMs)(
		    random_),
	    tell);
	At(now_ms +
		std::uniform_int_distribution<int64_t>(6000, 12000)(random_),
	    [=] {
		    set(kCapacityMillis);
		    tell();
	    });
}

// A worker announces its departure and ends some time later.
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
			    worker->host);
			if (worker.get() != Find(worker->id) ||
			    now_ms < worker->listed_from_ms)
				continue;
			bool again =
			    known->listed_start_ms != worker->started_ms;
			sched_worker_list_start(
			    s, known, worker->started_ms, now_ms);
			if (worker->alive &&
			    (again || !known->listed ||
				known->draining != worker->draining ||
				known->room.capacity.cpu_millis !=
				    worker->listed.cpu_millis))
				sched_worker_listed(s, known, &worker->listed,
				    worker->draining, 0, now_ms);
			if (!worker->alive && known->listed)
				sched_worker_unlisted(s, known, now_ms);
		}
		if (leader->overlap_end_revision == 0 &&
		    now_ms >= s->opt.taken_ms + kFormerMs)
			leader->overlap_end_revision = revision_;
		sched_act(s, now_ms);
		RefreshRecord(leader.get());
	}
	now_ms += kTickMs;
}

void
World::RunUntilEnded(int64_t ms)
{
	int64_t end_ms = now_ms + ms;
	auto sometime = [this] {
		return now_ms +
		    std::uniform_int_distribution<int64_t>(
			50, faults_.window_ms)(random_);
	};

	for (int i = 0; i < faults_.takeovers; i++)
		At(sometime(), [this] { TakeOver(); });
	for (int i = 0; i < faults_.unreachable; i++)
		At(sometime(), [this] { MakeUnreachable(); });
	for (int i = 0; i < faults_.drains; i++)
		At(sometime(), [this] { Leave(); });
	for (int i = 0; i < faults_.crashes; i++)
		At(sometime(), [this] { Crash(); });
	for (int i = 0; i < faults_.recuts; i++)
		At(sometime(), [this] { Recut(); });
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

#include "ledger_world.h"

#include <algorithm>
#include <cstring>

namespace ledger_world {

const char *const fault_names[NFAULTS] = { "none", "no fence round",
	"no epoch check", "start before write", "read-back skipped",
	"release before confirm", "unanswered start taken as not run",
	"ack before write", "no wait for the former owner",
	"stopped task taken as unfinished", "write without compare",
	"started task rebound" };

struct context {
	cluster *w;
	int entry;
};
context contexts[2];

cluster *
of(void *ctx)
{
	return static_cast<context *>(ctx)->w;
}

int
entry_of(void *ctx)
{
	return static_cast<context *>(ctx)->entry;
}

int
index_of(const struct ledger_worker *w)
{
	return w->id[1] - '0';
}

call
new_call(call_kind kind, struct ledger *l, int worker)
{
	call c = {};

	c.kind = kind;
	c.worker = worker;
	c.epoch = l->epoch;
	return c;
}

call
task_call_of(call_kind kind, struct ledger *l, struct ledger_task *t)
{
	char id[LEDGER_TASK_ID_MAX];
	call c = new_call(kind, l, index_of(t->worker));

	ledger_task_id(t, id, sizeof(id));
	c.task = id;
	c.attempt = t->r.attempt;
	return c;
}

void
on_write(struct ledger *l, void *ctx)
{
	call c = new_call(WRITE, l, 0);
	struct ledger_task *t;
	char id[LEDGER_TASK_ID_MAX];

	c.record.head = {};
	c.record.head.change = ledger_begin_write(l, of(ctx)->now);
	strlcpy(
	    c.record.head.owner, ledger_owner(l), sizeof(c.record.head.owner));
	c.record.head.epoch = l->epoch;
	c.record.head.settled = l->settled;
	c.base = l->revision;
	c.deletes_item = !TAILQ_EMPTY(&l->items);
	RB_FOREACH (t, ledger_tree, &l->tree) {
		ledger_task_id(t, id, sizeof(id));
		if (ledger_task_in_record(t))
			c.record.tasks[id] = t->r;
	}
	of(ctx)->send(entry_of(ctx), c);
}

void
on_read(struct ledger *l, void *ctx)
{
	of(ctx)->send(entry_of(ctx), new_call(READ, l, 0));
}

void
on_fence(struct ledger *l, struct ledger_worker *w, void *ctx)
{
	of(ctx)->send(entry_of(ctx), new_call(FENCE, l, index_of(w)));
}

void
on_renew(struct ledger *l, struct ledger_worker *w, void *ctx)
{
	call c = new_call(RENEW, l, index_of(w));
	struct ledger_ack *ack;

	TAILQ_FOREACH (ack, &w->acks, link) {
		if (ack->sent)
			c.acks.push_back({ ack->task, ack->attempt });
	}
	of(ctx)->send(entry_of(ctx), c);
}

void
on_start(struct ledger *l, struct ledger_task *t, void *ctx)
{
	of(ctx)->send(entry_of(ctx), task_call_of(START, l, t));
}

void
on_stop(struct ledger *l, struct ledger_task *t, void *ctx)
{
	of(ctx)->send(entry_of(ctx), task_call_of(STOP, l, t));
}

void
on_checkpoint(struct ledger *l, struct ledger_task *t, void *ctx)
{
	of(ctx)->send(entry_of(ctx), task_call_of(CHECKPOINT, l, t));
}

void
on_stray(struct ledger *l, struct ledger_worker *w, const char *task,
    uint32_t attempt, void *ctx)
{
	call c = new_call(STOP, l, index_of(w));

	c.task = task;
	c.attempt = attempt;
	of(ctx)->send(entry_of(ctx), c);
}

void
on_outcome(struct ledger *, struct ledger_task *t, struct ledger_worker *,
    enum task_outcome outcome, void *ctx)
{
	char id[LEDGER_TASK_ID_MAX];

	ledger_task_id(t, id, sizeof(id));
	if (outcome == OUTCOME_INTERRUPTED)
		of(ctx)->interrupted.insert(id);
}

void
on_lost(struct ledger *, enum ledger_lost, void *ctx)
{
	of(ctx)->nodes[entry_of(ctx)].lost = true;
}

const struct ledger_actions actions = { on_write, on_read, on_fence, on_renew,
	on_start, on_stop, on_checkpoint, on_stray, ledger_pick_first_fit,
	on_outcome, nullptr, on_lost };

void
cluster::send(int e, call c)
{
	c.entry = e;
	c.generation = nodes[e].generation;
	c.request = true;
	c.waiting = true;
	c.sent_ms = now;
	calls.push_back(c);
}

void
cluster::acquire(int e)
{
	struct ledger_options opt = {};
	struct ledger *l;
	struct resources one = { 1, 1, 0 };

	contexts[e] = { this, e };
	opt.shard = "dc.r";
	opt.self = entry_ids[e];
	opt.lease_ms = LEASE;
	opt.margin_ms = MARGIN;
	opt.hold_ms = HOLD;
	opt.confirm_ms = 50;
	opt.call_timeout_ms = TIMEOUT;
	opt.renew_ms = 5;
	opt.retry_ms = 1;
	opt.ahead = 1;
	opt.lost_after = 1;
	opt.max_failures = 3;
	opt.max_no_room = 3;
	opt.actions = &actions;
	opt.ctx = &contexts[e];
	l = ledger_open(&opt);
	nodes[e].ledger = l;
	nodes[e].generation++;
	nodes[e].lost = false;
	for (auto &p : store.tasks)
		ledger_load_task(l, &p.second);
	for (auto &id : worker_ids)
		ledger_worker_set(l, id, &one, now);
	ledger_acquire(l, &store.head, revision == 1 ? 0 : revision, 0, now);
	if (injected == FAULT_NO_HOLD)
		l->settled = true;
}

/* Rebind a task although its start is in flight. */
void
move_started(struct ledger *l, struct ledger_worker *w, struct ledger_task *t)
{
	struct ledger_worker *to =
	    ledger_worker_find(l, worker_ids[1 - index_of(w)]);

	if (t->run != RUN_MAYBE || !t->reserved || !ledger_worker_usable(to) ||
	    to->waiting > 0 || to->room.used.cpu_millis > 0)
		return;
	room_release(&w->room, &t->r.size);
	w->waiting++;
	t->reserved = false;
	t->run = RUN_NO;
	t->call = CALL_NONE;
	ledger_rebind(l, t, to);
}

/* Disable the safeguard that the injected fault removes. */
void
cluster::inject_fault(struct ledger *l)
{
	struct ledger_worker *w;
	struct ledger_task *t, *next;
	struct ledger_ack *ack;

	if (injected == FAULT_START_FIRST && l->phase == LEDGER_OWNED)
		l->committed = l->change;
	TAILQ_FOREACH (w, &l->workers, link) {
		if (injected == FAULT_NO_FENCE)
			w->fenced = true;
		TAILQ_FOREACH (ack, &w->acks, link)
			if (injected == FAULT_EARLY_ACK)
				ack->changed_at = 0;
		TAILQ_FOREACH_SAFE(t, &w->tasks, link, next)
		{
			if (injected == FAULT_MOVE_STARTED)
				move_started(l, w, t);
			if ((injected == FAULT_NO_FENCE &&
				t->run == RUN_UNFENCED) ||
			    (injected == FAULT_EARLY_RELEASE &&
				t->call == CALL_STOP) ||
			    (injected == FAULT_LOST_START &&
				t->run == RUN_MAYBE && t->call == CALL_NONE) ||
			    (injected == FAULT_STOP_UNFINISHED &&
				t->run == RUN_STOPPED)) {
				t->run = RUN_NO;
				t->call = CALL_NONE;
				t->want = WANT_STOP;
			}
		}
	}
}

void
cluster::step(int e)
{
	struct ledger *l = nodes[e].ledger;
	struct task_record r = {};

	if (l == nullptr || nodes[e].paused)
		return;
	if (item && l->phase == LEDGER_OWNED && l->write != WRITE_UNKNOWN &&
	    TAILQ_EMPTY(&l->items) && ledger_find(l, "j", 0) == nullptr &&
	    l->ntasks == 0 && store.tasks.empty()) {
		strlcpy(r.job, "j", sizeof(r.job));
		r.size = { 1, 1, 0 };
		ledger_accept_item(l, "i", item_revision, 0, 0);
		for (r.index = 0; r.index < (uint32_t)ntasks; r.index++)
			ledger_accept(l, &r);
	}
	if (l->phase == LEDGER_OWNED)
		inject_fault(l);
	ledger_step(l, now);
	if (injected == FAULT_START_FIRST && !nodes[e].lost) {
		inject_fault(l);
		ledger_step(l, now);
	}
	if (nodes[e].lost) {
		ledger_close(l);
		nodes[e].ledger = nullptr;
	}
}

void
cluster::expire()
{
	for (auto &m : sim_workers) {
		for (size_t i = 0; i < m.running.size();) {
			run &r = m.running[i];
			if (r.lease_end > now) {
				i++;
				continue;
			}
			m.highest_ended[r.task] =
			    std::max(m.highest_ended[r.task], r.attempt);
			/*
			 * The top bit of the attempt means OUTCOME_INTERRUPTED.
			 */
			m.finished.push_back(
			    { r.task, r.attempt | 0x80000000U });
			m.running.erase(m.running.begin() + (long)i);
		}
	}
}

/* Advance the time; only the given entry, if any, reaches the workers. */
void
cluster::advance_time(int64_t step_ms, int reaches)
{
	if (reaches < 0)
		now += step_ms;
	for (int64_t i = 0; i < step_ms && reaches >= 0; i++) {
		now++;
		expire();
		for (size_t at = 0; at < calls.size();) {
			if (calls[at].entry != reaches ||
			    calls[at].kind >= WRITE)
				at++;
			else
				apply({ DELIVER, (int)at, 0 });
		}
		step(reaches);
	}
	expire();
	step(0);
	step(1);
}

void
cluster::handle_store_call(call &c)
{
	if (c.kind == READ) {
		c.record = store;
		c.revision = revision == 1 ? 0 : revision;
		return;
	}
	c.refused = injected != FAULT_NO_REVISION &&
	    (c.base != (revision == 1 ? 0 : revision) ||
		(c.deletes_item && !item));
	if (c.refused)
		return;
	revision++;
	store = c.record;
	if (c.deletes_item)
		item = false;
	c.revision = revision;
	for (auto &p : store.tasks) {
		if (p.second.attempt < highest_attempt[p.first])
			violation = "attempt number decreased";
		highest_attempt[p.first] = p.second.attempt;
	}
}

void
cluster::handle_worker_call(call &c)
{
	sim_worker &m = sim_workers[c.worker];
	auto same = [&c](const run &r) {
		return r.task == c.task && r.attempt == c.attempt;
	};
	auto it = std::find_if(m.running.begin(), m.running.end(), same);

	if (c.epoch < m.epoch && injected != FAULT_NO_EPOCH) {
		c.refused = true;
		c.seen_epoch = m.epoch;
		return;
	}
	m.epoch = std::max(m.epoch, c.epoch);
	c.result = RESULT_OK;
	switch (c.kind) {
	case RENEW:
		for (auto &r : m.running)
			r.lease_end = now + LEASE;
		for (auto &a : c.acks)
			m.finished.erase(
			    std::remove_if(m.finished.begin(), m.finished.end(),
				[&a](const auto &f) {
					return f.first == a.first &&
					    (f.second & 0x7fffffffU) ==
					    a.second;
				}),
			    m.finished.end());
		/* FALLTHROUGH */
	case FENCE:
		for (auto &r : m.running)
			c.running.push_back({ r.task, r.attempt });
		c.finished = m.finished;
		break;
	case START:
		if (it != m.running.end())
			break;
		if (m.highest_ended.count(c.task) &&
		    m.highest_ended[c.task] >= c.attempt) {
			c.result = RESULT_STALE;
			break;
		}
		if (!started[c.task].insert(c.attempt).second)
			violation = "attempt ran twice";
		if (done.count(c.task) && !interrupted.count(c.task))
			violation = "finished task ran again";
		m.running.push_back({ c.task, c.attempt, now + LEASE });
		break;
	default:
		if (it == m.running.end() && c.kind == CHECKPOINT)
			c.result = RESULT_UNKNOWN_TASK;
		else {
			if (it != m.running.end())
				m.running.erase(it);
			m.highest_ended[c.task] =
			    std::max(m.highest_ended[c.task], c.attempt);
		}
	}
}

void
cluster::answered_store(struct ledger *l, const call &c, bool no_answer)
{
	if (c.kind == READ) {
		ledger_read_done(l, no_answer ? nullptr : &c.record.head,
		    c.revision, c.sent_ms, now);
		return;
	}
	if (no_answer && injected == FAULT_NO_READ_BACK)
		ledger_write_done(l, l->revision + 1, c.sent_ms, now);
	else if (no_answer)
		ledger_write_unknown(l, now);
	else if (c.refused)
		ledger_write_refused(l);
	else
		ledger_write_done(l, c.revision, c.sent_ms, now);
}

std::vector<struct ledger_report>
reports(const std::vector<std::pair<std::string, uint32_t>> &list)
{
	std::vector<struct ledger_report> out;

	for (auto &p : list)
		out.push_back({ p.first.c_str(), p.second & 0x7fffffffU,
		    (p.second & 0x80000000U) ? OUTCOME_INTERRUPTED :
					       OUTCOME_DONE });
	return out;
}

void
cluster::answered_worker(struct ledger *l, const call &c, bool no_answer)
{
	struct ledger_worker *w = ledger_worker_find(l, worker_ids[c.worker]);
	call_result result = no_answer ? RESULT_NO_ANSWER : c.result;
	auto running = reports(c.running);
	auto finished = reports(c.finished);

	if (!no_answer && c.refused) {
		ledger_fenced(l, c.seen_epoch, now);
		return;
	}
	switch (c.kind) {
	case FENCE:
		if (no_answer)
			ledger_fence_failed(l, w, now);
		else
			ledger_fence_answered(l, w, running.data(),
			    running.size(), finished.data(), finished.size(),
			    now);
		break;
	case RENEW:
		if (no_answer)
			ledger_renew_failed(l, w, now);
		else
			ledger_renew_answered(l, w, running.data(),
			    running.size(), finished.data(), finished.size(),
			    now);
		break;
	case START:
		ledger_start_answered(
		    l, c.task.c_str(), c.attempt, result, now);
		break;
	case STOP:
		ledger_stop_answered(l, c.task.c_str(), c.attempt, result, now);
		break;
	default:
		ledger_checkpoint_answered(
		    l, c.task.c_str(), c.attempt, result, "c", 1, now);
	}
}

void
cluster::answered(const call &c, bool no_answer)
{
	node &n = nodes[c.entry];

	if (n.ledger == nullptr || n.generation != c.generation)
		return;
	if (c.kind == WRITE || c.kind == READ)
		answered_store(n.ledger, c, no_answer);
	else
		answered_worker(n.ledger, c, no_answer);
	step(c.entry);
}

std::vector<event>
cluster::enabled() const
{
	std::vector<event> out;

	for (int i = 0; i < (int)calls.size(); i++) {
		const call &c = calls[(size_t)i];
		bool paused = nodes[c.entry].paused;
		if (c.request || !paused)
			out.push_back({ DELIVER, i, 0 });
		if (c.waiting && !paused && remaining.give_ups > 0 &&
		    nodes[c.entry].generation == c.generation &&
		    nodes[c.entry].ledger != nullptr)
			out.push_back({ GIVE_UP, i, 0 });
	}
	for (int e = 0; e < 2; e++) {
		if (nodes[e].paused)
			out.push_back({ WAKE, e, 0 });
		else if (nodes[e].ledger != nullptr && remaining.pauses > 0)
			out.push_back({ PAUSE, e, 0 });
		if (nodes[e].ledger == nullptr && remaining.takes > 0)
			out.push_back({ TAKE, e, 0 });
	}
	for (int e = -1; e < 2; e++) {
		if (e >= 0 && (nodes[e].paused || nodes[e].ledger == nullptr))
			continue;
		if (remaining.ticks > 0)
			out.push_back({ TICK, e, 0 });
		if (remaining.long_ticks > 0)
			out.push_back({ LONG_TICK, e, 0 });
	}
	for (int e = 0; e < 2 && remaining.evicts > 0; e++) {
		for (int i = 0; i < ntasks && nodes[e].ledger != nullptr &&
		     !nodes[e].paused;
		     i++) {
			struct ledger_task *t =
			    ledger_find(nodes[e].ledger, "j", (uint32_t)i);
			if (t != nullptr && t->worker != nullptr &&
			    t->run != RUN_UNFENCED && t->want != WANT_STOP)
				out.push_back({ EVICT, e, i });
		}
	}
	for (int e = 0; e < 2 && remaining.evicts > 0; e++) {
		if (nodes[e].ledger != nullptr && !nodes[e].paused)
			out.push_back({ LEAVE, e, 0 });
	}
	for (int m = 0; m < 2 && remaining.finishes > 0; m++)
		for (int i = 0; i < (int)sim_workers[m].running.size(); i++)
			out.push_back({ FINISH, m, i });
	return out;
}

void
cluster::apply(const event &ev)
{
	switch (ev.kind) {
	case DELIVER: {
		call c = calls[(size_t)ev.a];
		calls.erase(calls.begin() + ev.a);
		if (!c.request) {
			answered(c, false);
			break;
		}
		if (c.kind == WRITE || c.kind == READ)
			handle_store_call(c);
		else
			handle_worker_call(c);
		c.request = false;
		if (c.waiting)
			calls.push_back(c);
		break;
	}
	case GIVE_UP: {
		call c = calls[(size_t)ev.a];
		remaining.give_ups--;
		if (c.request)
			calls[(size_t)ev.a].waiting = false;
		else
			calls.erase(calls.begin() + ev.a);
		answered(c, true);
		break;
	}
	case PAUSE:
		remaining.pauses--;
		nodes[ev.a].paused = true;
		break;
	case WAKE:
		nodes[ev.a].paused = false;
		step(ev.a);
		break;
	case TAKE:
		remaining.takes--;
		acquire(ev.a);
		step(ev.a);
		break;
	case TICK:
	case LONG_TICK:
		if (ev.kind == TICK)
			remaining.ticks--;
		else
			remaining.long_ticks--;
		advance_time(
		    ev.kind == TICK ? LEASE * 2 + MARGIN + TIMEOUT : HOLD,
		    ev.a);
		break;
	case EVICT:
		remaining.evicts--;
		ledger_evict(nodes[ev.a].ledger,
		    ledger_find(nodes[ev.a].ledger, "j", (uint32_t)ev.b),
		    WANT_STOP, "test");
		step(ev.a);
		break;
	case LEAVE:
		remaining.evicts--;
		ledger_worker_set_draining(
		    ledger_worker_find(nodes[ev.a].ledger, worker_ids[ev.b]),
		    true);
		step(ev.a);
		break;
	case FINISH: {
		sim_worker &m = sim_workers[ev.a];
		run r = m.running[(size_t)ev.b];
		remaining.finishes--;
		m.running.erase(m.running.begin() + ev.b);
		m.highest_ended[r.task] =
		    std::max(m.highest_ended[r.task], r.attempt);
		m.finished.push_back({ r.task, r.attempt });
		done.insert(r.task);
		break;
	}
	}
	check();
}

void
cluster::check()
{
	std::map<std::string, int> where;

	for (auto &m : sim_workers) {
		if (m.running.size() > 1)
			violation = "worker over its capacity";
		for (auto &r : m.running) {
			if (++where[r.task] > 1)
				violation = "task runs on two workers";
		}
	}
	for (int i = 0; i < ntasks; i++) {
		std::string id = "j/" + std::to_string(i);
		if (!item && !store.tasks.count(id) && !done.count(id))
			violation = "accepted task lost";
	}
}

/*
 * Continue without faults: all calls are delivered and every task must finish.
 */
void
cluster::run_to_completion()
{
	remaining = { 0, 0, 100, 1000, 0, 0, 1000 };
	nodes[0].paused = nodes[1].paused = false;
	for (int round = 0; round < 300 && violation.empty(); round++) {
		if (done.size() == (size_t)ntasks && store.tasks.empty())
			return;
		if (nodes[0].ledger == nullptr && nodes[1].ledger == nullptr)
			apply({ TAKE, 0, 0 });
		for (int i = 0; i < 20 && !calls.empty(); i++)
			apply({ DELIVER, 0, 0 });
		for (int m = 0; m < 2; m++)
			if (!sim_workers[m].running.empty())
				apply({ FINISH, m, 0 });
		/* Advance the time so that retries and renewals become due. */
		now += 1;
		expire();
		step(0);
		step(1);
	}
	if (violation.empty())
		violation = "a task never finished";
}

} // namespace ledger_world

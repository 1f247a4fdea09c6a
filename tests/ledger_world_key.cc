#include "ledger_world.h"

#include <algorithm>

/* Encodes the state of the cluster as text; equal states have equal texts. */
namespace ledger_world {

static void
put(std::string &out, int64_t value)
{
	out += std::to_string(value);
	out += ' ';
}

static std::string
call_key(const cluster &w, const call &c)
{
	std::string out;

	put(out, c.kind * 8 + c.entry * 4 + c.request * 2 + c.waiting);
	put(out, w.nodes[c.entry].generation - c.generation);
	put(out, c.worker);
	put(out, (int64_t)c.epoch);
	out += c.task;
	put(out, c.attempt);
	put(out, c.base);
	put(out, c.refused * 16 + c.result);
	put(out, c.kind == WRITE || c.kind == READ ? c.sent_ms : 0);
	put(out, c.revision);
	put(out, (int64_t)c.record.head.change);
	for (auto &list : { c.acks, c.running, c.finished }) {
		for (auto &p : list) {
			out += p.first;
			put(out, p.second);
		}
		out += ';';
	}
	for (auto &p : c.record.tasks) {
		out += p.second.worker;
		put(out, p.second.attempt);
	}
	return out;
}

static std::string
ledger_key(const struct ledger *l)
{
	std::string out;
	struct ledger_worker *w;
	struct ledger_task *t;

	put(out,
	    l->phase * 64 + l->write * 8 + l->reading * 4 +
		l->higher_epoch_seen * 2 + l->store_unavailable);
	put(out, (int64_t)l->epoch);
	put(out, l->revision);
	put(out, (int64_t)l->change);
	put(out, (int64_t)l->written);
	put(out, (int64_t)l->committed);
	put(out, l->confirmed_ms);
	put(out, l->taken_ms);
	put(out, l->settled);
	TAILQ_FOREACH (w, &l->workers, link) {
		struct ledger_ack *ack;
		put(out,
		    w->fenced * 16 + w->fence_call * 8 + w->renew_call * 4 +
			w->fence_wanted * 2 + w->lost);
		put(out, w->waiting * 2 + w->draining);
		put(out, w->room.used.cpu_millis);
		put(out, w->heard_ms);
		put(out, w->lease_sent_ms);
		put(out, w->renew_at_ms);
		put(out, w->fence_at_ms);
		TAILQ_FOREACH (ack, &w->acks, link) {
			out += ack->task;
			put(out, ack->attempt * 2 + ack->sent);
			put(out, (int64_t)ack->changed_at);
		}
	}
	RB_FOREACH (t, ledger_tree, const_cast<ledger_tree *>(&l->tree)) {
		out += t->r.worker;
		put(out, t->r.attempt);
		put(out,
		    t->r.state * 512 + t->run * 64 + t->call * 16 +
			t->want * 4 + t->reserved * 2 + t->fence_covers);
		put(out, t->repeat);
		put(out, (int64_t)t->changed_at);
		put(out, t->retry_at_ms);
		put(out, t->r.evictions);
	}
	return out;
}

std::string
cluster::key() const
{
	std::vector<std::string> keys;
	std::string out;

	put(out, now);
	put(out, revision);
	put(out, (int64_t)store.head.epoch);
	out += store.head.owner;
	put(out, item);
	for (int b : { remaining.give_ups, remaining.pauses, remaining.takes,
		 remaining.ticks, remaining.long_ticks, remaining.evicts,
		 remaining.finishes })
		put(out, b);
	for (auto &p : store.tasks) {
		out += p.second.worker;
		put(out, p.second.attempt);
	}
	for (auto &n : nodes) {
		put(out, n.paused);
		out += n.ledger != nullptr ? ledger_key(n.ledger) : "-";
	}
	for (auto &m : sim_workers) {
		put(out, (int64_t)m.epoch);
		for (auto &r : m.running) {
			out += r.task;
			put(out, r.attempt);
			put(out, r.lease_end);
		}
		for (auto &p : m.highest_ended) {
			out += p.first;
			put(out, p.second);
		}
		for (auto &p : m.finished) {
			out += p.first;
			put(out, p.second);
		}
	}
	for (auto &c : calls)
		keys.push_back(call_key(*this, c));
	std::sort(keys.begin(), keys.end());
	for (auto &k : keys)
		out += k;
	for (auto &t : interrupted)
		out += t;
	return out;
}

} // namespace ledger_world

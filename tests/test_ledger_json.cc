#include <gtest/gtest.h>

#include <string>

extern "C" {
#include <stdlib.h>

#include "ledger_json.h"
}

namespace {

struct task_record
record(uint32_t index, const char *worker)
{
	struct task_record r = {};

	strlcpy(r.job, "j", sizeof(r.job));
	strlcpy(r.worker, worker, sizeof(r.worker));
	strlcpy(r.last_worker, "w9", sizeof(r.last_worker));
	strlcpy(r.checkpoint, "c \"1\"", sizeof(r.checkpoint));
	r.index = index;
	r.attempt = 4;
	r.state = worker[0] == '\0' ? TASK_PENDING : TASK_BOUND;
	r.evictions = 2;
	r.failures = 1;
	r.moves = 3;
	r.urgent = true;
	r.cancel = true;
	r.size = { 100, 200, 1 };
	r.run_ms = 77;
	return r;
}

std::string
sample()
{
	struct ledger_head head = { "e1", 7, 9, true };
	struct ledger_job job = {};
	struct task_record a = record(0, "w1"), b = record(1, "");
	struct ledger_text *text = ledger_text_open(&head);

	strlcpy(job.id, "j", sizeof(job.id));
	job.done = 5;
	ledger_text_task(text, &a);
	ledger_text_task(text, &b);
	ledger_text_job(text, &job);
	char *out = ledger_text_close(text);
	std::string s = out;
	free(out);
	return s;
}

TEST(LedgerJson, GoesThereAndBack)
{
	struct ledger_fault fault;
	struct ledger_doc doc;
	struct task_record a = record(0, "w1"), b = record(1, "");
	std::string s = sample();

	ASSERT_EQ(ledger_json_parse(s.c_str(), s.size(), &doc, &fault),
	    LEDGER_JSON_OK)
	    << fault.field;
	EXPECT_STREQ(doc.head.owner, "e1");
	EXPECT_EQ(doc.head.epoch, 7U);
	EXPECT_EQ(doc.head.change, 9U);
	EXPECT_TRUE(doc.head.settled);
	ASSERT_EQ(doc.ntasks, 2U);
	EXPECT_EQ(memcmp(&doc.tasks[0], &a, sizeof(a)), 0);
	EXPECT_EQ(memcmp(&doc.tasks[1], &b, sizeof(b)), 0);
	ASSERT_EQ(doc.njobs, 1U);
	EXPECT_EQ(doc.jobs[0].done, 5U);
	ledger_doc_free(&doc);
}

/* A truncated record is refused, and an invalid field is named. */
TEST(LedgerJson, RefusesWhatIsNotWhole)
{
	const struct {
		const char *from, *to, *field;
		enum ledger_json_error error;
	} cases[] = {
		{ "\"schema\":1", "\"schema\":2", "schema",
		    LEDGER_JSON_ERR_SCHEMA },
		{ "\"epoch\":7", "\"epoch\":-7", "epoch",
		    LEDGER_JSON_ERR_FIELD },
		{ "\"attempt\":4", "\"attempt\":\"4\"", "attempt",
		    LEDGER_JSON_ERR_FIELD },
		{ "\"state\":\"bound\"", "\"state\":\"odd\"", "state",
		    LEDGER_JSON_ERR_FIELD },
		{ "\"worker\":\"w1\"", "\"worker\":\"\"", "worker",
		    LEDGER_JSON_ERR_FIELD },
		{ "\"jobs\":[", "\"job\":[", "jobs", LEDGER_JSON_ERR_FIELD },
	};
	struct ledger_fault fault;
	struct ledger_doc doc;
	std::string whole = sample();

	for (size_t n = 0; n < whole.size(); n++)
		EXPECT_EQ(ledger_json_parse(whole.c_str(), n, &doc, &fault),
		    LEDGER_JSON_ERR_JSON);
	for (auto &c : cases) {
		std::string s = whole;
		s.replace(s.find(c.from), strlen(c.from), c.to);
		EXPECT_EQ(ledger_json_parse(s.c_str(), s.size(), &doc, &fault),
		    c.error)
		    << s;
		EXPECT_STREQ(fault.field, c.field);
		EXPECT_EQ(doc.tasks, nullptr);
	}
}

TEST(LedgerJson, InboxItemsGoThereAndBack)
{
	char jobs[2][LEDGER_ID_MAX] = { "j1", "j2" };
	struct inbox_item job = {}, task = {}, cancel = {};
	struct ledger_fault fault;

	job.kind = INBOX_JOB;
	strlcpy(job.job, "j1", sizeof(job.job));
	job.first = 3;
	job.count = 4;
	task.kind = INBOX_TASK;
	task.task = record(5, "");
	cancel.kind = INBOX_CANCEL;
	cancel.jobs = jobs;
	cancel.njobs = 2;
	for (auto *item : { &job, &task, &cancel }) {
		struct inbox_item back;
		char *text = inbox_item_text(item);
		ASSERT_EQ(inbox_item_parse(text, strlen(text), &back, &fault),
		    LEDGER_JSON_OK)
		    << text << fault.field;
		EXPECT_EQ(back.kind, item->kind);
		EXPECT_STREQ(back.job, item->job);
		EXPECT_EQ(back.first, item->first);
		EXPECT_EQ(back.count, item->count);
		EXPECT_EQ(
		    memcmp(&back.task, &item->task, sizeof(back.task)), 0);
		ASSERT_EQ(back.njobs, item->njobs);
		for (size_t i = 0; i < back.njobs; i++)
			EXPECT_STREQ(back.jobs[i], jobs[i]);
		inbox_item_free(&back);
		free(text);
	}
}

} // namespace

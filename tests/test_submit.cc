#include <cstring>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "mutate.h"

extern "C" {
#include "codec.h"
#include "submit.h"
#include "config.h"
#include "counter.h"
}

namespace {

const char kJob[] =
    "{\"spec\":\"do it\",\"phases\":[{\"count\":4,\"cpu\":500,"
    "\"mem_mb\":256,\"estimated_ms\":900,\"affinity\":\"r1-3\"},"
    "{\"count\":20,\"cpu\":2000,\"mem_mb\":1024,\"gpus\":1,"
    "\"estimated_ms\":7000,\"after\":[0],\"checkpointing\":true,"
    "\"image\":\"i\",\"fills\":true,\"anti_affinity\":2}],"
    "\"repeat_count\":3,\"start_at_ms\":1780000000000,"
    "\"interval_ms\":2000}";

const char kConfig[] =
    "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.example\","
    "\"prefix\":\"/p/\",\"priority\":0,\"service\":\"s\","
    "\"max_attempts\":4,\"stretch\":1.5,\"target_latency_ms\":250},"
    "{\"name\":\"b\",\"host\":\"h.example\",\"prefix\":\"/p/q/\","
    "\"priority\":2,\"service\":\"s\",\"max_attempts\":2,"
    "\"stretch\":2,\"target_latency_ms\":1000}],\"services\":[],"
    "\"limits\":{\"max_body_bytes\":1000}}";

const char kWorker[] =
    "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
    "\"state\":\"draining\",\"remaining_ms\":900,\"capacity\":"
    "{\"cpu\":16000,\"mem_mb\":32768,\"gpus\":1},"
    "\"labels\":[\"a\",\"r1-3\"],\"sequence\":4}";

enum submit_error
Decode(const std::string &body, std::string *field = nullptr)
{
	struct graph *job;
	const char *name;
	enum submit_error error =
	    submit_decode(body.data(), body.size(), &job, &name);

	if (field != nullptr)
		*field = name;
	EXPECT_EQ(error == SUBMIT_OK, job != nullptr);
	graph_free(job);
	return error;
}

std::string
With(const std::string &step)
{
	return "{\"spec\":\"x\",\"phases\":[" + step + "]}";
}

} // namespace

TEST(Submit, DecodesAJobWhole)
{
	const char *field;
	struct graph *g;

	ASSERT_EQ(submit_decode(kJob, strlen(kJob), &g, &field), SUBMIT_OK);
	EXPECT_STREQ(g->payload, "do it");
	ASSERT_EQ(g->nsteps, 2u);
	EXPECT_EQ(g->steps[0].count, 4u);
	EXPECT_STREQ(g->steps[0].rack, "r1-3");
	EXPECT_EQ(g->steps[1].size.cpu_millis, 2000);
	EXPECT_EQ(g->steps[1].size.accelerators, 1);
	EXPECT_TRUE(g->steps[1].checkpoints);
	EXPECT_TRUE(g->steps[1].filler);
	EXPECT_EQ(g->steps[1].per_worker, 2u);
	ASSERT_EQ(g->steps[1].nafter, 1u);
	EXPECT_EQ(g->repeats, 3u);
	EXPECT_EQ(graph_due_ms(g, 2), 1780000004000);
	graph_free(g);
}

TEST(Submit, RefusesByTheNameOfTheField)
{
	std::string field;

	EXPECT_EQ(Decode("not json"), SUBMIT_ERR_JSON);
	EXPECT_EQ(Decode("[]"), SUBMIT_ERR_JSON);
	EXPECT_EQ(Decode("{}", &field), SUBMIT_ERR_FIELD);
	EXPECT_EQ(field, "phases");
	EXPECT_EQ(Decode(With("{\"count\":0}"), &field), SUBMIT_ERR_FIELD);
	EXPECT_EQ(field, "count");
	EXPECT_EQ(
	    Decode(With("{\"count\":1,\"cpu\":-1}"), &field), SUBMIT_ERR_FIELD);
	EXPECT_EQ(field, "cpu");
	EXPECT_EQ(Decode(With("{\"count\":1,\"after\":[0]}"), &field),
	    SUBMIT_ERR_FIELD);
	EXPECT_EQ(field, "after");
	EXPECT_EQ(
	    Decode(With("{\"count\":1,\"gang\":1}"), &field), SUBMIT_ERR_FIELD);
	EXPECT_EQ(field, "gang");
	EXPECT_EQ(Decode("{\"spec\":\"" + std::string(4001, 'x') +
			  "\",\"phases\":[{\"count\":1}]}",
		      &field),
	    SUBMIT_ERR_FIELD);
	EXPECT_EQ(field, "spec");
}

TEST(Submit, UnknownFieldsAreLeftOut)
{
	EXPECT_EQ(Decode(With("{\"count\":1,\"new\":{\"a\":[1]}}")), SUBMIT_OK);
}

TEST(Submit, NoBytesEndTheProcess)
{
	std::mt19937 random(1);

	for (int i = 0; i < 30000; i++)
		Decode(Mutate(random, kJob));
}

TEST(PlatformConfig, RoutesByHostAndLongestPrefix)
{
	struct platform_config *w = platform_config_open();
	const struct entry_config *config;
	struct platform_ops ops;
	size_t len;

	platform_config_ops(w, &ops);
	ASSERT_EQ(ops.config(
		      ops.self, "op/config", kConfig, strlen(kConfig), &config),
	    CONFIG_NEWER);
	EXPECT_EQ(config->version, 7);
	EXPECT_EQ(platform_config_body_max(w), 1000u);
	EXPECT_STREQ(
	    platform_config_route(w, "h.example:80", "/p/1", &len)->name, "a");
	EXPECT_STREQ(
	    platform_config_route(w, "H.EXAMPLE", "/p/q/1", &len)->name, "b");
	EXPECT_EQ(len, strlen("/p/q/"));
	EXPECT_EQ(platform_config_route(w, "other", "/p/1", &len), nullptr);
	EXPECT_EQ(platform_config_route(w, "h.example", "/x", &len), nullptr);
	// An older version, as a slow read may return it, is ignored.
	EXPECT_EQ(ops.config(
		      ops.self, "op/config", kConfig, strlen(kConfig), &config),
	    CONFIG_NOT_NEWER);
	EXPECT_EQ(ops.config(
		      ops.self, "op/wave/1", kConfig, strlen(kConfig), &config),
	    CONFIG_OTHER);
	platform_config_close(w);
}

// Guards against a long name keeping all later versions out of force.
TEST(PlatformConfig, LongHostsAndPrefixesAreTaken)
{
	struct platform_config *w = platform_config_open();
	const struct entry_config *config;
	struct platform_ops ops;
	std::string host(253, 'h'), prefix = "/" + std::string(198, 'p') + "/";
	std::string text = "{\"version\":8,\"routes\":[{\"name\":\"a\","
			   "\"host\":\"" +
	    host + "\",\"prefix\":\"" + prefix +
	    "\",\"service\":\"s\"}],\"services\":[]}";
	size_t len;

	platform_config_ops(w, &ops);
	EXPECT_EQ(ops.config(
		      ops.self, "op/config", text.data(), text.size(), &config),
	    CONFIG_NEWER);
	EXPECT_NE(platform_config_route(
		      w, host.c_str(), (prefix + "1").c_str(), &len),
	    nullptr);
	platform_config_close(w);
}

// Guards against an invalid version taking effect in part, and against a line
// and a count for each read of it.
TEST(PlatformConfig, AnInvalidVersionChangesNothingAndIsCountedOnce)
{
	struct platform_config *w = platform_config_open();
	const struct entry_config *config;
	struct platform_ops ops;
	std::string text = kConfig;
	size_t len;

	counter_reset();
	platform_config_ops(w, &ops);
	ASSERT_EQ(ops.config(
		      ops.self, "op/config", text.data(), text.size(), &config),
	    CONFIG_NEWER);
	text.replace(text.find("\"version\":7"), 11, "\"version\":9");
	text.replace(text.find("\"host\":"), 7, "\"hast\":");
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(ops.config(ops.self, "op/config", text.data(),
			      text.size(), &config),
		    CONFIG_INVALID);
	EXPECT_EQ(counter_value(counter_get(
		      "lagoonpin_config_refused", "reason=\"field\"")),
	    1u);
	EXPECT_NE(platform_config_route(w, "h.example", "/p/1", &len), nullptr);
	EXPECT_EQ(platform_config_body_max(w), 1000u);
	platform_config_close(w);
}

TEST(PlatformConfig, ReadsAWorker)
{
	struct platform_config *w = platform_config_open();
	struct worker_info info;
	struct platform_ops ops;

	platform_config_ops(w, &ops);
	memset(&info, 0, sizeof(info));
	ASSERT_TRUE(ops.worker(
	    ops.self, "servers/i-1", kWorker, strlen(kWorker), &info));
	EXPECT_STREQ(info.id, "i-1");
	EXPECT_EQ(info.capacity.memory_mib, 32768);
	EXPECT_TRUE(info.draining);
	EXPECT_EQ(info.leaves_in_ms, 900);
	EXPECT_EQ(info.nlabels, 2u);
	EXPECT_FALSE(
	    ops.worker(ops.self, "other/i-1", kWorker, strlen(kWorker), &info));
	platform_config_close(w);
}

TEST(PlatformConfig, WorkersOfAServiceThatChecksAdmissionGuardTheirRoom)
{
	struct platform_config *w = platform_config_open();
	const struct entry_config *config;
	std::string text =
	    "{\"version\":8,\"routes\":[],\"services\":[{\"name\":\"s\","
	    "\"admission_check\":true},{\"name\":\"t\"}]}";
	std::string worker = kWorker;
	struct worker_info info;
	struct platform_ops ops;

	platform_config_ops(w, &ops);
	ASSERT_EQ(ops.config(
		      ops.self, "op/config", text.data(), text.size(), &config),
	    CONFIG_NEWER);
	ASSERT_TRUE(ops.worker(
	    ops.self, "servers/i-1", worker.data(), worker.size(), &info));
	EXPECT_TRUE(info.guards_room);
	worker.replace(
	    worker.find("\"service\":\"s\""), 13, "\"service\":\"t\"");
	ASSERT_TRUE(ops.worker(
	    ops.self, "servers/i-1", worker.data(), worker.size(), &info));
	EXPECT_FALSE(info.guards_room);
	text.replace(text.find("\"version\":8"), 11, "\"version\":9");
	text.replace(text.find("true"), 4, "7");
	EXPECT_EQ(ops.config(
		      ops.self, "op/config", text.data(), text.size(), &config),
	    CONFIG_INVALID);
	platform_config_close(w);
}

// Guards against a key that names no data centre and closes all of them.
TEST(PlatformConfig, AClosureNamesADataCenterOrIsPassedOver)
{
	struct platform_config *w = platform_config_open();
	std::string too_long(GRAPH_NAME_MAX, 'x');
	struct platform_ops ops;

	platform_config_ops(w, &ops);
	EXPECT_STREQ(ops.closure(ops.self, "op/evacuate/sala-sur"), "sala-sur");
	EXPECT_EQ(ops.closure(ops.self, "op/evacuate/"), nullptr);
	EXPECT_EQ(ops.closure(ops.self, ("op/evacuate/" + too_long).c_str()),
	    nullptr);
	EXPECT_EQ(ops.closure(ops.self, "op/config"), nullptr);
	EXPECT_EQ(ops.closure(ops.self, "op/wave/1"), nullptr);
	platform_config_close(w);
}

TEST(PlatformConfig, AWorkersTimeOfWritingIsRead)
{
	struct platform_config *w = platform_config_open();
	std::string worker = kWorker;
	struct worker_info info;
	struct platform_ops ops;

	platform_config_ops(w, &ops);
	memset(&info, 0, sizeof(info));
	ASSERT_TRUE(ops.worker(
	    ops.self, "servers/i-1", worker.data(), worker.size(), &info));
	EXPECT_EQ(info.written_ms, 0);
	worker.insert(1, "\"clock_ms\":482113,");
	ASSERT_TRUE(ops.worker(
	    ops.self, "servers/i-1", worker.data(), worker.size(), &info));
	EXPECT_EQ(info.written_ms, 482113);
	worker.replace(worker.find("482113"), 6, "-1");
	EXPECT_FALSE(ops.worker(
	    ops.self, "servers/i-1", worker.data(), worker.size(), &info));
	platform_config_close(w);
}

TEST(PlatformConfig, NoBytesEndTheProcess)
{
	struct platform_config *w = platform_config_open();
	std::mt19937 random(2);
	struct platform_ops ops;

	platform_config_ops(w, &ops);
	for (int i = 0; i < 20000; i++) {
		const struct entry_config *config;
		struct worker_info info;
		std::string text = Mutate(random, kConfig);
		ops.config(
		    ops.self, "op/config", text.data(), text.size(), &config);
		memset(&info, 0, sizeof(info));
		text = Mutate(random, kWorker);
		ops.worker(
		    ops.self, "servers/i", text.data(), text.size(), &info);
	}
	platform_config_close(w);
}

TEST(Codec, AJobIsReadAsItWasWritten)
{
	const char *field;
	struct graph *g, *again;
	char *text, *twice;
	size_t len, len2;

	ASSERT_EQ(submit_decode(kJob, strlen(kJob), &g, &field), SUBMIT_OK);
	strlcpy(g->id, "a", sizeof(g->id));
	strlcpy(g->queue, "q", sizeof(g->queue));
	strlcpy(g->terms.service, "s", sizeof(g->terms.service));
	g->terms.max_attempts = 4;
	g->terms.stretch = 1.5;
	text = codec_graph(g, &len);
	again = codec_read_graph(text, len);
	ASSERT_NE(again, nullptr);
	twice = codec_graph(again, &len2);
	EXPECT_STREQ(text, twice);
	free(text);
	free(twice);
	graph_free(g);
	graph_free(again);
}

TEST(Codec, DamagedTextIsNoJob)
{
	std::mt19937 random(3);
	const char *field;
	struct graph *g;
	char *text;
	size_t len;

	ASSERT_EQ(submit_decode(kJob, strlen(kJob), &g, &field), SUBMIT_OK);
	text = codec_graph(g, &len);
	graph_free(g);
	for (int i = 0; i < 20000; i++) {
		std::string damaged = Mutate(random, std::string(text, len));
		graph_free(codec_read_graph(damaged.data(), damaged.size()));
	}
	free(text);
}

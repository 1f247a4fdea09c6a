// Tests of the format of the VM list, and of VMs that are absent from it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "fleet.h"
#include "vmlist.h"
}

namespace {

const char *const kWorker =
    R"({"id":"w1","kind":"worker","ip":"127.0.0.1","control_port":1,)"
    R"("endpoint_port":2,"data_center":"sala-sur","rack":"r1",)"
    R"("state":"live","services":["custodio"],"cpu_millis":32000,)"
    R"("memory_mib":125000,"accelerators":0,"slots":8,"connections":64})";

class FleetTest : public testing::Test {
      protected:
	struct fleet *fleet = nullptr;
	std::vector<std::string> changes;

	void
	SetUp() override
	{
		struct fleet_options options = {};

		options.gone_after_ms = 1000;
		options.ctx = this;
		options.on_change = [](struct vm *v, enum fleet_change c,
					void *ctx) {
			((FleetTest *)ctx)
			    ->changes.push_back(std::string(v->info.id) + " " +
				std::to_string(c) + " " +
				vm_state_name(v->info.state));
		};
		fleet = fleet_open(&options);
	}

	void
	TearDown() override
	{
		fleet_close(fleet);
	}

	static struct vm_info
	worker(const char *id, enum vm_state state)
	{
		struct vm_info info;

		memset(&info, 0, sizeof(info));
		strlcpy(info.id, id, sizeof(info.id));
		strlcpy(info.data_center, "dc", sizeof(info.data_center));
		strlcpy(info.rack, "r1", sizeof(info.rack));
		info.state = state;
		return info;
	}
};

// A worker is absent from one list, returns, and is then absent permanently.
// Its tasks may be started elsewhere only once it counts as gone, so one
// absence must not have that effect, and a second one restarts the timeout.
TEST_F(FleetTest, OneAbsenceIsNotGone)
{
	struct vm_info info = worker("w1", VM_LIVE);

	ASSERT_EQ(0, fleet_apply(fleet, &info, 1, 0));
	ASSERT_EQ(0, fleet_apply(fleet, nullptr, 0, 900));
	ASSERT_EQ(0, fleet_apply(fleet, &info, 1, 1000));
	ASSERT_EQ(0, fleet_apply(fleet, nullptr, 0, 1500));
	ASSERT_EQ(0, fleet_apply(fleet, nullptr, 0, 2499));
	EXPECT_EQ(VM_LIVE, fleet_find(fleet, "w1")->info.state);
	ASSERT_EQ(0, fleet_apply(fleet, nullptr, 0, 2500));
	EXPECT_EQ(VM_GONE, fleet_find(fleet, "w1")->info.state);
	EXPECT_EQ(2500, fleet_find(fleet, "w1")->gone_ms);
	EXPECT_EQ(0u, fleet_find_shard(fleet, "dc.r1")->nworkers);
}

TEST_F(FleetTest, TellsChangesOnce)
{
	struct vm_info infos[2] = { worker("w1", VM_LIVE),
		worker("w2", VM_LIVE) };

	fleet_apply(fleet, infos, 2, 0);
	fleet_apply(fleet, infos, 2, 1);
	infos[1].state = VM_LEAVING;
	fleet_apply(fleet, infos, 2, 2);
	infos[1].state = VM_GONE;
	infos[0].control_port = 5;
	fleet_apply(fleet, infos, 2, 3);
	EXPECT_EQ((std::vector<std::string>{ "w1 0 live", "w2 0 live",
		      "w2 1 leaving", "w1 2 live", "w2 1 gone" }),
	    changes);
	EXPECT_EQ(1u, fleet_find_shard(fleet, "dc.r1")->nworkers);
}

std::string
List(const std::string &rows)
{
	return "{\"vms\":[" + rows + "]}";
}

// kWorker with one part replaced.
std::string
With(const std::string &from, const std::string &to)
{
	std::string text = kWorker;
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

std::string
Repeat(const std::string &part, int n)
{
	std::string text;

	for (int i = 0; i < n; i++)
		text += part;
	return text;
}

const struct OddField {
	const char *from;
	std::string to;
	const char *field;
} kOddFields[] = {
	{ "\"w1\"", "\"\"", "id" },
	{ "\"w1\"", "\"w\\n1\"", "id" },
	{ "\"w1\"", "\"w\\u00001\"", "not_json" },
	{ "\"127.0.0.1\"", "\"127.0.0.1/x\"", "ip" },
	{ "\"127.0.0.1\"", "\"127.0.0.1 \"", "ip" },
	{ "\"kind\":\"worker\"", "\"kind\":\"x\"", "kind" },
	{ "\"control_port\":1", "\"control_port\":70000", "control_port" },
	{ "\"control_port\":1", "\"control_port\":65536", "control_port" },
	{ "\"control_port\":1", "\"control_port\":99999999999",
	    "control_port" },
	{ "\"control_port\":1", "\"control_port\":99999999999999999999",
	    "not_json" },
	{ "\"endpoint_port\":2", "\"endpoint_port\":-1", "endpoint_port" },
	{ "\"endpoint_port\":2", "\"endpoint_port\":1e999", "not_json" },
	{ "\"endpoint_port\":2", "\"endpoint_port\":2,\"endpoint_port\":2",
	    "not_json" },
	{ "\"slots\":8", "\"slots\":-1", "slots" },
	{ "\"slots\":8",
	    "\"slots\":" + Repeat("[", 100000) + Repeat("]", 100000),
	    "not_json" },
	{ "\"slots\":8",
	    "\"slots\":" + Repeat("{\"a\":", 100000) + "1" +
		Repeat("}", 100000),
	    "not_json" },
	{ "\"memory_mib\":125000", "\"memory_mib\":\"1\"", "memory_mib" },
	{ "[\"custodio\"]", "[7]", "services" },
	{ "[\"custodio\"]", "[\"" + std::string(1 << 20, 'c') + "\"]",
	    "services" },
	{ "\"rack\":\"r1\",", "", "rack" },
	{ "\"rack\":\"r1\",", "\"rack\":\"" + std::string(1 << 20, 'r') + "\",",
	    "rack" },
};

TEST(VmlistTest, ParsesAWorker)
{
	std::string text = List(kWorker);
	struct fleet_list list;

	ASSERT_EQ(VMLIST_OK, vmlist_parse(text.data(), text.size(), &list));
	ASSERT_EQ(1u, list.n);
	EXPECT_STREQ("custodio", list.infos[0].services[0]);
	EXPECT_EQ(64, list.infos[0].connections);
	EXPECT_EQ(0u, list.nrefused);
	vmlist_free(&list);
}

// Guards against one VM with a field that can't be used that makes the whole
// list unreadable: it then becomes old, and no VM that comes or goes is seen.
TEST(VmlistTest, ABadFieldLeavesTheOtherVms)
{
	for (const auto &c : kOddFields) {
		std::string text = List(With("w1", "w0") + " , " +
		    With(c.from, c.to) + "," + With("w1", "w2"));
		struct fleet_list list;

		ASSERT_EQ(
		    VMLIST_OK, vmlist_parse(text.data(), text.size(), &list))
		    << c.field;
		ASSERT_EQ(2u, list.n) << c.field;
		EXPECT_STREQ("w0", list.infos[0].id);
		EXPECT_STREQ("w2", list.infos[1].id);
		ASSERT_EQ(1u, list.nrefused) << c.field;
		EXPECT_EQ(1u, list.refused[0].index);
		EXPECT_STREQ(c.field, list.refused[0].field) << c.from;
		EXPECT_STREQ(strcmp(c.from, "\"w1\"") == 0 ? "" : "w1",
		    list.refused[0].id)
		    << c.field;
		vmlist_free(&list);
	}
}

// Guards against part of a damaged document that is taken for the whole list.
TEST(VmlistTest, ADamagedDocumentIsRefusedWhole)
{
	const std::string row = kWorker;
	const std::string texts[] = { "", "[]", "7", "{\"vms\":3}",
		"{\"vms\":[", "{\"vms\":[" + row, "{\"vms\":[" + row + "]",
		"{\"vms\":[" + row + "}", "{\"vms\":[" + row + "}]}",
		"{\"vms\":[" + row + "]]}", "{\"vms\":[" + row + "]}x",
		"{\"vms\":[" + row + "],\"vms\":[]}",
		"{\"a\":99999999999999999999,\"vms\":[" + row + "]}",
		"{\"vms\":[\"" + row + "]}", Repeat("[", 100000),
		Repeat("{\"vms\":", 100000) };

	for (const auto &text : texts) {
		struct fleet_list list;

		EXPECT_EQ(VMLIST_ERR_JSON,
		    vmlist_parse(text.data(), text.size(), &list))
		    << text.substr(0, 400);
	}
	for (const char *text : { "{\"vms\":[]}", " { \"vms\" : [ ] } ",
		 "{\"a\":[{}],\"vms\":[],\"b\":{}}" }) {
		struct fleet_list list;

		ASSERT_EQ(VMLIST_OK, vmlist_parse(text, strlen(text), &list))
		    << text;
		EXPECT_EQ(0u, list.n + list.nrefused);
		vmlist_free(&list);
	}
}

// Guards against a VM that counts as gone, so that its tasks start elsewhere
// while they still run, because its row can't be read.
TEST_F(FleetTest, ARefusedVmIsNotAbsent)
{
	struct vm_info infos[3] = { worker("w1", VM_LIVE),
		worker("w2", VM_LIVE), worker("w3", VM_LIVE) };
	struct fleet_refused refused = {};
	struct fleet_list list = {};

	ASSERT_EQ(0, fleet_apply(fleet, infos, 3, 0));
	strlcpy(refused.id, "w1", sizeof(refused.id));
	refused.field = "ip";
	list.infos = &infos[1];
	list.n = 1;
	list.refused = &refused;
	list.nrefused = 1;
	ASSERT_EQ(0, fleet_apply_list(fleet, &list, 1000));
	ASSERT_EQ(0, fleet_apply_list(fleet, &list, 2000));
	EXPECT_EQ(VM_LIVE, fleet_find(fleet, "w1")->info.state);
	EXPECT_EQ(VM_LIVE, fleet_find(fleet, "w2")->info.state);
	EXPECT_EQ(VM_GONE, fleet_find(fleet, "w3")->info.state);
	EXPECT_EQ(0, fleet_age_ms(fleet, 2000));
}

// Guards against the same where the row's id can't be read either: it may be
// any VM's.
TEST_F(FleetTest, NoVmIsAbsentBesideARefusedOneWithoutAnId)
{
	struct vm_info infos[2] = { worker("w1", VM_LIVE),
		worker("w2", VM_LIVE) };
	struct fleet_refused refused = {};
	struct fleet_list list = {};

	ASSERT_EQ(0, fleet_apply(fleet, infos, 2, 0));
	refused.field = "id";
	infos[1].state = VM_LEAVING;
	list.infos = &infos[1];
	list.n = 1;
	list.refused = &refused;
	list.nrefused = 1;
	ASSERT_EQ(0, fleet_apply_list(fleet, &list, 1000));
	ASSERT_EQ(0, fleet_apply_list(fleet, &list, 5000));
	EXPECT_EQ(VM_LIVE, fleet_find(fleet, "w1")->info.state);
	EXPECT_EQ(VM_LEAVING, fleet_find(fleet, "w2")->info.state);
	ASSERT_EQ(0, fleet_apply(fleet, &infos[1], 1, 6000));
	ASSERT_EQ(0, fleet_apply(fleet, &infos[1], 1, 6999));
	EXPECT_EQ(VM_LIVE, fleet_find(fleet, "w1")->info.state);
	ASSERT_EQ(0, fleet_apply(fleet, &infos[1], 1, 7000));
	EXPECT_EQ(VM_GONE, fleet_find(fleet, "w1")->info.state);
}

} // namespace

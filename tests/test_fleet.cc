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

TEST(VmlistTest, ParsesAWorker)
{
	std::string text = std::string("{\"vms\":[") + kWorker + "]}";
	struct vmlist_fault fault;
	struct vm_info *infos;
	size_t n;

	ASSERT_EQ(VMLIST_OK,
	    vmlist_parse(text.data(), text.size(), &infos, &n, &fault));
	ASSERT_EQ(1u, n);
	EXPECT_STREQ("custodio", infos[0].services[0]);
	EXPECT_EQ(64, infos[0].connections);
	free(infos);
}

// A list with one invalid VM is refused as a whole, with the name of the field.
TEST(VmlistTest, NamesTheBadField)
{
	const struct {
		const char *from, *to, *field;
	} cases[] = {
		{ "\"w1\"", "\"\"", "id" },
		{ "\"kind\":\"worker\"", "\"kind\":\"x\"", "kind" },
		{ "\"control_port\":1", "\"control_port\":70000",
		    "control_port" },
		{ "\"slots\":8", "\"slots\":-1", "slots" },
		{ "\"memory_mib\":125000", "\"memory_mib\":\"1\"",
		    "memory_mib" },
		{ "[\"custodio\"]", "[7]", "services" },
		{ "\"rack\":\"r1\",", "", "rack" },
	};
	struct vmlist_fault fault;
	struct vm_info *infos;
	size_t n;

	for (const auto &c : cases) {
		std::string bad = kWorker;

		bad.replace(bad.find(c.from), strlen(c.from), c.to);
		bad = std::string("{\"vms\":[") + kWorker + "," + bad + "]}";
		EXPECT_EQ(VMLIST_ERR_FIELD,
		    vmlist_parse(bad.data(), bad.size(), &infos, &n, &fault));
		EXPECT_EQ(nullptr, infos);
		EXPECT_EQ(1u, fault.index);
		EXPECT_STREQ(c.field, fault.field);
	}
	for (const char *text : { "", "[]", "{\"vms\":3}", "{\"vms\":[" }) {
		EXPECT_EQ(VMLIST_ERR_JSON,
		    vmlist_parse(text, strlen(text), &infos, &n, &fault));
	}
}

} // namespace

// Cold servers and evacuated data centres at daemons with work for them: what
// reaches the servers, and that the work is done.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib-batches.h"

extern "C" {
#include "base/alloc.h"
#include "entry/cold_senders.h"
#include "fleet/plain_servers.h"
}

namespace
{

// Puts an entry of the server, which has three models, into a fleet.
void put_entry(struct fleet *fleet, uint64_t offset, const FakeServer &server,
	       const std::string &data_centre)
{
	struct server_entry entry;

	server_entry_init(&entry);
	copy_text(entry.id, sizeof(entry.id), server.id().c_str());
	copy_text(entry.service, sizeof(entry.service), "s");
	copy_text(entry.address, sizeof(entry.address),
		  server.address().c_str());
	copy_text(entry.data_centre, sizeof(entry.data_centre),
		  data_centre.c_str());
	entry.slots = 4;
	entry.models = (struct server_model *)xcalloc(3, sizeof(*entry.models));
	for (uint32_t i = 0; i < 3; i++) {
		snprintf(entry.models[i].name, sizeof(entry.models[i].name),
			 "m%u", i);
		entry.models[i].version = 1;
	}
	entry.model_count = 3;
	fleet_put(fleet, &entry, offset);
}

// What a daemon has beside the batches.
struct Parts {
	struct evacuations evacuations;
	struct cold_limits limits;
	struct cold_senders senders;
	std::string name;
};

class ColdServers : public Batches
{
      protected:
	~ColdServers() override
	{
		hosts_.clear();
		for (auto &parts : parts_) {
			cold_limits_finish(&parts.second->limits);
			evacuations_finish(&parts.second->evacuations);
		}
	}

	BatchHost *add_daemon(const std::string &name, int number)
	{
		BatchHost *host = add_host(name, (uint64_t)number);
		Parts *parts = new Parts();

		parts->name = name;
		parts_[host].reset(parts);
		evacuations_init(&parts->evacuations, &host->fleet, nullptr,
				 &host->counters);
		cold_limits_init(&parts->limits, &host->fleet, nullptr,
				 &host->counters, parts->name.c_str());
		cold_senders_init(&parts->senders, &parts->limits,
				  host->config(), &host->discovery, &host->set);
		host->service_fields = R"(,"cold_s":3,"cold_per_s":4)";
		host->configure(2);
		return host;
	}

	FakeServer *add_server(const std::string &id,
			       const std::string &data_centre,
			       const ServerReply &reply)
	{
		engines_.emplace_back(
			new FakeServer(&loop_, id, [reply](const ServerSaw &) {
				return reply;
			}));
		for (auto &host : hosts_)
			put_entry(&host->fleet, 1, *engines_.back(),
				  data_centre);
		return engines_.back().get();
	}

	// Runs the loop as the daemon's upkeep does.
	bool run_until(const std::function<bool()> &condition,
		       int64_t limit_ms = 8000)
	{
		return loop_.run_until(
			[&] {
				for (auto &host : hosts_)
					cold_senders_update(
						&parts_[host.get()]->senders);
				return condition();
			},
			limit_ms);
	}

	bool is_done(BatchHost *host, const std::string &id, uint32_t items)
	{
		struct batch_partition *in;
		struct batch *batch =
			batch_set_find(&host->set, id.c_str(), &in);

		return batch && batch->result_count == items;
	}

	void evacuate(const std::string &data_centre, uint64_t offset)
	{
		for (auto &host : hosts_)
			evacuations_begin(&parts_[host.get()]->evacuations,
					  data_centre.c_str(), offset,
					  reactor_now_ns(&loop_.reactor));
	}

	void lift(const std::string &data_centre, uint64_t offset)
	{
		for (auto &host : hosts_)
			evacuations_end(&parts_[host.get()]->evacuations,
					data_centre.c_str(), offset,
					reactor_now_ns(&loop_.reactor));
	}

	std::map<BatchHost *, std::unique_ptr<Parts>> parts_;
};

} // namespace

// Guards against a data centre that comes back cold at one moment and crashes
// again under the items that wait for it at several hosts.
TEST_F(ColdServers, OfAWholeDataCentreAreNotOverrun)
{
	const uint32_t items = 60;
	std::vector<BatchHost *> hosts;
	std::vector<Submission> batches(3);
	double most = 0;

	for (int i = 0; i < 3; i++)
		hosts.push_back(
			add_daemon(std::string(1, (char)('a' + i)), i + 1));
	for (int i = 0; i < 3; i++) {
		batches[i].id = "batch" + std::to_string(i);
		batches[i].model = batches[i].item_model =
			"m" + std::to_string(i);
		batches[i].groups = (int)items / 2;
		ASSERT_EQ(202, hosts[i]->submit(batches[i]));
	}
	ASSERT_TRUE(run_until([&] {
		for (BatchHost *host : hosts)
			if (!parts_[host]->limits.first ||
			    !parts_[host]->limits.first->sender_count)
				return false;
		return true;
	}));
	for (int i = 0; i < 12; i++)
		engines_.emplace_back(new FakeServer(
			&loop_, "e" + std::to_string(i),
			[](const ServerSaw &) { return stream_reply(4); }));
	for (BatchHost *host : hosts)
		for (auto &engine : engines_) {
			put_entry(&host->fleet, 1, *engine, "dc");
			fleet_server_assume_cold(
				fleet_find(&host->fleet, engine->id().c_str()),
				reactor_now_ns(&loop_.reactor));
		}
	ASSERT_TRUE(run_until(
		[&] {
			for (int i = 0; i < 3; i++)
				if (!is_done(hosts[i], batches[i].id, items) &&
				    hosts[i]->read(batches[i].id)
						    .results.size() < items)
					return false;
			return true;
		},
		15000));
	for (auto &engine : engines_)
		for (const ServerSaw &first : engine->seen)
			most = std::max(
				most,
				(double)std::count_if(
					engine->seen.begin(),
					engine->seen.end(),
					[&](const ServerSaw &other) {
						return other.at_ns >=
							       first.at_ns &&
						       other.at_ns <
							       first.at_ns +
								       NS_PER_S;
					}));
	EXPECT_LE(most, 4 * 1.5 + 5);
	EXPECT_GE(most, 1);
}

// Guards against items that reach a data centre after it was evacuated, from
// what waited or was moved; those that ran there end.
TEST_F(ColdServers, OfAnEvacuatedDataCentreGetNoMoreItems)
{
	BatchHost *host = add_daemon("a", 1);
	FakeServer *there = add_server("e1", "dc", stream_reply(6, 40));
	FakeServer *elsewhere = add_server("e2", "dc2", stream_reply(6, 40));
	Submission first, second;
	size_t reached;

	first.model = first.item_model = "m0";
	first.groups = 10;
	second = first;
	second.id = "batch2";
	ASSERT_EQ(202, host->submit(first));
	ASSERT_TRUE(run_until([&] { return there->running > 1; }));
	evacuate("dc", 1);
	loop_.run_for(20); /* what is on its way arrives */
	reached = there->seen.size();
	ASSERT_TRUE(run_until([&] { return is_done(host, "batch1", 20); }));
	EXPECT_EQ(reached, there->seen.size());
	EXPECT_EQ(0, there->abandoned) << "runs were cut";

	/* All are evacuated: items wait, and are not lost. */
	evacuate("dc2", 2);
	reached += elsewhere->seen.size();
	ASSERT_EQ(202, host->submit(second));
	loop_.run_for(500);
	EXPECT_EQ(reached, there->seen.size() + elsewhere->seen.size());
	lift("dc2", 3);
	ASSERT_TRUE(run_until([&] { return is_done(host, "batch2", 20); }));
	lift("dc", 4);
	EXPECT_EQ(nullptr, parts_[host]->evacuations.first);
}

// A host that is not among those that run the items has no share where there
// are as many others as the servers take requests.
TEST_F(ColdServers, AreSharedByTheHostsThatRunTheirItems)
{
	std::vector<BatchHost *> hosts;
	const struct cold_service *service;
	uint32_t runs = 0;

	for (int i = 0; i < 3; i++)
		hosts.push_back(
			add_daemon(std::string(1, (char)('a' + i)), i + 1));
	/* Each host owns partitions, and the plain route names the service. */
	ASSERT_TRUE(run_until([&] {
		const struct cold_service *s = parts_[hosts[0]]->limits.first;

		return s && s->sender_count == 3;
	}));
	service = parts_[hosts[0]]->limits.first;
	EXPECT_STREQ("s", service->name);
	EXPECT_EQ(4, service->per_s);
	EXPECT_EQ(3 * NS_PER_S, service->cold_ns);
	for (uint32_t i = 0; i < service->sender_count; i++)
		runs += (uint32_t)service->senders[i].runs_items;
	EXPECT_LE(runs, 1u) << "one model, so one host at most";
	/* A configuration without the rate ends the limit. */
	hosts[0]->service_fields = "";
	hosts[0]->configure(3);
	cold_senders_update(&parts_[hosts[0]]->senders);
	EXPECT_EQ(0, service->per_s);
}

// Guards against hosts that send to a cold server though the others don't
// count them: the shares of those that are listed are the whole rate.
TEST(ColdLimits, OfAllHostsStayWithinTheRate)
{
	const struct {
		const char *name;
		std::vector<std::string> listed, hosts;
		int sent; // by all hosts
	} cases[] = {
		{ "all are listed", { "a", "b", "c" }, { "a", "b", "c" }, 9 },
		{ "one is new", { "a", "b", "c" }, { "a", "b", "c", "d" }, 9 },
		{ "most are new", { "a" }, { "a", "b", "c", "d" }, 9 },
		{ "all start at once", {}, { "a", "b", "c" }, 0 },
		{ "one is lost", { "a", "b", "c" }, { "a", "b" }, 6 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		int sent = 0;

		for (const std::string &host : c.hosts) {
			struct counter_set counters;
			struct cold_limits limits;
			struct fleet fleet;
			struct fleet_server *server;
			struct cold_sender *senders =
				(struct cold_sender *)xcalloc(
					c.listed.size() + 1, sizeof(*senders));

			for (size_t i = 0; i < c.listed.size(); i++)
				copy_text(senders[i].name,
					  sizeof(senders[i].name),
					  c.listed[i].c_str());
			counter_set_init(&counters);
			fleet_init(&fleet);
			cold_limits_init(&limits, &fleet, nullptr, &counters,
					 host.c_str());
			cold_limits_set(&limits, "s", 9, 5 * NS_PER_S, senders,
					(uint32_t)c.listed.size());
			put_absent_servers(&fleet, 1, "s", "", false);
			server = fleet_find(&fleet, "absent0");
			fleet_server_assume_cold(server, NS_PER_S);
			while (fleet_server_cold_allows(server, NS_PER_S)) {
				fleet_server_note_sent(server, NS_PER_S);
				ASSERT_LE(++sent, 100);
			}
			fleet_finish(&fleet);
			cold_limits_finish(&limits);
			counter_set_finish(&counters);
		}
		EXPECT_EQ(c.sent, sent);
	}
}

// Servers without room for this host's requests are not gone: a request waits
// or goes elsewhere, and none goes to a server whose circuit is open.
TEST(ColdLimits, AreNoReasonToTryAServerThatFails)
{
	struct counter_set counters;
	struct cold_limits limits;
	struct fleet fleet;
	struct rng rng;
	struct plain_servers list;
	struct plain_chooser chooser = {};
	struct fleet_server *failing;
	int64_t now_ns = NS_PER_S;
	struct cold_sender *senders =
		(struct cold_sender *)xcalloc(60, sizeof(*senders));

	rng_init(&rng, 1);
	counter_set_init(&counters);
	fleet_init(&fleet);
	cold_limits_init(&limits, &fleet, nullptr, &counters, "h59");
	for (int i = 0; i < 60; i++)
		snprintf(senders[i].name, sizeof(senders[i].name), "h%d", i);
	cold_limits_set(&limits, "s", 1, 5 * NS_PER_S, senders, 60);
	put_absent_servers(&fleet, 3, "s", "", false);
	failing = fleet_find(&fleet, "absent0");
	while (failing->circuit.openings < 7) {
		circuit_failed(&failing->circuit, &rng, now_ns);
		now_ns += 60 * NS_PER_S;
		circuit_begin(&failing->circuit, now_ns);
	}
	circuit_failed(&failing->circuit, &rng, now_ns);
	now_ns += NS_PER_S;
	chooser.data_centre = "dc";
	chooser.now_ns = now_ns;
	for (const char *id : { "absent1", "absent2" }) {
		struct fleet_server *cold = fleet_find(&fleet, id);

		cold->entry.cold_left_ms = 5000;
		cold->entry.read_ns = now_ns;
		cold_limits_apply(&limits, cold);
		while (fleet_server_cold_allows(cold, now_ns))
			fleet_server_note_sent(cold, now_ns);
	}
	plain_servers_list(&list, &fleet, "s", &chooser);
	EXPECT_EQ(0u, list.count);
	fleet_finish(&fleet);
	cold_limits_finish(&limits);
	counter_set_finish(&counters);
}

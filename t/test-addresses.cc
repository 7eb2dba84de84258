// Selection of the entry hosts that callers use.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "membership/addresses.h"
}

static struct member host(const std::string &name, enum member_state state,
			  uint32_t in_flight, uint32_t capacity = 100,
			  const std::string &data_centre = "bergen-a",
			  const std::string &region = "vestland")
{
	struct member member = {};

	snprintf(member.name, NAME_BYTES, "%s", name.c_str());
	snprintf(member.data_centre, NAME_BYTES, "%s", data_centre.c_str());
	snprintf(member.region, NAME_BYTES, "%s", region.c_str());
	snprintf(member.caller_address, NAME_BYTES, "%s:1", name.c_str());
	snprintf(member.latency_address, NAME_BYTES, "%s:2", name.c_str());
	member.state = state;
	member.requests_in_flight = in_flight;
	member.request_capacity = capacity;
	return member;
}

static const struct address_request near_bergen = { "bergen-a", "vestland", "",
						    0 };

static std::string choose(const std::vector<struct member> &members,
			  const struct address_request &request,
			  struct rng *rng)
{
	struct address_answer answer;

	if (addresses_choose(members.data(),
			     static_cast<uint32_t>(members.size()), &request,
			     1000, rng, &answer, nullptr))
		return "";
	return answer.addresses[0].address;
}

TEST(Addresses, NamesOnlyHostsThatCanBeReached)
{
	struct member listed_leaving = host("l", MEMBER_ALIVE, 0);
	struct member without = host("w", MEMBER_ALIVE, 0);
	const auto far = [](const char *name, uint32_t in_flight,
			    const char *region) {
		return host(name, MEMBER_ALIVE, in_flight, 100, "voss", region);
	};
	struct rng rng;

	listed_leaving.listed_leaving = 1;
	without.caller_address[0] = '\0';
	const struct {
		const char *name;
		std::vector<struct member> members;
		const char *address;
	} cases[] = {
		{ "none", {}, "" },
		{ "suspect, leaving, gone",
		  { host("s", MEMBER_SUSPECT, 0), host("v", MEMBER_LEAVING, 0),
		    host("g", MEMBER_GONE, 0), host("a", MEMBER_ALIVE, 99) },
		  "a:1" },
		{ "only such", { host("s", MEMBER_SUSPECT, 0) }, "" },
		{ "listed as leaving", { listed_leaving }, "" },
		{ "no address known", { without }, "" },
		{ "unknown before any is alive",
		  { host("u", MEMBER_UNKNOWN, 0) },
		  "u:1" },
		{ "unknown is left out once one is alive",
		  { host("u", MEMBER_UNKNOWN, 0), far("f", 0, "om-north") },
		  "f:1" },
		{ "the own data centre first",
		  { host("a", MEMBER_ALIVE, 90), far("f", 0, "vestland") },
		  "a:1" },
		{ "then the region",
		  { far("o", 0, "om-north"), far("f", 90, "vestland") },
		  "f:1" },
		{ "a full one after any other",
		  { host("a", MEMBER_ALIVE, 100), far("o", 90, "om-north") },
		  "o:1" },
		{ "full ones before none",
		  { host("a", MEMBER_ALIVE, 120) },
		  "a:1" },
	};

	for (const auto &c : cases)
		for (uint64_t seed = 0; seed < 20; seed++) {
			rng_init(&rng, seed);
			EXPECT_EQ(c.address,
				  choose(c.members, near_bergen, &rng))
				<< c.name;
		}
}

TEST(Addresses, SpreadsCallersByFreeCapacity)
{
	std::vector<struct member> members = { host("a", MEMBER_ALIVE, 0),
					       host("b", MEMBER_ALIVE, 50),
					       host("c", MEMBER_ALIVE, 0, 200),
					       host("d", MEMBER_ALIVE, 90) };
	std::map<std::string, int> times;
	struct rng rng;

	rng_init(&rng, 11);
	for (int i = 0; i < 36000; i++)
		times[choose(members, near_bergen, &rng)]++;
	EXPECT_NEAR(10000, times["a:1"], 500);
	EXPECT_NEAR(5000, times["b:1"], 400);
	EXPECT_NEAR(20000, times["c:1"], 500);
	EXPECT_NEAR(1000, times["d:1"], 200);
}

TEST(Addresses, SendsAGroupToOneHost)
{
	std::vector<struct member> members;
	struct rng rng;
	int moved = 0;
	std::set<std::string> used;

	rng_init(&rng, 12);
	for (int i = 0; i < 10; i++)
		members.push_back(host("e" + std::to_string(i), MEMBER_ALIVE,
				       static_cast<uint32_t>(i * 9)));
	for (int i = 0; i < 500; i++) {
		std::string group = "trainer/3/" + std::to_string(i);
		struct address_request request = near_bergen;

		request.group = group.c_str();
		std::string first = choose(members, request, &rng);
		members[3].requests_in_flight = 60;
		EXPECT_EQ(first, choose(members, request, &rng));
		used.insert(first);
		members[7].state = MEMBER_SUSPECT;
		std::string second = choose(members, request, &rng);
		moved += first != second;
		EXPECT_EQ(first == "e7:1", first != second);
		members[7].state = MEMBER_ALIVE;
	}
	EXPECT_EQ(10u, used.size());
	EXPECT_LT(moved, 100);
}

TEST(Addresses, GivesOthersToTurnToAndATimeToKeepThem)
{
	std::vector<struct member> members = { host("a", MEMBER_ALIVE, 0),
					       host("b", MEMBER_ALIVE, 0),
					       host("c", MEMBER_ALIVE, 0),
					       host("d", MEMBER_ALIVE, 0) };
	struct address_request request = near_bergen;
	struct address_answer answer;
	struct rng rng;
	std::set<uint32_t> times;

	request.latency_bound = 1;
	rng_init(&rng, 13);
	for (int i = 0; i < 200; i++) {
		ASSERT_EQ(0, addresses_choose(members.data(), 4, &request, 1000,
					      &rng, &answer, nullptr));
		EXPECT_EQ(3u, answer.count);
		EXPECT_STRNE(answer.addresses[0].name,
			     answer.addresses[1].name);
		EXPECT_EQ(':', answer.addresses[0].address[1]);
		EXPECT_EQ('2', answer.addresses[0].address[2]);
		EXPECT_GE(answer.keep_ms, 800u);
		EXPECT_LE(answer.keep_ms, 1200u);
		times.insert(answer.keep_ms);
	}
	EXPECT_GT(times.size(), 100u);
	members[3].state = MEMBER_SUSPECT;
	ASSERT_EQ(0, addresses_choose(members.data(), 4, &request, 1000, &rng,
				      &answer, nullptr));
	EXPECT_LE(answer.keep_ms, 600u);
}

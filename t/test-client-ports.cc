// Contracts of the usage report and weight store ports.
#include <gtest/gtest.h>

#include <jansson.h>

#include "t/lib-clock.h"
#include "t/lib-process.h"
#include "t/lib-raw-server.h"

extern "C" {
#include "base/alloc.h"
#include "base/clock.h"
#include "client/host_http.h"
#include "client/usage_http.h"
#include "client/weight_http.h"
}

static const char *const down = "{\"down\": true}";

// Usage reports

class UsageContract : public testing::Test
{
      protected:
	UsageContract() : standin_("usage")
	{
		usage_http_init(&usage_, standin_.url().c_str(), nullptr);
	}
	~UsageContract() override
	{
		usage_.base.vt->finish(&usage_.base);
	}
	enum error_code report(uint64_t start_s, uint64_t requests,
			       int64_t lease_ns = 10 * NS_PER_S)
	{
		struct usage_figure figure = {};
		struct usage_window window = {};
		struct error err = ERROR_INIT;

		copy_text(figure.team, NAME_BYTES, "red");
		figure.requests = requests;
		copy_text(window.partition, NAME_BYTES, "p0");
		window.start_s = start_s;
		window.figures = &figure;
		window.figure_count = 1;
		usage_.base.vt->report(&usage_.base, &window, 2,
				       system_now_ns() + lease_ns, &err);
		return err.code;
	}
	uint64_t held(const char *field)
	{
		std::string body =
			http_get(standin_.address(), "/standin/reports").body;
		json_t *json = json_loads(body.c_str(), 0, nullptr);
		const json_t *value = json_object_get(json, field);
		uint64_t result = json_is_array(value)
					  ? json_array_size(value)
					  : json_integer_value(value);

		json_decref(json);
		return result;
	}

	Standin standin_;
	struct usage_http usage_;
};

TEST_F(UsageContract, ReportsAreHeldOnceAndFaultsAreTold)
{
	static const struct {
		const char *name;
		const char *faults;
		uint64_t start_s, requests;
		int64_t lease_ms;
		enum error_code code;
		uint64_t reports, repeats, conflicts; // held afterwards
	} cases[] = {
		{ "first", "{}", 60, 5, 9000, ERROR_NONE, 1, 0, 0 },
		{ "repeat", "{}", 60, 5, 9000, ERROR_NONE, 1, 1, 0 },
		{ "conflict", "{}", 60, 6, 9000, ERROR_CONFLICT, 1, 1, 1 },
		{ "lease over", "{}", 120, 1, 0, ERROR_UNAVAILABLE, 1, 1, 1 },
		{ "down", down, 120, 1, 9000, ERROR_UNAVAILABLE, 1, 1, 1 },
		{ "answer lost", "{\"lose_answers\": 1}", 120, 1, 9000,
		  ERROR_UNKNOWN_OUTCOME, 2, 1, 1 },
		{ "sent again", "{}", 120, 1, 9000, ERROR_NONE, 2, 2, 1 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		standin_.faults(c.faults);
		EXPECT_EQ(c.code, report(c.start_s, c.requests,
					 c.lease_ms * NS_PER_MS));
		EXPECT_EQ(c.reports, held("reports"));
		EXPECT_EQ(c.repeats, held("repeats"));
		EXPECT_EQ(c.conflicts, held("conflicts"));
	}
	standin_.faults("{\"delay_ms\": 60000}");
	EXPECT_EQ(ERROR_UNKNOWN_OUTCOME, report(180, 1, 100 * NS_PER_MS));
	standin_.kill();
	EXPECT_EQ(ERROR_UNAVAILABLE, report(180, 1));
}

// Weight store

TEST(WeightContract, NewestVersionAndFaults)
{
	Standin standin("weights", { "--fetches-per-s", "1" });
	struct weight_http weights;
	struct error err = ERROR_INIT;
	uint64_t version = 99;
	std::string path = "/v1/pools/scenario-lm/versions";

	weight_http_init(&weights, standin.url().c_str(), nullptr);
	auto latest = [&] {
		err.code = ERROR_NONE;
		weights.base.vt->latest(&weights.base, "scenario-lm", &version,
					&err);
		return err.code;
	};
	EXPECT_EQ(ERROR_NONE, latest());
	EXPECT_EQ(0u, version);
	http_post(standin.address(), path, "{\"version\": 6}");
	http_post(standin.address(), path, "{\"version\": 5}");
	EXPECT_EQ(ERROR_NONE, latest());
	EXPECT_EQ(6u, version);
	EXPECT_EQ(200, http_get(standin.address(), path + "/6").status);
	EXPECT_EQ(429, http_get(standin.address(), path + "/6").status);
	standin.faults(down);
	EXPECT_EQ(ERROR_UNAVAILABLE, latest());
	standin.kill();
	EXPECT_EQ(ERROR_UNAVAILABLE, latest());
	weights.base.vt->finish(&weights.base);
}

TEST(PortsHttp, BrokenAnswersAreNoSuccess)
{
	static const char *const bodies[] = { "", "[]", "{}", "{\"version\"",
					      "{\"hosts\": 3}" };

	for (const char *body : bodies) {
		SCOPED_TRACE(body);
		RawServer server(raw_answer(200, body));
		struct host_http hosts;
		const struct host_list *list;
		struct weight_http weights;
		uint64_t version;
		struct error err = ERROR_INIT;

		host_http_init(&hosts, server.url().c_str(), nullptr);
		EXPECT_EQ(-1, hosts.base.vt->fetch(&hosts.base, &list, &err));
		EXPECT_EQ(ERROR_PROTOCOL, err.code);
		hosts.base.vt->finish(&hosts.base);
		weight_http_init(&weights, server.url().c_str(), nullptr);
		EXPECT_EQ(-1, weights.base.vt->latest(&weights.base, "p",
						      &version, &err));
		EXPECT_EQ(ERROR_PROTOCOL, err.code);
		weights.base.vt->finish(&weights.base);
	}
}

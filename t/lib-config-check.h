#ifndef T_LIB_CONFIG_CHECK_H
#define T_LIB_CONFIG_CHECK_H

// A configuration put together from parts, and what a check finds in it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "entry/config_findings.h"
#include "platform/config_decode.h"
}

// A configuration without findings, by its parts.
struct Parts {
	std::string route = R"("name":"r","host":"a.example",
		"path_prefix":"/r/","type":"idempotent","service":"a")";
	std::string routes; // further ones
	std::string service = R"("name":"a","max_conns":9)";
	std::string services;
	std::string teams = R"({"name":"t","api_keys":["key-1"]})";
	std::string limits;
	std::string root = R"("version":7)";

	std::string text() const
	{
		return "{" + root + ",\"routes\":[{" + route + "}" + routes +
		       "],\"services\":[{" + service + "}" + services +
		       "],\"tenants\":[" + teams + "],\"limits\":{" + limits +
		       "}}";
	}
};

using Lines = std::vector<std::string>;

class Findings
{
      public:
	Findings()
	{
		config_findings_init(&list);
	}

	~Findings()
	{
		config_findings_finish(&list);
	}

	Lines lines() const
	{
		Lines out;

		for (uint32_t i = 0; i < list.count; i++)
			out.push_back(std::string(finding_kind_name(
					      list.list[i].kind)) +
				      ": " + list.list[i].text);
		return out;
	}

	struct config_findings list;
};

inline struct entry_config *decode(const std::string &text)
{
	struct error err = ERROR_INIT;
	struct entry_config *config =
		platform_config_decode(text.data(), text.size(), &err);

	EXPECT_NE(nullptr, config) << err.text << "\n" << text;
	return config;
}

static const std::string to_a =
	R"("name":"r","type":"idempotent","service":"a",)";
static const std::string at_r =
	R"("name":"r","host":"a.example","path_prefix":"/r/",)";

#endif

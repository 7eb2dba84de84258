// The settings file: what is accepted, and how each fault is named.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "t/lib-process.h"

extern "C" {
#include "base/alloc.h"
#include "base/rng.h"
#include "settings/check.h"
#include "settings/settings.h"
}

static const std::string required =
	"\"name\":\"entry-1\",\"data_centre\":\"bergen-a\","
	"\"log_url\":\"http://127.0.0.1:7000\","
	"\"hosts_url\":\"http://127.0.0.1:7001\"";

static int parse(const std::string &text, struct settings *settings,
		 struct error *err)
{
	settings_init(settings);
	return settings_parse(settings, text.data(), text.size(),
			      "settings.json", err);
}

TEST(Settings, DefaultsFillWhatIsLeftOut)
{
	struct settings settings;
	struct error err = ERROR_INIT;

	ASSERT_EQ(0, parse("{" + required + "}", &settings, &err)) << err.text;
	EXPECT_STREQ("entry-1", settings.name);
	EXPECT_STREQ("127.0.0.1:0", settings.batch.address);
	EXPECT_EQ(500u, settings.heartbeat_ms);
	EXPECT_EQ(LOG_INFO, settings.log_level);
	EXPECT_EQ(0u, settings.operator_count);
}

TEST(Settings, ExampleFileIsAccepted)
{
	const char *root = getenv("CURRANT_ROOT");
	std::string path =
		std::string(root ? root : ".") + "/docs/examples/currantd.json";
	struct settings settings;
	struct error err = ERROR_INIT;

	settings_init(&settings);
	ASSERT_EQ(0, settings_read_file(&settings, path.c_str(), &err))
		<< err.text;
	EXPECT_EQ(512u, settings.batch.threads);
	EXPECT_STREQ("/etc/currantrelay/entry-1.key",
		     settings.peer_tls.private_key);
	ASSERT_EQ(2u, settings.operator_count);
	EXPECT_STREQ("monitor", settings.operator_list[1].name);
	EXPECT_TRUE(settings.operator_list[1].read_only);
	EXPECT_EQ(0x5e, settings.operator_list[0].token_hash[0]);
	EXPECT_EQ(0xd8, settings.operator_list[0].token_hash[31]);
}

TEST(Settings, MissingFileIsNamed)
{
	struct settings settings;
	struct error err = ERROR_INIT;

	settings_init(&settings);
	EXPECT_EQ(-1, settings_read_file(&settings, "/nowhere/s.json", &err));
	EXPECT_EQ(ERROR_IO, err.code);
	EXPECT_STREQ("cannot open /nowhere/s.json: No such file or directory",
		     err.text);
}

TEST(Settings, FaultsAreNamedWithPathExpectedAndHeld)
{
	const std::string hash(64, 'a');
	const struct {
		std::string extra;
		std::string error;
	} cases[] = {
		{ "\"batch\":{\"threads\":\"many\"}",
		  "field 'batch.threads' must be a whole number from 1 to "
		  "10000, but holds \"many\"" },
		{ "\"batch\":{\"threads\":0}",
		  "field 'batch.threads' must be a whole number from 1 to "
		  "10000, but holds 0" },
		{ "\"batch\":{\"threads\":1.5}",
		  "field 'batch.threads' must be a whole number from 1 to "
		  "10000, but holds 1.5" },
		{ "\"drain_ms\":-1",
		  "field 'drain_ms' must be a whole number from 100 to "
		  "3600000, but holds -1" },
		{ "\"batch\":{\"thread\":3}",
		  "unknown field 'batch.thread' holds 3; expected one of "
		  "address, threads" },
		{ "\"batch.threads\":3",
		  "unknown field 'batch.threads' holds 3; expected one of "
		  "batch or another field of docs/settings.md" },
		{ "\"drain\":3",
		  "unknown field 'drain' holds 3; expected one of "
		  "data_centre, drain_ms or another field of "
		  "docs/settings.md" },
		{ "\"zzz\":3",
		  "unknown field 'zzz' holds 3; expected one of the fields "
		  "of docs/settings.md" },
		{ "\"\":3",
		  "unknown field '' holds 3; expected one of the fields of "
		  "docs/settings.md" },
		{ "\"peer\":7", "field 'peer' must be an object, but holds 7" },
		{ "\"peer\":{\"tls\":{\"cert\":1}}",
		  "unknown field 'peer.tls.cert' holds 1; expected one of "
		  "certificate, private_key, authority" },
		{ "\"peer\":{\"tls\":{\"certificate\":\"c\",\"authority\":"
		  "\"a\"}}",
		  "'peer.tls' must name all of certificate, private_key and "
		  "authority, but lacks 'private_key'" },
		{ "\"batch\":{\"tls\":{}}",
		  "field 'batch.tls' must be left out: the packaged CivetWeb "
		  "has no TLS" },
		{ "\"latency\":{\"tls\":true}",
		  "field 'latency.tls' must be left out: the packaged "
		  "CivetWeb has no TLS" },
		{ "\"latency\":{\"address\":\"localhost:80\"}",
		  "field 'latency.address' must be an IPv4 address as "
		  "\"ip:port\", but holds \"localhost:80\"" },
		{ "\"latency\":{\"address\":\"10.0.0.1:65536\"}",
		  "field 'latency.address' must be an IPv4 address as "
		  "\"ip:port\", but holds \"10.0.0.1:65536\"" },
		{ "\"orders_url\":\"ftp://x\"",
		  "field 'orders_url' must be an http or https URL under 256 "
		  "bytes, but holds \"ftp://x\"" },
		{ "\"region\":\"a b\"",
		  "field 'region' must be a name of 1 to 63 letters, digits, "
		  "'-', '_' or '.', but holds \"a b\"" },
		{ "\"log_level\":\"loud\"",
		  "field 'log_level' must be debug, info, warning or error, "
		  "but holds \"loud\"" },
		{ "\"operator_list\":{}",
		  "field 'operator_list' must be a list of at most 16 "
		  "operators, but holds {}" },
		{ "\"operator_list\":[3]",
		  "field 'operator_list[0]' must be an object, but holds 3" },
		{ "\"operator_list\":[{\"name\":\"a\"}]",
		  "field 'operator_list[0].token_sha256' is missing" },
		{ "\"operator_list\":[{\"name\":\"a\",\"token_sha256\":"
		  "\"zz\"}]",
		  "field 'operator_list[0].token_sha256' must be 64 "
		  "hexadecimal digits, but holds \"zz\"" },
		{ "\"operator_list\":[{\"name\":\"a\",\"token_sha256\":\"" +
			  hash + "\",\"read_only\":1}]",
		  "field 'operator_list[0].read_only' must be true or false, "
		  "but holds 1" },
		{ "\"operator_list\":[{\"name\":\"a\",\"token_sha256\":\"" +
			  hash + "\"},{\"name\":\"b\",\"token_sha256\":\"" +
			  hash + "\"}]",
		  "operators 'a' and 'b' have the same token" },
		{ "\"heartbeat_ms\":1000",
		  "'isolation_ms' must be at least twice 'heartbeat_ms' "
		  "(1000), but holds 1500" },
		{ "\"usage_window_s\":1,\"usage_flush_ms\":1001",
		  "'usage_flush_ms' must be at most 'usage_window_s' (1 s), "
		  "but holds 1001" },
	};

	for (const auto &c : cases) {
		struct settings settings;
		struct error err = ERROR_INIT;

		EXPECT_EQ(-1, parse("{" + required + "," + c.extra + "}",
				    &settings, &err))
			<< c.extra;
		EXPECT_EQ("settings.json: " + c.error,
			  std::string(err.text).substr(0, c.error.size() + 15));
		EXPECT_STREQ("", settings.name);
	}
}

TEST(Settings, WholeFileFaults)
{
	const struct {
		std::string text;
		std::string error;
	} cases[] = {
		{ "[]", "settings.json: the file must hold one JSON object" },
		{ "{}", "settings.json: field 'name' is missing; expected a "
			"name of 1 to 63 letters, digits, '-', '_' or '.'" },
		{ "{\"name\":\"a\",\"data_centre\":\"b\"}",
		  "settings.json: field 'log_url' is missing; expected an "
		  "http or https URL under 256 bytes" },
		{ "{\"name\":\"a\",}", "settings.json: line 1, column 13: " },
		{ "{\"name\":\"a\",\"name\":\"b\"}",
		  "settings.json: line 1, column 18: duplicate object key" },
		{ "{\"name\":\"\xff\"}", "settings.json: line 1, column 9: " },
		{ "", "settings.json: line 1, column 0: " },
	};

	for (const auto &c : cases) {
		struct settings settings;
		struct error err = ERROR_INIT;

		EXPECT_EQ(-1, parse(c.text, &settings, &err)) << c.text;
		EXPECT_EQ(c.error,
			  std::string(err.text).substr(0, c.error.size()));
	}
}

TEST(Settings, FilesThatCannotBeUsedAreNamed)
{
	TempDir dir;
	const std::string pem = dir.file("host.pem");
	const struct {
		std::string certificate;
		std::string address_file;
		std::string error;
	} cases[] = {
		{ "", "", "" },
		{ pem, dir.file("addresses.json"), "" },
		{ dir.file("none.pem"), "",
		  "field 'peer.tls.certificate': cannot read " +
			  dir.file("none.pem") +
			  ": No such file or directory" },
		{ "", dir.file("none/addresses.json"),
		  "field 'address_file': cannot write in folder " +
			  dir.file("none") + ": No such file or directory" },
	};

	std::ofstream(pem) << "x";
	for (const auto &c : cases) {
		struct settings settings;
		struct error err = ERROR_INIT;

		settings_init(&settings);
		copy_text(settings.peer_tls.certificate, SETTINGS_PATH_BYTES,
			  c.certificate.c_str());
		copy_text(settings.address_file, SETTINGS_PATH_BYTES,
			  c.address_file.c_str());
		EXPECT_EQ(c.error.empty() ? 0 : -1,
			  settings_check_files(&settings, &err));
		EXPECT_EQ(c.error, err.text);
	}
}

// Seed 1: 20,000 mutations of a full file give a verdict and a reason.
TEST(Settings, MutatedFilesNeverCrash)
{
	const std::string whole =
		"{" + required +
		",\"batch\":{\"address\":\"127.0.0.1:80\",\"threads\":4},"
		"\"peer\":{\"tls\":{\"certificate\":\"c\",\"private_key\":"
		"\"k\",\"authority\":\"a\"}},\"operator_list\":[{\"name\":\"a\","
		"\"token_sha256\":\"" +
		std::string(64, '0') +
		"\",\"read_only\":true}],\"drain_ms\":100}";
	const char pieces[] = "{}[]\",:.0-e9atru\\\x80\xff \n";
	struct rng rng;
	int refused = 0;
	struct settings unchanged;

	ASSERT_EQ(0, parse(whole, &unchanged, NULL));
	rng_init(&rng, 1);
	for (int i = 0; i < 20000; i++) {
		std::string text = whole;
		struct settings settings;
		struct error err = ERROR_INIT;

		for (uint64_t n = 1 + rng_below(&rng, 4); n && !text.empty();
		     n--) {
			size_t at = rng_below(&rng, text.size());
			size_t len = rng_below(&rng, 6);

			text.replace(at, len, 1,
				     pieces[rng_below(&rng, sizeof(pieces))]);
		}
		if (!parse(text, &settings, &err))
			continue;
		refused++;
		EXPECT_STRNE("", err.text) << text;
	}
	EXPECT_GT(refused, 10000);
	EXPECT_LT(refused, 20000);
}

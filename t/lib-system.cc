#include "t/lib-system.h"

#include <jansson.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>

static const int start_limit_ms = 20000;
static const char *const token = "test-operator";
// SHA-256 of the token.
static const char *const token_hash =
	"1a3bde4175d7cfb457a7710efe93909a67389f0b4b64e25ce75d182308f2f738";

static std::string json_field(const std::string &text, const char *field)
{
	json_t *json = json_loads(text.c_str(), 0, nullptr);
	const char *value = json_string_value(json_object_get(json, field));
	std::string result = value ? value : "";

	json_decref(json);
	return result;
}

static uint64_t json_number(const std::string &text, const char *field)
{
	json_t *json = json_loads(text.c_str(), 0, nullptr);
	uint64_t value = json_integer_value(json_object_get(json, field));

	json_decref(json);
	return value;
}

DaemonProcess::DaemonProcess(const std::string &name, const SystemUrls &urls,
			     const std::string &more_settings)
    : name_(name), urls_(urls), more_(more_settings)
{
}

static void put_host(const SystemUrls &urls, const std::string &name,
		     const std::string &rest,
		     const std::string &data_centre = "bergen-a")
{
	http_send(
		"PUT", urls.hosts.substr(strlen("http://")),
		"/v1/hosts/" + name,
		"{\"name\": \"" + name + "\", \"data_centre\": \"" +
			data_centre +
			"\", \"region\": \"vestland\", \"state\": \"live\", " +
			rest + "}");
}

// One more field of the settings, unless it is empty.
static std::string field(const std::string &name, const std::string &value)
{
	if (value.empty())
		return "";
	return ", \"" + name + "\": \"" + value + "\"";
}

bool DaemonProcess::launch()
{
	std::string settings = dir_.file("settings.json");
	std::ofstream out(settings);

	unlink(dir_.file("addresses").c_str());
	out << "{\"name\": \"" << name_
	    << "\", \"data_centre\": \"bergen-a\", \"region\": \"vestland\""
	    << field("log_url", urls_.log) << field("hosts_url", urls_.hosts)
	    << field("weights_url", urls_.weights)
	    << field("orders_url", urls_.orders)
	    << field("usage_url", urls_.usage)
	    << field("address_file", dir_.file("addresses"))
	    << ", \"operator_list\": [{\"name\": \"test\", "
	    << "\"token_sha256\": \"" << token_hash << "\"}]" << more_ << "}";
	out.close();
	if (!start({ built_program("currantd"), settings },
		   dir_.file("output")) ||
	    wait_for_file(dir_.file("addresses"), start_limit_ms).empty())
		return false;
	put_host(urls_, name_,
		 "\"role\": \"entry\", \"address\": \"" + address("batch") +
			 "\", \"peer_address\": \"" + address("peer") + "\"");
	return true;
}

bool DaemonProcess::ready()
{
	return http_get(address("operators"), "/health/ready").status == 200;
}

const std::string &DaemonProcess::name() const
{
	return name_;
}

std::string DaemonProcess::address(const std::string &port) const
{
	return json_field(read_file(dir_.file("addresses")), port.c_str());
}

std::string DaemonProcess::output() const
{
	return read_file(dir_.file("output"));
}

HttpAnswer DaemonProcess::statement(const std::string &text,
				    const std::string &id)
{
	json_t *body = json_pack("{s:s}", "text", text.c_str());
	std::string header = std::string("Authorization: Bearer ") + token;

	if (!id.empty())
		json_object_set_new(body, "id", json_string(id.c_str()));
	char *dumped = json_dumps(body, 0);
	HttpAnswer answer = http_send("POST", address("operators"),
				      "/v1/statements", dumped, header);

	free(dumped);
	json_decref(body);
	return answer;
}

double DaemonProcess::counter(const std::string &name)
{
	std::string text =
		"\n" + http_get(address("operators"), "/metrics").body;
	size_t at = text.find("\n" + name + " ");

	if (at == std::string::npos)
		return 0;
	return atof(text.c_str() + at + name.size() + 2);
}

std::string DaemonProcess::timeline()
{
	return http_send("GET", address("operators"), "/v1/timeline", "",
			 std::string("Authorization: Bearer ") + token)
		.body;
}

System::System(const SystemOptions &options)
    : log("log"), hosts("hosts"), weights("weights"),
      engine_centres_(options.engine_centres)
{
	up_ = start(options) && configure();
}

bool System::start(const SystemOptions &options)
{
	SystemUrls urls = { log.url(), hosts.url(), weights.url(),
			    options.orders_url, options.usage_url };

	publish(1);
	for (int i = 0; i < options.engines; i++) {
		std::vector<std::string> flags = {
			"--name", "engine-" + std::to_string(i),
			"--weights-url", weights.url()
		};

		flags.insert(flags.end(), options.engine_flags.begin(),
			     options.engine_flags.end());
		engines_.push_back(std::make_unique<Standin>("engine", flags));
		put_engine(i);
	}
	for (int i = 0; i < options.daemons; i++) {
		daemons_.push_back(std::make_unique<DaemonProcess>(
			"entry-" + std::to_string(i), urls,
			options.daemon_settings));
		if (!daemons_[i]->launch())
			return false;
	}
	for (auto &daemon : daemons_)
		if (!daemon->wait_until(start_limit_ms,
					[&] { return daemon->ready(); }))
			return false;
	return true;
}

bool System::configure()
{
	static const char *const statements[] = {
		"create team red",
		"create route rollout pool scenario-lm deadline_ms 60000",
	};

	for (const char *text : statements)
		if (daemon(0).statement(text).status != 200)
			return false;
	key = json_field(daemon(0).statement("grant key red-1 to red").body,
			 "secret");
	// In force on every daemon before anything is asked.
	for (auto &one : daemons_)
		if (!one->wait_until(start_limit_ms, [&] {
			    return one->statement("show keys")
					   .body.find("red-1") !=
				   std::string::npos;
		    }))
			return false;
	return !key.empty();
}

bool System::up() const
{
	return up_;
}

DaemonProcess &System::daemon(int index)
{
	return *daemons_[index];
}

Standin &System::engine(int index)
{
	return *engines_[index];
}

void System::put_engine(int index)
{
	SystemUrls urls = { "", hosts.url(), "", "", "" };

	put_host(urls, "engine-" + std::to_string(index),
		 "\"role\": \"engine\", \"pool\": \"scenario-lm\", "
		 "\"class\": \"dear\", \"checks_fencing\": true, "
		 "\"address\": \"" +
			 engines_[index]->address() + "\"",
		 (size_t)index < engine_centres_.size() ? engine_centres_[index]
							: "bergen-a");
}

uint64_t System::published()
{
	return json_number(
		http_get(weights.address(), "/v1/pools/scenario-lm/latest")
			.body,
		"version");
}

bool System::publish(uint64_t version)
{
	return http_post(weights.address(), "/v1/pools/scenario-lm/versions",
			 "{\"version\": " + std::to_string(version) + "}")
		       .status == 200;
}

HttpAnswer System::order(int index, uint64_t version)
{
	return http_post(engine(index).address(), "/v1/orders",
			 "{\"order\": \"load_version\", \"epoch\": 1000000, "
			 "\"sequence\": 0, \"version\": " +
				 std::to_string(version) + "}");
}

uint64_t System::engine_field(int index, const char *field)
{
	return json_number(http_get(engine(index).address(), "/v1/load").body,
			   field);
}

bool System::all_engines_have(uint64_t version)
{
	for (size_t i = 0; i < engines_.size(); i++)
		if (engine_field((int)i, "weight_version") != version)
			return false;
	return true;
}

int System::lease_holder(const std::string &lease, int asked)
{
	std::string body = daemon(asked).statement("show leases").body;
	json_t *answer = json_loads(body.c_str(), 0, nullptr);
	json_t *rows = json_object_get(answer, "rows");
	std::string holder;
	int found = -1;
	size_t i;
	json_t *row;

	json_array_foreach (rows, i, row)
		if (lease == json_string_value(json_array_get(row, 0)))
			holder = json_string_value(json_array_get(row, 1));
	json_decref(answer);
	for (size_t d = 0; d < daemons_.size(); d++)
		if (holder == daemons_[d]->name())
			found = (int)d;
	return found;
}

void System::start_step(Process &trainer, const std::string &report,
			const std::vector<std::string> &flags)
{
	std::string addresses;
	std::string engine_urls;
	std::vector<std::string> argv = { built_program("currant-standin"),
					  "trainer",
					  "--keys",
					  key,
					  "--report",
					  report,
					  "--weights-url",
					  weights.url() };

	for (auto &daemon : daemons_)
		addresses += "http://" + daemon->address("batch") + ",";
	for (auto &engine : engines_)
		engine_urls += engine->url() + ",";
	argv.insert(argv.end(), { "--addresses-url", addresses,
				  "--verify-engines", engine_urls });
	argv.insert(argv.end(), flags.begin(), flags.end());
	trainer.start(argv);
}

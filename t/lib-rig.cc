#include "t/lib-rig.h"

#include <curl/curl.h>
#include <jansson.h>
#include <strings.h>
#include <unistd.h>

#include <fstream>

static const char *const operator_token = "operator-token";
// SHA-256 of "operator-token".
static const char *const operator_hash =
	"0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

struct Sink {
	Reply *reply;
	std::atomic<size_t> *received;
};

static size_t take_body(char *data, size_t size, size_t count, void *arg)
{
	Sink *sink = static_cast<Sink *>(arg);

	sink->reply->body.append(data, size * count);
	if (sink->received)
		*sink->received += size * count;
	return size * count;
}

static size_t take_head(char *data, size_t size, size_t count, void *arg)
{
	static_cast<Reply *>(arg)->head.append(data, size * count);
	return size * count;
}

Reply ask(const Ask &call)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = curl_slist_append(nullptr, "Expect:");
	std::string url = "http://" + call.address + call.path;
	int64_t begin_ms = steady_now_ms();
	long status = 0;
	Reply reply;
	Sink sink = { &reply, call.received };

	for (const std::string &header : call.headers)
		headers = curl_slist_append(headers, header.c_str());
	curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, call.timeout_ms);
	if (call.method != "GET") {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)call.body.size());
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &sink);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_head);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &reply);
	reply.whole = curl_easy_perform(easy) == CURLE_OK;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	reply.status = (int)status;
	reply.took_ms = steady_now_ms() - begin_ms;
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	return reply;
}

std::string json_text_field(const std::string &json, const std::string &name)
{
	json_t *root = json_loadb(json.data(), json.size(), 0, nullptr);
	const char *text =
		json_string_value(json_object_get(root, name.c_str()));
	std::string out = text ? text : "";

	json_decref(root);
	return out;
}

uint64_t json_number_field(const std::string &json, const std::string &name)
{
	json_t *root = json_loadb(json.data(), json.size(), 0, nullptr);
	uint64_t out = (uint64_t)json_integer_value(
		json_object_get(root, name.c_str()));

	json_decref(root);
	return out;
}

std::string Reply::type() const
{
	return json_text_field(body, "type");
}

std::string Reply::ran() const
{
	return json_text_field(body, "ran");
}

bool Reply::has_retry_after() const
{
	return head.find("\r\nRetry-After: ") != std::string::npos;
}

Rig::Rig(const RigOptions &options)
    : log("log"), hosts("hosts"), weights("weights"), options_(options)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (int i = 0; i < options.daemons; i++) {
		daemons.push_back(std::make_unique<RigDaemon>());
		daemons[i]->name = "entry-" + std::to_string(i + 1);
	}
}

std::string Rig::data_centre(int index) const
{
	return options_.apart && index ? "dc-" + std::to_string(index + 1)
				       : "dc-a";
}

bool Rig::start_daemon(int index)
{
	RigDaemon &daemon = *daemons[index];
	std::string addresses = dir.file(daemon.name + ".addresses");
	std::string settings = dir.file(daemon.name + ".json");

	unlink(addresses.c_str());
	std::ofstream(settings)
		<< "{\"name\":\"" << daemon.name << "\",\"data_centre\":\""
		<< data_centre(index) << "\",\"log_url\":\"" << log.url()
		<< "\",\"hosts_url\":\"" << hosts.url()
		<< "\",\"weights_url\":\"" << weights.url()
		<< "\",\"operators\":{\"threads\":8},\"address_file\":\""
		<< addresses
		<< "\",\"operator_list\":[{\"name\":\"ingrid\","
		   "\"token_sha256\":\""
		<< operator_hash << "\"}]" << options_.settings << "}";
	if (!daemon.process.start({ built_program("currantd"), settings },
				  dir.file(daemon.name + ".log")) ||
	    daemon.process.wait_for_file(addresses, RIG_LIMIT_MS).empty())
		return false;
	const std::string all = read_file(addresses);
	daemon.batch = json_text_field(all, "batch");
	daemon.latency = json_text_field(all, "latency");
	daemon.operators = json_text_field(all, "operators");
	daemon.peer = json_text_field(all, "peer");
	put_entry(index);
	return true;
}

bool Rig::wait_ready(int index)
{
	RigDaemon &daemon = *daemons[index];

	return daemon.process.wait_until(RIG_LIMIT_MS, [&] {
		return http_get(daemon.operators, "/health/ready").status ==
		       200;
	});
}

bool Rig::start()
{
	for (size_t i = 0; i < daemons.size(); i++)
		if (!start_daemon((int)i))
			return false;
	for (size_t i = 0; i < daemons.size(); i++)
		if (!wait_ready((int)i))
			return false;
	return true;
}

void Rig::put_entry(int index)
{
	const RigDaemon &daemon = *daemons[index];

	http_send(
		"PUT", hosts.address(), "/v1/hosts/" + daemon.name,
		"{\"name\":\"" + daemon.name +
			"\",\"role\":\"entry\",\"data_centre\":\"" +
			data_centre(index) +
			"\",\"region\":\"r\",\"state\":\"live\",\"address\":\"" +
			daemon.batch + "\",\"peer_address\":\"" + daemon.peer +
			"\"}");
}

void Rig::put_backend(const std::string &name, const std::string &role,
		      const std::string &pool, const std::string &address,
		      const std::string &state)
{
	http_send("PUT", hosts.address(), "/v1/hosts/" + name,
		  "{\"name\":\"" + name + "\",\"role\":\"" + role +
			  "\",\"pool\":\"" + pool +
			  "\",\"data_centre\":\"dc-a\",\"region\":\"r\","
			  "\"state\":\"" +
			  state + "\",\"address\":\"" + address +
			  "\",\"class\":\"dear\",\"checks_fencing\":true}");
}

void Rig::remove_host(const std::string &name)
{
	http_send("DELETE", hosts.address(), "/v1/hosts/" + name, "");
}

Reply Rig::state(const std::string &statement, int index)
{
	json_t *json = json_pack("{s:s}", "text", statement.c_str());
	char *text = json_dumps(json, 0);
	Ask call;

	call.method = "POST";
	call.address = daemons[index]->operators;
	call.path = "/v1/statements";
	call.body = text;
	call.headers = { std::string("Authorization: Bearer ") +
			 operator_token };
	free(text);
	json_decref(json);
	return ask(call);
}

::testing::AssertionResult Rig::apply(const std::vector<std::string> &changes)
{
	for (const std::string &change : changes) {
		Reply reply = state(change);

		if (reply.status != 200)
			return ::testing::AssertionFailure()
			       << change << ": " << reply.status << " "
			       << reply.body;
	}
	return ::testing::AssertionSuccess();
}

std::string Rig::grant(const std::string &id, const std::string &team)
{
	Reply reply = state("grant key " + id + " to " + team);

	return json_text_field(reply.body, "secret");
}

bool Rig::wait_shown(const std::string &show, const std::string &text)
{
	for (size_t i = 0; i < daemons.size(); i++)
		if (!wait_until(RIG_LIMIT_MS, [&] {
			    return state(show, (int)i).body.find(text) !=
				   std::string::npos;
		    }))
			return false;
	return true;
}

bool Rig::wait_server(const std::string &name)
{
	return wait_shown("show backend_servers where name = \"" + name +
				  "\" and state = live",
			  "\"" + name + "\"");
}

std::string Rig::ticket(int index)
{
	const RigDaemon &daemon = *daemons[index];
	std::string body =
		http_get(daemon.latency, "/v1/addresses?class=latency").body;
	std::string wanted = "\"ticket\":\"" + daemon.name + ":";
	size_t at = body.find(wanted);

	if (at == std::string::npos)
		return "";
	at += sizeof("\"ticket\":\"") - 1;
	return body.substr(at, body.find('"', at) - at);
}

std::string Rig::daemon_log(int index)
{
	return read_file(dir.file(daemons[index]->name + ".log"));
}

std::string Rig::timelines()
{
	std::string all;

	for (auto &daemon : daemons) {
		Ask call;

		call.address = daemon->operators;
		call.path = "/v1/timeline";
		call.headers = { std::string("Authorization: Bearer ") +
				 operator_token };
		if (daemon->process.running())
			all += ask(call).body + "\n";
	}
	return all;
}

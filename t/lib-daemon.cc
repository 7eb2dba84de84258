#include "t/lib-daemon.h"

#include <cstdlib>

struct log_client_options quick_options()
{
	struct log_client_options options;

	log_client_options_init(&options);
	options.flush_ms = 1;
	options.read_gap_ms = 1;
	options.read_wait_ms = 20;
	options.retry_min_ms = 1;
	options.retry_max_ms = 10;
	options.max_queued = 50;
	return options;
}

Daemon::Daemon(FakeLog *log, const std::string &name, uint64_t incarnation,
	       const struct log_client_options &options)
    : port(log), name(name), incarnation(incarnation)
{
	struct log_part part = { nullptr, "log" };

	fake_clock_init(&clock, NS_PER_S);
	log_client_init(&client, port.port(), &clock.base, name.c_str(),
			incarnation, &options, nullptr, &part);
}

Daemon::~Daemon()
{
	log_client_finish(&client);
}

bool Daemon::start()
{
	return log_client_start(&client, &err) == 0;
}

int Daemon::read()
{
	return log_client_read_once(&client, 0, &err);
}

int Daemon::append()
{
	return log_client_append_once(&client, &err);
}

void Daemon::settle()
{
	while (read() > 0 || append() > 0)
		;
}

int Daemon::submit(const Currant__Record *record)
{
	return log_client_submit(&client, record, 0, &err);
}

int Daemon::create(const std::string &id, const std::string &team,
		   int64_t timeout_ns)
{
	int ret = 0;

	with_create_team(id, team, "1", [&](const Currant__Record *record) {
		ret = log_client_append(&client, record, timeout_ns, &result,
					&err);
	});
	return ret;
}

bool Daemon::has_team(const char *team)
{
	const struct config *config = log_client_config_begin(&client);
	bool found = config_team(config, team) != nullptr;

	log_client_config_end(&client);
	return found;
}

void Daemon::with_state(const std::function<void(const struct state *)> &fn)
{
	log_client_with_state(
		&client,
		[](const struct state *state, void *arg) {
			(*static_cast<const std::function<void(
				 const struct state *)> *>(arg))(state);
		},
		const_cast<std::function<void(const struct state *)> *>(&fn));
}

uint64_t Daemon::requests(const char *partition, uint64_t start_s)
{
	uint64_t sum = 0;

	with_state([&](const struct state *state) {
		const struct usage_window *window =
			state_usage_window(state, partition, start_s);

		for (uint32_t i = 0; window && i < window->figure_count; i++)
			sum += window->figures[i].requests;
	});
	return sum;
}

std::string Daemon::pack()
{
	std::string out;

	with_state([&](const struct state *state) {
		uint8_t *data;
		size_t len;

		state_pack(state, &data, &len);
		out.assign(reinterpret_cast<char *>(data), len);
		free(data);
	});
	return out;
}

Verdict verdict_on(Daemon *daemon, const std::string &id)
{
	struct verdict verdict = {};
	Verdict out = ABSENT;

	daemon->with_state([&](const struct state *state) {
		if (!state_verdict(state, id.c_str(), &verdict))
			out = verdict.accepted ? ACCEPTED : REJECTED;
	});
	return out;
}

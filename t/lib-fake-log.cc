#include "t/lib-fake-log.h"

#include <chrono>
#include <cstdlib>
#include <cstring>

uint64_t FakeLog::append(const std::string &data)
{
	std::lock_guard<std::mutex> guard(lock);

	entries.push_back(data);
	grown.notify_all();
	return first_offset + entries.size() - 1;
}

uint64_t FakeLog::head()
{
	std::lock_guard<std::mutex> guard(lock);

	return first_offset + entries.size();
}

uint64_t FakeLog::first()
{
	std::lock_guard<std::mutex> guard(lock);

	return first_offset;
}

std::string FakeLog::entry(uint64_t offset)
{
	std::lock_guard<std::mutex> guard(lock);

	return entries[offset - first_offset];
}

void FakeLog::drop_before(uint64_t offset)
{
	std::lock_guard<std::mutex> guard(lock);

	while (first_offset < offset && !entries.empty()) {
		entries.pop_front();
		first_offset++;
	}
}

void FakeLog::truncate_tail(uint64_t count)
{
	std::lock_guard<std::mutex> guard(lock);

	while (count-- && !entries.empty())
		entries.pop_back();
}

void FakeLog::cut_entry(uint64_t offset, size_t len)
{
	std::lock_guard<std::mutex> guard(lock);

	entries[offset - first_offset].resize(len);
}

int FakeLog::read(uint64_t from, uint32_t max, int64_t wait_ns,
		  struct log_chunk *out)
{
	std::unique_lock<std::mutex> guard(lock);
	auto arrived = [&] { return first_offset + entries.size() > from; };

	memset(out, 0, sizeof(*out));
	if (!arrived() && wait_ns > 0)
		grown.wait_for(guard, std::chrono::nanoseconds(wait_ns),
			       arrived);
	out->first = first_offset;
	out->head = first_offset + entries.size();
	if (from < first_offset)
		return -1;
	if (!arrived())
		return 0;
	out->entries = static_cast<struct log_entry *>(
		calloc(max, sizeof(*out->entries)));
	for (uint64_t at = from; at < out->head && out->entry_count < max;
	     at++) {
		const std::string &data = entries[at - first_offset];
		struct log_entry *entry = &out->entries[out->entry_count++];

		entry->offset = at;
		entry->len = data.size();
		entry->data = static_cast<uint8_t *>(malloc(data.size() + 1));
		memcpy(entry->data, data.data(), data.size());
	}
	return 0;
}

static FakeLogPort *self_of(struct log_port *port)
{
	struct with_self {
		struct log_port port;
		FakeLogPort *self;
	};

	return reinterpret_cast<struct with_self *>(port)->self;
}

int fake_append(struct log_port *port, const void *data, size_t len, int64_t,
		uint64_t *offset, struct error *err)
{
	FakeLogPort *self = self_of(port);
	std::lock_guard<std::mutex> guard(self->lock);
	std::string bytes(static_cast<const char *>(data), len);

	self->appends++;
	if (self->down)
		return error_set(err, ERROR_UNAVAILABLE, "the log is down");
	if (self->to_refuse > 0) {
		self->to_refuse--;
		return error_set(err, ERROR_FULL, "too many appends");
	}
	if (self->to_hold > 0) {
		self->to_hold--;
		self->held.push_back(bytes);
		return error_set(err, ERROR_UNKNOWN_OUTCOME, "it is slow");
	}
	if (self->appends_to_lose > 0) {
		self->appends_to_lose--;
		return error_set(err, ERROR_UNKNOWN_OUTCOME, "cut before");
	}
	*offset = self->log->append(bytes);
	if (self->answers_to_lose > 0) {
		self->answers_to_lose--;
		return error_set(err, ERROR_UNKNOWN_OUTCOME, "cut after");
	}
	return 0;
}

int fake_read(struct log_port *port, uint64_t from, uint32_t max,
	      int64_t wait_ns, struct log_chunk *out, struct error *err)
{
	FakeLogPort *self = self_of(port);

	{
		std::lock_guard<std::mutex> guard(self->lock);

		if (self->down)
			return error_set(err, ERROR_UNAVAILABLE,
					 "the log is down");
	}
	if (self->log->read(from, max, wait_ns, out))
		return error_set(err, ERROR_NOT_FOUND, "dropped");
	return 0;
}

static void fake_finish(struct log_port *)
{
}

static const struct log_port_vtable fake_vtable = { fake_append, fake_read,
						    fake_finish };

FakeLogPort::FakeLogPort(FakeLog *shared) : log(shared)
{
	base.port.vt = &fake_vtable;
	base.self = this;
}

void FakeLogPort::set_down(bool value)
{
	std::lock_guard<std::mutex> guard(lock);

	down = value;
}

void FakeLogPort::lose_answers(int count)
{
	std::lock_guard<std::mutex> guard(lock);

	answers_to_lose = count;
}

void FakeLogPort::lose_appends(int count)
{
	std::lock_guard<std::mutex> guard(lock);

	appends_to_lose = count;
}

void FakeLogPort::refuse(int count)
{
	std::lock_guard<std::mutex> guard(lock);

	to_refuse = count;
}

void FakeLogPort::hold(int count)
{
	std::lock_guard<std::mutex> guard(lock);

	to_hold = count;
}

void FakeLogPort::release()
{
	std::lock_guard<std::mutex> guard(lock);

	for (const std::string &data : held)
		log->append(data);
	held.clear();
}

void FakeLogPort::heal()
{
	set_down(false);
	lose_answers(0);
	lose_appends(0);
	refuse(0);
	hold(0);
	release();
}

int FakeLogPort::append_count()
{
	std::lock_guard<std::mutex> guard(lock);

	return appends;
}

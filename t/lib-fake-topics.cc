#include "lib-fake-topics.h"

#include <algorithm>
#include <cstring>

FakeTime::FakeTime()
{
	fake_clock_init(&clock, 1000 * NS_PER_S);
	timer_service_init(&timers, &clock.base);
}

FakeTime::~FakeTime()
{
	timer_service_finish(&timers);
}

int64_t FakeTime::now_ns() const
{
	return clock.now_ns;
}

void FakeTime::run(int64_t ms)
{
	int64_t end_ns = clock.now_ns + ms * NS_PER_MS;

	timer_service_run_due(&timers);
	while (clock.now_ns < end_ns) {
		int64_t due_ns = timer_service_next_due_ns(&timers);
		int64_t next_ns =
			std::min(std::max(due_ns, clock.now_ns), end_ns);

		fake_clock_advance(&clock, next_ns - clock.now_ns);
		timer_service_run_due(&timers);
		if (next_ns == end_ns)
			break;
	}
}

// A call in flight.
struct FakeTopics::Call {
	FakeTopics *self;
	std::string kind;
	struct topic_append *append = nullptr;
	struct topic_read *read = nullptr;
	struct topic_newest *newest = nullptr;
	Fault fault = Fault::NONE;
	bool is_waiting = false; // a read that waits for new records
	struct timer timer = {};
};

std::string framed(const std::string &record)
{
	struct strbuf out;
	std::string text;

	strbuf_init(&out);
	topic_add_record(&out, record.data(), record.size());
	text.assign(out.buf, out.len);
	strbuf_finish(&out);
	return text;
}

struct FakeTopics::Vtable {
	static FakeTopics *self(struct topic_log *log)
	{
		return ((Base *)log)->self;
	}

	static Call *new_call(struct topic_log *log, const char *kind)
	{
		Call *call = new Call();

		call->self = self(log);
		call->kind = kind;
		return call;
	}

	static void append(struct topic_log *log, struct topic_append *append)
	{
		Call *call = new_call(log, "append");

		call->append = append;
		append->call = call;
		call->self->appends++;
		call->self->start(call);
	}

	static void read(struct topic_log *log, struct topic_read *read)
	{
		Call *call = new_call(log, "read");

		call->read = read;
		read->call = call;
		call->self->reads++;
		call->self->start(call);
	}

	static void newest(struct topic_log *log, struct topic_newest *newest)
	{
		Call *call = new_call(log, "newest");

		call->newest = newest;
		newest->call = call;
		call->self->reads++;
		call->self->start(call);
	}

	static void cancel(struct topic_log *, void *handle)
	{
		Call *call = (Call *)handle;

		call->self->cancel(call);
	}
};

static const struct topic_log_vtable *vtable()
{
	static struct topic_log_vtable table;

	return &table;
}

FakeTopics::FakeTopics(struct timer_service *timers) : timers_(timers)
{
	struct topic_log_vtable *table =
		const_cast<struct topic_log_vtable *>(vtable());

	table->append = Vtable::append;
	table->read = Vtable::read;
	table->newest = Vtable::newest;
	table->cancel = Vtable::cancel;
	base_.log.vt = table;
	base_.log.partitions = 12;
	base_.log.max_record_bytes = 4096;
	base_.log.max_append_bytes = 65536;
	base_.self = this;
}

FakeTopics::~FakeTopics()
{
	while (!calls_.empty())
		cancel(calls_.back());
}

struct topic_log *FakeTopics::log()
{
	return &base_.log;
}

FakePartition &FakeTopics::partition(const std::string &topic, uint32_t number)
{
	return partitions_[{ topic, number }];
}

void FakeTopics::append(const std::string &topic, uint32_t number,
			const std::string &record)
{
	partition(topic, number).records.push_back(record);
	answer_waiting_reads();
}

void FakeTopics::set_fault(Fault fault)
{
	faults = [fault](const std::string &, const std::string &) {
		return fault;
	};
}

void FakeTopics::put(const std::string &topic, const std::string &key,
		     const std::string &value)
{
	std::string record(1, (char)key.size());

	append(topic, 0, record + key + value);
}

void FakeTopics::forget(const std::string &topic, uint32_t number,
			uint64_t first)
{
	partition(topic, number).first = first;
	answer_waiting_reads();
}

static int64_t timeout_ns(const struct topic_append *append,
			  const struct topic_read *read,
			  const struct topic_newest *newest)
{
	if (append)
		return append->timeout_ns;
	return read ? read->wait_ns + read->timeout_ns : newest->timeout_ns;
}

void FakeTopics::start(Call *call)
{
	const char *topic = call->append ? call->append->topic
			    : call->read ? call->read->topic
					 : call->newest->topic;
	int64_t delay_ns = delay_ms * NS_PER_MS;

	if (faults)
		call->fault = faults(call->kind, topic);
	if (writer_faults && call->append && call->fault == Fault::NONE)
		call->fault = writer_faults(call->append->writer);
	if (call->fault == Fault::LOST)
		execute(call);
	if (call->fault == Fault::LATE && call->append) {
		struct topic_append copy = *call->append;
		std::string records((const char *)copy.records,
				    copy.records_len);

		late_.push_back([this, copy, records]() mutable {
			copy.records = records.data();
			do_append(&copy);
		});
	}
	if (call->fault != Fault::NONE && call->fault != Fault::REFUSED)
		delay_ns = timeout_ns(call->append, call->read, call->newest);
	calls_.push_back(call);
	timer_subscribe_once(timers_, &call->timer, delay_ns, on_timer, call);
}

void FakeTopics::carry_out_late()
{
	std::vector<std::function<void()>> late;

	late.swap(late_);
	for (auto &call : late)
		call();
	answer_waiting_reads();
}

void FakeTopics::on_timer(void *arg, int64_t)
{
	Call *call = (Call *)arg;

	call->self->finish(call);
}

bool FakeTopics::has_records(const struct topic_read *read)
{
	const FakePartition &part = partition(read->topic, read->partition);

	return read->from < part.records.size() || read->from < part.first;
}

// Ends a call with its answer or its timeout.
void FakeTopics::finish(Call *call)
{
	if (call->fault == Fault::NONE && call->read && !call->is_waiting &&
	    !denies_history && !has_records(call->read) &&
	    call->read->wait_ns) {
		call->is_waiting = true;
		timer_subscribe_once(timers_, &call->timer, call->read->wait_ns,
				     on_timer, call);
		return;
	}
	calls_.erase(std::find(calls_.begin(), calls_.end(), call));
	if (call->append) {
		if (call->fault == Fault::NONE)
			do_append(call->append);
		else
			call->append->outcome = call->fault == Fault::REFUSED
							? TOPIC_REFUSED
							: TOPIC_UNKNOWN;
	} else if (call->read) {
		call->read->outcome = call->fault == Fault::REFUSED
					      ? TOPIC_REFUSED
					      : TOPIC_UNKNOWN;
		if (call->fault == Fault::NONE)
			do_read(call->read);
	} else {
		call->newest->outcome = call->fault == Fault::REFUSED
						? TOPIC_REFUSED
						: TOPIC_UNKNOWN;
		if (call->fault == Fault::NONE)
			do_newest(call->newest);
	}
	struct topic_append *append = call->append;
	struct topic_read *read = call->read;
	struct topic_newest *newest = call->newest;

	delete call;
	answer_waiting_reads();
	if (append)
		append->done(append);
	else if (read)
		read->done(read);
	else
		newest->done(newest);
}

void FakeTopics::cancel(Call *call)
{
	timer_unsubscribe(timers_, &call->timer);
	calls_.erase(std::find(calls_.begin(), calls_.end(), call));
	delete call;
}

// Schedules the answers of waiting reads for which there are new records.
void FakeTopics::answer_waiting_reads()
{
	for (Call *call : calls_)
		if (call->is_waiting && has_records(call->read))
			timer_subscribe_once(timers_, &call->timer,
					     delay_ms * NS_PER_MS, on_timer,
					     call);
}

void FakeTopics::execute(Call *call)
{
	if (call->append)
		do_append(call->append);
	answer_waiting_reads();
}

bool FakeTopics::is_too_large(const struct topic_append *append) const
{
	struct strbuf records;
	const uint8_t *data;
	size_t len;
	size_t at = 0;
	bool out = append->records_len > base_.log.max_append_bytes;

	strbuf_init(&records);
	strbuf_add(&records, append->records, append->records_len);
	while (topic_next_record(&records, &at, &data, &len))
		out |= len > base_.log.max_record_bytes;
	strbuf_finish(&records);
	return out;
}

void FakeTopics::do_append(struct topic_append *append)
{
	FakePartition &part = partition(append->topic, append->partition);
	FakePartition::Writer &writer = part.writers[append->writer];
	struct strbuf records;
	const uint8_t *data;
	size_t len;
	size_t at = 0;

	if (is_too_large(append)) {
		append->outcome = TOPIC_REFUSED;
		return;
	}
	append->end = part.records.size();
	if (append->writer[0] && writer.answers.count(append->sequence) &&
	    append->epoch == writer.epoch) {
		append->outcome = TOPIC_OK;
		append->offset = writer.answers[append->sequence].first;
		append->end = writer.answers[append->sequence].second;
		return;
	}
	if (append->writer[0] && append->epoch < writer.epoch) {
		append->outcome = TOPIC_FENCED;
		return;
	}
	if (append->writer[0] && append->epoch == writer.epoch &&
	    append->sequence != writer.next) {
		append->outcome = TOPIC_BAD_SEQUENCE;
		append->next_sequence = writer.next;
		return;
	}
	if (append->expected_end >= 0 &&
	    (uint64_t)append->expected_end != part.records.size()) {
		append->outcome = TOPIC_CONFLICT;
		return;
	}
	append->outcome = TOPIC_OK;
	append->offset = part.records.size();
	strbuf_init(&records);
	strbuf_add(&records, append->records, append->records_len);
	while (topic_next_record(&records, &at, &data, &len))
		part.records.emplace_back((const char *)data, len);
	strbuf_finish(&records);
	append->end = part.records.size();
	if (!append->writer[0])
		return;
	writer.epoch = append->epoch;
	writer.next = append->sequence + 1;
	writer.answers[append->sequence] = { append->offset, append->end };
	while (writer.answers.size() > 5)
		writer.answers.erase(writer.answers.begin());
}

void FakeTopics::do_read(struct topic_read *read)
{
	FakePartition &part = partition(read->topic, read->partition);
	uint64_t end = part.records.size() -
		       std::min<uint64_t>(stale_records, part.records.size());

	read->first = part.first;
	read->end = end;
	if (read->from < part.first || denies_history) {
		read->outcome = TOPIC_FORGOTTEN;
		return;
	}
	read->outcome = TOPIC_OK;
	for (uint64_t at = read->from;
	     at < end && read->records.len < read->max_bytes; at++)
		topic_add_record(&read->records, part.records[at].data(),
				 part.records[at].size());
}

void FakeTopics::do_newest(struct topic_newest *newest)
{
	FakePartition &part = partition(newest->topic, newest->partition);
	std::map<std::string, std::pair<std::string, uint64_t>> keys;
	const size_t page = 2;
	size_t listed = 0;

	for (uint64_t i = 0; i < part.records.size(); i++) {
		const std::string &record = part.records[i];
		std::string key = record.substr(1, (uint8_t)record[0]);
		std::string value = record.substr(1 + key.size());

		if (value.empty())
			keys.erase(key);
		else
			keys[key] = { value, i };
	}
	newest->outcome = TOPIC_OK;
	newest->end = part.records.size();
	newest->has_more = 0;
	for (const auto &entry : keys) {
		if (newest->after.len && entry.first <= newest->after.buf)
			continue;
		if (listed++ == page) {
			newest->has_more = 1;
			return;
		}
		newest->each(newest, entry.first.c_str(),
			     entry.second.first.data(),
			     entry.second.first.size(), entry.second.second);
		strbuf_reset(&newest->after);
		strbuf_addstr(&newest->after, entry.first.c_str());
	}
}

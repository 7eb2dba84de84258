#include "t/lib-record.h"

static char *text(const std::string &value)
{
	return const_cast<char *>(value.c_str());
}

void with_claim(const std::string &name, const std::string &holder,
		uint64_t incarnation, uint64_t based_on, const WithRecord &fn,
		uint64_t duration_ms)
{
	Currant__LeaseClaim claim = CURRANT__LEASE_CLAIM__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	claim.name = text(name);
	claim.holder = text(holder);
	claim.holder_incarnation = incarnation;
	claim.based_on = based_on;
	claim.duration_ms = duration_ms;
	record.body_case = CURRANT__RECORD__BODY_LEASE_CLAIM;
	record.lease_claim = &claim;
	fn(&record);
}

void with_release(const std::string &name, const std::string &holder,
		  uint64_t incarnation, uint64_t based_on, const WithRecord &fn)
{
	Currant__LeaseRelease release = CURRANT__LEASE_RELEASE__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	release.name = text(name);
	release.holder = text(holder);
	release.holder_incarnation = incarnation;
	release.based_on = based_on;
	record.body_case = CURRANT__RECORD__BODY_LEASE_RELEASE;
	record.lease_release = &release;
	fn(&record);
}

static void with_team(const std::string &id, Currant__ChangeVerb verb,
		      const std::string &team, const std::string &weight,
		      bool has_expected, uint64_t expected,
		      const WithRecord &fn)
{
	Currant__Attribute attribute = CURRANT__ATTRIBUTE__INIT;
	Currant__Attribute *attributes[] = { &attribute };
	Currant__Change change = CURRANT__CHANGE__INIT;
	Currant__Command command = CURRANT__COMMAND__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;
	std::string name = "weight";

	attribute.name = text(name);
	attribute.value = text(weight);
	change.verb = verb;
	change.kind = CURRANT__OBJECT_KIND__OBJECT_KIND_TEAM;
	change.name = text(team);
	change.attributes = attributes;
	change.n_attributes = 1;
	change.has_expected_version = has_expected;
	change.expected_version = expected;
	command.id = text(id);
	command.change = &change;
	record.body_case = CURRANT__RECORD__BODY_COMMAND;
	record.command = &command;
	fn(&record);
}

void with_create_team(const std::string &id, const std::string &team,
		      const std::string &weight, const WithRecord &fn)
{
	with_team(id, CURRANT__CHANGE_VERB__CHANGE_VERB_CREATE, team, weight,
		  false, 0, fn);
}

void with_alter_team(const std::string &id, const std::string &team,
		     const std::string &weight, uint64_t expected_version,
		     const WithRecord &fn)
{
	with_team(id, CURRANT__CHANGE_VERB__CHANGE_VERB_ALTER, team, weight,
		  true, expected_version, fn);
}

void with_partial(const std::string &partition, uint64_t start_s,
		  const std::string &team, uint64_t requests,
		  const WithRecord &fn)
{
	Currant__UsageSum sum = CURRANT__USAGE_SUM__INIT;
	Currant__UsageSum *sums[] = { &sum };
	Currant__UsagePartial partial = CURRANT__USAGE_PARTIAL__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	sum.team = text(team);
	sum.requests = requests;
	sum.completion_tokens = 10 * requests;
	partial.partition = text(partition);
	partial.window_start_s = start_s;
	partial.sums = sums;
	partial.n_sums = 1;
	record.body_case = CURRANT__RECORD__BODY_USAGE_PARTIAL;
	record.usage_partial = &partial;
	fn(&record);
}

void with_close(const std::string &partition, uint64_t start_s,
		uint64_t lease_position, const WithRecord &fn)
{
	Currant__UsageClose close = CURRANT__USAGE_CLOSE__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	close.partition = text(partition);
	close.window_start_s = start_s;
	close.lease_position = lease_position;
	record.body_case = CURRANT__RECORD__BODY_USAGE_CLOSE;
	record.usage_close = &close;
	fn(&record);
}

void with_acknowledged(const std::string &partition, uint64_t start_s,
		       const WithRecord &fn)
{
	Currant__UsageAcknowledged acknowledged =
		CURRANT__USAGE_ACKNOWLEDGED__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	acknowledged.partition = text(partition);
	acknowledged.window_start_s = start_s;
	record.body_case = CURRANT__RECORD__BODY_USAGE_ACKNOWLEDGED;
	record.usage_acknowledged = &acknowledged;
	fn(&record);
}

void with_version(const std::string &pool, uint64_t version,
		  const WithRecord &fn)
{
	Currant__WeightPublished published = CURRANT__WEIGHT_PUBLISHED__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	published.pool = text(pool);
	published.version = version;
	record.body_case = CURRANT__RECORD__BODY_WEIGHT_PUBLISHED;
	record.weight_published = &published;
	fn(&record);
}

void with_quarantine(uint64_t fingerprint, uint64_t until_ms,
		     const WithRecord &fn)
{
	Currant__Quarantine quarantine = CURRANT__QUARANTINE__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	quarantine.fingerprint = fingerprint;
	quarantine.until_wall_ms = until_ms;
	record.body_case = CURRANT__RECORD__BODY_QUARANTINE;
	record.quarantine = &quarantine;
	fn(&record);
}

std::string packed(Writer &writer, const Currant__Record *record)
{
	Currant__Origin origin = CURRANT__ORIGIN__INIT;
	Currant__Record copy = *record;
	std::string out;

	origin.writer = text(writer.name);
	origin.incarnation = writer.incarnation;
	origin.sequence = ++writer.sequence;
	copy.origin = &origin;
	out.resize(currant__record__get_packed_size(&copy));
	currant__record__pack(&copy, reinterpret_cast<uint8_t *>(&out[0]));
	return out;
}

std::string entry_of(const std::vector<std::string> &records)
{
	Currant__RecordBatch batch = CURRANT__RECORD_BATCH__INIT;
	std::vector<Currant__Record *> list;
	std::string out;

	for (const std::string &record : records)
		list.push_back(currant__record__unpack(
			NULL, record.size(),
			reinterpret_cast<const uint8_t *>(record.data())));
	batch.records = list.data();
	batch.n_records = list.size();
	out.resize(currant__record_batch__get_packed_size(&batch));
	currant__record_batch__pack(&batch,
				    reinterpret_cast<uint8_t *>(&out[0]));
	for (Currant__Record *record : list)
		currant__record__free_unpacked(record, NULL);
	return out;
}

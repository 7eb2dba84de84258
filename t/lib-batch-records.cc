#include "lib-batch-records.h"

extern "C" {
#include "proto/topic.pb-c.h"
}

static std::string pack(const Currant__Topic__BatchRecord *record)
{
	std::string out(currant__topic__batch_record__get_packed_size(record),
			'\0');

	currant__topic__batch_record__pack(record, (uint8_t *)&out[0]);
	return out;
}

static char *mutable_text(const std::string &text)
{
	return const_cast<char *>(text.c_str());
}

std::string accepted_record(const std::string &batch,
			    const std::vector<std::string> &items,
			    uint64_t items_offset, uint64_t min_version,
			    const std::string &team)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__BatchAccepted accepted =
		CURRANT__TOPIC__BATCH_ACCEPTED__INIT;
	std::vector<char *> ids;

	for (const std::string &item : items)
		ids.push_back(mutable_text(item));
	accepted.batch = mutable_text(batch);
	accepted.team = mutable_text(team);
	accepted.items = ids.data();
	accepted.n_items = ids.size();
	accepted.items_offset = items_offset;
	accepted.items_records = 1;
	accepted.min_version = min_version;
	accepted.max_attempts = 3;
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_ACCEPTED;
	record.accepted = &accepted;
	return pack(&record);
}

std::string result_record(const std::string &batch, uint32_t item,
			  const std::vector<uint64_t> &versions,
			  uint64_t text_offset, uint32_t text_bytes,
			  bool complete)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__ItemResult result = CURRANT__TOPIC__ITEM_RESULT__INIT;

	result.batch = mutable_text(batch);
	result.item = item;
	result.state = complete ? CURRANT__TOPIC__ITEM_STATE__COMPLETE
				: CURRANT__TOPIC__ITEM_STATE__GIVEN_UP;
	result.versions = const_cast<uint64_t *>(versions.data());
	result.n_versions = versions.size();
	result.text_offset = text_offset;
	result.text_bytes = text_bytes;
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_RESULT;
	record.result = &result;
	return pack(&record);
}

std::string end_record(const std::string &batch)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__BatchEnd end = CURRANT__TOPIC__BATCH_END__INIT;

	end.batch = mutable_text(batch);
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_END;
	record.end = &end;
	return pack(&record);
}

std::string claim_record(const std::string &host, uint64_t replaces,
			 bool release, uint64_t incarnation)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__PartitionClaim claim =
		CURRANT__TOPIC__PARTITION_CLAIM__INIT;

	claim.host = mutable_text(host);
	claim.incarnation = incarnation;
	claim.release = release;
	claim.replaces = replaces;
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_CLAIM;
	record.claim = &claim;
	return pack(&record);
}

std::string progress_record(const std::string &batch, uint32_t item,
			    int64_t last_event, uint32_t failed_runs)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__ItemProgress progress =
		CURRANT__TOPIC__ITEM_PROGRESS__INIT;

	progress.batch = mutable_text(batch);
	progress.item = item;
	progress.last_event = last_event;
	progress.failed_runs = failed_runs;
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_PROGRESS;
	record.progress = &progress;
	return pack(&record);
}

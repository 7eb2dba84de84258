// Builds records of the batch topic for tests.
#ifndef T_LIB_BATCH_RECORDS_H
#define T_LIB_BATCH_RECORDS_H

#include <cstdint>
#include <string>
#include <vector>

std::string accepted_record(const std::string &batch,
			    const std::vector<std::string> &items,
			    uint64_t items_offset = 0, uint64_t min_version = 0,
			    const std::string &team = "team");
std::string result_record(const std::string &batch, uint32_t item,
			  const std::vector<uint64_t> &versions,
			  uint64_t text_offset = 0, uint32_t text_bytes = 5,
			  bool complete = true);
std::string end_record(const std::string &batch);
std::string claim_record(const std::string &host, uint64_t replaces,
			 bool release = false, uint64_t incarnation = 1);
std::string progress_record(const std::string &batch, uint32_t item,
			    int64_t last_event, uint32_t failed_runs = 0);

#endif

// Builds log records and entries for tests.
#ifndef T_LIB_RECORD_H
#define T_LIB_RECORD_H

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "proto/record.pb-c.h"
#include "state/state.h"
}

struct Writer {
	std::string name;
	uint64_t incarnation;
	uint64_t sequence;
};

// Records without an origin, packed; the functions that take a Record give
// it one only for the time of the call.
using WithRecord = std::function<void(const Currant__Record *)>;

void with_claim(const std::string &name, const std::string &holder,
		uint64_t incarnation, uint64_t based_on, const WithRecord &fn,
		uint64_t duration_ms = 1000);
void with_release(const std::string &name, const std::string &holder,
		  uint64_t incarnation, uint64_t based_on,
		  const WithRecord &fn);
void with_create_team(const std::string &id, const std::string &team,
		      const std::string &weight, const WithRecord &fn);
void with_alter_team(const std::string &id, const std::string &team,
		     const std::string &weight, uint64_t expected_version,
		     const WithRecord &fn);
void with_partial(const std::string &partition, uint64_t start_s,
		  const std::string &team, uint64_t requests,
		  const WithRecord &fn);
void with_close(const std::string &partition, uint64_t start_s,
		uint64_t lease_position, const WithRecord &fn);
void with_acknowledged(const std::string &partition, uint64_t start_s,
		       const WithRecord &fn);
void with_version(const std::string &pool, uint64_t version,
		  const WithRecord &fn);
void with_quarantine(uint64_t fingerprint, uint64_t until_ms,
		     const WithRecord &fn);

// One packed record of the writer, whose sequence rises.
std::string packed(Writer &writer, const Currant__Record *record);

// One entry of packed records.
std::string entry_of(const std::vector<std::string> &records);

#endif

#ifndef T_LIB_CHANGE_H
#define T_LIB_CHANGE_H

// Builds changes for tests from words, without the parser.
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "proto/record.pb-c.h"
}

class ChangeText
{
      public:
	// "create", "team", "red", then attributes as "name=value" words; the
	// word "@7" expects version 7.
	explicit ChangeText(const std::string &words);
	ChangeText(const ChangeText &) = delete;
	ChangeText &operator=(const ChangeText &) = delete;

	const Currant__Change *get() const
	{
		return &change;
	}

      private:
	Currant__Change change = CURRANT__CHANGE__INIT;
	std::string name;
	std::vector<std::pair<std::string, std::string>> texts;
	std::vector<Currant__Attribute> attributes;
	std::vector<Currant__Attribute *> pointers;
};

#endif

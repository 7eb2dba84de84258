#include "t/lib-change.h"

#include <cstdlib>
#include <sstream>

static int place(const std::string &word, const std::vector<std::string> &words)
{
	for (size_t i = 0; i < words.size(); i++)
		if (words[i] == word)
			return static_cast<int>(i);
	return atoi(word.c_str());
}

ChangeText::ChangeText(const std::string &words)
{
	std::istringstream in(words);
	std::string verb, kind, word;

	in >> verb >> kind >> name;
	change.verb = static_cast<Currant__ChangeVerb>(place(
		verb, { "", "create", "alter", "drop", "grant", "withdraw" }));
	change.kind = static_cast<Currant__ObjectKind>(
		place(kind, { "", "team", "key", "route", "bound", "budget" }));
	change.name = &name[0];
	while (in >> word) {
		size_t equals = word.find('=');

		if (word[0] == '@') {
			change.has_expected_version = 1;
			change.expected_version =
				strtoull(word.c_str() + 1, nullptr, 10);
			continue;
		}
		texts.emplace_back(word.substr(0, equals),
				   word.substr(equals + 1));
	}
	attributes.resize(texts.size());
	for (size_t i = 0; i < texts.size(); i++) {
		attributes[i] = CURRANT__ATTRIBUTE__INIT;
		attributes[i].name = &texts[i].first[0];
		attributes[i].value = &texts[i].second[0];
		pointers.push_back(&attributes[i]);
	}
	change.n_attributes = pointers.size();
	change.attributes = pointers.data();
}

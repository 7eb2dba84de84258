// One run of the fault soak: real daemons under a seed's faults.
//
//   soak SEED [--keep FOLDER]      plays the seed's plan; keeps its history
//        --keep-broken FOLDER      keeps it only if a promise was broken
//   soak SEED --plant NAME         no faults, and one that must be found
//   soak --plants                  names what can be planted
//
// Exit status: 0 all promises kept (or the planted fault found), 1 not,
// 2 wrong command line.

#include <gtest/gtest.h>

#include <cstring>
#include <iostream>

#include "soak/world.h"

int main(int argc, char **argv)
{
	std::string keep, keep_broken, plant;
	uint64_t seed = 0;
	bool has_seed = false;

	testing::InitGoogleTest(&argc, argv);
	for (int i = 1; i < argc; i++) {
		if (!strcmp(argv[i], "--plants")) {
			for (const std::string &name : planted_faults)
				std::cout << name << "\n";
			return 0;
		}
		if (!strcmp(argv[i], "--keep") && i + 1 < argc) {
			keep = argv[++i];
		} else if (!strcmp(argv[i], "--keep-broken") && i + 1 < argc) {
			keep_broken = argv[++i];
		} else if (!strcmp(argv[i], "--plant") && i + 1 < argc) {
			plant = argv[++i];
		} else if (isdigit(argv[i][0])) {
			seed = std::stoull(argv[i]);
			has_seed = true;
		} else {
			std::cerr << "soak: unknown argument '" << argv[i]
				  << "'\n";
			return 2;
		}
	}
	if (!has_seed) {
		std::cerr << "soak: no seed is named\n";
		return 2;
	}

	World world(seed);
	bool kept = world.run(plant.empty(), plant);

	for (const std::string &line : world.violations())
		std::cout << "seed " << seed << ": " << line << "\n";
	if (!keep.empty())
		world.keep(keep + "/" + std::to_string(seed));
	if (!kept && !keep_broken.empty())
		world.keep(keep_broken + "/" + std::to_string(seed));
	std::cout << "seed " << seed << (kept ? ": kept" : ": broken")
		  << std::endl;
	return kept == plant.empty() ? 0 : 1;
}

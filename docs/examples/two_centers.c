/*
 * Prints a configuration of two data centres and one service of four shards,
 * with a replica of each shard in both data centres.
 *
 * Usage: two_centers PORT...
 *
 * Takes the ports of eight targets on 127.0.0.1: four in data centre "north",
 * then four in "south", in the order of their shards.
 */
#include <stdio.h>

#include "mc/intent.h"

enum {
	SHARDS = 4,
	DEADLINE_MS = 500,
};

static void add_targets(mc_intent_t *intent, const char *data_center,
			char **ports)
{
	char address[64];
	uint32_t shard;

	for (shard = 0; shard < SHARDS; shard++) {
		snprintf(address, sizeof(address), "127.0.0.1:%s",
			 ports[shard]);
		mc_intent_target(intent, "pots", "quarters", shard, data_center,
				 "v1", address);
	}
}

int main(int argc, char **argv)
{
	static const uint64_t documents[SHARDS] = { 1000, 1200, 900, 1100 };
	mc_intent_t *intent;
	int status;

	if (argc != 1 + 2 * SHARDS) {
		fprintf(stderr, "usage: two_centers PORT... (%d ports)\n",
			2 * SHARDS);
		return 2;
	}
	intent = mc_intent_create();
	if (!intent)
		return 1;
	mc_intent_data_center(intent, "north", true);
	mc_intent_data_center(intent, "south", true);
	mc_intent_service(intent, "pots", DEADLINE_MS);
	mc_intent_layout(intent, "pots", "quarters", SHARDS, documents);
	mc_intent_snapshot(intent, "pots", "s1", "quarters", 1);
	add_targets(intent, "north", argv + 1);
	add_targets(intent, "south", argv + 1 + SHARDS);
	status = mc_intent_print(intent, stdout);
	mc_intent_destroy(intent);
	return status;
}

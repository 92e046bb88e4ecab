/*
 * Prints the configuration of two services of a garden, "readings" and
 * "pots". Each service has four shards, with a replica of each shard in both
 * data centres. The targets of "readings" move from version v7 to v8 on
 * 1 May 2027.
 *
 *	./garden > garden.toml
 *	mangocove check garden.toml
 *	mangocove submit garden.toml
 */
#include <stdio.h>

#include "mc/intent.h"

enum {
	SHARDS = 4,
	ADDRESS_SIZE = 32,
	READINGS_DEADLINE_MS = 180,
	POTS_DEADLINE_MS = 500,
	READINGS_PORT = 9000,
	POTS_PORT = 9100,
};

/* 2027-05-01T06:00:00Z and 08:00:00Z, in ms since the Unix epoch. */
static const mc_ms_t move_start = INT64_C(1809151200000);
static const mc_ms_t move_done_by = INT64_C(1809158400000);

static const uint64_t documents[SHARDS] = { 120000, 118000, 121500, 119000 };

/* The data centres, with the first three bytes of their IPv4 addresses. */
static const struct {
	const char *name;
	const char *network;
} data_centers[] = {
	{ "pamplona", "10.1.0" },
	{ "tudela", "10.2.0" },
};

/* Adds a target of @version for each shard in each data centre. */
static void add_targets(mc_intent_t *intent, const char *service,
			const char *version, int port)
{
	char address[ADDRESS_SIZE];
	uint32_t shard;
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(data_centers); i++)
		for (shard = 0; shard < SHARDS; shard++) {
			snprintf(address, sizeof(address), "%s.%u:%d",
				 data_centers[i].network, shard + 1, port);
			mc_intent_target(intent, service, "four", shard,
					 data_centers[i].name, version,
					 address);
		}
}

static void add_service(mc_intent_t *intent, const char *service,
			mc_ms_t deadline)
{
	mc_intent_service(intent, service, deadline);
	mc_intent_layout(intent, service, "four", SHARDS, documents);
	mc_intent_snapshot(intent, service, "2027-04-29", "four", 1);
	mc_intent_snapshot(intent, service, "2027-04-30", "four", 2);
}

int main(void)
{
	mc_intent_t *intent = mc_intent_create();
	int status;
	size_t i;

	if (!intent)
		return 1;
	for (i = 0; i < MC_ARRAY_LEN(data_centers); i++)
		mc_intent_data_center(intent, data_centers[i].name, true);
	add_service(intent, "readings", READINGS_DEADLINE_MS);
	add_targets(intent, "readings", "v7", READINGS_PORT);
	add_targets(intent, "readings", "v8", READINGS_PORT + 1);
	mc_intent_move(intent, "readings", "v7", "v8", move_start, move_done_by,
		       MC_MOVE_FALLBACK_TAKE_BACK);
	add_service(intent, "pots", POTS_DEADLINE_MS);
	add_targets(intent, "pots", "v3", POTS_PORT);
	status = mc_intent_print(intent, stdout);
	mc_intent_destroy(intent);
	return status;
}

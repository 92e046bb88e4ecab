/*
 * The adapter's decoding under arbitrary text: it says yes or no, and what it
 * accepts holds what it promises.
 */
#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "decode.h"
#include "mc/platform.h"

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	return apr_initialize();
}

static void check_map(const json_t *json)
{
	const mc_routemap_route_t *route;
	mc_routemap_t *map = NULL;

	if (decode_map(json, &map)) {
		if (map)
			abort();
		return;
	}
	route = mc_routemap_match_route(map, "h.example", "/p/q");
	if (route && (!route->destination_count || route->timeout <= 0 ||
		      strncmp(route->prefix, "/", 1)))
		abort();
	mc_routemap_unref(map);
}

static void check_target(const json_t *json)
{
	mc_target_entry_t entry;

	if (decode_target("i-1", json, &entry))
		return;
	if (!entry.slots || !*entry.address || !*entry.service)
		abort();
}

static void check_reply(const char *text)
{
	const mc_h1_header_t headers[] = {
		{ "Mangocove-Server-Load", text },
		{ "Mangocove-Deadline-Ms", text },
	};
	const mc_h1_message_t message = { .status = 200,
					  .header_count = 2,
					  .headers = headers };
	mc_tier_response_info_t reply;
	mc_tier_request_info_t call;

	mc_platform_dialect()->parse_response(&message, &reply);
	mc_platform_dialect()->parse_request(&message, &call);
	if (call.time_left < -1 || reply.kind != MC_TIER_RESPONSE_RAN)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *json =
		json_loadb((const char *)data, size, JSON_DECODE_ANY, NULL);
	char *text = strndup((const char *)data, size);

	if (json) {
		check_map(json);
		check_target(json);
	}
	check_reply(text);
	json_decref(json);
	free(text);
	return 0;
}

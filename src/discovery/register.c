/*
 * An instance's own record in the store: written once, and again where a former
 * instance of its name was somewhere else.
 */
#include "discovery_private.h"

#include <stdio.h>
#include <string.h>

static mc_source_instance_t self_of(const mc_discovery_t *follow)
{
	mc_source_instance_t self = { 0 };

	snprintf(self.name, sizeof(self.name), "%s",
		 follow->params.instance_name);
	snprintf(self.data_center, sizeof(self.data_center), "%s",
		 follow->params.data_center);
	snprintf(self.relay_address, sizeof(self.relay_address), "%s",
		 follow->params.relay_address ? follow->params.relay_address
					      : "");
	return self;
}

static bool is_other(const mc_discovery_t *follow,
		     const mc_source_result_t *result)
{
	const mc_source_instance_t self = self_of(follow);

	return result->err == MC_ERR_CONFLICT && result->record_count &&
	       (strcmp(result->records->instance.relay_address,
		       self.relay_address) ||
		strcmp(result->records->instance.data_center,
		       self.data_center));
}

static void announced(void *ctx, const mc_source_result_t *result)
{
	mc_discovery_t *follow = ctx;
	mc_handle_t timer = MC_HANDLE_NONE;

	follow_note_store(follow, result->err);
	/* A former instance of this name was elsewhere. */
	follow->replaces = is_other(follow, result);
	if (!result->err ||
	    (result->err == MC_ERR_CONFLICT && !follow->replaces))
		return;
	follow_timer(follow, follow_pause(follow, follow->announce_failures++),
		     follow_announce, follow, &timer);
}

void follow_announce(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *follow = arg;
	const mc_source_instance_t self = self_of(follow);
	mc_handle_t timer = MC_HANDLE_NONE;

	mc_counter_add(mc_shard_counters(shard), MC_COUNTER_STORE_CALLS, 1);
	if (follow->params.source->register_instance(
		    follow->source, &self, follow->replaces, announced, follow))
		follow_timer(follow, FOLLOW_PAUSE_MAX_MS, follow_announce,
			     follow, &timer);
}

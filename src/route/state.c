/*
 * What a router learns while it runs: states of targets and gathers, shares of
 * versions, and sub-queries that go out and come back.
 */
#include "router.h"

#include <string.h>

/* Share of its latency that a replica keeps when another one is sent to. */
static const double LATENCY_KEPT = 1.0 - 1.0 / 256;
/* Weight of a new sample in a target's smoothed latency. */
static const double LATENCY_WEIGHT = 0.2;

void mc_router_set_gather_usable(mc_router_t *router, uint32_t gather,
				 bool usable)
{
	if (gather < router->gather_count)
		router->gathers[gather].gather.usable = usable;
}

static mc_version_class_t classify_version(const char *version,
					   const char *from, const char *to)
{
	if (!strcmp(version, to))
		return MC_VERSION_TO;
	return strcmp(version, from) ? MC_VERSION_OTHER : MC_VERSION_FROM;
}

void mc_router_set_version_share(mc_router_t *router, mc_row_t service,
				 const char *from, const char *to, double share)
{
	const mc_config_t *config = router->config;
	mc_row_t i;

	if (service >= config->service_count)
		return;
	router->services[service].share = share;
	for (i = 0; i < config->target_count; i++)
		if (config->targets[i].service == service)
			router->targets[i].version = classify_version(
				config->targets[i].version, from, to);
}

void mc_router_set_target_state(mc_router_t *router, mc_row_t target,
				mc_route_target_state_t state, mc_ms_t now)
{
	mc_target_record_t *record;

	if (target >= router->config->target_count)
		return;
	record = &router->targets[target];
	switch (state) {
	case MC_ROUTE_TARGET_READY:
		record->draining = false;
		break;
	case MC_ROUTE_TARGET_DRAINING:
		record->draining = true;
		break;
	case MC_ROUTE_TARGET_FAILED:
		record->failed_until = now + MC_ROUTE_FAILED_MS;
		break;
	case MC_ROUTE_TARGET_BUSY:
		record->busy_until = now + MC_ROUTE_BUSY_MS;
		break;
	}
}

static bool has_usable_owner(const mc_router_t *router, mc_row_t target)
{
	const uint32_t *owners =
		&router->owners[(size_t)target * router->owners_max];
	uint32_t i;

	for (i = 0; i < router->targets[target].owner_count; i++)
		if (router->gathers[owners[i]].gather.usable)
			return true;
	return false;
}

bool mc_router_is_target_usable(const mc_router_t *router, mc_row_t target)
{
	const mc_config_t *config = router->config;

	if (target >= config->target_count)
		return false;
	if (config->data_centers[config->targets[target].data_center]
		    .out_of_service)
		return false;
	if (router->targets[target].draining)
		return false;
	return has_usable_owner(router, target);
}

void mc_router_begin_request(mc_router_t *router)
{
	router->request++;
}

/* A slow replica is so tried again, ever more rarely the slower it is. */
static void fade_passed(mc_router_t *router, mc_row_t chosen)
{
	const mc_target_t *row = &router->config->targets[chosen];
	const mc_row_t *targets;
	uint32_t count, i;

	targets = mc_config_shard_targets(router->config, row->layout,
					  row->shard, &count);
	for (i = 0; i < count; i++) {
		mc_target_record_t *record = &router->targets[targets[i]];

		if (record->passed && record->latency > MC_ROUTE_LATENCY_MIN)
			record->latency *= LATENCY_KEPT;
		record->passed = false;
	}
}

void mc_router_record_sent(mc_router_t *router, mc_route_choice_t choice)
{
	if (choice.target < router->config->target_count) {
		router->targets[choice.target].in_flight++;
		fade_passed(router, choice.target);
	}
	if (choice.gather < router->gather_count)
		router->gathers[choice.gather].gather.in_flight++;
}

static void decrease(uint32_t *count)
{
	if (*count > 0)
		(*count)--;
}

static void add_latency(mc_target_record_t *record, mc_ms_t latency)
{
	double sample = (double)latency;

	if (sample < MC_ROUTE_LATENCY_MIN)
		sample = MC_ROUTE_LATENCY_MIN;
	if (record->latency > 0)
		sample = record->latency +
			 LATENCY_WEIGHT * (sample - record->latency);
	record->latency = sample;
}

void mc_router_record_done(mc_router_t *router, mc_route_choice_t choice,
			   mc_ms_t latency)
{
	if (choice.gather < router->gather_count)
		decrease(&router->gathers[choice.gather].gather.in_flight);
	if (choice.target >= router->config->target_count)
		return;
	decrease(&router->targets[choice.target].in_flight);
	if (latency >= 0)
		add_latency(&router->targets[choice.target], latency);
}

void mc_router_record_canceled(mc_router_t *router, mc_route_choice_t choice,
			       mc_ms_t elapsed)
{
	bool slower = choice.target < router->config->target_count &&
		      (double)elapsed > router->targets[choice.target].latency;

	mc_router_record_done(router, choice, slower ? elapsed : -1);
}

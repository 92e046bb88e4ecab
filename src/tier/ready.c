/*
 * Readiness endpoint for the platform's load balancer and metrics in text
 * format, each on an address of its own. An instance is ready once each of its
 * data shards has a map and all targets, unless it is cut off from them or
 * stopping.
 */
#include "tier_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "target_notice.h"

enum {
	STATUS_OK = 200,
	STATUS_NOT_FOUND = 404,
	STATUS_UNAVAILABLE = 503,
};

/* Callers' connections are accepted by any data shard. */
static bool all_informed(const tier_process_t *process)
{
	uint64_t informed =
		__atomic_load_n(&process->informed_shards, __ATOMIC_RELAXED);
	uint32_t i;

	for (i = 0; i < mc_runtime_shard_count(process->runtime); i++)
		if (!(informed & UINT64_C(1) << i))
			return false;
	return true;
}

static void on_ready_request(void *ctx, mc_handle_t caller,
			     const mc_h1_message_t *message, mc_ms_t first_byte)
{
	tier_t *tier = ctx;
	bool ready = all_informed(tier->process) && !tier->draining &&
		     !__atomic_load_n(&tier->process->cut_off_shards,
				      __ATOMIC_RELAXED);
	mc_h1_response_t response = {
		.status = ready ? STATUS_OK : STATUS_UNAVAILABLE,
	};

	(void)first_byte;
	if (strcmp(message->uri, tier->protocol->ready_path))
		response.status = STATUS_NOT_FOUND;
	mc_h1_respond(tier->ready, caller, &response);
}

static void on_metrics_request(void *ctx, mc_handle_t caller,
			       const mc_h1_message_t *message,
			       mc_ms_t first_byte)
{
	tier_t *tier = ctx;
	mc_counters_t sum;
	target_notice_counts_t said;
	mc_h1_response_t response = {
		.status = STATUS_OK,
		.header_lines = "Content-Type: text/plain; version=0.0.4\r\n",
	};
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	(void)message;
	(void)first_byte;
	target_notice_count(tier, &said);
	if (out) {
		mc_runtime_sum_counters(tier->process->runtime, &sum);
		mc_counters_print(&sum, out);
		metrics_print(&tier->process->route_metrics, out);
		customer_metrics_print(&tier->process->customer_metrics, out);
		fprintf(out,
			"# HELP mangocove_map_version version in force\n"
			"# TYPE mangocove_map_version gauge\n"
			"mangocove_map_version %llu\n"
			"# HELP mangocove_targets targets that are known\n"
			"# TYPE mangocove_targets gauge\n"
			"mangocove_targets %u\n"
			"# HELP mangocove_instances instances that are known\n"
			"# TYPE mangocove_instances gauge\n"
			"mangocove_instances %u\n"
			"# HELP mangocove_targets_limited targets that name a "
			"limit\n"
			"# TYPE mangocove_targets_limited gauge\n"
			"mangocove_targets_limited %u\n"
			"# HELP mangocove_targets_leaving targets that say "
			"that they leave\n"
			"# TYPE mangocove_targets_leaving gauge\n"
			"mangocove_targets_leaving %u\n"
			"# HELP mangocove_targets_paused targets that want no "
			"requests for a time\n"
			"# TYPE mangocove_targets_paused gauge\n"
			"mangocove_targets_paused %u\n"
			"# HELP mangocove_log_lines_dropped lines not written\n"
			"# TYPE mangocove_log_lines_dropped counter\n"
			"mangocove_log_lines_dropped %llu\n",
			tier->view && tier->view->map
				? (unsigned long long)mc_routemap_version(
					  tier->view->map)
				: 0ULL,
			tier->view ? tier->view->target_count : 0,
			tier->instances, said.limited, said.leaving,
			said.paused,
			(unsigned long long)mc_log_dropped_count(tier->log));
		fclose(out);
	}
	if (!text)
		response.status = STATUS_UNAVAILABLE;
	response.body = text;
	response.body_size = size;
	mc_h1_respond(tier->metrics, caller, &response);
	free(text);
}

/* Both endpoints respond synchronously, so there is nothing to cancel. */
static void on_caller_gone(void *ctx, mc_handle_t caller)
{
	(void)ctx;
	(void)caller;
}

mc_err_t ready_serve(tier_t *tier)
{
	static const mc_h1_server_handlers_t ready = {
		.request = on_ready_request,
		.disconnected = on_caller_gone,
	};
	static const mc_h1_server_handlers_t metrics = {
		.request = on_metrics_request,
		.disconnected = on_caller_gone,
	};
	mc_err_t err;

	tier->ready = mc_h1_create(tier->shard);
	if (!tier->ready)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for the readiness endpoint");
	err = mc_h1_serve(tier->ready, tier->process->ready, &ready, tier);
	if (err || tier->process->metrics < 0)
		return err;
	tier->metrics = mc_h1_create(tier->shard);
	if (!tier->metrics)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for the metrics endpoint");
	return mc_h1_serve(tier->metrics, tier->process->metrics, &metrics,
			   tier);
}

/*
 * Readiness for the platform's balancer, and metrics as text, each on an
 * address of its own. An instance is ready once it knows a map and targets and
 * while it reaches them, until it is told to stop.
 */
#include "tier_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	STATUS_OK = 200,
	STATUS_NOT_FOUND = 404,
	STATUS_UNAVAILABLE = 503,
};

static void answer_ready(void *ctx, mc_handle_t caller,
			 const mc_h1_message_t *message, mc_ms_t first_byte)
{
	tier_t *tier = ctx;
	bool ready = tier->world && tier->world->map &&
		     tier->world->target_count && !tier->leaving &&
		     !__atomic_load_n(&tier->process->cut_off_shards,
				      __ATOMIC_RELAXED);
	mc_h1_response_t answer = {
		.status = ready ? STATUS_OK : STATUS_UNAVAILABLE,
	};

	(void)first_byte;
	if (strcmp(message->uri, tier->dialect->ready_path))
		answer.status = STATUS_NOT_FOUND;
	mc_h1_respond(tier->ready, caller, &answer);
}

static void answer_metrics(void *ctx, mc_handle_t caller,
			   const mc_h1_message_t *message, mc_ms_t first_byte)
{
	tier_t *tier = ctx;
	mc_counters_t sum;
	mc_h1_response_t answer = {
		.status = STATUS_OK,
		.header_lines = "Content-Type: text/plain; version=0.0.4\r\n",
	};
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	(void)message;
	(void)first_byte;
	if (out) {
		mc_runtime_sum_counters(tier->process->host, &sum);
		mc_counters_print(&sum, out);
		metrics_print(&tier->process->metrics_rows, out);
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
			"# HELP mangocove_log_lines_dropped lines not written\n"
			"# TYPE mangocove_log_lines_dropped counter\n"
			"mangocove_log_lines_dropped %llu\n",
			tier->world && tier->world->map
				? (unsigned long long)mc_routemap_version(
					  tier->world->map)
				: 0ULL,
			tier->world ? tier->world->target_count : 0,
			tier->instances,
			(unsigned long long)mc_log_dropped_count(tier->log));
		fclose(out);
	}
	if (!text)
		answer.status = STATUS_UNAVAILABLE;
	answer.body = text;
	answer.body_size = size;
	mc_h1_respond(tier->metrics, caller, &answer);
	free(text);
}

/* Nothing is under way while an answer is made, so nothing is to be ended. */
static void caller_gone(void *ctx, mc_handle_t caller)
{
	(void)ctx;
	(void)caller;
}

mc_err_t ready_serve(tier_t *tier)
{
	static const mc_h1_server_handlers_t ready = {
		.request = answer_ready,
		.disconnected = caller_gone,
	};
	static const mc_h1_server_handlers_t metrics = {
		.request = answer_metrics,
		.disconnected = caller_gone,
	};
	mc_err_t err;

	tier->ready = mc_h1_create(tier->shard);
	if (!tier->ready)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for readiness");
	err = mc_h1_serve(tier->ready, tier->process->ready, &ready, tier);
	if (err || tier->process->metrics < 0)
		return err;
	tier->metrics = mc_h1_create(tier->shard);
	if (!tier->metrics)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for metrics");
	return mc_h1_serve(tier->metrics, tier->process->metrics, &metrics,
			   tier);
}

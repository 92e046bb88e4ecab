/*
 * Collects the requests that targets have begun in a batch, which is posted to
 * the control shard a short time after its first request.
 */
#include "usage.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	/* A batch is posted so long after its first request, ms. */
	BATCH_DELAY_MS = 200,
	/* Number of requests after which it is posted at once. */
	BATCH_SIZE = 64,
};

_Static_assert(MC_USAGE_NAME_SIZE > MC_ROUTEMAP_CUSTOMER_NAME_MAX,
	       "each customer of a map is counted under its whole name");

/* A request that a target has begun. */
typedef struct {
	char customer[MC_USAGE_NAME_SIZE];
	/* ms of the shard's clock. */
	mc_ms_t began;
} usage_row_t;

struct usage_batch_t {
	tier_process_t *process;
	mc_handle_t timer;
	uint32_t count;
	usage_row_t rows[BATCH_SIZE];
};

mc_err_t usage_init(tier_process_t *process)
{
	const mc_settings_t *settings = &process->settings;
	const mc_reporter_params_t params = {
		.shard = mc_runtime_control_shard(process->runtime),
		.ops = process->params.usage_store,
		.store_address = settings->platform_address,
		.report_address = settings->usage_address,
		.instance = settings->instance,
		.window_length = settings->usage_window,
		.report_max = settings->usage_report_max,
		.lease_duration = settings->lease_duration,
	};

	if (!params.ops || !*params.report_address || !params.window_length)
		return MC_OK;
	process->reporter = mc_reporter_create(&params);
	return process->reporter ? MC_OK : MC_ERR_NO_MEMORY;
}

static void receive_batch(mc_shard_t *shard, void *arg)
{
	usage_batch_t *batch = arg;
	uint32_t i;

	(void)shard;
	for (i = 0; i < batch->count && batch->process->reporter; i++)
		mc_reporter_count(batch->process->reporter,
				  batch->rows[i].customer,
				  batch->rows[i].began);
	free(batch);
}

static void post_batch(tier_t *tier)
{
	usage_batch_t *batch = tier->usage_batch;

	if (!batch)
		return;
	mc_timer_cancel(tier->shard, batch->timer);
	tier->usage_batch = NULL;
	if (!mc_shard_post(mc_runtime_control_shard(tier->process->runtime),
			   receive_batch, batch))
		return;
	mc_counter_add(mc_shard_counters(tier->shard),
		       MC_COUNTER_USAGE_UNCOUNTED, batch->count);
	free(batch);
}

static void on_timer(mc_shard_t *shard, void *arg)
{
	(void)shard;
	post_batch(arg);
}

static usage_batch_t *start_batch(tier_t *tier)
{
	usage_batch_t *batch = calloc(1, sizeof(*batch));
	mc_ms_t at = mc_shard_now(tier->shard) + BATCH_DELAY_MS;

	if (!batch)
		return NULL;
	batch->process = tier->process;
	tier->usage_batch = batch;
	if (mc_timer_set(tier->shard, at, on_timer, tier, &batch->timer))
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "usage is handed over late: timer failed: %s",
		       mc_last_error_message());
	return batch;
}

void usage_count_request(request_t *request, const attempt_t *attempt)
{
	tier_t *tier = request->tier;
	usage_batch_t *batch = tier->usage_batch;
	usage_row_t *row;

	if (!request->customer || request->is_usage_counted ||
	    !tier->process->reporter)
		return;
	request->is_usage_counted = true;
	if (!batch)
		batch = start_batch(tier);
	if (!batch) {
		mc_counter_add(mc_shard_counters(tier->shard),
			       MC_COUNTER_USAGE_UNCOUNTED, 1);
		return;
	}
	row = &batch->rows[batch->count++];
	snprintf(row->customer, sizeof(row->customer), "%s",
		 request->customer->name);
	row->began = attempt->sent_at;
	if (batch->count == BATCH_SIZE)
		post_batch(tier);
}

static void drain_reporter(mc_shard_t *shard, void *arg)
{
	tier_process_t *process = arg;

	(void)shard;
	if (process->reporter)
		mc_reporter_drain(process->reporter);
}

void usage_drain(tier_t *tier)
{
	tier_process_t *process = tier->process;

	if (process->reporter && !mc_shard_index(tier->shard))
		mc_shard_post(mc_runtime_control_shard(process->runtime),
			      drain_reporter, process);
}

void usage_free(tier_t *tier)
{
	if (tier->usage_batch)
		mc_timer_cancel(tier->shard, tier->usage_batch->timer);
	free(tier->usage_batch);
}

/*
 * Control of a target by a test over /standin: sets its behaviour and reads its
 * counters.
 */
#include <stdio.h>
#include <string.h>

#include "target.h"

void target_restart(target_t *target)
{
	target->start_count++;
	snprintf(target->start_id, sizeof(target->start_id), "%u-%lld-%u",
		 target->port, (long long)mc_clock_wall(mc_clock_system()),
		 target->start_count);
	target->cold_start_end =
		standin_now_us() + target->behaviour.cold_start_us;
}

double target_reported_load(const target_t *target)
{
	if (target->behaviour.reported_load >= 0)
		return target->behaviour.reported_load;
	if (!target->behaviour.capacity)
		return 0;
	return (double)target->in_flight / (double)target->behaviour.capacity;
}

bool target_chance(target_t *target, double percent)
{
	return percent > 0 && mc_random_unit(&target->random) * 100 < percent;
}

static void set_number(const json_t *json, const char *key, double *number)
{
	const json_t *value = json_object_get(json, key);

	if (value)
		*number = json_number_value(value);
}

static void set_integer(const json_t *json, const char *key, json_int_t *number)
{
	const json_t *value = json_object_get(json, key);

	if (value)
		*number = json_integer_value(value);
}

static void set_time(const json_t *json, const char *key, int64_t *us)
{
	const json_t *value = json_object_get(json, key);

	if (value)
		*us = (int64_t)(json_number_value(value) * STANDIN_US_PER_MS);
}

static void set_flag(const json_t *json, const char *key, bool *flag)
{
	const json_t *value = json_object_get(json, key);

	if (value)
		*flag = json_is_true(value);
}

/* Sets the name if @json has @key; a value of null sets it to "". */
static void set_name(const json_t *json, const char *key, char *name)
{
	const json_t *value = json_object_get(json, key);

	if (value)
		snprintf(name, TARGET_NAME_SIZE, "%s",
			 json_is_string(value) ? json_string_value(value) : "");
}

static void set_behaviour(behaviour_t *behaviour, const json_t *json)
{
	const json_t *load = json_object_get(json, "report_load");

	set_time(json, "delay_ms", &behaviour->delay_us);
	set_number(json, "delay_factor", &behaviour->delay_factor);
	set_number(json, "slow_percent", &behaviour->slow_percent);
	set_integer(json, "bears", &behaviour->capacity);
	set_flag(json, "shed", &behaviour->shed);
	set_time(json, "cold_ms", &behaviour->cold_start_us);
	set_integer(json, "cold_bears", &behaviour->cold_capacity);
	set_number(json, "fail_search_percent",
		   &behaviour->fail_search_percent);
	set_number(json, "fail_run_percent", &behaviour->fail_run_percent);
	set_flag(json, "drop_run", &behaviour->drop_run);
	set_flag(json, "drain", &behaviour->draining);
	set_flag(json, "down", &behaviour->down);
	set_name(json, "version", behaviour->version);
	set_name(json, "echo_snapshot", behaviour->echo_snapshot);
	if (load)
		behaviour->reported_load =
			json_is_number(load) ? json_number_value(load) : -1;
}

static void apply_control(target_t *target, const json_t *json)
{
	json_t *snapshots = json_object_get(json, "snapshots");

	set_behaviour(&target->behaviour, json);
	if (json_is_array(snapshots)) {
		json_decref(target->snapshots);
		target->snapshots = json_incref(snapshots);
	}
	if (json_is_true(json_object_get(json, "restart")))
		target_restart(target);
}

static json_t *totals_json(const target_t *target)
{
	const totals_t *totals = &target->totals;
	int64_t idle_us = standin_now_us() - target->last_request_time;

	return json_pack("{ss sI sI sI sI sI sI sI sI sI sI sI}", "start",
			 target->start_id, "search_requests",
			 totals->search_requests, "queries", totals->queries,
			 "runs", totals->runs, "sheds", totals->sheds,
			 "breaches", totals->over_capacity, "cold_breaches",
			 totals->cold_over_capacity, "canceled",
			 totals->canceled, "draining_work",
			 totals->draining_requests, "max_in_flight",
			 totals->max_in_flight, "in_flight", target->in_flight,
			 "idle_ms", (json_int_t)(idle_us / STANDIN_US_PER_MS));
}

static json_t *counters_json(target_t *target, standin_exchange_t *exchange)
{
	const char *request = standin_query_argument(exchange, "request");
	const char *key = standin_query_argument(exchange, "key");

	if (request)
		return json_pack(
			"{si si}", "search",
			(int)counts_get(&target->counts, "search", request),
			"run",
			(int)counts_get(&target->counts, "run", request));
	if (key)
		return json_pack("{si}", "run",
				 (int)counts_get(&target->counts, "key", key));
	return totals_json(target);
}

enum MHD_Result target_serve_control(target_t *target,
				     standin_exchange_t *exchange)
{
	json_t *json;

	if (!strcmp(exchange->method, MHD_HTTP_METHOD_POST)) {
		json = json_loadb(exchange->body, exchange->size, 0, NULL);
		if (!json)
			return standin_reply(exchange, MHD_HTTP_BAD_REQUEST,
					     NULL, "{}", 2);
		apply_control(target, json);
		json_decref(json);
	}
	return standin_reply_json(exchange, MHD_HTTP_OK,
				  counters_json(target, exchange));
}

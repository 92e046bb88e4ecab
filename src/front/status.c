/*
 * What operators and the balancer ask of a front: readiness, its view of the
 * fleet, and counters.
 */
#include "front_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	LINE_SIZE = 128,
};

void status_ready(front_t *front, mc_handle_t exchange)
{
	static const char ready[] = "{\"ready\":true}";
	mc_err_t err = front_admits(front);

	if (!err && !gather_links_settled(front))
		err = mc_fail(MC_ERR_NOT_READY, "no gather has reported yet");
	if (!err && front->draining)
		err = mc_fail(MC_ERR_STOPPING, "planned stop");
	if (!err && front->view->data_center != MC_ROW_NONE &&
	    front->view->config->data_centers[front->view->data_center]
		    .out_of_service)
		err = mc_fail(MC_ERR_DATA_CENTER_OUT, "the data centre is out");
	if (err)
		front_reply_error(front, exchange, err, mc_last_error_message(),
				  -1);
	else
		front_reply_json(front, exchange, 200, ready);
}

static const char *move_state_name(mc_move_state_t state)
{
	static const char *const names[] = {
		[MC_MOVE_WAITING] = "waiting",
		[MC_MOVE_SHIFTING] = "shifting",
		[MC_MOVE_SETTLING] = "settling",
		[MC_MOVE_FINISHED] = "finished",
		[MC_MOVE_TAKEN_BACK] = "taken_back",
	};

	return names[state];
}

static json_t *encode_moves(const mc_view_t *view)
{
	json_t *moves = json_array();
	uint32_t i;

	for (i = 0; i < view->move_count; i++) {
		const mc_view_move_t *move = &view->moves[i];

		json_array_append_new(
			moves,
			json_pack("{s:s, s:s, s:s, s:s, s:f, s:s}", "service",
				  view->config->services[move->service].name,
				  "from", move->from, "to", move->to, "state",
				  move_state_name(move->state), "share",
				  move->share, "reason", move->reason));
	}
	return moves;
}

static json_t *encode_data_centers(const mc_view_t *view)
{
	json_t *list = json_array();
	mc_row_t i;
	uint32_t j, usable;

	for (i = 0; i < view->config->data_center_count; i++) {
		const mc_data_center_t *row = &view->config->data_centers[i];

		usable = 0;
		for (j = 0; j < view->gather_count; j++)
			if (view->gathers[j].data_center == i)
				usable += view->gathers[j].usable;
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:I}", "name", row->name, "state",
				  row->out_of_service ? "out" : "in",
				  "gathers_usable", (json_int_t)usable));
	}
	return list;
}

static json_t *encode_status(const front_t *front)
{
	const mc_view_t *view = front->view;
	const mc_settings_t *settings = mc_process_settings(front->process);
	mc_ms_t now = mc_shard_now(front->shard);
	mc_ms_t age = -1;

	if (front->config_confirmed >= 0)
		age = now - front->config_confirmed;
	return json_pack(
		"{s:s, s:s, s:{s:I, s:s, s:I}, s:I, s:I, s:I, s:o, s:o}",
		"data_center", settings->data_center, "peer",
		settings->front_peer_address, "configuration", "version",
		(json_int_t)view->config->version, "submission",
		view->config->submission, "age_ms", (json_int_t)age,
		"view_age_ms", (json_int_t)(now - front->confirmed), "members",
		(json_int_t)view->member_count, "members_usable",
		(json_int_t)view->usable_member_count, "data_centers",
		encode_data_centers(view), "moves", encode_moves(view));
}

void status_show(front_t *front, mc_handle_t exchange)
{
	json_t *root;
	char *text;

	if (!front->view) {
		front_reply_error(front, exchange, MC_ERR_NOT_READY,
				  "no configuration yet", -1);
		return;
	}
	root = encode_status(front);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (text)
		front_reply_json(front, exchange, 200, text);
	free(text);
}

static size_t add_line(char *text, size_t size, size_t used, const char *name,
		       uint64_t value)
{
	int added = snprintf(text + used, size - used, "%s %llu\n", name,
			     (unsigned long long)value);

	return used + (size_t)added;
}

void status_metrics(front_t *front, mc_handle_t exchange)
{
	static const struct {
		const char *name;
		double q;
	} quantiles[] = {
		{ "latency_ms_p50", 0.5 },
		{ "latency_ms_p99", 0.99 },
		{ "latency_ms_p999", 0.999 },
	};
	char text[(MC_COUNTER_COUNT + 8) * LINE_SIZE];
	mc_counters_t sum;
	size_t used = 0;
	size_t i;

	mc_process_sum_counters(front->process, &sum);
	for (i = 0; i < MC_COUNTER_COUNT; i++)
		used = add_line(text, sizeof(text), used,
				mc_counter_name((mc_counter_id_t)i),
				sum.values[i]);
	for (i = 0; i < MC_ARRAY_LEN(quantiles); i++)
		used = add_line(text, sizeof(text), used, quantiles[i].name,
				(uint64_t)mc_counters_latency_quantile(
					&sum, quantiles[i].q));
	used = add_line(text, sizeof(text), used, "log_lines_dropped",
			mc_log_dropped_count(front->log));
	mc_http_reply(front->shard, exchange, 200, "text/plain", text, used);
}

/*
 * Sends results to fronts. A frame is sent on the data shard that accepted the
 * front's link; other data shards post it there.
 */
#include "gather_private.h"

#include <stdlib.h>

/* A frame that another data shard posted to the one of its link. */
typedef struct {
	mc_handle_t link;
	char *data;
	size_t size;
} frame_t;

static void send_frame(mc_shard_t *shard, void *arg)
{
	frame_t *frame = arg;

	mc_link_send(shard, frame->link, frame->data, frame->size);
	free(frame->data);
	free(frame);
}

void gather_reply_bytes(gather_t *gather, reply_route_t route, char *data,
			size_t size)
{
	frame_t *frame;

	if (route.shard == mc_shard_index(gather->shard)) {
		mc_link_send(gather->shard, route.link, data, size);
		free(data);
		return;
	}
	frame = malloc(sizeof(*frame));
	if (!frame) {
		free(data);
		return;
	}
	*frame = (frame_t){ .link = route.link, .data = data, .size = size };
	if (mc_shard_post(mc_process_shard(gather->process, route.shard),
			  send_frame, frame)) {
		free(data);
		free(frame);
	}
}

void gather_reply_message(gather_t *gather, reply_route_t route,
			  const mc_wire_message_t *message)
{
	char *data;
	size_t size;

	if (!mc_wire_encode(message, &data, &size))
		gather_reply_bytes(gather, route, data, size);
}

void gather_reply_results(gather_t *gather, reply_route_t route,
			  mc_wire_result_t *results, uint32_t count)
{
	const mc_wire_message_t message = {
		.kind = MC_WIRE_RESULT,
		.results = { .count = count, .list = results },
	};

	gather_reply_message(gather, route, &message);
}

void gather_reply_error(gather_t *gather, reply_route_t route, uint64_t id,
			mc_err_t err)
{
	mc_wire_result_t result = { .id = id, .err = err, .snapshot = "" };

	gather_reply_results(gather, route, &result, 1);
}

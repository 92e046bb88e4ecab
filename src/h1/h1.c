/*
 * Life cycle of a shard's connections and their default limits.
 */
#include "h1_private.h"

#include <stdlib.h>

enum {
	/* Limits until mc_h1_set_limits() is called. */
	HEAD_BYTES_MAX = 16 << 10,
	BODY_BYTES_MAX = 1 << 20,
	REQUEST_TIMEOUT_MS = 5000,
	IDLE_TIMEOUT_MS = 30000,
	/* Budget until mc_h1_set_response_memory() is called, bytes. */
	RESPONSE_MEMORY_MAX = 64 << 20,
	/* Until mc_h1_set_held_memory() is called, bytes. */
	HELD_MEMORY_MAX = 64 << 20,
};

mc_h1_t *mc_h1_create(mc_shard_t *shard)
{
	mc_h1_t *h1 = calloc(1, sizeof(*h1));

	if (!h1)
		return NULL;
	h1->shard = shard;
	h1->limits = (mc_h1_limits_t){
		.head_bytes_max = HEAD_BYTES_MAX,
		.body_bytes_max = BODY_BYTES_MAX,
		.request_timeout = REQUEST_TIMEOUT_MS,
		.idle_timeout = IDLE_TIMEOUT_MS,
	};
	h1->response_budget.max = RESPONSE_MEMORY_MAX;
	h1->held.max = HELD_MEMORY_MAX;
	h1->read_buffer = malloc(H1_READ_SIZE);
	if (!h1->read_buffer || h1_server_init(h1) || h1_client_init(h1)) {
		mc_h1_destroy(h1);
		return NULL;
	}
	return h1;
}

void mc_h1_set_response_memory(mc_h1_t *h1, size_t bytes)
{
	h1->response_budget.max = bytes;
}

void mc_h1_set_held_memory(mc_h1_t *h1, size_t bytes)
{
	h1->held.max = bytes;
}

bool mc_h1_is_short_of_memory(const mc_h1_t *h1)
{
	return h1->held.used >= h1->held.max;
}

size_t mc_h1_held_memory(const mc_h1_t *h1)
{
	return h1->held.used;
}

void h1_hold(mc_h1_t *h1, size_t *held, size_t bytes)
{
	h1->held.used += bytes - *held;
	*held = bytes;
	if (mc_h1_is_short_of_memory(h1) == h1->is_short)
		return;
	h1->is_short = !h1->is_short;
	mc_log(mc_shard_log(h1->shard),
	       h1->is_short ? MC_LOG_WARNING : MC_LOG_NOTICE, "h1",
	       h1->is_short ? "memory for slow peers used up: new requests "
			      "are refused held=%zu max=%zu"
			    : "memory for slow peers available again held=%zu "
			      "max=%zu",
	       h1->held.used, h1->held.max);
}

void mc_h1_destroy(mc_h1_t *h1)
{
	if (!h1)
		return;
	h1_server_destroy(h1);
	h1_client_destroy(h1);
	free(h1->read_buffer);
	free(h1);
}

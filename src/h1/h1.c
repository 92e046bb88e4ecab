/*
 * A shard's connections: its tables of both sides and what they share.
 */
#include "h1_private.h"

#include <stdlib.h>

enum {
	/* Before a configuration names limits. */
	HEAD_BYTES = 16 << 10,
	BODY_BYTES = 1 << 20,
	REQUEST_TIME_MS = 5000,
	IDLE_TIME_MS = 30000,
};

mc_h1_t *mc_h1_create(mc_shard_t *shard)
{
	mc_h1_t *h1 = calloc(1, sizeof(*h1));

	if (!h1)
		return NULL;
	h1->shard = shard;
	h1->limits = (mc_h1_limits_t){
		.head_bytes_max = HEAD_BYTES,
		.body_bytes_max = BODY_BYTES,
		.request_timeout = REQUEST_TIME_MS,
		.idle_timeout = IDLE_TIME_MS,
	};
	h1->scratch = malloc(H1_READ_SIZE);
	if (!h1->scratch || h1_callers_init(h1) || h1_servers_init(h1)) {
		mc_h1_destroy(h1);
		return NULL;
	}
	return h1;
}

void mc_h1_destroy(mc_h1_t *h1)
{
	if (!h1)
		return;
	h1_callers_destroy(h1);
	h1_servers_destroy(h1);
	free(h1->scratch);
	free(h1);
}

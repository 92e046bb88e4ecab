/*
 * Reference counts of decoded messages that several data shards read.
 */
#include "gather_private.h"

#include <stdlib.h>

shared_message_t *shared_message_ref(shared_message_t *shared)
{
	__atomic_add_fetch(&shared->ref_count, 1, __ATOMIC_RELAXED);
	return shared;
}

void shared_message_unref(shared_message_t *shared)
{
	if (__atomic_sub_fetch(&shared->ref_count, 1, __ATOMIC_ACQ_REL))
		return;
	mc_wire_free(shared->message);
	free(shared);
}

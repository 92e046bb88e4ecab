/*
 * Decoded messages that several shards use, counted by references.
 */
#include "gather_private.h"

#include <stdlib.h>

shared_t *shared_ref(shared_t *shared)
{
	__atomic_add_fetch(&shared->references, 1, __ATOMIC_RELAXED);
	return shared;
}

void shared_unref(shared_t *shared)
{
	if (__atomic_sub_fetch(&shared->references, 1, __ATOMIC_ACQ_REL))
		return;
	mc_wire_free(shared->message);
	free(shared);
}

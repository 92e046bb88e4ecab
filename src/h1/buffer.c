/*
 * Growable bytes, which stay allocated between messages while they are small.
 */
#include "h1_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	CAPACITY_MIN = 512,
	/* A buffer that has grown above this is freed between messages. */
	CAPACITY_KEPT = 16 << 10,
};

mc_err_t h1_buffer_add(h1_buffer_t *buffer, const char *data, size_t size)
{
	size_t wanted = buffer->size + size;
	size_t capacity = buffer->capacity ? buffer->capacity : CAPACITY_MIN;
	char *grown;

	if (wanted > buffer->capacity) {
		while (capacity < wanted)
			capacity *= 2;
		grown = realloc(buffer->data, capacity);
		if (!grown)
			return mc_fail(MC_ERR_NO_MEMORY,
				       "no memory for %zu bytes", capacity);
		buffer->data = grown;
		buffer->capacity = capacity;
	}
	if (size)
		memcpy(buffer->data + buffer->size, data, size);
	buffer->size = wanted;
	return MC_OK;
}

void h1_buffer_empty(h1_buffer_t *buffer)
{
	if (buffer->capacity > CAPACITY_KEPT)
		h1_buffer_free(buffer);
	buffer->size = 0;
}

void h1_buffer_free(h1_buffer_t *buffer)
{
	free(buffer->data);
	*buffer = (h1_buffer_t){ 0 };
}

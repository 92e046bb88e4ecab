/*
 * Growable byte buffers, whose memory is kept between messages while it is
 * small.
 */
#include "h1_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	CAPACITY_MIN = 512,
	/* Larger buffers are freed between messages. */
	CAPACITY_KEPT_MAX = 16 << 10,
};

mc_err_t h1_buffer_append(h1_buffer_t *buffer, const char *data, size_t size)
{
	size_t required = buffer->size + size;
	size_t capacity = buffer->capacity ? buffer->capacity : CAPACITY_MIN;
	char *grown;

	if (required > buffer->capacity) {
		while (capacity < required)
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
	buffer->size = required;
	return MC_OK;
}

void h1_buffer_clear(h1_buffer_t *buffer)
{
	if (buffer->capacity > CAPACITY_KEPT_MAX)
		h1_buffer_free(buffer);
	buffer->size = 0;
}

void h1_buffer_free(h1_buffer_t *buffer)
{
	free(buffer->data);
	*buffer = (h1_buffer_t){ 0 };
}

/*
 * Growable byte buffers, whose memory is kept between messages while it is
 * small.
 */
#include "h1_private.h"

#include <stdlib.h>

enum {
	CAPACITY_MIN = 512,
	/* Larger buffers are freed between messages. */
	CAPACITY_KEPT_MAX = 16 << 10,
};

size_t h1_buffer_growth(const h1_buffer_t *buffer, size_t size)
{
	size_t capacity = buffer->capacity ? buffer->capacity : CAPACITY_MIN;

	if (buffer->size + size <= buffer->capacity)
		return 0;
	while (capacity < buffer->size + size)
		capacity *= 2;
	return capacity - buffer->capacity;
}

mc_err_t h1_buffer_reserve(h1_buffer_t *buffer, size_t size)
{
	size_t capacity = buffer->capacity + h1_buffer_growth(buffer, size);
	char *grown;

	if (capacity == buffer->capacity)
		return MC_OK;
	grown = realloc(buffer->data, capacity);
	if (!grown)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for %zu bytes",
			       capacity);
	buffer->data = grown;
	buffer->capacity = capacity;
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

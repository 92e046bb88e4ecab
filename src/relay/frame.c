/*
 * A deflated frame consists of a marker byte with which no encoded message
 * begins, the size of the inflated message (most significant byte first), and
 * the deflated message.
 */
#include "frame.h"

#include <stdlib.h>
#include <zlib.h>

enum {
	MARKER = 'z',
	HEADER_SIZE = 5,
	BITS_PER_BYTE = 8,
	/* Smaller messages are not deflated. */
	DEFLATE_MIN_SIZE = 1024,
	/* Most bytes of a message: the text and its envelope. */
	MESSAGE_MAX = MC_WIRE_RELAY_TEXT_MAX + 1024,
};

static char *deflate_message(const char *data, size_t size, size_t *out_size)
{
	uLongf capacity = compressBound(size);
	char *out = malloc(HEADER_SIZE + capacity);
	int i;

	if (!out)
		return NULL;
	if (compress2((Bytef *)out + HEADER_SIZE, &capacity,
		      (const Bytef *)data, size, Z_BEST_SPEED) != Z_OK) {
		free(out);
		return NULL;
	}
	out[0] = MARKER;
	for (i = 1; i < HEADER_SIZE; i++)
		out[i] = (char)(size >> (HEADER_SIZE - 1 - i) * BITS_PER_BYTE);
	*out_size = HEADER_SIZE + capacity;
	return out;
}

mc_err_t frame_encode(const mc_wire_message_t *message, char **data,
		      size_t *size)
{
	mc_err_t err = mc_wire_encode(message, data, size);
	char *deflated;

	if (err || *size < DEFLATE_MIN_SIZE)
		return err;
	deflated = deflate_message(*data, *size, size);
	free(*data);
	*data = deflated;
	return deflated ? MC_OK
			: mc_fail(MC_ERR_NO_MEMORY,
				  "no memory to deflate a message");
}

mc_err_t frame_decode(const char *data, size_t size,
		      mc_wire_message_t **message)
{
	uLongf capacity = 0;
	char *inflated;
	mc_err_t err;
	int i;

	*message = NULL;
	if (!size || data[0] != MARKER)
		return mc_wire_decode(data, size, message);
	for (i = 1; i < HEADER_SIZE && (size_t)i < size; i++)
		capacity = capacity << BITS_PER_BYTE | (unsigned char)data[i];
	if (size <= HEADER_SIZE || capacity > MESSAGE_MAX)
		return mc_fail(MC_ERR_BAD_FRAME,
			       "deflated frame without a valid size");
	inflated = malloc(capacity ? capacity : 1);
	if (!inflated)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory to inflate a message");
	if (uncompress((Bytef *)inflated, &capacity,
		       (const Bytef *)data + HEADER_SIZE,
		       size - HEADER_SIZE) == Z_OK)
		err = mc_wire_decode(inflated, capacity, message);
	else
		err = mc_fail(MC_ERR_BAD_FRAME, "deflated frame is corrupt");
	free(inflated);
	return err;
}

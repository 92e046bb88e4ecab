/*
 * A deflated frame is a mark that begins no message, the size of the message
 * (most significant byte first), and the deflated message.
 */
#include "frame.h"

#include <stdlib.h>
#include <zlib.h>

enum {
	MARK = 'z',
	HEAD_SIZE = 5,
	BITS_PER_BYTE = 8,
	/* Smaller messages go as they are. */
	DEFLATE_FROM = 1024,
	/* Most bytes of a message: the text and what is around it. */
	MESSAGE_MAX = MC_WIRE_RELAY_TEXT_MAX + 1024,
};

static char *deflate_message(const char *data, size_t size, size_t *out_size)
{
	uLongf room = compressBound(size);
	char *out = malloc(HEAD_SIZE + room);
	int i;

	if (!out)
		return NULL;
	if (compress2((Bytef *)out + HEAD_SIZE, &room, (const Bytef *)data,
		      size, Z_BEST_SPEED) != Z_OK) {
		free(out);
		return NULL;
	}
	out[0] = MARK;
	for (i = 1; i < HEAD_SIZE; i++)
		out[i] = (char)(size >> (HEAD_SIZE - 1 - i) * BITS_PER_BYTE);
	*out_size = HEAD_SIZE + room;
	return out;
}

mc_err_t frame_encode(const mc_wire_message_t *message, char **data,
		      size_t *size)
{
	mc_err_t err = mc_wire_encode(message, data, size);
	char *deflated;

	if (err || *size < DEFLATE_FROM)
		return err;
	deflated = deflate_message(*data, *size, size);
	free(*data);
	*data = deflated;
	return deflated ? MC_OK
			: mc_fail(MC_ERR_NO_MEMORY, "no memory to deflate");
}

mc_err_t frame_decode(const char *data, size_t size,
		      mc_wire_message_t **message)
{
	uLongf room = 0;
	char *inflated;
	mc_err_t err;
	int i;

	*message = NULL;
	if (!size || data[0] != MARK)
		return mc_wire_decode(data, size, message);
	for (i = 1; i < HEAD_SIZE && (size_t)i < size; i++)
		room = room << BITS_PER_BYTE | (unsigned char)data[i];
	if (size <= HEAD_SIZE || room > MESSAGE_MAX)
		return mc_fail(MC_ERR_BAD_FRAME, "deflated frame of no size");
	inflated = malloc(room ? room : 1);
	if (!inflated)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory to inflate");
	if (uncompress((Bytef *)inflated, &room,
		       (const Bytef *)data + HEAD_SIZE,
		       size - HEAD_SIZE) == Z_OK)
		err = mc_wire_decode(inflated, room, message);
	else
		err = mc_fail(MC_ERR_BAD_FRAME, "frame does not inflate");
	free(inflated);
	return err;
}

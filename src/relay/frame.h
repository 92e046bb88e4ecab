/*
 * Frames of the relay: an encoded message, deflated when it is large, to save
 * bandwidth.
 */
#ifndef MC_RELAY_FRAME_H
#define MC_RELAY_FRAME_H

#include "mc/wire.h"

/**
 * frame_encode() - Encode a message into a frame
 * @message: the message
 * @data: receives the frame, to be freed with free()
 * @size: receives the size of the frame, bytes
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t frame_encode(const mc_wire_message_t *message, char **data,
		      size_t *size);

/**
 * frame_decode() - Decode the message of a frame
 * @data: the frame
 * @size: size of the frame, bytes
 * @message: receives the message, to be freed with mc_wire_free()
 *
 * Return: MC_OK, MC_ERR_BAD_FRAME, MC_ERR_NO_MEMORY.
 */
mc_err_t frame_decode(const char *data, size_t size,
		      mc_wire_message_t **message);

#endif

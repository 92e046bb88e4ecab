/*
 * Frames of the news: a message as it is encoded, or deflated where that saves
 * bytes of the links.
 */
#ifndef MC_NEWS_FRAME_H
#define MC_NEWS_FRAME_H

#include "mc/wire.h"

/**
 * frame_encode() - bytes of a message
 * @message: the message
 * @data: receives the bytes, to be freed with free()
 * @size: receives their number
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t frame_encode(const mc_wire_message_t *message, char **data,
		      size_t *size);

/**
 * frame_decode() - message of a frame
 * @message: receives the message, to be freed with mc_wire_free()
 *
 * Return: MC_OK, MC_ERR_BAD_FRAME, MC_ERR_NO_MEMORY.
 */
mc_err_t frame_decode(const char *data, size_t size,
		      mc_wire_message_t **message);

#endif

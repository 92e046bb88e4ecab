/*
 * Writes the fields of a message in order. Failures to get memory are recorded
 * in the writer, so that callers only check them once at the end.
 */
#ifndef MC_WIRE_WRITER_H
#define MC_WIRE_WRITER_H

#include <msgpack.h>

#include "mc/base.h"

/**
 * struct mc_writer_t - Message that is being written
 * @buffer: bytes written so far
 * @packer: msgpack packer that writes to @buffer
 * @failed: a write failed for lack of memory
 */
typedef struct mc_writer_t {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	bool failed;
} mc_writer_t;

/**
 * mc_writer_init() - Initialize a writer
 *
 * It must not be moved afterwards, as its packer points to its buffer.
 */
void mc_writer_init(mc_writer_t *writer);

/** mc_write_array() - Write the start of an array of @size elements */
void mc_write_array(mc_writer_t *writer, uint32_t size);

/** mc_write_u64() - Write an unsigned number */
void mc_write_u64(mc_writer_t *writer, uint64_t value);

/** mc_write_ms() - Write a point in time or a duration, in ms */
void mc_write_ms(mc_writer_t *writer, mc_ms_t value);

/** mc_write_bool() - Write a boolean */
void mc_write_bool(mc_writer_t *writer, bool value);

/** mc_write_double() - Write a finite floating-point number */
void mc_write_double(mc_writer_t *writer, double value);

/** mc_write_string() - Write a zero-terminated string; NULL counts as "" */
void mc_write_string(mc_writer_t *writer, const char *text);

#endif

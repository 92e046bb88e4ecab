/*
 * Writes the fields of a message one after the other. A writer without memory
 * fails and ignores what follows, so that callers check once at the end.
 */
#ifndef MC_WIRE_WRITER_H
#define MC_WIRE_WRITER_H

#include <msgpack.h>

#include "mc/base.h"

/**
 * struct mc_writer_t - a message that is being written
 * @buffer: its bytes so far
 * @packer: writes to @buffer
 * @failed: there was no memory
 */
typedef struct mc_writer_t {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	bool failed;
} mc_writer_t;

/** mc_writer_init() - an empty writer; it must not be moved afterwards */
void mc_writer_init(mc_writer_t *writer);

/** mc_write_array() - an array of @size elements begins */
void mc_write_array(mc_writer_t *writer, uint32_t size);

/** mc_write_u64() - a number that is not negative */
void mc_write_u64(mc_writer_t *writer, uint64_t value);

/** mc_write_ms() - a point in time or a duration, ms */
void mc_write_ms(mc_writer_t *writer, mc_ms_t value);

/** mc_write_bool() - true or false */
void mc_write_bool(mc_writer_t *writer, bool value);

/** mc_write_double() - a finite number */
void mc_write_double(mc_writer_t *writer, double value);

/** mc_write_string() - a zero-terminated string; NULL counts as "" */
void mc_write_string(mc_writer_t *writer, const char *text);

#endif

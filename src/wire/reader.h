/*
 * Reads the fields of a message one after the other. The first field that is
 * not what it should be fails the reader; from then on it returns zeros and
 * empty strings, and lists are empty, so that callers check once at the end.
 * All that is read into memory belongs to the reader's zone.
 */
#ifndef MC_WIRE_READER_H
#define MC_WIRE_READER_H

#include <msgpack.h>

#include "token.h"

/**
 * struct mc_reader_t - a position in a list of tokens
 * @tokens: the tokens
 * @next: index of the next one
 * @zone: memory of what is read
 * @err: MC_OK until a field was bad
 */
typedef struct mc_reader_t {
	const mc_tokens_t *tokens;
	size_t next;
	msgpack_zone *zone;
	mc_err_t err;
} mc_reader_t;

/** mc_read_array() - an array of exactly @size elements begins */
void mc_read_array(mc_reader_t *reader, uint32_t size);

/**
 * mc_read_count() - an array of at most @max elements begins
 *
 * Return: number of elements; the parser has seen that many.
 */
uint32_t mc_read_count(mc_reader_t *reader, uint32_t max);

/**
 * mc_read_list() - the same, with memory for the elements
 * @reader: the reader
 * @max: bound of the protocol
 * @element_size: bytes of an element in memory
 * @elements: receives zeroed memory for the elements
 *
 * Return: number of elements.
 */
uint32_t mc_read_list(mc_reader_t *reader, uint32_t max, size_t element_size,
		      void **elements);

/** mc_read_u64() - a number that is not negative */
uint64_t mc_read_u64(mc_reader_t *reader);

/** mc_read_u32() - a number from 0 to @max */
uint32_t mc_read_u32(mc_reader_t *reader, uint32_t max);

/** mc_read_ms() - a point in time or a duration, ms */
mc_ms_t mc_read_ms(mc_reader_t *reader);

/** mc_read_err() - an error kind */
mc_err_t mc_read_err(mc_reader_t *reader);

/** mc_read_bool() - true or false */
bool mc_read_bool(mc_reader_t *reader);

/** mc_read_double() - a finite number */
double mc_read_double(mc_reader_t *reader);

/** mc_read_string() - a string of fewer than @size bytes without zeros */
const char *mc_read_string(mc_reader_t *reader, size_t size);

/** mc_read_text() - the same into an array of @size bytes */
void mc_read_string_buf(mc_reader_t *reader, char *text, size_t size);

#endif

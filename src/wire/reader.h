/*
 * Reads the fields of a message in order. The first invalid field sets the
 * reader's error; from then on all functions return zeros, empty strings and
 * empty lists, so that callers only check the error once at the end. Strings
 * and lists are allocated in the reader's zone.
 */
#ifndef MC_WIRE_READER_H
#define MC_WIRE_READER_H

#include <msgpack.h>

#include "token.h"

/**
 * struct mc_reader_t - Position in a list of tokens
 * @tokens: tokens of the message
 * @next: index of the next token
 * @zone: memory zone for decoded strings and lists
 * @err: first error; MC_OK until a field is invalid
 */
typedef struct mc_reader_t {
	const mc_tokens_t *tokens;
	size_t next;
	msgpack_zone *zone;
	mc_err_t err;
} mc_reader_t;

/** mc_read_array() - Read the start of an array of exactly @size elements */
void mc_read_array(mc_reader_t *reader, uint32_t size);

/**
 * mc_read_count() - Read the start of an array of at most @max elements
 *
 * Return: number of elements; the message contains that many.
 */
uint32_t mc_read_count(mc_reader_t *reader, uint32_t max);

/**
 * mc_read_list() - Read the start of an array and allocate its elements
 * @reader: the reader
 * @max: maximum number of elements that the protocol allows
 * @element_size: size of an element in memory, in bytes
 * @elements: receives zeroed memory for the elements
 *
 * Return: number of elements.
 */
uint32_t mc_read_list(mc_reader_t *reader, uint32_t max, size_t element_size,
		      void **elements);

/** mc_read_u64() - Read an unsigned number */
uint64_t mc_read_u64(mc_reader_t *reader);

/** mc_read_u32() - Read an unsigned number of at most @max */
uint32_t mc_read_u32(mc_reader_t *reader, uint32_t max);

/** mc_read_ms() - Read a point in time or a duration, in ms */
mc_ms_t mc_read_ms(mc_reader_t *reader);

/** mc_read_err() - Read an error kind */
mc_err_t mc_read_err(mc_reader_t *reader);

/** mc_read_bool() - Read a boolean */
bool mc_read_bool(mc_reader_t *reader);

/** mc_read_double() - Read a finite floating-point number */
double mc_read_double(mc_reader_t *reader);

/** mc_read_string() - Read a string of less than @size bytes without zeros */
const char *mc_read_string(mc_reader_t *reader, size_t size);

/** mc_read_string_buf() - Read such a string into a buffer of @size bytes */
void mc_read_string_buf(mc_reader_t *reader, char *text, size_t size);

#endif

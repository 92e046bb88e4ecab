/*
 * Tokens of a msgpack text: its values in the order of the bytes, an array
 * before its elements. Their number never exceeds the number of bytes, however
 * large the counts are that the bytes claim.
 */
#ifndef MC_WIRE_TOKEN_H
#define MC_WIRE_TOKEN_H

#include "mc/base.h"

/** enum mc_token_type_t - types of values that messages use */
typedef enum mc_token_type_t {
	MC_TOKEN_ARRAY,
	/* Not negative. */
	MC_TOKEN_UINT,
	/* Negative. */
	MC_TOKEN_INT,
	MC_TOKEN_DOUBLE,
	MC_TOKEN_BOOL,
	MC_TOKEN_STRING,
} mc_token_type_t;

/**
 * struct mc_token_t - one value
 * @type: which member of the union holds it
 * @size: elements of an array, bytes of a string
 * @text: bytes of a string inside the text; not zero-terminated
 */
typedef struct mc_token_t {
	mc_token_type_t type;
	uint32_t size;
	union {
		uint64_t u64;
		int64_t i64;
		double number;
		bool flag;
		const char *text;
	};
} mc_token_t;

/** struct mc_tokens_t - tokens of one text; zeroed at the start */
typedef struct mc_tokens_t {
	mc_token_t *list;
	size_t count;
	size_t capacity;
} mc_tokens_t;

/**
 * mc_tokens_parse() - tokens of exactly one msgpack value
 * @tokens: receives them; to be freed with mc_tokens_free() in any case
 * @data: the bytes; strings go on pointing to them
 * @size: their number
 *
 * Return: MC_OK, MC_ERR_BAD_FRAME, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_tokens_parse(mc_tokens_t *tokens, const char *data, size_t size);

/** mc_tokens_free() - free the list */
void mc_tokens_free(mc_tokens_t *tokens);

#endif

/*
 * Tokens of a msgpack message: its values in the order of the bytes, an array
 * before its elements. There are never more tokens than bytes, however large
 * the array sizes in the message are.
 */
#ifndef MC_WIRE_TOKEN_H
#define MC_WIRE_TOKEN_H

#include "mc/base.h"

/** enum mc_token_type_t - Types of values that messages use */
typedef enum mc_token_type_t {
	MC_TOKEN_ARRAY,
	/* A number that is not negative. */
	MC_TOKEN_UINT,
	/* A negative number. */
	MC_TOKEN_INT,
	MC_TOKEN_DOUBLE,
	MC_TOKEN_BOOL,
	MC_TOKEN_STRING,
} mc_token_type_t;

/**
 * struct mc_token_t - One value
 * @type: type of the value; selects the member of the union
 * @size: number of elements of an array, or of bytes of a string
 * @u64: value of MC_TOKEN_UINT
 * @i64: value of MC_TOKEN_INT
 * @number: value of MC_TOKEN_DOUBLE
 * @flag: value of MC_TOKEN_BOOL
 * @text: bytes of MC_TOKEN_STRING, in the message; not zero-terminated
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

/** struct mc_tokens_t - Tokens of one message; initialize it to zeros */
typedef struct mc_tokens_t {
	mc_token_t *list;
	size_t count;
	size_t capacity;
} mc_tokens_t;

/**
 * mc_tokens_parse() - Parse a message that is exactly one msgpack value
 * @tokens: receives the tokens; must be freed with mc_tokens_free(), also on
 *	failure
 * @data: bytes of the message; string tokens point into them
 * @size: number of bytes
 *
 * Return: MC_OK, or MC_ERR_BAD_FRAME or MC_ERR_NO_MEMORY on failure.
 */
mc_err_t mc_tokens_parse(mc_tokens_t *tokens, const char *data, size_t size);

/** mc_tokens_free() - Free the list of tokens and reset it to zeros */
void mc_tokens_free(mc_tokens_t *tokens);

#endif

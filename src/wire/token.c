/*
 * Parses msgpack into tokens with the parser template of msgpack-c, which calls
 * a function for each value that it reads. The library's own objects are not
 * used, because it allocates the elements of an array after reading only their
 * count, so a short message could make it allocate a lot of memory.
 */
#include "token.h"

#include <msgpack.h>
#include <msgpack/unpack_define.h>
#include <stdlib.h>

enum {
	/* Tokens that the list has room for after the first allocation. */
	FIRST_CAPACITY = 64,
	PARSE_FAILED = MSGPACK_UNPACK_PARSE_ERROR,
	PARSE_NO_MEMORY = MSGPACK_UNPACK_NOMEM_ERROR,
	/* What the template returns after one complete value. */
	PARSE_DONE = 1,
};

static int grow_list(mc_tokens_t *tokens)
{
	size_t capacity =
		tokens->capacity ? tokens->capacity * 2 : FIRST_CAPACITY;
	mc_token_t *list = realloc(tokens->list, capacity * sizeof(*list));

	if (!list)
		return PARSE_NO_MEMORY;
	tokens->list = list;
	tokens->capacity = capacity;
	return 0;
}

static int push_token(mc_tokens_t *tokens, const mc_token_t *token)
{
	if (tokens->count == tokens->capacity && grow_list(tokens))
		return PARSE_NO_MEMORY;
	tokens->list[tokens->count++] = *token;
	return 0;
}

static int push_unsigned(mc_tokens_t *tokens, uint64_t value)
{
	return push_token(tokens,
			  &(mc_token_t){ .type = MC_TOKEN_UINT, .u64 = value });
}

static int push_signed(mc_tokens_t *tokens, int64_t value)
{
	if (value >= 0)
		return push_unsigned(tokens, (uint64_t)value);
	return push_token(tokens,
			  &(mc_token_t){ .type = MC_TOKEN_INT, .i64 = value });
}

static int push_bool(mc_tokens_t *tokens, bool value)
{
	return push_token(
		tokens, &(mc_token_t){ .type = MC_TOKEN_BOOL, .flag = value });
}

static int push_double(mc_tokens_t *tokens, double value)
{
	return push_token(tokens, &(mc_token_t){ .type = MC_TOKEN_DOUBLE,
						 .number = value });
}

static int push_array(mc_tokens_t *tokens, uint32_t count)
{
	return push_token(
		tokens, &(mc_token_t){ .type = MC_TOKEN_ARRAY, .size = count });
}

static int push_string(mc_tokens_t *tokens, const char *text, uint32_t size)
{
	return push_token(tokens, &(mc_token_t){ .type = MC_TOKEN_STRING,
						 .size = size,
						 .text = size ? text : "" });
}

/*
 * Callbacks of the template. The object that the template builds is not needed
 * and is defined as a char. Messages contain no nil, binary, extension, map or
 * single-precision values, so these are refused.
 */
#define on_bad(user, value, object) (*(object) = 0, PARSE_FAILED)
#define on_root(user) 0
#define on_uint8(user, value, object) \
	(*(object) = 0, push_unsigned(*(user), value))
#define on_uint16 on_uint8
#define on_uint32 on_uint8
#define on_uint64 on_uint8
#define on_int8(user, value, object) \
	(*(object) = 0, push_signed(*(user), value))
#define on_int16 on_int8
#define on_int32 on_int8
#define on_int64 on_int8
#define on_double(user, value, object) \
	(*(object) = 0, push_double(*(user), value))
#define on_float on_bad
#define on_true(user, object) (*(object) = 0, push_bool(*(user), true))
#define on_false(user, object) (*(object) = 0, push_bool(*(user), false))
#define on_array(user, count, object) \
	(*(object) = 0, push_array(*(user), count))
#define on_array_item(user, array, item) 0
#define on_str(user, data, text, size, object) \
	(*(object) = 0, push_string(*(user), text, size))
#define on_nil(user, object) (*(object) = 0, PARSE_FAILED)
#define on_bin(user, data, bytes, size, object) (*(object) = 0, PARSE_FAILED)
#define on_ext on_bin
#define on_map on_bad
#define on_map_item(user, map, key, value) PARSE_FAILED

#define msgpack_unpack_struct(name) struct parser##name
#define msgpack_unpack_func(ret, name) static ret parser##name
#define msgpack_unpack_callback(name) on##name
#define msgpack_unpack_object char
#define msgpack_unpack_user mc_tokens_t *
#include <msgpack/unpack_template.h>

mc_err_t mc_tokens_parse(mc_tokens_t *tokens, const char *data, size_t size)
{
	struct parser_context context = { .user = tokens };
	size_t offset = 0;
	int result;

	if (!size)
		return mc_fail(MC_ERR_BAD_FRAME, "empty message");
	parser_init(&context);
	result = parser_execute(&context, data, size, &offset);
	/* The template returns the same error if arrays are nested too deep. */
	if (result == PARSE_NO_MEMORY && context.top < MSGPACK_EMBED_STACK_SIZE)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for decoding a message");
	if (result != PARSE_DONE || offset != size)
		return mc_fail(MC_ERR_BAD_FRAME,
			       "invalid msgpack near byte %zu", offset);
	return MC_OK;
}

void mc_tokens_free(mc_tokens_t *tokens)
{
	free(tokens->list);
	*tokens = (mc_tokens_t){ 0 };
}

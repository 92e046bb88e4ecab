/*
 * Reads the fields of a message from its tokens.
 */
#include "reader.h"

#include <math.h>
#include <string.h>

static void set_error(mc_reader_t *reader, mc_err_t err, const char *problem)
{
	if (!reader->err)
		reader->err =
			mc_fail(err, "field %zu: %s", reader->next, problem);
}

/*
 * Returns the next token if it has the type; otherwise sets the reader's error
 * to @problem and returns NULL.
 */
static const mc_token_t *take_token(mc_reader_t *reader, mc_token_type_t type,
				    const char *problem)
{
	const mc_token_t *token;

	if (reader->err)
		return NULL;
	if (reader->next < reader->tokens->count) {
		token = &reader->tokens->list[reader->next++];
		if (token->type == type)
			return token;
	}
	set_error(reader, MC_ERR_BAD_FRAME, problem);
	return NULL;
}

void mc_read_array(mc_reader_t *reader, uint32_t size)
{
	const mc_token_t *token =
		take_token(reader, MC_TOKEN_ARRAY, "expected an array");

	if (token && token->size != size)
		set_error(reader, MC_ERR_BAD_FRAME,
			  "expected an array of another size");
}

uint32_t mc_read_count(mc_reader_t *reader, uint32_t max)
{
	const mc_token_t *token =
		take_token(reader, MC_TOKEN_ARRAY, "expected a list");

	if (!token)
		return 0;
	if (token->size <= max)
		return token->size;
	set_error(reader, MC_ERR_BAD_FRAME, "expected a shorter list");
	return 0;
}

uint32_t mc_read_list(mc_reader_t *reader, uint32_t max, size_t element_size,
		      void **elements)
{
	uint32_t count = mc_read_count(reader, max);

	*elements = NULL;
	if (!count)
		return 0;
	*elements = msgpack_zone_malloc(reader->zone, count * element_size);
	if (!*elements) {
		set_error(reader, MC_ERR_NO_MEMORY, "no memory for a list");
		return 0;
	}
	memset(*elements, 0, count * element_size);
	return count;
}

uint64_t mc_read_u64(mc_reader_t *reader)
{
	const mc_token_t *token = take_token(reader, MC_TOKEN_UINT,
					     "expected an unsigned number");

	return token ? token->u64 : 0;
}

uint32_t mc_read_u32(mc_reader_t *reader, uint32_t max)
{
	uint64_t value = mc_read_u64(reader);

	if (value <= max)
		return (uint32_t)value;
	set_error(reader, MC_ERR_BAD_FRAME, "expected a smaller number");
	return 0;
}

mc_ms_t mc_read_ms(mc_reader_t *reader)
{
	const mc_token_t *token;
	uint64_t value;

	if (reader->next < reader->tokens->count &&
	    reader->tokens->list[reader->next].type == MC_TOKEN_INT) {
		token = take_token(reader, MC_TOKEN_INT, "expected a time");
		return token ? token->i64 : 0;
	}
	value = mc_read_u64(reader);
	if (value <= INT64_MAX)
		return (mc_ms_t)value;
	set_error(reader, MC_ERR_BAD_FRAME, "expected a time");
	return 0;
}

mc_err_t mc_read_err(mc_reader_t *reader)
{
	return (mc_err_t)mc_read_u32(reader, MC_ERR_COUNT - 1);
}

bool mc_read_bool(mc_reader_t *reader)
{
	const mc_token_t *token =
		take_token(reader, MC_TOKEN_BOOL, "expected a boolean");

	return token && token->flag;
}

double mc_read_double(mc_reader_t *reader)
{
	const mc_token_t *token = take_token(
		reader, MC_TOKEN_DOUBLE, "expected a floating-point number");

	if (!token)
		return 0;
	if (isfinite(token->number))
		return token->number;
	set_error(reader, MC_ERR_BAD_FRAME, "expected a finite number");
	return 0;
}

/* Returns the next token if it is a string of less than @size bytes. */
static const mc_token_t *take_string(mc_reader_t *reader, size_t size)
{
	const mc_token_t *token =
		take_token(reader, MC_TOKEN_STRING, "expected a string");

	if (!token)
		return NULL;
	if (token->size < size && !memchr(token->text, 0, token->size))
		return token;
	set_error(reader, MC_ERR_BAD_FRAME,
		  "expected a shorter string without zero bytes");
	return NULL;
}

const char *mc_read_string(mc_reader_t *reader, size_t size)
{
	const mc_token_t *token = take_string(reader, size);
	char *text;

	if (!token)
		return "";
	text = msgpack_zone_malloc_no_align(reader->zone, token->size + 1UL);
	if (!text) {
		set_error(reader, MC_ERR_NO_MEMORY, "no memory for a string");
		return "";
	}
	memcpy(text, token->text, token->size);
	text[token->size] = '\0';
	return text;
}

void mc_read_string_buf(mc_reader_t *reader, char *text, size_t size)
{
	const mc_token_t *token = take_string(reader, size);

	if (!token)
		return;
	memcpy(text, token->text, token->size);
	text[token->size] = '\0';
}

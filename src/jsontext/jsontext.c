/*
 * A scanner that skips values. Open brackets are counted, whatever their kind,
 * so that nesting costs no stack.
 */
#include "mc/jsontext.h"

#include <stdint.h>
#include <string.h>

#define CURSOR_BAD SIZE_MAX

static bool is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/* Whether @c ends a number or literal. */
static bool is_delimiter(char c)
{
	return is_space(c) || strchr(",:[]{}\"", c);
}

static size_t skip_space(mc_json_span_t text, size_t at)
{
	while (at < text.size && is_space(text.data[at]))
		at++;
	return at;
}

/* Skips the string that begins at @at; returns 0 if it has no end. */
static size_t skip_string(mc_json_span_t text, size_t at)
{
	for (at++; at < text.size; at++) {
		if (text.data[at] == '\\')
			at++;
		else if (text.data[at] == '"')
			return at + 1;
	}
	return 0;
}

static size_t skip_scalar(mc_json_span_t text, size_t at)
{
	while (at < text.size && !is_delimiter(text.data[at]))
		at++;
	return at;
}

/* Skips an object or array; returns 0 if it has no end. */
static size_t skip_brackets(mc_json_span_t text, size_t at)
{
	size_t depth = 0;

	while (at < text.size) {
		char c = text.data[at];

		if (c == '"') {
			at = skip_string(text, at);
			if (!at)
				return 0;
			continue;
		}
		at++;
		if (c == '{' || c == '[')
			depth++;
		else if ((c == '}' || c == ']') && !--depth)
			return at;
	}
	return 0;
}

/* Skips the value that begins at @at; returns 0 if there is none. */
static size_t skip_value(mc_json_span_t text, size_t at)
{
	size_t end;

	if (at >= text.size)
		return 0;
	if (text.data[at] == '"')
		return skip_string(text, at);
	if (text.data[at] == '{' || text.data[at] == '[')
		return skip_brackets(text, at);
	end = skip_scalar(text, at);
	return end > at ? end : 0;
}

bool mc_json_value(mc_json_span_t text, mc_json_span_t *value)
{
	size_t start = skip_space(text, 0);
	size_t end = skip_value(text, start);

	if (!end || skip_space(text, end) != text.size)
		return false;
	*value = (mc_json_span_t){ text.data + start, end - start };
	return true;
}

/*
 * Reads the value at @cursor, which follows the opening bracket, a comma or a
 * colon, and the separator after it. After the last value @cursor is the size
 * of @text; after one that no separator follows it is CURSOR_BAD.
 */
static bool next_value(mc_json_span_t text, size_t *cursor,
		       mc_json_span_t *value, char separator)
{
	size_t start = skip_space(text, *cursor);
	size_t end = skip_value(text, start);

	if (!end)
		return false;
	*value = (mc_json_span_t){ text.data + start, end - start };
	end = skip_space(text, end);
	if (end + 1 == text.size)
		*cursor = text.size;
	else if (end < text.size && text.data[end] == separator)
		*cursor = end + 1;
	else
		*cursor = CURSOR_BAD;
	return true;
}

static bool is_between(mc_json_span_t text, char first, char last)
{
	return text.size > 1 && text.data[0] == first &&
	       text.data[text.size - 1] == last;
}

static bool is_key(mc_json_span_t text, const char *key)
{
	size_t size = strlen(key);

	return text.size == size + 2 && text.data[0] == '"' &&
	       !memcmp(text.data + 1, key, size);
}

mc_json_span_t mc_json_member(mc_json_span_t object, const char *key)
{
	mc_json_span_t name, value, found = { 0 };
	size_t cursor = 1;

	if (!is_between(object, '{', '}'))
		return found;
	while (next_value(object, &cursor, &name, ':') &&
	       next_value(object, &cursor, &value, ','))
		if (is_key(name, key))
			found = value;
	return found;
}

bool mc_json_next(mc_json_span_t array, size_t *cursor, mc_json_span_t *element)
{
	if (!is_between(array, '[', ']'))
		return false;
	if (!*cursor)
		*cursor = 1;
	return next_value(array, cursor, element, ',');
}

bool mc_json_count(mc_json_span_t array, size_t *count)
{
	mc_json_span_t element;
	size_t cursor = 0;

	*count = 0;
	if (!is_between(array, '[', ']'))
		return false;
	if (skip_space(array, 1) + 1 == array.size)
		return true;
	while (mc_json_next(array, &cursor, &element))
		(*count)++;
	return cursor == array.size;
}

/*
 * Fuzzes the jsontext library against a decoder of JSON: where the decoder
 * accepts a text, its parts must be those that the decoder found, byte for byte
 * the same values. Any other text must be handled within its bounds.
 */
#include <jansson.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "mc/jsontext.h"

static json_t *decode(mc_json_span_t text)
{
	return json_loadb(text.data, text.size, JSON_DECODE_ANY, NULL);
}

/* Fails unless @part is the text of @expected. */
static void check_part(mc_json_span_t part, const json_t *expected)
{
	json_t *json = decode(part);

	if (!json || !json_equal(json, expected))
		abort();
	json_decref(json);
}

static void check_array(mc_json_span_t text, const json_t *array)
{
	mc_json_span_t element;
	size_t cursor = 0, count, i;

	if (!mc_json_count(text, &count) || count != json_array_size(array))
		abort();
	for (i = 0; i < count; i++) {
		if (!mc_json_next(text, &cursor, &element))
			abort();
		check_part(element, json_array_get(array, i));
	}
}

static void check_object(mc_json_span_t text, json_t *object)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		/* Keys with escapes are not found. */
		mc_json_span_t part = mc_json_member(text, key);

		if (part.size)
			check_part(part, value);
		else if (!memchr(text.data, '\\', text.size))
			abort();
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const mc_json_span_t text = { (const char *)data, size };
	mc_json_span_t value = { 0 }, element;
	size_t cursor = 0, count;
	bool found = mc_json_value(text, &value);
	/* The decoder takes a zero byte for the end of the text. */
	bool decodable = size && !memchr(data, 0, size);
	json_t *json = decodable ? decode(text) : NULL;

	if (json && !found)
		abort();
	if (json_is_array(json))
		check_array(value, json);
	if (json_is_object(json))
		check_object(value, json);
	if (found && !mc_json_count(value, &count))
		while (mc_json_next(value, &cursor, &element))
			if (element.data < value.data ||
			    element.data + element.size >
				    value.data + value.size)
				abort();
	json_decref(json);
	return 0;
}

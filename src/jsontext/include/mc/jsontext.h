/*
 * Public header of the jsontext library: finds the parts of a JSON text without
 * decoding them, so that one part that can't be decoded does not spoil the
 * others. Only brackets, strings, commas and colons are looked at; numbers,
 * literals, escapes and the bytes of strings are not checked. Pure.
 */
#ifndef MC_JSONTEXT_H
#define MC_JSONTEXT_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct mc_json_span_t - A part of a JSON text
 * @data: first byte; belongs to the text; not zero-terminated
 * @size: bytes; 0 if there is no such part
 */
typedef struct mc_json_span_t {
	const char *data;
	size_t size;
} mc_json_span_t;

/**
 * mc_json_value() - Get the only value of a text
 * @text: the text
 * @value: receives the value without the white space around it
 *
 * Return: false if the text has no value, a string or bracket without an end,
 * or more than one value.
 */
bool mc_json_value(mc_json_span_t text, mc_json_span_t *value);

/**
 * mc_json_member() - Get a member of an object
 * @object: an object, as mc_json_value() finds it
 * @key: key of the member, without escapes
 *
 * Return: the value of the last member with this key; empty if there is none or
 * @object is no object.
 */
mc_json_span_t mc_json_member(mc_json_span_t object, const char *key);

/**
 * mc_json_next() - Get the next element of an array
 * @array: an array, as mc_json_value() finds it
 * @cursor: 0 for the first element; updated
 * @element: receives the element
 *
 * Return: false at the end, or if @array is no array.
 */
bool mc_json_next(mc_json_span_t array, size_t *cursor,
		  mc_json_span_t *element);

/**
 * mc_json_count() - Count the elements of an array
 * @array: an array, as mc_json_value() finds it
 * @count: receives the number of elements
 *
 * Return: false if @array is no array, or commas between its elements are
 * missing or too many.
 */
bool mc_json_count(mc_json_span_t array, size_t *count);

#endif

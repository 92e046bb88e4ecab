/*
 * Checks the framing of messages: a state machine over the bytes between their
 * parts, and rules for the header lines that tell where a body ends.
 */
#include "framing.h"

#include <string.h>
#include <strings.h>

enum {
	DELETE_BYTE = 0x7f,
	DECIMAL = 10,
};

/* A status line up to its reason, and what follows a request's target. '?' is a
 * digit, of which the first is the class of the status, and '1' the minor
 * version, which may be 0. */
static const char status_line[] = "HTTP/1.1 ???";
static const char request_version[] = "HTTP/1.1\r\n";

enum {
	MINOR_VERSION_AT = 7,
	STATUS_CLASS_AT = sizeof("HTTP/1.1 ") - 1,
	STATUS_LINE_SIZE = sizeof(status_line) - 1,
	REQUEST_VERSION_SIZE = sizeof(request_version) - 1,
};

void h1_framing_reset(h1_framing_t *framing, bool request)
{
	*framing = (h1_framing_t){
		.state = request ? FRAMING_REQUEST_START : FRAMING_STATUS_LINE,
	};
}

static bool is_digit(char byte)
{
	return byte >= '0' && byte <= '9';
}

static bool is_hex_digit(char byte)
{
	return is_digit(byte) || (byte >= 'a' && byte <= 'f') ||
	       (byte >= 'A' && byte <= 'F');
}

/* Control characters but the tab. */
static bool is_control(char byte)
{
	return ((unsigned char)byte < ' ' && byte != '\t') ||
	       byte == DELETE_BYTE;
}

static h1_framing_state_t expect(char byte, char wanted,
				 h1_framing_state_t next)
{
	return byte == wanted ? next : FRAMING_INVALID;
}

/* Reads the next byte of a fixed text of @size bytes; @next follows it. */
static h1_framing_state_t match(h1_framing_t *framing, const char *text,
				uint32_t size, char byte,
				h1_framing_state_t next)
{
	char wanted = text[framing->matched];
	bool matches = wanted == '?' ? is_digit(byte) : byte == wanted;

	if (framing->matched == MINOR_VERSION_AT)
		matches = byte == '0' || byte == '1';
	else if (wanted == '?' && framing->matched == STATUS_CLASS_AT)
		matches = byte >= '1' && byte <= '5';
	if (!matches)
		return FRAMING_INVALID;
	return ++framing->matched == size ? next : framing->state;
}

static h1_framing_state_t read_method(char byte, h1_framing_state_t next)
{
	/* The parser knows the methods. */
	return (byte >= 'A' && byte <= 'Z') || byte == '-' ? FRAMING_METHOD
							   : next;
}

static h1_framing_state_t read_chunk_size(h1_framing_t *framing, char byte)
{
	bool started = framing->state == FRAMING_CHUNK_SIZE;

	if (is_hex_digit(byte)) {
		framing->last_chunk =
			byte == '0' && (!started || framing->last_chunk);
		return FRAMING_CHUNK_SIZE;
	}
	if (started && byte == '\r')
		return FRAMING_CHUNK_SIZE_LF;
	return started && byte == ';' ? FRAMING_CHUNK_EXTENSION
				      : FRAMING_INVALID;
}

static h1_framing_state_t read_chunk_extension(char byte)
{
	if (byte == '\r')
		return FRAMING_CHUNK_SIZE_LF;
	return is_control(byte) ? FRAMING_INVALID : FRAMING_CHUNK_EXTENSION;
}

static h1_framing_state_t state_after_head(const h1_framing_t *framing)
{
	if (framing->last_chunk)
		return FRAMING_END;
	return framing->chunked ? FRAMING_CHUNK_SIZE_START : FRAMING_BODY;
}

/* Gets the state after a byte that belongs to no part. */
static h1_framing_state_t step(h1_framing_t *framing, char byte)
{
	switch (framing->state) {
	case FRAMING_REQUEST_START:
		return byte == '\r' ? FRAMING_REQUEST_START_LF
				    : read_method(byte, FRAMING_INVALID);
	case FRAMING_REQUEST_START_LF:
		return expect(byte, '\n', FRAMING_METHOD_START);
	case FRAMING_METHOD_START:
		return read_method(byte, FRAMING_INVALID);
	case FRAMING_METHOD:
		return byte == ' ' ? FRAMING_TARGET
				   : read_method(byte, FRAMING_INVALID);
	case FRAMING_TARGET:
		return expect(byte, ' ', FRAMING_REQUEST_VERSION);
	case FRAMING_REQUEST_VERSION:
		return match(framing, request_version, REQUEST_VERSION_SIZE,
			     byte, FRAMING_NAME_START);
	case FRAMING_STATUS_LINE:
		return match(framing, status_line, STATUS_LINE_SIZE, byte,
			     FRAMING_STATUS_LINE_END);
	case FRAMING_STATUS_LINE_END:
		return byte == ' ' ? FRAMING_REASON
				   : expect(byte, '\r', FRAMING_LINE_LF);
	case FRAMING_REASON:
	case FRAMING_VALUE:
		return expect(byte, '\r', FRAMING_LINE_LF);
	case FRAMING_NAME_START:
		return expect(byte, '\r', FRAMING_EMPTY_LINE_LF);
	case FRAMING_NAME:
		return expect(byte, ':', FRAMING_VALUE_START);
	case FRAMING_VALUE_START:
		return byte == ' ' || byte == '\t'
			       ? FRAMING_VALUE_START
			       : expect(byte, '\r', FRAMING_LINE_LF);
	case FRAMING_LINE_LF:
		return expect(byte, '\n', FRAMING_NAME_START);
	case FRAMING_EMPTY_LINE_LF:
		return expect(byte, '\n', state_after_head(framing));
	case FRAMING_CHUNK_SIZE_START:
	case FRAMING_CHUNK_SIZE:
		return read_chunk_size(framing, byte);
	case FRAMING_CHUNK_EXTENSION:
		return read_chunk_extension(byte);
	case FRAMING_CHUNK_SIZE_LF:
		return expect(byte, '\n',
			      framing->last_chunk ? FRAMING_NAME_START
						  : FRAMING_CHUNK_DATA);
	case FRAMING_CHUNK_DATA:
		return expect(byte, '\r', FRAMING_CHUNK_DATA_LF);
	case FRAMING_CHUNK_DATA_LF:
		return expect(byte, '\n', FRAMING_CHUNK_SIZE_START);
	case FRAMING_BODY:
	case FRAMING_END:
	case FRAMING_INVALID:
		break;
	}
	return FRAMING_INVALID;
}

/* Skips what nearly all senders write between two parts, compared as a whole,
 * as reading it byte by byte takes longer. Returns false for anything else. */
static bool skip_usual(h1_framing_t *framing, const char *end)
{
	static const char version[] = " HTTP/1.1\r\n";
	const char *data = framing->next;

	switch (end - data) {
	case 0:
		return true;
	case 2:
		if (framing->state == FRAMING_VALUE && data[0] == '\r' &&
		    data[1] == '\n')
			framing->state = FRAMING_NAME_START;
		else if (framing->state == FRAMING_NAME && data[0] == ':' &&
			 data[1] == ' ')
			framing->state = FRAMING_VALUE_START;
		else
			return false;
		return true;
	case sizeof(version) - 1:
		if (framing->state != FRAMING_TARGET ||
		    memcmp(data, version, sizeof(version) - 1))
			return false;
		framing->state = FRAMING_NAME_START;
		return true;
	default:
		return false;
	}
}

bool h1_framing_between(h1_framing_t *framing, const char *end)
{
	while (framing->next < end)
		framing->state = step(framing, *framing->next++);
	return framing->state != FRAMING_INVALID;
}

/* The parser lets spaces through in names, and nothing else that it should
 * not. */
static bool is_name(const char *data, size_t size)
{
	return !memchr(data, ' ', size);
}

static bool has_control(const char *data, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		if (is_control(data[i]))
			return true;
	return false;
}

/* The parser lets tabs and form feeds through in targets. */
static bool is_target(const char *data, size_t size)
{
	return !memchr(data, '\t', size) && !memchr(data, '\f', size);
}

static bool check_part(h1_framing_t *framing, h1_framing_part_t part,
		       const char *data, size_t size)
{
	h1_framing_state_t state = framing->state;

	switch (part) {
	case FRAMING_PART_NAME:
		framing->state = FRAMING_NAME;
		return (state == FRAMING_NAME_START || state == FRAMING_NAME) &&
		       is_name(data, size);
	case FRAMING_PART_VALUE:
		/* The parser checks all bytes of a value but the first. */
		framing->state = FRAMING_VALUE;
		return state == FRAMING_VALUE ||
		       (state == FRAMING_VALUE_START && !is_control(data[0]));
	case FRAMING_PART_TARGET:
		return state == FRAMING_TARGET && is_target(data, size);
	case FRAMING_PART_REASON:
		return state == FRAMING_REASON && !has_control(data, size);
	case FRAMING_PART_BODY:
		return state == FRAMING_BODY || state == FRAMING_CHUNK_DATA;
	}
	return false;
}

bool h1_framing_part(h1_framing_t *framing, h1_framing_part_t part,
		     const char *data, size_t size)
{
	if (!size)
		return true;
	if ((!skip_usual(framing, data) &&
	     !h1_framing_between(framing, data)) ||
	    !check_part(framing, part, data, size)) {
		framing->state = FRAMING_INVALID;
		return false;
	}
	framing->next = data + size;
	return true;
}

/* Reads a number of digits only; false if it is none, or too large. */
static bool read_length(const char *text, uint64_t *length)
{
	uint64_t digit;

	*length = 0;
	if (!*text)
		return false;
	for (; *text; text++) {
		if (!is_digit(*text))
			return false;
		digit = (uint64_t)(*text - '0');
		if (*length > (UINT64_MAX - digit) / DECIMAL)
			return false;
		*length = *length * DECIMAL + digit;
	}
	return true;
}

/* Compares names in any case; most are written as @wanted is. */
static bool is_same_name(const char *name, const char *wanted, size_t size)
{
	return !memcmp(name, wanted, size) || !strcasecmp(name, wanted);
}

static bool is_option(const char *text, size_t size, const char *option)
{
	return size == strlen(option) && !strncasecmp(text, option, size);
}

/* Notes the options of a list; empty elements are passed over (RFC 9110,
 * 5.6.1). */
static void read_connection(h1_framing_fields_t *fields, const char *value)
{
	size_t end, size;

	while (*value) {
		value += strspn(value, ", \t");
		end = strcspn(value, ",");
		size = end;
		while (size &&
		       (value[size - 1] == ' ' || value[size - 1] == '\t'))
			size--;
		fields->close |= is_option(value, size, "close");
		fields->keep_alive |= is_option(value, size, "keep-alive");
		value += end;
	}
}

void h1_framing_field(h1_framing_t *framing, const char *name, size_t name_size,
		      const char *value)
{
	static const char host[] = "Host", length[] = "Content-Length",
			  coding[] = "Transfer-Encoding",
			  connection[] = "Connection";
	h1_framing_fields_t *fields = &framing->fields;

	switch (name_size) {
	case sizeof(host) - 1:
		if (is_same_name(name, host, sizeof(host) - 1))
			fields->hosts++;
		break;
	case sizeof(length) - 1:
		if (!is_same_name(name, length, sizeof(length) - 1))
			break;
		fields->lengths++;
		if (!read_length(value, &fields->length))
			fields->invalid = true;
		break;
	case sizeof(coding) - 1:
		if (!is_same_name(name, coding, sizeof(coding) - 1))
			break;
		/* No other coding can be decoded here. */
		fields->codings++;
		if (strcasecmp(value, "chunked"))
			fields->invalid = true;
		break;
	case sizeof(connection) - 1:
		if (is_same_name(name, connection, sizeof(connection) - 1))
			read_connection(fields, value);
		break;
	default:
		break;
	}
}

/* The connection ends with a body that has no other end. */
static bool is_delimited(const h1_framing_fields_t *fields, bool request,
			 bool without_body)
{
	return request || without_body || fields->lengths || fields->codings;
}

bool h1_framing_head(h1_framing_t *framing, bool request, unsigned int minor,
		     bool without_body)
{
	const h1_framing_fields_t *fields = &framing->fields;

	framing->chunked = fields->codings && !without_body;
	framing->keep_alive = !fields->close && (minor || fields->keep_alive) &&
			      is_delimited(fields, request, without_body);
	if (fields->invalid || fields->lengths + fields->codings > 1)
		return false;
	/* HTTP/1.0 has no transfer codings and needs no host. */
	if (fields->codings && !minor)
		return false;
	if (!request)
		return true;
	return fields->hosts == 1 || (!fields->hosts && !minor);
}

bool h1_framing_is_end(const h1_framing_t *framing)
{
	return framing->state == FRAMING_BODY || framing->state == FRAMING_END;
}

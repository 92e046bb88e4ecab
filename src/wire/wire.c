/*
 * Encodes and decodes the envelope [kind, field, ...] of all messages; a table
 * of codecs does the same for the fields of each kind.
 */
#include "mc/wire.h"

#include <stdlib.h>

#include "codec.h"

enum {
	/* Bytes of the first chunk of a decoded message's memory zone. */
	ZONE_CHUNK_SIZE = 2048,
};

/*
 * A decoded message and the zone of all that it points to. The message comes
 * first, as mc_wire_free() gets a pointer to it.
 */
typedef struct {
	mc_wire_message_t message;
	msgpack_zone *zone;
} decoded_t;

static const mc_codec_t *find_codec(mc_wire_kind_t kind)
{
	static const mc_codec_t *const codecs[] = {
		[MC_WIRE_HELLO] = &mc_codec_hello,
		[MC_WIRE_QUERY] = &mc_codec_query,
		[MC_WIRE_RESULT] = &mc_codec_results,
		[MC_WIRE_CANCEL] = &mc_codec_cancel,
		[MC_WIRE_REPORT] = &mc_codec_report,
		[MC_WIRE_RUN] = &mc_codec_run,
		[MC_WIRE_RUN_RESULT] = &mc_codec_run_result,
		[MC_WIRE_MEMBER] = &mc_codec_member,
		[MC_WIRE_CONFIG] = &mc_codec_config,
		[MC_WIRE_CONFIG_DIGEST] = &mc_codec_config,
		[MC_WIRE_CONFIG_REQUEST] = &mc_codec_config,
		[MC_WIRE_MOVE] = &mc_codec_move,
		[MC_WIRE_RELAY_STATE] = &mc_codec_relay_state,
		[MC_WIRE_RELAY_CHANGES] = &mc_codec_relay_changes,
		[MC_WIRE_RELAY_EVIDENCE] = &mc_codec_relay_evidence,
	};

	return (unsigned)kind < MC_ARRAY_LEN(codecs) ? codecs[kind] : NULL;
}

mc_err_t mc_wire_encode(const mc_wire_message_t *message, char **data,
			size_t *size)
{
	const mc_codec_t *codec = find_codec(message->kind);
	mc_writer_t writer;

	if (!codec)
		return mc_fail(MC_ERR_INTERNAL, "message has an unknown kind");
	mc_writer_init(&writer);
	mc_write_array(&writer, codec->fields + 1);
	mc_write_u64(&writer, message->kind);
	codec->encode(&writer, message);
	if (writer.failed) {
		msgpack_sbuffer_destroy(&writer.buffer);
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for encoding a message");
	}
	*size = writer.buffer.size;
	*data = msgpack_sbuffer_release(&writer.buffer);
	return MC_OK;
}

static void decode_envelope(mc_reader_t *reader, mc_wire_message_t *message)
{
	const mc_token_t *first = reader->tokens->list;
	const mc_codec_t *codec;
	uint32_t fields = first->type == MC_TOKEN_ARRAY ? first->size : 0;

	mc_read_array(reader, fields);
	message->kind =
		(mc_wire_kind_t)mc_read_u32(reader, MC_WIRE_RELAY_EVIDENCE);
	if (reader->err)
		return;
	codec = find_codec(message->kind);
	if (!codec || fields != codec->fields + 1) {
		reader->err = mc_fail(MC_ERR_BAD_FRAME,
				      "unknown message kind or wrong field "
				      "count: kind %d, %u fields",
				      message->kind, fields);
		return;
	}
	codec->decode(reader, message);
}

static mc_err_t decode_tokens(const mc_tokens_t *tokens, decoded_t **decoded)
{
	msgpack_zone *zone = msgpack_zone_new(ZONE_CHUNK_SIZE);
	mc_reader_t reader = { .tokens = tokens, .zone = zone };

	if (!zone)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for decoding a message");
	*decoded = calloc(1, sizeof(**decoded));
	if (!*decoded) {
		msgpack_zone_free(zone);
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for decoding a message");
	}
	(*decoded)->zone = zone;
	decode_envelope(&reader, &(*decoded)->message);
	return reader.err;
}

mc_err_t mc_wire_decode(const char *data, size_t size,
			mc_wire_message_t **message)
{
	mc_tokens_t tokens = { 0 };
	decoded_t *decoded = NULL;
	mc_err_t err = mc_tokens_parse(&tokens, data, size);

	*message = NULL;
	if (!err)
		err = decode_tokens(&tokens, &decoded);
	mc_tokens_free(&tokens);
	if (!decoded)
		return err;
	if (err) {
		mc_wire_free(&decoded->message);
		return err;
	}
	*message = &decoded->message;
	return MC_OK;
}

void mc_wire_free(mc_wire_message_t *message)
{
	decoded_t *decoded = (decoded_t *)message;

	if (!decoded)
		return;
	msgpack_zone_free(decoded->zone);
	free(decoded);
}

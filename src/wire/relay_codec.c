/*
 * Encoding of NEWS_STATE and NEWS.
 */
#include "codec.h"

enum {
	STATE_FIELDS = 2,
	NEWS_FIELDS = 3,
};

static void encode_state(mc_writer_t *writer, const mc_wire_message_t *message)
{
	const mc_wire_relay_state_t *state = &message->relay_state;
	uint32_t i;

	mc_write_bool(writer, state->watches_store);
	mc_write_array(writer, state->count);
	for (i = 0; i < state->count; i++)
		mc_write_u64(writer, state->revisions[i]);
}

static void decode_state(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_relay_state_t *state = &message->relay_state;
	void *list;
	uint32_t i;

	state->watches_store = mc_read_bool(reader);
	state->count = mc_read_list(reader, MC_WIRE_RELAY_KINDS_MAX,
				    sizeof(*state->revisions), &list);
	state->revisions = list;
	for (i = 0; i < state->count; i++)
		state->revisions[i] = mc_read_u64(reader);
}

static void encode_news(mc_writer_t *writer, const mc_wire_message_t *message)
{
	mc_write_u64(writer, message->relay_changes.record_kind);
	mc_write_u64(writer, message->relay_changes.after_revision);
	mc_write_string(writer, message->relay_changes.text);
}

static void decode_news(mc_reader_t *reader, mc_wire_message_t *message)
{
	message->relay_changes.record_kind =
		mc_read_u32(reader, MC_WIRE_RELAY_KINDS_MAX - 1);
	message->relay_changes.after_revision = mc_read_u64(reader);
	message->relay_changes.text =
		mc_read_string(reader, MC_WIRE_RELAY_TEXT_MAX + 1);
}

const mc_codec_t mc_codec_news_state = {
	.fields = STATE_FIELDS,
	.encode = encode_state,
	.decode = decode_state,
};

const mc_codec_t mc_codec_news = {
	.fields = NEWS_FIELDS,
	.encode = encode_news,
	.decode = decode_news,
};

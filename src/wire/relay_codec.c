/*
 * Codecs of RELAY_STATE and RELAY_CHANGES.
 */
#include "codec.h"

enum {
	RELAY_STATE_FIELDS = 3,
	RELAY_CHANGES_FIELDS = 3,
};

static void write_numbers(mc_writer_t *writer, const uint64_t *numbers,
			  uint32_t count)
{
	uint32_t i;

	mc_write_array(writer, count);
	for (i = 0; i < count; i++)
		mc_write_u64(writer, numbers[i]);
}

/* Reads one number for each kind; the memory is the reader's. */
static uint32_t read_numbers(mc_reader_t *reader, uint64_t **numbers)
{
	void *list;
	uint32_t count = mc_read_list(reader, MC_WIRE_RELAY_KINDS_MAX,
				      sizeof(**numbers), &list);
	uint32_t i;

	*numbers = list;
	for (i = 0; i < count; i++)
		(*numbers)[i] = mc_read_u64(reader);
	return count;
}

static void encode_relay_state(mc_writer_t *writer,
			       const mc_wire_message_t *message)
{
	const mc_wire_relay_state_t *state = &message->relay_state;

	mc_write_bool(writer, state->watches_store);
	write_numbers(writer, state->revisions, state->count);
	write_numbers(writer, state->complete_for, state->complete_count);
}

static void decode_relay_state(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_relay_state_t *state = &message->relay_state;

	state->watches_store = mc_read_bool(reader);
	state->count = read_numbers(reader, &state->revisions);
	state->complete_count = read_numbers(reader, &state->complete_for);
}

static void encode_relay_changes(mc_writer_t *writer,
				 const mc_wire_message_t *message)
{
	mc_write_u64(writer, message->relay_changes.record_kind);
	mc_write_u64(writer, message->relay_changes.after_revision);
	mc_write_string(writer, message->relay_changes.text);
}

static void decode_relay_changes(mc_reader_t *reader,
				 mc_wire_message_t *message)
{
	message->relay_changes.record_kind =
		mc_read_u32(reader, MC_WIRE_RELAY_KINDS_MAX - 1);
	message->relay_changes.after_revision = mc_read_u64(reader);
	message->relay_changes.text =
		mc_read_string(reader, MC_WIRE_RELAY_TEXT_MAX + 1);
}

const mc_codec_t mc_codec_relay_state = {
	.fields = RELAY_STATE_FIELDS,
	.encode = encode_relay_state,
	.decode = decode_relay_state,
};

const mc_codec_t mc_codec_relay_changes = {
	.fields = RELAY_CHANGES_FIELDS,
	.encode = encode_relay_changes,
	.decode = decode_relay_changes,
};

/*
 * Codec of RELAY_EVIDENCE.
 */
#include "codec.h"

enum {
	EVIDENCE_FIELDS = 1,
	ITEM_FIELDS = 4,
};

static void encode_evidence(mc_writer_t *writer,
			    const mc_wire_message_t *message)
{
	const mc_wire_relay_evidence_t *evidence = &message->relay_evidence;
	uint32_t i;

	mc_write_array(writer, evidence->count);
	for (i = 0; i < evidence->count; i++) {
		mc_write_array(writer, ITEM_FIELDS);
		mc_write_u64(writer, evidence->items[i].target);
		mc_write_u64(writer, evidence->items[i].pace);
		mc_write_bool(writer, evidence->items[i].silent);
		mc_write_u64(writer, evidence->items[i].age);
	}
}

static void decode_evidence(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_relay_evidence_t *evidence = &message->relay_evidence;
	void *list;
	uint32_t i;

	evidence->count = mc_read_list(reader, MC_WIRE_RELAY_EVIDENCE_MAX,
				       sizeof(*evidence->items), &list);
	evidence->items = list;
	for (i = 0; i < evidence->count; i++) {
		mc_read_array(reader, ITEM_FIELDS);
		evidence->items[i].target = mc_read_u32(reader, UINT32_MAX);
		evidence->items[i].pace = mc_read_u32(reader, UINT32_MAX);
		evidence->items[i].silent = mc_read_bool(reader);
		evidence->items[i].age = mc_read_u32(reader, UINT32_MAX);
	}
}

const mc_codec_t mc_codec_relay_evidence = {
	.fields = EVIDENCE_FIELDS,
	.encode = encode_evidence,
	.decode = decode_evidence,
};

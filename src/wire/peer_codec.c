/*
 * Encoding of HELLO, REPORT and MEMBER.
 */
#include "codec.h"

enum {
	HELLO_FIELDS = 3,
	REPORT_FIELDS = 1,
	TARGET_FIELDS = 5,
	MEMBER_MESSAGE_FIELDS = 5,
	MEMBER_FIELDS = 7,
};

static void encode_hello(mc_writer_t *writer, const mc_wire_message_t *message)
{
	mc_write_u64(writer, message->hello.version);
	mc_write_string(writer, message->hello.address);
	mc_write_bool(writer, message->hello.is_gather);
}

static void decode_hello(mc_reader_t *reader, mc_wire_message_t *message)
{
	message->hello.version = mc_read_u32(reader, UINT32_MAX);
	message->hello.address = mc_read_string(reader, MC_MEMBER_ADDRESS_SIZE);
	message->hello.is_gather = mc_read_bool(reader);
}

static void encode_target(mc_writer_t *writer, const mc_wire_target_t *target)
{
	uint32_t i;

	mc_write_array(writer, TARGET_FIELDS);
	mc_write_u64(writer, target->key);
	mc_write_bool(writer, target->draining);
	mc_write_bool(writer, target->down);
	mc_write_bool(writer, target->reported);
	mc_write_array(writer, target->snapshot_count);
	for (i = 0; i < target->snapshot_count; i++)
		mc_write_string(writer, target->snapshots[i]);
}

static void decode_target(mc_reader_t *reader, mc_wire_target_t *target)
{
	void *list;
	uint32_t i;

	mc_read_array(reader, TARGET_FIELDS);
	target->key = mc_read_u64(reader);
	target->draining = mc_read_bool(reader);
	target->down = mc_read_bool(reader);
	target->reported = mc_read_bool(reader);
	target->snapshot_count = mc_read_list(reader, MC_WIRE_SNAPSHOTS_MAX,
					      sizeof(const char *), &list);
	target->snapshots = list;
	for (i = 0; i < target->snapshot_count; i++)
		target->snapshots[i] = mc_read_string(reader, MC_WIRE_ID_SIZE);
}

static void encode_report(mc_writer_t *writer, const mc_wire_message_t *message)
{
	const mc_wire_report_t *report = &message->report;
	uint32_t i;

	mc_write_array(writer, report->count);
	for (i = 0; i < report->count; i++)
		encode_target(writer, &report->targets[i]);
}

static void decode_report(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_report_t *report = &message->report;
	void *list;
	uint32_t i;

	report->count = mc_read_list(reader, MC_WIRE_REPORT_TARGETS_MAX,
				     sizeof(mc_wire_target_t), &list);
	report->targets = list;
	for (i = 0; i < report->count; i++)
		decode_target(reader, &report->targets[i]);
}

static void encode_member(mc_writer_t *writer, const mc_member_t *member)
{
	mc_write_array(writer, MEMBER_FIELDS);
	mc_write_u64(writer, member->key);
	mc_write_string(writer, member->address);
	mc_write_string(writer, member->data_center);
	mc_write_bool(writer, member->is_gather);
	mc_write_u64(writer, member->state);
	mc_write_u64(writer, member->incarnation);
	mc_write_ms(writer, member->state_since);
}

static void decode_member(mc_reader_t *reader, mc_member_t *member)
{
	mc_read_array(reader, MEMBER_FIELDS);
	member->key = mc_read_u64(reader);
	mc_read_text(reader, member->address, sizeof(member->address));
	mc_read_text(reader, member->data_center, sizeof(member->data_center));
	member->is_gather = mc_read_bool(reader);
	member->state = (mc_member_state_t)mc_read_u32(reader, MC_MEMBER_DEAD);
	member->incarnation = mc_read_u64(reader);
	member->state_since = mc_read_ms(reader);
}

static void encode_member_message(mc_writer_t *writer,
				  const mc_wire_message_t *message)
{
	const mc_member_message_t *member = &message->member;
	uint32_t i;

	mc_write_u64(writer, member->kind);
	mc_write_u64(writer, member->sequence);
	mc_write_u64(writer, member->subject);
	encode_member(writer, &member->from);
	mc_write_array(writer, member->update_count);
	for (i = 0; i < member->update_count; i++)
		encode_member(writer, &member->updates[i]);
}

static void decode_member_message(mc_reader_t *reader,
				  mc_wire_message_t *message)
{
	mc_member_message_t *member = &message->member;
	uint32_t i;

	member->kind =
		(mc_member_message_kind_t)mc_read_u32(reader, MC_MEMBER_SYNC);
	member->sequence = mc_read_u64(reader);
	member->subject = mc_read_u64(reader);
	decode_member(reader, &member->from);
	member->update_count = mc_read_count(reader, MC_MEMBER_UPDATES_MAX);
	for (i = 0; i < member->update_count; i++)
		decode_member(reader, &member->updates[i]);
}

const mc_codec_t mc_codec_hello = {
	.fields = HELLO_FIELDS,
	.encode = encode_hello,
	.decode = decode_hello,
};

const mc_codec_t mc_codec_report = {
	.fields = REPORT_FIELDS,
	.encode = encode_report,
	.decode = decode_report,
};

const mc_codec_t mc_codec_member = {
	.fields = MEMBER_MESSAGE_FIELDS,
	.encode = encode_member_message,
	.decode = decode_member_message,
};

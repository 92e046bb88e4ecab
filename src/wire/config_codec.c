/*
 * Encoding of CONFIG, CONFIG_DIGEST, CONFIG_REQUEST and MOVE.
 */
#include "codec.h"

enum {
	CONFIG_FIELDS = 4,
	MOVE_FIELDS = 6,
	/* A move's versions: the old one and the new one. */
	MOVE_VERSIONS = 2,
	COUNTS_FIELDS = 2 + MC_MOVE_BUCKETS,
};

static void encode_config(mc_writer_t *writer, const mc_wire_message_t *message)
{
	mc_write_u64(writer, message->config.version);
	mc_write_string(writer, message->config.text);
	mc_write_string(writer, message->config.sender_address);
	mc_write_ms(writer, message->config.age);
}

static void decode_config(mc_reader_t *reader, mc_wire_message_t *message)
{
	message->config.version = mc_read_u64(reader);
	message->config.text = mc_read_string(reader, MC_CONFIG_TEXT_MAX + 1);
	message->config.sender_address =
		mc_read_string(reader, MC_MEMBER_ADDRESS_SIZE);
	message->config.age = mc_read_ms(reader);
}

static void encode_counts(mc_writer_t *writer, const mc_move_counts_t *counts)
{
	uint32_t i;

	mc_write_array(writer, COUNTS_FIELDS);
	mc_write_u64(writer, counts->answered);
	mc_write_u64(writer, counts->failed);
	for (i = 0; i < MC_MOVE_BUCKETS; i++)
		mc_write_u64(writer, counts->latency[i]);
}

static void decode_counts(mc_reader_t *reader, mc_move_counts_t *counts)
{
	uint32_t i;

	mc_read_array(reader, COUNTS_FIELDS);
	counts->answered = mc_read_u64(reader);
	counts->failed = mc_read_u64(reader);
	for (i = 0; i < MC_MOVE_BUCKETS; i++)
		counts->latency[i] = mc_read_u64(reader);
}

static void encode_move(mc_writer_t *writer, const mc_wire_message_t *message)
{
	const mc_move_digest_t *move = &message->move;
	uint32_t i;

	mc_write_u64(writer, move->move_hash);
	mc_write_u64(writer, move->origin);
	mc_write_bool(writer, move->judged_good);
	mc_write_bool(writer, move->taken_back);
	mc_write_string(writer, move->reason);
	mc_write_array(writer, MOVE_VERSIONS * MC_MOVE_ROUTES);
	for (i = 0; i < MOVE_VERSIONS * MC_MOVE_ROUTES; i++)
		encode_counts(
			writer,
			&move->counts[i / MC_MOVE_ROUTES][i % MC_MOVE_ROUTES]);
}

static void decode_move(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_move_digest_t *move = &message->move;
	uint32_t i;

	move->move_hash = mc_read_u64(reader);
	move->origin = mc_read_u64(reader);
	move->judged_good = mc_read_bool(reader);
	move->taken_back = mc_read_bool(reader);
	mc_read_text(reader, move->reason, sizeof(move->reason));
	mc_read_array(reader, MOVE_VERSIONS * MC_MOVE_ROUTES);
	for (i = 0; i < MOVE_VERSIONS * MC_MOVE_ROUTES; i++)
		decode_counts(
			reader,
			&move->counts[i / MC_MOVE_ROUTES][i % MC_MOVE_ROUTES]);
}

const mc_codec_t mc_codec_config = {
	.fields = CONFIG_FIELDS,
	.encode = encode_config,
	.decode = decode_config,
};

const mc_codec_t mc_codec_move = {
	.fields = MOVE_FIELDS,
	.encode = encode_move,
	.decode = decode_move,
};

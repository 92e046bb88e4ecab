/*
 * Encoding of RUN and RUN_RESULT.
 */
#include "codec.h"

enum {
	RUN_FIELDS = 7,
	RUN_RESULT_FIELDS = 3,
};

static void encode_run(mc_writer_t *writer, const mc_wire_message_t *message)
{
	const mc_wire_run_t *run = &message->run;

	mc_write_u64(writer, run->id);
	mc_write_string(writer, run->request);
	mc_write_string(writer, run->key);
	mc_write_string(writer, run->service);
	mc_write_u64(writer, run->target_key);
	mc_write_string(writer, run->query);
	mc_write_ms(writer, run->time_left);
}

static void decode_run(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_run_t *run = &message->run;

	run->id = mc_read_u64(reader);
	run->request = mc_read_string(reader, MC_WIRE_ID_SIZE);
	run->key = mc_read_string(reader, MC_WIRE_ID_SIZE);
	run->service = mc_read_string(reader, MC_WIRE_ID_SIZE);
	run->target_key = mc_read_u64(reader);
	run->query = mc_read_string(reader, MC_WIRE_STRING_MAX + 1);
	run->time_left = mc_read_ms(reader);
}

static void encode_run_result(mc_writer_t *writer,
			      const mc_wire_message_t *message)
{
	const mc_wire_run_result_t *result = &message->run_result;

	mc_write_u64(writer, result->id);
	mc_write_u64(writer, result->err);
	mc_write_string(writer, result->result);
}

static void decode_run_result(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_run_result_t *result = &message->run_result;

	result->id = mc_read_u64(reader);
	result->err = mc_read_err(reader);
	result->result = mc_read_string(reader, MC_WIRE_STRING_MAX + 1);
}

const mc_codec_t mc_codec_run = {
	.fields = RUN_FIELDS,
	.encode = encode_run,
	.decode = decode_run,
};

const mc_codec_t mc_codec_run_result = {
	.fields = RUN_RESULT_FIELDS,
	.encode = encode_run_result,
	.decode = decode_run_result,
};

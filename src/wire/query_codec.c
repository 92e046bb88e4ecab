/*
 * Encoding of QUERY, RESULT and CANCEL.
 */
#include "codec.h"

enum {
	QUERY_FIELDS = 8,
	SUB_QUERY_FIELDS = 4,
	RESULTS_FIELDS = 1,
	RESULT_FIELDS = 5,
	HIT_FIELDS = 2,
	CANCEL_FIELDS = 1,
};

static void encode_sub_query(mc_writer_t *writer,
			     const mc_wire_sub_query_t *sub_query)
{
	mc_write_array(writer, SUB_QUERY_FIELDS);
	mc_write_u64(writer, sub_query->id);
	mc_write_u64(writer, sub_query->target_key);
	mc_write_u64(writer, sub_query->shard);
	mc_write_bool(writer, sub_query->is_hedge);
}

static void decode_sub_query(mc_reader_t *reader,
			     mc_wire_sub_query_t *sub_query)
{
	mc_read_array(reader, SUB_QUERY_FIELDS);
	sub_query->id = mc_read_u64(reader);
	sub_query->target_key = mc_read_u64(reader);
	sub_query->shard = mc_read_u32(reader, UINT32_MAX);
	sub_query->is_hedge = mc_read_bool(reader);
}

static void encode_query(mc_writer_t *writer, const mc_wire_message_t *message)
{
	const mc_wire_query_t *query = &message->query;
	uint32_t i;

	mc_write_string(writer, query->request);
	mc_write_string(writer, query->service);
	mc_write_string(writer, query->snapshot);
	mc_write_string(writer, query->query);
	mc_write_u64(writer, query->limit);
	mc_write_u64(writer, query->klass);
	mc_write_ms(writer, query->time_left);
	mc_write_array(writer, query->sub_query_count);
	for (i = 0; i < query->sub_query_count; i++)
		encode_sub_query(writer, &query->sub_queries[i]);
}

static void decode_query(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_query_t *query = &message->query;
	void *list;
	uint32_t i;

	query->request = mc_read_string(reader, MC_WIRE_ID_SIZE);
	query->service = mc_read_string(reader, MC_WIRE_ID_SIZE);
	query->snapshot = mc_read_string(reader, MC_WIRE_ID_SIZE);
	query->query = mc_read_string(reader, MC_WIRE_STRING_MAX + 1);
	query->limit = mc_read_u32(reader, UINT32_MAX);
	query->klass = mc_read_u32(reader, MC_WIRE_CLASS_COUNT - 1);
	query->time_left = mc_read_ms(reader);
	query->sub_query_count =
		mc_read_list(reader, MC_WIRE_SUB_QUERIES_MAX,
			     sizeof(mc_wire_sub_query_t), &list);
	query->sub_queries = list;
	for (i = 0; i < query->sub_query_count; i++)
		decode_sub_query(reader, &query->sub_queries[i]);
}

static void encode_result(mc_writer_t *writer, const mc_wire_result_t *result)
{
	uint32_t i;

	mc_write_array(writer, RESULT_FIELDS);
	mc_write_u64(writer, result->id);
	mc_write_u64(writer, result->err);
	mc_write_string(writer, result->snapshot);
	mc_write_ms(writer, result->latency);
	mc_write_array(writer, result->hit_count);
	for (i = 0; i < result->hit_count; i++) {
		mc_write_array(writer, HIT_FIELDS);
		mc_write_string(writer, result->hits[i].id);
		mc_write_double(writer, result->hits[i].score);
	}
}

static void decode_result(mc_reader_t *reader, mc_wire_result_t *result)
{
	void *list;
	uint32_t i;

	mc_read_array(reader, RESULT_FIELDS);
	result->id = mc_read_u64(reader);
	result->err = mc_read_err(reader);
	result->snapshot = mc_read_string(reader, MC_WIRE_ID_SIZE);
	result->latency = mc_read_ms(reader);
	result->hit_count =
		mc_read_list(reader, MC_WIRE_HITS_MAX, sizeof(mc_hit_t), &list);
	result->hits = list;
	for (i = 0; i < result->hit_count; i++) {
		mc_read_array(reader, HIT_FIELDS);
		result->hits[i].id =
			mc_read_string(reader, MC_WIRE_STRING_MAX + 1);
		result->hits[i].score = mc_read_double(reader);
	}
}

static void encode_results(mc_writer_t *writer,
			   const mc_wire_message_t *message)
{
	const mc_wire_results_t *results = &message->results;
	uint32_t i;

	mc_write_array(writer, results->count);
	for (i = 0; i < results->count; i++)
		encode_result(writer, &results->list[i]);
}

static void decode_results(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_results_t *results = &message->results;
	void *list;
	uint32_t i;

	results->count = mc_read_list(reader, MC_WIRE_SUB_QUERIES_MAX,
				      sizeof(mc_wire_result_t), &list);
	results->list = list;
	for (i = 0; i < results->count; i++)
		decode_result(reader, &results->list[i]);
}

static void encode_cancel(mc_writer_t *writer, const mc_wire_message_t *message)
{
	const mc_wire_cancel_t *cancel = &message->cancel;
	uint32_t i;

	mc_write_array(writer, cancel->count);
	for (i = 0; i < cancel->count; i++)
		mc_write_u64(writer, cancel->ids[i]);
}

static void decode_cancel(mc_reader_t *reader, mc_wire_message_t *message)
{
	mc_wire_cancel_t *cancel = &message->cancel;
	void *list;
	uint32_t i;

	cancel->count = mc_read_list(reader, MC_WIRE_SUB_QUERIES_MAX,
				     sizeof(uint64_t), &list);
	cancel->ids = list;
	for (i = 0; i < cancel->count; i++)
		cancel->ids[i] = mc_read_u64(reader);
}

const mc_codec_t mc_codec_query = {
	.fields = QUERY_FIELDS,
	.encode = encode_query,
	.decode = decode_query,
};

const mc_codec_t mc_codec_results = {
	.fields = RESULTS_FIELDS,
	.encode = encode_results,
	.decode = decode_results,
};

const mc_codec_t mc_codec_cancel = {
	.fields = CANCEL_FIELDS,
	.encode = encode_cancel,
	.decode = decode_cancel,
};

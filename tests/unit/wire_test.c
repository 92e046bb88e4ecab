/*
 * Unit tests of the wire library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "mc/wire.h"

/* Encodes @message and returns what decoding the bytes gives. */
static mc_wire_message_t *round_trip(const mc_wire_message_t *message)
{
	mc_wire_message_t *result;
	char *data;
	size_t size;

	assert_int_equal(mc_wire_encode(message, &data, &size), MC_OK);
	assert_int_equal(mc_wire_decode(data, size, &result), MC_OK);
	free(data);
	assert_int_equal(result->kind, message->kind);
	return result;
}

static void test_relay(void **state)
{
	uint64_t revisions[] = { 3, UINT64_MAX };
	uint64_t complete_for[] = { 250 };
	mc_wire_message_t *result = round_trip(&(mc_wire_message_t){
		.kind = MC_WIRE_RELAY_STATE,
		.relay_state = { .watches_store = true,
				 .count = 2,
				 .revisions = revisions,
				 .complete_count = 1,
				 .complete_for = complete_for },
	});

	(void)state;
	assert_true(result->relay_state.watches_store);
	assert_int_equal(result->relay_state.count, 2);
	assert_true(result->relay_state.revisions[1] == UINT64_MAX);
	assert_int_equal(result->relay_state.complete_count, 1);
	assert_int_equal(result->relay_state.complete_for[0], 250);
	mc_wire_free(result);
	result = round_trip(&(mc_wire_message_t){
		.kind = MC_WIRE_RELAY_CHANGES,
		.relay_changes = { .record_kind = 2,
				   .after_revision = 41,
				   .text = "{}" },
	});
	assert_int_equal(result->relay_changes.record_kind, 2);
	assert_int_equal(result->relay_changes.after_revision, 41);
	assert_string_equal(result->relay_changes.text, "{}");
	mc_wire_free(result);
}

static void test_evidence(void **state)
{
	mc_wire_evidence_t items[] = {
		{ .target = UINT32_MAX, .pace = 250, .age = 12 },
		{ .target = 1, .silent = true },
	};
	mc_wire_message_t *result = round_trip(&(mc_wire_message_t){
		.kind = MC_WIRE_RELAY_EVIDENCE,
		.relay_evidence = { .count = 2, .items = items },
	});

	(void)state;
	assert_int_equal(result->relay_evidence.count, 2);
	assert_memory_equal(result->relay_evidence.items, items, sizeof(items));
	mc_wire_free(result);
	result = round_trip(&(mc_wire_message_t){
		.kind = MC_WIRE_RELAY_EVIDENCE,
	});
	assert_int_equal(result->relay_evidence.count, 0);
	mc_wire_free(result);
}

static void test_query(void **state)
{
	mc_wire_sub_query_t sub_queries[] = {
		{ .id = UINT64_MAX,
		  .target_key = 7,
		  .shard = 3,
		  .is_hedge = true },
		{ .id = 1, .target_key = 8, .shard = UINT32_MAX },
	};
	mc_wire_message_t *result = round_trip(&(mc_wire_message_t){
		.kind = MC_WIRE_QUERY,
		.query = { .request = "r-1",
			   .service = "probes",
			   .snapshot = "s9",
			   .query = "{\"q\":\"basil\"}",
			   .limit = 20,
			   .time_left = 180,
			   .sub_query_count = 2,
			   .sub_queries = sub_queries },
	});
	const mc_wire_query_t *query = &result->query;

	(void)state;
	assert_string_equal(query->request, "r-1");
	assert_string_equal(query->service, "probes");
	assert_string_equal(query->snapshot, "s9");
	assert_string_equal(query->query, "{\"q\":\"basil\"}");
	assert_int_equal(query->limit, 20);
	assert_int_equal(query->time_left, 180);
	assert_int_equal(query->sub_query_count, 2);
	assert_true(query->sub_queries[0].id == UINT64_MAX);
	assert_int_equal(query->sub_queries[0].target_key, 7);
	assert_true(query->sub_queries[0].is_hedge);
	assert_int_equal(query->sub_queries[1].shard, UINT32_MAX);
	assert_false(query->sub_queries[1].is_hedge);
	mc_wire_free(result);
}

static void test_results(void **state)
{
	mc_hit_t hits[] = { { .id = "pot/7", .score = -0.25, .slot = 9 } };
	mc_wire_result_t list[] = {
		{ .id = 5,
		  .snapshot = "s9",
		  .latency = 12,
		  .hit_count = 1,
		  .hits = hits },
		{ .id = 6, .err = MC_ERR_TARGET_SHED, .snapshot = "" },
	};
	mc_wire_message_t *result = round_trip(&(mc_wire_message_t){
		.kind = MC_WIRE_RESULT,
		.results = { .count = 2, .list = list },
	});

	(void)state;
	assert_int_equal(result->results.count, 2);
	assert_string_equal(result->results.list[0].hits[0].id, "pot/7");
	assert_true(result->results.list[0].hits[0].score == -0.25);
	assert_int_equal(result->results.list[0].hits[0].slot, 0);
	assert_int_equal(result->results.list[1].err, MC_ERR_TARGET_SHED);
	assert_int_equal(result->results.list[1].hit_count, 0);
	mc_wire_free(result);
}

static void test_member(void **state)
{
	static mc_wire_message_t member = {
		.kind = MC_WIRE_MEMBER,
		.member = { .kind = MC_MEMBER_PING_REQ,
			    .sequence = 4,
			    .subject = 5,
			    .from = { .key = 6,
				      .address = "10.0.0.1:70",
				      .is_gather = true },
			    .update_count = 1,
			    .updates = { { .state = MC_MEMBER_SUSPECT,
					   .data_center = "iruna",
					   .state_since = -3 } } },
	};
	mc_wire_message_t *result = round_trip(&member);

	(void)state;
	assert_memory_equal(&result->member, &member.member,
			    sizeof(member.member));
	mc_wire_free(result);
}

static void test_move(void **state)
{
	static mc_wire_message_t move = {
		.kind = MC_WIRE_MOVE,
		.move = { .move_hash = 1,
			  .origin = 2,
			  .taken_back = true,
			  .reason = "failures 9 of 10",
			  .counts[1][3] = { .answered = 7,
					    .failed = 8,
					    .latency[15] = 9 } },
	};
	mc_wire_message_t *result = round_trip(&move);

	(void)state;
	assert_memory_equal(&result->move, &move.move, sizeof(move.move));
	mc_wire_free(result);
}

static void test_bad_frames(void **state)
{
	static const struct {
		const char *data;
		size_t size;
	} frames[] = {
		{ "", 0 },
		/* Not an array; an array without a kind; an unknown kind. */
		{ "\x01", 1 },
		{ "\x90", 1 },
		{ "\x92\x10\x90", 3 },
		/* RELAY_STATE with a field missing. */
		{ "\x92\x0d\x90", 3 },
		/* RELAY_EVIDENCE with an item of three fields, and with a
		 * target of more than 32 bits. */
		{ "\x92\x0f\x91\x93\x01\x01\xc2", 7 },
		{ "\x92\x0f\x91\x94\xcf\0\0\0\1\0\0\0\0\x01\xc2\x01", 16 },
		/* CANCEL with an extra field, an extra byte, and truncated. */
		{ "\x93\x04\x90\x90", 4 },
		{ "\x92\x04\x90\x90", 4 },
		{ "\x92\x04\x92\x01", 4 },
		/* CANCEL that claims 2^32 - 1 ids; one with a negative id. */
		{ "\x92\x04\xdd\xff\xff\xff\xff\x01", 8 },
		{ "\x92\x04\x91\xff", 4 },
		/* CONFIG whose text contains a zero byte. */
		{ "\x95\x09\x01\xa2x\0\xa0\x01", 8 },
		/* RESULT with a score of NaN. */
		{ "\x92\x03\x91\x95\x01\x00\xa0\x01\x91\x92\xa1x"
		  "\xcb\x7f\xf8\0\0\0\0\0\0",
		  21 },
		/* RUN_RESULT with an unknown error kind. */
		{ "\x94\x07\x01\x7f\xa0", 5 },
	};
	mc_wire_message_t *message;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(frames) / sizeof(frames[0]); i++)
		assert_int_equal(mc_wire_decode(frames[i].data, frames[i].size,
						&message),
				 MC_ERR_BAD_FRAME);
}

static void check_service(size_t size, mc_err_t expected)
{
	char *service = calloc(1, size + 1);
	mc_wire_message_t *message;
	char *data;
	size_t data_size;

	memset(service, 's', size);
	assert_int_equal(
		mc_wire_encode(&(mc_wire_message_t){ .kind = MC_WIRE_RUN,
						     .run.service = service },
			       &data, &data_size),
		MC_OK);
	assert_int_equal(mc_wire_decode(data, data_size, &message), expected);
	mc_wire_free(message);
	free(data);
	free(service);
}

static void test_bounds(void **state)
{
	(void)state;
	check_service(MC_WIRE_ID_SIZE - 1, MC_OK);
	check_service(MC_WIRE_ID_SIZE, MC_ERR_BAD_FRAME);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_evidence),
		cmocka_unit_test(test_query),
		cmocka_unit_test(test_relay),
		cmocka_unit_test(test_results),
		cmocka_unit_test(test_member),
		cmocka_unit_test(test_move),
		cmocka_unit_test(test_bad_frames),
		cmocka_unit_test(test_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

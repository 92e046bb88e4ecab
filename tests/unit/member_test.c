/*
 * Unit tests of the member library, and measurements of the messages and bytes
 * that a member sends with different numbers of members.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "../member_net.h"

enum {
	SECOND_MS = 1000,
	MINUTE_MS = 60 * SECOND_MS,
	HOUR_MS = 60 * MINUTE_MS,
	SMALL = 16,
	/* The budget is 3 KB/s per instance, which runs two processes. */
	BYTES_PER_SECOND_MAX = 1500,
};

static void start_small(void **state)
{
	uint32_t i;

	(void)state;
	net_init(SMALL, 1);
	for (i = 0; i < SMALL; i++)
		net_add_candidates(i);
	net_run(20 * SECOND_MS);
}

static void assert_sees_all(uint32_t viewer, uint32_t count)
{
	uint32_t i;

	assert_true(mc_membership_is_fresh(net.peers[viewer].ms));
	for (i = 0; i < count; i++)
		assert_true(net_sees_usable(viewer, i));
}

/* Sends peer 3 an update from peer 5 that peer 4 has @state. */
static void send_state_of_4_to_3(mc_member_state_t state)
{
	mc_member_message_t message = {
		.kind = MC_MEMBER_SYNC,
		.from = *net_find(3, 5),
		.update_count = 1,
		.updates = { *net_find(3, 4) },
	};

	message.updates[0].state = state;
	mc_membership_receive(net.peers[3].ms, &message, net.now);
}

static void test_pause(void **state)
{
	net_peer_t *peer = &net.peers[3];
	uint32_t changes, i;

	start_small(state);
	assert_sees_all(3, SMALL);
	send_state_of_4_to_3(MC_MEMBER_SUSPECT);
	peer->paused = true;
	net_run(MINUTE_MS);
	for (i = 0; i < SMALL; i++)
		assert_int_equal(net_sees_usable(i, 3), i == 3);
	changes = peer->changes;
	peer->paused = false;
	peer->due = mc_membership_tick(peer->ms, net.now);
	assert_false(mc_membership_is_fresh(peer->ms));
	net_run(SECOND_MS);
	assert_true(mc_membership_is_fresh(peer->ms));
	net_run(20 * SECOND_MS);
	for (i = 0; i < SMALL; i++)
		assert_sees_all(i, SMALL);
	/* The process declared no member dead because of its own pause. */
	assert_int_equal(peer->changes, changes);
	net_free();
}

static void test_death_reported_by_peer(void **state)
{
	start_small(state);
	send_state_of_4_to_3(MC_MEMBER_DEAD);
	assert_true(net_sees_usable(3, 4));
	net_run(20 * SECOND_MS);
	assert_sees_all(3, SMALL);
	net_free();
}

/* If no peer answers, the view counts as fresh after some time. */
static void test_fresh_without_peers(void **state)
{
	(void)state;
	net_init(2, 1);
	net_kill(1);
	mc_membership_add_candidate(net.peers[0].ms, "10.0.0.1:7000", net.now);
	assert_false(mc_membership_is_fresh(net.peers[0].ms));
	net_run(MINUTE_MS);
	assert_true(mc_membership_is_fresh(net.peers[0].ms));
	assert_false(net_sees_usable(0, 1));
	net_free();
}

static void test_leave(void **state)
{
	uint32_t i;

	start_small(state);
	mc_membership_leave(net.peers[5].ms, net.now);
	net_run(SECOND_MS);
	for (i = 0; i < SMALL; i++)
		assert_false(net_sees_usable(i, 5));
	assert_int_equal(net_find(0, 5)->state, MC_MEMBER_LEAVING);
	net_kill(5);
	net_run(MINUTE_MS);
	net_start(5);
	net_add_candidates(5);
	net_run(20 * SECOND_MS);
	for (i = 0; i < SMALL; i++)
		assert_sees_all(i, SMALL);
	net_free();
}

static void test_partition_for_an_hour(void **state)
{
	uint32_t i;

	start_small(state);
	for (i = 0; i < SMALL / 2; i++)
		net.peers[i].group = 1;
	net_run(HOUR_MS);
	for (i = 0; i < SMALL; i++)
		assert_int_equal(net_sees_usable(0, i), i < SMALL / 2);
	for (i = 0; i < SMALL; i++) {
		net.peers[i].group = 0;
		net.peers[i].changes = 0;
	}
	net_run(MINUTE_MS);
	for (i = 0; i < SMALL; i++) {
		assert_sees_all(i, SMALL);
		/*
		 * The other half came back, and no member of its own half was
		 * lost.
		 */
		assert_in_range(net.peers[i].changes, 1, SMALL / 2);
	}
	net_free();
}

static void test_dead_member_removed(void **state)
{
	start_small(state);
	net_kill(7);
	net_run(HOUR_MS);
	assert_int_equal(net_find(0, 7)->state, MC_MEMBER_DEAD);
	net_run(4 * HOUR_MS);
	assert_null(net_find(0, 7));
	net_free();
}

static void test_watchers(void **state)
{
	uint32_t i, watchers[4] = { 0 };

	start_small(state);
	for (i = 0; i < SMALL; i++)
		watchers[i % 4] += mc_membership_is_watcher(net.peers[i].ms, 3);
	for (i = 0; i < 4; i++)
		assert_int_equal(watchers[i], 3);
	net_free();
}

static void test_malformed(void **state)
{
	mc_member_message_t message = { .kind = MC_MEMBER_PING };

	start_small(state);
	mc_membership_receive(net.peers[0].ms, &message, net.now);
	memset(&message, 0xff, sizeof(message));
	mc_membership_receive(net.peers[0].ms, &message, net.now);
	message = (mc_member_message_t){
		.kind = (mc_member_message_kind_t)77,
		.from = { .address = "10.0.0.1:7000" },
		.update_count = 1,
		.updates = { { .address = "10.0.0.2:7000",
			       .incarnation = UINT64_MAX,
			       .state = MC_MEMBER_LEAVING } },
	};
	message.from.key = mc_hash_string(message.from.address);
	mc_membership_receive(net.peers[0].ms, &message, net.now);
	assert_sees_all(0, SMALL);
	net_free();
}

static void measure(uint32_t count)
{
	const mc_ms_t span = 30 * SECOND_MS;
	uint64_t messages, bytes;
	uint32_t i;

	net_init(count, count);
	for (i = 0; i < count; i++) {
		mc_membership_add_candidate(net.peers[i].ms, "10.0.0.0:7000",
					    net.now);
		mc_membership_add_candidate(net.peers[i].ms, "10.0.0.1:7000",
					    net.now);
	}
	net_run(3 * MINUTE_MS);
	assert_sees_all(count - 1, count);
	net.messages = net.bytes = 0;
	net_run(span);
	messages = net.messages * SECOND_MS / span;
	bytes = net.bytes * SECOND_MS / span;
	net_kill(count - 1);
	net.messages = net.bytes = 0;
	net_run(span);
	print_message("%u members: %.2f messages/s %.0f bytes/s each; "
		      "%.2f messages/s %.0f bytes/s while one dies\n",
		      count, (double)messages / count, (double)bytes / count,
		      (double)net.messages * SECOND_MS / (double)span / count,
		      (double)net.bytes * SECOND_MS / (double)span / count);
	assert_true(bytes < (uint64_t)count * BYTES_PER_SECOND_MAX);
	for (i = 0; i < count - 1; i++)
		assert_false(net_sees_usable(i, count - 1));
	net_free();
}

static void test_cost(void **state)
{
	(void)state;
	measure(8);
	measure(64);
	measure(430);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pause),
		cmocka_unit_test(test_death_reported_by_peer),
		cmocka_unit_test(test_fresh_without_peers),
		cmocka_unit_test(test_leave),
		cmocka_unit_test(test_partition_for_an_hour),
		cmocka_unit_test(test_dead_member_removed),
		cmocka_unit_test(test_watchers),
		cmocka_unit_test(test_malformed),
		cmocka_unit_test(test_cost),
	};

	/*
	 * "member_test 860" only runs the measurement, with that many members.
	 */
	if (argc == 2) {
		measure((uint32_t)strtoul(argv[1], NULL, 10));
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}

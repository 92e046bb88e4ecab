/*
 * Unit tests of the relay library: evidence of targets that instances tell each
 * other.
 */
#include "relay_fixture.h"

static const mc_wire_evidence_t silent = { .target = 9, .silent = true };

/* All instances take part; the last one has something to tell. */
static void tell_evidence(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;
	int i;

	(void)shard;
	for (i = 0; i < fixture->count; i++)
		if (fixture->instances[i].relay)
			mc_relay_send_evidence(fixture->instances[i].relay,
					       &silent,
					       i == fixture->count - 1);
}

/* Tells until the others have heard of it, as links take some time. */
static bool others_hear(const fixture_t *fixture)
{
	int i;

	for (i = 0; i < fixture->count - 1; i++)
		if (fixture->instances[i].relay &&
		    !fixture->instances[i].evidence_count)
			break;
	if (i == fixture->count - 1)
		return true;
	mc_shard_post(fixture->shard, tell_evidence, (void *)fixture);
	return false;
}

/* What one instance tells reaches its upstream, and by that the others. */
static void test_evidence(void **state)
{
	fixture_t *fixture = *state;
	uint32_t subscribers;

	fixture_wait_for(fixture, fixture_all_have_upstream);
	fixture_wait_for(fixture, others_hear);
	mc_shard_lock(fixture->shard);
	subscribers = mc_relay_subscriber_count(fixture->instances[0].relay);
	mc_shard_unlock(fixture->shard);
	assert_int_equal(fixture->instances[0].evidence.target, 9);
	assert_true(fixture->instances[1].evidence.silent);
	/* Links for evidence are no subscribers of the store's changes. */
	assert_int_equal(subscribers, 2);
}

/* When the upstream is lost, the next one passes evidence on. */
static void test_evidence_after_loss(void **state)
{
	fixture_t *fixture = *state;

	fixture_wait_for(fixture, fixture_all_have_upstream);
	fixture_wait_for(fixture, others_hear);
	mc_shard_post(fixture->shard, fixture_destroy_first, fixture);
	fixture_wait_for(fixture, fixture_second_is_upstream);
	mc_shard_lock(fixture->shard);
	fixture->instances[1].evidence_count = 0;
	mc_shard_unlock(fixture->shard);
	fixture_wait_for(fixture, others_hear);
}

static void flood(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;
	static mc_wire_evidence_t items[MC_WIRE_RELAY_EVIDENCE_MAX];
	int i;

	(void)shard;
	for (i = 0; i < 10; i++)
		mc_relay_send_evidence(fixture->instances[2].relay, items,
				       MC_WIRE_RELAY_EVIDENCE_MAX);
}

/* Evidence over the budget is dropped. */
static void test_evidence_budget(void **state)
{
	fixture_t *fixture = *state;
	uint32_t count;

	fixture_wait_for(fixture, fixture_all_have_upstream);
	fixture_wait_for(fixture, others_hear);
	mc_shard_lock(fixture->shard);
	fixture->instances[1].evidence_count = 0;
	mc_shard_unlock(fixture->shard);
	mc_shard_post(fixture->shard, flood, fixture);
	usleep(300000);
	mc_shard_lock(fixture->shard);
	count = fixture->instances[1].evidence_count;
	mc_shard_unlock(fixture->shard);
	/* Two seconds begin in that time at most. */
	assert_in_range(count, 1, 2 * 250);
}

/*
 * An instance of an older version, as which this one acts: each link must begin
 * with HELLO, and gets the state; any other message closes it.
 */
typedef struct {
	mc_shard_t *shard;
	uint32_t refused;
} old_instance_t;

static void on_old_opened(void *ctx, mc_handle_t link)
{
	(void)ctx;
	(void)link;
}

static void on_old_frame(void *ctx, mc_handle_t link, const char *data,
			 size_t size)
{
	old_instance_t *old = ctx;
	uint64_t revisions[KINDS] = { 0 };
	const mc_wire_message_t state = {
		.kind = MC_WIRE_RELAY_STATE,
		.relay_state = { .watches_store = true,
				 .count = KINDS,
				 .revisions = revisions },
	};
	mc_wire_message_t *message;
	char *encoded;

	if (mc_wire_decode(data, size, &message) ||
	    message->kind != MC_WIRE_HELLO) {
		old->refused++;
		mc_link_close(old->shard, link);
		mc_wire_free(message);
		return;
	}
	mc_wire_free(message);
	assert_int_equal(mc_wire_encode(&state, &encoded, &size), MC_OK);
	mc_link_send(old->shard, link, encoded, size);
	free(encoded);
}

static void on_old_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	(void)ctx;
	(void)link;
	(void)reason;
}

static old_instance_t old_instance;

static void replace_first_by_old(mc_shard_t *shard, void *arg)
{
	static const mc_link_events_t events = {
		.opened = on_old_opened,
		.frame = on_old_frame,
		.closed = on_old_closed,
	};
	fixture_t *fixture = arg;
	mc_handle_t listener;
	uint16_t port;

	mc_relay_destroy(fixture->instances[0].relay);
	fixture->instances[0].relay = NULL;
	old_instance = (old_instance_t){ .shard = shard };
	assert_int_equal(mc_link_listen(shard, fixture->peers[0].address,
					&events, &old_instance, &port,
					&listener),
			 MC_OK);
}

static bool was_refused(const fixture_t *fixture)
{
	return fixture_has_upstream(fixture) && old_instance.refused;
}

/* Beside an upstream of an older version, changes are relayed as before, and
 * only evidence is missing. */
static void test_evidence_refused(void **state)
{
	fixture_t *fixture = *state;
	uint32_t refused;
	bool relied;

	mc_shard_post(fixture->shard, replace_first_by_old, fixture);
	mc_shard_post(fixture->shard, tell_evidence, fixture);
	fixture_wait_for(fixture, was_refused);
	usleep(700000);
	mc_shard_lock(fixture->shard);
	refused = old_instance.refused;
	relied = mc_relay_has_upstream(fixture->instances[1].relay);
	mc_shard_unlock(fixture->shard);
	assert_true(relied);
	/* It is not tried again at each interval. */
	assert_int_equal(refused, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_evidence, fixture_set_up_three, fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_evidence_after_loss,
						fixture_set_up_three,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_evidence_budget,
						fixture_set_up_three,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_evidence_refused,
						fixture_set_up,
						fixture_tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * Unit tests of orders of roll-outs in the discovery library: targets of new
 * versions, and orders that are replaced or removed.
 */
#include "discovery_fixture.h"

static bool has_unconfirmed(const fixture_t *fixture)
{
	const mc_registry_view_t *view = fixture->view;
	bool found = false;
	uint32_t i;

	for (i = 0; view && i < view->target_count; i++)
		found = found || view->targets[i].unconfirmed;
	return found;
}

static void wait_unconfirmed(fixture_t *fixture, bool wanted)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	bool found;

	do {
		usleep(1000);
		mc_shard_lock(fixture->shard);
		found = has_unconfirmed(fixture);
		mc_shard_unlock(fixture->shard);
	} while (found != wanted && mc_clock_now(mc_clock_system()) < end);
	assert_true(found == wanted);
}

/*
 * A target with a version that is new to its service is read before the order
 * of its roll-out: it is not used until the orders were read again.
 */
static void test_new_version_waits_for_orders(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = fixture_target_record("a"),
			   b = fixture_target_record("b");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	reply_t orders = { .kind = MC_SOURCE_ROLLOUTS,
			   .result = { .revision = 50 } };

	snprintf(a.target.version, sizeof(a.target.version), "v1");
	snprintf(b.target.version, sizeof(b.target.version), "v2");
	fixture_complete(fixture, &reply);
	assert_true(fixture_wait_call(fixture, MC_SOURCE_ROLLOUTS).is_watch);
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &b };
	fixture_complete(fixture, &reply);
	wait_unconfirmed(fixture, true);
	assert_false(fixture_wait_call(fixture, MC_SOURCE_ROLLOUTS).is_watch);
	/* Orders from before the target was registered say nothing. */
	orders.result.revision = 44;
	fixture_complete(fixture, &orders);
	wait_unconfirmed(fixture, true);
	assert_false(fixture_wait_call(fixture, MC_SOURCE_ROLLOUTS).is_watch);
	orders.result.revision = 50;
	fixture_complete(fixture, &orders);
	wait_unconfirmed(fixture, false);
	assert_true(fixture_wait_call(fixture, MC_SOURCE_ROLLOUTS).is_watch);
}

static mc_source_record_t order_record(const char *version, uint64_t revision)
{
	mc_source_record_t record = {
		.name = "s",
		.revision = revision,
		.order = {
			.service = "s",
			.duration = 60000,
			.revision = revision,
		},
	};

	snprintf(record.order.version, sizeof(record.order.version), "%s",
		 version);
	return record;
}

static uint32_t get_rule_count(fixture_t *fixture)
{
	uint32_t count;

	mc_shard_lock(fixture->shard);
	count = fixture->view ? fixture->view->rule_count : 0;
	mc_shard_unlock(fixture->shard);
	return count;
}

static void wait_rule_count(fixture_t *fixture, uint32_t wanted)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;

	while (get_rule_count(fixture) != wanted &&
	       mc_clock_now(mc_clock_system()) < end)
		usleep(1000);
	assert_int_equal(get_rule_count(fixture), wanted);
}

static state_write_t wait_state_write(fixture_t *fixture)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	state_write_t write;

	do {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
		mc_shard_lock(fixture->shard);
		write = fixture_source.state_write;
		mc_shard_unlock(fixture->shard);
	} while (!write.open);
	return write;
}

/* Ends the write with the order as the store had it then. */
static void complete_state_write(mc_shard_t *shard, void *arg)
{
	reply_t *reply = arg;
	state_write_t write = fixture_source.state_write;

	(void)shard;
	fixture_source.state_write.open = false;
	write.done(write.ctx, &reply->result);
	reply->handled = true;
}

/*
 * The response to a write of an order's state is read after the order's
 * removal: taken for news, it would bring the order back.
 */
static void test_state_written_before_removal(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t order = order_record("v2", 44);
	mc_source_record_t removed = { .name = "s",
				       .removed = true,
				       .revision = 50 };
	reply_t reply = {
		.kind = MC_SOURCE_ROLLOUTS,
		.result = { .revision = 45,
			    .record_count = 1,
			    .records = &order },
	};
	reply_t written = { .kind = MC_SOURCE_ROLLOUTS };

	fixture_complete(fixture, &reply);
	wait_rule_count(fixture, 1);
	assert_int_equal(wait_state_write(fixture).order.state,
			 MC_ROLLOUT_IN_PROGRESS);
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 1,
					     .records = &removed };
	fixture_complete(fixture, &reply);
	wait_rule_count(fixture, 0);
	order.revision = order.order.revision = 48;
	order.order.state = MC_ROLLOUT_IN_PROGRESS;
	written.result =
		(mc_source_result_t){ .record_count = 1, .records = &order };
	assert_int_equal(
		mc_shard_post(fixture->shard, complete_state_write, &written),
		MC_OK);
	fixture_wait_handled(fixture, &written);
	usleep(50000);
	assert_int_equal(get_rule_count(fixture), 0);
}

/* Waits until a version has a rule with a mode. */
static void wait_mode(fixture_t *fixture, const char *version,
		      mc_rollout_mode_t mode)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	const mc_registry_view_t *view;
	bool found = false;
	uint32_t i;

	while (!found) {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
		mc_shard_lock(fixture->shard);
		view = fixture->view;
		for (i = 0; view && i < view->rule_count; i++)
			found = found ||
				(!strcmp(view->rules[i].version, version) &&
				 view->rules[i].mode == mode);
		mc_shard_unlock(fixture->shard);
	}
}

/*
 * An order is replaced by one that goes back to the former version. The version
 * of the replaced order is barred, so that the other one must get all requests:
 * with a small share of them the service would have nobody for the rest.
 */
static void test_order_back_to_former_version(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t records[2] = { fixture_target_record("a"),
					  fixture_target_record("b") };
	mc_source_record_t order = order_record("v2", 44);
	reply_t targets = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .record_count = 2,
			    .records = records },
	};
	reply_t orders = {
		.kind = MC_SOURCE_ROLLOUTS,
		.result = { .revision = 45,
			    .record_count = 1,
			    .records = &order },
	};

	snprintf(records[0].target.version, MC_REGISTRY_NAME_SIZE, "v1");
	snprintf(records[1].target.version, MC_REGISTRY_NAME_SIZE, "v2");
	fixture_complete(fixture, &targets);
	fixture_complete(fixture, &orders);
	wait_mode(fixture, "v2", MC_ROLLOUT_CANARY);
	order = order_record("v1", 50);
	orders.result.revision = 50;
	fixture_complete(fixture, &orders);
	wait_mode(fixture, "v2", MC_ROLLOUT_BARRED);
	wait_mode(fixture, "v1", MC_ROLLOUT_PREFERRED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_ORDERS_TEST(test_new_version_waits_for_orders),
		FIXTURE_ORDERS_TEST(test_state_written_before_removal),
		FIXTURE_ORDERS_TEST(test_order_back_to_former_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

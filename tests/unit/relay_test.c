/*
 * Unit tests of the relay library: two instances on one shard, over loopback.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/relay.h"

enum {
	WAIT_MS = 20000,
	KINDS = 2,
	INSTANCES_MAX = 3,
	/* Longer than an instance takes to find another upstream, ms. */
	RELIANCE_MS = 5000,
};

/* State of one instance; guarded by the shard's lock. */
typedef struct {
	bool fresh;
	uint64_t revisions[KINDS];
	uint64_t known_revisions[KINDS];
	/* Up to when it knows all kinds, and when its upstream says that it
	 * does. */
	mc_ms_t complete_at;
	mc_ms_t told_complete_at;
	char text[64];
	uint64_t since;
	uint32_t kind;
	uint32_t upstream_changes;
	uint32_t evidence_count;
	mc_wire_evidence_t evidence;
	/* Era that the upstream has told; 0 if none. */
	uint64_t told_era;
	mc_relay_t *relay;
} instance_t;

typedef struct {
	mc_shard_t *shard;
	/* In the order of their rank. */
	instance_t instances[INSTANCES_MAX];
	mc_relay_peer_t peers[INSTANCES_MAX];
	int count;
} fixture_t;

static bool get_known(void *ctx, mc_ms_t since, mc_relay_known_t *known)
{
	instance_t *instance = ctx;
	int i;

	(void)since;
	for (i = 0; i < KINDS; i++)
		known[i] = (mc_relay_known_t){
			.revision = instance->revisions[i],
			.complete_at = instance->complete_at,
		};
	return instance->fresh;
}

static void on_changes(void *ctx, uint32_t kind, uint64_t since,
		       const char *text)
{
	instance_t *instance = ctx;

	instance->kind = kind;
	instance->since = since;
	snprintf(instance->text, sizeof(instance->text), "%s", text);
}

static void on_known(void *ctx, const mc_relay_known_t *known)
{
	instance_t *instance = ctx;
	int i;

	for (i = 0; i < KINDS; i++)
		instance->known_revisions[i] = known[i].revision;
	instance->told_complete_at = known[0].complete_at;
}

static void on_era(void *ctx, uint64_t era)
{
	instance_t *instance = ctx;

	instance->told_era = era;
	mc_relay_set_era(instance->relay, era);
}

static void on_upstream_changed(void *ctx)
{
	instance_t *instance = ctx;

	instance->upstream_changes++;
}

static void on_evidence(void *ctx, const mc_wire_evidence_t *items,
			uint32_t count)
{
	instance_t *instance = ctx;

	instance->evidence_count += count;
	instance->evidence = items[0];
}

static const mc_relay_ops_t ops = {
	.get_known = get_known,
	.on_changes = on_changes,
	.on_known = on_known,
	.on_era = on_era,
	.on_upstream_changed = on_upstream_changed,
	.on_evidence = on_evidence,
};

/* Returns a port that was free a moment ago. */
static uint16_t free_port(mc_shard_t *shard)
{
	static const mc_link_events_t none = { 0 };
	mc_handle_t listener;
	uint16_t port;

	assert_int_equal(mc_link_listen(shard, "127.0.0.1:0", &none, NULL,
					&port, &listener),
			 MC_OK);
	mc_link_stop_listening(shard, listener);
	return port;
}

static void create_instance(fixture_t *fixture, int i, uint32_t kinds,
			    mc_ms_t reliance)
{
	mc_relay_peer_t others[INSTANCES_MAX];
	const mc_relay_params_t params = {
		.shard = fixture->shard,
		.listen_address = fixture->peers[i].address,
		.instance_name = fixture->peers[i].name,
		.kind_count = kinds,
		.reliance = reliance,
		.ops = &ops,
		.ctx = &fixture->instances[i],
	};
	uint32_t count = 0;
	int j;

	fixture->instances[i].fresh = true;
	fixture->instances[i].revisions[1] = 7;
	fixture->instances[i].relay = mc_relay_create(&params);
	assert_non_null(fixture->instances[i].relay);
	for (j = 0; j < fixture->count; j++)
		if (j != i)
			others[count++] = fixture->peers[j];
	mc_relay_set_peers(fixture->instances[i].relay, others, count);
}

static int set_up_instances(void **state, int count, mc_ms_t reliance)
{
	const mc_shard_params_t params = {
		.seed = 1,
		.clock = mc_clock_system(),
	};
	fixture_t *fixture = calloc(1, sizeof(*fixture));
	int i;

	assert_non_null(fixture);
	assert_int_equal(mc_net_init(), MC_OK);
	fixture->shard = mc_shard_create(&params);
	fixture->count = count;
	for (i = 0; i < count; i++) {
		snprintf(fixture->peers[i].name, MC_RELAY_NAME_SIZE, "i-%d", i);
		snprintf(fixture->peers[i].address, MC_RELAY_NAME_SIZE,
			 "127.0.0.1:%u", free_port(fixture->shard));
	}
	mc_relay_rank_peers("", fixture->peers, (uint32_t)count);
	for (i = 0; i < count; i++)
		create_instance(fixture, i, KINDS, reliance);
	assert_int_equal(mc_shard_start(fixture->shard), MC_OK);
	*state = fixture;
	return 0;
}

static int set_up(void **state)
{
	return set_up_instances(state, 2, 0);
}

static int set_up_three(void **state)
{
	return set_up_instances(state, INSTANCES_MAX, RELIANCE_MS);
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;
	int i;

	mc_shard_stop(fixture->shard);
	for (i = 0; i < fixture->count; i++)
		mc_relay_destroy(fixture->instances[i].relay);
	mc_shard_destroy(fixture->shard);
	free(fixture);
	return 0;
}

static bool has_upstream(const fixture_t *fixture)
{
	return mc_relay_has_upstream(fixture->instances[1].relay);
}

static bool has_changes(const fixture_t *fixture)
{
	return fixture->instances[1].text[0];
}

static bool has_no_upstream(const fixture_t *fixture)
{
	return !has_upstream(fixture);
}

static void wait_for(fixture_t *fixture, bool (*done)(const fixture_t *))
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	bool is_done;

	do {
		usleep(1000);
		mc_shard_lock(fixture->shard);
		is_done = done(fixture);
		mc_shard_unlock(fixture->shard);
		assert_true(is_done || mc_clock_now(mc_clock_system()) < end);
	} while (!is_done);
}

static void send_changes(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;

	(void)shard;
	mc_relay_send_changes(fixture->instances[0].relay, 1, 5, "{\"a\": 1}");
}

static void destroy_first(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;

	(void)shard;
	mc_relay_destroy(fixture->instances[0].relay);
	fixture->instances[0].relay = NULL;
}

/* The second instance subscribes to the first, never the other way round. */
static void test_relays_changes(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, has_upstream);
	mc_shard_post(fixture->shard, send_changes, fixture);
	wait_for(fixture, has_changes);
	mc_shard_lock(fixture->shard);
	assert_string_equal(fixture->instances[1].text, "{\"a\": 1}");
	assert_int_equal(fixture->instances[1].kind, 1);
	assert_int_equal(fixture->instances[1].since, 5);
	assert_int_equal(fixture->instances[1].known_revisions[1], 7);
	assert_int_equal(mc_relay_subscriber_count(fixture->instances[0].relay),
			 1);
	assert_int_equal(mc_relay_subscriber_count(fixture->instances[1].relay),
			 0);
	assert_false(mc_relay_has_upstream(fixture->instances[0].relay));
	mc_shard_unlock(fixture->shard);
}

static bool has_newer_revisions(const fixture_t *fixture)
{
	return fixture->instances[1].known_revisions[1] == 8;
}

static void send_over_budget(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;
	static char text[1 << 20];
	mc_random_t random;
	size_t i;

	(void)shard;
	/* Random text deflates badly. */
	mc_random_seed(&random, 3);
	for (i = 0; i < sizeof(text) - 1; i++)
		text[i] = (char)(' ' + mc_random_below(&random, 90));
	fixture->instances[0].revisions[1] = 8;
	mc_relay_send_changes(fixture->instances[0].relay, 1, 7, text);
}

/*
 * Changes over the byte budget are not relayed; the subscriber learns of them
 * from the revisions and reads them from the store.
 */
static void test_over_budget(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, has_upstream);
	mc_shard_post(fixture->shard, send_over_budget, fixture);
	wait_for(fixture, has_newer_revisions);
	mc_shard_lock(fixture->shard);
	assert_string_equal(fixture->instances[1].text, "");
	mc_shard_unlock(fixture->shard);
	mc_shard_post(fixture->shard, send_changes, fixture);
	wait_for(fixture, has_changes);
}

static void send_long(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;
	static char text[1 << 20];

	(void)shard;
	memset(text, 'x', sizeof(text) - 1);
	mc_relay_send_changes(fixture->instances[0].relay, 1, 7, text);
}

/* Long texts that deflate well are within the byte budget and relayed. */
static void test_deflated(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, has_upstream);
	mc_shard_post(fixture->shard, send_long, fixture);
	wait_for(fixture, has_changes);
	mc_shard_lock(fixture->shard);
	assert_int_equal(strspn(fixture->instances[1].text, "x"),
			 sizeof(fixture->instances[1].text) - 1);
	mc_shard_unlock(fixture->shard);
}

/* An upstream that is not fresh is not relied on until it is fresh again. */
static void test_stale_upstream(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, has_upstream);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].fresh = false;
	mc_shard_unlock(fixture->shard);
	wait_for(fixture, has_no_upstream);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].fresh = true;
	mc_shard_unlock(fixture->shard);
	wait_for(fixture, has_upstream);
}

static void set_complete_at(fixture_t *fixture, mc_ms_t time)
{
	mc_shard_lock(fixture->shard);
	fixture->instances[0].complete_at = time;
	mc_shard_unlock(fixture->shard);
}

static bool is_told_time(const fixture_t *fixture)
{
	return fixture->instances[1].told_complete_at > 0;
}

/*
 * A subscriber is told up to when its upstream has all changes, and takes it
 * for no later than it is. What is from before it has subscribed proves
 * nothing, as the clocks of the two can't be compared.
 */
static void test_time_of_completeness(void **state)
{
	fixture_t *fixture = *state;
	mc_ms_t time = mc_clock_now(mc_clock_system()) - 60000, told;

	set_complete_at(fixture, time);
	wait_for(fixture, has_upstream);
	usleep(1000000);
	mc_shard_lock(fixture->shard);
	assert_false(is_told_time(fixture));
	mc_shard_unlock(fixture->shard);
	time = mc_clock_now(mc_clock_system());
	set_complete_at(fixture, time);
	wait_for(fixture, is_told_time);
	mc_shard_lock(fixture->shard);
	told = fixture->instances[1].told_complete_at;
	mc_shard_unlock(fixture->shard);
	assert_true(told <= time);
}

static bool is_told_again(const fixture_t *fixture)
{
	return fixture->instances[1].known_revisions[1] == 9;
}

/* The subscriber was suspended, and its clock stood still meanwhile, so that
 * what it is told seems to be yet to come: it is taken for no later than now.
 */
static void test_time_after_suspension(void **state)
{
	fixture_t *fixture = *state;
	mc_ms_t told;

	wait_for(fixture, has_upstream);
	set_complete_at(fixture, mc_clock_now(mc_clock_system()) + 60000);
	wait_for(fixture, is_told_time);
	mc_shard_lock(fixture->shard);
	told = fixture->instances[1].told_complete_at;
	fixture->instances[0].complete_at -= 1000;
	fixture->instances[0].revisions[1] = 9;
	mc_shard_unlock(fixture->shard);
	assert_true(told <= mc_clock_now(mc_clock_system()));
	wait_for(fixture, is_told_again);
	mc_shard_lock(fixture->shard);
	assert_int_equal(fixture->instances[1].told_complete_at, told - 1000);
	mc_shard_unlock(fixture->shard);
}

static void test_lost_upstream(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, has_upstream);
	mc_shard_post(fixture->shard, destroy_first, fixture);
	wait_for(fixture, has_no_upstream);
	mc_shard_lock(fixture->shard);
	assert_int_equal(fixture->instances[1].upstream_changes, 2);
	mc_shard_unlock(fixture->shard);
}

static bool all_have_upstream(const fixture_t *fixture)
{
	return has_upstream(fixture) &&
	       mc_relay_has_upstream(fixture->instances[2].relay);
}

/* Whether the instance has an upstream and never was without one since it found
 * the first. */
static bool has_kept_upstream(fixture_t *fixture, int i)
{
	bool kept;

	mc_shard_lock(fixture->shard);
	kept = mc_relay_has_upstream(fixture->instances[i].relay) &&
	       fixture->instances[i].upstream_changes == 1;
	mc_shard_unlock(fixture->shard);
	return kept;
}

/* An upstream that lists its records anew is not fresh for a moment: its
 * subscribers need not read the store. */
static void test_stale_for_a_moment(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, all_have_upstream);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].fresh = false;
	mc_shard_unlock(fixture->shard);
	usleep(1000000);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].fresh = true;
	mc_shard_unlock(fixture->shard);
	usleep(RELIANCE_MS * 1000);
	assert_true(has_kept_upstream(fixture, 1));
}

static bool second_is_upstream(const fixture_t *fixture)
{
	return mc_relay_subscriber_count(fixture->instances[1].relay) == 1;
}

/* When the upstream is lost, the next instance takes its place, and the others
 * find it without reading the store meanwhile. */
static void test_next_upstream(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, all_have_upstream);
	mc_shard_post(fixture->shard, destroy_first, fixture);
	wait_for(fixture, second_is_upstream);
	wait_for(fixture, has_no_upstream);
	usleep(1000000);
	assert_true(has_kept_upstream(fixture, 2));
}

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

	wait_for(fixture, all_have_upstream);
	wait_for(fixture, others_hear);
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

	wait_for(fixture, all_have_upstream);
	wait_for(fixture, others_hear);
	mc_shard_post(fixture->shard, destroy_first, fixture);
	wait_for(fixture, second_is_upstream);
	mc_shard_lock(fixture->shard);
	fixture->instances[1].evidence_count = 0;
	mc_shard_unlock(fixture->shard);
	wait_for(fixture, others_hear);
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

	wait_for(fixture, all_have_upstream);
	wait_for(fixture, others_hear);
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
	return has_upstream(fixture) && old_instance.refused;
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
	wait_for(fixture, was_refused);
	usleep(700000);
	mc_shard_lock(fixture->shard);
	refused = old_instance.refused;
	relied = mc_relay_has_upstream(fixture->instances[1].relay);
	mc_shard_unlock(fixture->shard);
	assert_true(relied);
	/* It is not tried again at each interval. */
	assert_int_equal(refused, 1);
}

static instance_t read_subscriber(fixture_t *fixture)
{
	instance_t subscriber;

	mc_shard_lock(fixture->shard);
	subscriber = fixture->instances[1];
	mc_shard_unlock(fixture->shard);
	return subscriber;
}

/* Sets the eras of both instances; none follows the other's. */
static void set_eras(fixture_t *fixture, uint64_t upstream, uint64_t subscriber)
{
	mc_shard_lock(fixture->shard);
	mc_relay_set_era(fixture->instances[0].relay, upstream);
	mc_relay_set_era(fixture->instances[1].relay, subscriber);
	mc_shard_unlock(fixture->shard);
}

static bool is_told_era(const fixture_t *fixture)
{
	return fixture->instances[1].told_era == 2;
}

/* The upstream knows a later era: the subscriber is told, and relies on it once
 * it knows the era itself. */
static void test_later_era(void **state)
{
	fixture_t *fixture = *state;

	set_eras(fixture, 1, 1);
	wait_for(fixture, has_upstream);
	assert_int_equal(read_subscriber(fixture).told_era, 0);
	set_eras(fixture, 2, 1);
	wait_for(fixture, is_told_era);
	wait_for(fixture, has_upstream);
	mc_shard_post(fixture->shard, send_changes, fixture);
	wait_for(fixture, has_changes);
}

/* The upstream has not noticed the later era yet, or is of a version that knows
 * no eras: its changes and revisions are not used. */
static void check_former_upstream(fixture_t *fixture, uint64_t era)
{
	instance_t subscriber;

	set_eras(fixture, era, 2);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].revisions[1] = 8;
	mc_shard_unlock(fixture->shard);
	usleep(1000000);
	mc_shard_post(fixture->shard, send_changes, fixture);
	wait_for(fixture, has_no_upstream);
	usleep(300000);
	subscriber = read_subscriber(fixture);
	assert_string_equal(subscriber.text, "");
	/* Before the eras were set, it may have been told the revision 7. */
	assert_int_not_equal(subscriber.known_revisions[1], 8);
	set_eras(fixture, 2, 2);
	wait_for(fixture, has_upstream);
}

static void test_former_upstream(void **state)
{
	check_former_upstream(*state, 1);
}

static void test_upstream_without_eras(void **state)
{
	check_former_upstream(*state, 0);
}

/* Gives the second instance's place to one that takes a state of @kinds entries
 * for that of an upstream without an era. */
static void replace_subscriber(fixture_t *fixture, uint32_t kinds)
{
	mc_shard_lock(fixture->shard);
	mc_relay_destroy(fixture->instances[1].relay);
	fixture->instances[1].told_era = 0;
	create_instance(fixture, 1, kinds, 0);
	mc_shard_unlock(fixture->shard);
}

static bool is_told_revision(const fixture_t *fixture)
{
	return fixture->instances[1].told_era == 7;
}

/*
 * The state that versions which know no eras take has an entry for each kind
 * and no other. A subscriber with a kind less takes the last one for the era,
 * and a state with a further entry for none.
 */
static void test_state_without_era(void **state)
{
	fixture_t *fixture = *state;

	replace_subscriber(fixture, KINDS - 1);
	wait_for(fixture, is_told_revision);
}

/* A state with an era is refused by versions that can't use it, which read the
 * store themselves. */
static void test_older_subscriber(void **state)
{
	fixture_t *fixture = *state;

	set_eras(fixture, 2, 0);
	replace_subscriber(fixture, KINDS - 1);
	usleep(1000000);
	assert_int_equal(read_subscriber(fixture).told_era, 0);
	wait_for(fixture, has_no_upstream);
}

/*
 * Every instance has another place in the rank, so that upstreams, which are
 * always before their subscribers, form no cycle.
 */
static void test_rank(void **state)
{
	mc_relay_peer_t all[9] = { 0 }, others[9];
	uint32_t places = 0;
	int i, j;

	(void)state;
	for (i = 0; i < 9; i++)
		snprintf(all[i].name, MC_RELAY_NAME_SIZE, "north-%d", i);
	for (i = 0; i < 9; i++) {
		uint32_t count = 0, place;

		for (j = 0; j < 9; j++)
			if (strcmp(all[j].name, all[i].name))
				others[count++] = all[j];
		place = mc_relay_rank_peers(all[i].name, others, count);
		assert_in_range(place, 0, 8);
		places |= UINT32_C(1) << place;
	}
	assert_int_equal(places, 0x1ff);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_relays_changes, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_deflated, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_over_budget, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_stale_upstream, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_time_of_completeness,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_time_after_suspension,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_lost_upstream, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_stale_for_a_moment,
						set_up_three, tear_down),
		cmocka_unit_test_setup_teardown(test_next_upstream,
						set_up_three, tear_down),
		cmocka_unit_test_setup_teardown(test_evidence, set_up_three,
						tear_down),
		cmocka_unit_test_setup_teardown(test_evidence_after_loss,
						set_up_three, tear_down),
		cmocka_unit_test_setup_teardown(test_evidence_budget,
						set_up_three, tear_down),
		cmocka_unit_test_setup_teardown(test_evidence_refused, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_later_era, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_former_upstream, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_upstream_without_eras,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_state_without_era, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_older_subscriber, set_up,
						tear_down),
		cmocka_unit_test(test_rank),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * Randomized fault soak of the tier. Real instances run between stand-ins of
 * the object store and of the searchers; faults are injected from outside the
 * instances and may overlap, while callers check every response. The seed
 * determines the sequence of faults; thread scheduling and the callers' choices
 * are not repeatable.
 *
 *	soak SEED [SECONDS]
 *
 * Checked under load:
 * - a response belongs to the caller's own attempt and is not truncated;
 * - a merged response names signatures of that attempt only, holds the
 *   top-ranked records of exactly the parts it names, and names at least three
 *   of the four parts;
 * - a request that must run at most once never runs twice, and has not run if
 *   it was answered with 503 or 429.
 *
 * Checked after the last fault: each instance is ready, uses the newest route
 * map and returns complete responses.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "soak.h"

enum {
	CALLER_COUNT = 8,
	SECONDS_DEFAULT = 10,
};

static uint64_t soak_seed;
static mc_ms_t soak_duration;

void soak_report_violation(soak_t *soak, const char *what, const char *id,
			   const char *detail)
{
	__atomic_add_fetch(&soak->violation_count, 1, __ATOMIC_RELAXED);
	fprintf(stderr, "VIOLATION %s id=%s %s\n", what, id, detail);
}

void soak_wait_until(soak_t *soak, const char *what,
		     harness_condition_fn_t condition, void *ctx)
{
	if (harness_holds_in_time(condition, ctx))
		return;
	site_print_state(soak->site);
	fail_msg("condition not met in time: %s", what);
}

void soak_register_at_relay(soak_t *soak, uint32_t index, const char *state)
{
	searcher_register_port(soak->searchers[index], soak->site->object_store,
			       state, relay_port(soak->relays[index]));
}

/*
 * Whether each instance is ready, has the newest route map and returns a
 * complete response to a merged request.
 */
static bool is_recovered(void *ctx)
{
	soak_t *soak = ctx;
	uint32_t i;

	for (i = 0; i < INSTANCE_COUNT; i++) {
		char missing[16] = "-";
		site_answer_t answer = site_send_request(soak->site, i, "GET",
							 "/all/x", DEADLINE_MS);

		if (answer.status != 200 || !site_is_ready(soak->site, i) ||
		    !raw_get_header(answer.head, "Mangocove-Missing-Parts",
				    missing, sizeof(missing)) ||
		    strcmp(missing, "0") ||
		    site_metric(soak->site, i, "mangocove_map_version") !=
			    (double)soak->site->version)
			return false;
	}
	return true;
}

/*
 * Checks requests that must run at most once: none has run twice, and none of
 * those answered with 503 or 429 has run.
 */
static void check_run_counts(soak_t *soak)
{
	uint32_t i, runs;

	for (i = 0; i < soak->refused_count; i++)
		if (site_count_runs(soak->site, soak->refused_ids[i]))
			soak_report_violation(soak,
					      "request run despite its refusal",
					      soak->refused_ids[i],
					      "answered with 503 or 429");
	for (i = 0; i < SITE_SINGLE_REPLICAS; i++) {
		runs = searcher_count_duplicate_runs(
			soak->site->single_replicas, SITE_SINGLE_REPLICAS,
			"POST");
		if (runs)
			soak_report_violation(
				soak, "request run twice", "-",
				"POST request that must run at most once");
	}
}

static void start_site(soak_t *soak)
{
	uint32_t i, j, index = 0;
	char name[32];

	snprintf(name, sizeof(name), "soak-%llu",
		 (unsigned long long)soak_seed);
	soak->site = site_create(name, 0);
	for (i = 0; i < SITE_SHARDS; i++)
		for (j = 0; j < SITE_REPLICAS; j++)
			soak->searchers[index++] = soak->site->shards[i][j];
	for (i = 0; i < SITE_SINGLE_REPLICAS; i++)
		soak->searchers[index++] = soak->site->single_replicas[i];
	for (i = 0; i < SEARCHER_COUNT; i++) {
		soak->relays[i] =
			relay_start(searcher_port(soak->searchers[i]));
		soak_register_at_relay(soak, i, "ready");
	}
	soak->store_relay =
		relay_start(object_store_port(soak->site->object_store));
	soak->site->store_port = relay_port(soak->store_relay);
	soak->site->instance_count = INSTANCE_COUNT;
	for (i = 0; i < INSTANCE_COUNT; i++)
		site_start_and_wait_ready(soak->site, i);
}

static void stop_site(soak_t *soak)
{
	uint32_t i;

	harness_destroy(soak->site->harness);
	soak->site->harness = NULL;
	for (i = 0; i < SEARCHER_COUNT; i++)
		relay_stop(soak->relays[i]);
	relay_stop(soak->store_relay);
	site_destroy(soak->site);
}

static void test_soak(void **state)
{
	soak_t *soak = calloc(1, sizeof(*soak));
	pthread_t callers[CALLER_COUNT];
	uint32_t violations, i;

	(void)state;
	pthread_mutex_init(&soak->lock, NULL);
	soak->refused_ids = calloc(REFUSED_IDS_MAX, sizeof(*soak->refused_ids));
	mc_random_seed(&soak->random, soak_seed);
	start_site(soak);
	for (i = 0; i < CALLER_COUNT; i++)
		pthread_create(&callers[i], NULL, callers_run, soak);
	faults_inject(soak, mc_clock_now(mc_clock_system()) + soak_duration);
	soak_wait_until(soak, "all instances return complete responses",
			is_recovered, soak);
	__atomic_store_n(&soak->stopping, true, __ATOMIC_RELAXED);
	for (i = 0; i < CALLER_COUNT; i++)
		pthread_join(callers[i], NULL);
	check_run_counts(soak);
	violations = soak->violation_count;
	printf("seed %llu: %u attempts, %u answers, %u refused, %u violations\n",
	       (unsigned long long)soak_seed, soak->attempt_count,
	       soak->answer_count, soak->refused_count, violations);
	stop_site(soak);
	free(soak->refused_ids);
	free(soak);
	assert_int_equal(violations, 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_soak),
	};

	soak_seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	soak_duration =
		(argc > 2 ? strtol(argv[2], NULL, 10) : SECONDS_DEFAULT) * 1000;
	return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * A randomized soak of the tier: real processes between stand-ins, faults from
 * outside them in overlapping series, callers that check every answer. A seed
 * decides the faults; threads decide the rest.
 *
 *	soak SEED [SECONDS]
 *
 * Checked while it runs: an answer is its caller's own and whole; a merged one
 * names signatures of this attempt only, holds the greatest records of just the
 * parts it names, and enough of them; a request that runs once never runs
 *twice, and has not run when it was told so. Checked after the faults: each
 *instance is ready, has the newest map and gives whole answers.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "relay.h"
#include "site.h"

enum {
	INSTANCES = 3,
	CALLERS = 8,
	SECONDS_DEFAULT = 10,
	LEFT_MS = 1500,
	RECORD_SIZE = 16,
	RECORDS_TOP = 6,
	REFUSED_MAX = 200000,
	SEARCHERS = SITE_SHARDS * SITE_REPLICAS + SITE_SINGLES,
	FAULT_PAUSE_MAX_MS = 600,
	HEAL_AFTER_MAX_MS = 2500,
	HEALS_MAX = 64,
	/* A connection is used for so many requests at most. */
	REQUESTS_PER_CONNECTION = 20,
};

typedef struct soak_t soak_t;

static uint64_t the_seed;
static mc_ms_t the_time;

/* What ends a fault. */
typedef struct {
	mc_ms_t at;
	void (*heal)(soak_t *soak, uint32_t number);
	uint32_t number;
} heal_t;

struct soak_t {
	site_t *site;
	relay_t *store_relay;
	relay_t *relays[SEARCHERS];
	searcher_t *searchers[SEARCHERS];
	mc_random_t random;
	bool stopping;
	uint32_t attempts;
	uint32_t answers;
	uint32_t wrong;
	heal_t heals[HEALS_MAX];
	uint32_t heal_count;
	bool away[INSTANCES];
	pthread_mutex_t lock;
	uint32_t refused_count;
	char (*refused)[SEARCHER_ID_SIZE];
};

static void report(soak_t *soak, const char *what, const char *id,
		   const char *detail)
{
	__atomic_add_fetch(&soak->wrong, 1, __ATOMIC_RELAXED);
	fprintf(stderr, "WRONG %s id=%s %s\n", what, id, detail);
}

/* The first byte of the records of each part falls from 100. */
static void check_merged(soak_t *soak, const char *id, const char *head,
			 const char *body)
{
	char stamps[4096] = "", missing[16] = "0", *part, *rest = NULL;
	unsigned int parts = 0, i;
	char suffix[SEARCHER_ID_SIZE + 2];

	raw_header(head, "Mangocove-Part-Stamps", stamps, sizeof(stamps));
	raw_header(head, "Mangocove-Missing-Parts", missing, sizeof(missing));
	snprintf(suffix, sizeof(suffix), ".%s", id);
	for (part = strtok_r(stamps, ", ", &rest); part;
	     part = strtok_r(NULL, ", ", &rest)) {
		parts++;
		if (strlen(part) < strlen(suffix) ||
		    strcmp(part + strlen(part) - strlen(suffix), suffix))
			report(soak, "signature of another attempt", id, part);
	}
	if (parts + strtoul(missing, NULL, 10) != SITE_SHARDS)
		report(soak, "parts and missing ones", id, missing);
	if (parts < 3) {
		report(soak, "too few parts", id, missing);
		return;
	}
	for (i = 0; i < RECORDS_TOP; i++)
		if (body[(size_t)i * RECORD_SIZE] != 100 - (int)(i / parts))
			report(soak, "records", id, "not the greatest");
}

static void note_refused(soak_t *soak, const char *id)
{
	pthread_mutex_lock(&soak->lock);
	if (soak->refused_count < REFUSED_MAX)
		snprintf(soak->refused[soak->refused_count++], SEARCHER_ID_SIZE,
			 "%s", id);
	pthread_mutex_unlock(&soak->lock);
}

/* One request on an open connection; false when the connection has ended. */
static bool ask(soak_t *soak, int fd, uint32_t kind)
{
	static const char *const paths[] = { "GET /all/x", "GET /one/x",
					     "POST /once/x" };
	char id[SEARCHER_ID_SIZE], text[512], value[256];
	char *head = malloc(RAW_HEAD_MAX + 8192);
	char *body = head + RAW_HEAD_MAX;
	int status;

	snprintf(id, sizeof(id), "a%u",
		 __atomic_add_fetch(&soak->attempts, 1, __ATOMIC_RELAXED));
	snprintf(text, sizeof(text),
		 "%s HTTP/1.1\r\nHost: site.example\r\n"
		 "Mangocove-Attempt-Id: %s\r\nMangocove-Deadline-Ms: %d\r\n"
		 "Content-Length: 0\r\n\r\n",
		 paths[kind], id, LEFT_MS);
	status = raw_send(fd, text) ? raw_read(fd, head, body, 8192) : 0;
	if (status)
		__atomic_add_fetch(&soak->answers, 1, __ATOMIC_RELAXED);
	if (status == 200 && kind == 0) {
		check_merged(soak, id, head, body);
	} else if (status == 200) {
		if (!raw_header(head, "Mangocove-Attempt-Id", value,
				sizeof(value)) ||
		    strcmp(value, id))
			report(soak, "answer of another attempt", id, value);
		if (!raw_header(head, "Mangocove-Server-Stamp", value,
				sizeof(value)))
			report(soak, "success without a signature", id, "");
		if (!raw_header(head, "Content-Length", value, sizeof(value)) ||
		    strtol(value, NULL, 10) != SEARCHER_RECORDS * RECORD_SIZE)
			report(soak, "body is not whole", id, value);
	} else if (status == 404 || status == 400) {
		report(soak, "a proper request was denied", id, head);
	}
	if (kind == 2 && (status == 503 || status == 429))
		note_refused(soak, id);
	if (!status || raw_header(head, "Connection", value, sizeof(value)))
		status = 0;
	free(head);
	return status != 0;
}

static void *run_caller(void *arg)
{
	soak_t *soak = arg;
	mc_random_t random;
	int fd, i;

	mc_random_seed(&random, (uint64_t)(uintptr_t)&random);
	while (!__atomic_load_n(&soak->stopping, __ATOMIC_RELAXED)) {
		uint32_t index = mc_random_below(&random, INSTANCES);

		fd = raw_connect(soak->site->instances[index].callers);
		for (i = 0; fd >= 0 && i < REQUESTS_PER_CONNECTION; i++)
			if (!ask(soak, fd, mc_random_below(&random, 3)))
				break;
		if (fd >= 0)
			close(fd);
		usleep(10000);
	}
	return NULL;
}

static void heal_later(soak_t *soak, void (*heal)(soak_t *, uint32_t),
		       uint32_t number)
{
	mc_ms_t now = mc_clock_now(mc_clock_system());

	if (soak->heal_count == HEALS_MAX) {
		heal(soak, number);
		return;
	}
	soak->heals[soak->heal_count++] = (heal_t){
		.at = now + mc_random_below(&soak->random, HEAL_AFTER_MAX_MS),
		.heal = heal,
		.number = number,
	};
}

static void heal_due(soak_t *soak, bool all)
{
	mc_ms_t now = mc_clock_now(mc_clock_system());
	uint32_t i = 0;

	while (i < soak->heal_count) {
		heal_t heal = soak->heals[i];

		if (!all && heal.at > now) {
			i++;
			continue;
		}
		soak->heals[i] = soak->heals[--soak->heal_count];
		heal.heal(soak, heal.number);
	}
}

static bool takes_connections(void *ctx)
{
	const site_instance_t *instance = ctx;
	int fd = raw_connect(instance->ready);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/* A signal before the program's own first instruction ends any program. */
static void start_again(soak_t *soak, uint32_t number)
{
	site_start(soak->site, number);
	harness_wait("start", takes_connections,
		     &soak->site->instances[number]);
	soak->away[number] = false;
}

static void go_on(soak_t *soak, uint32_t number)
{
	harness_signal(soak->site->harness,
		       soak->site->instances[number].process, SIGCONT);
	soak->away[number] = false;
}

static void pass_again(soak_t *soak, uint32_t number)
{
	relay_mode(number < SEARCHERS ? soak->relays[number]
				      : soak->store_relay,
		   RELAY_PASS);
}

static void store_speaks(soak_t *soak, uint32_t number)
{
	(void)number;
	objects_silence(soak->site->objects, false);
}

static void store_is_up(soak_t *soak, uint32_t number)
{
	(void)number;
	objects_down(soak->site->objects, false);
}

static void is_up(soak_t *soak, uint32_t number)
{
	searcher_down(soak->searchers[number], false);
}

static void register_at_relay(soak_t *soak, uint32_t number, const char *state)
{
	searcher_register_at(soak->searchers[number], soak->site->objects,
			     state, relay_port(soak->relays[number]));
}

static void is_ready_again(soak_t *soak, uint32_t number)
{
	searcher_replace(soak->searchers[number]);
	register_at_relay(soak, number, "ready");
}

/* Faults; @number is an instance's or a searcher's, by their range. */
static void fault_kill(soak_t *soak, uint32_t number)
{
	if (soak->away[number])
		return;
	soak->away[number] = true;
	harness_stop(soak->site->harness, soak->site->instances[number].process,
		     SIGKILL);
	heal_later(soak, start_again, number);
}

static void fault_stop(soak_t *soak, uint32_t number)
{
	char detail[32];
	int status;

	if (soak->away[number])
		return;
	status = harness_stop(soak->site->harness,
			      soak->site->instances[number].process, SIGTERM);
	snprintf(detail, sizeof(detail), "status %d", status);
	if (status)
		report(soak, "planned stop", "-", detail);
	start_again(soak, number);
}

static void fault_pause(soak_t *soak, uint32_t number)
{
	if (soak->away[number])
		return;
	soak->away[number] = true;
	harness_signal(soak->site->harness,
		       soak->site->instances[number].process, SIGSTOP);
	heal_later(soak, go_on, number);
}

static void fault_hup(soak_t *soak, uint32_t number)
{
	if (!soak->away[number])
		harness_signal(soak->site->harness,
			       soak->site->instances[number].process, SIGHUP);
}

static void fault_relay(soak_t *soak, uint32_t number)
{
	relay_mode(soak->relays[number],
		   (relay_mode_t)(1 + mc_random_below(&soak->random,
						      RELAY_MODES - 1)));
	heal_later(soak, pass_again, number);
}

static void fault_store_relay(soak_t *soak, uint32_t number)
{
	(void)number;
	relay_mode(soak->store_relay,
		   (relay_mode_t)(1 + mc_random_below(&soak->random,
						      RELAY_MODES - 1)));
	heal_later(soak, pass_again, SEARCHERS);
}

static void fault_store_silent(soak_t *soak, uint32_t number)
{
	(void)number;
	objects_silence(soak->site->objects, true);
	heal_later(soak, store_speaks, 0);
}

static void fault_store_down(soak_t *soak, uint32_t number)
{
	(void)number;
	objects_down(soak->site->objects, true);
	heal_later(soak, store_is_up, 0);
}

static void fault_store_forgets(soak_t *soak, uint32_t number)
{
	(void)number;
	objects_forget(soak->site->objects);
}

static void fault_change(soak_t *soak, uint32_t number)
{
	(void)number;
	site_configure(soak->site, NULL);
}

static void fault_down(soak_t *soak, uint32_t number)
{
	searcher_down(soak->searchers[number], true);
	heal_later(soak, is_up, number);
}

static void fault_answers(soak_t *soak, uint32_t number)
{
	searcher_fault(
		soak->searchers[number],
		(searcher_fault_t)(1 + mc_random_below(&soak->random,
						       SEARCHER_UNSIGNED)),
		(int)mc_random_below(&soak->random, 20));
}

static void fault_drain(soak_t *soak, uint32_t number)
{
	register_at_relay(soak, number, "draining");
	heal_later(soak, is_ready_again, number);
}

static void fault_replace(soak_t *soak, uint32_t number)
{
	objects_remove(soak->site->objects, "servers",
		       searcher_id(soak->searchers[number]));
	is_ready_again(soak, number);
}

typedef struct {
	const char *name;
	void (*strike)(soak_t *soak, uint32_t number);
	uint32_t numbers;
} fault_t;

static const fault_t faults[] = {
	{ "kill", fault_kill, INSTANCES },
	{ "stop", fault_stop, INSTANCES },
	{ "pause", fault_pause, INSTANCES },
	{ "hup", fault_hup, INSTANCES },
	{ "relay", fault_relay, SEARCHERS },
	{ "relay", fault_relay, SEARCHERS },
	{ "store_relay", fault_store_relay, 1 },
	{ "store_silent", fault_store_silent, 1 },
	{ "store_down", fault_store_down, 1 },
	{ "store_forgets", fault_store_forgets, 1 },
	{ "change", fault_change, 1 },
	{ "down", fault_down, SEARCHERS },
	{ "answers", fault_answers, SEARCHERS },
	{ "answers", fault_answers, SEARCHERS },
	{ "drain", fault_drain, SEARCHERS },
	{ "replace", fault_replace, SEARCHERS },
};

static void strike(soak_t *soak, mc_ms_t end)
{
	while (mc_clock_now(mc_clock_system()) < end) {
		const fault_t *fault = &faults[mc_random_below(
			&soak->random, MC_ARRAY_LEN(faults))];

		uint32_t number =
			mc_random_below(&soak->random, fault->numbers);

		printf("%lld %s %u\n",
		       (long long)mc_clock_wall(mc_clock_system()), fault->name,
		       number);
		fault->strike(soak, number);
		harness_sleep(
			mc_random_below(&soak->random, FAULT_PAUSE_MAX_MS));
		heal_due(soak, false);
	}
	heal_due(soak, true);
}

static bool is_whole(void *ctx)
{
	soak_t *soak = ctx;
	uint32_t i;

	for (i = 0; i < INSTANCES; i++) {
		char missing[16] = "-";
		site_answer_t answer =
			site_ask(soak->site, i, "GET", "/all/x", LEFT_MS);

		if (answer.status != 200 || !site_is_ready(soak->site, i) ||
		    !raw_header(answer.head, "Mangocove-Missing-Parts", missing,
				sizeof(missing)) ||
		    strcmp(missing, "0") ||
		    site_metric(soak->site, i, "mangocove_map_version") !=
			    (double)soak->site->version)
			return false;
	}
	return true;
}

/* A request that runs once: twice is wrong, and so is "not run" when it has. */
static void check_runs(soak_t *soak)
{
	uint32_t i, runs;

	for (i = 0; i < soak->refused_count; i++)
		if (site_runs(soak->site, soak->refused[i]))
			report(soak, "told not to have run", soak->refused[i],
			       "it has run");
	for (i = 0; i < SITE_SINGLES; i++) {
		runs = searcher_run_twice(soak->site->singles, SITE_SINGLES,
					  "POST");
		if (runs)
			report(soak, "run twice", "-", "a request to run once");
	}
}

static void set_up(soak_t *soak)
{
	uint32_t i, j, number = 0;
	char name[32];

	snprintf(name, sizeof(name), "soak-%llu", (unsigned long long)the_seed);
	soak->site = site_create(name, 0);
	for (i = 0; i < SITE_SHARDS; i++)
		for (j = 0; j < SITE_REPLICAS; j++)
			soak->searchers[number++] = soak->site->shards[i][j];
	for (i = 0; i < SITE_SINGLES; i++)
		soak->searchers[number++] = soak->site->singles[i];
	for (i = 0; i < SEARCHERS; i++) {
		soak->relays[i] =
			relay_start(searcher_port(soak->searchers[i]));
		register_at_relay(soak, i, "ready");
	}
	soak->store_relay = relay_start(objects_port(soak->site->objects));
	soak->site->store_port = relay_port(soak->store_relay);
	soak->site->instance_count = INSTANCES;
	for (i = 0; i < INSTANCES; i++)
		site_start_for_good(soak->site, i);
}

static void tear_down(soak_t *soak)
{
	uint32_t i;

	harness_destroy(soak->site->harness);
	soak->site->harness = NULL;
	for (i = 0; i < SEARCHERS; i++)
		relay_stop(soak->relays[i]);
	relay_stop(soak->store_relay);
	site_destroy(soak->site);
}

static void test_soak(void **state)
{
	soak_t *soak = calloc(1, sizeof(*soak));
	pthread_t callers[CALLERS];
	uint32_t wrong, i;

	(void)state;
	pthread_mutex_init(&soak->lock, NULL);
	soak->refused = calloc(REFUSED_MAX, sizeof(*soak->refused));
	mc_random_seed(&soak->random, the_seed);
	set_up(soak);
	for (i = 0; i < CALLERS; i++)
		pthread_create(&callers[i], NULL, run_caller, soak);
	strike(soak, mc_clock_now(mc_clock_system()) + the_time);
	harness_wait("whole answers after the faults", is_whole, soak);
	__atomic_store_n(&soak->stopping, true, __ATOMIC_RELAXED);
	for (i = 0; i < CALLERS; i++)
		pthread_join(callers[i], NULL);
	check_runs(soak);
	wrong = soak->wrong;
	printf("seed %llu: %u attempts, %u answers, %u refused, %u wrong\n",
	       (unsigned long long)the_seed, soak->attempts, soak->answers,
	       soak->refused_count, wrong);
	tear_down(soak);
	free(soak->refused);
	free(soak);
	assert_int_equal(wrong, 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_soak),
	};

	the_seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	the_time =
		(argc > 2 ? strtol(argv[2], NULL, 10) : SECONDS_DEFAULT) * 1000;
	return cmocka_run_group_tests(tests, NULL, NULL);
}

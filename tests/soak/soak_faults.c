/*
 * Faults of the soak. faults[] lists the kinds; each fault that lasts has a
 * recovery, a call that ends it later.
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

#include "soak.h"

enum {
	FAULT_INTERVAL_MAX_MS = 600,
	RECOVERY_DELAY_MAX_MS = 2500,
};

/*
 * Schedules the end of a fault at a random time within RECOVERY_DELAY_MAX_MS;
 * ends it at once if the table is full.
 */
static void schedule_recovery(soak_t *soak, void (*recover)(soak_t *, uint32_t),
			      uint32_t index)
{
	mc_ms_t now = mc_clock_now(mc_clock_system());

	if (soak->recovery_count == RECOVERIES_MAX) {
		recover(soak, index);
		return;
	}
	soak->recoveries[soak->recovery_count++] = (recovery_t){
		.due_at = now +
			  mc_random_below(&soak->random, RECOVERY_DELAY_MAX_MS),
		.recover = recover,
		.index = index,
	};
}

/* Ends the faults that are due, or all of them if @all is set. */
static void run_due_recoveries(soak_t *soak, bool all)
{
	mc_ms_t now = mc_clock_now(mc_clock_system());
	uint32_t i = 0;

	while (i < soak->recovery_count) {
		recovery_t recovery = soak->recoveries[i];

		if (!all && recovery.due_at > now) {
			i++;
			continue;
		}
		soak->recoveries[i] = soak->recoveries[--soak->recovery_count];
		recovery.recover(soak, recovery.index);
	}
}

static bool accepts_connections(void *ctx)
{
	const site_instance_t *instance = ctx;
	int fd = raw_connect(instance->ready_port);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/*
 * Waits until the restarted instance accepts connections: any signal that
 * arrives before the program's first instruction would kill it.
 */
static void restart_instance(soak_t *soak, uint32_t index)
{
	site_start_instance(soak->site, index);
	soak_wait_until(soak, "restarted instance accepts connections",
			accepts_connections, &soak->site->instances[index]);
	soak->unavailable[index] = false;
}

static void resume_instance(soak_t *soak, uint32_t index)
{
	harness_signal(soak->site->harness,
		       soak->site->instances[index].process, SIGCONT);
	soak->unavailable[index] = false;
}

static void restore_relay(soak_t *soak, uint32_t index)
{
	relay_set_mode(index < SEARCHER_COUNT ? soak->relays[index]
					      : soak->store_relay,
		       RELAY_PASS);
}

static void restore_store_responses(soak_t *soak, uint32_t index)
{
	(void)index;
	object_store_set_unresponsive(soak->site->object_store, false);
}

static void restart_store(soak_t *soak, uint32_t index)
{
	(void)index;
	object_store_set_down(soak->site->object_store, false);
}

static void restart_searcher(soak_t *soak, uint32_t index)
{
	searcher_set_down(soak->searchers[index], false);
}

static void replace_searcher(soak_t *soak, uint32_t index)
{
	searcher_replace(soak->searchers[index]);
	soak_register_at_relay(soak, index, "ready");
}

/*
 * The fault functions. @index is the index of an instance or of a searcher, as
 * the entry in faults[] says.
 */
static void fault_kill(soak_t *soak, uint32_t index)
{
	if (soak->unavailable[index])
		return;
	soak->unavailable[index] = true;
	harness_stop(soak->site->harness, soak->site->instances[index].process,
		     SIGKILL);
	schedule_recovery(soak, restart_instance, index);
}

static void fault_terminate(soak_t *soak, uint32_t index)
{
	char detail[32];
	int status;

	if (soak->unavailable[index])
		return;
	status = harness_stop(soak->site->harness,
			      soak->site->instances[index].process, SIGTERM);
	snprintf(detail, sizeof(detail), "status %d", status);
	if (status)
		soak_report_violation(soak, "exit status after SIGTERM", "-",
				      detail);
	restart_instance(soak, index);
}

static void fault_pause(soak_t *soak, uint32_t index)
{
	if (soak->unavailable[index])
		return;
	soak->unavailable[index] = true;
	harness_signal(soak->site->harness,
		       soak->site->instances[index].process, SIGSTOP);
	schedule_recovery(soak, resume_instance, index);
}

static void fault_reload(soak_t *soak, uint32_t index)
{
	if (!soak->unavailable[index])
		harness_signal(soak->site->harness,
			       soak->site->instances[index].process, SIGHUP);
}

static void fault_relay(soak_t *soak, uint32_t index)
{
	relay_set_mode(
		soak->relays[index],
		(relay_mode_t)(1 + mc_random_below(&soak->random,
						   RELAY_MODE_COUNT - 1)));
	schedule_recovery(soak, restore_relay, index);
}

static void fault_store_relay(soak_t *soak, uint32_t index)
{
	(void)index;
	relay_set_mode(
		soak->store_relay,
		(relay_mode_t)(1 + mc_random_below(&soak->random,
						   RELAY_MODE_COUNT - 1)));
	schedule_recovery(soak, restore_relay, SEARCHER_COUNT);
}

static void fault_store_silent(soak_t *soak, uint32_t index)
{
	(void)index;
	object_store_set_unresponsive(soak->site->object_store, true);
	schedule_recovery(soak, restore_store_responses, 0);
}

static void fault_store_down(soak_t *soak, uint32_t index)
{
	(void)index;
	object_store_set_down(soak->site->object_store, true);
	schedule_recovery(soak, restart_store, 0);
}

static void fault_store_drop_history(soak_t *soak, uint32_t index)
{
	(void)index;
	object_store_drop_history(soak->site->object_store);
}

static void fault_config_change(soak_t *soak, uint32_t index)
{
	(void)index;
	site_put_config(soak->site, NULL);
}

static void fault_searcher_down(soak_t *soak, uint32_t index)
{
	searcher_set_down(soak->searchers[index], true);
	schedule_recovery(soak, restart_searcher, index);
}

static void fault_wrong_answers(soak_t *soak, uint32_t index)
{
	searcher_set_fault(
		soak->searchers[index],
		(searcher_fault_t)(1 +
				   mc_random_below(&soak->random,
						   SEARCHER_FAULT_NO_STAMP)),
		(int)mc_random_below(&soak->random, 20));
}

static void fault_drain(soak_t *soak, uint32_t index)
{
	soak_register_at_relay(soak, index, "draining");
	schedule_recovery(soak, replace_searcher, index);
}

static void fault_replace(soak_t *soak, uint32_t index)
{
	object_store_remove(soak->site->object_store, "servers",
			    searcher_id(soak->searchers[index]));
	replace_searcher(soak, index);
}

/* A kind of fault, for @index_count instances, searchers or stores. */
typedef struct {
	const char *name;
	void (*inject)(soak_t *soak, uint32_t index);
	uint32_t index_count;
} fault_t;

/* A fault that is listed twice is twice as likely. */
static const fault_t faults[] = {
	{ "kill", fault_kill, INSTANCE_COUNT },
	{ "stop", fault_terminate, INSTANCE_COUNT },
	{ "pause", fault_pause, INSTANCE_COUNT },
	{ "hup", fault_reload, INSTANCE_COUNT },
	{ "relay", fault_relay, SEARCHER_COUNT },
	{ "relay", fault_relay, SEARCHER_COUNT },
	{ "store_relay", fault_store_relay, 1 },
	{ "store_silent", fault_store_silent, 1 },
	{ "store_down", fault_store_down, 1 },
	{ "store_forgets", fault_store_drop_history, 1 },
	{ "change", fault_config_change, 1 },
	{ "down", fault_searcher_down, SEARCHER_COUNT },
	{ "answers", fault_wrong_answers, SEARCHER_COUNT },
	{ "answers", fault_wrong_answers, SEARCHER_COUNT },
	{ "drain", fault_drain, SEARCHER_COUNT },
	{ "replace", fault_replace, SEARCHER_COUNT },
};

void faults_inject(soak_t *soak, mc_ms_t end)
{
	while (mc_clock_now(mc_clock_system()) < end) {
		const fault_t *fault = &faults[mc_random_below(
			&soak->random, MC_ARRAY_LEN(faults))];

		uint32_t index =
			mc_random_below(&soak->random, fault->index_count);

		printf("%lld %s %u\n",
		       (long long)mc_clock_wall(mc_clock_system()), fault->name,
		       index);
		fault->inject(soak, index);
		harness_sleep(
			mc_random_below(&soak->random, FAULT_INTERVAL_MAX_MS));
		run_due_recoveries(soak, false);
	}
	run_due_recoveries(soak, true);
}

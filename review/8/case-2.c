/*
 * Two instances of one zone: one reads the store and relays its changes to the
 * other. It is paused for 0.9 s, and a searcher drains meanwhile. The other
 * instance, which nothing has disturbed, sends to that searcher for too long.
 */
#include "kit.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum {
	TIERS = 2,
	CALLERS = 12,
	CALL_PAUSE_MS = 5,
	WORK_MS = 80,
	/* Bounds of the site, ms. */
	DRAIN_MS = 3000,
	/* All have run undisturbed for longer than CONTACT_MS, and the watches
	 * that an instance began before it had an upstream have ended. */
	QUIET_MS = 19000,
	PAUSE_MS = 900,
	PAUSE_LEAD_MS = 20,
	/* How long the searcher goes on beyond DRAIN_MS, ms. */
	SERVES_ON_MS = 1500,
};

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"lookup\",\"hostname\":"
	"\"m.example\",\"pathPrefix\":\"/lookup/\",\"routeType\":\"idempotent\","
	"\"timeoutMs\":6000,\"goalMs\":2000,\"priority\":2,\"backend\":\"menu\","
	"\"maxAttempts\":2}],\"services\":[{\"name\":\"menu\",\"healthPath\":"
	"\"/health\",\"maxConns\":49,\"warmupS\":3.0,\"warmupPerS\":0.0}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static kit_tier_t tiers[TIERS];
static kit_tier_t *subscriber;
static int64_t drain_acknowledged;
static uint32_t late_requests, answered;
static bool stopping;

static void check_run(kit_searcher_t *searcher, const kit_run_t *run,
		      kit_answer_t *answer)
{
	int64_t since = kit_now() - drain_acknowledged;

	answer->work_ms = WORK_MS;
	if (strcmp(searcher->id, "i-1") || !drain_acknowledged ||
	    since <= DRAIN_MS)
		return;
	kit_record("DRAIN id=%s: %lld ms after the acknowledgement", run->id,
		   (long long)since);
	__atomic_add_fetch(&late_requests, 1, __ATOMIC_RELAXED);
}

static void *call_again_and_again(void *arg)
{
	int number = (int)(intptr_t)arg, i;
	char id[32];

	for (i = 0; !stopping; i++) {
		kit_call_t call = { .method = "GET",
				    .host = "m.example",
				    .target = "/lookup/a",
				    .id = id,
				    .deadline_ms = 6000 };

		snprintf(id, sizeof(id), "c-%d-%d", number, i);
		kit_call(subscriber, &call);
		if (call.status == 200)
			__atomic_add_fetch(&answered, 1, __ATOMIC_RELAXED);
		else
			kit_record("call id=%s status=%d", id, call.status);
		kit_sleep(CALL_PAUSE_MS);
	}
	return NULL;
}

/* Whether the instance has said that another one relays changes to it. */
static bool has_upstream(const kit_tier_t *tier)
{
	char line[1024];
	FILE *log = fopen(tier->log, "r");
	bool found = false;

	while (log && !found && fgets(line, sizeof(line), log))
		found = strstr(line, "upstream in use") != NULL;
	if (log)
		fclose(log);
	return found;
}

int main(int argc, char **argv)
{
	static kit_searcher_t searchers[] = {
		{ .id = "i-1",
		  .service = "menu",
		  .zone = "aberteifi",
		  .version = "v1",
		  .slots = 2,
		  .run = check_run },
		{ .id = "i-2",
		  .service = "menu",
		  .zone = "aberteifi",
		  .version = "v1",
		  .slots = 1,
		  .run = check_run },
	};
	const kit_tier_t *upstream = NULL;
	uint16_t store;
	char name[KIT_NAME];
	int i;

	kit_begin(argc > 1 ? argv[1] : ".");
	store = kit_store_start();
	kit_store_put("config", "main", config);
	for (i = 0; i < TIERS; i++) {
		kit_searcher_start(&searchers[i]);
		snprintf(name, sizeof(name), "front-aberteifi-%d", i + 1);
		kit_tier_init(&tiers[i], name, "aberteifi", store);
		kit_tier_start(&tiers[i]);
	}
	for (i = 0; i < TIERS; i++)
		if (!kit_tier_wait_ready(&tiers[i], 15000))
			kit_end(KIT_NOT_RUN, "a tier is not ready");
	kit_sleep(QUIET_MS);
	for (i = 0; i < TIERS; i++) {
		if (has_upstream(&tiers[i]))
			subscriber = &tiers[i];
		else
			upstream = &tiers[i];
	}
	if (!subscriber || !upstream)
		kit_end(KIT_NOT_RUN, "no instance relays to the other");
	kit_record("upstream=%s subscriber=%s", upstream->name,
		   subscriber->name);
	for (i = 0; i < CALLERS; i++)
		kit_thread(call_again_and_again, (void *)(intptr_t)i);
	kit_sleep(2000);
	if (kit_trouble())
		kit_tier_signal(upstream, SIGSTOP);
	kit_sleep(PAUSE_LEAD_MS);
	kit_searcher_beat(&searchers[0], "draining");
	drain_acknowledged = kit_now();
	kit_sleep(PAUSE_MS - PAUSE_LEAD_MS);
	if (kit_trouble())
		kit_tier_signal(upstream, SIGCONT);
	kit_sleep(drain_acknowledged + DRAIN_MS + SERVES_ON_MS - kit_now());
	kit_searcher_exit(&searchers[0]);
	kit_store_remove("servers", searchers[0].id);
	kit_sleep(500);
	stopping = true;
	kit_sleep(500);
	kit_record("answered=%u late_at_draining_searcher=%u", answered,
		   late_requests);
	if (!answered)
		kit_end(KIT_NOT_RUN, "nothing was answered");
	if (late_requests)
		kit_end(KIT_BROKEN, "DRAIN: requests reached a searcher later "
				    "than drainMs after it was draining");
	kit_end(KIT_HELD, "no request reached the searcher too late");
}

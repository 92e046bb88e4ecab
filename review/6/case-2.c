/*
 * The store's answer to one watch of the searchers is lost. Long after that,
 * with the store stable, a searcher drains. The tier goes on sending to it, up
 * to its exit.
 */
#include "kit.h"

#include <stdio.h>
#include <string.h>

enum {
	CALLERS = 6,
	CALL_PAUSE_MS = 40,
	WORK_MS = 100,
	/* Bounds of the site, ms. */
	DRAIN_MS = 3000,
	CONTACT_MS = 4000,
	/* The store has been stable for longer than CONTACT_MS when the
	 * searcher drains. */
	QUIET_MS = CONTACT_MS + 1000,
	/* How long the searcher goes on beyond DRAIN_MS, ms. */
	SERVES_ON_MS = 1500,
	AFTER_EXIT_MS = 1000,
};

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"lookup\",\"hostname\":"
	"\"m.example\",\"pathPrefix\":\"/lookup/\",\"routeType\":\"idempotent\","
	"\"timeoutMs\":6000,\"goalMs\":400,\"priority\":2,\"backend\":\"menu\","
	"\"maxAttempts\":2},{\"name\":\"order\",\"hostname\":"
	"\"m.example\",\"pathPrefix\":\"/order/\",\"routeType\":"
	"\"non_idempotent\",\"timeoutMs\":6000,\"goalMs\":400,\"priority\":1,"
	"\"backend\":\"menu\",\"maxAttempts\":2}],\"services\":[{\"name\":"
	"\"menu\",\"healthPath\":\"/health\",\"maxConns\":49,\"warmupS\":3.0,"
	"\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

static kit_tier_t tier;
static int64_t drain_acknowledged;
static uint32_t late_requests, lost_orders, answered;
static bool stopping;

/* A request that reaches the draining searcher too late breaks DRAIN. */
static void check_run(kit_searcher_t *searcher, const kit_run_t *run,
		      kit_answer_t *answer)
{
	int64_t since = kit_now() - drain_acknowledged;

	answer->work_ms = WORK_MS;
	if (strcmp(searcher->id, "i-1") || !drain_acknowledged ||
	    since <= DRAIN_MS)
		return;
	kit_record("DRAIN id=%s target=%s: %lld ms after the acknowledgement",
		   run->id, run->target, (long long)since);
	__atomic_add_fetch(&late_requests, 1, __ATOMIC_RELAXED);
}

static void *call_again_and_again(void *arg)
{
	int number = (int)(intptr_t)arg, i;
	char id[32];

	for (i = 0; !stopping; i++) {
		bool is_order = (i + number) % 2;
		kit_call_t call = {
			.method = is_order ? "POST" : "GET",
			.host = "m.example",
			.target = is_order ? "/order/a" : "/lookup/a",
			.body = is_order ? "one" : NULL,
			.id = id,
			.deadline_ms = 6000,
		};

		snprintf(id, sizeof(id), "c-%d-%d", number, i);
		kit_call(&tier, &call);
		if (call.status == 200)
			__atomic_add_fetch(&answered, 1, __ATOMIC_RELAXED);
		else
			kit_record("call id=%s target=%s status=%d", id,
				   call.target, call.status);
		if (is_order && (call.status == 502 || !call.status))
			__atomic_add_fetch(&lost_orders, 1, __ATOMIC_RELAXED);
		kit_sleep(CALL_PAUSE_MS);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static kit_searcher_t searchers[] = {
		{ .id = "i-1",
		  .service = "menu",
		  .zone = "aberteifi",
		  .version = "v1",
		  .slots = 6,
		  .run = check_run },
		{ .id = "i-2",
		  .service = "menu",
		  .zone = "aberteifi",
		  .version = "v1",
		  .slots = 6,
		  .run = check_run },
		{ .id = "i-3",
		  .service = "menu",
		  .zone = "aberteifi",
		  .version = "v1",
		  .slots = 6,
		  .run = check_run },
	};
	uint16_t store;
	int i;

	kit_begin(argc > 1 ? argv[1] : ".");
	store = kit_store_start();
	kit_store_put("config", "main", config);
	kit_searcher_start(&searchers[0]);
	kit_searcher_start(&searchers[1]);
	kit_tier_init(&tier, "front-aberteifi-1", "aberteifi", store);
	kit_tier_start(&tier);
	if (!kit_tier_wait_ready(&tier, 15000))
		kit_end(KIT_NOT_RUN, "the tier is not ready");
	kit_sleep(2000);
	for (i = 0; i < CALLERS; i++)
		kit_thread(call_again_and_again, (void *)(intptr_t)i);
	kit_sleep(1000);
	/* A searcher is added. The answer that tells it is lost. */
	if (kit_trouble())
		kit_store_lose_watch("servers");
	kit_searcher_start(&searchers[2]);
	kit_sleep(QUIET_MS);
	kit_searcher_beat(&searchers[0], "draining");
	drain_acknowledged = kit_now();
	kit_sleep(DRAIN_MS + SERVES_ON_MS);
	kit_searcher_exit(&searchers[0]);
	kit_store_remove("servers", searchers[0].id);
	kit_sleep(AFTER_EXIT_MS);
	stopping = true;
	kit_sleep(500);
	kit_record("answered=%u late_at_draining_searcher=%u orders_lost=%u",
		   answered, late_requests, lost_orders);
	if (!answered)
		kit_end(KIT_NOT_RUN, "nothing was answered");
	if (late_requests)
		kit_end(KIT_BROKEN, "DRAIN: requests reached a searcher later "
				    "than drainMs after it was draining");
	kit_end(KIT_HELD, "no request reached the searcher too late");
}

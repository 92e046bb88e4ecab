#include "relay_pair.h"

double relay_pair_updates_taken(const relay_pair_t *relay, uint32_t index)
{
	return site_metric(relay->site, index, "mangocove_news_taken_total");
}

/* Makes a change and returns whether one instance got it relayed by the other.
 * Stores which of them is the subscriber. */
static bool has_subscriber(void *ctx)
{
	relay_pair_t *relay = ctx;
	double before[] = { relay_pair_updates_taken(relay, 0), 0,
			    relay_pair_updates_taken(relay, 2) };

	site_put_config(relay->site, NULL);
	harness_sleep(200);
	relay->subscriber =
		relay_pair_updates_taken(relay, 0) > before[0] ? 0 : 2;
	relay->upstream = 2 - relay->subscriber;
	return relay_pair_updates_taken(relay, relay->subscriber) >
	       before[relay->subscriber];
}

double relay_pair_store_calls(const relay_pair_t *relay)
{
	return site_metric(relay->site, relay->subscriber,
			   "mangocove_store_calls_total");
}

bool relay_pair_makes_no_calls(void *ctx)
{
	double before = relay_pair_store_calls(ctx);

	/* Longer than one watch call for the map. */
	harness_sleep(2500);
	return relay_pair_store_calls(ctx) == before;
}

void relay_pair_wait(relay_pair_t *relay)
{
	harness_wait_until("a subscriber", has_subscriber, relay);
	harness_wait_until("a subscriber without store calls",
			   relay_pair_makes_no_calls, relay);
}

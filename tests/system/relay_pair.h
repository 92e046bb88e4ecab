/*
 * Two instances of a site that are in one data centre, one of which relays the
 * store's changes to the other.
 */
#ifndef RELAY_PAIR_H
#define RELAY_PAIR_H

#include "site.h"

/**
 * struct relay_pair_t - Instances 0 and 2 of a site with three
 * @site: the site
 * @subscriber: index of the one that subscribes to the other; set by
 *	relay_pair_wait()
 * @upstream: index of the other
 */
typedef struct relay_pair_t {
	site_t *site;
	uint32_t subscriber;
	uint32_t upstream;
} relay_pair_t;

/** relay_pair_wait() - Wait until one instance subscribes to the other and its
 * own watch calls, which end one by one, are over */
void relay_pair_wait(relay_pair_t *relay);

/** relay_pair_updates_taken() - Count the changes that an instance has taken
 * from the other */
double relay_pair_updates_taken(const relay_pair_t *relay, uint32_t index);

/** relay_pair_store_calls() - Count the subscriber's calls to the store */
double relay_pair_store_calls(const relay_pair_t *relay);

/** relay_pair_makes_no_calls() - Whether the subscriber makes no call to the
 * store for some time; @ctx is a relay_pair_t */
bool relay_pair_makes_no_calls(void *ctx);

#endif

/*
 * A small site on the platform's stand-ins: a store, searchers of a few shards
 * and of a service that is asked alone, and instances of the tier.
 */
#ifndef SITE_H
#define SITE_H

#include "searchers.h"

enum {
	SITE_SHARDS = 4,
	SITE_REPLICAS = 2,
	SITE_SINGLES = 2,
	SITE_INSTANCES_MAX = 4,
	SITE_GRACE_MS = 3000,
};

/** struct site_instance_t - an instance of the tier */
typedef struct site_instance_t {
	mc_handle_t process;
	uint16_t callers;
	uint16_t ready;
	uint16_t metrics;
	uint16_t peers;
} site_instance_t;

/** struct site_t - the site */
typedef struct site_t {
	harness_t *harness;
	object_store_t *objects;
	searcher_t *shards[SITE_SHARDS][SITE_REPLICAS];
	searcher_t *singles[SITE_SINGLES];
	uint32_t instance_count;
	site_instance_t instances[SITE_INSTANCES_MAX];
	/* Where instances reach the store, if not at its own port. */
	uint16_t store_port;
	uint64_t version;
	unsigned int attempts;
} site_t;

/** site_create() - a site whose instances are ready */
site_t *site_create(const char *name, uint32_t instances);

/** site_destroy() - end all; NULL is allowed */
void site_destroy(site_t *site);

/** site_start() - start instance @index, without waiting for it */
void site_start(site_t *site, uint32_t index);

/** site_start_for_good() - start instance @index and wait until it is ready */
void site_start_for_good(site_t *site, uint32_t index);

/** site_wait_ready() - wait until instance @index is ready, or not */
void site_wait_ready(site_t *site, uint32_t index, bool ready);

/** site_is_ready() - whether instance @index says so now */
bool site_is_ready(site_t *site, uint32_t index);

/** site_configure() - the next version; @extra is a route more, or NULL */
void site_configure(site_t *site, json_t *extra);

/** struct site_answer_t - an answer to a caller */
typedef struct site_answer_t {
	int status;
	char id[SEARCHER_ID_SIZE];
	char head[RAW_HEAD_MAX];
	char body[4096];
} site_answer_t;

/**
 * site_ask() - a request on a connection of its own
 * @path: "/all/..." for all shards, "/one/..." and "/once/..." for one searcher
 *	of the single service; the last runs once only
 * @left: time that the caller waits, ms
 */
site_answer_t site_ask(site_t *site, uint32_t index, const char *method,
		       const char *path, mc_ms_t left);

/** site_metric() - value of a metric of instance @index; -1 without one */
double site_metric(site_t *site, uint32_t index, const char *name);

/** site_runs() - runs of an attempt at the singles, or all if @id is NULL */
uint32_t site_runs(site_t *site, const char *id);

#endif

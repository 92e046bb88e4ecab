/*
 * State of a follower, as the files of this library share it.
 */
#ifndef MC_DISCOVERY_PRIVATE_H
#define MC_DISCOVERY_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "mc/discovery.h"
#include "mc/relay.h"

enum {
	/* The longest pause between tries after failures, ms. */
	FOLLOW_PAUSE_MAX_MS = 1000,
};

/**
 * struct kind_t - how far a kind of records has been read
 * @follow: the follower
 * @kind: the kind
 * @open: a call is under way
 * @watching: the list is whole, changes are watched
 * @listed: the list was whole once
 * @strict: the next list must not be old
 * @revision: the store's revision up to which records are known
 * @list_revision: revision of the list's first page
 * @after: name behind which the list goes on
 * @current_until: until when nothing can have been missed, while the store is
 *	asked what came after that; MC_MS_NEVER else
 * @parked: it failed with the store lost and goes on when that is back
 * @failures: calls that failed in a row
 * @timer: of the next try
 */
typedef struct kind_t {
	struct mc_discovery_t *follow;
	mc_source_kind_t kind;
	bool open;
	bool watching;
	bool listed;
	bool strict;
	uint64_t revision;
	uint64_t list_revision;
	char after[MC_REGISTRY_NAME_SIZE * 2];
	mc_ms_t current_until;
	bool parked;
	uint32_t failures;
	mc_handle_t timer;
} kind_t;

struct mc_discovery_t {
	mc_discovery_params_t params;
	mc_source_t *source;
	mc_registry_t *fleet;
	kind_t kinds[MC_SOURCE_KIND_COUNT];
	apr_pool_t *pool;
	/* Instances by name; both are the table's own copies. */
	apr_hash_t *instances;
	/* What other instances of this data centre say and hear, or NULL. */
	mc_relay_t *news;
	mc_handle_t probe_timer;
	bool probing;
	/* When the store last answered anything, ms. */
	mc_ms_t answered;
	bool store_lost;
	bool publish_due;
	mc_handle_t tick;
	uint32_t announce_failures;
	/* The announcement takes the place of a former instance's. */
	bool replaces;
};

/** follow_take() - take in records of a kind that were true at @at, ms */
void follow_take(mc_discovery_t *follow, mc_source_kind_t kind,
		 const mc_source_result_t *result, mc_ms_t at);

/** follow_list_begin(), follow_list_end() - around the pages of a list */
void follow_list_begin(mc_discovery_t *follow, mc_source_kind_t kind);
void follow_list_end(mc_discovery_t *follow, mc_source_kind_t kind);

/** follow_pause() - how long to wait after so many failures in a row, ms */
mc_ms_t follow_pause(mc_discovery_t *follow, uint32_t failures);

/** follow_announce() - write this instance's record; a timer's function */
void follow_announce(mc_shard_t *shard, void *arg);

/** follow_read_on() - ask the store for a kind, from where it is known */
void follow_read_on(kind_t *kind);

/** follow_took_changes() - changes of a kind, from wherever they came */
void follow_took_changes(kind_t *kind, const mc_source_result_t *result);

/** follow_note_store() - a call of the store has ended */
void follow_note_store(mc_discovery_t *follow, mc_err_t err);

/** follow_timer() - set a timer anew */
void follow_timer(mc_discovery_t *follow, mc_ms_t pause, mc_timer_fn_t fire,
		  void *arg, mc_handle_t *timer);

/* hear.c: what instances of one data centre tell each other */

/** hear_create() - MC_OK also without a place to be heard at */
mc_err_t hear_create(mc_discovery_t *follow);

/** hear_destroy() - hear and tell nothing more */
void hear_destroy(mc_discovery_t *follow);

/** hear_instances() - the known instances have changed */
void hear_instances(mc_discovery_t *follow);

/** hear_tell() - the store has told of changes above a revision */
void hear_tell(const kind_t *kind, uint64_t above, const char *text);

/** hear_others() - whether another instance says what the store says */
bool hear_others(const mc_discovery_t *follow);

/** follow_changed() - publish soon if anything has changed */
void follow_changed(mc_discovery_t *follow);

#endif

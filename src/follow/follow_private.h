/*
 * State of a follower, as the files of this library share it.
 */
#ifndef MC_FOLLOW_PRIVATE_H
#define MC_FOLLOW_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "mc/follow.h"

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
 * @failures: calls that failed in a row
 * @timer: of the next try
 */
typedef struct kind_t {
	struct mc_follow_t *follow;
	mc_source_kind_t kind;
	bool open;
	bool watching;
	bool listed;
	bool strict;
	uint64_t revision;
	uint64_t list_revision;
	char after[MC_FLEET_NAME_SIZE * 2];
	uint32_t failures;
	mc_handle_t timer;
} kind_t;

struct mc_follow_t {
	mc_follow_params_t params;
	mc_source_t *source;
	mc_fleet_t *fleet;
	kind_t kinds[MC_SOURCE_KINDS];
	apr_pool_t *pool;
	/* Names of instances; the keys are the table's own copies. */
	apr_hash_t *instances;
	bool store_lost;
	bool publish_due;
	mc_handle_t tick;
	uint32_t announce_failures;
};

/** follow_take() - take in records of a kind; @whole: a list begins */
void follow_take(mc_follow_t *follow, mc_source_kind_t kind,
		 const mc_source_result_t *result);

/** follow_list_begin(), follow_list_end() - around the pages of a list */
void follow_list_begin(mc_follow_t *follow, mc_source_kind_t kind);
void follow_list_end(mc_follow_t *follow, mc_source_kind_t kind);

/** follow_changed() - publish soon if anything has changed */
void follow_changed(mc_follow_t *follow);

#endif

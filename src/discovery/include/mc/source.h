/*
 * Where a process learns what it believes: a store that holds records of
 * several kinds, read by list and watch. A platform's adapter fills in the
 * table of functions and decodes each record into a type of the project's own.
 */
#ifndef MC_SOURCE_H
#define MC_SOURCE_H

#include "mc/registry.h"
#include "mc/net.h"

/** enum mc_source_kind_t - kinds of records */
typedef enum mc_source_kind_t {
	/* The operators' map. */
	MC_SOURCE_ROUTEMAP,
	/* Entries of targets. */
	MC_SOURCE_TARGETS,
	/* Data centres that are out, by name. */
	MC_SOURCE_DATA_CENTERS_OUT,
	/* Instances of the system, by name. */
	MC_SOURCE_INSTANCES,
	MC_SOURCE_KIND_COUNT
} mc_source_kind_t;

/**
 * struct mc_source_instance_t - an instance of the system
 * @name: unique among instances
 * @data_center: where it runs
 * @address: "IP:port" where others hear its news; "" if nowhere
 */
typedef struct mc_source_instance_t {
	char name[MC_REGISTRY_NAME_SIZE];
	char data_center[MC_REGISTRY_NAME_SIZE];
	char relay_address[MC_REGISTRY_NAME_SIZE];
} mc_source_instance_t;

/**
 * struct mc_source_record_t - a record
 * @name: its name within the kind
 * @removed: it is gone; only @name is set
 * @fault: why it can't be read; NULL when it could be
 * @map: MC_SOURCE_MAP: the map; the receiver refs what it keeps
 * @target: MC_SOURCE_TARGETS: the entry
 * @instance: MC_SOURCE_INSTANCES: the instance
 */
typedef struct mc_source_record_t {
	const char *name;
	bool removed;
	const char *decode_error;
	const mc_routemap_t *map;
	mc_target_entry_t target;
	mc_source_instance_t instance;
} mc_source_record_t;

/**
 * struct mc_source_result_t - how a call ended
 * @err: MC_OK; MC_ERR_HISTORY_GONE (watch: list anew); MC_ERR_CONFLICT
 *	(announce: it is there already, and in @records);
 *MC_ERR_STORE_UNAVAILABLE, with a last message
 * @revision: the store's revision that the records show
 * @more: a list goes on behind the last record's name
 * @record_count: number of @records
 * @records: valid during the call
 * @text: a watch's answer in the store's own words, for another instance's
 *	@take; NULL for other calls
 */
typedef struct mc_source_result_t {
	mc_err_t err;
	uint64_t revision;
	bool has_more;
	uint32_t record_count;
	const mc_source_record_t *records;
	const char *raw;
} mc_source_result_t;

/** mc_source_done_fn_t - called once per call that returned MC_OK */
typedef void (*mc_source_done_fn_t)(void *ctx,
				    const mc_source_result_t *result);

typedef struct mc_source_t mc_source_t;

/**
 * struct mc_source_ops_t - a way to reach a store
 *
 * Calls return MC_OK, or MC_ERR_FULL or MC_ERR_NO_MEMORY, after which the
 * handler is not called.
 *
 * @create: a client whose calls run on @shard; NULL without memory
 * @destroy: cancel open calls and free; NULL is allowed
 * @list: records behind the name @after; "" for the first ones. @cheap: they
 *	may be seconds old
 * @watch: wait until records have changed after @above, at most @wait ms
 * @unwatch: end the open watch of a kind without a call of its handler
 * @take: decode a watch's answer that another instance has passed on; @done is
 *	called before it returns
 * @announce: create the record of an instance; @replace: or replace it
 */
typedef struct mc_source_ops_t {
	mc_source_t *(*create)(mc_shard_t *shard, const char *address);
	void (*destroy)(mc_source_t *source);
	mc_err_t (*list)(mc_source_t *source, mc_source_kind_t kind,
			 const char *after, bool cheap,
			 mc_source_done_fn_t done, void *ctx);
	mc_err_t (*watch)(mc_source_t *source, mc_source_kind_t kind,
			  uint64_t above, mc_ms_t wait,
			  mc_source_done_fn_t done, void *ctx);
	void (*cancel_watch)(mc_source_t *source, mc_source_kind_t kind);
	void (*decode_changes)(mc_source_t *source, mc_source_kind_t kind,
			       const char *text, mc_source_done_fn_t done,
			       void *ctx);
	mc_err_t (*register_instance)(mc_source_t *source,
				      const mc_source_instance_t *instance,
				      bool replace, mc_source_done_fn_t done,
				      void *ctx);
} mc_source_ops_t;

#endif

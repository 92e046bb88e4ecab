/*
 * The source of a discovery: a store that holds records of several kinds, which
 * are read by list and watch. The adapter of a platform fills in the table of
 * functions and decodes each record into a platform-independent type.
 */
#ifndef MC_SOURCE_H
#define MC_SOURCE_H

#include "mc/registry.h"
#include "mc/net.h"

/** enum mc_source_kind_t - Kinds of records */
typedef enum mc_source_kind_t {
	/* The operators' route map. */
	MC_SOURCE_ROUTEMAP,
	/* Registrations of targets. */
	MC_SOURCE_TARGETS,
	/* Data centres that are out of service, by name. */
	MC_SOURCE_DATA_CENTERS_OUT,
	/* Registrations of the system's instances, by name. */
	MC_SOURCE_INSTANCES,
	/* Orders to move a service to a new version, by service. */
	MC_SOURCE_ROLLOUTS,
	MC_SOURCE_KIND_COUNT
} mc_source_kind_t;

/**
 * struct mc_source_instance_t - Registration of an instance
 * @name: name, unique among instances
 * @data_center: data centre in which it runs
 * @relay_address: "IP:port" at which it relays store changes to other
 *	instances; "" if it doesn't
 * @evidence_count: number of @evidence
 * @evidence: what it has seen of roll-outs in progress; owned by the record
 */
typedef struct mc_source_instance_t {
	char name[MC_REGISTRY_NAME_SIZE];
	char data_center[MC_REGISTRY_NAME_SIZE];
	char relay_address[MC_REGISTRY_NAME_SIZE];
	uint32_t evidence_count;
	const mc_rollout_evidence_t *evidence;
} mc_source_instance_t;

/**
 * struct mc_source_record_t - A record, or the removal of one
 * @name: name of the record, unique within the kind
 * @removed: the record was removed; only @name and @revision are set
 * @revision: revision of the store at which the record was last changed; 0 if
 *	unknown. Of a removal it is that of the removal, or of the last change
 *	before
 * @decode_error: why the record could not be decoded; NULL when it could
 * @map: MC_SOURCE_ROUTEMAP: the route map; a receiver that keeps it must take a
 *	reference
 * @target: MC_SOURCE_TARGETS: the registration
 * @instance: MC_SOURCE_INSTANCES: the registration
 * @order: MC_SOURCE_ROLLOUTS: the order
 */
typedef struct mc_source_record_t {
	const char *name;
	bool removed;
	uint64_t revision;
	const char *decode_error;
	const mc_routemap_t *map;
	mc_target_entry_t target;
	mc_source_instance_t instance;
	mc_rollout_order_t order;
} mc_source_record_t;

/**
 * struct mc_source_result_t - Result of a call
 * @err: MC_OK; for a watch, MC_ERR_HISTORY_GONE: the store no longer has the
 *	changes, or MC_ERR_TOO_LARGE: they are more than a response may have;
 *	the kind must be listed again. For a registration, MC_ERR_CONFLICT: a
 *	record of that name exists and is in @records; for the state of a
 *	roll-out, MC_ERR_CONFLICT: the order has changed and is in @records, as
 *	it is after MC_OK. MC_ERR_STORE_UNAVAILABLE with a last message
 * @revision: revision of the store up to which @records are complete
 * @era: how often the store has come back with less than it had acknowledged,
 *	as it says itself; 0 if unknown. Revisions of different eras can't be
 *	compared
 * @has_more: a list has further records after the name of the last one
 * @record_count: number of @records
 * @records: records; valid during the call
 * @raw: the undecoded response of a list or watch, for @decode of another
 *	instance; NULL for other calls
 */
typedef struct mc_source_result_t {
	mc_err_t err;
	uint64_t revision;
	uint64_t era;
	bool has_more;
	uint32_t record_count;
	const mc_source_record_t *records;
	const char *raw;
} mc_source_result_t;

/** mc_source_done_fn_t - Handler, called once per call that returned MC_OK */
typedef void (*mc_source_done_fn_t)(void *ctx,
				    const mc_source_result_t *result);

typedef struct mc_source_t mc_source_t;

/**
 * struct mc_source_ops_t - Functions that access a store
 *
 * Calls return MC_OK, or MC_ERR_FULL or MC_ERR_NO_MEMORY, after which the
 * handler is not called.
 *
 * @create: create a client whose calls run on @shard; NULL without memory
 * @destroy: cancel open calls and free the client; NULL is allowed
 * @list: read the records after the name @after; "" for the first page. With
 *	@allow_stale the store may answer with records that are seconds old
 * @watch: wait until records have changed after the revision @since, at most
 *	@wait ms
 * @poll: read the changes after the revision @since at once, beside an open
 *	watch; with @allow_stale they may be seconds old, which costs the store
 *	less
 * @cancel_watch: end the open watch of a kind without calling its handler
 * @decode: decode the response of a watch, or of a list, that another instance
 *	has relayed; @done is called before it returns
 * @register_instance: create the record of an instance, or with @replace
 *	replace it
 * @write_rollout_state: write the state of an order, if the order still has
 *	its revision
 */
typedef struct mc_source_ops_t {
	mc_source_t *(*create)(mc_shard_t *shard, const char *address);
	void (*destroy)(mc_source_t *source);
	mc_err_t (*list)(mc_source_t *source, mc_source_kind_t kind,
			 const char *after, bool allow_stale,
			 mc_source_done_fn_t done, void *ctx);
	mc_err_t (*watch)(mc_source_t *source, mc_source_kind_t kind,
			  uint64_t since, mc_ms_t wait,
			  mc_source_done_fn_t done, void *ctx);
	mc_err_t (*poll)(mc_source_t *source, mc_source_kind_t kind,
			 uint64_t since, bool allow_stale,
			 mc_source_done_fn_t done, void *ctx);
	void (*cancel_watch)(mc_source_t *source, mc_source_kind_t kind);
	void (*decode)(mc_source_t *source, mc_source_kind_t kind, bool is_list,
		       const char *raw, mc_source_done_fn_t done, void *ctx);
	mc_err_t (*register_instance)(mc_source_t *source,
				      const mc_source_instance_t *instance,
				      bool replace, mc_source_done_fn_t done,
				      void *ctx);
	mc_err_t (*write_rollout_state)(mc_source_t *source,
					const mc_rollout_order_t *order,
					mc_source_done_fn_t done, void *ctx);
} mc_source_ops_t;

#endif

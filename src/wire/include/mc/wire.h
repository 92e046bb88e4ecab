/*
 * Public header of the wire library: the messages between processes of the
 * system and their msgpack encoding. The library only encodes and decodes; its
 * callers make all decisions. Every message is one array [kind, field, ...];
 * the net library adds the length.
 */
#ifndef MC_WIRE_H
#define MC_WIRE_H

#include "mc/answer.h"
#include "mc/member.h"
#include "mc/move.h"

enum {
	/* Protocol version, sent in HELLO. */
	MC_WIRE_VERSION = 2,
	/* Bounds that the decoder enforces. */
	MC_WIRE_SUB_QUERIES_MAX = 4096,
	MC_WIRE_HITS_MAX = 10000,
	MC_WIRE_SNAPSHOTS_MAX = 64,
	MC_WIRE_REPORT_TARGETS_MAX = 4096,
	MC_WIRE_STRING_MAX = 1 << 20,
	MC_WIRE_ID_SIZE = 128,
	/* Kinds of store records, and bytes of text in one RELAY_CHANGES. */
	MC_WIRE_RELAY_KINDS_MAX = 16,
	MC_WIRE_RELAY_TEXT_MAX = 4 << 20,
	/* Items in one RELAY_EVIDENCE. */
	MC_WIRE_RELAY_EVIDENCE_MAX = 512,
	/* Number of request classes; class 0 is the most urgent. */
	MC_WIRE_CLASS_COUNT = 3,
};

/** enum mc_wire_kind_t - Kinds of messages */
typedef enum mc_wire_kind_t {
	MC_WIRE_HELLO = 1,
	MC_WIRE_QUERY,
	MC_WIRE_RESULT,
	MC_WIRE_CANCEL,
	MC_WIRE_REPORT,
	MC_WIRE_RUN,
	MC_WIRE_RUN_RESULT,
	MC_WIRE_MEMBER,
	MC_WIRE_CONFIG,
	MC_WIRE_CONFIG_DIGEST,
	MC_WIRE_CONFIG_REQUEST,
	MC_WIRE_MOVE,
	MC_WIRE_RELAY_STATE,
	MC_WIRE_RELAY_CHANGES,
	MC_WIRE_RELAY_EVIDENCE,
} mc_wire_kind_t;

/**
 * struct mc_wire_hello_t - First message of a front to a gather, and of a
 * subscriber to a relay
 * @version: MC_WIRE_VERSION
 * @address: address at which peers connect to the sender
 * @is_gather: the sender is a gather; false from fronts and subscribers
 *
 * A front sends it to a gather again when the configuration has changed, to get
 * the states of all targets.
 */
typedef struct mc_wire_hello_t {
	uint32_t version;
	const char *address;
	bool is_gather;
} mc_wire_hello_t;

/**
 * struct mc_wire_sub_query_t - Sub-query for one shard
 * @id: packed handle of the front, returned in the result
 * @target_key: key of the target
 * @shard: index of the shard in the layout
 * @is_hedge: duplicate of a sub-query that has no result yet
 */
typedef struct mc_wire_sub_query_t {
	uint64_t id;
	uint64_t target_key;
	uint32_t shard;
	bool is_hedge;
} mc_wire_sub_query_t;

/**
 * struct mc_wire_query_t - Sub-queries of one request for one service
 * @request: id of the request
 * @service: name of the service
 * @snapshot: id of the pinned snapshot
 * @query: the caller's query as JSON text
 * @limit: maximum number of hits per shard
 * @klass: class of the request, below MC_WIRE_CLASS_COUNT
 * @time_left: time until the deadline, less the transit time, ms
 * @sub_query_count: number of sub-queries
 * @sub_queries: the sub-queries
 */
typedef struct mc_wire_query_t {
	const char *request;
	const char *service;
	const char *snapshot;
	const char *query;
	uint32_t limit;
	uint32_t klass;
	mc_ms_t time_left;
	uint32_t sub_query_count;
	mc_wire_sub_query_t *sub_queries;
} mc_wire_query_t;

/**
 * struct mc_wire_result_t - Result of a sub-query
 * @id: id of the sub-query
 * @err: MC_OK, or why there is no result
 * @snapshot: id of the snapshot that the target read; "" with an error
 * @latency: time from sending the request to the target until its response, ms
 * @hit_count: number of hits
 * @hits: the hits; their @slot is not sent
 */
typedef struct mc_wire_result_t {
	uint64_t id;
	mc_err_t err;
	const char *snapshot;
	mc_ms_t latency;
	uint32_t hit_count;
	mc_hit_t *hits;
} mc_wire_result_t;

/** struct mc_wire_results_t - Results that became available together */
typedef struct mc_wire_results_t {
	uint32_t count;
	mc_wire_result_t *list;
} mc_wire_results_t;

/** struct mc_wire_cancel_t - Ids of sub-queries to cancel */
typedef struct mc_wire_cancel_t {
	uint32_t count;
	uint64_t *ids;
} mc_wire_cancel_t;

/**
 * struct mc_wire_target_t - State of a target, sent by the gather that owns it
 * @key: key of the target
 * @draining: the target accepts no new work because it will stop
 * @down: the target is unreachable or fails to answer
 * @reported: the target has reported its @snapshots
 * @snapshot_count: number of snapshots
 * @snapshots: ids of the snapshots that it can serve
 */
typedef struct mc_wire_target_t {
	uint64_t key;
	bool draining;
	bool down;
	bool reported;
	uint32_t snapshot_count;
	const char **snapshots;
} mc_wire_target_t;

/**
 * struct mc_wire_report_t - States of targets
 * @count: number of targets
 * @targets: all targets that one data shard of the sender owns and may send
 *	to, after HELLO and when it has become an owner; else one that changed
 */
typedef struct mc_wire_report_t {
	uint32_t count;
	mc_wire_target_t *targets;
} mc_wire_report_t;

/**
 * struct mc_wire_run_t - Request that must run at most once
 * @id: packed handle of the front, returned in the result
 * @request: id of the request
 * @key: the caller's idempotency key
 * @service: name of the service
 * @target_key: key of the target
 * @query: the caller's query as JSON text
 * @time_left: time until the deadline, less the transit time, ms
 */
typedef struct mc_wire_run_t {
	uint64_t id;
	const char *request;
	const char *key;
	const char *service;
	uint64_t target_key;
	const char *query;
	mc_ms_t time_left;
} mc_wire_run_t;

/**
 * struct mc_wire_run_result_t - Outcome of a request that must run at most once
 * @id: id of the request's RUN message
 * @err: MC_OK; an error kind that is marked as not run, if it certainly did not
 *	run; otherwise MC_ERR_OUTCOME_UNKNOWN
 * @result: the target's result as JSON text; "" with an error
 */
typedef struct mc_wire_run_result_t {
	uint64_t id;
	mc_err_t err;
	const char *result;
} mc_wire_run_result_t;

/**
 * struct mc_wire_config_t - Configuration, digest of one, or request for one
 * @version: version in the store
 * @text: canonical TOML; "" in a digest or a request
 * @sender_address: address at which peers connect to the sender
 * @age: time since the store confirmed @version as the newest, ms; -1 if it
 *	never has
 */
typedef struct mc_wire_config_t {
	uint64_t version;
	const char *text;
	const char *sender_address;
	mc_ms_t age;
} mc_wire_config_t;

/**
 * struct mc_wire_relay_state_t - State of an instance that relays changes
 * @watches_store: the instance watches all kinds in the store itself, not
 *	through an upstream, and the store has responded recently
 * @count: number of kinds of store records
 * @revisions: for each kind, the store revision up to which it has all changes
 * @complete_count: number of @complete_for; 0 if the sender doesn't know it
 * @complete_for: for each kind, up to how long after the receiver's HELLO had
 *	arrived it has all changes that the store acknowledged, ms; 0 if it
 *	hasn't had all since
 */
typedef struct mc_wire_relay_state_t {
	bool watches_store;
	uint32_t count;
	uint64_t *revisions;
	uint32_t complete_count;
	uint64_t *complete_for;
} mc_wire_relay_state_t;

/**
 * struct mc_wire_relay_changes_t - Relayed changes of store records
 * @record_kind: kind of the records
 * @after_revision: store revision after which the changes were made
 * @text: the changes as received from the store
 */
typedef struct mc_wire_relay_changes_t {
	uint32_t record_kind;
	uint64_t after_revision;
	const char *text;
} mc_wire_relay_changes_t;

/**
 * struct mc_wire_evidence_t - What an instance has seen of a target
 * @target: hash of the target's identity
 * @pace: how long its work takes, percent of the usual time; 0 if unknown
 * @silent: it has not responded for longer than it should
 * @age: how long ago that was seen, ms
 */
typedef struct mc_wire_evidence_t {
	uint32_t target;
	uint32_t pace;
	bool silent;
	uint32_t age;
} mc_wire_evidence_t;

/**
 * struct mc_wire_relay_evidence_t - Evidence passed between the instances of a
 * data centre
 * @count: number of @items, at most MC_WIRE_RELAY_EVIDENCE_MAX
 * @items: the items
 */
typedef struct mc_wire_relay_evidence_t {
	uint32_t count;
	mc_wire_evidence_t *items;
} mc_wire_relay_evidence_t;

/**
 * struct mc_wire_message_t - Message of any kind
 * @kind: selects the member of the union; CONFIG, CONFIG_DIGEST and
 *	CONFIG_REQUEST all use @config
 */
typedef struct mc_wire_message_t {
	mc_wire_kind_t kind;
	union {
		mc_wire_hello_t hello;
		mc_wire_query_t query;
		mc_wire_results_t results;
		mc_wire_cancel_t cancel;
		mc_wire_report_t report;
		mc_wire_run_t run;
		mc_wire_run_result_t run_result;
		mc_member_message_t member;
		mc_wire_config_t config;
		mc_move_digest_t move;
		mc_wire_relay_state_t relay_state;
		mc_wire_relay_changes_t relay_changes;
		mc_wire_relay_evidence_t relay_evidence;
	};
} mc_wire_message_t;

/**
 * mc_wire_encode() - Encode a message
 * @message: the message, within the bounds above; NULL strings count as ""
 * @data: receives the encoded bytes, to be freed with free()
 * @size: receives the number of bytes
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_wire_encode(const mc_wire_message_t *message, char **data,
			size_t *size);

/**
 * mc_wire_decode() - Decode a message received from a peer
 * @data: the encoded bytes; not needed after the call
 * @size: number of bytes
 * @message: receives the message with all that it points to, to be freed with
 *	mc_wire_free(); NULL on failure
 *
 * Decoded strings are zero-terminated and contain no other zero byte. Counts
 * above the bounds, missing or extra fields, wrong kinds and scores that are
 * not finite are refused.
 *
 * Return: MC_OK, or MC_ERR_BAD_FRAME or MC_ERR_NO_MEMORY on failure.
 */
mc_err_t mc_wire_decode(const char *data, size_t size,
			mc_wire_message_t **message);

/** mc_wire_free() - Free a decoded message; NULL is allowed */
void mc_wire_free(mc_wire_message_t *message);

#endif

/*
 * Public header of the wire library: the messages between the system's own
 * processes and their msgpack encoding. It decides nothing. Every message is
 * one array [kind, field, ...]; the net library adds the length.
 */
#ifndef MC_WIRE_H
#define MC_WIRE_H

#include "mc/answer.h"
#include "mc/member.h"
#include "mc/move.h"

enum {
	/* Version of the protocol, in HELLO. */
	MC_WIRE_VERSION = 1,
	/* Bounds that a decoder keeps to. */
	MC_WIRE_SUB_QUERIES_MAX = 4096,
	MC_WIRE_HITS_MAX = 10000,
	MC_WIRE_SNAPSHOTS_MAX = 64,
	MC_WIRE_REPORT_TARGETS_MAX = 4096,
	MC_WIRE_STRING_MAX = 1 << 20,
	MC_WIRE_ID_SIZE = 128,
	/* Kinds of records that news are of, and bytes of one piece of news. */
	MC_WIRE_RELAY_KINDS_MAX = 16,
	MC_WIRE_RELAY_TEXT_MAX = 4 << 20,
	/* Classes of requests, the most urgent is 0. */
	MC_WIRE_CLASS_COUNT = 3,
};

/** enum mc_wire_kind_t - kinds of messages */
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
} mc_wire_kind_t;

/**
 * struct mc_wire_hello_t - first message on a link, both ways
 * @version: MC_WIRE_VERSION
 * @address: where peers reach the sender
 * @gather: the sender is a gather; else a front
 */
typedef struct mc_wire_hello_t {
	uint32_t version;
	const char *address;
	bool is_gather;
} mc_wire_hello_t;

/**
 * struct mc_wire_sub_query_t - one shard's part of a query
 * @id: the front's packed handle, echoed
 * @target: key of the target
 * @shard: shard of the layout
 * @hedge: additional one against a straggler
 */
typedef struct mc_wire_sub_query_t {
	uint64_t id;
	uint64_t target_key;
	uint32_t shard;
	bool is_hedge;
} mc_wire_sub_query_t;

/**
 * struct mc_wire_query_t - sub-queries of one request and one service
 * @request: the request's id
 * @service: name of the service
 * @snapshot: pinned snapshot id
 * @query: the caller's query as JSON text
 * @limit: most hits of a shard
 * @klass: class of the request, below MC_WIRE_CLASSES
 * @time_left: until the deadline, less what travel takes, ms
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
 * struct mc_wire_result_t - a sub-query's result
 * @id: as in the sub-query
 * @err: MC_OK, or why there is none
 * @snapshot: id that the target echoed; "" with an error
 * @latency: time at the target, ms
 * @hit_count: number of hits
 * @hits: hits; their slots are not sent
 */
typedef struct mc_wire_result_t {
	uint64_t id;
	mc_err_t err;
	const char *snapshot;
	mc_ms_t latency;
	uint32_t hit_count;
	mc_hit_t *hits;
} mc_wire_result_t;

/** struct mc_wire_results_t - results that became ready together */
typedef struct mc_wire_results_t {
	uint32_t count;
	mc_wire_result_t *list;
} mc_wire_results_t;

/** struct mc_wire_cancel_t - sub-queries that are not wanted any more */
typedef struct mc_wire_cancel_t {
	uint32_t count;
	uint64_t *ids;
} mc_wire_cancel_t;

/**
 * struct mc_wire_target_t - what a gather knows of a target that it owns
 * @target: key of the target
 * @draining: it leaves
 * @down: it answers nothing
 * @reported: @snapshots is what it reported; else it reported nothing yet
 * @snapshot_count: number of snapshots
 * @snapshots: ids that it can serve
 */
typedef struct mc_wire_target_t {
	uint64_t key;
	bool draining;
	bool down;
	bool reported;
	uint32_t snapshot_count;
	const char **snapshots;
} mc_wire_target_t;

/** struct mc_wire_report_t - changed states of targets; all of them at first */
typedef struct mc_wire_report_t {
	uint32_t count;
	mc_wire_target_t *targets;
} mc_wire_report_t;

/**
 * struct mc_wire_run_t - a request that may run only once
 * @id: the front's packed handle, echoed
 * @request: the request's id
 * @key: the caller's idempotency key
 * @service: name of the service
 * @target: key of the target
 * @query: the caller's body as JSON text
 * @time_left: ms
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
 * struct mc_wire_run_result_t - its outcome
 * @id: as in the run
 * @err: MC_OK; a kind with "not run" if that is certain; else
 *	MC_ERR_OUTCOME_UNKNOWN
 * @result: the target's result as JSON text; "" with an error
 */
typedef struct mc_wire_run_result_t {
	uint64_t id;
	mc_err_t err;
	const char *result;
} mc_wire_run_result_t;

/**
 * struct mc_wire_config_t - a configuration; also a digest or a request
 * @version: the store's version
 * @text: canonical TOML; "" in a digest or a request
 * @from: where peers reach the sender
 * @age: time since the store confirmed @version as the newest, ms; -1 when it
 *	never did
 */
typedef struct mc_wire_config_t {
	uint64_t version;
	const char *text;
	const char *sender_address;
	mc_ms_t age;
} mc_wire_config_t;

/**
 * struct mc_wire_news_state_t - what an instance that passes news on knows
 * @fresh: it hears the store itself, and did so just now
 * @count: number of kinds of records
 * @revisions: the store's revision up to which it knows each kind
 */
typedef struct mc_wire_relay_state_t {
	bool watches_store;
	uint32_t count;
	uint64_t *revisions;
} mc_wire_relay_state_t;

/**
 * struct mc_wire_news_t - changes as the store told them
 * @record_kind: kind of the records
 * @above: revision of the store above which they are
 * @text: the store's own words
 */
typedef struct mc_wire_relay_changes_t {
	uint32_t record_kind;
	uint64_t after_revision;
	const char *text;
} mc_wire_relay_changes_t;

/**
 * struct mc_wire_message_t - any message
 * @kind: which member of the union holds it: CONFIG, CONFIG_DIGEST and
 *	CONFIG_REQUEST share @config
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
	};
} mc_wire_message_t;

/**
 * mc_wire_encode() - bytes of a message
 * @message: the message, within the bounds above; NULL strings count as ""
 * @data: receives the bytes, to be freed with free()
 * @size: receives their number
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_wire_encode(const mc_wire_message_t *message, char **data,
			size_t *size);

/**
 * mc_wire_decode() - message of bytes from a peer
 * @data: the bytes; not needed after the call
 * @size: their number
 * @message: receives the message with all that it points to, to be freed with
 *	mc_wire_free()
 *
 * Strings are zero-terminated and hold no other zero byte. Counts above the
 * bounds, missing or extra fields, wrong kinds and scores that are not
 * finite are refused.
 *
 * Return: MC_OK, MC_ERR_BAD_FRAME, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_wire_decode(const char *data, size_t size,
			mc_wire_message_t **message);

/** mc_wire_free() - free a decoded message; NULL is allowed */
void mc_wire_free(mc_wire_message_t *message);

#endif

/*
 * Private header of the gather library: the gather's state in one data shard
 * and the functions that its source files call in each other.
 *
 * A data shard (mc_shard_t) is a thread of this process with its own state. A
 * target belongs to the data shard that its key selects; a link belongs to the
 * one that accepted it. Data shards pass sub-queries and results to each other
 * with mc_shard_post(). The shard of a sub-query, however, is a part of a
 * service's index.
 */
#ifndef MC_GATHER_PRIVATE_H
#define MC_GATHER_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <jansson.h>

#include "mc/gather.h"
#include "mc/limit.h"
#include "mc/route.h"

enum {
	/* Maximum number of sub-queries in one HTTP request to a target. */
	GATHER_BATCH_MAX = 16,
	/* Maximum number of hits that a sub-query may request. */
	GATHER_HITS_MAX = 1 << 16,
	GATHER_SUB_QUERIES_MAX = 1 << 18,
	GATHER_BATCHES_MAX = GATHER_SUB_QUERIES_MAX,
	GATHER_RUNS_MAX = 1 << 16,
	GATHER_TARGETS_MAX = 4096,
	GATHER_START_ID_SIZE = 64,
};

typedef struct gather_t gather_t;

/*
 * Where replies to a front are sent: its link and the data shard that the link
 * belongs to. It is compared and hashed as bytes, so there is no padding.
 */
typedef struct {
	uint32_t shard;
	uint32_t unused;
	mc_handle_t link;
} reply_route_t;

/*
 * A decoded message that several data shards read; freed with the last
 * reference.
 */
typedef struct {
	uint32_t ref_count;
	mc_wire_message_t *message;
} shared_message_t;

/* Queue of sub-queries of one class, oldest first, linked by their @next. */
typedef struct {
	mc_handle_t first;
	mc_handle_t last;
	uint32_t count;
} sub_query_queue_t;

/* A target of this gather's data centre that belongs to this data shard. */
typedef struct {
	gather_t *gather;
	mc_handle_t handle;
	uint64_t key;
	char address[MC_ADDRESS_SIZE];
	/* This gather is one of the target's owners and may send to it. */
	bool owned;
	/* Its data centre is out of service. */
	bool data_center_out;
	bool draining;
	/* Unreachable, or its reports failed; see report_record_failure(). */
	bool down;
	/* It has reported its snapshots at least once. */
	bool reported;
	/* Failed report requests in a row. */
	uint32_t failures;
	mc_limiter_t *limiter;
	/* Sub-queries that wait for the limiter, by class. */
	sub_query_queue_t queues[MC_CLASS_COUNT];
	/* Number of sub-queries in all queues. */
	uint32_t waiting;
	/* It is in the gather's @flush_targets. */
	bool flush_pending;
	/* Fires when the next waiting sub-query has waited long enough. */
	mc_handle_t expiry_timer;
	mc_handle_t report_timer;
	/* A report was requested and its response is awaited. */
	bool report_in_flight;
	/* Ids of the snapshots that it reported. */
	uint32_t snapshot_count;
	char *snapshots[MC_WIRE_SNAPSHOTS_MAX];
} target_t;

/*
 * Key by which a cancellation finds its sub-query: the front's link and the id
 * that the front gave the sub-query.
 */
typedef struct {
	reply_route_t route;
	uint64_t id;
} sub_key_t;

/* A sub-query from its arrival until its target's slot is free again. */
typedef struct {
	mc_handle_t handle;
	sub_key_t key;
	/* The message that it arrived in. */
	shared_message_t *shared;
	mc_handle_t target;
	/* Index of the shard in the layout. */
	uint32_t shard;
	mc_request_class_t klass;
	mc_ms_t deadline;
	/*
	 * If it still waits at this time, it is refused, so that its front can
	 * try another replica.
	 */
	mc_ms_t wait_until;
	/* Next in the queue of the same target and class. */
	mc_handle_t next;
	/* It was taken from the queue into a batch. */
	bool sent;
	/*
	 * Its result is dropped. It keeps its place in the queue, or its slot
	 * of the limiter, until it ends.
	 */
	bool canceled;
} sub_query_t;

/* Sub-queries that were sent to a target in one HTTP request. */
typedef struct {
	gather_t *gather;
	mc_handle_t handle;
	mc_handle_t target;
	mc_ms_t sent_at;
	uint32_t count;
	mc_handle_t subs[GATHER_BATCH_MAX];
} batch_t;

/* A run that was sent to a target. */
typedef struct {
	gather_t *gather;
	mc_handle_t handle;
	reply_route_t route;
	/* The id that the front gave it. */
	uint64_t id;
	mc_handle_t target;
	mc_ms_t sent_at;
} run_t;

struct gather_t {
	mc_process_t *process;
	mc_shard_t *shard;
	mc_log_t *log;
	apr_pool_t *pool;
	const mc_view_t *view;
	mc_ms_t view_confirmed_at;
	/*
	 * The view is too old to act on; fronts' links were closed and waiting
	 * sub-queries refused.
	 */
	bool paused;
	/* The listener was closed in a planned stop; new work is refused. */
	bool closing;
	mc_handle_t listener;
	mc_table_t *targets;
	apr_hash_t *targets_by_key;
	mc_table_t *sub_queries;
	/* Sub-queries that were not canceled, by sub_key_t. */
	apr_hash_t *sub_queries_by_key;
	/* Fires when newly owned targets are to be reported to fronts. */
	mc_handle_t announce_timer;
	mc_table_t *batches;
	mc_table_t *runs;
	/* Run requests to targets whose responses are awaited. */
	uint32_t runs_in_flight;
	/* Search requests to targets whose responses are awaited. */
	uint32_t batches_in_flight;
	/* Links on which a front's HELLO has arrived. */
	mc_handle_t fronts[MC_LINKS_MAX];
	uint32_t front_count;
	/* Targets whose queues are flushed at the end of this turn. */
	mc_handle_t flush_targets[GATHER_TARGETS_MAX];
	uint32_t flush_count;
};

/* shared_message.c: reference counts; these functions may run on any thread. */
shared_message_t *shared_message_ref(shared_message_t *shared);
void shared_message_unref(shared_message_t *shared);

/* front_links.c: links from fronts and peers, and the messages on them. */
mc_err_t front_links_listen(gather_t *gather);
/* Returns this process's gather state in another data shard. */
gather_t *gather_on_shard(const gather_t *gather, uint32_t shard);
/* Whether the view was confirmed recently enough to act on it. */
bool gather_view_is_fresh(const gather_t *gather);
/*
 * Checks whether the view has become too old, as after a pause of this process.
 * If so, messages of fronts and waiting sub-queries may be of any age, so it
 * closes the fronts' links, refuses what waits and returns true.
 */
bool front_links_check_pause(gather_t *gather);
/* Returns the data shard that a target belongs to. */
uint32_t gather_target_shard(const gather_t *gather, uint64_t target);

/* target.c: the targets of this data shard and their ownership. */
void targets_update(gather_t *gather);
void targets_destroy(gather_t *gather);
target_t *target_find(gather_t *gather, uint64_t key);
/* Returns MC_OK if the target can get new work, else the reason. */
mc_err_t target_check_ready(const target_t *target);

/* report.c: polls targets for reports, and reports their states to fronts. */
void report_start_polling(gather_t *gather, target_t *target);
/* Applies a target's report, sent alone or as part of a response. */
void report_apply(gather_t *gather, target_t *target, const json_t *report);
void report_mark_up(gather_t *gather, target_t *target);
/*
 * Counts a failed request to the target. It is marked down at once if it was
 * @unreachable, so that no byte of the request was sent, or else after
 * REPORT_FAILURES_MAX failed report requests in a row.
 */
void report_record_failure(gather_t *gather, target_t *target,
			   bool unreachable);
/* Sends the state of one target to all fronts, if they may send it work. */
void report_broadcast(gather_t *gather, const target_t *target);
/* Sends the states of all targets that may get work to all fronts. */
void report_broadcast_all(gather_t *gather);
/* Sends the states of all targets that may get work to one front. */
void report_send_all(gather_t *gather, reply_route_t route);

/* dispatch.c: queues sub-queries and sends them to targets in batches. */
void dispatch_enqueue(gather_t *gather, sub_query_t *sub, target_t *target);
/* Has the target's queues flushed at the end of this turn of the loop. */
void dispatch_schedule_flush(gather_t *gather, target_t *target);
/* Refuses all sub-queries that wait for a target. */
void dispatch_refuse_all(gather_t *gather, target_t *target, mc_err_t reason);
void sub_query_refuse(gather_t *gather, sub_query_t *sub, mc_err_t reason);
void sub_query_remove(gather_t *gather, sub_query_t *sub);

/* queue.c: queues of waiting sub-queries; the most urgent class goes first. */
void queue_push(gather_t *gather, target_t *target, sub_query_t *sub);
/*
 * Returns the sub-query to send next, or NULL if none waits. Sub-queries before
 * it that were canceled are removed; those that have waited too long are
 * refused.
 */
sub_query_t *queue_peek(gather_t *gather, target_t *target);
/* Removes and returns the oldest sub-query of a class; NULL if none waits. */
sub_query_t *queue_pop(gather_t *gather, target_t *target,
		       mc_request_class_t klass);
/*
 * Removes and returns the oldest sub-query of the least urgent class that has
 * one, if that class is less urgent than @klass; else returns NULL.
 */
sub_query_t *queue_pop_below(gather_t *gather, target_t *target,
			     mc_request_class_t klass);
/* Removes canceled sub-queries, and refuses those that waited too long. */
void queue_expire(gather_t *gather, target_t *target);
/* Returns when the next sub-query expires; MC_MS_NEVER if none waits. */
mc_ms_t queue_next_expiry(const gather_t *gather, const target_t *target);

/*
 * target_http.c: encodes requests to targets and decodes their responses. The
 * encoded bodies are freed by the caller; NULL without memory.
 */
char *target_http_encode_search(gather_t *gather, const mc_handle_t *subs,
				uint32_t count);
char *target_http_encode_run(const mc_wire_run_t *run);
char *target_http_encode_cancel(gather_t *gather, const mc_handle_t *subs,
				uint32_t count);
/*
 * Sends a request, with @body or without (NULL). @timeout: ms; @once: the
 * request gets a connection of its own and is never sent again.
 */
mc_err_t target_http_send(gather_t *gather, const target_t *target,
			  const char *path, const char *body, mc_ms_t timeout,
			  bool once, mc_http_done_fn_t done, void *ctx,
			  mc_handle_t *handle);
/* Finds one sub-query's entry in a response; NULL if there is none. */
const json_t *target_http_find_entry(const json_t *answers, const char *request,
				     uint32_t shard);
/*
 * Decodes an entry. The strings of @result belong to @entry, and its hits are
 * stored in @hits.
 */
void target_http_decode_result(const json_t *entry, mc_wire_result_t *result,
			       mc_hit_t *hits, uint32_t max_hits);

/* reply.c: sends results to the front's link, from any data shard. */
void gather_reply_results(gather_t *gather, reply_route_t route,
			  mc_wire_result_t *results, uint32_t count);
void gather_reply_error(gather_t *gather, reply_route_t route, uint64_t id,
			mc_err_t err);
void gather_reply_message(gather_t *gather, reply_route_t route,
			  const mc_wire_message_t *message);
/* Sends an encoded message; takes ownership of @data. */
void gather_reply_bytes(gather_t *gather, reply_route_t route, char *data,
			size_t size);

/* cancel.c: cancels sub-queries whose results are no longer needed. */
void cancel_sub_queries(gather_t *gather, reply_route_t route,
			const uint64_t *ids, uint32_t count);
/* Requests the target to stop executing sub-queries; ignores the response. */
void cancel_at_target(gather_t *gather, const target_t *target,
		      const mc_handle_t *subs, uint32_t count);

/* run.c: requests that must run at most once. */
void run_start(gather_t *gather, reply_route_t route, shared_message_t *shared);

#endif

/*
 * A gather's state in one data shard, as the files of this library share it.
 * A target belongs to one shard, by its key; a link belongs to the shard that
 * accepted it. Sub-queries and results pass between shards by their inboxes.
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
	/* Most sub-queries of one HTTP request. */
	GATHER_BATCH_MAX = 16,
	/* Most hits that a sub-query may ask for. */
	GATHER_HITS_MAX = 1 << 16,
	GATHER_SUB_QUERIES_MAX = 1 << 18,
	GATHER_TARGETS_MAX = 4096,
	GATHER_START_ID_SIZE = 64,
};

typedef struct gather_t gather_t;

/* Names a front's link among all shards of this process. */
typedef struct {
	uint32_t shard;
	uint32_t unused;
	mc_handle_t link;
} route_t;

/* A decoded message whose strings several shards use. */
typedef struct {
	uint32_t references;
	mc_wire_message_t *message;
} shared_t;

/* Sub-queries of one class, oldest first. */
typedef struct {
	mc_handle_t first;
	mc_handle_t last;
	uint32_t count;
} queue_t;

typedef struct {
	gather_t *gather;
	mc_handle_t handle;
	uint64_t key;
	char address[MC_ADDRESS_SIZE];
	bool owned;
	bool out;
	bool draining;
	bool down;
	bool reported;
	uint32_t failures;
	mc_limiter_t *limiter;
	/* Sub-queries that wait for the limiter, by class. */
	queue_t queues[MC_CLASS_COUNT];
	uint32_t waiting;
	bool flush_pending;
	mc_handle_t expiry_timer;
	mc_handle_t report_timer;
	bool report_open;
	uint32_t snapshot_count;
	char *snapshots[MC_WIRE_SNAPSHOTS_MAX];
} target_t;

/* Finds a sub-query for its cancellation. */
typedef struct {
	route_t route;
	uint64_t id;
} sub_key_t;

typedef struct {
	mc_handle_t handle;
	sub_key_t key;
	shared_t *shared;
	mc_handle_t target;
	uint32_t shard;
	mc_request_class_t klass;
	mc_ms_t deadline;
	/* It is refused if it still waits then, so that others may try it. */
	mc_ms_t wait_until;
	/* Next one that waits for the same target in the same class. */
	mc_handle_t next;
	bool sent;
	/* Its result is not wanted; it keeps its place until it ends. */
	bool canceled;
} sub_query_t;

struct gather_t {
	mc_process_t *process;
	mc_shard_t *shard;
	mc_log_t *log;
	apr_pool_t *pool;
	const mc_view_t *view;
	mc_ms_t confirmed;
	/* The view is too old to be acted on, and what waited was dropped. */
	bool paused;
	bool closing;
	mc_handle_t listener;
	mc_table_t *targets;
	apr_hash_t *targets_by_key;
	mc_table_t *sub_queries;
	apr_hash_t *sub_queries_by_key;
	mc_handle_t announce_timer;
	uint32_t runs;
	/* Requests to targets whose answers are awaited. */
	uint32_t batches;
	/* Links that said they are fronts'. */
	mc_handle_t fronts[MC_LINKS_MAX];
	uint32_t front_count;
	/* Targets to be looked at before the end of this turn. */
	mc_handle_t dirty[GATHER_TARGETS_MAX];
	uint32_t dirty_count;
};

/* shared.c: any thread. */
shared_t *shared_ref(shared_t *shared);
void shared_unref(shared_t *shared);

/* intake.c: links from fronts and peers, and their messages. */
mc_err_t intake_listen(gather_t *gather);
gather_t *gather_of(const gather_t *gather, uint32_t shard);
/* Whether the view is recent enough to be acted on. */
bool gather_fresh(const gather_t *gather);
/*
 * After a pause of this process, what fronts sent and what waits may be of any
 * age: closes their links and refuses it. Returns whether it did so.
 */
bool intake_check_pause(gather_t *gather);
/* The shard that a target belongs to. */
uint32_t gather_shard_of(const gather_t *gather, uint64_t target);

/* target.c: the targets of this shard. */
void targets_update(gather_t *gather);
void targets_destroy(gather_t *gather);
target_t *target_find(gather_t *gather, uint64_t key);
/* Whether new work may go to the target; else why not. */
mc_err_t target_admits(const target_t *target);

/* report.c: what targets say of themselves, and telling fronts. */
void report_start(gather_t *gather, target_t *target);
void report_take(gather_t *gather, target_t *target, const json_t *report);
void report_reached(gather_t *gather, target_t *target);
void report_failed(gather_t *gather, target_t *target, bool refused);
void report_broadcast(gather_t *gather, const target_t *target);
/* Tells all fronts about all targets of this shard. */
void report_broadcast_all(gather_t *gather);
/* Tells a new front about all targets of this shard. */
void report_all(gather_t *gather, route_t route);

/* dispatch.c: from the queue of a target into batches. */
void dispatch_add(gather_t *gather, sub_query_t *sub, target_t *target);
void dispatch_plan(gather_t *gather, target_t *target);
/* Refuses all that waits for a target. */
void dispatch_refuse(gather_t *gather, target_t *target, mc_err_t reason);
void sub_query_refuse(gather_t *gather, sub_query_t *sub, mc_err_t reason);
void sub_query_remove(gather_t *gather, sub_query_t *sub);

/* queue.c: what waits for a target; the most urgent class goes first. */
void queue_push(gather_t *gather, target_t *target, sub_query_t *sub);
/* The next one to be sent; NULL if none waits. What is late is refused. */
sub_query_t *queue_head(gather_t *gather, target_t *target);
/* Takes the oldest one of a class; NULL if none waits. */
sub_query_t *queue_pop(gather_t *gather, target_t *target,
		       mc_request_class_t klass);
/* Takes one that is less urgent than @klass; NULL if there is none. */
sub_query_t *queue_pop_below(gather_t *gather, target_t *target,
			     mc_request_class_t klass);
/* Refuses what has waited long enough. */
void queue_expire(gather_t *gather, target_t *target);
/* When the next one has waited long enough; MC_MS_NEVER if none waits. */
mc_ms_t queue_next_expiry(const gather_t *gather, const target_t *target);

/* target_http.c: the encoding of requests to targets. */
char *target_http_search(gather_t *gather, const mc_handle_t *subs,
			 uint32_t count);
char *target_http_run(const mc_wire_run_t *run);
char *target_http_cancel(gather_t *gather, const mc_handle_t *subs,
			 uint32_t count);
mc_err_t target_http_send(gather_t *gather, const target_t *target,
			  const char *path, const char *body, mc_ms_t timeout,
			  bool once, mc_http_done_fn_t done, void *ctx,
			  mc_handle_t *handle);
/* The answer's entry of one sub-query; NULL if there is none. */
const json_t *target_http_entry(const json_t *answers, const char *request,
				uint32_t shard);
/* Result of an entry; its strings and hits belong to @entry and @hits. */
void target_http_result(const json_t *entry, mc_wire_result_t *result,
			mc_hit_t *hits, uint32_t max_hits);

/* reply.c: results on their way back to the front's link. */
void gather_reply_results(gather_t *gather, route_t route,
			  mc_wire_result_t *results, uint32_t count);
void gather_reply_error(gather_t *gather, route_t route, uint64_t id,
			mc_err_t err);
void gather_reply_message(gather_t *gather, route_t route,
			  const mc_wire_message_t *message);
void gather_reply_bytes(gather_t *gather, route_t route, char *data,
			size_t size);

/* cancel.c: sub-queries whose results are not wanted any more. */
void cancel_sub_queries(gather_t *gather, route_t route, const uint64_t *ids,
			uint32_t count);
/* Asks the target to break off; it is not awaited. */
void cancel_at_target(gather_t *gather, const target_t *target,
		      const mc_handle_t *subs, uint32_t count);

/* run.c: requests that may run only once. */
void run_start(gather_t *gather, route_t route, shared_t *shared);

#endif

/*
 * A tier's state in one data shard, as the files of this library share it.
 * Everything here is guarded by the shard's lock.
 */
#ifndef MC_TIER_PRIVATE_H
#define MC_TIER_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <sys/queue.h>

#include "mc/retry_decision.h"
#include "mc/replica_isolation.h"
#include "mc/retry_window.h"
#include "mc/registry.h"
#include "mc/discovery.h"
#include "mc/runtime.h"
#include "mc/token_bucket.h"
#include "mc/records.h"
#include "mc/replica.h"
#include "mc/retry.h"
#include "mc/retry_elapsed.h"
#include "mc/tier.h"
#include "metrics.h"

enum {
	TIER_REQUESTS_MAX = 16384,
	TIER_TRIES_MAX = 1 << 20,
	TIER_LINKS_MAX = 16384,
	/* Ranks of routes that are told apart; the last one holds the rest. */
	TIER_RANKS = 8,
	/* A request that has waited so long for a target, longer than a pause
	 * of its own takes, says that it may be out of reach, ms. */
	TIER_SILENT_MS = 400,
	/* Targets that one part of a request remembers. */
	TIER_TRIED_MAX = 6,
};

typedef struct tier_t tier_t;
typedef struct request_t request_t;
typedef struct part_t part_t;

TAILQ_HEAD(waiting_t, part_t);
TAILQ_HEAD(links_t, link_t);
TAILQ_HEAD(tries_t, try_t);

/*
 * What is known of the requests of one route, by its name: how long their
 * parts usually take, and most of them.
 */
typedef struct {
	mc_quantile_t usual;
	mc_quantile_t high;
	/* The last request was refused for want of reach. */
	bool lacks;
	/* By how much answers at the goal leave late, ms. */
	mc_quantile_t late;
	mc_retry_elapsed_t spent;
	metrics_row_t *metrics;
} book_t;

/* A service, whether or not the map in force names it. */
typedef struct {
	tier_t *tier;
	mc_handle_t handle;
	char name[MC_REGISTRY_NAME_SIZE];
	uint32_t target_count;
	uint32_t target_capacity;
	mc_handle_t *targets;
	/* Connections that this shard may have to each target. */
	uint32_t links_max;
	/* Requests a second that this shard may send to a cold target; 0 when
	 * a cold target bears what a warm one does. */
	double cold_rate;
	mc_retry_window_t extras;
	uint32_t waiting_count;
	struct waiting_t waiting[TIER_RANKS];
	mc_handle_t timer;
} service_t;

/* A target that the world names, or that has connections left. */
typedef struct {
	mc_handle_t handle;
	mc_handle_t service;
	mc_target_entry_t entry;
	bool listed;
	/* Another target has its address. */
	bool replaced;
	bool local;
	bool leaving;
	bool out;
	mc_ms_t cold_until;
	mc_token_bucket_t pace;
	mc_replica_health_t health;
	/* When it last answered anything or took a connection, ms. */
	mc_ms_t heard;
	/* Since when it says nothing at all; before @heard when that is over.
	 */
	mc_ms_t missed;
	/* When that was last found, ms. */
	mc_ms_t missed_last;
	/* When a connection last was opened only to see whether that works. */
	mc_ms_t probed;
	uint32_t link_count;
	struct links_t idle;
	/* Requests under way, the oldest first. */
	struct tries_t tries;
	uint32_t in_flight;
	/* Most of those. */
	uint32_t load_max;
	/* Requests of others, from its last report. */
	uint32_t others;
	mc_ms_t reported;
} target_t;

/* A connection to a target; it carries one request at a time. */
typedef struct link_t {
	tier_t *tier;
	mc_handle_t handle;
	mc_handle_t target;
	mc_handle_t connection;
	mc_handle_t sent;
	bool open;
	bool is_idle;
	/* It was opened to see whether that works. */
	bool probes;
	/* Another's answer came on it: it is closed after its request. */
	bool spoiled;
	uint32_t uses;
	mc_ms_t idle_until;
	mc_handle_t timer;
	TAILQ_ENTRY(link_t) entry;
} link_t;

/* A part of a request that was sent to a target. */
typedef struct try_t {
	mc_handle_t handle;
	mc_handle_t request;
	uint32_t part;
	mc_handle_t target;
	mc_handle_t link;
	mc_ms_t sent_at;
	double usual;
	bool extra;
	TAILQ_ENTRY(try_t) of_request;
	TAILQ_ENTRY(try_t) of_target;
} try_t;

typedef enum {
	PART_NEW,
	PART_WAITS,
	PART_SENT,
	PART_IN,
	PART_OUT,
} part_state_t;

/* The part of one service in a request's answer. */
struct part_t {
	request_t *request;
	uint32_t index;
	mc_handle_t service;
	part_state_t state;
	bool hedged;
	bool paid_first;
	mc_ms_t waits_since;
	uint32_t open;
	mc_retry_attempts_t tries;
	mc_ms_t sent_at;
	mc_err_t reason;
	uint32_t tried_count;
	mc_handle_t tried[TIER_TRIED_MAX];
	TAILQ_ENTRY(part_t) entry;
};

/* A caller's request from its arrival to its answer. */
struct request_t {
	tier_t *tier;
	mc_handle_t handle;
	mc_handle_t caller;
	const mc_routemap_t *map;
	const mc_routemap_route_t *route;
	book_t *book;
	mc_h1_message_t message;
	mc_tier_request_info_t call;
	/* Request line and header lines that all targets get. */
	char *head;
	size_t head_size;
	mc_ms_t begun;
	mc_ms_t goal_at;
	mc_ms_t end_at;
	mc_handle_t timer;
	bool repeatable;
	/* A target may have run it, or a part of it. */
	bool may_have_run;
	uint32_t hedges;
	uint32_t sends;
	mc_records_progress_t coming;
	uint32_t part_count;
	part_t *parts;
	mc_records_t records;
	/* Latencies of parts that are in, of a request to several services. */
	uint32_t latency_count;
	mc_ms_t *latencies;
	char *signatures;
	size_t signatures_size;
	size_t signatures_capacity;
	struct tries_t tries;
};

/* The process: what all data shards share and never changes. */
typedef struct {
	mc_tier_params_t params;
	mc_settings_t settings;
	mc_runtime_t *host;
	mc_discovery_t *follow;
	int callers;
	int ready;
	int metrics;
	int64_t settings_changed;
	metrics_t metrics_rows;
	/* A bit for each data shard that is cut off from too many targets. */
	uint64_t cut_off_shards;
} tier_process_t;

struct tier_t {
	tier_process_t *process;
	mc_shard_t *shard;
	mc_log_t *log;
	const mc_tier_protocol_t *dialect;
	mc_h1_t *h1;
	mc_h1_t *ready;
	mc_h1_t *metrics;
	const mc_registry_view_t *world;
	/* Services by row of the world's map. */
	mc_handle_t *rows;
	uint32_t instances;
	/* Extra requests: of all instances together, and this shard's part. */
	mc_retry_window_limit_t extras_all;
	mc_retry_window_limit_t extras;
	bool leaving;
	mc_replica_isolation_t belief;
	/* Until when the belief is used without a look, ms. */
	mc_ms_t believed_until;
	mc_handle_t probe_timer;
	/* A point that moves evenly over [0, 1), for choices by weight. */
	double spread;
	mc_table_t *services;
	mc_table_t *targets;
	mc_table_t *links;
	mc_table_t *tries;
	mc_table_t *requests;
	apr_pool_t *pool;
	apr_hash_t *service_names;
	apr_hash_t *target_ids;
	apr_hash_t *books;
};

/* world.c: services and targets as the published world has them */

/** world_adopt() - take @world into force; the tier's to unref */
void world_adopt(tier_t *tier, const mc_registry_view_t *world);

/** world_extras() - the budget of extra requests has changed */
void world_extras(tier_t *tier, const mc_settings_t *settings);

/** world_book() - the book of a route; NULL without memory */
book_t *world_book(tier_t *tier, const mc_routemap_route_t *route);

/** world_target_done() - forget a target that nothing uses any more */
void world_target_done(tier_t *tier, target_t *target);

/* pool.c: connections to targets */

/** pool_room() - whether one more request can leave for @target now */
bool pool_room(tier_t *tier, const service_t *service, const target_t *target);

/**
 * pool_take() - a connection for one request
 * @fresh: one that was never used
 *
 * Return: NULL when there is no room or no connection could be begun.
 */
link_t *pool_take(tier_t *tier, const service_t *service, target_t *target,
		  bool fresh);

/** pool_probe() - connect without a request, to see whether that works */
void pool_probe(tier_t *tier, target_t *target);

/** target_missed() - a target took no connection or did not answer */
void target_missed(tier_t *tier, target_t *target);

/** pool_drop() - close a connection, with what it carries */
void pool_drop(tier_t *tier, link_t *link);

/** pool_close_idle() - close a target's idle connections */
void pool_close_idle(tier_t *tier, target_t *target);

/* choice.c */

/** choice_target() - the target for a part, or NULL */
target_t *choice_target(tier_t *tier, const part_t *part);

/** choice_any() - whether some target could get the part, now or later */
bool choice_any(tier_t *tier, const part_t *part);

/* send.c: one part at one target */

/** send_part() - send a part to a target; false when none can take it now */
bool send_part(tier_t *tier, part_t *part, bool extra);

/** send_cancel() - give up what was sent; the target may go on with it */
void send_cancel(tier_t *tier, try_t *sent);

/** send_opened() - what waited for its connection leaves now */
void send_opened(tier_t *tier, const link_t *link);

/** send_answered() - a target answered; false when the answer is another's */
bool send_answered(tier_t *tier, link_t *link, try_t *sent,
		   const mc_h1_message_t *message);

/** send_broken() - the connection of what was sent is gone */
void send_broken(tier_t *tier, try_t *sent, bool left);

/** service_wake() - let waiting parts leave while there is room */
void service_wake(tier_t *tier, service_t *service);

/* request.c: a request's life */

/** request_begin() - a whole request has arrived */
void request_begin(tier_t *tier, mc_handle_t caller,
		   const mc_h1_message_t *message, mc_ms_t first_byte);

/** request_gone() - its caller has gone */
void request_gone(tier_t *tier, mc_handle_t caller);

/** request_part_in() - a target has answered @part with success */
void request_part_in(request_t *request, part_t *part,
		     const mc_h1_message_t *message,
		     const mc_tier_response_info_t *reply);

/**
 * request_part_failed() - what was sent for @part has ended without success
 * @message: the target's answer, or NULL
 */
void request_part_failed(request_t *request, part_t *part,
			 mc_retry_failure_t end, mc_err_t reason,
			 const mc_h1_message_t *message,
			 const mc_tier_response_info_t *reply);

/** request_progress() - end it if that is due; false when it has ended */
bool request_progress(request_t *request);

/* end.c: how requests end; the rest of it in end.h */

/** requests_free() - all of them, without answers */
void requests_free(tier_t *tier);

/* reply.c: what callers are told */

/** reply_refuse() - answer a caller with an error of our own */
void reply_refuse(tier_t *tier, mc_handle_t caller, mc_err_t err);

/** reply_forward() - answer with a target's answer */
void reply_forward(request_t *request, const mc_h1_message_t *message);

/** reply_add_signature() - the signature of a part that is in */
mc_err_t reply_add_signature(request_t *request, const char *signature);

/** reply_merged() - answer with the records of the parts that are in */
void reply_merged(request_t *request);

/* ready.c: readiness and metrics */

/** ready_serve() - serve readiness and metrics on the first data shard */
mc_err_t ready_serve(tier_t *tier);

#endif

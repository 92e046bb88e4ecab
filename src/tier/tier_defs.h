/*
 * Types of the state of a tier in one data shard, shared by the files of this
 * library. Everything here is guarded by the shard's lock unless noted
 * otherwise.
 */
#ifndef MC_TIER_DEFS_H
#define MC_TIER_DEFS_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <sys/queue.h>

#include "mc/discovery.h"
#include "mc/drain.h"
#include "mc/rate_share.h"
#include "mc/records.h"
#include "mc/registry.h"
#include "mc/replica.h"
#include "mc/replica_evidence.h"
#include "mc/replica_isolation.h"
#include "mc/reporter.h"
#include "mc/retry.h"
#include "mc/retry_decision.h"
#include "mc/retry_elapsed.h"
#include "mc/retry_window.h"
#include "mc/runtime.h"
#include "mc/tier.h"
#include "customer_metrics.h"
#include "metrics.h"

enum {
	TIER_REQUESTS_MAX = 16384,
	TIER_ATTEMPTS_MAX = 1 << 20,
	TIER_CONNS_MAX = 16384,
	/* Maximum number of targets of which is remembered that they left or
	 * want a pause. */
	TIER_KEPT_NOTICES_MAX = 4096,
	/* Number of wait queues per service, one per priority of a route; less
	 * urgent priorities share the last one. */
	TIER_PRIORITIES = 8,
	/* Maximum number of tried targets recorded for one part of a request.
	 */
	TIER_TRIED_MAX = 6,
	/* Reports of targets that one data shard gathers before it sends them.
	 */
	TIER_REPORTS_MAX = 64,
	/* Maximum number of routes whose outcomes are counted separately while
	 * a version of their service is in a roll-out. */
	TIER_ROLLOUT_ROUTES_MAX = 8,
};

typedef struct tier_t tier_t;
typedef struct request_t request_t;
typedef struct part_t part_t;
typedef struct usage_batch_t usage_batch_t;

typedef TAILQ_HEAD(wait_queue_t, part_t) wait_queue_t;
TAILQ_HEAD(conn_list_t, conn_t);
TAILQ_HEAD(attempt_list_t, attempt_t);
TAILQ_HEAD(request_list_t, request_t);

/*
 * Statistics of the requests of one route, by its name. The latencies are those
 * of parts at their targets.
 */
typedef struct {
	/* Median and 95th percentile of the latency, ms. */
	mc_quantile_t median;
	mc_quantile_t p95;
	/* The last request was refused as its targets were unreachable. */
	bool unreachable;
	/* Delay of merged responses that were due at the goal, ms. */
	mc_quantile_t lateness;
	mc_retry_elapsed_t elapsed;
	metrics_row_t *metrics;
	/* Name of the route; lives as long as the tier. */
	const char *name;
} route_stats_t;

/*
 * A service's version in a roll-out, and its outcomes since the last report.
 */
typedef struct {
	bool is_active;
	char version[MC_REGISTRY_NAME_SIZE];
	mc_rollout_mode_t mode;
	/* Share of the service's requests that the version gets. */
	double share;
	mc_rollout_credit_t credit;
	uint32_t outcome_count;
	struct {
		const route_stats_t *route;
		/* Counted while the version was preferred. */
		bool preferred;
		mc_rollout_counts_t old;
		mc_rollout_counts_t new;
	} outcomes[TIER_ROLLOUT_ROUTES_MAX];
} service_rollout_t;

/* A service, whether or not the map in force contains it. */
typedef struct {
	tier_t *tier;
	mc_handle_t handle;
	char name[MC_REGISTRY_NAME_SIZE];
	uint32_t target_count;
	uint32_t target_capacity;
	mc_handle_t *targets;
	/* Maximum number of this shard's connections to each target. */
	uint32_t conns_max;
	/* Requests per second that a target takes while it is warming up, from
	 * all instances together; 0 for no limit, if a cold target can take
	 * the load of a warm one. */
	double warmup_rate;
	mc_retry_window_t extra_window;
	service_rollout_t rollout;
	/* Requests of this shard at its targets, and the rate at which they
	 * end. */
	uint32_t in_flight;
	mc_drain_t drain;
	uint32_t waiting_count;
	uint32_t waiting_counts[TIER_PRIORITIES];
	wait_queue_t waiting[TIER_PRIORITIES];
	/* Turns of the parts that left the fronts of the queues last. */
	uint64_t rounds[TIER_PRIORITIES];
	mc_handle_t dispatch_timer;
} service_t;

/* What a target has said of itself in its responses. */
typedef struct {
	/* Its last response named a limit, in requests per second from all
	 * instances together. */
	bool has_rate_limit;
	double rate_limit;
	/* Since when it names one, ms. */
	mc_ms_t limited_since;
	/* When it last named another limit, or none any more, ms. */
	mc_ms_t limit_changed_at;
	/* When it first said that it leaves, ms; 0 if it has not. */
	mc_ms_t leaving_since;
	/* It wants no requests until then, ms. */
	mc_ms_t paused_until;
} target_notice_t;

/* A target that the registry view contains, or that still has connections. */
typedef struct {
	mc_handle_t handle;
	mc_handle_t service;
	mc_target_entry_t entry;
	/* It is in the current view. */
	bool listed;
	/* Another target has taken over its address. */
	bool replaced;
	/* It is in this instance's data centre. */
	bool local;
	/* It is draining, or its registry entry was removed. */
	bool draining;
	/* Operators have taken its data centre out of service. */
	bool data_center_out;
	/* Its version must not get requests. */
	bool version_barred;
	/* Its version is the one in a roll-out of its service. */
	bool in_rollout;
	/* When it became known, ms. */
	mc_ms_t added_at;
	/* It is warming up until then, ms. */
	mc_ms_t warmup_until;
	/* This shard's share of what it takes while it is warming up. */
	mc_rate_share_t warmup_share;
	mc_replica_health_t health;
	mc_replica_evidence_t evidence;
	/* Names it among instances. */
	uint32_t evidence_key;
	/* When it last responded, accepted a probe connection or refused a
	 * connection, ms. */
	mc_ms_t last_seen;
	/* When it last refused a connection: its process was not running, ms.
	 */
	mc_ms_t refused_at;
	/* Since when it has been unresponsive, ms; not after @last_seen if it
	 * is responsive. */
	mc_ms_t unresponsive_since;
	/* When it was last found unresponsive, ms. */
	mc_ms_t unresponsive_confirmed;
	/* When a probe connection was last opened, ms. */
	mc_ms_t last_probe;
	uint32_t conn_count;
	struct conn_list_t idle;
	/* Attempts in flight, oldest first. */
	struct attempt_list_t attempts;
	uint32_t in_flight;
	/* Those of them that are released. */
	uint32_t released;
	/* Maximum of requests in flight that are not released, for this shard.
	 */
	uint32_t in_flight_max;
	/* Requests of other senders at the target, from its last load report,
	 * and the time of the report, ms. */
	uint32_t others_in_flight;
	mc_ms_t load_reported;
	target_notice_t notice;
	/* This shard's share of the limit in @notice. */
	mc_rate_share_t rate_share;
} target_t;

/* A pooled connection to a target; it carries one request at a time. */
typedef struct conn_t {
	tier_t *tier;
	mc_handle_t handle;
	mc_handle_t target;
	mc_handle_t h1_conn;
	mc_handle_t attempt;
	bool is_open;
	/* Connecting failed at once. That is handled by the timer, as for a
	 * failure that takes its time. */
	bool has_failed;
	bool is_idle;
	/* It was opened without a request, to check that the target accepts
	 * connections. */
	bool is_probe;
	/* A response to another request arrived on it: the connection is closed
	 * after the current request. */
	bool mismatched;
	uint32_t response_count;
	/* The idle connection is not reused after this time, ms. */
	mc_ms_t idle_until;
	mc_handle_t timer;
	TAILQ_ENTRY(conn_t) entry;
} conn_t;

/* An attempt: one part of a request sent to one target. */
typedef struct attempt_t {
	mc_handle_t handle;
	mc_handle_t request;
	uint32_t part;
	mc_handle_t service;
	mc_handle_t target;
	mc_handle_t conn;
	/* When it was sent or, later, its connection was established, ms. */
	mc_ms_t sent_at;
	/* Median latency of the route's parts at the time of the send, ms. */
	double typical_latency;
	/* How long the target may be silent meanwhile, ms. */
	mc_ms_t silence_max;
	/* If it is an extra request: when that was withdrawn from the budget,
	 * ms; 0 otherwise. */
	mc_ms_t extra_withdrawn_at;
	/* It was overdue, and its target was recorded as silent. */
	bool is_overdue;
	/* Its response is not needed any more; see send_release(). */
	bool is_released;
	TAILQ_ENTRY(attempt_t) request_entry;
	TAILQ_ENTRY(attempt_t) target_entry;
} attempt_t;

typedef enum {
	PART_NEW,
	PART_WAITING,
	PART_SENT,
	PART_SUCCEEDED,
	PART_FAILED,
} part_state_t;

/* A target that a part has been sent to. */
typedef struct {
	mc_handle_t target;
	/* Attempts there that may have run. */
	uint32_t runs;
	/* It rejected the last one. */
	bool has_rejected;
	/* When the last was sent, ms. */
	mc_ms_t sent_at;
} tried_target_t;

/* The part of a request that one service handles. */
struct part_t {
	request_t *request;
	uint32_t index;
	mc_handle_t service;
	part_state_t state;
	bool hedged;
	/* No hedge before then, as the last was not possible, ms. */
	mc_ms_t hedge_not_before;
	/* The first send has been counted in the retry budget. */
	bool is_counted;
	/* When an extra request for it was withdrawn from the budget that has
	 * not been sent; 0 if there is none, ms. */
	mc_ms_t extra_withdrawn_at;
	mc_ms_t waiting_since;
	/* While it waits: whose share of the room it uses, and its turn among
	 * the waiting parts of its priority. */
	const void *flow;
	uint64_t turn;
	/* Attempts in flight. */
	uint32_t in_flight;
	mc_retry_attempts_t attempts;
	mc_ms_t sent_at;
	mc_err_t reason;
	uint32_t tried_count;
	tried_target_t tried[TIER_TRIED_MAX];
	TAILQ_ENTRY(part_t) entry;
};

/* A caller's request from its arrival to its response. */
struct request_t {
	tier_t *tier;
	mc_handle_t handle;
	mc_handle_t caller;
	const mc_routemap_t *map;
	const mc_routemap_route_t *route;
	/* The customer whose key the request has; NULL on a public route, or
	 * where the map names no customers. */
	const mc_routemap_customer_t *customer;
	route_stats_t *stats;
	mc_h1_message_t message;
	mc_tier_request_info_t info;
	/* Request line and the header lines common to all targets; owned. */
	char *head;
	size_t head_size;
	mc_ms_t started;
	/* When a merged response must be sent to meet the latency goal, and
	 * when the request expires, ms. */
	mc_ms_t goal_at;
	mc_ms_t deadline;
	mc_handle_t timer;
	/* Its response has been chosen; nothing changes it any more. */
	bool has_ended;
	TAILQ_ENTRY(request_t) ended_entry;
	bool idempotent;
	/* When a refused caller may come back, ms from then; 0 for the time of
	 * the error kind. */
	mc_ms_t retry_after;
	/* A target may have run the request or a part of it. */
	bool may_have_run;
	/* It was counted as begun at a target. */
	bool is_usage_counted;
	uint32_t hedges;
	uint32_t sends;
	/* Extra requests that the budgets of services didn't allow. */
	uint32_t extras_denied;
	mc_records_progress_t progress;
	/* Latency of the part with which half of the parts were done, ms. */
	mc_ms_t half_latency;
	uint32_t part_count;
	part_t *parts;
	mc_records_t records;
	/* Latencies of completed parts, for a request to several services, ms.
	 */
	uint32_t latency_count;
	mc_ms_t *latencies;
	/* Comma-separated signatures of completed parts; owned. */
	char *signatures;
	size_t signatures_size;
	size_t signatures_capacity;
	struct attempt_list_t attempts;
};

/* State of the process, shared by all data shards. After the start only the
 * modification time of the settings, the metrics of routes and customers and
 * the bits of cut off shards change. */
typedef struct {
	mc_tier_params_t params;
	mc_settings_t settings;
	mc_runtime_t *runtime;
	mc_discovery_t *discovery;
	/* Reports usage, on the control shard; NULL where none is reported.
	 */
	mc_reporter_t *reporter;
	/* Listening sockets; -1 if not open. */
	int callers;
	int ready;
	int metrics;
	int64_t settings_mtime;
	metrics_t route_metrics;
	customer_metrics_t customer_metrics;
	/* One bit per data shard that is cut off from too many targets;
	 * atomic. */
	uint64_t cut_off_shards;
	/* One bit per data shard whose view has a map and all targets;
	 * atomic. */
	uint64_t informed_shards;
} tier_process_t;

struct tier_t {
	tier_process_t *process;
	mc_shard_t *shard;
	mc_log_t *log;
	const mc_tier_protocol_t *protocol;
	/* HTTP endpoints: callers and targets, readiness, metrics; the last two
	 * only on the first data shard. */
	mc_h1_t *h1;
	mc_h1_t *ready;
	mc_h1_t *metrics;
	const mc_registry_view_t *view;
	/* Services by their index in the map in force; owned. */
	mc_handle_t *map_services;
	uint32_t instances;
	/* Place of this instance among them. */
	uint32_t instance_index;
	/* Limit of extra requests: of all instances, and this shard's share. */
	mc_retry_window_limit_t extra_limit_total;
	mc_retry_window_limit_t extra_limit;
	bool draining;
	/* While it is draining, all requests are answered by then, ms. */
	mc_ms_t answer_by;
	mc_replica_isolation_t isolation;
	/* The isolation state is re-evaluated after this time, ms. */
	mc_ms_t isolation_valid_until;
	mc_handle_t probe_timer;
	/* Some target tells its load: evidence is exchanged. */
	bool shares_evidence;
	mc_replica_silences_t silences;
	uint32_t report_count;
	mc_replica_report_t reports[TIER_REPORTS_MAX];
	/* An overdue request is looked for at that time, ms. */
	mc_ms_t overdue_at;
	mc_handle_t overdue_timer;
	/* Reports outcomes of roll-outs. */
	mc_handle_t rollout_timer;
	/* Requests that targets have begun since the last report to the control
	 * shard; owned. */
	usage_batch_t *usage_batch;
	/* Low-discrepancy sequence in [0, 1) for weighted choices. */
	double choice_point;
	mc_table_t *services;
	mc_table_t *targets;
	mc_table_t *conns;
	mc_table_t *attempts;
	mc_table_t *requests;
	/* Requests that have ended in this turn and are freed at its end. */
	struct request_list_t ended;
	/* A call that frees them is pending. */
	bool is_freeing;
	/* What is remembered of targets whose entries may be lost. */
	mc_table_t *kept_notices;
	apr_pool_t *pool;
	apr_hash_t *service_names;
	apr_hash_t *target_ids;
	apr_hash_t *route_stats;
};

#endif

/*
 * Private header of the front library: the front's state in one data shard
 * and the functions that its source files call in each other.
 *
 * A data shard (mc_shard_t) is a thread of this process with its own state. All
 * other shards are parts of a service's index, as a layout splits it.
 */
#ifndef MC_FRONT_PRIVATE_H
#define MC_FRONT_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <jansson.h>

#include "mc/answer.h"
#include "mc/front.h"
#include "mc/limit.h"
#include "mc/retry.h"
#include "mc/route.h"
#include "mc/snapshot.h"

enum {
	FRONT_REQUEST_ID_SIZE = 40,
	/* Maximum number of services and of shards in one request. */
	FRONT_PARTS_MAX = 64,
	FRONT_SLOTS_MAX = 4096,
	/*
	 * Maximum number of sub-queries that one request sends for the same
	 * shard, each to another replica.
	 */
	FRONT_ATTEMPTS_MAX = 4,
	FRONT_QUERIES_MAX = 16384,
	FRONT_SUB_QUERIES_MAX = 1 << 20,
	FRONT_LIMIT_DEFAULT = 10,
	FRONT_LIMIT_MAX = 1000,
	FRONT_DEADLINE_MAX_MS = 600000,
	FRONT_KEY_SIZE = MC_WIRE_ID_SIZE,
	/* Maximum number of outcomes that are passed to the node at once. */
	FRONT_OUTCOMES_MAX = 1024,
};

/* Values of @route in mc_node_outcome_t. */
enum {
	FRONT_ROUTE_SEARCH,
	FRONT_ROUTE_RUN,
};

typedef struct front_t front_t;

/* A gather of the view and this data shard's link to it. */
typedef struct {
	front_t *front;
	mc_handle_t handle;
	char address[MC_ADDRESS_SIZE];
	uint64_t key;
	mc_handle_t link;
	bool connecting;
	bool open;
	/* Set by the first report on this link that names a target. */
	bool reported;
	mc_handle_t reconnect_timer;
	/* Failed connections in a row, at most RECONNECT_MAX_DOUBLINGS. */
	uint32_t failures;
	/* Index in the current view and in the router made from it. */
	uint32_t view_index;
	/* The current view contains this gather. */
	bool in_view;
} gather_link_t;

/* The part of a request that concerns one service. */
typedef struct {
	mc_row_t service;
	mc_row_t snapshot;
	mc_row_t layout;
	uint32_t first_slot;
} service_part_t;

/*
 * One shard of a request, with the sub-queries sent for it. @attempts counts
 * all of them and @outstanding those without a result; @tried holds their
 * targets and @subs their handles, both in the order of sending.
 */
typedef struct {
	/* Index in the request's @parts. */
	uint32_t part;
	/* Index of the shard in the layout. */
	uint32_t shard;
	uint32_t attempts;
	uint32_t outstanding;
	/* When to send a hedge; MC_MS_NEVER if none is planned. */
	mc_ms_t hedge_at;
	/* MC_ROW_NONE for a target that was removed from the configuration. */
	mc_row_t tried[FRONT_ATTEMPTS_MAX];
	mc_handle_t subs[FRONT_ATTEMPTS_MAX];
} shard_slot_t;

/* A search request from admission to its response. */
typedef struct {
	front_t *front;
	mc_handle_t handle;
	mc_handle_t exchange;
	char id[FRONT_REQUEST_ID_SIZE];
	uint64_t hash;
	mc_request_class_t klass;
	mc_ms_t started_at;
	mc_ms_t deadline;
	mc_handle_t deadline_timer;
	mc_handle_t hedge_timer;
	/* Maximum number of hits. */
	uint32_t limit;
	/* The caller's query as JSON text. */
	char *text;
	/* The view that all rows of this request belong to. */
	const mc_view_t *view;
	mc_answer_t *answer;
	uint32_t part_count;
	service_part_t parts[FRONT_PARTS_MAX];
	uint32_t slot_count;
	shard_slot_t *slots;
	/* Shards without a result that still have an outstanding sub-query. */
	uint32_t pending;
	/* A target may have executed one of the sub-queries. */
	bool may_have_run;
	/* A sub-query was refused because of a target's limit. */
	bool target_limited;
	/* Error of the latest failed sub-query. */
	mc_err_t last_error;
} query_t;

/* A sub-query that was sent to a gather and has no result yet. */
typedef struct {
	mc_handle_t handle;
	mc_handle_t query;
	/* Set instead of @query for a request that must run at most once. */
	mc_handle_t run;
	uint32_t slot;
	mc_handle_t gather;
	mc_route_choice_t choice;
	mc_ms_t sent_at;
	bool is_hedge;
	/*
	 * Epoch of the router that counted this sub-query as in flight. Routers
	 * of later epochs do not count it.
	 */
	uint32_t router_epoch;
} sub_query_t;

struct front_t {
	mc_process_t *process;
	mc_shard_t *shard;
	mc_log_t *log;
	apr_pool_t *pool;
	const mc_view_t *view;
	mc_ms_t view_confirmed_at;
	/* -1 before the first confirmation. */
	mc_ms_t config_confirmed_at;
	/* When the first configuration arrived; 0 before that. */
	mc_ms_t configured_at;
	bool draining;
	/* While it is draining, all requests are answered by then, ms. */
	mc_ms_t answer_by;
	/*
	 * LINGER_MS have passed since the front stopped accepting connections,
	 * so the requests on the last accepted ones have arrived.
	 */
	bool linger_elapsed;
	/* Sequence number in the next request id. */
	uint64_t next_request;
	/* Hash of address and start time; tells restarts apart in ids. */
	uint64_t request_id_prefix;
	mc_router_t *router;
	uint32_t router_epoch;
	mc_catalogue_t *catalogue;
	mc_table_t *gathers;
	/* Gathers in @gathers, indexed as in the router. */
	mc_handle_t *gather_handles;
	mc_table_t *queries;
	mc_table_t *sub_queries;
	mc_table_t *runs;
	/* Calls to the store for @runs. */
	mc_table_t *store_calls;
	mc_admission_t *admission;
	mc_retry_budget_t hedge_budget;
	mc_retry_budget_t retry_budget;
	const mc_hedge_policy_t *hedge_policy;
	bool retry_enabled;
	/* Latency quantiles by hash of a service's or a shard's name. */
	apr_hash_t *latency_quantiles;
	mc_store_t *store;
	/* The view that the rows in @outcomes belong to. */
	const mc_view_t *outcomes_view;
	/* Outcomes that are still to be passed to the node. */
	mc_node_outcome_t *outcomes;
	uint32_t outcome_count;
};

/* A parsed search request. */
typedef struct {
	uint32_t service_count;
	mc_row_t services[FRONT_PARTS_MAX];
	/* The query as JSON text. */
	char *text;
	/* Maximum number of hits. */
	uint32_t limit;
	mc_request_class_t klass;
	/* Until the caller's deadline. */
	mc_ms_t time_left;
} search_request_t;

/* A parsed request that must run at most once. */
typedef struct {
	mc_row_t service;
	/* The idempotency key. */
	char key[FRONT_KEY_SIZE];
	/* The query as JSON text. */
	char *text;
	/* Hash of the route key; selects the shard. */
	uint64_t route_hash;
	/* Until the caller's deadline. */
	mc_ms_t time_left;
} run_request_t;

/* request_json.c: parses bodies and headers of callers' requests. */
mc_err_t request_parse_search(const front_t *front,
			      const mc_http_exchange_t *exchange,
			      search_request_t *request);
mc_err_t request_parse_run(const front_t *front,
			   const mc_http_exchange_t *exchange,
			   run_request_t *request);

/* answer_json.c: encodes responses to callers. */
char *answer_encode_json(const query_t *query, mc_coverage_t coverage);
void front_reply_json(front_t *front, mc_handle_t exchange, int status,
		      const char *text);
/* @retry_after: ms; a negative value stands for the error kind's default. */
void front_reply_error(front_t *front, mc_handle_t exchange, mc_err_t err,
		       const char *message, mc_ms_t retry_after);

/* api.c: dispatches callers' HTTP requests to handlers. */
void api_handle_request(void *ctx, const mc_http_exchange_t *exchange);
void front_make_request_id(front_t *front, char id[FRONT_REQUEST_ID_SIZE]);
/* Returns MC_OK if this front can accept requests now, else the reason. */
mc_err_t front_check_ready(const front_t *front);

/* front.c: the bound that a planned stop sets to all deadlines. */

/* Returns MC_OK if a new request can still be answered, else the reason. */
mc_err_t front_check_stopping(const front_t *front);
/* Returns @deadline, or the time by which a planned stop needs all answers. */
mc_ms_t front_limit_deadline(const front_t *front, mc_ms_t deadline);
/* Whether it is the planned stop that sets this deadline. */
bool front_is_stop_deadline(const front_t *front, mc_ms_t deadline);

/* status.c: readiness, status and metrics. */
void status_reply_ready(front_t *front, mc_handle_t exchange);
void status_reply_status(front_t *front, mc_handle_t exchange);
void status_reply_metrics(front_t *front, mc_handle_t exchange);

/* gather_links.c: links to gathers and the messages received on them. */

/*
 * Opens links to the gathers of the current view. Returns their handles in
 * the order of the view, to be freed by the caller, or NULL without memory.
 */
mc_handle_t *gather_links_update(front_t *front);
/* Removes gathers that are not in the view: they have left or are dead. */
void gather_links_remove_absent(front_t *front);
/* Requests a full report of their targets from all connected gathers. */
void gather_links_request_reports(front_t *front);
void gather_links_destroy(front_t *front);
mc_err_t gather_send(front_t *front, mc_handle_t gather,
		     const mc_wire_message_t *message);
/* Whether the gather is connected, has reported targets, and is usable. */
bool gather_link_is_usable(const front_t *front, const gather_link_t *gather);
/*
 * Whether all usable gathers of the view have reported their targets, or at
 * least one has after REPORT_WAIT_MS.
 */
bool gather_links_ready(const front_t *front);
mc_handle_t gather_for_choice(const front_t *front, mc_route_choice_t choice);

/* query.c: runs a search from admission to its response. */
void query_start(front_t *front, mc_handle_t exchange,
		 search_request_t *request);
void query_handle_result(front_t *front, sub_query_t *sub,
			 const mc_wire_result_t *result);
void query_finish(front_t *front, query_t *query);
void query_free(front_t *front, query_t *query);
/* Brings the deadline forward if a planned stop needs the answer earlier. */
void query_limit_deadline(query_t *query);

/* plan.c: chooses targets and gathers, sends and cancels sub-queries. */

/*
 * Pins a snapshot for each service and adds a slot for each of its shards to
 * the request.
 */
mc_err_t plan_parts(front_t *front, query_t *query,
		    const search_request_t *request);
/* Sends the first sub-query of every shard. */
void plan_send_all(front_t *front, query_t *query);
/*
 * Sends one more sub-query for a shard, to a replica that was not tried yet.
 * Returns false without sending if the front is not ready, if all
 * FRONT_ATTEMPTS_MAX are used, if the current configuration lacks the snapshot
 * or layout, or if no replica can be chosen. If the frame can't be sent, the
 * sub-query fails like one whose link closes, which may end the request.
 */
bool plan_send_extra(front_t *front, query_t *query, uint32_t slot, bool hedge);
/* Cancels all outstanding sub-queries of a request. */
void plan_cancel(front_t *front, query_t *query);
/*
 * Removes a sub-query that has ended and reports that to the router. @latency:
 * ms; negative if the sub-query failed.
 */
void sub_query_finish(front_t *front, sub_query_t *sub, mc_ms_t latency);

/*
 * remap.c: converts the rows of a search to the front's current configuration.
 * Returns false if that configuration lacks the search's snapshot or layout.
 */
bool query_remap(front_t *front, query_t *query);

/* hedge.c: times and sends hedges. */

/* Sets when to hedge a shard whose first sub-query is being sent. */
void hedge_set_time(front_t *front, query_t *query, uint32_t slot);
/* Arms the request's timer for the earliest hedge of its shards. */
void hedge_arm_timer(front_t *front, query_t *query);

/*
 * latency_stats.c: 95th percentile of the latency of each shard and of all
 * shards of each service.
 */
const mc_quantile_t *latency_stats_shard(front_t *front, const query_t *query,
					 uint32_t slot);
const mc_quantile_t *latency_stats_service(front_t *front, const query_t *query,
					   uint32_t slot);
void latency_stats_add(front_t *front, const query_t *query, uint32_t slot,
		       mc_ms_t latency);

/* outcomes.c: batches outcomes of sub-queries for the node's version moves. */
void outcomes_add(front_t *front, const mc_view_t *view, mc_row_t target,
		  uint32_t route, mc_err_t err, mc_ms_t latency);

/* run.c: requests that must run at most once. */
mc_err_t run_init(front_t *front);
void run_destroy(front_t *front);
void run_begin(front_t *front, mc_handle_t exchange, run_request_t *request);
/* Brings the deadlines of all runs forward; see query_limit_deadline(). */
void run_limit_deadlines(front_t *front);
void run_handle_result(front_t *front, sub_query_t *sub,
		       const mc_wire_run_result_t *result);
/* The link to the gather closed, so the outcome is unknown. */
void run_handle_link_loss(front_t *front, sub_query_t *sub);

#endif

/*
 * A front's state in one data shard, as the files of this library share it.
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
	/* Most services and shards of one request. */
	FRONT_PARTS_MAX = 64,
	FRONT_SLOTS_MAX = 4096,
	/* Replicas of a shard that one request tries. */
	FRONT_TRIES_MAX = 4,
	FRONT_QUERIES_MAX = 16384,
	FRONT_SUB_QUERIES_MAX = 1 << 20,
	FRONT_LIMIT_DEFAULT = 10,
	FRONT_LIMIT_MAX = 1000,
	FRONT_DEADLINE_MAX_MS = 600000,
	FRONT_KEY_SIZE = MC_WIRE_ID_SIZE,
	/* Most pieces of evidence that go to the node together. */
	FRONT_EVIDENCE_MAX = 1024,
};

typedef struct front_t front_t;

/* A gather that this shard has, or tries to have, a link to. */
typedef struct {
	front_t *front;
	mc_handle_t handle;
	char address[MC_ADDRESS_SIZE];
	uint64_t key;
	mc_handle_t link;
	bool connecting;
	bool open;
	/* It has named targets that it can serve. */
	bool reported;
	mc_handle_t retry_timer;
	uint32_t failures;
	/* Place in the view and in the router; it changes with them. */
	uint32_t index;
	bool in_view;
} gather_link_t;

/* One service's share of a request. */
typedef struct {
	mc_row_t service;
	mc_row_t snapshot;
	mc_row_t layout;
	uint32_t first_slot;
} part_t;

/* One shard of a request. */
typedef struct {
	uint32_t part;
	uint32_t shard;
	uint32_t tries;
	uint32_t outstanding;
	mc_ms_t hedge_at;
	mc_row_t tried[FRONT_TRIES_MAX];
	mc_handle_t subs[FRONT_TRIES_MAX];
} slot_t;

typedef struct {
	front_t *front;
	mc_handle_t handle;
	mc_handle_t exchange;
	char id[FRONT_REQUEST_ID_SIZE];
	uint64_t hash;
	mc_request_class_t klass;
	mc_ms_t started;
	mc_ms_t deadline;
	mc_handle_t deadline_timer;
	mc_handle_t hedge_timer;
	uint32_t limit;
	char *text;
	const mc_view_t *view;
	mc_answer_t *answer;
	uint32_t part_count;
	part_t parts[FRONT_PARTS_MAX];
	uint32_t slot_count;
	slot_t *slots;
	/* Shards without a result for which something is still out. */
	uint32_t pending;
	/* A target may have run a part of it. */
	bool maybe_run;
	/* Targets refused for their limits. */
	bool limited;
	mc_err_t last_reason;
} query_t;

typedef struct {
	mc_handle_t handle;
	mc_handle_t query;
	/* Set instead of @query for a request that may run only once. */
	mc_handle_t run;
	uint32_t slot;
	mc_handle_t gather;
	mc_route_choice_t choice;
	mc_ms_t sent_at;
	bool hedge;
	/* The router that counted it; a later one does not know it. */
	uint32_t router_epoch;
} sub_query_t;

struct front_t {
	mc_process_t *process;
	mc_shard_t *shard;
	mc_log_t *log;
	apr_pool_t *pool;
	const mc_view_t *view;
	mc_ms_t confirmed;
	mc_ms_t config_confirmed;
	/* When the first configuration came; 0 before that. */
	mc_ms_t configured_at;
	bool draining;
	/* Requests on connections that were just made have arrived. */
	bool lingered;
	uint64_t next_request;
	uint64_t own_key;
	mc_router_t *router;
	uint32_t router_epoch;
	mc_catalogue_t *catalogue;
	mc_table_t *gathers;
	/* The router's gathers, by its indexes. */
	mc_handle_t *gather_rows;
	mc_table_t *queries;
	mc_table_t *sub_queries;
	mc_table_t *runs;
	mc_admission_t *admission;
	mc_retry_budget_t hedges;
	mc_retry_budget_t retries;
	const mc_hedge_policy_t *hedge_policy;
	bool retry_enabled;
	apr_hash_t *latencies;
	mc_store_t *store;
	const mc_view_t *evidence_view;
	mc_node_outcome_t *evidence;
	uint32_t evidence_count;
};

/* A search as the caller asked for it. */
typedef struct {
	uint32_t service_count;
	mc_row_t services[FRONT_PARTS_MAX];
	char *text;
	uint32_t limit;
	mc_request_class_t klass;
	mc_ms_t time_left;
} search_request_t;

/* A request that may run only once. */
typedef struct {
	mc_row_t service;
	char key[FRONT_KEY_SIZE];
	char *text;
	uint64_t route_hash;
	mc_ms_t time_left;
} run_request_t;

/* request_json.c: bodies and headers of callers. */
mc_err_t request_parse_search(const front_t *front,
			      const mc_http_exchange_t *exchange,
			      search_request_t *request);
mc_err_t request_parse_run(const front_t *front,
			   const mc_http_exchange_t *exchange,
			   run_request_t *request);

/* answer_json.c: what callers get. */
char *answer_json(const query_t *query, mc_coverage_t coverage);
void front_reply_json(front_t *front, mc_handle_t exchange, int status,
		      const char *text);
/* @retry_after: ms; negative for the kind's own. */
void front_reply_error(front_t *front, mc_handle_t exchange, mc_err_t err,
		       const char *message, mc_ms_t retry_after);

/* api.c: the callers' HTTP interface. */
void api_request(void *ctx, const mc_http_exchange_t *exchange);
void front_request_id(front_t *front, char id[FRONT_REQUEST_ID_SIZE]);
/* Whether this front may take a request now; else why not. */
mc_err_t front_admits(const front_t *front);

/* status.c */
void status_ready(front_t *front, mc_handle_t exchange);
void status_show(front_t *front, mc_handle_t exchange);
void status_metrics(front_t *front, mc_handle_t exchange);

/* gather_links.c: links to gathers and what they bring. */

/*
 * Opens links to the view's gathers. Returns the rows of its gathers, in the
 * view's order, to be freed by the caller; NULL without memory.
 */
mc_handle_t *gather_links_update(front_t *front);
/* Gathers that the view shows no more have left or are dead. */
void gather_links_drop_absent(front_t *front);
/* Has all linked gathers report their targets anew. */
void gather_links_ask_reports(front_t *front);
void gather_links_destroy(front_t *front);
mc_err_t gather_send(front_t *front, mc_handle_t gather,
		     const mc_wire_message_t *message);
/* Whether a gather may get work: linked, with targets, and in the view. */
bool gather_link_usable(const front_t *front, const gather_link_t *gather);
/* Whether the gathers of the view have said what they own. */
bool gather_links_settled(const front_t *front);
mc_handle_t gather_of_choice(const front_t *front, mc_route_choice_t choice);

/* query.c: the life of a search. */
void query_start(front_t *front, mc_handle_t exchange,
		 search_request_t *request);
void query_result(front_t *front, sub_query_t *sub,
		  const mc_wire_result_t *result);
void query_finish(front_t *front, query_t *query);
void query_free(front_t *front, query_t *query);

/* plan.c: choosing and sending sub-queries. */
mc_err_t plan_parts(front_t *front, query_t *query,
		    const search_request_t *request);
/* Sends the first sub-query of every shard. */
void plan_send_all(front_t *front, query_t *query);
/* Sends one more sub-query of a shard, to another replica. */
bool plan_send_extra(front_t *front, query_t *query, uint32_t slot, bool hedge);
void plan_cancel(front_t *front, query_t *query);
void sub_query_end(front_t *front, sub_query_t *sub, mc_ms_t latency);

/*
 * rebase.c: makes the rows of a search those of the front's configuration.
 * Returns whether they are.
 */
bool query_rebase(front_t *front, query_t *query);

/* hedge.c */
void hedge_set(front_t *front, query_t *query, uint32_t slot);
void hedge_plan(front_t *front, query_t *query);

/* latency_book.c: 95th percentiles of shards and of services. */
const mc_quantile_t *latency_book_shard(front_t *front, const query_t *query,
					uint32_t slot);
const mc_quantile_t *latency_book_service(front_t *front, const query_t *query,
					  uint32_t slot);
void latency_book_add(front_t *front, const query_t *query, uint32_t slot,
		      mc_ms_t latency);

/* evidence.c: outcomes for version moves, sent to the node together. */
void evidence_add(front_t *front, const mc_view_t *view, mc_row_t target,
		  uint32_t route, mc_err_t err, mc_ms_t latency);

/* run.c: requests that may run only once. */
mc_err_t run_init(front_t *front);
void run_destroy(front_t *front);
void run_begin(front_t *front, mc_handle_t exchange, run_request_t *request);
void run_result(front_t *front, sub_query_t *sub,
		const mc_wire_run_result_t *result);
void run_lost(front_t *front, sub_query_t *sub);

#endif

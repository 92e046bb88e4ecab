/*
 * Functions that several files of this library call; those of one subject that
 * few files call are in a header of their own.
 */
#ifndef MC_TIER_PRIVATE_H
#define MC_TIER_PRIVATE_H

#include "tier_defs.h"

/* view.c: services and targets of the published registry view */

/** view_apply() - Make @view current; takes over its reference */
void view_apply(tier_t *tier, const mc_registry_view_t *view);

/** sharer_count() - Number of data shards, over all instances, that share the
 * targets */
uint32_t sharer_count(const tier_t *tier);

/** sharer_index() - Place of this data shard among them, from 0 */
uint32_t sharer_index(const tier_t *tier);

/** extra_limit_set() - Apply the retry budget of changed settings */
void extra_limit_set(tier_t *tier, const mc_settings_t *settings);

/** route_stats_get() - Get or create the statistics of a route; NULL if too
 * many routes have some */
route_stats_t *route_stats_get(tier_t *tier, const mc_routemap_route_t *route);

/** target_release() - Free a target that is neither listed nor connected */
void target_release(tier_t *tier, target_t *target);

/* pool.c: connections to targets */

/** pool_has_capacity() - Tell whether one more request can be sent to @target
 * now */
bool pool_has_capacity(tier_t *tier, const service_t *service,
		       const target_t *target);

/**
 * pool_acquire() - Get a connection for one request
 * @fresh: only a connection that was never used before
 *
 * Return: the connection, possibly still connecting; NULL if the limit is
 * reached or a connection could not be opened.
 */
conn_t *pool_acquire(tier_t *tier, const service_t *service, target_t *target,
		     bool fresh);

/** pool_probe() - Open a connection without a request, to check that the target
 * accepts connections */
void pool_probe(tier_t *tier, target_t *target);

/** target_mark_unresponsive() - Record that a target accepted no connection or
 * did not respond, and schedule probes of it */
void target_mark_unresponsive(tier_t *tier, target_t *target);

/** pool_close() - Close and free a connection; a request on it is abandoned */
void pool_close(tier_t *tier, conn_t *conn);

/** pool_keep_released() - Keep the connection of a released attempt until its
 * response has arrived, for a short time; false if that is not possible */
bool pool_keep_released(tier_t *tier, conn_t *conn);

/** pool_close_idle() - Close a target's idle connections */
void pool_close_idle(tier_t *tier, target_t *target);

/* select.c: which target a part is sent to */

/** select_target() - Select a target for a part; NULL if none can take it now
 */
target_t *select_target(tier_t *tier, const part_t *part);

/** select_relative_load() - Requests known to be at a target, per slot */
double select_relative_load(const target_t *target, mc_ms_t now);

/** select_is_excluded() - Tell whether a part must not be sent to @target,
 * whatever its capacity */
bool select_is_excluded(const part_t *part, const target_t *target);

/** select_has_target() - Tell whether some target could get the part now or
 * later */
bool select_has_target(tier_t *tier, const part_t *part);

/** select_has_room() - Tell whether some target could take the part now */
bool select_has_room(tier_t *tier, const part_t *part);

/* target_notice.c; its other functions are in target_notice.h */

/** target_notice_init() - Create the table of targets that have left */
mc_err_t target_notice_init(tier_t *tier);

/* send.c: attempts of parts at targets */

/** send_part() - Send a part to a target, as an extra request if one is
 * reserved for it; false if none can take it now */
bool send_part(tier_t *tier, part_t *part);

/** send_cancel() - Cancel an attempt; the target may still run it */
void send_cancel(tier_t *tier, attempt_t *attempt);

/**
 * send_release() - Give up an attempt whose response is not needed any more
 *
 * Where the target will soon be done, it may finish, so that the connection can
 * be used again. Else the attempt is canceled. Must not be used for a caller
 * that has gone or whose time is over.
 */
void send_release(tier_t *tier, attempt_t *attempt);

/** send_on_connect() - Restart the time of the attempt on a connection that has
 * just been established */
void send_on_connect(tier_t *tier, const conn_t *conn);

/** send_on_response() - Handle a target's response; false if it belongs to
 * another request */
bool send_on_response(tier_t *tier, conn_t *conn, attempt_t *attempt,
		      const mc_h1_message_t *message);

/** send_on_connection_lost() - Handle the loss of an attempt's connection;
 * @was_sent: some bytes of the request were sent */
void send_on_connection_lost(tier_t *tier, attempt_t *attempt, bool was_sent);

/* dispatch.c: parts that wait */

/**
 * service_dispatch_waiting() - Send waiting parts while targets have capacity
 *
 * Parts that no target can take soon fail, which may end any request with a
 * part in the queue. For handlers of events only, which hold no request.
 */
void service_dispatch_waiting(tier_t *tier, service_t *service);

/** service_schedule_dispatch() - Call service_dispatch_waiting() soon from a
 * timer */
void service_schedule_dispatch(tier_t *tier, service_t *service);

/* request.c: life cycle of a request */

/** request_begin() - Start a request that has been received completely */
void request_begin(tier_t *tier, mc_handle_t caller,
		   const mc_h1_message_t *message, mc_ms_t first_byte);

/** request_priority() - Get the priority of a request, 0 for the most urgent:
 * that of its customer, or else that of its route */
uint32_t request_priority(const request_t *request);

/** request_caller_gone() - Cancel the request of a caller that has disconnected
 */
void request_caller_gone(tier_t *tier, mc_handle_t caller);

/** request_part_succeeded() - Handle a target's successful response to @part;
 * may end the request */
void request_part_succeeded(request_t *request, part_t *part,
			    const mc_h1_message_t *message,
			    const mc_tier_response_info_t *response);

/**
 * request_part_failed() - Retry or fail @part after a failed attempt
 * @failure: how the attempt failed
 * @reason: error kind of the failure
 * @message: the target's response, or NULL
 * @response: metadata of @message, or NULL
 *
 * May end the request.
 */
void request_part_failed(request_t *request, part_t *part,
			 mc_retry_failure_t failure, mc_err_t reason,
			 const mc_h1_message_t *message,
			 const mc_tier_response_info_t *response);

/**
 * request_part_unsendable() - Fail a part that has waited in vain
 * @reason: why it can't be sent soon
 * @wait: when it may be possible, ms from now; 0 if unknown
 *
 * May end the request.
 */
void request_part_unsendable(request_t *request, part_t *part, mc_err_t reason,
			     mc_ms_t wait);

/** request_finish_if_due() - End the request if that is due; false if it has
 * ended, now or before */
bool request_finish_if_due(request_t *request);

/* finish.c: how requests end; its other functions are in finish.h */

/** requests_free() - Free all requests without responses */
void requests_free(tier_t *tier);

/* reply.c: responses to callers */

/**
 * reply_error() - Respond to a caller with an error of the tier
 * @retry_after: when the caller may come back, ms from now; 0 for the time of
 *	the error kind
 */
void reply_error(tier_t *tier, mc_handle_t caller, mc_err_t err,
		 mc_ms_t retry_after);

/** reply_forward() - Forward a target's response to the caller */
void reply_forward(request_t *request, const mc_h1_message_t *message);

/** reply_add_signature() - Append the signature of a completed part */
mc_err_t reply_add_signature(request_t *request, const char *signature);

/** reply_merge() - Respond with the records of the completed parts */
void reply_merge(request_t *request);

/* ready.c: readiness and metrics */

/** ready_serve() - Serve readiness and metrics on the first data shard */
mc_err_t ready_serve(tier_t *tier);

#endif

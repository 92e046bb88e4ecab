/*
 * HTTP conventions of one platform's callers and targets: a table of functions
 * that the platform's adapter fills in. They encode and decode headers and make
 * no decisions.
 */
#ifndef MC_TIER_PROTOCOL_H
#define MC_TIER_PROTOCOL_H

#include "mc/h1.h"

/**
 * struct mc_tier_request_info_t - metadata in the headers of a caller's request
 * @host: requested host; NULL if absent
 * @attempt_id: id of the caller's attempt; NULL if absent
 * @key: secret key of the caller's customer; NULL unless there is exactly one
 * @time_left: how long the caller will wait, ms; -1 if absent
 *
 * Strings belong to the request.
 */
typedef struct mc_tier_request_info_t {
	const char *host;
	const char *attempt_id;
	const char *key;
	mc_ms_t time_left;
} mc_tier_request_info_t;

/** enum mc_tier_response_kind_t - whether the target ran the request */
typedef enum mc_tier_response_kind_t {
	/* The target ran the request; the status code tells the outcome. */
	MC_TIER_RESPONSE_RAN,
	/* The target did not run the request. */
	MC_TIER_RESPONSE_REFUSED,
	/* Another target than the addressed one responded and did not run the
	 * request. */
	MC_TIER_RESPONSE_REPLACED,
} mc_tier_response_kind_t;

/**
 * struct mc_tier_response_info_t - metadata in the headers of a target's
 * response
 * @kind: whether the target ran the request
 * @attempt_id: id of the attempt that it belongs to; NULL if absent
 * @signature: the target's signature of the response; NULL if absent
 * @has_load: @running, @queued and @slots are set
 * @running: requests running at the target
 * @queued: requests queued at the target
 * @slots: concurrency limit of the target
 * @pace: how long work takes at the target now, percent of the usual time; 0
 *	if it does not say so
 * @has_rate_limit: the target names a limit, @rate_limit
 * @rate_limit: requests per second that the target takes from all instances
 *	together for as long as it says so
 * @leaving: the target says that it will stop soon
 * @pause: the target turned the request away and wants no other from this
 *	process for this time, ms; 0 otherwise
 *
 * Strings belong to the response.
 */
typedef struct mc_tier_response_info_t {
	mc_tier_response_kind_t kind;
	const char *attempt_id;
	const char *signature;
	bool has_load;
	uint32_t running;
	uint32_t queued;
	uint32_t slots;
	uint32_t pace;
	bool has_rate_limit;
	double rate_limit;
	bool leaving;
	mc_ms_t pause;
} mc_tier_response_info_t;

/**
 * struct mc_tier_protocol_t - HTTP conventions of a platform
 * @ready_path: path of the load balancer's readiness check
 * @parse_request: parse the metadata of a caller's request
 * @forwards_request_header: whether a request header is forwarded to the target
 * @forwards_response_header: whether a response header is forwarded to the
 *	caller
 * @write_request_headers: write the header lines for the target @id, with
 *	@time_left ms until the deadline; returns the number of bytes
 * @parse_response: parse the metadata of a target's response
 * @is_not_run_status: whether a status code tells a caller that its request has
 *	not run
 * @write_missing_parts_header: write the header line with the number of missing
 *	parts; returns the number of bytes
 * @signatures_header: name of the header with the signatures of the parts
 * @customer_header: name of the header that tells a target the customer of a
 *	request
 * @key_challenge: value of the WWW-Authenticate header of a response that asks
 *	for a key
 */
typedef struct mc_tier_protocol_t {
	const char *ready_path;
	void (*parse_request)(const mc_h1_message_t *request,
			      mc_tier_request_info_t *info);
	bool (*forwards_request_header)(const char *header);
	bool (*forwards_response_header)(const char *header);
	size_t (*write_request_headers)(char *lines, size_t size,
					const char *id, mc_ms_t time_left);
	void (*parse_response)(const mc_h1_message_t *response,
			       mc_tier_response_info_t *info);
	bool (*is_not_run_status)(int status);
	size_t (*write_missing_parts_header)(char *lines, size_t size,
					     uint32_t missing);
	const char *signatures_header;
	const char *customer_header;
	const char *key_challenge;
} mc_tier_protocol_t;

#endif

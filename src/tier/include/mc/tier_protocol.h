/*
 * How callers and targets of one platform say things in HTTP: a table of
 * functions that a platform's adapter fills in. It decides nothing.
 */
#ifndef MC_TIER_PROTOCOL_H
#define MC_TIER_PROTOCOL_H

#include "mc/h1.h"

/**
 * struct mc_call_t - what a caller says besides its request
 * @host: host that it asks; NULL if it names none
 * @id: id of this attempt; NULL if it names none
 * @time_left: how long it will wait, ms; -1 if it doesn't say
 */
typedef struct mc_tier_request_info_t {
	const char *host;
	const char *attempt_id;
	mc_ms_t time_left;
} mc_tier_request_info_t;

/** enum mc_reply_kind_t - what a target's answer means */
typedef enum mc_tier_response_kind_t {
	/* The target ran the request; the status tells how. */
	MC_TIER_RESPONSE_RAN,
	/* It did not run it. */
	MC_TIER_RESPONSE_REFUSED,
	/* It is not the target that was meant, and did not run it. */
	MC_TIER_RESPONSE_REPLACED,
} mc_tier_response_kind_t;

/**
 * struct mc_reply_t - what a target says besides its answer
 * @kind: what the answer means
 * @id: attempt that it answers; NULL if it doesn't say
 * @signature: the target's signature of its answer, or NULL
 * @load_known: @running, @waiting and @slots are set
 * @running: requests that it runs
 * @waiting: requests that wait in it
 * @slots: requests that it runs at a time
 */
typedef struct mc_tier_response_info_t {
	mc_tier_response_kind_t kind;
	const char *attempt_id;
	const char *signature;
	bool has_load;
	uint32_t running;
	uint32_t queued;
	uint32_t slots;
} mc_tier_response_info_t;

/**
 * struct mc_dialect_t - a platform's ways
 * @ready_path: where its balancer asks for readiness
 * @read_call: what a request says
 * @passes_on: whether a request's header line goes to the target
 * @passes_back: whether an answer's header line goes to the caller
 * @write_send: header lines for the target @id with @left ms; returns bytes
 * @read_reply: what an answer says
 * @is_promise: whether a status tells a caller that its request has not run
 * @write_missing: header line that tells of missing parts; returns bytes
 * @parts_header: name of the header that lists the parts' signatures
 */
typedef struct mc_tier_protocol_t {
	const char *ready_path;
	void (*parse_request)(const mc_h1_message_t *request,
			      mc_tier_request_info_t *call);
	bool (*forwards_request_header)(const char *header);
	bool (*forwards_response_header)(const char *header);
	size_t (*write_request_headers)(char *lines, size_t size,
					const char *id, mc_ms_t left);
	void (*parse_response)(const mc_h1_message_t *answer,
			       mc_tier_response_info_t *reply);
	bool (*is_not_run_status)(int status);
	size_t (*write_missing_parts_header)(char *lines, size_t size,
					     uint32_t missing);
	const char *signatures_header;
} mc_tier_protocol_t;

#endif

/*
 * The closed list of error kinds and the table that maps each kind to the
 * response for callers. Functions return a kind and set an error message, which
 * belongs to the calling thread.
 */
#ifndef MC_BASE_ERROR_H
#define MC_BASE_ERROR_H

#include <stdbool.h>

#include "mc/base/clock.h"

/*
 * X(kind, name, HTTP status, not run, retry delay in ms or 0 for "do not
 * retry"). "Not run" is true only if no target can have received the request.
 */
#define MC_ERROR_KINDS(X)                                          \
	X(OK, "ok", 200, false, 0)                                 \
	X(INTERNAL, "internal", 500, false, 0)                     \
	X(BAD_REQUEST, "bad_request", 400, true, 0)                \
	X(TOO_LARGE, "too_large", 413, true, 0)                    \
	X(KEY_MISSING, "key_missing", 401, true, 0)                \
	X(KEY_UNKNOWN, "key_unknown", 401, true, 0)                \
	X(NOT_FOUND, "not_found", 404, true, 0)                    \
	X(BAD_METHOD, "bad_method", 405, true, 0)                  \
	X(UNKNOWN_SERVICE, "unknown_service", 404, true, 0)        \
	X(DEADLINE_PAST, "deadline_past", 503, true, 0)            \
	X(DEADLINE_EXCEEDED, "deadline_exceeded", 504, false, 0)   \
	X(OVERLOADED, "overloaded", 503, true, 200)                \
	X(TARGET_LIMITED, "target_limited", 503, true, 50)         \
	X(TARGET_SHED, "target_shed", 503, true, 100)              \
	X(TARGET_DRAINING, "target_draining", 503, true, 50)       \
	X(TARGET_FAILED, "target_failed", 502, false, 100)         \
	X(NO_TARGET, "no_target", 503, true, 500)                  \
	X(NO_SNAPSHOT, "no_snapshot", 503, true, 500)              \
	X(WRONG_SNAPSHOT, "wrong_snapshot", 502, false, 100)       \
	X(NOT_OWNER, "not_owner", 503, true, 50)                   \
	X(DATA_CENTER_OUT, "data_center_out", 503, true, 500)      \
	X(STOPPING, "stopping", 503, true, 100)                    \
	X(NOT_READY, "not_ready", 503, true, 500)                  \
	X(STORE_UNAVAILABLE, "store_unavailable", 503, true, 1000) \
	X(CUT_OFF, "cut_off", 503, true, 100)                      \
	X(HISTORY_GONE, "history_gone", 503, true, 0)              \
	X(CONFLICT, "conflict", 409, true, 0)                      \
	X(DUPLICATE, "duplicate", 409, false, 0)                   \
	X(OUTCOME_UNKNOWN, "outcome_unknown", 502, false, 0)       \
	X(CANCELED, "canceled", 499, false, 0)                     \
	X(BAD_FRAME, "bad_frame", 502, false, 0)                   \
	X(BAD_CONFIG, "bad_config", 400, true, 0)                  \
	X(BAD_SETTINGS, "bad_settings", 400, true, 0)              \
	X(STALE_HANDLE, "stale_handle", 500, false, 0)             \
	X(NO_MEMORY, "no_memory", 503, false, 500)                 \
	X(FULL, "full", 503, true, 100)                            \
	X(IO, "io", 502, false, 100)                               \
	X(TIMED_OUT, "timed_out", 504, false, 100)

/** enum mc_err_t - all error kinds */
typedef enum mc_err_t {
#define X(kind, name, status, not_run, retry) MC_ERR_##kind,
	MC_ERROR_KINDS(X)
#undef X
	MC_ERR_COUNT
} mc_err_t;

#define MC_OK MC_ERR_OK

/**
 * struct mc_error_response_t - response to a caller for an error kind
 * @name: name of the kind in responses and logs
 * @http_status: HTTP status code
 * @not_run: certainly no target has run the request
 * @retry_after: delay before a retry, ms; 0 for "do not retry"
 */
typedef struct mc_error_response_t {
	const char *name;
	int http_status;
	bool not_run;
	mc_ms_t retry_after;
} mc_error_response_t;

/**
 * mc_error_response() - Get the response for an error kind, or that of
 * MC_ERR_INTERNAL if @kind is invalid.
 */
const mc_error_response_t *mc_error_response(mc_err_t kind);

/**
 * mc_error_for_outcome() - Adapt an error kind to what is known of the request
 * @kind: why the request failed
 * @may_have_run: a target may have run the request or a part of it
 *
 * Return: @kind, or the kind that makes no false promise, or one that says that
 * the request has not run where that is certain.
 */
mc_err_t mc_error_for_outcome(mc_err_t kind, bool may_have_run);

/** mc_error_name() - Get the name of an error kind. */
const char *mc_error_name(mc_err_t kind);

/**
 * mc_error_from_name() - Find an error kind by its name.
 *
 * Return: the kind, or MC_ERR_INTERNAL if the name is unknown.
 */
mc_err_t mc_error_from_name(const char *name);

/**
 * mc_fail() - Set the calling thread's error message.
 * @kind: error kind to return
 * @format: printf format of the message
 *
 * Return: @kind, so that a function can end with "return mc_fail(...)".
 */
mc_err_t mc_fail(mc_err_t kind, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * mc_last_error_message() - Get the calling thread's last error message.
 *
 * Return: the message, owned by the library; "" if there was none.
 */
const char *mc_last_error_message(void);

#endif

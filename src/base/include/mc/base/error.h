/*
 * The closed list of error kinds and the one table from a kind to the answer
 * that a caller gets. Functions return a kind and leave a message that belongs
 * to the calling thread.
 */
#ifndef MC_BASE_ERROR_H
#define MC_BASE_ERROR_H

#include <stdbool.h>

#include "mc/base/clock.h"

/*
 * X(kind, name, HTTP status, not run, retry time in ms; 0 for "do not retry").
 * "Not run" is true only where no target can have seen the request.
 */
#define MC_ERROR_KINDS(X)                                          \
	X(OK, "ok", 200, false, 0)                                 \
	X(INTERNAL, "internal", 500, false, 0)                     \
	X(BAD_REQUEST, "bad_request", 400, true, 0)                \
	X(TOO_LARGE, "too_large", 413, true, 0)                    \
	X(NOT_FOUND, "not_found", 404, true, 0)                    \
	X(BAD_METHOD, "bad_method", 405, true, 0)                  \
	X(UNKNOWN_SERVICE, "unknown_service", 404, true, 0)        \
	X(DEADLINE_PAST, "deadline_past", 504, true, 0)            \
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

/** enum mc_err_t - every error kind of the system */
typedef enum mc_err_t {
#define X(kind, name, status, not_run, retry) MC_ERR_##kind,
	MC_ERROR_KINDS(X)
#undef X
	MC_ERR_COUNT
} mc_err_t;

#define MC_OK MC_ERR_OK

/**
 * struct mc_error_answer_t - what a caller is told for an error kind
 * @name: the kind's name in answers and logs
 * @http_status: status code
 * @not_run: the request has certainly not been run by any target
 * @retry_after: when to try again, ms; 0 for "do not retry"
 */
typedef struct mc_error_response_t {
	const char *name;
	int http_status;
	bool not_run;
	mc_ms_t retry_after;
} mc_error_response_t;

/** mc_error_answer() - row of @kind; MC_ERR_INTERNAL's for a bad kind */
const mc_error_response_t *mc_error_response(mc_err_t kind);

/** mc_error_name() - short name of @kind */
const char *mc_error_name(mc_err_t kind);

/**
 * mc_error_from_name() - kind with the short name @name
 *
 * Return: the kind, or MC_ERR_INTERNAL if there is none.
 */
mc_err_t mc_error_from_name(const char *name);

/**
 * mc_fail() - set the calling thread's last message
 * @kind: the kind to return
 * @format: printf format of the message
 *
 * Return: @kind, so that callers can write "return mc_fail(...)".
 */
mc_err_t mc_fail(mc_err_t kind, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** mc_last_message() - the calling thread's last message; never NULL */
const char *mc_last_error_message(void);

#endif

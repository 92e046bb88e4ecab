/*
 * The table that maps error kinds to responses, and the error message of each
 * thread.
 */
#include "mc/base/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum {
	MESSAGE_SIZE = 512,
};

static _Thread_local char last_message[MESSAGE_SIZE];

const mc_error_response_t *mc_error_response(mc_err_t kind)
{
	static const mc_error_response_t responses[] = {
#define X(kind, text, status, never_run, retry) \
	[MC_ERR_##kind] = {                     \
		.name = text,                   \
		.http_status = status,          \
		.not_run = never_run,           \
		.retry_after = retry,           \
	},
		MC_ERROR_KINDS(X)
#undef X
	};

	if ((unsigned)kind >= MC_ERR_COUNT)
		kind = MC_ERR_INTERNAL;
	return &responses[kind];
}

mc_err_t mc_error_for_outcome(mc_err_t kind, bool may_have_run)
{
	if (may_have_run)
		return mc_error_response(kind)->not_run ? MC_ERR_OUTCOME_UNKNOWN
							: kind;
	if (kind == MC_ERR_DEADLINE_EXCEEDED)
		return MC_ERR_DEADLINE_PAST;
	return kind == MC_ERR_TARGET_FAILED ? MC_ERR_NO_TARGET : kind;
}

const char *mc_error_name(mc_err_t kind)
{
	return mc_error_response(kind)->name;
}

mc_err_t mc_error_from_name(const char *name)
{
	int i;

	for (i = 0; i < MC_ERR_COUNT; i++)
		if (!strcmp(name, mc_error_name((mc_err_t)i)))
			return (mc_err_t)i;
	return MC_ERR_INTERNAL;
}

mc_err_t mc_fail(mc_err_t kind, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(last_message, sizeof(last_message), format, args);
	va_end(args);
	return kind;
}

const char *mc_last_error_message(void)
{
	return last_message;
}

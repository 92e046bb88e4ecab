/*
 * Logging in logfmt, a machine-readable format:
 *
 *	ts=1787228322.034 level=info part=tier msg="request done" id=9c41 ms=31
 *
 * The field ts is in seconds since the Unix epoch. The caller's format is a
 * short sentence followed by key=value pairs; values with spaces are quoted.
 *
 * Logging never blocks the caller: lines pass through a bounded queue to a
 * writer thread, which drops lines if the reader of the pipe does not keep up.
 * Each level has a rate limit, so that frequent lines do not displace rare
 * ones. Dropped lines are counted, and those over the rate limit are reported
 * in a line "lines suppressed".
 */
#ifndef MC_BASE_LOG_H
#define MC_BASE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mc/base/error.h"

/** enum mc_log_level_t - log levels; the values are syslog's severities */
typedef enum mc_log_level_t {
	MC_LOG_ERROR = 3,
	MC_LOG_WARNING = 4,
	MC_LOG_NOTICE = 5,
	MC_LOG_INFO = 6,
	MC_LOG_DEBUG = 7,
} mc_log_level_t;

typedef struct mc_log_t mc_log_t;

/**
 * struct mc_log_sink_t - destination of log lines
 * @write: writes one line of @size bytes including its newline; returns false
 *	if it could not be written
 * @ctx: argument for @write
 */
typedef struct mc_log_sink_t {
	bool (*write)(void *ctx, const char *line, size_t size);
	void *ctx;
} mc_log_sink_t;

/** mc_log_sink_stdout() - Get the sink that writes to standard output. */
const mc_log_sink_t *mc_log_sink_stdout(void);

/**
 * mc_log_create() - Create a log and start its writer thread.
 * @sink: destination of lines; copied
 * @level: least severe level that is written
 *
 * Return: the log, owned by the caller; NULL if memory or threads are
 * exhausted.
 */
mc_log_t *mc_log_create(const mc_log_sink_t *sink, mc_log_level_t level);

/**
 * mc_log_destroy() - Write the queued lines, stop the thread and free the log.
 * NULL is allowed.
 */
void mc_log_destroy(mc_log_t *log);

/**
 * mc_log_enabled() - Check whether lines of @level are written. False if @log
 * is NULL.
 */
bool mc_log_enabled(const mc_log_t *log, mc_log_level_t level);

/**
 * mc_log_dropped_count() - Get the number of lines that were not written so
 * far, for any reason.
 */
uint64_t mc_log_dropped_count(const mc_log_t *log);

/**
 * mc_log_level_parse() - Parse the name of a level, such as "info".
 *
 * Return: MC_OK or MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_log_level_parse(const char *name, mc_log_level_t *level);

/**
 * mc_log_write() - Queue a line. Use mc_log() instead of calling it directly.
 * @log: the log; may be NULL
 * @level: level of the line
 * @part: component that logs, the field "part"
 * @format: printf format of the sentence and the key=value pairs
 */
void mc_log_write(mc_log_t *log, mc_log_level_t level, const char *part,
		  const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * mc_log_write_crash() - Write the queued lines and a last one
 * @log: the log; may be NULL
 * @line: the last line, complete
 * @size: bytes of @line
 *
 * For handlers of fatal signals only: it takes no lock, so that a line may be
 * written twice or be torn if other threads log meanwhile.
 */
void mc_log_write_crash(mc_log_t *log, const char *line, size_t size);

/*
 * Checks the level before it evaluates the arguments, so that a disabled line
 * costs only one comparison.
 */
#define mc_log(log, level, ...)                                \
	do {                                                   \
		if (mc_log_enabled(log, level))                \
			mc_log_write(log, level, __VA_ARGS__); \
	} while (0)

#endif

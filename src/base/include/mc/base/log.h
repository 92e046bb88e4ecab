/*
 * Log lines for machines (logfmt):
 *
 *	ts=1787228322.034 level=info part=tier msg="request done" id=9c41 ms=31
 *
 * @ts is seconds since the Unix epoch. Callers write a short sentence followed
 * by key=value pairs; a value with spaces stands in quotes.
 *
 * Writing never blocks the caller: lines pass through a bounded queue to a
 * writer thread, which gives up on a pipe that nobody reads. Each level has a
 * budget of lines per second, so that what is frequent does not push out what
 * is rare. Lines that are not written are counted, and a line says how many.
 */
#ifndef MC_BASE_LOG_H
#define MC_BASE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mc/base/error.h"

/** enum mc_log_level_t - syslog's severities that are in use */
typedef enum mc_log_level_t {
	MC_LOG_ERROR = 3,
	MC_LOG_WARNING = 4,
	MC_LOG_NOTICE = 5,
	MC_LOG_INFO = 6,
	MC_LOG_DEBUG = 7,
} mc_log_level_t;

typedef struct mc_log_t mc_log_t;

/**
 * struct mc_log_sink_t - where lines go
 * @write: writes one whole line of @size bytes with its newline; false when
 *	it could not be written
 * @ctx: passed to @write
 */
typedef struct mc_log_sink_t {
	bool (*write)(void *ctx, const char *line, size_t size);
	void *ctx;
} mc_log_sink_t;

/** mc_log_sink_stdout() - the sink that writes to standard output */
const mc_log_sink_t *mc_log_sink_stdout(void);

/**
 * mc_log_create() - start a log and its writer thread
 * @sink: copied
 * @level: least severe level that is written
 *
 * Return: the log, owned by the caller; NULL without memory or thread.
 */
mc_log_t *mc_log_create(const mc_log_sink_t *sink, mc_log_level_t level);

/** mc_log_destroy() - write what is queued, stop the thread, free the log */
void mc_log_destroy(mc_log_t *log);

/** mc_log_enabled() - whether lines of @level are written; false for NULL */
bool mc_log_enabled(const mc_log_t *log, mc_log_level_t level);

/** mc_log_dropped() - lines that were not written so far, for any reason */
uint64_t mc_log_dropped_count(const mc_log_t *log);

/**
 * mc_log_level_parse() - level of a name such as "info"
 *
 * Return: MC_OK or MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_log_level_parse(const char *name, mc_log_level_t *level);

/** mc_log_write() - queue a line; @log may be NULL */
void mc_log_write(mc_log_t *log, mc_log_level_t level, const char *part,
		  const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/*
 * The level is tested before the arguments are evaluated, so that a line that
 * is not written costs one comparison.
 */
#define mc_log(log, level, ...)                                \
	do {                                                   \
		if (mc_log_enabled(log, level))                \
			mc_log_write(log, level, __VA_ARGS__); \
	} while (0)

#endif

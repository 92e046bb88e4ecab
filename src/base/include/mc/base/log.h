/*
 * Log lines in syslog's manner: "<priority>part: short sentence key=value".
 * Writing never blocks the caller: lines pass through a bounded queue to a
 * writer thread, and lines that find it full are counted and dropped.
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
 * @write: writes one whole line of @size bytes with its newline
 * @ctx: passed to @write
 */
typedef struct mc_log_sink_t {
	void (*write)(void *ctx, const char *line, size_t size);
	void *ctx;
} mc_log_sink_t;

/** mc_log_sink_stderr() - the sink that writes to standard error */
const mc_log_sink_t *mc_log_sink_stderr(void);

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

/** mc_log_dropped() - lines dropped so far */
uint64_t mc_log_dropped(const mc_log_t *log);

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

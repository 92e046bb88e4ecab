/*
 * The log's queue and writer thread. Producers copy a finished line into a
 * ring under a lock that is held for the copy only; the writer takes lines out
 * and hands them to the sink, outside the lock.
 */
#include "mc/base/log.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	LINE_SIZE = 512,
	QUEUE_LINES = 4096,
};

typedef struct {
	size_t size;
	char text[LINE_SIZE];
} line_t;

struct mc_log_t {
	mc_log_sink_t sink;
	mc_log_level_t level;
	pthread_t writer;
	pthread_mutex_t lock;
	pthread_cond_t filled;
	bool stopping;
	uint64_t dropped;
	uint32_t head;
	uint32_t count;
	line_t lines[QUEUE_LINES];
};

static void write_stderr(void *ctx, const char *line, size_t size)
{
	ssize_t written;

	(void)ctx;
	while (size > 0) {
		written = write(STDERR_FILENO, line, size);
		if (written <= 0)
			return;
		line += written;
		size -= (size_t)written;
	}
}

const mc_log_sink_t *mc_log_sink_stderr(void)
{
	static const mc_log_sink_t sink = { .write = write_stderr };

	return &sink;
}

static bool take_line(mc_log_t *log, line_t *line)
{
	bool taken = false;

	pthread_mutex_lock(&log->lock);
	while (!log->count && !log->stopping)
		pthread_cond_wait(&log->filled, &log->lock);
	if (log->count) {
		*line = log->lines[log->head];
		log->head = (log->head + 1) % QUEUE_LINES;
		log->count--;
		taken = true;
	}
	pthread_mutex_unlock(&log->lock);
	return taken;
}

static void *run_writer(void *arg)
{
	mc_log_t *log = arg;
	line_t line;

	while (take_line(log, &line))
		log->sink.write(log->sink.ctx, line.text, line.size);
	return NULL;
}

mc_log_t *mc_log_create(const mc_log_sink_t *sink, mc_log_level_t level)
{
	mc_log_t *log = calloc(1, sizeof(*log));

	if (!log)
		return NULL;
	log->sink = *sink;
	log->level = level;
	pthread_mutex_init(&log->lock, NULL);
	pthread_cond_init(&log->filled, NULL);
	if (pthread_create(&log->writer, NULL, run_writer, log)) {
		free(log);
		return NULL;
	}
	return log;
}

void mc_log_destroy(mc_log_t *log)
{
	if (!log)
		return;
	pthread_mutex_lock(&log->lock);
	log->stopping = true;
	pthread_cond_signal(&log->filled);
	pthread_mutex_unlock(&log->lock);
	pthread_join(log->writer, NULL);
	pthread_cond_destroy(&log->filled);
	pthread_mutex_destroy(&log->lock);
	free(log);
}

bool mc_log_enabled(const mc_log_t *log, mc_log_level_t level)
{
	return log && level <= log->level;
}

uint64_t mc_log_dropped(const mc_log_t *log)
{
	return log ? __atomic_load_n(&log->dropped, __ATOMIC_RELAXED) : 0;
}

mc_err_t mc_log_level_parse(const char *name, mc_log_level_t *level)
{
	static const struct {
		const char *name;
		mc_log_level_t level;
	} levels[] = {
		{ "error", MC_LOG_ERROR },   { "warning", MC_LOG_WARNING },
		{ "notice", MC_LOG_NOTICE }, { "info", MC_LOG_INFO },
		{ "debug", MC_LOG_DEBUG },
	};
	size_t i;

	for (i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (strcmp(levels[i].name, name))
			continue;
		*level = levels[i].level;
		return MC_OK;
	}
	return mc_fail(MC_ERR_BAD_SETTINGS,
		       "log level \"%s\": expected error, warning, notice, "
		       "info or debug",
		       name);
}

static size_t format_line(char *text, mc_log_level_t level, const char *part,
			  const char *format, va_list args)
{
	int used = snprintf(text, LINE_SIZE - 1, "<%d>%s: ", (int)level, part);
	int added;

	added = vsnprintf(text + used, (size_t)(LINE_SIZE - 1 - used), format,
			  args);
	used += added;
	if (used > LINE_SIZE - 2)
		used = LINE_SIZE - 2;
	text[used++] = '\n';
	return (size_t)used;
}

void mc_log_write(mc_log_t *log, mc_log_level_t level, const char *part,
		  const char *format, ...)
{
	line_t line;
	va_list args;

	if (!mc_log_enabled(log, level))
		return;
	va_start(args, format);
	line.size = format_line(line.text, level, part, format, args);
	va_end(args);
	pthread_mutex_lock(&log->lock);
	if (log->count < QUEUE_LINES) {
		line_t *slot =
			&log->lines[(log->head + log->count) % QUEUE_LINES];

		slot->size = line.size;
		memcpy(slot->text, line.text, line.size);
		if (!log->count++)
			pthread_cond_signal(&log->filled);
	} else {
		__atomic_fetch_add(&log->dropped, 1, __ATOMIC_RELAXED);
	}
	pthread_mutex_unlock(&log->lock);
}

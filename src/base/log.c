/*
 * The log's queue and writer thread. Producers copy a finished line into a
 * ring under a lock that is held for the copy only; the writer takes lines out
 * and hands them to the sink, outside the lock.
 */
#include "mc/base/log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "mc/base/clock.h"

enum {
	LINE_SIZE = 512,
	QUEUE_LINES = 4096,
	LEVELS = MC_LOG_DEBUG + 1,
	/* A pipe that takes nothing for so long loses the line, ms. */
	WRITE_WAIT_MS = 100,
	MS_PER_S = 1000,
};

/* Lines a second of each level, of which two seconds' can be saved up. */
static const double line_rates[LEVELS] = {
	[MC_LOG_ERROR] = 50, [MC_LOG_WARNING] = 50, [MC_LOG_NOTICE] = 50,
	[MC_LOG_INFO] = 100, [MC_LOG_DEBUG] = 40,
};
static const double saved_seconds = 2;

static const char *const level_names[LEVELS] = {
	[MC_LOG_ERROR] = "error",   [MC_LOG_WARNING] = "warning",
	[MC_LOG_NOTICE] = "notice", [MC_LOG_INFO] = "info",
	[MC_LOG_DEBUG] = "debug",
};

typedef struct {
	size_t size;
	char text[LINE_SIZE];
} line_t;

/* What a level may still write, and what it could not. */
typedef struct {
	double tokens;
	mc_ms_t filled;
	uint64_t suppressed;
} budget_t;

struct mc_log_t {
	mc_log_sink_t sink;
	mc_log_level_t level;
	pthread_t writer;
	pthread_mutex_t lock;
	pthread_cond_t filled;
	bool stopping;
	uint64_t dropped;
	budget_t budgets[LEVELS];
	uint32_t head;
	uint32_t count;
	line_t lines[QUEUE_LINES];
};

/* A line is shorter than what a pipe takes at once when it takes anything. */
static bool write_stdout(void *ctx, const char *line, size_t size)
{
	struct pollfd ready = { .fd = STDOUT_FILENO, .events = POLLOUT };

	(void)ctx;
	if (poll(&ready, 1, WRITE_WAIT_MS) != 1 || !(ready.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, size) == (ssize_t)size;
}

const mc_log_sink_t *mc_log_sink_stdout(void)
{
	static const mc_log_sink_t sink = { .write = write_stdout };

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
		if (!log->sink.write(log->sink.ctx, line.text, line.size))
			__atomic_fetch_add(&log->dropped, 1, __ATOMIC_RELAXED);
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

uint64_t mc_log_dropped_count(const mc_log_t *log)
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

/* Where the pairs begin: behind the last space before the first "=". */
static size_t sentence_size(const char *text)
{
	const char *equals = strchr(text, '=');
	const char *end = equals ? equals : text + strlen(text);

	if (!equals)
		return (size_t)(end - text);
	while (end > text && *end != ' ')
		end--;
	return (size_t)(end - text);
}

static void clean(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ')
			*text = ' ';
}

static size_t format_line(char *line, mc_log_level_t level, const char *part,
			  const char *format, va_list args)
{
	mc_ms_t now = mc_clock_wall(mc_clock_system());
	char text[LINE_SIZE];
	size_t sentence;
	int used;

	vsnprintf(text, sizeof(text), format, args);
	clean(text);
	sentence = sentence_size(text);
	used = snprintf(line, LINE_SIZE - 1,
			"ts=%lld.%03lld level=%s part=%s msg=\"%.*s\"%s",
			(long long)(now / MS_PER_S),
			(long long)(now % MS_PER_S), level_names[level], part,
			(int)sentence, text, text + sentence);
	if (used > LINE_SIZE - 2)
		used = LINE_SIZE - 2;
	line[used++] = '\n';
	return (size_t)used;
}

/* With the lock held. */
static bool may_write(mc_log_t *log, mc_log_level_t level)
{
	mc_ms_t now = mc_clock_now(mc_clock_system());
	budget_t *budget = &log->budgets[level];
	double most = line_rates[level] * saved_seconds;

	budget->tokens +=
		(double)(now - budget->filled) * line_rates[level] / MS_PER_S;
	if (budget->tokens > most || !budget->filled)
		budget->tokens = most;
	budget->filled = now;
	if (budget->tokens < 1) {
		budget->suppressed++;
		__atomic_fetch_add(&log->dropped, 1, __ATOMIC_RELAXED);
		return false;
	}
	budget->tokens -= 1;
	return true;
}

/* With the lock held. */
static void add_line(mc_log_t *log, const line_t *line)
{
	line_t *slot;

	if (log->count == QUEUE_LINES) {
		__atomic_fetch_add(&log->dropped, 1, __ATOMIC_RELAXED);
		return;
	}
	slot = &log->lines[(log->head + log->count) % QUEUE_LINES];
	slot->size = line->size;
	memcpy(slot->text, line->text, line->size);
	if (!log->count++)
		pthread_cond_signal(&log->filled);
}

static void format_suppressed(line_t *line, mc_log_level_t level,
			      const char *format, ...)
	__attribute__((format(printf, 3, 4)));

static void format_suppressed(line_t *line, mc_log_level_t level,
			      const char *format, ...)
{
	va_list args;

	va_start(args, format);
	line->size = format_line(line->text, level, "log", format, args);
	va_end(args);
}

/* With the lock held, before a line of a level that had to be quiet. */
static void tell_suppressed(mc_log_t *log, mc_log_level_t level)
{
	line_t line;

	if (!log->budgets[level].suppressed)
		return;
	format_suppressed(&line, level, "lines suppressed count=%llu",
			  (unsigned long long)log->budgets[level].suppressed);
	log->budgets[level].suppressed = 0;
	add_line(log, &line);
}

void mc_log_write(mc_log_t *log, mc_log_level_t level, const char *part,
		  const char *format, ...)
{
	bool allowed;
	line_t line;
	va_list args;

	if (!mc_log_enabled(log, level))
		return;
	pthread_mutex_lock(&log->lock);
	allowed = may_write(log, level);
	if (allowed)
		tell_suppressed(log, level);
	pthread_mutex_unlock(&log->lock);
	if (!allowed)
		return;
	va_start(args, format);
	line.size = format_line(line.text, level, part, format, args);
	va_end(args);
	pthread_mutex_lock(&log->lock);
	add_line(log, &line);
	pthread_mutex_unlock(&log->lock);
}

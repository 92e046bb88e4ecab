/*
 * The queue and writer thread of a log. Producers hold the lock only while they
 * copy a formatted line into the ring buffer. The writer thread removes lines
 * under the lock and passes them to the sink without it.
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
	LEVEL_COUNT = MC_LOG_DEBUG + 1,
	/* A line is dropped if the pipe stays full for this time, ms. */
	WRITE_WAIT_MS = 100,
	MS_PER_S = 1000,
};

/*
 * Token bucket of each level: lines per second, with bursts of up to two
 * seconds' worth of lines.
 */
static const double line_rates[LEVEL_COUNT] = {
	[MC_LOG_ERROR] = 50, [MC_LOG_WARNING] = 50, [MC_LOG_NOTICE] = 50,
	[MC_LOG_INFO] = 100, [MC_LOG_DEBUG] = 40,
};
static const double burst_seconds = 2;

static const char *const level_names[LEVEL_COUNT] = {
	[MC_LOG_ERROR] = "error",   [MC_LOG_WARNING] = "warning",
	[MC_LOG_NOTICE] = "notice", [MC_LOG_INFO] = "info",
	[MC_LOG_DEBUG] = "debug",
};

typedef struct {
	size_t size;
	char text[LINE_SIZE];
} line_t;

/*
 * Rate limit of a level: tokens left, time of the last refill, and lines
 * suppressed since the last report.
 */
typedef struct {
	double tokens;
	mc_ms_t refilled_at;
	uint64_t suppressed;
} rate_limit_t;

struct mc_log_t {
	mc_log_sink_t sink;
	mc_log_level_t level;
	pthread_t writer;
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	bool stopping;
	uint64_t dropped;
	rate_limit_t rate_limits[LEVEL_COUNT];
	uint32_t head;
	uint32_t count;
	line_t lines[QUEUE_LINES];
};

/*
 * A pipe that polls as writable accepts a whole line, because lines are shorter
 * than what a pipe accepts in one write.
 */
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

static bool remove_line(mc_log_t *log, line_t *line)
{
	bool removed = false;

	pthread_mutex_lock(&log->lock);
	while (!log->count && !log->stopping)
		pthread_cond_wait(&log->not_empty, &log->lock);
	if (log->count) {
		*line = log->lines[log->head];
		log->head = (log->head + 1) % QUEUE_LINES;
		log->count--;
		removed = true;
	}
	pthread_mutex_unlock(&log->lock);
	return removed;
}

/* Once the process stops, it doesn't wait for a reader that takes no lines:
 * with each of them it would wait again. */
static void drop_lines_if_stopping(mc_log_t *log)
{
	pthread_mutex_lock(&log->lock);
	if (log->stopping) {
		__atomic_fetch_add(&log->dropped, log->count, __ATOMIC_RELAXED);
		log->count = 0;
	}
	pthread_mutex_unlock(&log->lock);
}

static void *run_writer(void *arg)
{
	mc_log_t *log = arg;
	line_t line;

	while (remove_line(log, &line)) {
		if (log->sink.write(log->sink.ctx, line.text, line.size))
			continue;
		__atomic_fetch_add(&log->dropped, 1, __ATOMIC_RELAXED);
		drop_lines_if_stopping(log);
	}
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
	pthread_cond_init(&log->not_empty, NULL);
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
	pthread_cond_signal(&log->not_empty);
	pthread_mutex_unlock(&log->lock);
	pthread_join(log->writer, NULL);
	pthread_cond_destroy(&log->not_empty);
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

/* The sentence ends at the last space before the first "=", or at the end. */
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

static void replace_control_characters(char *text)
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
	replace_control_characters(text);
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

/* Takes a token of the level. The caller holds the lock. */
static bool take_token(mc_log_t *log, mc_log_level_t level)
{
	mc_ms_t now = mc_clock_now(mc_clock_system());
	rate_limit_t *rate_limit = &log->rate_limits[level];
	double capacity = line_rates[level] * burst_seconds;

	rate_limit->tokens += (double)(now - rate_limit->refilled_at) *
			      line_rates[level] / MS_PER_S;
	if (rate_limit->tokens > capacity || !rate_limit->refilled_at)
		rate_limit->tokens = capacity;
	rate_limit->refilled_at = now;
	if (rate_limit->tokens < 1) {
		rate_limit->suppressed++;
		__atomic_fetch_add(&log->dropped, 1, __ATOMIC_RELAXED);
		return false;
	}
	rate_limit->tokens -= 1;
	return true;
}

/* Appends a line to the queue. The caller holds the lock. */
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
		pthread_cond_signal(&log->not_empty);
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

/*
 * Queues a line with the number of lines suppressed since the last one of this
 * level, if any. The caller holds the lock.
 */
static void report_suppressed(mc_log_t *log, mc_log_level_t level)
{
	line_t line;

	if (!log->rate_limits[level].suppressed)
		return;
	format_suppressed(
		&line, level, "lines suppressed count=%llu",
		(unsigned long long)log->rate_limits[level].suppressed);
	log->rate_limits[level].suppressed = 0;
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
	allowed = take_token(log, level);
	if (allowed)
		report_suppressed(log, level);
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

void mc_log_write_crash(mc_log_t *log, const char *line, size_t size)
{
	uint32_t i;

	if (!log)
		return;
	for (i = 0; i < log->count && i < QUEUE_LINES; i++) {
		const line_t *queued =
			&log->lines[(log->head + i) % QUEUE_LINES];

		log->sink.write(log->sink.ctx, queued->text, queued->size);
	}
	log->sink.write(log->sink.ctx, line, size);
}

/*
 * Processor time and memory of processes, as /proc tells them.
 */
#ifndef BENCH_USAGE_H
#define BENCH_USAGE_H

#include <sys/types.h>

/**
 * struct usage_t - what a process, or several together, have used
 * @cpu_ms: processor time, ms
 * @rss_kb: resident memory, KB
 */
typedef struct usage_t {
	double cpu_ms;
	double rss_kb;
} usage_t;

/** usage_read() - of a process; zeros if it has ended */
usage_t usage_read(pid_t pid);

#endif

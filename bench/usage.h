/*
 * CPU time and resident memory of processes, read from /proc.
 */
#ifndef BENCH_USAGE_H
#define BENCH_USAGE_H

#include <sys/types.h>

/**
 * struct usage_t - resource usage of a process, or the sum over several
 * @cpu_time_ms: user and system CPU time, ms
 * @resident_kb: resident memory, KB
 */
typedef struct usage_t {
	double cpu_time_ms;
	double resident_kb;
} usage_t;

/** usage_read() - Read the usage of a process; zeros if it has ended. */
usage_t usage_read(pid_t pid);

#endif

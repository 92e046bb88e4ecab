/*
 * The last words of a process that is ended by a fatal signal, such as a
 * segmentation fault: the log lines that are still queued, a line with the
 * signal, and the stack of the thread on standard error.
 */
#ifndef MC_BASE_CRASH_H
#define MC_BASE_CRASH_H

#include "mc/base/log.h"

/**
 * mc_crash_log_to() - Log fatal signals of this process
 * @log: receives the lines; must outlive the last thread but the caller's; NULL
 *	ends the logging
 *
 * The process still ends by the signal. Signals that already have a handler,
 * such as one of a sanitizer, keep it.
 */
void mc_crash_log_to(mc_log_t *log);

#endif

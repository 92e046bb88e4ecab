/*
 * Handler of fatal signals. It calls only functions that are safe in one, and
 * takes no lock: the thread that was interrupted may hold it.
 */
#include "mc/base.h"

#include <execinfo.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

enum {
	/* Most stack frames that are printed. */
	FRAMES_MAX = 32,
	LINE_SIZE = 160,
	/* Digits of a 64-bit number in base 10. */
	DIGITS_MAX = 20,
	DECIMAL = 10,
	HEXADECIMAL = 16,
	MS_PER_S = 1000,
	MS_DIGITS = 3,
};

static const struct {
	int number;
	const char *name;
} fatal_signals[] = {
	{ SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" }, { SIGABRT, "SIGABRT" },
	{ SIGFPE, "SIGFPE" },	{ SIGILL, "SIGILL" },
};

static mc_log_t *crash_log;

static const char *signal_name(int number)
{
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(fatal_signals); i++)
		if (fatal_signals[i].number == number)
			return fatal_signals[i].name;
	return "-";
}

static char *append_number(char *at, uint64_t value, unsigned int base,
			   size_t digits_min)
{
	static const char digits[] = "0123456789abcdef";
	char reversed[DIGITS_MAX];
	size_t count = 0;

	do {
		reversed[count++] = digits[value % base];
		value /= base;
	} while (value || count < digits_min);
	while (count)
		*at++ = reversed[--count];
	return at;
}

static char *append_time(char *at)
{
	mc_ms_t now = mc_clock_wall(mc_clock_system());

	at = stpcpy(at, "ts=");
	at = append_number(at, (uint64_t)(now / MS_PER_S), DECIMAL, 1);
	*at++ = '.';
	return append_number(at, (uint64_t)(now % MS_PER_S), DECIMAL,
			     MS_DIGITS);
}

static void print_stack(void)
{
	void *frames[FRAMES_MAX];
	int count = backtrace(frames, FRAMES_MAX);

	backtrace_symbols_fd(frames, count, STDERR_FILENO);
}

static void on_fatal_signal(int number, siginfo_t *info, void *context)
{
	char line[LINE_SIZE];
	char *at = line;

	(void)context;
	at = append_time(at);
	at = stpcpy(at, " level=error part=process msg=\"process ended by "
			"a signal\" signal=");
	at = stpcpy(at, signal_name(number));
	at = stpcpy(at, " address=0x");
	at = append_number(at, (uintptr_t)info->si_addr, HEXADECIMAL, 1);
	at = stpcpy(at, "\n");
	mc_log_write_crash(crash_log, line, (size_t)(at - line));
	print_stack();
	/* The default action was restored when the handler was entered. */
	raise(number);
}

void mc_crash_log_to(mc_log_t *log)
{
	const struct sigaction action = {
		.sa_sigaction = on_fatal_signal,
		.sa_flags = SA_SIGINFO | SA_RESETHAND,
	};
	struct sigaction former;
	void *frame;
	size_t i;

	/* The first call may allocate memory, which a handler can't. */
	backtrace(&frame, 1);
	__atomic_store_n(&crash_log, log, __ATOMIC_RELEASE);
	for (i = 0; i < MC_ARRAY_LEN(fatal_signals); i++) {
		sigaction(fatal_signals[i].number, NULL, &former);
		if (log && former.sa_handler == SIG_DFL)
			sigaction(fatal_signals[i].number, &action, NULL);
	}
}

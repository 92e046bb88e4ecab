/*
 * Process control of the system tests. The processes of a test are records of a
 * table. Each runs in its own process group and is killed by the kernel when
 * the test program exits.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <poll.h>
#include <cmocka.h>

#include "harness.h"

enum {
	PROCESSES_MAX = 256,
	PATH_SIZE = 512,
	LINE_SIZE = 64,
	/* Interval between two checks of a condition. */
	POLL_INTERVAL_MS = 20,
	NS_PER_MS = 1000000,
	MS_PER_SECOND = 1000,
	FILE_MODE = 0644,
	DIR_MODE = 0755,
	EXEC_FAILED = 127,
};

/* @dir_lock: descriptor that keeps other programs out of the directory */
struct harness_t {
	char output_dir[PATH_SIZE / 2];
	int dir_lock;
	mc_table_t *processes;
};

/* @stdout_fd: read end of the pipe that receives its standard output */
typedef struct process_t {
	pid_t pid;
	int stdout_fd;
} process_t;

/*
 * Makes logs/NAME the output directory, or logs/NAME.2 and so on if a test that
 * runs at the same time uses it: it holds settings files that instances read
 * again when they are restarted.
 */
static void open_output_dir(harness_t *harness, const char *name)
{
	int i;

	mkdir("logs", DIR_MODE);
	snprintf(harness->output_dir, sizeof(harness->output_dir), "logs/%s",
		 name);
	for (i = 2;; i++) {
		mkdir(harness->output_dir, DIR_MODE);
		harness->dir_lock = open(harness->output_dir,
					 O_RDONLY | O_DIRECTORY | O_CLOEXEC);
		assert_true(harness->dir_lock >= 0);
		if (!flock(harness->dir_lock, LOCK_EX | LOCK_NB))
			return;
		close(harness->dir_lock);
		snprintf(harness->output_dir, sizeof(harness->output_dir),
			 "logs/%s.%d", name, i);
	}
}

harness_t *harness_create(const char *name)
{
	harness_t *harness = calloc(1, sizeof(*harness));

	if (!harness)
		return NULL;
	open_output_dir(harness, name);
	harness->processes = mc_table_create(sizeof(process_t), PROCESSES_MAX);
	if (!harness->processes) {
		free(harness);
		return NULL;
	}
	return harness;
}

const char *harness_output_dir(const harness_t *harness)
{
	return harness->output_dir;
}

/* Sends @signal; kills the process if it has not exited in time. */
static int terminate_process(process_t *process, int signal)
{
	const mc_clock_t *clock = mc_clock_system();
	mc_ms_t deadline = mc_clock_now(clock) + HARNESS_WAIT_MS;
	int status = 0;

	kill(process->pid, signal);
	/* A stopped process handles pending signals only after SIGCONT. */
	kill(process->pid, SIGCONT);
	while (!waitpid(process->pid, &status, WNOHANG)) {
		if (mc_clock_now(clock) >= deadline)
			kill(process->pid, SIGKILL);
		harness_sleep(POLL_INTERVAL_MS);
	}
	close(process->stdout_fd);
	return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

void harness_destroy(harness_t *harness)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	process_t *process;

	if (!harness)
		return;
	while ((process = mc_table_next(harness->processes, &cursor, &handle)))
		terminate_process(process, SIGKILL);
	mc_table_destroy(harness->processes);
	close(harness->dir_lock);
	free(harness);
}

/*
 * Standard output of a role of mangocove is its log and goes to the log file;
 * that of other programs is read by the test.
 */
static bool is_role(const char *const *argv)
{
	static const char *const roles[] = { "front", "gather", "tier" };
	size_t i;

	for (i = 0; argv[1] && i < MC_ARRAY_LEN(roles); i++)
		if (!strcmp(argv[1], roles[i]))
			return true;
	return false;
}

/*
 * Runs in the child process. Calls only async-signal-safe functions, since the
 * test program may have several threads when it forks.
 */
_Noreturn static void run_program(const char *log, int output, pid_t parent,
				  const char *const *argv)
{
	int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, FILE_MODE);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent || fd < 0)
		_exit(EXEC_FAILED);
	setpgid(0, 0);
	dup2(is_role(argv) ? fd : output, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(argv[0], (char *const *)argv);
	_exit(EXEC_FAILED);
}

mc_handle_t harness_start(harness_t *harness, const char *name,
			  const char *const *argv)
{
	char log[PATH_SIZE];
	pid_t parent = getpid();
	mc_handle_t handle;
	process_t *process;
	void *record;
	int pipe_fds[2];

	snprintf(log, sizeof(log), "%s/%s.log", harness->output_dir, name);
	assert_int_equal(pipe2(pipe_fds, O_CLOEXEC), 0);
	assert_int_equal(mc_table_add(harness->processes, &handle, &record),
			 MC_OK);
	process = record;
	process->stdout_fd = pipe_fds[0];
	process->pid = fork();
	if (!process->pid)
		run_program(log, pipe_fds[1], parent, argv);
	close(pipe_fds[1]);
	if (process->pid < 0) {
		mc_table_remove(harness->processes, handle);
		fail_msg("fork failed");
	}
	return handle;
}

static process_t *get_process(harness_t *harness, mc_handle_t handle)
{
	process_t *process = mc_table_get(harness->processes, handle);

	if (!process)
		fail_msg("process handle is not valid");
	return process;
}

/* Reads one line; "" if the program exits or times out before its end. */
static void read_line(const process_t *process, char *line, size_t size)
{
	struct pollfd pfd = { .fd = process->stdout_fd, .events = POLLIN };
	size_t len = 0;

	while (len < size - 1) {
		if (poll(&pfd, 1, HARNESS_WAIT_MS) <= 0 ||
		    read(process->stdout_fd, line + len, 1) <= 0) {
			len = 0;
			break;
		}
		if (line[len] == '\n')
			break;
		len++;
	}
	line[len] = '\0';
}

uint16_t harness_read_port(harness_t *harness, mc_handle_t process)
{
	static const char prefix[] = "port ";
	char line[LINE_SIZE];

	read_line(get_process(harness, process), line, sizeof(line));
	if (strncmp(line, prefix, sizeof(prefix) - 1) != 0)
		fail_msg("expected a line \"port N\", got \"%s\"", line);
	return (uint16_t)strtoul(line + sizeof(prefix) - 1, NULL, 10);
}

int harness_stop(harness_t *harness, mc_handle_t process, int signal)
{
	int status = terminate_process(get_process(harness, process), signal);

	mc_table_remove(harness->processes, process);
	return status;
}

int harness_wait_exit(harness_t *harness, mc_handle_t process, char *output,
		      size_t size)
{
	const process_t *record = get_process(harness, process);
	struct pollfd pfd = { .fd = record->stdout_fd, .events = POLLIN };
	size_t len = 0;
	ssize_t nread = 1;

	while (nread > 0 && len < size - 1) {
		if (poll(&pfd, 1, HARNESS_WAIT_MS) <= 0)
			fail_msg("program wrote nothing and did not exit "
				 "in time");
		nread = read(pfd.fd, output + len, size - 1 - len);
		len += nread > 0 ? (size_t)nread : 0;
	}
	output[len] = '\0';
	return harness_stop(harness, process, 0);
}

mc_ms_t harness_now(void)
{
	return mc_clock_now(mc_clock_system());
}

void harness_sleep(mc_ms_t time)
{
	const struct timespec duration = {
		.tv_sec = time / MS_PER_SECOND,
		.tv_nsec = time % MS_PER_SECOND * NS_PER_MS,
	};

	nanosleep(&duration, NULL);
}

void harness_signal(harness_t *harness, mc_handle_t process, int signal)
{
	pid_t pid = get_process(harness, process)->pid;
	siginfo_t info;

	kill(pid, signal);
	if (signal == SIGSTOP)
		waitid(P_PID, (id_t)pid, &info, WSTOPPED | WNOWAIT);
}

pid_t harness_pid(harness_t *harness, mc_handle_t process)
{
	return get_process(harness, process)->pid;
}

bool harness_is_running(harness_t *harness, mc_handle_t process)
{
	siginfo_t info = { 0 };

	waitid(P_PID, (id_t)get_process(harness, process)->pid, &info,
	       WEXITED | WNOHANG | WNOWAIT);
	return info.si_pid == 0;
}

uint16_t harness_free_port(const char *ip)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_true(fd >= 0);
	assert_int_equal(inet_pton(AF_INET, ip, &address.sin_addr), 1);
	assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
	/* Set later than bind(), which else might share a reserved port. */
	assert_int_equal(
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &size),
			 0);
	return ntohs(address.sin_port);
}

bool harness_holds_in_time(harness_condition_fn_t condition, void *ctx)
{
	const mc_clock_t *clock = mc_clock_system();
	mc_ms_t deadline = mc_clock_now(clock) + HARNESS_WAIT_MS;

	while (!condition(ctx)) {
		if (mc_clock_now(clock) >= deadline)
			return false;
		harness_sleep(POLL_INTERVAL_MS);
	}
	return true;
}

void harness_wait_until(const char *what, harness_condition_fn_t condition,
			void *ctx)
{
	if (!harness_holds_in_time(condition, ctx))
		fail_msg("condition not met in time: %s", what);
}

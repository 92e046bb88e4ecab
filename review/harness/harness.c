/*
 * Record, threads, clients and processes.
 */
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

enum {
	/* A case that has not ended after this time could not run, s. */
	RUN_MAX_S = 115,
	/* Ports of processes. */
	PORT_MIN = 12000,
	PORT_BLOCKS = 1000,
	PORT_BLOCK_SIZE = 16,
};

static FILE *record_file;
static int64_t started_at;
static char folder[128];
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static tier_t *tiers[TIERS_MAX];
static int tier_count;
/* The verdict is known: what happens to clients from now on is no finding. */
static volatile bool ending;

bool trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

static int64_t read_clock(clockid_t id)
{
	struct timespec time;

	clock_gettime(id, &time);
	return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

int64_t wall_ms(void)
{
	return read_clock(CLOCK_REALTIME);
}

void sleep_ms(int64_t ms)
{
	struct timespec time = { .tv_sec = ms / 1000,
				 .tv_nsec = ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&time, &time) && errno == EINTR)
		;
}

void sleep_until(int64_t at)
{
	sleep_ms(at - now_ms());
}

static void end_overdue(int signal_number)
{
	(void)signal_number;
	_exit(EXIT_NOT_RUN);
}

void harness_init(const char *record_path)
{
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, end_overdue);
	alarm(RUN_MAX_S);
	started_at = now_ms();
	record_file = fopen(record_path, "w");
	snprintf(folder, sizeof(folder), "/tmp/review-XXXXXX");
	if (!record_file || !mkdtemp(folder)) {
		fprintf(stderr, "no record or no temporary folder\n");
		exit(EXIT_NOT_RUN);
	}
}

static void add_line(const char *format, va_list args)
{
	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)(now_ms() - started_at) / 1000);
	vfprintf(record_file, format, args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void record(const char *format, ...)
{
	va_list args;

	if (ending)
		return;
	va_start(args, format);
	add_line(format, args);
	va_end(args);
}

static void remove_folder(void)
{
	char path[256];
	int i;

	if (getenv("KEEP_LOGS")) {
		fprintf(stderr, "logs are in %s\n", folder);
		return;
	}
	for (i = 0; i < tier_count; i++) {
		snprintf(path, sizeof(path), "%s/%s.toml", folder,
			 tiers[i]->name);
		unlink(path);
		snprintf(path, sizeof(path), "%s/%s.log", folder,
			 tiers[i]->name);
		unlink(path);
	}
	rmdir(folder);
}

void harness_exit(int code, const char *verdict)
{
	int i;

	record("verdict: %s", verdict);
	ending = true;
	for (i = 0; i < tier_count; i++)
		if (tiers[i]->pid > 0)
			tier_kill(tiers[i]);
	printf("%s\n", verdict);
	fflush(stdout);
	remove_folder();
	_exit(code);
}

void thread_start(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 1 << 20);
	if (pthread_create(&thread, &attr, run, arg))
		harness_exit(EXIT_NOT_RUN, "no thread");
	pthread_attr_destroy(&attr);
}

int net_listen(int *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)*port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 512) ||
	    getsockname(fd, (struct sockaddr *)&address, &size))
		harness_exit(EXIT_NOT_RUN, "no listening socket");
	*port = ntohs(address.sin_port);
	return fd;
}

/* A port at which nothing listens. Cases that run side by side take theirs from
 * different blocks, outside the range from which the kernel takes ports of
 * outgoing connections, so that nobody takes it before the process that is to
 * listen there has started. */
static int free_port(void)
{
	static int next;
	struct sockaddr_in address = { .sin_family = AF_INET };
	int first = PORT_MIN + getpid() % PORT_BLOCKS * PORT_BLOCK_SIZE;
	bool is_free = false;
	int fd;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	while (!is_free) {
		if (next == PORT_BLOCK_SIZE)
			harness_exit(EXIT_NOT_RUN, "no free port");
		address.sin_port = htons((uint16_t)(first + next++));
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		is_free =
			!bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
	}
	return ntohs(address.sin_port);
}

bool net_write(int fd, const char *data, size_t size)
{
	ssize_t count;

	while (size) {
		count = send(fd, data, size, MSG_NOSIGNAL);
		if (count < 0 && errno == EINTR)
			continue;
		if (count <= 0)
			return false;
		data += count;
		size -= (size_t)count;
	}
	return true;
}

void header_get(const message_t *message, const char *name, char *value,
		size_t size)
{
	const char *line = strstr(message->head, "\r\n");
	size_t length = strlen(name), used;

	value[0] = '\0';
	while (line && line[2]) {
		line += 2;
		if (!strncasecmp(line, name, length) && line[length] == ':') {
			line += length + 1;
			line += strspn(line, " \t");
			used = strcspn(line, "\r\n");
			snprintf(value, size, "%.*s", (int)used, line);
			return;
		}
		line = strstr(line, "\r\n");
	}
}

/* Reads up to the end of the head, a byte at a time, so that nothing of what
 * follows is taken. */
static bool read_head(int fd, message_t *message)
{
	size_t used = 0;
	ssize_t count;

	while (used + 1 < sizeof(message->head)) {
		count = recv(fd, message->head + used, 1, 0);
		if (count < 0 && errno == EINTR)
			continue;
		if (count <= 0)
			return false;
		used++;
		message->head[used] = '\0';
		if (used >= 4 &&
		    !memcmp(message->head + used - 4, "\r\n\r\n", 4))
			return true;
	}
	return false;
}

bool net_read_message(int fd, message_t *message, bool no_body)
{
	char text[32];
	size_t wanted, used = 0;
	ssize_t count;

	message->head[0] = '\0';
	message->body_size = 0;
	message->body[0] = '\0';
	message->status = 0;
	if (!read_head(fd, message))
		return false;
	if (sscanf(message->head, "HTTP/1.1 %3d", &message->status) != 1 &&
	    sscanf(message->head, "%15s %511s HTTP/1.1", message->method,
		   message->path) != 2)
		return false;
	header_get(message, "Content-Length", text, sizeof(text));
	wanted = no_body ? 0 : strtoul(text, NULL, 10);
	if (wanted >= sizeof(message->body))
		return false;
	while (used < wanted) {
		count = recv(fd, message->body + used, wanted - used, 0);
		if (count < 0 && errno == EINTR)
			continue;
		if (count <= 0)
			return false;
		used += (size_t)count;
	}
	message->body[used] = '\0';
	message->body_size = used;
	return true;
}

int client_connect(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	const struct timeval limit = { .tv_sec = 30 };
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

bool client_send(int fd, const char *method, const char *path,
		 const char *attempt, int deadline_ms, const char *body)
{
	char text[2048];
	int size = snprintf(text, sizeof(text),
			    "%s %s HTTP/1.1\r\nHost: search.example\r\n"
			    "Mangocove-Attempt-Id: %s\r\n"
			    "Mangocove-Deadline-Ms: %d\r\n",
			    method, path, attempt, deadline_ms);

	if (body)
		size += snprintf(text + size, sizeof(text) - (size_t)size,
				 "Content-Length: %zu\r\n", strlen(body));
	size += snprintf(text + size, sizeof(text) - (size_t)size, "\r\n%s",
			 body ? body : "");
	return net_write(fd, text, (size_t)size);
}

bool client_read(int fd, message_t *message, bool no_body)
{
	return net_read_message(fd, message, no_body);
}

int client_call(int port, const char *method, const char *path,
		const char *attempt, int deadline_ms, message_t *message)
{
	int fd = client_connect(port);
	bool has_body = !strcmp(method, "POST");
	bool complete;

	message->status = 0;
	if (fd < 0)
		return 0;
	complete = client_send(fd, method, path, attempt, deadline_ms,
			       has_body ? "plant" : NULL) &&
		   client_read(fd, message, !strcmp(method, "HEAD"));
	close(fd);
	return complete ? message->status : 0;
}

void attempt_new(char *attempt)
{
	static unsigned int count;

	snprintf(attempt, NAME_SIZE, "%08x%08x", (unsigned int)getpid(),
		 __atomic_add_fetch(&count, 1, __ATOMIC_RELAXED));
}

/* The deploy file's template, filled in as for a site of the users' pages. */
static void write_settings(const tier_t *tier, const char *path)
{
	FILE *file = fopen(path, "w");

	if (!file)
		harness_exit(EXIT_NOT_RUN, "settings not written");
	fprintf(file,
		"data_center = \"%s\"\n"
		"platform = \"127.0.0.1:%d\"\n"
		"shards = 1\n"
		"grace_ms = 6000\n"
		"log_level = \"debug\"\n"
		"\n"
		"[tier]\n"
		"instance = \"%s\"\n"
		"callers = \"127.0.0.1:%d\"\n"
		"ready = \"127.0.0.1:%d\"\n"
		"metrics = \"127.0.0.1:%d\"\n"
		"peers = \"127.0.0.1:%d\"\n"
		"apply_ms = 3000\n"
		"drain_ms = 3000\n"
		"history_ms = 20000\n"
		"notice_ms = 2500\n"
		"extra_share = 0.2\n"
		"extra_window_ms = 10000\n"
		"extra_slack = 56\n"
		"rollout_share = 0.1\n"
		"memory_mb = 260\n",
		tier->zone, store_port(), tier->name, tier->port,
		tier->ready_port, tier->metrics_port, tier->peer_port);
	fclose(file);
}

tier_t *tier_new(const char *name, const char *zone)
{
	tier_t *tier = calloc(1, sizeof(*tier));
	char path[256];

	if (!tier || tier_count == TIERS_MAX)
		harness_exit(EXIT_NOT_RUN, "no room for a process");
	tiers[tier_count++] = tier;
	snprintf(tier->name, sizeof(tier->name), "%s", name);
	snprintf(tier->zone, sizeof(tier->zone), "%s", zone);
	tier->port = free_port();
	tier->ready_port = free_port();
	tier->metrics_port = free_port();
	tier->peer_port = free_port();
	snprintf(path, sizeof(path), "%s/%s.toml", folder, name);
	write_settings(tier, path);
	tier_start(tier);
	return tier;
}

void tier_start(tier_t *tier)
{
	static const char program[] = "target/src/main/mangocove";
	char settings[256], log[256];
	FILE *out;

	snprintf(settings, sizeof(settings), "%s/%s.toml", folder, tier->name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, tier->name);
	tier->pid = fork();
	if (!tier->pid) {
		out = freopen(log, "a", stdout);
		if (out)
			dup2(fileno(out), STDERR_FILENO);
		signal(SIGPIPE, SIG_DFL);
		/* It must not outlive the case. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		execl(program, program, "tier", settings, (char *)NULL);
		_exit(127);
	}
	record("process %s started: %s tier SETTINGS, callers at port %d",
	       tier->name, program, tier->port);
}

static bool is_ready(const tier_t *tier)
{
	message_t message;
	int fd = client_connect(tier->ready_port);
	bool ready;

	if (fd < 0)
		return false;
	ready = client_send(fd, "GET", "/v1/ready", "ready", 1000, NULL) &&
		client_read(fd, &message, false) && message.status == 200;
	close(fd);
	return ready;
}

bool tier_wait_ready(tier_t *tier, int64_t ms)
{
	int64_t end = now_ms() + ms;
	char how[NAME_SIZE];

	while (now_ms() < end && !tier_has_ended(tier, how, sizeof(how))) {
		if (is_ready(tier))
			return true;
		sleep_ms(50);
	}
	return false;
}

void tier_kill(tier_t *tier)
{
	int status;

	if (tier->pid <= 0)
		return;
	kill(tier->pid, SIGKILL);
	waitpid(tier->pid, &status, 0);
	tier->pid = 0;
	record("process %s killed", tier->name);
}

bool tier_has_ended(tier_t *tier, char *how, size_t size)
{
	int status;

	if (tier->pid <= 0 || waitpid(tier->pid, &status, WNOHANG) <= 0)
		return false;
	tier->pid = 0;
	if (WIFSIGNALED(status))
		snprintf(how, size, "signal %d (%s)", WTERMSIG(status),
			 strsignal(WTERMSIG(status)));
	else
		snprintf(how, size, "exit code %d", WEXITSTATUS(status));
	record("process %s ended by itself: %s", tier->name, how);
	return true;
}

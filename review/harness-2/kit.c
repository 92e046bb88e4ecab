/*
 * The record, time, messages, sockets and threads.
 */
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "kit_private.h"

enum {
	CHILDREN_MAX = 64,
	BACKLOG = 512,
};

static FILE *record_file;
static int64_t started_at;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t children[CHILDREN_MAX];
static int child_count;
char kit_folder[128];

bool kit_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

static int64_t read_clock(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t kit_now(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

int64_t kit_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}

void kit_sleep(int64_t ms)
{
	struct timespec wait = { ms / 1000, ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&wait, &wait) && errno == EINTR)
		;
}

static void give_up(int signal_number)
{
	(void)signal_number;
	kit_end(KIT_NOT_RUN, "interrupted, or longer than 115 s");
}

void kit_begin(const char *folder)
{
	char path[256];

	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	snprintf(kit_folder, sizeof(kit_folder), "%s/review-XXXXXX",
		 getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp");
	if (!record_file || !mkdtemp(kit_folder)) {
		perror(path);
		exit(KIT_NOT_RUN);
	}
	started_at = kit_now();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, give_up);
	signal(SIGINT, give_up);
	signal(SIGALRM, give_up);
	alarm(115);
	kit_record("trouble=%d", kit_trouble());
}

void kit_end(int code, const char *verdict)
{
	char command[256];
	int i;

	for (i = 0; i < child_count; i++) {
		kill(children[i], SIGCONT);
		kill(children[i], SIGKILL);
		waitpid(children[i], NULL, 0);
	}
	kit_record("exit=%d %s", code, verdict);
	fclose(record_file);
	printf("%d: %s\n", code, verdict);
	fflush(stdout);
	snprintf(command, sizeof(command), "rm -rf '%s'", kit_folder);
	if (!getenv("KEEP") && system(command))
		fprintf(stderr, "%s is left\n", kit_folder);
	_exit(code);
}

void kit_note_child(pid_t pid)
{
	if (child_count < CHILDREN_MAX)
		children[child_count++] = pid;
}

void kit_forget_child(pid_t pid)
{
	int i;

	for (i = 0; i < child_count; i++)
		if (children[i] == pid)
			children[i--] = children[--child_count];
}

void kit_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%7lld ", (long long)(kit_now() - started_at));
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

bool kit_header(const kit_message_t *message, const char *name, char *value,
		size_t size)
{
	size_t length = strlen(name);
	const char *line = message->head;

	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, length) || line[length] != ':')
			continue;
		line += length + 1;
		line += strspn(line, " \t");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r"), line);
		return true;
	}
	return false;
}

/* Reads the head byte by byte, so that the bytes after it stay unread. */
static bool read_head(int fd, char *head)
{
	size_t size = 0;

	while (size < KIT_HEAD - 1) {
		if (recv(fd, head + size, 1, 0) != 1)
			return false;
		head[++size] = '\0';
		if (size >= 4 && !memcmp(head + size - 4, "\r\n\r\n", 4))
			return true;
	}
	return false;
}

bool kit_read_message(int fd, kit_message_t *message)
{
	char value[64];
	ssize_t count;
	size_t used = 0;

	message->body = NULL;
	message->body_size = 0;
	if (!read_head(fd, message->head))
		return false;
	if (kit_header(message, "Content-Length", value, sizeof(value)))
		message->body_size = strtoul(value, NULL, 10);
	message->keep_alive =
		!kit_header(message, "Connection", value, sizeof(value)) ||
		strcasecmp(value, "close");
	message->body = calloc(1, message->body_size + 1);
	while (used < message->body_size) {
		count = recv(fd, message->body + used,
			     message->body_size - used, 0);
		if (count <= 0) {
			free(message->body);
			message->body = NULL;
			return false;
		}
		used += (size_t)count;
	}
	return true;
}

static struct sockaddr_in loopback(uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
}

int kit_listen(uint16_t *port)
{
	struct sockaddr_in address = loopback(0);
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&address, &size))
		kit_end(KIT_NOT_RUN, "no port");
	*port = ntohs(address.sin_port);
	return fd;
}

int kit_connect(uint16_t port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

bool kit_write(int fd, const char *data, size_t size)
{
	ssize_t count;

	while (size) {
		count = send(fd, data, size, MSG_NOSIGNAL);
		if (count <= 0)
			return false;
		data += count;
		size -= (size_t)count;
	}
	return true;
}

void kit_thread(void *(*run)(void *arg), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg))
		kit_end(KIT_NOT_RUN, "no thread");
	pthread_detach(thread);
}

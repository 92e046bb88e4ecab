/*
 * Processes of the tier, started as the deploy file says, and callers.
 */
#include "kit.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "kit_private.h"

static const char program[] = "target/src/main/mangocove";

/* A port that is free now. */
static uint16_t free_port(void)
{
	uint16_t port;

	close(kit_listen(&port));
	return port;
}

void kit_tier_init(kit_tier_t *tier, const char *name, const char *zone,
		   uint16_t store)
{
	FILE *file;

	snprintf(tier->name, sizeof(tier->name), "%s", name);
	snprintf(tier->zone, sizeof(tier->zone), "%s", zone);
	snprintf(tier->settings, sizeof(tier->settings), "%s/%s.toml",
		 kit_folder, name);
	snprintf(tier->log, sizeof(tier->log), "%s/%s.log", kit_folder, name);
	tier->callers = free_port();
	tier->ready = free_port();
	file = fopen(tier->settings, "w");
	if (!file)
		kit_end(KIT_NOT_RUN, "settings not written");
	fprintf(file,
		"data_center = \"%s\"\n"
		"platform = \"127.0.0.1:%u\"\n"
		"shards = 1\n"
		"grace_ms = \"6 s\"\n"
		"log_level = \"debug\"\n"
		"[tier]\n"
		"instance = \"%s\"\n"
		"callers = \"127.0.0.1:%u\"\n"
		"ready = \"127.0.0.1:%u\"\n"
		"metrics = \"127.0.0.1:%u\"\n"
		"peers = \"127.0.0.1:%u\"\n"
		"notice_ms = 2500\n"
		"apply_ms = \"3000 ms\"\n"
		"drain_ms = \"3000 ms\"\n"
		"history_ms = \"20 s\"\n"
		"extra_share = 0.2\n"
		"extra_window_ms = \"10 s\"\n"
		"extra_slack = 54\n"
		"rollout_share = 0.1\n"
		"memory_mb = 260\n",
		zone, store, name, tier->callers, tier->ready, free_port(),
		free_port());
	fclose(file);
}

void kit_tier_start(kit_tier_t *tier)
{
	int log;

	tier->pid = fork();
	if (tier->pid < 0)
		kit_end(KIT_NOT_RUN, "no process");
	if (!tier->pid) {
		log = open(tier->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(log, STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		signal(SIGPIPE, SIG_DFL);
		alarm(0);
		execl(program, program, "tier", tier->settings, NULL);
		_exit(127);
	}
	kit_note_child(tier->pid);
	kit_record("start tier=%s pid=%d", tier->name, (int)tier->pid);
}

void kit_tier_signal(const kit_tier_t *tier, int number)
{
	kit_record("signal tier=%s number=%d", tier->name, number);
	kill(tier->pid, number);
	if (number != SIGKILL)
		return;
	waitpid(tier->pid, NULL, 0);
	kit_forget_child(tier->pid);
}

static void set_timeout(int fd, int64_t ms)
{
	const struct timeval limit = { ms / 1000, ms % 1000 * 1000 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

bool kit_tier_wait_ready(const kit_tier_t *tier, int64_t ms)
{
	static const char request[] = "GET /v1/ready HTTP/1.1\r\nHost: r\r\n"
				      "Connection: close\r\n\r\n";
	int64_t until = kit_now() + ms;
	kit_message_t message;
	bool ready = false;
	int fd;

	while (!ready && kit_now() < until) {
		kit_sleep(100);
		fd = kit_connect(tier->ready);
		if (fd < 0)
			continue;
		set_timeout(fd, 1000);
		if (kit_write(fd, request, sizeof(request) - 1) &&
		    kit_read_message(fd, &message)) {
			ready = strstr(message.head, " 200 ") != NULL;
			free(message.body);
		}
		close(fd);
	}
	return ready;
}

void kit_call(const kit_tier_t *tier, kit_call_t *call)
{
	const char *body = call->body ? call->body : "";
	int64_t start = kit_now();
	kit_message_t message;
	char request[4096], length[64] = "";
	int size, fd = kit_connect(tier->callers);

	call->status = 0;
	call->stamp[0] = '\0';
	if (fd < 0)
		return;
	if (call->body)
		snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
			 strlen(body));
	size = snprintf(request, sizeof(request),
			"%s %s HTTP/1.1\r\nHost: %s\r\n"
			"Mangocove-Attempt-Id: %s\r\n"
			"Mangocove-Deadline-Ms: %lld\r\n%s\r\n%s",
			call->method, call->target, call->host, call->id,
			(long long)call->deadline_ms, length, body);
	set_timeout(fd, call->deadline_ms + 2000);
	if (kit_write(fd, request, (size_t)size) &&
	    kit_read_message(fd, &message)) {
		sscanf(message.head, "HTTP/1.1 %d", &call->status);
		kit_header(&message, "Mangocove-Server-Stamp", call->stamp,
			   sizeof(call->stamp));
		free(message.body);
	}
	call->took_ms = kit_now() - start;
	close(fd);
}

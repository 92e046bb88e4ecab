/*
 * Connections are slots of a table; the threads of both directions end when
 * either side does.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay.h"

enum {
	PAIRS_MAX = 512,
	BACKLOG = 128,
	PIECE = 16 << 10,
	LOOK_EVERY_MS = 50,
	DELAY_US = 60000,
};

typedef struct {
	struct relay_t *relay;
	pthread_t thread;
	bool used;
	bool ended;
	int near;
	int far;
} pair_t;

struct relay_t {
	pthread_mutex_t lock;
	pthread_t thread;
	int listener;
	uint16_t port;
	uint16_t to;
	relay_mode_t mode;
	bool stopping;
	pair_t pairs[PAIRS_MAX];
};

static bool is_stopping(relay_t *relay)
{
	return __atomic_load_n(&relay->stopping, __ATOMIC_RELAXED);
}

static relay_mode_t mode_of(relay_t *relay)
{
	return __atomic_load_n(&relay->mode, __ATOMIC_RELAXED);
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

static void close_side(int fd, bool reset)
{
	const struct linger linger = { .l_onoff = reset };

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/* Passes one piece on. Returns false when the connection is at its end. */
static bool pass_piece(relay_t *relay, int from, int to, bool towards_program)
{
	char piece[PIECE];
	ssize_t size, sent, done = 0;

	size = recv(from, piece, sizeof(piece), 0);
	if (size <= 0)
		return false;
	if (mode_of(relay) == RELAY_DELAY)
		usleep(DELAY_US);
	if (mode_of(relay) == RELAY_ONE_WAY && towards_program)
		return true;
	for (; done < size; done += sent) {
		sent = send(to, piece + done, (size_t)(size - done),
			    MSG_NOSIGNAL);
		if (sent <= 0)
			return false;
	}
	return true;
}

static bool relay_turn(relay_t *relay, const pair_t *pair)
{
	struct pollfd sides[2] = {
		{ .fd = pair->near, .events = POLLIN },
		{ .fd = pair->far, .events = POLLIN },
	};

	if (mode_of(relay) == RELAY_RESET || is_stopping(relay))
		return false;
	if (mode_of(relay) == RELAY_SILENT) {
		usleep(LOOK_EVERY_MS * 1000);
		return true;
	}
	if (poll(sides, 2, LOOK_EVERY_MS) < 0)
		return errno == EINTR;
	if (sides[0].revents &&
	    !pass_piece(relay, pair->near, pair->far, false))
		return false;
	return !sides[1].revents ||
	       pass_piece(relay, pair->far, pair->near, true);
}

static void *run_pair(void *arg)
{
	pair_t *pair = arg;
	relay_t *relay = pair->relay;

	pair->far = connect_to(relay->to);
	while (pair->far >= 0 && relay_turn(relay, pair))
		;
	close_side(pair->near, mode_of(relay) == RELAY_RESET);
	close_side(pair->far, mode_of(relay) == RELAY_RESET);
	pthread_mutex_lock(&relay->lock);
	pair->ended = true;
	pthread_mutex_unlock(&relay->lock);
	return NULL;
}

static void take(relay_t *relay, int fd)
{
	pair_t *pair = NULL;
	uint32_t i;

	pthread_mutex_lock(&relay->lock);
	for (i = 0; !pair && i < PAIRS_MAX; i++)
		if (!relay->pairs[i].used || relay->pairs[i].ended)
			pair = &relay->pairs[i];
	if (!pair || is_stopping(relay) || mode_of(relay) == RELAY_RESET) {
		close_side(fd, true);
		pthread_mutex_unlock(&relay->lock);
		return;
	}
	if (pair->used)
		pthread_join(pair->thread, NULL);
	*pair = (pair_t){ .relay = relay, .used = true, .near = fd, .far = -1 };
	pthread_create(&pair->thread, NULL, run_pair, pair);
	pthread_mutex_unlock(&relay->lock);
}

static void *run_relay(void *arg)
{
	relay_t *relay = arg;
	int fd;

	for (;;) {
		fd = accept(relay->listener, NULL, NULL);
		if (fd >= 0)
			take(relay, fd);
		else if (errno != EINTR && errno != ECONNABORTED)
			return NULL;
	}
}

relay_t *relay_start(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	relay_t *relay = calloc(1, sizeof(*relay));

	pthread_mutex_init(&relay->lock, NULL);
	relay->to = port;
	relay->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(relay->listener, (struct sockaddr *)&address, size) ||
	    listen(relay->listener, BACKLOG) ||
	    getsockname(relay->listener, (struct sockaddr *)&address, &size))
		abort();
	relay->port = ntohs(address.sin_port);
	pthread_create(&relay->thread, NULL, run_relay, relay);
	return relay;
}

void relay_stop(relay_t *relay)
{
	uint32_t i;

	if (!relay)
		return;
	__atomic_store_n(&relay->stopping, true, __ATOMIC_RELAXED);
	shutdown(relay->listener, SHUT_RDWR);
	pthread_join(relay->thread, NULL);
	close(relay->listener);
	for (i = 0; i < PAIRS_MAX; i++)
		if (relay->pairs[i].used)
			pthread_join(relay->pairs[i].thread, NULL);
	free(relay);
}

uint16_t relay_port(const relay_t *relay)
{
	return relay->port;
}

void relay_mode(relay_t *relay, relay_mode_t mode)
{
	__atomic_store_n(&relay->mode, mode, __ATOMIC_RELAXED);
}

/*
 * Connections are entries of a fixed table. The thread of a connection forwards
 * both directions and ends when either side closes, when the mode is
 * RELAY_RESET, or when the relay stops. The thread is joined when its entry is
 * reused or when the relay stops.
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
	/* Concurrent connections; further ones are reset. */
	CONNECTIONS_MAX = 512,
	BACKLOG = 128,
	CHUNK_SIZE = 16 << 10,
	/* How often a connection's thread checks for a change of mode. */
	POLL_INTERVAL_MS = 50,
	/* Delay of each chunk in mode RELAY_DELAY. */
	DELAY_US = 60000,
};

typedef struct {
	struct relay_t *relay;
	pthread_t thread;
	/* The entry has a thread that has not been joined. */
	bool in_use;
	/* The thread is done; the entry can be reused after a join. */
	bool finished;
	int client_fd;
	int server_fd;
} relay_connection_t;

struct relay_t {
	pthread_mutex_t lock;
	pthread_t accept_thread;
	int listener;
	/* The port that clients connect to. */
	uint16_t listen_port;
	/* The port that connections are forwarded to. */
	uint16_t server_port;
	relay_mode_t mode;
	bool stopping;
	relay_connection_t connections[CONNECTIONS_MAX];
};

static bool is_stopping(relay_t *relay)
{
	return __atomic_load_n(&relay->stopping, __ATOMIC_RELAXED);
}

static relay_mode_t get_mode(relay_t *relay)
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

/* Closes a socket, with a TCP reset if @reset is set. */
static void close_socket(int fd, bool reset)
{
	const struct linger linger = { .l_onoff = reset };

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/*
 * Receives one chunk and forwards it as the mode says. Returns false if either
 * side has closed or failed.
 */
static bool forward_chunk(relay_t *relay, int from, int to, bool to_client)
{
	char chunk[CHUNK_SIZE];
	ssize_t size, sent, done = 0;

	size = recv(from, chunk, sizeof(chunk), 0);
	if (size <= 0)
		return false;
	if (get_mode(relay) == RELAY_DELAY)
		usleep(DELAY_US);
	if (get_mode(relay) == RELAY_DROP_RESPONSES && to_client)
		return true;
	for (; done < size; done += sent) {
		sent = send(to, chunk + done, (size_t)(size - done),
			    MSG_NOSIGNAL);
		if (sent <= 0)
			return false;
	}
	return true;
}

/*
 * Waits up to 50 ms for data and forwards one chunk in each direction that has
 * some. Returns false if the connection is to be closed.
 */
static bool forward_once(relay_t *relay, const relay_connection_t *connection)
{
	struct pollfd sockets[2] = {
		{ .fd = connection->client_fd, .events = POLLIN },
		{ .fd = connection->server_fd, .events = POLLIN },
	};

	if (get_mode(relay) == RELAY_RESET || is_stopping(relay))
		return false;
	if (get_mode(relay) == RELAY_BLACKHOLE) {
		usleep(POLL_INTERVAL_MS * 1000);
		return true;
	}
	if (poll(sockets, 2, POLL_INTERVAL_MS) < 0)
		return errno == EINTR;
	if (sockets[0].revents && !forward_chunk(relay, connection->client_fd,
						 connection->server_fd, false))
		return false;
	return !sockets[1].revents ||
	       forward_chunk(relay, connection->server_fd,
			     connection->client_fd, true);
}

static void *run_connection(void *arg)
{
	relay_connection_t *connection = arg;
	relay_t *relay = connection->relay;

	connection->server_fd = connect_to(relay->server_port);
	while (connection->server_fd >= 0 && forward_once(relay, connection))
		;
	close_socket(connection->client_fd, get_mode(relay) == RELAY_RESET);
	close_socket(connection->server_fd, get_mode(relay) == RELAY_RESET);
	pthread_mutex_lock(&relay->lock);
	connection->finished = true;
	pthread_mutex_unlock(&relay->lock);
	return NULL;
}

/*
 * Starts a thread for the accepted connection @fd. Resets the connection if the
 * table is full, the relay is stopping or the mode is RELAY_RESET.
 */
static void start_connection(relay_t *relay, int fd)
{
	relay_connection_t *connection = NULL;
	uint32_t i;

	pthread_mutex_lock(&relay->lock);
	for (i = 0; !connection && i < CONNECTIONS_MAX; i++)
		if (!relay->connections[i].in_use ||
		    relay->connections[i].finished)
			connection = &relay->connections[i];
	if (!connection || is_stopping(relay) ||
	    get_mode(relay) == RELAY_RESET) {
		close_socket(fd, true);
		pthread_mutex_unlock(&relay->lock);
		return;
	}
	if (connection->in_use)
		pthread_join(connection->thread, NULL);
	*connection = (relay_connection_t){
		.relay = relay, .in_use = true, .client_fd = fd, .server_fd = -1
	};
	pthread_create(&connection->thread, NULL, run_connection, connection);
	pthread_mutex_unlock(&relay->lock);
}

static void *accept_loop(void *arg)
{
	relay_t *relay = arg;
	int fd;

	for (;;) {
		fd = accept(relay->listener, NULL, NULL);
		if (fd >= 0)
			start_connection(relay, fd);
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
	relay->server_port = port;
	relay->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(relay->listener, (struct sockaddr *)&address, size) ||
	    listen(relay->listener, BACKLOG) ||
	    getsockname(relay->listener, (struct sockaddr *)&address, &size))
		abort();
	relay->listen_port = ntohs(address.sin_port);
	pthread_create(&relay->accept_thread, NULL, accept_loop, relay);
	return relay;
}

void relay_stop(relay_t *relay)
{
	uint32_t i;

	if (!relay)
		return;
	__atomic_store_n(&relay->stopping, true, __ATOMIC_RELAXED);
	shutdown(relay->listener, SHUT_RDWR);
	pthread_join(relay->accept_thread, NULL);
	close(relay->listener);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		if (relay->connections[i].in_use)
			pthread_join(relay->connections[i].thread, NULL);
	free(relay);
}

uint16_t relay_port(const relay_t *relay)
{
	return relay->listen_port;
}

void relay_set_mode(relay_t *relay, relay_mode_t mode)
{
	__atomic_store_n(&relay->mode, mode, __ATOMIC_RELAXED);
}

/*
 * Sockets of the soak's callers.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "soak_conn.h"

enum {
	MS_PER_S = 1000,
	HEAD_END_SIZE = 4,
};

bool soak_conn_open(soak_conn_t *conn, uint16_t port, int receive_buffer)
{
	const struct timeval timeout = {
		.tv_sec = SOAK_READ_TIMEOUT_MS / MS_PER_S,
	};
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	conn->used = 0;
	conn->byte_pause = 0;
	conn->timed_out = false;
	conn->was_reset = false;
	conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	/* The size has to be known when the connection is established. */
	if (receive_buffer)
		setsockopt(conn->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			   sizeof(receive_buffer));
	setsockopt(conn->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		   sizeof(timeout));
	if (!connect(conn->fd, (struct sockaddr *)&address, sizeof(address)))
		return true;
	close(conn->fd);
	return false;
}

void soak_conn_close(soak_conn_t *conn, bool reset)
{
	const struct linger linger = { .l_onoff = reset };

	setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(conn->fd);
}

/*
 * Whether the peer has ended the connection, as far as this side knows. A reset
 * is noted, since the socket reports it only once.
 */
static bool has_ended(soak_conn_t *conn)
{
	char byte;
	ssize_t size = recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (size < 0 && errno == ECONNRESET)
		conn->was_reset = true;
	return size == 0 || (size < 0 && errno != EAGAIN);
}

bool soak_conn_send(soak_conn_t *conn, const char *text, bool *ended)
{
	size_t size = strlen(text);

	if (send(conn->fd, text, size, MSG_NOSIGNAL) != (ssize_t)size)
		return false;
	*ended = has_ended(conn);
	return true;
}

/* Reads more bytes. Returns false at the connection's end. */
static bool fill(soak_conn_t *conn)
{
	size_t space = sizeof(conn->buffer) - 1 - conn->used;
	ssize_t size;

	if (!space)
		return false;
	size = recv(conn->fd, conn->buffer + conn->used,
		    conn->byte_pause ? 1 : space, 0);
	if (size <= 0) {
		conn->timed_out = size < 0 && errno == EAGAIN;
		conn->was_reset =
			conn->was_reset || (size < 0 && errno == ECONNRESET);
		return false;
	}
	conn->used += (size_t)size;
	if (conn->byte_pause)
		usleep(conn->byte_pause);
	return true;
}

static void consume(soak_conn_t *conn, size_t size)
{
	memmove(conn->buffer, conn->buffer + size, conn->used - size);
	conn->used -= size;
}

static bool read_head(soak_conn_t *conn, soak_response_t *response)
{
	char *end = NULL;
	size_t size;

	for (;;) {
		conn->buffer[conn->used] = '\0';
		end = strstr(conn->buffer, "\r\n\r\n");
		if (end)
			break;
		if (!fill(conn))
			return false;
	}
	size = (size_t)(end - conn->buffer) + HEAD_END_SIZE;
	if (size >= sizeof(response->head))
		return false;
	memcpy(response->head, conn->buffer, size);
	response->head[size] = '\0';
	consume(conn, size);
	return true;
}

bool soak_conn_read(soak_conn_t *conn, soak_response_t *response, bool is_head)
{
	char text[32] = "0";

	response->status = 0;
	response->body_size = 0;
	if (!read_head(conn, response))
		return false;
	raw_get_header(response->head, "Content-Length", text, sizeof(text));
	if (!is_head)
		response->body_size = strtoul(text, NULL, 10);
	if (response->body_size > SOAK_BODY_MAX)
		return false;
	while (conn->used < response->body_size)
		if (!fill(conn))
			return false;
	memcpy(response->body, conn->buffer, response->body_size);
	response->body[response->body_size] = '\0';
	consume(conn, response->body_size);
	return sscanf(response->head, "HTTP/1.1 %d", &response->status) == 1;
}

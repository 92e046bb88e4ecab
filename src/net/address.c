/*
 * Parses addresses "IP:port" and opens sockets.
 */
#include "net_private.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	HOST_SIZE = 64,
	PORT_MAX = 65535,
};

static mc_err_t split_address(const char *text, char *host, long *port)
{
	const char *colon = strrchr(text, ':');
	const char *start = text;
	size_t size;
	char *end;

	if (!colon || !isdigit((unsigned char)colon[1]))
		return mc_fail(MC_ERR_BAD_SETTINGS,
			       "address \"%s\": expected IP:port", text);
	size = (size_t)(colon - text);
	if (size > 2 && text[0] == '[' && text[size - 1] == ']') {
		start++;
		size -= 2;
	}
	*port = strtol(colon + 1, &end, 10);
	if (size >= HOST_SIZE || *end || *port < 0 || *port > PORT_MAX)
		return mc_fail(MC_ERR_BAD_SETTINGS,
			       "address \"%s\": expected IP:port", text);
	memcpy(host, start, size);
	host[size] = '\0';
	return MC_OK;
}

mc_err_t address_parse(const char *text, address_t *address)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&address->storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&address->storage;
	char host[HOST_SIZE];
	long port = 0;
	mc_err_t err = split_address(text, host, &port);

	if (err)
		return err;
	memset(address, 0, sizeof(*address));
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons((uint16_t)port);
		address->size = sizeof(*v4);
		return MC_OK;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons((uint16_t)port);
		address->size = sizeof(*v6);
		return MC_OK;
	}
	return mc_fail(MC_ERR_BAD_SETTINGS,
		       "address \"%s\": expected an IP address", text);
}

uint16_t address_port(int fd)
{
	address_t address = { .size = sizeof(address.storage) };
	struct sockaddr_in *v4 = (struct sockaddr_in *)&address.storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&address.storage;

	if (getsockname(fd, (struct sockaddr *)&address.storage, &address.size))
		return 0;
	if (v4->sin_family == AF_INET6)
		return ntohs(v6->sin6_port);
	return ntohs(v4->sin_port);
}

static mc_err_t bind_and_listen(int fd, const address_t *address, bool share)
{
	const int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (share)
		setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)&address->storage,
		 address->size) ||
	    listen(fd, NET_LISTEN_BACKLOG))
		return MC_ERR_IO;
	return MC_OK;
}

mc_err_t address_listen(const char *text, bool share, int *fd)
{
	address_t address;
	mc_err_t err = address_parse(text, &address);

	if (err)
		return err;
	*fd = socket(address.storage.ss_family,
		     SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return mc_fail(MC_ERR_IO, "socket: %s", strerror(errno));
	if (!bind_and_listen(*fd, &address, share))
		return MC_OK;
	mc_fail(MC_ERR_IO, "listen on %s: %s", text, strerror(errno));
	close(*fd);
	return MC_ERR_IO;
}

static bool is_unspecified(const address_t *address)
{
	const struct sockaddr_in *v4 =
		(const struct sockaddr_in *)&address->storage;
	const struct sockaddr_in6 *v6 =
		(const struct sockaddr_in6 *)&address->storage;

	if (v4->sin_family == AF_INET6)
		return IN6_IS_ADDR_UNSPECIFIED(&v6->sin6_addr);
	return v4->sin_addr.s_addr == htonl(INADDR_ANY);
}

mc_err_t mc_socket_check_address(const char *text)
{
	address_t address;
	mc_err_t err = address_parse(text, &address);

	if (err)
		return err;
	/* The port is at the same place for both families. */
	if (!((struct sockaddr_in *)&address.storage)->sin_port)
		return mc_fail(MC_ERR_BAD_SETTINGS,
			       "address \"%s\": expected a port above 0", text);
	if (is_unspecified(&address))
		return mc_fail(MC_ERR_BAD_SETTINGS,
			       "address \"%s\": expected the IP of a host",
			       text);
	return MC_OK;
}

/* Whether a call failed for lack of ports or memory here, whatever the peer. */
static bool lacks_local_resources(int error)
{
	return error == EADDRNOTAVAIL || error == EAGAIN || error == ENOBUFS ||
	       error == ENOMEM;
}

mc_err_t mc_socket_connect(const char *address, int *fd)
{
	address_t to;
	mc_err_t err = address_parse(address, &to);

	if (err)
		return err;
	*fd = socket(to.storage.ss_family,
		     SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return mc_fail(MC_ERR_FULL, "socket: %s", strerror(errno));
	if (!connect(*fd, (struct sockaddr *)&to.storage, to.size) ||
	    errno == EINPROGRESS)
		return MC_OK;
	err = lacks_local_resources(errno) ? MC_ERR_FULL : MC_ERR_IO;
	mc_fail(err, "connect to %s: %s", address, strerror(errno));
	close(*fd);
	return err;
}

void mc_socket_close(int fd)
{
	close(fd);
}

/*
 * Prints free TCP ports of 127.0.0.1, one per line, for scripts that write
 * settings files. The kernel chooses the ports.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

enum {
	PORTS_MAX = 256,
};

static int bind_free_port(struct sockaddr_in *address)
{
	socklen_t size = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	*address = (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	if (fd < 0 || bind(fd, (struct sockaddr *)address, size) ||
	    getsockname(fd, (struct sockaddr *)address, &size))
		return -1;
	return fd;
}

/* All sockets stay open until the end, so that no port is printed twice. */
int main(int argc, char **argv)
{
	int count = argc > 1 ? atoi(argv[1]) : 1;
	struct sockaddr_in address;
	int i;

	if (count < 1 || count > PORTS_MAX)
		return 2;
	for (i = 0; i < count; i++) {
		if (bind_free_port(&address) < 0)
			return 1;
		printf("%u\n", ntohs(address.sin_port));
	}
	return 0;
}

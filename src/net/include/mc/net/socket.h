/*
 * Sockets for libraries that speak a protocol of their own on a shard's loop.
 */
#ifndef MC_NET_SOCKET_H
#define MC_NET_SOCKET_H

#include "mc/base.h"

/**
 * mc_socket_connect() - begin to connect without waiting
 * @address: "IP:port"
 * @fd: receives the socket, owned by the caller; it is writable once it is
 *	connected or has failed
 *
 * Any thread. Return: MC_OK, MC_ERR_IO, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_socket_connect(const char *address, int *fd);

/** mc_socket_close() - close a socket that no shard watches */
void mc_socket_close(int fd);

#endif

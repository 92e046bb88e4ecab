/*
 * Sockets for libraries that implement other protocols on a shard's loop.
 */
#ifndef MC_NET_SOCKET_H
#define MC_NET_SOCKET_H

#include "mc/base.h"

/**
 * mc_socket_connect() - Start connecting a non-blocking socket; any thread
 * @address: "IP:port"
 * @fd: receives the socket, owned by the caller; it becomes writable when it is
 *	connected or connecting has failed
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_socket_connect(const char *address, int *fd);

/** mc_socket_close() - Close a socket that no shard watches */
void mc_socket_close(int fd);

#endif

/*
 * Sockets for libraries that implement other protocols on a shard's loop.
 */
#ifndef MC_NET_SOCKET_H
#define MC_NET_SOCKET_H

#include "mc/base.h"

/**
 * mc_socket_check_address() - Check that an address can be connected to
 * @address: text that should be "IP:port", with a port above 0 and an IP that
 *	isn't the unspecified one
 *
 * Return: MC_OK, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_socket_check_address(const char *address);

/**
 * mc_socket_connect() - Start connecting a non-blocking socket; any thread
 * @address: "IP:port"
 * @fd: receives the socket, owned by the caller; it becomes writable when it is
 *	connected or connecting has failed
 *
 * Return: MC_OK; MC_ERR_IO or MC_ERR_BAD_SETTINGS if there is no way to the
 * address; MC_ERR_FULL if descriptors, ports or memory are used up here.
 */
mc_err_t mc_socket_connect(const char *address, int *fd);

/** mc_socket_close() - Close a socket that no shard watches */
void mc_socket_close(int fd);

#endif

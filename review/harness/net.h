/*
 * Sockets, for the files of the harness.
 */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include "harness.h"

/** net_listen() - Listen on 127.0.0.1 at @port, or a free port if it is 0 */
int net_listen(int *port);

/** net_write() - Write all bytes */
bool net_write(int fd, const char *data, size_t size);

/** net_read_message() - Read a request or a response with a length */
bool net_read_message(int fd, message_t *message, bool no_body);

#endif

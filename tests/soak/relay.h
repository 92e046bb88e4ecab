/*
 * TCP relay on loopback that injects network faults between a client program
 * and a server. Each relayed connection has a thread of its own.
 */
#ifndef RELAY_H
#define RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "mc/base.h"

/** enum relay_mode_t - how the relay treats its connections */
typedef enum relay_mode_t {
	/* Forwards both directions unchanged. */
	RELAY_PASS,
	/* Forwards each chunk of received bytes after a delay of 60 ms. */
	RELAY_DELAY,
	/* Forwards nothing in either direction; closes no connection. */
	RELAY_BLACKHOLE,
	/* Forwards what the client sends; discards what the server sends. */
	RELAY_DROP_RESPONSES,
	/* Resets open connections, and new ones as they are accepted. */
	RELAY_RESET,
	/* Number of modes. */
	RELAY_MODE_COUNT
} relay_mode_t;

typedef struct relay_t relay_t;

/**
 * relay_start() - Start a relay that listens on a free port of 127.0.0.1.
 * @port: port of the server on 127.0.0.1 that connections are forwarded to
 *
 * Aborts the program if no port can be opened.
 *
 * Return: owned by the caller; freed by relay_stop().
 */
relay_t *relay_start(uint16_t port);

/**
 * relay_stop() - Close the listener and all connections, and free the relay.
 * @relay: the relay; may be NULL
 *
 * Waits until all threads of the relay have ended.
 */
void relay_stop(relay_t *relay);

/** relay_port() - Return the port on which the relay accepts connections. */
uint16_t relay_port(const relay_t *relay);

/** relay_set_mode() - Set the mode of open and of new connections. */
void relay_set_mode(relay_t *relay, relay_mode_t mode);

#endif

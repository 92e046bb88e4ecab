/*
 * A relay of TCP connections on loopback, between a program and what it talks
 * to, that misbehaves on demand. One thread for each direction of a connection.
 */
#ifndef RELAY_H
#define RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "mc/base.h"

/** enum relay_mode_t - what happens to bytes */
typedef enum relay_mode_t {
	RELAY_PASS,
	/* Each piece waits for a while. */
	RELAY_DELAY,
	/* Nothing passes and nothing is closed, either way. */
	RELAY_SILENT,
	/* What the program sends passes; answers don't. */
	RELAY_ONE_WAY,
	/* Connections are reset, new ones as well. */
	RELAY_RESET,
	RELAY_MODES
} relay_mode_t;

typedef struct relay_t relay_t;

/** relay_start() - relay connections to 127.0.0.1:@port */
relay_t *relay_start(uint16_t port);

/** relay_stop() - close everything and free; NULL is allowed */
void relay_stop(relay_t *relay);

/** relay_port() - port that it listens at */
uint16_t relay_port(const relay_t *relay);

/** relay_mode() - from now on, for open and new connections */
void relay_mode(relay_t *relay, relay_mode_t mode);

#endif

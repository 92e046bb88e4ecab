/*
 * Public header of the net library: shards (a thread with an event loop, a
 * lock, timers and an inbox), framed links between processes, and HTTP clients
 * and servers that run on a shard's loop. Only the loop itself blocks.
 */
#ifndef MC_NET_H
#define MC_NET_H

#include "mc/net/http.h"
#include "mc/net/link.h"
#include "mc/net/shard.h"
#include "mc/net/socket.h"

#endif

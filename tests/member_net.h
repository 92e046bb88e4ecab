/*
 * A simulated network of memberships for the tests of the member library.
 * Messages are delayed and lost, the network is partitioned, and processes are
 * killed, paused and restarted.
 */
#ifndef MEMBER_NET_H
#define MEMBER_NET_H

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/member.h"

enum {
	NET_PEERS_MAX = 860,
	NET_PROBE_INTERVAL_MS = 1000,
	NET_PROBE_TIMEOUT_MS = 300,
	NET_SUSPECT_MS = 3000,
	/*
	 * While more packets than this are in transit, packets to paused
	 * processes are lost.
	 */
	NET_IN_TRANSIT_MAX = 200,
};

/* A process; those with the same @group can reach each other. */
typedef struct {
	mc_membership_t *ms;
	bool paused;
	bool left;
	uint32_t group;
	uint64_t incarnation;
	mc_ms_t due;
	uint32_t changes;
} net_peer_t;

/* A message in transit. */
typedef struct {
	mc_ms_t at;
	uint32_t from;
	uint32_t to;
	mc_member_message_t message;
} net_packet_t;

typedef struct net_t {
	mc_ms_t now;
	mc_random_t random;
	uint32_t peer_count;
	net_peer_t peers[NET_PEERS_MAX];
	uint32_t sender;
	net_packet_t **packets;
	uint32_t packet_count;
	uint32_t packet_capacity;
	double loss;
	mc_ms_t delay_max;
	uint64_t messages;
	uint64_t bytes;
	/* Updates, not counting those about the receiver itself. */
	uint64_t updates;
} net_t;

/* The test program's only network; callbacks identify a peer by its number. */
static net_t net;

static void net_address(uint32_t peer, char *address, size_t size)
{
	snprintf(address, size, "10.0.%u.%u:7000", peer / 250, peer % 250);
}

static uint32_t net_peer_of(const char *address)
{
	unsigned int high = 0, low = 0;

	sscanf(address, "10.0.%u.%u:", &high, &low);
	return high * 250 + low;
}

/*
 * Bytes of a member in msgpack, without its key, which follows from the
 * address.
 */
static size_t net_member_bytes(const mc_member_t *member)
{
	return 1 + 1 + strlen(member->address) + 1 +
	       strlen(member->data_center) + 1 + 1 + 9;
}

/* Bytes of a message in msgpack, with a frame length of 4 bytes. */
static size_t net_message_bytes(const mc_member_message_t *message)
{
	size_t bytes = 4 + 1 + 1 + 9 + (message->subject ? 9 : 1) + 3 +
		       net_member_bytes(&message->from);
	uint32_t i;

	for (i = 0; i < message->update_count; i++)
		bytes += net_member_bytes(&message->updates[i]);
	return bytes;
}

static void net_send(void *ctx, const char *address,
		     const mc_member_message_t *message)
{
	net_packet_t *packet;

	uint32_t i;

	net.messages++;
	net.bytes += net_message_bytes(message);
	for (i = 0; i < message->update_count; i++)
		if (strcmp(message->updates[i].address, address))
			net.updates++;
	if (message->update_count > MC_MEMBER_UPDATES_MAX)
		abort();
	if (mc_random_unit(&net.random) < net.loss ||
	    (net.peers[net_peer_of(address)].paused &&
	     net.packet_count > NET_IN_TRANSIT_MAX))
		return;
	if (net.packet_count == net.packet_capacity) {
		net.packet_capacity = net.packet_capacity * 2 + 64;
		net.packets =
			realloc(net.packets,
				net.packet_capacity * sizeof(*net.packets));
	}
	packet = malloc(sizeof(*packet));
	net.packets[net.packet_count++] = packet;
	packet->at = net.now + 1 +
		     mc_random_below(&net.random, (uint32_t)net.delay_max);
	packet->from = (uint32_t)(uintptr_t)ctx;
	packet->to = net_peer_of(address);
	memcpy(&packet->message, message,
	       offsetof(mc_member_message_t, updates) +
		       message->update_count * sizeof(message->updates[0]));
}

static void net_changed(void *ctx)
{
	net.peers[(uintptr_t)ctx].changes++;
}

/* Starts a process; its incarnation is higher than that of its predecessor. */
static void net_start(uint32_t number)
{
	net_peer_t *peer = &net.peers[number];
	mc_member_params_t params = {
		.self = { .is_gather = number & 1,
			  .incarnation = peer->incarnation += 1000 },
		.probe_interval = NET_PROBE_INTERVAL_MS,
		.probe_timeout = NET_PROBE_TIMEOUT_MS,
		.suspect_time = NET_SUSPECT_MS,
		.seed = mc_hash_pair(number, peer->incarnation),
		.send = net_send,
		.on_change = net_changed,
		.ctx = (void *)(uintptr_t)number,
	};

	net_address(number, params.self.address, sizeof(params.self.address));
	snprintf(params.self.data_center, MC_MEMBER_NAME_SIZE, "dc-%u",
		 number % 4);
	peer->ms = mc_membership_create(&params, net.now);
	peer->paused = peer->left = false;
	peer->due = net.now;
}

static void net_kill(uint32_t number)
{
	mc_membership_destroy(net.peers[number].ms);
	net.peers[number].ms = NULL;
}

/*
 * Adds the addresses of all other processes that were not killed as
 * candidates, as the platform's list does.
 */
static void net_add_candidates(uint32_t number)
{
	char address[MC_MEMBER_ADDRESS_SIZE];
	uint32_t i;

	for (i = 0; i < net.peer_count; i++) {
		if (!net.peers[i].ms || i == number)
			continue;
		net_address(i, address, sizeof(address));
		mc_membership_add_candidate(net.peers[number].ms, address,
					    net.now);
	}
}

static bool net_is_running(const net_peer_t *peer)
{
	return peer->ms && !peer->paused;
}

/* Delivers the messages that are due; those for a paused process are kept. */
static void net_deliver(void)
{
	uint32_t i, kept = 0, count = net.packet_count;
	net_packet_t *packet;
	net_peer_t *to;

	for (i = 0; i < count; i++) {
		packet = net.packets[i];
		to = &net.peers[packet->to];
		if (packet->at > net.now || (to->ms && to->paused)) {
			net.packets[kept++] = packet;
			continue;
		}
		if (to->ms && to->group == net.peers[packet->from].group)
			mc_membership_receive(to->ms, &packet->message,
					      net.now);
		free(packet);
	}
	for (i = count; i < net.packet_count; i++)
		net.packets[kept++] = net.packets[i];
	net.packet_count = kept;
}

static mc_ms_t net_next_event(void)
{
	mc_ms_t next = MC_MS_NEVER;
	uint32_t i;

	for (i = 0; i < net.peer_count; i++)
		if (net_is_running(&net.peers[i]) && net.peers[i].due < next)
			next = net.peers[i].due;
	for (i = 0; i < net.packet_count; i++)
		if (net.packets[i]->at < next &&
		    net_is_running(&net.peers[net.packets[i]->to]))
			next = net.packets[i]->at;
	return next;
}

static void net_run(mc_ms_t duration)
{
	mc_ms_t end = net.now + duration, next;
	net_peer_t *peer;

	for (;;) {
		next = net_next_event();
		if (next > end)
			break;
		if (next > net.now)
			net.now = next;
		net_deliver();
		for (peer = net.peers; peer < net.peers + net.peer_count;
		     peer++)
			if (net_is_running(peer) && peer->due <= net.now)
				peer->due =
					mc_membership_tick(peer->ms, net.now);
	}
	net.now = end;
}

static const mc_member_t *net_find(uint32_t viewer, uint32_t number)
{
	char address[MC_MEMBER_ADDRESS_SIZE];
	const mc_member_t *member;
	uint32_t cursor = 0;

	net_address(number, address, sizeof(address));
	while ((member = mc_membership_next(net.peers[viewer].ms, &cursor)))
		if (!strcmp(member->address, address))
			return member;
	return NULL;
}

static bool net_sees_usable(uint32_t viewer, uint32_t number)
{
	const mc_member_t *member = net_find(viewer, number);

	return member && mc_member_is_usable(member);
}

static void net_init(uint32_t peer_count, uint64_t seed)
{
	uint32_t i;

	memset(&net, 0, sizeof(net));
	mc_random_seed(&net.random, seed);
	net.now = 1000000;
	net.delay_max = 5;
	net.peer_count = peer_count;
	for (i = 0; i < peer_count; i++)
		net_start(i);
}

static void net_free(void)
{
	uint32_t i;

	for (i = 0; i < net.peer_count; i++)
		if (net.peers[i].ms)
			net_kill(i);
	for (i = 0; i < net.packet_count; i++)
		free(net.packets[i]);
	free(net.packets);
}

#endif

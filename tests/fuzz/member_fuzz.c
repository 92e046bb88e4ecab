/*
 * Stateful fuzzing of the member library. Processes are killed, started,
 * paused, partitioned and made to leave in any order, with message loss and
 * reordering. The oracle knows which processes run. Once all faults are over,
 * every running process must see exactly the running ones as usable and none
 * that left, and no more updates may be sent.
 */
#include "../member_net.h"

enum {
	PEERS = 6,
	LEFT_MAX = 256,
	SEEDED_STEPS = 16,
	CONVERGE_MS = 90 * 1000,
	QUIET_MS = 20 * 1000,
};

/* Processes that ended by leaving. */
static struct {
	uint32_t peer;
	uint64_t incarnation;
} left[LEFT_MAX];
static uint32_t left_count;

static uint64_t incarnation_of(uint32_t peer)
{
	return net_find(peer, peer)->incarnation;
}

static void leave(uint32_t number)
{
	net_peer_t *peer = &net.peers[number];

	if (!net_is_running(peer) || peer->left || left_count == LEFT_MAX)
		return;
	left[left_count].peer = number;
	left[left_count++].incarnation = incarnation_of(number);
	peer->left = true;
	mc_membership_leave(peer->ms, net.now);
}

static void start(uint32_t number)
{
	if (net.peers[number].ms)
		return;
	net_start(number);
	net_add_candidates(number);
}

static void stop(uint32_t number)
{
	net_peer_t *peer = &net.peers[number];

	if (!peer->ms)
		return;
	if (incarnation_of(number) > peer->incarnation)
		peer->incarnation = incarnation_of(number);
	net_kill(number);
}

static void step(uint8_t op, uint8_t arg)
{
	uint32_t number = arg % PEERS;

	switch (op % 10) {
	case 0:
		stop(number);
		break;
	case 1:
		start(number);
		break;
	case 2:
		net.peers[number].paused = true;
		break;
	case 3:
		net.peers[number].paused = false;
		break;
	case 4:
		net.peers[number].group = arg / PEERS % 3;
		break;
	case 5:
		leave(number);
		break;
	case 6:
		net.loss = (arg % 4) * 0.2;
		net.delay_max = 1 + arg * 4;
		break;
	case 7:
		net_run(arg * 100);
		break;
	default:
		net_run(arg * 20);
	}
}

static void end_faults(void)
{
	uint32_t i;

	net.loss = 0;
	net.delay_max = 5;
	for (i = 0; i < PEERS; i++) {
		net.peers[i].paused = false;
		net.peers[i].group = 0;
		if (net.peers[i].left)
			stop(i);
	}
	for (i = 0; i < PEERS; i++)
		if (net.peers[i].ms)
			net_add_candidates(i);
}

static void check_view(uint32_t viewer)
{
	const mc_member_t *member;
	uint32_t i;

	if (!mc_membership_is_fresh(net.peers[viewer].ms))
		abort();
	for (i = 0; i < PEERS; i++)
		if (net_sees_usable(viewer, i) != (net.peers[i].ms != NULL))
			abort();
	for (i = 0; i < left_count; i++) {
		member = net_find(viewer, left[i].peer);
		if (member && mc_member_is_usable(member) &&
		    member->incarnation == left[i].incarnation)
			abort();
	}
}

/*
 * Runs faults from the input, then some more from random numbers that it seeds.
 */
static void run_faults(const uint8_t *data, size_t size)
{
	size_t at;

	for (at = 0; at + 1 < size; at += 2)
		step(data[at], data[at + 1]);
	for (at = 0; at < SEEDED_STEPS; at++)
		step((uint8_t)mc_random_u32(&net.random),
		     (uint8_t)mc_random_u32(&net.random));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint32_t i;

	left_count = 0;
	net_init(PEERS, mc_hash_bytes(data, size));
	for (i = 0; i < PEERS; i++)
		net_add_candidates(i);
	run_faults(data, size);
	end_faults();
	net_run(CONVERGE_MS);
	for (i = 0; i < PEERS; i++)
		if (net.peers[i].ms)
			check_view(i);
	net.updates = 0;
	net_run(QUIET_MS);
	if (net.updates)
		abort();
	net_free();
	return 0;
}

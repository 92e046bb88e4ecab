/*
 * Public header of the move library: a move shifts a service's traffic from one
 * version of its targets to another. The library follows the move's schedule,
 * compares the outcomes of both versions, and takes the move back when the new
 * version is worse. Pure: time and events are passed in. A controller belongs
 * to one process and is guarded by its owner's lock.
 *
 * A move is identified by a hash of its service, versions and start time, so
 * that all instances and configurations agree on it. Outcomes are counted per
 * origin (the key of the process that counts them) and counts only grow, so
 * that merging them in any order and any number of times gives the same sums.
 */
#ifndef MC_MOVE_H
#define MC_MOVE_H

#include "mc/config.h"

enum {
	/* Number of routes of a service that are counted separately. */
	MC_MOVE_ROUTES = 4,
	/* Number of buckets of a latency histogram. */
	MC_MOVE_BUCKETS = 16,
};

/** enum mc_move_state_t - progress of a move */
typedef enum mc_move_state_t {
	MC_MOVE_WAITING,
	MC_MOVE_SHIFTING,
	/*
	 * All traffic has moved; the old version is kept, and the new one is
	 * still compared with it.
	 */
	MC_MOVE_SETTLING,
	MC_MOVE_FINISHED,
	MC_MOVE_TAKEN_BACK,
} mc_move_state_t;

/** struct mc_move_counts_t - outcomes of one version on one route */
typedef struct mc_move_counts_t {
	uint64_t answered;
	uint64_t failed;
	uint64_t latency[MC_MOVE_BUCKETS];
} mc_move_counts_t;

/**
 * struct mc_move_digest_t - what processes send each other about a move
 * @move_hash: hash that identifies the move
 * @origin: key of the process that counted
 * @judged_good: some process saw enough outcomes and found the new version as
 *	good as the old one; never reset
 * @taken_back: some process or the configuration took the move back; never
 *	reset
 * @reason: the last decision and its reason, for operators
 * @counts: counts per route; [0] of the old version, [1] of the new one
 */
typedef struct mc_move_digest_t {
	uint64_t move_hash;
	uint64_t origin;
	bool judged_good;
	bool taken_back;
	char reason[96];
	mc_move_counts_t counts[2][MC_MOVE_ROUTES];
} mc_move_digest_t;

/**
 * struct mc_move_status_t - status of a move, for operators
 * @service: row of the service
 * @state: progress of the move
 * @share: current share of the new version, in [0, 1]
 * @reason: the last decision and its reason
 */
typedef struct mc_move_status_t {
	mc_row_t service;
	mc_move_state_t state;
	double share;
	char reason[96];
} mc_move_status_t;

typedef struct mc_move_controller_t mc_move_controller_t;

/**
 * mc_move_controller_create() - Create a controller without moves
 * @origin: key of this process; it must be a new one after each start, because
 *	the counts of an origin only grow
 *
 * Return: the controller, owned by the caller; NULL without memory.
 */
mc_move_controller_t *mc_move_controller_create(uint64_t origin);

/** mc_move_controller_destroy() - Free a controller; NULL is allowed */
void mc_move_controller_destroy(mc_move_controller_t *controller);

/**
 * mc_move_controller_set_config() - Take over the moves of a new configuration
 *
 * Moves that are also in the new configuration keep their counts and their
 * verdict; a verdict is never dropped while the configuration contains the
 * move.
 *
 * Return: MC_OK, MC_ERR_FULL with too many moves, or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_move_controller_set_config(mc_move_controller_t *controller,
				       const mc_config_t *config, mc_ms_t wall);

/**
 * mc_move_controller_record_outcome() - Record that a sub-query has ended
 * @controller: the controller
 * @service: row of the service
 * @version: version of the target
 * @route: route, less than MC_MOVE_ROUTES (0 search, 1 run)
 * @failed: whether it failed through the target's fault
 * @latency: ms
 * @wall: wall-clock time, ms since the Unix epoch
 */
void mc_move_controller_record_outcome(mc_move_controller_t *controller,
				       mc_row_t service, const char *version,
				       uint32_t route, bool failed,
				       mc_ms_t latency, mc_ms_t wall);

/**
 * mc_move_controller_tick() - Judge the outcomes and continue the schedule
 *
 * Return: true when a share or a state changed.
 */
bool mc_move_controller_tick(mc_move_controller_t *controller, mc_ms_t wall);

/**
 * mc_move_controller_share() - The new version's share of a service's requests
 * @controller: the controller
 * @service: row of the service
 * @from: receives the old version; NULL if the service has no move
 * @to: receives the new version; NULL if the service has no move
 *
 * Return: share in [0, 1].
 */
double mc_move_controller_share(const mc_move_controller_t *controller,
				mc_row_t service, const char **from,
				const char **to);

/** mc_move_controller_count() - Number of moves */
uint32_t mc_move_controller_count(const mc_move_controller_t *controller);

/** mc_move_controller_get_status() - Get the status of the move @index */
void mc_move_controller_get_status(const mc_move_controller_t *controller,
				   uint32_t index, mc_move_status_t *status);

/**
 * mc_move_controller_get_digest() - Get this process's digest of the move
 * @index
 */
void mc_move_controller_get_digest(const mc_move_controller_t *controller,
				   uint32_t index, mc_move_digest_t *digest);

/**
 * mc_move_controller_merge_digest() - Merge a digest from a peer
 *
 * Return: true when the digest brought a verdict that was new to this process.
 */
bool mc_move_controller_merge_digest(mc_move_controller_t *controller,
				     const mc_move_digest_t *digest,
				     mc_ms_t wall);

/**
 * mc_move_controller_find_unstored_verdict() - Find a verdict that @config does
 * not contain yet
 * @controller: the controller
 * @config: configuration in force
 * @move: receives the row of the move in @config
 *
 * Return: true if there is one; the caller writes it to the store.
 */
bool mc_move_controller_find_unstored_verdict(
	const mc_move_controller_t *controller, const mc_config_t *config,
	mc_row_t *move);

#endif

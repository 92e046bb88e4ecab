/*
 * Public header of the move library: moving a service's traffic from one
 * version of its targets to another, judging the new one by evidence, and
 * taking it back. Pure. A mover belongs to one process and is guarded by its
 * owner's lock.
 *
 * A move is named by the hash of its service, versions and start, so that all
 * instances and configurations agree on it. Counts are kept per origin (an
 * instance's key) and only grow, so that merging them in any order and any
 * number of times gives the same sums.
 */
#ifndef MC_MOVE_H
#define MC_MOVE_H

#include "mc/config.h"

enum {
	/* Routes of a service that are told apart in the evidence. */
	MC_MOVE_ROUTES = 4,
	/* Latency buckets of the evidence. */
	MC_MOVE_BUCKETS = 16,
};

/** enum mc_move_state_t - where a move is */
typedef enum mc_move_state_t {
	MC_MOVE_WAITING,
	MC_MOVE_SHIFTING,
	/* All traffic has moved; the old version is kept and watched against.
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
 * struct mc_move_digest_t - what instances tell each other about one move
 * @move: the move's hash
 * @origin: key of the instance that counted
 * @judged: some instance saw enough evidence, and it was good; grow-only
 * @taken_back: grow-only verdict
 * @reason: why, for operators
 * @counts: [0] of the old version, [1] of the new one, per route
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
 * struct mc_move_status_t - a move as operators see it
 * @service: row of the service
 * @state: where it is
 * @share: share of the new version now, [0, 1]
 * @reason: last decision and why
 */
typedef struct mc_move_status_t {
	mc_row_t service;
	mc_move_state_t state;
	double share;
	char reason[96];
} mc_move_status_t;

typedef struct mc_move_controller_t mc_move_controller_t;

/**
 * mc_mover_create() - a mover without moves
 * @origin: key of the own process, another one after each start, as counts of
 *	an origin only grow
 *
 * Return: the mover, owned by the caller; NULL without memory.
 */
mc_move_controller_t *mc_move_controller_create(uint64_t origin);

/** mc_mover_destroy() - free; NULL is allowed */
void mc_move_controller_destroy(mc_move_controller_t *mover);

/**
 * mc_mover_config() - a configuration came into force
 *
 * Moves that it still names keep their evidence and verdict; a verdict is
 * never forgotten while the configuration names the move.
 */
mc_err_t mc_move_controller_set_config(mc_move_controller_t *mover,
				       const mc_config_t *config, mc_ms_t wall);

/**
 * mc_mover_observe() - a sub-query ended at a target
 * @mover: the mover
 * @service: row of the service
 * @version: version of the target
 * @route: route, below MC_MOVE_ROUTES (0 search, 1 run)
 * @failed: it failed by the target's fault
 * @latency: ms
 * @wall: ms since the Unix epoch
 */
void mc_move_controller_record_outcome(mc_move_controller_t *mover,
				       mc_row_t service, const char *version,
				       uint32_t route, bool failed,
				       mc_ms_t latency, mc_ms_t wall);

/**
 * mc_mover_tick() - judge the evidence and go on with the schedule
 *
 * Return: true when a share or a state changed.
 */
bool mc_move_controller_tick(mc_move_controller_t *mover, mc_ms_t wall);

/**
 * mc_mover_share() - share of a service's requests for the new version
 * @mover: the mover
 * @service: row of the service
 * @from: receives the old version; NULL if the service has no move
 * @to: receives the new version
 *
 * Return: share in [0, 1].
 */
double mc_move_controller_share(const mc_move_controller_t *mover,
				mc_row_t service, const char **from,
				const char **to);

/** mc_mover_count() - number of moves */
uint32_t mc_move_controller_count(const mc_move_controller_t *mover);

/** mc_mover_status() - status of the move @index */
void mc_move_controller_get_status(const mc_move_controller_t *mover,
				   uint32_t index, mc_move_status_t *status);

/** mc_mover_digest() - own digest of the move @index, for peers */
void mc_move_controller_get_digest(const mc_move_controller_t *mover,
				   uint32_t index, mc_move_digest_t *digest);

/**
 * mc_mover_merge() - a peer's digest arrived
 *
 * Return: true when it brought a verdict that was not known.
 */
bool mc_move_controller_merge_digest(mc_move_controller_t *mover,
				     const mc_move_digest_t *digest,
				     mc_ms_t wall);

/**
 * mc_mover_verdict() - a verdict that the configuration does not show yet
 * @mover: the mover
 * @config: configuration in force
 * @move: receives the row of the move in @config
 *
 * Return: true if there is one, to be written to the store.
 */
bool mc_move_controller_find_unstored_verdict(const mc_move_controller_t *mover,
					      const mc_config_t *config,
					      mc_row_t *move);

#endif

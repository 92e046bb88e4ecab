/*
 * Public header of the snapshot library: tracks which snapshots each target can
 * serve, and chooses the snapshot that a query is pinned to. Pure. A catalogue
 * belongs to one shard of a process and is guarded by that shard's lock.
 */
#ifndef MC_SNAPSHOT_H
#define MC_SNAPSHOT_H

#include "mc/config.h"

typedef struct mc_catalogue_t mc_catalogue_t;

/**
 * mc_catalogue_create() - Create a catalogue for a configuration
 * @config: the configuration; the catalogue takes a reference
 * @previous: catalogue whose reports are copied for targets that are in both
 *	configurations; may be NULL
 *
 * Return: the catalogue, owned by the caller; NULL without memory.
 */
mc_catalogue_t *mc_catalogue_create(const mc_config_t *config,
				    const mc_catalogue_t *previous);

/** mc_catalogue_destroy() - Free a catalogue; NULL is allowed */
void mc_catalogue_destroy(mc_catalogue_t *catalogue);

/**
 * mc_catalogue_set_served() - Process a target's report of what it can serve
 * @catalogue: the catalogue
 * @target: row of the target
 * @ids: snapshot ids; unknown ones are ignored
 * @count: number of ids
 *
 * Replaces the target's previous report. A target that has never reported is
 * assumed to serve every snapshot of its layout.
 *
 * Return: true when the target's set changed.
 */
bool mc_catalogue_set_served(mc_catalogue_t *catalogue, mc_row_t target,
			     const char *const *ids, uint32_t count);

/** mc_catalogue_reset_served() - Drop a target's report */
void mc_catalogue_reset_served(mc_catalogue_t *catalogue, mc_row_t target);

/**
 * mc_catalogue_serves() - Return whether @target can serve the @snapshot row
 */
bool mc_catalogue_serves(const mc_catalogue_t *catalogue, mc_row_t target,
			 mc_row_t snapshot);

/**
 * struct mc_snapshot_target_filter_t - selects the targets that may get work
 * now
 * @is_usable: returns whether the target row may be used
 * @ctx: passed to @is_usable
 */
typedef struct mc_snapshot_target_filter_t {
	bool (*is_usable)(void *ctx, mc_row_t target);
	void *ctx;
} mc_snapshot_target_filter_t;

/**
 * mc_catalogue_choose_snapshot() - Choose the snapshot to pin a query to
 * @catalogue: the catalogue
 * @service: row of the service
 * @filter: selects the targets that may get work
 * @snapshot: receives the row of the newest snapshot that usable targets can
 *	serve on every shard of its layout. If there is none, it is the snapshot
 *	with the largest share of its documents served, and the newest of equal
 *	ones.
 *
 * Return: MC_OK, or MC_ERR_NO_SNAPSHOT when no shard of any snapshot can be
 * served.
 */
mc_err_t mc_catalogue_choose_snapshot(const mc_catalogue_t *catalogue,
				      mc_row_t service,
				      const mc_snapshot_target_filter_t *filter,
				      mc_row_t *snapshot);

#endif

/*
 * Public header of the snapshot library: which snapshots targets can serve,
 * and which one a query may pin. Pure. A catalogue belongs to one shard of a
 * process and is guarded by its lock.
 */
#ifndef MC_SNAPSHOT_H
#define MC_SNAPSHOT_H

#include "mc/config.h"

typedef struct mc_catalogue_t mc_catalogue_t;

/**
 * mc_catalogue_create() - a catalogue of a configuration
 * @config: one reference is taken
 * @previous: reports of targets that both name are carried over; may be NULL
 *
 * Return: the catalogue, owned by the caller; NULL without memory.
 */
mc_catalogue_t *mc_catalogue_create(const mc_config_t *config,
				    const mc_catalogue_t *previous);

/** mc_catalogue_destroy() - free; NULL is allowed */
void mc_catalogue_destroy(mc_catalogue_t *catalogue);

/**
 * mc_catalogue_report() - a target reported the snapshots it can serve
 * @catalogue: the catalogue
 * @target: row of the target
 * @ids: snapshot ids; unknown ones are ignored
 * @count: number of ids
 *
 * Replaces the target's earlier report. A target that never reported is taken
 * to serve every snapshot of its layout.
 *
 * Return: true when the target's set changed.
 */
bool mc_catalogue_set_served(mc_catalogue_t *catalogue, mc_row_t target,
			     const char *const *ids, uint32_t count);

/** mc_catalogue_forget() - the target's report no longer counts */
void mc_catalogue_reset_served(mc_catalogue_t *catalogue, mc_row_t target);

/** mc_catalogue_serves() - whether @target can serve the @snapshot row */
bool mc_catalogue_serves(const mc_catalogue_t *catalogue, mc_row_t target,
			 mc_row_t snapshot);

/**
 * struct mc_usable_t - tells which targets may get work now
 * @usable: whether the target row may be used
 * @ctx: passed to @usable
 */
typedef struct mc_snapshot_target_filter_t {
	bool (*is_usable)(void *ctx, mc_row_t target);
	void *ctx;
} mc_snapshot_target_filter_t;

/**
 * mc_catalogue_pin() - the snapshot that a query of a service shall use
 * @catalogue: the catalogue
 * @service: row of the service
 * @usable: which targets may get work
 * @snapshot: receives the row of the newest snapshot that every shard of its
 *	layout can serve by a usable target; if there is none, of the one with
 *	the largest share of its documents served, the newest among equals
 *
 * Return: MC_OK, or MC_ERR_NO_SNAPSHOT when no shard of any can be served.
 */
mc_err_t mc_catalogue_choose_snapshot(const mc_catalogue_t *catalogue,
				      mc_row_t service,
				      const mc_snapshot_target_filter_t *usable,
				      mc_row_t *snapshot);

#endif

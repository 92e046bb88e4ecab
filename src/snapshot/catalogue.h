/*
 * Private state of a catalogue: the snapshots that each target can serve, as
 * bit masks. A snapshot's bit is its position among its service's snapshots,
 * newest first.
 */
#ifndef MC_SNAPSHOT_CATALOGUE_H
#define MC_SNAPSHOT_CATALOGUE_H

#include "mc/snapshot.h"

/**
 * struct mc_served_t - snapshots that a target can serve
 * @mask: the snapshots that it reported, or all of its layout
 * @reported: whether @mask is from a report
 */
typedef struct mc_served_t {
	uint64_t mask;
	bool reported;
} mc_served_t;

/**
 * struct mc_catalogue_t - the catalogue
 * @config: the catalogue holds one reference
 * @bits: bit of each snapshot row; MC_SNAPSHOTS_PER_SERVICE_MAX if it has none
 * @layouts: mask of the snapshots of each layout row
 * @targets: snapshots that each target row can serve
 */
struct mc_catalogue_t {
	const mc_config_t *config;
	uint8_t *bits;
	uint64_t *layouts;
	mc_served_t *targets;
};

/**
 * mc_catalogue_carry_over() - Copy the reports of an earlier catalogue
 * @catalogue: receives the reports
 * @previous: the earlier catalogue
 *
 * A report is copied when the target still holds the same shard of the same
 * layout, and for the snapshots that are in both configurations.
 */
void mc_catalogue_carry_over(mc_catalogue_t *catalogue,
			     const mc_catalogue_t *previous);

#endif

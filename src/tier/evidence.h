/*
 * What this data shard sees of targets and others should know.
 */
#ifndef MC_TIER_EVIDENCE_H
#define MC_TIER_EVIDENCE_H

#include "tier_private.h"

/** evidence_key() - Get the number that names a target among instances */
uint32_t evidence_key(const mc_target_entry_t *entry);

/** evidence_on_send() - Watch whether an attempt's response becomes overdue */
void evidence_on_send(tier_t *tier, const target_t *target,
		      const attempt_t *attempt);

/** evidence_on_response() - Record a response of a target */
void evidence_on_response(tier_t *tier, target_t *target,
			  const mc_tier_response_info_t *response);

/** evidence_receive() - Pass reports of other instances to all data shards;
 * handler of mc_discovery_params_t, with the process as @ctx */
void evidence_receive(void *ctx, const mc_replica_report_t *reports,
		      uint32_t count);

#endif

/*
 * Reports on targets that instances of a data centre exchange, between the
 * types of the relay and those of the replica library.
 */
#include "discovery_private.h"

static uint32_t smaller(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

void discovery_on_evidence(void *ctx, const mc_wire_evidence_t *items,
			   uint32_t count)
{
	mc_discovery_t *discovery = ctx;
	mc_replica_report_t reports[MC_WIRE_RELAY_EVIDENCE_MAX];
	uint32_t i;

	count = smaller(count, MC_WIRE_RELAY_EVIDENCE_MAX);
	if (!discovery->params.receive_evidence || !count)
		return;
	for (i = 0; i < count; i++)
		reports[i] = (mc_replica_report_t){
			.target = items[i].target,
			.pace = items[i].pace,
			.silent = items[i].silent,
			.age = items[i].age,
		};
	discovery->params.receive_evidence(discovery->params.ctx, reports,
					   count);
}

void mc_discovery_send_evidence(mc_discovery_t *discovery,
				const mc_replica_report_t *reports,
				uint32_t count)
{
	mc_wire_evidence_t items[MC_WIRE_RELAY_EVIDENCE_MAX];
	uint32_t i;

	if (!discovery->relay)
		return;
	count = smaller(count, MC_WIRE_RELAY_EVIDENCE_MAX);
	for (i = 0; i < count; i++)
		items[i] = (mc_wire_evidence_t){
			.target = reports[i].target,
			.pace = reports[i].pace,
			.silent = reports[i].silent,
			.age = reports[i].age > 0 ? (uint32_t)reports[i].age
						  : 0,
		};
	mc_relay_send_evidence(discovery->relay, items, count);
}

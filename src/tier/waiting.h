/*
 * The parts that wait until a target of their service has room, by the priority
 * of their requests.
 */
#ifndef MC_TIER_WAITING_H
#define MC_TIER_WAITING_H

#include "tier_private.h"

/** waiting_add() - Let a part wait behind those of its priority */
void waiting_add(service_t *service, part_t *part);

/** waiting_remove() - Remove a waiting part; its state is left unchanged */
void waiting_remove(service_t *service, part_t *part);

/** waiting_ahead() - Number of parts that would be sent before a new one */
uint32_t waiting_ahead(const service_t *service, const part_t *part);

/** waiting_goes_first() - Tell whether a more urgent part waits that a target
 * could take now, so that a part that doesn't wait yet must not be sent */
bool waiting_goes_first(const service_t *service, const part_t *part);

#endif

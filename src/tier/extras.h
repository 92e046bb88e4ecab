/*
 * Extra requests, which are retries and hedges, out of the budget of a service.
 */
#ifndef MC_TIER_EXTRAS_H
#define MC_TIER_EXTRAS_H

#include "tier_private.h"

/**
 * extras_rank() - Rank of a request in the budget, 0 for the most urgent
 *
 * Only ranks of customers are told apart. A route that is less urgent than
 * others may have the shorter goal, and needs second tries more than they do.
 */
uint32_t extras_rank(const request_t *request);

/**
 * extras_withdraw() - Reserve an extra request for @part
 * @keep: extra requests of the service that must stay available for others
 *
 * Return: false if this data shard's share of the budget is used up.
 */
bool extras_withdraw(part_t *part, uint32_t keep);

/** extras_charge() - Count an extra request for @part that is sent in any case
 */
void extras_charge(part_t *part);

/** extras_refund() - Return the extra request reserved for @part, if there is
 * one, as it is not sent */
void extras_refund(part_t *part);

/** extras_send() - Record that the bytes of @attempt are sent now, if it is an
 * extra request */
void extras_send(tier_t *tier, attempt_t *attempt);

#endif

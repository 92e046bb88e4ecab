/*
 * Order of parts of one priority that wait for room at the targets of a
 * service: fair between customers, or between routes if no customers are named.
 * Decides without a clock or I/O.
 */
#ifndef MC_TIER_FAIR_ORDER_H
#define MC_TIER_FAIR_ORDER_H

#include "tier_private.h"

/**
 * fair_order_turn() - Turn that a part of @flow would get in @queue
 * @queue: waiting parts in the order of their turns
 * @round: turn of the part that left the front of the queue last
 * @flow: identity of the customer or route
 *
 * Load: one of many customers sends far more than the targets bear. Each flow
 * gets one turn in each round, and those that have nothing waiting are passed
 * over, so the flood waits behind its own parts only.
 */
uint64_t fair_order_turn(const wait_queue_t *queue, uint64_t round,
			 const void *flow);

/** fair_order_insert() - Queue @part, whose flow and turn are set, behind all
 * parts of the same or an earlier turn */
void fair_order_insert(wait_queue_t *queue, part_t *part);

/** fair_order_ahead() - Number of parts in @queue of the same or an earlier
 * turn */
uint32_t fair_order_ahead(const wait_queue_t *queue, uint64_t turn);

#endif

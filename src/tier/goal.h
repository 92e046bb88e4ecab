/*
 * How long before the latency goal a merged response must be sent. Pure
 * computation without I/O.
 */
#ifndef MC_TIER_GOAL_H
#define MC_TIER_GOAL_H

#include "mc/base.h"
#include "mc/records.h"

/**
 * struct goal_response_t - a response that is due at its goal
 * @goal: latency goal of the route, ms
 * @round_trip: measured round trip to the caller, ms; 0 if unknown
 * @lateness: by how much the instance is usually late to write it, ms
 * @parts: number of parts, each of which adds a signature
 * @records: maximum number of records
 */
typedef struct goal_response_t {
	mc_ms_t goal;
	mc_ms_t round_trip;
	mc_ms_t lateness;
	uint32_t parts;
	uint32_t records;
} goal_response_t;

/**
 * goal_reserve() - Time from sending a response until its caller has all of it
 *
 * Load: searches of many parts, half of which wait for their goal. A response
 * of 135 parts has some 6 KB, for which the link of a small instance takes 3
 * ms; without these a part of the responses arrive just after the goal.
 *
 * Return: ms, at most a third of the goal.
 */
mc_ms_t goal_reserve(const goal_response_t *response);

/**
 * goal_was_decisive() - Tell whether a response that left after its goal could
 * have left at its goal
 * @progress: progress of the response
 *
 * Load: many targets become slow for some seconds, and searches have the parts
 * they need only after their goals. These waited for their targets; taken as
 * late writing they would make later responses leave far before their goals.
 *
 * Return: false if the response lacked parts that it needs until its last one.
 */
bool goal_was_decisive(const mc_records_progress_t *progress);

#endif

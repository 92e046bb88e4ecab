/*
 * One sender's share of the request rate that a target takes from many senders
 * together. Pure: time is passed in.
 *
 * Each sender may send one request per period, at its own place in the period,
 * so that the senders take turns. For that, all use the time of day, which is
 * about the same everywhere; where it is not, a sender sends out of turn.
 */
#ifndef MC_RATE_SHARE_H
#define MC_RATE_SHARE_H

#include "mc/base.h"

/**
 * struct mc_rate_share_params_t - the rate of a target and who shares it
 * @rate: turns per second of all senders together
 * @turn_life: time after which a turn that was not used lapses, ms
 * @senders: number of senders
 * @index: this sender's place among them, from 0
 */
typedef struct mc_rate_share_params_t {
	double rate;
	double turn_life;
	uint32_t senders;
	uint32_t index;
} mc_rate_share_params_t;

/**
 * mc_rate_share_limit() - Get the parameters for a limit that a target names
 * @limit: requests per second from all senders together. Even with a limit of 0
 *	a request is sent now and then, to learn whether it still holds
 * @senders: number of senders
 * @index: this sender's place among them
 */
mc_rate_share_params_t mc_rate_share_limit(double limit, uint32_t senders,
					   uint32_t index);

/**
 * mc_rate_share_warmup() - Get the parameters for a target that is warming up
 * @limit: requests per second from all senders together that it can take
 * @senders: number of senders
 * @index: this sender's place among them
 */
mc_rate_share_params_t mc_rate_share_warmup(double limit, uint32_t senders,
					    uint32_t index);

/**
 * struct mc_rate_share_t - a sender's share of a target's rate
 * @taken_at: time of day of the last request, ms; set to the current time when
 *	the target first names a limit
 */
typedef struct mc_rate_share_t {
	mc_ms_t taken_at;
} mc_rate_share_t;

/**
 * mc_rate_share_wait() - Return the time until a request may be sent
 * @share: the share
 * @params: the limit
 * @wall: time of day, ms
 *
 * A turn that is not used lapses soon, as many senders with little traffic
 * would else save up theirs and use them at once.
 *
 * Return: ms; 0 when a request may be sent now.
 */
mc_ms_t mc_rate_share_wait(const mc_rate_share_t *share,
			   const mc_rate_share_params_t *params, mc_ms_t wall);

/** mc_rate_share_period() - Return the time between two turns, ms */
double mc_rate_share_period(const mc_rate_share_params_t *params);

#endif

/*
 * A response is late if its last byte is, so the reserve grows with its size.
 */
#include "goal.h"

enum {
	/* Assumed round-trip time to the caller if the connection has no
	 * measurement, ms. */
	ROUND_TRIP_DEFAULT_MS = 6,
	/* Time to merge and write a response, ms. */
	WRITE_MS = 2,
	/* Size of a part's signature in a response, and of a record. */
	SIGNATURE_BYTES = 44,
	RECORD_BYTES = 16,
	/* Rate of the slowest links of instances, 20 Mbit/s, in bytes per ms.
	 */
	LINK_BYTES_PER_MS = 2500,
	/* At most 1/n of the goal is reserved. */
	GOAL_DIVISOR = 3,
};

static mc_ms_t transfer_time(const goal_response_t *response)
{
	uint64_t size = (uint64_t)response->parts * SIGNATURE_BYTES +
			(uint64_t)response->records * RECORD_BYTES;

	return (mc_ms_t)((size + LINK_BYTES_PER_MS - 1) / LINK_BYTES_PER_MS);
}

mc_ms_t goal_reserve(const goal_response_t *response)
{
	mc_ms_t max = response->goal / GOAL_DIVISOR;
	mc_ms_t reserve = WRITE_MS + transfer_time(response) +
			  response->lateness +
			  (response->round_trip ? response->round_trip
						: ROUND_TRIP_DEFAULT_MS);

	return reserve < max ? reserve : max;
}

bool goal_was_decisive(const mc_records_progress_t *progress)
{
	double needed = progress->coverage_min * progress->total;

	return progress->received > 1 && progress->received - 1 >= needed;
}

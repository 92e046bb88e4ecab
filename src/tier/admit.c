/*
 * A request that can't reach its least number of parts, as their targets want
 * no requests, are at their limits, or have too many waiting, is refused at
 * once: its other targets would work in vain, and its caller can come back in
 * time.
 */
#include "admit.h"

#include "target_limit.h"
#include "target_notice.h"
#include "waiting.h"

enum {
	/* Callers are told to come back within this span, ms, after the time at
	 * which there may be room. */
	RETURN_SPREAD_MS = 250,
};

void admit_set_return(request_t *request, mc_ms_t wait)
{
	mc_random_t *random = mc_shard_random(request->tier->shard);

	request->retry_after =
		wait + 1 + mc_random_below(random, RETURN_SPREAD_MS);
}

mc_err_t admit_check_part(const part_t *part, uint32_t ahead, mc_ms_t *wait)
{
	*wait = 0;
	if (target_notice_silences(part, wait))
		return MC_ERR_NO_TARGET;
	if (target_limit_refuses(part, ahead, wait))
		return MC_ERR_TARGET_LIMITED;
	return MC_OK;
}

bool admit_queue_refuses(const service_t *service, const part_t *part,
			 uint32_t ahead, mc_ms_t *wait)
{
	const request_t *request = part->request;
	mc_ms_t now = mc_shard_now(request->tier->shard);
	double latency = request->stats ? request->stats->median.value : 0;

	*wait = mc_drain_wait(&service->drain, ahead, service->in_flight,
			      latency, now);
	return mc_drain_refuses(*wait, latency, request->goal_at - now);
}

/* Parts that wait already go first. */
static mc_err_t check_new_part(const part_t *part, mc_ms_t *wait)
{
	const service_t *service =
		mc_table_get(part->request->tier->services, part->service);
	uint32_t ahead = service ? waiting_ahead(service, part) : 0;

	if (service && admit_queue_refuses(service, part, ahead, wait))
		return MC_ERR_OVERLOADED;
	return admit_check_part(part, ahead, wait);
}

mc_err_t admit_request(request_t *request)
{
	mc_records_progress_t *progress = &request->progress;
	mc_ms_t wait, longest = 0;
	mc_err_t err, reason = MC_OK;
	uint32_t i;

	for (i = 0; i < request->part_count; i++) {
		err = check_new_part(&request->parts[i], &wait);
		if (!err)
			continue;
		reason = err;
		request->parts[i].state = PART_FAILED;
		request->parts[i].reason = err;
		progress->failed++;
		longest = wait > longest ? wait : longest;
	}
	if (!progress->failed)
		return MC_OK;
	mc_counter_add(mc_shard_counters(request->tier->shard),
		       MC_COUNTER_LIMITED, progress->failed);
	if (longest)
		admit_set_return(request, longest);
	if (mc_records_decide(progress, false, false) == MC_RECORDS_WAIT)
		return MC_OK;
	return reason;
}

/*
 * Dispatch: sends the parts that wait for a service when targets have room, the
 * most urgent first, and refuses those that would be late.
 */
#include "tier_private.h"

#include "admit.h"
#include "tried.h"
#include "waiting.h"

enum {
	/* Retry interval for waiting parts, which the rate limit of a target
	 * that is warming up may hold back, ms. */
	DISPATCH_RETRY_MS = 25,
};

/* Finds the first waiting part that misses its goal by now. */
static part_t *find_late_part(const service_t *service, mc_ms_t *wait)
{
	uint32_t ahead = 0, priority;
	part_t *part;

	for (priority = 0; priority < TIER_PRIORITIES; priority++)
		for (part = TAILQ_FIRST(&service->waiting[priority]); part;
		     part = TAILQ_NEXT(part, entry))
			if (admit_queue_refuses(service, part, ahead++, wait))
				return part;
	return NULL;
}

/* Refuses parts that were queued before it was known how long they would wait,
 * or while their targets were faster. */
static void refuse_late_parts(tier_t *tier, service_t *service)
{
	part_t *part;
	mc_ms_t wait;

	while ((part = find_late_part(service, &wait))) {
		waiting_remove(service, part);
		mc_counter_add(mc_shard_counters(tier->shard),
			       MC_COUNTER_LIMITED, 1);
		request_part_unsendable(part->request, part, MC_ERR_OVERLOADED,
					wait);
	}
}

static void on_dispatch_timer(mc_shard_t *shard, void *arg)
{
	service_t *service = arg;

	(void)shard;
	service->dispatch_timer = MC_HANDLE_NONE;
	refuse_late_parts(service->tier, service);
	service_dispatch_waiting(service->tier, service);
}

void service_schedule_dispatch(tier_t *tier, service_t *service)
{
	mc_ms_t at = mc_shard_now(tier->shard) + DISPATCH_RETRY_MS;

	if (service->dispatch_timer.generation)
		return;
	if (mc_timer_set(tier->shard, at, on_dispatch_timer, service,
			 &service->dispatch_timer))
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "waiting parts not rescheduled: timer failed: %s",
		       mc_last_error_message());
}

/* Sends parts of one queue as long as targets have room. A part that waits for
 * another target than the one that rejected it is passed over: those behind it
 * may get to that one. */
static void dispatch_queue(tier_t *tier, service_t *service,
			   const wait_queue_t *queue)
{
	part_t *part = TAILQ_FIRST(queue), *next;
	mc_ms_t wait;
	mc_err_t err;

	while (part) {
		next = TAILQ_NEXT(part, entry);
		err = admit_check_part(part, 0, &wait);
		if (err) {
			waiting_remove(service, part);
			request_part_unsendable(part->request, part, err, wait);
			/* The end of the request may have taken others out. */
			next = TAILQ_FIRST(queue);
		} else if (send_part(tier, part)) {
			waiting_remove(service, part);
		} else if (!tried_rejected_by_any(part)) {
			break;
		}
		part = next;
	}
}

void service_dispatch_waiting(tier_t *tier, service_t *service)
{
	uint32_t priority;

	for (priority = 0; priority < TIER_PRIORITIES && service->waiting_count;
	     priority++)
		dispatch_queue(tier, service, &service->waiting[priority]);
	if (service->waiting_count)
		service_schedule_dispatch(tier, service);
}

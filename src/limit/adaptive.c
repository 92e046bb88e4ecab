/*
 * The policy "adaptive": additive increase, multiplicative decrease. The
 * target's concurrency rises while this owner uses its share and latency is
 * low. It falls on sheds, missed deadlines and high latency. After the target
 * has started, the concurrency starts at 1 and rises with the answers (the
 * ramp). An owner whose rank gets no slot sees no answers; for it, the
 * concurrency rises with time until it has one slot to probe with.
 */
#include "latency.h"
#include "limiter.h"

#include <math.h>

enum {
	/* Time in which the latency watermark follows a lasting change, ms. */
	WATERMARK_RISE_MS = 60000,
	/* The same while the concurrency is so low that nothing queues, ms. */
	WATERMARK_RISE_LOW_MS = 2000,
	/* The concurrency is low when it is at most 1/n of the initial one. */
	LOW_DIVISOR = 4,
	/*
	 * For an owner without a slot, the concurrency rises by one in this
	 * time, ms.
	 */
	PROBE_MS = 1000,
	/* For an owner without a slot, a ramp is this many times slower. */
	RAMP_NO_SLOT_SLOWDOWN = 2,
	/* A ramp pauses this long after a report of high load or a shed, ms. */
	RAMP_PAUSE_MS = 500,
	/*
	 * Load reports can be misleading: they can pause a ramp only within
	 * this many times its minimum duration.
	 */
	RAMP_LOAD_PAUSE_TIMES = 2,
	/* How long a load report is valid, ms. */
	LOAD_REPORT_VALID_MS = 5000,
};

/* Factor by which a shed or a missed deadline lowers the concurrency. */
static const double shed_factor = 0.7;
/* Factor by which a round trip with high latency lowers the concurrency. */
static const double latency_factor = 0.9;
/* Weight of the newest outcome in the smoothed share of sheds. */
static const double shed_weight = 1.0 / 8;
/* Share of sheds from which a jump in latency means that the target is cold. */
static const double cold_shed_share = 0.5;
/* Reported load from which a ramp pauses. */
static const double ramp_pause_load = 0.9;
/* Reported load from which the share is reduced... */
static const double load_threshold = 0.8;
/* ... down to this fraction of it at full load. */
static const double load_min_factor = 0.5;

/*
 * @changed_at: when the concurrency last changed or its timed rise begins, ms
 * @lowered_at: when the concurrency was last lowered, ms
 * @ramp_paused_until: the ramp pauses until then, ms
 * @ramp_started_at: when the ramp began, ms
 * @cold_until: end of the warm-up that the target reported, ms
 * @epoch: when the last ramp began, or else when the limiter was created, ms;
 *	outcomes of sub-queries sent before it are ignored, because they don't
 *	show the state of the target since then
 * @has_start_id: whether @start_id is set
 * @start_id: start id of the target's current process
 * @previous_start_id: start id of its previous process; late replies may still
 *	carry it
 * @shed_share: smoothed share of sheds and missed deadlines
 * @load_factor: factor on the concurrency, from the last load report
 * @load_factor_until: end of the validity of that report, ms
 */
typedef struct {
	mc_limiter_t base;
	mc_latency_t latency;
	mc_ms_t changed_at;
	mc_ms_t lowered_at;
	mc_ms_t ramp_paused_until;
	mc_ms_t ramp_started_at;
	mc_ms_t cold_until;
	mc_ms_t epoch;
	bool has_start_id;
	uint64_t start_id;
	uint64_t previous_start_id;
	double shed_share;
	double load_factor;
	mc_ms_t load_factor_until;
} adaptive_t;

/* Rise of the concurrency per ms of a ramp. */
static double ramp_rate(const adaptive_t *adaptive)
{
	const mc_limit_params_t *params = &adaptive->base.params;

	if (params->ramp_min <= 0)
		return 1;
	return (params->initial - 1.0) / (double)params->ramp_min;
}

/* The concurrency at @now. For an owner without a slot it rises with time. */
static double concurrency_at(const adaptive_t *adaptive, mc_ms_t now)
{
	const mc_limiter_t *base = &adaptive->base;
	const mc_place_t *place = &base->ownership.place;
	double elapsed = (double)(now - adaptive->changed_at);
	double max = base->ramping ? base->params.initial : base->params.max;
	double rate = base->ramping
			      ? ramp_rate(adaptive) / RAMP_NO_SLOT_SLOWDOWN
			      : 1.0 / PROBE_MS;

	if (!place->owners || place->rank < (uint32_t)base->concurrency ||
	    elapsed <= 0 || now < adaptive->cold_until)
		return base->concurrency;
	return fmin(fmin(base->concurrency + rate * elapsed, place->rank + 1.0),
		    max);
}

static uint32_t adaptive_share(const mc_limiter_t *limiter, mc_ms_t now)
{
	const adaptive_t *adaptive = (const adaptive_t *)limiter;
	double concurrency = concurrency_at(adaptive, now);

	if (now < adaptive->load_factor_until)
		concurrency = fmax(concurrency * adaptive->load_factor, 1);
	return mc_ownership_share(&limiter->ownership, (uint32_t)concurrency,
				  now);
}

static void apply_timed_rise(adaptive_t *adaptive, mc_ms_t now)
{
	double concurrency = concurrency_at(adaptive, now);

	if (concurrency <= adaptive->base.concurrency)
		return;
	adaptive->base.concurrency = concurrency;
	adaptive->changed_at = now;
}

static void begin_ramp(adaptive_t *adaptive, mc_ms_t now)
{
	adaptive->base.concurrency = 1;
	adaptive->base.ramping = adaptive->base.params.initial > 1;
	adaptive->changed_at = now;
	adaptive->lowered_at = now;
	adaptive->epoch = now;
	adaptive->ramp_paused_until = now;
	adaptive->ramp_started_at = now;
	adaptive->latency = (mc_latency_t){ 0 };
	adaptive->shed_share = 0;
}

static void adaptive_gained_ownership(mc_limiter_t *limiter, mc_ms_t now)
{
	adaptive_t *adaptive = (adaptive_t *)limiter;

	/* The target may have restarted while other instances owned it. */
	adaptive->has_start_id = false;
	if (limiter->params.ramp)
		begin_ramp(adaptive, now);
}

static bool adaptive_set_start_id(mc_limiter_t *limiter, uint64_t start_id,
				  mc_ms_t now)
{
	adaptive_t *adaptive = (adaptive_t *)limiter;
	bool first = !adaptive->has_start_id;

	if (!first && (start_id == adaptive->start_id ||
		       start_id == adaptive->previous_start_id))
		return false;
	adaptive->previous_start_id = first ? start_id : adaptive->start_id;
	adaptive->start_id = start_id;
	adaptive->has_start_id = true;
	/*
	 * The first id counts too: the target may have restarted since the ramp
	 * began.
	 */
	if (!limiter->params.ramp)
		return false;
	begin_ramp(adaptive, now);
	return true;
}

static void adaptive_set_reported_load(mc_limiter_t *limiter, double load,
				       mc_ms_t now)
{
	adaptive_t *adaptive = (adaptive_t *)limiter;
	double excess = (load - load_threshold) / (1 - load_threshold);

	if (!(load >= 0 && load <= 1))
		return;
	adaptive->load_factor = 1 - fmax(excess, 0) * (1 - load_min_factor);
	adaptive->load_factor_until = now + LOAD_REPORT_VALID_MS;
	if (!limiter->ramping || load < ramp_pause_load ||
	    now - adaptive->ramp_started_at >
		    limiter->params.ramp_min * RAMP_LOAD_PAUSE_TIMES)
		return;
	if (load >= 1 && now >= adaptive->ramp_paused_until)
		limiter->concurrency = fmax(limiter->concurrency - 1, 1);
	adaptive->ramp_paused_until = now + RAMP_PAUSE_MS;
}

static void adaptive_set_warmup(mc_limiter_t *limiter, mc_ms_t left,
				mc_ms_t now)
{
	adaptive_t *adaptive = (adaptive_t *)limiter;

	if (left <= 0 || !limiter->params.ramp)
		return;
	if (now >= adaptive->cold_until)
		begin_ramp(adaptive, now);
	adaptive->cold_until = now + left;
	/* For an owner without a slot, the rise with time starts here. */
	adaptive->changed_at = adaptive->cold_until;
}

/*
 * Lowers the concurrency at most once per round trip: outcomes of sub-queries
 * that were sent before the last decrease don't count.
 */
static void lower_concurrency(adaptive_t *adaptive, double factor,
			      mc_ms_t latency, mc_ms_t now)
{
	if (now - latency <= adaptive->lowered_at)
		return;
	adaptive->base.concurrency =
		fmax(adaptive->base.concurrency * factor, 1);
	adaptive->lowered_at = now;
	adaptive->changed_at = now;
}

/*
 * An answer raises a ramp by at most one, however much time passed before it.
 */
static void raise_ramp(adaptive_t *adaptive, mc_ms_t now)
{
	mc_limiter_t *base = &adaptive->base;
	double elapsed = (double)(now - adaptive->changed_at);
	double gain = fmin(ramp_rate(adaptive) * elapsed, 1);

	if (gain <= 0 || now < adaptive->ramp_paused_until ||
	    now < adaptive->cold_until)
		return;
	base->concurrency =
		fmin(base->concurrency + gain, base->params.initial);
	base->ramping = base->concurrency < base->params.initial;
	adaptive->changed_at = now;
}

/*
 * Raises the target's concurrency by one per round trip of this owner's share.
 */
static void raise_concurrency(adaptive_t *adaptive, mc_ms_t latency,
			      mc_ms_t now)
{
	mc_limiter_t *base = &adaptive->base;
	uint32_t share = adaptive_share(base, now);

	if (!share || base->used_at < now - latency ||
	    !mc_latency_is_near_watermark(&adaptive->latency))
		return;
	base->concurrency =
		fmin(base->concurrency + 1.0 / share, base->params.max);
	adaptive->changed_at = now;
}

static void add_latency(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	const mc_limiter_t *base = &adaptive->base;
	bool low = base->concurrency * LOW_DIVISOR <= base->params.initial;

	mc_latency_add(&adaptive->latency, latency,
		       low ? WATERMARK_RISE_LOW_MS : WATERMARK_RISE_MS, now);
}

static void add_to_shed_share(adaptive_t *adaptive, bool shed)
{
	double outcome = shed ? 1 : 0;

	adaptive->shed_share += (outcome - adaptive->shed_share) * shed_weight;
}

static void on_answered(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	add_to_shed_share(adaptive, false);
	add_latency(adaptive, latency, now);
	if (mc_latency_is_high(&adaptive->latency))
		lower_concurrency(adaptive, latency_factor, latency, now);
	else if (adaptive->base.ramping)
		raise_ramp(adaptive, now);
	else
		raise_concurrency(adaptive, latency, now);
}

static void on_shed(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	add_to_shed_share(adaptive, true);
	adaptive->ramp_paused_until = now + RAMP_PAUSE_MS;
	lower_concurrency(adaptive, shed_factor, latency, now);
}

static void on_deadline(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	add_to_shed_share(adaptive, true);
	/* The target would have taken at least this long. */
	if ((double)latency > adaptive->latency.smoothed)
		add_latency(adaptive, latency, now);
	lower_concurrency(adaptive, shed_factor, latency, now);
}

static bool adaptive_release(mc_limiter_t *limiter, mc_limit_outcome_t outcome,
			     mc_ms_t latency, mc_ms_t now)
{
	static void (*const on_outcome[])(adaptive_t *, mc_ms_t, mc_ms_t) = {
		[MC_LIMIT_ANSWERED] = on_answered,
		[MC_LIMIT_SHED] = on_shed,
		[MC_LIMIT_DEADLINE] = on_deadline,
		/* Failures and cancellations give no information on load. */
		[MC_LIMIT_FAILED] = NULL,
		[MC_LIMIT_CANCELED] = NULL,
	};
	adaptive_t *adaptive = (adaptive_t *)limiter;

	apply_timed_rise(adaptive, now);
	if ((unsigned)outcome >= MC_ARRAY_LEN(on_outcome) ||
	    !on_outcome[outcome] || now - latency < adaptive->epoch)
		return false;
	on_outcome[outcome](adaptive, latency, now);
	if (!limiter->params.ramp || limiter->ramping ||
	    adaptive->shed_share < cold_shed_share ||
	    !mc_latency_has_jumped(&adaptive->latency))
		return false;
	begin_ramp(adaptive, now);
	return true;
}

mc_limiter_t *mc_limiter_create_adaptive(const mc_limit_params_t *params,
					 mc_ms_t now)
{
	static const mc_limiter_ops_t ops = {
		.share = adaptive_share,
		.gained_ownership = adaptive_gained_ownership,
		.set_start_id = adaptive_set_start_id,
		.set_reported_load = adaptive_set_reported_load,
		.set_warmup = adaptive_set_warmup,
		.release = adaptive_release,
	};
	adaptive_t *adaptive =
		mc_limiter_alloc(sizeof(*adaptive), &ops, params);

	if (!adaptive)
		return NULL;
	adaptive->changed_at = now;
	adaptive->lowered_at = now - 1;
	adaptive->epoch = now;
	if (params->ramp)
		begin_ramp(adaptive, now);
	return &adaptive->base;
}

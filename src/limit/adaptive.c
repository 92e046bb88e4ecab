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
	FORGET_MS = 60000,
	/* The same while the concurrency is so low that nothing queues, ms. */
	FORGET_LOW_MS = 2000,
	/* The concurrency is low when it is at most 1/n of the initial one. */
	LOW_FRACTION = 4,
	/*
	 * For an owner without a slot, the concurrency rises by one in this
	 * time, ms.
	 */
	PROBE_MS = 1000,
	/* For an owner without a slot, a ramp is this many times slower. */
	RAMP_WITHOUT_SLOT = 2,
	/* A ramp pauses this long after a report of high load or a shed, ms. */
	RAMP_REST_MS = 500,
	/*
	 * Load reports can be misleading: they can pause a ramp only within
	 * this many times its minimum duration.
	 */
	RAMP_HINT_TIMES = 2,
	/* How long a load report is valid, ms. */
	HINT_LIFE_MS = 5000,
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
static const double ramp_load = 0.9;
/* Reported load from which the share is reduced... */
static const double hint_start = 0.8;
/* ... down to this fraction of it at full load. */
static const double hint_floor = 0.5;

/*
 * @risen: when the concurrency last changed or its rise with time begins, ms
 * @lowered: when the concurrency was last lowered, ms
 * @rest_until: the ramp pauses until then, ms
 * @ramp_at: when the ramp began, ms
 * @cold_until: end of the warm-up that the target reported, ms
 * @epoch: outcomes of sub-queries sent before this time are ignored, as the
 *	target has restarted or gone cold since, ms
 * @start_known: whether @start_id is set
 * @start_id: start id of the target's current process
 * @former_id: start id of its previous process; late replies may still carry it
 * @shed_share: smoothed share of sheds and missed deadlines
 * @hint: factor on the concurrency, from the last load report
 * @hint_until: end of the validity of that report, ms
 */
typedef struct {
	mc_limiter_t base;
	mc_latency_t latency;
	mc_ms_t risen;
	mc_ms_t lowered;
	mc_ms_t rest_until;
	mc_ms_t ramp_at;
	mc_ms_t cold_until;
	mc_ms_t epoch;
	bool start_known;
	uint64_t start_id;
	uint64_t former_id;
	double shed_share;
	double hint;
	mc_ms_t hint_until;
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
static double whole_at(const adaptive_t *adaptive, mc_ms_t now)
{
	const mc_limiter_t *base = &adaptive->base;
	const mc_place_t *place = &base->ownership.place;
	double elapsed = (double)(now - adaptive->risen);
	double most = base->ramping ? base->params.initial : base->params.max;
	double rate = base->ramping ? ramp_rate(adaptive) / RAMP_WITHOUT_SLOT
				    : 1.0 / PROBE_MS;

	if (!place->owners || place->rank < (uint32_t)base->whole ||
	    elapsed <= 0 || now < adaptive->cold_until)
		return base->whole;
	return fmin(fmin(base->whole + rate * elapsed, place->rank + 1.0),
		    most);
}

static uint32_t adaptive_share(const mc_limiter_t *limiter, mc_ms_t now)
{
	const adaptive_t *adaptive = (const adaptive_t *)limiter;
	double whole = whole_at(adaptive, now);

	if (now < adaptive->hint_until)
		whole = fmax(whole * adaptive->hint, 1);
	return mc_ownership_share(&limiter->ownership, (uint32_t)whole, now);
}

static void settle(adaptive_t *adaptive, mc_ms_t now)
{
	double whole = whole_at(adaptive, now);

	if (whole <= adaptive->base.whole)
		return;
	adaptive->base.whole = whole;
	adaptive->risen = now;
}

static void begin_ramp(adaptive_t *adaptive, mc_ms_t now)
{
	adaptive->base.whole = 1;
	adaptive->base.ramping = adaptive->base.params.initial > 1;
	adaptive->risen = now;
	adaptive->lowered = now;
	adaptive->epoch = now;
	adaptive->rest_until = now;
	adaptive->ramp_at = now;
	adaptive->latency = (mc_latency_t){ 0 };
	adaptive->shed_share = 0;
}

static void adaptive_owned(mc_limiter_t *limiter, mc_ms_t now)
{
	adaptive_t *adaptive = (adaptive_t *)limiter;

	/* The target may have restarted while other instances owned it. */
	adaptive->start_known = false;
	if (limiter->params.ramp)
		begin_ramp(adaptive, now);
}

static bool adaptive_started(mc_limiter_t *limiter, uint64_t start_id,
			     mc_ms_t now)
{
	adaptive_t *adaptive = (adaptive_t *)limiter;
	bool first = !adaptive->start_known;

	if (!first &&
	    (start_id == adaptive->start_id || start_id == adaptive->former_id))
		return false;
	adaptive->former_id = first ? start_id : adaptive->start_id;
	adaptive->start_id = start_id;
	adaptive->start_known = true;
	/*
	 * The first id counts too: the target may have restarted since the ramp
	 * began.
	 */
	if (!limiter->params.ramp)
		return false;
	begin_ramp(adaptive, now);
	return true;
}

static void adaptive_hint(mc_limiter_t *limiter, double load, mc_ms_t now)
{
	adaptive_t *adaptive = (adaptive_t *)limiter;
	double excess = (load - hint_start) / (1 - hint_start);

	if (!(load >= 0 && load <= 1))
		return;
	adaptive->hint = 1 - fmax(excess, 0) * (1 - hint_floor);
	adaptive->hint_until = now + HINT_LIFE_MS;
	if (!limiter->ramping || load < ramp_load ||
	    now - adaptive->ramp_at >
		    limiter->params.ramp_min * RAMP_HINT_TIMES)
		return;
	if (load >= 1 && now >= adaptive->rest_until)
		limiter->whole = fmax(limiter->whole - 1, 1);
	adaptive->rest_until = now + RAMP_REST_MS;
}

static void adaptive_cold(mc_limiter_t *limiter, mc_ms_t left, mc_ms_t now)
{
	adaptive_t *adaptive = (adaptive_t *)limiter;

	if (left <= 0 || !limiter->params.ramp)
		return;
	if (now >= adaptive->cold_until)
		begin_ramp(adaptive, now);
	adaptive->cold_until = now + left;
	/* For an owner without a slot, the rise with time starts here. */
	adaptive->risen = adaptive->cold_until;
}

/*
 * Lowers the concurrency at most once per round trip: outcomes of sub-queries
 * that were sent before the last decrease don't count.
 */
static void lower(adaptive_t *adaptive, double factor, mc_ms_t latency,
		  mc_ms_t now)
{
	if (now - latency <= adaptive->lowered)
		return;
	adaptive->base.whole = fmax(adaptive->base.whole * factor, 1);
	adaptive->lowered = now;
	adaptive->risen = now;
}

/*
 * An answer raises a ramp by at most one, however much time passed before it.
 */
static void raise_ramp(adaptive_t *adaptive, mc_ms_t now)
{
	mc_limiter_t *base = &adaptive->base;
	double elapsed = (double)(now - adaptive->risen);
	double gain = fmin(ramp_rate(adaptive) * elapsed, 1);

	if (gain <= 0 || now < adaptive->rest_until ||
	    now < adaptive->cold_until)
		return;
	base->whole = fmin(base->whole + gain, base->params.initial);
	base->ramping = base->whole < base->params.initial;
	adaptive->risen = now;
}

/*
 * Raises the target's concurrency by one per round trip of this owner's share.
 */
static void raise_steady(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	mc_limiter_t *base = &adaptive->base;
	uint32_t share = adaptive_share(base, now);

	if (!share || base->used_at < now - latency ||
	    !mc_latency_near(&adaptive->latency))
		return;
	base->whole = fmin(base->whole + 1.0 / share, base->params.max);
	adaptive->risen = now;
}

static void add_latency(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	const mc_limiter_t *base = &adaptive->base;
	bool low = base->whole * LOW_FRACTION <= base->params.initial;

	mc_latency_add(&adaptive->latency, latency,
		       low ? FORGET_LOW_MS : FORGET_MS, now);
}

static void add_outcome(adaptive_t *adaptive, bool shed)
{
	double outcome = shed ? 1 : 0;

	adaptive->shed_share += (outcome - adaptive->shed_share) * shed_weight;
}

static void on_answered(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	add_outcome(adaptive, false);
	add_latency(adaptive, latency, now);
	if (mc_latency_high(&adaptive->latency))
		lower(adaptive, latency_factor, latency, now);
	else if (adaptive->base.ramping)
		raise_ramp(adaptive, now);
	else
		raise_steady(adaptive, latency, now);
}

static void on_shed(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	add_outcome(adaptive, true);
	adaptive->rest_until = now + RAMP_REST_MS;
	lower(adaptive, shed_factor, latency, now);
}

static void on_deadline(adaptive_t *adaptive, mc_ms_t latency, mc_ms_t now)
{
	add_outcome(adaptive, true);
	/* The target would have taken at least this long. */
	if ((double)latency > adaptive->latency.smooth)
		add_latency(adaptive, latency, now);
	lower(adaptive, shed_factor, latency, now);
}

static bool adaptive_given(mc_limiter_t *limiter, mc_limit_outcome_t outcome,
			   mc_ms_t latency, mc_ms_t now)
{
	static void (*const on_outcome[])(adaptive_t *, mc_ms_t, mc_ms_t) = {
		[MC_LIMIT_ANSWERED] = on_answered,
		[MC_LIMIT_SHED] = on_shed,
		[MC_LIMIT_DEADLINE] = on_deadline,
		/* Failures and cancellations say nothing about load. */
		[MC_LIMIT_FAILED] = NULL,
		[MC_LIMIT_CANCELED] = NULL,
	};
	adaptive_t *adaptive = (adaptive_t *)limiter;

	settle(adaptive, now);
	if ((unsigned)outcome >= MC_ARRAY_LEN(on_outcome) ||
	    !on_outcome[outcome] || now - latency < adaptive->epoch)
		return false;
	on_outcome[outcome](adaptive, latency, now);
	if (!limiter->params.ramp || limiter->ramping ||
	    adaptive->shed_share < cold_shed_share ||
	    !mc_latency_jumped(&adaptive->latency))
		return false;
	begin_ramp(adaptive, now);
	return true;
}

mc_limiter_t *mc_limiter_create_adaptive(const mc_limit_params_t *params,
					 mc_ms_t now)
{
	static const mc_limiter_ops_t ops = {
		.share = adaptive_share,
		.owned = adaptive_owned,
		.started = adaptive_started,
		.hint = adaptive_hint,
		.cold = adaptive_cold,
		.given = adaptive_given,
	};
	adaptive_t *adaptive =
		mc_limiter_alloc(sizeof(*adaptive), &ops, params);

	if (!adaptive)
		return NULL;
	adaptive->risen = now;
	adaptive->lowered = now - 1;
	adaptive->epoch = now;
	if (params->ramp)
		begin_ramp(adaptive, now);
	return &adaptive->base;
}

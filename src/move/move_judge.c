/*
 * Judgement of the new version, per route and over several spans: its last few
 * samples, the last minute and the last ten minutes, all limited to the time
 * since the share last changed. Both versions are compared over the same span,
 * so that a fault of both counts against neither. If the old version has too
 * few samples in a span, those of the next longer span are the baseline, and
 * finally all its stored counts, as is the case once all traffic has moved.
 *
 * The new version is worse on a route when the lower bound of its failure rate
 * exceeds the upper bound of the old version's by a margin, or when the same
 * has held for its share of slow answers for some time. An answer is slow when
 * it is clearly above the latency bucket that 95% of the old version's answers
 * reach.
 */
#include "move_defs.h"

#include <stdio.h>

enum {
	/*
	 * Minimum samples of the old version in a span for it to be the
	 * baseline.
	 */
	BASELINE_SAMPLES = 20,
	/* Minimum answers of the old version for a comparison of latency. */
	LATENCY_SAMPLES = 100,
	/* Successful samples that the old version is credited with. */
	PRIOR_SAMPLES = 100,
	/*
	 * Minimum samples of the new version on a route for a good judgement.
	 */
	MIN_SAMPLES = 20,
	/* How long answers must be slow before the move is taken back, ms. */
	SLOW_HOLD_MS = 20 * 1000,
	/* SLOW_HOLD_MS is limited to 1/n of the move's duration. */
	SLOW_HOLD_PARTS = 10,
	/*
	 * Buckets above the old version's tail bucket that don't count as slow.
	 */
	SLOW_BUCKETS = 1,
	/* Number of spans that are judged. */
	SPAN_COUNT = 3,
};

/*
 * A new version is worse when the lower bound of its failure rate exceeds the
 * upper bound of the old version's by more than this.
 */
static const double FAILURE_MARGIN = 0.02;
/* The same for the share of slow answers. */
static const double SLOW_MARGIN = 0.1;
/* Maximum share of the old version's answers above its tail bucket. */
static const double SLOW_TAIL = 0.05;
/* Maximum excess of the new version's failure rate for a good judgement. */
static const double GOOD_MARGIN = 0.05;

static const char *const ROUTE_NAMES[MC_MOVE_ROUTES] = {
	"search",
	"run",
	"2",
	"3",
};

/* Counts of both versions over one span of a route. */
typedef struct {
	mc_move_counts_t old;
	mc_move_counts_t new;
} span_t;

void mc_move_take_back(mc_move_record_t *move, const char *reason)
{
	if (move->taken_back)
		return;
	move->taken_back = true;
	move->share = 0;
	move->state = MC_MOVE_TAKEN_BACK;
	snprintf(move->reason, sizeof(move->reason), "%s", reason);
}

static void get_span_since(const mc_move_record_t *move, uint32_t route,
			   const mc_move_counts_t *old_mark,
			   const mc_move_counts_t *new_mark, span_t *span)
{
	const mc_move_counts_t *old = &move->total.counts[MC_MOVE_OLD][route];

	mc_move_counts_since(&move->total.counts[MC_MOVE_NEW][route], new_mark,
			     &span->new);
	mc_move_counts_since(old, old_mark, &span->old);
}

static void get_window_span(const mc_move_record_t *move, uint32_t route,
			    const mc_move_window_t *window, span_t *span)
{
	const mc_move_sums_t *mark = &window->marks[window->next];

	get_span_since(move, route, &mark->counts[MC_MOVE_OLD][route],
		       &mark->counts[MC_MOVE_NEW][route], span);
}

/*
 * Replaces old-version counts with too few samples by those of a longer span.
 */
static void choose_baselines(const mc_move_record_t *move, uint32_t route,
			     span_t spans[SPAN_COUNT])
{
	const mc_move_counts_t *longer =
		&move->total.counts[MC_MOVE_OLD][route];
	uint32_t i;

	for (i = SPAN_COUNT; i-- > 0;) {
		if (mc_move_count_samples(&spans[i].old) < BASELINE_SAMPLES)
			spans[i].old = *longer;
		longer = &spans[i].old;
	}
}

static void get_spans(const mc_move_record_t *move, uint32_t route,
		      span_t spans[SPAN_COUNT])
{
	const mc_move_block_t *block = &move->blocks[route];

	get_span_since(move, route, &block->marks[0][MC_MOVE_OLD],
		       &block->marks[0][MC_MOVE_NEW], &spans[0]);
	get_window_span(move, route, &move->short_window, &spans[1]);
	get_window_span(move, route, &move->long_window, &spans[2]);
	choose_baselines(move, route, spans);
}

static bool fails_more(const span_t *span)
{
	uint64_t old_samples =
		mc_move_count_samples(&span->old) + PRIOR_SAMPLES;

	return mc_move_rate_lower(span->new.failed,
				  mc_move_count_samples(&span->new)) >
	       mc_move_rate_upper(span->old.failed, old_samples) +
		       FAILURE_MARGIN;
}

static uint64_t count_answers_above(const mc_move_counts_t *counts,
				    uint32_t bucket)
{
	uint64_t sum = 0;

	for (bucket++; bucket < MC_MOVE_BUCKETS; bucket++)
		sum += counts->latency[bucket];
	return sum;
}

/* Returns the bucket above which the old version has only a small tail. */
static uint32_t find_tail_bucket(const mc_move_counts_t *old)
{
	uint32_t bucket = 0;

	while (bucket < MC_MOVE_BUCKETS - 1 &&
	       (double)count_answers_above(old, bucket) >
		       SLOW_TAIL * (double)old->answered)
		bucket++;
	return bucket;
}

static bool is_slower(const span_t *span)
{
	uint32_t bucket = find_tail_bucket(&span->old) + SLOW_BUCKETS;

	if (span->old.answered < LATENCY_SAMPLES || !span->new.answered)
		return false;
	return mc_move_rate_lower(count_answers_above(&span->new, bucket),
				  span->new.answered) >
	       mc_move_rate_upper(count_answers_above(&span->old, bucket),
				  span->old.answered) +
		       SLOW_MARGIN;
}

static void take_back_failing(mc_move_record_t *move, uint32_t route,
			      const span_t *span)
{
	char reason[sizeof(move->reason)];

	snprintf(reason, sizeof(reason),
		 "route %s: failed new=%llu/%llu old=%llu/%llu",
		 ROUTE_NAMES[route], (unsigned long long)span->new.failed,
		 (unsigned long long)mc_move_count_samples(&span->new),
		 (unsigned long long)span->old.failed,
		 (unsigned long long)mc_move_count_samples(&span->old));
	mc_move_take_back(move, reason);
}

static void take_back_slow(mc_move_record_t *move, uint32_t route,
			   const span_t *span)
{
	uint32_t bucket = find_tail_bucket(&span->old) + SLOW_BUCKETS;
	char reason[sizeof(move->reason)];

	snprintf(reason, sizeof(reason),
		 "route %s: above %lld ms new=%llu/%llu old=%llu/%llu",
		 ROUTE_NAMES[route], (long long)mc_move_bucket_bound(bucket),
		 (unsigned long long)count_answers_above(&span->new, bucket),
		 (unsigned long long)span->new.answered,
		 (unsigned long long)count_answers_above(&span->old, bucket),
		 (unsigned long long)span->old.answered);
	mc_move_take_back(move, reason);
}

static mc_ms_t slow_hold_time(const mc_move_record_t *move)
{
	mc_ms_t part = (move->done_by - move->start) / SLOW_HOLD_PARTS;

	return part < SLOW_HOLD_MS ? part : SLOW_HOLD_MS;
}

/* Answers are also slow during a cold start, so slowness must last. */
static void judge_slow(mc_move_record_t *move, uint32_t route,
		       const span_t spans[SPAN_COUNT], mc_ms_t wall)
{
	const span_t *slow = NULL;
	uint32_t i;

	for (i = 0; i < SPAN_COUNT && !slow; i++)
		if (is_slower(&spans[i]))
			slow = &spans[i];
	if (!slow) {
		move->slow_since[route] = 0;
		return;
	}
	if (!move->slow_since[route] || move->slow_since[route] > wall)
		move->slow_since[route] = wall;
	if (wall - move->slow_since[route] >= slow_hold_time(move))
		take_back_slow(move, route, slow);
}

static bool is_judgeable(const mc_move_record_t *move)
{
	return !move->taken_back && !move->old_version_gone &&
	       move->state != MC_MOVE_FINISHED;
}

void mc_move_judge_route(mc_move_record_t *move, uint32_t route, mc_ms_t wall)
{
	span_t spans[SPAN_COUNT];
	uint32_t i;

	if (!is_judgeable(move) ||
	    !mc_move_count_samples(&move->total.counts[MC_MOVE_NEW][route]))
		return;
	get_spans(move, route, spans);
	for (i = 0; i < SPAN_COUNT; i++)
		if (fails_more(&spans[i]))
			take_back_failing(move, route, &spans[i]);
	if (!move->taken_back)
		judge_slow(move, route, spans, wall);
}

static double failure_rate(const mc_move_counts_t *counts)
{
	uint64_t samples = mc_move_count_samples(counts);

	return samples ? (double)counts->failed / (double)samples : 0;
}

static bool route_is_good(const mc_move_record_t *move, uint32_t route)
{
	const mc_move_counts_t *old = &move->total.counts[MC_MOVE_OLD][route];
	const mc_move_counts_t *new = &move->total.counts[MC_MOVE_NEW][route];

	return mc_move_count_samples(new) >= MIN_SAMPLES &&
	       !move->slow_since[route] &&
	       failure_rate(new) <= failure_rate(old) + GOOD_MARGIN;
}

/*
 * Returns whether every route on which the old version has traffic has enough
 * samples of the new version and is good.
 */
static bool is_good(const mc_move_record_t *move)
{
	uint32_t routes = 0, route;

	for (route = 0; route < MC_MOVE_ROUTES; route++) {
		if (!mc_move_count_samples(
			    &move->total.counts[MC_MOVE_OLD][route]))
			continue;
		if (!route_is_good(move, route))
			return false;
		routes++;
	}
	return routes > 0;
}

void mc_move_judge(mc_move_record_t *move, mc_ms_t wall)
{
	uint32_t route;

	for (route = 0; route < MC_MOVE_ROUTES; route++)
		mc_move_judge_route(move, route, wall);
	if (move->judged_good || !is_judgeable(move) || !is_good(move))
		return;
	move->judged_good = true;
	move->judged_at = wall;
	snprintf(move->reason, sizeof(move->reason),
		 "enough evidence, as good as the old version");
}

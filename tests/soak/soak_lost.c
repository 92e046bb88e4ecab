/*
 * The rule LOST: a request that an instance has read is not lost. Callers
 * record the requests whose connection ended without a complete answer, the
 * fault loop records when instances and searchers are disrupted, and
 * lost_check() judges at the end, when the searchers' lists of runs are whole.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

enum {
	/* A request that no searcher has run may cross the close of its
	 * connection for so long, ms. */
	CROSSING_MAX_MS = 200,
	/* Difference of two processes' times of the same event, ms. */
	CLOCK_MARGIN_MS = 5,
	/* Lost requests of one kind of caller that are printed. */
	PRINTED_MAX = 20,
	DETAIL_SIZE = 256,
};

/* Reason for which a request without an answer is not lost. */
typedef struct {
	const char *name;
	bool (*applies)(soak_t *soak, const soak_cut_t *cut);
} excuse_t;

typedef struct {
	uint32_t lost;
	/* Of these, those of an instance that was stopping. */
	uint32_t lost_in_stop;
	uint32_t crossed;
	uint32_t excused;
} verdicts_t;

void lost_begin(soak_t *soak, soak_disruption_kind_t kind, uint32_t index)
{
	bool is_full;

	pthread_mutex_lock(&soak->lock);
	is_full = soak->disruption_count == SOAK_DISRUPTIONS_MAX;
	if (!is_full)
		soak->disruptions[soak->disruption_count++] =
			(soak_disruption_t){
				.kind = kind,
				.index = index,
				.from = soak_now(),
				.to = INT64_MAX,
			};
	pthread_mutex_unlock(&soak->lock);
	if (is_full)
		soak_report_violation(soak, "table of disruptions is full", "-",
				      "run for a shorter time");
}

void lost_end(soak_t *soak, soak_disruption_kind_t kind, uint32_t index)
{
	uint32_t i;

	pthread_mutex_lock(&soak->lock);
	for (i = 0; i < soak->disruption_count; i++) {
		soak_disruption_t *disruption = &soak->disruptions[i];

		if (disruption->kind == kind && disruption->index == index &&
		    disruption->to == INT64_MAX)
			disruption->to = soak_now();
	}
	pthread_mutex_unlock(&soak->lock);
}

void lost_record(soak_t *soak, const soak_cut_t *cut)
{
	bool is_full;

	pthread_mutex_lock(&soak->lock);
	is_full = soak->cut_count == SOAK_CUTS_MAX;
	if (!is_full)
		soak->cuts[soak->cut_count++] = *cut;
	pthread_mutex_unlock(&soak->lock);
	if (is_full)
		soak_report_violation(soak, "table of cut requests is full",
				      cut->id, "run for a shorter time");
}

/* Whether a disruption of @index was between @from and the cut. */
static bool is_disrupted(const soak_t *soak, const soak_cut_t *cut,
			 mc_ms_t from, soak_disruption_kind_t kind,
			 uint32_t index)
{
	uint32_t i;

	for (i = 0; i < soak->disruption_count; i++) {
		const soak_disruption_t *disruption = &soak->disruptions[i];

		if (disruption->kind == kind && disruption->index == index &&
		    disruption->from <= cut->ended_at && disruption->to >= from)
			return true;
	}
	return false;
}

/* Returns since when the connection may have been closed. */
static mc_ms_t open_until(const soak_cut_t *cut)
{
	return cut->had_ended ? cut->sent_at - cut->idle : cut->sent_at;
}

static bool was_killed(soak_t *soak, const soak_cut_t *cut)
{
	return is_disrupted(soak, cut, open_until(cut), SOAK_DISRUPTION_KILLED,
			    cut->instance);
}

static bool was_frozen(soak_t *soak, const soak_cut_t *cut)
{
	return is_disrupted(soak, cut, cut->sent_at, SOAK_DISRUPTION_FROZEN,
			    cut->instance);
}

/* Counts only if a part of the answer came: instances answer with an error of
 * their own when they have sent nothing yet. */
static bool searcher_failed(soak_t *soak, const soak_cut_t *cut)
{
	uint32_t i;

	if (!cut->has_begun)
		return false;
	for (i = 0; i < SOAK_SEARCHERS; i++)
		if (searcher_broke_off(soak->searchers[i], cut->id) ||
		    (searcher_count_runs(soak->searchers[i], cut->id) &&
		     is_disrupted(soak, cut, cut->sent_at,
				  SOAK_DISRUPTION_SEARCHER, i)))
			return true;
	return false;
}

/* A request that was dropped because of the answer before it is lost whenever
 * that answer comes. */
static bool reached_deadline(soak_t *soak, const soak_cut_t *cut)
{
	(void)soak;
	return !cut->is_behind_answer &&
	       cut->ended_at - cut->sent_at >= cut->deadline;
}

static const excuse_t excuses[] = {
	{ "instance_killed", was_killed },
	{ "instance_frozen", was_frozen },
	{ "searcher_broke_off", searcher_failed },
	{ "deadline_reached", reached_deadline },
};

/* Returns the index of the first excuse that applies, or their number. */
static uint32_t find_excuse(soak_t *soak, const soak_cut_t *cut)
{
	uint32_t i;

	for (i = 0; i < MC_ARRAY_LEN(excuses); i++)
		if (excuses[i].applies(soak, cut))
			break;
	return i;
}

static uint32_t count_runs(soak_t *soak, const char *id)
{
	uint32_t runs = 0, i;

	for (i = 0; i < SOAK_SEARCHERS; i++)
		runs += searcher_count_runs(soak->searchers[i], id);
	return runs;
}

static bool was_stopping(const soak_t *soak, const soak_cut_t *cut)
{
	return is_disrupted(soak, cut, open_until(cut),
			    SOAK_DISRUPTION_STOPPING, cut->instance);
}

/*
 * Whether the instance may have closed the connection before the request
 * arrived. It closes connections without a request only when they have been
 * idle for long, and while it stops. Then it also resets those that it has not
 * accepted, but waits for the first request on those that it has.
 */
static bool may_have_crossed(const soak_t *soak, const soak_cut_t *cut)
{
	if (cut->is_behind_answer || cut->has_arrived || cut->has_begun)
		return false;
	if (cut->ended_at - cut->sent_at > CROSSING_MAX_MS)
		return false;
	if (cut->idle >= soak->site->idle_timeout - CLOCK_MARGIN_MS)
		return true;
	return was_stopping(soak, cut) && (!cut->is_first || cut->was_reset);
}

static void report_lost(soak_t *soak, const soak_cut_t *cut, uint32_t runs)
{
	char detail[DETAIL_SIZE];

	snprintf(detail, sizeof(detail),
		 "caller=%s instance=%u stopping=%d runs=%u waited_ms=%lld "
		 "idle_ms=%lld first=%d had_ended=%d reset=%d behind_answer=%d "
		 "arrived=%d begun=%d ended_ms=%lld",
		 callers_kind_name(cut->caller_kind), cut->instance,
		 was_stopping(soak, cut), runs,
		 (long long)(cut->ended_at - cut->sent_at),
		 (long long)cut->idle, cut->is_first, cut->had_ended,
		 cut->was_reset, cut->is_behind_answer, cut->has_arrived,
		 cut->has_begun, (long long)(cut->ended_at - soak->started_at));
	soak_report_violation(soak, "LOST: no answer to a request", cut->id,
			      detail);
}

static void judge(soak_t *soak, const soak_cut_t *cut, verdicts_t *verdicts,
		  uint32_t *excused)
{
	verdicts_t *verdict = &verdicts[cut->caller_kind];
	uint32_t excuse = find_excuse(soak, cut);
	uint32_t runs;

	if (excuse < MC_ARRAY_LEN(excuses)) {
		excused[excuse]++;
		verdict->excused++;
		return;
	}
	runs = count_runs(soak, cut->id);
	if (!runs && may_have_crossed(soak, cut)) {
		verdict->crossed++;
		return;
	}
	verdict->lost_in_stop += was_stopping(soak, cut);
	if (verdict->lost++ < PRINTED_MAX)
		report_lost(soak, cut, runs);
}

void lost_check(soak_t *soak)
{
	verdicts_t verdicts[SOAK_CALLER_KINDS_MAX] = { 0 };
	uint32_t excused[MC_ARRAY_LEN(excuses)] = { 0 };
	uint32_t i;

	for (i = 0; i < soak->cut_count; i++)
		judge(soak, &soak->cuts[i], verdicts, excused);
	for (i = 0; i < callers_kind_count(); i++)
		if (callers_is_enabled(soak, i))
			printf("caller %s: sent=%u answered=%u refused=%u "
			       "cut=%u lost=%u lost_in_stop=%u crossed=%u "
			       "excused=%u\n",
			       callers_kind_name(i), soak->counts[i].sent,
			       soak->counts[i].answered,
			       soak->counts[i].refused, soak->counts[i].cut,
			       verdicts[i].lost, verdicts[i].lost_in_stop,
			       verdicts[i].crossed, verdicts[i].excused);
	for (i = 0; i < MC_ARRAY_LEN(excuses); i++)
		printf("excuse %s: %u\n", excuses[i].name, excused[i]);
}

/*
 * The pace of a target changes many times a second, and its process may pause
 * for some hundred milliseconds, while one instance asks it once in a second.
 * So the instances of a data centre report exceptions to each other: a pace
 * that differs from the one known, a silence, its end.
 */
#include "mc/replica_evidence.h"

#include <math.h>

enum {
	/* A report of the pace loses half of its weight in this time, ms. */
	PACE_HALF_LIFE_MS = 400,
	/* Limits of a pace that is used, percent. */
	PACE_MIN = 25,
	PACE_MAX = 1600,
	/* A pace is reported that differs by more than this part of the
	 * one known. */
	PACE_CHANGE_DIVISOR = 4,
	/* A target is silent when a request has taken longer than this multiple
	 * of the time expected, and this time, ms. */
	SILENT_FACTOR = 3,
	SILENT_MIN_MS = 30,
	/* Length of a silence until one was seen, and its limits, ms. */
	SILENCE_DEFAULT_MS = 150,
	SILENCE_MIN_MS = 20,
	SILENCE_MAX_MS = 400,
	/* A silence is reported again after this time, ms. */
	SILENCE_RENEWAL_MS = 60,
};

/* Weight of a new sample in the moving average of silences. */
static const double silence_weight = 0.1;

static bool is_silent(const mc_replica_evidence_t *evidence)
{
	return evidence->silent_since > evidence->responded_at;
}

static uint32_t limit_pace(uint32_t pace)
{
	if (!pace)
		return 0;
	if (pace < PACE_MIN)
		return PACE_MIN;
	return pace < PACE_MAX ? pace : PACE_MAX;
}

static bool differs(double known, double reported)
{
	return fabs(known - reported) * PACE_CHANGE_DIVISOR > known;
}

bool mc_replica_evidence_respond(mc_replica_evidence_t *evidence, uint32_t pace,
				 mc_ms_t now)
{
	double known = mc_replica_evidence_pace(evidence, now);
	bool is_change = is_silent(evidence);

	evidence->responded_at = now;
	if (!pace)
		return is_change;
	evidence->pace = limit_pace(pace);
	evidence->pace_at = now;
	return is_change ||
	       differs(known, (double)evidence->pace / MC_REPLICA_PACE_USUAL);
}

mc_ms_t mc_replica_evidence_overdue(const mc_replica_evidence_t *evidence,
				    mc_ms_t sent_at, double typical,
				    mc_ms_t now)
{
	double pace = mc_replica_evidence_pace(evidence, now);

	if (typical <= 0)
		return MC_MS_NEVER;
	if (pace < 1)
		pace = 1;
	return sent_at + (mc_ms_t)ceil(fmax(typical * pace * SILENT_FACTOR,
					    SILENT_MIN_MS));
}

bool mc_replica_evidence_silence(mc_replica_evidence_t *evidence,
				 mc_ms_t sent_at, mc_ms_t now)
{
	bool is_known = is_silent(evidence);

	/* A target that has responded since serves other requests. */
	if (evidence->responded_at >= sent_at ||
	    (is_known && now - evidence->silent_at < SILENCE_RENEWAL_MS))
		return false;
	if (!is_known)
		evidence->silent_since = now;
	evidence->silent_at = now;
	return true;
}

static void apply_silence(mc_replica_evidence_t *evidence, mc_ms_t at)
{
	if (at <= evidence->responded_at)
		return;
	if (!is_silent(evidence))
		evidence->silent_since = at;
	if (at > evidence->silent_at)
		evidence->silent_at = at;
}

void mc_replica_evidence_apply(mc_replica_evidence_t *evidence,
			       const mc_replica_report_t *report, mc_ms_t now)
{
	mc_ms_t at = now - (report->age > 0 ? report->age : 0);

	if (report->silent) {
		apply_silence(evidence, at);
		return;
	}
	if (at > evidence->responded_at)
		evidence->responded_at = at;
	if (!report->pace || at <= evidence->pace_at)
		return;
	evidence->pace = limit_pace(report->pace);
	evidence->pace_at = at;
}

double mc_replica_evidence_pace(const mc_replica_evidence_t *evidence,
				mc_ms_t now)
{
	double age = (double)(now - evidence->pace_at);
	double excess;

	if (!evidence->pace)
		return 1;
	excess = (double)evidence->pace / MC_REPLICA_PACE_USUAL - 1;
	return 1 + excess * exp2(-age / PACE_HALF_LIFE_MS);
}

double mc_replica_evidence_hold(const mc_replica_evidence_t *evidence,
				const mc_replica_silences_t *silences,
				mc_ms_t now)
{
	double length =
		silences->length > 0 ? silences->length : SILENCE_DEFAULT_MS;

	double since_begin = (double)(now - evidence->silent_since);
	double since_seen = (double)(now - evidence->silent_at);

	if (!is_silent(evidence))
		return 0;
	/* One that lasts longer than others counts for a while each time
	 * that it is seen. */
	return fmax(fmax(length - since_begin, length / 2 - since_seen), 0);
}

void mc_replica_silences_record(mc_replica_silences_t *silences, mc_ms_t length)
{
	double sample =
		fmin(fmax((double)length, SILENCE_MIN_MS), SILENCE_MAX_MS);

	if (silences->length > 0)
		silences->length +=
			(sample - silences->length) * silence_weight;
	else
		silences->length = sample;
}

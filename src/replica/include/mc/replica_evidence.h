/*
 * What is known of how a target is doing at this moment: the pace that it
 * reports, and whether it has gone silent. Some of it an instance sees itself,
 * some is reported by others. Performs no I/O: times and events are passed in.
 */
#ifndef MC_REPLICA_EVIDENCE_H
#define MC_REPLICA_EVIDENCE_H

#include "mc/base.h"

/** MC_REPLICA_PACE_USUAL - Pace of a target whose work takes as long as usual,
 * percent */
#define MC_REPLICA_PACE_USUAL 100

/**
 * struct mc_replica_evidence_t - evidence of one target; zero-initialized
 * @pace: how long work takes there now, percent of the usual time; 0 if unknown
 * @pace_at: when the target reported it, ms
 * @responded_at: when it last responded to anyone, as far as is known, ms
 * @silent_since: since when it has been silent, ms; not after @responded_at if
 *	it is not
 * @silent_at: when that was last seen, ms
 */
typedef struct mc_replica_evidence_t {
	uint32_t pace;
	mc_ms_t pace_at;
	mc_ms_t responded_at;
	mc_ms_t silent_since;
	mc_ms_t silent_at;
} mc_replica_evidence_t;

/**
 * struct mc_replica_report_t - report of one instance on a target
 * @target: hash of the target's identity
 * @pace: as in mc_replica_evidence_t
 * @silent: it has not responded for longer than it should; else it has
 * @age: how long ago that was seen, ms
 */
typedef struct mc_replica_report_t {
	uint32_t target;
	uint32_t pace;
	bool silent;
	mc_ms_t age;
} mc_replica_report_t;

/**
 * struct mc_replica_silences_t - how long targets of this instance stay silent;
 * zero-initialized
 * @length: moving average, ms; 0 without a sample
 */
typedef struct mc_replica_silences_t {
	double length;
} mc_replica_silences_t;

/**
 * mc_replica_evidence_respond() - Record a response that this instance received
 * @evidence: evidence of the target
 * @pace: pace in the response, percent; 0 without one
 * @now: time, ms
 *
 * Return: whether this should be reported, as the target was silent, or its
 * pace differs clearly from the one known.
 */
bool mc_replica_evidence_respond(mc_replica_evidence_t *evidence, uint32_t pace,
				 mc_ms_t now);

/**
 * mc_replica_evidence_overdue() - Whether a request in flight is overdue so far
 * that its target is probably silent
 * @evidence: evidence of the target
 * @sent_at: when the request was sent, ms
 * @typical: usual time of such a request, ms; 0 if unknown
 * @now: time, ms
 *
 * Return: the time, ms, at or after which it is: not after @now if it is now;
 * MC_MS_NEVER without a usual time.
 */
mc_ms_t mc_replica_evidence_overdue(const mc_replica_evidence_t *evidence,
				    mc_ms_t sent_at, double typical,
				    mc_ms_t now);

/**
 * mc_replica_evidence_silence() - Record that a request has become overdue
 * @evidence: evidence of the target
 * @sent_at: when that request was sent, ms
 * @now: time, ms
 *
 * Return: whether this should be reported: the target has not responded since
 * @sent_at, and that it is silent was not known, or not confirmed lately.
 */
bool mc_replica_evidence_silence(mc_replica_evidence_t *evidence,
				 mc_ms_t sent_at, mc_ms_t now);

/**
 * mc_replica_evidence_apply() - Record the report of another instance
 * @evidence: evidence of the target
 * @report: the report
 * @now: time, ms
 *
 * What has been seen later, by this instance or another, goes before it.
 */
void mc_replica_evidence_apply(mc_replica_evidence_t *evidence,
			       const mc_replica_report_t *report, mc_ms_t now);

/**
 * mc_replica_evidence_pace() - Get the expected ratio of a target's times to
 * the usual ones; 1 if unknown, and approaches 1 as the report ages
 */
double mc_replica_evidence_pace(const mc_replica_evidence_t *evidence,
				mc_ms_t now);

/**
 * mc_replica_evidence_hold() - Get how much longer a target is probably silent,
 * ms
 * @evidence: evidence of the target
 * @silences: how long targets stay silent
 * @now: time, ms
 *
 * Return: 0 if it is not silent, or for longer than silences last.
 */
double mc_replica_evidence_hold(const mc_replica_evidence_t *evidence,
				const mc_replica_silences_t *silences,
				mc_ms_t now);

/**
 * mc_replica_silences_record() - Record that a silence has ended
 * @silences: how long targets stay silent
 * @length: how long it lasted, ms
 */
void mc_replica_silences_record(mc_replica_silences_t *silences,
				mc_ms_t length);

#endif

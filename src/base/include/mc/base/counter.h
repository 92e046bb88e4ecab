/*
 * Counters. Each shard owns a set of counters and is its only writer; a reader
 * sums the sets of all shards. Latencies are kept in a histogram whose bucket
 * bounds grow by a constant ratio.
 */
#ifndef MC_BASE_COUNTER_H
#define MC_BASE_COUNTER_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "mc/base/clock.h"

/* X(id, name, help) */
#define MC_COUNTERS(X)                                                         \
	X(REQUESTS, "requests", "requests received from callers")              \
	X(ANSWERS, "answers", "answers sent to callers")                       \
	X(ANSWERS_PARTIAL, "answers_partial", "answers with missing shards")   \
	X(REFUSALS, "refusals", "requests answered with an error")             \
	X(REFUSALS_OVERLOAD, "refusals_overload", "refused by admission")      \
	X(KEYS_MISSING, "keys_missing", "refused: not exactly one key")        \
	X(KEYS_UNKNOWN, "keys_unknown", "refused: no customer has the key")    \
	X(REFUSALS_MEMORY, "refusals_memory", "refused for want of memory")    \
	X(BAD_INPUT, "bad_input", "requests that were malformed")              \
	X(BAD_FRAMES, "bad_frames", "frames that were malformed")              \
	X(SUB_QUERIES, "sub_queries", "first sub-queries of a shard")          \
	X(HEDGES, "hedges", "additional sub-queries against stragglers")       \
	X(RETRIES, "retries", "sub-queries sent again after a failure")        \
	X(RETRIES_DENIED, "retries_denied", "extra sub-queries over budget")   \
	X(SHARDS_ANSWERED, "shards_answered", "shards merged into answers")    \
	X(SHARDS_MISSING, "shards_missing", "shards missing from answers")     \
	X(WRONG_SNAPSHOT, "wrong_snapshot", "answers with another snapshot")   \
	X(LATE_REPLIES, "late_replies", "replies that found no request")       \
	X(CANCELS, "cancels", "sub-queries canceled")                          \
	X(TARGET_REQUESTS, "target_requests", "HTTP requests to targets")      \
	X(TARGET_QUERIES, "target_queries", "sub-queries sent to targets")     \
	X(TARGET_FAILURES, "target_failures", "failed requests to targets")    \
	X(TARGET_CONNECTIONS, "target_connections", "connections to targets")  \
	X(EXTRAS, "extras", "requests sent to targets beyond the first")       \
	X(ATTEMPTS_ENDED, "attempts_ended", "of these and sub_queries, ended") \
	X(ACCEPTS_FAILED, "accepts_failed", "tries to accept that failed")     \
	X(CALLERS_GONE, "callers_gone", "callers that left before the answer") \
	X(TARGET_SHEDS, "target_sheds", "sub-queries that targets shed")       \
	X(LIMITED, "limited", "sub-queries refused at a target's limit")       \
	X(NOT_OWNED, "not_owned", "sub-queries for targets not owned")         \
	X(RUNS, "runs", "requests that may run only once")                     \
	X(RUNS_DUPLICATE, "runs_duplicate", "repeated keys recognised")        \
	X(RUNS_UNKNOWN, "runs_unknown", "runs whose outcome is unknown")       \
	X(RAMPS, "ramps", "cold-start ramps begun")                            \
	X(MOVES_TAKEN_BACK, "moves_taken_back", "version moves taken back")    \
	X(CONFIG_CHANGES, "config_changes", "configurations put in force")     \
	X(CONFIG_STALE, "config_stale", "older configurations ignored")        \
	X(STORE_CALLS, "store_calls", "calls to the platform's store")         \
	X(STORE_CALLS_START, "store_calls_start", "to register, first lists")  \
	X(STORE_CALLS_WATCH, "store_calls_watch", "watches")                   \
	X(STORE_CALLS_BEHIND, "store_calls_behind", "upstream knew more")      \
	X(STORE_CALLS_RELIST, "store_calls_relist", "history gone, rechecks")  \
	X(STORE_CALLS_PROBE, "store_calls_probe", "probes, checks of watches") \
	X(STORE_CALLS_ROLLOUT, "store_calls_rollout", "evidence, states")      \
	X(STORE_CALLS_USAGE, "store_calls_usage", "counts, lease of reports")  \
	X(USAGE_COUNTED, "usage_counted", "requests counted for customers")    \
	X(USAGE_UNCOUNTED, "usage_uncounted", "not counted: no room")          \
	X(USAGE_FIXED, "usage_fixed", "windows fixed to be reported")          \
	X(USAGE_REPORTED, "usage_reported", "windows reported")                \
	X(USAGE_LATE, "usage_late", "of these, reported late")                 \
	X(USAGE_REPEATED, "usage_repeated", "reports sent again")              \
	X(USAGE_MISSED, "usage_missed", "windows given up")                    \
	X(USAGE_DELETED, "usage_records_deleted", "records of old counts")     \
	X(LEASES_TAKEN, "leases_taken", "times that the lease was taken")      \
	X(LEASES_ENDED, "leases_ended", "times that it was lost")              \
	X(RECORDS_INVALID, "records_invalid", "records that can't be used")    \
	X(STORE_FAILURES, "store_failures", "failed calls to the store")       \
	X(WATCHES_MISSED, "watches_missed", "changes that no watch had told")  \
	X(STORE_ERAS, "store_eras", "times that the store came back older")    \
	X(NEWS_TAKEN, "news_taken", "changes told by another instance")        \
	X(NEWS_LOST, "news_lost", "times that no instance was heard any more") \
	X(EVIDENCE_TOLD, "evidence_told", "news of targets told to others")    \
	X(EVIDENCE_HEARD, "evidence_heard", "news of targets from others")     \
	X(EVIDENCE_DROPPED, "evidence_dropped", "news of targets over budget") \
	X(PROBES, "probes", "probes sent to peers")                            \
	X(CONTROL_BYTES, "control_bytes", "bytes sent to peers for control")   \
	X(FRAMES_SENT, "frames_sent", "frames sent")                           \
	X(FRAMES_RECEIVED, "frames_received", "frames received")               \
	X(RESPONSES_CUT, "responses_cut", "responses too large to receive")

/** enum mc_counter_id_t - ids of all counters */
typedef enum mc_counter_id_t {
#define X(id, name, help) MC_COUNTER_##id,
	MC_COUNTERS(X)
#undef X
	MC_COUNTER_COUNT
} mc_counter_id_t;

enum {
	MC_LATENCY_BUCKETS = 96,
};

/**
 * struct mc_counters_t - counters of one shard, or a sum over shards; zero
 * them before use
 * @values: counters by id
 * @latency: number of latencies in each bucket
 */
typedef struct mc_counters_t {
	uint64_t values[MC_COUNTER_COUNT];
	uint64_t latency[MC_LATENCY_BUCKETS];
} mc_counters_t;

/** mc_counter_add() - Add @amount to a counter. Only the owner may call it. */
void mc_counter_add(mc_counters_t *counters, mc_counter_id_t id,
		    uint64_t amount);

/**
 * mc_counters_record_latency() - Record one latency in ms. Only the owner may
 * call it.
 */
void mc_counters_record_latency(mc_counters_t *counters, mc_ms_t latency);

/** mc_counters_merge() - Add the set @from to @sum. Any thread may call it. */
void mc_counters_merge(mc_counters_t *sum, const mc_counters_t *from);

/**
 * mc_counters_latency_quantile() - Get a quantile of the latencies.
 * @counters: the set
 * @q: quantile, in [0, 1]
 *
 * Return: upper bound in ms of the bucket that contains the quantile; 0 if no
 * latency was recorded.
 */
mc_ms_t mc_counters_latency_quantile(const mc_counters_t *counters, double q);

/** mc_counters_print() - Write the set in the Prometheus text format. */
void mc_counters_print(const mc_counters_t *counters, FILE *out);

/** mc_counter_name() - Get the name of a counter. */
const char *mc_counter_name(mc_counter_id_t id);

/** mc_counter_help() - Get the description of a counter. */
const char *mc_counter_help(mc_counter_id_t id);

#endif

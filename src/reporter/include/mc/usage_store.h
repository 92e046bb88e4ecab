/*
 * Where the reporter keeps and sends usage: a store with the lease and the
 * counts of each instance, and the address to which windows are reported. The
 * adapter of a platform fills in the table of functions.
 */
#ifndef MC_USAGE_STORE_H
#define MC_USAGE_STORE_H

#include "mc/lease.h"
#include "mc/net.h"
#include "mc/usage.h"

enum {
	/* Bytes of the name of a record of counts, which is that of its
	 * instance and a number. */
	MC_USAGE_RECORD_NAME_SIZE = MC_LEASE_HOLDER_SIZE + 8,
};

/**
 * struct mc_usage_lease_t - Record of the lease, with what its holder reports
 * @lease: the lease; its revision is 0 if there is no record
 * @has_through: @through is set
 * @through: this window and all before it are fixed or given up
 * @fixed_count: number of @fixed
 * @fixed: windows that are fixed and may not have been reported
 * @counts: their counts; borrowed; NULL without a record
 */
typedef struct mc_usage_lease_t {
	mc_lease_record_t lease;
	bool has_through;
	int64_t through;
	uint32_t fixed_count;
	int64_t fixed[MC_USAGE_FIXED_MAX];
	const mc_usage_counts_t *counts;
} mc_usage_lease_t;

/**
 * struct mc_usage_lease_result_t - Result of a call for the lease
 * @err: MC_OK; MC_ERR_CONFLICT: the record has another revision, or exists, and
 *	is in @record; MC_ERR_NOT_FOUND: it is gone; MC_ERR_STORE_UNAVAILABLE:
 *	the call has failed, and a write may still be executed
 * @store_revision: revision of the store, or of the record if that is unknown
 * @era: era of the store; 0 if unknown
 * @record: the record; valid during the call
 */
typedef struct mc_usage_lease_result_t {
	mc_err_t err;
	uint64_t store_revision;
	uint64_t era;
	mc_usage_lease_t record;
} mc_usage_lease_result_t;

/**
 * struct mc_usage_tally_t - Record of what one instance has counted
 * @name: name of the record; those of one instance have different ones
 * @incarnation: random number of its process
 * @revision: revision of the record in the store; 0 if there is none
 * @counts: the counts of recent windows; borrowed
 */
typedef struct mc_usage_tally_t {
	char name[MC_USAGE_RECORD_NAME_SIZE];
	uint64_t incarnation;
	uint64_t revision;
	const mc_usage_counts_t *counts;
} mc_usage_tally_t;

/**
 * struct mc_usage_tally_result_t - Result of a call for counts of instances
 * @err: as in struct mc_usage_lease_result_t
 * @second: time of the store, s since the Unix epoch; 0 if it does not say it
 * @has_more: a list has further records after the last one
 * @tally_count: number of @tallies
 * @tallies: the records; valid during the call
 */
typedef struct mc_usage_tally_result_t {
	mc_err_t err;
	int64_t second;
	bool has_more;
	uint32_t tally_count;
	const mc_usage_tally_t *tallies;
} mc_usage_tally_result_t;

/**
 * struct mc_usage_report_t - Report of one window
 * @holder: name of the instance that has the duty
 * @token: its fencing token
 * @window: the window
 * @counts: its counts are those of @window
 * @timeout: time-out of the call, ms
 */
typedef struct mc_usage_report_t {
	const char *holder;
	uint64_t token;
	int64_t window;
	const mc_usage_counts_t *counts;
	mc_ms_t timeout;
} mc_usage_report_t;

/** mc_usage_lease_fn_t - Handler of a call for the lease, called once */
typedef void (*mc_usage_lease_fn_t)(void *ctx,
				    const mc_usage_lease_result_t *result);

/** mc_usage_tally_fn_t - Handler of a call for counts, called once */
typedef void (*mc_usage_tally_fn_t)(void *ctx,
				    const mc_usage_tally_result_t *result);

/**
 * mc_usage_report_fn_t - Handler of a report, called once
 * @err: MC_OK: it was accepted; MC_ERR_OVERLOADED: too many calls, again
 *	later; MC_ERR_BAD_REQUEST: it will never be accepted; else it may have
 *	been
 */
typedef void (*mc_usage_report_fn_t)(void *ctx, mc_err_t err);

typedef struct mc_usage_store_t mc_usage_store_t;

/**
 * struct mc_usage_store_ops_t - Functions of a platform
 *
 * Calls return MC_OK, or MC_ERR_FULL or MC_ERR_NO_MEMORY, after which the
 * handler is not called.
 *
 * @create: create a client whose calls run on @shard; NULL without memory
 * @destroy: cancel open calls and free the client; NULL is allowed
 * @read_lease: read the record, which may be seconds old
 * @write_lease: write the record if it has its revision still, or create it
 * @list_tallies: read the counts of all instances after the record @after; ""
 *	for the first page
 * @write_tally: write counts if the record has its revision still, or create it
 * @delete_tally: delete a record of counts if it has this revision still; the
 *result has no records
 * @report: send a report, once
 * @cancel_report: cancel the open report without calling its handler
 */
typedef struct mc_usage_store_ops_t {
	mc_usage_store_t *(*create)(mc_shard_t *shard,
				    const char *store_address,
				    const char *report_address);
	void (*destroy)(mc_usage_store_t *store);
	mc_err_t (*read_lease)(mc_usage_store_t *store,
			       mc_usage_lease_fn_t done, void *ctx);
	mc_err_t (*write_lease)(mc_usage_store_t *store,
				const mc_usage_lease_t *record,
				mc_usage_lease_fn_t done, void *ctx);
	mc_err_t (*list_tallies)(mc_usage_store_t *store, const char *after,
				 mc_usage_tally_fn_t done, void *ctx);
	mc_err_t (*write_tally)(mc_usage_store_t *store,
				const mc_usage_tally_t *tally,
				mc_usage_tally_fn_t done, void *ctx);
	mc_err_t (*delete_tally)(mc_usage_store_t *store, const char *name,
				 uint64_t revision, mc_usage_tally_fn_t done,
				 void *ctx);
	mc_err_t (*report)(mc_usage_store_t *store,
			   const mc_usage_report_t *report,
			   mc_usage_report_fn_t done, void *ctx);
	void (*cancel_report)(mc_usage_store_t *store);
} mc_usage_store_ops_t;

#endif

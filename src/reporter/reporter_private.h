/*
 * State of the reporter, shared by the files of this library.
 */
#ifndef MC_REPORTER_PRIVATE_H
#define MC_REPORTER_PRIVATE_H

#include "mc/reporter.h"

enum {
	/* Most records that are deleted after one list. */
	SWEEP_RECORDS_MAX = 8,
	/* Most records of an instance. */
	TALLY_SLOTS_MAX = 8,
};

/*
 * One of the records of this instance, with the windows that have the same slot
 * (mc_usage_slot()).
 */
typedef struct {
	/* Revision of the record in the store; 0 before it was written. */
	uint64_t revision;
	/* What a former process has counted in it was added. */
	bool is_joined;
	/* The last write was refused, as the record had another revision. */
	bool is_refused;
	/* When it is written next, ms of true time; 0 for not at all. */
	mc_ms_t write_at;
} tally_slot_t;

/* A record to be deleted, if it has this revision still. */
typedef struct {
	char name[MC_USAGE_RECORD_NAME_SIZE];
	uint64_t revision;
} past_record_t;

/**
 * struct mc_reporter_t - The reporter
 * @params: parameters
 * @store: client of the platform
 * @log: log
 * @time: true time
 * @incarnation: random number of this process
 * @is_active: this instance has counted a request
 * @is_draining: the process stops
 * @timer: next look at what is to be done
 * @own: what this instance has counted, with what a former process of the same
 *	name had in the store
 * @slot_count: number of @slots
 * @slots: the records of @own
 * @retry_at: no record is written before this time, ms of true time
 * @spread: place of the writes of this instance among those of all, in [0, 1)
 * @store_failed_at: time at which a call to the store last failed, ms; 0
 *	before
 * @is_writing: a write is open
 * @writing: its slot
 * @written_from: when it began, ms
 * @lease: the lease
 * @is_fixing: the open write of the lease contains windows up to @fixing
 * @fixing: last window of the open write
 * @seen: what the record of the lease contains, by the last read
 * @ledger: what this instance reports
 * @all: sum of all instances; NULL unless a list is being read
 * @all_after: name after which the open page of the list begins
 * @all_from: when the list began, ms
 * @page_from: when the call for its open page began, ms
 * @list_at: earliest time of the next list, ms
 * @past_count: number of @past
 * @past: records that were listed and have no use left
 * @is_deleting: a deletion is open
 * @is_sending: a report is open
 * @sending: its window
 */
struct mc_reporter_t {
	mc_reporter_params_t params;
	mc_usage_store_t *store;
	mc_log_t *log;
	mc_true_time_t time;
	uint64_t incarnation;
	bool is_active;
	bool is_draining;
	mc_handle_t timer;
	mc_usage_counts_t *own;
	uint32_t slot_count;
	tally_slot_t slots[TALLY_SLOTS_MAX];
	mc_ms_t retry_at;
	double spread;
	mc_ms_t store_failed_at;
	bool is_writing;
	uint32_t writing;
	mc_ms_t written_from;
	mc_lease_t lease;
	bool is_fixing;
	int64_t fixing;
	mc_usage_ledger_t seen;
	mc_usage_ledger_t ledger;
	mc_usage_counts_t *all;
	char all_after[MC_USAGE_RECORD_NAME_SIZE];
	mc_ms_t all_from;
	mc_ms_t page_from;
	mc_ms_t list_at;
	uint32_t past_count;
	past_record_t past[SWEEP_RECORDS_MAX];
	bool is_deleting;
	bool is_sending;
	int64_t sending;
};

/** reporter_now() - Get the steady time that counts suspensions, ms */
mc_ms_t reporter_now(const mc_reporter_t *reporter);

/** reporter_true_now() - Get the true time, ms */
mc_ms_t reporter_true_now(const mc_reporter_t *reporter);

/** reporter_observe_second() - Correct the true time by what the store says
 * in the response to a call that began at @called */
void reporter_observe_second(mc_reporter_t *reporter, int64_t second,
			     mc_ms_t called);

/** reporter_count_call() - Count a call to the store */
void reporter_count_call(mc_reporter_t *reporter);

/* tally.c: what this instance has counted */

/** tally_init() - Set the number of records */
void tally_init(mc_reporter_t *reporter);

/** tally_next_write() - Get when a record is written next, ms of true time;
 * INT64_MAX for not at all, or while a write is open */
mc_ms_t tally_next_write(const mc_reporter_t *reporter);

/** tally_schedule() - Have the counts written after the end of @window, in
 * which something was counted */
void tally_schedule(mc_reporter_t *reporter, int64_t window);

/** tally_run() - Write the counts of this instance if they are due */
void tally_run(mc_reporter_t *reporter);

/* duty.c: the lease, and what its holder does */

/** duty_run() - Do what is next for the lease and the reports */
void duty_run(mc_reporter_t *reporter);

/* sweep.c: deletion of records of instances that are gone */

/** sweep_clear() - Forget what was found, as a new list begins */
void sweep_clear(mc_reporter_t *reporter);

/** sweep_add() - Note a record of a list, if it has no use left */
void sweep_add(mc_reporter_t *reporter, const mc_usage_tally_t *tally);

/** sweep_run() - Delete the next record; to be called by the holder only */
void sweep_run(mc_reporter_t *reporter);

#endif

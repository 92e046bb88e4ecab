/*
 * Merging of fixed-size records: keeps the greatest records of all parts,
 * compared byte by byte, and decides when to send the merged answer. Performs
 * no I/O.
 */
#ifndef MC_RECORDS_H
#define MC_RECORDS_H

#include "mc/base.h"

enum {
	/* Size of a record in bytes. */
	MC_RECORD_SIZE = 16,
};

/**
 * struct mc_records_t - the greatest records so far; zero it and set @max
 * @max: maximum number of records to keep
 * @count: number of records kept
 * @capacity: number of records that @rows has room for
 * @rows: the records, a min-heap; owned by this struct
 */
typedef struct mc_records_t {
	uint32_t max;
	uint32_t count;
	uint32_t capacity;
	unsigned char (*rows)[MC_RECORD_SIZE];
} mc_records_t;

/**
 * mc_records_add() - Merge the records of a part
 * @records: the records kept
 * @data: records in any order; an incomplete record at the end is ignored
 * @size: size of @data in bytes
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_records_add(mc_records_t *records, const char *data, size_t size);

/**
 * mc_records_sort() - Sort the rows in descending order; no records may be
 * added afterwards
 */
void mc_records_sort(mc_records_t *records);

/** mc_records_free() - Free the rows */
void mc_records_free(mc_records_t *records);

/**
 * struct mc_records_progress_t - progress of a merged answer
 * @total: number of parts
 * @received: parts that have arrived
 * @failed: parts that will not arrive
 * @coverage_min: minimum fraction of parts that an answer needs
 */
typedef struct mc_records_progress_t {
	uint32_t total;
	uint32_t received;
	uint32_t failed;
	double coverage_min;
} mc_records_progress_t;

/** enum mc_records_decision_t - what to do about a merged answer */
typedef enum mc_records_decision_t {
	MC_RECORDS_WAIT,
	MC_RECORDS_ANSWER,
	/* The minimum coverage can't be reached any more. */
	MC_RECORDS_FAIL,
} mc_records_decision_t;

/**
 * mc_records_decide() - Decide whether to answer, wait or fail
 * @progress: progress of the answer
 * @past_goal: whether the latency goal has passed, after which an answer loses
 *	value
 * @past_deadline: whether the deadline has passed
 *
 * An answer that has its minimum coverage but misses parts is sent once the
 * goal has passed: waiting for the parts would then cost more than they are
 * worth.
 */
mc_records_decision_t mc_records_decide(const mc_records_progress_t *progress,
					bool past_goal, bool past_deadline);

#endif

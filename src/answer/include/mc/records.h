/*
 * Merging of fixed-size records: the greatest ones of all parts, compared byte
 * by byte, and when a merged answer is due. Pure.
 */
#ifndef MC_RECORDS_H
#define MC_RECORDS_H

#include "mc/base.h"

enum {
	/* Bytes of a record. */
	MC_RECORD_SIZE = 16,
};

/**
 * struct mc_records_t - the greatest records so far; zeroed at the start but
 * for @max
 * @max: most records to keep
 * @count: number of records kept
 * @capacity: records that @rows has room for
 * @rows: the records, the least one first; owned
 */
typedef struct mc_records_t {
	uint32_t max;
	uint32_t count;
	uint32_t capacity;
	unsigned char (*rows)[MC_RECORD_SIZE];
} mc_records_t;

/**
 * mc_records_add() - take in a part
 * @records: what is kept
 * @data: records in any order; a remainder shorter than a record is none
 * @size: bytes of @data
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_records_add(mc_records_t *records, const char *data, size_t size);

/** mc_records_sort() - order the rows, the greatest first; nothing is added
 * after that */
void mc_records_sort(mc_records_t *records);

/** mc_records_free() - free the rows */
void mc_records_free(mc_records_t *records);

/**
 * struct mc_coming_t - how far a merged answer has come
 * @total: parts in all
 * @in: parts that are in
 * @out: parts that will not come
 * @coverage_min: least share of parts that an answer needs
 */
typedef struct mc_records_progress_t {
	uint32_t total;
	uint32_t received;
	uint32_t failed;
	double min_coverage;
} mc_records_progress_t;

/** enum mc_due_t - what to do about a merged answer */
typedef enum mc_records_decision_t {
	MC_RECORDS_WAIT,
	MC_RECORDS_ANSWER,
	/* The coverage can't be reached any more. */
	MC_RECORDS_FAIL,
} mc_records_decision_t;

/**
 * mc_records_due() - whether to answer
 * @coming: how far it has come
 * @past_goal: the time within which an answer has its full worth is over
 * @past_end: there is no time left
 *
 * An answer with missing parts is due once waiting for them would cost more
 * than they are worth.
 */
mc_records_decision_t mc_records_decide(const mc_records_progress_t *coming,
					bool past_goal, bool past_end);

#endif

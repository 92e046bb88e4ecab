/*
 * The rows form a heap whose root is the smallest record kept, so that most
 * records of a part need only one comparison.
 */
#include "mc/records.h"

#include <stdlib.h>
#include <string.h>

enum {
	INITIAL_ROWS = 32,
};

static int compare(const void *a, const void *b)
{
	return memcmp(a, b, MC_RECORD_SIZE);
}

static void swap(mc_records_t *records, uint32_t a, uint32_t b)
{
	unsigned char row[MC_RECORD_SIZE];

	memcpy(row, records->rows[a], MC_RECORD_SIZE);
	memcpy(records->rows[a], records->rows[b], MC_RECORD_SIZE);
	memcpy(records->rows[b], row, MC_RECORD_SIZE);
}

static void sift_up(mc_records_t *records, uint32_t i)
{
	while (i && compare(records->rows[i], records->rows[(i - 1) / 2]) < 0) {
		swap(records, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(mc_records_t *records)
{
	uint32_t i = 0, least, child;

	for (;;) {
		least = i;
		for (child = 2 * i + 1; child <= 2 * i + 2; child++)
			if (child < records->count &&
			    compare(records->rows[child],
				    records->rows[least]) < 0)
				least = child;
		if (least == i)
			return;
		swap(records, i, least);
		i = least;
	}
}

static mc_err_t reserve_row(mc_records_t *records)
{
	uint32_t capacity =
		records->capacity ? records->capacity * 2 : INITIAL_ROWS;
	void *rows;

	if (records->count < records->capacity)
		return MC_OK;
	rows = realloc(records->rows, (size_t)capacity * MC_RECORD_SIZE);
	if (!rows)
		return mc_fail(MC_ERR_NO_MEMORY, "out of memory for %u records",
			       capacity);
	records->rows = rows;
	records->capacity = capacity;
	return MC_OK;
}

mc_err_t mc_records_add(mc_records_t *records, const char *data, size_t size)
{
	mc_err_t err;

	for (; size >= MC_RECORD_SIZE;
	     data += MC_RECORD_SIZE, size -= MC_RECORD_SIZE) {
		if (records->count == records->max) {
			if (!records->max ||
			    compare(data, records->rows[0]) <= 0)
				continue;
			memcpy(records->rows[0], data, MC_RECORD_SIZE);
			sift_down(records);
			continue;
		}
		err = reserve_row(records);
		if (err)
			return err;
		memcpy(records->rows[records->count], data, MC_RECORD_SIZE);
		sift_up(records, records->count++);
	}
	return MC_OK;
}

static int compare_descending(const void *a, const void *b)
{
	return compare(b, a);
}

void mc_records_sort(mc_records_t *records)
{
	if (records->count)
		qsort(records->rows, records->count, MC_RECORD_SIZE,
		      compare_descending);
}

void mc_records_free(mc_records_t *records)
{
	free(records->rows);
	records->rows = NULL;
	records->count = 0;
	records->capacity = 0;
}

mc_records_decision_t mc_records_decide(const mc_records_progress_t *progress,
					bool past_goal, bool past_deadline)
{
	double total = progress->total;
	bool enough = progress->received &&
		      progress->received / total >= progress->coverage_min;
	bool reachable = (progress->total - progress->failed) / total >=
				 progress->coverage_min &&
			 progress->total > progress->failed;

	if (!reachable)
		return MC_RECORDS_FAIL;
	if (progress->received + progress->failed == progress->total)
		return MC_RECORDS_ANSWER;
	if (enough && (past_goal || past_deadline))
		return MC_RECORDS_ANSWER;
	return past_deadline ? MC_RECORDS_FAIL : MC_RECORDS_WAIT;
}

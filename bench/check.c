/*
 * Some searches ask for more hits than there are shards. As the best hit of
 * each shard is better than the second of any, each shard that answered is seen
 * in their hits. An answer is dishonest if its claim differs from that, if its
 * sums are wrong, if a hit is of another snapshot or of a shard that is said to
 * be missing, or if a shard that it counts was run by none of its targets.
 * Targets are asked about a sample, as that is one call each.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

enum {
	SHARDS_MAX = 256,
	SAMPLES = 10,
	ID_SIZE = 128,
	US_PER_MS = 1000,
	STATUS_OK = 200,
	STDERR_MAX = 5,
};

typedef struct answer_t {
	const char *id;
	const char *snapshot;
	json_int_t shards;
	json_int_t documents;
	json_int_t total;
	uint32_t seen_count;
	bool seen[SHARDS_MAX];
	bool missing[SHARDS_MAX];
} answer_t;

static json_int_t integer(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

/* Return: why the hits contradict the rest, or NULL. */
static const char *read_hits(const json_t *root, answer_t *answer)
{
	const json_t *hits = json_object_get(root, "hits");
	char start[ID_SIZE];
	const char *id;
	json_int_t shard;
	json_t *hit;
	size_t i;

	json_array_foreach(hits, i, hit)
	{
		shard = integer(hit, "shard");
		id = json_string_value(json_object_get(hit, "id"));
		if (shard < 0 || shard >= answer->total || !id)
			return "a hit of no shard";
		snprintf(start, sizeof(start), "%s/%lld/", answer->snapshot,
			 (long long)shard);
		if (strncmp(id, start, strlen(start)) != 0)
			return "a hit of another snapshot or shard";
		answer->seen_count += !answer->seen[shard];
		answer->seen[shard] = true;
	}
	return NULL;
}

static const char *read_missing(const json_t *root, bool full, answer_t *answer)
{
	const json_t *missing = json_object_get(root, "missing");
	json_int_t shard;
	json_t *entry;
	size_t i;

	json_array_foreach(missing, i, entry)
	{
		shard = integer(entry, "shard");
		if (shard < 0 || shard >= answer->total ||
		    answer->missing[shard] || answer->seen[shard])
			return "a missing shard that is none, or answered";
		answer->missing[shard] = true;
	}
	if (full && json_array_size(missing) + answer->seen_count !=
			    (size_t)answer->total)
		return "shards neither seen nor missing";
	if ((json_int_t)json_array_size(missing) + answer->shards !=
	    answer->total)
		return "shards neither counted nor missing";
	return NULL;
}

static const char *check_documents(const answer_t *answer)
{
	json_int_t documents = 0;
	json_int_t i;

	for (i = 0; i < answer->total; i++)
		if (!answer->missing[i])
			documents += (i + 1) * CLUSTER_DOCUMENTS;
	if (answer->documents != documents)
		return "documents claimed are not those of the shards counted";
	return NULL;
}

static const char *read_answer(const json_t *root, bool full, answer_t *answer)
{
	const json_t *coverage = json_object_get(root, "coverage");
	const json_t *snapshots = json_object_get(root, "snapshot");
	const char *fault;

	answer->id = json_string_value(json_object_get(root, "request"));
	answer->snapshot =
		json_string_value(json_object_get(snapshots, CLUSTER_SERVICE));
	answer->shards = integer(coverage, "shards_answered");
	answer->documents = integer(coverage, "documents_answered");
	answer->total = integer(coverage, "shards_total");
	if (!answer->id || !answer->snapshot || answer->total < 1 ||
	    answer->total > SHARDS_MAX)
		return "no id, snapshot or total";
	fault = read_hits(root, answer);
	if (!fault)
		fault = read_missing(root, full, answer);
	return fault ? fault : check_documents(answer);
}

/* Whether each shard counted was run by one of its targets. */
static const char *ask_targets(const cluster_t *cluster, int lost,
			       const answer_t *answer)
{
	bool ran[SHARDS_MAX] = { 0 };
	char url[2 * HARNESS_URL_SIZE];
	const cluster_target_t *target;
	json_t *counts;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++) {
		target = &cluster->targets[i];
		snprintf(url, sizeof(url), "%s/standin?request=%s", target->url,
			 answer->id);
		counts = harness_get(url);
		if (integer(counts, "search") > 0)
			ran[target->shard] = true;
		json_decref(counts);
	}
	if (lost >= 0 && lost < SHARDS_MAX)
		ran[lost] = true;
	for (i = 0; i < answer->total; i++)
		if (!answer->missing[i] && !ran[i])
			return "no target ran a shard that is counted";
	return NULL;
}

static void note_dishonest(result_t *result, const char *fault,
			   const load_record_t *record)
{
	if (result->dishonest++ < STDERR_MAX)
		fprintf(stderr, "dishonest answer: %s: %.300s\n", fault,
			record->body);
}

static void check_answer(const cluster_t *cluster, const load_record_t *record,
			 bool sample, int lost, result_t *result)
{
	json_t *root = json_loadb(record->body, record->size, 0, NULL);
	answer_t answer = { 0 };
	const char *fault;

	fault = root ? read_answer(root, record->full, &answer) : "no JSON";
	if (!fault && sample)
		fault = ask_targets(cluster, lost, &answer);
	if (fault)
		note_dishonest(result, fault, record);
	if (answer.total) {
		result->coverage +=
			(double)answer.shards / (double)answer.total;
		result->shards_asked += (double)answer.total;
		result->partial += answer.shards < answer.total;
	}
	json_decref(root);
}

static void note_refusal(const load_record_t *record, result_t *result)
{
	json_t *root = NULL;
	const char *kind = NULL;

	result->class_refused[record->klass]++;
	if (record->status)
		root = json_loadb(record->body, record->size, 0, NULL);
	if (root)
		kind = json_string_value(json_object_get(
			json_object_get(root, "error"), "kind"));
	if (kind)
		result->refused[mc_error_from_name(kind)]++;
	else
		result->failed++;
	json_decref(root);
}

static int by_value(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}

static double quantile(const double *sorted, size_t count, double q)
{
	size_t place = (size_t)(q * (double)count);

	if (!count)
		return 0;
	return sorted[place < count ? place : count - 1];
}

/* Return: number of times of answered searches; @klass < 0 takes all. */
static size_t sort_times(const load_result_t *load, int klass, double *times)
{
	const load_record_t *record;
	size_t count = 0;
	size_t i;

	for (i = 0; i < load->count; i++) {
		record = &load->records[i];
		if (!record->run && record->status == STATUS_OK &&
		    (klass < 0 || record->klass == (uint32_t)klass))
			times[count++] = (double)record->elapsed / US_PER_MS;
	}
	qsort(times, count, sizeof(*times), by_value);
	return count;
}

static void fill_times(const load_result_t *load, result_t *result)
{
	double *times = calloc(load->count + 1, sizeof(*times));
	size_t count;
	int i;

	if (!times)
		return;
	count = sort_times(load, -1, times);
	result->p50 = quantile(times, count, 0.5);
	result->p99 = quantile(times, count, 0.99);
	result->p999 = quantile(times, count, 0.999);
	for (i = 0; i < LOAD_CLASSES; i++) {
		count = sort_times(load, i, times);
		result->class_p99[i] = quantile(times, count, 0.99);
	}
	free(times);
}

void check_answers(const cluster_t *cluster, const load_result_t *load,
		   int lost, result_t *result)
{
	size_t every = load->count / SAMPLES + 1;
	const load_record_t *record;
	size_t i;

	fill_times(load, result);
	result->not_sent = load->not_sent;
	result->late_ms = (double)load->late_us / US_PER_MS;
	for (i = 0; i < load->count; i++) {
		record = &load->records[i];
		if (record->run)
			continue;
		result->sent++;
		result->class_sent[record->klass]++;
		if (record->status != STATUS_OK) {
			note_refusal(record, result);
			continue;
		}
		check_answer(cluster, record, result->answered % every == 0,
			     lost, result);
		result->answered++;
	}
	if (result->answered)
		result->coverage /= (double)result->answered;
}

void check_runs(const cluster_t *cluster, const load_result_t *load,
		result_t *result)
{
	char argument[LOAD_KEY_SIZE + 8];
	const char *last = "";
	size_t i;

	for (i = 0; i < load->count; i++) {
		if (!load->records[i].run ||
		    !strcmp(load->records[i].key, last))
			continue;
		last = load->records[i].key;
		snprintf(argument, sizeof(argument), "key=%s", last);
		result->runs++;
		if (cluster_query(cluster, argument, "run") > 1)
			result->duplicates++;
	}
}

/*
 * Checks whether answers are consistent. One search in ten asks for more hits
 * than there are shards: as the best hit of each shard ranks above the second
 * best of any other, its hits must include one of every shard that answered. An
 * answer is inconsistent if
 * - the coverage that it states differs from the shards that have a hit,
 * - its shard or document counts do not add up,
 * - a hit belongs to another snapshot or to a shard reported as missing,
 * - no target of a shard that it counts as answered executed the request.
 * The last check reads the counters of all targets with one HTTP call each, so
 * it is made for about ten answers only.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

enum {
	SHARDS_MAX = 256,
	/* Answers that are checked against the targets' counters, about. */
	SAMPLE_COUNT = 10,
	ID_SIZE = 128,
	US_PER_MS = 1000,
	STATUS_OK = 200,
	/* Inconsistent answers printed per variant. */
	PRINTED_ANSWERS_MAX = 5,
};

typedef struct answer_t {
	const char *id;
	const char *snapshot;
	json_int_t shards_answered;
	json_int_t documents_answered;
	json_int_t shards_total;
	uint32_t shards_with_hits;
	bool has_hit[SHARDS_MAX];
	bool missing[SHARDS_MAX];
} answer_t;

static json_int_t get_integer(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

/* Return: the inconsistency of a hit with the rest of the answer, or NULL. */
static const char *parse_hits(const json_t *root, answer_t *answer)
{
	const json_t *hits = json_object_get(root, "hits");
	char prefix[ID_SIZE];
	const char *id;
	json_int_t shard;
	json_t *hit;
	size_t i;

	json_array_foreach(hits, i, hit)
	{
		shard = get_integer(hit, "shard");
		id = json_string_value(json_object_get(hit, "id"));
		if (shard < 0 || shard >= answer->shards_total || !id)
			return "hit without a valid shard or id";
		snprintf(prefix, sizeof(prefix), "%s/%lld/", answer->snapshot,
			 (long long)shard);
		if (strncmp(id, prefix, strlen(prefix)) != 0)
			return "hit belongs to another snapshot or shard";
		answer->shards_with_hits += !answer->has_hit[shard];
		answer->has_hit[shard] = true;
	}
	return NULL;
}

static const char *parse_missing(const json_t *root, bool has_large_limit,
				 answer_t *answer)
{
	const json_t *missing = json_object_get(root, "missing");
	json_int_t shard;
	json_t *entry;
	size_t i;

	json_array_foreach(missing, i, entry)
	{
		shard = get_integer(entry, "shard");
		if (shard < 0 || shard >= answer->shards_total ||
		    answer->missing[shard] || answer->has_hit[shard])
			return "missing shard is invalid, repeated or has a hit";
		answer->missing[shard] = true;
	}
	if (has_large_limit &&
	    json_array_size(missing) + answer->shards_with_hits !=
		    (size_t)answer->shards_total)
		return "shards with hits and missing shards do not add up";
	if ((json_int_t)json_array_size(missing) + answer->shards_answered !=
	    answer->shards_total)
		return "answered and missing shards do not add up";
	return NULL;
}

static const char *check_documents(const answer_t *answer)
{
	json_int_t documents = 0;
	json_int_t i;

	for (i = 0; i < answer->shards_total; i++)
		if (!answer->missing[i])
			documents += (i + 1) * CLUSTER_DOCUMENTS;
	if (answer->documents_answered != documents)
		return "documents do not add up to those of the answered shards";
	return NULL;
}

static const char *parse_answer(const json_t *root, bool has_large_limit,
				answer_t *answer)
{
	const json_t *coverage = json_object_get(root, "coverage");
	const json_t *snapshots = json_object_get(root, "snapshot");
	const char *error;

	answer->id = json_string_value(json_object_get(root, "request"));
	answer->snapshot =
		json_string_value(json_object_get(snapshots, CLUSTER_SERVICE));
	answer->shards_answered = get_integer(coverage, "shards_answered");
	answer->documents_answered =
		get_integer(coverage, "documents_answered");
	answer->shards_total = get_integer(coverage, "shards_total");
	if (!answer->id || !answer->snapshot || answer->shards_total < 1 ||
	    answer->shards_total > SHARDS_MAX)
		return "request id, snapshot or shard total missing or invalid";
	error = parse_hits(root, answer);
	if (!error)
		error = parse_missing(root, has_large_limit, answer);
	return error ? error : check_documents(answer);
}

/*
 * Checks that each shard counted as answered was executed by at least one of
 * its targets. @killed_shard counts as executed, because the counters of the
 * killed target are lost. Return: the inconsistency, or NULL.
 */
static const char *check_executions(const cluster_t *cluster, int killed_shard,
				    const answer_t *answer)
{
	bool executed[SHARDS_MAX] = { 0 };
	char url[2 * HARNESS_URL_SIZE];
	const cluster_target_t *target;
	json_t *counts;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++) {
		target = &cluster->targets[i];
		snprintf(url, sizeof(url), "%s/standin?request=%s", target->url,
			 answer->id);
		counts = harness_get_json(url);
		if (get_integer(counts, "search") > 0)
			executed[target->shard] = true;
		json_decref(counts);
	}
	if (killed_shard >= 0 && killed_shard < SHARDS_MAX)
		executed[killed_shard] = true;
	for (i = 0; i < answer->shards_total; i++)
		if (!answer->missing[i] && !executed[i])
			return "no target executed a shard that counts as answered";
	return NULL;
}

static void record_inconsistency(result_t *result, const char *error,
				 const load_record_t *record)
{
	if (result->inconsistent++ < PRINTED_ANSWERS_MAX)
		fprintf(stderr, "inconsistent answer: %s: %.300s\n", error,
			record->body);
}

static void check_answer(const cluster_t *cluster, const load_record_t *record,
			 bool is_sampled, int killed_shard, result_t *result)
{
	json_t *root = json_loadb(record->body, record->size, 0, NULL);
	answer_t answer = { 0 };
	const char *error;

	error = root ? parse_answer(root, record->has_large_limit, &answer)
		     : "body is not JSON";
	if (!error && is_sampled)
		error = check_executions(cluster, killed_shard, &answer);
	if (error)
		record_inconsistency(result, error, record);
	if (answer.shards_total) {
		result->coverage += (double)answer.shards_answered /
				    (double)answer.shards_total;
		result->shards_requested += (double)answer.shards_total;
		result->partial += answer.shards_answered < answer.shards_total;
	}
	json_decref(root);
}

static void count_error(const load_record_t *record, result_t *result)
{
	json_t *root = NULL;
	const char *kind = NULL;

	result->class_refused[record->request_class]++;
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

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}

static double quantile(const double *sorted, size_t count, double q)
{
	size_t index = (size_t)(q * (double)count);

	if (!count)
		return 0;
	return sorted[index < count ? index : count - 1];
}

/*
 * Writes the sorted latencies of answered searches, in ms, to @latencies.
 * @request_class selects a class; a negative one selects all searches.
 *
 * Return: number of latencies.
 */
static size_t sort_latencies(const load_result_t *load, int request_class,
			     double *latencies)
{
	const load_record_t *record;
	size_t count = 0;
	size_t i;

	for (i = 0; i < load->count; i++) {
		record = &load->records[i];
		if (!record->is_run && record->status == STATUS_OK &&
		    (request_class < 0 ||
		     record->request_class == (uint32_t)request_class))
			latencies[count++] =
				(double)record->latency_us / US_PER_MS;
	}
	qsort(latencies, count, sizeof(*latencies), compare_doubles);
	return count;
}

static void fill_latencies(const load_result_t *load, result_t *result)
{
	double *latencies = calloc(load->count + 1, sizeof(*latencies));
	size_t count;
	int i;

	if (!latencies)
		return;
	count = sort_latencies(load, -1, latencies);
	result->p50_ms = quantile(latencies, count, 0.5);
	result->p99_ms = quantile(latencies, count, 0.99);
	result->p999_ms = quantile(latencies, count, 0.999);
	for (i = 0; i < LOAD_CLASS_COUNT; i++) {
		count = sort_latencies(load, i, latencies);
		result->class_p99_ms[i] = quantile(latencies, count, 0.99);
	}
	free(latencies);
}

void check_answers(const cluster_t *cluster, const load_result_t *load,
		   int killed_shard, result_t *result)
{
	size_t sample_interval = load->count / SAMPLE_COUNT + 1;
	const load_record_t *record;
	size_t i;

	fill_latencies(load, result);
	result->not_sent = load->not_sent;
	result->late_ms = (double)load->late_us / US_PER_MS;
	for (i = 0; i < load->count; i++) {
		record = &load->records[i];
		if (record->is_run)
			continue;
		result->sent++;
		result->class_sent[record->request_class]++;
		if (record->status != STATUS_OK) {
			count_error(record, result);
			continue;
		}
		check_answer(cluster, record,
			     result->answered % sample_interval == 0,
			     killed_shard, result);
		result->answered++;
	}
	if (result->answered)
		result->coverage /= (double)result->answered;
}

void count_duplicate_runs(const cluster_t *cluster, const load_result_t *load,
			  result_t *result)
{
	char query[LOAD_KEY_SIZE + 8];
	const char *last = "";
	size_t i;

	for (i = 0; i < load->count; i++) {
		if (!load->records[i].is_run ||
		    !strcmp(load->records[i].key, last))
			continue;
		last = load->records[i].key;
		snprintf(query, sizeof(query), "key=%s", last);
		result->runs++;
		if (cluster_execution_count(cluster, query, "run") > 1)
			result->duplicates++;
	}
}

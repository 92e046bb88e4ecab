/*
 * The state of a front is read by HTTP. A gather has no HTTP server, so its
 * state is read from its log.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "fleet.h"

enum {
	PATH_SIZE = 512,
	LINE_SIZE = 1024,
	NAME_SIZE = 64,
	DECIMAL = 10,
};

/* Log line of a process when its configuration changes. */
#define ACTIVE_CONFIG_LOG "configuration in force\" version="

static mc_handle_t start_submit(cluster_t *cluster, const char *name,
				const char *option, const char *value)
{
	const char *argv[] = { MANGOCOVE,
			       "submit",
			       "--platform",
			       cluster->platform_address,
			       option ? option : value,
			       option ? value : NULL,
			       NULL };

	return harness_start(cluster->harness, name, argv);
}

mc_handle_t fleet_submit_start(cluster_t *cluster, const char *name,
			       const char *text)
{
	char path[PATH_SIZE];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s-config.toml",
		 harness_output_dir(cluster->harness), name);
	file = fopen(path, "w");
	assert_non_null(file);
	fputs(text, file);
	assert_int_equal(fclose(file), 0);
	return start_submit(cluster, name, NULL, path);
}

/* Copies the word after the first @label in @output; "" if there is none. */
static void read_word(const char *output, const char *label, char *word,
		      size_t size)
{
	const char *found = strstr(output, label);
	size_t len;

	*word = '\0';
	if (!found)
		return;
	found += strlen(label);
	len = strcspn(found, " \n");
	if (len < size)
		snprintf(word, size, "%.*s", (int)len, found);
}

fleet_submit_result_t fleet_submit_wait(cluster_t *cluster, mc_handle_t process)
{
	fleet_submit_result_t result = { 0 };
	char version[NAME_SIZE];

	result.status = harness_wait_exit(cluster->harness, process,
					  result.output, sizeof(result.output));
	read_word(result.output, "submission ", result.id, sizeof(result.id));
	read_word(result.output, "accepted as version ", version,
		  sizeof(version));
	result.version = strtoull(version, NULL, DECIMAL);
	return result;
}

fleet_submit_result_t fleet_query_submission(cluster_t *cluster, const char *id)
{
	return fleet_submit_wait(cluster,
				 start_submit(cluster, "query", "--query", id));
}

uint64_t fleet_submit_change(cluster_t *cluster)
{
	fleet_submit_result_t result;
	char *text;

	cluster->params.snapshots = cluster->params.snapshots == 1 ? 2 : 1;
	text = cluster_format_config(cluster, -1);
	result = fleet_submit_wait(cluster,
				   fleet_submit_start(cluster, "submit", text));
	free(text);
	if (result.status)
		fail_msg("submit exited with status %d: %s", result.status,
			 result.output);
	assert_int_not_equal(result.version, 0);
	cluster->config_version = result.version;
	return result.version;
}

static harness_reply_t send_get(const cluster_instance_t *instance,
				const char *path)
{
	char url[2 * HARNESS_URL_SIZE];

	snprintf(url, sizeof(url), "%s%s", instance->url, path);
	return harness_http(
		&(harness_request_t){ .method = "GET", .url = url });
}

json_t *fleet_status(const cluster_instance_t *instance)
{
	harness_reply_t reply = send_get(instance, "/v1/status");
	json_t *status = reply.status == 200 ? json_incref(reply.json) : NULL;

	harness_reply_free(&reply);
	return status;
}

json_int_t fleet_status_number(const json_t *status, const char *path)
{
	const char *dot = strchr(path, '.');
	char key[NAME_SIZE];

	if (dot) {
		snprintf(key, sizeof(key), "%.*s", (int)(dot - path), path);
		status = json_object_get(status, key);
		path = dot + 1;
	}
	return json_integer_value(json_object_get(status, path));
}

json_int_t fleet_front_metric(const cluster_instance_t *instance,
			      const char *name)
{
	harness_reply_t reply = send_get(instance, "/v1/metrics");
	char label[NAME_SIZE], value[NAME_SIZE];

	snprintf(label, sizeof(label), "\n%s ", name);
	read_word(reply.body, label, value, sizeof(value));
	harness_reply_free(&reply);
	return strtoll(value, NULL, DECIMAL);
}

static FILE *open_log(const cluster_t *cluster, const char *role,
		      const cluster_instance_t *instance)
{
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "%s/%s-%s.log",
		 harness_output_dir(cluster->harness), role, instance->ip);
	return fopen(path, "r");
}

uint64_t fleet_last_logged_version(const cluster_t *cluster, const char *role,
				   const cluster_instance_t *instance)
{
	FILE *log = open_log(cluster, role, instance);
	uint64_t last = 0, version;
	char line[LINE_SIZE];
	const char *found;

	assert_non_null(log);
	while (fgets(line, sizeof(line), log)) {
		found = strstr(line, ACTIVE_CONFIG_LOG);
		if (!found)
			continue;
		version = strtoull(found + strlen(ACTIVE_CONFIG_LOG), NULL,
				   DECIMAL);
		if (version <= last)
			fail_msg("%s %s: active version went from %llu to %llu",
				 role, instance->ip, (unsigned long long)last,
				 (unsigned long long)version);
		last = version;
	}
	fclose(log);
	return last;
}

static bool log_contains(FILE *log, const char *text)
{
	char line[LINE_SIZE];
	bool found = false;

	assert_non_null(log);
	while (!found && fgets(line, sizeof(line), log))
		found = strstr(line, text) != NULL;
	fclose(log);
	return found;
}

bool fleet_log_contains(const cluster_t *cluster, const char *text)
{
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++)
		if (log_contains(
			    open_log(cluster, "front", &cluster->instances[i]),
			    text) ||
		    log_contains(
			    open_log(cluster, "gather", &cluster->instances[i]),
			    text))
			return true;
	return false;
}

bool fleet_is_config_active(const cluster_t *cluster, uint64_t version)
{
	const cluster_instance_t *instance;
	uint64_t front_version;
	json_t *status;
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++) {
		instance = &cluster->instances[i];
		status = fleet_status(instance);
		front_version = (uint64_t)fleet_status_number(
			status, "configuration.version");
		json_decref(status);
		if (front_version < version ||
		    fleet_last_logged_version(cluster, "gather", instance) <
			    version)
			return false;
	}
	return true;
}

typedef struct version_wait_t {
	const cluster_t *cluster;
	uint64_t version;
} version_wait_t;

static bool is_config_active(void *ctx)
{
	const version_wait_t *wait = ctx;

	return fleet_is_config_active(wait->cluster, wait->version);
}

mc_ms_t fleet_wait_config_active(cluster_t *cluster, uint64_t version)
{
	version_wait_t wait = { .cluster = cluster, .version = version };
	mc_ms_t start = mc_clock_now(mc_clock_system());

	harness_wait_until("configuration is active at all processes",
			   is_config_active, &wait);
	return mc_clock_now(mc_clock_system()) - start;
}

void fleet_kill_instance(cluster_t *cluster, const cluster_instance_t *instance)
{
	harness_stop(cluster->harness, instance->front, SIGKILL);
	harness_stop(cluster->harness, instance->gather, SIGKILL);
}

void fleet_start_instance(cluster_t *cluster, cluster_instance_t *instance)
{
	cluster_start_gather(cluster, instance);
	cluster_start_front(cluster, instance);
}

/*
 * Start and control of an installation. The platform starts first, then the
 * targets; after the configuration is written, gathers and fronts start.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <cmocka.h>

#include "cluster.h"

#ifndef MANGOCOVE
#define MANGOCOVE "mangocove"
#endif

#define CONFIG_PATH "/objects/mangocove/config"

enum {
	PATH_SIZE = 512,
	NAME_SIZE = 64,
	HEADER_SIZE = 64,
	SERVICE_DEADLINE_MS = 1000,
	/* Number of loopback networks 127.0.N.0/24 that tests choose from. */
	NETWORK_COUNT = 250,
	MS_PER_SECOND = 1000,
};

cluster_t *cluster_create(const cluster_params_t *params)
{
	cluster_t *cluster = calloc(1, sizeof(*cluster));

	if (!cluster)
		return NULL;
	cluster->params = *params;
	cluster->harness = harness_create(params->name);
	if (!cluster->harness) {
		free(cluster);
		return NULL;
	}
	return cluster;
}

void cluster_destroy(cluster_t *cluster)
{
	cluster_load_abort(cluster);
	harness_destroy(cluster->harness);
	free(cluster);
}

int cluster_tear_down(void **state)
{
	cluster_destroy(*state);
	return 0;
}

void cluster_start_platform(cluster_t *cluster)
{
	const char *colon = strchr(cluster->platform_address, ':');
	const char *argv[] = { STANDIN_PLATFORM, "--port",
			       colon ? colon + 1 : "0", NULL };

	cluster->platform = harness_start(cluster->harness, "platform", argv);
	snprintf(cluster->platform_address, sizeof(cluster->platform_address),
		 "127.0.0.1:%u",
		 harness_read_port(cluster->harness, cluster->platform));
}

static uint32_t one_if_zero(uint32_t count)
{
	return count ? count : 1;
}

/* Starts a process that serves @count targets, starting at index @first. */
static void start_target_process(cluster_t *cluster, uint32_t first,
				 uint32_t count)
{
	char name[NAME_SIZE], count_text[NAME_SIZE];
	const char *argv[] = { STANDIN_TARGET, "--count", count_text, NULL };
	mc_handle_t process;
	uint32_t i;

	snprintf(name, sizeof(name), "target-dc%u-%u",
		 cluster->targets[first].data_center, first);
	snprintf(count_text, sizeof(count_text), "%u", count);
	process = harness_start(cluster->harness, name, argv);
	for (i = first; i < first + count; i++) {
		cluster->targets[i].process = process;
		snprintf(cluster->targets[i].url,
			 sizeof(cluster->targets[i].url), "http://127.0.0.1:%u",
			 harness_read_port(cluster->harness, process));
	}
}

static void start_targets(cluster_t *cluster)
{
	const cluster_params_t *params = &cluster->params;
	uint32_t per_process = one_if_zero(params->targets_per_process);
	uint32_t targets_per_data_center =
		params->shards * one_if_zero(params->replicas);
	uint32_t targets_per_version =
		params->data_centers * targets_per_data_center;
	uint32_t count = targets_per_version * one_if_zero(params->versions);
	char version[NAME_SIZE];
	uint32_t i;

	assert_in_range(count, 1, CLUSTER_TARGETS_MAX);
	cluster->target_count = count;
	for (i = 0; i < count; i++) {
		cluster->targets[i].data_center =
			i % targets_per_version / targets_per_data_center;
		cluster->targets[i].shard = i % params->shards;
		cluster->targets[i].version = i / targets_per_version + 1;
	}
	for (i = 0; i < count; i += per_process)
		start_target_process(cluster, i,
				     count - i < per_process ? count - i
							     : per_process);
	for (i = 0; i < count; i++) {
		snprintf(version, sizeof(version), "{\"version\":\"v%u\"}",
			 cluster->targets[i].version);
		cluster_control_target(&cluster->targets[i], version);
	}
}

void cluster_start_target(cluster_t *cluster, cluster_target_t *target)
{
	const char *port = strrchr(target->url, ':') + 1;
	const char *argv[] = { STANDIN_TARGET, "--port", port, NULL };
	char name[NAME_SIZE];

	snprintf(name, sizeof(name), "target-again-%s", port);
	target->process = harness_start(cluster->harness, name, argv);
	harness_read_port(cluster->harness, target->process);
}

static void choose_address(const char *ip, char *address, size_t size)
{
	snprintf(address, size, "%s:%u", ip, harness_free_port(ip));
}

/*
 * Chooses IP addresses and ports of all instances. Each instance has its own IP
 * address, so that no outgoing connection takes its ports before it listens.
 * The network is chosen by the process id, so that no other test takes them.
 */
static void assign_addresses(cluster_t *cluster)
{
	const cluster_params_t *params = &cluster->params;
	uint32_t network = 1 + (uint32_t)getpid() % NETWORK_COUNT;
	cluster_instance_t *instance;
	uint32_t i;

	cluster->instance_count = params->data_centers * params->instances;
	assert_in_range(cluster->instance_count, 1, CLUSTER_INSTANCES_MAX);
	for (i = 0; i < cluster->instance_count; i++) {
		instance = &cluster->instances[i];
		instance->data_center = i / params->instances;
		snprintf(instance->ip, sizeof(instance->ip), "127.0.%u.%u",
			 network, i + 1);
		choose_address(instance->ip, instance->caller_address,
			       sizeof(instance->caller_address));
		choose_address(instance->ip, instance->front_peer_address,
			       sizeof(instance->front_peer_address));
		choose_address(instance->ip, instance->gather_peer_address,
			       sizeof(instance->gather_peer_address));
		snprintf(instance->url, sizeof(instance->url), "http://%s",
			 instance->caller_address);
	}
}

static void write_peers(const cluster_t *cluster, FILE *file)
{
	uint32_t i;

	fprintf(file, "peers = [");
	for (i = 0; i < cluster->instance_count; i++)
		fprintf(file, "\"%s\", \"%s\", ",
			cluster->instances[i].front_peer_address,
			cluster->instances[i].gather_peer_address);
	fprintf(file, "]\n");
}

static void write_settings(const cluster_t *cluster,
			   const cluster_instance_t *instance, const char *path)
{
	const char *policy = cluster->params.policy;
	const char *level = cluster->params.log_level;
	FILE *file = fopen(path, "w");

	assert_non_null(file);
	fprintf(file, "data_center = \"dc%u\"\n", instance->data_center);
	fprintf(file, "platform = \"%s\"\n", cluster->platform_address);
	write_peers(cluster, file);
	fprintf(file, "shards = 2\nlog_level = \"%s\"\nseed = 1\n",
		level ? level : "info");
	if (cluster->params.grace)
		fprintf(file, "grace_ms = %lld\n",
			(long long)cluster->params.grace);
	fprintf(file, "[front]\ncallers = \"%s\"\npeer = \"%s\"\n",
		instance->caller_address, instance->front_peer_address);
	fprintf(file, "[gather]\npeer = \"%s\"\n",
		instance->gather_peer_address);
	if (policy)
		fprintf(file, "[policy]\n%s", policy);
	assert_int_equal(fclose(file), 0);
}

static mc_handle_t start_role(cluster_t *cluster,
			      const cluster_instance_t *instance,
			      const char *role)
{
	char name[NAME_SIZE], path[PATH_SIZE];
	const char *argv[] = { MANGOCOVE, role, path, NULL };

	snprintf(name, sizeof(name), "%s-%s", role, instance->ip);
	snprintf(path, sizeof(path), "%s/%s.toml",
		 harness_output_dir(cluster->harness), name);
	write_settings(cluster, instance, path);
	return harness_start(cluster->harness, name, argv);
}

void cluster_start_front(cluster_t *cluster, cluster_instance_t *instance)
{
	instance->front = start_role(cluster, instance, "front");
}

void cluster_start_gather(cluster_t *cluster, cluster_instance_t *instance)
{
	instance->gather = start_role(cluster, instance, "gather");
}

static void write_layout(const cluster_t *cluster, FILE *file)
{
	uint32_t i;

	fprintf(file, "[[layout]]\nservice = \"" CLUSTER_SERVICE
		      "\"\nname = \"l1\"\ndocuments = [");
	for (i = 0; i < cluster->params.shards; i++)
		fprintf(file, "%s%u", i ? ", " : "",
			(i + 1) * CLUSTER_DOCUMENTS);
	fprintf(file, "]\n");
	for (i = 1; i <= cluster->params.snapshots; i++)
		fprintf(file,
			"[[snapshot]]\nservice = \"" CLUSTER_SERVICE
			"\"\nid = \"s%u\"\nlayout = \"l1\"\norder = %u\n",
			i, i);
}

static void write_targets(const cluster_t *cluster, FILE *file)
{
	const cluster_target_t *target;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++) {
		target = &cluster->targets[i];
		fprintf(file,
			"[[target]]\nservice = \"" CLUSTER_SERVICE
			"\"\nlayout = \"l1\"\nshard = %u\n"
			"data_center = \"dc%u\"\nversion = \"v%u\"\n"
			"address = \"%s\"\n",
			target->shard, target->data_center, target->version,
			target->url + strlen("http://"));
	}
}

static void write_time(FILE *file, const char *key, mc_ms_t unix_ms)
{
	time_t seconds = unix_ms / MS_PER_SECOND;
	char text[NAME_SIZE];
	struct tm utc;

	gmtime_r(&seconds, &utc);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
	fprintf(file, "%s = %s.%03dZ\n", key, text,
		(int)(unix_ms % MS_PER_SECOND));
}

static void write_move(const cluster_t *cluster, FILE *file)
{
	if (!cluster->move_start)
		return;
	fprintf(file, "[[move]]\nservice = \"" CLUSTER_SERVICE
		      "\"\nfrom = \"v1\"\nto = \"v2\"\n");
	write_time(file, "start", cluster->move_start);
	write_time(file, "done_by", cluster->move_done_by);
	fprintf(file, "without_evidence = \"take_back\"\n");
}

char *cluster_format_config(const cluster_t *cluster, int out)
{
	char *text = NULL;
	size_t size = 0;
	FILE *file = open_memstream(&text, &size);
	uint32_t i;

	assert_non_null(file);
	for (i = 0; i < cluster->params.data_centers; i++)
		fprintf(file,
			"[[data_center]]\nname = \"dc%u\"\nstate = \"%s\"\n", i,
			(int)i == out ? "out" : "in");
	fprintf(file,
		"[[service]]\nname = \"" CLUSTER_SERVICE
		"\"\ndeadline_ms = %d\n",
		SERVICE_DEADLINE_MS);
	write_layout(cluster, file);
	write_targets(cluster, file);
	write_move(cluster, file);
	assert_int_equal(fclose(file), 0);
	return text;
}

void cluster_put_config(cluster_t *cluster, const char *text)
{
	char url[HARNESS_URL_SIZE], condition[HEADER_SIZE];
	harness_request_t request = {
		.method = "PUT",
		.url = url,
		.headers = { condition },
		.body = text,
	};
	harness_reply_t reply;

	snprintf(url, sizeof(url), "http://%s" CONFIG_PATH,
		 cluster->platform_address);
	snprintf(condition, sizeof(condition), "If-None-Match: *");
	if (cluster->config_version)
		snprintf(condition, sizeof(condition), "If-Match: \"%llu\"",
			 (unsigned long long)cluster->config_version);
	reply = harness_http(&request);
	cluster->config_version = reply.version;
	harness_reply_free(&reply);
	assert_int_not_equal(cluster->config_version, 0);
}

json_t *cluster_control_platform(const cluster_t *cluster, const char *body)
{
	char url[HARNESS_URL_SIZE];

	snprintf(url, sizeof(url), "http://%s/standin",
		 cluster->platform_address);
	return harness_post_json(url, body);
}

/* Writes the list of instances to the platform. */
static void put_instances(const cluster_t *cluster)
{
	json_t *list = json_array();
	json_t *settings;
	char data_center[NAME_SIZE];
	char *body;
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++) {
		snprintf(data_center, sizeof(data_center), "dc%u",
			 cluster->instances[i].data_center);
		json_array_append_new(
			list, json_pack("{ss ss ss}", "address",
					cluster->instances[i].ip, "data_center",
					data_center, "state", "live"));
	}
	settings = json_pack("{so}", "instances", list);
	body = json_dumps(settings, 0);
	json_decref(cluster_control_platform(cluster, body));
	json_decref(settings);
	free(body);
}

bool cluster_instance_is_ready(const cluster_instance_t *instance)
{
	char url[2 * HARNESS_URL_SIZE];
	harness_reply_t reply;
	bool ready;

	snprintf(url, sizeof(url), "%s/v1/ready", instance->url);
	reply = harness_http(
		&(harness_request_t){ .method = "GET", .url = url });
	ready = reply.status == 200;
	harness_reply_free(&reply);
	return ready;
}

static bool is_ready(void *ctx)
{
	return cluster_instance_is_ready(ctx);
}

void cluster_start(cluster_t *cluster)
{
	char *text;
	uint32_t i;

	cluster_start_platform(cluster);
	start_targets(cluster);
	assign_addresses(cluster);
	put_instances(cluster);
	text = cluster_format_config(cluster, -1);
	cluster_put_config(cluster, text);
	free(text);
	for (i = 0; i < cluster->instance_count; i++) {
		cluster_start_gather(cluster, &cluster->instances[i]);
		cluster_start_front(cluster, &cluster->instances[i]);
	}
	for (i = 0; i < cluster->instance_count; i++)
		harness_wait_until("front is ready", is_ready,
				   &cluster->instances[i]);
}

void cluster_control_target(const cluster_target_t *target, const char *body)
{
	char url[2 * HARNESS_URL_SIZE];

	snprintf(url, sizeof(url), "%s/standin", target->url);
	json_decref(harness_post_json(url, body));
}

void cluster_control_all_targets(const cluster_t *cluster, const char *body)
{
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++)
		cluster_control_target(&cluster->targets[i], body);
}

static json_int_t read_counter(const char *url, const char *name)
{
	json_t *json = harness_get_json(url);
	const json_t *value = json_object_get(json, name);
	json_int_t count = json_integer_value(value);

	if (!json_is_integer(value))
		fail_msg("no counter %s", name);
	json_decref(json);
	return count;
}

json_int_t cluster_target_counter(const cluster_target_t *target,
				  const char *name)
{
	char url[2 * HARNESS_URL_SIZE];

	snprintf(url, sizeof(url), "%s/standin", target->url);
	return read_counter(url, name);
}

json_int_t cluster_target_counter_sum(const cluster_t *cluster,
				      const char *name)
{
	json_int_t sum = 0;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++)
		sum += cluster_target_counter(&cluster->targets[i], name);
	return sum;
}

json_int_t cluster_execution_count(const cluster_t *cluster,
				   const char *argument, const char *name)
{
	char url[2 * HARNESS_URL_SIZE];
	json_int_t sum = 0;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++) {
		snprintf(url, sizeof(url), "%s/standin?%s",
			 cluster->targets[i].url, argument);
		sum += read_counter(url, name);
	}
	return sum;
}

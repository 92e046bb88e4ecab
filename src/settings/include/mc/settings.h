/*
 * Public header of the settings library: the settings of one process, parsed
 * from a TOML file and validated.
 *
 *	data_center = "north"
 *	platform = "127.0.0.1:7000"       # store and list of instances
 *	peers = ["127.0.0.1:7101", ...]   # peers to contact at startup
 *	shards = 2                        # threads, 1..64
 *	log_level = "info"
 *	seed = 1                          # of random numbers; 0: from the clock
 *	grace_ms = 10000                  # time allowed for a planned stop
 *	[front]
 *	callers = "127.0.0.1:8080"        # listens for callers
 *	peer = "127.0.0.1:7100"           # listens for peers
 *	[gather]
 *	peer = "127.0.0.1:7101"           # listens for fronts and peers
 *	[tier]
 *	instance = "north-1"              # name, unique among instances
 *	callers = "127.0.0.1:8080"        # listens for callers
 *	ready = "127.0.0.1:8081"          # serves readiness checks
 *	metrics = "127.0.0.1:9464"        # serves metrics; optional
 *	peers = "127.0.0.1:7380"          # serves its updates to instances of
 *	                                  # its data centre; optional
 *	notice_ms = 2500                  # from the start of a planned stop
 *	                                  # until new requests are refused
 *	apply_ms = 3000                   # a new route map must be in force
 *	                                  # within this time
 *	drain_ms = 3000                   # a leaving target serves this long
 *	                                  # after it announced that it leaves
 *	history_ms = 20000                # how long the store keeps changes
 *	extra_share = 0.2                 # extra requests per request to a
 *	                                  # service, summed over all instances
 *	extra_window_ms = 10000           # window in which they are counted
 *	extra_slack = 50                  # extra requests allowed in addition,
 *	                                  # per window
 *	rollout_share = 0.1               # share of a service's requests for a
 *	                                  # version that is not proved
 *	memory_mb = 256                   # memory that the process may use
 *	usage = "127.0.0.1:7001"          # where usage is reported; optional
 *	usage_window_ms = 5000            # length of its windows; without it no
 *	                                  # usage is reported
 *	usage_report_ms = 10000           # a window is reported within this
 *	                                  # time after its end
 *	lease_ms = 3000                   # duration of the lease of the
 *	                                  # instance that reports
 *	[policy]
 *	owners = 8                        # gathers that own a target, 1..64
 *	replica = "two_choices" | "round_robin" | "hash"
 *	limit = "adaptive" | "fixed" | "none"
 *	ramp = "on" | "off"
 *	hedge = "p95" | "none"
 *	retry = "budget" | "none" | "unbounded"
 *	admission = "class" | "none"
 *	extra_percent = 5                 # hedges and retries per 100 requests
 *	concurrency = 1024                # concurrent requests in one front
 *
 * A duration is an integer, ms, or a string with its unit, "2.5 s" or "40 ms".
 * A key that a role does not require may be left out, and then has the value
 * shown.
 *
 * One file may hold the tables of several roles. A process requires only the
 * keys of its own role.
 */
#ifndef MC_SETTINGS_H
#define MC_SETTINGS_H

#include "mc/base.h"

enum {
	MC_ADDRESS_SIZE = 64,
	MC_SEED_PEERS_MAX = 64,
	MC_THREADS_MAX = 64,
	MC_OWNERS_MAX = 64,
};

/**
 * enum mc_role_t - role of a process
 * @MC_ROLE_FRONT: serves callers and queries gathers
 * @MC_ROLE_GATHER: serves fronts and queries targets
 * @MC_ROLE_TIER: serves callers and queries targets itself; a platform
 *	provides the route map and the list of targets
 */
typedef enum mc_role_t {
	MC_ROLE_FRONT,
	MC_ROLE_GATHER,
	MC_ROLE_TIER,
} mc_role_t;

/**
 * struct mc_policy_t - names of the selected policies and their parameters
 *
 * The fields are the keys of the table [policy].
 */
typedef struct mc_policy_t {
	uint32_t owners;
	char replica[16];
	char limit[16];
	char ramp[16];
	char hedge[16];
	char retry[16];
	char admission[16];
	uint32_t extra_percent;
	uint32_t concurrency;
} mc_policy_t;

/**
 * struct mc_settings_t - settings of one process
 * @data_center: name of the data centre
 * @platform_address: address of the platform's store
 * @peer_count: number of @peers
 * @peers: addresses of peers to contact at startup
 * @shards: number of data shards, each with a thread
 * @log_level: least severe level that is logged
 * @seed: seed of random numbers; 0 to derive it from the clock
 * @grace_period: grace_ms, time allowed for a planned stop
 * @front_caller_address: front.callers
 * @front_peer_address: front.peer
 * @gather_peer_address: gather.peer
 * @instance: name of the instance
 * @tier_caller_address: tier.callers
 * @readiness_address: tier.ready
 * @metrics_address: tier.metrics; "" if absent
 * @tier_peer_address: tier.peers; "" if absent
 * @notice_period: tier.notice_ms
 * @apply_max: tier.apply_ms
 * @drain_period: tier.drain_ms
 * @history_period: tier.history_ms
 * @extra_share: tier.extra_share, in [0, 1]
 * @extra_window: tier.extra_window_ms
 * @extra_slack: tier.extra_slack
 * @rollout_share: tier.rollout_share, in [0, 1]
 * @memory_mb: tier.memory_mb
 * @usage_address: tier.usage; "" if absent
 * @usage_window: tier.usage_window_ms; 0 if absent
 * @usage_report_max: tier.usage_report_ms
 * @lease_duration: tier.lease_ms
 * @policy: policies
 *
 * The keys are described at the head of this file. Durations are in ms.
 */
typedef struct mc_settings_t {
	char data_center[64];
	char platform_address[MC_ADDRESS_SIZE];
	uint32_t peer_count;
	char peers[MC_SEED_PEERS_MAX][MC_ADDRESS_SIZE];
	uint32_t shards;
	mc_log_level_t log_level;
	uint64_t seed;
	mc_ms_t grace_period;
	char front_caller_address[MC_ADDRESS_SIZE];
	char front_peer_address[MC_ADDRESS_SIZE];
	char gather_peer_address[MC_ADDRESS_SIZE];
	char instance[64];
	char tier_caller_address[MC_ADDRESS_SIZE];
	char readiness_address[MC_ADDRESS_SIZE];
	char metrics_address[MC_ADDRESS_SIZE];
	char tier_peer_address[MC_ADDRESS_SIZE];
	mc_ms_t notice_period;
	mc_ms_t apply_max;
	mc_ms_t drain_period;
	mc_ms_t history_period;
	double extra_share;
	mc_ms_t extra_window;
	double extra_slack;
	double rollout_share;
	uint32_t memory_mb;
	char usage_address[MC_ADDRESS_SIZE];
	mc_ms_t usage_window;
	mc_ms_t usage_report_max;
	mc_ms_t lease_duration;
	mc_policy_t policy;
} mc_settings_t;

/**
 * mc_settings_parse() - Parse and validate settings.
 * @text: TOML text
 * @size: length of @text in bytes
 * @role: role whose keys are required
 * @settings: receives the settings, with defaults for absent keys
 * @errors: receives one line per error, "line N: key: expected ..."; lines
 *	that do not fit are omitted
 * @errors_size: size of @errors in bytes
 *
 * Return: MC_OK or MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_settings_parse(const char *text, size_t size, mc_role_t role,
			   mc_settings_t *settings, char *errors,
			   size_t errors_size);

/**
 * mc_name_is_valid() - Check the name of a row or a data centre.
 * @name: the name; valid with 1 to 63 letters, digits or characters of
 *	"._:+-"
 */
bool mc_name_is_valid(const char *name);

/**
 * mc_address_split() - Validate "IP:port" and split it.
 * @address: IPv4 address, or IPv6 address in brackets, then a colon and a
 *	port. Only the spelling that inet_ntop() prints is valid, so that equal
 *	addresses are equal strings.
 * @host: receives the IP address without brackets
 * @host_size: size of @host in bytes
 * @port: receives the port, 0 to 65535
 *
 * Return: MC_OK or MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_address_split(const char *address, char *host, size_t host_size,
			  uint16_t *port);

#endif

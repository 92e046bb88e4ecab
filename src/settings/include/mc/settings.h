/*
 * Public header of the settings library: a process's own settings, read from
 * a TOML file and checked whole.
 *
 *	data_center = "north"
 *	platform = "127.0.0.1:7000"       # the platform's store and list
 *	peers = ["127.0.0.1:7101", ...]   # peers to start from
 *	shards = 2                        # threads, 1..64
 *	log_level = "info"
 *	seed = 1                          # of random choices; 0: from the clock
 *	grace_ms = 10000                  # time for a planned stop
 *	[front]
 *	callers = "127.0.0.1:8080"        # where callers are served
 *	peer = "127.0.0.1:7100"           # where peers reach this front
 *	[gather]
 *	peer = "127.0.0.1:7101"           # where fronts and peers reach it
 *	[tier]
 *	instance = "north-1"              # name, unique among instances
 *	callers = "127.0.0.1:8080"        # where callers are served
 *	ready = "127.0.0.1:8081"          # where readiness is asked
 *	metrics = "127.0.0.1:9464"        # where metrics are served; optional
 *	peers = "127.0.0.1:7380"          # where instances of its data centre
 *	                                  # hear its news; optional
 *	notice_ms = 2500                  # of a planned stop, before it closes
 *	apply_ms = 3000                   # a new map is in force by then
 *	drain_ms = 3000                   # a target serves on so long after it
 *	                                  # said that it leaves
 *	history_ms = 20000                # the store remembers changes so long
 *	extra_share = 0.2                 # extra requests per request to a
 *	                                  # service, of all instances
 *	extra_window_ms = 10000           # span in which they are counted
 *	extra_slack = 50                  # extra requests besides, per window
 *	[policy]
 *	owners = 8                        # owner gathers of a target, 1..64
 *	replica = "two_choices" | "round_robin" | "hash"
 *	limit = "adaptive" | "fixed" | "none"
 *	ramp = "on" | "off"
 *	hedge = "p95" | "none"
 *	retry = "budget" | "none" | "unbounded"
 *	admission = "class" | "none"
 *	extra_percent = 5                 # hedges and retries per 100
 *	concurrency = 1024                # requests at a time in one front
 *
 * A process reads the tables of its own role; both roles may stand in a file.
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

/** enum mc_role_t - what a process does */
typedef enum mc_role_t {
	MC_ROLE_FRONT,
	MC_ROLE_GATHER,
	/* Faces callers and targets itself; learns both from a platform. */
	MC_ROLE_TIER,
} mc_role_t;

/** struct mc_policy_t - names of the policies and their parameters */
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
 *
 * The fields are the file's keys; durations in ms.
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
	uint32_t extra_slack;
	mc_policy_t policy;
} mc_settings_t;

/**
 * mc_settings_parse() - read and check settings
 * @text: TOML text
 * @size: bytes of @text
 * @role: the role whose tables must be there
 * @settings: receives the settings, with defaults for absent keys
 * @faults: receives one line per fault, "line N: key: expected ..."
 * @faults_size: bytes of @faults
 *
 * Return: MC_OK or MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_settings_parse(const char *text, size_t size, mc_role_t role,
			   mc_settings_t *settings, char *faults,
			   size_t faults_size);

/**
 * mc_name_is_valid() - whether @name may name a row or a data centre
 * @name: 1 to 63 characters of letters, digits and ". _ : + -"
 */
bool mc_name_is_valid(const char *name);

/**
 * mc_address_split() - check and split "IP:port"
 * @address: IPv4 number or IPv6 number in brackets, a colon, a port; in the
 *	one spelling that the system prints, so that equal addresses are equal
 *	strings
 * @host: receives the IP number
 * @host_size: bytes of @host
 * @port: receives the port, 0 to 65535
 *
 * Return: MC_OK or MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_address_split(const char *address, char *host, size_t host_size,
			  uint16_t *port);

#endif

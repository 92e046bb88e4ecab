/*
 * Public header of the config library: reads, checks, compares and prints
 * configurations. Pure: it opens no file and reads no clock.
 *
 * The text is TOML:
 *
 *	[[data_center]]    name, state = "in" | "out"
 *	[[service]]        name, deadline_ms
 *	[[layout]]         service, name, documents = [n, ...] (one per shard)
 *	[[snapshot]]       service, id, layout, order
 *	[[target]]         service, layout, shard, data_center, version, address
 *	[[move]]           service, from, to, start, done_by (TOML date-times
 *	                   with an offset), without_evidence = "take_back" |
 *	                   "finish", taken_back = false
 *
 * and, first, submission = "ID" once it has been submitted.
 */
#ifndef MC_CONFIG_H
#define MC_CONFIG_H

#include "mc/config_defs.h"

/**
 * struct mc_config_fault_t - one fault of a text
 * @line: line of the text, from 1; 0 when it concerns the whole
 * @key: the key or table, such as "target.shard"
 * @message: what is wrong, what was expected and what to do
 */
typedef struct mc_config_error_t {
	uint32_t line;
	char key[MC_NAME_SIZE];
	char message[256];
} mc_config_error_t;

/**
 * struct mc_config_faults_t - faults found; more than fit are only counted
 */
typedef struct mc_config_errors_t {
	uint32_t count;
	mc_config_error_t list[64];
} mc_config_errors_t;

/**
 * mc_config_parse() - read and check a configuration
 * @text: TOML text
 * @size: bytes of @text
 * @version: the store's version of it, 0 if not stored
 * @now: wall time for the check of moves, ms since the Unix epoch; 0 skips it,
 *	as a configuration that is in force stays valid when a time has passed
 * @config: receives the configuration with one reference held by the caller
 * @faults: receives every fault
 *
 * Return: MC_OK, MC_ERR_BAD_CONFIG, MC_ERR_TOO_LARGE, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_config_parse(const char *text, size_t size, uint64_t version,
			 mc_ms_t now, const mc_config_t **config,
			 mc_config_errors_t *faults);

/** mc_config_empty() - a configuration without rows; one reference held */
const mc_config_t *mc_config_create_empty(void);

/** mc_config_ref() - take one more reference; any thread */
const mc_config_t *mc_config_ref(const mc_config_t *config);

/** mc_config_unref() - drop a reference; the last one frees; any thread */
void mc_config_unref(const mc_config_t *config);

/**
 * mc_config_print() - canonical TOML of a configuration
 * @config: the configuration
 * @text: receives the text, to be freed with free()
 *
 * Parsing the text gives an equal configuration, and printing that gives the
 * same text.
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_config_print(const mc_config_t *config, char **text);

/**
 * mc_config_diff() - what changes between two configurations
 * @before: the one
 * @after: the other
 * @text: receives lines such as "+ target 10.0.0.1:9000 (pots/l1/3 north v2)",
 *	"~ data_center north: in -> out", "- move ..."; empty if equal; to be
 *	freed with free()
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_config_diff(const mc_config_t *before, const mc_config_t *after,
			char **text);

/**
 * mc_config_with_submission() - copy of @config with another submission id
 * @config: the configuration
 * @submission: the id
 * @copy: receives the copy with one reference held by the caller
 */
mc_err_t mc_config_with_submission(const mc_config_t *config,
				   const char *submission,
				   const mc_config_t **copy);

/**
 * mc_config_with_taken_back() - copy of @config with one move taken back
 * @config: the configuration
 * @move: row of the move
 * @copy: receives the copy with one reference held by the caller
 */
mc_err_t mc_config_with_move_taken_back(const mc_config_t *config,
					mc_row_t move,
					const mc_config_t **copy);

/** mc_config_find_service() - row of the service @name or MC_ROW_NONE */
mc_row_t mc_config_find_service(const mc_config_t *config, const char *name);

/** mc_config_find_data_center() - row of @name or MC_ROW_NONE */
mc_row_t mc_config_find_data_center(const mc_config_t *config,
				    const char *name);

/** mc_config_find_target() - row of the target with @key or MC_ROW_NONE */
mc_row_t mc_config_find_target(const mc_config_t *config, uint64_t key);

/**
 * mc_config_shard_targets() - targets that hold a shard of a layout
 * @config: the configuration
 * @layout: row of the layout
 * @shard: shard, below the layout's count
 * @count: receives the number of targets
 *
 * Return: rows of targets, owned by @config.
 */
const mc_row_t *mc_config_shard_targets(const mc_config_t *config,
					mc_row_t layout, uint32_t shard,
					uint32_t *count);

/**
 * mc_config_service_snapshots() - snapshots of a service, newest first
 * @config: the configuration
 * @service: row of the service
 * @count: receives the number of snapshots
 *
 * Return: rows of snapshots, owned by @config. A snapshot's position in this
 * list is its bit in masks of snapshots.
 */
const mc_row_t *mc_config_service_snapshots(const mc_config_t *config,
					    mc_row_t service, uint32_t *count);

/** mc_config_service_move() - the service's move row or MC_ROW_NONE */
mc_row_t mc_config_service_move(const mc_config_t *config, mc_row_t service);

#endif

/*
 * Public header of the config library: parses, validates, compares and prints
 * configurations. The library does no I/O: it opens no file and reads no
 * clock.
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
 * A submitted configuration begins with the top-level key submission = "ID".
 */
#ifndef MC_CONFIG_H
#define MC_CONFIG_H

#include "mc/config_defs.h"

/**
 * struct mc_config_error_t - one error in a configuration's text
 * @line: line in the text, from 1; 0 if it concerns the whole text
 * @key: key or table, such as "target.shard"
 * @message: what was expected, what was found and how to correct it
 */
typedef struct mc_config_error_t {
	uint32_t line;
	char key[MC_NAME_SIZE];
	char message[256];
} mc_config_error_t;

/**
 * struct mc_config_errors_t - errors found in a configuration's text
 * @count: number of errors, which may exceed the length of @list
 * @list: the errors; those that do not fit are only counted
 */
typedef struct mc_config_errors_t {
	uint32_t count;
	mc_config_error_t list[64];
} mc_config_errors_t;

/**
 * mc_config_parse() - Parse and validate a configuration.
 * @text: TOML text
 * @size: length of @text in bytes
 * @version: version of the object in the store; 0 if it is not stored
 * @now: wall time in ms since the Unix epoch; a move whose done_by is not later
 *	is an error unless it was taken back. 0 skips this check: a
 *	configuration in force stays valid after the times of its moves.
 * @config: receives the configuration with one reference, owned by the
 *	caller; NULL on failure
 * @errors: receives the errors found in the text, ordered by line
 *
 * Return: MC_OK, MC_ERR_BAD_CONFIG, MC_ERR_TOO_LARGE, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_config_parse(const char *text, size_t size, uint64_t version,
			 mc_ms_t now, const mc_config_t **config,
			 mc_config_errors_t *errors);

/**
 * mc_config_create_empty() - Create a configuration without rows.
 *
 * Return: the configuration with one reference, owned by the caller; NULL if
 * memory is exhausted.
 */
const mc_config_t *mc_config_create_empty(void);

/** mc_config_ref() - Take another reference. Any thread may call it. */
const mc_config_t *mc_config_ref(const mc_config_t *config);

/**
 * mc_config_unref() - Drop a reference and free the configuration with the
 * last one. Any thread may call it; NULL is allowed.
 */
void mc_config_unref(const mc_config_t *config);

/**
 * mc_config_print() - Print a configuration as canonical TOML.
 * @config: the configuration
 * @text: receives the text; the caller frees it with free()
 *
 * Parsing the text yields an equal configuration, and printing that yields the
 * same text.
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_config_print(const mc_config_t *config, char **text);

/**
 * mc_config_diff() - List the differences between two configurations.
 * @before: old configuration
 * @after: new configuration
 * @text: receives lines such as "+ target 10.0.0.1:9000 (pots/l1/3 north v2)",
 *	"~ data_center north: in -> out", "- move ..."; empty if both are equal.
 *	The caller frees it with free().
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_config_diff(const mc_config_t *before, const mc_config_t *after,
			char **text);

/**
 * mc_config_with_submission() - Copy a configuration and replace its
 * submission id.
 * @config: the configuration
 * @submission: new id, a valid name or ""
 * @copy: receives the copy with one reference, owned by the caller
 *
 * Return: MC_OK, MC_ERR_BAD_CONFIG, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_config_with_submission(const mc_config_t *config,
				   const char *submission,
				   const mc_config_t **copy);

/**
 * mc_config_with_move_taken_back() - Copy a configuration and mark one of its
 * moves as taken back.
 * @config: the configuration
 * @move: row of the move
 * @copy: receives the copy with one reference, owned by the caller
 *
 * Return: MC_OK, MC_ERR_NOT_FOUND if there is no such row, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_config_with_move_taken_back(const mc_config_t *config,
					mc_row_t move,
					const mc_config_t **copy);

/**
 * mc_config_find_service() - Look up a service by name.
 *
 * Return: its row, or MC_ROW_NONE.
 */
mc_row_t mc_config_find_service(const mc_config_t *config, const char *name);

/**
 * mc_config_find_data_center() - Look up a data centre by name.
 *
 * Return: its row, or MC_ROW_NONE.
 */
mc_row_t mc_config_find_data_center(const mc_config_t *config,
				    const char *name);

/**
 * mc_config_find_target() - Look up a target by the hash of its address.
 *
 * Return: its row, or MC_ROW_NONE.
 */
mc_row_t mc_config_find_target(const mc_config_t *config, uint64_t key);

/**
 * mc_config_shard_targets() - Get the targets that hold a shard of a layout.
 * @config: the configuration
 * @layout: row of the layout
 * @shard: number of the shard, below the layout's shard count
 * @count: receives the number of targets
 *
 * Return: rows of targets, owned by @config.
 */
const mc_row_t *mc_config_shard_targets(const mc_config_t *config,
					mc_row_t layout, uint32_t shard,
					uint32_t *count);

/**
 * mc_config_service_snapshots() - Get the snapshots of a service, newest first.
 * @config: the configuration
 * @service: row of the service
 * @count: receives the number of snapshots
 *
 * Return: rows of snapshots, owned by @config. The position of a snapshot in
 * this list is the number of its bit in snapshot bit masks.
 */
const mc_row_t *mc_config_service_snapshots(const mc_config_t *config,
					    mc_row_t service, uint32_t *count);

/**
 * mc_config_service_move() - Get the version move of a service.
 *
 * Return: row of the move, or MC_ROW_NONE if the service has none.
 */
mc_row_t mc_config_service_move(const mc_config_t *config, mc_row_t service);

#endif
